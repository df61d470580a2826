"""Drains a zone that operators took out of service.

Attempts that have not started are stopped.  Running work that can save
its progress is checkpointed and stopped, so that it continues in another
zone: guaranteed work first, then by decreasing number of accelerators, a
bounded number at a time.  Work that cannot be checkpointed continues to
run, since stopping it would certainly lose its progress.  Waiting jobs
move to other shards.
"""

import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import moving
from primroselock.decisions import placing
from primroselock.decisions import policies
from primroselock.decisions import preemption
from primroselock.decisions import registry
from primroselock import options
from primroselock.workers import protocol

_MAX_STOPPING: typing.Final = 64
"""Limit of attempts being checkpointed or stopped at one time."""


@registry.controller('drain', order=45)
def drain_zone(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Stop the attempts and move the jobs of a zone out of service."""
    zone = board.config.zones_by_name.get(board.zone)
    if zone is None or zone.is_in_service:
        return []
    _stop_attempts(board, now)
    waiting = placing.waiting_jobs(board)
    name = settings.scheduler.queue_order
    order = policies.queue_orders_by_name[name]
    waiting.sort(key=lambda view: order(board, view, now))
    return moving.move_out(board, waiting, now)


def _stop_attempts(board: blackboard.Blackboard, now: float) -> None:
    views = list(board.attempts_by_job_id.values())
    stopping = sum(
        view.end_reason is blackboard.EndReason.PREEMPTED for view in views
    )
    views.sort(key=lambda view: _rank(board, view))
    for view in views:
        if view.end_reason is not None or not _should_stop(board, view):
            continue
        if not _all_members_started(board, view):
            preemption.preempt(board, view.job_id, now)
        elif stopping < _MAX_STOPPING:
            stopping += 1
            preemption.preempt(board, view.job_id, now)


def _should_stop(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> bool:
    """Return whether an attempt is to be stopped.

    It is unless it runs and its work cannot be checkpointed.
    """
    job_view = board.jobs_by_id.get(view.job_id)
    if job_view is not None and job_view.job.spec.checkpointable:
        return True
    return not _all_members_started(board, view)


def _all_members_started(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> bool:
    """Return whether every member has been started."""
    if view.phase is blackboard.Phase.RUNNING:
        return True
    for key, placement in view.tasks():
        worker = board.workers_by_id.get(placement.worker_id)
        report = worker.task(key) if worker is not None else None
        if report is None or report.state is protocol.TaskState.RESERVED:
            return False
    return True


def _rank(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> tuple[bool, int, str]:
    size = sum(p.cell_size for p in view.attempt.placements)
    return (view.attempt.borrowed, -size, view.job_id)
