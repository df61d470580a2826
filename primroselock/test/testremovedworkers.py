"""Calls that end after their worker was removed from the blackboard."""

import typing
import unittest

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import runleases
from primroselock.decisions import workerboots
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.workers import orders

_ORDERED_AT: typing.Final = 100.0


class RemovedWorkerTest(unittest.TestCase):
    """A worker with a start under way has left and was removed."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard()
        self.board.record_entry(fleetbuilders.build_entry('w0'), _ORDERED_AT)
        self.worker = self.board.workers_by_id['w0']
        run = orders.Run(jobgraph.TaskName('j', 0, 0, 0), 1)
        self.worker.late_runs[run] = fleetworkers.LateRun(
            _ORDERED_AT, 1, fleetbuilders.build_step(), 'w0:1'
        )
        self.board.record_unlisted('w0')
        self.assertIn('w0', self.board.late_runs_by_removed_id)

    def test_another_worker_answers_at_its_address(self) -> None:
        """Guards against a round that fails, and so gives up the shard."""
        workerboots.forget_refused(self.worker, 'w0:1', _ORDERED_AT + 1.0)
        runleases.expire_workers(self.board, _ORDERED_AT + 1.5, 0)
        self.assertEqual({}, self.board.late_runs_by_removed_id)

    def test_a_start_under_way_is_remembered(self) -> None:
        """Guards against a worker that is back and may begin it."""
        runleases.expire_workers(self.board, _ORDERED_AT + 1.5, 0)
        self.assertIn('w0', self.board.late_runs_by_removed_id)


if __name__ == '__main__':
    unittest.main()
