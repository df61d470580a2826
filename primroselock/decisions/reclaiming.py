"""Chooses what is stopped so that more urgent work has its room in time.

Work that a guarantee covers may stop all that none covers; other work may
stop what is of a less urgent queue.  For each task the worker is chosen
where the least work is lost to make room.  What was freed stays claimed
for the group, so that nothing else slips in.

A gang that may stop nothing claims the workers that become free soonest:
else single tasks would take up each gap, and whole workers never come.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import waiting
from primroselock import jobgraph

MayStop = abc.Callable[[fleet.Group], bool]

_LONGEST_UNSAVED_S: typing.Final = 1.0
"""Work that saves its progress does so this often, and when stopped."""

_RESTART_COST_S: typing.Final = 0.3
_ENDS_SOON_S: typing.Final = 0.5
"""About what a stop takes: work that ends by then is not stopped."""

_URGENT_FACTOR: typing.Final = 6.0
_MOST_LOST_FACTOR: typing.Final = 6.0
"""Work thrown away may be so many times what it makes room for."""

_MS_PER_S: typing.Final = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Workers for a group, and whose ends make room there; what it costs."""

    victims: tuple[fleet.Group, ...]
    worker_ids: frozenset[str]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class CostModel:
    """What it costs that a group ends, and what several ends cost."""

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
    """Return whom to stop for a group so that the least work is lost.

    None where even that makes no room.
    """
    pricing = CostModel(lambda victim: lost_work_s(victim, now), sum)
    return _choose(board, free_capacity, group, allow, may_stop, pricing)


def choose_soonest_free(
    board: fleet.ShardBoard,
    free_capacity: fitting.FreeCapacity,
    group: fleet.Group,
    allow: fitting.WorkerFilter,
    now: float,
) -> Choice | None:
    """Return the workers where room for a group comes soonest by itself."""

    def may_wait_for(other: fleet.Group) -> bool:
        return not other.step.long_running

    pricing = CostModel(lambda other: _left_s(board, other, now), _latest)
    return _choose(board, free_capacity, group, allow, may_wait_for, pricing)


def _latest(times_s: list[float]) -> float:
    return max(times_s, default=0.0)


def _left_s(board: fleet.ShardBoard, group: fleet.Group, now: float) -> float:
    """Return how long a group runs on, as far as can be told."""
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
    pricing: CostModel,
) -> Choice | None:
    """Choose among all workers, or the best rack for a gang that needs one."""
    candidates = [
        board.workers_by_id[worker_id]
        for worker_id in free_capacity.free_by_id
        if allow(board.workers_by_id[worker_id])
    ]
    if group.size == 1 or not group.step.rack_local or group.may_span_racks:
        return _choose_in(free_capacity, group, candidates, may_end, pricing)
    choices = [
        _choose_in(free_capacity, group, members, may_end, pricing)
        for members in fitting.group_by_rack(candidates).values()
    ]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=lambda choice: choice.cost, default=None)


def _choose_in(
    free_capacity: fitting.FreeCapacity,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
    may_end: MayStop,
    pricing: CostModel,
) -> Choice | None:
    """Take workers one task at a time, each the cheapest to free."""
    draft = dict(free_capacity.free_by_id)
    end_reason: dict[fleet.Group, None] = {}
    used: dict[str, int] = {}
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = fitting.count_on_workers(group) if limit else {}
    for _ in range(group.size):
        best: tuple[float, str, list[fleet.Group]] | None = None
        for worker in candidates:
            if limit and counts.get(worker.id, 0) >= limit:
                continue
            found = _free_on(
                worker, draft[worker.id], need, end_reason, may_end, pricing
            )
            if found is None:
                continue
            cost = pricing.total([pricing.cost_of(other) for other in found])
            if best is None or cost < best[0]:
                best = (cost, worker.id, found)
        if best is None:
            return None
        _, worker_id, victims = best
        for victim in victims:
            end_reason[victim] = None
            _return_room(draft, victim)
        draft[worker_id] = draft[worker_id].plus(need, -1)
        used[worker_id] = used.get(worker_id, 0) + 1
        counts[worker_id] = counts.get(worker_id, 0) + 1
    cost = pricing.total([pricing.cost_of(victim) for victim in end_reason])
    return Choice(tuple(end_reason), frozenset(used), cost)


def _return_room(
    draft: dict[str, jobgraph.Resources], victim: fleet.Group
) -> None:
    for member in victim.remaining_members():
        if member.worker_id in draft:
            draft[member.worker_id] = draft[member.worker_id].plus(
                victim.step.counted_need
            )


def _free_on(
    worker: fleet.Worker,
    free: jobgraph.Resources,
    need: jobgraph.Resources,
    end_reason: abc.Container[fleet.Group],
    may_end: MayStop,
    pricing: CostModel,
) -> list[fleet.Group] | None:
    """Return whose ends make room for ``need`` on one worker."""
    if free.can_fit(need):
        return []
    victims: list[fleet.Group] = []
    options = {
        member.group: None
        for member in worker.members.values()
        if member.group not in end_reason
        and member.group.phase is not fleet.Phase.DONE
        and member.group.step.max_unavailable is None
        and may_end(member.group)
    }
    by_cost = sorted(
        options,
        key=lambda victim: (
            victim.phase is not fleet.Phase.STOPPING,
            pricing.cost_of(victim),
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
    """Return the core-seconds that stopping a group throws away.

    An accelerator counts as eight cores.  Urgent work counts more, since
    it comes too late if it is stopped.  What ends by itself as soon as a
    stop would loses nothing.
    """
    if group.phase is fleet.Phase.STOPPING or ends_soon(group, now):
        return 0.0
    worked_s = group.worked_s(now)
    if group.step.checkpointing:
        worked_s = min(worked_s, _LONGEST_UNSAVED_S)
    ran_s = _RESTART_COST_S + worked_s
    is_urgent = waiting.priority(group.job) == waiting.URGENT
    urgency = _URGENT_FACTOR if is_urgent else 1.0
    return ran_s * group.size * cores(group.step.need) * urgency


def max_lost_work_s(board: fleet.ShardBoard, group: fleet.Group) -> float:
    """Return the core-seconds that may be thrown away for a group.

    Guaranteed work is not bound by it.
    """
    expected_s = board.learned.expected_s(
        group.job.graph.queue, group.step.expected_ms / _MS_PER_S
    )
    own_s = expected_s * group.size * cores(group.step.need)
    return own_s * _MOST_LOST_FACTOR


def ends_soon(group: fleet.Group, now: float) -> bool:
    """Whether a group ends by itself in about the time that a stop takes."""
    remaining_s = group.remaining_s(now)
    return remaining_s is not None and remaining_s <= _ENDS_SOON_S


def cores(need: jobgraph.Resources) -> float:
    """Return a need in cores; an accelerator counts as eight."""
    return need.cpu_millis / 1000 + need.accelerators * 8
