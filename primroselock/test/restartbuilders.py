"""Builders of single-task jobs, and what tests of restarts wait for."""

import asyncio
import typing

from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker


def submit(
    world: fleetbuilders.World, job_id: str, run_ms: int, **changes: typing.Any
) -> None:
    """Submit a job of one task that runs for ``run_ms``."""
    step = fleetbuilders.build_step(1, 1, run_ms, **changes)
    world.submit(fleetbuilders.build_graph(job_id, step))


async def submit_unanswered(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    run_ms: int,
    for_s: float = 0.2,
) -> None:
    """Submit a job whose starts are late; orders are answered ``for_s`` later.

    The worker carries out late what it is told meanwhile.
    """
    worker.delayed_order_share = 1.0
    submit(world, 'j', run_ms)
    await asyncio.sleep(for_s)
    worker.delayed_order_share = 0.0


def count_runs(world: fleetbuilders.World, job_id: str) -> int:
    """Return how many runs of a job are in progress."""
    return sum(
        run.task.job_id == job_id
        for worker in world.fleet.workers_by_id.values()
        for run in worker.runs
    )


async def wait_for_end(worker: simulatedworker.FakeWorker) -> None:
    """Wait until a run has ended; its report is about to be received."""
    while not worker.ended:
        await asyncio.sleep(0.0005)
