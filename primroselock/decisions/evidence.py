"""Failure evidence that distinguishes faulty workers from faulty jobs.

Failed attempts are counted per pair of worker and job.  A worker counts as
faulty when several distinct jobs failed on it, or one job failed there
repeatedly, without a success in between.  A job that failed on several
distinct workers is at fault itself and counts against none of them.  One
success of any task on a worker clears it.
"""

import dataclasses
import typing

MIN_JOBS_TO_FAULT_WORKER: typing.Final = 3
"""Distinct jobs that must fail on a worker to be its fault."""

MIN_REPEATS_TO_FAULT_WORKER: typing.Final = 2
"""Failures of one job on a worker that are the worker's fault."""

MIN_WORKERS_TO_FAULT_JOB: typing.Final = 3
"""Distinct workers on which a job must fail to be at fault itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """The end of a worker's quarantine, and how many it had in a row.

    The worker gets no new work before ``until``, in seconds on this
    process's clock; ``times`` counts its quarantines since its last success.
    """

    until: float
    times: int


@dataclasses.dataclass(slots=True)
class Evidence:
    """Failed attempts by worker and job, and quarantines by worker.

    An expired quarantine is kept as a probation: the next failure renews
    it, the next success removes it.
    """

    attempts_by_worker_id: dict[str, dict[str, set[int]]] = dataclasses.field(
        default_factory=dict
    )
    quarantines_by_worker_id: dict[str, Quarantine] = dataclasses.field(
        default_factory=dict
    )

    def record_failure(
        self, worker_id: str, job_id: str, attempt: int
    ) -> bool:
        """Record a failed attempt; return False if it was already recorded."""
        by_job = self.attempts_by_worker_id.setdefault(worker_id, {})
        attempts = by_job.setdefault(job_id, set())
        if attempt in attempts:
            return False
        attempts.add(attempt)
        return True

    def record_success(self, worker_id: str) -> None:
        """Clear a worker on which a task succeeded."""
        self.attempts_by_worker_id.pop(worker_id, None)
        self.quarantines_by_worker_id.pop(worker_id, None)

    def is_worker_at_fault(
        self, worker_id: str, min_jobs: int = MIN_JOBS_TO_FAULT_WORKER
    ) -> bool:
        """Return whether the failures show that the worker is faulty.

        ``min_jobs`` is the number of distinct jobs that must have failed
        there; repeated failures of one job suffice in any case.  Jobs that
        are at fault themselves do not count.
        """
        by_job = self.attempts_by_worker_id.get(worker_id, {})
        counted = [
            attempts
            for job_id, attempts in by_job.items()
            if not self.is_job_at_fault(job_id)
        ]
        if any(len(a) >= MIN_REPEATS_TO_FAULT_WORKER for a in counted):
            return True
        return len(counted) >= min_jobs

    def is_job_at_fault(self, job_id: str) -> bool:
        """Return whether the job failed on several distinct workers."""
        workers = [
            by_job
            for by_job in self.attempts_by_worker_id.values()
            if job_id in by_job
        ]
        return len(workers) >= MIN_WORKERS_TO_FAULT_JOB
