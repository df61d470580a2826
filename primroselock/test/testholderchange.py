"""When the shard changes its holder, and when it does not, in virtual time.

Guards against a lease that is lost during a slow takeover, and against a
holder that the store throttles and that stays.
"""

import asyncio
import dataclasses
import typing
import unittest
from unittest import mock

import result

from primroselock import boardrows
from primroselock import graphrows
from primroselock import intake
from primroselock import jobgraph
from primroselock.store import keys
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_ACCESS: typing.Final = intake.Access(fleetbuilders.BULK, 'signs')


class TakeoverTest(unittest.TestCase):
    """A takeover of a shard with many rows."""

    def test_the_lease_is_renewed_during_a_long_listing(self) -> None:
        """The pattern: the new holder's link is slow, and others wait."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            nodes = [world.add_node(f'entry-{number}') for number in range(3)]
            await asyncio.sleep(2.0)
            for node in nodes:
                node.client.listing_s = 2.0
            old = world.find_shard_holder()
            await old.kill()
            world.nodes.remove(old)
            world.submit(fleetbuilders.build_graph('j'))
            await world.wait_for('j', 'done', 15.0)
            self.assertEqual(2, world.find_shard_holder().holder.lease.epoch)
            await world.close()

        virtualtime.run(run_all)

    def test_the_lease_is_renewed_while_many_jobs_are_loaded(self) -> None:
        """Guards against a slow VM that loses the lease while it loads.

        The next one would lose it in the same way.  Meanwhile the queues
        change.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            for number in range(400):
                world.submit(fleetbuilders.build_graph(f'j{number}'))
            load_job = boardrows.load_job
            held: list[bool] = []
            changed = dataclasses.replace(
                fleetbuilders.QUEUE_CONFIGURATION, version=2
            )

            def load_slowly(*arguments: typing.Any) -> None:
                virtual.now += 0.01
                held.append(node.holder.lease.holds(virtual.now))
                load_job(*arguments)

            with mock.patch.object(boardrows, 'load_job', load_slowly):
                node = world.add_node('entry-1')
                await asyncio.sleep(1.0)
                node.set_queue_configuration(changed)
                await asyncio.sleep(5.0)
            self.assertEqual([True] * 400, held)
            session = node.holder._session
            assert session is not None
            self.assertIs(changed, session._board.queue_configuration)
            await world.close()

        virtualtime.run(run_all)

    def test_a_takeover_that_ends_early_renews_no_more(self) -> None:
        """Guards against a lease that is renewed with nobody deciding."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            first = world.add_node('entry-1')
            first.client.listing_s = 3.0
            await asyncio.sleep(5.0)
            self.assertTrue(first.holder.lease.has_shard)
            await first.kill()
            second = world.add_node('entry-2')
            await asyncio.sleep(3.0)
            self.assertTrue(second.holder.lease.has_shard)
            await world.close()

        virtualtime.run(run_all)

    def test_an_ended_job_keeps_its_owner_and_drops_its_work(self) -> None:
        """A repeat of its submission is answered, and does not run again."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            world.add_node('entry-1')
            await asyncio.sleep(1.0)
            graph = fleetbuilders.build_graph('j')
            world.submit(graph)
            await world.wait_for('j', 'done', 10.0)
            row = world.store.inner.rows[keys.graph('fleet', 'j')]
            stored = graphrows.read_submitted(row)
            assert isinstance(stored, jobgraph.JobGraph)
            self.assertEqual((), stored.steps)
            # A second node remembers nothing.
            other = world.add_node('entry-2')
            await asyncio.sleep(1.0)
            deadline = virtual.now + 3.0
            repeat = await other.intake.submit(_ACCESS, graph, deadline)
            self.assertIsInstance(repeat, result.Ok)
            foreign = intake.Access(fleetbuilders.BULK, 'merch')
            hidden = await other.intake.state(foreign, 'j', deadline)
            self.assertIsInstance(hidden, result.Err)
            await asyncio.sleep(5.0)
            self.assertEqual(1, world.fleet.starts)
            await world.close()

        virtualtime.run(run_all)


class ThrottledHolderTest(unittest.TestCase):
    """A holder that the store throttles while it serves the others."""

    def test_it_yields_when_its_lease_has_expired(self) -> None:
        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            # Without workers none can tell it of a newer epoch.
            world = fleetbuilders.World(0, 0)
            for number in range(3):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(2.0)
            holder = world.find_shard_holder()
            holder.connectivity.is_throttled = True
            scheduler = holder.settings.scheduler
            await asyncio.sleep(
                scheduler.shard_lease_s + scheduler.shard_renew_interval_s
            )
            self.assertFalse(holder.holder.lease.has_shard)
            await asyncio.sleep(1.0)
            self.assertIsNot(holder, world.find_shard_holder())
            await world.close()

        virtualtime.run(run_all)

    def test_it_stays_while_the_store_is_down_for_all(self) -> None:
        """Runs are leased on; nobody else could take over."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            for number in range(3):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(2.0)
            holder = world.find_shard_holder()
            for node in world.nodes:
                node.connectivity.refuses_calls = True
            await asyncio.sleep(4.0)
            self.assertTrue(holder.holder.lease.has_shard)
            await world.close()

        virtualtime.run(run_all)

    def test_a_slow_vm_leaves_a_free_shard_to_a_faster_one(self) -> None:
        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            for number in range(3):
                world.add_node(f'slow-{number}', 'takeover_delay_s = 0.3\n')
            fast = world.add_node('fast')
            await asyncio.sleep(2.0)
            self.assertIs(fast, world.find_shard_holder())
            await world.close()

        virtualtime.run(run_all)


if __name__ == '__main__':
    unittest.main()
