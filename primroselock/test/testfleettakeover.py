"""Complete nodes on fakes, in virtual time: takeovers of the shard."""

import asyncio
import dataclasses
import typing
import unittest

import result

from primroselock import clock
from primroselock import intake
from primroselock.test import fakestore
from primroselock.test import fleetbuilders

run_scenario: typing.Final = fleetbuilders.run_with_node


class TakeoverTest(unittest.TestCase):
    """A second node takes over the shard."""

    def test_running_work_is_adopted(self) -> None:
        """Guards against a restart of runs that outlive their holder."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            step = fleetbuilders.build_step(6, 2, 6000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.5)
            first = world.find_shard_holder()
            await first.kill()
            await world.wait_for('j1', 'done', 8.0)
            self.assertEqual(6, world.fleet.starts)

        run_scenario(scenario)

    def test_a_standby_takes_over_when_nothing_else_changes(self) -> None:
        """Guards against a copy that counts as stale during a feed's wait.

        A feed without changes answers only when its wait is over.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            await asyncio.sleep(5.0)
            first = world.find_shard_holder()
            await first.kill()
            await asyncio.sleep(6.0)
            world.submit(fleetbuilders.build_graph('j1'))
            await world.wait_for('j1', 'done', 2.0)

        run_scenario(scenario)

    def test_runs_of_a_job_that_has_ended_keep_their_capacity(self) -> None:
        """Guards against overload by a job cancelled during a handover.

        The run of such a job is unexpected to the new lease holder, since
        no row asks for it, but it uses capacity until it has stopped.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            world.fleet.stop_delay_s = 3.0
            step = fleetbuilders.build_step(1, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.5)
            world.cancel('j1')
            await asyncio.sleep(0.1)
            await world.find_shard_holder().holder.hand_over()
            step = fleetbuilders.build_step(1, 8, 1000)
            world.submit(fleetbuilders.build_graph('j2', step))
            await world.wait_for('j2', 'done', 8.0)

        run_scenario(scenario, workers=1)

    def test_work_of_a_removed_queue_runs_after_a_takeover(self) -> None:
        """Guards against accepted jobs that no later holder ever places.

        The queue is removed while its job waits, and the holder ends.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            access = intake.Access(fleetbuilders.BULK, 'signs')
            graph = fleetbuilders.build_graph('j1')
            world.fleet.graphs_by_id['j1'] = graph
            first = world.find_shard_holder()
            answer = await first.intake.submit(
                access, graph, clock.monotonic() + 2.0
            )
            self.assertIsInstance(answer, result.Ok)
            await first.kill()
            world.nodes.remove(first)
            left = dataclasses.replace(
                fleetbuilders.QUEUE_CONFIGURATION,
                queues=(fleetbuilders.URGENT,),
            )
            world.add_node('entry-2').set_queue_configuration(left)
            world.add_worker(fleetbuilders.build_entry('w0'))
            await world.wait_for('j1', 'done', 10.0)

        run_scenario(scenario, workers=0)

    def test_a_holder_that_shuts_down_hands_over_at_once(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            await asyncio.sleep(2.0)
            first = world.find_shard_holder()
            await first.holder.hand_over()
            world.submit(fleetbuilders.build_graph('j1'))
            took_s = await world.wait_for('j1', 'done', 4.0)
            self.assertLess(took_s, 2.5)

        run_scenario(scenario)

    def test_a_holder_without_the_store_starts_nothing(self) -> None:
        """Guards against starts whose placement is not stored."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            world.nodes[0].connectivity.refuses_calls = True
            world.submit(fleetbuilders.build_graph('j1'))
            await asyncio.sleep(4.0)
            self.assertEqual(0, world.fleet.starts)
            world.nodes[0].connectivity.refuses_calls = False
            await world.wait_for('j1', 'done', 4.0)

        run_scenario(scenario)

    def test_lost_replies_and_late_writes_change_nothing(self) -> None:
        """Guards against a job that waits forever or runs twice."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            node = world.nodes[0]
            for number in range(6):
                world.submit(fleetbuilders.build_graph(f'j{number}'))
                node.connectivity.faults += [
                    fakestore.Fault.REPLY_LOST,
                    fakestore.Fault.LATE,
                ]
                await asyncio.sleep(0.3)
                world.store.apply_late()
            for number in range(6):
                await world.wait_for(f'j{number}', 'done', 10.0)

        run_scenario(scenario)
