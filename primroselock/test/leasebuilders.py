"""Boards whose workers have members and leases, for tests of decisions."""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.test import fleetbuilders

LEASE_S: typing.Final = 6.0
NOW: typing.Final = 100.0


def build_board(*lease_ends: float | None) -> fleet.ShardBoard:
    """Return a board with a worker w0, w1, ... for each end of a lease.

    The clocks of the workers agree with this process's; each worker has a
    member and was polled at 99.
    """
    board = fleet.ShardBoard(run_lease_s=LEASE_S)
    graph = fleetbuilders.build_graph(
        'j', fleetbuilders.build_step(len(lease_ends))
    )
    job = livejobs.LiveJob(graph, None)
    for index, lease_end in enumerate(lease_ends):
        worker_id = f'w{index}'
        board.record_entry(fleetbuilders.build_entry(worker_id), 0.0)
        key = jobgraph.GroupKey(0, 0, index)
        group = livejobs.Group(
            job, key, graph.steps[0], livejobs.Phase.RUNNING, 0.0
        )
        worker = board.workers_by_id[worker_id]
        member = livejobs.Member(
            group, index, worker_id, 1, livejobs.MemberState.PRESENT
        )
        worker.add_member(member)
        worker.polled_at = worker.clock_at = worker.clock_s = NOW - 1.0
        worker.lease_end = lease_end
    return board
