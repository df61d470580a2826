"""Workers of different speeds, and bursts of urgent gangs, for the soak.

Both follow from the seed of a plan; its other jobs and its faults stay.
"""

import asyncio
import random
import typing

from primroselock.test import fleetbuilders

_FACTORS: typing.Final = (0.7, 0.7, 1.7)
"""Run times on workers of each kind, relative to the usual ones."""

_BURSTS: typing.Final = 3
_JOBS_PER_BURST: typing.Final = 8


def set_speeds(world: fleetbuilders.World, seed: int) -> None:
    """Draw for each worker how much longer its runs take, for good."""
    source = random.Random(f'{seed} speeds')
    for worker in world.fleet.workers_by_id.values():
        worker.usual_factor = source.choice(_FACTORS)
        worker.slowdown_factor = worker.usual_factor


async def submit_bursts(
    world: fleetbuilders.World, arrival_s: float, seed: int
) -> None:
    """Submit urgent gangs, many at once, within ``arrival_s`` seconds."""
    source = random.Random(f'{seed} bursts')
    for burst in range(_BURSTS):
        await asyncio.sleep(source.uniform(0.1, 1.0) * arrival_s / _BURSTS)
        for number in range(_JOBS_PER_BURST):
            step = fleetbuilders.build_step(
                source.randint(2, 8),
                source.choice((1, 2, 4, 8)),
                source.randint(500, 4000),
                gang=True,
                rack_local=source.random() < 0.5,
            )
            name = f'burst-{burst}-{number}'
            account = source.choice(('signs', 'merch'))
            world.submit(
                fleetbuilders.build_graph(
                    name, step, queue='urgent', account=account
                )
            )
