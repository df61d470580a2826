"""A process that was late itself blames no worker for it."""

import asyncio
from collections import abc
import typing
import unittest
from unittest import mock

import result

from primroselock.decisions import fleetworkers
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock import waits
from primroselock.workers import orders


class BlameTest(unittest.TestCase):
    """When a call that was not answered counts against its worker."""

    def run_with(
        self,
        scenario: abc.Callable[
            [
                fleetbuilders.World,
                virtualtime.VirtualClock,
                fleetbuilders.TestNode,
            ],
            abc.Awaitable[None],
        ],
        workers: int = 2,
    ) -> list[str]:
        """Run a scenario with one node; return the workers it blamed."""
        blamed: list[str] = []
        record = fleetworkers.Worker.record_failed_call

        def record_blamed(worker: fleetworkers.Worker, now: float) -> None:
            blamed.append(worker.id)
            record(worker, now)

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, workers)
            node = world.add_node('entry-1')
            await asyncio.sleep(1.0)
            await scenario(world, virtual, node)
            await world.close()

        with mock.patch.object(
            fleetworkers.Worker, 'record_failed_call', record_blamed
        ):
            virtualtime.run(run_all)
        return blamed

    def test_a_probe_that_times_out_late_blames_no_worker(self) -> None:
        """Guards against a paused holder that finds a whole zone silent."""

        async def scenario(
            world: fleetbuilders.World,
            virtual: virtualtime.VirtualClock,
            node: fleetbuilders.TestNode,
        ) -> None:
            step = fleetbuilders.build_step(1, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(1.0)
            poll_runs = world.fleet.poll_runs
            silent = world.find_busy_worker()
            probed = 0

            async def probe_in_a_pause(*arguments: typing.Any) -> typing.Any:
                nonlocal probed
                if arguments[0] == silent.entry.id or probed:
                    return await poll_runs(*arguments)
                probed += 1
                virtual.now += 1.0
                return result.Err(orders.Unanswered('no answer'))

            with mock.patch.object(world.fleet, 'poll_runs', probe_in_a_pause):
                silent.is_partitioned = True
                await asyncio.sleep(5.0)
            self.assertEqual(1, probed)
            self.assertEqual(1, node.counters.counts_by_name['late_polls'])

        self.assertEqual({'w0'}, set(self.run_with(scenario)))

    def test_a_call_that_is_not_sent_in_a_pause_blames_no_worker(self) -> None:
        """Guards against a connection that was ready and not noticed."""

        async def scenario(
            world: fleetbuilders.World,
            virtual: virtualtime.VirtualClock,
            node: fleetbuilders.TestNode,
        ) -> None:
            calls = 0
            call = getattr(world.fleet, name)

            async def call_in_a_pause(*arguments: typing.Any) -> typing.Any:
                nonlocal calls
                calls += 1
                if calls > 1:
                    return await call(*arguments)
                virtual.now += pause_s
                return result.Err(orders.NotSent('not connected'))

            with mock.patch.object(world.fleet, name, call_in_a_pause):
                world.submit(
                    fleetbuilders.build_graph(
                        'j', fleetbuilders.build_step(1, 8, 60_000)
                    )
                )
                await asyncio.sleep(8.0)
                world.cancel('j')
                await asyncio.sleep(4.0)
            self.assertGreater(calls, 1)
            self.assertEqual(1, world.fleet.starts)

        for name, pause_s in (('start', 1.0), ('stop', 1.0), ('poll_runs', 4)):
            with self.subTest(name=name):
                self.assertEqual([], self.run_with(scenario))

    def test_a_saturated_process_blames_no_worker(self) -> None:
        """Guards against time-outs of a process that is busy all the time.

        Each iteration of its event loop takes 0.1 s, so that nothing is
        noticed 0.3 s late, and an exchange takes twelve iterations.
        """

        async def scenario(
            world: fleetbuilders.World,
            virtual: virtualtime.VirtualClock,
            node: fleetbuilders.TestNode,
        ) -> None:
            poll_runs = world.fleet.poll_runs

            async def poll_in_iterations(*arguments: typing.Any) -> typing.Any:
                wait_s, timeout_s = arguments[-2:]
                try:
                    async with asyncio.timeout(wait_s + timeout_s):
                        for _ in range(12):
                            await asyncio.sleep(0)
                        return await poll_runs(*arguments)
                except TimeoutError:
                    return result.Err(orders.Unanswered('no answer'))

            async def keep_busy() -> None:
                while True:
                    virtual.now += 0.1
                    await asyncio.sleep(0)

            step = fleetbuilders.build_step(1, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(1.0)
            with mock.patch.object(
                world.fleet, 'poll_runs', poll_in_iterations
            ):
                busy = asyncio.create_task(keep_busy())
                # Run reports are due, without a wait.
                session = node.holder._session
                assert session is not None
                for worker in session._board.workers_by_id.values():
                    worker.polled_at = float('-inf')
                await asyncio.sleep(10.0)
                await waits.cancel_tasks([busy])

        self.assertEqual([], self.run_with(scenario))

    def test_a_worker_that_answers_another_order_is_not_silent(self) -> None:
        """Guards against one lost answer that holds up a whole worker.

        While a stop waits for its answer, a start is answered.
        """

        async def scenario(
            world: fleetbuilders.World,
            virtual: virtualtime.VirtualClock,
            node: fleetbuilders.TestNode,
        ) -> None:
            step = fleetbuilders.build_step(1, 4, 60_000)
            world.submit(fleetbuilders.build_graph('a', step))
            # A long poll is open from then on, and tells nothing for 1 s.
            await asyncio.sleep(1.0)
            stop = world.fleet.stop

            async def lose_answer(*arguments: typing.Any) -> typing.Any:
                await stop(*arguments)
                await asyncio.sleep(arguments[-1])
                return result.Err(orders.Unanswered('no answer'))

            world.fleet.stop_delay_s = 0.6
            with mock.patch.object(world.fleet, 'stop', lose_answer):
                world.cancel('a')
                await asyncio.sleep(0.02)
                world.submit(fleetbuilders.build_graph('b', step))
                await asyncio.sleep(0.5)
            self.assertEqual(2, world.fleet.starts)

        self.assertEqual([], self.run_with(scenario, 1))


if __name__ == '__main__':
    unittest.main()
