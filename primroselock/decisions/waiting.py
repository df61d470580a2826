"""Who waits for room, in which order, and what an account can claim back.

Work of the most urgent queues within its account's guarantee comes first.
Orders of the rest are registered by name; the settings choose one.
"""

from collections import abc
import typing

from primroselock.decisions import fleet
from primroselock.decisions import objectives

SortKey = abc.Callable[[fleet.Group, float], tuple[float, ...]]
MayReclaim = abc.Callable[[fleet.Group, abc.Set[str], float], bool]
orders_by_name: typing.Final[dict[str, SortKey]] = {}
reclaims_by_name: typing.Final[dict[str, MayReclaim]] = {}
URGENT: typing.Final = 0
"""The priority of queues that guarantees hold for."""

_LAST_SLACK_S: typing.Final = 2.0
"""Room is made by stops in about half of this time."""


def order(name: str) -> abc.Callable[[SortKey], SortKey]:
    """Register the decorated order; lower keys go first."""

    def register(sort_key: SortKey) -> SortKey:
        orders_by_name[name] = sort_key
        return sort_key

    return register


def reclaim(name: str) -> abc.Callable[[MayReclaim], MayReclaim]:
    """Register the decorated rule of who may have other work stopped."""

    def register(may_reclaim: MayReclaim) -> MayReclaim:
        reclaims_by_name[name] = may_reclaim
        return may_reclaim

    return register


@order('fifo')
def sort_fifo(group: fleet.Group, wall_s: float) -> tuple[float, ...]:
    """Order groups by when their job was accepted."""
    return (float(group.job.graph.accepted_ms),)


@order('priority')
def sort_by_priority(group: fleet.Group, wall_s: float) -> tuple[float, ...]:
    """Order groups by their queue's priority, then by age."""
    return (float(priority(group.job)), float(group.job.graph.accepted_ms))


@order('useful')
def sort_by_use(group: fleet.Group, wall_s: float) -> tuple[float, ...]:
    """Order by priority, but what can come in time first, in vain last."""
    use = objectives.usefulness(group, wall_s)
    return (
        float(use is objectives.Usefulness.TOO_LATE),
        float(priority(group.job)),
        float(use),
        float(group.job.graph.accepted_ms),
    )


def priority(job: fleet.LiveJob) -> int:
    """Return the priority of a job; one without a queue comes last."""
    return job.queue.priority if job.queue else 99


def rank(group: fleet.Group, covered: abc.Set[str]) -> tuple[bool, int]:
    """Return how urgent a group is; lower ranks may stop higher ones."""
    return (group.job.graph.id not in covered, priority(group.job))


@reclaim('urgent')
def reclaim_urgent(
    group: fleet.Group, covered: abc.Set[str], wall_s: float
) -> bool:
    """Let work stop what is less urgent where waiting would be too late.

    Guaranteed work and the most urgent queues need not wait: their
    objectives leave no time.  The rest may when its slack runs out.
    """
    if is_covered(group, covered, wall_s):
        return True
    use = objectives.usefulness(group, wall_s)
    if use is objectives.Usefulness.TOO_LATE:
        return False
    if priority(group.job) == URGENT:
        return True
    factor = 1.0
    if use is objectives.Usefulness.LATE:
        factor = objectives.LATE_FACTOR
    return objectives.slack_s(group, wall_s, factor) < _LAST_SLACK_S


@reclaim('guaranteed')
def is_covered(
    group: fleet.Group, covered: abc.Set[str], wall_s: float
) -> bool:
    """Let only guaranteed work stop other work."""
    return group.job.graph.id in covered


@reclaim('none')
def reclaim_none(
    group: fleet.Group, covered: abc.Set[str], wall_s: float
) -> bool:
    """Stop nothing for other work."""
    return False


def guaranteed_job_ids(board: fleet.ShardBoard) -> set[str]:
    """Return the jobs that their accounts' guarantees cover.

    Jobs of an account are covered in order of acceptance while together
    they need no more than the guarantee.
    """
    left_by_account = {
        name: account.guaranteed_accelerators
        for name, account in board.table.accounts_by_name.items()
    }
    covered: set[str] = set()
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
            covered.add(job.graph.id)
    return covered


def list_waiting(
    board: fleet.ShardBoard,
    covered: abc.Set[str],
    sort_key: SortKey,
    now: float,
    wall_s: float,
) -> list[fleet.Group]:
    """Return the groups that wait for room, first the first to be placed."""
    waiting = [
        group
        for group in board.phases.waiting
        if group.not_before <= now
        and not group.job.is_cancelled
        and not group.job.state.is_final
    ]
    waiting.sort(
        key=lambda group: (
            group.job.graph.id not in covered,
            *sort_key(group, wall_s),
            group.job.graph.id,
            group.key,
        )
    )
    return waiting
