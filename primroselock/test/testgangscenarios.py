"""Faults in a stated order, each of which broke an earlier rule."""

import typing
import unittest

from primroselock import jobs
from primroselock.test import builders
from primroselock.test import fakeshard
from primroselock.workers import protocol
from primroselock.workers import reports


CONFIGURATION: typing.Final = """
[zone a]
racks = 1
[account signs]
guarantee.a = 8:2
"""


class GangScenarioTest(unittest.TestCase):
    """One holder, two workers, every step chosen."""

    def setUp(self) -> None:
        self.settings = builders.build_settings()
        self.clock = fakeshard.Clock()
        self.table = fakeshard.FakeTable()
        self.workers = [
            fakeshard.FakeWorker(f'w{slot}', slot, self.clock)
            for slot in range(2)
        ]
        self.holder = self.take_over()

    def take_over(self) -> fakeshard.ShardHolder:
        """Return a new holder that heard every worker."""
        holder = fakeshard.ShardHolder(
            self.settings, self.table, self.workers, self.clock.now
        )
        holder.board.permit_until = 1e9
        holder.board.config = builders.build_configuration(CONFIGURATION)
        self.clock.now += 0.1
        self.holder = holder
        self.exchange()
        return holder

    def submit(self, members: int) -> None:
        """Submit a job of whole workers."""
        self.table.put(
            builders.build_job(
                members=members, accelerators=8, command=('sleep', '60')
            )
        )
        self.holder.reload()

    def exchange(self) -> None:
        """Exchange with every worker that is not cut off."""
        for worker in self.workers:
            worker.tick()
            if worker.is_partitioned:
                continue
            now = self.clock.now
            batch = self.holder.take_batch(worker.parsed.id, now)
            if batch is not None:
                self.holder.record_answer(worker.handle(batch), now, now)

    def step(self, write: bool = True) -> None:
        """Decide, exchange and write after a while."""
        self.clock.now += 0.5
        self.holder.run_round(self.clock.now)
        if write:
            for transaction in self.holder.writes:
                self.table.apply(transaction)
            self.holder.writes.clear()
            self.holder.reload()
        self.exchange()

    def step_until_committing(self) -> list[fakeshard.Transaction]:
        """Return the writes of the placement, which are under way."""
        for _ in range(5):
            if not self.holder.writes:
                self.step(write=False)
        return list(self.holder.writes)

    def job(self) -> jobs.Job:
        """Return the job's row."""
        return self.table.stored_by_id['job-1'].job

    def test_late_commit_never_meets_its_number_again(self) -> None:
        """A commit whose reply is lost takes effect late, or never."""
        self.submit(1)
        late = self.step_until_committing()
        for _ in range(30):
            self.holder.writes.clear()
            self.step(write=False)
        self.workers[0].restart()
        self.workers[1].restart()
        self.exchange()
        for _ in range(40):
            self.holder.writes.clear()
            self.step(write=False)
            view = self.holder.board.attempts_by_job_id.get('job-1')
            if view is None or not view.commit_sent:
                continue
            if view.attempt != late[0].write.job.attempt:
                break
        self.table.apply(late[0])
        for _ in range(30):
            self.step()
        self.assertEqual(jobs.JobState.RUNNING, self.job().state)
        for attempts in self.table.attempts_by_number.values():
            self.assertEqual(1, len(attempts))

    def test_given_up_number_is_not_used_again(self) -> None:
        """A reservation that was given up is not taken for the next."""
        self.submit(2)
        self.step(write=False)
        first = self.holder.board.attempts_by_job_id['job-1'].attempt
        self.workers[1].restart()
        for _ in range(30):
            self.step()
        placed = self.job().attempt
        assert placed is not None
        self.assertNotEqual(first.number, placed.number)

    def test_late_batch_has_no_effect(self) -> None:
        """A reservation that comes after its sender gave up is refused."""
        self.submit(1)
        self.clock.now += 0.5
        self.holder.run_round(self.clock.now)
        batches = [
            self.holder.take_batch(worker.parsed.id, self.clock.now)
            for worker in self.workers
        ]
        self.clock.now += self.settings.scheduler.worker_timeout_s + 0.1
        for worker, batch in zip(self.workers, batches, strict=True):
            assert batch is not None
            worker.handle(batch)
            self.assertEqual({}, worker.tasks)

    def test_restarted_worker_refuses_deadlines_of_its_past(self) -> None:
        """Commands for one incarnation mean nothing to the next."""
        self.submit(1)
        self.clock.now += 0.5
        self.holder.run_round(self.clock.now)
        for worker in self.workers:
            worker.restart()
        self.exchange()
        for worker in self.workers:
            self.assertEqual({}, worker.tasks)

    def test_queue_is_dropped_after_a_pause_of_the_process(self) -> None:
        """What was decided before a pause is not sent after it."""
        self.submit(1)
        self.clock.now += 0.5
        self.holder.run_round(self.clock.now)
        self.clock.now += self.settings.scheduler.freeze_gap_s + 0.1
        for worker in self.workers:
            batch = self.holder.take_batch(worker.parsed.id, self.clock.now)
            assert batch is not None
            self.assertEqual((), batch.commands)

    def test_pause_of_the_holder_stops_nothing(self) -> None:
        """Silence during a pause of the holder itself is not held against.

        The lease is long enough for the pause; on waking the holder hears
        the workers before it judges them.
        """
        self.submit(2)
        for _ in range(8):
            self.step()
        self.clock.now += self.settings.scheduler.heartbeat_window_s + 1.0
        self.holder.board.listening_since = self.clock.now
        for _ in range(8):
            self.step()
        self.assertEqual(1, self.job().attempts)
        for worker in self.workers:
            states = [entry['state'] for entry in worker.history]
            self.assertEqual(['reserved', 'running'], states)

    def test_uncommitted_reservations_of_a_dead_holder_are_cleared(
        self,
    ) -> None:
        """A new holder stops and forgets tasks that have no row."""
        self.submit(2)
        self.step(write=False)
        self.exchange()
        self.assertTrue(all(worker.tasks for worker in self.workers))
        row = self.table.stored_by_id.pop('job-1')
        self.assertEqual(0, row.job.attempts)
        self.take_over()
        for _ in range(4):
            self.step()
        self.assertFalse(any(worker.tasks for worker in self.workers))

    def run_gang(self, seconds: float) -> None:
        """Start a gang of both workers that runs for a time."""
        self.table.put(
            builders.build_job(
                members=2, accelerators=8, command=('sleep', str(seconds))
            )
        )
        self.holder.reload()
        for _ in range(4):
            self.step()
        for worker in self.workers:
            self.assertEqual('running', worker.history[-1]['state'])

    def test_gang_that_ends_before_it_was_seen_to_run(self) -> None:
        """Members that are done at the first look end the attempt."""
        self.table.put(
            builders.build_job(
                members=2, accelerators=8, command=('sleep', '0')
            )
        )
        self.holder.reload()
        for _ in range(8):
            self.step()
        self.assertIs(jobs.JobState.DONE, self.job().state)

    def test_reports_tell_only_what_changed(self) -> None:
        """A difference completes the report that it builds on, no other."""
        self.run_gang(600.0)
        view = self.holder.board.workers_by_id['w0']
        now = self.clock.now
        batch = self.holder.take_batch('w0', now)
        assert batch is not None
        heard = self.workers[0].handle(batch)
        assert isinstance(heard, protocol.Report)
        self.assertEqual((), heard.tasks)
        whole = reports.apply_difference(view.report, heard)
        assert whole is not None and view.report is not None
        self.assertEqual(view.report.tasks, whole.tasks)
        self.assertIsNone(reports.apply_difference(None, heard))
        self.assertIsNone(reports.apply_difference(whole, heard))

    def test_silent_member_stops_the_others_in_time(self) -> None:
        """Neither member is renewed when one worker is cut off."""
        self.run_gang(600.0)
        cut_at = self.clock.now
        self.workers[1].is_partitioned = True
        for _ in range(60):
            self.step()
        for worker in self.workers:
            ended = worker.history[2]
            self.assertEqual('stopped', ended['state'])
            passed_s = ended['at'] - cut_at
            self.assertLess(
                passed_s, self.settings.scheduler.partial_run_bound_s
            )
        self.assertIn('lease', self.workers[1].history[2]['detail'])

    def test_attempt_ends_only_when_no_member_can_run(self) -> None:
        """The job waits while a member that is cut off may still run."""
        self.run_gang(600.0)
        self.workers[1].is_partitioned = True
        while self.workers[1].history[-1]['state'] == 'running':
            self.assertEqual(jobs.JobState.RUNNING, self.job().state)
            self.step()

    def test_result_of_an_incomplete_attempt_does_not_count(self) -> None:
        """One member is done, the other's worker has restarted."""
        self.run_gang(3.0)
        self.workers[1].is_partitioned = True
        while self.workers[0].history[-1]['state'] == 'running':
            self.step()
        self.step()
        self.assertEqual(jobs.JobState.RUNNING, self.job().state)
        self.workers[1].restart()
        self.workers[1].is_partitioned = False
        for _ in range(4):
            self.step()
        self.assertIsNot(jobs.JobState.DONE, self.job().state)

    def test_start_after_the_permit_is_refused(self) -> None:
        """A start that comes after the permit's end has no effect."""
        self.submit(1)
        self.holder.board.permit_until = self.clock.now + 1.2
        self.step()
        self.step()
        self.clock.now += 0.15
        self.holder.run_round(self.clock.now)
        batches = [
            self.holder.take_batch(worker.parsed.id, self.clock.now)
            for worker in self.workers
        ]
        commands = [c for b in batches if b for c in b.commands]
        self.assertIsInstance(commands[0], protocol.Start)
        self.clock.now += 0.5
        for worker, batch in zip(self.workers, batches, strict=True):
            assert batch is not None
            worker.handle(batch)
        for _ in range(30):
            self.step()
        for worker in self.workers:
            states = [entry['state'] for entry in worker.history]
            self.assertNotIn('running', states)

    def test_old_holder_is_refused_once_the_new_one_was_heard(self) -> None:
        """A worker obeys no epoch older than one that it has seen."""
        old = self.holder
        self.take_over()
        batch = old.take_batch('w0', self.clock.now)
        assert batch is not None
        answer = self.workers[0].handle(batch)
        self.assertIsInstance(answer, protocol.EpochRefused)


if __name__ == '__main__':
    unittest.main()
