"""Evidence from failed members, for and against workers.

The evidence is kept as pairs of worker and job with a count.  A worker
is suspected when several distinct jobs failed on it, or one job did so
repeatedly while nothing else succeeded there.  A job that is held at
fault itself, having failed on several distinct workers, counts against
none of them.  One success of any task on a worker clears it.
"""

import dataclasses
import typing

MIN_JOBS_TO_SUSPECT_WORKER: typing.Final = 3
"""Distinct jobs that fail on a worker before it is quarantined."""

MIN_REPEATS_TO_SUSPECT_WORKER: typing.Final = 2
"""Failures of one job on a worker before the job is tried elsewhere."""

MIN_WORKERS_TO_FAULT_JOB: typing.Final = 3
"""Distinct workers on which a job fails before it is held at fault."""


@dataclasses.dataclass(frozen=True, slots=True)
class Quarantine:
    """A worker gets no new work before ``until``; ``times`` in a row."""

    until: float
    times: int


@dataclasses.dataclass(slots=True)
class Evidence:
    """Failed attempts by worker and job, and who is quarantined.

    A quarantine that has run out stays on record as a probation: the
    next failure renews it, the next success removes it.
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
        """Note a failed attempt; return whether it was news."""
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

    def is_suspect(
        self, worker_id: str, min_jobs: int = MIN_JOBS_TO_SUSPECT_WORKER
    ) -> bool:
        """Whether the failures point at the worker."""
        by_job = self.attempts_by_worker_id.get(worker_id, {})
        against = [
            attempts
            for job_id, attempts in by_job.items()
            if not self.is_job_at_fault(job_id)
        ]
        if any(len(a) >= MIN_REPEATS_TO_SUSPECT_WORKER for a in against):
            return True
        return len(against) >= min_jobs

    def is_job_at_fault(self, job_id: str) -> bool:
        """Whether the job failed on several distinct workers."""
        workers = [
            by_job
            for by_job in self.attempts_by_worker_id.values()
            if job_id in by_job
        ]
        return len(workers) >= MIN_WORKERS_TO_FAULT_JOB
