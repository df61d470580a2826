"""Jobs whose progress the store refuses, beside many that it takes."""

import asyncio
import typing
import unittest
from unittest import mock

import msgspec
import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock import graphwriter
from primroselock import groupcommit
from primroselock import jobgraph
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import fakefeed
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_JOBS: typing.Final = 200
_WIDE_JOBS: typing.Final = 12
_WIDTH: typing.Final = 250
_MOST_GROUPS: typing.Final = 1000
_CHANGED_PER_CALL: typing.Final = 3
_CALL_S: typing.Final = 0.005
_REFUSED_KEY: typing.Final = keys.progress('fleet', 'refused')


class _Lease:
    shard = 'fleet'
    epoch_row_version = 1


class _LoadedStore:
    """Takes writes; during each, some of the board's jobs change again.

    The calls numbered in ``refused_calls``, from 1, are rejected.
    """

    def __init__(
        self, board: fleet.ShardBoard, refused_calls: frozenset[int]
    ) -> None:
        self._board = board
        self._refused_calls = refused_calls
        self.jobs_by_call: list[int] = []

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Take or reject a transaction."""
        await asyncio.sleep(_CALL_S)
        self.jobs_by_call.append(len(transaction.puts))
        number = len(self.jobs_by_call)
        jobs = list(self._board.jobs_by_id.values())
        for index in range(_CHANGED_PER_CALL):
            position = number * _CHANGED_PER_CALL + index
            self._board.mark_changed(jobs[position % len(jobs)])
        if number in self._refused_calls:
            return result.Err(table.Rejected('refused'))
        return result.Ok(table.Committed(number))


def _add_jobs(board: fleet.ShardBoard, count: int) -> None:
    for number in range(count):
        graph = fleetbuilders.build_graph(f'j{number:03}')
        job = graphs.add_job(board, graph, None, table.ABSENT, 0.0, 0)
        assert job is not None
        board.mark_changed(job)


def _build_writer(
    store: typing.Any, board: fleet.ShardBoard
) -> graphwriter.ProgressWriter:
    lease: typing.Any = _Lease()
    return graphwriter.ProgressWriter(
        store,
        lease,
        board,
        lambda: None,
        clock.monotonic,
        fakefeed.MAX_ROW_BYTES,
    )


async def _write_for(
    writer: graphwriter.ProgressWriter, duration_s: float
) -> None:
    """Run a writer that is woken as by the rounds of a holder."""
    task = asyncio.create_task(writer.run())
    ends_at = clock.monotonic() + duration_s
    while clock.monotonic() < ends_at:
        writer.wake()
        await asyncio.sleep(0.1)
    task.cancel()


class BatchTest(unittest.TestCase):
    """A refused batch slows down only the jobs that were in it."""

    def test_others_are_written_in_full_batches_after_a_refusal(self) -> None:
        """Guards against a writer that stays at one job a transaction.

        After one refused batch, jobs that changed as fast as single ones
        were written kept all others waiting.
        """

        async def scenario(virtual: virtualtime.VirtualClock) -> int:
            board = fleet.ShardBoard(
                epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
            )
            _add_jobs(board, _JOBS)
            store = _LoadedStore(board, frozenset({2}))
            await _write_for(_build_writer(store, board), 2.0)
            return len(board.changed_ids)

        waiting = virtualtime.run(scenario)
        self.assertLessEqual(waiting, 2 * _CHANGED_PER_CALL)

    def test_wide_jobs_are_encoded_few_at_a_time(self) -> None:
        """Guards against a long time in which nothing else is done."""

        async def scenario(virtual: virtualtime.VirtualClock) -> list[int]:
            board = fleet.ShardBoard(
                epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
            )
            for number in range(_WIDE_JOBS):
                graph = fleetbuilders.build_graph(
                    f'wide-{number}', fleetbuilders.build_step(_WIDTH)
                )
                job = graphs.add_job(board, graph, None, table.ABSENT, 0.0, 0)
                assert job is not None
                board.mark_changed(job)
            store = _LoadedStore(board, frozenset())
            await _write_for(_build_writer(store, board), 0.5)
            return store.jobs_by_call

        jobs_by_call = virtualtime.run(scenario)
        self.assertGreaterEqual(sum(jobs_by_call), _WIDE_JOBS)
        self.assertLessEqual(max(jobs_by_call) * _WIDTH, _MOST_GROUPS)


class GroupCommitTest(unittest.TestCase):
    """Group commits stay below the limits of a transaction."""

    def test_large_writes_are_spread_over_transactions(self) -> None:
        """Guards against batches that are refused for their size each time.

        Each was sent and refused as a whole before its halves were sent.
        """

        async def scenario(virtual: virtualtime.VirtualClock) -> list[int]:
            store = fakefeed.FeedStore()
            client = fakefeed.FeedClient(store, fakefeed.Connectivity())
            committer = groupcommit.GroupCommitter(client, 0.0)
            value = bytes(60_000)
            sent: list[table.Transaction] = []

            def rejects(transaction: table.Transaction) -> bool:
                sent.append(transaction)
                return fakefeed.exceeds_limits(transaction)

            with mock.patch.object(store, 'rejects', rejects):
                outcomes = await asyncio.gather(
                    *(
                        committer.submit(
                            groupcommit.Write(f'k{n}', table.ABSENT, value)
                        )
                        for n in range(30)
                    )
                )
            self.assertTrue(all(outcome.is_ok() for outcome in outcomes))
            return [len(t.puts) for t in sent if fakefeed.exceeds_limits(t)]

        self.assertEqual([], virtualtime.run(scenario))


class _RefusingStore:
    """Rejects every write and counts them."""

    def __init__(self) -> None:
        self.calls = 0

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Reject a transaction."""
        await asyncio.sleep(_CALL_S)
        self.calls += 1
        return result.Err(table.Rejected('refused'))


class RetryTest(unittest.TestCase):
    """A job that is refused alone is written again, but rarely."""

    def test_refused_writes_and_their_log_are_bounded(self) -> None:
        """Guards against refused writes with each change of a job."""

        async def scenario(virtual: virtualtime.VirtualClock) -> int:
            board = fleet.ShardBoard(
                epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
            )
            _add_jobs(board, 10)
            store = _RefusingStore()
            writer = _build_writer(store, board)
            task = asyncio.create_task(_write_for(writer, 60.0))
            while not task.done():
                for job in board.jobs_by_id.values():
                    board.mark_changed(job)
                await asyncio.sleep(0.1)
            return store.calls

        methods = ('error', 'warning')
        with mock.patch.object(graphwriter, '_log', spec_set=methods) as log:
            calls = virtualtime.run(scenario)
        self.assertGreaterEqual(calls, 10 * 5)
        self.assertLessEqual(calls, 10 * 15)
        self.assertLessEqual(log.error.call_count, 60)

    def test_a_job_refused_once_is_stored(self) -> None:
        """Guards against a job that stays unstored without a change."""

        async def scenario(world: fleetbuilders.World) -> float:
            world.store.rejected_key = _REFUSED_KEY
            world.submit(fleetbuilders.build_graph('refused'))
            await asyncio.sleep(0.3)
            world.store.rejected_key = ''
            return await world.wait_for('refused', 'done', 5.0)

        fleetbuilders.run_scenario(scenario, 1)

    def test_an_end_is_confirmed_only_once_it_is_stored(self) -> None:
        """Guards against a lost end: its task would run again."""

        async def scenario(world: fleetbuilders.World) -> float:
            task = jobgraph.TaskName('refused', 0, 0, 0)
            world.submit(fleetbuilders.build_graph('refused'))
            await world.wait_for('refused', 'running', 2.0)
            world.store.rejected_key = _REFUSED_KEY
            await asyncio.sleep(4.0)
            self.assertIn(task, world.fleet.done)
            self.assertNotIn(task, world.fleet.confirmed_done)
            world.store.rejected_key = ''
            await world.wait_for('refused', 'done', 12.0)
            await asyncio.sleep(1.0)
            self.assertIn(task, world.fleet.confirmed_done)
            return float(world.fleet.starts)

        self.assertEqual(1.0, fleetbuilders.run_scenario(scenario, 1))


class PlacementTest(unittest.TestCase):
    """A placement that cannot be stored gives its capacity back."""

    def test_a_refused_placement_holds_no_capacity(self) -> None:
        """Guards against an attempt that is never stored nor ended.

        The job that was refused held its workers for ever.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            whole = fleetbuilders.build_step(1, 8)
            world.store.rejected_key = _REFUSED_KEY
            world.submit(fleetbuilders.build_graph('refused', whole))
            await asyncio.sleep(0.5)
            world.submit(fleetbuilders.build_graph('other', whole))
            await world.wait_for('other', 'done', 5.0)
            self.assertEqual(1, world.fleet.starts)
            await asyncio.sleep(20.0)
            self.assertEqual(1, world.fleet.starts)
            world.store.rejected_key = ''
            await world.wait_for('refused', 'done', 15.0)
            return float(world.fleet.starts)

        self.assertEqual(2.0, fleetbuilders.run_scenario(scenario, 1))

    def test_placements_refused_each_time_become_rare(self) -> None:
        """Guards against a job that is placed and ended over and over.

        The store takes its progress only while nothing of it is placed.
        """

        def rejects(transaction: table.Transaction) -> bool:
            return any(
                put.key == _REFUSED_KEY and self._is_placed(put.value)
                for put in transaction.puts
            )

        async def scenario(world: fleetbuilders.World) -> float:
            whole = fleetbuilders.build_step(1, 8)
            with mock.patch.object(world.store, 'rejects', rejects):
                world.submit(fleetbuilders.build_graph('refused', whole))
                await asyncio.sleep(60.0)
                attempts = self._read_attempts(world)
                world.submit(fleetbuilders.build_graph('other', whole))
                await world.wait_for('other', 'done', 3.0)
            self.assertEqual(1, world.fleet.starts)
            await world.wait_for('refused', 'done', 15.0)
            return float(attempts)

        attempts = fleetbuilders.run_scenario(scenario, 1)
        self.assertGreaterEqual(attempts, 3)
        self.assertLessEqual(attempts, 12)

    def _is_placed(self, value: bytes) -> bool:
        progress = msgspec.json.decode(value, type=jobgraph.JobProgress)
        return any(
            group.phase is jobgraph.GroupPhase.PLACED
            for group in progress.groups
        )

    def _read_attempts(self, world: fleetbuilders.World) -> int:
        progress = world.progress('refused')
        assert progress is not None
        return progress.groups[0].attempt


if __name__ == '__main__':
    unittest.main()
