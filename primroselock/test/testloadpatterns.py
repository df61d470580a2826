"""Load patterns that are hard to schedule, without a network.

Each test names one pattern.  It bounds what the default policies achieve,
or compares them in one run with simpler ones, such as the baseline policies
(first come, first served; first fit; no preemption).
"""

import asyncio
from collections import abc
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
    """Each test runs one load pattern."""

    def test_urgent_gang_among_single_tasks_that_refill_each_gap(
        self,
    ) -> None:
        """Guards against starvation of a gang beyond its guarantee.

        Single tasks of a less urgent queue fragment every worker, so that
        no rack ever has enough empty workers for the gang.
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

        default_s = fleetbuilders.run_scenario(scenario, 4)
        self.assertLess(default_s, 2.0)

    def test_batch_gang_of_whole_workers_among_single_tasks(self) -> None:
        """Guards against starvation of a gang that may preempt nothing yet.

        Single tasks of a less urgent queue arrive continuously and would
        use each accelerator as soon as it is free; a capacity claim keeps
        free workers for the gang.
        """

        self.check_claims(lambda number: 3000 + number * 10)

    def test_batch_gang_among_single_tasks_of_many_lengths(self) -> None:
        """Guards against work lost for a gang that may preempt nothing yet.

        The single tasks end one after another, so that without a claim the
        gang finds no capacity until it may preempt.
        """
        lost_s, lost_without_claims_s = self.check_claims(
            lambda number: 2500 + number * 700 % 3000
        )
        self.assertLess(lost_s, lost_without_claims_s)

    def check_claims(
        self, run_ms: abc.Callable[[int], int]
    ) -> tuple[float, float]:
        """Run a gang among single tasks, with claims and without.

        It must be done sooner with claims.  ``run_ms`` is the run time of
        the tasks by the number of their job; returns the work lost.
        """
        took_s: list[float] = []

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(60):
                step = fleetbuilders.build_step(8, 1, run_ms(number))
                world.submit(fleetbuilders.build_graph(f'b{number}', step))
            await asyncio.sleep(1.0)
            gang = fleetbuilders.build_step(3, 8, 8000, gang=True)
            graph = fleetbuilders.build_graph('gang', gang, queue='batch')
            world.submit(graph)
            took_s.append(await world.wait_for('gang', 'done', 200.0))
            # Its objective is three times its run time plus one second.
            self.assertLess(took_s[-1], 3 * 8.0 + 1.0)
            return world.fleet.lost_work_s

        lost_s = fleetbuilders.run_scenario(scenario, 8)
        lost_without_claims_s = fleetbuilders.run_scenario(
            scenario, 8, _NO_CLAIMS
        )
        took_with_claims_s, took_without_s = took_s
        self.assertLess(took_with_claims_s, took_without_s)
        return lost_s, lost_without_claims_s

    def test_small_urgent_work_beside_a_gang_that_has_done_much(self) -> None:
        """Much work is not lost for little, unless that is guaranteed."""

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
        """Work within its guarantee starts within the reclaim bound."""

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

        default_s = fleetbuilders.run_scenario(scenario, 4)
        # The reclaim bound, and the run time of the task.
        self.assertLess(default_s, 2.7 + 0.5)

    def test_whole_racks_are_kept_for_gangs(self) -> None:
        """Single tasks are packed into one rack, so that others stay empty."""

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
        """A burst of small urgent jobs arrives behind wide bulk work."""

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

        default_s = fleetbuilders.run_scenario(scenario, 4)
        baseline_s = fleetbuilders.run_scenario(scenario, 4, _BASELINE)
        self.assertLess(default_s, baseline_s * 0.7)

    def test_work_that_arrives_while_a_zone_is_partitioned(self) -> None:
        """Idle workers of a zone get no work once others do not answer.

        Guards against starts on workers that are unreachable although no
        call failed there yet, since idle workers are not polled.
        """

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

    def test_a_worker_that_fails_all_gets_no_more_work(self) -> None:
        """Guards against a faulty worker that attracts all work.

        A worker whose tasks fail at once is always the emptiest.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            world.fleet.workers_by_id['w1'].fails_all = True
            for number in range(20):
                world.submit(fleetbuilders.build_graph(f'b{number}'))
                await asyncio.sleep(0.3)
            for number in range(20):
                await world.wait_for(f'b{number}', 'done', 30.0)
            return float(sum(world.fleet.record.failures_by_task.values()))

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 7.0)

    def test_a_stalled_task_is_retried_elsewhere(self) -> None:
        """Tasks on one worker make no progress, although it answers."""

        async def scenario(world: fleetbuilders.World) -> float:
            stuck = world.fleet.workers_by_id['w0']
            stuck.is_stalled = True
            step = fleetbuilders.build_step(8, 4, 1000)
            world.submit(fleetbuilders.build_graph('j', step))
            return await world.wait_for('j', 'done', 30.0)

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 6.0)

    def test_a_stalled_worker_keeps_no_work_while_others_end(self) -> None:
        """Guards against stuck work that returns to its worker and stays.

        The pattern: one worker is stalled, all others are busy for 25 s.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(3):
                step = fleetbuilders.build_step(1, 8, 25_000)
                world.submit(fleetbuilders.build_graph(f'long{number}', step))
            await asyncio.sleep(1.0)
            for worker in world.fleet.workers_by_id.values():
                worker.is_stalled = not worker.runs
            step = fleetbuilders.build_step(1, 8, 1000)
            world.submit(fleetbuilders.build_graph('j', step))
            return await world.wait_for('j', 'done', 60.0)

        self.assertLess(fleetbuilders.run_scenario(scenario, 4), 30.0)
