"""Buddy cells of accelerators within racks, kept as bit masks.

A rack of 8 workers with 8 accelerators each is one root block of 64.  A
cell of size ``s`` starts at a multiple of ``s``, so that its accelerators
are adjacent.  Accelerator ``offset`` of a rack is accelerator ``offset % 8``
of the worker in slot ``offset // 8``, and bit ``offset`` of the rack's
mask of free accelerators.

The free aligned blocks of each size are computed from the mask: a block
of size ``2s`` is free where two buddies of size ``s`` are.  A maximal
block is a free block whose parent is not free; these are the entries of
a buddy allocator's free lists, so splitting and merging need no code of
their own.  The map indexes the racks by the sizes of their maximal
blocks, so that the smallest block that fits is found without a scan.
"""

from collections import abc
import dataclasses
import functools
import typing

from primroselock.decisions import packing

WORKER_SIZE: typing.Final = 8
"""Accelerators of one worker."""

RACK_MASK: typing.Final = (1 << packing.RACK_SIZE) - 1
"""Bit mask of all accelerators of a rack."""

_LEVELS: typing.Final = len(packing.CELL_SIZES)


def _starts(size: int) -> int:
    return sum(1 << offset for offset in range(0, packing.RACK_SIZE, size))


_STARTS_BY_LEVEL: typing.Final = tuple(map(_starts, packing.CELL_SIZES))


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Cell:
    """``size`` adjacent accelerators of ``rack``, starting at ``offset``."""

    rack: str
    offset: int
    size: int

    @property
    def slot(self) -> int:
        """Slot of the worker that holds the first accelerator."""
        return self.offset // WORKER_SIZE

    @property
    def accelerators(self) -> tuple[int, ...]:
        """Indices of the accelerators on the first worker.

        These are all of a cell that lies within one worker.
        """
        first = self.offset % WORKER_SIZE
        return tuple(range(first, first + min(self.size, WORKER_SIZE)))

    @property
    def mask(self) -> int:
        """The cell's accelerators as bits of its rack."""
        return ((1 << self.size) - 1) << self.offset

    def enclosing(self, size: int) -> 'Cell':
        """Return the aligned cell of ``size`` that contains this one."""
        return Cell(self.rack, self.offset - self.offset % size, size)

    def split(self, size: int) -> list['Cell']:
        """Return the cells of ``size`` that this one consists of."""
        end = self.offset + self.size
        return [
            Cell(self.rack, offset, size)
            for offset in range(self.offset, end, size)
        ]


@functools.lru_cache(maxsize=4096)
def maximal_blocks(free: int) -> tuple[int, ...]:
    """Return the first bits of the maximal free blocks, a mask per level.

    Level ``k`` is that of cell size ``packing.CELL_SIZES[k]``.
    """
    free_by_level = [free]
    for level in range(1, _LEVELS):
        below = free_by_level[-1]
        half = packing.CELL_SIZES[level - 1]
        both = below & (below >> half)
        free_by_level.append(both & _STARTS_BY_LEVEL[level])
    maximal = [free_by_level[-1]]
    for level in range(_LEVELS - 2, -1, -1):
        parent = free_by_level[level + 1]
        covered = parent | (parent << packing.CELL_SIZES[level])
        maximal.append(free_by_level[level] & ~covered)
    return tuple(reversed(maximal))


def offsets_of(starts: int) -> abc.Iterator[int]:
    """Yield the positions of the set bits, lowest first."""
    while starts:
        lowest = starts & -starts
        yield lowest.bit_length() - 1
        starts ^= lowest


class CellMap:
    """Free accelerators of the racks of one shard."""

    def __init__(self, free_by_rack: abc.Mapping[str, int]) -> None:
        self.free_by_rack: dict[str, int] = {}
        self._racks_by_level: list[set[str]] = [set() for _ in range(_LEVELS)]
        self._blocks_by_level = [0] * _LEVELS
        for rack, free in free_by_rack.items():
            self.free_by_rack[rack] = 0
            self._set_free(rack, free)

    def _set_free(self, rack: str, free: int) -> None:
        before = maximal_blocks(self.free_by_rack[rack])
        after = maximal_blocks(free)
        self.free_by_rack[rack] = free
        for level in range(_LEVELS):
            if before[level] == after[level]:
                continue
            change = after[level].bit_count() - before[level].bit_count()
            self._blocks_by_level[level] += change
            if after[level]:
                self._racks_by_level[level].add(rack)
            else:
                self._racks_by_level[level].discard(rack)

    def take(self, cell: Cell) -> bool:
        """Mark exactly ``cell`` as taken; return False if it is not free."""
        free = self.free_by_rack.get(cell.rack, 0)
        if free & cell.mask != cell.mask:
            return False
        self._set_free(cell.rack, free & ~cell.mask)
        return True

    def release(self, cell: Cell) -> None:
        """Mark ``cell`` as free, if its rack still exists."""
        free = self.free_by_rack.get(cell.rack)
        if free is not None:
            self._set_free(cell.rack, free | cell.mask)

    def is_free(self, cell: Cell) -> bool:
        """Return whether all accelerators of the cell are free."""
        free = self.free_by_rack.get(cell.rack, 0)
        return free & cell.mask == cell.mask

    def fitting_sizes(self, size: int) -> list[int]:
        """Return the sizes of free maximal blocks of at least ``size``."""
        first = packing.CELL_SIZES.index(size)
        return [
            packing.CELL_SIZES[level]
            for level in range(first, _LEVELS)
            if self._racks_by_level[level]
        ]

    def blocks(self, size: int) -> abc.Iterator[Cell]:
        """Yield the maximal free blocks of exactly ``size``."""
        level = packing.CELL_SIZES.index(size)
        for rack in sorted(self._racks_by_level[level]):
            starts = maximal_blocks(self.free_by_rack[rack])[level]
            for offset in offsets_of(starts):
                yield Cell(rack, offset, size)

    def counts_by_size(self) -> dict[int, int]:
        """Return how many maximal blocks of each size are free."""
        return dict(
            zip(packing.CELL_SIZES, self._blocks_by_level, strict=True)
        )

    def free_accelerators(self) -> int:
        """Return how many accelerators are free."""
        return sum(
            size * count for size, count in self.counts_by_size().items()
        )

    def largest_free(self) -> int:
        """Return the size of the largest free block; 0 for none."""
        for level in range(_LEVELS - 1, -1, -1):
            if self._racks_by_level[level]:
                return packing.CELL_SIZES[level]
        return 0
