"""Whether a start may be sent, judged by what is known now.

A placement waits until it is stored, an order for its turn, and a start
without an answer is repeated.  Meanwhile the worker may shrink, drain, come
back as another one or turn out to run more than was known, its zone may be
taken out of service, the queue be sent to another service, and the quota of
the account be lowered.
"""

from collections import abc
import typing

from primroselock.decisions.accounts import quotas
from primroselock.decisions import earlierruns
from primroselock.decisions import eligibility
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs

Check = abc.Callable[
    [fleet.ShardBoard, fleetworkers.Worker, abc.Sequence[livejobs.Member]],
    str,
]
"""Takes a worker and the members to start there, all of one group; returns
why they may not be started, or an empty string."""

_checks: typing.Final[list[Check]] = []


def check(find_problem: Check) -> Check:
    """Register the decorated check of starts on one worker."""
    _checks.append(find_problem)
    return find_problem


def find_obstacle(
    board: fleet.ShardBoard, members: abc.Sequence[livejobs.Member], now: float
) -> str:
    """Return why members of a group may not be started; empty if they may.

    A member whose worker is gone is left out: there is nothing to send.
    """
    if earlierruns.may_run(board, members[0].group, now):
        return 'a worker may run an earlier attempt'
    starting_by_id: dict[str, list[livejobs.Member]] = {}
    for member in members:
        starting_by_id.setdefault(member.worker_id, []).append(member)
    over_quota = quotas.find_start_obstacle(board, members[0].group, now)
    if over_quota:
        return over_quota
    for worker_id, starting in starting_by_id.items():
        worker = board.workers_by_id.get(worker_id)
        if worker is None:
            continue
        for find_problem in _checks:
            problem = find_problem(board, worker, starting)
            if problem:
                return f'{worker_id}: {problem}'
    return ''


@check
def _check_entry(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    starting: abc.Sequence[livejobs.Member],
) -> str:
    return '' if worker.is_entry_current else 'entry of another incarnation'


@check
def _check_service(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    starting: abc.Sequence[livejobs.Member],
) -> str:
    if not eligibility.is_in_service(board, worker):
        return 'out of service'
    if worker.entry.service != starting[0].group.job.service:
        return 'not of the service of the queue'
    return ''


@check
def _check_label(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    starting: abc.Sequence[livejobs.Member],
) -> str:
    label = starting[0].group.step.label
    if label and label not in worker.entry.labels:
        return 'without the label of the step'
    return ''


@check
def _check_capacity(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    starting: abc.Sequence[livejobs.Member],
) -> str:
    return '' if worker.has_capacity_to_start(starting) else 'no capacity'


@check
def _check_bound(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    starting: abc.Sequence[livejobs.Member],
) -> str:
    group = starting[0].group
    limit = group.step.max_per_worker
    if limit and worker.count_to_start(starting, group.step_name) > limit:
        return 'as many tasks of the step as it allows on a worker'
    return ''
