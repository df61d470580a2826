"""Job records: the specification that a caller submits and the stored row.

The members of a job start together, as a gang.  The row of a job holds its
specification, its state and, once committed, the placement of the current
attempt.
"""

import dataclasses
import enum
import typing
import uuid

import msgspec

from primroselock import decoding


class Priority(enum.Enum):
    """Scheduling priority of a job.

    ``URGENT`` jobs are ordered first; ``BORROWED`` jobs never use the
    guarantee of their account.
    """

    URGENT = 'urgent'
    NORMAL = 'normal'
    BORROWED = 'borrowed'


class JobState(enum.Enum):
    """State of a job; the last three states are final."""

    WAITING = 'waiting'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self in _FINAL_STATES


_FINAL_STATES: typing.Final = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED}
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobSpec:
    """Specification of a job as submitted by a caller.

    ``accelerators``, ``cpus`` and ``memory_mb`` are per member;
    ``run_time_s`` is the caller's estimate of the run time.
    """

    name: str
    members: decoding.Integer = 1
    accelerators: decoding.Integer = 0
    cpus: decoding.Integer = 1
    memory_mb: decoding.Integer = 1024
    run_time_s: decoding.Number = 3600.0
    priority: Priority = Priority.NORMAL
    command: tuple[str, ...] = ()
    checkpointable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Placement of one member on a worker.

    ``accelerators`` are indices on the worker; ``boot_id`` identifies the
    incarnation of the worker that reserved them.  ``held_size`` is the
    size of the account's guaranteed cell that contains this cell; 0 for
    borrowed work.
    """

    worker_id: str
    boot_id: str
    accelerators: tuple[decoding.Integer, ...]
    cell_size: decoding.Integer
    held_size: decoding.Integer = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to run a job, committed under a shard epoch.

    ``borrowed`` attempts run above the account's guarantee and may be
    preempted at any time.
    """

    number: decoding.Integer
    epoch: decoding.Integer
    placements: tuple[Placement, ...]
    borrowed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Stored row of a job; times are seconds since the Unix epoch.

    ``failures`` counts the attempts that ended other than by preemption;
    ``failed_worker_ids`` lists the workers on which members failed;
    ``checkpoint_s`` is the run time covered by the checkpoints of all
    members.
    """

    id: str
    account: str
    shard: str
    spec: JobSpec
    state: JobState
    submitted_at: decoding.Number
    reason: str = ''
    cancel_requested: bool = False
    attempts: decoding.Integer = 0
    failures: decoding.Integer = 0
    attempt: Attempt | None = None
    checkpoint_s: decoding.Number = 0.0
    ended_at: decoding.Number | None = None
    failed_worker_ids: tuple[str, ...] = ()


def new_job_id() -> str:
    """Return a new unique job id."""
    return uuid.uuid4().hex[:20]


def encode(job: Job) -> bytes:
    """Return the row value that encodes ``job``."""
    return msgspec.json.encode(job)


decode: typing.Final = decoding.json_reader(Job)
"""Returns the job in the value of its row, or why there is none."""


def check_spec(spec: JobSpec, max_members: int) -> list[str]:
    """Return what is expected of each invalid field, one line per field."""
    checks = (
        (1 <= spec.members <= max_members, f'members: 1 to {max_members}'),
        (0 <= spec.accelerators <= 8, 'accelerators: 0 to 8 per member'),
        (spec.cpus >= 1, 'cpus: at least 1'),
        (spec.memory_mb >= 1, 'memory_mb: at least 1'),
        (0 < spec.run_time_s < float('inf'), 'run_time_s: above 0'),
        (0 < len(spec.name) <= 128, 'name: 1 to 128 characters'),
    )
    return [expected for holds, expected in checks if not holds]
