"""Jobs whose progress the store refuses, beside many that it takes."""

import asyncio
import typing
import unittest

import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock import graphwriter
from primroselock.store import table
from primroselock.test import fakefeed
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_JOBS: typing.Final = 200
_CHANGED_PER_CALL: typing.Final = 3
_CALL_S: typing.Final = 0.005


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


if __name__ == '__main__':
    unittest.main()
