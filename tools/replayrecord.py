"""Records of a replay, and the shortfall of the guarantees."""

import dataclasses

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import packing
from primroselock import jobs
from primroselock import options


@dataclasses.dataclass(slots=True)
class Run:
    """One run of an attempt; ``useful_s`` is the run time not lost."""

    job_id: str
    zone: str
    accelerators: int
    started_at: float
    useful_s: float = 0.0


@dataclasses.dataclass(slots=True)
class Record:
    """Events and sums recorded during a replay.

    ``ended_by_job_id`` contains the time and the final state.  ``free_s``
    and ``unusable_s`` are accelerator-seconds: all free accelerators, and
    those of them outside free cells of the largest requested size.
    ``longest_claim_s`` is the maximum age of a capacity claim in seconds.

    The last four fields count violations: ``starts_in_out_zone`` starts in
    a zone out of service, ``rounds_short`` rounds that reduced the
    guaranteed accelerators that can be reclaimed, ``split_gangs`` members
    that were not done although their gang was recorded as done, ``doubled``
    reservations of accelerators that another task held.
    """

    ended_by_job_id: dict[str, tuple[float, jobs.JobState]] = (
        dataclasses.field(default_factory=dict)
    )
    started_by_job_id: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    runs: list[Run] = dataclasses.field(default_factory=list)
    preemptions: int = 0
    moves: int = 0
    free_s: float = 0.0
    unusable_s: float = 0.0
    longest_claim_s: float = 0.0
    starts_in_out_zone: int = 0
    rounds_short: int = 0
    split_gangs: int = 0
    doubled: int = 0


def missing_accelerators(
    board: blackboard.Blackboard,
    settings: options.Settings,
    now: float,
    failed_cells_as_unheld: bool,
) -> int:
    """Return the number of guaranteed accelerators that cannot be reclaimed.

    ``failed_cells_as_unheld`` counts a held cell with a failed worker as
    not held: its work is lost, and the accelerators then missing are due to
    the failed hardware, not to a decision.
    """
    shard_capacity = capacity.compute(board, settings, now)
    needed = shard_capacity.unused_by_size()
    reclaimable = dict(shard_capacity.reclaimable.free_by_rack)
    for guarantee in shard_capacity.guarantees_by_account.values():
        for cell in guarantee.used_mask_by_cell:
            usable = shard_capacity.usable_by_rack.get(cell.rack, 0)
            if failed_cells_as_unheld and cell.mask & ~usable:
                needed[cell.size] = needed.get(cell.size, 0) + 1
                reclaimable[cell.rack] = reclaimable.get(cell.rack, 0) | (
                    cell.mask & usable
                )
    free = cells.CellMap(reclaimable).counts_by_size()
    return packing.missing_accelerators(free, needed)
