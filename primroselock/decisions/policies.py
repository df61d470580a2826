"""Registries of the policies that may vary, with their plain baselines.

A placement policy picks a free cell; a queue order sorts waiting jobs.
Both are chosen by name in the settings.
"""

from collections import abc

from primroselock.decisions import blackboard
from primroselock.decisions import cells

PickCell = abc.Callable[[cells.CellMap, int], cells.Cell | None]
SortKey = abc.Callable[[blackboard.JobView, float], tuple[float, ...]]

placements_by_name: dict[str, PickCell] = {}
queue_orders_by_name: dict[str, SortKey] = {}


def placement(name: str) -> abc.Callable[[PickCell], PickCell]:
    """Register the decorated placement policy."""

    def register(pick: PickCell) -> PickCell:
        placements_by_name[name] = pick
        return pick

    return register


def queue_order(name: str) -> abc.Callable[[SortKey], SortKey]:
    """Register the decorated queue order; lower keys go first."""

    def register(sort_key: SortKey) -> SortKey:
        queue_orders_by_name[name] = sort_key
        return sort_key

    return register


@placement('best_buddy')
def pick_best_buddy(cell_map: cells.CellMap, size: int) -> cells.Cell | None:
    """Pick from the smallest free block that fits, in any rack."""
    best: tuple[int, str] | None = None
    for name, rack in cell_map.racks_by_name.items():
        block_size = rack.smallest_free(size)
        if block_size is None:
            continue
        if best is None or (block_size, name) < best:
            best = (block_size, name)
    if best is None:
        return None
    block_size, name = best
    offsets = cell_map.racks_by_name[name].free_offsets_by_size[block_size]
    return cells.Cell(name, min(offsets), size)


@placement('first_fit')
def pick_first_fit(cell_map: cells.CellMap, size: int) -> cells.Cell | None:
    """Pick the first aligned free cell in order of racks and offsets."""
    for name in sorted(cell_map.racks_by_name):
        rack = cell_map.racks_by_name[name]
        offsets = [
            offset
            for block_size, free in rack.free_offsets_by_size.items()
            if block_size >= size
            for offset in free
        ]
        if offsets:
            return cells.Cell(name, min(offsets), size)
    return None


@queue_order('fifo')
def sort_fifo(view: blackboard.JobView, now: float) -> tuple[float, ...]:
    """Order jobs by the time of submission."""
    return (view.job.submitted_at,)


@queue_order('shortest_remaining')
def sort_shortest(view: blackboard.JobView, now: float) -> tuple[float, ...]:
    """Order urgent jobs first, then by the work that is expected."""
    spec = view.job.spec
    work = spec.run_time_s * spec.members * max(spec.accelerators, 1)
    urgent = 0.0 if spec.priority.value == 'urgent' else 1.0
    return (urgent, work, view.job.submitted_at)
