"""Places a group on workers that are fast enough for its job.

A worker that is free and too slow is taken only once no other is enough:
before that, less urgent work is stopped on faster workers if the group may
do so, and the group waits for what it has stopped.
"""

from collections import abc
import dataclasses
import enum
import math

from primroselock.decisions.endtimes import needs
from primroselock.decisions import fitting
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import placementround
from primroselock.decisions import preferences
from primroselock.decisions import waiting
from primroselock import queues

Preempt = abc.Callable[
    [placementround.RoundContext, livejobs.Group, fitting.WorkerFilter], bool
]
"""Stops work for a group on the workers that pass; returns whether enough."""


class Outcome(enum.Enum):
    """What came of the attempt to place a group where it ends in time.

    AWAITED: work is being stopped for it.  OPEN: any worker will do, or the
    job will be late in any case.
    """

    PLACED = 'placed'
    AWAITED = 'awaited'
    OPEN = 'open'


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The lowest speeds that are enough now, and after a stop of others.

    What is free is taken if it is likely to do; for others to be stopped it
    must be more than that.
    """

    now: float
    after_stop: float


def place(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
    shape: freecapacity.Shape | None,
    preempt: Preempt,
) -> Outcome:
    """Place a group of a hurried job where the job ends in time.

    ``preempt`` is called for a group that may have others stopped.
    """
    limits = find_limits(context, group)
    if limits is None:
        return Outcome.OPEN
    own_shape = shape.in_time(limits.now) if shape is not None else None
    may_use = preferences.build_worker_filter(context, group, queue)
    allow = _build_speed_filter(context, may_use, limits.now)
    if placementround.place_among(context, group, allow, own_shape):
        return Outcome.PLACED
    if _may_stop_others(context, group, own_shape):
        if context.awaits_stops(group):
            return Outcome.AWAITED
        may_use = preferences.build_victim_filter(context, group, queue)
        allow = _build_speed_filter(context, may_use, limits.after_stop)
        if preempt(context, group, allow):
            context.board.record_decision(
                'waits for faster workers',
                group.job,
                attempt=group.attempt,
                needed_speed=round(limits.after_stop, 3),
            )
            return Outcome.AWAITED
        context.note_search(group, own_shape)
    return Outcome.OPEN


def find_limits(
    context: placementround.RoundContext, group: livejobs.Group
) -> Limits | None:
    """Return how fast the workers of a group must be; None if any will do.

    That is also so where no worker is fast enough for its job.
    """
    if context.settings.speed_order != 'in_time':
        return None
    board, wall_s = context.board, context.wall_s
    limits = Limits(
        needs.needed_speed(board, group, wall_s, margin=0.0),
        needs.needed_speed(board, group, wall_s + context.settings.stop_s),
    )
    slowest = context.free_capacity.slowest_speed
    if limits.now <= slowest or math.isinf(limits.now):
        return None
    return limits


def _may_stop_others(
    context: placementround.RoundContext,
    group: livejobs.Group,
    shape: freecapacity.Shape | None,
) -> bool:
    may_preempt = waiting.preemption_rules_by_name[context.settings.reclaim]
    if not may_preempt(group, context.guaranteed_ids, context.wall_s):
        return False
    return context.may_search(group, shape)


def _build_speed_filter(
    context: placementround.RoundContext,
    may_use: fitting.WorkerFilter,
    needed: float,
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers that are fast enough."""

    def allow(worker: fleetworkers.Worker) -> bool:
        speed = context.free_capacity.speed(worker.id)
        return speed >= needed and may_use(worker)

    return allow
