"""Starts that are carried out late, on the next boot of their worker.

An order names a worker, not its boot, and a new boot knows no epoch and no
stopped runs.
"""

import asyncio
import typing
import unittest

from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import restartbuilders

_LONG_MS: typing.Final = 60_000
_CLOCKS_S: typing.Final = (0.0, 1_000_000.0)
_LONGEST_LEASE_S: typing.Final = 10.0
_SILENCE_BEFORE_REMOVAL_S: typing.Final = 4.5
_LATEST_START_S: typing.Final = 6.0
"""A start that is carried out late begins by then."""


class LateStartTest(unittest.TestCase):
    """A start is sent before a crash and carried out on the next boot.

    The next boot knows no epoch, and no stop that the boot before answered.
    """

    def check(self, answers_at: float, crashes_at: float) -> None:
        """Let the first starts be late, and the worker crash meanwhile.

        From ``answers_at`` on orders are answered; the times are in seconds
        from the submission.
        """
        for clock_s in _CLOCKS_S:
            with self.subTest(clock_s=clock_s):
                self._check_clock(answers_at, crashes_at, clock_s)

    def _check_clock(
        self, answers_at: float, crashes_at: float, clock_s: float
    ) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            await restartbuilders.submit_unanswered(
                world, worker, _LONG_MS, answers_at
            )
            await asyncio.sleep(crashes_at - answers_at)
            world.add_worker(fleetbuilders.build_entry('w9'))
            world.fleet.crash(worker)
            world.restart_worker(worker, clock_s)
            await asyncio.sleep(_LATEST_START_S + 10.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(1, restartbuilders.count_runs(world, 'j'))

        for seed in range(3):
            fleetbuilders.run_with_node(scenario, seed, workers=1)

    def test_after_a_later_order_was_accepted(self) -> None:
        """Guards against an earlier try that begins beside the next run."""
        self.check(0.2, 1.0)

    def test_after_a_stop_of_the_boot_before(self) -> None:
        """Guards against a stop that is forgotten with the boot."""
        for crashes_at in (1.7, 1.72, 1.74, 1.76, 1.78, 1.8):
            self.check(1.5, crashes_at)

    def test_after_it_was_settled_on_the_boot_before(self) -> None:
        """Guards against an order that outlives the boot that refuses it."""
        for crashes_at in (1.9, 2.0, 2.2):
            self.check(1.5, crashes_at)

    def test_after_its_run_has_ended(self) -> None:
        """Guards against an earlier try that begins after the end."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            await restartbuilders.submit_unanswered(world, worker, 200)
            await world.wait_for('j', 'done', 2.0)
            await asyncio.sleep(0.1)
            world.fleet.crash(worker)
            world.restart_worker(worker)
            await asyncio.sleep(_LATEST_START_S)
            self.assertEqual(1, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_after_its_entry_was_gone(self) -> None:
        """Guards against orders that are forgotten with an idle worker.

        It has left the list, and is back as another boot within seconds.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            world.fleet.late_s = (4.0, 6.0)
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            worker.delayed_order_share = 1.0
            restartbuilders.submit(world, 'j', 200)
            await asyncio.sleep(0.2)
            worker.delayed_order_share = 0.0
            await world.wait_for('j', 'done', 2.0)
            # The end is confirmed, so that nothing keeps the worker known.
            await asyncio.sleep(2.2)
            world.delete_entry('w0')
            world.fleet.crash(worker)
            await asyncio.sleep(0.2)
            world.fleet.restart(worker)
            world.write_entry(worker.entry)
            await asyncio.sleep(_LATEST_START_S)
            self.assertEqual(1, world.fleet.starts)

        for seed in range(3):
            fleetbuilders.run_with_node(scenario, seed, workers=1)

    def test_without_any_answer(self) -> None:
        """Guards against orders that are given up at a restart."""
        for crashes_at in (0.3, 0.6, 1.4):
            self.check(crashes_at, crashes_at)

    def test_a_worker_cut_off_after_its_first_report(self) -> None:
        """Guards against a lease that begins after the report, not counted."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            await restartbuilders.submit_unanswered(world, worker, _LONG_MS)
            await asyncio.sleep(0.5)
            world.fleet.crash(worker)
            world.restart_worker(worker)
            while worker.epoch == 0:
                await asyncio.sleep(0.0005)
            await asyncio.sleep(0.0005)
            worker.is_partitioned = True
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(30.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(1, restartbuilders.count_runs(world, 'j'))

        for seed in range(4):
            fleetbuilders.run_with_node(scenario, seed, workers=1)

    def test_a_silent_worker_that_has_restarted(self) -> None:
        """Guards against an order that begins behind a cut (TWICE).

        The worker crashes and starts again while it is cut off, so that
        nothing is known of its next boot, where the order begins.
        """
        for late_s in ((2.0, 6.0), (6.0, 9.0), (9.0, 12.0)):
            for seed in range(3):
                with self.subTest(late_s=late_s, seed=seed):
                    fleetbuilders.run_with_node(
                        self._restart_behind_cut(late_s), seed, workers=1
                    )

    def _restart_behind_cut(
        self, late_s: tuple[float, float]
    ) -> fleetbuilders.NodeScenario:
        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            world.fleet.late_s = late_s
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            await restartbuilders.submit_unanswered(world, worker, _LONG_MS)
            worker.is_partitioned = True
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(0.3)
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            await asyncio.sleep(40.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(1, restartbuilders.count_runs(world, 'j'))

        return scenario

    def test_a_worker_whose_entry_is_gone(self) -> None:
        """Guards against a wait for a worker that is lost for good (LOST)."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            worker.delayed_order_share = 1.0
            restartbuilders.submit(world, 'j', _LONG_MS)
            await asyncio.sleep(0.2)
            world.fleet.crash(worker)
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(_SILENCE_BEFORE_REMOVAL_S)
            world.delete_entry('w0')
            await asyncio.sleep(_LONGEST_LEASE_S)
            self.assertEqual(1, restartbuilders.count_runs(world, 'j'))

        for seed in range(3):
            with self.subTest(seed=seed):
                fleetbuilders.run_with_node(scenario, seed, workers=1)

    def test_a_silent_worker_whose_run_has_ended(self) -> None:
        """Guards against a retry beside a late order behind a cut (TWICE)."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            world.fleet.late_s = (5.0, 6.0)
            world.fleet.failing_job_ids.add('j')
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            restartbuilders.submit(world, 'busy', _LONG_MS)
            await asyncio.sleep(0.5)
            await restartbuilders.submit_unanswered(world, worker, _LONG_MS)
            while len(worker.runs) < 2:
                await asyncio.sleep(0.0005)
            # The next attempt has no place there.
            world.set_capacity('w0', jobgraph.Resources(1000, 1000, 1))
            await restartbuilders.wait_for_end(worker)
            await asyncio.sleep(0.02)
            world.fleet.failing_job_ids.clear()
            worker.is_partitioned = True
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            # By then it counts as silent.
            await asyncio.sleep(3.0)
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(40.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(1, restartbuilders.count_runs(world, 'j'))

        for seed in range(3):
            with self.subTest(seed=seed):
                fleetbuilders.run_with_node(scenario, seed, workers=1)

    def test_a_start_of_an_earlier_holder(self) -> None:
        """Guards against an order of before a takeover and a crash.

        The poll that settles the member makes the boot refuse the order.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            world.add_node('entry-2')
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            worker.delayed_order_share = 1.0
            restartbuilders.submit(world, 'j', _LONG_MS)
            await asyncio.sleep(0.2)
            holder = world.find_shard_holder()
            world.nodes.remove(holder)
            await holder.kill()
            worker.delayed_order_share = 0.0
            world.fleet.crash(worker)
            world.restart_worker(worker)
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(20.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(1, restartbuilders.count_runs(world, 'j'))

        for seed in range(4):
            fleetbuilders.run_with_node(scenario, seed, workers=1)


if __name__ == '__main__':
    unittest.main()
