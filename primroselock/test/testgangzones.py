"""Gangs in one zone: a zone that is cut off takes few gangs with it."""

import asyncio
import typing
import unittest

from primroselock.test import fleetbuilders

_WORKERS: typing.Final = 6


async def _place_gang(
    world: fleetbuilders.World, tasks: int, busy: int, slow: int = 0
) -> set[str]:
    """Return the zones in which a gang of whole workers runs.

    The workers are in two zones by turns.  Of zone ``a`` as many workers as
    ``busy`` are full, and ``slow`` are slow.
    """
    for number in range(_WORKERS):
        zone = 'ab'[number % 2]
        entry = fleetbuilders.build_entry(f'n{number}', f'r{number}', zone)
        worker = world.add_worker(entry)
        if zone == 'a' and number < 2 * slow:
            worker.slowdown_factor = 1.8
    if slow:
        step = fleetbuilders.build_step(8 * _WORKERS, 1, 1500)
        world.submit(fleetbuilders.build_graph('first', step))
        await world.wait_for('first', 'done', 30.0)
    for number in range(busy):
        step = fleetbuilders.build_step(1, 8, 60_000, label=f'r{2 * number}')
        world.submit(
            fleetbuilders.build_graph(f'b{number}', step, queue='urgent')
        )
    await asyncio.sleep(1.0)
    gang = fleetbuilders.build_step(tasks, 8, 8000, gang=True)
    world.submit(fleetbuilders.build_graph('g', gang, queue='urgent'))
    await asyncio.sleep(1.0)
    return {
        worker.entry.zone
        for worker in world.fleet.workers_by_id.values()
        if any(run.task.job_id == 'g' for run in worker.runs)
    }


class ZoneTest(unittest.TestCase):
    """Where the members of a gang are placed."""

    def check(self, expected: set[str], *load: int) -> None:
        """Place a gang beside a load, as ``_place_gang`` describes it."""

        async def scenario(world: fleetbuilders.World) -> float:
            self.assertEqual(expected, await _place_gang(world, *load))
            return 0.0

        fleetbuilders.run_scenario(scenario, 0)

    def test_a_gang_that_one_zone_holds(self) -> None:
        """A zone is cut off: gangs that lie elsewhere go on."""
        self.check({'b'}, 3, 1)

    def test_a_gang_that_no_zone_holds(self) -> None:
        """It does not wait for a zone."""
        self.check({'a', 'b'}, 4, 1)

    def test_a_zone_whose_workers_are_too_slow(self) -> None:
        """A gang is as slow as its slowest member."""
        self.check({'b'}, 3, 0, 1)


if __name__ == '__main__':
    unittest.main()
