"""What the holder of a shard knows of its jobs and workers.

Controllers read and write this board; nothing here does I/O or reads a
clock.  A group of tasks moves through phases: BLOCKED until the steps
before it are done, WAITING for room, COMMITTING until its row holds the
placement, STARTING until every member was accepted, RUNNING, and STOPPING
until no member can still run.  A group that ended otherwise than done
waits again, with its attempt number risen.

A member takes room on its worker from the moment it is placed until it is
known that it cannot run there: its end was listed, a look that followed
an answered order does not show it, or its worker's lease has run out.
"""

import dataclasses
import enum
import typing

from primroselock.decisions import evidence
from primroselock.decisions import learnedtimes
from primroselock.decisions import runprogress
from primroselock.decisions import speeds
from primroselock.decisions import tickets
from primroselock import jobgraph
from primroselock import jobs
from primroselock import queues
from primroselock.workers import orders

NO_RESOURCES: typing.Final = jobgraph.Resources()
_NEVER: typing.Final = float('-inf')


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """What a worker says of itself where workers are found.

    ``rack`` is one of its ``labels``; ``remaining_s`` is how long a
    draining worker still runs at least, where it tells.
    """

    id: str
    service: str
    address: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    capacity: jobgraph.Resources
    is_draining: bool = False
    boot: int = 0
    remaining_s: float | None = None


class Phase(enum.Enum):
    """Phases of a group."""

    BLOCKED = 'blocked'
    WAITING = 'waiting'
    COMMITTING = 'committing'
    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    DONE = 'done'
    DROPPED = 'dropped'


ACTIVE_PHASES: typing.Final = frozenset(
    {Phase.COMMITTING, Phase.STARTING, Phase.RUNNING, Phase.STOPPING}
)


class MemberState(enum.Enum):
    """What is known of a member on its worker.

    PLACED: no order was sent.  INHERITED: an earlier holder may have
    ordered it.  ORDERED: sent, not answered.  PRESENT: accepted or seen.
    GONE: it cannot run there any more.
    """

    PLACED = 'placed'
    INHERITED = 'inherited'
    ORDERED = 'ordered'
    PRESENT = 'present'
    TERMINATED = 'gone'


class EndReason(enum.Enum):
    """Why a group is being stopped, or how its attempt ended."""

    DONE = 'done'
    FAILED = 'task failed'
    LOST = 'worker or order lost'
    REFUSED = 'start refused'
    PREEMPTED = 'preempted'
    CANCELLED = 'cancelled'
    MOVED = 'worker is leaving'
    STUCK = 'no end in the time expected'


@dataclasses.dataclass(frozen=True, slots=True)
class StepName:
    """Names a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    number: int


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One task of an attempt on its worker.

    Times are on this process's clock; ``stopped_at`` is when a worker
    answered an order to stop it.  ``progress`` is there once a look has
    shown the run.
    """

    group: 'Group'
    index: int
    worker_id: str
    boot: int
    state: MemberState
    ordered_at: float = _NEVER
    answered_at: float = _NEVER
    stop_sent_at: float = _NEVER
    stopped_at: float = _NEVER
    is_done: bool = False
    progress: runprogress.Progress | None = None

    @property
    def run(self) -> orders.Run:
        """Return the run that this member is."""
        key = self.group.key
        name = jobgraph.TaskName(
            self.group.job.graph.id, key.occurrence, key.step, self.index
        )
        return orders.Run(name, self.group.attempt)


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """A group of tasks, its phase since ``since`` and its attempt."""

    job: 'LiveJob'
    key: jobgraph.GroupKey
    step: jobgraph.Step
    phase: Phase
    since: float
    attempt: int = 0
    failures: int = 0
    failed_attempt: int = 0
    checkpoint: str = ''
    members: list[Member] = dataclasses.field(default_factory=list)
    end_reason: EndReason | None = None
    began_at: float | None = None
    not_before: float = _NEVER
    may_span_racks: bool = False
    preemptions: int = 0
    is_resumed: bool = False
    avoided_worker_ids: set[str] = dataclasses.field(default_factory=set)

    @property
    def step_name(self) -> StepName:
        """Return the name of the group's step."""
        return StepName(self.job.graph.id, self.key.occurrence, self.key.step)

    @property
    def task_indices(self) -> range:
        """Return the indices of the group's tasks."""
        if self.step.gang:
            return range(self.step.tasks)
        return range(self.key.index, self.key.index + 1)

    @property
    def size(self) -> int:
        """Return how many tasks the group has."""
        return self.step.group_size

    @property
    def accelerators(self) -> int:
        """Return the accelerators that the group takes."""
        return self.size * self.step.need.accelerators

    def enter(self, phase: Phase, now: float) -> None:
        """Move to ``phase``."""
        self.job.phases.move(self, phase)
        self.phase = phase
        self.since = now

    def remaining_members(self) -> list[Member]:
        """Return the members that may still run."""
        return [
            m for m in self.members if m.state is not MemberState.TERMINATED
        ]

    def remaining_s(self, now: float) -> float | None:
        """Return how long the group still takes; None where unknown."""
        known = [
            member.progress.remaining_s(now)
            for member in self.members
            if member.progress is not None
        ]
        told = [left_s for left_s in known if left_s is not None]
        return max(told) if told else None

    def worked_s(self, now: float) -> float:
        """Return for how long the group has worked, as far as is known."""
        seen_s = [
            member.progress.worked_s(now)
            for member in self.members
            if member.progress is not None
        ]
        began_s = now - self.began_at if self.began_at is not None else 0.0
        return max([began_s, *seen_s])


@dataclasses.dataclass(slots=True)
class PhaseIndex:
    """The groups of a board that wait and those that are starting.

    All others may be very many, and need no look in each round.
    """

    waiting: dict[Group, None] = dataclasses.field(default_factory=dict)
    starting: dict[Group, None] = dataclasses.field(default_factory=dict)

    def move(self, group: Group, phase: Phase) -> None:
        """Take note of a group's next phase."""
        self.waiting.pop(group, None)
        self.starting.pop(group, None)
        if phase is Phase.WAITING:
            self.waiting[group] = None
        elif phase is Phase.STARTING:
            self.starting[group] = None


@dataclasses.dataclass(slots=True, eq=False)
class LiveJob:
    """A job that has not ended, with the groups that are due.

    ``critical_paths_s`` is each step's longest chain of expected run times.

    ``change`` rises with each change that rows must show and ``saved``
    follows it; ``row_version`` is that of its progress row.  ``phases`` is
    the index of the board that the job is on.
    """

    graph: jobgraph.JobGraph
    queue: queues.Queue | None
    critical_paths_s: tuple[float, ...] = ()
    row_version: int = 0
    state: jobs.JobState = jobs.JobState.WAITING
    groups_by_key: dict[jobgraph.GroupKey, Group] = dataclasses.field(
        default_factory=dict
    )
    released: int = 0
    is_cancelled: bool = False
    ended_ms: int = 0
    change: int = 0
    saved: int = 0
    phases: PhaseIndex = dataclasses.field(default_factory=PhaseIndex)

    def groups_of_step(self, occurrence: int, step: int) -> list[Group]:
        """Return the groups of one step of one occurrence."""
        count = self.graph.steps[step].group_count
        keys = (
            jobgraph.GroupKey(occurrence, step, index)
            for index in range(count)
        )
        return [self.groups_by_key[key] for key in keys]


@dataclasses.dataclass(frozen=True, slots=True)
class UnexpectedRun:
    """A run on a worker that no row asks for; it is stopped.

    ``need`` is the room that it takes, as far as it is known.
    """

    run: orders.Run
    need: jobgraph.Resources
    stop_sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """An end that may be confirmed once the job's change is stored."""

    number: int
    job: LiveJob
    change: int


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker: its entry, its last look and what is placed there.

    ``clock_s`` is the worker's clock as received at ``clock_at``.
    ``lease_end`` is the time on the worker's clock up to which its runs
    were leased; ``polled_at`` is when the last look was sent that was
    answered under this holder's epoch; ``unresponsive_since`` is when the
    first of ``failures_in_row`` calls was not answered.  Of its numbered
    ends, those up to ``listed_end`` were told, up to ``saved_end`` their
    effect is stored, and up to ``confirmed_end`` the worker was told so.
    """

    entry: WorkerEntry
    is_listed: bool = True
    boot: int = 0
    polled_at: float = _NEVER
    last_answer_at: float = _NEVER
    clock_s: float = 0.0
    clock_at: float = _NEVER
    lease_end: float | None = None
    failures_in_row: int = 0
    unresponsive_since: float = _NEVER
    listed_end: int = 0
    saved_end: int = 0
    confirmed_end: int = 0
    unsaved_ends: list[UnsavedEnd] = dataclasses.field(default_factory=list)
    members: dict[orders.Run, Member] = dataclasses.field(default_factory=dict)
    unexpected_runs: dict[orders.Run, UnexpectedRun] = dataclasses.field(
        default_factory=dict
    )
    used: jobgraph.Resources = NO_RESOURCES
    drain_seen_at: float | None = None

    @property
    def id(self) -> str:
        """The worker's id."""
        return self.entry.id

    @property
    def is_polled(self) -> bool:
        """Whether it was looked at under this holder's epoch."""
        return self.polled_at > _NEVER

    @property
    def free(self) -> jobgraph.Resources:
        """What is left of its capacity."""
        left = self.entry.capacity.plus(self.used, -1)
        for stray in self.unexpected_runs.values():
            left = left.plus(stray.need, -1)
        return left

    @property
    def is_busy(self) -> bool:
        """Whether anything may run there or waits to be confirmed."""
        return bool(
            self.members
            or self.unexpected_runs
            or self.unsaved_ends
            or self.confirmed_end < self.listed_end
        )

    def record_unanswered(self, now: float) -> None:
        """Take note that a call was not answered."""
        if not self.failures_in_row:
            self.unresponsive_since = now
        self.failures_in_row += 1

    def add_member(self, member: Member) -> None:
        """Count a member's room."""
        self.members[member.run] = member
        self.used = self.used.plus(member.group.step.counted_need)

    def remove_member(self, member: Member) -> None:
        """Return a member's room."""
        if self.members.pop(member.run, None) is not None:
            self.used = self.used.plus(member.group.step.counted_need, -1)


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Start the members of a group; they were committed."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Stop one run on one worker."""

    worker_id: str
    run: orders.Run
    member: Member | None = None


Order = StartOrder | StopOrder


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionRecord:
    """A decision to be logged: ``event`` and the values that decided."""

    event: str
    job_id: str
    values: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class CapacityClaim:
    """Workers kept free for a group while their other work is stopped.

    Groups of a lower ``rank`` may use them all the same.
    """

    worker_ids: frozenset[str]
    since: float
    rank: tuple[bool, int]


@dataclasses.dataclass(slots=True)
class ShardBoard:
    """Everything known of one shard.

    Leases that an earlier holder gave end by ``inherited_until``.  Nothing
    is placed after ``permit_until``.  ``orders`` and ``decision_records``
    are what the last controllers decided.  ``reported_groups`` are those
    whose progress was told since the last round.
    """

    epoch: int = 0
    inherited_until: float = 0.0
    permit_until: float = float('inf')
    table: queues.QueueConfiguration = queues.EMPTY
    jobs_by_id: dict[str, LiveJob] = dataclasses.field(default_factory=dict)
    workers_by_id: dict[str, Worker] = dataclasses.field(default_factory=dict)
    changed_ids: set[str] = dataclasses.field(default_factory=set)
    phases: PhaseIndex = dataclasses.field(default_factory=PhaseIndex)
    reported_groups: dict[Group, None] = dataclasses.field(
        default_factory=dict
    )
    orders: list[Order] = dataclasses.field(default_factory=list)
    decision_records: list[DecisionRecord] = dataclasses.field(
        default_factory=list
    )
    claims_by_group: dict[Group, CapacityClaim] = dataclasses.field(
        default_factory=dict
    )
    advice_by_step: dict[StepName, tickets.StepAdvice] = dataclasses.field(
        default_factory=dict
    )
    failure_evidence: evidence.Evidence = dataclasses.field(
        default_factory=evidence.Evidence
    )
    learned: learnedtimes.LearnedTimes = dataclasses.field(
        default_factory=learnedtimes.LearnedTimes
    )
    worker_speeds: speeds.Speeds = dataclasses.field(
        default_factory=speeds.Speeds
    )

    def mark_changed(self, job: LiveJob) -> None:
        """Note that a job's row must be written."""
        job.change += 1
        self.changed_ids.add(job.graph.id)

    def record_decision(
        self, event: str, job: LiveJob, **values: typing.Any
    ) -> None:
        """Add a decision to the log."""
        self.decision_records.append(
            DecisionRecord(event, job.graph.id, values)
        )

    def take_orders(self) -> list[Order]:
        """Return the decided orders and forget them."""
        taken, self.orders = self.orders, []
        return taken

    def take_decision_records(self) -> list[DecisionRecord]:
        """Return the decisions to be logged and forget them."""
        taken, self.decision_records = self.decision_records, []
        return taken

    def mark_terminated(self, member: Member) -> None:
        """Take note that a member cannot run any more."""
        if member.state is MemberState.TERMINATED:
            return
        member.state = MemberState.TERMINATED
        worker = self.workers_by_id.get(member.worker_id)
        if worker is not None:
            worker.remove_member(member)

    def record_entry(self, entry: WorkerEntry, now: float) -> None:
        """Take over what a worker says of itself."""
        worker = self.workers_by_id.get(entry.id)
        if worker is None:
            worker = Worker(entry)
            self.workers_by_id[entry.id] = worker
        worker.entry = entry
        worker.is_listed = True
        if not entry.is_draining:
            worker.drain_seen_at = None
        elif worker.drain_seen_at is None:
            worker.drain_seen_at = now

    def record_unlisted(self, worker_id: str) -> None:
        """Take note that a worker's entry is gone."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return
        worker.is_listed = False
        if not worker.is_busy:
            del self.workers_by_id[worker_id]
