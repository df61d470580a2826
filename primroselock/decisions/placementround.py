"""The inputs to the placements of one round, and how one is recorded.

A round reads the blackboard once and keeps what follows from it here, so
that every placement sees those made before it in the round.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions.accounts import quotas
from primroselock.decisions.accounts import shares
from primroselock.decisions import claimindex
from primroselock.decisions import eligibility
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleetpreemption
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.decisions.victims import losses
from primroselock.decisions import waiting
from primroselock import options

CLAIM_REVIEW_S: typing.Final = 1.0
"""After this time the workers of a capacity claim are chosen again."""

PREEMPTED: typing.Final = 'preempted'
"""The event of a decision to stop a group ``by`` another job."""

_SEARCH_RETRY_S: typing.Final = 0.25
"""Delay before victims or workers to claim are searched again for a shape
for which none were found."""


@dataclasses.dataclass(frozen=True, slots=True)
class RoundContext:
    """The inputs to the placements of one round.

    ``usable_count`` is the number of workers that may get starts.
    ``guaranteed_ids`` names the jobs within their accounts' guarantees;
    ``account_shares`` are those of the accounts at the start of the round.
    ``now`` is on this process's clock; ``wall_s`` is since the Unix epoch.
    ``observe`` is set while a round is rehearsed.
    """

    board: fleet.ShardBoard
    settings: options.FleetSettings
    usable_count: int
    plenty: eligibility.PlentyServices
    free_capacity: freecapacity.FreeCapacity
    quotas: quotas.RoundQuotas
    victims: fleetpreemption.VictimIndex
    claims: claimindex.ClaimIndex
    guaranteed_ids: abc.Set[str]
    account_shares: shares.AccountShares
    now: float
    wall_s: float
    observe: 'Observe | None' = None

    def rank(self, group: livejobs.Group) -> livejobs.Rank:
        """Return the rank of a group; lower ranks go first."""
        return waiting.rank(
            group, self.guaranteed_ids, self.account_shares.is_beyond(group)
        )

    def is_more_urgent(
        self, group: livejobs.Group, other: livejobs.Group
    ) -> bool:
        """Return whether a group may preempt another; shares don't count."""
        rank = waiting.rank(group, self.guaranteed_ids)
        return rank < waiting.rank(other, self.guaranteed_ids)

    def has_plenty(self, group: livejobs.Group) -> bool:
        """Return whether capacity is plenty for the group's job."""
        return self.plenty.has_plenty(group.job, self.now)

    def awaits_stops(self, group: livejobs.Group) -> bool:
        """Return whether work was stopped for a group a short time ago."""
        claim = self.board.claims_by_group.get(group)
        return (
            claim is not None
            and claim.by_preemption
            and self.now - claim.since <= CLAIM_REVIEW_S
        )

    def may_search(
        self, group: livejobs.Group, shape: freecapacity.Shape | None
    ) -> bool:
        """Return whether victims may be searched for a group of a shape."""
        if shape is None:
            return True
        key = self._search_key(group, shape)
        retry_at = self.board.search_retry_at_by_shape.get(key)
        return retry_at is None or self.now >= retry_at

    def note_search(
        self, group: livejobs.Group, shape: freecapacity.Shape | None
    ) -> None:
        """Note that a search for a group of a shape has found nothing."""
        if shape is not None:
            key = self._search_key(group, shape)
            retry_at = self.now + _SEARCH_RETRY_S
            self.board.search_retry_at_by_shape[key] = retry_at

    def _search_key(
        self, group: livejobs.Group, shape: freecapacity.Shape
    ) -> tuple[freecapacity.Shape, str]:
        """Return what groups have in common that may stop the same work.

        Beyond its share an account may stop its own work.
        """
        is_beyond = self.account_shares.is_beyond(group)
        return shape, group.job.graph.account if is_beyond else ''

    def may_drop_claims(self, group: livejobs.Group) -> bool:
        """Return whether a group need not wait for claimed workers.

        Long-running work is due at all times, however full its service is.
        """
        return group.step.long_running or self.has_plenty(group)


Observe = abc.Callable[[RoundContext, livejobs.Group], None]
"""Told of a group before a round places it."""


def place_among(
    context: RoundContext,
    group: livejobs.Group,
    allow: fitting.WorkerFilter,
    shape: freecapacity.Shape | None,
) -> bool:
    """Place a group on workers that ``allow`` passes, if it fits there."""
    board = context.board
    worker_ids = fitting.place(
        board, context.free_capacity, group, allow, shape
    )
    if worker_ids is None:
        return False
    context.claims.drop(group)
    context.quotas.take(group)
    _commit(board, group, worker_ids, context.now)
    return True


def claim(
    context: RoundContext,
    group: livejobs.Group,
    worker_ids: frozenset[str],
    by_preemption: bool,
) -> None:
    """Claim workers for a group, from this round on.

    What is being freed by preemption is kept from all that is not more
    urgent, whatever the shares: work is lost for that.
    """
    rank = context.rank(group)
    if by_preemption:
        rank = waiting.rank(group, context.guaranteed_ids)
    context.claims.put(
        group,
        fleet.CapacityClaim(worker_ids, context.now, rank, by_preemption),
    )
    for worker_id in worker_ids:
        context.free_capacity.exclude(worker_id)


def stop_victims(
    context: RoundContext,
    group: livejobs.Group,
    victims: abc.Iterable[livejobs.Group],
) -> None:
    """Stop the victims of a group, but those that end about as soon."""
    board = context.board
    for victim in victims:
        context.victims.forget(victim)
        if victim.phase is livejobs.Phase.STOPPING:
            continue
        if losses.ends_anyway(victim, context.now, context.settings.stop_s):
            continue
        board.record_decision(
            PREEMPTED,
            victim.job,
            group=victim.key.as_list(),
            attempt=victim.attempt,
            by=group.job.graph.id,
        )
        runs.end_group(
            board,
            victim,
            livejobs.EndReason.PREEMPTED,
            context.now,
            int(context.wall_s * 1000),
        )


def _commit(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    worker_ids: abc.Sequence[str],
    now: float,
) -> None:
    """Record a placement; the starts follow when the row is stored."""
    group.attempt += 1
    group.end_reason = None
    group.is_resumed = bool(group.checkpoint)
    group.enter(livejobs.Phase.COMMITTING, now)
    group.members = []
    for index, worker_id in zip(group.task_indices, worker_ids, strict=True):
        worker = board.workers_by_id[worker_id]
        member = livejobs.Member(
            group,
            index,
            worker_id,
            worker.latest_boot,
            livejobs.MemberState.PLACED,
        )
        group.members.append(member)
        worker.add_member(member)
    job = group.job
    board.record_decision(
        'placed',
        job,
        group=group.key.as_list(),
        attempt=group.attempt,
        workers=list(dict.fromkeys(worker_ids)),
    )
    board.mark_changed(job)
