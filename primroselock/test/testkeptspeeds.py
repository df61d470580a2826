"""Speeds of workers that the next holder of a shard knows.

Guards against urgent work on slow workers after each takeover.
"""

import asyncio
import typing
import unittest

from primroselock.decisions import fleet
from primroselock.decisions import speeds
from primroselock import speedrows
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import fleetbuilders

_SLOWDOWN: typing.Final = 1.8
_MAX_BYTES: typing.Final = 65_536


def _build_board(*worker_ids: str) -> fleet.ShardBoard:
    board = fleet.ShardBoard()
    for worker_id in worker_ids:
        board.record_entry(fleetbuilders.build_entry(worker_id), 0.0)
        board.workers_by_id[worker_id].boot = 7
    return board


def _learn(board: fleet.ShardBoard) -> None:
    """Let ``w0`` be at half the speed of the others."""
    for worker_id in ('w1', 'w2', 'w0'):
        rate_per_s = 0.05 if worker_id == 'w0' else 0.1
        board.worker_speeds.record(('j', 0), worker_id, rate_per_s)


def _store(board: fleet.ShardBoard) -> list[table.Row]:
    puts = speedrows.take_changed(board, 'fleet', _MAX_BYTES)
    return [table.Row(put.key, put.value, 1, '') for put in puts]


class RowTest(unittest.TestCase):
    """What one holder writes and the next reads."""

    def test_a_successor_knows_what_was_learned(self) -> None:
        board, successor = _build_board('w0', 'w1', 'w2'), _build_board('w0')
        _learn(board)
        for row in _store(board):
            speedrows.load(successor, 'fleet', row)
        self.assertAlmostEqual(
            board.worker_speeds.speed('w0'),
            successor.worker_speeds.speed('w0'),
            2,
        )

    def test_only_what_changed_is_written(self) -> None:
        """Guards against calls and bytes for nothing."""
        board = _build_board('w0', 'w1', 'w2')
        self.assertEqual([], _store(board))
        _learn(board)
        rows = _store(board)
        self.assertTrue(rows)
        self.assertEqual([], _store(board))
        puts = [table.Put(row.key, row.value) for row in rows]
        speedrows.note_unsaved(board, puts)
        self.assertEqual(len(rows), len(_store(board)))

    def test_a_row_keeps_what_was_inherited_and_not_confirmed(self) -> None:
        """A worker that has not answered yet may share a row with others."""
        board, successor = _build_board('w0', 'w1', 'w2'), _build_board('w0')
        _learn(board)
        rows = _store(board)
        successor.workers_by_id['w0'].boot = 0
        for row in rows:
            speedrows.load(successor, 'fleet', row)
        self.assertEqual(1.0, successor.worker_speeds.speed('w0'))
        successor.worker_speeds.changed_ids.add('w0')
        again = _store(successor)
        third = _build_board('w0')
        for row in again:
            speedrows.load(third, 'fleet', row)
        self.assertLess(third.worker_speeds.speed('w0'), 0.9)

    def test_another_incarnation_starts_at_the_usual_speed(self) -> None:
        """It may be of another kind."""
        board, successor = _build_board('w0', 'w1', 'w2'), _build_board('w0')
        _learn(board)
        successor.workers_by_id['w0'].boot = 8
        for row in _store(board):
            speedrows.load(successor, 'fleet', row)
        self.assertEqual(1.0, successor.worker_speeds.speed('w0'))

    def test_odd_rows_and_estimates_are_left_out(self) -> None:
        board = _build_board('w0')
        key = keys.worker_speeds('fleet', 3)
        for value in (
            b'',
            b'{',
            b'[["w0",7,"x",1]]',
            b'[["w0",7,1e9,1]]',
            b'[["w0",7,-0.5,0]]',
            b'[["w0",7,-0.5,1e300]]',
            b'[["w9",7,-0.5,1]]',
        ):
            with self.subTest(value=value):
                speedrows.load(board, 'fleet', table.Row(key, value, 1, ''))
                self.assertEqual(1.0, board.worker_speeds.speed('w0'))

    def test_what_was_learned_since_counts(self) -> None:
        known = speeds.Speeds()
        known.inherit('w0', speeds.Estimate(7, 2.0, 2.0), 0)
        for worker_id in ('w1', 'w2', 'w0'):
            known.record(('j', 0), worker_id, 0.1)
        known.confirm('w0', 7)
        self.assertAlmostEqual(1.0, known.speed('w0'))


class TakeoverTest(unittest.TestCase):
    """A successor places by what its predecessor has learned."""

    def test_an_urgent_gang_right_after_a_takeover(self) -> None:
        """The load: urgent gangs while holders are killed in a row."""

        async def scenario(world: fleetbuilders.World) -> float:
            for number in range(0, 8, 2):
                worker = world.fleet.workers_by_id[f'w{number}']
                worker.slowdown_factor = _SLOWDOWN
            world.add_node('entry-2')
            step = fleetbuilders.build_step(64, 1, 1500)
            world.submit(fleetbuilders.build_graph('first', step))
            await world.wait_for('first', 'done', 60.0)
            await asyncio.sleep(2.0)
            await world.find_shard_holder().kill()
            await asyncio.sleep(4.0)
            gang = fleetbuilders.build_step(4, 8, 1500, gang=True)
            graph = fleetbuilders.build_graph('u', gang, queue='urgent')
            world.submit(graph)
            return await world.wait_for('u', 'done', 30.0)

        self.assertLess(fleetbuilders.run_scenario(scenario, 8), 1.8)


if __name__ == '__main__':
    unittest.main()
