"""Workers that fail or stand still: found within a few starts, tried again.

A worker on which distinct jobs fail with no success between gets no work
for a time that doubles.  After that it is on probation: its next failure
quarantines it again, its next success clears it.

A task that runs far longer than others of its step or queue, that works
far slower than its siblings did, or that does not come nearer to its end
counts as stuck and is tried once on another worker: some are just long.
Tasks of a queue differ much, so only siblings show early that one is slow.
"""

import dataclasses
import typing

from primroselock.decisions import evidence
from primroselock.decisions import fleet

_JOBS_TO_BLAME: typing.Final = 2
_JOBS_ON_PROBATION: typing.Final = 1
_FIRST_QUARANTINE_S: typing.Final = 4.0
_LONGEST_QUARANTINE_S: typing.Final = 60.0
_STUCK_FACTOR: typing.Final = 2.2
_STUCK_MARGIN_S: typing.Final = 1.0
_STILL_S: typing.Final = 3.0
_SMALLEST_STEP: typing.Final = 0.01
_STILL_STEPS: typing.Final = 4
"""Progress is told in hundredths: so many steps must have been missed."""

_LONGER_STAY_S: typing.Final = 2.0
_MS_PER_S: typing.Final = 1000.0


def quarantine(board: fleet.ShardBoard, now: float) -> None:
    """Quarantine the workers that the failures point at."""
    found = board.failure_evidence
    for worker_id in list(found.attempts_by_worker_id):
        known = found.quarantines_by_worker_id.get(worker_id)
        if known is not None and now < known.until:
            continue
        needed = _JOBS_TO_BLAME if known is None else _JOBS_ON_PROBATION
        if not found.is_suspect(worker_id, needed):
            continue
        times = known.times + 1 if known else 1
        length_s = min(
            _FIRST_QUARANTINE_S * 2.0 ** (times - 1), _LONGEST_QUARANTINE_S
        )
        found.quarantines_by_worker_id[worker_id] = evidence.Quarantine(
            now + length_s, times
        )
        failures = found.attempts_by_worker_id.pop(worker_id)
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


def is_quarantined(
    board: fleet.ShardBoard, worker_id: str, now: float
) -> bool:
    """Whether the worker gets no work."""
    known = board.failure_evidence.quarantines_by_worker_id.get(worker_id)
    return known is not None and now < known.until


@dataclasses.dataclass(frozen=True, slots=True)
class StuckGroup:
    """A group that does not come to its end, and what shows it."""

    group: fleet.Group
    why: str


def list_stuck(
    board: fleet.ShardBoard, far_factor: float, now: float
) -> list[StuckGroup]:
    """Return the groups that run far longer than expected.

    Only those whose workers told of them since the last time are judged.
    """
    told, board.reported_groups = board.reported_groups, {}
    found = []
    for group in told:
        if group.phase is not fleet.Phase.RUNNING:
            continue
        why = _why_stuck(board, group, far_factor, now)
        if why:
            found.append(StuckGroup(group, why))
    return found


def _why_stuck(
    board: fleet.ShardBoard, group: fleet.Group, far_factor: float, now: float
) -> str:
    """Return what shows that a group is stuck; empty where nothing does."""
    step = group.step
    if step.long_running or group.avoided_worker_ids:
        return ''
    if any(_stands_still(member) for member in group.members):
        return 'no progress'
    factor = far_factor if _is_far(board, group) else 1.0
    step_key = (group.job.graph.id, group.key.step)
    sibling_s = board.learned.longest_sibling_s(step_key)
    if sibling_s is not None and _is_slow(group, sibling_s * factor, now):
        return 'slower than its siblings'
    expected_s = board.learned.longest_s(
        group.job.graph.queue, step_key, step.expected_ms / _MS_PER_S
    )
    if expected_s is None or group.began_at is None:
        return ''
    limit_s = expected_s * factor * _STUCK_FACTOR + _STUCK_MARGIN_S
    return 'too long' if now - group.began_at > limit_s else ''


def _is_slow(group: fleet.Group, expected_s: float, now: float) -> bool:
    """Whether a restart elsewhere would end before the group does."""
    remaining_s = group.remaining_s(now)
    if remaining_s is None:
        return False
    total_s = group.worked_s(now) + remaining_s
    limit_s = expected_s * _STUCK_FACTOR + _STUCK_MARGIN_S
    return total_s > limit_s and remaining_s > expected_s + _STUCK_MARGIN_S


def _stands_still(member: fleet.Member) -> bool:
    """Whether looks show a run without the progress that it made before.

    A member of a gang that has done its own part waits for the others.
    """
    seen = member.progress
    if seen is None or seen.share >= 1.0:
        return False
    limit_s = _STILL_S
    if seen.rate_per_s is not None:
        limit_s = max(limit_s, _STILL_STEPS * _SMALLEST_STEP / seen.rate_per_s)
    return seen.stalled_s > limit_s


def _is_far(board: fleet.ShardBoard, group: fleet.Group) -> bool:
    """Whether the group runs away from its data or across racks."""
    racks = {
        board.workers_by_id[member.worker_id].entry.rack
        for member in group.members
        if member.worker_id in board.workers_by_id
    }
    step = group.step
    if step.data_rack and racks != {step.data_rack}:
        return True
    return step.rack_local and len(racks) > 1


def record_stuck(board: fleet.ShardBoard, group: fleet.Group) -> None:
    """Count a stuck group against its workers, and avoid them."""
    group.avoided_worker_ids.update(m.worker_id for m in group.members)
    for member in group.members:
        board.failure_evidence.record_failure(
            member.worker_id, group.job.graph.id, group.attempt
        )


def list_cut_short(board: fleet.ShardBoard, now: float) -> list[fleet.Group]:
    """Return the groups that a leaving worker would take with it.

    A worker tells how long it stays at least, and often stays longer;
    work that could end in that time is left alone.
    """
    doomed: dict[fleet.Group, None] = {}
    for worker in board.workers_by_id.values():
        remaining_s = worker.entry.remaining_s
        if worker.drain_seen_at is None or remaining_s is None:
            continue
        gone_at = worker.drain_seen_at + remaining_s
        for member in worker.members.values():
            group = member.group
            if _ends_at(board, group, now) > gone_at + _LONGER_STAY_S:
                doomed[group] = None
    return list(doomed)


def _ends_at(board: fleet.ShardBoard, group: fleet.Group, now: float) -> float:
    """Return when a group ends; now where it must not be moved."""
    step = group.step
    if (
        group.phase is not fleet.Phase.RUNNING
        or step.max_unavailable is not None
    ):
        return now
    remaining_s = group.remaining_s(now)
    if remaining_s is not None:
        return now + remaining_s
    if group.began_at is None or group.is_resumed or step.long_running:
        return now
    expected_s = board.learned.expected_s(
        group.job.graph.queue, step.expected_ms / _MS_PER_S
    )
    return group.began_at + expected_s
