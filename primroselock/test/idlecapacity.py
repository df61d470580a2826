"""Checks that no work waits beside free capacity.

The check looks at the fake workers and the stored jobs, not at what the
holder of the shard believes.  A job waits beside free capacity if no run of
it exists, a step of it is due, twice the tasks that must start together
would fit on sound workers, and under half of the service is in use.

A step may wait while its last attempt may still run on a worker that is
lost, up to the longest lease.  The first new holder after the loss does not
know the lease and may wait for another; a later one may not begin again.
"""

import asyncio
from collections import abc
import dataclasses
import math
import typing

import msgspec

from primroselock import clock
from primroselock import jobgraph
from primroselock.store import keys
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker

_CHECK_INTERVAL_S: typing.Final = 0.1
_MAX_WAIT_S: typing.Final = 3.0
_CALM_BEFORE_S: typing.Final = 4.0
"""Time without a fault before the wait begins to count."""

_LEASE_S: typing.Final = 11.4
"""Time after which a run on a lost worker cannot go on: the longest lease
with the drift of clocks and the margins."""

_MIN_FIT_FACTOR: typing.Final = 2
_MAX_USE: typing.Final = 0.5
"""A job may wait if this share of the accelerators or cores is in use."""


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A step that waits since ``since`` beside free capacity at ``at``.

    ``fit_count`` is the number of its tasks that would fit; the free shares
    are those of the accelerators and cores of all listed workers.
    """

    at: float
    since: float
    job_id: str
    occurrence: int
    step: int
    tasks: int
    need: jobgraph.Resources
    fit_count: int
    free_accelerators: float
    free_cores: float

    def __str__(self) -> str:
        return (
            f'{self.at:.1f}: {self.job_id} occurrence {self.occurrence} '
            f'step {self.step} waits since {self.since:.1f}: '
            f'{self.tasks} x {self.need} must start together, '
            f'{self.fit_count} fit; free are '
            f'{self.free_accelerators:.0%} of the accelerators, '
            f'{self.free_cores:.0%} of the cores'
        )


MayWait = abc.Callable[[jobgraph.JobGraph, jobgraph.Step], bool]
"""Tells whether a group of a step may wait beside free capacity."""


class IdleCapacityCheck:
    """Records in ``violations`` the jobs that wait beside free capacity.

    Each wait is recorded once; ``on_violation`` is called with it.
    ``may_wait`` tells of a job and a step whether it may wait all the same.
    ``faults`` tells since when no fault is active.
    """

    def __init__(
        self, world: fleetbuilders.World, faults: faultbuilders.FaultLog
    ) -> None:
        self.violations: list[Violation] = []
        self.on_violation: abc.Callable[[Violation], None] = lambda found: None
        self.may_wait: MayWait = lambda graph, step: False
        self._world = world
        self._faults = faults
        self._ended_ids: set[str] = set()
        self._progress_by_job: dict[str, tuple[int, typing.Any]] = {}
        self._since_by_step: dict[tuple[str, int, int], float] = {}
        self._reported: set[tuple[str, int, int]] = set()
        self._leased_until_by_worker: dict[str, float] = {}
        self._is_inherited: set[str] = set()
        self._epoch_version = 0

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self.check(clock.monotonic())

    def check(self, now: float, at_end: bool = False) -> None:
        """Check once; ``at_end`` is set when a short wait is too long."""
        self._record_lost(now)
        waiting = {
            (found.job_id, found.occurrence, found.step): found
            for found in self._list_waiting(now)
        }
        for name in list(self._since_by_step):
            if name not in waiting:
                del self._since_by_step[name]
                self._reported.discard(name)
        is_calm = self._faults.calm_s(now) >= _CALM_BEFORE_S + _MAX_WAIT_S
        for name, found in waiting.items():
            since = self._since_by_step.setdefault(name, now)
            is_long = is_calm and now - since >= _MAX_WAIT_S
            if (is_long or at_end) and name not in self._reported:
                self._reported.add(name)
                violation = dataclasses.replace(found, since=since)
                self.violations.append(violation)
                self.on_violation(violation)

    def _record_lost(self, now: float) -> None:
        """Record until when runs on lost workers may count as leased."""
        row = self._world.store.inner.rows.get(keys.shard_epoch('fleet'))
        version = row.version if row is not None else 0
        is_taken_over = version != self._epoch_version
        self._epoch_version = version
        for worker in self._world.fleet.workers_by_id.values():
            worker_id = worker.entry.id
            if worker.is_reachable:
                self._leased_until_by_worker.pop(worker_id, None)
                self._is_inherited.discard(worker_id)
                continue
            known = self._leased_until_by_worker.setdefault(
                worker_id, now + _LEASE_S
            )
            may_extend = now < known and worker_id not in self._is_inherited
            if is_taken_over and may_extend:
                self._is_inherited.add(worker_id)
                self._leased_until_by_worker[worker_id] = now + _LEASE_S

    def _may_still_run(
        self,
        progress: jobgraph.JobProgress | None,
        name: tuple[int, int],
        now: float,
    ) -> bool:
        """Return whether the last attempt of a step may run where lost."""
        records = progress.groups if progress is not None else ()
        return any(
            now < self._leased_until_by_worker.get(place.worker_id, now)
            for record in records
            if (record.key.occurrence, record.key.step) == name
            for place in record.places
        )

    def list_open_jobs(self) -> list[str]:
        """Return the ids of the jobs that have not ended."""
        return [graph.id for graph, _ in self._list_open()]

    def _list_open(
        self,
    ) -> list[tuple[jobgraph.JobGraph, jobgraph.JobProgress | None]]:
        found = []
        for graph in self._world.fleet.graphs_by_id.values():
            if graph.id in self._ended_ids:
                continue
            progress = self._read_progress(graph.id)
            if progress is not None and progress.state.is_final:
                self._ended_ids.add(graph.id)
            else:
                found.append((graph, progress))
        return found

    def _read_progress(self, job_id: str) -> jobgraph.JobProgress | None:
        row = self._world.store.inner.rows.get(keys.progress('fleet', job_id))
        if row is None:
            return None
        known = self._progress_by_job.get(job_id)
        if known is None or known[0] != row.version:
            decoded = msgspec.json.decode(row.value, type=jobgraph.JobProgress)
            known = self._progress_by_job[job_id] = (row.version, decoded)
        progress: jobgraph.JobProgress = known[1]
        return progress

    def _list_waiting(self, now: float) -> list[Violation]:
        """Return the steps that are due and wait beside free capacity now."""
        world = self._world
        free_accelerators, free_cores = measure_free(world)
        if min(free_accelerators, free_cores) <= 1 - _MAX_USE:
            return []
        running_ids = {
            run.task.job_id
            for worker in world.fleet.workers_by_id.values()
            if not worker.is_down
            for run in worker.runs
        }
        sound = list_sound(world)
        found = []
        for graph, progress in self._list_open():
            if graph.id in running_ids or graph.id in world.cancelled_ids:
                continue
            for occurrence, number in list_due(graph, progress, clock.wall()):
                if self._may_still_run(progress, (occurrence, number), now):
                    continue
                step = graph.steps[number]
                fit_count = count_fitting(sound, step)
                if fit_count < _MIN_FIT_FACTOR * step.group_size:
                    continue
                if self.may_wait(graph, step):
                    continue
                found.append(
                    Violation(
                        now,
                        now,
                        graph.id,
                        occurrence,
                        number,
                        step.group_size,
                        step.counted_need,
                        fit_count,
                        free_accelerators,
                        free_cores,
                    )
                )
        return found


def list_sound(world: fleetbuilders.World) -> list[simulatedworker.FakeWorker]:
    """Return the workers that are listed, healthy and may get starts."""
    closed = world.queue_configuration.zones_out_of_service
    workers = [
        (world.fleet.workers_by_id[entry.id], entry)
        for entry in world.entries_by_id.values()
    ]
    return [
        worker
        for worker, entry in workers
        if worker.is_sound
        and not entry.is_draining
        and entry.zone not in closed
    ]


def free_on(worker: simulatedworker.FakeWorker) -> jobgraph.Resources:
    """Return the capacity that the runs on a worker leave free."""
    free = worker.entry.capacity
    for live in worker.runs.values():
        free = free.plus(live.step.counted_need, -1)
    return free


def count_fitting(
    workers: list[simulatedworker.FakeWorker], step: jobgraph.Step
) -> int:
    """Return how many tasks of a step, of which none runs, fit."""
    counts = [
        free_on(worker).fit_count(step.counted_need)
        for worker in workers
        if not step.label or step.label in worker.entry.labels
    ]
    if step.max_per_worker:
        counts = [min(count, step.max_per_worker) for count in counts]
    return sum(counts)


def measure_free(world: fleetbuilders.World) -> tuple[float, float]:
    """Return the free shares of the accelerators and cores that are listed."""
    total = free = jobgraph.Resources()
    for worker_id in world.entries_by_id:
        worker = world.fleet.workers_by_id[worker_id]
        total = total.plus(worker.entry.capacity)
        free = free.plus(free_on(worker))
    return (
        free.accelerators / max(total.accelerators, 1),
        free.cpu_millis / max(total.cpu_millis, 1),
    )


def list_due(
    graph: jobgraph.JobGraph,
    progress: jobgraph.JobProgress | None,
    wall_s: float,
) -> list[tuple[int, int]]:
    """Return (occurrence, step) of the steps that can run and are not done."""
    done_counts: dict[tuple[int, int], int] = {}
    for record in progress.groups if progress is not None else ():
        if record.phase is jobgraph.GroupPhase.DONE:
            name = (record.key.occurrence, record.key.step)
            done_counts[name] = done_counts.get(name, 0) + 1

    def is_done(occurrence: int, number: int) -> bool:
        done = done_counts.get((occurrence, number), 0)
        return done >= graph.steps[number].group_count

    return [
        (occurrence, number)
        for occurrence in range(graph.occurrences)
        if graph.due_ms(occurrence) <= math.floor(wall_s * 1000)
        for number, step in enumerate(graph.steps)
        if not is_done(occurrence, number)
        and all(is_done(occurrence, earlier) for earlier in step.after)
    ]
