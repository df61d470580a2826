"""What one scheduler knows of its shard, for controllers to read and write.

The blackboard holds frozen records by id.  Controllers replace records;
adapters outside feed in reports and rows through the ``record_`` methods.
Nothing here does I/O or reads a clock.

An attempt moves through phases: RESERVING until every member's worker
holds the resources, COMMITTING until the job's row holds the placement,
STARTING until every member runs, RUNNING, for preempted work
CHECKPOINTING until every member has saved its progress or the grace is
over, then STOPPING until no member can still run, when its cells are
free again.
"""

from collections import abc
import dataclasses
import enum
import typing

from primroselock import configuration
from primroselock.decisions import changes
from primroselock.decisions import evidence
from primroselock.decisions import footprints
from primroselock.decisions import shapes
from primroselock.decisions import tokenbucket
from primroselock import jobs
from primroselock.store import vmlist
from primroselock.workers import protocol
from primroselock.workers import reports


RETRIES_PER_S: typing.Final = 5.0
MAX_RETRY_TOKENS: typing.Final = 50.0


def _new_retry_budget() -> tokenbucket.TokenBucket:
    return tokenbucket.TokenBucket(
        RETRIES_PER_S, MAX_RETRY_TOKENS, MAX_RETRY_TOKENS
    )


class Phase(enum.Enum):
    """Phases of an attempt."""

    RESERVING = 'reserving'
    COMMITTING = 'committing'
    STARTING = 'starting'
    RUNNING = 'running'
    CHECKPOINTING = 'checkpointing'
    STOPPING = 'stopping'


class EndReason(enum.Enum):
    """Why an attempt is being stopped."""

    DONE = 'done'
    MEMBER_FAILED = 'member failed'
    MEMBER_LOST = 'member lost'
    NOT_STARTED = 'not started in time'
    PREEMPTED = 'preempted'
    CANCELLED = 'cancelled'
    RESIZED = 'used more than declared'


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker: its VM entry and its last report, heard at ``received_at``.

    ``sent_at`` is when the exchange that brought the report was sent.
    Both are on this process's monotonic clock.
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

        The tasks are indexed by key when the first one is asked for.
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

        The report was made no later than it was heard, so the worker's
        clock had reached at least ``clock_s`` then.  A deadline computed
        from it comes, by the worker's clock, no later than meant, however
        long the report was on its way or the sender paused.
        """
        assert self.report is not None
        return self.report.clock_s + (moment - self.received_at)


@dataclasses.dataclass(frozen=True, slots=True)
class AttemptView:
    """A running attempt and its phase, entered at ``phase_since``.

    ``commit_sent`` says that a write of the placement was decided, which
    may take effect late.  ``failed_member`` is the one that failed;
    ``corrected_memory_mb`` is what each member needs after all.
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

    ``not_before`` is on this process's monotonic clock.
    """

    job: jobs.Job
    row_version: int
    not_before: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Renewal:
    """Extends the leases of all running tasks on a worker but some.

    ``excluded`` names the jobs whose tasks are left as they are.
    ``lease_until`` is on the worker's clock, ``decided_at`` on this
    process's.
    """

    lease_until: float
    excluded: tuple[str, ...]
    decided_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StopCheck:
    """The last look at an attempt that is being stopped."""

    view: AttemptView
    row_version: int
    at: float


@dataclasses.dataclass(frozen=True, slots=True)
class CapacityClaim:
    """Cells kept for a job until the work that borrows them has ended."""

    account: str
    placements: tuple[jobs.Placement, ...]
    borrowed: bool
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerLoad:
    """Free cells of another shard, as its beacon said.

    ``largest_free`` is the size of its largest free cell,
    ``waiting_accelerators`` what its waiting jobs ask for together;
    ``received_at`` is on this process's monotonic clock.
    """

    free_accelerators: int
    waiting_accelerators: int
    largest_free: int
    received_at: float


@dataclasses.dataclass(slots=True)
class SoftState:
    """What decisions remember between rounds; all can be rebuilt or lost.

    ``footprints_by_job_id``, ``claim_footprints_by_job_id`` and
    ``locations_by_worker_id`` cache the accelerators of attempts and
    claims; ``run_times`` are learned;
    ``first_seen_by_job_id`` is when a waiting job was first considered;
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
    run_times: dict[tuple[str, str], tuple[float, float]] = dataclasses.field(
        default_factory=dict
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
    """Everything known of one shard; ``permit_until`` bounds starts.

    ``reasons_by_job_id`` says in one sentence why a job waits, and
    ``quarantined_worker_ids`` names workers that get no new work.
    ``listening_since`` is when this process last began to listen without
    a pause; silence of a worker counts from there at the earliest.
    ``claims_by_job_id`` are cells that jobs wait for while the work that
    borrows them is stopped; ``peers_by_shard`` is what other shards last
    said of their free cells, and ``load`` is the same of this shard.
    ``shortfalls`` are sentences on guarantees that hardware cannot meet.
    ``soft_state`` caches what can be rebuilt.  ``renewals_by_worker_id`` is
    what the next batch to each worker renews; each watch notes what one
    controller has seen of the reports.
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

    def reports_by_worker_id(self) -> dict[str, protocol.Report | None]:
        """Return the last report of every worker."""
        return {
            worker_id: worker.report
            for worker_id, worker in self.workers_by_id.items()
        }

    def record_vms(self, vms: abc.Iterable[vmlist.Vm]) -> None:
        """Take over the zone's workers from the VM list.

        The list lags: a worker that is gone from it but still has members
        of an attempt is kept as leaving, until it is silent.
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
        """Take over a worker's report unless a newer one is known."""
        view = self.workers_by_id.get(report.worker_id)
        if view is None or sent_at < view.sent_at:
            return
        whole = reports.apply_difference(view.report, report)
        if whole is None:
            return
        self.workers_by_id[report.worker_id] = dataclasses.replace(
            view, report=whole, received_at=received_at, sent_at=sent_at
        )

    def record_job(self, job: jobs.Job, row_version: int) -> None:
        """Take over a job row; an ended job is dropped."""
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
        """Move an attempt to ``phase`` and return its new view."""
        moved = dataclasses.replace(
            view,
            phase=phase,
            phase_since=now,
            end_reason=end_reason or view.end_reason,
            detail=detail or view.detail,
        )
        self.attempts_by_job_id[view.job_id] = moved
        return moved
