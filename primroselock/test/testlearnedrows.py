"""What a holder learned of run times, and what its successor finds of it.

Whole nodes on fakes, in virtual time; the store fails at one call.
"""

import asyncio
import typing
import unittest

import result

from primroselock.decisions.runtimes import learner
from primroselock import learnedrows
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import fakestore
from primroselock.test import fleetbuilders

_KEY: typing.Final = keys.learned('fleet')
_KIND: typing.Final = learner.Kind('bulk', 'signs')
_INTERVAL_S: typing.Final = 15.0
_ESTIMATE_S: typing.Final = 0.25
"""The fake workers run each task for its estimate."""


async def _run_jobs(world: fleetbuilders.World, first: int = 0) -> None:
    """Run ten jobs of one task to their ends."""
    for number in range(first, first + 10):
        step = fleetbuilders.build_step(1, 1, int(_ESTIMATE_S * 1000))
        world.submit(fleetbuilders.build_graph(f'j{number}', step))
    for number in range(first, first + 10):
        await world.wait_for(f'j{number}', 'done', 20.0)


def _learned(node: fleetbuilders.TestNode) -> learner.RunTimes:
    """Return what the holder of the shard has learned."""
    session = node.holder._session
    assert session is not None
    return session._board.learned


async def _kill_holder(world: fleetbuilders.World) -> None:
    """Kill the holder, and wait until another node has taken over."""
    holder = world.find_shard_holder()
    await holder.kill()
    world.nodes.remove(holder)
    await asyncio.sleep(6.0)


def _row(world: fleetbuilders.World) -> table.Row | None:
    return world.store.inner.rows.get(_KEY)


class TakeoverTest(unittest.TestCase):
    """A successor reads what was learned."""

    def test_a_successor_knows_what_was_learned(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            await _run_jobs(world)
            await asyncio.sleep(_INTERVAL_S + 1.0)
            first = world.find_shard_holder()
            known = _learned(first).expected_s(_KIND, 1.0)
            await _kill_holder(world)
            second = world.find_shard_holder()
            self.assertIsNot(first, second)
            self.assertAlmostEqual(
                known, _learned(second).expected_s(_KIND, 1.0), 2
            )

        fleetbuilders.run_with_node(scenario)

    def test_a_holder_that_dies_before_it_has_written(self) -> None:
        """The successor learns anew; nothing else changes."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            await _run_jobs(world)
            self.assertIsNone(_row(world))
            await _kill_holder(world)
            self.assertEqual({}, _learned(world.find_shard_holder()).by_queue)
            await _run_jobs(world, 10)

        fleetbuilders.run_with_node(scenario)

    def test_a_row_that_cannot_be_read(self) -> None:
        """Jobs go on by the callers' estimates, and the row is replaced."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-2')
            await _run_jobs(world)
            world.store.put(_KEY, b'\xff not a record')
            await _kill_holder(world)
            self.assertEqual({}, _learned(world.find_shard_holder()).by_queue)
            await _run_jobs(world, 10)
            await asyncio.sleep(_INTERVAL_S + 1.0)
            row = _row(world)
            assert row is not None
            self.assertIn(b'bulk', row.value)

        fleetbuilders.run_with_node(scenario)

    def test_a_store_that_does_not_answer_the_read(self) -> None:
        async def scenario() -> None:
            store = fakestore.FakeStore()
            store.reads_available = False
            settings = fleetbuilders.build_node_settings()
            times = await learnedrows.load(settings, store)
            self.assertEqual({}, times.by_queue)

        asyncio.run(scenario())


class WriteTest(unittest.TestCase):
    """The row is written at intervals, under the holder's epoch."""

    def test_nothing_is_written_while_nothing_ends(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            await _run_jobs(world)
            await asyncio.sleep(_INTERVAL_S + 1.0)
            before = _row(world)
            await asyncio.sleep(_INTERVAL_S * 3)
            self.assertIs(before, _row(world))
            await _run_jobs(world, 10)
            await asyncio.sleep(_INTERVAL_S + 1.0)
            self.assertIsNot(before, _row(world))

        fleetbuilders.run_with_node(scenario)

    def test_a_write_that_fails_is_made_again(self) -> None:
        """The store refuses the first write of the row, and no other."""

        async def scenario(world: fleetbuilders.World) -> None:
            refused: list[table.Transaction] = []
            node = world.nodes[0]
            transact = node.client.transact

            async def refuse_first(
                transaction: table.Transaction,
            ) -> result.Result[table.Committed, table.TransactError]:
                keys_written = [put.key for put in transaction.puts]
                if _KEY in keys_written and not refused:
                    refused.append(transaction)
                    return result.Err(table.Unavailable('down'))
                return await transact(transaction)

            node.client.transact = refuse_first  # type: ignore[method-assign]
            await _run_jobs(world)
            await asyncio.sleep(_INTERVAL_S + 1.0)
            self.assertEqual(1, len(refused))
            self.assertIsNone(_row(world))
            await asyncio.sleep(_INTERVAL_S)
            self.assertIsNotNone(_row(world))

        fleetbuilders.run_with_node(scenario)

    def test_an_earlier_holder_does_not_overwrite_the_row(self) -> None:
        """Guards against a write under an epoch that is over."""

        async def scenario(world: fleetbuilders.World) -> None:
            await _run_jobs(world)
            lease = world.find_shard_holder().holder.lease
            lease.epoch_row_version -= 1
            self.assertFalse(
                await learnedrows._write(lease, world.nodes[0].client, b'old')
            )
            self.assertIsNone(_row(world))

        fleetbuilders.run_with_node(scenario)


if __name__ == '__main__':
    unittest.main()
