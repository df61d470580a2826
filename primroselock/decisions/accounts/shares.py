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
import math
import typing

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
    apply.  ``used_by_account`` holds all accounts that run something.
    ``beyond`` are the waiting groups that lie beyond their account's share.
    """

    capacity: jobgraph.Resources = fleetworkers.NO_RESOURCES
    shares_by_account: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
    used_by_account: abc.Mapping[str, Amounts] = dataclasses.field(
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
    used_by_account = {
        account: _amounts(used, capacity)
        for account, used in usage.by_account(board).items()
    }
    wanting = {groups[0].job.graph.account for _, groups in listed}
    active = wanting | {
        account for account, used in used_by_account.items() if any(used)
    }
    competing = {
        account: weight
        for account, weight in weights_by_account.items()
        if account in active
    }
    total = sum(competing.values())
    shares_by_account = {
        account: weight / total for account, weight in competing.items()
    }
    return AccountShares(capacity, shares_by_account, used_by_account)


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
    work lies further beyond its share; a wide step is divided where it passes
    the share, and again beyond.  What is guaranteed is counted, but never
    lies beyond.
    """
    listed.sort(key=_by_key)
    if not shares.shares_by_account:
        return listed
    # The first field of a key tells whether the step is guaranteed.
    first_field = 1 + (order.urgency_fields or 0)
    used_by_account = dict(shares.used_by_account)
    arranged: waiting.Listed = []
    for number, (key, groups) in enumerate(listed):
        if number % _STEPS_BETWEEN_PAUSES == 0:
            yield
        account = groups[0].job.graph.account
        share = shares.shares_by_account.get(account)
        if share is None:
            arranged.append((_insert(key, first_field, _WITHIN), groups))
            continue
        used = used_by_account.get(account, NOTHING)
        wanted = need(groups[0], shares.capacity)
        if _is_guaranteed(key):
            used_by_account[account] = add(used, wanted, len(groups))
            arranged.append((_insert(key, first_field, _WITHIN), groups))
            continue
        left = groups
        while left:
            multiple = max(used) / share
            count = _count_until_next(used, wanted, share, multiple)
            part, left = left[:count], left[count:]
            used = add(used, wanted, len(part))
            level = _WITHIN if multiple < 1.0 else multiple
            if level:
                shares.beyond.update(part)
            arranged.append((_insert(key, first_field, level), part))
        used_by_account[account] = used
    arranged.sort(key=_by_key)
    return arranged


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
