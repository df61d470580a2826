"""What follows from crashes: waits, workers for one job, failed jobs.

A group under which workers crashed, and that may be the cause, gets its next
worker for itself, if one is free soon.  Its job fails once a task is proved to
crash its workers (see ``crashevidence``); ``crashes`` records what happened.
"""

import typing


from primroselock.decisions import crashes
from primroselock.decisions import crashevidence
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import lostruns
from primroselock import jobgraph
from primroselock import jobs

_SECOND_CRASH_DELAY_S: typing.Final = 2.0
_ALONE_WAITS_S: typing.Final = (2.0, 10.0, 20.0)
"""Wait for a worker without other jobs' work, after one crash and more.

Long-running work, which is due at all times, waits as after the first.
"""


def retry_delay_s(group: livejobs.Group) -> float:
    """Return the delay after the attempt that ends; 0 without a crash.

    There is none after the first crash: most tasks under which a worker
    crashes are not the cause.  What is known of other losses some time after
    the second decides whether to give up; later ones decide at once.
    """
    is_new = any(crash.attempt == group.attempt for crash in group.crashes)
    if is_new and crashevidence.most_crashes(group) == 2:
        return _SECOND_CRASH_DELAY_S
    return 0.0


def may_share(
    group: livejobs.Group, worker: fleetworkers.Worker, now: float
) -> bool:
    """Return whether a group may be placed beside the work on a worker.

    One under which workers crashed waits a while for a worker without other
    jobs' work, so that it crashes nothing else and shows what the cause is.
    """
    if not group.crashes:
        return True
    waited_s = now - max(group.since, group.not_before)
    crashed = crashevidence.most_crashes(group)
    repeats = 0 if group.step.long_running else max(crashed - 1, 0)
    if waited_s >= _ALONE_WAITS_S[min(repeats, len(_ALONE_WAITS_S) - 1)]:
        return True
    return all(
        member.group.job is group.job for member in worker.members.values()
    )


def find_possible_causes(board: fleet.ShardBoard) -> dict[str, set[str]]:
    """Return by worker the jobs whose work on it may crash it."""
    job_ids_by_worker_id: dict[str, set[str]] = {}
    for group in board.crashes.possible_causes:
        crashes_by_task = crashevidence.group_by_task(group)
        for member in group.remaining_members():
            if member.index not in crashes_by_task:
                continue
            job_ids = job_ids_by_worker_id.setdefault(member.worker_id, set())
            job_ids.add(group.job.graph.id)
    return job_ids_by_worker_id


def give_up(board: fleet.ShardBoard, now: float, wall_ms: int) -> None:
    """Fail the jobs with a waiting group that crashes its workers.

    Those with the most crashes go first: they may be the cause of others'.
    """
    lostruns.forget_old(board, now)
    board.drains.forget_old(now, lambda id_: _is_drain_needed(board, id_))
    proved = []
    for group in list(board.crashes.possible_causes):
        if group.job.state.is_final or group.phase in (
            livejobs.Phase.DONE,
            livejobs.Phase.DROPPED,
        ):
            board.crashes.drop_possible_cause(group)
        elif (
            group.phase is livejobs.Phase.WAITING
            and now >= group.not_before
            and not group.job.is_cancelled
        ):
            if crashevidence.is_proved_cause(group):
                proved.append(group)
        elif group.phase is livejobs.Phase.RUNNING:
            _clear_if_sound(board, group)
    proved.sort(key=crashevidence.most_crashes, reverse=True)
    for group in proved:
        _classify_again(board, group)
        is_proved = crashevidence.is_proved_cause(group)
        if is_proved and not group.job.state.is_final:
            _fail(board, group, wall_ms)


def _is_drain_needed(board: fleet.ShardBoard, worker_id: str) -> bool:
    """Return whether a drain of a worker may still tell how it ends."""
    worker = board.workers_by_id.get(worker_id)
    is_draining = worker is not None and worker.entry.is_draining
    return is_draining or crashes.has_work(board, worker_id)


def _clear_if_sound(board: fleet.ShardBoard, group: livejobs.Group) -> None:
    """Forget the crashes under long-running work that has run for long."""
    if not group.step.long_running:
        return
    answered_at = [
        worker.last_answer_at
        for member in group.members
        if (worker := board.workers_by_id.get(member.worker_id)) is not None
    ]
    if not answered_at or not crashevidence.had_run_long(
        group.began_at, min(answered_at)
    ):
        return
    board.record_decision(
        'task runs without a crash: earlier ones are forgotten',
        group.job,
        group=group.key.as_list(),
        attempts=[crash.attempt for crash in group.crashes],
    )
    group.crashes = ()
    board.crashes.drop_possible_cause(group)
    board.mark_changed(group.job)


def _classify_again(board: fleet.ShardBoard, group: livejobs.Group) -> None:
    """Record another cause if the latest loss turns out to have been wide."""
    last_attempt = group.crashes[-1].attempt
    wide = [
        crash
        for crash in group.crashes
        if crash.attempt == last_attempt and _was_wide(board, group, crash)
    ]
    crashes.record_other_cause(board, group, wide)


def _was_wide(
    board: fleet.ShardBoard, group: livejobs.Group, crash: jobgraph.Crash
) -> bool:
    job_id = group.job.graph.id
    loss = board.crashes.find_loss(crash.place.worker_id, job_id)
    return loss is not None and crashevidence.is_wide(board, group, loss)


def _record_common_cause(
    board: fleet.ShardBoard, cause: livejobs.Group
) -> None:
    """Record that ``cause`` crashed the workers under other jobs, too."""
    places = crashevidence.find_proved_places(cause)
    for group in board.crashes.possible_causes:
        if group.job is not cause.job:
            shared = [c for c in group.crashes if c.place in places]
            crashes.record_other_cause(board, group, shared)


def _fail(
    board: fleet.ShardBoard, group: livejobs.Group, wall_ms: int
) -> None:
    board.crashes.given_up += 1
    board.crashes.drop_possible_cause(group)
    board.record_decision(
        'job failed: its task crashes workers',
        group.job,
        group=group.key.as_list(),
        attempts=[crash.attempt for crash in group.crashes],
        tasks=[list(crash.task_indices) for crash in group.crashes],
        workers=[crash.place.worker_id for crash in group.crashes],
        boots=[crash.place.boot for crash in group.crashes],
        evidence=[crash.evidence.value for crash in group.crashes],
    )
    group.job.end(jobs.JobState.FAILED, wall_ms)
    _record_common_cause(board, group)
    board.mark_changed(group.job)
