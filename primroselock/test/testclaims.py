"""Requests with an idempotency key run at most once.

Guards against a second run of a key when requests on two gateways
interleave, replies of the table are lost, the table is unavailable, a
gateway is killed or a caller cancels.
"""

import asyncio
import dataclasses
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from primroselock import claims
from primroselock import clock
from primroselock import dispatch
from primroselock import groupcommit
from primroselock import httpclient
from primroselock import keyedrequests
from primroselock.store import table
from standins import platform

_FAULTS: typing.Final = ('none', 'lost_before', 'lost_after', 'down')
_TTL_S: typing.Final = 100.0
_LONG_TIMEOUT_S: typing.Final = 1e6
_SETTLE_ROUNDS: typing.Final = 60


class FaultyTable:
    """An in-memory table; each transaction consumes the next fault.

    ``lost_reads`` is the number of the next reads that fail.  Once
    ``is_dead`` is set, calls never return, as those of a killed gateway.
    """

    def __init__(self, store: platform.Store) -> None:
        self.store = store
        self.faults: list[str] = []
        self.lost_reads = 0
        self.is_dead = False

    async def _yield_or_hang(self) -> None:
        await asyncio.sleep(0)
        if self.is_dead:
            await asyncio.get_running_loop().create_future()

    async def read(
        self, keys: typing.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        await self._yield_or_hang()
        if self.lost_reads:
            self.lost_reads -= 1
            return result.Err(table.Unavailable('lost'))
        rows = self.store.rows
        return result.Ok({key: rows[key] for key in keys if key in rows})

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        await self._yield_or_hang()
        return result.Ok(self.store.scan(prefix, after, limit))

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        fault = self.faults.pop(0) if self.faults else 'none'
        await self._yield_or_hang()
        if fault == 'down':
            return result.Err(table.Unavailable('down'))
        if fault == 'lost_before':
            return result.Err(table.OutcomeUnknown('lost'))
        failed = self.store.transact(transaction)
        version = self.store.version
        await self._yield_or_hang()
        if fault == 'lost_after':
            return result.Err(table.OutcomeUnknown('lost'))
        if failed:
            return result.Err(table.Conflict(tuple(failed)))
        return result.Ok(table.Committed(version))


class Gateway:
    """The parts of one gateway that handle idempotency keys."""

    def __init__(self, store: platform.Store) -> None:
        self.table = FaultyTable(store)
        self.committer = groupcommit.GroupCommitter(self.table, 0.0)
        self.claims = claims.ClaimStore(
            self.table, self.committer, _TTL_S, 1000
        )
        self.keyed = keyedrequests.KeyedRequests(self.claims)


@dataclasses.dataclass(eq=False)
class Call:
    """One caller's request and the upstream that receives it.

    ``reply`` exists once the upstream received the request; its result
    is the outcome that the upstream returns.
    """

    key: str
    digest: str
    gateway: Gateway
    task: 'asyncio.Task[dispatch.Outcome] | None' = None
    reply: 'asyncio.Future[dispatch.Outcome] | None' = None

    async def send(self) -> dispatch.Outcome:
        """Receive the request as the upstream; return its outcome."""
        assert self.reply is None, 'sent twice'
        self.reply = asyncio.get_running_loop().create_future()
        return await self.reply

    def may_have_run(self) -> bool:
        """Return whether the upstream received and did not refuse it."""
        if self.reply is None:
            return False
        if not self.reply.done() or self.reply.cancelled():
            return True
        return not isinstance(self.reply.result(), dispatch.NotRun)


def outcome_of(kind: str, call: Call) -> dispatch.Outcome:
    """Return an upstream's outcome; an answer repeats key and digest."""
    if kind == 'done':
        body = f'{call.key} {call.digest}'.encode()
        return dispatch.Done(httpclient.Response(200, body, {}))
    if kind == 'not_run':
        return dispatch.NotRun('refused', '')
    return dispatch.Unknown('lost', '')


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Calls, replies, faults, kills and cancellations in any order."""

    calls = stateful.Bundle('calls')

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.store = platform.Store()
        self.gateways = [Gateway(self.store), Gateway(self.store)]
        self.all_calls: list[Call] = []
        self.backoff = mock.patch.object(table, '_RESOLVE_BACKOFF_S', 0.0)
        self.backoff.start()

    def settle(self, rounds: int = _SETTLE_ROUNDS) -> None:
        """Run the event loop for ``rounds`` iterations."""

        async def run_rounds() -> None:
            for _ in range(rounds):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_rounds())

    @stateful.rule(
        target=calls,
        number=strategies.sampled_from([0, 1]),
        key=strategies.sampled_from(['k', 'l']),
        digest=strategies.sampled_from(['same', 'same', 'other']),
        has_time_left=strategies.sampled_from([True, True, True, False]),
        rounds=strategies.sampled_from([_SETTLE_ROUNDS, 0, 3, 6, 10]),
    )
    def start(
        self,
        number: int,
        key: str,
        digest: str,
        has_time_left: bool,
        rounds: int,
    ) -> Call:
        gateway = self.gateways[number]
        call = Call(key, digest, gateway)
        deadline = clock.monotonic() + (
            _LONG_TIMEOUT_S if has_time_left else -1.0
        )
        call.task = self.loop.create_task(
            gateway.keyed.run(key, digest, deadline, call.send)
        )
        self.all_calls.append(call)
        self.settle(rounds)
        return call

    @stateful.rule(
        call=calls, kind=strategies.sampled_from(['done', 'not_run', 'lost'])
    )
    def reply(self, call: Call, kind: str) -> None:
        if call.reply is not None and not call.reply.done():
            call.reply.set_result(outcome_of(kind, call))
            self.settle()

    @stateful.rule(
        number=strategies.sampled_from([0, 1]),
        faults=strategies.lists(strategies.sampled_from(_FAULTS), max_size=5),
    )
    def set_faults(self, number: int, faults: list[str]) -> None:
        self.gateways[number].table.faults = faults

    @stateful.rule(call=calls)
    def cancel(self, call: Call) -> None:
        assert call.task is not None
        call.task.cancel()
        self.settle()

    @stateful.rule(number=strategies.sampled_from([0, 1]))
    def kill(self, number: int) -> None:
        killed = self.gateways[number]
        killed.table.is_dead = True
        for call in self.all_calls:
            if call.gateway is killed and call.task is not None:
                call.task.cancel()
        self.gateways[number] = Gateway(self.store)
        self.settle()

    @stateful.rule(rounds=strategies.integers(1, 40))
    def go_on(self, rounds: int) -> None:
        self.settle(rounds)

    @stateful.invariant()
    def each_key_runs_at_most_once(self) -> None:
        for key in ('k', 'l'):
            ran = [
                call
                for call in self.all_calls
                if call.key == key and call.may_have_run()
            ]
            assert len(ran) <= 1, ran

    @stateful.invariant()
    def reported_outcomes_match_runs(self) -> None:
        for call in self.all_calls:
            assert call.task is not None
            if not call.task.done() or call.task.cancelled():
                continue
            outcome = call.task.result()
            if isinstance(outcome, dispatch.NotRun):
                assert not call.may_have_run(), outcome
            elif isinstance(outcome, dispatch.Done):
                body = f'{call.key} {call.digest}'.encode()
                assert outcome.response.body == body, outcome

    def teardown(self) -> None:
        self.backoff.stop()
        while left := asyncio.all_tasks(self.loop):
            for task in left:
                task.cancel()
            self.loop.run_until_complete(asyncio.wait(left))
        self.loop.close()


ClaimMachineTest = ClaimMachine.TestCase
ClaimMachineTest.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, deadline=None
)


class GroupCommitTest(unittest.IsolatedAsyncioTestCase):
    """Many writes share few transactions, each with its own result."""

    def setUp(self) -> None:
        self.store = platform.Store()
        self.gateway = Gateway(self.store)

    async def submit(
        self, *keys: str
    ) -> list[result.Result[table.Committed, table.TransactError]]:
        """Insert every key concurrently; return the results."""
        writes = [groupcommit.Write(key, table.ABSENT, b'v') for key in keys]
        return list(
            await asyncio.gather(
                *(self.gateway.committer.submit(write) for write in writes)
            )
        )

    async def test_conflict_does_not_fail_other_writes(self) -> None:
        await self.submit('b')
        results = await self.submit('a', 'b', 'c')
        self.assertEqual(
            [True, False, True], [isinstance(r, result.Ok) for r in results]
        )

    async def test_one_key_twice_at_once_is_inserted_once(self) -> None:
        """Guards against a batch in which each insert of a key succeeds."""
        results = await self.submit('a', 'a', 'a')
        self.assertEqual(1, sum(isinstance(r, result.Ok) for r in results))

    async def test_writes_share_transactions(self) -> None:
        await self.submit(*(f'k{number}' for number in range(200)))
        # The first write is sent alone: no other one was waiting yet.
        self.assertLessEqual(self.store.writes, 2)

    async def test_conflict_that_names_no_row_fails_its_own_write(
        self,
    ) -> None:
        """Guards against a conflict taken for each write of a batch.

        A cancellation would be confirmed although it is not stored.
        """
        await self.submit('b')
        transact = self.gateway.table.transact

        async def hide_keys(
            transaction: table.Transaction,
        ) -> result.Result[table.Committed, table.TransactError]:
            outcome = await transact(transaction)
            if isinstance(outcome, result.Ok):
                return outcome
            return result.Err(table.Conflict(()))

        with mock.patch.object(self.gateway.table, 'transact', hide_keys):
            results = await self.submit('a', 'b', 'c')
        self.assertEqual(
            [True, False, True], [isinstance(r, result.Ok) for r in results]
        )

    async def test_reply_lost_after_commit_is_resolved(self) -> None:
        """The rows are read back, so that no write has an unknown outcome."""
        self.gateway.table.faults = ['lost_after']
        results = await self.submit('a', 'b')
        self.assertTrue(all(isinstance(r, result.Ok) for r in results))


class LostClaimTest(unittest.IsolatedAsyncioTestCase):
    """A claim whose outcome is unknown is deleted, and no other claim."""

    def setUp(self) -> None:
        patcher = mock.patch.object(table, '_RESOLVE_BACKOFF_S', 0.0)
        patcher.start()
        self.addCleanup(patcher.stop)
        store = platform.Store()
        self.gateways = [Gateway(store), Gateway(store)]

    async def test_claim_of_another_is_not_undone(self) -> None:
        """Guards against deleting the claim that another gateway holds."""
        first, second = self.gateways
        await first.claims.claim('claim/k', 'd', 0.0)
        second.table.faults = ['lost_before'] * 4
        outcome = await second.claims.claim('claim/k', 'd', 0.0)
        self.assertIsInstance(outcome, result.Err)
        await second.claims.drain()
        self.assertIn('claim/k', first.table.store.rows)

    async def test_own_claim_is_undone(self) -> None:
        """Guards against a key that stays blocked until its claim expires."""
        gateway = self.gateways[0]
        gateway.table.faults = ['lost_after']
        gateway.table.lost_reads = 4
        outcome = await gateway.claims.claim('claim/k', 'd', 0.0)
        self.assertIsInstance(outcome, result.Err)
        self.assertIn('claim/k', gateway.table.store.rows)
        gateway.table.lost_reads = 0
        await gateway.claims.drain()
        self.assertNotIn('claim/k', gateway.table.store.rows)


class ExpiryTest(unittest.IsolatedAsyncioTestCase):
    """Claims expire after their time to live, and not before."""

    def setUp(self) -> None:
        self.gateway = Gateway(platform.Store())

    async def test_expired_claim_gives_way_once(self) -> None:
        """Of two concurrent claims of an expired key, one succeeds."""
        store = self.gateway.claims
        await store.claim('claim/k', 'd', 0.0)
        existing = await store.claim('claim/k', 'd', _TTL_S - 1)
        self.assertIsInstance(existing.unwrap(), claims.ExistingClaim)
        both = await asyncio.gather(
            store.claim('claim/k', 'd', _TTL_S + 1),
            store.claim('claim/k', 'd', _TTL_S + 1),
        )
        owned = [r for r in both if isinstance(r.unwrap(), claims.OwnClaim)]
        self.assertEqual(1, len(owned))

    async def test_sweep_deletes_only_expired_rows(self) -> None:
        """Each call reads one row, and the next continues after it."""
        store = self.gateway.claims
        await store.claim('claim/old', 'd', 0.0)
        await store.claim('claim/new', 'd', _TTL_S)
        after = ''
        for _ in range(3):
            after = await store.delete_expired('claim/', after, 1, _TTL_S + 1)
        rows = self.gateway.table.store.rows
        self.assertEqual(['claim/new'], list(rows))


if __name__ == '__main__':
    unittest.main()
