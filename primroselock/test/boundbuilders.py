"""Builders for tests of a step's bounds: service, label, tasks a worker."""

import asyncio
from collections import abc
import typing

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.workers import orders

LONG_MS: typing.Final = 60_000
AT_ONCE_S: typing.Final = 0.6
OTHER_KIND: typing.Final = ('other kind', 'r0')
_WAIT_LIMIT_S: typing.Final = 20.0


def submit(
    world: fleetbuilders.World,
    job_id: str,
    tasks: int,
    run_ms: int = LONG_MS,
    queue: str = 'bulk',
    **changes: typing.Any,
) -> None:
    """Submit a job of one step whose tasks take an accelerator each.

    ``changes`` are fields of the step.
    """
    step = fleetbuilders.build_step(tasks, 1, run_ms, **changes)
    world.submit(fleetbuilders.build_graph(job_id, step, queue=queue))


def list_runs(
    worker: simulatedworker.FakeWorker, job_id: str
) -> list[orders.Run]:
    """Return the runs of a job on a worker."""
    return [run for run in worker.runs if run.task.job_id == job_id]


def add_stray(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    job_id: str,
    index: int,
) -> orders.Run:
    """Let a worker run the first attempt of a task that nobody asked for."""
    run = orders.Run(jobgraph.TaskName(job_id, 0, 0, index), 1)
    step = world.fleet.graphs_by_id[job_id].steps[0]
    now = clock.monotonic()
    ends_at = now + LONG_MS / 1000
    worker.runs[run] = simulatedworker.LiveRun(run, step, ends_at, now)
    # A poll that waits for the end of a run is answered.
    changed, worker.changed = worker.changed, asyncio.Event()
    changed.set()
    return run


async def wait_until(condition: abc.Callable[[], bool]) -> None:
    """Wait until a condition holds.

    Raises :class:`AssertionError` if it does not in time.
    """
    until = clock.monotonic() + _WAIT_LIMIT_S
    while not condition():
        if clock.monotonic() > until:
            raise AssertionError('the condition does not hold in time')
        await asyncio.sleep(0.005)
