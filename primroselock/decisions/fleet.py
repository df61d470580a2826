"""The blackboard of a shard: the state of its jobs and workers.

Controllers read and write the blackboard; nothing here does I/O or reads
a clock.  Its jobs are described in ``livejobs`` and its workers in
``fleetworkers``.
"""

import dataclasses
import sys
import typing

from primroselock.decisions.accounts import knownusage
from primroselock.decisions import crashlog
from primroselock.decisions import drainlog
from primroselock.decisions import evidence
from primroselock.decisions import fleetworkers
from primroselock.decisions import lapses
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import phaseindex
from primroselock.decisions.runtimes import learner
from primroselock.decisions import speeds
from primroselock.decisions import tickets
from primroselock import jobgraph
from primroselock import queues
from primroselock.workers import orders

_NEVER: typing.Final = float('-inf')
_MAX_CACHED_STEPS: typing.Final = 200
_RUN_LEASE_S: typing.Final = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class StartOrder:
    """Order the start of members whose placement is stored."""

    members: tuple[livejobs.Member, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StopOrder:
    """Order the stop of one run on one worker."""

    worker_id: str
    run: orders.Run
    member: livejobs.Member | None = None


Order = StartOrder | StopOrder


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionRecord:
    """A decision to be logged: the event text and its ``values``.

    ``job_id`` is empty where the decision is about a worker.
    """

    event: str
    job_id: str
    values: dict[str, typing.Any]


@dataclasses.dataclass(frozen=True, slots=True)
class OverTarget:
    """Reports in a row in which a task's tail latency is over its target.

    ``first_at`` and ``last_at`` are when the first and the latest were made,
    on this process's clock.
    """

    first_at: float
    last_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityClaim:
    """Workers that are claimed for a group until it fits there.

    More urgent groups, those of a lower ``rank``, may use them all the same,
    and of equally urgent groups those whose claim has a lower ``number``,
    unless the workers are being freed ``by_preemption``.  A group keeps its
    number when it claims other workers instead.
    """

    worker_ids: frozenset[str]
    since: float
    rank: livejobs.Rank
    by_preemption: bool = False
    number: int = 0


@dataclasses.dataclass(slots=True)
class ShareNotes:
    """What the last round found of the shares of accounts.

    ``used_by_account`` is what an account uses as a multiple of its share,
    ``behind_by_account`` how many of its groups wait beyond the share, and
    ``backlogs_by_account`` how many seconds its waiting work will take, by
    priority (see ``backlogs``); all are empty while shares do not count.
    ``reported_at_by_account`` is when work beyond the share was last logged,
    on this process's clock.
    """

    used_by_account: dict[str, float] = dataclasses.field(default_factory=dict)
    behind_by_account: dict[str, int] = dataclasses.field(default_factory=dict)
    backlogs_by_account: dict[str, dict[int, int]] = dataclasses.field(
        default_factory=dict
    )
    reported_at_by_account: dict[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class EntryCache:
    """What follows from the workers' entries, until a list changes them.

    ``usable_by_kind`` holds the workers that could hold a task of a kind
    of step when empty, ``spans_racks_by_step`` whether a rack-local step
    fits in no single rack, by service, step and zones out of service.
    """

    usable_by_kind: dict[typing.Any, list[fleetworkers.Worker]] = (
        dataclasses.field(default_factory=dict)
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

    Workers shorten each lease to ``run_lease_s``.
    Leases granted by earlier holders end as ``inherited_leases`` says, and
    nothing is placed after ``permit_until``, on this process's clock, which
    is a bound of what ``permit_bound`` names.  The
    workers that ``published_bounds`` covers get no lease.  Nobody is blamed
    for being late before ``judge_from``, since this process was late itself.
    The leases of workers were last checked at ``expiry_checked_at``;
    ``expired_at_by_worker_id`` says when every lease of a silent worker was
    found expired.  ``changed_ids`` names the jobs whose rows must
    be written, in the order of their first change, and ``ended_ms_by_id``
    those that ended, with the Unix time in milliseconds;
    ``accounts_by_ended_id`` holds their accounts.
    ``unsettled_members`` is how many may still run although their attempt
    has ended some time ago.
    ``orders`` and ``decision_records`` collect the decisions of the
    controllers until they are taken.  ``reported_groups`` are the groups
    whose progress was reported since the last round.
    ``idle_waits`` is the number of jobs that waited beside free capacity at
    ``waits_reported_at``, among those examined; the next report begins with
    the job at ``next_examined``.
    ``late_runs_by_removed_id`` are those of workers that were removed: one may
    be back as another boot while a start is under way.
    ``drains`` are the workers that leave as planned.
    ``search_retry_at_by_shape`` holds, for shapes (see ``freecapacity``) for
    which neither victims nor workers to claim were found, when to search
    again; ``quota_retry_at_by_account`` does so by account and rank for work
    of the account itself that could make room in its quota.
    ``known_usage`` is what the accounts were last known to have running.
    """

    epoch: int = 0
    run_lease_s: float = _RUN_LEASE_S
    inherited_leases: leasebounds.InheritedLeases = (
        leasebounds.InheritedLeases()
    )
    published_bounds: leasebounds.LeaseBounds = leasebounds.NO_BOUNDS
    permit_until: float = float('inf')
    permit_bound: str = ''
    queue_configuration: queues.QueueConfiguration = queues.EMPTY
    jobs_by_id: dict[str, livejobs.LiveJob] = dataclasses.field(
        default_factory=dict
    )
    workers_by_id: dict[str, fleetworkers.Worker] = dataclasses.field(
        default_factory=dict
    )
    late_runs_by_removed_id: dict[
        str, dict[orders.Run, fleetworkers.LateRun]
    ] = dataclasses.field(default_factory=dict)
    changed_ids: dict[str, None] = dataclasses.field(default_factory=dict)
    ended_ms_by_id: dict[str, int] = dataclasses.field(default_factory=dict)
    accounts_by_ended_id: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    phases: phaseindex.PhaseIndex = dataclasses.field(
        default_factory=phaseindex.PhaseIndex
    )
    reported_groups: dict[livejobs.Group, None] = dataclasses.field(
        default_factory=dict
    )
    orders: list[Order] = dataclasses.field(default_factory=list)
    decision_records: list[DecisionRecord] = dataclasses.field(
        default_factory=list
    )
    judge_from: float = _NEVER
    expiry_checked_at: float = _NEVER
    expired_at_by_worker_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    waits_reported_at: float = _NEVER
    idle_waits: int = 0
    unsettled_members: int = 0
    next_examined: int = 0
    claims_by_group: dict[livejobs.Group, CapacityClaim] = dataclasses.field(
        default_factory=dict
    )
    search_retry_at_by_shape: dict[typing.Any, float] = dataclasses.field(
        default_factory=dict
    )
    quota_retry_at_by_account: dict[tuple[str, livejobs.Rank], float] = (
        dataclasses.field(default_factory=dict)
    )
    known_usage: knownusage.KnownUsage = dataclasses.field(
        default_factory=knownusage.KnownUsage
    )
    entry_cache: EntryCache = dataclasses.field(default_factory=EntryCache)
    advice_by_step: dict[livejobs.StepName, tickets.StepAdvice] = (
        dataclasses.field(default_factory=dict)
    )
    failure_evidence: evidence.Evidence = dataclasses.field(
        default_factory=evidence.Evidence
    )
    over_target_by_member: dict[livejobs.Member, OverTarget] = (
        dataclasses.field(default_factory=dict)
    )
    crashes: crashlog.CrashLog = dataclasses.field(
        default_factory=crashlog.CrashLog
    )
    drains: drainlog.DrainLog = dataclasses.field(
        default_factory=drainlog.DrainLog
    )
    learned: learner.RunTimes = dataclasses.field(
        default_factory=learner.RunTimes
    )
    worker_speeds: speeds.Speeds = dataclasses.field(
        default_factory=speeds.Speeds
    )
    share_notes: ShareNotes = dataclasses.field(default_factory=ShareNotes)
    lease_lapses: lapses.LapseLog = dataclasses.field(
        default_factory=lapses.LapseLog
    )

    def note_ended(self, job_id: str, account: str, ended_ms: int) -> None:
        """Note a job that ended at a Unix time in milliseconds."""
        self.ended_ms_by_id[job_id] = ended_ms
        # Few accounts have many jobs.
        self.accounts_by_ended_id[job_id] = sys.intern(account)

    def forget_ended(self, job_id: str) -> None:
        """Forget a job that ended: its rows are deleted."""
        del self.ended_ms_by_id[job_id]
        del self.accounts_by_ended_id[job_id]

    def mark_changed(self, job: livejobs.LiveJob) -> None:
        """Mark a job whose row must be written."""
        job.change += 1
        self.changed_ids[job.graph.id] = None

    def find_step(self, task: jobgraph.TaskName) -> jobgraph.Step | None:
        """Return the step of a task; None if its job is not known."""
        job = self.jobs_by_id.get(task.job_id)
        if job is None or task.step >= len(job.graph.steps):
            return None
        return job.graph.steps[task.step]

    def record_decision(
        self, event: str, job: livejobs.LiveJob, **values: typing.Any
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

    def mark_terminated(self, member: livejobs.Member) -> None:
        """Record that a member cannot run any more; free its resources."""
        if member.state is livejobs.MemberState.TERMINATED:
            return
        member.state = livejobs.MemberState.TERMINATED
        worker = self.workers_by_id.get(member.worker_id)
        if worker is not None:
            worker.remove_member(member)
        member.group.job.phases.note_terminated(member.group)

    def record_entry(
        self, entry: fleetworkers.WorkerEntry, now: float
    ) -> None:
        """Record the entry that a worker publishes; add new workers."""
        self.drains.note(entry, now)
        worker = self.workers_by_id.get(entry.id)
        if worker is None:
            worker = fleetworkers.Worker(entry)
            worker.late_runs = self.late_runs_by_removed_id.pop(entry.id, {})
            self.workers_by_id[entry.id] = worker
            self.entry_cache.clear()
        elif worker.entry != entry or not worker.is_listed:
            self.entry_cache.clear()
        if entry.boot not in (0, worker.entry.boot, worker.boot):
            # The worker has started again, or the entry is an old one.
            worker.doubted_at = now
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

    def count_unexpected_runs(self) -> int:
        """Return how many runs that no row asks for workers list."""
        return sum(
            len(worker.unexpected_runs)
            for worker in self.workers_by_id.values()
        )

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker that has left and on which nothing can run."""
        worker = self.workers_by_id.pop(worker_id, None)
        if worker is None:
            return
        self.entry_cache.clear()
        if worker.late_runs:
            self.late_runs_by_removed_id[worker_id] = worker.late_runs
