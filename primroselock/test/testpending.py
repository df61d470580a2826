"""Which jobs count as pending: those of which no task has started."""

import asyncio
import unittest

from primroselock import clock
from primroselock import intake
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker

_ACCESS = intake.Access(fleetbuilders.BULK, 'signs')


def _count(world: fleetbuilders.World) -> int:
    node = world.nodes[0]
    return node.intake.count_waiting(_ACCESS, clock.monotonic()).unwrap()


def _worker(world: fleetbuilders.World) -> simulatedworker.FakeWorker:
    (worker,) = world.fleet.workers_by_id.values()
    return worker


class PendingTest(unittest.TestCase):
    """A placement is not a start."""

    def test_a_job_placed_on_a_worker_that_is_gone(self) -> None:
        """Guards against a job that never began and is not counted (MIXED).

        The worker is lost just before the job is placed there (review/5).
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            world.fleet.crash(_worker(world))
            world.submit(fleetbuilders.build_graph('j'))
            for _ in range(10):
                await asyncio.sleep(2.0)
                self.assertEqual(1, _count(world))
                self.assertNotEqual('running', world.state('j'))

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_a_job_whose_start_is_refused(self) -> None:
        """Guards against a refused job that counts as begun."""

        async def scenario(world: fleetbuilders.World) -> None:
            _worker(world).refused_start_share = 1.0
            await asyncio.sleep(1.0)
            world.submit(fleetbuilders.build_graph('j'))
            await asyncio.sleep(5.0)
            self.assertEqual(1, _count(world))

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_a_job_whose_start_had_no_answer(self) -> None:
        """Guards against a job that runs and counts as pending."""

        async def scenario(world: fleetbuilders.World) -> None:
            _worker(world).delayed_order_share = 1.0
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(1, 1, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(9.0)
            self.assertEqual(0, _count(world))
            self.assertEqual('running', world.state('j'))

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_a_job_whose_worker_has_crashed(self) -> None:
        """Guards against a job that has begun and counts as pending again."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(1, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(2.0)
            world.fleet.crash(_worker(world))
            await asyncio.sleep(15.0)
            self.assertEqual(0, _count(world))

        fleetbuilders.run_with_node(scenario, workers=1)


if __name__ == '__main__':
    unittest.main()
