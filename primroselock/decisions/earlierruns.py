"""Groups that wait until an earlier run of theirs has ended.

A run that no row asks for is stopped.  If it is an earlier attempt of a task
that waits, the next attempt must not begin beside it; nor beside one that may
have begun, by an order without an answer, on a boot that nothing is known of.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import workerboots
from primroselock import jobgraph
from primroselock.workers import orders

_MARGIN_S: typing.Final = 1.0
"""Added to the time by which a run that is not reported again has ended."""


def list_held(
    board: fleet.ShardBoard, now: float
) -> frozenset[livejobs.Group]:
    """Return the groups of which a worker may run an earlier attempt."""
    held = {
        find_group(board, run.task)
        for worker in board.workers_by_id.values()
        # Few workers of many have any.
        if worker.unexpected_runs or worker.late_runs
        for run in _list_earlier(board, worker, now)
    }
    return frozenset(group for group in held if group is not None)


def may_run(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> bool:
    """Return whether a worker may run an earlier attempt of a group."""
    workers = [
        board.workers_by_id[worker_id]
        for worker_id in group.earlier_worker_ids
        if worker_id in board.workers_by_id
    ]
    return any(
        find_group(board, run.task) is group
        for worker in workers
        for run in _list_earlier(board, worker, now)
    )


def _list_earlier(
    board: fleet.ShardBoard, worker: fleetworkers.Worker, now: float
) -> list[orders.Run]:
    """Return what a worker may run beside its members.

    A stop is ordered whenever a run is listed.  Of a worker that reports
    nothing any more the run ends with its lease.
    """
    longest_s = board.run_lease_s * (1 + leasebounds.CLOCK_DRIFT) + _MARGIN_S
    listed = [
        unexpected.run
        for unexpected in worker.unexpected_runs.values()
        if now - unexpected.stop_sent_at < longest_s
    ]
    return listed + workerboots.list_uncertain(worker, longest_s, now)


def find_group(
    board: fleet.ShardBoard, task: jobgraph.TaskName
) -> livejobs.Group | None:
    """Return the group of a task, or None if it is not known."""
    step = board.find_step(task)
    if step is None:
        return None
    index = 0 if step.gang else task.index
    key = jobgraph.GroupKey(task.occurrence, task.step, index)
    return board.jobs_by_id[task.job_id].groups_by_key.get(key)
