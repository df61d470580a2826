"""Runs that were lost or crashed: what an earlier holder and time tell."""

import dataclasses
import typing
import unittest

import msgspec

from primroselock.decisions import crashes
from primroselock.decisions import crashpolicy
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import runleases
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock import jobs
from primroselock.test import fleetbuilders
from primroselock.workers import orders


class LostRunTest(unittest.TestCase):
    """Runs whose worker was silent, across a takeover."""

    def _lose(self, **changes: typing.Any) -> jobgraph.JobProgress:
        """Return what is stored of a job whose worker fell silent."""
        board = fleet.ShardBoard(
            epoch=1, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        entry = fleetbuilders.build_entry('w0', **changes)
        board.record_entry(entry, 100.0)
        job = graphs.add_job(
            board, fleetbuilders.build_graph('j'), None, 0, 100.0, 100_000
        )
        assert job is not None
        (group,) = job.groups_by_key.values()
        group.attempt = 1
        member = livejobs.Member(
            group, 0, 'w0', 1, livejobs.MemberState.PRESENT
        )
        group.members.append(member)
        worker = board.workers_by_id['w0']
        worker.add_member(member)
        group.enter(livejobs.Phase.RUNNING, 100.0)
        worker.record_failed_call(102.0)
        runleases.expire_workers(board, 150.0, 150_000)
        return graphs.build_progress(job)

    def _take_over(
        self,
        progress: jobgraph.JobProgress,
        *entries: fleetworkers.WorkerEntry,
    ) -> fleet.ShardBoard:
        board = fleet.ShardBoard(
            epoch=2, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        for entry in entries:
            crashes.note_entry(board, entry, 200.0)
            board.record_entry(entry, 200.0)
        graph = fleetbuilders.build_graph('j')
        graphs.add_job(board, graph, progress, 1, 200.0, 200_000)
        crashes.review_entries(board, 200.0)
        return board

    def _group(self, board: fleet.ShardBoard) -> livejobs.Group:
        (group,) = board.jobs_by_id['j'].groups_by_key.values()
        return group

    def test_a_worker_that_is_back_before_the_takeover(self) -> None:
        """Guards against a crash that only the entry shows."""
        entry = fleetbuilders.build_entry('w0', boot=2)
        group = self._group(self._take_over(self._lose(), entry))
        self.assertEqual((), group.lost_runs)
        (crash,) = group.crashes
        self.assertEqual(jobgraph.Place('w0', 1), crash.place)
        self.assertIs(jobgraph.CrashEvidence.SHARED, crash.evidence)

    def test_a_worker_that_is_back_after_the_takeover(self) -> None:
        """Guards against a crash forgotten with the holder that saw it."""
        for worker_id in ('w0', 'other'):
            for is_listed in (True, False):
                with self.subTest(worker_id, is_listed=is_listed):
                    first = fleetbuilders.build_entry('w0')
                    entries = (first,) if is_listed else ()
                    board = self._take_over(self._lose(), *entries)
                    self.assertEqual((), self._group(board).crashes)
                    entry = dataclasses.replace(first, id=worker_id, boot=2)
                    crashes.note_entry(board, entry, 201.0)
                    self.assertEqual(1, len(self._group(board).crashes))

    def test_a_worker_that_was_cut_off(self) -> None:
        """Guards against silence taken for a crash by a later holder."""
        entry = fleetbuilders.build_entry('w0')
        board = self._take_over(self._lose(), entry)
        report = orders.RunReport(1.0, 1, (), ())
        worker = board.workers_by_id['w0']
        runs.record_poll(board, worker, report, 201.0, 201.0, 201_000)
        group = self._group(board)
        self.assertEqual(((), ()), (group.crashes, group.lost_runs))

    def test_a_worker_that_does_not_come_back(self) -> None:
        """Guards against rows that keep lost runs for ever."""
        board = self._take_over(self._lose())
        crashpolicy.give_up(board, 300.0, 300_000)
        self.assertEqual((), self._group(board).lost_runs)
        self.assertIn('j', board.changed_ids)

    def test_a_worker_that_was_draining(self) -> None:
        """Guards against a crash counted when a worker left as planned."""
        (record,) = self._lose(is_draining=True).groups
        self.assertEqual((), record.lost_runs)

    def test_rows_without_lost_runs(self) -> None:
        """Guards against a takeover that cannot read older rows."""
        record = [[0, 0, 0], 'p', 1, 0, '', [['w0', 1]], 0, []]
        read = msgspec.convert(record, jobgraph.GroupRecord)
        self.assertEqual((), read.lost_runs)


class LongRunTest(unittest.TestCase):
    """What a run shows that was at work for long, on one worker."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard(
            epoch=2, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        self.boot = 1
        self.now = 100.0
        self._report()

    def _add(self, **changes: typing.Any) -> livejobs.Group:
        step = fleetbuilders.build_step(1, 1, 5000, **changes)
        graph = fleetbuilders.build_graph('j', step)
        job = graphs.add_job(self.board, graph, None, 0, self.now, 0)
        assert job is not None
        (group,) = job.groups_by_key.values()
        return group

    def _report(self, *running: orders.Run) -> None:
        entry = fleetbuilders.build_entry('w0', boot=self.boot)
        self.board.record_entry(entry, self.now)
        worker = self.board.workers_by_id['w0']
        listed = tuple(orders.Running(run, '', 0.1) for run in running)
        report = orders.RunReport(self.now, self.boot, listed, ())
        runs.record_poll(self.board, worker, report, self.now, self.now, 0)

    def _run(self, group: livejobs.Group, run_s: float) -> None:
        """Run the next attempt of a group, and crash its worker."""
        group.attempt += 1
        member = livejobs.Member(
            group, 0, 'w0', self.boot, livejobs.MemberState.ORDERED
        )
        group.members.append(member)
        self.board.workers_by_id['w0'].add_member(member)
        group.enter(livejobs.Phase.STARTING, self.now)
        for _ in range(2):
            self._report(member.run)
            crashpolicy.give_up(self.board, self.now, 0)
            self.now += run_s / 2
        self._report(member.run)
        crashpolicy.give_up(self.board, self.now, 0)
        self.boot += 1
        self._report()
        self.now = max(self.now, group.not_before) + 4.0
        crashpolicy.give_up(self.board, self.now, 0)

    def test_lasting_work_is_started_again_for_ever(self) -> None:
        """Guards against lasting work given up for crashes in its life."""
        group = self._add(long_running=True)
        for _ in range(10):
            self._run(group, 60.0)
            self._run(group, 4.0)
        self.assertIs(jobs.JobState.RUNNING, group.job.state)
        self.assertLessEqual(len(group.crashes), 1)

    def test_two_quick_crashes_of_lasting_work(self) -> None:
        """Guards against lasting work given up for two accidents."""
        group = self._add(long_running=True)
        self._run(group, 4.0)
        self._run(group, 4.0)
        self.assertIs(jobs.JobState.RUNNING, group.job.state)
        self._run(group, 4.0)
        self.assertIs(jobs.JobState.FAILED, group.job.state)

    def test_crashes_late_in_long_runs(self) -> None:
        """Guards against long work given up for two accidents.

        The fourth crash decides, so that no cause lets it go on.
        """
        group = self._add()
        for _ in range(3):
            self._run(group, 60.0)
            self.assertIs(jobs.JobState.RUNNING, group.job.state)
        self._run(group, 60.0)
        self.assertIs(jobs.JobState.FAILED, group.job.state)


if __name__ == '__main__':
    unittest.main()
