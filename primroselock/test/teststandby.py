"""Nodes that do not decide: what they read, and what they answer.

Guards against nodes that copy every row of the shard, and against answers
that are wrong because of that.
"""

import asyncio
import typing
import unittest

import result

from primroselock import clock
from primroselock import intake
from primroselock import refusals
from primroselock.store import keys
from primroselock.test import fleetbuilders
from primroselock.test import loadbuilders
from primroselock.test import virtualtime

_ACCESS: typing.Final = intake.Access(fleetbuilders.BULK, 'signs')


class StandbyTest(unittest.TestCase):
    """What nodes read that do not decide, and what they answer."""

    def test_a_node_that_does_not_decide_reads_no_rows_of_jobs(self) -> None:
        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 8)
            for number in range(4):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(2.0)
            await loadbuilders.submit_jobs(world, 1.0, 10.0)
            holder = world.find_shard_holder()
            for node in world.nodes:
                received = node.client.rows_received_by_table
                if node is not holder:
                    self.assertEqual({'shard'}, set(received))
            await world.close()

        virtualtime.run(run_all)

    def test_a_row_that_cannot_be_decoded_does_not_hide_a_job(self) -> None:
        """The job exists: its state is unknown, and not that it is gone."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            node = world.add_node('entry-1')
            await asyncio.sleep(1.0)
            world.store.put(keys.graph('fleet', 'j'), b'\xff')
            await asyncio.sleep(1.0)
            self.assertTrue(node.holder.lease.has_shard)
            found = await node.intake.state(_ACCESS, 'j', virtual.now + 1.0)
            assert isinstance(found, result.Err)
            self.assertIs(
                refusals.Reason.STORE_UNAVAILABLE, found.err_value.why
            )
            await world.close()

        virtualtime.run(run_all)

    def test_malformed_rows_of_the_shard_end_no_node(self) -> None:
        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            world.store.put(keys.shard_epoch('fleet'), b'\xff')
            world.store.put(keys.shard_lease('fleet'), b'{"holder": 1}')
            node = world.add_node('entry-1')
            await asyncio.sleep(4.0)
            self.assertFalse(any(task.done() for task in node._tasks))
            self.assertFalse(node.holder.lease.has_shard)
            world.store.delete(keys.shard_epoch('fleet'))
            world.store.delete(keys.shard_lease('fleet'))
            await asyncio.sleep(1.0)
            self.assertTrue(node.holder.lease.has_shard)
            await world.close()

        virtualtime.run(run_all)

    def test_the_count_of_waiting_jobs_is_never_too_low(self) -> None:
        """Around a takeover it is refused, and never said to be 0."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 2)
            for number in range(3):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(2.0)
            for number in range(12):
                step = fleetbuilders.build_step(1, 8, 60_000)
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
            await asyncio.sleep(2.0)
            holder = world.find_shard_holder()
            others = [node for node in world.nodes if node is not holder]
            await holder.kill()
            answers = []
            for _ in range(60):
                await asyncio.sleep(0.1)
                now = clock.monotonic()
                answers += [
                    node.intake.count_waiting(_ACCESS, now) for node in others
                ]
            counts = [a.ok_value for a in answers if isinstance(a, result.Ok)]
            reasons = [
                a.err_value.why for a in answers if isinstance(a, result.Err)
            ]
            self.assertEqual({10}, set(counts))
            self.assertEqual({refusals.Reason.COUNT_UNKNOWN}, set(reasons))
            await world.close()

        virtualtime.run(run_all)

    def test_a_count_that_is_not_renewed_is_refused(self) -> None:
        """The node no longer reads the lease, and cannot know how many."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            for number in range(2):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(2.0)
            holder = world.find_shard_holder()
            other = next(node for node in world.nodes if node is not holder)
            count = other.intake.count_waiting(_ACCESS, virtual.now)
            self.assertEqual(0, count.unwrap())
            other.connectivity.refuses_calls = True
            await asyncio.sleep(2.5)
            count = other.intake.count_waiting(_ACCESS, virtual.now)
            self.assertIsInstance(count, result.Err)
            await world.close()

        virtualtime.run(run_all)

    def test_a_deleted_job_is_not_said_to_wait(self) -> None:
        """Its owner is remembered, but its rows are gone."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            node = world.add_node('entry-1', '[fleet]\nkeep_ended_s = 2\n')
            await asyncio.sleep(1.0)
            graph = fleetbuilders.build_graph('old')
            world.submit(graph)
            await world.wait_for('old', 'done', 10.0)
            found = await node.intake.state(_ACCESS, 'old', virtual.now + 1.0)
            self.assertIsInstance(found, result.Ok)
            await asyncio.sleep(6.0)
            found = await node.intake.state(_ACCESS, 'old', virtual.now + 1.0)
            assert isinstance(found, result.Err)
            self.assertIs(refusals.Reason.UNKNOWN_JOB, found.err_value.why)
            await world.close()

        virtualtime.run(run_all)


if __name__ == '__main__':
    unittest.main()
