"""Condition under which guaranteed cells pack into racks.

Cells have power-of-two sizes; a rack is one root block.  From the
smallest level up, ``n[k] = q[k] + ceil(n[k-1] / 2)`` counts the blocks of
level k that contain all guaranteed cells of that level and below; ``q[k]``
counts the guaranteed cells of level k, and ``n[-1]`` is 0.  The
guarantees pack if the last ``n`` is at most the number of whole racks.
Under that condition, splitting the smallest free block that fits and
merging buddies on release serves every request within the guarantees
without migration.
"""

from collections import abc
import dataclasses
import typing

CELL_SIZES: typing.Final = (1, 2, 4, 8, 16, 32, 64)
"""Cell sizes in accelerators; the last is that of a whole rack."""

RACK_SIZE: typing.Final = CELL_SIZES[-1]


@dataclasses.dataclass(frozen=True, slots=True)
class PackingFailure:
    """The guarantees need more racks than there are.

    They need ``needed`` racks and there are ``available_racks``.
    ``size`` is the smallest cell size such that the cells up to that size
    no longer fit.
    """

    size: int
    needed: int
    available_racks: int


def racks_needed(counts_by_size: abc.Mapping[int, int]) -> int:
    """Return how many whole racks the cells of ``counts_by_size`` need."""
    blocks = 0
    for size in CELL_SIZES:
        blocks = counts_by_size.get(size, 0) + (blocks + 1) // 2
    return blocks


def check(
    counts_by_size: abc.Mapping[int, int], available_racks: int
) -> PackingFailure | None:
    """Return why the cells do not pack into the racks, or None."""
    needed = racks_needed(counts_by_size)
    if needed <= available_racks:
        return None
    for size in CELL_SIZES:
        up_to_size = {s: n for s, n in counts_by_size.items() if s <= size}
        if racks_needed(up_to_size) > available_racks:
            return PackingFailure(size, needed, available_racks)
    raise AssertionError('the largest level includes all cells')


def missing_cells(
    free_by_size: abc.Mapping[int, int], needed_by_size: abc.Mapping[int, int]
) -> dict[int, int]:
    """Return how many needed cells the free blocks cannot hold, by size.

    ``free_by_size`` counts the maximal free blocks.  The largest cells are
    served first, which is optimal for aligned powers of two.  An empty
    result means that all cells fit.
    """
    missing: dict[int, int] = {}
    spare = 0
    for size in reversed(CELL_SIZES):
        spare = spare * 2 + free_by_size.get(size, 0)
        spare -= needed_by_size.get(size, 0)
        if spare < 0:
            missing[size] = -spare
            spare = 0
    return missing


def missing_accelerators(
    free_by_size: abc.Mapping[int, int], needed_by_size: abc.Mapping[int, int]
) -> int:
    """Return the accelerators of the cells that the free blocks lack."""
    missing = missing_cells(free_by_size, needed_by_size)
    return sum(size * count for size, count in missing.items())


def cell_size(accelerators: int) -> int:
    """Return the smallest cell size that holds ``accelerators``.

    Raises :class:`ValueError` if no cell is that large.
    """
    for size in CELL_SIZES:
        if accelerators <= size:
            return size
    raise ValueError(f'no cell holds {accelerators} accelerators')
