"""Places waiting groups, preempts for them and claims capacity.

Groups are processed in the configured order.  A group that fits on free
capacity is placed.  For one that does not, less urgent work is preempted
where the configured rule allows it, or a gang claims the workers that
become free soonest.  Only more urgent groups may use claimed workers.

One rack for a gang, workers where the group was not stuck before, and
workers that no other group claims are preferences.  They are dropped for a
group that has waited for a while although it fits without them: soon while
plenty of capacity is free and for long-running work, and later, but for the
claims, in any case.
Workers where it was stuck come last, and only once no other is expected to
be free for it soon.

When more work waits than fits, most groups cannot be placed, and a round
must not examine each of them: groups of the same shape share the outcome
of one attempt, with their preferences and without, and a search for victims
that found none is not repeated in the next rounds.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import advising
from primroselock.decisions import claimindex
from primroselock.decisions import eligibility
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleetpreemption
from primroselock.decisions import objectives
from primroselock.decisions import reachability
from primroselock.decisions import runs
from primroselock.decisions import waiting
from primroselock import jobgraph
from primroselock import jobs
from primroselock import options
from primroselock import queues

_MAX_GROUPS_PER_ROUND: typing.Final = 1000
"""Groups placed in a round: leases must be renewed between rounds."""

_CLAIM_TIMEOUT_S: typing.Final = 4.0
"""After this time a capacity claim is dropped."""

_CLAIM_REVIEW_S: typing.Final = 1.0
"""After this time the workers of a capacity claim are chosen again."""

_PREFERENCE_TIMEOUT_S: typing.Final = 2.0
"""Wait for preferred workers while plenty of capacity is free, and of
long-running work."""

_MAX_PREFERENCE_WAIT_S: typing.Final = 10.0
"""Wait for preferred workers while capacity is scarce."""

_MAX_AVOIDANCE_S: typing.Final = 20.0
"""The longest wait for workers where a group was not stuck, if they are
expected to be free by then, while capacity is scarce."""

_SEARCH_RETRY_S: typing.Final = 0.25
"""Delay before victims or workers to claim are searched again for a shape
for which none were found."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RoundContext:
    """The inputs to the placements of one round.

    ``guaranteed_ids`` names the jobs within their accounts' guarantees.
    ``plenty_services`` names the services of which much capacity is free.
    ``now`` is on this process's clock; ``wall_s`` is since the Unix epoch.
    """

    board: fleet.ShardBoard
    settings: options.FleetSettings
    plenty_services: abc.Set[str]
    free_capacity: fitting.FreeCapacity
    victims: fleetpreemption.VictimIndex
    claims: claimindex.ClaimIndex
    guaranteed_ids: abc.Set[str]
    now: float
    wall_s: float

    def rank(self, group: fleet.Group) -> fitting.Rank:
        """Return the urgency of a group; lower ranks go first."""
        return waiting.rank(group, self.guaranteed_ids)

    def has_plenty(self, group: fleet.Group) -> bool:
        """Return whether much capacity of the group's service is free."""
        queue = group.job.queue
        return queue is not None and queue.service in self.plenty_services

    def may_drop_claims(self, group: fleet.Group) -> bool:
        """Return whether a group need not wait for claimed workers.

        Long-running work is due at all times, however full its service is.
        """
        return group.step.long_running or self.has_plenty(group)


def place_waiting(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    now: float,
    wall_s: float,
) -> None:
    """Place waiting groups, the most urgent first."""
    _drop_claims(board, now)
    board.entry_cache.limit()
    if not board.phases.waiting_by_step:
        return
    guaranteed_ids = waiting.guaranteed_job_ids(board)
    sort_key = waiting.orders_by_name[settings.waiting_order]
    usable = eligibility.list_usable(board, now)
    plenty_services = eligibility.list_plenty_services(usable)
    steps = waiting.list_waiting(
        board, guaranteed_ids, sort_key, now, wall_s, plenty_services
    )
    if not steps:
        return
    context = _RoundContext(
        board,
        settings,
        plenty_services,
        _build_free_capacity(board, settings, usable),
        fleetpreemption.VictimIndex(now),
        claimindex.ClaimIndex(board.claims_by_group),
        guaranteed_ids,
        now,
        wall_s,
    )
    placed = 0
    for groups in steps:
        placed += _place_step(context, groups, _MAX_GROUPS_PER_ROUND - placed)
        if placed >= _MAX_GROUPS_PER_ROUND:
            # The next round starts once these placements are stored.
            break


def _build_free_capacity(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    usable: abc.Iterable[fleet.Worker],
) -> fitting.FreeCapacity:
    """Return the free capacity of ``usable`` workers that are verified."""
    unverified_ids = {
        worker.id for worker in reachability.list_unverified(board)
    }
    return fitting.FreeCapacity(
        board,
        [worker for worker in usable if worker.id not in unverified_ids],
        fitting.scores_by_name[settings.placement],
    )


def _place_step(
    context: _RoundContext, groups: abc.Sequence[fleet.Group], limit: int
) -> int:
    """Place at most ``limit`` groups of a step; return how many.

    Once a group neither fits nor gets capacity by preemption, the others
    of the step that may use the same workers are passed over.
    """
    first = groups[0]
    queue = first.job.queue
    if queue is None:
        return 0
    may_span_racks = _must_span_racks(context.board, first.step, queue)
    first.may_span_racks = may_span_racks
    shape = None
    if not (queue.advice or first.step.max_per_worker):
        shape = fitting.shape_of(first, context.rank(first))
    is_exhausted = (
        shape in context.free_capacity.unplaceable_shapes
        and not _may_search(context, shape)
    )
    placed = 0
    may_relax = True
    for group in groups:
        if placed >= limit:
            break
        # A claim or a worker to avoid makes other workers allowed for this
        # group than for the rest of its step.
        is_own = bool(
            group.avoided_worker_ids or group in context.board.claims_by_group
        )
        group.may_span_racks = may_span_racks
        relaxed = None
        is_overdue = may_relax and _is_overdue(context, group)
        if is_overdue:
            relaxed = _relaxed_shape(context, group, shape)
            is_overdue = may_relax = _may_fit(context, group, relaxed)
        if is_exhausted and not is_own and not is_overdue:
            continue
        own_shape = None if is_own else shape
        if _place(context, group, queue, own_shape):
            placed += 1
            continue
        if is_overdue:
            if _place_anywhere(context, group, queue, relaxed):
                placed += 1
                continue
            # Other groups of the step may avoid other workers.
            may_relax = bool(group.avoided_worker_ids)
            group.may_span_racks = may_span_racks
        if not _free_capacity_for(context, group, queue, own_shape):
            is_exhausted = is_exhausted or not is_own
    return placed


def _is_overdue(context: _RoundContext, group: fleet.Group) -> bool:
    """Return whether a group has waited too long for what it prefers."""
    waited_s = context.now - group.since
    if waited_s < _PREFERENCE_TIMEOUT_S:
        return False
    prefers = group.avoided_worker_ids or (
        group.step.rack_local and group.size > 1 and not group.may_span_racks
    )
    if not (prefers or context.board.claims_by_group):
        return False
    if context.may_drop_claims(group):
        return True
    return bool(prefers) and waited_s >= _MAX_PREFERENCE_WAIT_S


def _relaxed_shape(
    context: _RoundContext, group: fleet.Group, shape: fitting.Shape | None
) -> fitting.Shape | None:
    """Return the shape of an attempt without the group's preferences.

    Returns None where the attempt depends on more: while claims count, the
    group may use the workers that it claims itself.
    """
    claims_count = not context.may_drop_claims(group)
    if shape is None or (
        claims_count and group in context.board.claims_by_group
    ):
        return None
    return shape.relaxed(claims_count)


def _may_fit(
    context: _RoundContext, group: fleet.Group, relaxed: fitting.Shape | None
) -> bool:
    """Return whether a group may fit without its preferences."""
    free_capacity = context.free_capacity
    if relaxed in free_capacity.unplaceable_shapes:
        return False
    return free_capacity.fits(group)


def _may_search(context: _RoundContext, shape: fitting.Shape | None) -> bool:
    """Return whether victims may be searched for a group of this shape."""
    if shape is None:
        return True
    retry_at = context.board.search_retry_at_by_shape.get(shape)
    return retry_at is None or context.now >= retry_at


def _must_span_racks(
    board: fleet.ShardBoard, step: jobgraph.Step, queue: queues.Queue
) -> bool:
    """Return whether no single rack could hold the gang even when empty.

    The workers in service count, also those that do not answer: these may
    answer the next poll, but a gang that spans racks is slow to its end.
    """
    if not step.gang or not step.rack_local:
        return False
    out_of_service = board.queue_configuration.zones_out_of_service
    key = (queue.service, step, out_of_service)
    known = board.entry_cache.spans_racks_by_step.get(key)
    if known is None:
        known = fitting.must_span_racks(
            (
                worker
                for worker in board.workers_by_id.values()
                if worker.entry.service == queue.service
                and eligibility.is_in_service(board, worker)
            ),
            step,
        )
        board.entry_cache.spans_racks_by_step[key] = known
    return known


def _place(
    context: _RoundContext,
    group: fleet.Group,
    queue: queues.Queue,
    shape: fitting.Shape | None,
) -> bool:
    """Place a group on free capacity; return whether it was placed."""
    allow = _build_worker_filter(context, group, queue)
    return _place_among(context, group, allow, shape)


def _place_anywhere(
    context: _RoundContext,
    group: fleet.Group,
    queue: queues.Queue,
    relaxed: fitting.Shape | None,
) -> bool:
    """Place a group without its preferences; return whether it was placed."""
    waited_s = context.now - group.since
    group.may_span_racks = True
    allow = _build_relaxed_filter(context, group, queue)

    def allow_others(worker: fleet.Worker) -> bool:
        return worker.id not in group.avoided_worker_ids and allow(worker)

    is_placed = False
    if group.avoided_worker_ids:
        is_placed = _place_among(context, group, allow_others, None)
        if not is_placed and _is_free_soon(context, group, allow_others):
            return False
    if not is_placed and not _place_among(context, group, allow, relaxed):
        return False
    context.board.record_decision(
        'placed without preferences',
        group.job,
        attempt=group.attempt,
        waited_s=round(waited_s, 3),
    )
    return True


def _is_free_soon(
    context: _RoundContext, group: fleet.Group, allow: fitting.WorkerFilter
) -> bool:
    """Return whether to wait for workers that ``allow`` passes.

    Not while plenty of capacity is free: few workers can run the group then.
    """
    if context.has_plenty(group):
        return False
    left_s = group.since + _MAX_AVOIDANCE_S - context.now
    if left_s <= 0:
        return False
    chosen = fleetpreemption.choose_soonest_free(
        context.board, context.free_capacity, group, allow, context.now
    )
    return chosen is not None and chosen.cost <= left_s


def _place_among(
    context: _RoundContext,
    group: fleet.Group,
    allow: fitting.WorkerFilter,
    shape: fitting.Shape | None,
) -> bool:
    """Place a group on workers that ``allow`` passes, if it fits there."""
    board = context.board
    worker_ids = fitting.place(
        board, context.free_capacity, group, allow, shape
    )
    if worker_ids is None:
        return False
    context.claims.drop(group)
    _commit(board, group, worker_ids, context.now)
    return True


def _build_basic_filter(
    context: _RoundContext, group: fleet.Group, queue: queues.Queue
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers where a group may run."""

    def allow(worker: fleet.Worker) -> bool:
        return fitting.may_share(worker, group.step) and (
            queue.advice is None
            or advising.ticket_for(
                context.board, group, worker.id, context.now
            )
            is not None
        )

    return allow


def _build_relaxed_filter(
    context: _RoundContext, group: fleet.Group, queue: queues.Queue
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers that a group must accept."""
    rank = context.rank(group)
    may_run = _build_basic_filter(context, group, queue)
    claims_count = not context.may_drop_claims(group)

    def allow(worker: fleet.Worker) -> bool:
        is_claimed = context.claims.excludes(worker.id, group, rank)
        return may_run(worker) and not (claims_count and is_claimed)

    return allow


def _build_worker_filter(
    context: _RoundContext, group: fleet.Group, queue: queues.Queue
) -> fitting.WorkerFilter:
    """Return a filter for the usable workers that a group prefers."""
    rank = context.rank(group)
    may_run = _build_basic_filter(context, group, queue)

    def allow(worker: fleet.Worker) -> bool:
        return (
            worker.id not in group.avoided_worker_ids
            and not context.claims.excludes(worker.id, group, rank)
            and may_run(worker)
        )

    return allow


def _commit(
    board: fleet.ShardBoard,
    group: fleet.Group,
    worker_ids: abc.Sequence[str],
    now: float,
) -> None:
    """Record a placement; the starts follow when the row is stored."""
    group.attempt += 1
    group.end_reason = None
    group.is_resumed = bool(group.checkpoint)
    group.enter(fleet.Phase.COMMITTING, now)
    group.members = []
    for index, worker_id in zip(group.task_indices, worker_ids, strict=True):
        worker = board.workers_by_id[worker_id]
        member = fleet.Member(
            group, index, worker_id, worker.boot, fleet.MemberState.PLACED
        )
        group.members.append(member)
        worker.add_member(member)
    job = group.job
    if job.state is jobs.JobState.WAITING:
        job.state = jobs.JobState.RUNNING
    board.record_decision(
        'placed',
        job,
        group=[group.key.occurrence, group.key.step, group.key.index],
        attempt=group.attempt,
        workers=list(dict.fromkeys(worker_ids)),
    )
    board.mark_changed(job)


def _free_capacity_for(
    context: _RoundContext,
    group: fleet.Group,
    queue: queues.Queue,
    shape: fitting.Shape | None,
) -> bool:
    """Preempt for a group, or claim the workers that become free.

    Returns whether another group of the shape may have more success: this
    one waits for its own claim, or has just got one.
    """
    claim = context.board.claims_by_group.get(group)
    if claim is not None and context.now - claim.since <= _CLAIM_REVIEW_S:
        return True
    board = context.board
    if not _may_search(context, shape):
        return False
    allow = _build_worker_filter(context, group, queue)
    may_preempt = waiting.preemption_rules_by_name[context.settings.reclaim]
    is_tried = may_preempt(group, context.guaranteed_ids, context.wall_s)
    if is_tried and _preempt(context, group, allow):
        return True
    may_claim = _may_claim_soonest(context, group)
    if may_claim and _claim_soonest(context, group, allow):
        return True
    if shape is not None and (is_tried or may_claim):
        board.search_retry_at_by_shape[shape] = context.now + _SEARCH_RETRY_S
    return False


def _preempt(
    context: _RoundContext, group: fleet.Group, allow: fitting.WorkerFilter
) -> bool:
    """Preempt for a group; return whether that frees enough capacity."""
    board, rank = context.board, context.rank(group)

    def may_stop(other: fleet.Group) -> bool:
        return context.rank(other) > rank

    chosen = fleetpreemption.choose_victims(
        context.free_capacity, group, allow, may_stop, context.victims
    )
    if chosen is None:
        return False
    is_guaranteed = waiting.is_guaranteed(
        group, context.guaranteed_ids, context.wall_s
    )
    max_lost_s = fleetpreemption.max_lost_work_s(board, group)
    if chosen.cost > max_lost_s and not is_guaranteed:
        return False
    _claim(context, group, chosen.worker_ids)
    for victim in chosen.victims:
        context.victims.forget(victim)
        if victim.phase is fleet.Phase.STOPPING:
            continue
        if fleetpreemption.ends_soon(victim, context.now):
            continue
        board.record_decision(
            'preempted',
            victim.job,
            attempt=victim.attempt,
            by=group.job.graph.id,
        )
        runs.end_group(board, victim, fleet.EndReason.PREEMPTED, context.now)
        runs.settle_group(
            board, victim, context.now, int(context.wall_s * 1000)
        )
    return True


def _claim(
    context: _RoundContext, group: fleet.Group, worker_ids: frozenset[str]
) -> None:
    """Claim workers for a group, from this round on."""
    context.claims.put(
        group,
        fleet.CapacityClaim(worker_ids, context.now, context.rank(group)),
    )
    for worker_id in worker_ids:
        context.free_capacity.exclude(worker_id)


def _may_claim_soonest(context: _RoundContext, group: fleet.Group) -> bool:
    """Return whether a gang may claim workers that it waits for.

    It may not while other groups claim ``claim_share`` of the workers.
    """
    share = context.settings.claim_share
    if group.size == 1 or not share:
        return False
    use = objectives.usefulness(group, context.wall_s)
    if use is objectives.Usefulness.TOO_LATE:
        return False
    claimed_by_others = context.claims.count_claimed_by_others(group)
    return claimed_by_others < share * len(context.board.workers_by_id)


def _claim_soonest(
    context: _RoundContext, group: fleet.Group, allow: fitting.WorkerFilter
) -> bool:
    """Claim the workers that are free soonest; return whether any are."""
    board = context.board
    chosen = fleetpreemption.choose_soonest_free(
        board, context.free_capacity, group, allow, context.now
    )
    if chosen is None:
        return False
    if group not in board.claims_by_group:
        board.record_decision(
            'capacity claimed',
            group.job,
            attempt=group.attempt,
            workers=sorted(chosen.worker_ids),
            expected_in_s=round(chosen.cost, 3),
        )
    _claim(context, group, chosen.worker_ids)
    return True


def _drop_claims(board: fleet.ShardBoard, now: float) -> None:
    for group, claim in list(board.claims_by_group.items()):
        if (
            group.phase is not fleet.Phase.WAITING
            or now - claim.since > _CLAIM_TIMEOUT_S
        ):
            del board.claims_by_group[group]
    for shape, retry_at in list(board.search_retry_at_by_shape.items()):
        if now >= retry_at:
            del board.search_retry_at_by_shape[shape]
