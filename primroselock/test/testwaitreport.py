"""The log tells why due work does not run beside free capacity."""

import dataclasses
import typing
import unittest
from unittest import mock

from primroselock.decisions import evidence
from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import waiting
from primroselock.decisions import waitreport
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from tools import largefleet

_EVENT: typing.Final = 'job waits beside free capacity'


class WaitReportTest(unittest.TestCase):
    """A board of ten empty workers that some reason excludes."""

    def setUp(self) -> None:
        self.settings = fleetbuilders.build_node_settings()
        self.board = largefleet.build_board(10)

    def submit(self, job_id: str, now: float) -> livejobs.LiveJob:
        """Add a job of two whole workers."""
        job = graphs.add_job(
            self.board,
            fleetbuilders.build_graph(
                job_id, fleetbuilders.build_step(2, 8, gang=True)
            ),
            None,
            0,
            now,
            int(now * 1000),
        )
        assert job is not None
        return job

    def run_rounds(self, start: float, end: float) -> list[dict[str, object]]:
        """Run a round every 0.5 s; return the values of the reports."""
        now = start
        reports = []
        while now <= end:
            fleetround.run(self.board, self.settings, now, now)
            reports += [
                record.values
                for record in self.board.take_decision_records()
                if record.event == _EVENT
            ]
            now += 0.5
        return reports

    def test_names_what_excludes_the_workers(self) -> None:
        workers = list(self.board.workers_by_id.values())
        for worker in workers[:4]:
            worker.failures_in_row = 1
        for worker in workers[4:]:
            self.board.failure_evidence.quarantines_by_worker_id[worker.id] = (
                evidence.Quarantine(100.0, 1)
            )
        self.submit('j', 1.0)
        reports = self.run_rounds(1.0, 6.0)
        self.assertEqual('waiting', reports[0]['phase'])
        self.assertEqual(
            {'calls to it fail': 4, 'quarantined': 6}, reports[0]['workers']
        )
        self.assertEqual(1, self.board.idle_waits)
        # About once a second, after the first two.
        self.assertLessEqual(len(reports), 4)

    def test_names_a_claim_and_an_unknown_queue(self) -> None:
        job = self.submit('j', 1.0)
        job.queue = None
        owner = self.submit('owner', 1.0)
        self.board.claims_by_group[owner.groups_of_step(0, 0)[0]] = (
            fleet.CapacityClaim(
                frozenset(self.board.workers_by_id), 1.0, (True, 0, False)
            )
        )
        owner.queue = None
        reports = self.run_rounds(1.0, 4.5)
        by_queue_known = [report['is_queue_known'] for report in reports]
        self.assertIn(False, by_queue_known)
        self.assertIn({'claimed for other groups': 10}, _workers(reports))

    def test_names_members_that_hold_an_attempt(self) -> None:
        job = self.submit('j', 1.0)
        group = job.groups_of_step(0, 0)[0]
        group.members = [
            livejobs.Member(
                group, index, 'gone', 1, livejobs.MemberState.INHERITED
            )
            for index in group.task_indices
        ]
        group.enter(livejobs.Phase.STARTING, 1.0)
        reports = self.run_rounds(1.0, 4.0)
        self.assertEqual('starting', reports[0]['phase'])
        self.assertEqual({'inherited': 2}, reports[0]['held'])

    def test_reports_nothing_while_workers_are_busy_or_work_runs(self) -> None:
        job = self.submit('j', 1.0)
        self.run_rounds(1.0, 1.0)
        largefleet.run_placed(self.board, 1.0)
        self.assertEqual('running', job.groups_of_step(0, 0)[0].phase.value)
        self.assertEqual([], self.run_rounds(1.0, 6.0))
        self.board.queue_configuration = dataclasses.replace(
            self.board.queue_configuration,
            zones_out_of_service=frozenset(
                w.entry.zone for w in self.board.workers_by_id.values()
            ),
        )
        for worker in self.board.workers_by_id.values():
            worker.used = worker.entry.capacity
        self.submit('k', 7.0)
        self.assertEqual([], self.run_rounds(7.0, 12.0))


class ReportLoadTest(unittest.TestCase):
    """The cost of a report while many jobs wait.

    The board has a hundred idle workers that are all quarantined.
    """

    def setUp(self) -> None:
        self.board = largefleet.build_board(100)
        for worker_id in self.board.workers_by_id:
            self.board.failure_evidence.quarantines_by_worker_id[worker_id] = (
                evidence.Quarantine(1000.0, 1)
            )

    def submit(self, jobs: int, step: jobgraph.Step) -> None:
        """Add jobs of one step at the time 0."""
        for number in range(jobs):
            graph = fleetbuilders.build_graph(f'j{number}', step)
            graphs.add_job(self.board, graph, None, 0, 0.0, number)

    def count_calls(self, owner: object, name: str, now: float) -> int:
        """Return how often a report at ``now`` calls a function."""
        with mock.patch.object(
            owner, name, wraps=getattr(owner, name)
        ) as called:
            waitreport.report_idle_waits(self.board, now)
        return called.call_count

    def test_workers_are_not_counted_for_each_waiting_job(self) -> None:
        """Guards against a report of jobs times workers.

        All jobs need the same, and a few workers hold it twice.
        """
        self.submit(300, fleetbuilders.build_step(40, 2))
        looks = self.count_calls(waitreport, '_is_candidate', 10.0)
        self.assertEqual(300, self.board.idle_waits)
        # Ten jobs are reported, each with all workers that it could use.
        self.assertLessEqual(looks, 11 * 100)

    def test_the_count_ends_once_it_is_enough(self) -> None:
        """Guards against a look at all workers for each kind of need."""
        for number in range(100):
            graph = fleetbuilders.build_graph(
                f'j{number}', fleetbuilders.build_step(1, 2, cpu_millis=number)
            )
            graphs.add_job(self.board, graph, None, 0, 0.0, number)
        looks = self.count_calls(waitreport, '_is_candidate', 10.0)
        self.assertEqual(100, self.board.idle_waits)
        self.assertLessEqual(looks, 100 * 2 + 10 * 100)

    def test_a_report_examines_a_part_of_very_many_jobs(self) -> None:
        """Guards against a cost that grows with the number of jobs.

        The next reports examine the rest.
        """
        self.submit(2000, fleetbuilders.build_step(1, 2))
        found = []
        for number in range(4):
            examined = self.count_calls(
                waitreport, '_find_held_group', 10.0 + number
            )
            self.assertLessEqual(examined, 500)
            found.append(self.board.idle_waits)
        self.assertEqual(2000, sum(found))

    def test_guarantees_are_computed_once_per_report(self) -> None:
        """Guards against a sort of all urgent jobs for each report line."""
        self.submit(20, fleetbuilders.build_step(1, 2))
        calls = self.count_calls(waiting, 'guaranteed_job_ids', 10.0)
        self.assertEqual(20, self.board.idle_waits)
        self.assertLessEqual(calls, 1)


def _workers(reports: list[dict[str, object]]) -> list[object]:
    return [report['workers'] for report in reports]


if __name__ == '__main__':
    unittest.main()
