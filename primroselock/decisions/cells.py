"""Buddy cells of accelerators within racks.

A rack of 8 workers with 8 accelerators each is one root of 64.  A cell
of size ``s`` starts at a multiple of ``s``, so that its accelerators are
adjacent.  Allocation splits the smallest free block that fits; a release
merges buddies back.  Accelerator ``offset`` of a rack is accelerator
``offset % 8`` of the worker in slot ``offset // 8``.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import packing

WORKER_SIZE: typing.Final = 8
"""Accelerators of one worker."""


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Cell:
    """``size`` adjacent accelerators of ``rack`` from ``offset``."""

    rack: str
    offset: int
    size: int

    @property
    def slot(self) -> int:
        """Slot of the worker that holds the first accelerator."""
        return self.offset // WORKER_SIZE

    @property
    def accelerators(self) -> tuple[int, ...]:
        """Indices on the worker, for a cell within one worker."""
        first = self.offset % WORKER_SIZE
        return tuple(range(first, first + min(self.size, WORKER_SIZE)))


class Rack:
    """Free blocks of one rack, by size."""

    def __init__(self, name: str, usable_slots: abc.Iterable[int]) -> None:
        self.name = name
        self.free_offsets_by_size: dict[int, set[int]] = {
            size: set() for size in packing.CELL_SIZES
        }
        for slot in sorted(usable_slots):
            self.release(Cell(name, slot * WORKER_SIZE, WORKER_SIZE))

    def release(self, cell: Cell) -> None:
        """Give back ``cell``, merging it with its free buddies."""
        offset, size = cell.offset, cell.size
        while size < packing.RACK_SIZE:
            buddy = offset ^ size
            if buddy not in self.free_offsets_by_size[size]:
                break
            self.free_offsets_by_size[size].remove(buddy)
            offset = min(offset, buddy)
            size *= 2
        self.free_offsets_by_size[size].add(offset)

    def take(self, cell: Cell) -> bool:
        """Take exactly ``cell``; return False where it is not free."""
        size = cell.size
        while size <= packing.RACK_SIZE:
            block = cell.offset - cell.offset % size
            if block in self.free_offsets_by_size[size]:
                self._split(block, size, cell)
                return True
            size *= 2
        return False

    def _split(self, block: int, size: int, cell: Cell) -> None:
        self.free_offsets_by_size[size].remove(block)
        while size > cell.size:
            size //= 2
            if cell.offset & size:
                self.free_offsets_by_size[size].add(block)
                block += size
            else:
                self.free_offsets_by_size[size].add(block + size)

    def smallest_free(self, size: int) -> int | None:
        """Return the size of the smallest free block that fits."""
        while size <= packing.RACK_SIZE:
            if self.free_offsets_by_size[size]:
                return size
            size *= 2
        return None

    def free_accelerators(self) -> int:
        """Return how many accelerators are free."""
        return sum(
            size * len(offsets)
            for size, offsets in self.free_offsets_by_size.items()
        )


class CellMap:
    """The racks of one shard."""

    def __init__(self) -> None:
        self.racks_by_name: dict[str, Rack] = {}

    def take(self, cell: Cell) -> bool:
        """Take exactly ``cell``; return False where it is not free."""
        rack = self.racks_by_name.get(cell.rack)
        return rack is not None and rack.take(cell)

    def release(self, cell: Cell) -> None:
        """Give back ``cell`` where its rack still exists."""
        rack = self.racks_by_name.get(cell.rack)
        if rack is not None:
            rack.release(cell)
