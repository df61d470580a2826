"""Chooses work of an account that is stopped for more urgent work of it.

The quota lacks room for a group, and less urgent work of the same account
uses it.  Victims are chosen by the work that is lost for each part of what
is lacking; what is being stopped already counts as freed.
"""

from collections import abc
import dataclasses

from primroselock.decisions.accounts import knownusage
from primroselock.decisions import livejobs
from primroselock.decisions import placementround
from primroselock import jobgraph


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The groups to stop, their workers, and the lost work in core-seconds.

    ``victims`` is empty if what is being stopped frees enough.
    """

    victims: tuple[livejobs.Group, ...]
    worker_ids: frozenset[str]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    group: livejobs.Group
    cost: float
    freed: jobgraph.Resources


def choose(
    context: placementround.RoundContext, group: livejobs.Group
) -> Choice | None:
    """Choose what to stop for a group that the quota holds back.

    Returns None if all that may be stopped is not enough.
    """
    lacking = context.quotas.find_shortage(group)
    candidates = []
    for other in _list_active(context, group.job.graph.account):
        freed = _freed_by(other)
        if other.phase is livejobs.Phase.STOPPING:
            lacking = _reduce(lacking, freed)
        elif _may_stop(context, group, other):
            cost = context.victims.cost(other)
            candidates.append(_Candidate(other, cost, freed))
    chosen = _choose(candidates, lacking)
    if chosen is None:
        return None
    return Choice(
        tuple(candidate.group for candidate in chosen),
        frozenset(
            member.worker_id
            for candidate in chosen
            for member in candidate.group.remaining_members()
        ),
        sum(candidate.cost for candidate in chosen),
    )


def _list_active(
    context: placementround.RoundContext, account: str
) -> list[livejobs.Group]:
    return [
        group
        for job in context.board.jobs_by_id.values()
        if job.graph.account == account
        for group in job.active_groups
    ]


def _may_stop(
    context: placementround.RoundContext,
    group: livejobs.Group,
    other: livejobs.Group,
) -> bool:
    return other.step.max_unavailable is None and context.is_more_urgent(
        group, other
    )


def _freed_by(group: livejobs.Group) -> jobgraph.Resources:
    tasks = len(group.remaining_members())
    return knownusage.NOTHING.plus(group.step.need, tasks)


def _reduce(
    lacking: jobgraph.Resources, freed: jobgraph.Resources
) -> jobgraph.Resources:
    return lacking.plus(freed, -1).at_least(knownusage.NOTHING)


def _choose(
    candidates: abc.Iterable[_Candidate], lacking: jobgraph.Resources
) -> list[_Candidate] | None:
    """Return candidates that free what is lacking, or None."""
    chosen: list[_Candidate] = []
    left = lacking
    useful = [
        (candidate.cost / share, number, candidate)
        for number, candidate in enumerate(candidates)
        if (share := _covered_share(candidate.freed, lacking)) > 0
    ]
    for _, _, candidate in sorted(useful):
        if left == knownusage.NOTHING:
            break
        if _covered_share(candidate.freed, left) > 0:
            chosen.append(candidate)
            left = _reduce(left, candidate.freed)
    if left != knownusage.NOTHING:
        return None
    return _without_needless(chosen, lacking)


def _covered_share(
    freed: jobgraph.Resources, lacking: jobgraph.Resources
) -> float:
    """Return the part of what is lacking that is freed, 0 to 1."""
    pairs = (
        (freed.cpu_millis, lacking.cpu_millis),
        (freed.memory_mb, lacking.memory_mb),
        (freed.accelerators, lacking.accelerators),
    )
    shares = [min(1.0, have / need) for have, need in pairs if need > 0]
    return sum(shares) / len(shares) if shares else 0.0


def _without_needless(
    chosen: list[_Candidate], lacking: jobgraph.Resources
) -> list[_Candidate]:
    """Leave out what the others free already, the dearest first."""
    total = knownusage.NOTHING
    for candidate in chosen:
        total = total.plus(candidate.freed)
    kept = list(chosen)
    for candidate in sorted(chosen, key=lambda item: -item.cost):
        without = total.plus(candidate.freed, -1)
        if without.can_fit(lacking):
            kept.remove(candidate)
            total = without
    return kept
