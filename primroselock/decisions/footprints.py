"""The accelerators that an attempt occupies, as bit masks by rack.

A footprint is computed from the attempt's placements and the racks and
slots of their workers.
"""

from collections import abc
import dataclasses

from primroselock.decisions import cells
from primroselock import jobs


@dataclasses.dataclass(frozen=True, slots=True)
class Footprint:
    """Accelerators of ``placements`` as pairs of rack and bit mask.

    ``held`` are the distinct guaranteed cells that contain them.
    """

    placements: tuple[jobs.Placement, ...]
    masks: tuple[tuple[str, int], ...]
    held: tuple[cells.Cell, ...]

    def accelerators(self) -> int:
        """Return how many accelerators are occupied."""
        return sum(mask.bit_count() for _, mask in self.masks)


Locations = abc.Mapping[str, tuple[str, int]]
"""Rack and slot of each worker, by worker id."""


def cell_of(
    placement: jobs.Placement, locations: Locations
) -> cells.Cell | None:
    """Return the cell of one member, or None for an unknown worker."""
    location = locations.get(placement.worker_id)
    if location is None:
        return None
    rack, slot = location
    first = placement.accelerators[0] if placement.accelerators else 0
    offset = slot * cells.WORKER_SIZE + first
    return cells.Cell(rack, offset, placement.cell_size)


def refresh(
    cached: dict[str, Footprint],
    placements_by_job_id: abc.Mapping[str, tuple[jobs.Placement, ...]],
    locations: Locations,
) -> None:
    """Update ``cached`` to the placements of each job.

    A footprint is kept while its job's placements are the same object.
    """
    for job_id in cached.keys() - placements_by_job_id.keys():
        del cached[job_id]
    for job_id, placements in placements_by_job_id.items():
        found = cached.get(job_id)
        if found is None or found.placements is not placements:
            cached[job_id] = build(placements, locations)


def build(
    placements: tuple[jobs.Placement, ...], locations: Locations
) -> Footprint:
    """Compute the footprint of ``placements``."""
    masks_by_rack: dict[str, int] = {}
    held: dict[cells.Cell, None] = {}
    for placement in placements:
        cell = cell_of(placement, locations)
        if cell is None:
            continue
        masks_by_rack[cell.rack] = masks_by_rack.get(cell.rack, 0) | cell.mask
        if placement.held_size:
            held[cell.enclosing(placement.held_size)] = None
    return Footprint(placements, tuple(masks_by_rack.items()), tuple(held))
