"""Messages between a scheduler and a worker.

Each exchange carries a batch of commands under the shard's epoch and
returns the worker's report.  A worker refuses a batch whose epoch is older
than one it has seen.  Every deadline is in seconds on the worker's own clock,
so it is valid for one incarnation of the worker only: a batch carries the boot
id for which its deadlines were computed, and another incarnation refuses all
of its commands.
"""

import enum

import msgspec

from primroselock import decoding


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """One member of one attempt of a job.

    ``epoch`` is that of the lease holder which placed the attempt, so that
    two holders never use the same key for different placements.
    """

    job_id: str
    attempt: decoding.Integer
    member: decoding.Integer
    epoch: decoding.Integer = 0


class Reserve(msgspec.Struct, frozen=True, tag='reserve'):
    """Reserve resources for a task until ``expires_at``."""

    task: TaskKey
    accelerators: tuple[int, ...]
    cpus: int
    memory_mb: int
    expires_at: float


class Start(msgspec.Struct, frozen=True, tag='start'):
    """Start a reserved task, unless ``start_by`` has passed.

    The task resumes from a checkpoint that covers ``resume_from_s`` of
    run time.  Its lease expires at ``lease_until``.

    For a task that is already running, this only extends its lease.
    """

    task: TaskKey
    command: tuple[str, ...]
    start_by: float
    lease_until: float
    resume_from_s: float = 0.0


class Renew(msgspec.Struct, frozen=True, tag='renew'):
    """Extend the lease of a running task to ``lease_until``."""

    task: TaskKey
    lease_until: float


class Checkpoint(msgspec.Struct, frozen=True, tag='checkpoint'):
    """Save the task's progress; the task keeps running."""

    task: TaskKey


class Throttle(msgspec.Struct, frozen=True, tag='throttle'):
    """Limit the task to ``cpus`` processors."""

    task: TaskKey
    cpus: float


class Stop(msgspec.Struct, frozen=True, tag='stop'):
    """Stop a task, or release its reservation."""

    task: TaskKey


class Forget(msgspec.Struct, frozen=True, tag='forget'):
    """Delete the worker's record of an ended task."""

    task: TaskKey


Command = Reserve | Start | Renew | Checkpoint | Throttle | Stop | Forget


class Batch(msgspec.Struct, frozen=True):
    """Commands of one shard's lease holder to one worker.

    The worker executes the commands only if its incarnation is
    ``boot_id``, and not after ``obey_by``.  The sender does not give up an
    exchange before that time, so a delayed batch never takes effect after
    the next one.  After the commands, the leases of all running tasks of
    the shard are extended to ``renew_until``, except those of the jobs
    ``not_renewed``.  ``heard_number`` is the number of the last report of
    ``boot_id`` that the sender has received.
    """

    shard: str
    epoch: int
    commands: tuple[Command, ...] = ()
    boot_id: str = ''
    obey_by: float = 0.0
    renew_until: float = 0.0
    not_renewed: tuple[str, ...] = ()
    heard_number: int = 0


class TaskState(enum.Enum):
    """State of a task on its worker; the last three states are final."""

    RESERVED = 'reserved'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'

    @property
    def is_final(self) -> bool:
        """Return whether the task has ended."""
        return self not in (TaskState.RESERVED, TaskState.RUNNING)


class TaskReport(msgspec.Struct, frozen=True):
    """State of one task.

    ``used_cpus``, in processors, and ``used_memory_mb`` are measured with
    a delay.  ``checkpoint_s`` is the run time covered by the last checkpoint.
    """

    task: TaskKey
    state: TaskState
    detail: str = ''
    used_cpus: decoding.Amount = 0.0
    used_memory_mb: decoding.Count = 0
    checkpoint_s: decoding.Amount = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """A command that the worker refused, with the reason."""

    task: TaskKey
    reason: str


class Report(msgspec.Struct, frozen=True):
    """State of a worker at ``clock_s`` on its own clock.

    ``number`` increases with each report of an incarnation.  When
    ``builds_on`` is not 0, ``tasks`` holds only the tasks that differ
    from the report of that number, and ``gone`` the tasks that the worker
    no longer has.
    """

    worker_id: str
    boot_id: str
    clock_s: decoding.Amount
    rack: str
    slot: decoding.Count
    accelerators: decoding.Count
    cpus: decoding.Count
    memory_mb: decoding.Count
    tasks: tuple[TaskReport, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    number: decoding.Count = 0
    builds_on: decoding.Count = 0
    gone: tuple[TaskKey, ...] = ()


class EpochRefused(msgspec.Struct, frozen=True):
    """Refusal of a batch: the worker has seen ``epoch``, a newer one."""

    epoch: decoding.Count
