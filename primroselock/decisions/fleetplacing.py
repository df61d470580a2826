"""Places waiting groups, preempts for them and claims capacity.

Groups are processed in the configured order.  A group that fits on free
capacity is placed.  For one that does not, less urgent work is preempted
where the configured rule allows it, or a gang claims the workers that
become free soonest.  Only more urgent groups may use claimed workers.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import advising
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import fleetpreemption
from primroselock.decisions import objectives
from primroselock.decisions import reachability
from primroselock.decisions import runs
from primroselock.decisions import waiting
from primroselock import jobs
from primroselock import options
from primroselock import queues

_MAX_GROUPS_PER_ROUND: typing.Final = 1000
"""Groups placed in a round: leases must be renewed between rounds."""

_CLAIM_TIMEOUT_S: typing.Final = 4.0
"""After this time a capacity claim is dropped."""

_CLAIM_REVIEW_S: typing.Final = 1.0
"""After this time the workers of a capacity claim are chosen again."""


@dataclasses.dataclass(frozen=True, slots=True)
class _RoundContext:
    """The inputs to the placements of one round.

    ``guaranteed_ids`` names the jobs within their accounts' guarantees.
    ``now`` is on this process's clock; ``wall_s`` is since the Unix epoch.
    """

    board: fleet.ShardBoard
    settings: options.FleetSettings
    free_capacity: fitting.FreeCapacity
    guaranteed_ids: abc.Set[str]
    now: float
    wall_s: float

    def rank(self, group: fleet.Group) -> fitting.Rank:
        """Return the urgency of a group; lower ranks go first."""
        return waiting.rank(group, self.guaranteed_ids)


def place_waiting(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    now: float,
    wall_s: float,
) -> None:
    """Place waiting groups, the most urgent first."""
    guaranteed_ids = waiting.guaranteed_job_ids(board)
    sort_key = waiting.orders_by_name[settings.waiting_order]
    groups = waiting.list_waiting(board, guaranteed_ids, sort_key, now, wall_s)
    _drop_claims(board, now)
    if not groups:
        return
    free_capacity = _build_free_capacity(board, settings, now)
    context = _RoundContext(
        board, settings, free_capacity, guaranteed_ids, now, wall_s
    )
    placed = 0
    for group in groups:
        placed += _place(context, group)
        if placed >= _MAX_GROUPS_PER_ROUND:
            # The next round starts once these placements are stored.
            break


def _build_free_capacity(
    board: fleet.ShardBoard, settings: options.FleetSettings, now: float
) -> fitting.FreeCapacity:
    """Return the free capacity of the workers that may get starts."""
    unverified_ids = {
        worker.id for worker in reachability.list_unverified(board)
    }
    return fitting.FreeCapacity(
        {
            worker.id: worker.free
            for worker in board.workers_by_id.values()
            if _accepts_starts(board, worker, now)
            and worker.id not in unverified_ids
        },
        fitting.scores_by_name[settings.placement],
        board.worker_speeds,
    )


def _accepts_starts(
    board: fleet.ShardBoard, worker: fleet.Worker, now: float
) -> bool:
    return (
        worker.is_listed
        and worker.is_polled
        and worker.failures_in_row == 0
        and not worker.entry.is_draining
        and worker.entry.zone
        not in board.queue_configuration.zones_out_of_service
        and not fleethealth.is_quarantined(board, worker.id, now)
    )


def _place(context: _RoundContext, group: fleet.Group) -> bool:
    """Place a group, or preempt or claim; return whether it was placed."""
    board, queue = context.board, group.job.queue
    if queue is None:
        return False
    group.may_span_racks = fitting.must_span_racks(
        (
            worker
            for worker in board.workers_by_id.values()
            if worker.entry.service == queue.service
        ),
        group.step,
    )
    allow = _build_worker_filter(context, group, queue)
    # A shape counts as unplaceable only if the same workers are allowed for
    # every group of that shape.
    is_shared = not (group.avoided_worker_ids or queue.advice)
    rank = context.rank(group) if is_shared else None
    placed = fitting.place(board, context.free_capacity, group, allow, rank)
    if placed is not None:
        board.claims_by_group.pop(group, None)
        _commit(board, group, placed, context.now)
        return True
    if _needs_claim(context, group):
        _preempt_or_claim(context, group, allow)
    return False


def _build_worker_filter(
    context: _RoundContext, group: fleet.Group, queue: queues.Queue
) -> fitting.WorkerFilter:
    """Return a filter for the workers that a group may use.

    The filter does not check free capacity.
    """
    board, rank = context.board, context.rank(group)
    claimed_by_others = _claimed_ids(
        claim
        for owner, claim in board.claims_by_group.items()
        if owner is not group and claim.rank <= rank
    )

    def allow(worker: fleet.Worker) -> bool:
        return (
            worker.id not in claimed_by_others
            and worker.id not in group.avoided_worker_ids
            and worker.entry.service == queue.service
            and fitting.fits_when_empty(worker, group.step)
            and fitting.may_share(worker, group.step)
            and advising.ticket_for(board, group, worker.id, context.now)
            is not None
        )

    return allow


def _claimed_ids(
    claims: abc.Iterable[fleet.CapacityClaim],
) -> frozenset[str]:
    return frozenset().union(*(claim.worker_ids for claim in claims))


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


def _needs_claim(context: _RoundContext, group: fleet.Group) -> bool:
    """Return whether a group has no claim, or one not met in time."""
    claim = context.board.claims_by_group.get(group)
    return claim is None or context.now - claim.since > _CLAIM_REVIEW_S


def _preempt_or_claim(
    context: _RoundContext, group: fleet.Group, allow: fitting.WorkerFilter
) -> None:
    """Preempt for a group, or claim the workers that become free."""
    may_preempt = waiting.preemption_rules_by_name[context.settings.reclaim]
    if may_preempt(group, context.guaranteed_ids, context.wall_s):
        if _preempt(context, group, allow):
            return
    if _may_claim_soonest(context, group):
        _claim_soonest(context, group, allow)


def _preempt(
    context: _RoundContext, group: fleet.Group, allow: fitting.WorkerFilter
) -> bool:
    """Preempt for a group; return whether that frees enough capacity."""
    board, rank = context.board, context.rank(group)

    def may_stop(other: fleet.Group) -> bool:
        return context.rank(other) > rank

    chosen = fleetpreemption.choose_victims(
        board, context.free_capacity, group, allow, may_stop, context.now
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
        runs.settle_group(board, victim, context.now, 0)
    return True


def _claim(
    context: _RoundContext, group: fleet.Group, worker_ids: frozenset[str]
) -> None:
    """Claim workers for a group, from this round on."""
    context.board.claims_by_group[group] = fleet.CapacityClaim(
        worker_ids, context.now, context.rank(group)
    )
    for worker_id in worker_ids:
        context.free_capacity.free_by_id.pop(worker_id, None)


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
    claimed_ids = _claimed_ids(
        claim
        for owner, claim in context.board.claims_by_group.items()
        if owner is not group
    )
    return len(claimed_ids) < share * len(context.board.workers_by_id)


def _claim_soonest(
    context: _RoundContext, group: fleet.Group, allow: fitting.WorkerFilter
) -> None:
    board = context.board
    chosen = fleetpreemption.choose_soonest_free(
        board, context.free_capacity, group, allow, context.now
    )
    if chosen is None:
        return
    if group not in board.claims_by_group:
        board.record_decision(
            'capacity claimed',
            group.job,
            attempt=group.attempt,
            workers=sorted(chosen.worker_ids),
            expected_in_s=round(chosen.cost, 3),
        )
    _claim(context, group, chosen.worker_ids)


def _drop_claims(board: fleet.ShardBoard, now: float) -> None:
    for group, claim in list(board.claims_by_group.items()):
        if (
            group.phase is not fleet.Phase.WAITING
            or now - claim.since > _CLAIM_TIMEOUT_S
        ):
            del board.claims_by_group[group]
