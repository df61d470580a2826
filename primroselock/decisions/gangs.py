"""Advances each attempt from reservation to its end, all or nothing.

An attempt reserves resources on the worker of every member.  Once all are
reserved, the placement is committed in the job's row under the shard's
epoch, and once the row is committed, every member is started.  Members
that started before the others keep the lease of their start command:
nothing is renewed until all members run.  From then on leases are renewed
only while every member's worker has reported within the heartbeat window.
If one member fails, is absent or its worker is unresponsive, the others
are stopped.  A member that cannot be reached ends on its own when its
lease expires on its worker's clock, so some members run without the
others for at most ``SchedulerSettings.partial_run_bound_s``.

Commands are derived from the phase and the last reports, so a lost
command is sent again and a repeated one is idempotent.  The time since a
worker's last report counts from ``Blackboard.listening_since`` at the
earliest: after a takeover or a pause of this process, no attempt is
stopped because reports were missing before that.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import changes
from primroselock.decisions import commands
from primroselock.decisions import members
from primroselock.decisions import registry
from primroselock.decisions import renewals
from primroselock.decisions import termination
from primroselock import jobs
from primroselock import options
from primroselock.workers import protocol

_Step = abc.Callable[
    [
        blackboard.Blackboard,
        options.Settings,
        blackboard.AttemptView,
        float,
    ],
    list[commands.Command],
]
_ZONE_OUT: typing.Final = 'the zone was taken out of service'
_steps_by_phase: typing.Final[dict[blackboard.Phase, _Step]] = {}


def _step(phase: blackboard.Phase) -> abc.Callable[[_Step], _Step]:
    def register(step: _Step) -> _Step:
        _steps_by_phase[phase] = step
        return step

    return register


@registry.controller('gangs', order=60)
def advance_attempts(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Advance the attempts that are due; renew the leases of running ones.

    A running attempt is evaluated only if a report changed the state of
    one of its tasks, a worker of it is unresponsive, or its job is
    cancelled.  Leases are renewed for attempts whose members all run.
    """
    changed_job_ids: set[str] = set()
    for change in board.gang_watch.take(board.reports_by_worker_id()):
        changed_job_ids |= changes.changed_jobs(change)
    unresponsive_job_ids = _find_unresponsive_jobs(board, settings, now)
    due = [
        view
        for job_id, view in board.attempts_by_job_id.items()
        if job_id in changed_job_ids
        or job_id in unresponsive_job_ids
        or _is_due(board, settings, view, now)
    ]
    decided: list[commands.Command] = []
    for view in due:
        current = _stop_if_cancelled(board, view, now)
        step = _steps_by_phase[current.phase]
        decided.extend(step(board, settings, current, now))
    not_renewed_views = [
        view
        for view in board.attempts_by_job_id.values()
        if view.phase is not blackboard.Phase.RUNNING
        or view.job_id in unresponsive_job_ids
    ]
    renewals.renew_leases(board, settings, not_renewed_views, now)
    return decided


def _find_unresponsive_jobs(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> set[str]:
    """Return the ids of jobs with a task on an unresponsive worker."""
    window_s = settings.scheduler.heartbeat_window_s
    found: set[str] = set()
    for worker in board.workers_by_id.values():
        if now - worker.sent_at > window_s:
            found |= changes.jobs_in(worker.report)
    return found


def _is_due(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> bool:
    """Return whether to evaluate an attempt that no report has changed.

    One that is being stopped is evaluated when it or its row has changed,
    and once per heartbeat interval in case a command or a write was lost.
    """
    if view.phase is blackboard.Phase.RUNNING:
        return _is_cancelled(board, view.job_id)
    if view.phase is not blackboard.Phase.STOPPING:
        return True
    job_view = board.jobs_by_id.get(view.job_id)
    row_version = job_view.row_version if job_view is not None else 0
    last = board.stop_checks_by_job_id.get(view.job_id)
    if last is not None:
        is_same = last.view is view and last.row_version == row_version
        if is_same and now - last.at < settings.scheduler.heartbeat_interval_s:
            return False
    check = blackboard.StopCheck(view, row_version, now)
    board.stop_checks_by_job_id[view.job_id] = check
    return True


def _is_cancelled(board: blackboard.Blackboard, job_id: str) -> bool:
    """Return whether the job is to be cancelled or has ended."""
    job_view = board.jobs_by_id.get(job_id)
    return job_view is None or job_view.job.cancel_requested


def _stop_if_cancelled(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> blackboard.AttemptView:
    if view.phase is blackboard.Phase.STOPPING:
        return view
    if not _is_cancelled(board, view.job_id):
        return view
    return board.set_phase(
        view, blackboard.Phase.STOPPING, now, blackboard.EndReason.CANCELLED
    )


def _observed_phase_s(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> float:
    """Return how long the phase has lasted, in seconds.

    Only the time since ``listening_since`` counts.
    """
    return now - max(view.phase_since, board.listening_since)


@_step(blackboard.Phase.RESERVING)
def _reserve(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    found = members.find(board, view)
    if all(member.has_state(protocol.TaskState.RESERVED) for member in found):
        moved = board.set_phase(view, blackboard.Phase.COMMITTING, now)
        return _commit(board, settings, moved, now)
    timeout_s = settings.scheduler.reserve_timeout_s
    if now - view.phase_since > timeout_s:
        return _abort_start(board, view, now)
    spec = board.jobs_by_id[view.job_id].job.spec
    # The reservation covers the reserving and the committing phase, each of
    # at most ``timeout_s``.
    return [
        commands.SendToWorker(
            member.placement.worker_id,
            protocol.Reserve(
                member.key,
                member.placement.accelerators[: spec.accelerators],
                spec.cpus,
                spec.memory_mb,
                member.clock_at(now) + timeout_s * 2,
            ),
        )
        for member in found
        if member.is_absent
    ]


def _abort_start(
    board: blackboard.Blackboard,
    view: blackboard.AttemptView,
    now: float,
    why: str = 'not every member could be started in time',
) -> list[commands.Command]:
    board.set_phase(
        view,
        blackboard.Phase.STOPPING,
        now,
        blackboard.EndReason.NOT_STARTED,
        why,
    )
    return []


@_step(blackboard.Phase.COMMITTING)
def _commit(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    job_view = board.jobs_by_id[view.job_id]
    if job_view.job.attempt == view.attempt:
        moved = board.set_phase(view, blackboard.Phase.STARTING, now)
        return _start(board, settings, moved, now)
    if now - view.phase_since > settings.scheduler.reserve_timeout_s:
        return _abort_start(board, view, now)
    committed = dataclasses.replace(
        job_view.job,
        state=jobs.JobState.RUNNING,
        attempt=view.attempt,
        attempts=view.attempt.number,
        reason='',
    )
    sent = dataclasses.replace(view, commit_sent=True)
    board.attempts_by_job_id[view.job_id] = sent
    return [commands.WriteJob(committed, job_view.row_version)]


@_step(blackboard.Phase.STARTING)
def _start(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Start the reserved members once every member's worker has reported."""
    found = members.find(board, view)
    timed_out = (
        _observed_phase_s(board, view, now)
        > settings.scheduler.reserve_timeout_s
    )
    all_reported = all(
        member.has_report_since(board.listening_since) for member in found
    )
    if not all_reported:
        return _abort_start(board, view, now) if timed_out else []
    if _stop_on_member_loss(board, view, found, now):
        return []
    waiting = [
        member
        for member in found
        if member.has_state(protocol.TaskState.RESERVED)
    ]
    if not waiting:
        moved = board.set_phase(view, blackboard.Phase.RUNNING, now)
        _run(board, settings, moved, now)
        return _renew(settings, found, now)
    if timed_out:
        return _abort_start(board, view, now)
    if not board.is_zone_in_service:
        return _abort_start(board, view, now, _ZONE_OUT)
    if now >= board.permit_until:
        return []
    job = board.jobs_by_id[view.job_id].job
    return [
        commands.SendToWorker(
            member.placement.worker_id,
            protocol.Start(
                member.key,
                job.spec.command,
                member.clock_at(board.permit_until),
                member.clock_at(now) + settings.scheduler.task_lease_s,
                job.checkpoint_s,
            ),
        )
        for member in waiting
    ]


def _stop_on_member_loss(
    board: blackboard.Blackboard,
    view: blackboard.AttemptView,
    found: list[members.Member],
    now: float,
) -> bool:
    """Stop the attempt if a member failed, was stopped or is absent.

    Return whether it is being stopped.
    """
    for member in found:
        end_reason = blackboard.EndReason.MEMBER_LOST
        if member.is_absent:
            detail = f'member {member.number} is gone from its worker'
        elif member.has_state(protocol.TaskState.FAILED):
            assert member.report is not None
            end_reason = blackboard.EndReason.MEMBER_FAILED
            detail = f'member {member.number} failed: {member.report.detail}'
        elif member.has_state(protocol.TaskState.STOPPED):
            assert member.report is not None
            detail = (
                f'member {member.number} was stopped: {member.report.detail}'
            )
        else:
            continue
        marked = dataclasses.replace(view, failed_member=member.number)
        board.set_phase(
            marked, blackboard.Phase.STOPPING, now, end_reason, detail
        )
        return True
    return False


@_step(blackboard.Phase.RUNNING)
def _run(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    found = members.find(board, view)
    if _stop_on_member_loss(board, view, found, now):
        return []
    if all(member.has_state(protocol.TaskState.DONE) for member in found):
        board.set_phase(
            view, blackboard.Phase.STOPPING, now, blackboard.EndReason.DONE
        )
        return []
    window_s = settings.scheduler.heartbeat_window_s
    unresponsive = [m for m in found if not m.has_report_within(window_s, now)]
    if unresponsive and now - board.listening_since > window_s:
        worker_id = unresponsive[0].placement.worker_id
        board.set_phase(
            view,
            blackboard.Phase.STOPPING,
            now,
            blackboard.EndReason.MEMBER_LOST,
            f'worker {worker_id} was not heard in time',
        )
    return []


def _renew(
    settings: options.Settings,
    found: list[members.Member],
    now: float,
) -> list[commands.Command]:
    """Extend the leases at once; after a takeover they may expire soon."""
    return [
        commands.SendToWorker(
            member.placement.worker_id,
            protocol.Renew(
                member.key,
                member.clock_at(now) + settings.scheduler.task_lease_s,
            ),
        )
        for member in found
        if member.has_state(protocol.TaskState.RUNNING)
    ]


@_step(blackboard.Phase.CHECKPOINTING)
def _checkpoint(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Let every member save its progress within the grace period."""
    job = board.jobs_by_id[view.job_id].job
    found = members.find(board, view)
    grace_expired = (
        now - view.phase_since > settings.scheduler.checkpoint_grace_s
    )
    unsaved = [
        member
        for member in found
        if member.has_state(protocol.TaskState.RUNNING)
        and not _has_saved(member, job, view.phase_since)
    ]
    if grace_expired or not job.spec.checkpointable or not unsaved:
        moved = board.set_phase(view, blackboard.Phase.STOPPING, now)
        return termination.stop_attempt(board, settings, moved, now)
    return [
        commands.SendToWorker(
            member.placement.worker_id, protocol.Checkpoint(member.key)
        )
        for member in unsaved
    ]


def _has_saved(
    member: members.Member, job: jobs.Job, phase_since: float
) -> bool:
    """Return whether a report of this phase shows newly saved progress."""
    assert member.report is not None
    if not member.has_report_since(phase_since):
        return False
    return member.report.checkpoint_s > job.checkpoint_s


@_step(blackboard.Phase.STOPPING)
def _stop(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    return termination.stop_attempt(board, settings, view, now)
