"""Carries each attempt from reservation to its end, whole or not at all.

Reserve on every member's worker; when all hold, commit the placement in
the job's row under the shard's epoch; when the row is committed, start
every member.  Leases are renewed only while every member was heard
within the heartbeat window.  One member that failed, is lost or stays
silent stops the others.  A member that cannot be reached ends by itself
when its lease runs out on its worker's clock, so that members run apart
for at most ``heartbeat window + task_lease_s``.

Commands are derived from the phase and the last reports, so that a lost
command is sent again and a repeated one does no harm.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options
from primroselock.workers import protocol

HEARTBEATS_IN_WINDOW: typing.Final = 3
"""Heartbeats that a worker may miss before it counts as silent."""

_Step = abc.Callable[
    [
        blackboard.Blackboard,
        options.Settings,
        blackboard.AttemptView,
        float,
    ],
    list[commands.Command],
]
_steps_by_phase: dict[blackboard.Phase, _Step] = {}


def _step(phase: blackboard.Phase) -> abc.Callable[[_Step], _Step]:
    def register(step: _Step) -> _Step:
        _steps_by_phase[phase] = step
        return step

    return register


@registry.controller('gangs', order=60)
def advance_attempts(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Advance every attempt by at most one phase."""
    decided: list[commands.Command] = []
    for view in list(board.attempts_by_job_id.values()):
        current = _stop_if_cancelled(board, view, now)
        step = _steps_by_phase[current.phase]
        decided.extend(step(board, settings, current, now))
    return decided


@registry.controller('recovery', order=30)
def adopt_committed(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Take up attempts whose rows say that they were committed.

    They come from an earlier holder of the shard, or from a write whose
    reply was late.
    """
    for view in board.jobs_by_id.values():
        if view.job.attempt is None:
            continue
        if view.job.id in board.attempts_by_job_id:
            continue
        board.attempts_by_job_id[view.job.id] = blackboard.AttemptView(
            view.job.id, view.job.attempt, blackboard.Phase.STARTING, now
        )
    return []


@registry.controller('cancellation', order=40)
def cancel_waiting(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """End jobs that were cancelled before an attempt began."""
    return [
        commands.WriteJob(
            dataclasses.replace(
                view.job, state=jobs.JobState.CANCELLED, attempt=None
            ),
            view.row_version,
        )
        for view in board.jobs_by_id.values()
        if view.job.cancel_requested
        and view.job.id not in board.attempts_by_job_id
    ]


def _stop_if_cancelled(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> blackboard.AttemptView:
    if view.phase is blackboard.Phase.STOPPING:
        return view
    job_view = board.jobs_by_id.get(view.job_id)
    if job_view is not None and not job_view.job.cancel_requested:
        return view
    return board.set_phase(
        view, blackboard.Phase.STOPPING, now, blackboard.Ending.CANCELLED
    )


def _reports(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> list[protocol.TaskReport | None]:
    """Return each member's report; None where its worker shows none.

    A worker with another boot id has restarted: its tasks are gone.
    """
    found: list[protocol.TaskReport | None] = []
    for key, placement in view.tasks():
        worker = board.workers_by_id.get(placement.worker_id)
        if worker is None or worker.report is None:
            found.append(None)
        elif worker.report.boot_id != placement.boot_id:
            found.append(None)
        else:
            found.append(worker.task(key))
    return found


def _all_heard(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> bool:
    window_s = settings.scheduler.heartbeat_interval_s * HEARTBEATS_IN_WINDOW
    for _, placement in view.tasks():
        worker = board.workers_by_id.get(placement.worker_id)
        if worker is None or worker.report is None:
            return False
        if now - worker.sent_at > window_s:
            return False
    return True


@_step(blackboard.Phase.RESERVING)
def _reserve(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    reports = _reports(board, view)
    job_view = board.jobs_by_id[view.job_id]
    if all(
        report is not None and report.state is protocol.TaskState.RESERVED
        for report in reports
    ):
        board.set_phase(view, blackboard.Phase.COMMITTING, now)
        return _commit(board, settings, view, now)
    if now - view.phase_since > settings.scheduler.reserve_timeout_s:
        board.set_phase(
            view, blackboard.Phase.STOPPING, now, blackboard.Ending.NOT_STARTED
        )
        return []
    spec = job_view.job.spec
    decided: list[commands.Command] = []
    for (key, placement), report in zip(view.tasks(), reports, strict=True):
        worker = board.workers_by_id.get(placement.worker_id)
        if report is not None or worker is None or worker.report is None:
            continue
        hold_s = settings.scheduler.reserve_timeout_s * 2
        decided.append(
            commands.SendToWorker(
                placement.worker_id,
                protocol.Reserve(
                    key,
                    placement.accelerators[: spec.accelerators],
                    spec.cpus,
                    spec.memory_mb,
                    worker.clock_at(now) + hold_s,
                ),
            )
        )
    return decided


@_step(blackboard.Phase.COMMITTING)
def _commit(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    job_view = board.jobs_by_id[view.job_id]
    job = job_view.job
    if job.attempt == view.attempt:
        board.set_phase(view, blackboard.Phase.STARTING, now)
        return []
    if now - view.phase_since > settings.scheduler.reserve_timeout_s:
        board.set_phase(
            view, blackboard.Phase.STOPPING, now, blackboard.Ending.NOT_STARTED
        )
        return []
    committed = dataclasses.replace(
        job,
        state=jobs.JobState.RUNNING,
        attempt=view.attempt,
        attempts=view.attempt.number,
        reason='',
    )
    return [commands.WriteJob(committed, job_view.row_version)]


@_step(blackboard.Phase.STARTING)
def _start(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Start the members that wait; keep those alive that run already."""
    late = now - view.phase_since > settings.scheduler.reserve_timeout_s
    if not late and not _heard_since(board, view):
        return []
    reports = _reports(board, view)
    broken = _find_broken(reports)
    if broken is not None:
        board.set_phase(view, blackboard.Phase.STOPPING, now, *broken)
        return []
    waiting = [
        report is not None and report.state is protocol.TaskState.RESERVED
        for report in reports
    ]
    if not any(waiting):
        board.set_phase(view, blackboard.Phase.RUNNING, now)
        return []
    if late:
        board.set_phase(
            view, blackboard.Phase.STOPPING, now, blackboard.Ending.NOT_STARTED
        )
        return []
    job = board.jobs_by_id[view.job_id].job
    spec = job.spec
    decided: list[commands.Command] = []
    for (key, placement), waits in zip(view.tasks(), waiting, strict=True):
        worker = board.workers_by_id[placement.worker_id]
        lease_until = worker.clock_at(now) + settings.scheduler.task_lease_s
        command: protocol.Command = protocol.Renew(key, lease_until)
        if waits and now >= board.permit_until:
            continue
        if waits:
            start_by = worker.clock_at(board.permit_until)
            command = protocol.Start(
                key, spec.command, start_by, lease_until, job.checkpoint_s
            )
        decided.append(commands.SendToWorker(placement.worker_id, command))
    return decided


def _heard_since(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> bool:
    """Whether every member's worker was heard since the phase began."""
    for _, placement in view.tasks():
        worker = board.workers_by_id.get(placement.worker_id)
        if worker is None or worker.report is None:
            return False
        if worker.heard_at < view.phase_since:
            return False
    return True


def _find_broken(
    reports: list[protocol.TaskReport | None],
) -> tuple[blackboard.Ending, str] | None:
    for member, report in enumerate(reports):
        if report is None:
            return (
                blackboard.Ending.MEMBER_LOST,
                f'member {member} is gone from its worker',
            )
        if report.state is protocol.TaskState.FAILED:
            return (
                blackboard.Ending.MEMBER_FAILED,
                f'member {member} failed: {report.detail}',
            )
        if report.state is protocol.TaskState.STOPPED:
            return (
                blackboard.Ending.MEMBER_LOST,
                f'member {member} was stopped: {report.detail}',
            )
    return None


@_step(blackboard.Phase.RUNNING)
def _run(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    reports = _reports(board, view)
    broken = _find_broken(reports)
    if broken is not None:
        board.set_phase(view, blackboard.Phase.STOPPING, now, *broken)
        return []
    if all(
        report is not None and report.state is protocol.TaskState.DONE
        for report in reports
    ):
        board.set_phase(
            view, blackboard.Phase.STOPPING, now, blackboard.Ending.DONE
        )
        return []
    if not _all_heard(board, settings, view, now):
        board.set_phase(
            view,
            blackboard.Phase.STOPPING,
            now,
            blackboard.Ending.MEMBER_LOST,
            "a member's worker was not heard in time",
        )
        return []
    lease_s = settings.scheduler.task_lease_s
    return [
        commands.SendToWorker(
            placement.worker_id,
            protocol.Renew(
                key,
                board.workers_by_id[placement.worker_id].clock_at(now)
                + lease_s,
            ),
            urgent=False,
        )
        for key, placement in view.tasks()
    ]


@_step(blackboard.Phase.CHECKPOINTING)
def _checkpoint(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Let every member save its progress, within a bounded grace."""
    job_view = board.jobs_by_id[view.job_id]
    over = now - view.phase_since > settings.scheduler.checkpoint_grace_s
    if over or not job_view.job.spec.checkpointable:
        board.set_phase(view, blackboard.Phase.STOPPING, now)
        return []
    reports = _reports(board, view)
    saved = [
        report is not None and report.checkpoint_s > job_view.job.checkpoint_s
        for report in reports
    ]
    if all(saved):
        board.set_phase(view, blackboard.Phase.STOPPING, now)
        return []
    return [
        commands.SendToWorker(placement.worker_id, protocol.Checkpoint(key))
        for (key, placement), done in zip(view.tasks(), saved, strict=True)
        if not done
    ]


@_step(blackboard.Phase.STOPPING)
def _stop(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Stop every member; free the cells once none can still run."""
    decided: list[commands.Command] = []
    may_run = False
    lapsed = now - view.phase_since > settings.scheduler.task_lease_s
    reports = _reports(board, view)
    for (key, placement), report in zip(view.tasks(), reports, strict=True):
        worker = board.workers_by_id.get(placement.worker_id)
        fresh = worker is not None and worker.sent_at > view.phase_since
        if report is not None and not report.state.is_final:
            decided.append(
                commands.SendToWorker(placement.worker_id, protocol.Stop(key))
            )
            may_run = may_run or not lapsed
        elif not fresh and not lapsed and report is None:
            may_run = True
    if may_run:
        return decided
    return decided + _end_attempt(board, settings, view, now)


def _end_attempt(
    board: blackboard.Blackboard,
    settings: options.Settings,
    view: blackboard.AttemptView,
    now: float,
) -> list[commands.Command]:
    """Write the outcome; forget the tasks once it is written."""
    job_view = board.jobs_by_id.get(view.job_id)
    if job_view is None or (
        job_view.job.attempt is None
        and job_view.row_version
        and view.ending is not blackboard.Ending.CANCELLED
    ):
        del board.attempts_by_job_id[view.job_id]
        return [
            commands.SendToWorker(
                placement.worker_id, protocol.Forget(key), urgent=False
            )
            for key, placement in view.tasks()
        ]
    ended = outcome_of(job_view.job, view, board)
    return [commands.WriteJob(ended, job_view.row_version)]


def outcome_of(
    job: jobs.Job,
    view: blackboard.AttemptView,
    board: blackboard.Blackboard,
) -> jobs.Job:
    """Return the job's row after the end of an attempt."""
    saved = [
        report.checkpoint_s if report else 0.0
        for report in _reports(board, view)
    ]
    checkpoint_s = max(job.checkpoint_s, min(saved, default=0.0))
    ended = dataclasses.replace(job, attempt=None, checkpoint_s=checkpoint_s)
    if view.ending is blackboard.Ending.DONE:
        return dataclasses.replace(ended, state=jobs.JobState.DONE)
    if view.ending is blackboard.Ending.CANCELLED:
        return dataclasses.replace(ended, state=jobs.JobState.CANCELLED)
    if view.ending is not blackboard.Ending.MEMBER_FAILED:
        return dataclasses.replace(
            ended, state=jobs.JobState.WAITING, reason=view.detail
        )
    failures = job.failures + 1
    state = jobs.JobState.WAITING
    if failures >= board.config.job_rules.max_attempts:
        state = jobs.JobState.FAILED
    return dataclasses.replace(
        ended, state=state, failures=failures, reason=view.detail
    )
