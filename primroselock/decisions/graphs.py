"""Advances jobs through their graphs: occurrences, steps, ends of groups.

Live jobs are built from stored rows and written back to them here.  A job
is done when every group of every occurrence is done, and fails when one
group has failed as often as its queue allows.
"""

import typing

from primroselock import backoff
from primroselock.decisions import crashes
from primroselock.decisions import crashpolicy
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions.runtimes import observations
from primroselock.decisions.victims import weights
from primroselock import jobgraph
from primroselock import jobs
from primroselock import queues

_MIN_RETRY_DELAY_S: typing.Final = 0.05
_MAX_RETRY_DELAY_S: typing.Final = 1.0
_MIN_REQUEUE_DELAY_S: typing.Final = 0.25
_MAX_PREEMPTIONS: typing.Final = 1000
"""More preemptions than a group has; a row may say anything."""

_MAX_REQUEUE_DELAY_S: typing.Final = 4.0

_MAX_RELEASED: typing.Final = 200
"""Groups after which no further occurrence is added at once."""

_ROW_PHASES: typing.Final = {
    livejobs.Phase.BLOCKED: jobgraph.GroupPhase.WAITING,
    livejobs.Phase.WAITING: jobgraph.GroupPhase.WAITING,
    livejobs.Phase.DROPPED: jobgraph.GroupPhase.WAITING,
    livejobs.Phase.COMMITTING: jobgraph.GroupPhase.PLACED,
    livejobs.Phase.STARTING: jobgraph.GroupPhase.PLACED,
    livejobs.Phase.RUNNING: jobgraph.GroupPhase.PLACED,
    livejobs.Phase.STOPPING: jobgraph.GroupPhase.PLACED,
    livejobs.Phase.DONE: jobgraph.GroupPhase.DONE,
}


def add_job(
    board: fleet.ShardBoard,
    graph: jobgraph.JobGraph,
    progress: jobgraph.JobProgress | None,
    row_version: int,
    now: float,
    wall_ms: int,
) -> livejobs.LiveJob | None:
    """Add a job from its rows to the blackboard and return it.

    Return None for a job that has ended.  ``row_version`` is the version
    of the progress row, or 0 where there is none.
    """
    if progress is not None and progress.state.is_final:
        return None
    last_queue = progress.queue if progress is not None else None
    job = livejobs.LiveJob(
        graph,
        board.queue_configuration.find_by_name(graph.queue)
        or last_queue
        or graph.accepted_queue,
        objectives.critical_paths_s(graph, board.learned),
        row_version,
        phases=board.phases,
    )
    board.jobs_by_id[graph.id] = job
    if progress is not None:
        job.state = progress.state
        _restore(board, job, progress, now)
    release_due(board, job, now, wall_ms)
    return job


def drop_job(board: fleet.ShardBoard, job_id: str) -> None:
    """Remove a job that could not be added, with all that is known of it."""
    job = board.jobs_by_id.pop(job_id, None)
    if job is None:
        return
    for group in job.groups_by_key.values():
        for member in group.members:
            board.mark_terminated(member)
        board.phases.leave(group)
    board.phases.unreleased_jobs.pop(job, None)
    board.phases.ending_jobs.pop(job, None)


def _restore(
    board: fleet.ShardBoard,
    job: livejobs.LiveJob,
    progress: jobgraph.JobProgress,
    now: float,
) -> None:
    """Restore the groups of a job from their records."""
    for record in progress.groups:
        while job.released <= record.key.occurrence:
            _release_occurrence(job, now)
        group = job.groups_by_key.get(record.key)
        if group is None:
            continue
        group.attempt = record.attempt
        group.failures = record.failures
        group.failed_attempt = record.failed_attempt
        group.crashes = record.crashes
        group.lost_runs = record.lost_runs
        group.preemptions = max(0, min(record.preemptions, _MAX_PREEMPTIONS))
        crashes.restore(board, group, now)
        group.checkpoint = record.checkpoint
        group.is_resumed = True
        if record.phase is jobgraph.GroupPhase.DONE:
            group.enter(livejobs.Phase.DONE, now)
        elif record.phase is jobgraph.GroupPhase.PLACED:
            group.enter(livejobs.Phase.STARTING, now)
            _restore_members(board, group, record)
    for occurrence in range(job.released):
        _unblock(job, occurrence, now)


def _restore_members(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    record: jobgraph.GroupRecord,
) -> None:
    for index, place in zip(group.task_indices, record.places, strict=False):
        member = livejobs.Member(
            group,
            index,
            place.worker_id,
            place.boot,
            livejobs.MemberState.INHERITED,
        )
        group.members.append(member)
        worker = board.workers_by_id.get(place.worker_id)
        if worker is None:
            worker = _add_unlisted_worker(board, place)
        worker.add_member(member)


def _add_unlisted_worker(
    board: fleet.ShardBoard, place: jobgraph.Place
) -> fleetworkers.Worker:
    """Add a worker without an entry, kept until its lease has expired."""
    entry = fleetworkers.WorkerEntry(
        place.worker_id, '', '', '', '', (), fleetworkers.NO_RESOURCES
    )
    worker = fleetworkers.Worker(entry, is_listed=False, boot=place.boot)
    board.workers_by_id[place.worker_id] = worker
    return worker


def release_due(
    board: fleet.ShardBoard, job: livejobs.LiveJob, now: float, wall_ms: int
) -> bool:
    """Add the groups of the occurrences that are due, but not of too many.

    Returns whether more are due.
    """
    graph = job.graph
    most = len(job.groups_by_key) + _MAX_RELEASED
    while job.released < graph.occurrences:
        is_due = graph.due_ms(job.released) <= wall_ms
        if not is_due or len(job.groups_by_key) >= most:
            board.phases.unreleased_jobs[job] = None
            return is_due
        _release_occurrence(job, now)
        _unblock(job, job.released - 1, now)
    board.phases.unreleased_jobs.pop(job, None)
    return False


def _release_occurrence(job: livejobs.LiveJob, now: float) -> None:
    occurrence = job.released
    job.released += 1
    for number, step in enumerate(job.graph.steps):
        for index in range(step.group_count):
            job.add_group(jobgraph.GroupKey(occurrence, number, index), now)


def _unblock(job: livejobs.LiveJob, occurrence: int, now: float) -> None:
    """Queue the blocked groups whose dependencies are done."""
    for number, step in enumerate(job.graph.steps):
        groups = job.groups_of_step(occurrence, number)
        if groups[0].phase is not livejobs.Phase.BLOCKED and all(
            group.phase is not livejobs.Phase.BLOCKED for group in groups
        ):
            continue
        if not all(job.is_step_done(occurrence, s) for s in step.after):
            continue
        for group in groups:
            if group.phase is livejobs.Phase.BLOCKED:
                group.enter(livejobs.Phase.WAITING, now)


def complete_group(
    board: fleet.ShardBoard, group: livejobs.Group, now: float, wall_ms: int
) -> None:
    """Record that a group is done, and the job if it was the last one."""
    job = group.job
    observations.record_done(board, group, now)
    group.end_reason = livejobs.EndReason.DONE
    group.enter(livejobs.Phase.DONE, now)
    if job.is_step_done(group.key.occurrence, group.key.step):
        # Nothing else waits for this group alone.
        _unblock(job, group.key.occurrence, now)
    if not job.state.is_final and _is_all_done(job):
        job.end(jobs.JobState.DONE, wall_ms)
        board.record_decision('job done', job, groups=len(job.groups_by_key))
    board.mark_changed(job)


def _is_all_done(job: livejobs.LiveJob) -> bool:
    return job.released >= job.graph.occurrences and not job.open_counts


def conclude_attempt(
    board: fleet.ShardBoard, group: livejobs.Group, now: float, wall_ms: int
) -> None:
    """Conclude an attempt that was not completed; queue its group again.

    A group of a job that has ended, or that has failed as often as its
    queue allows, is dropped instead.
    """
    end_reason = group.end_reason or livejobs.EndReason.LOST
    observations.record_unfinished(board, group, end_reason, now)
    if end_reason is livejobs.EndReason.FAILED:
        group.not_before = now + _retry_delay_s(group.failures)
    elif end_reason is livejobs.EndReason.REFUSED:
        # Another worker may accept it at once; what each one refuses must
        # not hold capacity most of the time.
        group.refusals_in_row += 1
        if group.refusals_in_row > 1:
            group.not_before = now + _retry_delay_s(group.refusals_in_row - 1)
    elif end_reason is livejobs.EndReason.PREEMPTED:
        # The capacity is likely to be needed by more urgent work again soon.
        group.preemptions += 1
        group.yields_until = now + backoff.doubled_s(
            _MIN_REQUEUE_DELAY_S, group.preemptions, _MAX_REQUEUE_DELAY_S
        )
    crash_delay_s = crashpolicy.retry_delay_s(group)
    if crash_delay_s:
        group.not_before = max(group.not_before, now + crash_delay_s)
    worked_core_s = group.worked_s(now) * weights.weight(group)
    group.members = []
    group.end_reason = None
    group.began_at = None
    job = group.job
    if job.is_cancelled or job.state.is_final:
        group.enter(livejobs.Phase.DROPPED, now)
    elif _has_exhausted_attempts(job, group):
        group.enter(livejobs.Phase.DROPPED, now)
        _fail(board, job, group, wall_ms)
    else:
        group.enter(livejobs.Phase.WAITING, now)
    board.record_decision(
        'attempt ended',
        job,
        group=group.key.as_list(),
        attempt=group.attempt,
        ending=end_reason.value,
        failures=group.failures,
        worked_core_s=round(worked_core_s, 1),
        saves=group.step.checkpointing,
    )
    board.mark_changed(job)


def _retry_delay_s(failures: int) -> float:
    return backoff.doubled_s(
        _MIN_RETRY_DELAY_S, failures - 1, _MAX_RETRY_DELAY_S
    )


def _has_exhausted_attempts(
    job: livejobs.LiveJob, group: livejobs.Group
) -> bool:
    if group.step.long_running or job.queue is None:
        return False
    return group.failures >= job.queue.max_attempts


def _fail(
    board: fleet.ShardBoard,
    job: livejobs.LiveJob,
    group: livejobs.Group,
    wall_ms: int,
) -> None:
    job.end(jobs.JobState.FAILED, wall_ms)
    board.record_decision(
        'job failed',
        job,
        group=group.key.as_list(),
        failures=group.failures,
    )


def use_queues(
    board: fleet.ShardBoard, current: queues.QueueConfiguration
) -> None:
    """Use a version of the queues; a removed one keeps its last terms.

    These are stored if they are not those at acceptance, which a later holder
    has in any case.
    """
    board.queue_configuration = current
    for job in board.jobs_by_id.values():
        queue = current.find_by_name(job.graph.queue)
        if queue is not None:
            job.queue = queue
        elif job.queue != job.graph.accepted_queue:
            board.mark_changed(job)


def build_progress(job: livejobs.LiveJob) -> jobgraph.JobProgress:
    """Return the progress of a job as it is stored."""
    records: tuple[jobgraph.GroupRecord, ...] = ()
    queue = None
    if not job.state.is_final:
        if job.queue != job.graph.accepted_queue:
            queue = job.queue
        records = tuple(
            _build_record(group)
            for group in job.groups_by_key.values()
            if group.attempt
        )
    return jobgraph.JobProgress(job.state, records, job.ended_ms, queue=queue)


def _build_record(group: livejobs.Group) -> jobgraph.GroupRecord:
    """Return the stored progress of a group that was placed."""
    phase = _ROW_PHASES[group.phase]
    if phase is jobgraph.GroupPhase.DONE:
        # Nothing else is asked of a group that never runs again.
        return jobgraph.GroupRecord(group.key, phase, group.attempt)
    places: tuple[jobgraph.Place, ...] = ()
    if group.phase in livejobs.ACTIVE_PHASES:
        places = tuple(
            jobgraph.Place(member.worker_id, member.boot)
            for member in group.members
        )
    return jobgraph.GroupRecord(
        group.key,
        phase,
        group.attempt,
        group.failures,
        group.checkpoint,
        places,
        group.failed_attempt,
        group.crashes,
        group.lost_runs,
        group.preemptions,
    )
