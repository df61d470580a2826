"""What the client accounts have running, from the blackboard of a shard.

Counted is all that may run: members from their placement until they are
known to have ended, runs that no row asks for, and settled runs of which a
start may still begin.  A run whose account is not known counts for none.

Nothing is kept that could drift: each worker knows what its members need,
and these amounts are added up.  Adding up costs a step a worker, so that
starts between two rounds go by what was added up a short time ago.
"""

import typing

from primroselock.decisions.accounts import knownusage
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock import jobgraph

_MAX_AGE_S: typing.Final = 0.25
"""For this long a sum is good for starts: what ends meanwhile still counts."""


def by_account(board: fleet.ShardBoard) -> dict[str, jobgraph.Resources]:
    """Return what may run of each account, by its name.

    Work that fills spare CPU time counts with its full need: a quota is on
    what runs, not on what is reserved.
    """
    sums: dict[str, list[int]] = {}
    for worker in board.workers_by_id.values():
        for account, need in worker.needs_by_account.items():
            _add(sums, account, need)
        if worker.late_runs or worker.unexpected_runs:
            for account, need in worker.list_other_needs():
                _add(sums, account, need)
    return {
        account: jobgraph.Resources(*amounts)
        for account, amounts in sums.items()
    }


def _add(
    sums: dict[str, list[int]], account: str, need: jobgraph.Resources
) -> None:
    amounts = sums.get(account)
    if amounts is None:
        amounts = sums[account] = [0, 0, 0]
    amounts[0] += need.cpu_millis
    amounts[1] += need.memory_mb
    amounts[2] += need.accelerators


def refresh(
    board: fleet.ShardBoard, now: float
) -> dict[str, jobgraph.Resources]:
    """Add up what may run, keep it on the blackboard, and return it."""
    board.known_usage = knownusage.KnownUsage(by_account(board), now)
    return board.known_usage.needs_by_account


def of_account(
    board: fleet.ShardBoard, account: str, now: float
) -> jobgraph.Resources:
    """Return what may run of an account; what has just ended may count."""
    known = board.known_usage
    if not 0 <= now - known.read_at <= _MAX_AGE_S:
        refresh(board, now)
    return board.known_usage.needs_by_account.get(account, knownusage.NOTHING)


def with_start(
    board: fleet.ShardBoard, starting: livejobs.Group, now: float
) -> jobgraph.Resources:
    """Return what may run of a group's account once its start is sent.

    Other groups that are placed and not started are left out: each is
    judged in its turn.
    """
    account = starting.job.graph.account
    used = refresh(board, now).get(account, knownusage.NOTHING)
    for job in board.jobs_by_id.values():
        if job.graph.account != account:
            continue
        for group in job.active_groups:
            if group is not starting:
                unsent = _count_unsent(board, group)
                used = used.plus(group.step.need, -unsent)
    return used


def _count_unsent(board: fleet.ShardBoard, group: livejobs.Group) -> int:
    """Return how many members of a group count though no start was sent."""
    return sum(
        member.state is livejobs.MemberState.PLACED
        and member.worker_id in board.workers_by_id
        for member in group.members
    )
