"""What a shard's holder has seen of crashed workers, see ``crashes``.

Only the crashes of each group are stored, with its progress; the rest is
known to this holder alone, and only excuses or delays.
"""

import dataclasses
import typing

from primroselock.decisions import livejobs

_KEPT_S: typing.Final = 60.0
"""For so long losses, and runs settled without a report, are kept."""

GAUGES: typing.Final = ('crashing_jobs', 'worker_crashes')
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

    Times are on this process's clock: ``began_at`` is when its whole attempt
    was known to run, or None, and ``seen_at`` when it was last known to be.
    """

    group: livejobs.Group
    attempt: int
    task_index: int
    boot: int
    began_at: float | None
    seen_at: float


@dataclasses.dataclass(slots=True)
class CrashLog:
    """Lost workers, and the groups under which workers have crashed.

    ``settled_by_worker_id`` are runs on workers that were silent until their
    leases had expired.
    ``planned_boot_by_id`` is by worker the incarnation that
    was draining when it ended.  ``crashes`` and ``given_up`` count the
    crashes that were recorded and the jobs that were given up.
    """

    losses: list[Loss] = dataclasses.field(default_factory=list)
    settled_by_worker_id: dict[str, list[SentRun]] = dataclasses.field(
        default_factory=dict
    )
    suspects: dict[livejobs.Group, None] = dataclasses.field(
        default_factory=dict
    )
    planned_boot_by_id: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    crashes: int = 0
    given_up: int = 0

    def counts(self) -> dict[str, int]:
        """Return the values of ``GAUGES`` since the takeover, by name."""
        return dict(zip(GAUGES, (self.given_up, self.crashes), strict=True))

    def add_suspect(self, group: livejobs.Group) -> None:
        """Note a group under which a worker has crashed."""
        self.suspects[group] = None

    def drop_suspect(self, group: livejobs.Group) -> None:
        """Forget a group that has ended, or that has proved to be sound."""
        self.suspects.pop(group, None)

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

    def forget_old(self, now: float) -> None:
        """Forget what is too old to be compared with a new loss."""
        oldest = now - _KEPT_S
        self.losses = [loss for loss in self.losses if loss.lost_at > oldest]
        for worker_id, settled in list(self.settled_by_worker_id.items()):
            if settled[-1].seen_at <= oldest:
                del self.settled_by_worker_id[worker_id]
