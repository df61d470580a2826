"""Wrong resource declarations, failing workers and failing jobs.

The tests run the deciding core of a shard on fakes, without processes.
"""

import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock.decisions import evidence
from primroselock.decisions import feasibility
from primroselock.decisions import retries
from primroselock.decisions import workerhealth
from primroselock import jobs
from primroselock import jobsapi
from primroselock.test import builders
from primroselock.test import fakeshard

CONFIGURATION: typing.Final = """
[zone a]
racks = 1
[account signs]
guarantee.a = 8:2
"""


class WorkerHealthTest(unittest.TestCase):
    """A shard of 4 workers that the tests advance step by step."""

    def setUp(self) -> None:
        self.clock = fakeshard.Clock()
        self.table = fakeshard.FakeTable()
        self.workers = [
            fakeshard.FakeWorker(f'w{slot}', slot, self.clock)
            for slot in range(4)
        ]
        self.holder = fakeshard.ShardHolder(
            builders.build_settings(), self.table, self.workers, 100.0
        )
        self.board = self.holder.board
        self.board.config = builders.build_configuration(CONFIGURATION)
        self.board.permit_until = 1e9

    def submit(self, job_id: str, *command: str, **more: object) -> None:
        """Submit a job; by default it uses all accelerators of a worker."""
        more.setdefault('accelerators', 8)
        self.table.put(builders.build_job(job_id, command=command, **more))
        self.holder.reload()

    def run_steps(self, steps: int) -> None:
        """Advance the shard by ``steps`` steps of half a second."""
        for _ in range(steps):
            self.clock.now += 0.5
            for worker in self.workers:
                worker.tick()
                now = self.clock.now
                batch = self.holder.take_batch(worker.parsed.id, now)
                assert batch is not None
                self.holder.record_answer(worker.handle(batch), now, now)
            self.holder.run_round(self.clock.now)
            for transaction in self.holder.writes:
                self.table.apply(transaction)
            self.holder.writes.clear()
            self.holder.reload()

    def job(self, job_id: str) -> jobs.Job:
        """Return a job's row."""
        return self.table.stored_by_id[job_id].job

    def test_worker_that_fails_all_is_quarantined_and_probed(self) -> None:
        """A quarantined worker gets work again once a probe succeeds.

        Later successes reset the number of its quarantines.
        """
        self.workers[0].faults.fail_all = True
        for number in range(8):
            self.submit(f'job-{number}', 'sleep', '1')
        self.run_steps(60)
        for number in range(8):
            state = self.job(f'job-{number}').state
            self.assertEqual(jobs.JobState.DONE, state)
        self.assertEqual({'w0'}, self.board.quarantined_worker_ids)
        self.workers[0].faults.fail_all = False
        self.run_steps(int(workerhealth.FIRST_QUARANTINE_S * 2))
        self.assertEqual(set(), self.board.quarantined_worker_ids)
        for number in range(4):
            self.submit(f'late-{number}', 'sleep', '1')
        self.run_steps(20)
        known = self.board.failure_evidence
        self.assertEqual({}, known.quarantines_by_worker_id)

    def test_job_that_fails_everywhere_fails_and_clears_workers(self) -> None:
        """The job ends after at most 5 failures; no task of it is left."""
        self.submit('bad', 'fail', '0.2')
        self.run_steps(200)
        job = self.job('bad')
        self.assertEqual(jobs.JobState.FAILED, job.state)
        self.assertIn('failed', job.reason)
        self.assertLessEqual(job.failures, 5)
        self.run_steps(20)
        for worker in self.workers:
            self.assertEqual({}, worker.tasks)

    def test_memory_beyond_the_declared_is_requeued_larger(self) -> None:
        """A job that uses more memory than declared is not a failure.

        It is started again with more memory.
        """
        self.submit('greedy', 'use', '1', '4000', 'sleep', '2', memory_mb=1000)
        self.run_steps(40)
        job = self.job('greedy')
        self.assertEqual(jobs.JobState.DONE, job.state)
        self.assertEqual(5000, job.spec.memory_mb)
        self.assertEqual((2, 0), (job.attempts, job.failures))

    def test_processors_beyond_the_declared_are_throttled(self) -> None:
        """A task gets no more processors than declared."""
        self.submit('busy', 'use', '8', '10', 'sleep', '9', cpus=2)
        self.run_steps(10)
        (task,) = [t for w in self.workers for t in w.tasks.values()]
        self.assertEqual(2.0, task.used_cpus)

    def test_never_runnable_fails_with_the_reason(self) -> None:
        """Guards against a job that waits forever for a worker of its size."""
        self.submit('huge', 'sleep', '1', memory_mb=10**9)
        self.run_steps(3)
        job = self.job('huge')
        self.assertEqual(jobs.JobState.FAILED, job.state)
        self.assertIn('never runnable', job.reason)
        reports = [view.report for view in self.board.workers_by_id.values()]
        received = [report for report in reports if report is not None]
        fits = builders.build_job(memory_mb=262144).spec
        self.assertEqual('', feasibility.find_obstacle(fits, received))

    def test_job_larger_than_any_zone_is_refused_at_submit(self) -> None:
        """The largest zone has 64 accelerators."""
        current = builders.build_configuration(CONFIGURATION)
        fits = builders.build_job(members=8, accelerators=8).spec
        self.assertEqual([], jobsapi.find_size_problems(fits, current))
        huge = builders.build_job(members=9, accelerators=8).spec
        (problem,) = jobsapi.find_size_problems(huge, current)
        self.assertIn('at most 64', problem)

    @hypothesis.given(
        strategies.integers(1, 200), strategies.integers(1, 1000)
    )
    def test_retry_delay_is_bounded_and_repeats(
        self, failures: int, attempts: int
    ) -> None:
        job = builders.build_job(failures=failures, attempts=attempts)
        delay_s = retries.retry_delay_s(job, 1.0, 300.0)
        self.assertEqual(delay_s, retries.retry_delay_s(job, 1.0, 300.0))
        full_s = min(2.0 ** min(failures - 1, 30), 300.0)
        self.assertTrue(full_s / 2 <= delay_s <= full_s)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from('abcd'), strategies.integers(0, 5)
            )
        )
    )
    def test_job_at_fault_is_held_against_no_worker(
        self, failures: list[tuple[str, int]]
    ) -> None:
        known = evidence.Evidence()
        for number, (worker_id, job) in enumerate(failures):
            known.record_failure(worker_id, f'job-{job}', number)
        for worker_id in 'abcd':
            if not known.is_worker_at_fault(worker_id):
                continue
            by_job = known.attempts_by_worker_id[worker_id]
            self.assertFalse(all(map(known.is_job_at_fault, by_job)))
            known.record_success(worker_id)
            self.assertFalse(known.is_worker_at_fault(worker_id))


if __name__ == '__main__':
    unittest.main()
