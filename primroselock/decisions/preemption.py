"""Preempts borrowed work so that guaranteed or urgent work can start.

The cells that a job waits for are kept for it by a capacity claim, so that
the preempted work is not placed in them again.  A claim lasts until the
cells are free.  It is dropped if one of its workers fails, the job no longer
waits or the claim is too old; the job is then planned again.
"""

from collections import abc
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import policies
from primroselock import options

_MAX_CLAIM_AGE_LEASES: typing.Final = 2
"""Age limit of a claim, in task leases; its cells should be free by then."""


def preempt(board: blackboard.Blackboard, job_id: str, now: float) -> None:
    """Begin to stop one attempt, with a checkpoint if it may have run.

    An attempt in COMMITTING, whose row is being written, is left for a
    later round; one that is already being stopped is not changed.
    """
    view = board.attempts_by_job_id[job_id]
    if view.phase in (blackboard.Phase.RUNNING, blackboard.Phase.STARTING):
        phase = blackboard.Phase.CHECKPOINTING
    elif view.phase is blackboard.Phase.RESERVING:
        phase = blackboard.Phase.STOPPING
    else:
        return
    board.set_phase(view, phase, now, blackboard.EndReason.PREEMPTED)


def claim_state(
    board: blackboard.Blackboard,
    shard_capacity: capacity.Capacity,
    settings: options.Settings,
    job_id: str,
    now: float,
) -> bool | None:
    """Return whether the cells that a job claims are free.

    None means that the claim is void: it is too old, or one of its workers
    was restarted or is not usable.
    """
    claim = board.claims_by_job_id[job_id]
    if (
        now - claim.since
        > settings.scheduler.task_lease_s * _MAX_CLAIM_AGE_LEASES
    ):
        return None
    for placement in claim.placements:
        worker = board.workers_by_id.get(placement.worker_id)
        if worker is None or worker.report is None:
            return None
        if worker.report.boot_id != placement.boot_id:
            return None
    footprint = board.soft_state.claim_footprints_by_job_id[job_id]
    for rack, mask in footprint.masks:
        if mask & ~shard_capacity.usable_by_rack.get(rack, 0):
            return None
    return not any(
        mask & shard_capacity.occupied_by_rack.get(rack, 0)
        for rack, mask in footprint.masks
    )


def preempt_borrowers(
    board: blackboard.Blackboard,
    shard_capacity: capacity.Capacity,
    wanted: abc.Iterable[tuple[str, int]],
    now: float,
) -> list[str]:
    """Begin to stop the borrowed work in ``wanted``; return its job ids.

    ``wanted`` are pairs of a rack and a mask of its accelerators.
    """
    victims: dict[str, None] = {}
    for rack, mask in wanted:
        for job_id in shard_capacity.borrowers_in(rack, mask):
            victims[job_id] = None
    for job_id in victims:
        preempt(board, job_id, now)
    return list(victims)


class PreemptionCost:
    """Work lost when a cell is taken, under the chosen victim policy."""

    def __init__(
        self,
        board: blackboard.Blackboard,
        shard_capacity: capacity.Capacity,
        settings: options.Settings,
        now: float,
    ) -> None:
        self._board = board
        self._shard_capacity = shard_capacity
        self._now = now
        name = settings.scheduler.victim_choice
        self._lost_work = policies.victim_choices_by_name[name]
        self._lost_by_job_id: dict[str, float] = {}

    def of_cell(self, cell: cells.Cell) -> float:
        """Return the accelerator-seconds lost; 0 for a free cell.

        A cell that is not free costs at least 1, so that free ones are
        preferred.
        """
        if self._shard_capacity.free.is_free(cell):
            return 0.0
        victims = self._shard_capacity.borrowers_in(cell.rack, cell.mask)
        return 1.0 + sum(map(self._of_job, victims))

    def _of_job(self, job_id: str) -> float:
        known = self._lost_by_job_id.get(job_id)
        if known is not None:
            return known
        view = self._board.attempts_by_job_id[job_id]
        lost = 0.0
        if view.phase not in capacity.STOPPING_PHASES:
            lost = self._lost_work(self._board, view, self._now)
        self._lost_by_job_id[job_id] = lost
        return lost
