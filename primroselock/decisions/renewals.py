"""Renews the leases of what runs, by one word a worker.

A renewal extends every running task on its worker but those of the jobs
that it excludes: jobs whose attempt is not running, or of which a worker
is silent.  Thus nothing is renewed unless every member was heard within
the heartbeat window, and a round costs by the workers, not by the tasks.
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

    It extends all that runs there but the attempts ``not_renewed_views``:
    those that are not running, or of which a worker is silent.
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
