"""Which crashes count against a task."""

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


class CountTest(unittest.TestCase):
    """What a new holder makes of stored placements and of run reports."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard(
            epoch=2, queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )

    def _inherit(
        self, *crashes: jobgraph.Crash, boot: int = 1, worker_id: str = 'w0'
    ) -> livejobs.Group:
        """Take over a job whose attempt was placed on a worker."""
        key = jobgraph.GroupKey(0, 0, 0)
        record = jobgraph.GroupRecord(
            key,
            jobgraph.GroupPhase.PLACED,
            len(crashes) + 1,
            places=(jobgraph.Place(worker_id, boot),),
            crashes=crashes,
        )
        progress = jobgraph.JobProgress(jobs.JobState.RUNNING, (record,))
        graph = fleetbuilders.build_graph(f'j{len(self.board.jobs_by_id)}')
        job = graphs.add_job(self.board, graph, progress, 1, 100.0, 100_000)
        assert job is not None
        return job.groups_by_key[key]

    def _list(self, **changes: typing.Any) -> fleetworkers.Worker:
        entry = fleetbuilders.build_entry('w0', **changes)
        crashes.note_entry(self.board, entry, 100.0)
        self.board.record_entry(entry, 100.0)
        return self.board.workers_by_id['w0']

    def _report(
        self,
        worker: fleetworkers.Worker,
        boot: int,
        *running: orders.Run,
        now: float = 101.0,
    ) -> None:
        listed = tuple(orders.Running(run, '', 0.1) for run in running)
        report = orders.RunReport(1.0, boot, listed, ())
        runs.record_poll(self.board, worker, report, now, now, 101_000)

    def test_a_takeover_between_crash_and_report(self) -> None:
        """Guards against a crash unseen since the holder changed."""
        worker = self._list(boot=2)
        group = self._inherit()
        self._report(worker, 2)
        self.assertEqual(
            [(1, jobgraph.Place('w0', 1))],
            [(crash.attempt, crash.place) for crash in group.crashes],
        )

    def test_two_holders_count_an_attempt_once(self) -> None:
        """Guards against a crash that two holders count."""
        worker = self._list(boot=2)
        known = jobgraph.Crash(
            1, jobgraph.CrashEvidence.CLEAR, jobgraph.Place('w0', 1)
        )
        group = self._inherit()
        group.crashes = (known,)
        self._report(worker, 2)
        self.assertEqual((known,), group.crashes)

    def test_a_run_that_the_new_incarnation_lists(self) -> None:
        """Guards against a crash counted from a placement's old boot."""
        worker = self._list(boot=2)
        group = self._inherit()
        (member,) = group.members
        self._report(worker, 2, member.run)
        self.assertEqual((), group.crashes)
        self._report(worker, 2, member.run, now=102.0)
        self.assertEqual((), group.crashes)

    def test_a_report_of_the_incarnation_before(self) -> None:
        """Guards against a late answer of an earlier boot as a crash."""
        worker = self._list(boot=2)
        group = self._inherit(boot=2)
        (member,) = group.members
        self._report(worker, 2, member.run)
        self._report(worker, 1, now=102.0)
        self.assertEqual((), group.crashes)

    def test_a_planned_restart(self) -> None:
        """Guards against a crash counted when a worker drains and leaves."""
        worker = self._list(boot=1, is_draining=True)
        group = self._inherit()
        self._report(worker, 1, group.members[0].run)
        self._list(boot=2)
        self._report(worker, 2, now=102.0)
        self.assertEqual((), group.crashes)

    def test_a_planned_restart_beside_a_crash(self) -> None:
        """Guards against an updated idle worker taken for a wide loss."""
        for boot, is_draining in ((1, True), (2, False)):
            entry = fleetbuilders.build_entry(
                'w1', boot=boot, is_draining=is_draining
            )
            crashes.note_entry(self.board, entry, 100.0)
            self.board.record_entry(entry, 100.0)
            self._report(self.board.workers_by_id['w1'], boot)
        worker = self._list(boot=2)
        group = self._inherit()
        self._report(worker, 2)
        self.assertEqual(
            [jobgraph.CrashEvidence.CLEAR],
            [crash.evidence for crash in group.crashes],
        )

    def test_expired_leases(self) -> None:
        """Guards against silence taken for a crash, which is shown later."""
        worker = self._list()
        group = self._inherit()
        self._report(worker, 1, group.members[0].run)
        worker.record_failed_call(102.0)
        runleases.expire_workers(self.board, 150.0, 150_000)
        self.assertEqual((), group.crashes)
        self._report(worker, 2, now=151.0)
        self.assertEqual(1, len(group.crashes))

    def test_expired_leases_and_a_new_entry(self) -> None:
        """Guards against a crash unseen since nothing is placed there."""
        worker = self._list()
        group = self._inherit()
        self._report(worker, 1, group.members[0].run)
        worker.record_failed_call(102.0)
        runleases.expire_workers(self.board, 150.0, 150_000)
        self._list(boot=2)
        self.assertEqual(1, len(group.crashes))
        self._report(worker, 2, now=151.0)
        self.assertEqual(1, len(group.crashes))
        (loss,) = self.board.crashes.losses
        self.assertEqual({group.job.graph.id}, loss.job_ids)

    def test_expired_leases_and_a_planned_restart(self) -> None:
        """Guards against a crash counted for a worker cut and updated."""
        worker = self._list()
        group = self._inherit()
        self._report(worker, 1, group.members[0].run)
        worker.record_failed_call(102.0)
        runleases.expire_workers(self.board, 150.0, 150_000)
        self._list(is_draining=True)
        self._list(boot=2)
        self.assertEqual(((), ()), (group.crashes, group.lost_runs))

    def test_a_cut_worker_that_is_back(self) -> None:
        """Guards against a crash counted for a restart long after a cut."""
        worker = self._list()
        group = self._inherit()
        self._report(worker, 1, group.members[0].run)
        worker.record_failed_call(102.0)
        runleases.expire_workers(self.board, 150.0, 150_000)
        self._report(worker, 1, now=151.0)
        self._report(worker, 2, now=152.0)
        self.assertEqual((), group.crashes)

    def test_a_start_that_was_not_answered(self) -> None:
        """Guards against a start sent again to the next incarnation."""
        worker = self._list()
        group = self._inherit()
        (member,) = group.members
        self._report(worker, 1, member.run)
        member.state = livejobs.MemberState.ORDERED
        group.enter(livejobs.Phase.STARTING, 101.0)
        self._report(worker, 2, now=102.0)
        self.assertEqual(1, len(group.crashes))
        self.assertIs(livejobs.Phase.STOPPING, group.phase)

    def _lose_idle_worker(self) -> None:
        for boot in (1, 2):
            entry = fleetbuilders.build_entry('w1', boot=boot)
            crashes.note_entry(self.board, entry, 101.0)
            self.board.record_entry(entry, 101.0)

    def test_an_idle_worker_lost_before(self) -> None:
        """Guards against a cause seen in a loss of an idle worker too."""
        worker = self._list(boot=2)
        group = self._inherit()
        self._lose_idle_worker()
        self._report(worker, 2)
        self.assertEqual(
            [jobgraph.CrashEvidence.OUTSIDE],
            [crash.evidence for crash in group.crashes],
        )

    def test_an_idle_worker_seen_lost_afterwards(self) -> None:
        """Guards against a job given up before all of a loss is known."""
        worker = self._list(boot=2)
        first = jobgraph.Crash(
            1, jobgraph.CrashEvidence.CLEAR, jobgraph.Place('w7', 5)
        )
        group = self._inherit(first)
        self._report(worker, 2)
        self._lose_idle_worker()
        crashpolicy.give_up(self.board, group.not_before, 103_000)
        self.assertIs(jobs.JobState.RUNNING, group.job.state)
        self.assertIs(
            jobgraph.CrashEvidence.OUTSIDE, group.crashes[-1].evidence
        )

    def test_a_first_crash_beside_a_possible_cause(self) -> None:
        """Guards against an earlier crash that decides about a new cause."""
        worker = self._list(boot=2)
        first = jobgraph.Crash(
            1, jobgraph.CrashEvidence.SHARED, jobgraph.Place('w7', 5)
        )
        possible_cause = self._inherit(first)
        self._inherit()
        self._report(worker, 2)
        crashpolicy.give_up(self.board, possible_cause.not_before, 103_000)
        self.assertIs(jobs.JobState.RUNNING, possible_cause.job.state)

    def test_crashes_of_workers_without_work_of_the_job(self) -> None:
        """Guards against a sound job given up where workers crash anyway."""
        worker = self._list(boot=2)
        first = jobgraph.Crash(
            1, jobgraph.CrashEvidence.CLEAR, jobgraph.Place('w7', 5)
        )
        group = self._inherit(first)
        for boot in (1, 2):
            entry = fleetbuilders.build_entry('w1', boot=boot)
            crashes.note_entry(self.board, entry, 80.0)
            self.board.record_entry(entry, 80.0)
        self._report(worker, 2)
        crashpolicy.give_up(self.board, group.not_before, 103_000)
        self.assertIs(jobs.JobState.RUNNING, group.job.state)

    def test_crashes_of_a_task_that_is_given_up(self) -> None:
        """Guards against a job given up for crashes of another cause."""
        worker = self._list(boot=2)
        shared = jobgraph.CrashEvidence.SHARED
        earlier = [
            jobgraph.Crash(n, shared, jobgraph.Place('w7', n)) for n in (1, 2)
        ]
        cause = self._inherit(*earlier)
        first = jobgraph.Crash(1, shared, earlier[1].place)
        sound = self._inherit(first)
        self._report(worker, 2)
        crashpolicy.give_up(self.board, 110.0, 110_000)
        self.assertIs(jobs.JobState.FAILED, cause.job.state)
        outside = jobgraph.CrashEvidence.OUTSIDE
        self.assertEqual(
            [outside, outside], [crash.evidence for crash in sound.crashes]
        )

    def test_crashes_are_no_failures_of_workers(self) -> None:
        """Guards against a quarantine of a worker that a task crashed."""
        worker = self._list(boot=2)
        self._inherit()
        self._report(worker, 2)
        evidence = self.board.failure_evidence
        self.assertEqual({}, evidence.attempts_by_worker_id)

    def test_the_last_crash_gives_a_job_up_at_once(self) -> None:
        """Guards against a job that runs nothing and is not shown as failed.

        All its crashes have another cause, but none lets it go on.
        """
        worker = self._list(boot=3)
        earlier = [
            jobgraph.Crash(
                number,
                jobgraph.CrashEvidence.OUTSIDE,
                jobgraph.Place('w7', number),
            )
            for number in range(1, 4)
        ]
        group = self._inherit(*earlier, boot=2)
        self._report(worker, 3)
        crashpolicy.give_up(self.board, 101.0, 101_000)
        self.assertIs(jobs.JobState.FAILED, group.job.state)

    def test_the_third_crash_gives_a_job_up_at_once(self) -> None:
        """Guards against a wait of a job that is proved to crash workers."""
        worker = self._list(boot=2)
        shared = jobgraph.CrashEvidence.SHARED
        earlier = [
            jobgraph.Crash(n, shared, jobgraph.Place('w7', n)) for n in (1, 2)
        ]
        group = self._inherit(*earlier)
        self._report(worker, 2)
        crashpolicy.give_up(self.board, 101.0, 101_000)
        self.assertIs(jobs.JobState.FAILED, group.job.state)

    def test_starts_that_end_without_a_crash(self) -> None:
        """Guards against more starts of a task that is preempted (BUDGET)."""
        outside = jobgraph.CrashEvidence.OUTSIDE
        earlier = [
            jobgraph.Crash(n, outside, jobgraph.Place('w7', n))
            for n in (1, 2, 3)
        ]
        group = self._inherit(*earlier)
        for attempt, state in (
            (4, jobs.JobState.RUNNING),
            (5, jobs.JobState.FAILED),
        ):
            group.attempt = attempt
            group.enter(livejobs.Phase.WAITING, 100.0)
            crashpolicy.give_up(self.board, 101.0, 101_000)
            self.assertIs(state, group.job.state)

    def test_the_record_of_a_job_given_up(self) -> None:
        """Guards against a failure of which nobody can tell the cause."""
        worker = self._list(boot=3)
        first = jobgraph.Crash(
            1, jobgraph.CrashEvidence.CLEAR, jobgraph.Place('w7', 5)
        )
        group = self._inherit(first, boot=2)
        self._report(worker, 3)
        crashpolicy.give_up(self.board, group.not_before - 0.01, 103_000)
        self.assertIs(jobs.JobState.RUNNING, group.job.state)
        crashpolicy.give_up(self.board, group.not_before, 103_000)
        self.assertIs(jobs.JobState.FAILED, group.job.state)
        last = self.board.decision_records[-1].values
        self.assertEqual(['w7', 'w0'], last['workers'])
        self.assertEqual([5, 2], last['boots'])
        self.assertEqual([0, 0, 0], last['group'])

    def _inherit_gang(
        self, *crashes: jobgraph.Crash, worker_ids: tuple[str, ...]
    ) -> livejobs.Group:
        """Take over a gang with one member on each of the workers."""
        step = fleetbuilders.build_step(len(worker_ids), 1, 5000, gang=True)
        graph = fleetbuilders.build_graph('gang', step)
        key = jobgraph.GroupKey(0, 0, 0)
        places = tuple(jobgraph.Place(name, 1) for name in worker_ids)
        record = jobgraph.GroupRecord(
            key, jobgraph.GroupPhase.PLACED, 9, places=places, crashes=crashes
        )
        progress = jobgraph.JobProgress(jobs.JobState.RUNNING, (record,))
        job = graphs.add_job(self.board, graph, progress, 1, 100.0, 100_000)
        assert job is not None
        return job.groups_by_key[key]

    def test_a_crash_names_the_tasks_on_the_worker(self) -> None:
        """Guards against crashes of a gang counted for all its members."""
        worker = self._list(boot=2)
        group = self._inherit_gang(worker_ids=('w1', 'w0', 'w1', 'w0'))
        self._report(worker, 2)
        self._report(worker, 2, now=102.0)
        self.assertEqual(
            [(1, 3)], [crash.task_indices for crash in group.crashes]
        )

    def test_two_workers_of_an_attempt_crash(self) -> None:
        """Guards against a second crash of an attempt that is not counted."""
        group = self._inherit_gang(worker_ids=('w0', 'w1'))
        for number, worker_id in enumerate(('w0', 'w1')):
            entry = fleetbuilders.build_entry(worker_id, boot=2)
            self.board.record_entry(entry, 100.0)
            worker = self.board.workers_by_id[worker_id]
            self._report(worker, 2, now=101.0 + number)
        self.assertEqual(
            [('w0', (0,)), ('w1', (1,))],
            [(c.place.worker_id, c.task_indices) for c in group.crashes],
        )

    def test_stored_crashes_of_other_members(self) -> None:
        """Guards against a new holder that adds up crashes by gang (LOST)."""
        worker = self._list(boot=2)
        earlier = [
            jobgraph.Crash(
                number,
                jobgraph.CrashEvidence.CLEAR,
                jobgraph.Place('w7', number),
                (number,),
            )
            for number in (1, 2, 3)
        ]
        group = self._inherit_gang(*earlier, worker_ids=('w0', 'x', 'y', 'z'))
        self._report(worker, 2)
        group.enter(livejobs.Phase.WAITING, 101.0)
        crashpolicy.give_up(self.board, 110.0, 110_000)
        self.assertIs(jobs.JobState.RUNNING, group.job.state)

    def test_rows_that_name_no_tasks(self) -> None:
        """Guards against a gang given up for crashes of unknown members."""
        record = [[0, 0, 0], 'p', 3, 0, '', [], 0, [[1, 'c', ['w7', 1]]]]
        read = msgspec.convert(record, jobgraph.GroupRecord)
        worker = self._list(boot=2)
        gang = self._inherit_gang(*read.crashes, worker_ids=('w0', 'x'))
        self._report(worker, 2)
        gang.enter(livejobs.Phase.WAITING, 101.0)
        crashpolicy.give_up(self.board, 110.0, 110_000)
        self.assertIs(jobs.JobState.RUNNING, gang.job.state)

    def test_rows_of_single_tasks_that_name_none(self) -> None:
        """Guards against crashes that a new build does not count (BUDGET)."""
        record = [[0, 0, 0], 'p', 2, 0, '', [], 0, [[1, 'c', ['w7', 1]]]]
        read = msgspec.convert(record, jobgraph.GroupRecord)
        worker = self._list(boot=2)
        group = self._inherit(*read.crashes)
        self._report(worker, 2)
        crashpolicy.give_up(self.board, group.not_before, 103_000)
        self.assertIs(jobs.JobState.FAILED, group.job.state)

    def test_rows_of_builds_that_count_no_crashes(self) -> None:
        """Guards against a takeover that cannot read older rows."""
        record = [[0, 0, 0], 'p', 1, 0, '', [['w0', 1]], 0]
        read = msgspec.convert(record, jobgraph.GroupRecord)
        self.assertEqual((), read.crashes)


if __name__ == '__main__':
    unittest.main()
