"""Shares of client accounts, by weight, when work waits for capacity.

The share of an account is its weight over the weights of all accounts that
run or want something.  What lies within its share goes in the order of its
urgency and usefulness; what lies beyond goes after the work of the same
urgency that lies within, the account that is least over its share first.
Nothing is kept free for a share: what others leave, anybody uses.

What an account uses is what it has running now, of the resource of which it
has most.  There is no memory of earlier use, so that a successor of the
holder decides the same, and an account owes nothing for having used what was
idle.

An account without a weight has no share, and its work is never put behind.
"""

from collections import abc
import dataclasses
import itertools
import math
import typing

from primroselock.decisions.accounts import urgencies
from primroselock.decisions.accounts import usage
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import waiting
from primroselock import jobgraph

_PART_FACTOR: typing.Final = 1.25
"""Beyond a share wide steps are divided where the use grows so much."""

_SCARCE_PART: typing.Final = 0.5
"""Shares count once what runs and what waits need so much of a resource."""

_STEPS_BETWEEN_PAUSES: typing.Final = 50
_WITHIN: typing.Final = 0.0

Amounts = tuple[float, float, float]
"""Cores, memory and accelerators, each as a part of all capacity."""

NOTHING: typing.Final[Amounts] = (0.0, 0.0, 0.0)


@dataclasses.dataclass(frozen=True, slots=True)
class AccountShares:
    """The shares of accounts, and what they use, at the start of a round.

    ``shares_by_account`` holds the accounts that have a weight and run or
    want something; the shares add up to 1.  It is empty if shares do not
    apply.  ``used_by_account`` holds all accounts that run something,
    ``used_by_urgency`` what they run of a priority and of more urgent ones.
    ``beyond`` are the waiting groups that lie beyond their account's share.
    """

    capacity: jobgraph.Resources = fleetworkers.NO_RESOURCES
    shares_by_account: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    used_by_account: abc.Mapping[str, Amounts] = dataclasses.field(
        default_factory=dict
    )
    used_by_urgency: abc.Mapping[tuple[str, int], Amounts] = dataclasses.field(
        default_factory=dict
    )
    beyond: set[livejobs.Group] = dataclasses.field(default_factory=set)

    def used_share(self, account: str) -> float:
        """Return what an account uses, as a multiple of its share.

        0 for an account that has no share.
        """
        share = self.shares_by_account.get(account)
        if share is None:
            return 0.0
        return max(self.used_by_account.get(account, NOTHING)) / share

    def rate(self, account: str) -> float:
        """Return what part of all capacity an account may count on.

        That is its share, or what it uses if that is more.
        """
        used = max(self.used_by_account.get(account, NOTHING))
        return max(used, self.shares_by_account[account])

    def is_beyond(self, group: livejobs.Group) -> bool:
        """Return whether a waiting group lies beyond its account's share."""
        return group in self.beyond

    def may_stop(self, group: livejobs.Group, other: livejobs.Group) -> bool:
        """Return whether shares let a waiting group stop a running one.

        Beyond its share an account stops its own work, or that of accounts
        that are beyond theirs.
        """
        if not self.is_beyond(group):
            return True
        account = other.job.graph.account
        return (
            account == group.job.graph.account or self.used_share(account) > 1
        )


def find(
    board: fleet.ShardBoard,
    listed: waiting.Listed,
    usable: abc.Iterable[fleetworkers.Worker],
    order: waiting.Order,
) -> AccountShares:
    """Return the shares of the accounts that run something or are listed.

    ``usable`` are the workers that may get starts; they are the capacity.
    While it is plenty for all that is listed, shares do not apply.
    """
    if order.urgency_fields is None:
        return AccountShares()
    accounts = board.queue_configuration.accounts_by_name
    weights_by_account = {
        name: account.weight
        for name, account in accounts.items()
        if account.weight is not None
    }
    if not weights_by_account:
        return AccountShares()
    capacity = taken = fleetworkers.NO_RESOURCES
    for worker in usable:
        capacity = capacity.plus(worker.entry.capacity)
        taken = taken.plus(worker.taken)
    if not _is_scarce(listed, taken, capacity):
        return AccountShares()
    totals_by_account = usage.by_account(board)
    wanting = {groups[0].job.graph.account for _, groups in listed}
    active = wanting | set(totals_by_account)
    competing = {
        account: weight
        for account, weight in weights_by_account.items()
        if account in active
    }
    total = sum(competing.values())
    shares_by_account = {
        account: weight / total for account, weight in competing.items()
    }
    used_by_account = {
        account: _amounts(used, capacity)
        for account, used in totals_by_account.items()
    }
    priorities = {waiting.priority(job) for job in board.jobs_by_id.values()}
    used_by_urgency = {
        (account, priority): _amounts(
            urgencies.up_to(totals_by_account[account], used, priority),
            capacity,
        )
        for account, used in urgencies.by_account(board).items()
        if account in totals_by_account
        for priority in priorities
    }
    return AccountShares(
        capacity, shares_by_account, used_by_account, used_by_urgency
    )


def _is_scarce(
    listed: waiting.Listed,
    taken: jobgraph.Resources,
    capacity: jobgraph.Resources,
) -> bool:
    """Return whether what is taken and listed needs much of a resource."""
    wanted = taken
    for _, groups in listed:
        first = groups[0]
        wanted = wanted.plus(first.step.need, first.size * len(groups))
    return max(_amounts(wanted, capacity)) >= _SCARCE_PART


def arrange(
    shares: AccountShares,
    listed: waiting.Listed,
    order: waiting.Order,
) -> abc.Generator[None, None, waiting.Listed]:
    """Return the listed steps in an order that heeds the shares.

    The shares decide between steps of equal urgency.  Each account's work is
    counted in the order given, as if all of it were placed, so that its later
    work lies further beyond its share; what it runs of less urgent work is
    not counted.  A wide step is divided where it passes the share, and again
    beyond.  What is guaranteed is counted, but never lies beyond.
    """
    listed.sort(key=_by_key)
    if not shares.shares_by_account:
        return listed
    # The first field of a key tells whether the step is guaranteed.
    first_field = 1 + (order.urgency_fields or 0)
    counts = _Counts(shares, first_field)
    arranged: waiting.Listed = []
    number = 0
    for _, entries in itertools.groupby(
        listed, lambda entry: entry[0][:first_field]
    ):
        equals = list(entries)
        is_scarce = counts.begin(equals)
        for key, groups in equals:
            if number % _STEPS_BETWEEN_PAUSES == 0:
                yield
            number += 1
            arranged += counts.divide(key, groups, is_scarce)
    arranged.sort(key=_by_key)
    return arranged


@dataclasses.dataclass(slots=True)
class _Counts:
    """What has been counted of the waiting steps, in their order.

    ``first_field`` is the place of the used share in the sort keys.
    """

    shares: AccountShares
    first_field: int
    total: Amounts = NOTHING
    by_account: dict[str, Amounts] = dataclasses.field(default_factory=dict)

    def begin(self, equals: waiting.Listed) -> bool:
        """Count steps of equal urgency; return whether shares apply to them.

        They do if what runs and waits of that urgency, and of higher ones,
        needs much of a resource: else there is room for all of it, once what
        is less urgent has given way.
        """
        for _, groups in equals:
            wanted = need(groups[0], self.shares.capacity)
            self.total = add(self.total, wanted, len(groups))
        priority = waiting.priority(equals[0][1][0].job)
        demand = self.total
        for (_, known), used in self.shares.used_by_urgency.items():
            if known == priority:
                demand = add(demand, used, 1.0)
        return max(demand) >= _SCARCE_PART

    def divide(
        self,
        key: tuple[typing.Any, ...],
        groups: list[livejobs.Group],
        is_scarce: bool,
    ) -> waiting.Listed:
        """Return a step with its sort key, in parts beyond the share."""
        shares = self.shares
        account = groups[0].job.graph.account
        share = shares.shares_by_account.get(account)
        within = [(_insert(key, self.first_field, _WITHIN), groups)]
        if share is None:
            return within
        counted = self.by_account.get(account, NOTHING)
        wanted = need(groups[0], shares.capacity)
        self.by_account[account] = add(counted, wanted, len(groups))
        if _is_guaranteed(key) or not is_scarce:
            return within
        priority = waiting.priority(groups[0].job)
        running = shares.used_by_urgency.get((account, priority), NOTHING)
        used = add(running, counted, 1.0)
        parts: waiting.Listed = []
        left = groups
        while left:
            multiple = max(used) / share
            count = _count_until_next(used, wanted, share, multiple)
            part, left = left[:count], left[count:]
            used = add(used, wanted, len(part))
            level = _WITHIN if multiple < 1.0 else multiple
            if level:
                shares.beyond.update(part)
            parts.append((_insert(key, self.first_field, level), part))
        return parts


def _by_key(entry: tuple[typing.Any, ...]) -> typing.Any:
    return entry[0]


def _is_guaranteed(key: tuple[typing.Any, ...]) -> bool:
    return not key[0]


def _insert(
    key: tuple[typing.Any, ...], at: int, level: float
) -> tuple[typing.Any, ...]:
    return (*key[:at], level, *key[at:])


def _count_until_next(
    used: Amounts, wanted: Amounts, share: float, multiple: float
) -> int:
    """Return how many groups may be counted before the next division.

    The account's use is ``multiple`` times its share; it is divided where
    it reaches the share, and then again and again.
    """
    bound = 1.0 if multiple < 1.0 else multiple * _PART_FACTOR
    counts = [
        math.ceil((bound * share - have) / part)
        for have, part in zip(used, wanted, strict=True)
        if part > 0.0
    ]
    # A group that needs nothing leaves the account's use as it is.
    return max(1, min(counts)) if counts else 1


def need(group: livejobs.Group, capacity: jobgraph.Resources) -> Amounts:
    """Return what a group needs in all, as a part of all capacity."""
    total = fleetworkers.NO_RESOURCES.plus(group.step.need, group.size)
    return _amounts(total, capacity)


def add(used: Amounts, more: Amounts, times: float) -> Amounts:
    """Return the sum with ``times`` times ``more``."""
    return (
        used[0] + more[0] * times,
        used[1] + more[1] * times,
        used[2] + more[2] * times,
    )


def _amounts(
    used: jobgraph.Resources, capacity: jobgraph.Resources
) -> Amounts:
    """Return an amount of each resource as a part of all capacity.

    A resource that no worker offers counts as 0: nothing waits for it here.
    """
    return (
        _part(used.cpu_millis, capacity.cpu_millis),
        _part(used.memory_mb, capacity.memory_mb),
        _part(used.accelerators, capacity.accelerators),
    )


def _part(amount: int, total: int) -> float:
    return amount / total if total else 0.0
