"""What proves that a task crashes the workers that start it.

Crashes are counted for each task, so that those under the other members of
its gang say nothing about it.  How far one crash is attributed to the tasks
on that worker is a :class:`jobgraph.CrashEvidence`:

- OUTSIDE: other workers were lost at about the same time, as many that ran
  nothing as had work of this job, or half of the zone or rack: a loss of
  power, not the work.  Or the attempt had run for long before, or the worker
  may have left as planned.
- SHARED: another job's work was on that worker, or workers that had no work
  of this job were lost lately, or only an earlier holder saw it lost.
- CLEAR: neither.

A task is proved to crash workers by two crashes if the last is CLEAR, by
three that are not OUTSIDE, and by four in any case, or three and two more
starts, so that no cause lets it crash workers without end.  Long-running work
must be started again however it ends: two crashes prove nothing of it, and a
long run without a crash clears it.

The crashes of a task that is proved to cause them are none of other jobs'.
"""

from collections import abc
import typing

from primroselock.decisions import crashlog
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph

MAX_CRASHES: typing.Final = 4
_CLEAR_CRASHES: typing.Final = 2
_ATTRIBUTED_CRASHES: typing.Final = 3
_CRASHES_BEFORE_LAST_STARTS: typing.Final = 3
_MAX_LAST_STARTS: typing.Final = 2
_SAME_CAUSE_S: typing.Final = 3.0
"""Workers that were first missed within this time may share a cause."""

_MIN_WIDE_LOSS: typing.Final = 3
"""Workers lost in one zone or rack before that may be its loss."""

_SOUND_RUN_S: typing.Final = 30.0
"""What has run for so long is not what crashes workers that start it."""


def list_task_indices(
    group: livejobs.Group, crash: jobgraph.Crash
) -> tuple[int, ...]:
    """Return the tasks of a group that were on a worker that crashed.

    Of a gang in a row of an earlier build they are not known.
    """
    if crash.task_indices or group.size > 1:
        return crash.task_indices
    return (group.key.index,)


def group_by_task(group: livejobs.Group) -> dict[int, list[jobgraph.Crash]]:
    """Return the crashes of a group by the index of the task, oldest first."""
    crashes_by_task: dict[int, list[jobgraph.Crash]] = {}
    for crash in group.crashes:
        for index in list_task_indices(group, crash):
            crashes_by_task.setdefault(index, []).append(crash)
    return crashes_by_task


def most_crashes(group: livejobs.Group) -> int:
    """Return the number of crashes under the task that has the most."""
    return max(map(len, group_by_task(group).values()), default=0)


def is_proved_cause(group: livejobs.Group) -> bool:
    """Return whether a task of the group is proved to crash workers."""
    return bool(_list_proofs(group))


def find_proved_places(group: livejobs.Group) -> frozenset[jobgraph.Place]:
    """Return the workers that a group's tasks are proved to have crashed."""
    return frozenset(
        crash.place for proof in _list_proofs(group) for crash in proof
    )


def _list_proofs(group: livejobs.Group) -> list[list[jobgraph.Crash]]:
    """Return the crashes of each task that is proved to crash workers."""
    return [
        crashes
        for crashes in group_by_task(group).values()
        if _is_proof(group, crashes)
    ]


def _is_proof(
    group: livejobs.Group, crashes: abc.Sequence[jobgraph.Crash]
) -> bool:
    """Return whether the crashes under one task prove that it causes them."""
    attributed = sum(
        crash.evidence is not jobgraph.CrashEvidence.OUTSIDE
        for crash in crashes
    )
    if (
        len(crashes) >= MAX_CRASHES
        or attributed >= _ATTRIBUTED_CRASHES
        or _has_used_its_starts(group, crashes)
    ):
        return True
    is_clear = crashes[-1].evidence is jobgraph.CrashEvidence.CLEAR
    may_be_clear = not group.step.long_running
    return may_be_clear and is_clear and attributed >= _CLEAR_CRASHES


def _has_used_its_starts(
    group: livejobs.Group, crashes: abc.Sequence[jobgraph.Crash]
) -> bool:
    """Return whether a task had its last start, however the runs ended."""
    if len(crashes) < _CRASHES_BEFORE_LAST_STARTS:
        return False
    counted = crashes[_CRASHES_BEFORE_LAST_STARTS - 1]
    return group.attempt - counted.attempt >= _MAX_LAST_STARTS


def classify(
    board: fleet.ShardBoard, loss: crashlog.Loss, run: crashlog.SentRun
) -> jobgraph.CrashEvidence:
    """Return how far a loss is attributed to a run that was on the worker."""
    is_excused = run.had_run_long or run.may_have_left
    if is_excused or is_wide(board, run.group, loss):
        return jobgraph.CrashEvidence.OUTSIDE
    own_id = run.group.job.graph.id
    crashes_elsewhere = any(
        own_id not in other.job_ids for other in board.crashes.losses
    )
    if loss.job_ids != {own_id} or crashes_elsewhere or run.is_inherited:
        return jobgraph.CrashEvidence.SHARED
    return jobgraph.CrashEvidence.CLEAR


def had_run_long(began_at: float | None, until: float) -> bool:
    """Return whether an attempt ran for long from ``began_at`` on."""
    return began_at is not None and until - began_at >= _SOUND_RUN_S


def is_wide(
    board: fleet.ShardBoard, group: livejobs.Group, loss: crashlog.Loss
) -> bool:
    """Return whether a loss had another cause than the work of a group."""
    lost = _list_lost(board, loss)
    own_id = group.job.graph.id
    idle = sum(not other.job_ids for other in lost)
    own = sum(own_id in other.job_ids for other in lost)
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


def _list_silent(board: fleet.ShardBoard) -> list[crashlog.Loss]:
    """Return the workers that do not answer now, as if they were lost.

    Those that have left as planned are none of them.
    """
    return [
        crashlog.Loss(
            worker.id,
            worker.entry.zone,
            worker.entry.rack,
            worker.unresponsive_since,
            frozenset(m.group.job.graph.id for m in worker.members.values()),
        )
        for worker in board.workers_by_id.values()
        if worker.failures_in_row
        and worker.is_listed
        and not _may_have_left(board, worker)
    ]


def _may_have_left(
    board: fleet.ShardBoard, worker: fleetworkers.Worker
) -> bool:
    """Return whether a worker that does not answer may have drained."""
    return board.drains.has_drained(worker.id, worker.latest_boot)
