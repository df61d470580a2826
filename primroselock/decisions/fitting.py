"""Finds workers with room for a group: by CPU, memory and accelerators.

A single task goes to the worker that it fills best, so that whole workers
stay free for large tasks.  The members of a gang whose tasks are slow
apart go into one rack, where some rack could ever hold them.

``FreeCapacity`` is a draft of what is free: what one round places is taken out
of it, so that the groups of a round never share room.
"""

from collections import abc
import dataclasses
import math
import typing

from primroselock.decisions import fleet
from primroselock.decisions import speeds
from primroselock.decisions import waiting
from primroselock import jobgraph

_FAR_SLOWER: typing.Final = 0.5
"""A speed at which a worker is used only where nothing else is free."""

_LARGEST_CLASS: typing.Final = 20.0
_CLASS_WIDTH: typing.Final = 0.25
"""Speeds differ by a quarter from class to class (a logarithm)."""

WorkerFilter = abc.Callable[[fleet.Worker], bool]
Score = abc.Callable[[fleet.Worker, jobgraph.Resources], tuple[float, ...]]
Rank = tuple[bool, int]
"""How urgent a group is; lower ranks go first."""


scores_by_name: typing.Final[dict[str, Score]] = {}


def score(name: str) -> abc.Callable[[Score], Score]:
    """Register the decorated choice among workers; the lowest is taken."""

    def register(choose: Score) -> Score:
        scores_by_name[name] = choose
        return choose

    return register


@score('best_fit')
def best_fit(
    worker: fleet.Worker, left: jobgraph.Resources
) -> tuple[float, ...]:
    """Prefer the worker that is filled best."""
    capacity = worker.entry.capacity
    return (
        _share(left.accelerators, capacity.accelerators)
        + _share(left.cpu_millis, capacity.cpu_millis)
        + _share(left.memory_mb, capacity.memory_mb) / 2,
    )


@score('first_fit')
def first_fit(
    worker: fleet.Worker, left: jobgraph.Resources
) -> tuple[float, ...]:
    """Take workers in the order in which they are known."""
    return ()


def _share(amount: int, whole: int) -> float:
    return amount / whole if whole else 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class _Shape:
    """What decides whether a single task finds room in a round."""

    service: str
    need: jobgraph.Resources
    label: str
    fills: bool
    serves: bool
    rank: Rank


@dataclasses.dataclass(slots=True)
class FreeCapacity:
    """What is free on each worker that may be used.

    Room only shrinks in a round, so a shape of single tasks that found
    none finds none later: ``unplaceable_shapes``.  The worker that was best
    for a step is so until it is full, since fuller workers are preferred:
    ``last_by_step``.
    """

    free_by_id: dict[str, jobgraph.Resources]
    choose: Score
    worker_speeds: speeds.Speeds = dataclasses.field(
        default_factory=speeds.Speeds
    )

    unplaceable_shapes: set[_Shape] = dataclasses.field(default_factory=set)
    last_by_step: dict[fleet.StepName, str] = dataclasses.field(
        default_factory=dict
    )

    def take(self, worker_id: str, need: jobgraph.Resources) -> None:
        """Take room out of the draft."""
        self.free_by_id[worker_id] = self.free_by_id[worker_id].plus(need, -1)

    def give(self, worker_id: str, need: jobgraph.Resources) -> None:
        """Return room to the draft."""
        self.free_by_id[worker_id] = self.free_by_id[worker_id].plus(need)

    def speed_class(self, worker_id: str, group: fleet.Group) -> float:
        """Return a class of speed for the group: 0 is fast enough.

        A gang is as slow as its slowest member, and urgent work has little
        slack: both go to fast workers first.  Other work only avoids those
        that are far slower than usual.
        """
        speed = self.worker_speeds.speed(worker_id)
        if speed <= _FAR_SLOWER:
            return _LARGEST_CLASS
        if group.size > 1 or waiting.priority(group.job) == waiting.URGENT:
            return float(round(-math.log(speed) / _CLASS_WIDTH))
        return 0.0


def fits_ever(worker: fleet.Worker, step: jobgraph.Step) -> bool:
    """Whether the worker could hold a task of the step when empty."""
    if step.label and step.label not in worker.entry.labels:
        return False
    return worker.entry.capacity.can_fit(step.counted_need)


def may_share(worker: fleet.Worker, step: jobgraph.Step) -> bool:
    """Whether the step's tasks may run beside what is on the worker.

    Tasks that fill spare CPU disturb tasks that serve users, by amounts
    that change within seconds: they are kept apart.
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
    """Return a worker for each task of the group, or None.

    The room is taken out of ``free_capacity`` if a place is found.
    ``rank`` is how urgent the group is, or None where ``allow`` goes by
    more than that and the step's needs.
    """
    if group.size > 1:
        return _place_gang(board, free_capacity, group, allow)
    shape = _shape(group, rank) if rank is not None else None
    if shape in free_capacity.unplaceable_shapes:
        return None
    again = _place_again(board, free_capacity, group, allow)
    if again is not None:
        return [again]
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


def _place_again(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    allow: WorkerFilter,
) -> str | None:
    """Take the worker that was best for the step, while it has room."""
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
    free_capacity.take(worker_id, need)
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
    for rack in _order_racks(free_capacity, group, racks):
        placed = _place_in(board, free_capacity, group, racks[rack])
        if placed is not None:
            return placed
    if group.may_span_racks:
        return _place_in(board, free_capacity, group, candidates)
    return None


def group_by_rack(
    workers: abc.Iterable[fleet.Worker],
) -> dict[str, list[fleet.Worker]]:
    """Return workers by their rack."""
    racks: dict[str, list[fleet.Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks


def _order_racks(
    free_capacity: FreeCapacity,
    group: fleet.Group,
    racks: abc.Mapping[str, list[fleet.Worker]],
) -> list[str]:
    """Return racks: the one with the data, the fastest, the fullest first."""
    need = group.step.counted_need

    def sort_key(rack: str) -> tuple[bool, float, int]:
        held = sorted(
            (
                free_capacity.speed_class(worker.id, group),
                free_capacity.free_by_id[worker.id].fit_count(need),
            )
            for worker in racks[rack]
        )
        fitting = sum(count for _, count in held)
        slowest = _slowest_used(held, group.size)
        return (rack != group.step.data_rack, slowest, fitting)

    return sorted(racks, key=sort_key)


def _slowest_used(held: abc.Iterable[tuple[float, int]], size: int) -> float:
    """Return the class of the slowest worker that a gang would need.

    ``held`` tells of each worker its class and how many tasks it holds.
    """
    left = size
    for speed_class, count in held:
        left -= count
        if left <= 0:
            return speed_class
    return _LARGEST_CLASS


def _place_in(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
) -> list[str] | None:
    """Place every task on the candidates, or none."""
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = count_on_workers(group) if limit else {}
    taken: list[str] = []
    for _ in range(group.size):
        best = _choose(free_capacity, group, candidates, need, limit, counts)
        if best is None:
            for worker_id in taken:
                free_capacity.give(worker_id, need)
            return None
        free_capacity.take(best, need)
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
    rack_shares = _free_by_rack(free_capacity, candidates)
    for worker in candidates:
        free = free_capacity.free_by_id[worker.id]
        if not free.can_fit(need):
            continue
        if limit and counts.get(worker.id, 0) >= limit:
            continue
        key = (
            float(bool(data_rack) and worker.entry.rack != data_rack),
            free_capacity.speed_class(worker.id, group),
            rack_shares[worker.entry.rack],
            *free_capacity.choose(worker, free.plus(need, -1)),
        )
        if best is None or key < best_key:
            best, best_key = worker.id, key
    return best


def _free_by_rack(
    free_capacity: FreeCapacity, candidates: abc.Iterable[fleet.Worker]
) -> dict[str, float]:
    """Return the free accelerators of each rack.

    Single tasks go where a rack is fullest, so that others keep room for
    gangs that need a rack of their own.
    """
    free: dict[str, float] = {}
    for worker in candidates:
        rack = worker.entry.rack
        left = free_capacity.free_by_id[worker.id].accelerators
        free[rack] = free.get(rack, 0.0) + left
    return free


def count_on_workers(group: fleet.Group) -> dict[str, int]:
    """Return how many tasks of the group's step each worker may run."""
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
    """Whether no single rack could hold the gang even when empty."""
    if not step.gang or not step.rack_local:
        return False
    racks = group_by_rack(
        worker for worker in workers if fits_ever(worker, step)
    )
    for members in racks.values():
        held = sum(_most_on(worker, step) for worker in members)
        if held >= step.tasks:
            return False
    return True


def _most_on(worker: fleet.Worker, step: jobgraph.Step) -> int:
    most = worker.entry.capacity.fit_count(step.counted_need)
    return min(most, step.max_per_worker) if step.max_per_worker else most
