"""A holder that cannot place offers the shard, in virtual time."""

import asyncio
import contextlib
import random
import typing
import unittest
from unittest import mock

import msgspec
import result

from primroselock import shards
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_OLD_S: typing.Final = 3.0
"""An age of the operators' rows at which nothing may start."""


def add_standbys(world: fleetbuilders.World) -> None:
    """Add two nodes to the one that holds the shard."""
    world.add_node('entry-2')
    world.add_node('entry-3')


def read_epoch(world: fleetbuilders.World) -> int:
    """Return the number of takeovers so far."""
    row = world.store.inner.rows[keys.shard_epoch('fleet')]
    return msgspec.json.decode(row.value, type=shards.EpochRow).epoch


def is_offered(world: fleetbuilders.World) -> bool:
    """Return whether the stored lease is offered."""
    row = shards.read_lease_row(
        world.store.inner.rows[keys.shard_lease('fleet')]
    )
    return row is not None and row.is_offered


def set_ages(world: fleetbuilders.World, age_s: float) -> None:
    """Set the age of the operators' rows on every node."""
    for node in world.nodes:
        node.configuration_age_s = age_s


def set_feeds_unresponsive(
    world: fleetbuilders.World, is_unresponsive: bool
) -> None:
    """Set whether the change feeds answer any node."""
    for node in world.nodes:
        node.connectivity.feed_is_unresponsive = is_unresponsive


async def fail_listing(
    name: str, listed: table.PartialListing | None = None
) -> result.Result[table.Listing, table.Unavailable]:
    """Fail as a listing whose pages get no answer."""
    await asyncio.sleep(1.0)
    return result.Err(table.Unavailable('timed out'))


class ShardOfferTest(unittest.TestCase):
    """The shard moves only to a node that can do better."""

    def test_no_node_can_place(self) -> None:
        """Guards against work lost by a holder that yields to nobody.

        No node may start anything; what runs outlasts two leases, and what
        waits starts at the same node when the rows are confirmed again.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            step = fleetbuilders.build_step(6, 2, 25_000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await world.wait_for('j1', 'running', 3.0)
            holder = world.find_shard_holder()
            set_ages(world, _OLD_S)
            world.submit(fleetbuilders.build_graph('j2'))
            await asyncio.sleep(22.0)
            self.assertTrue(is_offered(world))
            self.assertEqual(6, world.fleet.starts)
            set_ages(world, 0.0)
            await world.wait_for('j2', 'done', 3.0)
            self.assertFalse(is_offered(world))
            await world.wait_for('j1', 'done', 10.0)
            self.assertEqual(7, world.fleet.starts)
            self.assertIs(holder, world.find_shard_holder())
            self.assertEqual(1, read_epoch(world))

        fleetbuilders.run_with_node(scenario)

    def test_no_node_sees_new_jobs(self) -> None:
        """Guards against work lost while no node's feeds answer."""

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            step = fleetbuilders.build_step(6, 2, 25_000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await world.wait_for('j1', 'running', 3.0)
            set_feeds_unresponsive(world, True)
            world.submit(fleetbuilders.build_graph('j2'))
            await asyncio.sleep(20.0)
            self.assertTrue(is_offered(world))
            self.assertEqual(6, world.fleet.starts)
            set_feeds_unresponsive(world, False)
            await world.wait_for('j2', 'done', 6.0)
            await world.wait_for('j1', 'done', 10.0)
            self.assertEqual(7, world.fleet.starts)
            self.assertEqual(1, read_epoch(world))

        fleetbuilders.run_with_node(scenario)

    def test_nothing_starts_under_an_offer(self) -> None:
        """Guards against starts that cross a takeover of the shard.

        Room for work that the holder knows becomes free while it offers.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            await asyncio.sleep(2.0)
            for name in ('j1', 'j2'):
                step = fleetbuilders.build_step(1, 8, 8000)
                world.submit(fleetbuilders.build_graph(name, step))
            await asyncio.sleep(1.0)
            self.assertEqual(1, world.fleet.starts)
            set_feeds_unresponsive(world, True)
            await asyncio.sleep(15.0)
            self.assertTrue(is_offered(world))
            self.assertEqual(1, world.fleet.starts)
            set_feeds_unresponsive(world, False)
            for name in ('j1', 'j2'):
                await world.wait_for(name, 'done', 15.0)
            self.assertEqual(2, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_running_work_moves_with_an_offer(self) -> None:
        """Guards against runs that are started twice or lost by a yield."""

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            step = fleetbuilders.build_step(6, 2, 15_000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await world.wait_for('j1', 'running', 3.0)
            holder = world.find_shard_holder()
            holder.configuration_age_s = _OLD_S
            await asyncio.sleep(4.0)
            self.assertIsNot(holder, world.find_shard_holder())
            self.assertFalse(holder.holder.lease.has_shard)
            self.assertFalse(is_offered(world))
            await world.wait_for('j1', 'done', 15.0)
            self.assertEqual(6, world.fleet.starts)
            self.assertEqual(2, read_epoch(world))

        fleetbuilders.run_with_node(scenario)

    def test_a_short_failure_moves_nothing(self) -> None:
        """Guards against a shard that moves at each blip of the reads."""

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            await asyncio.sleep(2.0)
            holder = world.find_shard_holder()
            holder.configuration_age_s = _OLD_S
            await asyncio.sleep(0.9)
            holder.configuration_age_s = 0.0
            holder.connectivity.feed_is_unresponsive = True
            await asyncio.sleep(2.0)
            holder.connectivity.feed_is_unresponsive = False
            await asyncio.sleep(3.0)
            self.assertEqual(1, read_epoch(world))

        fleetbuilders.run_with_node(scenario)

    def test_an_outage_of_the_store_moves_nothing(self) -> None:
        """Guards against a handover when the store is back for all.

        The holder's copy of the operators' rows is the last to recover.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            await asyncio.sleep(2.0)
            holder = world.find_shard_holder()
            for node in world.nodes:
                node.connectivity.refuses_calls = True
            set_ages(world, 6.0)
            await asyncio.sleep(6.0)
            for node in world.nodes:
                node.connectivity.refuses_calls = False
                if node is not holder:
                    node.configuration_age_s = 0.0
            await asyncio.sleep(0.9)
            holder.configuration_age_s = 0.0
            await asyncio.sleep(3.0)
            self.assertEqual(1, read_epoch(world))
            self.assertFalse(is_offered(world))

        fleetbuilders.run_with_node(scenario)

    def test_a_slow_takeover_keeps_the_shard(self) -> None:
        """Guards against a takeover that starts again at another node.

        Its listings take longer than any bound, but come to their end.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            await asyncio.sleep(2.0)
            for node in world.nodes:
                node.client.listing_s = 4.0
            first = world.find_shard_holder()
            world.nodes.remove(first)
            await first.kill()
            world.submit(fleetbuilders.build_graph('j1'))
            await world.wait_for('j1', 'done', 20.0)
            self.assertEqual(2, read_epoch(world))

        fleetbuilders.run_with_node(scenario)

    def test_nodes_that_cannot_list_do_not_alternate(self) -> None:
        """Guards against a shard that goes to and fro between two nodes.

        Each takes over once in a while; once listings work, work starts.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            add_standbys(world)
            await asyncio.sleep(2.0)
            first = world.find_shard_holder()
            world.nodes.remove(first)
            with contextlib.ExitStack() as patches:
                for node in world.nodes:
                    patches.enter_context(
                        mock.patch.object(
                            node.client, 'list_rows', fail_listing
                        )
                    )
                await first.kill()
                world.submit(fleetbuilders.build_graph('j1'))
                await asyncio.sleep(40.0)
                self.assertLessEqual(read_epoch(world), 8)
                self.assertEqual(0, world.fleet.starts)
            await world.wait_for('j1', 'done', 5.0)

        fleetbuilders.run_with_node(scenario)


async def _fail_reads(
    world: fleetbuilders.World, generator: random.Random
) -> None:
    """Let the operators' rows or the feeds of one node fail for a while."""
    node = generator.choice([world.find_shard_holder(), *world.nodes])
    if generator.random() < 0.5:
        node.configuration_age_s = _OLD_S
    else:
        node.connectivity.feed_is_unresponsive = True
    await asyncio.sleep(generator.uniform(0.5, 8.0))
    node.configuration_age_s = 0.0
    node.connectivity.feed_is_unresponsive = False


async def _fail_takeover(
    world: fleetbuilders.World, generator: random.Random
) -> None:
    """Restart the holder while one standby cannot list."""
    holder = world.find_shard_holder()
    standby = generator.choice([n for n in world.nodes if n is not holder])
    with mock.patch.object(standby.client, 'list_rows', fail_listing):
        world.nodes.remove(holder)
        await holder.kill()
        await asyncio.sleep(3.0)
        world.add_node(holder.settings.process.vm_id)
        await asyncio.sleep(generator.uniform(0.5, 8.0))
    await asyncio.sleep(3.0)


async def _disturb(
    world: fleetbuilders.World, generator: random.Random
) -> None:
    """Let reads of one node after another fail for a while."""
    for _ in range(12):
        fault = generator.choice([_fail_reads, _fail_takeover])
        await fault(world, generator)


class RandomReadFaultsTest(unittest.TestCase):
    """No task runs twice, and all jobs end, while reads fail in turn."""

    def check_seed(self, seed: int) -> None:
        """Submit jobs while the reads of nodes fail."""

        async def run_all(virtual: virtualtime.VirtualClock) -> list[str]:
            world = fleetbuilders.World(seed, 6)
            world.add_node('entry-1')
            add_standbys(world)
            await asyncio.sleep(2.0)
            generator = random.Random(seed)
            disturbing = asyncio.create_task(_disturb(world, generator))
            for number in range(20):
                step = fleetbuilders.build_step(3, 4, 1000 * (number % 9 + 1))
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
                await asyncio.sleep(3.0)
            await disturbing
            for number in range(20):
                await world.wait_for(f'j{number}', 'done', 90.0)
            await world.close()
            return world.fleet.violations

        self.assertEqual([], virtualtime.run(run_all)[:3])

    def test_work_goes_on_while_reads_fail_in_turn(self) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                self.check_seed(seed)


if __name__ == '__main__':
    unittest.main()
