"""Stops of settled runs, for each boot where a start of theirs may begin."""

import unittest

from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.workers import orders


class SecondRestartTest(unittest.TestCase):
    """A worker starts again while a stop for the boot before is new."""

    def test_its_report_makes_a_stop_due(self) -> None:
        """Guards against a pause that counts from a stop of another boot."""
        board = fleet.ShardBoard(epoch=1)
        board.record_entry(fleetbuilders.build_entry('w'), 0.0)
        worker = board.workers_by_id['w']
        graph = fleetbuilders.build_graph('j', fleetbuilders.build_step())
        key = jobgraph.GroupKey(0, 0, 0)
        job = livejobs.LiveJob(graph, None)
        group = livejobs.Group(
            job, key, graph.steps[0], livejobs.Phase.DONE, 0.0
        )
        member = livejobs.Member(
            group, 0, 'w', 1, livejobs.MemberState.TERMINATED
        )
        worker.boot = 1
        worker.add_late_run(member, 9.0)
        for boot, now, expected in (
            (1, 10.0, 0),
            (2, 11.0, 1),
            (2, 11.1, 0),
            (3, 11.2, 1),
            (3, 11.3, 0),
            (3, 11.8, 1),
        ):
            report = orders.RunReport(now, boot, (), ())
            runs.record_poll(board, worker, report, now, now, 0)
            self.assertEqual(expected, len(board.orders), f'{boot} {now}')
            board.orders.clear()


if __name__ == '__main__':
    unittest.main()
