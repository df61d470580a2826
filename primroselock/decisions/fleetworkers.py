"""The workers of a blackboard: what is known of each, and what it holds.

A worker is known by the entry that it publishes and by its run reports.
The capacity of its entry, less what its members and the runs that no row
asks for take, is free.  It may shrink while the worker runs: what runs goes
on, so that less than nothing may be free.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.workers import orders

NO_RESOURCES: typing.Final = jobgraph.Resources()
_NEVER: typing.Final = float('-inf')
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


@dataclasses.dataclass(frozen=True, slots=True)
class UnexpectedRun:
    """A run on a worker that no row asks for; it is stopped.

    ``need`` is the resources that it takes, or None where they are not
    known: it may take all that its worker has, also once that has changed.
    """

    run: orders.Run
    need: jobgraph.Resources | None
    stop_sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class LateRun:
    """A run that was settled while a start order of it may be under way.

    It was last ordered at ``ordered_at``, from the worker at ``address``;
    ``boot`` is the boot that refuses the order: it has run, ended or stopped
    the run.
    """

    ordered_at: float
    boot: int
    address: str | None
    stop_sent_at: float = _NEVER


@dataclasses.dataclass(frozen=True, slots=True)
class UnsavedEnd:
    """A reported end; it is confirmed once the job's change is stored.

    ``number`` is the worker's number of the end; ``change`` is the number
    of the change that records its effect on the job.
    """

    number: int
    job: livejobs.LiveJob
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
    last ``failures_in_row`` calls failed.  A worker that has refused starts,
    ``refusals_in_row`` times, gets none before ``refuses_until``, and later
    ones after all other workers.  A worker numbers the ends of its runs:
    those up to ``listed_end`` were reported, the effects of those up to
    ``saved_end`` are stored, and those up to ``confirmed_end`` were confirmed
    to the worker.  ``drain_seen_at`` is when this holder first read that the
    worker is draining.  ``doubted_at`` is when this holder learned that
    another boot than the one that it polled may have the worker's id, or None
    once a later poll was answered.
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
    members: dict[orders.Run, livejobs.Member] = dataclasses.field(
        default_factory=dict
    )
    unexpected_runs: dict[orders.Run, UnexpectedRun] = dataclasses.field(
        default_factory=dict
    )
    late_runs: dict[orders.Run, LateRun] = dataclasses.field(
        default_factory=dict
    )
    used: jobgraph.Resources = NO_RESOURCES
    drain_seen_at: float | None = None
    doubted_at: float | None = None
    id: str = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.id = self.entry.id

    @property
    def is_polled(self) -> bool:
        """Return whether it answered a poll under this holder's epoch."""
        return self.polled_at > _NEVER

    @property
    def is_doubted(self) -> bool:
        """Return whether it must be polled before it gets times or orders."""
        return self.doubted_at is not None

    @property
    def latest_boot(self) -> int:
        """Return its latest known incarnation; an idle one is not polled."""
        return max(self.boot, self.entry.boot)

    @property
    def free(self) -> jobgraph.Resources:
        """Return the capacity that members and unexpected runs leave free."""
        return self._without_unexpected().plus(self.used, -1)

    def _without_unexpected(self) -> jobgraph.Resources:
        """Return the capacity that unexpected runs leave to members."""
        left = self.entry.capacity
        for unexpected in self.unexpected_runs.values():
            need = unexpected.need
            if need is None:
                need = self.entry.capacity
            left = left.plus(need, -1)
        return left

    def has_capacity_to_start(
        self, starting: abc.Collection[livejobs.Member]
    ) -> bool:
        """Return whether starts of these members keep to the capacity.

        It may have shrunk since they were placed.  Other members that are
        placed and not started do not count: each is judged in its turn.
        """
        left = self._without_unexpected()
        for member in self.members.values():
            is_placed = member.state is livejobs.MemberState.PLACED
            if not is_placed or member in starting:
                left = left.plus(member.group.step.counted_need, -1)
        return left.can_fit(NO_RESOURCES)

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

    def add_member(self, member: livejobs.Member) -> None:
        """Add a member and the resources that it takes."""
        self.members[member.run] = member
        self.used = self.used.plus(member.group.step.counted_need)

    def remove_member(self, member: livejobs.Member) -> None:
        """Remove a member and free the resources that it took."""
        if member.unanswered_starts:
            ordered_at = max(member.ordered_at, member.unanswered_at)
            late_run = LateRun(ordered_at, self.boot, member.address)
            self.late_runs[member.run] = late_run
        if self.members.pop(member.run, None) is not None:
            self.used = self.used.plus(member.group.step.counted_need, -1)
