"""Quarantines workers on which tasks fail, and readmits them on probation.

This controller serves jobs that are placed in cells;
:mod:`primroselock.decisions.fleethealth` does the same for job graphs.

A faulty worker gets no new work for a time that doubles with each
consecutive quarantine.  After that it is on probation: it gets work
again, one failure renews the quarantine, one success clears the worker.
Tasks that run on a quarantined worker continue.  The evidence is kept in
the memory of the shard's lease holder; a new holder starts without it.
"""

import typing

from primroselock import backoff
from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import evidence
from primroselock.decisions import members
from primroselock.decisions import registry
from primroselock.decisions import retries
from primroselock import options
from primroselock.workers import protocol

FIRST_QUARANTINE_S: typing.Final = 60.0
MAX_QUARANTINE_S: typing.Final = 3600.0


@registry.controller('worker_health', order=65)
def update_quarantines(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Collect evidence from stopping attempts; update the quarantines."""
    for view in board.attempts_by_job_id.values():
        if view.phase is not blackboard.Phase.STOPPING:
            continue
        if view.end_reason is blackboard.EndReason.MEMBER_FAILED:
            _record_failure(board, view, now)
        elif view.end_reason is blackboard.EndReason.DONE:
            _record_successes(board, view)
    quarantines = board.failure_evidence.quarantines_by_worker_id
    board.quarantined_worker_ids = {
        worker_id
        for worker_id, entry in quarantines.items()
        if now < entry.until
    }
    return []


def _record_failure(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> None:
    worker_id = retries.failed_worker_id(view)
    recorded = board.failure_evidence
    if not recorded.record_failure(
        worker_id, view.job_id, view.attempt.number
    ):
        return
    last = recorded.quarantines_by_worker_id.get(worker_id)
    if last is not None and now < last.until:
        return
    if last is None and not recorded.is_worker_at_fault(worker_id):
        return
    times = last.times + 1 if last is not None else 1
    duration_s = backoff.doubled_s(
        FIRST_QUARANTINE_S, times - 1, MAX_QUARANTINE_S
    )
    recorded.quarantines_by_worker_id[worker_id] = evidence.Quarantine(
        now + duration_s, times
    )


def _record_successes(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> None:
    for member in members.find(board, view):
        if member.has_state(protocol.TaskState.DONE):
            board.failure_evidence.record_success(member.placement.worker_id)
