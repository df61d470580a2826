"""Gangs whose workers crash: the cause is told by task."""

import asyncio
import unittest

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import crashbuilders
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker

_GIVE_UP_S = 120.0
_ALL_RETURNS = tuple(crashbuilders.Return)


def _find_member(
    world: fleetbuilders.World, index: int
) -> simulatedworker.FakeWorker | None:
    """Return the worker that runs a task of the job 'gang'."""
    for worker in list(world.fleet.workers_by_id.values()):
        for run in worker.runs:
            if run.task.job_id == 'gang' and run.task.index == index:
                return worker
    return None


async def _crash_under(
    world: fleetbuilders.World,
    index: int,
    returns: crashbuilders.Return = crashbuilders.Return.SAME_ADDRESS,
) -> None:
    """Crash the worker of a member 1.5 s after it is found running."""
    until = clock.monotonic() + 30.0
    while (worker := _find_member(world, index)) is None:
        if clock.monotonic() > until:
            raise AssertionError(f'member {index} does not run')
        await asyncio.sleep(0.05)
    await asyncio.sleep(1.5)
    worker = _find_member(world, index) or worker
    await crashbuilders.crash_worker(world, worker, 2.0, returns)
    await asyncio.sleep(1.0)


class SoundGangTest(unittest.TestCase):
    """Gangs none of whose tasks has lost two workers."""

    def _lose_each_member_once(
        self, step: jobgraph.Step, returns: crashbuilders.Return
    ) -> crashbuilders.Scenario:
        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            world.submit(fleetbuilders.build_graph('gang', step))
            for index in range(step.tasks):
                await _crash_under(world, index, returns)
            if step.long_running:
                await asyncio.sleep(10.0)
                self.assertIsNotNone(_find_member(world, 0))
                self.assertEqual('running', world.state('gang'))
            else:
                await world.wait_for('gang', 'done', 60.0)

        return scenario

    def test_crashes_under_different_members(self) -> None:
        """Guards against a sound gang shown as failed (LOST, review/2)."""
        for tasks in (2, 6):
            for is_lasting in (False, True):
                for returns in _ALL_RETURNS:
                    step = fleetbuilders.build_step(
                        tasks, 8, 6000, gang=True, long_running=is_lasting
                    )
                    with self.subTest(
                        tasks=tasks, lasting=is_lasting, returns=returns
                    ):
                        crashbuilders.run(
                            self._lose_each_member_once(step, returns), 8
                        )

    def test_a_takeover_after_each_crash(self) -> None:
        """Guards against a new holder that counts by gang (LOST)."""

        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            step = fleetbuilders.build_step(4, 8, 8000, gang=True)
            world.submit(fleetbuilders.build_graph('gang', step))
            for index in range(4):
                await _crash_under(world, index)
                await crashbuilders.kill_holder(world)
            await world.wait_for('gang', 'done', 60.0)

        for seed in range(2):
            with self.subTest(seed=seed):
                crashbuilders.run(scenario, 8, nodes=3, seed=seed)


class CrashingMemberTest(unittest.TestCase):
    """One member crashes each worker that starts it (BUDGET)."""

    def _check_given_up(
        self,
        step: jobgraph.Step,
        crashing_index: int,
        after_s: float,
        returns: crashbuilders.Return = crashbuilders.Return.SAME_ADDRESS,
        disturb: crashbuilders.Disturbance | None = None,
        down_s: tuple[float, float] = (2.0, 4.0),
    ) -> None:
        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            crashing.crashing_index_by_job_id['deadly'] = crashing_index
            crashing.submit(after_s, step)
            disturbing = None
            if disturb is not None:
                disturbing = asyncio.create_task(
                    crashbuilders.after_each_crash(world, crashing, disturb)
                )
            try:
                await world.wait_for('deadly', 'failed', _GIVE_UP_S)
            finally:
                if disturbing is not None:
                    disturbing.cancel()

        crashbuilders.run(scenario, returns=returns, nodes=3, down_s=down_s)

    def test_one_crashing_member(self) -> None:
        """Guards against a gang started without end for one member."""
        for accelerators in (8, 2):
            for after_s in (0.0, 1.5):
                for returns in _ALL_RETURNS:
                    for is_lasting in (False, True):
                        step = fleetbuilders.build_step(
                            5,
                            accelerators,
                            5000,
                            gang=True,
                            long_running=is_lasting,
                        )
                        with self.subTest(
                            accelerators=accelerators,
                            after_s=after_s,
                            returns=returns,
                            lasting=is_lasting,
                        ):
                            self._check_given_up(step, 3, after_s, returns)

    def test_a_holder_killed_after_each_crash(self) -> None:
        """Guards against counts by task that end with the holder."""
        step = fleetbuilders.build_step(4, 8, 5000, gang=True)
        for disturb in (crashbuilders.kill_holder, crashbuilders.hang_store):
            for after_s in (0.0, 1.0):
                with self.subTest(disturb=disturb, after_s=after_s):
                    self._check_given_up(step, 1, after_s, disturb=disturb)

    def test_takeovers_before_workers_are_back(self) -> None:
        """Guards against crashes that a new holder does not know (BUDGET).

        Workers are back after their leases, and each holder is killed before.
        """
        step = fleetbuilders.build_step(4, 8, 5000, gang=True)
        for returns in _ALL_RETURNS:
            with self.subTest(returns=returns):
                self._check_given_up(
                    step,
                    1,
                    1.0,
                    returns,
                    crashbuilders.kill_holder,
                    (12.0, 14.0),
                )


if __name__ == '__main__':
    unittest.main()
