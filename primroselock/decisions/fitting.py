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
from primroselock.decisions import waiting
from primroselock import jobgraph

_VERY_SLOW_SPEED: typing.Final = 0.5
"""A worker of this speed or less is used only if no other is free."""

_SLOWEST_CLASS: typing.Final = 20.0
"""The speed class of very slow workers, above every other class."""

_CLASS_WIDTH: typing.Final = 0.25
"""The width of a speed class as a natural logarithm: about a quarter."""

WorkerFilter = abc.Callable[[fleet.Worker], bool]
"""Tells whether a worker that a step can use is allowed now."""

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
class Shape:
    """The properties that decide whether a group fits in a round.

    ``size`` is the number of its tasks, which run in one rack if
    ``in_one_rack`` is set.  ``is_relaxed`` is set for an attempt without
    the group's preferences, to which claims may still count.
    """

    service: str
    need: jobgraph.Resources
    label: str
    fills: bool
    has_latency_target: bool
    size: int
    in_one_rack: bool
    rank: Rank
    is_relaxed: bool = False
    claims_count: bool = True

    def relaxed(self, claims_count: bool) -> 'Shape':
        """Return the shape of an attempt without preferences."""
        return dataclasses.replace(
            self,
            in_one_rack=False,
            is_relaxed=True,
            claims_count=claims_count,
        )


class _StepKind(typing.NamedTuple):
    """The properties of a step that decide which workers it can use."""

    service: str
    label: str
    need: jobgraph.Resources


def _step_kind(group: fleet.Group) -> _StepKind:
    queue, step = group.job.queue, group.step
    return _StepKind(
        queue.service if queue else '', step.label, step.counted_need
    )


class FreeCapacity:
    """The free capacity of each worker that may be used in a round.

    Free capacity only shrinks in a round, so that a shape that did not fit
    once does not fit later: ``unplaceable_shapes``.  The worker that was
    best for a step stays best until it is full, since fuller workers are
    preferred: ``last_by_step``.
    """

    def __init__(
        self,
        board: fleet.ShardBoard,
        workers: abc.Iterable[fleet.Worker],
        score_worker: Score,
    ) -> None:
        self.score_worker = score_worker
        self.worker_speeds = board.worker_speeds
        self.free_by_id: dict[str, jobgraph.Resources] = {}
        self.free_accelerators_by_rack: dict[str, int] = {}
        self.unplaceable_shapes: set[Shape] = set()
        self.last_by_step: dict[fleet.StepName, str] = {}
        self._workers_by_id: dict[str, fleet.Worker] = {}
        self._speed_classes_by_id: dict[str, float] = {}
        self._board = board
        self._with_capacity_by_kind: dict[_StepKind, list[fleet.Worker]] = {}
        self._too_large: set[tuple[_StepKind, int]] = set()
        for worker in workers:
            free = worker.free
            self.free_by_id[worker.id] = free
            self._workers_by_id[worker.id] = worker
            self._add_to_rack(worker.entry.rack, free.accelerators)

    def _add_to_rack(self, rack: str, accelerators: int) -> None:
        known = self.free_accelerators_by_rack.get(rack, 0)
        self.free_accelerators_by_rack[rack] = known + accelerators

    def _rack_of(self, worker_id: str) -> str:
        return self._workers_by_id[worker_id].entry.rack

    def reserve(self, worker_id: str, need: jobgraph.Resources) -> None:
        """Subtract the resources of a placement."""
        self.free_by_id[worker_id] = self.free_by_id[worker_id].plus(need, -1)
        self._add_to_rack(self._rack_of(worker_id), -need.accelerators)

    def release(self, worker_id: str, need: jobgraph.Resources) -> None:
        """Add the resources of a withdrawn placement."""
        self.free_by_id[worker_id] = self.free_by_id[worker_id].plus(need)
        self._add_to_rack(self._rack_of(worker_id), need.accelerators)

    def exclude(self, worker_id: str) -> None:
        """Remove a worker that was claimed in this round."""
        free = self.free_by_id.pop(worker_id, None)
        if free is not None:
            self._add_to_rack(self._rack_of(worker_id), -free.accelerators)

    def list_usable(self, group: fleet.Group) -> list[fleet.Worker]:
        """Return the workers that could hold a task of the group if empty.

        Those that were excluded in this round are left out.
        """
        kind = _step_kind(group)
        usable_by_kind = self._board.entry_cache.usable_by_kind
        known = usable_by_kind.get(kind)
        if known is None:
            known = usable_by_kind[kind] = [
                worker
                for worker in self._board.workers_by_id.values()
                if worker.entry.service == kind.service
                and fits_when_empty(worker, group.step)
            ]
        return [worker for worker in known if worker.id in self.free_by_id]

    def list_with_capacity(self, group: fleet.Group) -> list[fleet.Worker]:
        """Return the workers with free capacity for a task of the group."""
        kind = _step_kind(group)
        known = self._with_capacity_by_kind.get(kind)
        if known is None:
            known = self.list_usable(group)
        # Free capacity only shrinks in a round.
        found = [
            worker
            for worker in known
            if worker.id in self.free_by_id
            and self.free_by_id[worker.id].can_fit(kind.need)
        ]
        self._with_capacity_by_kind[kind] = found
        return found

    def fits(self, group: fleet.Group) -> bool:
        """Return whether the free capacity is enough for the group.

        Only resources and labels count.  What was too large once is too
        large for the rest of the round.
        """
        size = (_step_kind(group), group.size)
        if size in self._too_large:
            return False
        need = group.step.counted_need
        fit_total = 0
        for worker in self.list_with_capacity(group):
            # An empty need fits any number of times.
            fit_total += self.free_by_id[worker.id].fit_count(need) or (
                group.size
            )
            if fit_total >= group.size:
                return True
        self._too_large.add(size)
        return False

    def speed_class(self, worker_id: str, group: fleet.Group) -> float:
        """Return the worker's speed class for a group.

        Lower classes are faster; 0 is fast enough.  A gang is as slow as
        its slowest member, and urgent work has little slack: both go to
        fast workers first.  Other work only avoids workers that are much
        slower than usual.
        """
        fine_class = self._speed_classes_by_id.get(worker_id)
        if fine_class is None:
            fine_class = _speed_class(self.worker_speeds.speed(worker_id))
            self._speed_classes_by_id[worker_id] = fine_class
        if fine_class == _SLOWEST_CLASS:
            return _SLOWEST_CLASS
        if group.size > 1 or waiting.priority(group.job) == waiting.URGENT:
            return fine_class
        return 0.0


def _speed_class(speed: float) -> float:
    """Return the class of a speed relative to the usual speed of 1."""
    if speed <= _VERY_SLOW_SPEED:
        return _SLOWEST_CLASS
    return float(round(-math.log(speed) / _CLASS_WIDTH))


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
    shape: Shape | None,
) -> list[str] | None:
    """Reserve a worker for each task of the group; return their ids.

    Returns None, and reserves nothing, if the group does not fit.
    ``shape`` is that of the group, or None where ``allow`` depends on more
    than the shape.
    """
    if shape in free_capacity.unplaceable_shapes:
        return None
    if group.size > 1:
        placed = _place_gang(free_capacity, group, allow)
    else:
        placed = _place_single(board, free_capacity, group, allow)
    if placed is None and shape is not None:
        free_capacity.unplaceable_shapes.add(shape)
    return placed


def shape_of(group: fleet.Group, rank: Rank) -> Shape:
    """Return the shape of a group of urgency ``rank``."""
    queue = group.job.queue
    step = group.step
    return Shape(
        queue.service if queue else '',
        step.counted_need,
        step.label,
        step.fills,
        bool(step.tail_latency_target_ms),
        group.size,
        group.size > 1 and step.rack_local and not group.may_span_racks,
        rank,
    )


def _place_single(
    board: fleet.ShardBoard,
    free_capacity: FreeCapacity,
    group: fleet.Group,
    allow: WorkerFilter,
) -> list[str] | None:
    last_id = _place_on_last(board, free_capacity, group, allow)
    if last_id is not None:
        return [last_id]
    candidates = _candidates(free_capacity, group, allow)
    placed = _place_in(free_capacity, group, candidates)
    if placed is not None:
        free_capacity.last_by_step[group.step_name] = placed[0]
    return placed


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
    free_capacity: FreeCapacity, group: fleet.Group, allow: WorkerFilter
) -> list[fleet.Worker]:
    return [
        worker
        for worker in free_capacity.list_with_capacity(group)
        if allow(worker)
    ]


def _place_gang(
    free_capacity: FreeCapacity,
    group: fleet.Group,
    allow: WorkerFilter,
) -> list[str] | None:
    candidates = _candidates(free_capacity, group, allow)
    if not group.step.rack_local:
        return _place_in(free_capacity, group, candidates)
    racks = group_by_rack(candidates)
    for rack in _sort_racks(free_capacity, group, racks):
        placed = _place_in(free_capacity, group, racks[rack])
        if placed is not None:
            return placed
    if group.may_span_racks:
        return _place_in(free_capacity, group, candidates)
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
    free_capacity: FreeCapacity,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
) -> list[str] | None:
    """Return a candidate for every task, or None if not all fit."""
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = count_on_workers(group) if limit else {}
    fit_total = 0
    fitting_workers = []
    for worker in candidates:
        free = free_capacity.free_by_id[worker.id]
        if not free.can_fit(need):
            continue
        # An empty need fits any number of times.
        fit_count = free.fit_count(need) or group.size
        if limit:
            fit_count = min(fit_count, limit - counts.get(worker.id, 0))
        if fit_count > 0:
            fit_total += fit_count
            fitting_workers.append(worker)
    if fit_total < group.size:
        return None
    return _take_best(free_capacity, group, fitting_workers, counts)


def _take_best(
    free_capacity: FreeCapacity,
    group: fleet.Group,
    workers: abc.Sequence[fleet.Worker],
    counts: dict[str, int],
) -> list[str]:
    """Reserve the best worker for each task in turn; all tasks fit.

    ``counts`` holds how many of the step's tasks each worker has.  A
    placement changes the keys only of the workers of its rack.
    """
    need = group.step.counted_need
    limit = group.step.max_per_worker
    by_id = {worker.id: worker for worker in workers}
    keys_by_id = {
        worker.id: _preference(free_capacity, group, worker, need)
        for worker in workers
    }
    taken: list[str] = []
    while True:
        best_id = min(keys_by_id, key=keys_by_id.__getitem__)
        free_capacity.reserve(best_id, need)
        taken.append(best_id)
        counts[best_id] = counts.get(best_id, 0) + 1
        if len(taken) == group.size:
            return taken
        is_full = not free_capacity.free_by_id[best_id].can_fit(need) or (
            limit and counts[best_id] >= limit
        )
        if is_full:
            del keys_by_id[best_id]
        rack = by_id[best_id].entry.rack
        for worker in workers:
            if worker.entry.rack == rack and worker.id in keys_by_id:
                keys_by_id[worker.id] = _preference(
                    free_capacity, group, worker, need
                )


def _preference(
    free_capacity: FreeCapacity,
    group: fleet.Group,
    worker: fleet.Worker,
    need: jobgraph.Resources,
) -> tuple[float, ...]:
    """Return the sort key of a worker for a task; the lowest is best.

    Workers where the group was stuck, and those that refused their last
    start, come last.  Single tasks go into the
    fullest rack, so that other racks stay free for rack-local gangs.
    """
    data_rack = group.step.data_rack
    rack = worker.entry.rack
    left = free_capacity.free_by_id[worker.id].plus(need, -1)
    return (
        float(worker.id in group.avoided_worker_ids),
        float(worker.refusals_in_row > 0),
        float(bool(data_rack) and rack != data_rack),
        free_capacity.speed_class(worker.id, group),
        free_capacity.free_accelerators_by_rack[rack],
        *free_capacity.score_worker(worker, left),
    )


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
