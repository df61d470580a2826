"""Tests of the followed copy of a table: its rows and its age."""

import asyncio
from collections import abc
import dataclasses
import random
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock.store import resilience
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import builders
from primroselock.test import fakefeed
from primroselock.test import virtualtime

_PAUSE_SEEDS: typing.Final = range(100, 250)
"""With 155 and 202 a call is in flight when the outage ends."""


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """A table ``t``, its follower, and the connection between them."""

    store: fakefeed.FeedStore
    connectivity: fakefeed.Connectivity
    follower: tablefollower.TableFollower


Scenario = abc.Callable[[Site], abc.Coroutine[None, None, None]]


def run_scenario(scenario: Scenario) -> None:
    """Run a scenario with one follower of the table ``t``."""

    async def run_with_clock(virtual_clock: virtualtime.VirtualClock) -> None:
        store, connectivity = fakefeed.FeedStore(), fakefeed.Connectivity()
        store.put('t/a', b'1')
        client = fakefeed.FeedClient(store, connectivity)
        follower = tablefollower.TableFollower(client, 't', 1.0)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        await scenario(Site(store, connectivity, follower))
        task.cancel()

    virtualtime.run(run_with_clock)


class AdaptiveTimeoutTest(unittest.TestCase):
    """Lost responses are detected soon; a slow store gets enough time."""

    def test_lost_response_is_detected_soon(self) -> None:
        timeout = resilience.AdaptiveTimeout()
        for _ in range(20):
            timeout.record_answer(0.006)
        self.assertLessEqual(timeout.current_s(1.0), 0.25)

    def test_slow_store_gets_a_longer_timeout(self) -> None:
        timeout = resilience.AdaptiveTimeout()
        for _ in range(20):
            timeout.record_answer(0.006)
        timeouts = 0
        while timeout.current_s(1.0) < 0.4:
            timeout.record_timeout(1.0)
            timeouts += 1
        self.assertLessEqual(timeouts, 2)
        for _ in range(50):
            timeout.record_timeout(1.0)
        self.assertEqual(1.0, timeout.current_s(1.0))


class FollowerTest(unittest.TestCase):
    """The copy and its age while the store is unresponsive or refuses."""

    def test_a_history_that_is_always_too_short_is_listed_with_pauses(
        self,
    ) -> None:
        """Guards against listings of a whole table without a pause.

        The pattern: the store keeps less history than a listing takes.
        """

        async def scenario(site: Site) -> None:
            client = site.follower._store
            truncated = mock.AsyncMock(
                return_value=result.Err(table.HistoryTruncated())
            )
            with (
                mock.patch.object(client, 'changes', truncated),
                mock.patch.object(
                    client, 'list_rows', wraps=client.list_rows
                ) as listing,
            ):
                await asyncio.sleep(10.0)
                self.assertLess(listing.call_count, 100)
                self.assertLess(site.follower.age_s(clock.monotonic()), 1.0)
            site.store.put('t/b', b'2')
            await asyncio.sleep(1.0)
            self.assertIn('t/b', site.follower.rows_by_key)

        run_scenario(scenario)

    def test_a_broken_listing_goes_on_and_keeps_its_age(self) -> None:
        """The rows of its first page are confirmed as of their request."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            row = table.Row('t/a', b'', 3, '')
            listed = table.PartialListing((row,), 7, 'a\0')
            broken = result.Err(table.ListingBroken('down', listed))
            whole = result.Ok(table.Listing((row,), 7))
            client = mock.Mock()
            client.list_rows = mock.AsyncMock(side_effect=[broken, whole])
            never = asyncio.Event()
            client.changes = mock.AsyncMock(side_effect=never.wait)
            follower = tablefollower.TableFollower(client, 't', 1.0)
            started_at = clock.monotonic()
            task = asyncio.create_task(follower.run())
            await follower.loaded.wait()
            self.assertGreater(clock.monotonic(), started_at)
            self.assertEqual(started_at, follower.confirmed_at)
            self.assertEqual(
                [mock.call('t', None), mock.call('t', listed)],
                client.list_rows.call_args_list,
            )
            task.cancel()

        virtualtime.run(scenario)

    def test_handlers_receive_changes_at_once(self) -> None:
        async def scenario(site: Site) -> None:
            reported: list[table.Changes] = []
            site.follower.add_handler(reported.append)
            site.store.put('t/b', b'2')
            site.store.delete('t/a')
            await asyncio.sleep(0.02)
            self.assertEqual({'t/b'}, set(site.follower.rows_by_key))
            self.assertTrue(reported)

        run_scenario(scenario)

    def test_changes_that_a_handler_fails_to_apply(self) -> None:
        """They are reported again, and the copy grows old meanwhile.

        Guards against one row that ends the follower, and so the process.
        """

        async def scenario(site: Site) -> None:
            reported: list[table.Changes] = []
            is_broken = True

            def fail(changes: table.Changes) -> None:
                if is_broken:
                    raise ValueError('an odd row')
                reported.append(changes)

            site.follower.add_handler(fail)
            started_at = clock.monotonic()
            site.store.put('t/b', b'2')
            site.store.delete('t/a')
            await asyncio.sleep(5.0)
            self.assertEqual({'t/a'}, set(site.follower.rows_by_key))
            self.assertLessEqual(site.follower.confirmed_at, started_at + 0.1)
            self.assertFalse(site.follower.is_reachable)
            is_broken = False
            await asyncio.sleep(1.0)
            self.assertEqual({'t/b'}, set(site.follower.rows_by_key))
            self.assertEqual('t/b', reported[0].rows[0].key)
            self.assertTrue(site.follower.is_reachable)
            self.assertLess(site.follower.age_s(clock.monotonic()), 2.0)

        with mock.patch.object(
            tablefollower, '_log', spec_set=builders.LOG_METHODS
        ):
            run_scenario(scenario)

    def test_a_listing_that_a_handler_fails_to_apply(self) -> None:
        """The table is not loaded until all handlers have applied it."""

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            store = fakefeed.FeedStore()
            store.put('t/a', b'1')
            client = fakefeed.FeedClient(store, fakefeed.Connectivity())
            follower = tablefollower.TableFollower(client, 't', 1.0)
            failures = [ValueError('an odd row')] * 3

            def fail(changes: table.Changes) -> None:
                if failures:
                    raise failures.pop()

            follower.add_handler(fail)
            task = asyncio.create_task(follower.run())
            await asyncio.sleep(0.01)
            self.assertFalse(follower.loaded.is_set())
            await asyncio.sleep(5.0)
            self.assertTrue(follower.loaded.is_set())
            task.cancel()

        with mock.patch.object(
            tablefollower, '_log', spec_set=builders.LOG_METHODS
        ):
            virtualtime.run(scenario)

    def test_unchanged_table_stays_confirmed(self) -> None:
        """Guards against a copy that becomes stale while nothing changes."""

        async def scenario(site: Site) -> None:
            for _ in range(50):
                await asyncio.sleep(0.1)
                age_s = site.follower.age_s(clock.monotonic())
                self.assertLess(age_s, 2.1)

        run_scenario(scenario)

    def test_age_grows_while_the_feed_is_unresponsive(self) -> None:
        """Guards against a copy that counts as confirmed without an answer."""

        async def scenario(site: Site) -> None:
            site.connectivity.feed_is_unresponsive = True
            await asyncio.sleep(4.0)
            self.assertGreater(site.follower.age_s(clock.monotonic()), 3.0)
            site.store.put('t/b', b'2')
            site.connectivity.feed_is_unresponsive = False
            await asyncio.sleep(2.5)
            self.assertIn('t/b', site.follower.rows_by_key)
            self.assertLess(site.follower.age_s(clock.monotonic()), 2.1)

        run_scenario(scenario)

    def test_copy_is_confirmed_soon_after_an_outage(self) -> None:
        """The first response confirms; it is sent without a long-poll wait.

        It is that of a call in flight at the end of the outage or of the
        one after the longest pause, and it confirms as of its sending.
        """

        async def scenario(site: Site) -> None:
            site.connectivity.refuses_calls = True
            await asyncio.sleep(4.0)
            ended_at = clock.monotonic()
            site.connectivity.refuses_calls = False
            await asyncio.sleep(
                tablefollower.MAX_PAUSE_S + fakefeed.CALL_DURATION_S
            )
            self.assertGreater(
                site.follower.confirmed_at, ended_at - fakefeed.CALL_DURATION_S
            )
            self.assertTrue(site.follower.is_reachable)

        for seed in _PAUSE_SEEDS:
            pauses = random.Random(seed)
            with (
                self.subTest(seed=seed),
                mock.patch.object(random, 'uniform', pauses.uniform),
            ):
                run_scenario(scenario)

    def test_unreachable_store_is_detected_before_the_copy_is_old(
        self,
    ) -> None:
        async def scenario(site: Site) -> None:
            self.assertTrue(site.follower.is_reachable)
            site.connectivity.refuses_calls = True
            site.store.put('t/b', b'2')
            await asyncio.sleep(1.5)
            self.assertFalse(site.follower.is_reachable)

        run_scenario(scenario)

    def test_truncated_history_is_replaced_by_a_listing(self) -> None:
        """Guards against rows that stay since their deletion was not seen."""

        async def scenario(site: Site) -> None:
            reported: list[table.Changes] = []
            site.follower.add_handler(reported.append)
            site.connectivity.refuses_calls = True
            await asyncio.sleep(2.0)
            site.store.delete('t/a')
            site.store.put('t/b', b'2')
            site.store.drop_history()
            site.connectivity.refuses_calls = False
            await asyncio.sleep(2.0)
            self.assertEqual({'t/b'}, set(site.follower.rows_by_key))
            self.assertEqual(('t/a',), reported[-1].removed)

        run_scenario(scenario)

    def test_outdated_copy_answers_no_read(self) -> None:
        """A read past the maximum age of 2.5 s goes to the store."""

        async def scenario(site: Site) -> None:
            client = fakefeed.FeedClient(site.store, site.connectivity)
            reads = tablefollower.CachedReads(client, site.follower, 2.5)
            self.assertIsInstance(await reads.read(['t/a']), result.Ok)
            site.connectivity.refuses_calls = True
            await asyncio.sleep(4.0)
            self.assertIsInstance(await reads.read(['t/a']), result.Err)

        run_scenario(scenario)
