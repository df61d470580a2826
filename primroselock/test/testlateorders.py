"""Orders to a worker that may be carried out after later answers.

An answer to one of several orders of a run proves nothing about the others.
"""

import asyncio
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import fakefleet
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_LONG_MS: typing.Final = 60_000
_ANSWER_DELAY_S: typing.Final = 0.6
_SLOW_ORDERS_TEXT: typing.Final = """
[fleet]
order_timeout_s = 0.8
look_timeout_s = 0.2
"""
_LEASE_S: typing.Final = 2.0
_REPORT_DELAY_S: typing.Final = 0.3
_MAX_ORDERS: typing.Final = 3
_BEGINS_BEFORE_END_S: typing.Final = 0.05

_Answer = result.Result[orders.Accepted, orders.OrderError]


class RepeatedStartTest(unittest.TestCase):
    """A start is sent again since the first order was not answered."""

    def test_the_latest_time_to_begin_counts(self) -> None:
        """Guards against two runs of a task whose first order is carried out.

        The last order is sent after a report that was received late, so
        that the worker's clock seems to be behind: it must begin earlier
        than the orders before, which may still be carried out.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            sent: list[orders.Start] = []
            poll = world.fleet.poll_runs

            async def start(
                worker_id: str,
                address: str,
                order: orders.Start,
                timeout_s: float,
            ) -> result.Result[orders.Accepted, orders.OrderError]:
                sent.append(order)
                await asyncio.sleep(timeout_s)
                return result.Err(orders.Unanswered('no answer'))

            async def answer_no_stop(
                worker_id: str,
                address: str,
                run: orders.Run,
                epoch: int,
                timeout_s: float,
            ) -> result.Result[orders.Accepted, orders.OrderError]:
                await asyncio.sleep(timeout_s)
                return result.Err(orders.Unanswered('no answer'))

            async def poll_late(
                *arguments: typing.Any,
            ) -> result.Result[orders.RunReport, orders.OrderError]:
                answer = await poll(*arguments)
                await asyncio.sleep(_REPORT_DELAY_S)
                return answer

            with mock.patch.object(world.fleet, 'start', start):
                step = fleetbuilders.build_step(1, 1, _LONG_MS)
                world.submit(fleetbuilders.build_graph('j', step))
                while not sent:
                    await asyncio.sleep(0.01)
                # Without a renewal of the shard's lease the runs' leases
                # are not extended any more.
                world.nodes[0].connectivity.is_unresponsive = True
                with mock.patch.object(world.fleet, 'poll_runs', poll_late):
                    while len(sent) < _MAX_ORDERS:
                        await asyncio.sleep(0.01)
            world.nodes[0].connectivity.is_unresponsive = False
            first = max(sent, key=lambda order: order.lease_until)
            self.assertLess(sent[-1].lease_until, first.lease_until)
            worker = world.fleet.workers_by_id['w0']
            with mock.patch.object(world.fleet, 'stop', answer_no_stop):
                begins_at = first.lease_until - _BEGINS_BEFORE_END_S
                await asyncio.sleep(begins_at - clock.monotonic())
                now = clock.monotonic()
                world.fleet._execute_start(worker, first, now)
                await asyncio.sleep(1.0)
            self.assertEqual([], world.fleet.violations)

        fleetbuilders.run_with_node(scenario, workers=1)


class EarlierBootTest(unittest.TestCase):
    """An answer of an earlier boot arrives after the next one was polled."""

    def check(self, answer: _Answer) -> None:
        """Let the second order be answered late, and the worker restart.

        The first order is under way meanwhile, and reaches the next boot.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            start = world.fleet.start

            async def start_and_crash(
                *arguments: typing.Any,
            ) -> _Answer:
                if worker.boot > 1 or worker.delayed_order_share:
                    return await start(*arguments)
                world.add_worker(fleetbuilders.build_entry('w9'))
                world.fleet.crash(worker)
                world.restart_worker(worker)
                await asyncio.sleep(_ANSWER_DELAY_S)
                return answer

            worker.delayed_order_share = 1.0
            with mock.patch.object(world.fleet, 'start', start_and_crash):
                step = fleetbuilders.build_step(1, 1, _LONG_MS)
                world.submit(fleetbuilders.build_graph('j', step))
                await asyncio.sleep(0.2)
                worker.delayed_order_share = 0.0
                await asyncio.sleep(20.0)
            self.assertEqual(2, worker.boot)
            self.assertEqual([], world.fleet.violations)
            workers = world.fleet.workers_by_id.values()
            self.assertEqual(1, sum(len(other.runs) for other in workers))

        async def run(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(seed, 1)
            world.add_node('entry-1', _SLOW_ORDERS_TEXT)
            await scenario(world)
            await world.close()

        for seed in range(6):
            virtualtime.run(run)

    def test_an_accepted_start(self) -> None:
        """Guards against two runs of a task that the boot before accepted."""
        self.check(result.Ok(orders.Accepted(0.0)))

    def test_a_start_of_a_stopped_run(self) -> None:
        """Guards against two runs of a task that the boot before refused."""
        refused = orders.Refused(orders.Refusal.SUPERSEDED)
        self.check(result.Err(refused))

    def test_a_refused_start(self) -> None:
        """Guards against two runs of a task that had no room before."""
        self.check(result.Err(orders.Refused(orders.Refusal.NO_CAPACITY)))


class ConfirmedEndTest(unittest.TestCase):
    """When the fake workers call a start after an end a violation.

    An end is taken note of if it is confirmed before the worker's lease has
    lapsed; work whose end nobody could know of in time may be done again.
    """

    def count_violations(self, wait_s: float) -> int:
        """Confirm an end after ``wait_s``; start the task again."""

        async def run(virtual: virtualtime.VirtualClock) -> int:
            fleet = fakefleet.FakeFleet()
            worker = fleet.add(fleetbuilders.build_entry('w0'))
            fleet.graphs_by_id['j'] = fleetbuilders.build_graph('j')
            fleet.services_by_queue['bulk'] = {'svc'}
            task = jobgraph.TaskName('j', 0, 0, 0)
            until = clock.monotonic() + _LEASE_S
            first = orders.Start(orders.Run(task, 1), '', until, 1)
            fleet._execute_start(worker, first, clock.monotonic())
            fleet._end(worker, worker.runs[first.run])
            await asyncio.sleep(wait_s)
            lease_until = clock.monotonic() + _LEASE_S
            for confirmed in (0, 1):
                await fleet.poll_runs(
                    'w0',
                    worker.entry.address,
                    1,
                    confirmed,
                    lease_until,
                    0.0,
                    1.0,
                )
            again = orders.Start(orders.Run(task, 2), '', lease_until, 1)
            fleet._execute_start(worker, again, clock.monotonic())
            return len(fleet.violations)

        return virtualtime.run(run)

    def test_a_start_after_a_confirmed_end(self) -> None:
        """Guards against a check that misses work done twice."""
        self.assertEqual(1, self.count_violations(_LEASE_S / 2))

    def test_a_start_after_a_lapsed_lease(self) -> None:
        """Guards against a violation where the rule sees none."""
        self.assertEqual(0, self.count_violations(_LEASE_S * 2))


if __name__ == '__main__':
    unittest.main()
