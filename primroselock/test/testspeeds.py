"""Estimated speeds of workers, and placements that depend on them."""

import asyncio
import math
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock.decisions import speeds
from primroselock.test import fleetbuilders

_STEPS: typing.Final = 40
_TASKS: typing.Final = 6


class SpeedsTest(unittest.TestCase):
    """Speeds are separated from the run times of the steps themselves."""

    @hypothesis.given(
        strategies.lists(strategies.floats(0.5, 2.0), min_size=4, max_size=8),
        strategies.integers(0, 1000),
    )
    def test_speeds_are_found_from_runs_of_mixed_steps(
        self, true_speeds: list[float], seed: int
    ) -> None:
        estimated = speeds.Speeds()
        generator = random.Random(seed)
        for step in range(_STEPS):
            usual_rate = generator.uniform(0.01, 1.0)
            for _ in range(_TASKS):
                number = generator.randrange(len(true_speeds))
                estimated.record(
                    (f'j{step}', 0),
                    f'w{number}',
                    usual_rate * true_speeds[number],
                )
        usual = sum(math.log(s) for s in true_speeds) / len(true_speeds)
        for number, true_speed in enumerate(true_speeds):
            estimate = math.log(estimated.speed(f'w{number}'))
            self.assertLess(
                abs(estimate - (math.log(true_speed) - usual)), 0.4
            )

    def test_little_is_concluded_from_one_run(self) -> None:
        """One run moves the estimate only in part.

        The worker ran at a quarter of the usual rate.
        """
        estimated = speeds.Speeds()
        for worker_id in ('w1', 'w2', 'w3'):
            estimated.record(('j', 0), worker_id, 0.1)
        estimated.record(('j', 0), 'w0', 0.025)
        self.assertLess(estimated.speed('w0'), 0.6)
        self.assertGreater(estimated.speed('w0'), 0.3)

    def test_another_worker_under_the_id_starts_at_the_usual_speed(
        self,
    ) -> None:
        """Guards against a new worker that inherits an estimate."""
        estimated = speeds.Speeds()
        for worker_id in ('w1', 'w2', 'w0'):
            rate_per_s = 0.01 if worker_id == 'w0' else 0.1
            estimated.record(('j', 0), worker_id, rate_per_s)
        estimated.drop_worker('w0')
        self.assertEqual(1.0, estimated.speed('w0'))


class LoadTest(unittest.TestCase):
    """Placement on workers that differ in speed."""

    def test_urgent_gangs_go_to_fast_workers(self) -> None:
        """A gang takes as long as its slowest member."""

        async def scenario(world: fleetbuilders.World) -> float:
            for number in (0, 3, 5):
                worker = world.fleet.workers_by_id[f'w{number}']
                worker.slowdown_factor = 1.6
            await _run_bulk(world, 24)
            gang = fleetbuilders.build_step(3, 4, 1000, gang=True)
            longest_s = 0.0
            for number in range(4):
                job_id = f'u{number}'
                world.submit(
                    fleetbuilders.build_graph(job_id, gang, queue='urgent')
                )
                took_s = await world.wait_for(job_id, 'done', 30.0)
                longest_s = max(longest_s, took_s)
            return longest_s

        self.assertLess(fleetbuilders.run_scenario(scenario, 8), 1.2)

    def test_a_much_slower_worker_gets_work_last(self) -> None:
        """A worker that became slow delays each task placed on it."""

        async def scenario(world: fleetbuilders.World) -> float:
            slow = world.fleet.workers_by_id['w1']
            slow.slowdown_factor = 6.0
            await _run_bulk(world, 24)
            step = fleetbuilders.build_step(1, 8, 1000)
            for number in range(3):
                world.submit(fleetbuilders.build_graph(f'b{number}', step))
            await asyncio.sleep(0.5)
            return float(len(slow.runs))

        self.assertEqual(0.0, fleetbuilders.run_scenario(scenario, 4))


async def _run_bulk(world: fleetbuilders.World, tasks: int) -> None:
    """Run ``tasks`` tasks of one step and wait until all are done."""
    step = fleetbuilders.build_step(tasks, 2, 2000)
    world.submit(fleetbuilders.build_graph('first', step))
    await world.wait_for('first', 'done', 60.0)


if __name__ == '__main__':
    unittest.main()
