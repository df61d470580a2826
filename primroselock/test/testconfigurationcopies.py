"""Copies of a large configuration on slow links, without a network.

Guards against a node that asks for the same rows from their start for ever,
since they take longer on its link than one call may.
"""

import asyncio
from collections import abc
import typing
import unittest
from unittest import mock

from primroselock import clock
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import builders
from primroselock.test import copybuilders
from primroselock.test import virtualtime
from standins import rowstore

_QUEUES: typing.Final = 2840
_LARGEST: typing.Final = 3600
"""Queues of a configuration that is about as large as a call may be."""

Scenario = abc.Callable[[rowstore.RowStore], abc.Coroutine[None, None, None]]


def run(scenario: Scenario) -> None:
    """Run a scenario with a store that has a small configuration."""

    async def run_with_clock(virtual: virtualtime.VirtualClock) -> None:
        store = copybuilders.build_store()
        copybuilders.write_configuration(store, 1, 40)
        await scenario(store)

    virtualtime.run(run_with_clock)


class GrowthTest(unittest.TestCase):
    """A version that is larger than the link carries in a call's bound."""

    def check_growth(self, queues: int, within_s: float) -> None:
        """Grow the configuration; each node has it in time."""

        async def scenario(store: rowstore.RowStore) -> None:
            nodes = [copybuilders.CopyNode(store, n) for n in range(5)]
            await asyncio.sleep(2.0)
            copybuilders.write_configuration(store, 2, queues)
            await asyncio.sleep(within_s)
            for node in nodes:
                self.assertEqual(2, node.version)
                age_s = node.follower.age_s(clock.monotonic())
                self.assertLess(age_s, within_s)
                self.assertTrue(node.follower.is_reachable)

        run(scenario)

    def test_a_grown_configuration_reaches_all_nodes(self) -> None:
        self.check_growth(_QUEUES, 3.0)

    def test_the_largest_configuration_reaches_all_nodes(self) -> None:
        self.check_growth(_LARGEST, 4.0)

    def test_two_versions_in_a_row(self) -> None:
        async def scenario(store: rowstore.RowStore) -> None:
            node = copybuilders.CopyNode(store)
            await asyncio.sleep(2.0)
            copybuilders.write_configuration(store, 2, _QUEUES)
            await asyncio.sleep(0.5)
            copybuilders.write_configuration(store, 3, _LARGEST)
            await asyncio.sleep(6.0)
            self.assertEqual(3, node.version)

        run(scenario)

    def test_a_node_that_starts_with_a_grown_configuration(self) -> None:
        async def scenario(store: rowstore.RowStore) -> None:
            copybuilders.write_configuration(store, 2, _LARGEST)
            node = copybuilders.CopyNode(store)
            await asyncio.sleep(3.0)
            self.assertEqual(2, node.version)

        run(scenario)


class FaultTest(unittest.TestCase):
    """Faults while a large version is on its way."""

    def check_faults(
        self,
        inject: abc.Callable[
            [rowstore.RowStore, copybuilders.CopyNode],
            abc.Coroutine[None, None, None],
        ],
        within_s: float,
    ) -> copybuilders.CopyNode:
        """Grow the configuration and inject; return the node with it."""
        nodes: list[copybuilders.CopyNode] = []

        async def scenario(store: rowstore.RowStore) -> None:
            node = copybuilders.CopyNode(store)
            nodes.append(node)
            await asyncio.sleep(2.0)
            copybuilders.write_configuration(store, 2, _QUEUES)
            await asyncio.sleep(0.5)
            incoming = tablefollower.Incoming
            self.assertIs(incoming.RECEIVING, node.follower.incoming)
            await inject(store, node)
            await asyncio.sleep(within_s)
            self.assertEqual(2, node.version)
            self.assertIs(incoming.NONE, node.follower.incoming)
            self.assertLess(node.follower.age_s(clock.monotonic()), 2.0)

        run(scenario)
        return nodes[0]

    def test_a_pause_throws_nothing_away(self) -> None:
        async def inject(
            store: rowstore.RowStore, node: copybuilders.CopyNode
        ) -> None:
            node.link.is_silent = True
            await asyncio.sleep(0.8)
            node.link.is_silent = False
            self.sent_bytes = node.link.sent_bytes

        node = self.check_faults(inject, 2.0)
        # The rest of the body, and the answers after it.
        self.assertLess(node.link.sent_bytes, 1.1e6)

    def test_resets_in_the_midst(self) -> None:
        """A change set that breaks twice is followed by a listing."""

        async def inject(
            store: rowstore.RowStore, node: copybuilders.CopyNode
        ) -> None:
            sent = node.link.sent_bytes
            node.link.resets_after = [sent + 10_000, sent + 500_000]

        node = self.check_faults(inject, 4.0)
        listings = [path for path in node.pool.paths if 'limit=' in path]
        self.assertEqual(2, len(listings))

    def test_a_link_that_falls_silent(self) -> None:
        async def inject(
            store: rowstore.RowStore, node: copybuilders.CopyNode
        ) -> None:
            node.link.is_silent = True
            await asyncio.sleep(2.0)
            known = tablefollower.Incoming.KNOWN
            self.assertIs(known, node.follower.incoming)
            await asyncio.sleep(4.0)
            node.link.is_silent = False

        self.check_faults(inject, 5.0)

    def test_a_store_that_forgets_its_history(self) -> None:
        async def inject(
            store: rowstore.RowStore, node: copybuilders.CopyNode
        ) -> None:
            fault = rowstore.Fault('forget', frozenset({0}))
            store.faults.append(fault)
            store.put('other', 'key', 'value')
            await asyncio.sleep(6.0)
            # The copy is listed again and again, and confirmed by that.
            self.assertEqual(2, node.version)
            store.faults.clear()

        self.check_faults(inject, 4.0)

    def test_a_slow_store(self) -> None:
        async def inject(
            store: rowstore.RowStore, node: copybuilders.CopyNode
        ) -> None:
            fault = rowstore.Fault('slow', frozenset({0}))
            store.faults.append(fault)
            await asyncio.sleep(6.0)
            store.faults.clear()

        self.check_faults(inject, 2.0)

    def test_a_node_that_restarts(self) -> None:
        async def scenario(store: rowstore.RowStore) -> None:
            node = copybuilders.CopyNode(store)
            await asyncio.sleep(1.0)
            copybuilders.write_configuration(store, 2, _QUEUES)
            await asyncio.sleep(0.5)
            node.end()
            successor = copybuilders.CopyNode(store)
            await asyncio.sleep(3.0)
            self.assertEqual(2, successor.version)

        run(scenario)


class AgeTest(unittest.TestCase):
    """How old the copy is, and what the node knows of it meanwhile."""

    def test_the_copy_is_confirmed_soon_after_a_long_answer(self) -> None:
        """Guards against a long-poll wait that adds to an old copy's age."""

        async def scenario(store: rowstore.RowStore) -> None:
            node = copybuilders.CopyNode(store, 0, 125_000.0)
            await asyncio.sleep(2.0)
            ages_s: list[float] = []

            def record_age(changes: table.Changes) -> None:
                ages_s.append(node.follower.age_s(clock.monotonic()))

            node.follower.add_handler(record_age)
            copybuilders.write_configuration(store, 2, _QUEUES)
            while node.version < 2:
                await asyncio.sleep(0.01)
            self.assertGreater(ages_s[0], 5.0)
            await asyncio.sleep(0.1)
            self.assertLess(node.follower.age_s(clock.monotonic()), 0.2)

        run(scenario)

    def test_an_answer_that_arrives_at_once_announces_nothing(self) -> None:
        async def scenario(store: rowstore.RowStore) -> None:
            node = copybuilders.CopyNode(store)
            for version in range(2, 40):
                copybuilders.write_configuration(store, version, 20)
                await asyncio.sleep(0.05)
                none = tablefollower.Incoming.NONE
                self.assertIs(none, node.follower.incoming)

        run(scenario)

    def test_progress_is_logged_while_nothing_arrives(self) -> None:
        """Guards against a node that says nothing after the first failure."""

        async def scenario(store: rowstore.RowStore) -> None:
            node = copybuilders.CopyNode(store)
            await asyncio.sleep(1.0)
            node.link.is_silent = True
            await asyncio.sleep(21.0)

        with mock.patch.object(
            tablefollower, '_log', spec_set=builders.LOG_METHODS
        ) as log:
            run(scenario)
        events = [call.args[0] for call in log.warning.call_args_list]
        self.assertEqual('table unreachable; retrying', events[0])
        still = events.count('table still unreachable')
        self.assertIn(still, (3, 4))
        self.assertEqual(1 + still, len(events))


if __name__ == '__main__':
    unittest.main()
