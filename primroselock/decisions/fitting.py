"""Chooses workers for a group by free CPU, memory and accelerators.

A single task goes to the worker that it fills best, so that whole workers
stay free for large tasks.  The members of a rack-local gang, which are
slow when apart, go into one rack, if some rack could hold them when empty.
Other gangs go into one zone if that has room.
"""

from collections import abc
import typing

from primroselock.decisions.endtimes import speedorders
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock import jobgraph

WorkerFilter = abc.Callable[[fleetworkers.Worker], bool]
"""Tells whether a worker that a step can use is allowed now."""

_SPEED_TOLERANCE: typing.Final = 1.0
"""Speed classes by which workers of one zone may be slower than others."""

scores_by_name: typing.Final[dict[str, freecapacity.Score]] = {}


def score(name: str) -> abc.Callable[[freecapacity.Score], freecapacity.Score]:
    """Register the decorated score of workers; the lowest score wins."""

    def register(score_worker: freecapacity.Score) -> freecapacity.Score:
        scores_by_name[name] = score_worker
        return score_worker

    return register


@score('best_fit')
def best_fit(
    worker: fleetworkers.Worker, left: jobgraph.Resources
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
    worker: fleetworkers.Worker, left: jobgraph.Resources
) -> tuple[float, ...]:
    """Prefer workers in the order in which they were listed."""
    return ()


def _fraction(amount: int, total: int) -> float:
    return amount / total if total else 0.0


def place(
    board: fleet.ShardBoard,
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    allow: WorkerFilter,
    shape: freecapacity.Shape | None,
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


def _place_single(
    board: fleet.ShardBoard,
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
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
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
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
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    allow: WorkerFilter,
) -> list[fleetworkers.Worker]:
    return [
        worker
        for worker in free_capacity.list_with_capacity(group)
        if allow(worker)
    ]


def _place_gang(
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    allow: WorkerFilter,
) -> list[str] | None:
    candidates = _candidates(free_capacity, group, allow)
    if not group.step.rack_local:
        return _place_in_zone(free_capacity, group, candidates)
    racks = group_by_rack(candidates)
    for rack in _sort_racks(free_capacity, group, racks):
        placed = _place_in(free_capacity, group, racks[rack])
        if placed is not None:
            return placed
    if group.may_span_racks:
        return _place_in_zone(free_capacity, group, candidates)
    return None


def _place_in_zone(
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    candidates: abc.Sequence[fleetworkers.Worker],
) -> list[str] | None:
    """Place a gang in one zone, if that has room on workers as fast.

    The whole gang is lost with any zone where it has a member.
    """
    by_zone: dict[str, list[fleetworkers.Worker]] = {}
    for worker in candidates:
        by_zone.setdefault(worker.entry.zone, []).append(worker)
    if len(by_zone) > 1:
        slowest, _ = _rate(free_capacity, group, candidates)
        ratings = {
            zone: _rate(free_capacity, group, members)
            for zone, members in by_zone.items()
        }
        for zone in sorted(ratings, key=lambda name: (ratings[name], name)):
            if ratings[zone][0] > slowest + _SPEED_TOLERANCE:
                break
            placed = _place_in(free_capacity, group, by_zone[zone])
            if placed is not None:
                return placed
    return _place_in(free_capacity, group, candidates)


def _rate(
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    workers: abc.Iterable[fleetworkers.Worker],
) -> tuple[float, int]:
    """Return the speed class that a gang gets, and how many tasks fit."""
    need = group.step.counted_need
    speed_class = free_capacity.speed_classes(group)
    fit_counts = sorted(
        (
            speed_class(worker.id),
            free_capacity.free_by_id[worker.id].fit_count(need),
        )
        for worker in workers
    )
    fit_total = sum(count for _, count in fit_counts)
    return _slowest_used(fit_counts, group.size), fit_total


def group_by_rack(
    workers: abc.Iterable[fleetworkers.Worker],
) -> dict[str, list[fleetworkers.Worker]]:
    """Return the workers of each rack."""
    racks: dict[str, list[fleetworkers.Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.entry.rack, []).append(worker)
    return racks


def _sort_racks(
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    racks: abc.Mapping[str, list[fleetworkers.Worker]],
) -> list[str]:
    """Return racks: the data's rack first, then by speed and fullness."""

    def sort_key(rack: str) -> tuple[bool, float, int]:
        slowest, fit_total = _rate(free_capacity, group, racks[rack])
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
    return speedorders.SLOWEST_CLASS


def _place_in(
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    candidates: abc.Sequence[fleetworkers.Worker],
) -> list[str] | None:
    """Return a candidate for every task, or None if not all fit."""
    need = group.step.counted_need
    limit = group.step.max_per_worker
    if group.size == 1 and not limit:
        fitting_workers = [
            worker
            for worker in candidates
            if free_capacity.free_by_id[worker.id].can_fit(need)
        ]
        if not fitting_workers:
            return None
        return _take_best(free_capacity, group, fitting_workers, {})
    counts = count_tasks(group, candidates)
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
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    workers: abc.Sequence[fleetworkers.Worker],
    counts: dict[str, int],
) -> list[str]:
    """Reserve the best worker for each task in turn; all tasks fit.

    ``counts`` holds how many of the step's tasks each worker has.  A
    placement changes the keys only of the workers of its rack.
    """
    rating = _Rating(free_capacity, group)
    if group.size == 1:
        best = rating.find_best(workers)
        free_capacity.reserve(best.id, group.step.counted_need)
        return [best.id]
    need = group.step.counted_need
    limit = group.step.max_per_worker
    by_id = {worker.id: worker for worker in workers}
    keys_by_id = {worker.id: rating.key(worker) for worker in workers}
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
                keys_by_id[worker.id] = rating.key(worker)


class _Rating:
    """Rates workers for the tasks of a group; the lowest key is best.

    Workers where the group was stuck, and those that refused their last
    start, come last; before them those with work of another job that may
    crash them.  Single tasks go into the fullest rack, so that other
    racks stay free for rack-local gangs.
    """

    def __init__(
        self, free_capacity: freecapacity.FreeCapacity, group: livejobs.Group
    ) -> None:
        self._free_capacity = free_capacity
        self._group = group
        self._need = group.step.counted_need
        self._data_rack = group.step.data_rack
        self._speed_class = free_capacity.speed_classes(group)

    def find_best(
        self, workers: abc.Iterable[fleetworkers.Worker]
    ) -> fleetworkers.Worker:
        """Return the best worker; of equal ones the first.

        How well the task fills a worker is only determined where all else is
        equal: most of many workers are out of the question before.
        """
        best_coarse: tuple[float, ...] | None = None
        best: list[fleetworkers.Worker] = []
        for worker in workers:
            coarse = self._coarse_key(worker)
            if best_coarse is None or coarse < best_coarse:
                best_coarse, best = coarse, [worker]
            elif coarse == best_coarse:
                best.append(worker)
        return min(best, key=self._score)

    def key(self, worker: fleetworkers.Worker) -> tuple[float, ...]:
        """Return the sort key of a worker."""
        return (*self._coarse_key(worker), *self._score(worker))

    def _coarse_key(self, worker: fleetworkers.Worker) -> tuple[float, ...]:
        rack = worker.entry.rack
        free_capacity = self._free_capacity
        return (
            worker.id in self._group.avoided_worker_ids,
            free_capacity.runs_possible_cause(worker.id, self._group),
            worker.refusals_in_row > 0,
            bool(self._data_rack) and rack != self._data_rack,
            self._speed_class(worker.id),
            free_capacity.free_accelerators_by_rack[rack],
        )

    def _score(self, worker: fleetworkers.Worker) -> tuple[float, ...]:
        left = self._free_capacity.free_by_id[worker.id].plus(self._need, -1)
        return self._free_capacity.score_worker(worker, left)


def count_tasks(
    group: livejobs.Group, workers: abc.Iterable[fleetworkers.Worker]
) -> dict[str, int]:
    """Return by id how many of the step's tasks each worker may run.

    Empty for a step without a bound on them.
    """
    if not group.step.max_per_worker:
        return {}
    return {
        worker.id: worker.count_tasks(group.step_name) for worker in workers
    }


def must_span_racks(
    workers: abc.Iterable[fleetworkers.Worker], step: jobgraph.Step
) -> bool:
    """Return whether no single rack could hold the gang even when empty."""
    if not step.gang or not step.rack_local:
        return False
    racks = group_by_rack(
        worker
        for worker in workers
        if freecapacity.fits_when_empty(worker, step)
    )
    for members in racks.values():
        fit_total = sum(_max_tasks_on(worker, step) for worker in members)
        if fit_total >= step.tasks:
            return False
    return True


def could_hold(
    workers: abc.Iterable[fleetworkers.Worker], group: livejobs.Group
) -> bool:
    """Return whether these workers could hold the group when empty."""
    fit_total = 0
    for worker in workers:
        if freecapacity.fits_when_empty(worker, group.step):
            # An empty need fits any number of times.
            fit_total += _max_tasks_on(worker, group.step) or group.size
    return fit_total >= group.size


def _max_tasks_on(worker: fleetworkers.Worker, step: jobgraph.Step) -> int:
    most = worker.entry.capacity.fit_count(step.counted_need)
    return min(most, step.max_per_worker) if step.max_per_worker else most
