"""Complete nodes on fakes, in virtual time.

Covers the course of jobs, takeovers, unresponsive workers and the intake.
"""

import asyncio
from collections import abc
import dataclasses
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import intake
from primroselock.store import table
from primroselock.test import fakestore
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

Scenario = abc.Callable[[fleetbuilders.World], abc.Coroutine[None, None, None]]


def run_scenario(scenario: Scenario, seed: int = 0, workers: int = 4) -> None:
    """Run a scenario with one node; fail if a violation was recorded."""

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = fleetbuilders.World(seed, workers)
        world.add_node('entry-1')
        await scenario(world)
        await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])

    virtualtime.run(run_all)


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
            failures = max(world.fleet.failures_by_task.values())
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
            step = fleetbuilders.build_step(1, 8, 3000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.0)
            busy = world.find_busy_worker()
            world.fleet.crash(busy)
            took_s = await world.wait_for('j1', 'done', 16.0)
            self.assertGreater(took_s, 9.0)

        run_scenario(scenario)

    def test_runs_of_a_partitioned_worker_continue_and_are_adopted(
        self,
    ) -> None:
        """A partition shorter than the lease of the runs loses no work."""

        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(1, 8, 6000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.0)
            busy = world.find_busy_worker()
            busy.is_partitioned = True
            await asyncio.sleep(5.5)
            busy.is_partitioned = False
            await world.wait_for('j1', 'done', 3.0)
            self.assertEqual(1, world.fleet.starts)

        run_scenario(scenario)

    def test_a_restarted_worker_has_lost_its_runs(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(1, 8, 3000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.0)
            busy = world.find_busy_worker()
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
            step = fleetbuilders.build_step(1, 8, 8000)
            world.submit(fleetbuilders.build_graph('j1', step))
            await asyncio.sleep(1.0)
            busy = world.find_busy_worker()
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


class IntakeTest(unittest.TestCase):
    """The intake accepts or refuses jobs and reports their states."""

    def test_the_same_id_is_one_job(self) -> None:
        """A repeated submit is accepted, also later, and adds no run."""

        async def scenario(world: fleetbuilders.World) -> None:
            other = world.add_node('entry-2')
            graph = fleetbuilders.build_graph('j1')
            world.fleet.graphs_by_id['j1'] = graph
            access = intake.Access(fleetbuilders.BULK, 'signs')
            deadline = clock.monotonic() + 2.0
            answers = await asyncio.gather(
                *(
                    node.intake.submit(access, graph, deadline)
                    for node in (world.nodes[0], other, other)
                )
            )
            self.assertTrue(all(isinstance(a, result.Ok) for a in answers))
            await world.wait_for('j1', 'done', 5.0)
            late = await other.intake.submit(access, graph, deadline + 9)
            self.assertIsInstance(late, result.Ok)
            await asyncio.sleep(2.0)
            self.assertEqual(1, world.fleet.starts)

        run_scenario(scenario)

    def test_a_refusal_means_that_nothing_was_stored(self) -> None:
        """Guards against a job that is refused and runs nevertheless.

        Only an unknown outcome leaves it open whether the job was stored.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            node = world.nodes[0]
            access = intake.Access(fleetbuilders.BULK, 'signs')
            await asyncio.sleep(1.0)
            for fault in fakestore.Fault:
                graph = fleetbuilders.build_graph(f'j-{fault.name}')
                node.connectivity.faults = [fault]
                answer = await node.intake.submit(
                    access, graph, clock.monotonic() + 2.0
                )
                if isinstance(answer, result.Ok):
                    continue
                world.store.apply_late()
                stored = any(graph.id in key for key in world.store.inner.rows)
                if (
                    answer.err_value.why
                    is not intake.RefusalReason.OUTCOME_UNKNOWN
                ):
                    self.assertFalse(stored, fault)

        async def without_starts(world: fleetbuilders.World) -> None:
            world.nodes[0].configuration_age_s = 99.0
            await scenario(world)

        run_scenario(without_starts)

    def test_a_submit_is_abandoned_soon_if_the_store_does_not_answer(
        self,
    ) -> None:
        """Guards against retrying a commit until the caller's deadline.

        The caller must have time left for a request to another node.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            node = world.nodes[0]
            access = intake.Access(fleetbuilders.BULK, 'signs')
            await asyncio.sleep(1.0)
            node.connectivity.is_unresponsive = True
            started = clock.monotonic()
            graph = fleetbuilders.build_graph('j1')
            answer = await node.intake.submit(access, graph, started + 3.0)
            assert isinstance(answer, result.Err)
            self.assertIs(
                intake.RefusalReason.OUTCOME_UNKNOWN, answer.err_value.why
            )
            self.assertLess(clock.monotonic() - started, 1.5)
            node.configuration_age_s = 2.0
            started = clock.monotonic()
            answer = await node.intake.submit(access, graph, started + 3.0)
            assert isinstance(answer, result.Err)
            self.assertIs(
                intake.RefusalReason.STORE_UNAVAILABLE, answer.err_value.why
            )
            self.assertLess(clock.monotonic() - started, 0.01)

        run_scenario(scenario)

    def test_requests_are_refused_on_a_stale_configuration(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            node = world.nodes[0]
            now = clock.monotonic()
            self.assertIsInstance(
                node.intake.admit('host', '/bulk/x', 'k1', now), result.Ok
            )
            node.configuration_age_s = 3.5
            refused = node.intake.admit('host', '/bulk/x', 'k1', now)
            assert isinstance(refused, result.Err)
            self.assertIs(intake.RefusalReason.STALE, refused.err_value.why)
            self.assertFalse(node.intake.is_ready(now))

        run_scenario(scenario)

    def test_queue_and_key_are_looked_up(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            admit = world.nodes[0].intake.admit
            now = clock.monotonic()
            cases = {
                ('other', '/bulk/x', 'k1'): intake.RefusalReason.UNKNOWN_QUEUE,
                (
                    'host',
                    '/nothing/x',
                    'k1',
                ): intake.RefusalReason.UNKNOWN_QUEUE,
                ('host', '/bulk/x', 'wrong'): intake.RefusalReason.UNKNOWN_KEY,
            }
            for (host, path, key), why in cases.items():
                refused = admit(host, path, key, now)
                assert isinstance(refused, result.Err)
                self.assertIs(why, refused.err_value.why)

        run_scenario(scenario)

    def test_a_burst_is_stored_in_transactions_that_the_store_takes(
        self,
    ) -> None:
        """A transaction has at most 100 entries: conditions and puts."""

        async def scenario(world: fleetbuilders.World) -> None:
            node = world.nodes[0]
            access = intake.Access(fleetbuilders.BULK, 'signs')
            sizes = []
            transact = node.client.transact

            async def record_size(
                transaction: table.Transaction,
            ) -> result.Result[table.Committed, table.TransactError]:
                sizes.append(
                    len(transaction.conditions) + len(transaction.puts)
                )
                return await transact(transaction)

            deadline = clock.monotonic() + 3.0
            with mock.patch.object(
                node.client,
                'transact',
                autospec=True,
                side_effect=record_size,
            ):
                answers = await asyncio.gather(
                    *(
                        node.intake.submit(
                            access,
                            fleetbuilders.build_graph(f'j{number}'),
                            deadline,
                        )
                        for number in range(120)
                    )
                )
            self.assertTrue(all(a == result.Ok(None) for a in answers))
            self.assertLessEqual(max(sizes), 100)

        run_scenario(scenario)

    def test_states_and_waiting_jobs_are_reported(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            node = world.nodes[0]
            access = intake.Access(fleetbuilders.BULK, 'signs')
            big = fleetbuilders.build_step(4, 8, 3000)
            world.submit(fleetbuilders.build_graph('j1', big))
            world.submit(fleetbuilders.build_graph('j2', big))
            await asyncio.sleep(1.5)
            now = clock.monotonic()
            self.assertEqual(
                1, node.intake.count_waiting(access, now).unwrap()
            )
            state = (await node.intake.state(access, 'j1', now + 1.0)).unwrap()
            self.assertEqual('running', state.value)
            unknown = await node.intake.state(access, 'j9', now + 1.0)
            assert isinstance(unknown, result.Err)
            self.assertIs(
                intake.RefusalReason.UNKNOWN_JOB, unknown.err_value.why
            )
            foreign = intake.Access(fleetbuilders.BULK, 'merch')
            hidden = await node.intake.state(foreign, 'j1', now + 1.0)
            self.assertIsInstance(hidden, result.Err)

        run_scenario(scenario)
