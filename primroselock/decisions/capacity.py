"""Free, held and borrowed accelerators of a shard.

All of it is derived from the blackboard.  Two maps of free accelerators
are computed.  ``free`` contains what no attempt and no capacity claim
takes.  ``reclaimable`` contains what no account holds under its
guarantee: borrowed work does not reduce it, since it can be preempted.

An account holds a guaranteed cell from the time when the first of its
guaranteed work is placed in it until the last such work is ordered to
stop; smaller work is placed within a cell that the account already
holds.  The held cells are determined by the placements of the account's
attempts alone.  Work in cells beyond the guarantee, which a
configuration patch may have lowered, counts as borrowed, and so does
work that is being stopped.

**The reclaim invariant**: the unused cells of all accounts' guarantees
fit into ``reclaimable`` together.  Each account can then obtain the
unused part of its guarantee at once by preempting only borrowed work.
The invariant is preserved by taking a guaranteed cell only where the
remaining ones still fit; a release frees the block that the cell
occupied, so the released cell fits there again.
"""

from collections import abc
import dataclasses
import enum

from primroselock.decisions import blackboard
from primroselock.decisions import cells
from primroselock.decisions import footprints
from primroselock.decisions import packing
from primroselock.decisions import shapes
from primroselock import jobs
from primroselock import options

STOPPING_PHASES: abc.Set[blackboard.Phase] = frozenset(
    {blackboard.Phase.CHECKPOINTING, blackboard.Phase.STOPPING}
)


class Exclusion(enum.Enum):
    """Why no new work is placed on a worker, whatever its free cells."""

    NOT_HEARD = 'has not reported yet'
    LEAVING = 'leaves'
    QUARANTINED = 'quarantined'
    SILENT = 'its last report is old'


@dataclasses.dataclass(frozen=True, slots=True)
class Shortfall:
    """Guaranteed cells of ``size`` that cannot be reclaimed now."""

    size: int
    missing: int


@dataclasses.dataclass(slots=True)
class AccountGuarantee:
    """The guarantee of one account in the zone.

    ``granted_by_size`` counts the guaranteed cells by size and
    ``unused_by_size`` those of them that the account does not hold.
    ``used_mask_by_cell`` maps each held cell to the accelerators in it that
    guaranteed work occupies, as a bit mask of the rack.
    """

    granted_by_size: abc.Mapping[int, int]
    unused_by_size: dict[int, int]
    used_mask_by_cell: dict[cells.Cell, int] = dataclasses.field(
        default_factory=dict
    )

    def held_count(self, size: int) -> int:
        """Return how many cells of ``size`` the account holds."""
        granted = self.granted_by_size.get(size, 0)
        return granted - self.unused_by_size.get(size, 0)

    def describe(self) -> str:
        """Return a text on the guarantee and its use, for wait reasons."""
        if not any(self.granted_by_size.values()):
            return 'no guarantee here'
        return ', '.join(
            f'{self.held_count(size)} of {count} guaranteed cells of '
            f'{size} in use'
            for size, count in sorted(self.granted_by_size.items())
            if count
        )


@dataclasses.dataclass(slots=True)
class Capacity:
    """Free, held and borrowed accelerators of a shard at one time.

    ``usable_by_rack`` are the accelerators of usable workers and
    ``occupied_by_rack`` those that attempts occupy, as bit masks; cells
    that are only claimed are not occupied.  ``borrowed_by_rack`` maps a
    rack to the masks of its borrowed jobs by job id.
    ``worker_ids_by_location`` maps rack and slot to a worker.
    """

    usable_by_rack: dict[str, int]
    occupied_by_rack: dict[str, int]
    free: cells.CellMap
    reclaimable: cells.CellMap
    guarantees_by_account: dict[str, AccountGuarantee]
    borrowed_by_rack: dict[str, dict[str, int]]
    worker_ids_by_location: dict[tuple[str, int], str]
    share: shapes.AcceleratorShare

    def guarantee(self, account: str) -> AccountGuarantee:
        """Return the account's guarantee, empty for an unknown account."""
        found = self.guarantees_by_account.get(account)
        return found if found is not None else AccountGuarantee({}, {})

    def unused_by_size(self) -> dict[int, int]:
        """Return the number of unused guaranteed cells of all accounts."""
        totals: dict[int, int] = {}
        for guarantee in self.guarantees_by_account.values():
            for size, count in guarantee.unused_by_size.items():
                totals[size] = totals.get(size, 0) + count
        return totals

    def shortfalls(self) -> list[Shortfall]:
        """Return the cells that the reclaim invariant lacks, if any."""
        missing = packing.missing_cells(
            self.reclaimable.counts_by_size(), self.unused_by_size()
        )
        return [Shortfall(size, count) for size, count in missing.items()]

    def borrowers_in(self, rack: str, wanted: int) -> list[str]:
        """Return the borrowed jobs that occupy part of a mask of a rack."""
        borrowed = self.borrowed_by_rack.get(rack, {})
        return [job_id for job_id, mask in borrowed.items() if mask & wanted]


def locate_workers(board: blackboard.Blackboard) -> dict[str, tuple[str, int]]:
    """Return rack and slot of each worker that has reported, by id."""
    return {
        worker_id: (worker.vm.rack, worker.report.slot)
        for worker_id, worker in board.workers_by_id.items()
        if worker.report is not None
    }


def refresh_footprints(
    board: blackboard.Blackboard,
) -> dict[str, footprints.Footprint]:
    """Return the footprints of all attempts, by job id.

    They are computed once for each attempt or claim; all of them are
    discarded when the location of any worker changes.
    """
    soft_state = board.soft_state
    locations = locate_workers(board)
    if locations != soft_state.locations_by_worker_id:
        soft_state.locations_by_worker_id = locations
        soft_state.footprints_by_job_id = {}
        soft_state.claim_footprints_by_job_id = {}
    footprints.refresh(
        soft_state.footprints_by_job_id,
        {
            job_id: view.attempt.placements
            for job_id, view in board.attempts_by_job_id.items()
        },
        locations,
    )
    footprints.refresh(
        soft_state.claim_footprints_by_job_id,
        {
            job_id: claim.placements
            for job_id, claim in board.claims_by_job_id.items()
        },
        locations,
    )
    return soft_state.footprints_by_job_id


def is_usable(
    board: blackboard.Blackboard,
    worker: blackboard.WorkerView,
    settings: options.Settings,
    now: float,
) -> bool:
    """Return whether new work may be placed on the worker."""
    return find_exclusion(board, worker, settings, now) is None


def find_exclusion(
    board: blackboard.Blackboard,
    worker: blackboard.WorkerView,
    settings: options.Settings,
    now: float,
) -> Exclusion | None:
    """Return why no new work may be placed on the worker, or None.

    Its last report must not be older than two heartbeat intervals.
    """
    if worker.report is None:
        return Exclusion.NOT_HEARD
    if worker.vm.leaving:
        return Exclusion.LEAVING
    if worker.vm.id in board.quarantined_worker_ids:
        return Exclusion.QUARANTINED
    report_age_s = now - worker.received_at
    if report_age_s > settings.scheduler.heartbeat_interval_s * 2:
        return Exclusion.SILENT
    return None


def compute(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> Capacity:
    """Return the shard's capacity, from workers, attempts and claims."""
    usable = [
        worker
        for worker in board.workers_by_id.values()
        if is_usable(board, worker, settings, now)
    ]
    usable_by_rack = _usable_masks(usable)
    builder = _CapacityBuilder(board, usable_by_rack)
    builder.add_attempts(refresh_footprints(board))
    builder.add_claims()
    reports = [w.report for w in usable if w.report is not None]
    ids = {
        location: worker_id
        for (
            worker_id,
            location,
        ) in board.soft_state.locations_by_worker_id.items()
    }
    return Capacity(
        usable_by_rack,
        builder.occupied_by_rack,
        cells.CellMap(builder.free_by_rack),
        cells.CellMap(builder.reclaimable_masks()),
        builder.guarantees,
        builder.borrowed,
        ids,
        shapes.smallest_share(reports),
    )


def _usable_masks(
    usable: abc.Iterable[blackboard.WorkerView],
) -> dict[str, int]:
    masks: dict[str, int] = {}
    for worker in usable:
        assert worker.report is not None
        slot = worker.report.slot
        worker_mask = ((1 << cells.WORKER_SIZE) - 1) << (
            slot * cells.WORKER_SIZE
        )
        masks[worker.vm.rack] = masks.get(worker.vm.rack, 0) | worker_mask
    return masks


class _CapacityBuilder:
    """Accumulates what attempts and claims occupy, hold and borrow."""

    def __init__(
        self, board: blackboard.Blackboard, usable_by_rack: dict[str, int]
    ) -> None:
        self.board = board
        self.usable_by_rack = usable_by_rack
        self.free_by_rack = dict(usable_by_rack)
        self.occupied_by_rack: dict[str, int] = {}
        self._held_by_rack: dict[str, int] = {}
        self.borrowed: dict[str, dict[str, int]] = {}
        self.guarantees: dict[str, AccountGuarantee] = {}
        for account in board.config.accounts_by_name.values():
            granted = account.guarantees_by_zone.get(board.zone, {})
            self.guarantees[account.name] = AccountGuarantee(
                granted, dict(granted)
            )

    def add_attempts(
        self, found: abc.Mapping[str, footprints.Footprint]
    ) -> None:
        """Add every attempt; those that hold cells by time of submission.

        Where an account holds more than its guarantee, this order makes
        the work that was submitted last count as borrowed.
        """
        candidates = []
        occupied_by_rack = self.occupied_by_rack
        for job_id, footprint in found.items():
            for rack, mask in footprint.masks:
                occupied = occupied_by_rack.get(rack, 0)
                occupied_by_rack[rack] = occupied | mask
            job = self._find_guaranteed_job(job_id) if footprint.held else None
            if job is not None:
                candidates.append((job, footprint))
            else:
                self._mark_borrowed(job_id, footprint)
        for rack, usable in self.usable_by_rack.items():
            self.free_by_rack[rack] = usable & ~occupied_by_rack.get(rack, 0)
        candidates.sort(key=lambda pair: (pair[0].submitted_at, pair[0].id))
        for job, footprint in candidates:
            if not self._mark_held(job.account, footprint):
                self._mark_borrowed(job.id, footprint)

    def _find_guaranteed_job(self, job_id: str) -> jobs.Job | None:
        """Return the job of an attempt, or None if it is being stopped."""
        phase = self.board.attempts_by_job_id[job_id].phase
        view = self.board.jobs_by_id.get(job_id)
        if view is None or phase in STOPPING_PHASES:
            return None
        return view.job

    def add_claims(self) -> None:
        """Add every claim as if its job were already running."""
        found = self.board.soft_state.claim_footprints_by_job_id
        for job_id, claim in self.board.claims_by_job_id.items():
            footprint = found[job_id]
            self._mark_taken(footprint)
            if footprint.held:
                self._mark_held(claim.account, footprint)

    def reclaimable_masks(self) -> dict[str, int]:
        """Return the usable accelerators that no account holds."""
        return {
            rack: usable & ~self._held_by_rack.get(rack, 0)
            for rack, usable in self.usable_by_rack.items()
        }

    def _mark_taken(self, footprint: footprints.Footprint) -> None:
        for rack, mask in footprint.masks:
            if rack in self.free_by_rack:
                self.free_by_rack[rack] &= ~mask

    def _mark_borrowed(
        self, job_id: str, footprint: footprints.Footprint
    ) -> None:
        for rack, mask in footprint.masks:
            self.borrowed.setdefault(rack, {})[job_id] = mask

    def _mark_held(
        self, account: str, footprint: footprints.Footprint
    ) -> bool:
        """Add held cells; return False if the account may not hold them.

        It may hold no cell beyond its guarantee and none that overlaps
        another held cell.
        """
        guarantee = self.guarantees.get(account)
        if guarantee is None:
            return False
        new_cells = [
            cell
            for cell in footprint.held
            if cell not in guarantee.used_mask_by_cell
        ]
        unused = dict(guarantee.unused_by_size)
        for cell in new_cells:
            unused[cell.size] = unused.get(cell.size, 0) - 1
            held = self._held_by_rack.get(cell.rack, 0)
            if unused[cell.size] < 0 or held & cell.mask:
                return False
        for cell in new_cells:
            held = self._held_by_rack.get(cell.rack, 0)
            self._held_by_rack[cell.rack] = held | cell.mask
        guarantee.unused_by_size = unused
        masks = dict(footprint.masks)
        for cell in footprint.held:
            used = guarantee.used_mask_by_cell.get(cell, 0)
            guarantee.used_mask_by_cell[cell] = (
                used | masks[cell.rack] & cell.mask
            )
        return True


def reclaim_shortfalls(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[Shortfall]:
    """Return the cells that the reclaim invariant lacks.

    An empty list means that each account can now obtain the unused part
    of its guarantee by preempting only borrowed work.
    """
    return compute(board, settings, now).shortfalls()
