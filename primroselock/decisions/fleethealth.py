"""Detects faulty workers and stuck tasks.

A worker on which distinct jobs fail, or one job repeatedly, without a
success in between is quarantined: it gets no work for a time that doubles
with each repetition.  After that it is on probation: the next failure
quarantines it again, the next success clears it.  Jobs that always fail
make sound workers look faulty, too: no more than a share of the workers of
each service is quarantined at a time, and never its last one.

A task is stuck when it runs much longer than others of its step or queue,
when it is much slower than its siblings (tasks of the same step), or when
it makes no progress.  Some tasks are just long: each time a group is stuck,
the times after which it counts as stuck again double, and only the first
time counts against its workers.  Run times within a queue vary widely, so
that only siblings show early that a task is slow.
"""

import dataclasses
import itertools
import math
import typing

from primroselock import backoff
from primroselock.decisions.endtimes import needs
from primroselock.decisions import evidence
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions.runtimes import observations

_MIN_JOBS_TO_FAULT_WORKER: typing.Final = 2
"""Distinct jobs that must fail on a worker before its first quarantine."""

_MIN_JOBS_ON_PROBATION: typing.Final = 1
_FIRST_QUARANTINE_S: typing.Final = 4.0
_MAX_QUARANTINE_S: typing.Final = 60.0
_MAX_QUARANTINED_SHARE: typing.Final = 0.25
_STUCK_FACTOR: typing.Final = 2.2
_STUCK_MARGIN_S: typing.Final = 1.0
"""A group is too slow beyond ``_STUCK_FACTOR`` times its expected run time
plus this margin."""

CHECKED_AT_ONCE: typing.Final = 200
"""Groups that one call checks at most."""

_NO_PROGRESS: typing.Final = 'no progress'
_STALL_TIMEOUT_S: typing.Final = 3.0
"""Time without a higher reported share after which a run is stalled."""

_MAX_DOUBLINGS: typing.Final = 10
"""How often the times after which a group counts as stuck may double."""

_SHARE_RESOLUTION: typing.Final = 0.01
_STALL_STEPS: typing.Final = 4
"""Progress is reported in hundredths: a run is stalled only when it should
have gained this many at its rate so far."""

_DRAIN_TOLERANCE_S: typing.Final = 2.0
"""A group goes on if it ends at most this long after its worker may stop."""

_MS_PER_S: typing.Final = 1000.0


def quarantine(board: fleet.ShardBoard, now: float) -> None:
    """Quarantine the workers that are at fault by the recorded failures."""
    recorded = board.failure_evidence
    if not recorded.attempts_by_worker_id:
        return
    left_by_service = _count_quarantines_left(board, now)
    for worker_id in list(recorded.attempts_by_worker_id):
        worker = board.workers_by_id.get(worker_id)
        if worker is None or left_by_service[worker.entry.service] < 1:
            # The evidence stays for the next round.
            continue
        last = recorded.quarantines_by_worker_id.get(worker_id)
        if last is not None and now < last.until:
            continue
        needed = (
            _MIN_JOBS_TO_FAULT_WORKER
            if last is None
            else _MIN_JOBS_ON_PROBATION
        )
        if not recorded.is_worker_at_fault(worker_id, needed):
            continue
        times = last.times + 1 if last else 1
        length_s = backoff.doubled_s(
            _FIRST_QUARANTINE_S, times - 1, _MAX_QUARANTINE_S
        )
        recorded.quarantines_by_worker_id[worker_id] = evidence.Quarantine(
            now + length_s, times
        )
        left_by_service[worker.entry.service] -= 1
        failures = recorded.attempts_by_worker_id.pop(worker_id)
        board.decision_records.append(
            fleet.DecisionRecord(
                'worker quarantined',
                '',
                {
                    'worker': worker_id,
                    'jobs': len(failures),
                    'for_s': length_s,
                },
            )
        )


def _count_quarantines_left(
    board: fleet.ShardBoard, now: float
) -> dict[str, float]:
    """Return by service how many more workers may be quarantined now."""
    counts: dict[str, int] = {}
    quarantined: dict[str, int] = {}
    for worker in board.workers_by_id.values():
        service = worker.entry.service
        counts[service] = counts.get(service, 0) + worker.is_listed
        if worker.is_listed and is_quarantined(board, worker.id, now):
            quarantined[service] = quarantined.get(service, 0) + 1
    return {
        service: min(max(count * _MAX_QUARANTINED_SHARE, 1), count - 1)
        - quarantined.get(service, 0)
        for service, count in counts.items()
    }


def is_quarantined(
    board: fleet.ShardBoard, worker_id: str, now: float
) -> bool:
    """Return whether the worker gets no work for now."""
    known = board.failure_evidence.quarantines_by_worker_id.get(worker_id)
    return known is not None and now < known.until


@dataclasses.dataclass(frozen=True, slots=True)
class StuckGroup:
    """A stuck group and the reason why it counts as stuck."""

    group: livejobs.Group
    why: str


def list_stuck(
    board: fleet.ShardBoard,
    remote_factor: float,
    now: float,
    wall_s: float,
) -> list[StuckGroup]:
    """Return the running groups that are stuck.

    Only groups whose workers reported progress since they were last checked
    are checked, some at each call, and none while this process is late itself.
    ``remote_factor`` multiplies the expected run time of a group that runs
    away from its data rack or across racks.  What is slow and ends in time
    all the same, at ``wall_s`` since the Unix epoch, goes on.
    """
    if now < board.judge_from:
        return []
    reported = list(itertools.islice(board.reported_groups, CHECKED_AT_ONCE))
    found = []
    for group in reported:
        del board.reported_groups[group]
        if group.phase is not livejobs.Phase.RUNNING:
            continue
        why = _why_stuck(board, group, remote_factor, now)
        if why == _NO_PROGRESS or (
            why and not needs.ends_in_time(board, group, now, wall_s)
        ):
            found.append(StuckGroup(group, why))
    return found


def _why_stuck(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    remote_factor: float,
    now: float,
) -> str:
    """Return the reason why a group counts as stuck, or ''."""
    step = group.step
    if step.long_running:
        return ''
    patience = 2.0 ** min(group.times_stuck, _MAX_DOUBLINGS)
    factor = remote_factor if _is_remote(board, group) else 1.0
    step_key = (group.job.graph.id, group.key.step)
    # What is known is of workers of usual speed.
    factor /= observations.slowest_speed(board, group)
    expected_s = board.learned.longest_s(
        observations.kind_of(group),
        step_key,
        step.group_count,
        step.expected_ms / _MS_PER_S,
    )
    estimate_s = max(expected_s or 0.0, step.expected_ms / _MS_PER_S)
    slowest_s = estimate_s * factor * _STUCK_FACTOR
    if any(
        _is_stalled(member, slowest_s, patience) for member in group.members
    ):
        return _NO_PROGRESS
    sibling_s = board.learned.longest_sibling_s(step_key, step.group_count)
    if sibling_s is not None and _is_slow(
        group, sibling_s * factor, patience, now
    ):
        return 'slower than its siblings'
    if expected_s is None or group.began_at is None:
        return ''
    limit_s = _slow_limit_s(expected_s * factor, patience)
    # The group may have ended since its last report.
    reported_at = max(
        (m.progress.seen_at for m in group.members if m.progress is not None),
        default=now,
    )
    is_long = reported_at - group.began_at > limit_s
    return 'longer than expected' if is_long else ''


def _slow_limit_s(expected_s: float, patience: float) -> float:
    """Return the run time beyond which a group is too slow."""
    return (expected_s * _STUCK_FACTOR + _STUCK_MARGIN_S) * patience


def _is_slow(
    group: livejobs.Group, expected_s: float, patience: float, now: float
) -> bool:
    """Return whether a restart elsewhere would end before the group."""
    remaining_s = group.remaining_s(now)
    if remaining_s is None:
        return False
    total_s = group.worked_s(now) + remaining_s
    limit_s = _slow_limit_s(expected_s, patience)
    return total_s > limit_s and remaining_s > expected_s + _STUCK_MARGIN_S


def _is_stalled(
    member: livejobs.Member, slowest_s: float, patience: float
) -> bool:
    """Return whether run reports show no progress for too long.

    Without a rate yet, a run may take up to ``slowest_s``.  A member of a
    gang that has done its own part waits for the others, and is not stalled.
    """
    seen = member.progress
    if seen is None or seen.share >= 1.0:
        return False
    run_s = slowest_s if seen.rate_per_s is None else 1.0 / seen.rate_per_s
    limit_s = max(_STALL_TIMEOUT_S, _STALL_STEPS * _SHARE_RESOLUTION * run_s)
    return seen.stalled_s > limit_s * patience


def _is_remote(board: fleet.ShardBoard, group: livejobs.Group) -> bool:
    """Return whether the group runs off its data rack or across racks."""
    racks = {
        board.workers_by_id[member.worker_id].entry.rack
        for member in group.members
        if member.worker_id in board.workers_by_id
    }
    step = group.step
    if step.data_rack and racks != {step.data_rack}:
        return True
    return step.rack_local and len(racks) > 1


def record_stuck(board: fleet.ShardBoard, group: livejobs.Group) -> None:
    """Record that a group is stuck, so that it avoids its workers.

    It counts as a failure of these only once.
    """
    group.times_stuck += 1
    group.avoided_worker_ids.update(m.worker_id for m in group.members)
    if group.times_stuck > 1:
        return
    for member in group.members:
        board.failure_evidence.record_failure(
            member.worker_id, group.job.graph.id, group.attempt
        )


def list_cut_short(
    board: fleet.ShardBoard, now: float
) -> list[livejobs.Group]:
    """Return the groups that would not end before their worker stops.

    A draining worker reports the minimum time that it keeps running, and
    often runs longer: groups that could end in that time, or shortly
    after it, go on.
    """
    cut_short: dict[livejobs.Group, None] = {}
    for worker in board.workers_by_id.values():
        remaining_s = worker.entry.remaining_s
        if worker.drain_seen_at is None or remaining_s is None:
            continue
        stops_at = worker.drain_seen_at + remaining_s
        for member in worker.members.values():
            ends_at = _ends_at(board, member.group, now)
            if ends_at is None:
                continue
            if ends_at > stops_at + _DRAIN_TOLERANCE_S:
                cut_short[member.group] = None
    return list(cut_short)


def _ends_at(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> float | None:
    """Return when a group is expected to end.

    Returns None for a group that must not be moved or whose run time cannot
    be estimated: it goes on for as long as it can.  What is not started yet
    would not end in time.
    """
    step = group.step
    if group.phase is livejobs.Phase.COMMITTING:
        return math.inf
    if (
        group.phase is not livejobs.Phase.RUNNING
        or step.max_unavailable is not None
    ):
        return None
    remaining_s = group.remaining_s(now)
    if remaining_s is not None:
        return now + remaining_s
    if group.began_at is None or group.is_resumed or step.long_running:
        return None
    return group.began_at + observations.expected_here_s(board, group)
