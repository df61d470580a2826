"""Copies of a large configuration on slow links, without a network.

Guards against a node that asks for the same rows from their start for ever,
since they take longer on its link than one call may.
"""

import asyncio
from collections import abc
import typing
import unittest

from primroselock import clock
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


if __name__ == '__main__':
    unittest.main()
