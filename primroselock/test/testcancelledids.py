"""Cancellations of ids of which no job is stored, and late submissions.

An answer that no such job exists is a promise of all nodes: a submission that
the store performs later, or that is repeated, doesn't run (UNASKED).
"""

import asyncio
from collections import abc
import itertools
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import intake
from primroselock import jobcancellation
from primroselock import jobgraph
from primroselock import refusals
from primroselock.store import keys
from primroselock.test import fakestore
from primroselock.test import fleetbuilders
from primroselock import tombstones

run_scenario: typing.Final = fleetbuilders.run_with_node

_OWN: typing.Final = intake.Access(fleetbuilders.BULK, 'signs')
_OTHER: typing.Final = intake.Access(fleetbuilders.BULK, 'merch')
_OTHER_QUEUE: typing.Final = intake.Access(fleetbuilders.BATCH, 'signs')
_KEYLESS: typing.Final = intake.Access(fleetbuilders.BULK, '')
"""A caller without a key, which a public queue admits."""

_DEADLINE_S: typing.Final = 2.0
_LATE: typing.Final = fakestore.Fault.LATE
_ATTEMPTS: typing.Final = 4
"""Calls of the store for one write whose outcome stays unknown."""

_Reason: typing.Final = refusals.Reason
_Answer = refusals.Reason | None
"""Why a call was refused; None if it was not."""

_GONE: typing.Final = frozenset({None, _Reason.UNKNOWN_JOB})
"""What says that a job is cancelled: success, or that there is none."""


async def _submit(
    node: fleetbuilders.TestNode,
    job_id: str = 'j',
    access: intake.Access = _OWN,
) -> _Answer:
    graph = fleetbuilders.build_graph(
        job_id, queue=access.queue.name, account=access.account
    )
    deadline = clock.monotonic() + _DEADLINE_S
    answer = await node.intake.submit(access, graph, deadline)
    return answer.err_value.why if isinstance(answer, result.Err) else None


async def _cancel(
    node: fleetbuilders.TestNode,
    job_id: str = 'j',
    access: intake.Access = _OWN,
) -> _Answer:
    deadline = clock.monotonic() + _DEADLINE_S
    answer = await node.intake.cancel(access, job_id, deadline)
    return answer.err_value.why if isinstance(answer, result.Err) else None


async def _state(
    node: fleetbuilders.TestNode,
    job_id: str = 'j',
    access: intake.Access = _OWN,
) -> str | refusals.Reason:
    deadline = clock.monotonic() + _DEADLINE_S
    answer = await node.intake.state(access, job_id, deadline)
    if isinstance(answer, result.Err):
        return answer.err_value.why
    return answer.ok_value.value


async def _submit_late(node: fleetbuilders.TestNode) -> None:
    """Submit a job; the store performs each write of it later."""
    node.connectivity.faults = [_LATE] * _ATTEMPTS
    assert await _submit(node) is _Reason.OUTCOME_UNKNOWN
    node.connectivity.faults = []


def _find_graph(world: fleetbuilders.World, job_id: str = 'j') -> bytes:
    """Return what stands at the key of a job; empty for nothing."""
    row = world.store.inner.rows.get(keys.graph('fleet', job_id))
    return b'' if row is None else row.value


class _Nodes:
    """A holder and two other nodes; one of these takes the submission."""

    def __init__(self, world: fleetbuilders.World) -> None:
        self.world = world
        self.holder = world.find_shard_holder()
        self.taker, self.third = (
            node for node in world.nodes if node is not self.holder
        )
        world.fleet.graphs_by_id['j'] = fleetbuilders.build_graph('j')

    async def restart_taker(self) -> fleetbuilders.TestNode:
        """Start the node anew that took the submission."""
        await self.taker.kill()
        self.world.nodes.remove(self.taker)
        name = self.taker.settings.process.vm_id
        self.taker = self.world.add_node(name)
        await asyncio.sleep(0.5)
        return self.taker

    async def replace_holder(self) -> None:
        """Kill the holder; another node takes over."""
        self.world.nodes.remove(self.holder)
        await self.holder.kill()
        await asyncio.sleep(4.0)
        self.holder = self.world.find_shard_holder()


_Scenario = abc.Callable[[_Nodes], abc.Coroutine[typing.Any, typing.Any, None]]


def _run(scenario: _Scenario) -> None:
    async def prepared(world: fleetbuilders.World) -> None:
        for number in (2, 3):
            world.add_node(f'entry-{number}')
        await asyncio.sleep(1.0)
        await scenario(_Nodes(world))

    run_scenario(prepared)


class LateSubmissionTest(unittest.TestCase):
    """A submission that the store performs after the cancellation."""

    def _check(
        self,
        find_node: abc.Callable[
            [_Nodes], abc.Awaitable[fleetbuilders.TestNode]
        ],
        is_taken_over: bool = False,
    ) -> None:
        async def scenario(nodes: _Nodes) -> None:
            await _submit_late(nodes.taker)
            node = await find_node(nodes)
            self.assertIs(_Reason.UNKNOWN_JOB, await _cancel(node))
            if is_taken_over:
                await nodes.replace_holder()
            nodes.world.store.apply_late()
            await asyncio.sleep(3.0)
            if is_taken_over:
                await nodes.replace_holder()
            self.assertEqual(0, nodes.world.fleet.starts)
            for other in nodes.world.nodes:
                self.assertIs(_Reason.UNKNOWN_JOB, await _state(other))
                self.assertIs(_Reason.UNKNOWN_JOB, await _cancel(other))
                self.assertIs(_Reason.CANCELLED, await _submit(other))

        _run(scenario)

    def test_the_node_that_took_it(self) -> None:
        """Guards against a job that runs after its 410 (review/14)."""

        async def find(nodes: _Nodes) -> fleetbuilders.TestNode:
            return nodes.taker

        self._check(find)

    def test_the_holder(self) -> None:
        """Guards against a promise that only one node knows of."""

        async def find(nodes: _Nodes) -> fleetbuilders.TestNode:
            return nodes.holder

        self._check(find)
        self._check(find, is_taken_over=True)

    def test_another_node(self) -> None:
        """Guards against a promise that only one node knows of."""

        async def find(nodes: _Nodes) -> fleetbuilders.TestNode:
            return nodes.third

        self._check(find)
        self._check(find, is_taken_over=True)

    def test_the_node_that_took_it_after_a_restart(self) -> None:
        """Guards against a promise that a process keeps in mind."""

        async def find(nodes: _Nodes) -> fleetbuilders.TestNode:
            return await nodes.restart_taker()

        self._check(find)

    def test_a_submission_that_is_performed_first(self) -> None:
        """Guards against an answer that a stored job does not exist."""

        async def scenario(nodes: _Nodes) -> None:
            await _submit_late(nodes.taker)
            nodes.world.store.apply_late()
            self.assertIsNone(await _cancel(nodes.third))
            await nodes.world.wait_for('j', 'cancelled', 3.0)

        _run(scenario)

    def test_any_faults_of_both_writes(self) -> None:
        """Guards against an answer that a later write makes untrue.

        Whatever becomes of the calls of the submission and of the
        cancellation, and whenever delayed ones are performed.
        """
        faults = list(fakestore.Fault)
        for first, second, third in itertools.product(faults, repeat=3):
            for is_applied_between in (False, True):
                series = (first, second, third, is_applied_between)
                with self.subTest(series=series):
                    _run(self._build_series(*series))

    def _build_series(
        self,
        submission: fakestore.Fault,
        cancellation: fakestore.Fault,
        repeated: fakestore.Fault,
        is_applied_between: bool,
    ) -> _Scenario:
        async def scenario(nodes: _Nodes) -> None:
            store = nodes.world.store
            nodes.taker.connectivity.faults = [submission] * _ATTEMPTS
            accepted = await _submit(nodes.taker)
            nodes.taker.connectivity.faults = []
            if is_applied_between:
                store.apply_late()
            nodes.third.connectivity.faults = [cancellation, repeated]
            answer = await _cancel(nodes.third)
            nodes.third.connectivity.faults = []
            store.apply_late()
            await asyncio.sleep(3.0)
            if answer in _GONE:
                self.assertIn(
                    await _state(nodes.holder),
                    ('cancelled', 'done', _Reason.UNKNOWN_JOB),
                )
                starts = nodes.world.fleet.starts
                await asyncio.sleep(3.0)
                self.assertEqual(starts, nodes.world.fleet.starts)
            if answer is _Reason.UNKNOWN_JOB:
                self.assertIsNotNone(accepted)
                self.assertEqual(0, nodes.world.fleet.starts)

        return scenario


class CallsTest(unittest.TestCase):
    """The calls of the store that a cancellation takes."""

    def test_of_stored_and_unknown_jobs(self) -> None:
        """Guards against a cancellation that takes longer than before."""

        async def scenario(nodes: _Nodes) -> None:
            self.assertIsNone(await _submit(nodes.taker))
            for node, job_id, reads, writes, expected in (
                (nodes.taker, 'j', 0, 1, None),
                (nodes.third, 'j', 1, 1, None),
                (nodes.third, 'k', 1, 1, _Reason.UNKNOWN_JOB),
                (nodes.third, 'k', 1, 0, _Reason.UNKNOWN_JOB),
            ):
                with (
                    mock.patch.object(
                        node.client, 'read', wraps=node.client.read
                    ) as read,
                    mock.patch.object(
                        node.client, 'transact', wraps=node.client.transact
                    ) as transact,
                ):
                    self.assertIs(expected, await _cancel(node, job_id))
                self.assertEqual(
                    (reads, writes), (read.call_count, transact.call_count)
                )

        _run(scenario)


class OwnerTest(unittest.TestCase):
    """Whose cancellation it is."""

    def test_others_do_not_cancel_a_job_before_it_is_handed_in(self) -> None:
        """Guards against an account that keeps another's job from running."""

        async def scenario(nodes: _Nodes) -> None:
            for access in (_OTHER, _OTHER_QUEUE, _KEYLESS):
                answer = await _cancel(nodes.third, access=access)
                self.assertIs(_Reason.UNKNOWN_JOB, answer)
            self.assertIsNone(await _submit(nodes.taker))
            self.assertIs(
                _Reason.UNKNOWN_JOB, await _cancel(nodes.third, access=_OTHER)
            )
            await nodes.world.wait_for('j', 'done', 5.0)

        _run(scenario)

    def test_callers_without_a_key(self) -> None:
        """Guards against a promise that only accounts with a key get."""

        async def scenario(nodes: _Nodes) -> None:
            answer = await _cancel(nodes.third, access=_KEYLESS)
            self.assertIs(_Reason.UNKNOWN_JOB, answer)
            answer = await _submit(nodes.taker, access=_KEYLESS)
            self.assertIs(_Reason.CANCELLED, answer)

        _run(scenario)

    def test_each_of_several_owners_is_refused(self) -> None:
        """Guards against a cancellation that another's replaces."""

        async def scenario(nodes: _Nodes) -> None:
            await _submit_late(nodes.taker)
            for access in (_OWN, _OTHER):
                for node in (nodes.third, nodes.holder):
                    answer = await _cancel(node, access=access)
                    self.assertIs(_Reason.UNKNOWN_JOB, answer)
            for access in (_OWN, _OTHER):
                answer = await _submit(nodes.third, access=access)
                self.assertIs(_Reason.CANCELLED, answer)
            nodes.world.store.apply_late()
            await asyncio.sleep(2.0)
            self.assertEqual(0, nodes.world.fleet.starts)

        _run(scenario)

    def test_a_late_job_beside_anothers_tombstone(self) -> None:
        """Guards against a job in place of a tombstone that is cancelled."""

        async def scenario(nodes: _Nodes) -> None:
            await _cancel(nodes.third, access=_OTHER)
            nodes.taker.connectivity.faults = [
                fakestore.Fault.NONE,
                *([_LATE] * _ATTEMPTS),
            ]
            answer = await _submit(nodes.taker)
            self.assertIs(_Reason.OUTCOME_UNKNOWN, answer)
            nodes.taker.connectivity.faults = []
            self.assertIs(_Reason.UNKNOWN_JOB, await _cancel(nodes.third))
            nodes.world.store.apply_late()
            await asyncio.sleep(2.0)
            self.assertEqual(0, nodes.world.fleet.starts)

        _run(scenario)

    def test_a_refusal_beside_anothers_tombstone_is_certain(self) -> None:
        """Guards against 504 for what was certainly not written."""

        async def scenario(nodes: _Nodes) -> None:
            await _cancel(nodes.third, access=_OTHER)
            for fault, expected in (
                (fakestore.Fault.UNAVAILABLE, _Reason.STORE_UNAVAILABLE),
                (fakestore.Fault.REQUEST_LOST, _Reason.OUTCOME_UNKNOWN),
            ):
                nodes.taker.connectivity.faults = [
                    fakestore.Fault.NONE,
                    *([fault] * _ATTEMPTS),
                ]
                self.assertIs(expected, await _submit(nodes.taker))
            nodes.taker.connectivity.faults = []

        _run(scenario)

    def test_no_answer_tells_of_a_tombstone(self) -> None:
        """Guards against an answer that shows what others have cancelled."""

        async def scenario(nodes: _Nodes) -> None:
            await _cancel(nodes.third)
            for job_id in ('j', 'never'):
                state = await _state(nodes.taker, job_id, _OTHER)
                self.assertIs(_Reason.UNKNOWN_JOB, state)
                answer = await _cancel(nodes.taker, job_id, _OTHER)
                self.assertIs(_Reason.UNKNOWN_JOB, answer)

        _run(scenario)


class BoundTest(unittest.TestCase):
    """What bounds the tombstones, and what is answered beyond that."""

    def test_a_flood_of_unknown_ids(self) -> None:
        """Guards against rows without end, and against an untrue 410."""

        async def scenario(nodes: _Nodes) -> None:
            answers = [
                await _cancel(nodes.third, f'u{number}')
                for number in range(_FLOOD)
            ]
            written = answers.count(_Reason.UNKNOWN_JOB)
            self.assertEqual(
                {_Reason.UNKNOWN_JOB, _Reason.TOO_MANY_CANCELLED}, set(answers)
            )
            rows = nodes.world.store.inner.scan(
                keys.graph('fleet', 'u'), '', 2 * _FLOOD
            )
            self.assertEqual(written, len(rows))
            self.assertLess(written, _FLOOD)
            # Another account, and a job that is stored, are not held up.
            answer = await _cancel(nodes.third, 'other', _OTHER)
            self.assertIs(_Reason.UNKNOWN_JOB, answer)
            self.assertIsNone(await _submit(nodes.taker))
            self.assertIsNone(await _cancel(nodes.third))
            # An id that is cancelled already needs no row.
            answer = await _cancel(nodes.third, 'u0')
            self.assertIs(_Reason.UNKNOWN_JOB, answer)

        _run(scenario)

    def test_limits(self) -> None:
        """Guards against a limit without an end, and one of each account."""
        limits = jobcancellation.TombstoneLimits(100.0)
        taken = [limits.take('a', 1000.0) for _ in range(300)]
        self.assertEqual(250, taken.count(0.0))
        self.assertAlmostEqual(0.4, taken[-1])
        self.assertEqual(0.0, limits.take('a', 1000.5))
        others = [limits.take(f'b{n}', 1000.5) for n in range(400)]
        self.assertLess(others.count(0.0), 260)
        self.assertGreater(limits.take('b0', 1000.5), 0.0)

    def test_while_the_store_is_away(self) -> None:
        """Guards against a 410 that nothing in the store stands for."""

        async def scenario(nodes: _Nodes) -> None:
            await _submit_late(nodes.taker)
            for fault, expected in (
                (fakestore.Fault.UNAVAILABLE, _Reason.STORE_UNAVAILABLE),
                (fakestore.Fault.REQUEST_LOST, _Reason.OUTCOME_UNKNOWN),
                (_LATE, _Reason.OUTCOME_UNKNOWN),
            ):
                nodes.third.connectivity.faults = [fault] * 9
                self.assertIs(expected, await _cancel(nodes.third))
            nodes.third.connectivity.faults = []
            nodes.third.connectivity.is_unresponsive = True
            answer = await _cancel(nodes.third)
            self.assertIs(_Reason.STORE_UNAVAILABLE, answer)

        _run(scenario)

    def test_ids_that_no_job_can_have(self) -> None:
        """Guards against rows, or errors, for names that are no ids."""

        async def scenario(nodes: _Nodes) -> None:
            for job_id in ('', 'a/b', 'a.b', 'x' * 129):
                self.assertFalse(jobgraph.is_valid_id(job_id))
                answer = await _cancel(nodes.third, job_id)
                self.assertIs(_Reason.UNKNOWN_JOB, answer)
                state = await _state(nodes.third, job_id)
                self.assertIs(_Reason.UNKNOWN_JOB, state)
                self.assertEqual(b'', _find_graph(nodes.world, job_id))
            self.assertTrue(jobgraph.is_valid_id('0123456789abcdef'))

        _run(scenario)

    def test_a_tombstone_has_an_end(self) -> None:
        """Guards against rows that nobody deletes, also after a takeover."""

        async def scenario(nodes: _Nodes) -> None:
            world = nodes.world
            await _cancel(nodes.third, 'j')
            await _cancel(nodes.third, 'k')
            await asyncio.sleep(60.0)
            await _cancel(nodes.third, 'k', _OTHER)
            await nodes.replace_holder()
            await asyncio.sleep(_KEEP_S - 10.0)
            self.assertNotEqual(b'', _find_graph(world, 'j'))
            self.assertNotEqual(b'', _find_graph(world, 'k'))
            await asyncio.sleep(_SWEEP_S + 15.0)
            self.assertEqual(b'', _find_graph(world, 'j'))
            self.assertEqual(b'', _find_graph(world, 'k'))
            self.assertIsNone(await _submit(nodes.third, 'j'))
            await world.wait_for('j', 'done', 5.0)

        _run(scenario)

    def test_many_tombstones_have_an_end(self) -> None:
        """Guards against a sweep that one changed row holds up."""

        async def scenario(nodes: _Nodes) -> None:
            world = nodes.world
            for number in range(120):
                await _cancel(nodes.third, f'u{number}')
            world.fleet.graphs_by_id['u7'] = fleetbuilders.build_graph(
                'u7', account='merch'
            )
            await asyncio.sleep(_KEEP_S - 5.0)
            answer = await _submit(nodes.taker, 'u7', _OTHER)
            self.assertIsNone(answer)
            await _cancel(nodes.third, 'u9', _OTHER)
            await asyncio.sleep(_SWEEP_S + 15.0)
            rows = world.store.inner.scan(keys.graph('fleet', 'u'), '', 500)
            left = {row.key.rpartition('/')[2] for row in rows}
            self.assertEqual({'u7', 'u9'}, left)
            await asyncio.sleep(_KEEP_S + _SWEEP_S)
            self.assertEqual(b'', _find_graph(world, 'u9'))
            self.assertNotEqual(b'', _find_graph(world, 'u7'))
            self.assertEqual('done', world.state('u7'))

        _run(scenario)


class TombstoneLogTest(unittest.TestCase):
    """What a holder knows of the tombstones, in any order of news."""

    def test_a_rewritten_one_is_kept_for_longer(self) -> None:
        """Guards against a sweep of what was cancelled just now."""
        log = tombstones.TombstoneLog()
        for job_id, version, now in (
            ('a', 1, 10.0),
            ('b', 2, 11.0),
            ('a', 3, 12.0),
            ('b', 2, 13.0),
        ):
            log.note(job_id, version, now)
        self.assertEqual({'b': 2}, log.list_old(11.0, 9))
        self.assertEqual({'b': 2, 'a': 3}, log.list_old(12.0, 9))
        self.assertEqual({'b': 2}, log.list_old(12.0, 1))

    def test_news_of_an_earlier_version(self) -> None:
        """Guards against a tombstone that is forgotten, and never deleted.

        It was written after the one whose deletion is answered now.
        """
        log = tombstones.TombstoneLog()
        log.note('a', 5, 10.0)
        log.forget('a', 4)
        self.assertEqual(1, len(log))
        log.forget('a', 5)
        log.forget('a', 5)
        self.assertEqual(0, len(log))


_FLOOD: typing.Final = 300
_KEEP_S: typing.Final = 120.0
_SWEEP_S: typing.Final = 20.0

if __name__ == '__main__':
    unittest.main()
