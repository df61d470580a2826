"""The cost of a decision round is proportional to the changes.

The tests run rounds on a large blackboard and count calls instead of
measuring times, so that a busy machine does not affect them.
"""

import typing
import unittest
from unittest import mock

from primroselock.decisions import fitting
from primroselock.decisions import fleethealth
from primroselock.decisions import fleetround
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock import options
from primroselock.test import fleetbuilders
from tools import largefleet

_WORKERS: typing.Final = 60
_TASKS: typing.Final = 1600


class LargeShardTest(unittest.TestCase):
    """Decision rounds on a blackboard with 60 workers and 1600 tasks."""

    def setUp(self) -> None:
        self.settings: options.Settings = fleetbuilders.build_node_settings()
        self.board = largefleet.build_board(_WORKERS)
        for number in range(_TASKS // 40):
            largefleet.add_job(self.board, f'j{number}', 'bulk', 40, 1.0)

    def run_round(self, now: float) -> None:
        """Run one round, then mark the placed groups as running."""
        fleetround.run(self.board, self.settings, now, now)
        largefleet.run_placed(self.board, now)

    def count_running(self) -> int:
        """Return the number of running groups."""
        return sum(
            group.phase is livejobs.Phase.RUNNING
            for job in self.board.jobs_by_id.values()
            for group in job.groups_by_key.values()
        )

    def test_a_first_round_is_bounded_and_the_rest_follows(self) -> None:
        """A round places at most 1000 groups, since leases must be renewed."""
        self.run_round(1.0)
        self.assertEqual(1000, self.count_running())
        self.run_round(1.1)
        self.assertEqual(_TASKS, self.count_running())

    def test_equal_tasks_do_not_each_scan_every_worker(self) -> None:
        with mock.patch.object(
            fitting, '_candidates', wraps=fitting._candidates
        ) as scan:
            self.run_round(1.0)
            self.run_round(1.1)
        # Each scan fills a worker or starts a job.
        self.assertLess(scan.call_count, 2 * (_WORKERS + _TASKS // 40))

    def test_tasks_that_do_not_fit_do_not_each_scan_every_worker(
        self,
    ) -> None:
        self.run_round(1.0)
        self.run_round(1.1)
        for number in range(20):
            largefleet.add_job(self.board, f'm{number}', 'bulk', 40, 1.2)
        self.run_round(1.2)
        with mock.patch.object(
            fitting, '_candidates', wraps=fitting._candidates
        ) as scan:
            self.run_round(1.3)
        self.assertLessEqual(scan.call_count, 2)

    def test_a_gang_spans_racks_once_no_rack_holds_it(self) -> None:
        """Guards against a cache that outlives the workers it is about."""
        board = largefleet.build_board(10)
        need = jobgraph.Resources(64_000, 1000, 32)
        step = jobgraph.Step(8, need, 1000, gang=True, rack_local=True)
        for number in range(2):
            graph = jobgraph.JobGraph(
                f'g{number}', 'acme', 'bulk', '', (step,), 1000
            )
            graphs.add_job(board, graph, None, 0, 1.0, 1000)
        fleetround.run(board, self.settings, 1.0, 1.0)
        # The rack of eight is taken; the second gang waits for it.
        self.assertEqual(1, len(board.phases.waiting))
        largefleet.run_placed(board, 1.0)
        held = board.jobs_by_id['g0'].groups_by_key.values()
        members = next(iter(held)).members
        for member in list(members):
            board.mark_terminated(member)
        board.record_unlisted(members[0].worker_id)
        board.claims_by_group.clear()
        fleetround.run(board, self.settings, 2.0, 2.0)
        self.assertEqual([], board.phases.waiting)

    def test_the_caches_of_steps_are_bounded(self) -> None:
        board = largefleet.build_board(40)
        for number in range(500):
            need = jobgraph.Resources(1000, 1000 + number, 1)
            graph = jobgraph.JobGraph(
                f'j{number}',
                'acme',
                'bulk',
                '',
                (jobgraph.Step(1, need, 1000),),
                1000,
            )
            graphs.add_job(board, graph, None, 0, 1.0, 1000)
            fleetround.run(board, self.settings, 1.0, 1.0)
        self.assertLess(len(board.entry_cache.usable_by_kind), 210)

    def test_runs_without_a_new_report_are_not_judged(self) -> None:
        """Only groups with a new run report are checked for being stuck."""
        self.run_round(1.0)
        with mock.patch.object(
            fleethealth, '_why_stuck', wraps=fleethealth._why_stuck
        ) as why_stuck:
            self.run_round(1.2)
        why_stuck.assert_not_called()

    def test_the_phase_index_matches_the_groups(self) -> None:
        self.run_round(1.0)
        waiting = {
            group
            for job in self.board.jobs_by_id.values()
            for group in job.groups_by_key.values()
            if group.phase is livejobs.Phase.WAITING
        }
        self.assertEqual(waiting, set(self.board.phases.waiting))
        self.assertEqual({}, self.board.phases.starting)


if __name__ == '__main__':
    unittest.main()
