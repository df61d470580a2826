"""Measures the fragmentation of a shard's free accelerators."""

import typing

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import shapes
from tools import fakeworker


def free_by_rack(
    board: blackboard.Blackboard,
    workers_by_id: dict[str, fakeworker.FakeWorker],
) -> dict[str, int]:
    """Return the free accelerators of live workers, as a bit mask by rack."""
    free: dict[str, int] = {}
    for worker in workers_by_id.values():
        if worker.vm.zone == board.zone and worker.alive:
            mask = 0xFF << worker.slot * 8
            free[worker.vm.rack] = free.get(worker.vm.rack, 0) | mask
    for footprint in capacity.refresh_footprints(board).values():
        for rack, mask in footprint.masks:
            if rack in free:
                free[rack] &= ~mask
    return free


def measure(
    board: blackboard.Blackboard, free_masks: dict[str, int]
) -> tuple[int, int]:
    """Return the number of free accelerators and of unusable ones.

    A free accelerator is unusable if it lies outside every free cell of the
    largest size that is requested, by a waiting gang (up to a rack) or by an
    unused guarantee; one counts as used if any attempt on the shard holds a
    cell of its size.  Both numbers are 0 if no cell is requested or the zone
    is out of service.
    """
    zone = board.config.zones_by_name[board.zone]
    free = cells.CellMap(free_masks)
    total = free.free_accelerators()
    largest = max(_requested_sizes(board), default=0)
    if not total or not largest or not zone.is_in_service:
        return 0, 0
    usable = sum(
        size * count
        for size, count in free.counts_by_size().items()
        if size >= largest
    )
    return total, total - usable


def _requested_sizes(board: blackboard.Blackboard) -> typing.Iterator[int]:
    for view in board.jobs_by_id.values():
        if view.job.id not in board.attempts_by_job_id:
            spec = view.job.spec
            shape = shapes.Shape(max(spec.accelerators, 1), spec.members)
            yield shape.adjacent_size
    held = {
        (view.attempt, placement.held_size)
        for view in board.attempts_by_job_id.values()
        for placement in view.attempt.placements
        if placement.held_size
    }
    held_sizes = {size for _, size in held}
    for account in board.config.accounts_by_name.values():
        granted = account.guarantees_by_zone.get(board.zone, {})
        for size, count in granted.items():
            if count and size not in held_sizes:
                yield size
