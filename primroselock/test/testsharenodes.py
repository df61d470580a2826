"""Whole nodes on fakes: a flood of one account, and a takeover during it."""

import asyncio
import typing
import unittest

from primroselock.test import fleetbuilders
from primroselock.test import sharebuilders

_RUN_S: typing.Final = 2.0
_FLOOD_JOBS: typing.Final = 60
"""Of eight tasks each; four workers need 30 s for them."""

_WORKERS: typing.Final = 4


class FloodTest(unittest.TestCase):
    """Account 'flood' sends far more than fits; 'usual' sends a job."""

    def send_flood(self, world: fleetbuilders.World) -> None:
        """Give both accounts equal weights, and let one send its jobs."""
        world.set_queue_configuration(
            sharebuilders.configure({'flood': 1.0, 'usual': 1.0}, version=2)
        )
        for number in range(_FLOOD_JOBS):
            step = fleetbuilders.build_step(8, 1, int(_RUN_S * 1000))
            world.submit(
                fleetbuilders.build_graph(
                    f'flood-{number}', step, account='flood'
                )
            )

    async def send_usual(self, world: fleetbuilders.World, name: str) -> None:
        """Send a job of the other account, and wait for its end.

        It starts when something of the flood ends, and runs.
        """
        step = fleetbuilders.build_step(8, 1, int(_RUN_S * 1000))
        world.submit(fleetbuilders.build_graph(name, step, account='usual'))
        await world.wait_for(name, 'done', 2 * _RUN_S + 1.0)

    def test_a_job_of_another_account_waits_for_one_run_at_most(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            self.send_flood(world)
            await asyncio.sleep(1.0)
            await self.send_usual(world, 'usual-0')

        fleetbuilders.run_with_node(scenario, workers=_WORKERS)

    def test_a_successor_of_the_holder_knows_the_shares(self) -> None:
        """Use is counted from what runs: nothing is lost with the holder."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            self.send_flood(world)
            await asyncio.sleep(3.0)
            first = world.find_shard_holder()
            await first.kill()
            world.nodes.remove(first)
            await asyncio.sleep(3.0)
            sending = asyncio.create_task(self.send_usual(world, 'usual-0'))
            await asyncio.sleep(0.2)
            gauges = world.find_shard_holder().counters.gauges_by_name
            self.assertGreater(
                gauges['account_share_used{account="flood"}'], 1.0
            )
            self.assertGreater(
                gauges['account_groups_behind{account="flood"}'], 0.0
            )
            await sending

        fleetbuilders.run_with_node(scenario, workers=_WORKERS)

    def test_a_new_configuration_gives_an_account_its_weight(self) -> None:
        """Guards against shares of an earlier version of the weights."""

        async def scenario(world: fleetbuilders.World) -> None:
            self.send_flood(world)
            world.set_queue_configuration(
                sharebuilders.configure({'flood': None, 'usual': None}, 3)
            )
            await asyncio.sleep(1.0)
            world.set_queue_configuration(
                sharebuilders.configure({'flood': 1.0, 'usual': 1.0}, 4)
            )
            await self.send_usual(world, 'usual-0')

        fleetbuilders.run_with_node(scenario, workers=_WORKERS)


if __name__ == '__main__':
    unittest.main()
