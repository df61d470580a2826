"""Renews the leases of what runs, by one word a worker.

A renewal extends every running task on its worker but those it excludes:
members of attempts that are not running whole, or of which a worker is
silent.  Thus nothing is renewed unless every member was heard within the
heartbeat window, and a round costs by the workers, not by the tasks.
"""

from collections import abc

from primroselock.decisions import blackboard
from primroselock import options
from primroselock.workers import protocol


def renew_others(
    board: blackboard.Blackboard,
    settings: options.Settings,
    not_whole: abc.Iterable[blackboard.AttemptView],
    now: float,
) -> None:
    """Put a renewal for every worker on the blackboard.

    It extends all that runs there but the attempts ``not_whole``: those
    that are not running, or of which a worker is silent.
    """
    excluded_by_worker_id: dict[str, list[protocol.TaskKey]] = {}
    for view in not_whole:
        for key, placement in view.tasks():
            excluded = excluded_by_worker_id.setdefault(
                placement.worker_id, []
            )
            excluded.append(key)
    lease_s = settings.scheduler.task_lease_s
    board.renewals_by_worker_id = {
        worker_id: blackboard.Renewal(
            worker.clock_at(now) + lease_s,
            tuple(excluded_by_worker_id.get(worker_id, ())),
            now,
        )
        for worker_id, worker in board.workers_by_id.items()
        if worker.report is not None
    }
