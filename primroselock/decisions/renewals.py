"""Renews the leases of running tasks, with one renewal for each worker.

A renewal extends all running tasks on its worker except those of the jobs
that it excludes: jobs whose attempt is not running or has an unresponsive
worker.  An attempt is thus renewed only if the workers of all its members
have reported within the heartbeat window, and the cost of a round depends
on the number of workers, not on that of tasks.
"""

from collections import abc

from primroselock.decisions import blackboard
from primroselock import options


def renew_leases(
    board: blackboard.Blackboard,
    settings: options.Settings,
    not_renewed_views: abc.Iterable[blackboard.AttemptView],
    now: float,
) -> None:
    """Put a renewal for every worker on the blackboard.

    The attempts in ``not_renewed_views`` are excluded: those that are not
    running or have an unresponsive worker.
    """
    excluded_by_worker_id: dict[str, list[str]] = {}
    for view in not_renewed_views:
        worker_ids = {each.worker_id for each in view.attempt.placements}
        for worker_id in worker_ids:
            excluded = excluded_by_worker_id.setdefault(worker_id, [])
            excluded.append(view.job_id)
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
