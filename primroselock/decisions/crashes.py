"""Tasks that crash the workers that start them, and when they are given up.

Evidence of a crash is only that another incarnation answers: a run report
of a later boot, or a refusal for the worker's id at its address.  Silence,
expired leases and late calls are none.  Each attempt whose start was sent to
the incarnation that is gone counts once, and is stored with the progress of
its group, so that neither a takeover nor a second report changes the count.

A crash blames the group most (CLEAR) where no other job's work was on that
worker.  SHARED: some was; all get their next worker for themselves, if one is
free soon.  OUTSIDE: other workers were lost at about
the same time, as many that ran nothing as had work of this job, or half of
the zone or rack: a loss of power, not the work.  A group is given up after
two crashes if the last is CLEAR, after three that are not OUTSIDE, and after
four in any case, so that no cause lets a task crash workers without end.
"""

from collections import abc
import typing

import msgspec

from primroselock.decisions import crashlog
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock import jobs
from primroselock.workers import orders

_CLEAR_CRASHES: typing.Final = 2
_SHARED_CRASHES: typing.Final = 3
_MAX_CRASHES: typing.Final = 4
_SAME_CAUSE_S: typing.Final = 3.0
"""Workers that were first missed within this time may share a cause."""

_MIN_WIDE_LOSS: typing.Final = 3
"""Workers lost in one zone or rack before that may be its loss."""

_SENT_STATES: typing.Final = frozenset(
    {
        livejobs.MemberState.INHERITED,
        livejobs.MemberState.ORDERED,
        livejobs.MemberState.PRESENT,
    }
)
"""States of members whose start may have been sent."""

_FIRST_RETRY_DELAY_S: typing.Final = 0.5
_RETRY_DELAY_FACTOR: typing.Final = 4.0
_MAX_RETRY_DELAY_S: typing.Final = 2.0
_ALONE_WAITS_S: typing.Final = (2.0, 10.0, 20.0)
"""Wait for a worker without other jobs' work, after one crash and more.

Long-running work, which is due at all times, waits as after the first.
"""


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
    settled = board.crashes.settled_by_worker_id.pop(worker.id, [])
    if not report.boot or not report.is_complete:
        return []
    planned_boot = board.crashes.planned_boot_by_id.get(worker.id)
    listed = {running.run for running in report.running}
    listed.update(ended.run for ended in report.ended)
    unlisted = [m for run, m in worker.members.items() if run not in listed]
    sent = _list_sent(unlisted, now)
    victims = [
        run
        for run in settled + sent
        if 0 < run.boot < report.boot and run.boot != planned_boot
    ]
    if victims or 0 < worker.boot < report.boot:
        _record_loss(board, worker, victims, report.boot, now)
    return [run.group for run in victims if run in sent]


def record_replaced(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    members: abc.Sequence[livejobs.Member],
    now: float,
) -> None:
    """Record that another worker answers where ``members`` were to run.

    A worker that was draining has left as planned.
    """
    settled = board.crashes.settled_by_worker_id.pop(worker.id, [])
    if worker.entry.is_draining:
        return
    victims = settled + _list_sent(members, now)
    if victims:
        _record_loss(board, worker, victims, 0, now)


def note_settled(
    board: fleet.ShardBoard, worker: fleetworkers.Worker, now: float
) -> None:
    """Note the runs of a silent worker that are about to be settled.

    If it is back later as another incarnation, they had crashed with it.
    """
    settled = _list_sent(worker.members.values(), now)
    if settled:
        known = board.crashes.settled_by_worker_id.get(worker.id, [])
        board.crashes.settled_by_worker_id[worker.id] = known + settled


def note_entry(
    board: fleet.ShardBoard, entry: fleetworkers.WorkerEntry, now: float
) -> None:
    """Note that ``entry`` is about to replace an earlier one of its worker.

    An idle worker is not polled: only its entry tells that it was lost.
    """
    worker = board.workers_by_id.get(entry.id)
    if worker is None:
        return
    was = worker.entry
    if not 0 < was.boot < entry.boot:
        return
    if was.is_draining:
        board.crashes.planned_boot_by_id[worker.id] = was.boot
    elif not worker.members:
        _add_loss(board, worker, frozenset(), now)


def _list_sent(
    members: abc.Iterable[livejobs.Member], now: float
) -> list[crashlog.SentRun]:
    """Return the runs of members whose start may have been sent."""
    return [
        crashlog.SentRun(member.group, member.group.attempt, member.boot, now)
        for member in members
        if member.state in _SENT_STATES
    ]


def _record_loss(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    victims: abc.Sequence[crashlog.SentRun],
    boot: int,
    now: float,
) -> None:
    """Record the loss of a worker, and a crash of each attempt on it."""
    job_ids = frozenset(run.group.job.graph.id for run in victims)
    loss = _add_loss(board, worker, job_ids, now)
    lost = _list_lost(board, loss)
    groups = [run.group for run in victims]
    evidence_by_group = {
        group: _judge(board, group, loss, lost, groups) for group in groups
    }
    for run in victims:
        group = run.group
        is_known = any(c.attempt == run.attempt for c in group.crashes)
        if is_known or group.phase is livejobs.Phase.DONE:
            continue
        evidence = evidence_by_group[group]
        place = jobgraph.Place(worker.id, run.boot)
        group.crashes += (jobgraph.Crash(run.attempt, evidence, place),)
        board.crashes.crashes += 1
        board.crashes.add_suspect(group)
        board.crashes.last_loss_by_group[group] = loss
        board.record_decision(
            'worker crashed under a task',
            group.job,
            group=_name(group),
            attempt=run.attempt,
            worker=worker.id,
            was=run.boot,
            boot=boot,
            evidence=evidence.value,
            crashes=len(group.crashes),
        )
        board.mark_changed(group.job)


def _add_loss(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    job_ids: frozenset[str],
    now: float,
) -> crashlog.Loss:
    log = board.crashes
    log.forget_old(now)
    lost_at = worker.unresponsive_since if worker.failures_in_row else now
    entry = worker.entry
    loss = crashlog.Loss(worker.id, entry.zone, entry.rack, lost_at, job_ids)
    log.losses.append(loss)
    return loss


def _judge(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    loss: crashlog.Loss,
    lost: abc.Sequence[crashlog.Loss],
    victims: abc.Sequence[livejobs.Group],
) -> jobgraph.CrashEvidence:
    """Return how much a loss blames a group; ``victims`` were there.

    ``lost`` are the workers lost at about the same time.
    """
    if _is_wide(board, group.job.graph.id, loss, lost):
        return jobgraph.CrashEvidence.OUTSIDE
    if any(other.job is not group.job for other in victims):
        return jobgraph.CrashEvidence.SHARED
    return jobgraph.CrashEvidence.CLEAR


def _count_blamed(group: livejobs.Group) -> int:
    return sum(
        crash.evidence is not jobgraph.CrashEvidence.OUTSIDE
        for crash in group.crashes
    )


def _list_lost(
    board: fleet.ShardBoard, loss: crashlog.Loss
) -> list[crashlog.Loss]:
    """Return the workers lost at about the same time, that of ``loss`` too."""
    lost = {
        other.worker_id: other
        for other in _list_silent(board) + board.crashes.losses
        if abs(other.lost_at - loss.lost_at) <= _SAME_CAUSE_S
    }
    return list(lost.values())


def _is_wide(
    board: fleet.ShardBoard,
    job_id: str,
    loss: crashlog.Loss,
    lost: abc.Sequence[crashlog.Loss],
) -> bool:
    """Return whether a loss had another cause than the work of a job."""
    idle = sum(not other.job_ids for other in lost)
    own = sum(job_id in other.job_ids for other in lost)
    if idle >= max(own, 1):
        return True
    listed = [w.entry for w in board.workers_by_id.values() if w.is_listed]
    return _is_half(
        sum(other.zone == loss.zone for other in lost),
        sum(entry.zone == loss.zone for entry in listed),
    ) or _is_half(
        sum(other.rack == loss.rack for other in lost),
        sum(entry.rack == loss.rack for entry in listed),
    )


def _is_half(lost: int, listed: int) -> bool:
    return lost >= _MIN_WIDE_LOSS and 2 * lost >= listed


def _list_silent(board: fleet.ShardBoard) -> list[crashlog.Loss]:
    """Return the workers that do not answer now, as if they were lost."""
    return [
        crashlog.Loss(
            worker.id,
            worker.entry.zone,
            worker.entry.rack,
            worker.unresponsive_since,
            frozenset(m.group.job.graph.id for m in worker.members.values()),
        )
        for worker in board.workers_by_id.values()
        if worker.failures_in_row and worker.is_listed
    ]


def retry_delay_s(group: livejobs.Group) -> float:
    """Return the delay after the attempt that ends; 0 without a crash.

    There is none after the first crash either: most tasks under which a
    worker crashes are innocent.  Later, what is known of other losses by then
    decides whether to give up; the last crash decides whatever is known.
    """
    repeated = len(group.crashes) - 1
    is_last = len(group.crashes) >= _MAX_CRASHES
    is_new = any(crash.attempt == group.attempt for crash in group.crashes)
    if repeated < 1 or is_last or not is_new:
        return 0.0
    delay_s: float = _FIRST_RETRY_DELAY_S * _RETRY_DELAY_FACTOR**repeated
    return min(delay_s, _MAX_RETRY_DELAY_S)


def may_share(
    group: livejobs.Group, worker: fleetworkers.Worker, now: float
) -> bool:
    """Return whether a group may be placed beside the work on a worker.

    One under which workers crashed waits a while for a worker without other
    jobs' work, so that it crashes nothing else and shows who is to blame.
    """
    if not group.crashes:
        return True
    waited_s = now - max(group.since, group.not_before)
    repeats = 0 if group.step.long_running else len(group.crashes) - 1
    if waited_s >= _ALONE_WAITS_S[min(repeats, len(_ALONE_WAITS_S) - 1)]:
        return True
    return all(
        member.group.job is group.job for member in worker.members.values()
    )


def find_suspects(board: fleet.ShardBoard) -> dict[str, set[str]]:
    """Return by worker the jobs whose work on it may crash it."""
    job_ids_by_worker_id: dict[str, set[str]] = {}
    for group in board.crashes.suspects:
        for member in group.remaining_members():
            job_ids = job_ids_by_worker_id.setdefault(member.worker_id, set())
            job_ids.add(group.job.graph.id)
    return job_ids_by_worker_id


def give_up(board: fleet.ShardBoard, now: float, wall_ms: int) -> None:
    """Fail the jobs with a waiting group that crashes its workers."""
    for group in list(board.crashes.suspects):
        if group.job.state.is_final or group.phase in (
            livejobs.Phase.DONE,
            livejobs.Phase.DROPPED,
        ):
            board.crashes.drop_suspect(group)
        elif (
            group.phase is livejobs.Phase.WAITING
            and now >= group.not_before
            and not group.job.is_cancelled
        ):
            if _is_guilty(group):
                _judge_again(board, group)
            if _is_guilty(group):
                _fail(board, group, wall_ms)


def _judge_again(board: fleet.ShardBoard, group: livejobs.Group) -> None:
    """Excuse the latest crash if the loss turns out to have been wide."""
    loss = board.crashes.last_loss_by_group.get(group)
    outside = jobgraph.CrashEvidence.OUTSIDE
    if loss is None or group.crashes[-1].evidence is outside:
        return
    lost = _list_lost(board, loss)
    if _is_wide(board, group.job.graph.id, loss, lost):
        excused = msgspec.structs.replace(group.crashes[-1], evidence=outside)
        group.crashes = (*group.crashes[:-1], excused)
        board.mark_changed(group.job)


def _is_guilty(group: livejobs.Group) -> bool:
    blamed = _count_blamed(group)
    is_clear = group.crashes[-1].evidence is jobgraph.CrashEvidence.CLEAR
    return (
        len(group.crashes) >= _MAX_CRASHES
        or blamed >= _SHARED_CRASHES
        or (blamed >= _CLEAR_CRASHES and is_clear)
    )


def _fail(
    board: fleet.ShardBoard, group: livejobs.Group, wall_ms: int
) -> None:
    board.crashes.given_up += 1
    board.crashes.drop_suspect(group)
    board.record_decision(
        'job failed: its task crashes workers',
        group.job,
        group=_name(group),
        attempts=[crash.attempt for crash in group.crashes],
        workers=[crash.place.worker_id for crash in group.crashes],
        boots=[crash.place.boot for crash in group.crashes],
        evidence=[crash.evidence.value for crash in group.crashes],
    )
    group.job.end(jobs.JobState.FAILED, wall_ms)
    board.mark_changed(group.job)


def _name(group: livejobs.Group) -> list[int]:
    return [group.key.occurrence, group.key.step, group.key.index]
