"""Limits of what client accounts have running, decided at each start.

An account with a quota starts nothing that would bring what it may run
above it, whole gangs at a time.  A quota below what runs stops nothing.
"""

import typing

from primroselock.decisions.accounts import knownusage
from primroselock.decisions.accounts import usage
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock import queues

_NO_LIMIT: typing.Final = 2**62
"""More of a resource than all workers have."""


def find_quota(
    configuration: queues.QueueConfiguration, account: str
) -> queues.Quota:
    """Return the quota of an account; one that is not known has no limit."""
    known = configuration.accounts_by_name.get(account)
    return known.quota if known else queues.UNLIMITED


def limit_of(quota: queues.Quota) -> jobgraph.Resources:
    """Return what a quota allows, as amounts."""
    return jobgraph.Resources(
        quota.cpu_millis or _NO_LIMIT,
        quota.memory_mb or _NO_LIMIT,
        quota.accelerators or _NO_LIMIT,
    )


def need_of(group: livejobs.Group) -> jobgraph.Resources:
    """Return what all tasks of a group need together."""
    return knownusage.NOTHING.plus(group.step.need, group.size)


def list_limits(
    configuration: queues.QueueConfiguration,
) -> dict[str, jobgraph.Resources]:
    """Return what the quotas allow, by the accounts that have one."""
    return {
        name: limit_of(account.quota)
        for name, account in configuration.accounts_by_name.items()
        if not account.quota.is_unlimited
    }


class RoundQuotas:
    """What the accounts with a quota may still start in a round.

    Each placement takes its part; what ends meanwhile is left to the next
    round.  Nothing is added up while no account has a quota.
    """

    def __init__(self, board: fleet.ShardBoard, now: float) -> None:
        self._board = board
        self._limits_by_account: dict[str, jobgraph.Resources] = {}
        self._left_by_account: dict[str, jobgraph.Resources] = {}
        self._read(now)

    def _read(self, now: float) -> None:
        self._limits_by_account = list_limits(self._board.queue_configuration)
        if not self._limits_by_account:
            self._left_by_account = {}
            return
        used = usage.refresh(self._board, now)
        self._left_by_account = {
            account: limit.plus(used.get(account, knownusage.NOTHING), -1)
            for account, limit in self._limits_by_account.items()
        }

    def resume(self, now: float) -> None:
        """Go on after a pause in which runs and quotas may have changed.

        No account may start more than before the pause, and what has been
        kept for groups stays kept.
        """
        before = self._left_by_account
        self._read(now)
        for account, left in self._left_by_account.items():
            if account in before:
                self._left_by_account[account] = left.limited_to(
                    before[account]
                )

    def allows(self, group: livejobs.Group) -> bool:
        """Return whether the account of a group may start it now."""
        left = self._left_by_account.get(group.job.graph.account)
        return left is None or left.can_fit(need_of(group))

    def can_ever_allow(self, group: livejobs.Group) -> bool:
        """Return whether the quota would hold the group if nothing ran."""
        limit = self._limits_by_account.get(group.job.graph.account)
        return limit is None or limit.can_fit(need_of(group))

    def limit(self, account: str) -> jobgraph.Resources | None:
        """Return what an account may have running; None without a quota."""
        return self._limits_by_account.get(account)

    def used(self, account: str) -> jobgraph.Resources:
        """Return what may run of an account, with what was placed since."""
        return self._board.known_usage.needs_by_account.get(
            account, knownusage.NOTHING
        )

    def find_shortage(self, group: livejobs.Group) -> jobgraph.Resources:
        """Return what the quota lacks of each resource for a group."""
        left = self._left_by_account.get(group.job.graph.account)
        if left is None:
            return knownusage.NOTHING
        return need_of(group).plus(left, -1).at_least(knownusage.NOTHING)

    def uses_half(self, account: str) -> bool:
        """Return whether an account uses half of any part of its quota."""
        limit = self._limits_by_account.get(account)
        if limit is None:
            return False
        twice = knownusage.NOTHING.plus(self.used(account), 2)
        return (
            twice.cpu_millis >= limit.cpu_millis
            or twice.memory_mb >= limit.memory_mb
            or twice.accelerators >= limit.accelerators
        )

    def take(self, group: livejobs.Group) -> None:
        """Take the part of a group that is placed."""
        if not self._left_by_account:
            return
        self.keep(group)
        self._board.known_usage.add(group.job.graph.account, need_of(group))

    def keep(self, group: livejobs.Group) -> None:
        """Keep the part of a group that waits from those after it."""
        account = group.job.graph.account
        left = self._left_by_account.get(account)
        if left is not None:
            self._left_by_account[account] = left.plus(need_of(group), -1)


def find_start_obstacle(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> str:
    """Return why members of a group may not be started; empty if they may.

    The quota may have been lowered since the placement, and more runs may
    have been discovered.  A gang counts as a whole, with the members that
    were started.
    """
    account = group.job.graph.account
    quota = find_quota(board.queue_configuration, account)
    if quota.is_unlimited:
        return ''
    limit = limit_of(quota)
    if limit.can_fit(usage.of_account(board, account, now)):
        # There is room for all that is placed, and so for a part of it.
        return ''
    if limit.can_fit(usage.with_start(board, group, now)):
        return ''
    return f'over the quota of {account}'
