"""Jobs whose work is a graph of steps, and the progress of each job.

A job has steps; a step has equal tasks and starts when every task of the
steps that it depends on is done.  The whole graph may run several times;
each run is an occurrence with its own due time.

The unit of scheduling is a *group*: the tasks of a step that can only run
together (a gang), or else a single task.  An attempt of a group has a
number that increases with each start, so that a worker can reject an order
that was superseded.

Rows hold these records as JSON arrays; see :mod:`primroselock.graphrows`.
"""

import dataclasses
import enum
import math
import typing

import msgspec

from primroselock import decoding
from primroselock import jobs
from primroselock import queues


_MAX_ID_BYTES: typing.Final = 128
"""The store limits keys to 200 bytes."""

_SEPARATORS: typing.Final = frozenset('/.')
_TASK_NAME_PARTS: typing.Final = 4


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource.

    ``cpu_millis`` is in thousandths of a core, ``memory_mb`` in megabytes.
    """

    cpu_millis: decoding.Integer = 0
    memory_mb: decoding.Integer = 0
    accelerators: decoding.Integer = 0

    def plus(self, other: 'Resources', times: int = 1) -> 'Resources':
        """Return the sum with ``times`` times ``other``."""
        return Resources(
            self.cpu_millis + other.cpu_millis * times,
            self.memory_mb + other.memory_mb * times,
            self.accelerators + other.accelerators * times,
        )

    def limited_to(self, most: 'Resources') -> 'Resources':
        """Return this amount, but no more of each resource than ``most``."""
        return Resources(
            min(self.cpu_millis, most.cpu_millis),
            min(self.memory_mb, most.memory_mb),
            min(self.accelerators, most.accelerators),
        )

    def at_least(self, least: 'Resources') -> 'Resources':
        """Return this amount, but no less of each resource than ``least``."""
        return Resources(
            max(self.cpu_millis, least.cpu_millis),
            max(self.memory_mb, least.memory_mb),
            max(self.accelerators, least.accelerators),
        )

    def can_fit(self, need: 'Resources') -> bool:
        """Return whether ``need`` fits into this amount."""
        return (
            need.cpu_millis <= self.cpu_millis
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def fit_count(self, need: 'Resources') -> int:
        """Return how many times ``need`` fits into this amount.

        Returns 0 for a ``need`` of nothing.
        """
        # It is asked for each worker: no collections are made here.
        count: int | None = None
        if need.cpu_millis > 0:
            count = self.cpu_millis // need.cpu_millis
        if need.memory_mb > 0:
            fits = self.memory_mb // need.memory_mb
            count = fits if count is None or fits < count else count
        if need.accelerators > 0:
            fits = self.accelerators // need.accelerators
            count = fits if count is None or fits < count else count
        return max(0, count or 0)


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step: ``tasks`` equal tasks that each need ``need``.

    ``expected_ms`` is the caller's estimate of one task's run time;
    ``after`` are the numbers of the steps that must be done first;
    ``label`` must be among the worker's labels; ``data_rack`` is the rack
    where the task runs at full speed; ``max_per_worker`` bounds how many
    tasks of one occurrence run on a worker (0: any number).
    ``fills`` means that the task runs on spare CPU time: its CPU need is
    not counted against the worker.  ``tail_latency_target_ms`` is set for
    tasks that serve requests of their users, and bounds the tail of their
    response times.  ``max_unavailable`` is how many tasks of a long-running
    step this system may make unavailable at the same time (None: any
    number).
    """

    tasks: decoding.Integer
    need: Resources
    expected_ms: decoding.Integer = 0
    after: tuple[decoding.Integer, ...] = ()
    gang: bool = False
    rack_local: bool = False
    checkpointing: bool = False
    label: str = ''
    data_rack: str = ''
    max_per_worker: decoding.Integer = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    tail_latency_target_ms: decoding.Integer = 0
    max_unavailable: decoding.Integer | None = None

    @property
    def counted_need(self) -> Resources:
        """The part of a worker's capacity that one task uses up."""
        if not self.fills:
            return self.need
        return Resources(0, self.need.memory_mb, self.need.accelerators)

    @property
    def group_count(self) -> int:
        """Return how many groups one occurrence of the step has."""
        return 1 if self.gang else self.tasks

    @property
    def group_size(self) -> int:
        """Return how many tasks each group has."""
        return self.tasks if self.gang else 1


class JobGraph(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted; it never changes afterwards.

    ``payload`` is passed to the workers unchanged.  ``accepted_queue`` is the
    queue as it was at acceptance; it counts once the configuration does not
    have the queue any more.  Times are milliseconds since the Unix epoch;
    occurrence K is due at ``first_due_ms`` + K * ``period_ms``.
    """

    id: str
    account: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: decoding.Integer
    occurrences: decoding.Integer = 1
    first_due_ms: decoding.Integer = 0
    period_ms: decoding.Integer = 0
    accepted_queue: queues.Queue | None = None

    @property
    def accelerators_needed(self) -> int:
        """Return the accelerators of the step that needs the most."""
        return max(
            (step.tasks * step.need.accelerators for step in self.steps),
            default=0,
        )

    @property
    def task_count(self) -> int:
        """Return the number of tasks of all occurrences."""
        return self.occurrences * sum(step.tasks for step in self.steps)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in Unix milliseconds."""
        return self.first_due_ms + occurrence * self.period_ms


class GroupKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Identifies a group of a job by the ``index`` of its first task."""

    occurrence: decoding.Integer
    step: decoding.Integer
    index: decoding.Integer

    def as_list(self) -> list[int]:
        """Return the key as log lines state it."""
        return [self.occurrence, self.step, self.index]


class GroupPhase(enum.Enum):
    """The phase of a group as it is stored."""

    WAITING = 'w'
    PLACED = 'p'
    DONE = 'd'


class Place(msgspec.Struct, frozen=True, array_like=True):
    """The worker of one member; ``boot`` identifies its incarnation."""

    worker_id: str
    boot: decoding.Integer


class CrashEvidence(enum.Enum):
    """How far the crash of a worker is attributed to the tasks that it ran.

    SHARED: another job's work was there, or workers crash that have no work
    of the job.  OUTSIDE: others were lost at the same time, or the tasks had
    run for long before, or another job's task is the cause, or the worker may
    have left as planned.
    """

    CLEAR = 'c'
    SHARED = 's'
    OUTSIDE = 'o'


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """The crash of the worker at ``place`` under an attempt of a group.

    ``task_indices`` are the tasks of the attempt that were to run there;
    rows of earlier builds name none.
    """

    attempt: decoding.Integer
    evidence: CrashEvidence
    place: Place
    task_indices: tuple[decoding.Integer, ...] = ()


class LostRun(msgspec.Struct, frozen=True, array_like=True):
    """Tasks of an attempt whose worker was silent until its leases expired.

    They have crashed with it if another incarnation answers for the worker,
    or another worker at its ``address``.  ``had_run_long`` is as of when the
    worker was first missed.
    """

    attempt: decoding.Integer
    place: Place
    task_indices: tuple[decoding.Integer, ...]
    address: str = ''
    had_run_long: bool = False


class GroupRecord(msgspec.Struct, frozen=True, array_like=True):
    """The stored progress of a group.

    ``attempt`` is the number of the latest attempt; ``failures`` counts
    the attempts up to ``failed_attempt`` that ended by a task's failure, so
    that an end that is reported again is not counted twice; ``checkpoint``
    is the saved state from which the next attempt may resume.  ``crashes``
    has one entry for each worker that crashed under an attempt, and
    ``lost_runs`` one for each of which that is not known yet.  Other work was
    preferred to it ``preemptions`` times.
    """

    key: GroupKey
    phase: GroupPhase
    attempt: decoding.Integer = 0
    failures: decoding.Integer = 0
    checkpoint: str = ''
    places: tuple[Place, ...] = ()
    failed_attempt: decoding.Integer = 0
    crashes: tuple[Crash, ...] = ()
    lost_runs: tuple[LostRun, ...] = ()
    preemptions: decoding.Integer = 0


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """The stored progress of a job.

    Groups that were never placed are left out, as are all groups of a job
    that has ended.  ``ended_ms`` is milliseconds since the Unix epoch, 0
    while it runs.  Stored in several rows, ``parts`` counts these and each
    row has some of the groups.  ``queue`` is the job's queue where it differs
    from that at acceptance; it counts once the configuration does not have
    the queue any more.
    """

    state: jobs.JobState
    groups: tuple[GroupRecord, ...] = ()
    ended_ms: decoding.Integer = 0
    parts: decoding.Integer = 1
    queue: queues.Queue | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """Identifies a task of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_name(text: str) -> TaskName | None:
    """Return the task that ``text`` names, or None if it is malformed."""
    parts = text.split('.')
    if len(parts) != _TASK_NAME_PARTS:
        return None
    numbers = [decoding.parse_count(part) for part in parts[1:]]
    occurrence, step, index = numbers
    if occurrence is None or step is None or index is None:
        return None
    return TaskName(parts[0], occurrence, step, index)


def is_valid_id(job_id: str) -> bool:
    """Return whether a job may have this id: names of tasks contain it."""
    is_short = len(job_id.encode()) <= _MAX_ID_BYTES
    return bool(job_id) and is_short and not _SEPARATORS & set(job_id)


def check(job: JobGraph, max_tasks: float = math.inf) -> list[str]:
    """Return the problems of ``job``, one line for each."""
    problems = []
    if not job.steps:
        problems.append('steps: expected at least one')
    if job.occurrences < 1:
        problems.append('occurrences: expected at least 1')
    for number, step in enumerate(job.steps):
        if not 1 <= step.tasks <= max_tasks:
            problems.append(f'step {number}: tasks: expected 1 to {max_tasks}')
        if any(not 0 <= earlier < number for earlier in step.after):
            problems.append(f'step {number}: after: expected earlier steps')
        if min(msgspec.structs.astuple(step.need)) < 0:
            problems.append(f'step {number}: expected no negative amount')
    return problems


def check_progress(job: JobGraph, progress: JobProgress) -> list[str]:
    """Return the problems of the stored progress of ``job``, as lines."""
    return [
        f'progress: the job has no occurrence {record.key.occurrence}'
        for record in progress.groups
        if record.key.occurrence >= job.occurrences
    ]
