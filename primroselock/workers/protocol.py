"""Messages between a scheduler and a worker.

Each exchange carries a batch of commands under the shard's epoch and
brings back the worker's report.  A worker refuses a batch whose epoch is
older than one it has seen.  Every deadline is on the worker's own clock,
so it means something to one incarnation of the worker only: a batch names
the boot id that its deadlines were computed for, and another incarnation
obeys none of its commands.
"""

import enum

import msgspec


class TaskKey(msgspec.Struct, frozen=True, order=True):
    """One member of one attempt of a job.

    ``epoch`` is that of the holder which placed the attempt, so that two
    holders never give one key to two placements.
    """

    job_id: str
    attempt: int
    member: int
    epoch: int = 0


class Reserve(msgspec.Struct, frozen=True, tag='reserve'):
    """Hold resources for a task until ``expires_at``."""

    task: TaskKey
    accelerators: tuple[int, ...]
    cpus: int
    memory_mb: int
    expires_at: float


class Start(msgspec.Struct, frozen=True, tag='start'):
    """Start a reserved task, but not after ``start_by``.

    The task goes on from a checkpoint that holds ``resume_from_s``.

    For a task that runs already, this only extends its lease.
    """

    task: TaskKey
    command: tuple[str, ...]
    start_by: float
    lease_until: float
    resume_from_s: float = 0.0


class Renew(msgspec.Struct, frozen=True, tag='renew'):
    """Extend the lease of a running task."""

    task: TaskKey
    lease_until: float


class Checkpoint(msgspec.Struct, frozen=True, tag='checkpoint'):
    """Save the task's progress; the task runs on."""

    task: TaskKey


class Throttle(msgspec.Struct, frozen=True, tag='throttle'):
    """Bound the task to ``cpus`` processors."""

    task: TaskKey
    cpus: float


class Stop(msgspec.Struct, frozen=True, tag='stop'):
    """End a task, or release its reservation."""

    task: TaskKey


class Forget(msgspec.Struct, frozen=True, tag='forget'):
    """Drop the record of an ended task."""

    task: TaskKey


Command = Reserve | Start | Renew | Checkpoint | Throttle | Stop | Forget


class Batch(msgspec.Struct, frozen=True):
    """Commands of one shard's holder to one worker.

    The worker obeys the commands only as the incarnation ``boot_id`` and
    not after ``obey_by``.  The sender gives up an exchange no earlier
    than that, so that a late batch never takes effect after the next.
    After the commands, the leases of all running tasks of the shard but
    those of the jobs ``not_renewed`` are extended to ``renew_until``.
    ``heard_number`` is the last report of ``boot_id`` that was heard.
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
    """States of a task on its worker; the last three are final."""

    RESERVED = 'reserved'
    RUNNING = 'running'
    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'

    @property
    def is_final(self) -> bool:
        """Whether the task has ended."""
        return self not in (TaskState.RESERVED, TaskState.RUNNING)


class TaskReport(msgspec.Struct, frozen=True):
    """State of one task; usage lags behind.

    ``checkpoint_s`` is the run time that the last checkpoint holds.
    """

    task: TaskKey
    state: TaskState
    detail: str = ''
    used_cpus: float = 0.0
    used_memory_mb: int = 0
    checkpoint_s: float = 0.0


class Refusal(msgspec.Struct, frozen=True):
    """A command that the worker did not obey, and why."""

    task: TaskKey
    reason: str


class Report(msgspec.Struct, frozen=True):
    """The state of a worker at ``clock_s`` on its own clock.

    ``number`` rises with each report of an incarnation.  When
    ``builds_on`` is not 0, ``tasks`` are only those that differ from the
    report of that number, and ``gone`` are those that it no longer has.
    """

    worker_id: str
    boot_id: str
    clock_s: float
    rack: str
    slot: int
    accelerators: int
    cpus: int
    memory_mb: int
    tasks: tuple[TaskReport, ...] = ()
    refusals: tuple[Refusal, ...] = ()
    number: int = 0
    builds_on: int = 0
    gone: tuple[TaskKey, ...] = ()


class EpochRefused(msgspec.Struct, frozen=True):
    """The worker has seen ``epoch``, which is newer than the batch's."""

    epoch: int
