"""Tasks that crash each worker that starts them, on complete nodes."""

import asyncio
from collections import abc
import typing
import unittest

from primroselock import jobgraph
from primroselock.test import crashbuilders
from primroselock.test import fleetbuilders
from primroselock.test import loadbuilders
from primroselock.test import virtualtime

_GIVE_UP_S: typing.Final = 60.0
_LONG_MS: typing.Final = 20_000


class GiveUpTest(unittest.TestCase):
    """A crashing task is given up before it has used up its starts."""

    def _check_given_up(
        self,
        after_s: float,
        *steps: jobgraph.Step,
        returns: crashbuilders.Return = crashbuilders.Return.SAME_ADDRESS,
        down_s: tuple[float, float] = (2.0, 4.0),
    ) -> None:
        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            crashing.submit(after_s, *steps)
            await world.wait_for('deadly', 'failed', _GIVE_UP_S)
            self.assertGreaterEqual(crashing.most_starts('deadly'), 2)

        crashbuilders.run(scenario, returns=returns, down_s=down_s)

    def test_a_crash_before_the_answer(self) -> None:
        """Guards against a task that crashes workers without end, at once."""
        self._check_given_up(0.0)

    def test_a_crash_at_work(self) -> None:
        """Guards against a task that crashes workers without end, later."""
        self._check_given_up(1.5)

    def test_a_worker_that_is_back_at_once(self) -> None:
        """Guards against a start sent again to the next incarnation."""

        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            crashing.submit(0.0)
            await world.wait_for('deadly', 'failed', _GIVE_UP_S)
            self.assertEqual(2, crashing.most_starts('deadly'))

        for down_s in (0.05, 0.3, 0.5, 0.9, 1.4):
            with self.subTest(down_s=down_s):
                crashbuilders.run(scenario, down_s=(down_s, down_s))

    def test_a_worker_that_is_back_after_its_leases(self) -> None:
        """Guards against a crash that is seen too late to count."""
        self._check_given_up(0.5, down_s=(12.0, 14.0))

    def test_a_worker_that_is_back_at_another_address(self) -> None:
        """Guards against a crash unseen since the address is another."""
        self._check_given_up(0.5, returns=crashbuilders.Return.NEW_ADDRESS)

    def test_a_worker_that_is_back_under_another_id(self) -> None:
        """Guards against a crash unseen since the id is another."""
        for after_s in (0.0, 0.5):
            with self.subTest(after_s=after_s):
                self._check_given_up(
                    after_s, returns=crashbuilders.Return.NEW_ID
                )

    def test_a_gang(self) -> None:
        """Guards against a gang that crashes workers without end."""
        step = fleetbuilders.build_step(3, 8, 5000, gang=True)
        self._check_given_up(0.5, step)

    def test_a_wide_step(self) -> None:
        """Guards against many tasks of a job that crash most workers."""
        step = fleetbuilders.build_step(5, 8, 5000)
        self._check_given_up(0.5, step)

    def test_long_running_work(self) -> None:
        """Guards against work that is due at all times and crashes workers."""
        step = fleetbuilders.build_step(1, 1, 5000, long_running=True)
        self._check_given_up(0.5, step)

    def test_a_holder_killed_after_each_crash(self) -> None:
        """Guards against a count that ends with the holder."""
        for after_s in (0.0, 1.0):
            with self.subTest(after_s=after_s):
                self._check_given_up_despite(
                    after_s, crashbuilders.kill_holder
                )

    def test_a_store_outage_after_each_crash(self) -> None:
        """Guards against a count that is lost before it is stored."""
        for after_s in (0.0, 1.0):
            with self.subTest(after_s=after_s):
                self._check_given_up_despite(after_s, crashbuilders.hang_store)

    def _check_given_up_despite(
        self, after_s: float, disturb: crashbuilders.Disturbance
    ) -> None:
        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            crashing.submit(after_s)
            disturbing = asyncio.create_task(
                crashbuilders.after_each_crash(world, crashing, disturb)
            )
            try:
                await world.wait_for('deadly', 'failed', 120.0)
            finally:
                disturbing.cancel()

        crashbuilders.run(scenario, nodes=3)

    def test_a_crashing_job_is_cancelled(self) -> None:
        """Guards against a cancellation shown as a failure."""

        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            crashing.submit(0.5)
            await asyncio.sleep(4.0)
            world.cancel('deadly')
            await world.wait_for('deadly', 'cancelled', 15.0)

        crashbuilders.run(scenario)


class SoundTaskTest(unittest.TestCase):
    """Work that crashes nothing is not given up."""

    def test_work_beside_a_crashing_task(self) -> None:
        """Guards against a job given up for what runs beside it."""
        for after_s in (0.0, 1.0):
            for seed in range(3):
                with self.subTest(after_s=after_s, seed=seed):
                    crashbuilders.run(
                        self._share_workers(after_s), 4, seed=seed
                    )

    def _share_workers(self, after_s: float) -> crashbuilders.Scenario:
        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            # Half of the accelerators are in use, on each of the workers.
            step = fleetbuilders.build_step(1, 1, _LONG_MS, max_per_worker=1)
            for number in range(16):
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
            await asyncio.sleep(1.0)
            crashing_step = fleetbuilders.build_step(2, 1, 5000)
            crashing.submit(after_s, crashing_step)
            await world.wait_for('deadly', 'failed', _GIVE_UP_S)
            for number in range(16):
                await world.wait_for(f'j{number}', 'done', 120.0)

        return scenario

    def test_one_worker_for_all(self) -> None:
        """Guards against a job that always crashes with the cause.

        There is one worker only, and each has to use it.
        """

        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            step = fleetbuilders.build_step(1, 1, 6000)
            world.submit(fleetbuilders.build_graph('sound', step))
            await asyncio.sleep(0.5)
            crashing.submit(1.0)
            await world.wait_for('deadly', 'failed', _GIVE_UP_S)
            await world.wait_for('sound', 'done', _GIVE_UP_S)

        for seed in range(3):
            with self.subTest(seed=seed):
                crashbuilders.run(scenario, 1, seed=seed)

    def test_a_zone_without_power_three_times(self) -> None:
        """Guards against jobs given up for a loss of power."""
        single = fleetbuilders.build_step(1, 8, 40_000)
        wide = fleetbuilders.build_step(8, 8, 40_000)
        gang = fleetbuilders.build_step(4, 8, 40_000, gang=True)
        cases = {
            'eight jobs': [single] * 8,
            'one wide job': [wide],
            'two gangs': [gang] * 2,
            'half of the workers idle': [single] * 4,
        }
        for name, steps in cases.items():
            for returns in crashbuilders.Return:
                with self.subTest(name, returns=returns):
                    crashbuilders.run(self._lose_power(steps, returns), 8)

    def _lose_power(
        self,
        steps: abc.Sequence[jobgraph.Step],
        returns: crashbuilders.Return,
    ) -> crashbuilders.Scenario:
        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            for number, step in enumerate(steps):
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
            for _ in range(3):
                await asyncio.sleep(6.0)
                await crashbuilders.lose_power(world, 'r0', returns)
                await asyncio.sleep(10.0)
            for number in range(len(steps)):
                await world.wait_for(f'j{number}', 'done', 300.0)

        return scenario

    def test_workers_cut_off(self) -> None:
        """Guards against a job given up for a cut worker."""

        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            step = fleetbuilders.build_step(1, 1, _LONG_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            for _ in range(5):
                await asyncio.sleep(3.0)
                worker = world.find_busy_worker()
                worker.is_partitioned = True
                await asyncio.sleep(13.0)
                worker.is_partitioned = False
                self.assertEqual((), _crashes(world, 'j'))
            await world.wait_for('j', 'done', _GIVE_UP_S)

        crashbuilders.run(scenario)

    def test_a_saturated_holder(self) -> None:
        """Guards against a crash counted by a holder whose rounds are late."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 4)
            world.add_node('entry-1')
            step = fleetbuilders.build_step(1, 1, _LONG_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(2.0)
            with loadbuilders.slow_rounds(virtual, 1.5):
                await asyncio.sleep(10.0)
            self.assertEqual((), _crashes(world, 'j'))
            await world.wait_for('j', 'done', _GIVE_UP_S)
            await world.close()

        virtualtime.run(run_all)


def _crashes(
    world: fleetbuilders.World, job_id: str
) -> tuple[jobgraph.Crash, ...]:
    """Return the crashes that are stored for a job's first group."""
    progress = world.progress(job_id)
    if progress is None or not progress.groups:
        return ()
    return progress.groups[0].crashes


if __name__ == '__main__':
    unittest.main()
