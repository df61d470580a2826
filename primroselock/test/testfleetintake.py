"""Complete nodes on fakes, in virtual time: the intake of jobs."""

import asyncio
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import intake
from primroselock import refusals
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fakestore
from primroselock.test import fleetbuilders

run_scenario: typing.Final = fleetbuilders.run_with_node


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

    def test_calls_while_a_newer_version_is_on_its_way(self) -> None:
        """Guards against calls served by a version known to be outdated.

        The permit is shorter then: the bound on changes, not on outages.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            front = world.nodes[0].intake
            now = clock.monotonic()
            kinds = tablefollower.Incoming
            incoming = kinds.NONE
            front.set_queue_configuration(
                fleetbuilders.QUEUE_CONFIGURATION,
                lambda: confirmed_at,
                lambda: incoming,
            )
            for incoming, age_s, is_admitted, is_ready in (
                (kinds.NONE, 3.2, True, False),
                (kinds.RECEIVING, 3.2, False, False),
                (kinds.RECEIVING, 2.9, True, True),
                (kinds.KNOWN, 3.2, False, False),
                (kinds.KNOWN, 2.9, True, False),
                (kinds.NONE, 3.5, False, False),
            ):
                confirmed_at = now - age_s
                self.assertEqual(is_ready, front.is_ready(now))
                admitted = front.admit('host', '/bulk/j', 'k1', now)
                self.assertEqual(is_admitted, admitted.is_ok())
                if isinstance(admitted, result.Err):
                    refused = admitted.err_value
                    self.assertIs(refusals.Reason.STALE, refused.why)
                    told = 'on its way' in refused.detail
                    self.assertEqual(incoming is not kinds.NONE, told)
            for incoming, is_accepted in (
                (kinds.NONE, False),
                (kinds.KNOWN, False),
                (kinds.RECEIVING, True),
            ):
                confirmed_at = clock.monotonic() - 2.5
                submitted = await front.submit(
                    intake.Access(fleetbuilders.BULK, 'signs'),
                    fleetbuilders.build_graph('j'),
                    clock.monotonic() + 1.0,
                )
                self.assertEqual(is_accepted, submitted.is_ok())

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
                if answer.err_value.why is not refusals.Reason.OUTCOME_UNKNOWN:
                    self.assertFalse(stored, fault)

        async def without_starts(world: fleetbuilders.World) -> None:
            world.nodes[0].configuration_age_s = 99.0
            await scenario(world)

        run_scenario(without_starts)

    def test_a_refusal_does_not_hide_an_earlier_unknown_outcome(self) -> None:
        """Guards against a job that runs though its last answer was a refusal.

        The first submission may be stored later, whatever becomes of the
        next ones.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            # A standby: nothing but its submissions uses up the faults.
            node = world.add_node('entry-2')
            access = intake.Access(fleetbuilders.BULK, 'signs')
            graph = fleetbuilders.build_graph('j1')
            fault = fakestore.Fault
            await asyncio.sleep(1.0)

            async def submit(job_id: str) -> refusals.Reason | None:
                answer = await node.intake.submit(
                    access,
                    fleetbuilders.build_graph(job_id),
                    clock.monotonic() + 2.0,
                )
                if isinstance(answer, result.Ok):
                    return None
                return answer.err_value.why

            unknown = refusals.Reason.OUTCOME_UNKNOWN
            unavailable = refusals.Reason.STORE_UNAVAILABLE
            node.connectivity.faults = [fault.LATE] + [fault.UNAVAILABLE] * 3
            self.assertIs(unknown, await submit('j1'))
            node.connectivity.faults = [fault.UNAVAILABLE] * 2
            self.assertIs(unknown, await submit('j1'))
            self.assertIs(unavailable, await submit('other'))
            node.configuration_age_s = 2.0
            self.assertIs(unknown, await submit('j1'))
            stale = refusals.Refused(refusals.Reason.STALE, '', 1.0)
            self.assertIs(
                unknown, node.intake.qualify_refusal('j1', stale).why
            )
            node.configuration_age_s = 0.0
            world.fleet.graphs_by_id['j1'] = graph
            world.store.apply_late()
            self.assertIsNone(await submit('j1'))
            self.assertIs(stale, node.intake.qualify_refusal('j1', stale))
            await world.wait_for('j1', 'done', 5.0)

        run_scenario(scenario)

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
                refusals.Reason.OUTCOME_UNKNOWN, answer.err_value.why
            )
            self.assertLess(clock.monotonic() - started, 1.5)
            node.configuration_age_s = 2.0
            # What became of the first submission stays unknown.
            for job_id, why in (
                ('j1', refusals.Reason.OUTCOME_UNKNOWN),
                ('j2', refusals.Reason.STORE_UNAVAILABLE),
            ):
                started = clock.monotonic()
                graph = fleetbuilders.build_graph(job_id)
                answer = await node.intake.submit(access, graph, started + 3.0)
                assert isinstance(answer, result.Err)
                self.assertIs(why, answer.err_value.why)
                self.assertLess(clock.monotonic() - started, 0.01)

        run_scenario(scenario)

    def test_a_repeated_submit_is_answered_by_the_deadline(self) -> None:
        """The read of the stored job went on past the caller's deadline."""

        async def scenario(world: fleetbuilders.World) -> None:
            other = world.add_node('entry-2')
            access = intake.Access(fleetbuilders.BULK, 'signs')
            await asyncio.sleep(1.0)
            graph = fleetbuilders.build_graph('j1')
            world.submit(graph)
            deadline = clock.monotonic() + 0.5

            async def read_late(keys: typing.Any) -> typing.Any:
                await asyncio.sleep(9.0)
                return result.Err(table.Unavailable('late'))

            with mock.patch.object(other.client, 'read', read_late):
                answer = await other.intake.submit(access, graph, deadline)
            assert isinstance(answer, result.Err)
            self.assertIs(
                refusals.Reason.OUTCOME_UNKNOWN, answer.err_value.why
            )
            self.assertLess(clock.monotonic(), deadline + 0.1)

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
            self.assertIs(refusals.Reason.STALE, refused.err_value.why)
            self.assertFalse(node.intake.is_ready(now))

        run_scenario(scenario)

    def test_queue_and_key_are_looked_up(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            admit = world.nodes[0].intake.admit
            now = clock.monotonic()
            cases = {
                (
                    'other',
                    '/bulk/x',
                    'k1',
                ): refusals.Reason.UNKNOWN_QUEUE,
                (
                    'host',
                    '/nothing/x',
                    'k1',
                ): refusals.Reason.UNKNOWN_QUEUE,
                (
                    'host',
                    '/bulk/x',
                    'wrong',
                ): refusals.Reason.UNKNOWN_KEY,
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
            self.assertIs(refusals.Reason.UNKNOWN_JOB, unknown.err_value.why)
            foreign = intake.Access(fleetbuilders.BULK, 'merch')
            hidden = await node.intake.state(foreign, 'j1', now + 1.0)
            self.assertIsInstance(hidden, result.Err)

        run_scenario(scenario)
