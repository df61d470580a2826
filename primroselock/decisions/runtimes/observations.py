"""What the runs of a shard tell of run times, and what is expected of them.

A group that ran from its beginning to its end tells its run time.  One that
resumed from a checkpoint, was inherited, or was stopped on the way tells it by
its rate, if its workers have reported enough progress; otherwise one that was
stopped tells only that it would have run longer.  A failed, stuck or crashed
run tells nothing: the fault may lie with its worker.  The clock of a late
process dates neither: progress is dated by the worker.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions.runtimes import learner

_MS_PER_S: typing.Final = 1000.0
_MIN_SPEED: typing.Final = 0.25
_MAX_SPEED: typing.Final = 4.0
"""Bounds of the correction: a worker that stands still is a fault, and says
nothing of the work."""

_TELLING_ENDS: typing.Final = frozenset(
    {
        livejobs.EndReason.PREEMPTED,
        livejobs.EndReason.WORKER_DRAINING,
        livejobs.EndReason.CANCELLED,
        livejobs.EndReason.LOST,
    }
)
"""Ends of attempts that are not due to the task or to a faulty worker."""


def kind_of(group: livejobs.Group) -> learner.Kind:
    """Return what a group has in common with others."""
    return learner.Kind(group.job.graph.queue, group.job.graph.account)


def estimate_s(group: livejobs.Group) -> float:
    """Return the caller's estimate of a task's run time, in seconds."""
    return group.step.expected_ms / _MS_PER_S


def _weight(group: livejobs.Group) -> float:
    """Return the share of a group in its step, whose groups are alike."""
    return 1.0 / group.step.group_count


def expected_s(board: fleet.ShardBoard, group: livejobs.Group) -> float:
    """Return the expected run time on workers of usual speed, in seconds."""
    return board.learned.expected_s(kind_of(group), estimate_s(group))


def is_learned(board: fleet.ShardBoard, group: livejobs.Group) -> bool:
    """Return whether the expected run time is other than the estimate."""
    return expected_s(board, group) != estimate_s(group)


def expected_here_s(board: fleet.ShardBoard, group: livejobs.Group) -> float:
    """Return the expected run time on the workers of a group, in seconds."""
    return expected_s(board, group) / slowest_speed(board, group)


def slowest_speed(board: fleet.ShardBoard, group: livejobs.Group) -> float:
    """Return the speed of a group's slowest worker, 1 without members.

    A gang runs as fast as its slowest member.
    """
    speeds = [
        board.worker_speeds.speed(member.worker_id) for member in group.members
    ]
    return min(_MAX_SPEED, max(_MIN_SPEED, min(speeds, default=1.0)))


def record_done(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> None:
    """Record the run time of a group that is done.

    ``now`` is when its end was read; its members are still known.
    """
    if group.step.long_running:
        return
    took_s = _seen_full_s(group)
    if group.began_at is not None and not group.is_resumed:
        took_s = now - group.began_at
    if took_s is None:
        return
    usual_s = took_s * slowest_speed(board, group)
    board.learned.record(
        kind_of(group), estimate_s(group), usual_s, _weight(group)
    )
    step = (group.job.graph.id, group.key.step)
    board.learned.record_sibling(step, usual_s)


def record_unfinished(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    end_reason: livejobs.EndReason,
    now: float,
) -> None:
    """Record what an attempt tells that ended on the way."""
    if group.step.long_running or end_reason not in _TELLING_ENDS:
        return
    speed = slowest_speed(board, group)
    kind, estimate = kind_of(group), estimate_s(group)
    full_s = _seen_full_s(group)
    if full_s is not None:
        board.learned.record(kind, estimate, full_s * speed, _weight(group))
    elif group.began_at is not None and not group.is_resumed:
        # Progress was last seen before the stop was ordered.
        worked_s = _reported_until(group, now) - group.began_at
        board.learned.record_unfinished(
            kind, estimate, worked_s * speed, _weight(group)
        )


def _seen_full_s(group: livejobs.Group) -> float | None:
    """Return the run time from beginning to end, by rates, in seconds.

    None unless the rate of each member is reliable.
    """
    full_s = []
    for member in group.members:
        progress = member.progress
        rate = progress.reliable_rate_per_s if progress is not None else None
        if rate is None:
            return None
        full_s.append(1.0 / rate)
    return max(full_s, default=None)


def _reported_until(group: livejobs.Group, now: float) -> float:
    """Return when a report last listed a group, at most ``now``."""
    seen = [
        member.progress.seen_at
        for member in group.members
        if member.progress is not None
    ]
    return min(now, max(seen, default=group.began_at or now))
