"""Builders of the load of a large shard: many workers, jobs and faults.

The load follows a seed: jobs of three queues arrive at random times, and
their demand, relative to the workers' accelerators, is a parameter.
"""

import asyncio
import dataclasses
import random
import typing

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import fleetbuilders

_RACK_SIZE: typing.Final = 20
_ZONES: typing.Final = ('a', 'b', 'c', 'd', 'e')


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one queue: ``share`` of the demand in accelerator-seconds."""

    queue: str
    share: float
    tasks: int
    accelerators: tuple[int, ...]
    cpu_millis: int
    run_ms: int
    gang_share: float

    @property
    def mean_work_s(self) -> float:
        """Return the mean accelerator-seconds of a job."""
        mean = sum(self.accelerators) / len(self.accelerators)
        return self.tasks * mean * self.run_ms / 1000


KINDS: typing.Final = (
    JobKind('batch', 0.45, 13, (1, 1, 2, 4, 8), 26_000, 6_800, 0.4),
    JobKind('urgent', 0.25, 5, (1, 1, 2, 4, 8), 7_500, 2_500, 0.4),
    JobKind('bulk', 0.30, 38, (1,), 5_600, 6_100, 0.0),
)


def add_workers(world: fleetbuilders.World, count: int) -> None:
    """Add workers in racks of 20, spread evenly over five zones."""
    for number in range(count):
        rack = number // _RACK_SIZE
        world.add_worker(
            fleetbuilders.build_entry(
                f'n{number:03}', f'r{rack}', _ZONES[rack % len(_ZONES)]
            )
        )


def build_job(
    kind: JobKind, name: str, source: random.Random
) -> jobgraph.JobGraph:
    """Return a job of a kind, its size drawn from ``source``."""
    accelerators = source.choice(kind.accelerators)
    is_gang = source.random() < kind.gang_share
    tasks = max(1, round(kind.tasks * source.uniform(0.5, 1.5)))
    step = fleetbuilders.build_step(
        tasks=tasks,
        accelerators=accelerators,
        expected_ms=max(100, int(kind.run_ms * source.uniform(0.5, 1.5))),
        cpu_millis=min(kind.cpu_millis, 8_000 * accelerators),
        gang=is_gang,
        rack_local=is_gang and source.random() < 0.5,
        checkpointing=source.random() < 0.5,
    )
    account = source.choice(('signs', 'merch'))
    return fleetbuilders.build_graph(
        name, step, queue=kind.queue, account=account
    )


async def submit_jobs(
    world: fleetbuilders.World,
    demand: float,
    duration_s: float,
    seed: int = 0,
) -> list[str]:
    """Submit jobs for ``duration_s`` seconds; return their ids.

    ``demand`` is the rate of accelerator-seconds that arrive, as a share
    of all accelerators of the workers.
    """
    source = random.Random(seed)
    accelerators = sum(
        worker.entry.capacity.accelerators
        for worker in world.fleet.workers_by_id.values()
    )
    rates = [
        demand * kind.share * accelerators / kind.mean_work_s for kind in KINDS
    ]
    until = clock.monotonic() + duration_s
    submitted: list[str] = []
    while True:
        await asyncio.sleep(source.expovariate(sum(rates)))
        if clock.monotonic() >= until:
            return submitted
        kind = source.choices(KINDS, rates)[0]
        name = f'{kind.queue}-{len(submitted):05}'
        world.submit(build_job(kind, name, source))
        submitted.append(name)
