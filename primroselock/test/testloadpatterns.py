"""Loads of heavy days, without a network, against the plain baseline.

Each test names the pattern of load that it answers and compares what is
chosen with the registered baseline (first come, first fit) in one run.
"""

import asyncio
import typing
import unittest

from primroselock.test import fleetbuilders

_BASELINE: typing.Final = """
[fleet]
waiting_order = fifo
placement = first_fit
reclaim = none
"""

_NO_CLAIMS: typing.Final = """
[fleet]
claim_share = 0
"""


class LoadTest(unittest.TestCase):
    """One pattern of load a test."""

    def test_urgent_gang_among_single_tasks_that_refill_each_gap(
        self,
    ) -> None:
        """A gang beyond its guarantee does not starve.

        Single tasks of a less urgent queue keep every worker broken, so
        that no rack ever has whole workers for the gang.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(30):
                step = fleetbuilders.build_step(8, 1, 5000)
                world.submit(fleetbuilders.build_graph(f'b{number}', step))
            await asyncio.sleep(2.0)
            gang = fleetbuilders.build_step(
                4, 8, 1000, gang=True, rack_local=True
            )
            graph = fleetbuilders.build_graph('gang', gang, queue='urgent')
            world.submit(graph)
            return await world.wait_for('gang', 'done', 200.0)

        chosen_s = fleetbuilders.run_scenario(scenario, 4)
        self.assertLess(chosen_s, 2.0)

    def test_batch_gang_of_whole_workers_among_single_tasks(self) -> None:
        """A gang that may stop nothing yet claims what becomes free.

        Single tasks of a less urgent queue come all the time and would
        take up each accelerator as soon as it is free.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(60):
                step = fleetbuilders.build_step(8, 1, 3000 + number * 10)
                world.submit(fleetbuilders.build_graph(f'b{number}', step))
            await asyncio.sleep(1.0)
            gang = fleetbuilders.build_step(3, 8, 8000, gang=True)
            graph = fleetbuilders.build_graph('gang', gang, queue='batch')
            world.submit(graph)
            took_s = await world.wait_for('gang', 'done', 200.0)
            # Its objective is three times its run time and a second.
            self.assertLess(took_s, 3 * 8.0 + 1.0)
            return world.fleet.lost_work_s

        lost_work_s = fleetbuilders.run_scenario(scenario, 8)
        unclaimed_s = fleetbuilders.run_scenario(scenario, 8, _NO_CLAIMS)
        self.assertLess(lost_work_s, unclaimed_s)

    def test_small_urgent_work_beside_a_gang_that_has_done_much(self) -> None:
        """Much work is not thrown away for little, unless guaranteed."""

        async def scenario(world: fleetbuilders.World) -> float:
            gang = fleetbuilders.build_step(4, 8, 40_000, gang=True)
            world.submit(
                fleetbuilders.build_graph(
                    'gang', gang, queue='batch', account='merch'
                )
            )
            await asyncio.sleep(20.0)
            step = fleetbuilders.build_step(3, 8, 1000, gang=True)
            graph = fleetbuilders.build_graph('u', step, queue='urgent')
            world.submit(graph)
            await asyncio.sleep(10.0)
            self.assertEqual('waiting', world.state('u'))
            small = fleetbuilders.build_step(2, 8, 1000, gang=True)
            graph = fleetbuilders.build_graph('g', small, queue='urgent')
            world.submit(graph)
            return await world.wait_for('g', 'done', 60.0)

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 2.0)

    def test_guaranteed_work_while_everything_is_borrowed(self) -> None:
        """Work within its guarantee begins within the reclaim bound."""

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(4):
                step = fleetbuilders.build_step(8, 1, 20_000)
                graph = fleetbuilders.build_graph(
                    f'b{number}', step, queue='urgent', account='merch'
                )
                world.submit(graph)
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(2, 8, 500)
            graph = fleetbuilders.build_graph('g', step, queue='urgent')
            world.submit(graph)
            return await world.wait_for('g', 'done', 90.0)

        chosen_s = fleetbuilders.run_scenario(scenario, 4)
        self.assertLess(chosen_s, 2.7 + 0.5)

    def test_whole_racks_are_kept_for_gangs(self) -> None:
        """Single tasks gather in one rack; first fit by list spreads."""

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(6):
                step = fleetbuilders.build_step(1, 1, 20_000)
                world.submit(fleetbuilders.build_graph(f'b{number}', step))
                await asyncio.sleep(0.1)
            racks = {
                worker.entry.rack
                for worker in world.fleet.workers_by_id.values()
                if worker.runs
            }
            return float(len(racks))

        self.assertEqual(1.0, fleetbuilders.run_scenario(scenario, 8))

    def test_mean_completion_beats_the_baseline(self) -> None:
        """A burst of small urgent jobs behind wide bulk work."""

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(6):
                step = fleetbuilders.build_step(16, 1, 6000, 7000)
                world.submit(fleetbuilders.build_graph(f'b{number}', step))
            await asyncio.sleep(0.5)
            for number in range(10):
                step = fleetbuilders.build_step(2, 4, 1000)
                graph = fleetbuilders.build_graph(
                    f'u{number}', step, queue='urgent'
                )
                world.submit(graph)
            waits = await asyncio.gather(
                *(
                    world.wait_for(f'u{number}', 'done', 200.0)
                    for number in range(10)
                )
            )
            return sum(waits) / len(waits)

        chosen_s = fleetbuilders.run_scenario(scenario, 4)
        baseline_s = fleetbuilders.run_scenario(scenario, 4, _BASELINE)
        self.assertLess(chosen_s, baseline_s * 0.7)

    def test_work_that_comes_while_a_zone_is_cut_off(self) -> None:
        """Idle workers of the zone draw no work once one fell silent."""

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(4):
                entry = fleetbuilders.build_entry(f'z{number}', 'rz', 'z')
                world.add_worker(entry)
            await asyncio.sleep(0.5)
            long_step = fleetbuilders.build_step(1, 8, 60_000)
            for number in range(6):
                world.submit(
                    fleetbuilders.build_graph(f'long{number}', long_step)
                )
            await asyncio.sleep(2.0)
            for name in ('z0', 'z1', 'z2', 'z3'):
                world.fleet.workers_by_id[name].is_partitioned = True
            await asyncio.sleep(3.5)
            step = fleetbuilders.build_step(1, 8, 500)
            for number in range(2):
                world.submit(
                    fleetbuilders.build_graph(
                        f'u{number}', step, queue='urgent'
                    )
                )
            waits = [
                await world.wait_for(f'u{number}', 'done', 30.0)
                for number in range(2)
            ]
            return max(waits)

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 2.0)

    def test_a_worker_that_fails_all_is_left_alone(self) -> None:
        """An empty worker that fails at once draws all work otherwise."""

        async def scenario(world: fleetbuilders.World) -> float:
            world.fleet.workers_by_id['w1'].fails_all = True
            for number in range(20):
                world.submit(fleetbuilders.build_graph(f'b{number}'))
                await asyncio.sleep(0.3)
            for number in range(20):
                await world.wait_for(f'b{number}', 'done', 30.0)
            return float(sum(world.fleet.failures_by_task.values()))

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 7.0)

    def test_a_task_that_stands_still_is_tried_elsewhere(self) -> None:
        """Some workers stand still with what they run."""

        async def scenario(world: fleetbuilders.World) -> float:
            stuck = world.fleet.workers_by_id['w0']
            stuck.is_stalled = True
            step = fleetbuilders.build_step(8, 4, 1000)
            world.submit(fleetbuilders.build_graph('j', step))
            return await world.wait_for('j', 'done', 30.0)

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 6.0)
