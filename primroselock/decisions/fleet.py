"""The blackboard of a shard: the state of its jobs and workers.

Controllers read and write the blackboard; nothing here does I/O or reads
a clock.  A group of tasks moves through phases: BLOCKED until the steps
that it depends on are done, WAITING for free capacity, COMMITTING until
its row holds the placement, STARTING until every member was accepted,
RUNNING, and STOPPING until no member can still run.  A group whose attempt
ended in any other way than done is queued again, and its next placement
raises the attempt number.

A member occupies resources of its worker from its placement until it is
known that it cannot run there: the worker reported its end, the report of
a poll sent after an answered order does not list it, nor does a report made
when it is too late to begin an unanswered one, or the worker's lease has
expired.
"""

import dataclasses
import enum
import typing

from primroselock.decisions import evidence
from primroselock.decisions import learnedtimes
from primroselock.decisions import leasebounds
from primroselock.decisions import phaseindex
from primroselock.decisions import runprogress
from primroselock.decisions import speeds
from primroselock.decisions import tickets
from primroselock import jobgraph
from primroselock import jobs
from primroselock import queues
from primroselock.workers import orders

NO_RESOURCES: typing.Final = jobgraph.Resources()
_NEVER: typing.Final = float('-inf')
_MAX_CACHED_STEPS: typing.Final = 200
_FIRST_REFUSAL_PAUSE_S: typing.Final = 0.5
_MAX_REFUSAL_PAUSE_S: typing.Final = 2.0
"""The longest time for which a worker that refuses starts gets none."""


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerEntry:
    """The entry that a worker publishes in service discovery.

    ``rack`` is one of its ``labels``; ``boot`` is its incarnation.
    ``remaining_s`` is the minimum time in seconds that a draining worker
    keeps running, or None where it does not report one.
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
    """The phases of a group, in the order described above."""

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
    """The observed state of a member on its worker.

    PLACED: no start was sent.  INHERITED: an earlier holder of the shard
    may have sent a start.  ORDERED: the start was sent and not answered.
    PRESENT: the worker accepted the start or reported the run.
    TERMINATED: it cannot run there any more.
    """

    PLACED = 'placed'
    INHERITED = 'inherited'
    ORDERED = 'ordered'
    PRESENT = 'present'
    TERMINATED = 'gone'


class EndReason(enum.Enum):
    """The reason why an attempt is being stopped or has ended."""

    DONE = 'done'
    FAILED = 'task failed'
    LOST = 'worker or order lost'
    REFUSED = 'start refused'
    PREEMPTED = 'preempted'
    CANCELLED = 'cancelled'
    WORKER_DRAINING = 'worker is leaving'
    STUCK = 'no end in the time expected'
    NOT_STORED = 'the store refuses the placement'


@dataclasses.dataclass(frozen=True, slots=True)
class StepName:
    """Identifies a step of one occurrence of a job."""

    job_id: str
    occurrence: int
    number: int


@dataclasses.dataclass(slots=True, eq=False)
class Member:
    """One task of an attempt, placed on a worker.

    Times are in seconds on this process's clock; ``answered_at`` is when
    the worker answered the start or first reported the run, ``stopped_at``
    when it answered an order to stop the run.  By ``begin_before``, on the
    worker's clock, a start order that was not answered begins or never does.
    ``progress`` is None until a run report has listed the run.
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
    begin_before: float | None = None
    is_done: bool = False
    progress: runprogress.Progress | None = None

    @property
    def run(self) -> orders.Run:
        """Return the run that identifies this member on its worker."""
        key = self.group.key
        name = jobgraph.TaskName(
            self.group.job.graph.id, key.occurrence, key.step, self.index
        )
        return orders.Run(name, self.group.attempt)


@dataclasses.dataclass(slots=True, eq=False)
class Group:
    """Tasks that are placed together: a gang, or a single task.

    ``since`` is when ``phase`` was entered.  ``failed_attempt`` is the
    last attempt that was counted in ``failures``.  ``began_at`` is when
    the last member began to run.  The next placement is at ``not_before`` at
    the earliest, and while capacity is scarce at ``yields_until``.
    ``is_resumed`` is set if the attempt resumed from a checkpoint or was
    inherited from an earlier holder, so that its run time from the beginning
    is unknown.  ``may_span_racks`` is set for a rack-local gang that no
    single rack can hold.  ``avoided_worker_ids`` are the workers on which
    the group was stuck, ``times_stuck`` times; others are preferred.
    """

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
    yields_until: float = _NEVER
    may_span_racks: bool = False
    preemptions: int = 0
    is_resumed: bool = False
    avoided_worker_ids: set[str] = dataclasses.field(default_factory=set)
    times_stuck: int = 0
    step_name: StepName = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.step_name = StepName(
            self.job.graph.id, self.key.occurrence, self.key.step
        )

    @property
    def task_indices(self) -> range:
        """Return the indices of the group's tasks."""
        if self.step.gang:
            return range(self.step.tasks)
        return range(self.key.index, self.key.index + 1)

    @property
    def size(self) -> int:
        """Return the number of tasks in the group."""
        return self.step.group_size

    @property
    def accelerators(self) -> int:
        """Return the number of accelerators that the group needs."""
        return self.size * self.step.need.accelerators

    def enter(self, phase: Phase, now: float) -> None:
        """Enter ``phase`` and update the index of the blackboard."""
        index = self.job.phases
        index.leave(self)
        if phase is Phase.WAITING:
            index.add_waiting(self)
        elif phase is Phase.STARTING:
            index.starting[self] = None
        elif phase is Phase.STOPPING:
            index.stopping[self] = None
        self.phase = phase
        self.since = now

    def remaining_members(self) -> list[Member]:
        """Return the members that may still run."""
        return [
            m for m in self.members if m.state is not MemberState.TERMINATED
        ]

    def remaining_s(self, now: float) -> float | None:
        """Return the remaining run time in seconds; None if unknown."""
        known = [
            member.progress.remaining_s(now)
            for member in self.members
            if member.progress is not None
        ]
        reported = [left_s for left_s in known if left_s is not None]
        return max(reported) if reported else None

    def worked_s(self, now: float) -> float:
        """Return the run time so far in seconds, as far as it is known."""
        seen_s = [
            member.progress.worked_s(now)
            for member in self.members
            if member.progress is not None
        ]
        began_s = now - self.began_at if self.began_at is not None else 0.0
        return max([began_s, *seen_s])


@dataclasses.dataclass(slots=True)
class Refusal:
    """The store refuses the progress of a job (see ``refusedwrites``).

    ``writes`` counts the refused writes.  The job is to be written again at
    ``next_at`` or, once something ``is_stored``, placed again, on this
    process's clock.
    """

    writes: int = 0
    next_at: float = _NEVER
    is_stored: bool = False
    has_ended_placements: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class LiveJob:
    """A job that has not ended, with the groups that are due.

    ``critical_paths_s`` holds for each step the length in seconds of the
    critical path from its start to the end of the job, by expected run
    times.

    ``change`` counts the changes that must be stored, and ``saved_change``
    is the last change that was; ``row_version`` is the version of the first
    progress row, of which there are ``stored_parts``.  ``refusal`` is set
    while the store refuses the job's progress.  ``released`` is the number of
    occurrences whose groups exist.  ``phases`` is the index of the blackboard
    that holds the job.
    """

    graph: jobgraph.JobGraph
    queue: queues.Queue | None
    critical_paths_s: tuple[float, ...] = ()
    row_version: int = 0
    stored_parts: int = 1
    state: jobs.JobState = jobs.JobState.WAITING
    groups_by_key: dict[jobgraph.GroupKey, Group] = dataclasses.field(
        default_factory=dict
    )
    released: int = 0
    is_cancelled: bool = False
    ended_ms: int = 0
    change: int = 0
    saved_change: int = 0
    refusal: Refusal | None = None
    phases: phaseindex.PhaseIndex = dataclasses.field(
        default_factory=phaseindex.PhaseIndex
    )

    def may_be_placed(self, now: float) -> bool:
        """Return whether the store takes placements of the job."""
        refusal = self.refusal
        return refusal is None or (
            refusal.is_stored and now >= refusal.next_at
        )

    def request_cancel(self) -> None:
        """Record that the job's cancellation was requested."""
        self.is_cancelled = True
        self.phases.ending_jobs[self] = None

    def end(self, state: jobs.JobState, wall_ms: int) -> None:
        """Record the final state of the job; ``wall_ms`` is the Unix time."""
        self.state = state
        self.ended_ms = wall_ms
        self.phases.ending_jobs[self] = None

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

    ``need`` is the resources that it is assumed to take.
    """

    run: orders.Run
    need: jobgraph.Resources
    stop_sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """A reported end; it is confirmed once the job's change is stored.

    ``number`` is the worker's number of the end; ``change`` is the number
    of the change that records its effect on the job.
    """

    number: int
    job: LiveJob
    change: int


@dataclasses.dataclass(slots=True, eq=False)
class Worker:
    """A worker: its entry, its last run report and its members.

    ``clock_s`` is the worker's clock as received at ``clock_at``, and
    ``clock_delta_s`` the least by which this process's clock was ahead of
    it when a report was received: the delay of the report is in excess.
    ``lease_end`` is the time on the worker's clock up to which its runs
    were leased; ``polled_at`` is when the last poll was sent that was
    answered under this holder's epoch; ``last_answer_at`` is when the last
    answer was received; ``unresponsive_since`` is when the first of the
    last ``failures_in_row`` calls failed.  A worker that has
    refused starts, ``refusals_in_row`` times, gets none before
    ``refuses_until``, and later ones after all other workers.  A worker
    numbers the ends of its runs: those up to ``listed_end`` were reported,
    the effects of those up to ``saved_end`` are stored, and those up to
    ``confirmed_end`` were confirmed to the worker.  ``drain_seen_at`` is
    when this holder first read that the worker is draining.
    """

    entry: WorkerEntry
    is_listed: bool = True
    boot: int = 0
    polled_at: float = _NEVER
    last_answer_at: float = _NEVER
    clock_s: float = 0.0
    clock_at: float = _NEVER
    clock_delta_s: float | None = None
    lease_end: float | None = None
    failures_in_row: int = 0
    unresponsive_since: float = _NEVER
    refusals_in_row: int = 0
    refuses_until: float = _NEVER
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
    id: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.id = self.entry.id

    @property
    def is_polled(self) -> bool:
        """Return whether it answered a poll under this holder's epoch."""
        return self.polled_at > _NEVER

    @property
    def free(self) -> jobgraph.Resources:
        """Return the capacity that members and unexpected runs leave free."""
        left = self.entry.capacity.plus(self.used, -1)
        for unexpected in self.unexpected_runs.values():
            left = left.plus(unexpected.need, -1)
        return left

    @property
    def is_busy(self) -> bool:
        """Return whether anything may run or an end is unconfirmed."""
        return bool(
            self.members
            or self.unexpected_runs
            or self.unsaved_ends
            or self.confirmed_end < self.listed_end
        )

    def record_failed_call(self, now: float) -> None:
        """Record that a call to the worker failed."""
        if not self.failures_in_row:
            self.unresponsive_since = now
        self.failures_in_row += 1

    def record_refused_start(self, now: float) -> None:
        """Record that the worker refused a start for its own state.

        It gets no starts for a time that doubles; what it refuses meanwhile
        was sent before.
        """
        if now < self.refuses_until:
            return
        self.refusals_in_row += 1
        doublings = min(self.refusals_in_row - 1, 10)
        pause_s = _FIRST_REFUSAL_PAUSE_S * 2.0**doublings
        self.refuses_until = now + min(pause_s, _MAX_REFUSAL_PAUSE_S)

    def record_accepted_start(self, now: float) -> None:
        """Record that the worker accepted a start.

        A worker that refuses some starts and accepts others must not get a
        gang again at once.
        """
        if now >= self.refuses_until:
            self.refusals_in_row = 0

    def add_member(self, member: Member) -> None:
        """Add a member and the resources that it takes."""
        self.members[member.run] = member
        self.used = self.used.plus(member.group.step.counted_need)

    def remove_member(self, member: Member) -> None:
        """Remove a member and free the resources that it took."""
        if self.members.pop(member.run, None) is not None:
            self.used = self.used.plus(member.group.step.counted_need, -1)


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order the start of members whose placement is stored."""

    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Order the stop of one run on one worker."""

    worker_id: str
    run: orders.Run
    member: Member | None = None


Order = StartOrder | StopOrder


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionRecord:
    """A decision to be logged: the event text and its ``values``.

    ``job_id`` is empty where the decision is about a worker.
    """

    event: str
    job_id: str
    values: dict[str, typing.Any]


@dataclasses.dataclass(slots=True)
class CapacityClaim:
    """Workers that are claimed for a group until it fits there.

    More urgent groups, those of a lower ``rank``, may use them all the
    same.
    """

    worker_ids: frozenset[str]
    since: float
    rank: tuple[bool, int]


@dataclasses.dataclass(slots=True)
class EntryCache:
    """What follows from the workers' entries, until a list changes them.

    ``usable_by_kind`` holds the workers that could hold a task of a kind
    of step when empty, ``spans_racks_by_step`` whether a rack-local step
    fits in no single rack, by service, step and zones out of service.
    """

    usable_by_kind: dict[typing.Any, list[Worker]] = dataclasses.field(
        default_factory=dict
    )
    spans_racks_by_step: dict[
        tuple[str, jobgraph.Step, frozenset[str]], bool
    ] = dataclasses.field(default_factory=dict)

    def clear(self) -> None:
        """Forget everything: an entry, or what is listed, has changed."""
        self.usable_by_kind.clear()
        self.spans_racks_by_step.clear()

    def limit(self) -> None:
        """Forget everything once it is much: each job may need another."""
        if (
            len(self.usable_by_kind) > _MAX_CACHED_STEPS
            or len(self.spans_racks_by_step) > _MAX_CACHED_STEPS
        ):
            self.clear()


@dataclasses.dataclass(slots=True)
class ShardBoard:
    """The blackboard of one shard.

    Leases granted by earlier holders end as ``inherited_leases`` says, and
    nothing is placed after ``permit_until``, on this process's clock.  The
    workers that ``published_bounds`` covers get no lease.  Nobody is blamed
    for being late before ``judge_from``, since this process was late itself.
    The leases of workers were last checked at
    ``expiry_checked_at``.  ``changed_ids`` names the jobs whose rows must
    be written, in the order of their first change, and ``ended_ms_by_id``
    those that ended, with the Unix time in milliseconds.
    ``orders`` and ``decision_records`` collect the decisions of the
    controllers until they are taken.  ``reported_groups`` are the groups
    whose progress was reported since the last round.
    ``idle_waits`` is the number of jobs that waited beside free capacity at
    ``waits_reported_at``, among those examined; the next report begins with
    the job at ``next_examined``.
    ``search_retry_at_by_shape`` holds, for shapes (see ``fitting``) for which
    neither victims nor workers to claim were found, when to search again.
    """

    epoch: int = 0
    inherited_leases: leasebounds.InheritedLeases = (
        leasebounds.InheritedLeases()
    )
    published_bounds: leasebounds.LeaseBounds = leasebounds.NO_BOUNDS
    permit_until: float = float('inf')
    queue_configuration: queues.QueueConfiguration = queues.EMPTY
    jobs_by_id: dict[str, LiveJob] = dataclasses.field(default_factory=dict)
    workers_by_id: dict[str, Worker] = dataclasses.field(default_factory=dict)
    changed_ids: dict[str, None] = dataclasses.field(default_factory=dict)
    ended_ms_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    phases: phaseindex.PhaseIndex = dataclasses.field(
        default_factory=phaseindex.PhaseIndex
    )
    reported_groups: dict[Group, None] = dataclasses.field(
        default_factory=dict
    )
    orders: list[Order] = dataclasses.field(default_factory=list)
    decision_records: list[DecisionRecord] = dataclasses.field(
        default_factory=list
    )
    judge_from: float = _NEVER
    expiry_checked_at: float = _NEVER
    waits_reported_at: float = _NEVER
    idle_waits: int = 0
    next_examined: int = 0
    claims_by_group: dict[Group, CapacityClaim] = dataclasses.field(
        default_factory=dict
    )
    search_retry_at_by_shape: dict[typing.Any, float] = dataclasses.field(
        default_factory=dict
    )
    entry_cache: EntryCache = dataclasses.field(default_factory=EntryCache)
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
        """Mark a job whose row must be written."""
        job.change += 1
        self.changed_ids[job.graph.id] = None

    def record_decision(
        self, event: str, job: LiveJob, **values: typing.Any
    ) -> None:
        """Record a decision about a job for the log."""
        self.decision_records.append(
            DecisionRecord(event, job.graph.id, values)
        )

    def take_orders(self) -> list[Order]:
        """Return the collected orders and clear them."""
        taken, self.orders = self.orders, []
        return taken

    def take_decision_records(self) -> list[DecisionRecord]:
        """Return the decisions to be logged and clear them."""
        taken, self.decision_records = self.decision_records, []
        return taken

    def mark_terminated(self, member: Member) -> None:
        """Record that a member cannot run any more; free its resources."""
        if member.state is MemberState.TERMINATED:
            return
        member.state = MemberState.TERMINATED
        worker = self.workers_by_id.get(member.worker_id)
        if worker is not None:
            worker.remove_member(member)

    def record_entry(self, entry: WorkerEntry, now: float) -> None:
        """Record the entry that a worker publishes; add new workers."""
        worker = self.workers_by_id.get(entry.id)
        if worker is None:
            worker = Worker(entry)
            self.workers_by_id[entry.id] = worker
            self.entry_cache.clear()
        elif worker.entry != entry or not worker.is_listed:
            self.entry_cache.clear()
        worker.entry = entry
        worker.is_listed = True
        if not entry.is_draining:
            worker.drain_seen_at = None
        elif worker.drain_seen_at is None:
            worker.drain_seen_at = now

    def record_unlisted(self, worker_id: str) -> None:
        """Record that a worker is no longer listed; drop it if idle."""
        worker = self.workers_by_id.get(worker_id)
        if worker is None:
            return
        if worker.is_listed:
            self.entry_cache.clear()
        worker.is_listed = False
        if not worker.is_busy:
            self.remove_worker(worker_id)

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has left and on which nothing can run."""
        if self.workers_by_id.pop(worker_id, None) is not None:
            self.entry_cache.clear()
