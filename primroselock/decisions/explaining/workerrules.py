"""The rules by which workers fall out for a group, in the order of the round.

Each rule asks the function by which the placement decides, and says why a
worker falls out.  The first that holds is named.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import eligibility
from primroselock.decisions.endtimes import hurry
from primroselock.decisions import fitting
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import placementround
from primroselock.decisions import preferences
from primroselock.decisions import reachability
from primroselock.decisions import sharing
from primroselock import jobgraph


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The rule by which a worker falls out, and the reason in words."""

    rule: str
    why: str


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What the rules go by: a group and the state of a round.

    ``task_counts_by_id`` counts the tasks of the group's step on workers, and
    ``limits`` says how fast a worker must be, None if any will do.
    """

    context: placementround.RoundContext
    group: livejobs.Group
    unverified_ids: abc.Set[str]
    find_obstacle: preferences.FindObstacle
    task_counts_by_id: abc.Mapping[str, int]
    limits: hurry.Limits | None


FindOut = abc.Callable[[View, fleetworkers.Worker], Finding | None]
_rules: typing.Final[list[FindOut]] = []

_EXCLUSION_RULES: typing.Final = {
    eligibility.Exclusion.ZONE_OUT_OF_SERVICE: 'zone',
    eligibility.Exclusion.QUARANTINED: 'quarantine',
    eligibility.Exclusion.DRAINING: 'draining',
    eligibility.Exclusion.REFUSES_STARTS: 'refuses starts',
}
_NOT_READY: typing.Final = 'not ready'

_OBSTACLE_RULES: typing.Final = {
    preferences.Obstacle.AVOIDED: 'avoided',
    preferences.Obstacle.CLAIMED: 'claimed',
    preferences.Obstacle.CRASH_RISK: 'crash risk',
    preferences.Obstacle.DISTURBS: 'disturbs',
    preferences.Obstacle.NOT_ADVISED: 'advice',
}


def rule(find: FindOut) -> FindOut:
    """Register the decorated rule, after those before it."""
    _rules.append(find)
    return find


def build_view(
    context: placementround.RoundContext, group: livejobs.Group
) -> View | None:
    """Return what the rules go by; None if the group's queue is not known."""
    queue = group.job.queue
    if queue is None:
        return None
    board = context.board
    return View(
        context,
        group,
        {worker.id for worker in reachability.list_unverified(board)},
        preferences.build_obstacle_finder(context, group, queue),
        fitting.count_tasks(group, board.workers_by_id.values()),
        hurry.find_limits(context, group),
    )


def find_out(view: View, worker: fleetworkers.Worker) -> Finding | None:
    """Return the first rule by which a worker falls out, or None."""
    for find in _rules:
        finding = find(view, worker)
        if finding is not None:
            return finding
    return None


@rule
def _gets_no_starts(view: View, worker: fleetworkers.Worker) -> Finding | None:
    context = view.context
    found = eligibility.find_exclusion(context.board, worker, context.now)
    if found is None:
        return None
    return Finding(_EXCLUSION_RULES.get(found, _NOT_READY), found.value)


@rule
def _is_unverified(view: View, worker: fleetworkers.Worker) -> Finding | None:
    if worker.id not in view.unverified_ids:
        return None
    return Finding(_NOT_READY, 'has not answered since others did not')


@rule
def _is_of_other_service(
    view: View, worker: fleetworkers.Worker
) -> Finding | None:
    if worker.entry.service == view.group.job.service:
        return None
    return Finding('service', f'serves {worker.entry.service}')


@rule
def _lacks_label(view: View, worker: fleetworkers.Worker) -> Finding | None:
    step = view.group.step
    if freecapacity.has_label(worker, step):
        return None
    return Finding('label', f'has no label {step.label}')


@rule
def _is_too_small(view: View, worker: fleetworkers.Worker) -> Finding | None:
    step = view.group.step
    if freecapacity.fits_when_empty(worker, step):
        return None
    lacking = describe_shortage(step.counted_need, worker.entry.capacity)
    return Finding('size', f'too small when empty: {lacking}')


@rule
def _is_over_quota(view: View, worker: fleetworkers.Worker) -> Finding | None:
    if view.context.quotas.allows(view.group):
        return None
    return Finding('quota', describe_quota(view))


@rule
def _was_claimed_now(
    view: View, worker: fleetworkers.Worker
) -> Finding | None:
    if worker.id in view.context.free_capacity.free_by_id:
        return None
    return Finding('claimed', 'claimed by more urgent work in this round')


@rule
def _has_no_room(view: View, worker: fleetworkers.Worker) -> Finding | None:
    free = view.context.free_capacity.free_by_id[worker.id]
    need = view.group.step.counted_need
    if free.can_fit(need):
        return None
    return Finding('room', describe_shortage(need, free))


@rule
def _has_most_tasks(view: View, worker: fleetworkers.Worker) -> Finding | None:
    most = view.group.step.max_per_worker
    if not most or view.task_counts_by_id.get(worker.id, 0) < most:
        return None
    return Finding('tasks a worker', f'has {most} tasks of the step')


@rule
def _has_obstacle(view: View, worker: fleetworkers.Worker) -> Finding | None:
    found = view.find_obstacle(worker)
    if found is None and not sharing.are_apart(worker, view.group.step):
        found = preferences.Obstacle.DISTURBS
    if found is None:
        return None
    return Finding(_OBSTACLE_RULES[found], found.value)


@rule
def _is_too_slow(view: View, worker: fleetworkers.Worker) -> Finding | None:
    if view.limits is None:
        return None
    speed = view.context.free_capacity.speed(worker.id)
    if speed >= view.limits.now:
        return None
    return Finding(
        'speed',
        f'speed {speed:.2f}; the job ends in time from '
        f'{view.limits.now:.2f} on',
    )


def describe_shortage(
    need: jobgraph.Resources, free: jobgraph.Resources
) -> str:
    """Return in words of which resources too little is free."""
    parts = []
    if need.cpu_millis > free.cpu_millis:
        parts.append(
            f'{max(0, free.cpu_millis) / 1000:g} of '
            f'{need.cpu_millis / 1000:g} cores'
        )
    if need.memory_mb > free.memory_mb:
        parts.append(f'{max(0, free.memory_mb)} of {need.memory_mb} MB')
    if need.accelerators > free.accelerators:
        parts.append(
            f'{max(0, free.accelerators)} of {need.accelerators} accelerators'
        )
    return 'has ' + ', '.join(parts)


def describe_quota(view: View) -> str:
    """Return in words what the quota of the group's account lacks."""
    account = view.group.job.graph.account
    lacking = view.context.quotas.find_shortage(view.group)
    parts = []
    if lacking.cpu_millis:
        parts.append(f'{lacking.cpu_millis / 1000:g} cores')
    if lacking.memory_mb:
        parts.append(f'{lacking.memory_mb} MB')
    if lacking.accelerators:
        parts.append(f'{lacking.accelerators} accelerators')
    lack = f'the quota of {account} lacks ' + ', '.join(parts)
    if view.context.quotas.can_ever_allow(view.group):
        return lack
    return f'larger than the whole quota: {lack}'
