"""Checks that tasks of long-running work come back, however full the site is.

A task, or a gang, may be away for 6 s after its last run.  From then on it may
not wait for 3 s while twice its need fits on sound workers.  As in
``idlecapacity``, the check looks at the fake workers and the stored jobs.
"""

import asyncio
import typing

import msgspec

from primroselock import clock
from primroselock import jobgraph
from primroselock.store import keys
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlecapacity
from primroselock.test import simulatedworker

_CHECK_INTERVAL_S: typing.Final = 0.2
_MAX_AWAY_S: typing.Final = 6.0
_MAX_WAIT_S: typing.Final = 3.0
_CALM_S: typing.Final = 7.0
"""Time without a fault that a wait must have."""

_LEASE_S: typing.Final = 12.0
"""Time after which a run on a lost worker cannot go on."""

_Name = tuple[str, int, int]
"""A job, a step and the first task of a group; there is one occurrence."""


class LastingWorkCheck:
    """Records in ``violations`` the long-running work that waits too long."""

    def __init__(
        self, world: fleetbuilders.World, faults: faultbuilders.FaultLog
    ) -> None:
        self.violations: list[str] = []
        self.may_wait: idlecapacity.MayWait = lambda graph, step: False
        self._world = world
        self._faults = faults
        self._away_since: dict[_Name, float] = {}
        self._waits_since: dict[_Name, float] = {}
        self._lost_at_by_worker: dict[str, float] = {}

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._check(clock.monotonic())

    def _check(self, now: float) -> None:
        self._record_lost(now)
        running = {
            (run.task.job_id, run.task.step, run.task.index)
            for worker in self._world.fleet.workers_by_id.values()
            if not worker.is_down
            for run in worker.runs
        }
        sound = idlecapacity.list_sound(self._world)
        is_calm = self._faults.calm_s(now) >= _CALM_S
        for name, step in self._list_groups():
            if name in running or self._may_still_run(name, now):
                self._away_since[name] = now
            since = self._away_since.setdefault(name, now)
            if (
                now - since < _MAX_AWAY_S
                or not _fits(sound, step, name[0])
                or self.may_wait(self._world.fleet.graphs_by_id[name[0]], step)
            ):
                self._waits_since.pop(name, None)
                continue
            waits_since = self._waits_since.setdefault(name, now)
            if is_calm and now - waits_since >= _MAX_WAIT_S:
                self._away_since[name] = now
                self.violations.append(
                    f'{now:.1f}: lasting {name} is away since {since:.1f}'
                )

    def _list_groups(self) -> list[tuple[_Name, jobgraph.Step]]:
        """Return the long-running groups that are to run."""
        return [
            ((graph.id, number, index), step)
            for graph in self._world.fleet.graphs_by_id.values()
            if graph.id not in self._world.cancelled_ids
            for number, step in enumerate(graph.steps)
            if step.long_running
            for index in range(step.group_count)
        ]

    def _record_lost(self, now: float) -> None:
        for worker in self._world.fleet.workers_by_id.values():
            if worker.is_reachable:
                self._lost_at_by_worker.pop(worker.entry.id, None)
            else:
                self._lost_at_by_worker.setdefault(worker.entry.id, now)

    def _may_still_run(self, name: _Name, now: float) -> bool:
        """Return whether the last attempt of a group may run where lost."""
        if not self._lost_at_by_worker:
            return False
        job_id, number, index = name
        row = self._world.store.inner.rows.get(keys.progress('fleet', job_id))
        if row is None:
            return False
        progress = msgspec.json.decode(row.value, type=jobgraph.JobProgress)
        key = jobgraph.GroupKey(0, number, index)
        return any(
            now - self._lost_at_by_worker.get(place.worker_id, now - _LEASE_S)
            < _LEASE_S
            for record in progress.groups
            if record.key == key
            for place in record.places
        )


def _fits(
    sound: list[simulatedworker.FakeWorker], step: jobgraph.Step, job_id: str
) -> bool:
    """Return whether two groups of a step fit on workers.

    Workers that have a task of the job count only if they may have more.
    """
    free = [
        worker
        for worker in sound
        if not step.max_per_worker
        or all(run.task.job_id != job_id for run in worker.runs)
    ]
    return idlecapacity.count_fitting(free, step) >= 2 * step.group_size
