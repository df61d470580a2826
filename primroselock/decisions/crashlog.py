"""What a shard's holder has seen of crashed workers, see ``crashes``.

Only the crashes and the lost runs of each group are stored, with its
progress; the rest is known to this holder alone, and only tells of another
cause or delays.
"""

import dataclasses
import typing

from primroselock.decisions import livejobs

_KEPT_S: typing.Final = 60.0
"""For so long losses, and workers whose leases have expired, are kept."""

GAUGES: typing.Final = ('crashing_jobs', 'planned_leaves', 'worker_crashes')
"""Names of the counts of :class:`CrashLog`, as metrics."""


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """A worker that was lost; it ran work of ``job_ids``.

    ``lost_at``, on this process's clock, is when it was first missed;
    ``next_boot`` is the incarnation that came after, or 0 if it is unknown.
    """

    worker_id: str
    zone: str
    rack: str
    lost_at: float
    job_ids: frozenset[str]
    next_boot: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class SentRun:
    """A task whose start was sent to the incarnation ``boot``.

    ``had_run_long`` is as of when its worker was first missed.  That boot is
    known to have run at ``seen_at``; infinity where its silence was judged
    when its leases expired.
    ``is_inherited`` is set if that was seen by an earlier holder only, and
    ``may_have_left`` if that boot may have left as planned.
    """

    group: livejobs.Group
    attempt: int
    task_index: int
    boot: int
    had_run_long: bool
    seen_at: float = float('inf')
    is_inherited: bool = False
    may_have_left: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class LostWorker:
    """A worker that was silent until its leases expired, and what it ran.

    The ``lost_runs`` of ``groups`` tell more.  ``address`` is where it was,
    or empty where that is not known; ``seen_at``, on this process's clock, is
    when this holder learned of it.
    """

    id: str
    address: str
    seen_at: float
    groups: frozenset[livejobs.Group]
    is_inherited: bool = False

    def is_before(self, boot: int) -> bool:
        """Return whether all that it ran was sent to an earlier boot."""
        return all(0 < lost_boot < boot for lost_boot in self._list_boots())

    @property
    def latest_boot(self) -> int:
        """Return the latest boot that it ran anything on; 0 for none."""
        return max(self._list_boots(), default=0)

    def _list_boots(self) -> list[int]:
        return [
            lost.place.boot
            for group in self.groups
            for lost in group.lost_runs
            if lost.place.worker_id == self.id
        ]


@dataclasses.dataclass(slots=True)
class CrashLog:
    """Lost workers, and the groups under which workers have crashed.

    ``lost_by_worker_id`` are the workers that were silent until their leases
    had expired, ``lost_ids_by_address`` their ids.
    ``crashes`` and ``given_up`` count the crashes that were recorded and the
    jobs that were given up, ``planned_leaves`` the runs that ended as their
    worker left as planned.
    """

    losses: list[Loss] = dataclasses.field(default_factory=list)
    lost_by_worker_id: dict[str, LostWorker] = dataclasses.field(
        default_factory=dict
    )
    lost_ids_by_address: dict[str, str] = dataclasses.field(
        default_factory=dict
    )
    possible_causes: dict[livejobs.Group, None] = dataclasses.field(
        default_factory=dict
    )
    crashes: int = 0
    given_up: int = 0
    planned_leaves: int = 0

    def counts(self) -> dict[str, int]:
        """Return the values of ``GAUGES`` since the takeover, by name."""
        counts = (self.given_up, self.planned_leaves, self.crashes)
        return dict(zip(GAUGES, counts, strict=True))

    def add_possible_cause(self, group: livejobs.Group) -> None:
        """Note a group under which a worker has crashed."""
        self.possible_causes[group] = None

    def drop_possible_cause(self, group: livejobs.Group) -> None:
        """Forget a group that has ended, or that ran long without a crash."""
        self.possible_causes.pop(group, None)

    def add_loss(self, loss: Loss) -> Loss:
        """Add a loss and return it as it is kept.

        What an entry or a report has shown of it before becomes part of it.
        """
        known = self._find_restart(loss)
        if known is not None:
            self.losses.remove(known)
            loss = dataclasses.replace(
                loss,
                lost_at=min(known.lost_at, loss.lost_at),
                job_ids=known.job_ids | loss.job_ids,
            )
        self.losses.append(loss)
        return loss

    def _find_restart(self, loss: Loss) -> Loss | None:
        """Return what is known of the same restart of the same worker."""
        if not loss.next_boot:
            return None
        for known in self.losses:
            if (known.worker_id, known.next_boot) == (
                loss.worker_id,
                loss.next_boot,
            ):
                return known
        return None

    def find_loss(self, worker_id: str, job_id: str) -> Loss | None:
        """Return the latest loss of a worker that ran work of a job.

        Return None if this holder did not see it, or has forgotten it.
        """
        for loss in reversed(self.losses):
            if loss.worker_id == worker_id and job_id in loss.job_ids:
                return loss
        return None

    def add_lost(self, lost: LostWorker) -> None:
        """Add a worker whose leases have expired, or more of what it ran."""
        known = self.lost_by_worker_id.get(lost.id)
        if known is not None:
            lost = dataclasses.replace(
                lost,
                address=lost.address or known.address,
                groups=known.groups | lost.groups,
                is_inherited=known.is_inherited or lost.is_inherited,
            )
        self.lost_by_worker_id[lost.id] = lost
        if lost.address:
            self.lost_ids_by_address[lost.address] = lost.id

    def take_lost(self, worker_id: str) -> LostWorker | None:
        """Remove and return a worker whose leases had expired."""
        lost = self.lost_by_worker_id.pop(worker_id, None)
        if lost is not None:
            self.lost_ids_by_address.pop(lost.address, None)
        return lost

    def list_old_lost(self, now: float) -> list[str]:
        """Return the ids of lost workers that are not waited for any more."""
        oldest = now - _KEPT_S
        return [
            lost.id
            for lost in self.lost_by_worker_id.values()
            if lost.seen_at <= oldest
        ]

    def drop_losses(self, worker_id: str, boot: int) -> None:
        """Forget the loss of a boot of a worker that had left as planned."""
        self.losses = [
            loss
            for loss in self.losses
            if loss.worker_id != worker_id or loss.next_boot <= boot
        ]

    def forget_old_losses(self, now: float) -> None:
        """Forget what is too old to be compared with a new loss."""
        oldest = now - _KEPT_S
        self.losses = [loss for loss in self.losses if loss.lost_at > oldest]
