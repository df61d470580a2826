"""Finds workers for a group by free CPU, memory and accelerators.

A single task goes to the worker that it fills best, so that whole workers
stay free for large tasks.  The members of a rack-local gang, which are
slow when apart, go into one rack, if some rack could hold them when empty.

``FreeCapacity`` is the free capacity as seen by one round: each placement
is subtracted from it, so that no two groups of a round get the same
capacity.
"""

from collections import abc
import dataclasses
import math
import typing

from primroselock.decisions import fleet
from primroselock.decisions import speeds
from primroselock.decisions import waiting
from primroselock import jobgraph

_VERY_SLOW_SPEED: typing.Final = 0.5
"""A worker of this speed or less is used only if no other is free."""

_SLOWEST_CLASS: typing.Final = 20.0
"""The speed class of very slow workers, above every other class."""

_CLASS_WIDTH: typing.Final = 0.25
"""The width of a speed class as a natural logarithm: about a quarter."""

WorkerFilter = abc.Callable[[fleet.Worker], bool]
Score = abc.Callable[[fleet.Worker, jobgraph.Resources], tuple[float, ...]]
Rank = tuple[bool, int]
"""The urgency of a group: (is not guaranteed, priority of its queue).

Lower ranks go first.
"""


scores_by_name: typing.Final[dict[str, Score]] = {}


def score(name: str) -> abc.Callable[[Score], Score]:
    """Register the decorated score of workers; the lowest score wins."""

    def register(score_worker: Score) -> Score:
        scores_by_name[name] = score_worker
        return score_worker

    return register


@score('best_fit')
def best_fit(
    worker: fleet.Worker, left: jobgraph.Resources
) -> tuple[float, ...]:
    """Prefer the worker with the smallest share of free capacity left."""
    capacity = worker.entry.capacity
    return (
        _fraction(left.accelerators, capacity.accelerators)
        + _fraction(left.cpu_millis, capacity.cpu_millis)
        + _fraction(left.memory_mb, capacity.memory_mb) / 2,
    )


@score('first_fit')
def first_fit(
    worker: fleet.Worker, left: jobgraph.Resources
) -> tuple[float, ...]:
    """Prefer workers in the order in which they were listed."""
    return ()


def _fraction(amount: int, total: int) -> float:
    return amount / total if total else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """The properties that decide whether a single task fits in a round."""

    service: str
    need: jobgraph.Resources
    label: str
    fills: bool
    has_latency_target: bool
    rank: Rank


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """The free capacity of each worker that may be used in a round.

    Free capacity only shrinks in a round, so that a shape of single tasks
    that did not fit once does not fit later: ``unplaceable_shapes``.  The
    worker that was best for a step stays best until it is full, since
    fuller workers are preferred: ``last_by_step``.
    """

    free_by_id: dict[str, jobgraph.Resources]
    score_worker: Score
    worker_speeds: speeds.Speeds = dataclasses.field(
        default_factory=speeds.Speeds
    )

    unplaceable_shapes: set[_Shape] = dataclasses.field(default_factory=set)
    last_by_step: dict[fleet.StepName, str] = dataclasses.field(
        default_factory=dict
    )

    def reserve(self, worker_id: str, need: jobgraph.Resources) -> None:
        """Subtract the resources of a placement."""
        self.free_by_id[worker_id] = self.free_by_id[worker_id].plus(need, -1)

    def release(self, worker_id: str, need: jobgraph.Resources) -> None:
        """Add the resources of a withdrawn placement."""
        self.free_by_id[worker_id] = self.free_by_id[worker_id].plus(need)

    def speed_class(self, worker_id: str, group: fleet.Group) -> float:
        """Return the worker's speed class for a group.

        Lower classes are faster; 0 is fast enough.  A gang is as slow as
        its slowest member, and urgent work has little slack: both go to
        fast workers first.  Other work only avoids workers that are much
        slower than usual.
        """
        speed = self.worker_speeds.speed(worker_id)
        if speed <= _VERY_SLOW_SPEED:
            return _SLOWEST_CLASS
        if group.size > 1 or waiting.priority(group.job) == waiting.URGENT:
            return float(round(-math.log(speed) / _CLASS_WIDTH))
        return 0.0


def fits_when_empty(worker: fleet.Worker, step: jobgraph.Step) -> bool:
    """Return whether the worker could hold a task of the step when empty."""
    if step.label and step.label not in worker.entry.labels:
        return False
    return worker.entry.capacity.can_fit(step.counted_need)


def may_share(worker: fleet.Worker, step: jobgraph.Step) -> bool:
    """Return whether the step's tasks may run with those on the worker.

    Tasks that fill spare CPU raise the latency of tasks with a latency
    target, by amounts that change within seconds: they never share a worker.
    """
    if step.fills:
        return not any(
            member.group.step.tail_latency_target_ms
            for member in worker.members.values()
        )
    if step.tail_latency_target_ms:
        return not any(
            member.group.step.fills for member in worker.members.values()
        )
    return True


def place(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    allow: WorkerFilter,
    rank: Rank | None,
) -> list[str] | None:
    """Reserve a worker for each task of the group; return their ids.

    Returns None, and reserves nothing, if the group does not fit.
    ``rank`` is the urgency of the group, or None where ``allow`` depends on
    more than the rank and the step's needs.
    """
    if group.size > 1:
        return _place_gang(board, free_capacity, group, allow)
    shape = _shape(group, rank) if rank is not None else None
    if shape in free_capacity.unplaceable_shapes:
        return None
    last_id = _place_on_last(board, free_capacity, group, allow)
    if last_id is not None:
        return [last_id]
    candidates = _candidates(board, free_capacity, allow)
    placed = _place_in(board, free_capacity, group, candidates)
    if placed is not None:
        free_capacity.last_by_step[group.step_name] = placed[0]
    elif shape is not None and not group.step.max_per_worker:
        free_capacity.unplaceable_shapes.add(shape)
    return placed


def _shape(group: fleet.Group, rank: Rank) -> _Shape:
    queue = group.job.queue
    step = group.step
    return _Shape(
        queue.service if queue else '',
        step.counted_need,
        step.label,
        step.fills,
        bool(step.tail_latency_target_ms),
        rank,
    )


def _place_on_last(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    allow: WorkerFilter,
) -> str | None:
    """Return the worker that was best for the step, while the task fits."""
    worker_id = free_capacity.last_by_step.get(group.step_name)
    if worker_id is None or worker_id not in free_capacity.free_by_id:
        return None
    if group.step.max_per_worker:
        return None
    need = group.step.counted_need
    if not free_capacity.free_by_id[worker_id].can_fit(need):
        return None
    if not allow(board.workers_by_id[worker_id]):
        return None
    free_capacity.reserve(worker_id, need)
    return worker_id


def _candidates(
    board: fleet.ShardBoard, free_capacity: FreeCapacity, allow: WorkerFilter
) -> list[fleet.Worker]:
    return [
        board.workers_by_id[worker_id]
        for worker_id in free_capacity.free_by_id
        if allow(board.workers_by_id[worker_id])
    ]


def _place_gang(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    allow: WorkerFilter,
) -> list[str] | None:
    candidates = _candidates(board, free_capacity, allow)
    if not group.step.rack_local:
        return _place_in(board, free_capacity, group, candidates)
    racks = group_by_rack(candidates)
    for rack in _sort_racks(free_capacity, group, racks):
        placed = _place_in(board, free_capacity, group, racks[rack])
        if placed is not None:
            return placed
    if group.may_span_racks:
        return _place_in(board, free_capacity, group, candidates)
    return None


def group_by_rack(
    workers: abc.Iterable[fleet.Worker],
) -> dict[str, list[fleet.Worker]]:
    """Return the workers of each rack."""
    racks: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks


def _sort_racks(
    free_capacity: FreeCapacity,
    group: fleet.Group,
    racks: abc.Mapping[str, list[fleet.Worker]],
) -> list[str]:
    """Return racks: the data's rack first, then by speed and fullness."""
    need = group.step.counted_need

    def sort_key(rack: str) -> tuple[bool, float, int]:
        fit_counts = sorted(
            (
                free_capacity.speed_class(worker.id, group),
                free_capacity.free_by_id[worker.id].fit_count(need),
            )
            for worker in racks[rack]
        )
        fit_total = sum(count for _, count in fit_counts)
        slowest = _slowest_used(fit_counts, group.size)
        return (rack != group.step.data_rack, slowest, fit_total)

    return sorted(racks, key=sort_key)


def _slowest_used(
    fit_counts: abc.Iterable[tuple[float, int]], size: int
) -> float:
    """Return the speed class of the slowest worker that a gang would use.

    ``fit_counts`` holds for each worker its speed class and the number of
    tasks that fit there, in ascending order.
    """
    left = size
    for speed_class, count in fit_counts:
        left -= count
        if left <= 0:
            return speed_class
    return _SLOWEST_CLASS


def _place_in(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
) -> list[str] | None:
    """Return a candidate for every task, or None if not all fit."""
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = count_on_workers(group) if limit else {}
    taken: list[str] = []
    for _ in range(group.size):
        best = _choose(free_capacity, group, candidates, need, limit, counts)
        if best is None:
            for worker_id in taken:
                free_capacity.release(worker_id, need)
            return None
        free_capacity.reserve(best, need)
        taken.append(best)
        counts[best] = counts.get(best, 0) + 1
    return taken


def _choose(
    free_capacity: FreeCapacity,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
    need: jobgraph.Resources,
    limit: int,
    counts: abc.Mapping[str, int],
) -> str | None:
    best: str | None = None
    best_key: tuple[float, ...] = ()
    data_rack = group.step.data_rack
    free_by_rack = _free_by_rack(free_capacity, candidates)
    for worker in candidates:
        free = free_capacity.free_by_id[worker.id]
        if not free.can_fit(need):
            continue
        if limit and counts.get(worker.id, 0) >= limit:
            continue
        key = (
            float(bool(data_rack) and worker.entry.rack != data_rack),
            free_capacity.speed_class(worker.id, group),
            free_by_rack[worker.entry.rack],
            *free_capacity.score_worker(worker, free.plus(need, -1)),
        )
        if best is None or key < best_key:
            best, best_key = worker.id, key
    return best


def _free_by_rack(
    free_capacity: FreeCapacity, candidates: abc.Iterable[fleet.Worker]
) -> dict[str, float]:
    """Return the number of free accelerators in each rack.

    Single tasks go into the fullest rack, so that other racks stay free
    for rack-local gangs.
    """
    free: dict[str, float] = {}
    for worker in candidates:
        rack = worker.entry.rack
        left = free_capacity.free_by_id[worker.id].accelerators
        free[rack] = free.get(rack, 0.0) + left
    return free


def count_on_workers(group: fleet.Group) -> dict[str, int]:
    """Return the number of the step's tasks that each worker may run."""
    counts: dict[str, int] = {}
    siblings = group.job.groups_of_step(group.key.occurrence, group.key.step)
    for sibling in siblings:
        for member in sibling.members:
            if member.state is not fleet.MemberState.TERMINATED:
                worker_id = member.worker_id
                counts[worker_id] = counts.get(worker_id, 0) + 1
    return counts


def must_span_racks(
    workers: abc.Iterable[fleet.Worker], step: jobgraph.Step
) -> bool:
    """Return whether no single rack could hold the gang even when empty."""
    if not step.gang or not step.rack_local:
        return False
    racks = group_by_rack(
        worker for worker in workers if fits_when_empty(worker, step)
    )
    for members in racks.values():
        fit_total = sum(_max_tasks_on(worker, step) for worker in members)
        if fit_total >= step.tasks:
            return False
    return True


def _max_tasks_on(worker: fleet.Worker, step: jobgraph.Step) -> int:
    most = worker.entry.capacity.fit_count(step.counted_need)
    return min(most, step.max_per_worker) if step.max_per_worker else most
