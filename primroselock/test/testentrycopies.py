"""The age of a holder's copy of the workers' entries, in virtual time.

An entry shows what capacity its worker has left; an old copy may show more.
"""

import asyncio
import typing
import unittest
from unittest import mock

import structlog

from primroselock import clock
from primroselock import holdersession
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders


class EntryCopyTest(unittest.TestCase):
    """A holder decides by its copy of the workers' entries."""

    def test_nothing_starts_on_an_old_copy(self) -> None:
        """Guards against starts by entries from before a worker shrank.

        Everything but the table of the entries can be read.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            node = world.find_shard_holder()
            capacitybuilders.submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            await capacitybuilders.lose_entries(node)
            for worker_id in world.entries_by_id:
                world.set_capacity(worker_id, capacitybuilders.NOTHING)
            await asyncio.sleep(capacitybuilders.GRACE_S)
            capacitybuilders.submit(world, 'new', 1, 8)
            with structlog.testing.capture_logs() as lines:
                await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertEqual(0, capacitybuilders.count_runs(world, 'new'))
            self.assertEqual(8, capacitybuilders.count_runs(world, 'old'))
            bounds = {
                line['permit_bound']
                for line in lines
                if line['event'] == 'job waits beside free capacity'
            }
            self.assertEqual({"the workers' entries"}, bounds)
            world.set_capacity('w1', capacitybuilders.FULL)
            node.connectivity.lost_tables.clear()
            await asyncio.sleep(1.0 + capacitybuilders.AT_ONCE_S)
            self.assertEqual(
                1, capacitybuilders.count_runs(world, 'new', 'w1')
            )

        capacitybuilders.run_scenario(scenario)

    def test_starts_that_are_under_way_stop_too(self) -> None:
        """Guards against orders that wait while the copy grows old."""

        async def scenario(world: fleetbuilders.World) -> None:
            await capacitybuilders.lose_entries(world.find_shard_holder())
            with capacitybuilders.slow_placement(
                world, capacitybuilders.GRACE_S + 0.5
            ):
                capacitybuilders.submit(world, 'j', 1, 8)
                await asyncio.sleep(0.2)
                world.set_capacity(
                    capacitybuilders.find_placed_id(world),
                    capacitybuilders.NOTHING,
                )
                await asyncio.sleep(
                    capacitybuilders.GRACE_S + capacitybuilders.LIMIT_S
                )
            self.assertEqual(0, world.fleet.starts)

        capacitybuilders.run_scenario(scenario)

    def test_a_slow_feed_without_changes_lets_work_start(self) -> None:
        """Guards against starts that pause on quiet days."""

        async def scenario(world: fleetbuilders.World) -> None:
            client = world.find_shard_holder().client
            changes = client.changes

            async def answer_slowly(*arguments: typing.Any) -> typing.Any:
                answer = await changes(*arguments)
                await asyncio.sleep(0.5)
                return answer

            with mock.patch.object(client, 'changes', answer_slowly):
                for _ in range(200):
                    await asyncio.sleep(0.1)
                    left_s = (
                        capacitybuilders.find_board(world).permit_until
                        - clock.monotonic()
                    )
                    self.assertGreater(left_s, 0.0)

        capacitybuilders.run_scenario(scenario)

    def test_a_holder_that_cannot_read_the_entries_yields(self) -> None:
        """Guards against a holder that may start nothing and stays."""

        async def scenario(world: fleetbuilders.World) -> None:
            old = world.find_shard_holder()
            world.add_node('entry-2')
            await asyncio.sleep(4.0)
            await capacitybuilders.lose_entries(old)
            await asyncio.sleep(4.0)
            capacitybuilders.submit(world, 'j', 1, 8)
            await asyncio.sleep(2 * capacitybuilders.LIMIT_S)
            self.assertEqual(1, capacitybuilders.count_runs(world, 'j'))
            self.assertIsNot(old, world.find_shard_holder())

        capacitybuilders.run_scenario(scenario)

    def test_a_slow_takeover_may_start_work_in_the_next_round(self) -> None:
        """Guards against a new holder that waits for a long poll to end.

        Its listings took longer than a copy may be old.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await world.nodes.pop().kill()
            node = world.add_node('entry-2')
            node.client.listing_s = 1.0
            while node.holder._session is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(holdersession._MAX_ROUND_INTERVAL_S + 0.05)
            left_s = (
                capacitybuilders.find_board(world).permit_until
                - clock.monotonic()
            )
            self.assertGreater(left_s, 0.0)

        capacitybuilders.run_scenario(scenario)

    def test_an_entry_removed_during_a_takeover(self) -> None:
        """Guards against a worker that left and counts as listed for ever."""

        async def scenario(world: fleetbuilders.World) -> None:
            await world.nodes.pop().kill()
            node = world.add_node('entry-2')
            list_rows = node.client.list_rows

            async def list_before_removal(
                name: str, *arguments: typing.Any
            ) -> typing.Any:
                listing = await list_rows(name, *arguments)
                if name == 'servers' and 'w0' in world.entries_by_id:
                    world.delete_entry('w0')
                return listing

            with mock.patch.object(
                node.client, 'list_rows', list_before_removal
            ):
                await asyncio.sleep(2 * capacitybuilders.LIMIT_S)
            self.assertNotIn(
                'w0', capacitybuilders.find_board(world).workers_by_id
            )

        capacitybuilders.run_scenario(scenario)


if __name__ == '__main__':
    unittest.main()
