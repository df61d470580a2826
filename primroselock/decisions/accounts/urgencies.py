"""What accounts have running, up to a priority.

Less urgent work of an account must not hold back its more urgent work.  The
total is that of ``usage``; what is less urgent is taken off.
"""

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import waiting
from primroselock import jobgraph

UsedByPriority = dict[int, jobgraph.Resources]


def by_account(board: fleet.ShardBoard) -> dict[str, UsedByPriority]:
    """Return what the members of each account's groups need, by priority."""
    used_by_account: dict[str, UsedByPriority] = {}
    for job in board.jobs_by_id.values():
        if not job.active_groups:
            continue
        known = used_by_account.setdefault(job.graph.account, {})
        priority = waiting.priority(job)
        used = known.get(priority, fleetworkers.NO_RESOURCES)
        for group in job.active_groups:
            members = len(group.remaining_members())
            used = used.plus(group.step.need, members)
        known[priority] = used
    return used_by_account


def up_to(
    total: jobgraph.Resources, used: UsedByPriority, priority: int
) -> jobgraph.Resources:
    """Return what is left of ``total`` without less urgent work."""
    for other, amount in used.items():
        if other > priority:
            total = total.plus(amount, -1)
    return total
