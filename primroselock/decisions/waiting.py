"""The order of waiting groups, and the rules of who may preempt.

Work of the most urgent queues within its account's guarantee comes first.
Orders of the rest and rules of preemption are registered by name; the
settings choose one of each.
"""

from collections import abc
import dataclasses
import math
import typing

from primroselock.decisions import earlierruns
from primroselock.decisions import eligibility
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions import slices

SortKey = abc.Callable[[livejobs.Group, float], tuple[float, ...]]
MayPreempt = abc.Callable[[livejobs.Group, abc.Set[str], float], bool]


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An order of waiting groups; lower values of ``sort_key`` go first.

    The first ``urgency_fields`` values go before the shares of client
    accounts, the others after them.  None: shares do not count.
    """

    sort_key: SortKey
    urgency_fields: int | None = None


orders_by_name: typing.Final[dict[str, Order]] = {}
preemption_rules_by_name: typing.Final[dict[str, MayPreempt]] = {}
URGENT: typing.Final = 0
"""The priority of the queues to which guarantees apply."""

_MAX_IDLE_YIELD_S: typing.Final = 2.0
_STEPS_BETWEEN_PAUSES: typing.Final = 50
_MIN_SLACK_S: typing.Final = 2.0
"""Preemption frees capacity in about half of this time."""


def order(
    name: str, urgency_fields: int | None = None
) -> abc.Callable[[SortKey], SortKey]:
    """Register the decorated function as an :class:`Order`."""

    def register(sort_key: SortKey) -> SortKey:
        orders_by_name[name] = Order(sort_key, urgency_fields)
        return sort_key

    return register


def preemption_rule(name: str) -> abc.Callable[[MayPreempt], MayPreempt]:
    """Register the decorated rule of which groups may preempt others."""

    def register(may_preempt: MayPreempt) -> MayPreempt:
        preemption_rules_by_name[name] = may_preempt
        return may_preempt

    return register


@order('fifo')
def sort_fifo(group: livejobs.Group, wall_s: float) -> tuple[float, ...]:
    """Order groups by the time when their job was accepted."""
    return (float(group.job.graph.accepted_ms),)


@order('priority', urgency_fields=1)
def sort_by_priority(
    group: livejobs.Group, wall_s: float
) -> tuple[float, ...]:
    """Order groups by their queue's priority, then by acceptance."""
    return (float(priority(group.job)), float(group.job.graph.accepted_ms))


@order('useful', urgency_fields=2)
def sort_by_usefulness(
    group: livejobs.Group, wall_s: float
) -> tuple[float, ...]:
    """Order by priority, then by usefulness; put what is too late last."""
    use = objectives.usefulness(group, wall_s)
    return (
        float(use is objectives.Usefulness.TOO_LATE),
        float(priority(group.job)),
        float(use),
        float(group.job.graph.accepted_ms),
    )


def priority(job: livejobs.LiveJob) -> int:
    """Return the priority of a job; one without a queue comes last."""
    return job.queue.priority if job.queue else 99


def rank(
    group: livejobs.Group,
    guaranteed_ids: abc.Set[str],
    is_beyond_share: bool = False,
) -> livejobs.Rank:
    """Return the rank of a group; lower ranks may use each other's claims."""
    is_guaranteed = group.job.graph.id in guaranteed_ids
    return (not is_guaranteed, priority(group.job), is_beyond_share)


@preemption_rule('urgent')
def preempt_urgent(
    group: livejobs.Group, guaranteed_ids: abc.Set[str], wall_s: float
) -> bool:
    """Let a group preempt less urgent work if it would be late otherwise.

    Guaranteed work and the most urgent queues may do so at once, since
    their objectives leave no time to wait.  The rest may when its slack
    runs out.
    """
    if is_guaranteed(group, guaranteed_ids, wall_s):
        return True
    use = objectives.usefulness(group, wall_s)
    if use is objectives.Usefulness.TOO_LATE:
        return False
    if priority(group.job) == URGENT:
        return True
    factor = 1.0
    if use is objectives.Usefulness.LATE:
        factor = objectives.LATE_FACTOR
    return objectives.slack_s(group, wall_s, factor) < _MIN_SLACK_S


@preemption_rule('guaranteed')
def is_guaranteed(
    group: livejobs.Group, guaranteed_ids: abc.Set[str], wall_s: float
) -> bool:
    """Return whether the group's job is within its account's guarantee.

    As a rule of preemption: only guaranteed work may preempt other work.
    """
    return group.job.graph.id in guaranteed_ids


@preemption_rule('none')
def preempt_none(
    group: livejobs.Group, guaranteed_ids: abc.Set[str], wall_s: float
) -> bool:
    """Let no group preempt others."""
    return False


def guaranteed_job_ids(board: fleet.ShardBoard) -> set[str]:
    """Return the ids of the jobs covered by their accounts' guarantees.

    The urgent jobs of an account are covered in order of acceptance while
    together they need no more accelerators than the guarantee.
    """
    left_by_account = {
        name: account.guaranteed_accelerators
        for name, account in board.queue_configuration.accounts_by_name.items()
    }
    guaranteed_ids: set[str] = set()
    urgent = [
        job
        for job in board.jobs_by_id.values()
        if priority(job) == URGENT and not job.state.is_final
    ]
    urgent.sort(key=lambda job: (job.graph.accepted_ms, job.graph.id))
    for job in urgent:
        account = job.graph.account
        needed = job.graph.accelerators_needed
        if needed <= left_by_account.get(account, 0):
            left_by_account[account] -= needed
            guaranteed_ids.add(job.graph.id)
    return guaranteed_ids


def _longest_yield_s(
    plenty: eligibility.PlentyServices, job: livejobs.LiveJob, now: float
) -> float:
    """Return for how long the groups of a job may yield at most."""
    if plenty.has_plenty(job, now):
        return 0.0
    return _MAX_IDLE_YIELD_S if plenty.is_idle(job, now) else math.inf


Listed = list[tuple[tuple[typing.Any, ...], list[livejobs.Group]]]
"""Groups by step, each step with its sort key."""


HeldBack = abc.Callable[[livejobs.Group, slices.Turn], bool]
"""Tells of a group whether it and the others of its step stay out."""


def collect_waiting(
    board: fleet.ShardBoard,
    listed: Listed,
    guaranteed_ids: abc.Set[str],
    sort_key: SortKey,
    plenty: eligibility.PlentyServices,
    is_held_back: HeldBack,
    turn: slices.Turn,
) -> slices.Slices:
    """Collect the groups to place, by step, for the order of placement.

    Groups of which an earlier attempt is still being stopped are left out.
    Groups that were preempted yield for a time, unless capacity is plenty
    for their job, and not for long if nothing of it runs while much is unused.
    Steps of which ``is_held_back`` is true of the first group are left out.
    The groups of a step are equally urgent, so that steps are ordered, not
    groups; a step's groups are in the order of their tasks.
    """
    held = earlierruns.list_held(board, turn.now)
    for number, groups in enumerate(
        list(board.phases.waiting_by_step.values())
    ):
        if number % _STEPS_BETWEEN_PAUSES == 0:
            yield
        any_group = next(iter(groups), None)
        if any_group is None or is_held_back(any_group, turn):
            continue
        due = _list_due(list(groups), held, plenty, turn.now)
        if not due:
            continue
        due.sort(key=lambda group: group.key.index)
        first = due[0]
        urgency = (
            first.job.graph.id not in guaranteed_ids,
            *sort_key(first, turn.wall_s),
            first.job.graph.id,
            first.key,
        )
        listed.append((urgency, due))


def _list_due(
    groups: abc.Sequence[livejobs.Group],
    held: abc.Set[livejobs.Group],
    plenty: eligibility.PlentyServices,
    now: float,
) -> list[livejobs.Group]:
    """Return the groups of a step that may be placed now."""
    longest_s = math.inf
    if any(group.yields_until > now for group in groups):
        longest_s = _longest_yield_s(plenty, groups[0].job, now)
    return [
        group
        for group in keep_placeable(groups, held, now)
        if min(group.yields_until, group.since + longest_s) <= now
    ]


def keep_placeable(
    groups: abc.Sequence[livejobs.Group],
    held: abc.Set[livejobs.Group],
    now: float,
) -> list[livejobs.Group]:
    """Return the groups of a step that wait and that nothing holds back."""
    if not groups:
        return []
    job = groups[0].job
    if job.is_cancelled or job.state.is_final or not job.may_be_placed(now):
        return []
    return [
        group
        for group in groups
        if group.phase is livejobs.Phase.WAITING
        and group.not_before <= now
        and group not in held
    ]
