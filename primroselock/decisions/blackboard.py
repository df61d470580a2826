"""In-memory state of one shard, read and written by the controllers.

The blackboard holds frozen records by id.  Controllers replace records;
the adapters that do I/O add worker reports and job rows through the
``record_`` methods.  Nothing here does I/O or reads a clock.

An attempt passes through these phases: RESERVING until the worker of each
member has reserved the resources, COMMITTING until the job's row contains
the placement, STARTING until every member runs, RUNNING, then for
preempted work CHECKPOINTING until every member has saved its progress or
the grace period has expired, and STOPPING until no member can still run.
Its cells are then free again.
"""

from collections import abc
import dataclasses
import enum
import typing

from primroselock import configuration
from primroselock.decisions import changes
from primroselock.decisions import evidence
from primroselock.decisions import footprints
from primroselock.decisions.runtimes import learner
from primroselock.decisions import shapes
from primroselock.decisions import tokenbucket
from primroselock import jobs
from primroselock.store import vmlist
from primroselock.workers import protocol
from primroselock.workers import reports


# Limits the retries of failed attempts of one shard.
RETRIES_PER_S: typing.Final = 5.0
MAX_RETRY_TOKENS: typing.Final = 50.0

_MAX_NAMES: typing.Final = 2_000
"""Limit of the pairs of account and job name with learned run times."""


def _new_retry_budget() -> tokenbucket.TokenBucket:
    return tokenbucket.TokenBucket(
        RETRIES_PER_S, MAX_RETRY_TOKENS, MAX_RETRY_TOKENS
    )


class Phase(enum.Enum):
    """Phases of an attempt, in the order in which it passes them."""

    RESERVING = 'reserving'
    COMMITTING = 'committing'
    STARTING = 'starting'
    RUNNING = 'running'
    CHECKPOINTING = 'checkpointing'
    STOPPING = 'stopping'


class EndReason(enum.Enum):
    """The reason why an attempt is being stopped."""

    DONE = 'done'
    MEMBER_FAILED = 'member failed'
    MEMBER_LOST = 'member lost'
    NOT_STARTED = 'not started in time'
    PREEMPTED = 'preempted'
    CANCELLED = 'cancelled'
    RESIZED = 'used more than declared'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker: its entry in the VM list and its last report.

    The report was received at ``received_at``, as the reply to an exchange
    sent at ``sent_at``; both are in seconds on this process's monotonic
    clock.
    """

    vm: vmlist.Vm
    report: protocol.Report | None = None
    received_at: float = 0.0
    sent_at: float = 0.0
    _tasks_by_key: dict[protocol.TaskKey, protocol.TaskReport] = (
        dataclasses.field(
            default_factory=dict, init=False, repr=False, compare=False
        )
    )

    def task(self, key: protocol.TaskKey) -> protocol.TaskReport | None:
        """Return the worker's last report on one task.

        The index of tasks by key is built on the first call.
        """
        if self.report is None:
            return None
        if not self._tasks_by_key:
            self._tasks_by_key.update(
                {task.task: task for task in self.report.tasks}
            )
        return self._tasks_by_key.get(key)

    def clock_at(self, moment: float) -> float:
        """Return a lower bound of the worker's clock at ``moment``.

        The report was made no later than it was received, so the worker's
        clock had reached at least ``clock_s`` by then.  A deadline computed
        from the bound is therefore never later than intended on the
        worker's clock, however long the report was in transit and however
        long the sender paused.
        """
        assert self.report is not None
        return self.report.clock_s + (moment - self.received_at)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptView:
    """An attempt in progress and its phase, entered at ``phase_since``.

    ``phase_since`` is on this process's monotonic clock.  ``commit_sent``
    is True once a write of the placement was decided; the write may take
    effect with a delay.  ``failed_member`` is the index of the member that
    failed; ``corrected_memory_mb`` is the memory per member for the next
    attempt, where the declared size was exceeded.
    """

    job_id: str
    attempt: jobs.Attempt
    phase: Phase
    phase_since: float
    end_reason: EndReason | None = None
    detail: str = ''
    commit_sent: bool = False
    failed_member: int | None = None
    corrected_memory_mb: int | None = None

    def tasks(self) -> list[tuple[protocol.TaskKey, jobs.Placement]]:
        """Return each member's task with its placement."""
        return [
            (
                protocol.TaskKey(
                    self.job_id,
                    self.attempt.number,
                    member,
                    self.attempt.epoch,
                ),
                placement,
            )
            for member, placement in enumerate(self.attempt.placements)
        ]


@dataclasses.dataclass(frozen=True, slots=True)
class JobView:
    """A job that has not ended and the version of its row.

    No attempt starts before ``not_before``, on this process's monotonic
    clock.
    """

    job: jobs.Job
    row_version: int
    not_before: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Extends the leases of all running tasks on a worker, with exceptions.

    ``excluded`` are the ids of jobs whose tasks are not renewed.
    ``lease_until`` is on the worker's clock, ``decided_at`` on this
    process's.
    """

    lease_until: float
    excluded: tuple[str, ...]
    decided_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheck:
    """The last evaluation of an attempt that is being stopped.

    It was made at ``at`` on this process's monotonic clock, with the
    attempt ``view`` and the job's row at ``row_version``.
    """

    view: AttemptView
    row_version: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityClaim:
    """A capacity claim: cells kept for a job until they are free.

    The borrowed work in them, which exceeds the guarantee of its account,
    is being stopped meanwhile.  ``borrowed`` is True if the claiming job's
    own attempt will be borrowed work; ``since`` is on this process's
    monotonic clock.
    """

    account: str
    placements: tuple[jobs.Placement, ...]
    borrowed: bool
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Free cells of a shard, as published in its beacon.

    ``largest_free`` is the size of its largest free cell and
    ``waiting_accelerators`` the total that its waiting jobs request, both
    in accelerators; ``received_at`` is when the beacon was received, on this
    process's monotonic clock.
    """

    free_accelerators: int
    waiting_accelerators: int
    largest_free: int
    received_at: float


@dataclasses.dataclass(slots=True)
class SoftState:
    """State kept between rounds that may be lost and is rebuilt over time.

    ``footprints_by_job_id``, ``claim_footprints_by_job_id`` and
    ``locations_by_worker_id`` cache the accelerators of attempts and
    claims.  ``run_times`` holds what was learned of run times, by account
    and job name.
    ``running_since_by_job_id`` is when an attempt entered RUNNING;
    ``first_seen_by_job_id`` is when a waiting job was first considered.
    ``shapes_by_job_id`` are the shapes of waiting jobs under ``share``;
    ``targets_by_job_id`` are the shards that jobs are being moved to.
    """

    footprints_by_job_id: dict[str, footprints.Footprint] = dataclasses.field(
        default_factory=dict
    )
    claim_footprints_by_job_id: dict[str, footprints.Footprint] = (
        dataclasses.field(default_factory=dict)
    )
    locations_by_worker_id: dict[str, tuple[str, int]] = dataclasses.field(
        default_factory=dict
    )
    run_times: learner.RunTimes = dataclasses.field(
        default_factory=lambda: learner.RunTimes(
            max_queues=_MAX_NAMES, max_kinds=_MAX_NAMES
        )
    )
    running_since_by_job_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    first_seen_by_job_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    share: shapes.AcceleratorShare | None = None
    shapes_by_job_id: dict[str, shapes.Shape | None] = dataclasses.field(
        default_factory=dict
    )
    targets_by_job_id: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class Blackboard:
    """The state of one shard; no task starts after ``permit_until``.

    The fields that are times are on this process's monotonic clock.
    ``reasons_by_job_id`` states in one sentence why a job waits, and
    ``quarantined_worker_ids`` are the workers that get no new work.
    ``listening_since`` is the start of the current period in which this
    process has processed reports without a pause; the time for which a
    worker has not answered counts from there at the earliest.
    ``claims_by_job_id`` are the capacity claims; ``peers_by_shard`` is the
    free capacity that other shards last published, and ``load`` is that
    of this shard.  ``shortfalls`` describes guarantees that the usable
    hardware cannot meet.  ``soft_state`` is state that can be rebuilt.
    ``renewals_by_worker_id`` is the renewal that the next batch to each
    worker carries; each watch stores the reports that one controller has
    processed.
    """

    shard: str
    zone: str
    epoch: int = 0
    config: configuration.Configuration = configuration.EMPTY
    permit_until: float = 0.0
    workers_by_id: dict[str, WorkerView] = dataclasses.field(
        default_factory=dict
    )
    jobs_by_id: dict[str, JobView] = dataclasses.field(default_factory=dict)
    attempts_by_job_id: dict[str, AttemptView] = dataclasses.field(
        default_factory=dict
    )
    reasons_by_job_id: dict[str, str] = dataclasses.field(default_factory=dict)
    quarantined_worker_ids: set[str] = dataclasses.field(default_factory=set)
    listening_since: float = 0.0
    reasons_written_at: float = 0.0
    failure_evidence: evidence.Evidence = dataclasses.field(
        default_factory=evidence.Evidence
    )
    retry_budget: tokenbucket.TokenBucket = dataclasses.field(
        default_factory=_new_retry_budget
    )
    renewals_by_worker_id: dict[str, Renewal] = dataclasses.field(
        default_factory=dict
    )
    stop_checks_by_job_id: dict[str, StopCheck] = dataclasses.field(
        default_factory=dict
    )
    gang_watch: changes.Watch = dataclasses.field(
        default_factory=changes.Watch
    )
    usage_watch: changes.Watch = dataclasses.field(
        default_factory=changes.Watch
    )
    orphan_watch: changes.Watch = dataclasses.field(
        default_factory=changes.Watch
    )
    claims_by_job_id: dict[str, CapacityClaim] = dataclasses.field(
        default_factory=dict
    )
    peers_by_shard: dict[str, PeerLoad] = dataclasses.field(
        default_factory=dict
    )
    shortfalls: tuple[str, ...] = ()
    load: PeerLoad | None = None
    soft_state: SoftState = dataclasses.field(default_factory=SoftState)

    @property
    def is_zone_in_service(self) -> bool:
        """Return whether the blackboard's zone is in service."""
        zone = self.config.zones_by_name.get(self.zone)
        return zone is not None and zone.is_in_service

    def reports_by_worker_id(self) -> dict[str, protocol.Report | None]:
        """Return the last report of every worker."""
        return {
            worker_id: worker.report
            for worker_id, worker in self.workers_by_id.items()
        }

    def record_vms(self, vms: abc.Iterable[vmlist.Vm]) -> None:
        """Store the zone's workers from the VM list.

        The list lags: a worker that is no longer listed but still has
        members of an attempt is kept, marked as draining (``leaving``),
        until no attempt uses it; attempts on an unresponsive worker are
        stopped.
        """
        listed = {
            vm.id: vm
            for vm in vms
            if vm.role == 'worker' and vm.zone == self.zone
        }
        used = {
            placement.worker_id
            for view in self.attempts_by_job_id.values()
            for placement in view.attempt.placements
        }
        for worker_id in self.workers_by_id.keys() - listed.keys():
            view = self.workers_by_id.pop(worker_id)
            if worker_id in used:
                leaving = dataclasses.replace(view.vm, leaving=True)
                listed[worker_id] = leaving
                self.workers_by_id[worker_id] = view
        for worker_id, vm in listed.items():
            known = self.workers_by_id.get(worker_id)
            if known is None:
                self.workers_by_id[worker_id] = WorkerView(vm)
            elif known.vm != vm:
                self.workers_by_id[worker_id] = dataclasses.replace(
                    known, vm=vm
                )

    def record_report(
        self, report: protocol.Report, sent_at: float, received_at: float
    ) -> None:
        """Store a worker's report unless a newer one is known.

        A report of a worker without an entry and a difference from a report
        other than the last one are ignored.
        """
        view = self.workers_by_id.get(report.worker_id)
        if view is None or sent_at < view.sent_at:
            return
        completed = reports.apply_difference(view.report, report)
        if completed is None:
            return
        self.workers_by_id[report.worker_id] = dataclasses.replace(
            view, report=completed, received_at=received_at, sent_at=sent_at
        )

    def record_job(self, job: jobs.Job, row_version: int) -> None:
        """Store a job row unless a newer one is known.

        An ended job is removed.
        """
        if job.state.is_final:
            self.jobs_by_id.pop(job.id, None)
            return
        old = self.jobs_by_id.get(job.id)
        if old is None:
            self.jobs_by_id[job.id] = JobView(job, row_version)
        elif row_version > old.row_version:
            self.jobs_by_id[job.id] = dataclasses.replace(
                old, job=job, row_version=row_version
            )

    def set_phase(
        self,
        view: AttemptView,
        phase: Phase,
        now: float,
        end_reason: EndReason | None = None,
        detail: str = '',
    ) -> AttemptView:
        """Move an attempt to ``phase`` and return its new view.

        The earlier end reason and detail are kept where none is given.
        """
        moved = dataclasses.replace(
            view,
            phase=phase,
            phase_since=now,
            end_reason=end_reason or view.end_reason,
            detail=detail or view.detail,
        )
        self.attempts_by_job_id[view.job_id] = moved
        return moved
