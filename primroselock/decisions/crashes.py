"""Crashes of workers under the tasks that run there, as they are recorded.

Evidence of a crash is only that another incarnation answers: a run report
of a later boot, or a refusal for the worker's id at its address.  Silence,
expired leases and late calls are none, and a worker that has left as planned
has not crashed (see ``drainlog``).  Each task whose start was sent to
the incarnation that is gone counts once an attempt, and is stored with the
progress of its group, so that neither a takeover nor a second report changes
the count.  ``crashevidence`` tells what the crashes prove, and ``crashpolicy``
what follows.
"""

from collections import abc
import dataclasses
import typing

import msgspec

from primroselock.decisions import crashevidence
from primroselock.decisions import crashlog
from primroselock.decisions import drainlog
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import lostruns
from primroselock import jobgraph
from primroselock.workers import orders


_DRAINED_ENDINGS: typing.Final = frozenset(
    {drainlog.Ending.PLANNED, drainlog.Ending.DRAINED}
)


def record_restart(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    report: orders.RunReport,
    now: float,
) -> list[livejobs.Group]:
    """Record the crashes that a run report shows, before it is applied.

    Returns the groups that the incarnation before was to run and that the
    report does not list: their attempts cannot go on.
    """
    if not report.boot or not report.is_complete:
        return []
    settled = lostruns.take(board, worker.id)
    listed = {running.run for running in report.running}
    listed.update(ended.run for ended in report.ended)
    unlisted = [m for run, m in worker.members.items() if run not in listed]
    sent = _list_before(lostruns.list_sent(worker, unlisted, now), report.boot)
    ended = _list_before(settled, report.boot) + sent
    crashed = _list_crashed(board, worker.id, ended, report.boot, now)
    if crashed or _is_lost(board, worker, report.boot, now):
        loss = _build_loss(worker, report.boot, now)
        _record_loss(board, loss, crashed, now)
    return [run.group for run in sent]


def _list_before(
    runs: abc.Iterable[crashlog.SentRun], boot: int
) -> list[crashlog.SentRun]:
    """Return the runs that were sent to a known boot before another."""
    return [run for run in runs if 0 < run.boot < boot]


def _is_lost(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    next_boot: int,
    now: float,
) -> bool:
    """Return whether the boot that was polled has ended, and not as planned.

    Nothing need have run there.
    """
    if not 0 < worker.boot < next_boot:
        return False
    ending = board.drains.find_ending(
        worker.id, worker.boot, next_boot, worker.boot_seen_at, now
    )
    return ending not in _DRAINED_ENDINGS


def _list_crashed(
    board: fleet.ShardBoard,
    worker_id: str,
    runs: abc.Sequence[crashlog.SentRun],
    next_boot: int,
    now: float,
) -> list[crashlog.SentRun]:
    """Return the runs under which a boot of a worker was lost.

    ``next_boot`` is 0 if the boot that came after is not known.
    """
    crashed = []
    planned = []
    for run in runs:
        ending = board.drains.find_ending(
            worker_id, run.boot, next_boot, run.seen_at, now
        )
        if ending is drainlog.Ending.PLANNED or (
            ending is drainlog.Ending.DRAINED and not _has_crashed(run)
        ):
            planned.append(run)
        else:
            may_have_left = ending is not drainlog.Ending.LOST
            crashed.append(
                dataclasses.replace(run, may_have_left=may_have_left)
            )
    for group in dict.fromkeys(run.group for run in planned):
        board.record_decision(
            'worker left as planned under a task',
            group.job,
            group=group.key.as_list(),
            attempt=group.attempt,
            worker=worker_id,
            boot=next_boot,
        )
    board.crashes.planned_leaves += len(planned)
    return crashed


def _has_crashed(run: crashlog.SentRun) -> bool:
    """Return whether workers have crashed under the task of a run before.

    Then it has not the benefit of the doubt.
    """
    crashes_by_task = crashevidence.group_by_task(run.group)
    return run.task_index in crashes_by_task


def record_replaced(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    members: abc.Sequence[livejobs.Member],
    now: float,
) -> None:
    """Record that another worker answers where ``members`` were to run."""
    ended = lostruns.take(board, worker.id)
    ended += lostruns.list_sent(worker, members, now)
    crashed = _list_crashed(board, worker.id, ended, 0, now)
    if crashed:
        _record_loss(board, _build_loss(worker, 0, now), crashed, now)


def note_settled(
    board: fleet.ShardBoard, worker: fleetworkers.Worker, now: float
) -> None:
    """Note the runs of a silent worker that are about to be settled.

    If it is back later as another incarnation, they had crashed with it,
    unless it has left as planned.
    """
    sent = lostruns.list_sent(worker, worker.members.values(), now)
    lost = _list_crashed(board, worker.id, sent, 0, now)
    lostruns.note(board, worker, lost, now)
    board.drains.note_silence(
        worker.id, worker.latest_boot, worker.boot_seen_at
    )


def restore(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> None:
    """Note the crashes and lost runs that were stored for a group."""
    if group.crashes:
        board.crashes.add_possible_cause(group)
    lostruns.restore(board, group, now)


def review_entries(board: fleet.ShardBoard, now: float) -> None:
    """Record the crashes that the entries show, after a takeover."""
    for worker in board.workers_by_id.values():
        if worker.is_listed:
            _record_lost(board, worker.entry, now)


def note_entry(
    board: fleet.ShardBoard, entry: fleetworkers.WorkerEntry, now: float
) -> None:
    """Note that ``entry`` is about to replace an earlier one of its worker.

    An idle worker is not polled: only its entry tells that it was lost.
    """
    worker = board.workers_by_id.get(entry.id)
    if (
        worker is not None
        and not worker.members
        and 0 < worker.entry.boot < entry.boot
    ):
        ending = board.drains.find_ending(
            worker.id, worker.entry.boot, entry.boot, now, now
        )
        if ending not in _DRAINED_ENDINGS:
            loss = _build_loss(worker, entry.boot, now)
            _record_loss(board, loss, (), now)
    _record_lost(board, entry, now)
    if entry.is_draining and not board.drains.has_drained(
        entry.id, entry.boot
    ):
        _retract_crashes(board, entry)


def _retract_crashes(
    board: fleet.ShardBoard, entry: fleetworkers.WorkerEntry
) -> None:
    """Forget what was recorded of a boot that turns out to have drained.

    Its entry is read late: the next boot has answered before.  A task under
    which other workers have crashed has not the benefit of the doubt.
    """
    board.crashes.drop_losses(entry.id, entry.boot)
    place = jobgraph.Place(entry.id, entry.boot)
    for group in list(board.crashes.possible_causes):
        drained = [crash for crash in group.crashes if crash.place == place]
        if len(drained) < len(group.crashes):
            record_other_cause(board, group, drained)
            continue
        group.crashes = ()
        board.crashes.drop_possible_cause(group)
        board.record_decision(
            'crash under a task retracted: its worker had left as planned',
            group.job,
            group=group.key.as_list(),
            worker=entry.id,
            was=entry.boot,
        )
        board.mark_changed(group.job)


def record_other_cause(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    crashes: abc.Collection[jobgraph.Crash],
) -> None:
    """Record that ``crashes`` under a group had another cause."""
    outside = jobgraph.CrashEvidence.OUTSIDE
    classified = tuple(
        msgspec.structs.replace(crash, evidence=outside)
        if crash in crashes
        else crash
        for crash in group.crashes
    )
    if classified != group.crashes:
        group.crashes = classified
        board.mark_changed(group.job)


def note_gap(board: fleet.ShardBoard) -> None:
    """Note that changes of the workers' entries may have been missed.

    Boots that the entries name no more may have drained unseen.
    """
    for worker in board.workers_by_id.values():
        boot = (
            worker.entry.boot - 1 if worker.is_listed else worker.latest_boot
        )
        board.drains.note_gap(worker.id, boot)
    for lost in board.crashes.lost_by_worker_id.values():
        if lost.id not in board.workers_by_id:
            board.drains.note_gap(lost.id, lost.latest_boot)


def report_drains(
    board: fleet.ShardBoard, version: int | None
) -> drainlog.DrainReport:
    """Return the drains to publish: those that may end attempts.

    The workers' entries were read up to ``version``.
    """
    worker_ids = [
        worker_id
        for worker_id in board.drains.drains_by_worker_id
        if has_work(board, worker_id)
    ]
    return board.drains.report(worker_ids, version)


def has_work(board: fleet.ShardBoard, worker_id: str) -> bool:
    """Return whether how a worker ends may matter to any work."""
    worker = board.workers_by_id.get(worker_id)
    has_members = worker is not None and bool(worker.members)
    return has_members or worker_id in board.crashes.lost_by_worker_id


def _record_lost(
    board: fleet.ShardBoard, entry: fleetworkers.WorkerEntry, now: float
) -> None:
    """Record the crashes of lost runs that an entry shows.

    It names another incarnation of their worker, or another worker at its
    address.
    """
    log = board.crashes
    if not log.lost_by_worker_id:
        return
    for lost_id in {entry.id, log.lost_ids_by_address.get(entry.address)}:
        lost = log.lost_by_worker_id.get(lost_id or '')
        if lost is None or not lost.is_before(entry.boot):
            continue
        next_boot = entry.boot if lost.id == entry.id else 0
        runs = lostruns.take(board, lost.id)
        crashed = _list_crashed(board, lost.id, runs, next_boot, now)
        if crashed:
            loss = crashlog.Loss(
                lost.id, entry.zone, entry.rack, now, frozenset(), entry.boot
            )
            _record_loss(board, loss, crashed, now)


def _record_loss(
    board: fleet.ShardBoard,
    loss: crashlog.Loss,
    crashed: abc.Sequence[crashlog.SentRun],
    now: float,
) -> None:
    """Record the loss of a worker, and a crash under each task on it."""
    board.crashes.forget_old_losses(now)
    job_ids = frozenset(run.group.job.graph.id for run in crashed)
    loss = board.crashes.add_loss(dataclasses.replace(loss, job_ids=job_ids))
    runs_by_attempt: dict[
        tuple[livejobs.Group, int], list[crashlog.SentRun]
    ] = {}
    for run in crashed:
        if run.group.phase is not livejobs.Phase.DONE and not _is_known(run):
            attempt = (run.group, run.attempt)
            runs_by_attempt.setdefault(attempt, []).append(run)
    for runs in runs_by_attempt.values():
        _record_crash(board, loss, runs)


def _is_known(run: crashlog.SentRun) -> bool:
    """Return whether the crash of a task in an attempt is recorded."""
    return any(
        crash.attempt == run.attempt
        and run.task_index in crashevidence.list_task_indices(run.group, crash)
        for crash in run.group.crashes
    )


def _record_crash(
    board: fleet.ShardBoard,
    loss: crashlog.Loss,
    runs: abc.Sequence[crashlog.SentRun],
) -> None:
    """Record the loss of a worker under tasks of one attempt of a group.

    Long-running work that has run for long is not what crashed it.
    """
    first = runs[0]
    group = first.group
    evidence = crashevidence.classify(board, loss, first)
    board.crashes.crashes += 1
    board.record_decision(
        'worker crashed under a task',
        group.job,
        group=group.key.as_list(),
        attempt=first.attempt,
        tasks=[run.task_index for run in runs],
        worker=loss.worker_id,
        was=first.boot,
        boot=loss.next_boot,
        evidence=evidence.value,
        may_have_left=first.may_have_left,
        crashes=len(group.crashes),
    )
    if group.step.long_running and first.had_run_long:
        return
    group.crashes += (
        jobgraph.Crash(
            first.attempt,
            evidence,
            jobgraph.Place(loss.worker_id, first.boot),
            tuple(run.task_index for run in runs),
        ),
    )
    board.crashes.add_possible_cause(group)
    board.mark_changed(group.job)


def _build_loss(
    worker: fleetworkers.Worker, next_boot: int, now: float
) -> crashlog.Loss:
    """Return the loss of a worker, before what it ran is known."""
    entry = worker.entry
    return crashlog.Loss(
        worker.id,
        entry.zone,
        entry.rack,
        worker.missed_at(now),
        frozenset(),
        next_boot,
    )
