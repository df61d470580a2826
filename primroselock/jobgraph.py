"""Jobs whose work is a graph of steps, and how far each has come.

A job has steps; a step has equal tasks and begins when every task of the
steps that it comes after is done.  The whole graph may run several times,
each time being an occurrence with its own due time.

The unit of decision is a *group*: the tasks of a step that can only run
together (a gang), or else a single task.  An attempt of a group has a
number that rises with each start, so that a worker can refuse an order
that was overtaken.

Rows hold these records as JSON arrays; see :mod:`primroselock.graphrows`.
"""

import dataclasses
import enum
import typing

import msgspec

from primroselock import jobs


_TASK_NAME_PARTS: typing.Final = 4


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of each resource; ``cpu_millis`` in thousandths of a core."""

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: 'Resources', times: int = 1) -> 'Resources':
        """Return the sum with ``times`` times ``other``."""
        return Resources(
            self.cpu_millis + other.cpu_millis * times,
            self.memory_mb + other.memory_mb * times,
            self.accelerators + other.accelerators * times,
        )

    def can_fit(self, need: 'Resources') -> bool:
        """Whether ``need`` fits into this amount."""
        return (
            need.cpu_millis <= self.cpu_millis
            and need.memory_mb <= self.memory_mb
            and need.accelerators <= self.accelerators
        )

    def fit_count(self, need: 'Resources') -> int:
        """Return how often ``need`` fits into this amount."""
        counts = [
            have // wanted
            for have, wanted in (
                (self.cpu_millis, need.cpu_millis),
                (self.memory_mb, need.memory_mb),
                (self.accelerators, need.accelerators),
            )
            if wanted > 0
        ]
        return max(0, min(counts, default=0))


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A step: ``tasks`` equal tasks that each need ``need``.

    ``expected_ms`` is the caller's estimate of one task's run time;
    ``label`` must be among the worker's labels; ``data_rack`` is the rack
    where the task runs at full speed; ``max_per_worker`` bounds how many
    tasks of one occurrence run on a worker (0: any number).
    ``fills`` means that the CPU need is not counted against the worker;
    ``tail_latency_target_ms`` is set for tasks that serve users of their
    own, whose response times must stay below it.  ``max_unavailable`` tasks
    of a step that lasts may be away at once by this system's doing (None:
    any number).
    """

    tasks: int
    need: Resources
    expected_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    rack_local: bool = False
    checkpointing: bool = False
    label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    tail_latency_target_ms: int = 0
    max_unavailable: int | None = None

    @property
    def counted_need(self) -> Resources:
        """What one task takes of a worker's capacity."""
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
    """A job as it was accepted; never changed afterwards.

    ``payload`` goes to the workers as it came.  Times are milliseconds
    since the Unix epoch; occurrence K is due at ``first_due_ms`` +
    K * ``period_ms``.
    """

    id: str
    account: str
    queue: str
    payload: str
    steps: tuple[Step, ...]
    accepted_ms: int
    occurrences: int = 1
    first_due_ms: int = 0
    period_ms: int = 0

    @property
    def accelerators_needed(self) -> int:
        """Return the accelerators of the step that takes the most."""
        return max(
            (step.tasks * step.need.accelerators for step in self.steps),
            default=0,
        )

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may begin, since the Unix epoch."""
        return self.first_due_ms + occurrence * self.period_ms


class GroupKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Names a group of a job; ``index`` is that of its first task."""

    occurrence: int
    step: int
    index: int


class GroupPhase(enum.Enum):
    """What rows tell of a group."""

    WAITING = 'w'
    PLACED = 'p'
    DONE = 'd'


class Place(msgspec.Struct, frozen=True, array_like=True):
    """The worker of one member; ``boot`` names the worker's incarnation."""

    worker_id: str
    boot: int


class GroupRecord(msgspec.Struct, frozen=True, array_like=True):
    """How far a group has come.

    ``attempt`` is the number of the latest attempt; ``failures`` counts
    attempts that ended by a task's failure, up to ``failed_attempt``, so
    that an end that is told again is not counted again; ``checkpoint`` is
    the saved progress that the next attempt may start from.
    """

    key: GroupKey
    phase: GroupPhase
    attempt: int = 0
    failures: int = 0
    checkpoint: str = ''
    places: tuple[Place, ...] = ()
    failed_attempt: int = 0


class JobProgress(msgspec.Struct, frozen=True, array_like=True):
    """How far a job has come: groups that were never placed are left out.

    ``ended_ms`` is milliseconds since the Unix epoch, 0 while it runs.
    """

    state: jobs.JobState
    groups: tuple[GroupRecord, ...] = ()
    ended_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class TaskName:
    """Names a task of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f'{self.job_id}.{self.occurrence}.{self.step}.{self.index}'


def parse_task_name(text: str) -> TaskName | None:
    """Return the task that ``text`` names, or None where it names none."""
    parts = text.split('.')
    if len(parts) != _TASK_NAME_PARTS:
        return None
    try:
        occurrence, step, index = (int(part) for part in parts[1:])
    except ValueError:
        return None
    return TaskName(parts[0], occurrence, step, index)


def check(job: JobGraph, max_tasks: int) -> list[str]:
    """Return what is wrong with ``job``, one line a fault."""
    faults = []
    if not job.steps:
        faults.append('steps: expected at least one')
    if job.occurrences < 1:
        faults.append('occurrences: expected at least 1')
    for number, step in enumerate(job.steps):
        if not 1 <= step.tasks <= max_tasks:
            faults.append(f'step {number}: tasks: expected 1 to {max_tasks}')
        if any(not 0 <= earlier < number for earlier in step.after):
            faults.append(f'step {number}: after: expected earlier steps')
        if min(msgspec.structs.astuple(step.need)) < 0:
            faults.append(f'step {number}: expected no negative amount')
    return faults
