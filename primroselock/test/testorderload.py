"""A holder whose processor is slow, and calls to many workers at once.

The pattern: a slow VM becomes the holder of a busy shard, and hundreds of
runs are to be stopped or started, or hundreds of workers polled, at the same
moment.
"""

import asyncio
from collections import abc
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock.test import fleetbuilders
from primroselock.test import slowprocessor
from primroselock.test import virtualtime
from primroselock.workers import orders

_CALL_COST_S: typing.Final = 0.003
_WORKERS: typing.Final = 50
_TASKS_PER_WORKER: typing.Final = 8
_TASKS: typing.Final = _WORKERS * _TASKS_PER_WORKER
_ALL_ORDERS_S: typing.Final = _TASKS * _CALL_COST_S


def run_scenario(
    scenario: abc.Callable[[fleetbuilders.World], abc.Awaitable[None]],
) -> None:
    """Run a scenario with one node; fail if a violation was recorded."""

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = fleetbuilders.World(0, _WORKERS)
        world.add_node('entry-1')
        await asyncio.sleep(1.0)
        await scenario(world)
        await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])

    virtualtime.run(run_all)


class SlowHolderTest(unittest.TestCase):
    """Orders of a slow holder take longer, and all of them succeed."""

    def test_stops_and_starts_of_all_workers_do_not_time_out(self) -> None:
        """Guards against orders that all time out and are sent again.

        A job on all workers is cancelled, and another one takes its place.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(_TASKS, 1, 60_000)
            with slowprocessor.slow_calls(world, _CALL_COST_S) as processor:
                world.submit(fleetbuilders.build_graph('old', step))
                await self.wait_for_starts(world, _TASKS)
                world.cancel('old')
                world.submit(fleetbuilders.build_graph('new', step))
                await self.wait_for_starts(world, 2 * _TASKS)
            self.assertEqual(0, processor.timeouts)

        run_scenario(scenario)

    async def wait_for_starts(
        self, world: fleetbuilders.World, starts: int
    ) -> None:
        """Wait for starts, several times as long as the orders take."""
        until = clock.monotonic() + 5 * _ALL_ORDERS_S
        while world.fleet.starts < starts:
            self.assertLess(clock.monotonic(), until, world.fleet.starts)
            await asyncio.sleep(0.05)

    def test_a_silent_worker_gets_no_stop_for_each_of_its_runs(self) -> None:
        """Guards against hundreds of stops that nobody answers."""

        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(_TASKS, 1, 60_000)
            world.submit(fleetbuilders.build_graph('old', step))
            await self.wait_for_starts(world, _TASKS)
            for worker in world.fleet.workers_by_id.values():
                worker.is_partitioned = True
            world.cancel('old')
            with mock.patch.object(
                world.fleet, 'stop', wraps=world.fleet.stop
            ) as stop:
                await asyncio.sleep(4.0)
                self.assertLess(stop.call_count, _TASKS / 2)
                for worker in world.fleet.workers_by_id.values():
                    worker.is_partitioned = False
                await world.wait_for('old', 'cancelled', 4.0)

        run_scenario(scenario)

    def test_a_start_that_times_out_late_blames_no_worker(self) -> None:
        """Guards against a paused holder that takes a worker for silent."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 1)
            node = world.add_node('entry-1')
            await asyncio.sleep(1.0)

            async def start_in_a_pause(
                *arguments: typing.Any,
            ) -> result.Result[orders.Accepted, orders.OrderError]:
                virtual.now += 1.0
                return result.Err(orders.Unanswered('no answer'))

            with mock.patch.object(world.fleet, 'start', start_in_a_pause):
                world.submit(fleetbuilders.build_graph('j'))
                while not node.counters.counts_by_name.get('late_orders', 0):
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.5)
                session = node.holder._session
                assert session is not None
                worker = session._board.workers_by_id['w0']
                self.assertEqual(0, worker.failures_in_row)
            await world.wait_for('j', 'done', 10.0)
            await world.close()

        virtualtime.run(run_all)


class SlowPollsTest(unittest.TestCase):
    """Polls and probes of a slow holder take longer, and all succeed."""

    def run_slowly(
        self,
        workers: int,
        scenario: abc.Callable[
            [
                fleetbuilders.World,
                fleetbuilders.TestNode,
                slowprocessor.SlowProcessor,
            ],
            abc.Awaitable[None],
        ],
        call_cost_s: float = _CALL_COST_S,
    ) -> None:
        """Run a scenario with a node that is slow from its start."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, workers)
            with slowprocessor.slow_calls(world, call_cost_s) as processor:
                node = world.add_node('entry-1')
                await asyncio.sleep(0.5 + 2 * workers * call_cost_s)
                await scenario(world, node, processor)
            await world.close()
            self.assertEqual([], world.fleet.violations)

        virtualtime.run(run_all)

    def list_unpolled(self, node: fleetbuilders.TestNode) -> list[str]:
        """Return the workers that did not answer a poll, or not the last."""
        session = node.holder._session
        assert session is not None
        return [
            worker.id
            for worker in session._board.workers_by_id.values()
            if not worker.is_polled or worker.failures_in_row
        ]

    def test_a_takeover_polls_all_workers_without_a_time_out(self) -> None:
        """Guards against first polls that all time out and are sent again."""

        async def scenario(
            world: fleetbuilders.World,
            node: fleetbuilders.TestNode,
            processor: slowprocessor.SlowProcessor,
        ) -> None:
            self.assertEqual([], self.list_unpolled(node))
            self.assertEqual(0, processor.timeouts)

        for workers in (176, 540):
            with self.subTest(workers=workers):
                self.run_slowly(workers, scenario)

    def test_orders_to_all_workers_leave_time_for_polls(self) -> None:
        """Guards against short polls of all workers that time out.

        A worker is polled with a short wait while an order to it is under
        way or waits for its turn.
        """

        async def scenario(
            world: fleetbuilders.World,
            node: fleetbuilders.TestNode,
            processor: slowprocessor.SlowProcessor,
        ) -> None:
            step = fleetbuilders.build_step(176, 8, 60_000)
            world.submit(fleetbuilders.build_graph('old', step))
            await asyncio.sleep(5 * 176 * _CALL_COST_S)
            self.assertEqual(176, world.fleet.starts)
            world.submit(fleetbuilders.build_graph('new', step))
            world.cancel('old')
            await asyncio.sleep(8 * 176 * _CALL_COST_S)
            self.assertEqual(2 * 176, world.fleet.starts)
            self.assertEqual([], self.list_unpolled(node))

        self.run_slowly(176, scenario)

    def test_a_process_of_any_speed_gets_through(self) -> None:
        """Guards against a bound that is too high for a slower process.

        A job on all workers is cancelled, and another one takes its place:
        three orders for each worker.
        """

        async def replace_job(
            world: fleetbuilders.World,
            node: fleetbuilders.TestNode,
            processor: slowprocessor.SlowProcessor,
        ) -> None:
            until = clock.monotonic() + 8 * 3 * workers * call_cost_s
            step = fleetbuilders.build_step(workers, 8, 60_000)
            world.submit(fleetbuilders.build_graph('old', step))
            while world.fleet.starts < workers:
                self.assertLess(clock.monotonic(), until, world.fleet.starts)
                await asyncio.sleep(0.1)
            world.submit(fleetbuilders.build_graph('new', step))
            world.cancel('old')
            while world.fleet.starts < 2 * workers:
                self.assertLess(clock.monotonic(), until, world.fleet.starts)
                await asyncio.sleep(0.1)

        for workers, call_cost_s in ((176, 0.012), (540, 0.003)):
            with self.subTest(workers=workers, call_cost_s=call_cost_s):
                self.run_slowly(workers, replace_job, call_cost_s)

    def test_a_placement_whose_start_waits_is_not_lost(self) -> None:
        """Guards against an idle worker that counts as lost once it is used.

        It holds no lease until its poll or the start has had its turn.
        """

        async def scenario(
            world: fleetbuilders.World,
            node: fleetbuilders.TestNode,
            processor: slowprocessor.SlowProcessor,
        ) -> None:
            step = fleetbuilders.build_step(176, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(6 * 176 * call_cost_s)
            self.assertEqual(176, world.fleet.starts)
            progress = world.progress('j')
            assert progress is not None
            attempts = {record.attempt for record in progress.groups}
            self.assertEqual({1}, attempts)

        for call_cost_s in (0.0005, 2 * _CALL_COST_S):
            with self.subTest(call_cost_s=call_cost_s):
                self.run_slowly(176, scenario, call_cost_s)

    def test_a_takeover_is_not_held_up_by_a_silent_zone(self) -> None:
        """Guards against first polls that wait for those to a zone cut off.

        Its workers come first in the order of their ids.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 540)
            silent_ids = sorted(world.fleet.workers_by_id)[:180]
            for worker_id in silent_ids:
                world.fleet.workers_by_id[worker_id].is_partitioned = True
            node = world.add_node('entry-1')
            await asyncio.sleep(1.5)
            unpolled = set(self.list_unpolled(node)) - set(silent_ids)
            self.assertEqual(set(), unpolled)
            await world.close()

        virtualtime.run(run_all)

    def test_workers_that_answer_one_by_one_cost_few_renewals(self) -> None:
        """Guards against a renewal after each answer, with a long row.

        Until a worker of a takeover has answered, the row names it.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 176)
            first = world.add_node('entry-1')
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(176, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(3.0)
            await first.kill()
            with slowprocessor.slow_calls(world, 4 * _CALL_COST_S):
                second = world.add_node('entry-2')
                while second.holder._session is None:
                    await asyncio.sleep(0.01)
                before = second.holder.lease._renewal
                await asyncio.sleep(2.0)
                renewals = second.holder.lease._renewal - before
            self.assertLessEqual(renewals, 2 * 10 + 2)
            await world.close()

        virtualtime.run(run_all)

    def test_a_silent_worker_costs_no_probe_that_times_out(self) -> None:
        """Guards against a zone that is probed at once and found silent."""

        async def scenario(
            world: fleetbuilders.World,
            node: fleetbuilders.TestNode,
            processor: slowprocessor.SlowProcessor,
        ) -> None:
            world.submit(
                fleetbuilders.build_graph(
                    'j', fleetbuilders.build_step(1, 8, 60_000)
                )
            )
            await world.wait_for('j', 'running', 5.0)
            silent = world.find_busy_worker()
            before = processor.timeouts
            silent.is_partitioned = True
            await asyncio.sleep(4.0 + 2 * 180 * _CALL_COST_S)
            probes = node.counters.counts_by_name['probes']
            self.assertGreaterEqual(probes, 179)
            self.assertEqual([silent.entry.id], self.list_unpolled(node))
            self.assertEqual(before, processor.timeouts)

        self.run_slowly(180, scenario)


if __name__ == '__main__':
    unittest.main()
