"""Groups that wait until an earlier run of theirs has ended.

A run that no row asks for is stopped.  If it is an earlier attempt of a task
that waits, the next attempt must not begin beside it; nor beside one that may
have begun, by an order without an answer, on a boot that nothing is known of.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import workerboots
from primroselock import jobgraph

_MARGIN_S: typing.Final = 1.0
"""Added to the time by which a run that is not reported again has ended."""


def list_held(
    board: fleet.ShardBoard, now: float
) -> frozenset[livejobs.Group]:
    """Return the groups of which a worker may run an earlier attempt.

    A stop is ordered whenever a run is listed.  Of a worker that reports
    nothing any more the run ends with its lease.
    """
    longest_s = board.run_lease_s * (1 + leasebounds.CLOCK_DRIFT) + _MARGIN_S
    held = set()
    for worker in board.workers_by_id.values():
        for unexpected in worker.unexpected_runs.values():
            if now - unexpected.stop_sent_at < longest_s:
                held.add(_find_group(board, unexpected.run.task))
        for run in workerboots.list_uncertain(worker, longest_s, now):
            held.add(_find_group(board, run.task))
    return frozenset(group for group in held if group is not None)


def _find_group(
    board: fleet.ShardBoard, task: jobgraph.TaskName
) -> livejobs.Group | None:
    step = board.find_step(task)
    if step is None:
        return None
    index = 0 if step.gang else task.index
    key = jobgraph.GroupKey(task.occurrence, task.step, index)
    return board.jobs_by_id[task.job_id].groups_by_key.get(key)
