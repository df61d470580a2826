"""Places waiting groups, preempts for them and claims capacity.

Groups are processed in the configured order.  A group that fits on free
capacity is placed.  For one that does not, less urgent work is preempted
where the configured rule allows it, or a gang claims the workers that
become free soonest.  Only more urgent groups may use claimed workers.

Each group has preferences (see ``preferences``), which it loses when it has
waited for too long.

What the quota of its account does not allow now is neither placed, nor
preempts others, nor claims (see ``accounts.quotaholds``).

When more work waits than fits, most groups cannot be placed, and a round
must not examine each of them: groups of the same shape share the outcome
of one attempt, with their preferences and without, and a search for victims
that found none is not repeated in the next rounds.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions.accounts import quotaholds
from primroselock.decisions.accounts import quotas
from primroselock.decisions.accounts import sharereport
from primroselock.decisions.accounts import shares
from primroselock.decisions import claimindex
from primroselock.decisions import earlierruns
from primroselock.decisions import eligibility
from primroselock.decisions.endtimes import hurry
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleetpreemption
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions import placementround
from primroselock.decisions import preferences
from primroselock.decisions import roundcontexts
from primroselock.decisions import slices
from primroselock.decisions.victims import losses
from primroselock.decisions import waiting
from primroselock import jobgraph
from primroselock import options
from primroselock import queues

_MAX_GROUPS_PER_ROUND: typing.Final = 1000
"""Groups placed in a round: leases must be renewed between rounds."""

_MAX_GROUPS_AT_ONCE: typing.Final = 25
"""Groups of a step that are placed before the round may be interrupted."""

_CLAIM_TIMEOUT_S: typing.Final = 4.0
"""After this time a capacity claim is dropped."""


def place_waiting(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    turn: slices.Turn,
    observe: placementround.Observe | None = None,
) -> slices.Slices:
    """Place waiting groups, the most urgent first.

    The order is that of the beginning.  After a pause only groups are placed
    that still may be, on what has been free all the while.  ``observe`` is
    told of each group before it is placed.
    """
    _drop_claims(board, turn.now)
    board.entry_cache.limit()
    if not board.phases.waiting_by_step:
        sharereport.clear(board)
        return
    listed: waiting.Listed = []
    guaranteed_ids = waiting.guaranteed_job_ids(board)
    usable = eligibility.list_usable(board, turn.now)
    plenty = eligibility.find_plenty(board, usable)
    order = waiting.orders_by_name[settings.waiting_order]
    pauses = turn.pauses
    limits = quotas.RoundQuotas(board, turn.now)
    yield from waiting.collect_waiting(
        board,
        listed,
        guaranteed_ids,
        order.sort_key,
        plenty,
        quotaholds.build_filter(board, settings, limits, guaranteed_ids),
        turn,
    )
    if not listed:
        sharereport.clear(board)
        return
    account_shares = shares.find(board, listed, usable, order)
    listed = yield from shares.arrange(account_shares, listed, order)
    if turn.pauses > pauses:
        usable = eligibility.list_usable(board, turn.now)
        limits.resume(turn.now)
    claimindex.update_shares(board.claims_by_group, account_shares.beyond)
    context = roundcontexts.build(
        board,
        settings,
        turn,
        usable,
        plenty,
        limits,
        guaranteed_ids,
        account_shares,
        observe,
    )
    turn.has_prepared = True
    yield from _place_listed(context, listed, turn, pauses)
    sharereport.report(board, account_shares, listed, turn)


def _place_listed(
    context: placementround.RoundContext,
    listed: waiting.Listed,
    turn: slices.Turn,
    listed_in: int,
) -> slices.Slices:
    """Place groups in their order; they were listed in pause ``listed_in``."""
    board = context.board
    held = earlierruns.list_held(board, turn.now)
    pauses = turn.pauses
    placed = 0
    for groups in _divide(listed):
        yield
        if turn.pauses > pauses:
            pauses = turn.pauses
            held = earlierruns.list_held(board, turn.now)
            context = _resume(context, turn)
            turn.has_prepared = True
        if pauses > listed_in:
            groups = waiting.keep_placeable(groups, held, turn.now)
        if groups:
            placed += _place_step(
                context, groups, _MAX_GROUPS_PER_ROUND - placed
            )
        if placed >= _MAX_GROUPS_PER_ROUND:
            # The next round starts once these placements are stored.
            return


def _divide(
    listed: waiting.Listed,
) -> abc.Iterator[abc.Sequence[livejobs.Group]]:
    """Return the groups of each step, those of a wide step in parts."""
    for _, groups in listed:
        for first in range(0, len(groups), _MAX_GROUPS_AT_ONCE):
            yield groups[first : first + _MAX_GROUPS_AT_ONCE]


def _resume(
    context: placementround.RoundContext, turn: slices.Turn
) -> placementround.RoundContext:
    """Return the inputs to further placements after a pause."""
    board = context.board
    usable = eligibility.list_usable(board, turn.now)
    context.free_capacity.resume(roundcontexts.list_verified(board, usable))
    context.quotas.resume(turn.now)
    return dataclasses.replace(
        context,
        usable_count=len(usable),
        victims=roundcontexts.index_victims(
            board, context.settings, context.account_shares, turn
        ),
        now=turn.now,
        wall_s=turn.wall_s,
    )


def _place_step(
    context: placementround.RoundContext,
    groups: abc.Sequence[livejobs.Group],
    limit: int,
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
        shape = freecapacity.shape_of(first, context.rank(first))
    is_exhausted = (
        shape in context.free_capacity.unplaceable_shapes
        and not context.may_search(first, shape)
    )
    preferences.note_capacity(context, first)
    placed = 0
    may_relax = True
    for group in groups:
        if placed >= limit:
            break
        if context.observe is not None:
            context.observe(context, group)
        if not context.quotas.allows(group):
            if quotaholds.hold_back(context, group):
                continue
            # The others of the step need the same.
            break
        # A claim or a worker to avoid makes other workers allowed for this
        # group than for the rest of its step.
        is_own = bool(
            group.avoided_worker_ids
            or group.crashes
            or group in context.board.claims_by_group
        )
        group.may_span_racks = may_span_racks
        relaxed = None
        is_overdue = may_relax and preferences.is_overdue(context, group)
        if is_overdue:
            relaxed = preferences.relaxed_shape(context, group, shape)
            is_overdue = may_relax = preferences.may_fit(
                context, group, relaxed
            )
        if is_exhausted and not is_own and not is_overdue:
            continue
        own_shape = None if is_own else shape
        if _place(context, group, queue, own_shape):
            placed += 1
            continue
        if is_overdue:
            if preferences.place_anywhere(context, group, queue, relaxed):
                placed += 1
                continue
            # Other groups of the step may avoid other workers.
            may_relax = bool(group.avoided_worker_ids)
            group.may_span_racks = may_span_racks
        if not _free_capacity_for(context, group, queue, own_shape):
            is_exhausted = is_exhausted or not is_own
        if group in context.board.claims_by_group:
            # Less urgent work of its account must not use it meanwhile.
            context.quotas.keep(group)
    return placed


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
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
    shape: freecapacity.Shape | None,
) -> bool:
    """Place a group on free capacity; return whether it was placed.

    Not on slow workers while work is stopped for it on faster ones.
    """
    outcome = hurry.place(context, group, queue, shape, _preempt)
    if outcome is not hurry.Outcome.OPEN:
        return outcome is hurry.Outcome.PLACED
    allow = preferences.build_worker_filter(context, group, queue)
    return placementround.place_among(context, group, allow, shape)


def _free_capacity_for(
    context: placementround.RoundContext,
    group: livejobs.Group,
    queue: queues.Queue,
    shape: freecapacity.Shape | None,
) -> bool:
    """Preempt for a group, or claim the workers that become free.

    Returns whether another group of the shape may have more success: this
    one waits for its own claim, or has just got one.
    """
    claim = context.board.claims_by_group.get(group)
    review_s = placementround.CLAIM_REVIEW_S
    if claim is not None and context.now - claim.since <= review_s:
        return True
    if not context.may_search(group, shape):
        return False
    allow = preferences.build_victim_filter(context, group, queue)
    may_preempt = waiting.preemption_rules_by_name[context.settings.reclaim]
    is_tried = may_preempt(group, context.guaranteed_ids, context.wall_s)
    if is_tried and _preempt(context, group, allow):
        return True
    may_claim = _may_claim_soonest(context, group)
    if may_claim and _claim_soonest(context, group, allow):
        return True
    if is_tried or may_claim:
        context.note_search(group, shape)
    return False


def _preempt(
    context: placementround.RoundContext,
    group: livejobs.Group,
    allow: fitting.WorkerFilter,
) -> bool:
    """Preempt for a group; return whether that frees enough capacity."""
    board = context.board

    def may_stop(other: livejobs.Group) -> bool:
        return context.is_more_urgent(
            group, other
        ) and context.account_shares.may_stop(group, other)

    chosen = fleetpreemption.choose_victims(
        context.free_capacity, group, allow, may_stop, context.victims
    )
    if chosen is None:
        return False
    is_guaranteed = waiting.is_guaranteed(
        group, context.guaranteed_ids, context.wall_s
    )
    max_lost_s = losses.max_loss_s(
        board, context.settings, group, context.wall_s
    )
    lost_s = sum(
        losses.losses_by_name[context.settings.preemption_cost](
            board, context.settings, victim, context.now, context.wall_s
        )
        for victim in chosen.victims
    )
    if lost_s > max_lost_s and not is_guaranteed:
        return False
    placementround.claim(context, group, chosen.worker_ids, by_preemption=True)
    placementround.stop_victims(context, group, chosen.victims)
    return True


def _may_claim_soonest(
    context: placementround.RoundContext, group: livejobs.Group
) -> bool:
    """Return whether a gang may claim workers that it waits for.

    It may not while claims that exclude it cover ``claim_share`` of the
    workers that may get starts.
    """
    share = context.settings.claim_share
    if group.size == 1 or not share:
        return False
    use = objectives.usefulness(group, context.wall_s)
    if use is objectives.Usefulness.TOO_LATE:
        return False
    claimed = context.claims.count_excluded(group, context.rank(group))
    return claimed < share * context.usable_count


def _claim_soonest(
    context: placementround.RoundContext,
    group: livejobs.Group,
    allow: fitting.WorkerFilter,
) -> bool:
    """Claim the workers that are free soonest; return whether any are."""
    board = context.board
    chosen = fleetpreemption.choose_soonest_free(
        board,
        context.free_capacity,
        group,
        allow,
        context.now,
        context.settings.stop_s,
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
    placementround.claim(
        context, group, chosen.worker_ids, by_preemption=False
    )
    return True


def _drop_claims(board: fleet.ShardBoard, now: float) -> None:
    """Drop claims that are over, or whose workers cannot hold the group.

    A worker may have shrunk, or left, since it was claimed.
    """
    for group, claim in list(board.claims_by_group.items()):
        claimed = [
            board.workers_by_id[worker_id]
            for worker_id in claim.worker_ids
            if worker_id in board.workers_by_id
        ]
        if (
            group.phase is not livejobs.Phase.WAITING
            or now - claim.since > _CLAIM_TIMEOUT_S
            or not fitting.could_hold(claimed, group)
        ):
            del board.claims_by_group[group]
    for shape, retry_at in list(board.search_retry_at_by_shape.items()):
        if now >= retry_at:
            del board.search_retry_at_by_shape[shape]
    quotaholds.forget_failed(board, now)
