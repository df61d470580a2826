"""Calls of the adapter to store, workers and advice service."""

import base64
import typing
import unittest
from unittest import mock
import urllib.parse

import msgspec
import result

from primroselock import clock
from primroselock.decisions import livejobs
from primroselock import httpclient
from primroselock import intake
from primroselock import jobgraph
from primroselock import metrics
from primroselock.platform import advice
from primroselock.platform import rows
from primroselock.platform import settings
from primroselock.platform import workers
from primroselock import refusals
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import builders
from primroselock.test import fleetbuilders
from primroselock.workers import orders


class _FakePool:
    """A connection pool that returns prepared answers in order.

    ``sent`` and ``timeouts_s`` record the requests.
    """

    def __init__(self, *answers: typing.Any) -> None:
        self.answers = list(answers)
        self.sent: list[httpclient.Request] = []
        self.timeouts_s: list[float] = []

    def has_free_connection(self) -> bool:
        """Return that there is always a connection."""
        return True

    async def exchange(
        self,
        request: httpclient.Request,
        timeout_s: float,
        large: httpclient.LargeBody | None = None,
    ) -> typing.Any:
        """Record a request and return the next answer."""
        self.sent.append(request)
        self.timeouts_s.append(timeout_s)
        return self.answers.pop(0)


def _answer(status: int, body: typing.Any) -> typing.Any:
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    return result.Ok(httpclient.Response(status, body, {}))


class RowStoreTest(unittest.IsolatedAsyncioTestCase):
    """Rows, transactions and feeds over the platform's calls."""

    def _store(self, *answers: typing.Any) -> rows.RowStore:
        parsed = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()
        store = rows.RowStore(parsed, 'test', 2, metrics.Metrics())
        self.pool = _FakePool(*answers)
        mock.patch.object(store._calls, '_pool', new=self.pool).start()
        self.addCleanup(mock.patch.stopall)
        return store

    async def test_a_transaction_names_conditions_and_rows(self) -> None:
        store = self._store(_answer(200, {'ver': 9}))
        outcome = await store.transact(
            table.Transaction(
                (table.Condition('t/a', 4),),
                (table.Put('t/a', b'v'),),
                ('t/b/c',),
                'token',
            )
        )
        self.assertEqual(9, outcome.unwrap().version)
        sent = msgspec.json.decode(self.pool.sent[0].body)
        self.assertEqual(4, sent['if_revision'][0]['ver'])
        self.assertEqual('b/c', sent['remove'][0]['key'])
        value = base64.b64decode(sent['set_keys'][0]['value'])
        self.assertEqual(b'token\x01v', value)

    async def test_a_failed_condition_names_its_key(self) -> None:
        body = {'rows': [{'table': 't', 'key': 'a', 'ver': 5}], 'ver': 9}
        store = self._store(_answer(412, body))
        outcome = await store.transact(
            table.Transaction(
                (table.Condition('t/a', 4), table.Condition('t/z', 0))
            )
        )
        self.assertEqual(('t/a',), outcome.unwrap_err().keys)  # type: ignore

    async def test_only_stated_refusals_guarantee_that_nothing_ran(
        self,
    ) -> None:
        """Guards against a retry of a write that may have been applied."""
        cases: tuple[tuple[typing.Any, type[typing.Any]], ...] = (
            (_answer(503, b''), table.Unavailable),
            (_answer(429, b''), table.Unavailable),
            (_answer(400, b''), table.Rejected),
            (_answer(403, b''), table.Unavailable),
            (_answer(413, b''), table.Rejected),
            (_answer(500, b''), table.OutcomeUnknown),
            (_answer(200, b'\xff'), table.OutcomeUnknown),
            (result.Err(httpclient.NotSent('x')), table.Unavailable),
            (result.Err(httpclient.ResponseLost('x')), table.OutcomeUnknown),
        )
        for answer, expected in cases:
            store = self._store(answer)
            outcome = await store.transact(table.Transaction())
            self.assertIsInstance(outcome.unwrap_err(), expected)

    async def test_only_writes_to_tables_of_others_are_forbidden_for_good(
        self,
    ) -> None:
        """Guards against giving up writes when a right is missing for a time.

        A forbidden write to a table of another writer stays forbidden.
        """
        cases: tuple[tuple[table.Transaction, type[typing.Any]], ...] = (
            (
                table.Transaction(puts=(table.Put('fleet/a', b''),)),
                table.Unavailable,
            ),
            (table.Transaction(deletes=('fleet/a',)), table.Unavailable),
            (
                table.Transaction(
                    conditions=(table.Condition('op/config', 3),),
                    puts=(table.Put('fleet/a', b''),),
                ),
                table.Unavailable,
            ),
            (
                table.Transaction(
                    puts=(
                        table.Put('fleet/a', b''),
                        table.Put('op/config', b''),
                    )
                ),
                table.Rejected,
            ),
            (table.Transaction(deletes=('servers/w',)), table.Rejected),
        )
        for transaction, expected in cases:
            store = self._store(_answer(403, b''))
            outcome = await store.transact(transaction)
            self.assertIsInstance(outcome.unwrap_err(), expected)

    async def test_a_forbidden_submission_may_be_repeated(self) -> None:
        """Guards against a final refusal of a job that could be stored."""
        cases = (
            (403, refusals.Reason.STORE_UNAVAILABLE, True),
            (413, refusals.Reason.TOO_LARGE, False),
        )
        for status, why, may_repeat in cases:
            store = self._store(_answer(status, b''))
            front = intake.Intake(
                fleetbuilders.build_node_settings(),
                store,
                tablefollower.TableFollower(store, 'shard', 1.0),
                metrics.Metrics(),
            )
            front.set_queue_configuration(
                fleetbuilders.QUEUE_CONFIGURATION, clock.monotonic
            )
            answer = await front.submit(
                intake.Access(fleetbuilders.BULK, 'signs'),
                fleetbuilders.build_graph('a'),
                clock.monotonic() + 1.0,
            )
            refused = answer.unwrap_err()
            self.assertEqual(why, refused.why)
            self.assertEqual(may_repeat, refused.retry_after_s is not None)

    async def test_an_unanswered_feed_times_out_soon(self) -> None:
        """A feed without an answer after its wait is probably unreachable."""
        store = self._store(_answer(200, {'ver': 9}))
        await store.changes('t', 8, 0.5)
        self.assertLess(self.pool.timeouts_s[0], 0.5 + 0.3)

    async def test_pages_are_read_to_the_end(self) -> None:
        """The listing has the version of its first page.

        Changes after that version come with the feed.
        """
        value = base64.b64encode(b'tok\x01v').decode()
        row = {'table': 't', 'ver': 3, 'value': value}
        store = self._store(
            _answer(
                200,
                {'rows': [{**row, 'key': 'a'}], 'more_pages': True, 'ver': 7},
            ),
            _answer(200, {'rows': [{**row, 'key': 'b'}], 'ver': 8}),
        )
        listing = (await store.list_rows('t')).unwrap()
        self.assertEqual(['t/a', 't/b'], [row.key for row in listing.rows])
        self.assertEqual(b'v', listing.rows[0].value)
        self.assertEqual('tok', listing.rows[0].token)
        self.assertEqual(7, listing.version)

    async def test_a_value_that_is_not_base64_becomes_empty(self) -> None:
        """Guards against one row that ends each node that reads it.

        Text that is not ASCII is another error than other odd text.
        """
        rows = [
            {'table': 't', 'ver': 3, 'key': 'a', 'value': '?'},
            {'table': 't', 'ver': 3, 'key': 'b', 'value': '\u00e9\u00e9'},
        ]
        page = {'rows': rows, 'ver': 7}
        store = self._store(_answer(200, page), _answer(200, page))
        listing = (await store.list_rows('t')).unwrap()
        self.assertEqual([b'', b''], [row.value for row in listing.rows])
        changes = (await store.changes('t', 6, 0.5)).unwrap()
        self.assertEqual([b'', b''], [row.value for row in changes.rows])

    async def test_a_page_that_does_not_arrive_is_read_again_smaller(
        self,
    ) -> None:
        """The pattern: a takeover over a slow link; no page is lost."""
        row = {'table': 't', 'ver': 3, 'value': ''}
        first = {'rows': [{**row, 'key': 'a'}], 'more_pages': True, 'ver': 7}
        lost = result.Err(httpclient.ResponseLost('slow link'))
        store = self._store(
            _answer(200, first),
            # Each call is retried once by itself.
            lost,
            lost,
            _answer(200, {'rows': [{**row, 'key': 'b'}], 'ver': 8}),
        )
        listing = (await store.list_rows('t')).unwrap()
        self.assertEqual(['t/a', 't/b'], [row.key for row in listing.rows])
        queries = [
            urllib.parse.parse_qs(request.path.partition('?')[2])
            for request in self.pool.sent
        ]
        self.assertEqual(['a\0'], queries[-1]['from'])
        limits = [int(query['limit'][0]) for query in queries]
        self.assertLess(limits[-1], limits[-2])

    async def test_a_store_that_does_not_answer_ends_the_listing(self) -> None:
        lost = result.Err(httpclient.ResponseLost('down'))
        store = self._store(*[lost] * 8)
        listing = await store.list_rows('t')
        self.assertIsInstance(listing.unwrap_err(), table.Unavailable)

    async def test_a_listing_goes_on_where_it_was_broken_off(self) -> None:
        """Guards against pages that are read again from the first one."""
        row = {'table': 't', 'ver': 3, 'value': ''}
        first = {'rows': [{**row, 'key': 'a'}], 'more_pages': True, 'ver': 7}
        last = {'rows': [{**row, 'key': 'b'}], 'ver': 9}
        lost = result.Err(httpclient.ResponseLost('down'))
        store = self._store(_answer(200, first), *[lost] * 8)
        broken = (await store.list_rows('t')).unwrap_err()
        assert isinstance(broken, table.ListingBroken)
        self.pool.answers = [_answer(200, last)]
        listing = (await store.list_rows('t', broken.listed)).unwrap()
        self.assertEqual(['t/a', 't/b'], [row.key for row in listing.rows])
        self.assertEqual(7, listing.version)
        query = urllib.parse.parse_qs(
            self.pool.sent[-1].path.partition('?')[2]
        )
        self.assertEqual(['a\0'], query['from'])

    async def test_a_feed_returns_changes_and_truncated_history(self) -> None:
        body = {
            'rows': [
                {'table': 'op', 'key': 'config', 'ver': 4, 'value': 'e30='},
                {'table': 'op', 'key': 'x', 'ver': 5, 'removed': True},
            ],
            'ver': 5,
        }
        store = self._store(_answer(200, body), _answer(410, b''))
        changes = (await store.changes('op', 3, 0.1)).unwrap()
        self.assertEqual(b'{}', changes.rows[0].value)
        self.assertEqual(('op/x',), changes.removed)
        truncated = await store.changes('op', 3, 0.1)
        self.assertIsInstance(truncated.unwrap_err(), table.HistoryTruncated)

    async def test_a_feed_reports_rows_that_went_and_are_back(self) -> None:
        """Guards against a worker that is back and counts as gone (LOST).

        Or a zone that is evacuated again and counts as taken back (EVAC).
        """
        row = {'table': 'servers', 'value': 'e30='}
        gone = {'table': 'servers', 'removed': True}
        body = {
            'rows': [
                {**row, 'key': 'a', 'ver': 4},
                {**gone, 'key': 'a', 'ver': 5},
                {**gone, 'key': 'b', 'ver': 6},
                {**row, 'key': 'b', 'ver': 7},
            ],
            'ver': 7,
        }
        store = self._store(_answer(200, body))
        changes = (await store.changes('servers', 3, 0.1)).unwrap()
        self.assertEqual(('servers/a',), changes.removed)
        self.assertEqual(
            ['servers/a', 'servers/b'], [row.key for row in changes.rows]
        )

    async def test_an_unreadable_answer_is_an_error(self) -> None:
        for body in (b'\xff', b'[]', b'{"rows": 3}'):
            store = self._store(_answer(200, body), _answer(200, body))
            outcome = await store.read(['t/a'])
            self.assertIsInstance(outcome.unwrap_err(), table.Unavailable)


class HttpRunClientTest(unittest.IsolatedAsyncioTestCase):
    """Orders to workers over the platform's calls."""

    _RUN = orders.Run(jobgraph.TaskName('j', 0, 1, 2), 3)

    def _build_client(self, answer: typing.Any) -> workers.HttpRunClient:
        run_client = workers.HttpRunClient()
        self.pool = _FakePool(answer)
        pools: typing.Any = run_client._pools.pools_by_address
        pools['w:1'] = self.pool
        return run_client

    async def test_a_start_is_sent(self) -> None:
        run_client = self._build_client(_answer(200, {'clock_ms': 5000}))
        order = orders.Start(self._RUN, 'spec', 12.5, 4, 'saved')
        accepted = await run_client.start('w', 'w:1', order, 1.0)
        self.assertEqual(5.0, accepted.unwrap().clock_s)
        sent = msgspec.json.decode(self.pool.sent[0].body)
        expected = {
            'task': 'j.0.1.2',
            'run': 3,
            'spec': 'spec',
            'until_ms': 12500,
            'fencing_token': 4,
            'checkpoint': 'saved',
        }
        self.assertEqual(expected, sent)
        self.assertIn(('X-Expected-Instance', 'w'), self.pool.sent[0].headers)

    async def test_refusals_are_told_apart(self) -> None:
        """Each status and reason of a refusal maps to one ``Refusal``."""
        cases: tuple[tuple[int, typing.Any, orders.Refusal], ...] = (
            (409, {'reason': 'fence'}, orders.Refusal.STALE_EPOCH),
            (409, {'reason': 'old'}, orders.Refusal.SUPERSEDED),
            (409, {'reason': 'late'}, orders.Refusal.DEADLINE_PASSED),
            (409, {'reason': 'room'}, orders.Refusal.NO_CAPACITY),
            (421, b'', orders.Refusal.BOOT_MISMATCH),
            (503, b'', orders.Refusal.UNHEALTHY),
            (400, b'', orders.Refusal.INVALID),
        )
        for status, body, reason in cases:
            run_client = self._build_client(_answer(status, body))
            answer = await run_client.stop('w', 'w:1', self._RUN, 4, 1.0)
            refused = answer.unwrap_err()
            assert isinstance(refused, orders.Refused)
            self.assertIs(reason, refused.why)

    async def test_a_run_report_is_read(self) -> None:
        body = {
            'clock_ms': 7000,
            'born': 17,
            'running': [['j.0.1.2', 3, 'cp', 41, 900]],
            'ended': [[58, 'j.0.1.9', 1, 'done', '']],
        }
        run_client = self._build_client(_answer(200, body))
        report = (
            await run_client.poll_runs('w', 'w:1', 4, 57, 9.0, 1.0, 1.0)
        ).unwrap()
        self.assertEqual(17, report.boot)
        self.assertEqual(self._RUN, report.running[0].run)
        self.assertIs(orders.EndCause.DONE, report.ended[0].cause)

    async def test_an_undecodable_answer_is_no_report(self) -> None:
        """Guards against a crash, or a run report that is decoded in part."""
        bad: tuple[typing.Any, ...] = (
            b'\xff',
            {'clock_ms': 1, 'running': [['x']]},
            {'clock_ms': 1, 'running': [['no.task', 1, '', 1]]},
            {'clock_ms': 1, 'ended': [[1, 'j.0.1.9', 1, 'odd', '']]},
            {'clock_ms': 1, 'ended': [[1, 'j.0.1.9', 1, ['done'], '']]},
            {'clock_ms': 1, 'ended': [[None, 'j.0.1.9', 1, 'done', '']]},
            {'clock_ms': 1, 'running': [[7, 1, '', 1]]},
            {'clock_ms': 1, 'running': [[None, 1, '', 1]]},
            {'clock_ms': 1, 'running': [[['j.0.1.9'], 1, '', 1]]},
            {'clock_ms': 1, 'running': [['j.0.1.9', {}, '', 1]]},
            b'{"clock_ms": 1, "running": [["j.0.1.9", 1, "", 1e999]]}',
            b'{"clock_ms": 1e999}',
        )
        with mock.patch.object(workers, '_log', spec_set=builders.LOG_METHODS):
            for body in bad:
                run_client = self._build_client(_answer(200, body))
                answer = await run_client.poll_runs(
                    'w', 'w:1', 4, 57, None, 0.0, 1.0
                )
                error = answer.unwrap_err()
                self.assertIsInstance(error, orders.Unanswered)


class AdviceClientTest(unittest.IsolatedAsyncioTestCase):
    """Requests to the service that decides which workers may run a step."""

    async def test_tickets_are_read(self) -> None:
        boot = fleetbuilders.BOOT_TEXT + 'advice=127.0.0.1:9'
        client = advice.AdviceClient(settings.parse(boot, 'boot').unwrap())
        body = {'good': [['w1', 't1']], 'valid_ms': 3000}
        pool: typing.Any = _FakePool(
            _answer(200, body), _answer(429, b''), _answer(200, b'[]')
        )
        client._pool = pool
        step = livejobs.StepName('j', 0, 1)
        tickets = await client.ask(step, ('w1', 'w2'), 1.0)
        self.assertEqual(({'w1': 't1'}, 3.0), tickets.unwrap())
        sent = msgspec.json.decode(pool.sent[0].body)
        self.assertEqual({'step': 'j.0.1', 'workers': ['w1', 'w2']}, sent)
        for _ in range(2):
            failed = await client.ask(step, ('w1',), 1.0)
            self.assertIsInstance(failed.unwrap_err(), orders.Unanswered)
