"""Restores guarantees broken by a failed worker or a configuration patch.

If the unused guaranteed cells no longer fit beside the held ones although
all guarantees would fit into the usable racks, guaranteed work is
preempted in the rack with the least of it, round after round until the
reclaim invariant holds again.  The jobs return to the queue and are
placed within their guarantees.  If the usable racks cannot hold all
guarantees, the hardware does not suffice: no work is preempted for that,
and the shortfall is reported to the operator.
"""

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import packing
from primroselock.decisions import preemption


def restore_guarantees(
    board: blackboard.Blackboard, shard_capacity: capacity.Capacity, now: float
) -> bool:
    """Preempt guaranteed work if that can restore a broken guarantee.

    Returns whether anything changed; the capacity must then be computed
    again.
    """
    short = shard_capacity.shortfalls()
    board.shortfalls = ()
    if not short:
        return False
    missing_by_size = missing_hardware(shard_capacity)
    board.shortfalls = tuple(
        f'zone {board.zone} is short of {missing} guaranteed cells of '
        f'{size} accelerators: too few usable workers'
        for size, missing in sorted(missing_by_size.items())
    )
    if missing_by_size:
        return False
    rack = _least_held_rack(shard_capacity)
    if rack is None:
        return False
    return _clear_rack(board, shard_capacity, rack, now)


def missing_hardware(shard_capacity: capacity.Capacity) -> dict[int, int]:
    """Return how many guaranteed cells even empty racks lack, by size."""
    granted: dict[int, int] = {}
    for guarantee in shard_capacity.guarantees_by_account.values():
        for size, count in guarantee.granted_by_size.items():
            granted[size] = granted.get(size, 0) + count
    empty = cells.CellMap(shard_capacity.usable_by_rack)
    return packing.missing_cells(empty.counts_by_size(), granted)


def _least_held_rack(shard_capacity: capacity.Capacity) -> str | None:
    """Return the rack with the fewest held accelerators, at least one.

    Racks that are held completely are excluded: clearing one that a
    single held cell fills gains nothing.  None means no such rack.
    """
    held_by_rack: dict[str, int] = {}
    for guarantee in shard_capacity.guarantees_by_account.values():
        for cell in guarantee.used_mask_by_cell:
            held = held_by_rack.get(cell.rack, 0)
            held_by_rack[cell.rack] = held + cell.size
    partly = [
        (held, rack)
        for rack, held in held_by_rack.items()
        if held < packing.RACK_SIZE
    ]
    return min(partly)[1] if partly else None


def _clear_rack(
    board: blackboard.Blackboard,
    shard_capacity: capacity.Capacity,
    rack: str,
    now: float,
) -> bool:
    """Preempt the guaranteed attempts in the rack and drop its claims.

    Returns whether anything changed.
    """
    footprints_by_job_id = board.soft_state.footprints_by_job_id
    changed = False
    for job_id, view in list(board.attempts_by_job_id.items()):
        if view.phase in capacity.STOPPING_PHASES:
            continue
        held = footprints_by_job_id[job_id].held
        if any(cell.rack == rack for cell in held):
            preemption.preempt(board, job_id, now)
            phase = board.attempts_by_job_id[job_id].phase
            changed = changed or phase is not view.phase
    locations = board.soft_state.locations_by_worker_id
    for job_id, claim in list(board.claims_by_job_id.items()):
        if any(
            locations[placement.worker_id][0] == rack
            for placement in claim.placements
        ):
            del board.claims_by_job_id[job_id]
            changed = True
    return changed
