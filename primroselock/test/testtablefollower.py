"""A copy of a table: what it shows, and how old it says that it is."""

import asyncio
from collections import abc
import unittest

import result

from primroselock import clock
from primroselock.store import resilience
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fakefeed
from primroselock.test import virtualtime

Scenario = abc.Callable[
    [fakefeed.FeedStore, fakefeed.Connectivity, tablefollower.TableFollower],
    abc.Coroutine[None, None, None],
]


def play(scenario: Scenario) -> None:
    """Play a scenario with one follower of the table ``t``."""

    async def whole(virtual: virtualtime.VirtualClock) -> None:
        store, connectivity = fakefeed.FeedStore(), fakefeed.Connectivity()
        store.put('t/a', b'1')
        client = fakefeed.FeedClient(store, connectivity)
        follower = tablefollower.TableFollower(client, 't', 1.0)
        task = asyncio.create_task(follower.run())
        await follower.loaded.wait()
        await scenario(store, connectivity, follower)
        task.cancel()

    virtualtime.run(whole)


class AdaptiveTimeoutTest(unittest.TestCase):
    """Lost answers are noticed soon; a slow store is waited for."""

    def test_a_lost_answer_is_noticed_soon(self) -> None:
        timeout = resilience.AdaptiveTimeout()
        for _ in range(20):
            timeout.record_answer(0.006)
        self.assertLessEqual(timeout.current_s(1.0), 0.25)

    def test_a_slow_store_is_waited_for(self) -> None:
        timeout = resilience.AdaptiveTimeout()
        for _ in range(20):
            timeout.record_answer(0.006)
        tries = 0
        while timeout.current_s(1.0) < 0.4:
            timeout.record_timeout(1.0)
            tries += 1
        self.assertLessEqual(tries, 2)
        for _ in range(50):
            timeout.record_timeout(1.0)
        self.assertEqual(1.0, timeout.current_s(1.0))


class FollowerTest(unittest.TestCase):
    """Following through drops, silence and outages."""

    def test_changes_are_told_at_once(self) -> None:
        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            told: list[table.Changes] = []
            follower.add_handler(told.append)
            store.put('t/b', b'2')
            store.delete('t/a')
            await asyncio.sleep(0.02)
            self.assertEqual({'t/b'}, set(follower.rows_by_key))
            self.assertTrue(told)

        play(scenario)

    def test_a_quiet_table_stays_confirmed(self) -> None:
        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            for _ in range(50):
                await asyncio.sleep(0.1)
                age_s = follower.age_s(clock.monotonic())
                self.assertLess(age_s, 2.1)

        play(scenario)

    def test_age_grows_while_the_feed_is_silent(self) -> None:
        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            connectivity.feed_is_unresponsive = True
            await asyncio.sleep(4.0)
            self.assertGreater(follower.age_s(clock.monotonic()), 3.0)
            store.put('t/b', b'2')
            connectivity.feed_is_unresponsive = False
            await asyncio.sleep(2.5)
            self.assertIn('t/b', follower.rows_by_key)
            self.assertLess(follower.age_s(clock.monotonic()), 2.1)

        play(scenario)

    def test_a_copy_is_confirmed_soon_after_an_outage(self) -> None:
        """The first answer confirms; it is not held for the feed's wait."""

        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            connectivity.refuses_calls = True
            await asyncio.sleep(4.0)
            connectivity.refuses_calls = False
            await asyncio.sleep(0.5)
            self.assertLess(follower.age_s(clock.monotonic()), 0.5)
            self.assertTrue(follower.is_reachable)

        play(scenario)

    def test_a_store_out_of_reach_is_known_before_the_copy_is_old(
        self,
    ) -> None:
        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            self.assertTrue(follower.is_reachable)
            connectivity.refuses_calls = True
            store.put('t/b', b'2')
            await asyncio.sleep(1.5)
            self.assertFalse(follower.is_reachable)

        play(scenario)

    def test_a_dropped_history_is_made_up_for(self) -> None:
        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            told: list[table.Changes] = []
            follower.add_handler(told.append)
            connectivity.refuses_calls = True
            await asyncio.sleep(2.0)
            store.delete('t/a')
            store.put('t/b', b'2')
            store.drop_history()
            connectivity.refuses_calls = False
            await asyncio.sleep(2.0)
            self.assertEqual({'t/b'}, set(follower.rows_by_key))
            self.assertEqual(('t/a',), told[-1].removed)

        play(scenario)

    def test_an_old_copy_answers_no_read(self) -> None:
        async def scenario(
            store: fakefeed.FeedStore,
            connectivity: fakefeed.Connectivity,
            follower: tablefollower.TableFollower,
        ) -> None:
            client = fakefeed.FeedClient(store, connectivity)
            reads = tablefollower.CachedReads(client, follower, 2.5)
            self.assertIsInstance(await reads.read(['t/a']), result.Ok)
            connectivity.refuses_calls = True
            await asyncio.sleep(4.0)
            self.assertIsInstance(await reads.read(['t/a']), result.Err)

        play(scenario)
