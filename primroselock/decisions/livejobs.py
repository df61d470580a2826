"""The jobs of a blackboard that have not ended, their groups and members.

A group of tasks moves through phases: BLOCKED until the steps
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

from primroselock.decisions import phaseindex
from primroselock.decisions import runprogress
from primroselock import jobgraph
from primroselock import jobs
from primroselock import queues
from primroselock.workers import orders

_NEVER: typing.Final = float('-inf')
_MAX_IDLE_WAIT_S: typing.Final = 2.0
"""Wait beside free capacity for what a job of which nothing runs prefers."""

_MAX_CAPACITY_GAP_S: typing.Final = 1.0
"""Capacity counts as free without a break if it is seen again by then."""

_MAX_QUOTA_GAP_S: typing.Final = 1.0
"""A quota holds a job back without a break if that is seen again by then."""

_MAX_HOLD_GAP_S: typing.Final = 0.5
"""Between two rounds that see a job held back it was so all the while."""

_MAX_START_S: typing.Final = 2.0
"""What was placed longer ago than this and does not run may never do so."""

Rank = tuple[bool, int, bool]
"""(Is not guaranteed, priority of its queue, is beyond its account's share).

Lower ranks go first.  The first two values are the urgency of a group.
"""


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
    worker's clock, each start order that was not answered begins or never
    does; there are ``unanswered_starts`` of them, with those under way, the
    last of which was sent at ``unanswered_at``.
    ``address`` is where the worker was when the last start order was sent,
    or None if this holder sent none.
    ``progress`` is None until a run report has listed the run.
    ``is_logged`` is set once it was logged that the attempt has ended while
    the member may still run.
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
    unanswered_starts: int = 0
    unanswered_at: float = _NEVER
    address: str | None = None
    is_done: bool = False
    is_logged: bool = False
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
    ``refusals_in_row`` is the number of its last attempts that were refused.
    ``earlier_worker_ids`` are the workers where an earlier attempt was seen or
    may have begun late.  ``crashes`` are those of workers under its attempts,
    see ``crashes``, and ``lost_runs`` may turn out to be some.
    ``held_before_s`` is for how long a quota had held back its job at
    ``since``.
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
    refusals_in_row: int = 0
    is_resumed: bool = False
    avoided_worker_ids: set[str] = dataclasses.field(default_factory=set)
    times_stuck: int = 0
    earlier_worker_ids: set[str] = dataclasses.field(default_factory=set)
    crashes: tuple[jobgraph.Crash, ...] = ()
    lost_runs: tuple[jobgraph.LostRun, ...] = ()
    held_before_s: float = 0.0
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
        elif phase is Phase.DONE and self.remaining_members():
            index.unsettled[self] = None
        if phase in ACTIVE_PHASES:
            self.job.active_groups[self] = None
        else:
            self.job.active_groups.pop(self, None)
        self.job.count_open(
            self, (phase is not Phase.DONE) - (self.phase is not Phase.DONE)
        )
        self.phase = phase
        self.since = now
        self.held_before_s = self.job.quota_held_s

    def waited_s(self, now: float) -> float:
        """Return how long the group has waited for capacity, in seconds.

        While the quota of its account held its job back, it did not.
        """
        held_s = self.job.quota_held_s - self.held_before_s
        return now - self.since - held_s

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

    ``writes`` counts the refused writes.  ``next_at``, on this process's
    clock, is when the job is to be written again or, once its progress
    ``is_stored``, placed again.  ``has_ended_placements`` is set once the
    placements that the store refused were ended.
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
    occurrences whose groups exist, and ``active_groups`` are those in
    ``ACTIVE_PHASES``.  ``open_counts`` holds by occurrence and step how many
    groups are not done, where any are.  ``capacity_since`` is since when a
    waiting group would fit if it preferred nothing, as last seen at
    ``capacity_seen_at``; ``quota_held_since`` and ``quota_held_at`` say so of
    a group that the quota of its account held back, for ``quota_held_s`` in
    all.  ``phases`` is the index
    of the blackboard that holds the job.
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
    active_groups: dict[Group, None] = dataclasses.field(default_factory=dict)
    open_counts: dict[tuple[int, int], int] = dataclasses.field(
        default_factory=dict
    )
    released: int = 0
    is_cancelled: bool = False
    ended_ms: int = 0
    change: int = 0
    saved_change: int = 0
    refusal: Refusal | None = None
    capacity_since: float = _NEVER
    capacity_seen_at: float = _NEVER
    quota_held_since: float = _NEVER
    quota_held_at: float = _NEVER
    quota_held_s: float = 0.0
    phases: phaseindex.PhaseIndex = dataclasses.field(
        default_factory=phaseindex.PhaseIndex
    )

    @property
    def service(self) -> str | None:
        """Return the service of the job's queue; None without a queue."""
        return self.queue.service if self.queue else None

    def may_be_placed(self, now: float) -> bool:
        """Return whether the store takes placements of the job."""
        refusal = self.refusal
        return refusal is None or (
            refusal.is_stored and now >= refusal.next_at
        )

    def note_capacity(self, now: float) -> None:
        """Note that a waiting group would fit if it preferred nothing."""
        if now - self.capacity_seen_at > _MAX_CAPACITY_GAP_S:
            self.capacity_since = now
        self.capacity_seen_at = now

    def waits_beside_capacity(self, now: float) -> bool:
        """Return whether capacity has been free for a while."""
        return (
            now - self.capacity_seen_at <= _MAX_CAPACITY_GAP_S
            and now - self.capacity_since >= _MAX_IDLE_WAIT_S
        )

    def note_quota_hold(self, now: float) -> bool:
        """Note that the quota holds a group back; return whether it is new."""
        is_new = not self.is_held_by_quota(now)
        if is_new:
            self.quota_held_since = now
        elif now - self.quota_held_at <= _MAX_HOLD_GAP_S:
            self.quota_held_s += now - self.quota_held_at
        self.quota_held_at = now
        return is_new

    def is_held_by_quota(self, now: float) -> bool:
        """Return whether the quota holds a group back, or did just now."""
        return now - self.quota_held_at <= _MAX_QUOTA_GAP_S

    def runs_nothing(self, now: float) -> bool:
        """Return whether no group runs, or was placed a short time ago."""
        return not any(
            group.phase is Phase.RUNNING or now - group.since < _MAX_START_S
            for group in self.active_groups
        )

    def add_group(self, key: jobgraph.GroupKey, now: float) -> None:
        """Add a group, which is blocked for now."""
        group = Group(
            self, key, self.graph.steps[key.step], Phase.BLOCKED, now
        )
        self.groups_by_key[key] = group
        self.count_open(group, 1)

    def count_open(self, group: Group, change: int) -> None:
        """Count a group that is no longer done, or is done by now."""
        step = (group.key.occurrence, group.key.step)
        count = self.open_counts.get(step, 0) + change
        if count:
            self.open_counts[step] = count
        else:
            self.open_counts.pop(step, None)

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Return whether all groups of a step of an occurrence are done."""
        return (occurrence, step) not in self.open_counts

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
