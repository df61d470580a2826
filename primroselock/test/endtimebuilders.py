"""Builders for tests of what is stopped for whom, and of uneven workers."""

import dataclasses
import typing

from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import runprogress
from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A group that runs: its job was accepted ``accepted_s`` ago."""

    queue: queues.Queue = fleetbuilders.BULK
    worked_s: float = 1.0
    accepted_s: float = 1.0
    stops: int = 0
    share: float | None = None


def build_board() -> fleet.ShardBoard:
    """Return a board with the queues of :mod:`fleetbuilders` and a worker."""
    board = fleet.ShardBoard(
        queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
    )
    board.record_entry(fleetbuilders.build_entry('w0'), 0.0)
    return board


def add_group(
    board: fleet.ShardBoard,
    step: jobgraph.Step,
    queue: queues.Queue = fleetbuilders.BULK,
    accepted_ms: int = 0,
) -> livejobs.Group:
    """Return the first group of a new job; it waits."""
    graph = fleetbuilders.build_graph(
        f'j{len(board.jobs_by_id)}',
        step,
        queue=queue.name,
        accepted_ms=accepted_ms,
    )
    job = graphs.add_job(board, graph, None, 0, 0.0, 0)
    assert job is not None
    return job.groups_by_key[jobgraph.GroupKey(0, 0, 0)]


def run_group(
    board: fleet.ShardBoard,
    now: float,
    running: Running = Running(),
    **step_changes: typing.Any,
) -> livejobs.Group:
    """Return a group of one task of 10 s, by default, that runs on ``w0``.

    ``step_changes`` are fields of :class:`jobgraph.Step`; the Unix time is
    that of ``now``.
    """
    step = fleetbuilders.build_step(
        **{'tasks': 1, 'expected_ms': 10_000} | step_changes
    )
    accepted_ms = int((now - running.accepted_s) * 1000)
    group = add_group(board, step, running.queue, accepted_ms)
    group.preemptions = running.stops
    group.began_at = now - running.worked_s
    group.enter(livejobs.Phase.RUNNING, group.began_at)
    member = livejobs.Member(group, 0, 'w0', 1, livejobs.MemberState.PRESENT)
    group.members = [member]
    if running.share is not None:
        member.progress = runprogress.start(0.0, group.began_at)
        member.progress.record(running.share, now)
    return group
