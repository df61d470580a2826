"""How long the work that waits beyond an account's share will take.

The holder publishes it, so that each node refuses a job that would only wait
until its result is of no use.  A backlog is in seconds: what the account has
waiting, of a priority and of all more urgent ones, at the rate of its share,
or of what it has running if that is more.  Work that is too late to be of use
is left out: it waits behind all else.
"""

from collections import abc
import typing

from primroselock.decisions.accounts import shares
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions.runtimes import learner
from primroselock.decisions.runtimes import observations
from primroselock.decisions import waiting
from primroselock import jobgraph
from primroselock import queues

_MS_PER_S: typing.Final = 1000.0

SecondsByPriority = dict[int, int]


def find(
    board: fleet.ShardBoard,
    found: shares.AccountShares,
    arranged: waiting.Listed,
    accounts: abc.Container[str],
    wall_s: float,
) -> dict[str, SecondsByPriority]:
    """Return the backlogs of ``accounts``, which have a share.

    Whole seconds, by account and priority.  ``wall_s`` is since the Unix
    epoch.
    """
    work_by_priority: dict[str, dict[int, shares.Amounts]] = {}
    for _, groups in arranged:
        account = groups[0].job.graph.account
        if account not in accounts:
            continue
        left = [g for g in groups if g.phase is livejobs.Phase.WAITING]
        if not left or _is_too_late(left[0], wall_s):
            continue
        priority = waiting.priority(left[0].job)
        known = work_by_priority.setdefault(account, {})
        work = known.get(priority, shares.NOTHING)
        known[priority] = shares.add(
            work,
            shares.need(left[0], found.capacity),
            len(left) * observations.expected_s(board, left[0]),
        )
    return {
        account: _cumulate(known, found.rate(account))
        for account, known in work_by_priority.items()
    }


def _is_too_late(group: livejobs.Group, wall_s: float) -> bool:
    use = objectives.usefulness(group, wall_s)
    return use is objectives.Usefulness.TOO_LATE


def _cumulate(
    work_by_priority: abc.Mapping[int, shares.Amounts], rate: float
) -> SecondsByPriority:
    """Return the seconds for each priority and all more urgent ones."""
    seconds: SecondsByPriority = {}
    total = shares.NOTHING
    for priority in sorted(work_by_priority):
        total = shares.add(total, work_by_priority[priority], 1.0)
        seconds[priority] = int(max(total) / rate)
    return seconds


def excess_s(
    backlog: abc.Mapping[int, int],
    graph: jobgraph.JobGraph,
    queue: queues.Queue,
) -> float:
    """Return for how long too long a job would wait, in seconds.

    Positive: once the backlog of its account is done, the job can no longer
    end before it is too late.  A job that is due later, more than once or
    until it is cancelled is not judged.
    """
    if graph.first_due_ms or any(step.long_running for step in graph.steps):
        return 0.0
    ahead = [
        seconds
        for priority, seconds in backlog.items()
        if priority <= queue.priority
    ]
    if not ahead:
        return 0.0
    paths_s = objectives.critical_paths_s(graph, learner.RunTimes())
    path_s = max(paths_s, default=0.0)
    objective_s = queue.stretch * path_s + queue.latency_target_s
    return max(ahead) - (objectives.LATE_FACTOR * objective_s - path_s)
