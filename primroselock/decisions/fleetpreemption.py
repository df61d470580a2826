"""Chooses the victims of preemption and the workers to claim.

Work covered by a guarantee may preempt all work that is not; other work
may preempt work of a less urgent queue.  Each task goes to the worker
where freeing capacity loses the least work.  The freed workers stay
claimed for the group, so that nothing else is placed there first.

A gang that may preempt nothing claims the workers that become free
soonest: otherwise single tasks would fill each gap, and whole workers
would never become free.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import waiting
from primroselock import jobgraph

MayStop = abc.Callable[[fleet.Group], bool]

_MAX_UNSAVED_WORK_S: typing.Final = 1.0
"""Checkpointing tasks save their progress this often, and when stopped."""

_RESTART_COST_S: typing.Final = 0.3
_ENDS_SOON_S: typing.Final = 0.5
"""About the time that a stop takes: what ends by then is not stopped."""

_URGENT_FACTOR: typing.Final = 6.0
"""The weight of lost work of the most urgent queues."""

_MAX_LOST_WORK_FACTOR: typing.Final = 6.0
"""The most work that may be lost, as a multiple of the group's own work."""

_MS_PER_S: typing.Final = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Workers for a group, and the victims whose ends free capacity there.

    ``cost`` is in the unit of the cost model: core-seconds of lost work, or
    seconds until the last worker is free.
    """

    victims: tuple[fleet.Group, ...]
    worker_ids: frozenset[str]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class CostModel:
    """The cost of the end of one group, and of several ends together."""

    cost_of: abc.Callable[[fleet.Group], float]
    total: abc.Callable[[list[float]], float]


def choose_victims(
    board: fleet.ShardBoard,
    free_capacity: fitting.FreeCapacity,
    group: fleet.Group,
    allow: fitting.WorkerFilter,
    may_stop: MayStop,
    now: float,
) -> Choice | None:
    """Choose, task by task, the victims whose stops lose the least work.

    Returns None if no stops free enough capacity for ``group``.
    """
    cost_model = CostModel(lambda victim: lost_work_s(victim, now), sum)
    return _choose(board, free_capacity, group, allow, may_stop, cost_model)


def choose_soonest_free(
    board: fleet.ShardBoard,
    free_capacity: fitting.FreeCapacity,
    group: fleet.Group,
    allow: fitting.WorkerFilter,
    now: float,
) -> Choice | None:
    """Return the workers that become free soonest without preemption.

    Returns None if the group would not fit even then.
    """

    def may_wait_for(other: fleet.Group) -> bool:
        return not other.step.long_running

    cost_model = CostModel(
        lambda other: _remaining_s(board, other, now), _latest
    )
    return _choose(
        board, free_capacity, group, allow, may_wait_for, cost_model
    )


def _latest(times_s: list[float]) -> float:
    return max(times_s, default=0.0)


def _remaining_s(
    board: fleet.ShardBoard, group: fleet.Group, now: float
) -> float:
    """Return the estimated remaining run time of a group in seconds."""
    if group.phase is fleet.Phase.STOPPING:
        return _ENDS_SOON_S
    remaining_s = group.remaining_s(now)
    if remaining_s is not None:
        return remaining_s
    expected_s = board.learned.expected_s(
        group.job.graph.queue, group.step.expected_ms / _MS_PER_S
    )
    return max(_ENDS_SOON_S, expected_s - group.worked_s(now))


def _choose(
    board: fleet.ShardBoard,
    free_capacity: fitting.FreeCapacity,
    group: fleet.Group,
    allow: fitting.WorkerFilter,
    may_end: MayStop,
    cost_model: CostModel,
) -> Choice | None:
    """Choose among all workers, or in one rack for a rack-local gang."""
    candidates = [
        board.workers_by_id[worker_id]
        for worker_id in free_capacity.free_by_id
        if allow(board.workers_by_id[worker_id])
    ]
    if group.size == 1 or not group.step.rack_local or group.may_span_racks:
        return _choose_in(
            free_capacity, group, candidates, may_end, cost_model
        )
    choices = [
        _choose_in(free_capacity, group, members, may_end, cost_model)
        for members in fitting.group_by_rack(candidates).values()
    ]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=lambda choice: choice.cost, default=None)


def _choose_in(
    free_capacity: fitting.FreeCapacity,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
    may_end: MayStop,
    cost_model: CostModel,
) -> Choice | None:
    """Choose a worker for each task in turn, the cheapest to free."""
    free_by_id = dict(free_capacity.free_by_id)
    chosen: dict[fleet.Group, None] = {}
    used: dict[str, int] = {}
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = fitting.count_on_workers(group) if limit else {}
    for _ in range(group.size):
        best: tuple[float, str, list[fleet.Group]] | None = None
        for worker in candidates:
            if limit and counts.get(worker.id, 0) >= limit:
                continue
            found = _victims_on(
                worker,
                free_by_id[worker.id],
                need,
                chosen,
                may_end,
                cost_model,
            )
            if found is None:
                continue
            cost = cost_model.total(
                [cost_model.cost_of(other) for other in found]
            )
            if best is None or cost < best[0]:
                best = (cost, worker.id, found)
        if best is None:
            return None
        _, worker_id, victims = best
        for victim in victims:
            chosen[victim] = None
            _add_freed(free_by_id, victim)
        free_by_id[worker_id] = free_by_id[worker_id].plus(need, -1)
        used[worker_id] = used.get(worker_id, 0) + 1
        counts[worker_id] = counts.get(worker_id, 0) + 1
    cost = cost_model.total([cost_model.cost_of(victim) for victim in chosen])
    return Choice(tuple(chosen), frozenset(used), cost)


def _add_freed(
    free_by_id: dict[str, jobgraph.Resources], victim: fleet.Group
) -> None:
    for member in victim.remaining_members():
        if member.worker_id in free_by_id:
            free_by_id[member.worker_id] = free_by_id[member.worker_id].plus(
                victim.step.counted_need
            )


def _victims_on(
    worker: fleet.Worker,
    free: jobgraph.Resources,
    need: jobgraph.Resources,
    chosen: abc.Container[fleet.Group],
    may_end: MayStop,
    cost_model: CostModel,
) -> list[fleet.Group] | None:
    """Return the victims whose ends free ``need`` on one worker.

    Returns None if no choice of victims frees enough.
    """
    if free.can_fit(need):
        return []
    victims: list[fleet.Group] = []
    endable = {
        member.group: None
        for member in worker.members.values()
        if member.group not in chosen
        and member.group.phase is not fleet.Phase.DONE
        and member.group.step.max_unavailable is None
        and may_end(member.group)
    }
    by_cost = sorted(
        endable,
        key=lambda victim: (
            victim.phase is not fleet.Phase.STOPPING,
            cost_model.cost_of(victim),
        ),
    )
    for victim in by_cost:
        victims.append(victim)
        tasks = sum(
            member.group is victim for member in worker.members.values()
        )
        free = free.plus(victim.step.counted_need, tasks)
        if free.can_fit(need):
            return victims
    return None


def lost_work_s(group: fleet.Group, now: float) -> float:
    """Return the work in core-seconds that is lost if a group is stopped.

    An accelerator counts as eight cores.  Urgent work counts more, since
    it would be late after a stop.  A group that ends on its own as soon as
    a stop would end it loses nothing.
    """
    if group.phase is fleet.Phase.STOPPING or ends_soon(group, now):
        return 0.0
    worked_s = group.worked_s(now)
    if group.step.checkpointing:
        worked_s = min(worked_s, _MAX_UNSAVED_WORK_S)
    lost_s = _RESTART_COST_S + worked_s
    is_urgent = waiting.priority(group.job) == waiting.URGENT
    urgency = _URGENT_FACTOR if is_urgent else 1.0
    return lost_s * group.size * cores(group.step.need) * urgency


def max_lost_work_s(board: fleet.ShardBoard, group: fleet.Group) -> float:
    """Return the work in core-seconds that may be lost for a group.

    The limit does not apply to guaranteed work.
    """
    expected_s = board.learned.expected_s(
        group.job.graph.queue, group.step.expected_ms / _MS_PER_S
    )
    own_s = expected_s * group.size * cores(group.step.need)
    return own_s * _MAX_LOST_WORK_FACTOR


def ends_soon(group: fleet.Group, now: float) -> bool:
    """Return whether a group ends on its own about as soon as by a stop."""
    remaining_s = group.remaining_s(now)
    return remaining_s is not None and remaining_s <= _ENDS_SOON_S


def cores(need: jobgraph.Resources) -> float:
    """Return resources in cores; an accelerator counts as eight."""
    return need.cpu_millis / 1000 + need.accelerators * 8
