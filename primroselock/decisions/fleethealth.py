"""Workers that fail or stand still: found within a few starts, tried again.

A worker on which distinct jobs fail with no success between gets no work
for a time that doubles.  After that it is on probation: its next failure
quarantines it again, its next success clears it.

A task that runs far longer than others of its step or queue counts as
stuck and is tried once on another worker: some tasks are just long.
"""

import typing

from primroselock.decisions import evidence
from primroselock.decisions import fleet

_JOBS_TO_BLAME: typing.Final = 2
_JOBS_ON_PROBATION: typing.Final = 1
_FIRST_QUARANTINE_S: typing.Final = 4.0
_LONGEST_QUARANTINE_S: typing.Final = 60.0
_STUCK_FACTOR: typing.Final = 2.2
_STUCK_MARGIN_S: typing.Final = 1.0
_LONGER_STAY_S: typing.Final = 2.0
_MS_PER_S: typing.Final = 1000.0


def quarantine(board: fleet.Board, now: float) -> None:
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
        board.notes.append(
            fleet.Note(
                'worker quarantined',
                '',
                {
                    'worker': worker_id,
                    'jobs': len(failures),
                    'for_s': length_s,
                },
            )
        )


def is_quarantined(board: fleet.Board, worker_id: str, now: float) -> bool:
    """Whether the worker gets no work."""
    known = board.failure_evidence.quarantines_by_worker_id.get(worker_id)
    return known is not None and now < known.until


def list_stuck(
    board: fleet.Board, far_factor: float, now: float
) -> list[fleet.Group]:
    """Return the groups that run far longer than expected."""
    return [
        group
        for job in board.jobs_by_id.values()
        for group in job.groups_by_key.values()
        if group.phase is fleet.Phase.RUNNING
        and _is_stuck(board, group, far_factor, now)
    ]


def _is_stuck(
    board: fleet.Board, group: fleet.Group, far_factor: float, now: float
) -> bool:
    step = group.step
    if step.long_running or group.began_at is None or group.stuck_on_ids:
        return False
    graph = group.job.graph
    expected_s = board.learned.longest_s(
        graph.queue,
        (graph.id, group.key.step),
        step.expected_ms / _MS_PER_S,
    )
    if expected_s is None:
        return False
    if _is_far(board, group):
        expected_s *= far_factor
    limit_s = expected_s * _STUCK_FACTOR + _STUCK_MARGIN_S
    return now - group.began_at > limit_s


def _is_far(board: fleet.Board, group: fleet.Group) -> bool:
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


def blame(board: fleet.Board, group: fleet.Group) -> None:
    """Count a stuck group against its workers, and avoid them."""
    group.stuck_on_ids.update(m.worker_id for m in group.members)
    for member in group.members:
        board.failure_evidence.record_failure(
            member.worker_id, group.job.graph.id, group.attempt
        )


def list_doomed(board: fleet.Board, now: float) -> list[fleet.Group]:
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


def _ends_at(board: fleet.Board, group: fleet.Group, now: float) -> float:
    """Return when a group ends; now where it must not be moved."""
    step = group.step
    if group.phase is not fleet.Phase.RUNNING or step.max_away is not None:
        return now
    if group.began_at is None or group.is_resumed or step.long_running:
        return now
    expected_s = board.learned.expected_s(
        group.job.graph.queue, step.expected_ms / _MS_PER_S
    )
    return group.began_at + expected_s
