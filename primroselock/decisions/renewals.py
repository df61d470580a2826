"""Renews the leases of what runs, by one word a worker.

A renewal extends every running task on its worker but those it excludes:
members of attempts that are not running whole, or of which a worker is
silent.  Thus nothing is renewed unless every member was heard within the
heartbeat window, and a round costs by the workers, not by the tasks.
"""

from primroselock.decisions import blackboard
from primroselock import options
from primroselock.workers import protocol


def renew_whole_attempts(
    board: blackboard.Blackboard,
    settings: options.Settings,
    silent_job_ids: set[str],
    now: float,
) -> None:
    """Put the renewal of every worker that was heard on the blackboard."""
    excluded_by_worker_id: dict[str, list[protocol.TaskKey]] = {}
    for view in board.attempts_by_job_id.values():
        if (
            view.phase is blackboard.Phase.RUNNING
            and view.job_id not in silent_job_ids
        ):
            continue
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
