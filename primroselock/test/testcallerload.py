"""Many calls of callers at one node, in virtual time.

The pattern: callers ask a holder for the states of their jobs more often
than it may call the store.  Some of them are refused; the node goes on
renewing its lease and storing what it decides.  Or they submit more jobs than
the store takes.
"""

import asyncio
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import fleetnode
from primroselock import groupcommit
from primroselock import httpclient
from primroselock import intake
from primroselock import metrics
from primroselock.platform import adapter
from primroselock.platform import settings
from primroselock import refusals
from primroselock.store import resilience
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fakefeed
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock import waits

_ACCESS: typing.Final = intake.Access(fleetbuilders.BULK, 'signs')
_CALLS_PER_S: typing.Final = 400
_WRITES: typing.Final = 20


class _AnsweringPool:
    """A connection pool whose exchanges take ``answer_s`` each."""

    answer_s = 0.005

    def __init__(self, address: str, limit: int) -> None:
        self._connections = asyncio.Semaphore(limit)

    def has_free_connection(self) -> bool:
        """Return whether an exchange could start now without waiting."""
        return not self._connections.locked()

    async def exchange(
        self,
        request: httpclient.Request,
        timeout_s: float,
        large: httpclient.LargeBody | None = None,
    ) -> typing.Any:
        """Answer that there is no row, or that a write was applied."""
        is_sent = False
        try:
            async with asyncio.timeout(timeout_s), self._connections:
                is_sent = True
                await asyncio.sleep(self.answer_s)
        except TimeoutError:
            if is_sent:
                return result.Err(httpclient.ResponseLost('late', True))
            return result.Err(httpclient.NotSent('no connection', True))
        return result.Ok(httpclient.Response(200, b'{"ver":1}', {}))


class CallerLoadTest(unittest.TestCase):
    """What callers ask for does not hold up what the holder writes."""

    def count_writes(self) -> int:
        """Return how many of the holder's writes succeed under load."""

        async def run_all(virtual: virtualtime.VirtualClock) -> int:
            parsed = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()
            node = fleetnode.Node(parsed, adapter.make())
            reading = asyncio.create_task(self.read_states(node))
            await asyncio.sleep(2.0)
            written = 0
            for number in range(_WRITES):
                await asyncio.sleep(0.1)
                put = table.Put(f'progress/{number}', b'')
                outcome = await node._holder._store.transact(
                    table.Transaction(puts=(put,))
                )
                written += isinstance(outcome, result.Ok)
            await waits.cancel_tasks([reading])
            return written

        with mock.patch.object(httpclient, 'ConnectionPool', _AnsweringPool):
            return virtualtime.run(run_all)

    async def read_states(self, node: fleetnode.Node) -> None:
        """Ask for states of jobs until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                deadline = clock.monotonic() + 3.0
                group.create_task(self.read_state(node, deadline))
                await asyncio.sleep(1 / _CALLS_PER_S)

    async def read_state(self, node: fleetnode.Node, deadline: float) -> None:
        """Ask for the state of a job; the answer does not matter."""
        await node.intake.state(_ACCESS, 'j', deadline)

    def test_calls_that_this_node_delays_open_no_breaker(self) -> None:
        """Guards against a node that takes its own limits for an outage.

        The store answers each call; what exceeds the rate, or finds no
        connection, fails here.
        """
        states: set[str] = set()
        record = resilience.CircuitBreaker.record

        def record_state(
            breaker: resilience.CircuitBreaker, succeeded: bool, now: float
        ) -> None:
            record(breaker, succeeded, now)
            states.add(breaker.state)

        with mock.patch.object(
            resilience.CircuitBreaker, 'record', record_state
        ):
            for answer_s in (0.005, 0.15):
                with (
                    self.subTest(answer_s=answer_s),
                    mock.patch.object(_AnsweringPool, 'answer_s', answer_s),
                ):
                    states.clear()
                    self.count_writes()
                    self.assertEqual({'closed'}, states)

    def test_a_holder_writes_while_callers_exceed_the_rate_limit(self) -> None:
        """Guards against a lease that is lost to reads of job states."""
        self.assertEqual(_WRITES, self.count_writes())

    def test_a_holder_writes_while_callers_use_all_connections(self) -> None:
        """Guards against writes that wait behind reads of a slow store."""
        with mock.patch.object(_AnsweringPool, 'answer_s', 0.15):
            self.assertEqual(_WRITES, self.count_writes())


class SubmitLoadTest(unittest.TestCase):
    """More jobs are submitted than a slow store takes."""

    def test_as_many_are_accepted_as_the_store_takes(self) -> None:
        """Guards against jobs that are stored after their callers gave up.

        The store takes 50 jobs in 0.4 s, and 200 a second are submitted.
        """
        accepted_by_second, why = self.submit_for(8)
        for second in range(2, 8):
            self.assertGreaterEqual(accepted_by_second.get(second, 0), 60)
        # A caller is told that its job was not stored, and can repeat it.
        self.assertNotIn(refusals.Reason.OUTCOME_UNKNOWN, why)

    def test_a_repeat_of_a_write_under_way_is_not_turned_away(self) -> None:
        """Guards against a refusal of a job that is about to be stored."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            client = fakefeed.FeedClient(
                fakefeed.FeedStore(), fakefeed.Connectivity()
            )
            committer = groupcommit.GroupCommitter(client, 0.001)
            self.assertEqual(0.0, committer.expected_wait_s('t/a'))
            await committer.submit(groupcommit.Write('t/a', 0, b''))
            # Nothing is under way: the last duration decides nothing.
            await asyncio.sleep(0.1)
            self.assertEqual(0.0, committer.expected_wait_s('t/b'))
            write = groupcommit.Write('t/b', 0, b'')
            task = asyncio.create_task(committer.submit(write))
            await asyncio.sleep(0.001)
            self.assertEqual(0.0, committer.expected_wait_s('t/b'))
            self.assertGreater(committer.expected_wait_s('t/c'), 0.0)
            await task

        virtualtime.run(scenario)

    def submit_for(
        self, seconds: int
    ) -> tuple[dict[int, int], set[refusals.Reason]]:
        """Return accepted jobs by second of arrival, and refusals."""
        accepted_by_second: dict[int, int] = {}
        why: set[refusals.Reason] = set()

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            client = fakefeed.FeedClient(
                fakefeed.FeedStore(), fakefeed.Connectivity()
            )
            transact = client.transact

            async def transact_slowly(
                transaction: table.Transaction,
            ) -> result.Result[table.Committed, table.TransactError]:
                await asyncio.sleep(0.4)
                return await transact(transaction)

            node = intake.Intake(
                fleetbuilders.build_node_settings(),
                client,
                tablefollower.TableFollower(client, 'shard', 1.0),
                metrics.Metrics(),
            )
            node.set_queue_configuration(
                fleetbuilders.QUEUE_CONFIGURATION, clock.monotonic
            )

            async def submit(number: int) -> None:
                second = number // 200
                outcome = await node.submit(
                    _ACCESS,
                    fleetbuilders.build_graph(f'j{number}'),
                    clock.monotonic() + 3.0,
                )
                if isinstance(outcome, result.Ok):
                    known = accepted_by_second.get(second, 0)
                    accepted_by_second[second] = known + 1
                else:
                    why.add(outcome.err_value.why)

            with mock.patch.object(client, 'transact', transact_slowly):
                async with asyncio.TaskGroup() as group:
                    for number in range(seconds * 200):
                        group.create_task(submit(number))
                        await asyncio.sleep(1 / 200)

        virtualtime.run(run_all)
        return accepted_by_second, why


if __name__ == '__main__':
    unittest.main()
