"""Complete nodes on fakes, in virtual time: the course of jobs.

Covers jobs, unresponsive workers and the retention of rows.
"""

import asyncio
import dataclasses
import typing
import unittest

import result

from primroselock import clock
from primroselock import intake
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

run_scenario: typing.Final = fleetbuilders.run_with_node


async def fill_worker(
    world: fleetbuilders.World, run_ms: int
) -> simulatedworker.FakeWorker:
    """Run a job ``j1`` that fills one worker; return that worker."""
    step = fleetbuilders.build_step(1, 8, run_ms)
    world.submit(fleetbuilders.build_graph('j1', step))
    await asyncio.sleep(1.0)
    return world.find_busy_worker()


class JobTest(unittest.TestCase):
    """Jobs run, wait, end and are cancelled as specified."""

    def test_a_job_is_done_soon(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            world.submit(fleetbuilders.build_graph('j1'))
            took_s = await world.wait_for('j1', 'done', 5.0)
            self.assertLess(took_s, 1.2)

        run_scenario(scenario)

    def test_steps_run_in_order(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            graph = fleetbuilders.build_graph(
                'j1',
                fleetbuilders.build_step(3),
                fleetbuilders.build_step(2, after=(0,)),
                fleetbuilders.build_step(4, gang=True, after=(0, 1)),
            )
            world.submit(graph)
            took_s = await world.wait_for('j1', 'done', 10.0)
            self.assertGreater(took_s, 3.0)
            self.assertEqual(9, world.fleet.starts)

        run_scenario(scenario)

    def test_occurrences_wait_for_their_time(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            graph = fleetbuilders.build_graph(
                'j1',
                occurrences=3,
                first_due_ms=int(clock.wall() * 1000) + 2000,
                period_ms=2000,
            )
            world.submit(graph)
            await asyncio.sleep(1.9)
            self.assertEqual(0, world.fleet.starts)
            took_s = await world.wait_for('j1', 'done', 10.0)
            self.assertGreater(took_s, 5.0 - 1.9)

        run_scenario(scenario)

    def test_a_cancelled_job_is_stopped(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(4, expected_ms=30_000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.0)
            world.cancel('j1')
            await world.wait_for('j1', 'cancelled', 1.0)
            await asyncio.sleep(0.5)
            running = [w.runs for w in world.fleet.workers_by_id.values()]
            self.assertFalse(any(running))

        run_scenario(scenario)

    def test_a_job_that_always_fails_ends_failed(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            for worker in world.fleet.workers_by_id.values():
                worker.fails_all = True
            world.submit(fleetbuilders.build_graph('j1'))
            await world.wait_for('j1', 'failed', 20.0)
            failures = max(world.fleet.record.failures_by_task.values())
            self.assertEqual(fleetbuilders.BULK.max_attempts, failures)

        run_scenario(scenario)

    def test_an_advised_queue_uses_the_workers_that_may_run_it(self) -> None:
        """Nothing of an advised queue starts without an answer of the service.

        Each start carries the ticket of its worker.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.advice_client.is_unresponsive = True
            step = fleetbuilders.build_step(3)
            graph = fleetbuilders.build_graph('j1', step, queue='advised')
            world.submit(graph)
            await asyncio.sleep(2.0)
            self.assertEqual(0, world.fleet.starts)
            world.fleet.advice_client.is_unresponsive = False
            world.fleet.advice_client.approved_worker_ids = {'w2'}
            await world.wait_for('j1', 'done', 5.0)
            self.assertEqual(['t-w2'] * 3, world.fleet.tickets)

        run_scenario(scenario)

    def test_nothing_starts_in_a_zone_out_of_service(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(0.5)
            world.nodes[0].set_queue_configuration(
                dataclasses.replace(
                    fleetbuilders.QUEUE_CONFIGURATION,
                    zones_out_of_service=frozenset({'a'}),
                )
            )
            world.submit(fleetbuilders.build_graph('j1'))
            await asyncio.sleep(3.0)
            self.assertEqual(0, world.fleet.starts)

        run_scenario(scenario)

    def test_nothing_starts_on_an_old_configuration(self) -> None:
        """Guards against starts in a zone that was taken out of service."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(0.5)
            world.nodes[0].configuration_age_s = 3.0
            world.submit(fleetbuilders.build_graph('j1'))
            await asyncio.sleep(2.0)
            self.assertEqual(0, world.fleet.starts)
            world.nodes[0].configuration_age_s = 0.0
            await world.wait_for('j1', 'done', 3.0)

        run_scenario(scenario)


class RetentionTest(unittest.TestCase):
    """Rows of jobs are deleted after the retention period."""

    def test_old_rows_are_removed_and_the_rest_stays(self) -> None:
        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World()
            node = world.add_node('entry-1', '[fleet]\nkeep_ended_s = 5\n')
            await asyncio.sleep(1.0)
            world.submit(fleetbuilders.build_graph('old'))
            await asyncio.sleep(9.0)
            access = intake.Access(fleetbuilders.BULK, 'signs')
            step = fleetbuilders.build_step(expected_ms=30_000)
            world.submit(fleetbuilders.build_graph('new', step))
            await asyncio.sleep(6.0)
            rows = list(world.store.inner.rows)
            self.assertFalse([key for key in rows if 'old' in key])
            self.assertTrue([key for key in rows if 'new' in key])
            deleted = await node.intake.state(
                access, 'old', clock.monotonic() + 1.0
            )
            self.assertIsInstance(deleted, result.Err)
            await world.close()

        virtualtime.run(run_all)


class WorkerTest(unittest.TestCase):
    """Workers that are partitioned, crash, restart or answer late."""

    def test_an_unresponsive_worker_loses_its_work_after_its_lease(
        self,
    ) -> None:
        """Guards against unanswered polls that extend the lease."""

        async def scenario(world: fleetbuilders.World) -> None:
            busy = await fill_worker(world, 3000)
            world.fleet.crash(busy)
            took_s = await world.wait_for('j1', 'done', 16.0)
            self.assertGreater(took_s, 9.0)

        run_scenario(scenario)

    def test_runs_of_a_partitioned_worker_continue_and_are_adopted(
        self,
    ) -> None:
        """A partition shorter than the lease of the runs loses no work."""

        async def scenario(world: fleetbuilders.World) -> None:
            busy = await fill_worker(world, 6000)
            busy.is_partitioned = True
            await asyncio.sleep(5.5)
            busy.is_partitioned = False
            await world.wait_for('j1', 'done', 3.0)
            self.assertEqual(1, world.fleet.starts)

        run_scenario(scenario)

    def test_a_restarted_worker_has_lost_its_runs(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            busy = await fill_worker(world, 3000)
            world.fleet.crash(busy)
            await asyncio.sleep(0.5)
            world.fleet.restart(busy)
            await world.wait_for('j1', 'done', 8.0)

        run_scenario(scenario)

    def test_ends_after_a_restart_are_not_confirmed_unreported(self) -> None:
        """Guards against confirming ends that were not reported.

        The end numbers of a worker start again at 1 when it restarts, so
        that a number of its previous incarnation covers unreported ends.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(0.5)
            worker = world.fleet.workers_by_id['w0']
            for number in range(3):
                world.submit(fleetbuilders.build_graph(f'j{number}'))
            await world.wait_for('j2', 'done', 3.0)
            await asyncio.sleep(0.5)
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            step = fleetbuilders.build_step(3, expected_ms=1)
            world.submit(fleetbuilders.build_graph('j9', step))
            await world.wait_for('j9', 'done', 5.0)
            self.assertEqual(6, world.fleet.starts)

        run_scenario(scenario, workers=1)

    def test_work_moves_off_a_worker_that_stops_too_soon(self) -> None:
        """The worker shuts down in 2 s, and the run would need 7 s more.

        It is stopped at once and restarted elsewhere.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            busy = await fill_worker(world, 8000)
            world.write_entry(
                dataclasses.replace(
                    busy.entry, is_draining=True, remaining_s=2.0
                )
            )
            await asyncio.sleep(2.0)
            self.assertFalse(busy.runs)
            world.fleet.crash(busy)
            await world.wait_for('j1', 'done', 8.5)

        run_scenario(scenario)

    def test_orders_executed_late_do_no_harm(self) -> None:
        """Guards against a second run of a task whose start timed out.

        The worker executes the start later, after the task was placed
        elsewhere.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            for worker in world.fleet.workers_by_id.values():
                worker.delayed_order_share = 0.3
            for number in range(12):
                step = fleetbuilders.build_step(
                    2, 2, 800, gang=bool(number % 2)
                )
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
            await asyncio.sleep(30.0)
            for worker in world.fleet.workers_by_id.values():
                worker.delayed_order_share = 0.0
            for number in range(12):
                await world.wait_for(f'j{number}', 'done', 30.0)

        for seed in range(5):
            with self.subTest(seed=seed):
                run_scenario(scenario, seed)
