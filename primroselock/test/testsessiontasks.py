"""Tasks beside the loops of a holder: none is lost, none outlives it."""

import asyncio
import typing
import unittest
from unittest import mock

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import runs
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders


class SessionTasksTest(unittest.TestCase):
    """Polls of a session whose answers fail, or that outlive it."""

    def test_a_report_that_cannot_be_applied_holds_up_no_job(self) -> None:
        """Guards against a worker whose runs never end, without a log line.

        The run's lease expires, and it is placed elsewhere.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 2)
            world.add_node('entry-1')
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(1, 8)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(0.5)
            bad_id = world.find_busy_worker().entry.id
            record_poll = runs.record_poll

            def fail_for_ends(
                board: fleet.ShardBoard,
                worker: fleetworkers.Worker,
                report: orders.RunReport,
                *times: typing.Any,
            ) -> None:
                if worker.id == bad_id and report.ended:
                    raise ValueError('bad report')
                record_poll(board, worker, report, *times)

            with mock.patch.object(runs, 'record_poll', fail_for_ends):
                await world.wait_for('j', 'done', 30.0)
            await world.close()

        virtualtime.run(run_all)

    def test_a_start_that_waits_for_a_probe_begins_no_other(self) -> None:
        """Guards against polls of a session that has ended.

        The worker's long poll is open, and its probe is not answered.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 1)
            node = world.add_node('entry-1')
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(1, 1, 60_000)
            world.submit(fleetbuilders.build_graph('first', step))
            await world.wait_for('first', 'running', 2.0)
            poll_runs = world.fleet.poll_runs
            epochs: list[int] = []

            async def hang_probes(*arguments: typing.Any) -> typing.Any:
                epochs.append(arguments[2])
                if not arguments[5]:
                    await asyncio.sleep(60.0)
                return await poll_runs(*arguments)

            await asyncio.sleep(1.5)
            with mock.patch.object(world.fleet, 'poll_runs', hang_probes):
                world.submit(fleetbuilders.build_graph('j', step))
                while not epochs:
                    await asyncio.sleep(0.005)
                node.holder.lease.drop('the test ends the session')
                epochs.clear()
                await asyncio.sleep(3.0)
            self.assertNotIn(1, epochs)
            await world.close()

        virtualtime.run(run_all)

    def test_a_poll_of_an_earlier_session_does_not_end_the_next(self) -> None:
        """Guards against a task that swallows its cancellation.

        Its poll is refused for its old epoch, and the lease of the session
        of that time is long lost.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 2)
            node = world.add_node('entry-1')
            await asyncio.sleep(1.0)
            poll_runs = world.fleet.poll_runs
            swallowed = 0

            async def swallow_once(*arguments: typing.Any) -> typing.Any:
                nonlocal swallowed
                try:
                    return await poll_runs(*arguments)
                except asyncio.CancelledError:
                    swallowed += 1
                    if swallowed > 1:
                        raise
                    return await poll_runs(*arguments)

            with mock.patch.object(world.fleet, 'poll_runs', swallow_once):
                step = fleetbuilders.build_step(1, 8, 60_000)
                world.submit(fleetbuilders.build_graph('j', step))
                await asyncio.sleep(1.5)
                node.holder.lease.drop('the test ends the session')
                await asyncio.sleep(10.0)
            self.assertGreater(swallowed, 0)
            self.assertTrue(node.holder.lease.has_shard)
            self.assertEqual(2, node.holder.lease.epoch)
            self.assertEqual([], world.fleet.violations)
            await world.close()

        virtualtime.run(run_all)


if __name__ == '__main__':
    unittest.main()
