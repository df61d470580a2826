"""The free capacity of workers as seen by one round of placements.

Each placement is subtracted from ``FreeCapacity``, so that no two groups
of a round get the same capacity.  What did not fit once, told by the shape
of the group, does not fit for the rest of the round and is not tried again.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import crashpolicy
from primroselock.decisions.endtimes import needs
from primroselock.decisions.endtimes import speedorders
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph

_USUAL_SPEED: typing.Final = 1.0
_SPARE_RUNS: typing.Final = 1.0
"""Work that may be slow keeps the time for one more run."""

_SPEED_STEP: typing.Final = 0.05
"""Limits of speed that differ by less share the outcome of an attempt."""

Score = abc.Callable[
    [fleetworkers.Worker, jobgraph.Resources], tuple[float, ...]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """The properties that decide whether a group fits in a round.

    ``size`` is the number of its tasks, which run in one rack if
    ``in_one_rack`` is set.  ``is_relaxed`` is set for an attempt without
    the group's preferences, ``ignores_claims`` if the claims of others do
    not count either.  Only workers of at least ``lowest_speed`` count.
    """

    service: str
    need: jobgraph.Resources
    label: str
    fills: bool
    has_latency_target: bool
    size: int
    in_one_rack: bool
    rank: livejobs.Rank
    is_relaxed: bool = False
    ignores_claims: bool = False
    lowest_speed: float = 0.0

    def in_time(self, lowest_speed: float) -> 'Shape':
        """Return the shape of an attempt on workers that are fast enough."""
        rounded = round(lowest_speed / _SPEED_STEP) * _SPEED_STEP
        return dataclasses.replace(self, lowest_speed=rounded)

    def relaxed(self, ignores_claims: bool) -> 'Shape':
        """Return the shape of an attempt without preferences."""
        return dataclasses.replace(
            self,
            in_one_rack=False,
            is_relaxed=True,
            ignores_claims=ignores_claims,
        )


def shape_of(group: livejobs.Group, rank: livejobs.Rank) -> Shape:
    """Return the shape of a group of urgency ``rank``."""
    step = group.step
    return Shape(
        group.job.service or '',
        step.counted_need,
        step.label,
        step.fills,
        bool(step.tail_latency_target_ms),
        group.size,
        group.size > 1 and step.rack_local and not group.may_span_racks,
        rank,
    )


class _StepKind(typing.NamedTuple):
    """The properties of a step that decide which workers it can use."""

    service: str
    label: str
    need: jobgraph.Resources


def _step_kind(group: livejobs.Group) -> _StepKind:
    step = group.step
    return _StepKind(group.job.service or '', step.label, step.counted_need)


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
        workers: abc.Iterable[fleetworkers.Worker],
        score_worker: Score,
        speed_order: speedorders.SpeedOrder,
        wall_s: float,
    ) -> None:
        self.score_worker = score_worker
        self._speed_order = speed_order
        self._wall_s = wall_s
        self._possible_causes_by_worker_id = crashpolicy.find_possible_causes(
            board
        )
        self.free_by_id: dict[str, jobgraph.Resources] = {}
        self.free_accelerators_by_rack: dict[str, int] = {}
        self.unplaceable_shapes: set[Shape] = set()
        self.last_by_step: dict[livejobs.StepName, str] = {}
        self._workers_by_id: dict[str, fleetworkers.Worker] = {}
        self._entries_by_id: dict[str, fleetworkers.WorkerEntry] = {}
        self._boots_by_id: dict[str, int] = {}
        self._speeds_by_id: dict[str, float] = {}
        self._slowest_speed: float | None = None
        self._needed_by_step: dict[livejobs.StepName, float] = {}
        self._board = board
        self._with_capacity_by_kind: dict[
            _StepKind, list[fleetworkers.Worker]
        ] = {}
        self._too_large: set[tuple[_StepKind, int]] = set()
        for worker in workers:
            free = worker.free
            self.free_by_id[worker.id] = free
            self._workers_by_id[worker.id] = worker
            self._entries_by_id[worker.id] = worker.entry
            self._boots_by_id[worker.id] = worker.boot
            self._add_to_rack(worker.entry.rack, free.accelerators)

    def _add_to_rack(self, rack: str, accelerators: int) -> None:
        known = self.free_accelerators_by_rack.get(rack, 0)
        self.free_accelerators_by_rack[rack] = known + accelerators

    def _rack_of(self, worker_id: str) -> str:
        return self._entries_by_id[worker_id].rack

    def resume(self, usable: abc.Iterable[fleetworkers.Worker]) -> None:
        """Go on after a pause in which the workers may have changed.

        Only those of ``usable`` may be used that are what they were before,
        and no more of them than is free now.  What has become free meanwhile
        is left to the next round: the most urgent group gets it.
        """
        usable_by_id = {worker.id: worker for worker in usable}
        for worker_id, free in list(self.free_by_id.items()):
            worker = usable_by_id.get(worker_id)
            if worker is None or self._has_changed(worker):
                self.exclude(worker_id)
                continue
            least = free.limited_to(worker.free)
            self.free_by_id[worker_id] = least
            self._add_to_rack(
                self._rack_of(worker_id),
                least.accelerators - free.accelerators,
            )

    def _has_changed(self, worker: fleetworkers.Worker) -> bool:
        """Return whether a worker is another one than before the pause."""
        return (
            worker is not self._workers_by_id[worker.id]
            or worker.boot != self._boots_by_id[worker.id]
            or worker.entry != self._entries_by_id[worker.id]
        )

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

    def list_usable(self, group: livejobs.Group) -> list[fleetworkers.Worker]:
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

    def list_with_capacity(
        self, group: livejobs.Group
    ) -> list[fleetworkers.Worker]:
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

    def fits(self, group: livejobs.Group) -> bool:
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

    def runs_possible_cause(
        self, worker_id: str, group: livejobs.Group
    ) -> bool:
        """Return whether another job's work may crash the worker."""
        job_ids = self._possible_causes_by_worker_id.get(worker_id)
        return bool(job_ids and job_ids != {group.job.graph.id})

    @property
    def slowest_speed(self) -> float:
        """The lowest speed of a worker that may be used; at most usual."""
        if self._slowest_speed is None:
            speeds = (self.speed(worker_id) for worker_id in self.free_by_id)
            self._slowest_speed = min(speeds, default=_USUAL_SPEED)
        return min(self._slowest_speed, _USUAL_SPEED)

    def speed(self, worker_id: str) -> float:
        """Return the speed of a worker, relative to the usual speed of 1."""
        known = self._speeds_by_id.get(worker_id)
        if known is None:
            known = self._board.worker_speeds.speed(worker_id)
            self._speeds_by_id[worker_id] = known
        return known

    def speed_classes(
        self, group: livejobs.Group
    ) -> abc.Callable[[str], float]:
        """Return the function from a worker's id to its speed class.

        Workers of a lower class go first for the group.  Many workers are
        equally fast, and are rated once.
        """
        needed = self._needed_speed(group)
        class_by_speed: dict[float, float] = {}

        def find(worker_id: str) -> float:
            speed = self.speed(worker_id)
            known = class_by_speed.get(speed)
            if known is None:
                known = self._speed_order(group, speed, needed)
                class_by_speed[speed] = known
            return known

        return find

    def _needed_speed(self, group: livejobs.Group) -> float:
        """Return the speed that a job needs, determined once a round."""
        needed = self._needed_by_step.get(group.step_name)
        if needed is None:
            needed = needs.needed_speed(
                self._board, group, self._wall_s, _SPARE_RUNS
            )
            self._needed_by_step[group.step_name] = needed
        return needed


def fits_when_empty(worker: fleetworkers.Worker, step: jobgraph.Step) -> bool:
    """Return whether the worker could hold a task of the step when empty."""
    if not has_label(worker, step):
        return False
    return worker.entry.capacity.can_fit(step.counted_need)


def has_label(worker: fleetworkers.Worker, step: jobgraph.Step) -> bool:
    """Return whether the worker has the label that the step asks for."""
    return not step.label or step.label in worker.entry.labels
