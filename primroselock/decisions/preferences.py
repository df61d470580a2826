"""What a waiting group prefers, and when it is placed without that.

One rack for a gang, workers where the group was not stuck before, workers
without tasks that it would disturb or be disturbed by, and workers that no
other group claims are preferences.  They are dropped for a
group that has waited for a while although it fits without them: soon while
capacity is plenty and for long-running work, and later, but for the claims,
in any case.
Workers where it was stuck come last, and only once no other is expected to
be free for it soon.
"""

from collections import abc
import enum
import typing

from primroselock.decisions import advising
from primroselock.decisions import crashpolicy
from primroselock.decisions import fitting
from primroselock.decisions import fleetpreemption
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import placementround
from primroselock.decisions import sharing
from primroselock import queues

_PREFERENCE_TIMEOUT_S: typing.Final = 2.0
"""Wait for preferred workers while plenty of capacity is free, and of
long-running work."""

_MAX_PREFERENCE_WAIT_S: typing.Final = 10.0
"""Wait for preferred workers while capacity is scarce."""

_MAX_AVOIDANCE_S: typing.Final = 20.0
"""The longest wait for workers where a group was not stuck, if they are
expected to be free by then, while capacity is scarce."""


class Obstacle(enum.Enum):
    """Why a usable worker is not used for a group, though it has room."""

    DISTURBS = 'its tasks and those of the group would disturb each other'
    AVOIDED = 'the group was stuck there, or disturbed others'
    CRASH_RISK = 'the group may crash workers, and others have work there'
    CLAIMED = 'claimed for other groups'
    NOT_ADVISED = 'no ticket of the advice service for it'


FindObstacle = abc.Callable[[fleetworkers.Worker], Obstacle | None]


def note_capacity(
    context: placementround.RoundContext, group: livejobs.Group
) -> None:
    """Note whether a group of an idle job would fit without preferences."""
    if (
        context.plenty.is_idle(group.job, context.now)
        and context.quotas.allows(group)
        and context.free_capacity.fits(group)
    ):
        group.job.note_capacity(context.now)


def is_overdue(
    context: placementround.RoundContext, group: livejobs.Group
) -> bool:
    """Return whether a group has waited too long for what it prefers."""
    step = group.step
    if step.long_running and step.tail_latency_target_ms:
        # What disturbs it is stopped once that shows.
        return True
    waited_s = group.waited_s(context.now)
    if waited_s < _PREFERENCE_TIMEOUT_S:
        return False
    prefers = (
        group.avoided_worker_ids
        or sharing.prefers_other_workers(step)
        or (step.rack_local and group.size > 1 and not group.may_span_racks)
    )
    if not (prefers or context.board.claims_by_group):
        return False
    if context.may_drop_claims(group):
        return True
    return bool(prefers) and waited_s >= _MAX_PREFERENCE_WAIT_S


def relaxed_shape(
    context: placementround.RoundContext,
    group: livejobs.Group,
    shape: freecapacity.Shape | None,
) -> freecapacity.Shape | None:
    """Return the shape of an attempt without the group's preferences.

    Returns None where the attempt depends on more: while claims count, the
    group may use the workers that it claims itself.
    """
    ignores_claims = context.may_drop_claims(group)
    if shape is None or (
        not ignores_claims and group in context.board.claims_by_group
    ):
        return None
    return shape.relaxed(ignores_claims)


def may_fit(
    context: placementround.RoundContext,
    group: livejobs.Group,
    relaxed: freecapacity.Shape | None,
) -> bool:
    """Return whether a group may fit without its preferences."""
    free_capacity = context.free_capacity
    if relaxed in free_capacity.unplaceable_shapes:
        return False
    return free_capacity.fits(group)


def place_anywhere(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
    relaxed: freecapacity.Shape | None,
) -> bool:
    """Place a group without its preferences; return whether it was placed."""
    waited_s = group.waited_s(context.now)
    group.may_span_racks = True
    allow = _build_relaxed_filter(context, group, queue)

    def allow_others(worker: fleetworkers.Worker) -> bool:
        return worker.id not in group.avoided_worker_ids and allow(worker)

    is_placed = False
    if group.avoided_worker_ids:
        is_placed = placementround.place_among(
            context, group, allow_others, None
        )
        if not is_placed and _is_free_soon(context, group, allow_others):
            return False
    if not is_placed and not placementround.place_among(
        context, group, allow, relaxed
    ):
        return False
    context.board.record_decision(
        'placed without preferences',
        group.job,
        attempt=group.attempt,
        waited_s=round(waited_s, 3),
    )
    return True


def _is_free_soon(
    context: placementround.RoundContext,
    group: livejobs.Group,
    allow: fitting.WorkerFilter,
) -> bool:
    """Return whether to wait for workers that ``allow`` passes.

    Not while plenty of capacity is free: few workers can run the group then.
    """
    if context.has_plenty(group):
        return False
    left_s = _MAX_AVOIDANCE_S - group.waited_s(context.now)
    if left_s <= 0:
        return False
    chosen = fleetpreemption.choose_soonest_free(
        context.board,
        context.free_capacity,
        group,
        allow,
        context.now,
        context.settings.stop_s,
    )
    return chosen is not None and chosen.cost <= left_s


def _build_basic_filter(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers where a group may run."""

    def allow(worker: fleetworkers.Worker) -> bool:
        return (
            queue.advice is None
            or advising.ticket_for(
                context.board, group, worker.id, context.now
            )
            is not None
        )

    return allow


def _build_relaxed_filter(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers that a group must accept."""
    rank = context.rank(group)
    may_run = _build_basic_filter(context, group, queue)
    ignores_claims = context.may_drop_claims(group)

    def allow(worker: fleetworkers.Worker) -> bool:
        is_claimed = context.claims.excludes(worker.id, group, rank)
        return may_run(worker) and (ignores_claims or not is_claimed)

    return allow


def build_worker_filter(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers that a group prefers."""
    may_use = build_victim_filter(context, group, queue)
    if not sharing.prefers_other_workers(group.step):
        return may_use

    def allow(worker: fleetworkers.Worker) -> bool:
        return sharing.are_apart(worker, group.step) and may_use(worker)

    return allow


def build_victim_filter(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
) -> fitting.WorkerFilter:
    """Return a filter for the workers where a group may make room.

    What disturbs it there, or would be disturbed, may be what is stopped.
    """
    is_any_in_question = bool(
        group.avoided_worker_ids or group.crashes or context.claims.has_any
    )
    if not is_any_in_question:
        return _build_basic_filter(context, group, queue)
    find = build_obstacle_finder(context, group, queue)

    def allow(worker: fleetworkers.Worker) -> bool:
        return find(worker) is None

    return allow


def build_obstacle_finder(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
) -> FindObstacle:
    """Return a function that says why a group may not make room on a worker.

    It never returns ``DISTURBS``: what disturbs may be what is stopped.
    """
    rank = context.rank(group)
    may_run = _build_basic_filter(context, group, queue)

    def find(worker: fleetworkers.Worker) -> Obstacle | None:
        if worker.id in group.avoided_worker_ids:
            return Obstacle.AVOIDED
        if not crashpolicy.may_share(group, worker, context.now):
            return Obstacle.CRASH_RISK
        if context.claims.excludes(worker.id, group, rank):
            return Obstacle.CLAIMED
        if not may_run(worker):
            return Obstacle.NOT_ADVISED
        return None

    return find
