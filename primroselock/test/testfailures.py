"""Each failure is counted once, also across a takeover."""

import typing
import unittest

import msgspec

from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import graphrows
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.workers import orders

_KEY: typing.Final = jobgraph.GroupKey(0, 0, 0)


class TakeoverTest(unittest.TestCase):
    """Guards against counting a failure twice after a takeover.

    The lease holder crashes after it stored a failure and before it
    confirmed the end to the worker, which then reports the same end to the
    next holder.
    """

    def setUp(self) -> None:
        gang = fleetbuilders.build_step(2, 8, gang=True)
        self.graph = fleetbuilders.build_graph('j', gang)
        self.settings = fleetbuilders.build_node_settings()

    def build_board(
        self, progress: jobgraph.JobProgress | None
    ) -> tuple[fleet.ShardBoard, livejobs.Group]:
        """Return the blackboard of a holder that has loaded the job's rows."""
        board = fleet.ShardBoard(
            epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        for name in ('w0', 'w1'):
            board.record_entry(fleetbuilders.build_entry(name), 0.0)
            board.workers_by_id[name].polled_at = 0.0
        job = graphs.add_job(board, self.graph, progress, 0, 0.0, 0)
        assert job is not None
        return board, job.groups_by_key[_KEY]

    def report_failure(
        self, board: fleet.ShardBoard, group: livejobs.Group
    ) -> None:
        """Record a run report in which the first member failed."""
        member = group.members[0]
        ended = orders.Ended(1, member.run, orders.EndCause.FAILED, '')
        worker = board.workers_by_id[member.worker_id]
        report = orders.RunReport(1.0, 1, (), (ended,), is_complete=False)
        runs.record_poll(board, worker, report, 1.0, 1.0, 1000)

    def test_an_end_that_is_reported_again_counts_once(self) -> None:
        board, group = self.build_board(None)
        fleetround.run(board, self.settings, 0.5, 0.5)
        for member in group.members:
            member.state = livejobs.MemberState.PRESENT
        self.report_failure(board, group)
        self.assertEqual(1, group.failures)
        row = graphrows.encode(graphs.build_progress(group.job))
        stored = msgspec.json.decode(row, type=jobgraph.JobProgress)
        successor, restored = self.build_board(stored)
        self.report_failure(successor, restored)
        self.assertEqual(1, restored.failures)

    def test_the_next_attempt_counts_separately(self) -> None:
        board, group = self.build_board(None)
        for failures in (1, 2):
            group.not_before = 0.0
            fleetround.run(board, self.settings, 0.5, 0.5)
            for member in group.members:
                member.state = livejobs.MemberState.PRESENT
            for _ in range(2):
                runs.end_group(
                    board, group, livejobs.EndReason.FAILED, 1.0, 1000
                )
                self.assertIs(livejobs.Phase.STOPPING, group.phase)
            self.assertEqual(failures, group.failures)
            for member in group.members:
                board.mark_terminated(member)
            runs.settle_group(board, group, 1.0, 1000)


if __name__ == '__main__':
    unittest.main()
