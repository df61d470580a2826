"""The workers of a blackboard: what is known of each, and what it holds.

A worker is known by the entry that it publishes and by its run reports.
What it may run are its members, the runs that no row asks for, and the
settled runs of which a start may still begin.  All of them take capacity and
count for the bound that a step has on its tasks on one worker.  The capacity
may shrink while the worker runs: what runs goes on, so that less than nothing
may be free.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.workers import orders

NO_RESOURCES: typing.Final = jobgraph.Resources()
_NEVER: typing.Final = float('-inf')
_MIN_RESTART_S: typing.Final = 1.0
"""A worker that has answered does not work as another boot sooner."""

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

    ``step`` is None where it is not known: the run may take all that its
    worker has, also once that has changed.  ``account`` is the client account
    of its job; empty where that is not known.
    """

    run: orders.Run
    step: jobgraph.Step | None
    stop_sent_at: float
    account: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class LateRun:
    """A run that was settled while a start order of it may be under way.

    It was last ordered at ``ordered_at``, from the worker at ``address``;
    ``boot`` is the boot that refuses the order: it has run, ended or stopped
    the run.  ``account`` is the client account of its job.
    """

    ordered_at: float
    boot: int
    step: jobgraph.Step
    address: str | None
    stop_sent_at: float = _NEVER
    account: str = ''


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
    once a later poll was answered.  ``boot_seen_at`` is when the boot that was
    polled is known to have run, however late its answer was read.
    ``used`` is the capacity that the members take, and ``needs_by_account``
    the need of those of each client account, with that of work that fills.
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
    needs_by_account: dict[str, jobgraph.Resources] = dataclasses.field(
        default_factory=dict
    )
    member_counts_by_step: dict[livejobs.StepName, int] = dataclasses.field(
        default_factory=dict
    )
    drain_seen_at: float | None = None
    doubted_at: float | None = None
    boot_seen_at: float = _NEVER
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

    def is_boot_known(self, now: float) -> bool:
        """Return whether the boot that was polled is the one that runs now.

        A worker on which nothing runs is not polled, and a poll that is held
        open tells nothing.
        """
        return now - self.boot_seen_at <= _MIN_RESTART_S

    @property
    def latest_boot(self) -> int:
        """Return its latest known incarnation; an idle one is not polled."""
        return max(self.boot, self.entry.boot)

    @property
    def is_entry_current(self) -> bool:
        """Return whether its entry is of the incarnation that was polled.

        Another one may be of another kind, size or service.  Incarnations
        that are not known are taken for the same.
        """
        return 0 in (self.boot, self.entry.boot) or (
            self.boot == self.entry.boot
        )

    @property
    def free(self) -> jobgraph.Resources:
        """Return the capacity that what it may run leaves free."""
        return self._capacity_for_members().plus(self.used, -1)

    @property
    def taken(self) -> jobgraph.Resources:
        """Return the capacity that what it may run takes."""
        if not self.unexpected_runs and not self.late_runs:
            return self.used
        return self.entry.capacity.plus(self.free, -1)

    def count_tasks(self, step_name: livejobs.StepName) -> int:
        """Return how many tasks of a step it may run."""
        members = self.member_counts_by_step.get(step_name, 0)
        return members + self._count_others(step_name)

    def _count_others(self, step_name: livejobs.StepName) -> int:
        return sum(
            _step_name(run) == step_name for run in self.list_other_runs()
        )

    def list_other_runs(self) -> dict[orders.Run, jobgraph.Step | None]:
        """Return what it may run beside its members.

        That is runs that no row asks for, and settled runs of which a start
        may still begin.  The step is None where it is not known.
        """
        others: dict[orders.Run, jobgraph.Step | None] = {
            run: late_run.step
            for run, late_run in self.late_runs.items()
            if self.may_begin(late_run)
        }
        for run, unexpected in self.unexpected_runs.items():
            others[run] = unexpected.step
        return others

    def list_other_needs(self) -> list[tuple[str, jobgraph.Resources]]:
        """Return the account and the need of what may run beside members.

        What is not known to be smaller may take all that members leave.  Runs
        of unknown accounts are left out.
        """
        needs = [
            (late_run.account, late_run.step.need)
            for run, late_run in self.late_runs.items()
            if run not in self.unexpected_runs and self.may_begin(late_run)
        ]
        left = self.entry.capacity.plus(self.used, -1).at_least(NO_RESOURCES)
        needs += [
            (run.account, left if run.step is None else run.step.need)
            for run in self.unexpected_runs.values()
        ]
        return [(account, need) for account, need in needs if account]

    def may_begin(self, late_run: LateRun) -> bool:
        """Return whether a start of a settled run may still begin.

        The boot that runs now has not answered a stop of it, or is not known:
        the worker is silent or may have started again.
        """
        return (
            late_run.boot != self.boot
            or self.failures_in_row > 0
            or self.is_doubted
        )

    def _capacity_for_members(self) -> jobgraph.Resources:
        """Return the capacity that other runs leave to members."""
        left = self.entry.capacity
        if not self.unexpected_runs and not self.late_runs:
            return left
        for step in self.list_other_runs().values():
            need = self.entry.capacity if step is None else step.counted_need
            left = left.plus(need, -1)
        return left

    def _list_started(
        self, starting: abc.Collection[livejobs.Member]
    ) -> list[livejobs.Member]:
        """Return the members that may run once these are started.

        Others that are placed and not started are left out: each is judged
        in its turn.
        """
        return [
            member
            for member in self.members.values()
            if member.state is not livejobs.MemberState.PLACED
            or member in starting
        ]

    def has_capacity_to_start(
        self, starting: abc.Collection[livejobs.Member]
    ) -> bool:
        """Return whether starts of these members keep to the capacity.

        It may have shrunk since they were placed.
        """
        if self.free.can_fit(NO_RESOURCES):
            # There is room for all that is placed, and so for a part of it.
            return True
        left = self._capacity_for_members()
        for member in self._list_started(starting):
            left = left.plus(member.group.step.counted_need, -1)
        return left.can_fit(NO_RESOURCES)

    def count_to_start(
        self,
        starting: abc.Collection[livejobs.Member],
        step_name: livejobs.StepName,
    ) -> int:
        """Return how many tasks of a step may run once these are started."""
        started = self._list_started(starting)
        return self._count_others(step_name) + sum(
            member.group.step_name == step_name for member in started
        )

    @property
    def is_busy(self) -> bool:
        """Return whether anything may run or an end is unconfirmed."""
        return bool(
            self.members
            or self.unexpected_runs
            or self.unsaved_ends
            or self.confirmed_end < self.listed_end
        )

    def missed_at(self, now: float) -> float:
        """Return when the worker was first missed; ``now`` if it answers."""
        return self.unresponsive_since if self.failures_in_row else now

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
        self._count_member(member, 1)
        self._count_need(member, 1)

    def remove_member(self, member: livejobs.Member) -> None:
        """Remove a member and free the resources that it took."""
        if member.unanswered_starts:
            ordered_at = max(member.ordered_at, member.unanswered_at)
            self.add_late_run(member, ordered_at)
        if self.members.pop(member.run, None) is not None:
            self.used = self.used.plus(member.group.step.counted_need, -1)
            self._count_member(member, -1)
            self._count_need(member, -1)

    def add_late_run(self, member: livejobs.Member, ordered_at: float) -> None:
        """Note that a start of a settled member may be under way.

        The boot that runs now refuses it.
        """
        self.late_runs[member.run] = LateRun(
            ordered_at,
            self.boot,
            member.group.step,
            member.address,
            account=member.group.job.graph.account,
        )
        member.group.earlier_worker_ids.add(self.id)

    def _count_need(self, member: livejobs.Member, change: int) -> None:
        account = member.group.job.graph.account
        known = self.needs_by_account.get(account, NO_RESOURCES)
        need = known.plus(member.group.step.need, change)
        if need == NO_RESOURCES:
            self.needs_by_account.pop(account, None)
        else:
            self.needs_by_account[account] = need

    def _count_member(self, member: livejobs.Member, change: int) -> None:
        step_name = member.group.step_name
        count = self.member_counts_by_step.get(step_name, 0) + change
        if count:
            self.member_counts_by_step[step_name] = count
        else:
            del self.member_counts_by_step[step_name]


def _step_name(run: orders.Run) -> livejobs.StepName:
    """Return the step of a run's task."""
    task = run.task
    return livejobs.StepName(task.job_id, task.occurrence, task.step)
