"""Ends attempts: stops every member, writes the outcome, frees the cells.

An attempt ends once none of its members can still run: each was reported
as ended, or as absent by an exchange sent after the stop was decided, or
every lease granted before that has expired.  Then the outcome is written.
A placement whose commit was decided is always fenced by that write, even
if the commit was not seen to take effect: whichever of the two writes
comes second finds a changed row version and is refused.
"""

import dataclasses

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import members
from primroselock.decisions import retries
from primroselock import jobs
from primroselock import options
from primroselock.workers import protocol


def stop_attempt(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Order every member to stop; end the attempt once none can run."""
    found = members.find(board, view)
    expiry_bound_s = settings.scheduler.lease_expiry_bound_s
    expired = now - view.phase_since > expiry_bound_s
    if not expired and any(_may_run(member, view) for member in found):
        return [
            commands.SendToWorker(
                member.placement.worker_id, protocol.Stop(member.key)
            )
            for member in found
            if member.report is not None and not member.report.state.is_final
        ]
    return _end_attempt(board, view, found, now)


def _may_run(member: members.Member, view: blackboard.AttemptView) -> bool:
    if member.report is not None:
        return not member.report.state.is_final
    return not member.has_report_since(view.phase_since)


def _end_attempt(
    board: blackboard.Blackboard,
    view: blackboard.AttemptView,
    found: list[members.Member],
    now: float,
) -> list[commands.Command]:
    job_view = board.jobs_by_id.get(view.job_id)
    if job_view is None:
        return _drop_attempt(board, view)
    job = job_view.job
    is_fenced = job.attempt is None and job.attempts >= view.attempt.number
    if is_fenced:
        decided = _drop_attempt(board, view)
        retries.plan_retry(board, view, now)
        return decided
    if job.attempt is None and not view.commit_sent:
        # No other process can have seen the attempt number; it is still
        # not reused.
        used = dataclasses.replace(job, attempts=view.attempt.number)
        board.jobs_by_id[job.id] = dataclasses.replace(job_view, job=used)
        return _drop_attempt(board, view)
    ended = outcome_of(board, job, view, found)
    return [commands.WriteJob(ended, job_view.row_version)]


def _drop_attempt(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> list[commands.Command]:
    del board.attempts_by_job_id[view.job_id]
    board.stop_checks_by_job_id.pop(view.job_id, None)
    return [
        commands.SendToWorker(
            placement.worker_id, protocol.Forget(key), urgent=False
        )
        for key, placement in view.tasks()
    ]


def outcome_of(
    board: blackboard.Blackboard,
    job: jobs.Job,
    view: blackboard.AttemptView,
    found: list[members.Member],
) -> jobs.Job:
    """Return the job's row after the end of an attempt.

    Its progress is what all members have saved, or the earlier progress
    if that is more.
    """
    saved = [
        member.report.checkpoint_s if member.report else 0.0
        for member in found
    ]
    ended = dataclasses.replace(
        job,
        attempt=None,
        attempts=max(job.attempts, view.attempt.number),
        checkpoint_s=max(job.checkpoint_s, min(saved, default=0.0)),
    )
    if view.end_reason is blackboard.EndReason.DONE:
        return dataclasses.replace(ended, state=jobs.JobState.DONE, reason='')
    if view.end_reason is blackboard.EndReason.CANCELLED:
        return dataclasses.replace(
            ended, state=jobs.JobState.CANCELLED, reason=''
        )
    if view.end_reason is blackboard.EndReason.MEMBER_FAILED:
        return retries.count_failure(board, ended, view)
    if view.corrected_memory_mb is not None:
        spec = dataclasses.replace(
            ended.spec, memory_mb=view.corrected_memory_mb
        )
        ended = dataclasses.replace(ended, spec=spec)
    return dataclasses.replace(
        ended, state=jobs.JobState.WAITING, reason=view.detail
    )
