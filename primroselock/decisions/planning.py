"""Finds cells for all members of a gang, within a guarantee or free ones.

A gang takes as few pieces as possible: the largest power of two of its
cells that one block holds, then the same for the rest, so that its
members are adjacent wherever a block is large enough.  Each plan is
all or nothing: the cells of a failed one are released.

Within the guarantee a piece is placed in a cell that the account holds,
or in a new one of the smallest guaranteed size that fits, at a position
where the remaining guarantees can still be reclaimed (see
:mod:`primroselock.decisions.capacity`).  Among such positions the one
that preempts the least valuable borrowed work is chosen.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import packing
from primroselock.decisions import policies
from primroselock.decisions import shapes

_MAX_CANDIDATES: typing.Final = 256
"""Limit of the cells whose cost is compared in one search."""

Cost = abc.Callable[[cells.Cell], float]
"""Returns the work in accelerator-seconds lost when a cell is taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Piece:
    """A block of adjacent cells of a gang.

    ``held_size`` is the size of the guaranteed cell around it, 0 for none,
    as in :class:`primroselock.jobs.Placement`.
    """

    cell: cells.Cell
    held_size: int = 0


_Take = abc.Callable[[int], Piece | None]


def _take_pieces(shape: shapes.Shape, take: _Take) -> list[Piece] | None:
    """Take pieces for all cells of a shape; return None if too few fit.

    The caller then releases the pieces taken so far.
    """
    pieces: list[Piece] = []
    remaining = shape.count
    piece_count = packing.RACK_SIZE // shape.size
    while remaining:
        piece_count = min(piece_count, 1 << (remaining.bit_length() - 1))
        piece = take(piece_count * shape.size)
        if piece is not None:
            pieces.append(piece)
            remaining -= piece_count
            continue
        if piece_count == 1:
            return None
        piece_count //= 2
    return pieces


def plan_borrowed(
    free: cells.CellMap, shape: shapes.Shape, pick: policies.PickCell
) -> list[Piece] | None:
    """Take all cells of the shape from ``free``.

    Returns None, with nothing taken, if the shape does not fit.
    """
    if free.free_accelerators() < shape.accelerators:
        return None
    taken: list[cells.Cell] = []

    def take(size: int) -> Piece | None:
        cell = pick(free, size)
        if cell is None or not free.take(cell):
            return None
        taken.append(cell)
        return Piece(cell)

    pieces = _take_pieces(shape, take)
    if pieces is None:
        for cell in taken:
            free.release(cell)
    return pieces


def plan_cheapest(
    free: cells.CellMap, shape: shapes.Shape, cost: Cost
) -> list[Piece] | None:
    """Take all cells of the shape from ``free``, at low cost.

    Each piece in turn is the cheapest that ``_cheapest`` finds.  Returns
    None, with nothing taken, if the shape does not fit.
    """

    def pick(free: cells.CellMap, size: int) -> cells.Cell | None:
        return _cheapest(free, size, free.fitting_sizes(size), cost)

    return plan_borrowed(free, shape, pick)


def _cheapest(
    free: cells.CellMap, size: int, block_sizes: list[int], cost: Cost
) -> cells.Cell | None:
    """Return the cell of ``size`` with the lowest cost, or None.

    ``block_sizes`` is ascending, so that among equal costs the smallest
    block is split.  The search ends at a cell that costs nothing or after
    ``_MAX_CANDIDATES`` cells.
    """
    best: cells.Cell | None = None
    best_cost = float('inf')
    tried = 0
    for block_size in block_sizes:
        for block in free.blocks(block_size):
            for cell in block.split(size):
                cell_cost = cost(cell)
                if cell_cost < best_cost:
                    best, best_cost = cell, cell_cost
                tried += 1
                if not best_cost or tried >= _MAX_CANDIDATES:
                    return best
    return best


def plan_guaranteed(
    shard_capacity: capacity.Capacity,
    account: str,
    shape: shapes.Shape,
    cost: Cost,
) -> 'GuaranteedPlan | None':
    """Take all cells of the shape within the account's guarantee.

    Returns None, with nothing taken, if the shape does not fit.
    """
    guarantee = shard_capacity.guarantees_by_account.get(account)
    if guarantee is None:
        return None
    if _available_within(shard_capacity, guarantee) < shape.accelerators:
        return None
    plan = GuaranteedPlan(shard_capacity, guarantee, cost)
    pieces = _take_pieces(shape, plan.take)
    if pieces is None:
        plan.undo()
        return None
    plan.pieces = pieces
    return plan


def _unused_within(
    shard_capacity: capacity.Capacity,
    guarantee: capacity.AccountGuarantee,
    cell: cells.Cell,
) -> int:
    """Return the accelerators of a held cell that are unused, as a mask."""
    usable = shard_capacity.usable_by_rack.get(cell.rack, 0)
    return cell.mask & usable & ~guarantee.used_mask_by_cell[cell]


def _available_within(
    shard_capacity: capacity.Capacity, guarantee: capacity.AccountGuarantee
) -> int:
    """Return the number of accelerators that the account can still use."""
    within = sum(
        _unused_within(shard_capacity, guarantee, cell).bit_count()
        for cell in guarantee.used_mask_by_cell
    )
    return within + sum(
        size * count for size, count in guarantee.unused_by_size.items()
    )


class GuaranteedPlan:
    """Pieces taken within one guarantee; they can be released again."""

    def __init__(
        self,
        shard_capacity: capacity.Capacity,
        guarantee: capacity.AccountGuarantee,
        cost: Cost,
    ) -> None:
        self.shard_capacity = shard_capacity
        self.guarantee = guarantee
        self.cost = cost
        self._used_before = dict(guarantee.used_mask_by_cell)
        self._unused_before = dict(guarantee.unused_by_size)
        self.pieces: list[Piece] = []
        self._new_held_cells: list[cells.Cell] = []

    def undo(self) -> None:
        """Release everything that the plan has taken."""
        self.guarantee.used_mask_by_cell = self._used_before
        self.guarantee.unused_by_size = self._unused_before
        for cell in self._new_held_cells:
            self.shard_capacity.reclaimable.release(cell)

    def take(self, size: int) -> Piece | None:
        """Take one piece in a held cell or in a newly held one."""
        piece = self._take_within(size)
        if piece is None:
            piece = self._take_new(size)
        if piece is not None:
            held = piece.cell.enclosing(piece.held_size)
            used = self.guarantee.used_mask_by_cell.get(held, 0)
            self.guarantee.used_mask_by_cell[held] = used | piece.cell.mask
        return piece

    def _take_within(self, size: int) -> Piece | None:
        best: tuple[int, float, Piece] | None = None
        for held in self.guarantee.used_mask_by_cell:
            if held.size < size:
                continue
            unused = _unused_within(self.shard_capacity, self.guarantee, held)
            within = cells.CellMap({held.rack: unused})
            for block_size in within.fitting_sizes(size)[:1]:
                cell = _cheapest(within, size, [block_size], self.cost)
                assert cell is not None
                rank = (block_size, self.cost(cell))
                if best is None or rank < best[:2]:
                    best = (*rank, Piece(cell, held.size))
        return best[2] if best is not None else None

    def _take_new(self, size: int) -> Piece | None:
        for held_size in packing.CELL_SIZES:
            if held_size < size:
                continue
            if self.guarantee.unused_by_size.get(held_size, 0) <= 0:
                continue
            held = self._take_held_cell(held_size, size)
            if held is not None:
                cell = cells.Cell(held.rack, held.offset, size)
                return Piece(cell, held_size)
        return None

    def _take_held_cell(self, held_size: int, size: int) -> cells.Cell | None:
        """Take a new guaranteed cell and keep the other ones reclaimable.

        The smallest block that fits is split; a larger one only to spare
        borrowed work.  While usable workers are too few for all guarantees,
        even the smallest block may be what a larger cell needs; the job can
        then still borrow.
        """

        def cost(held: cells.Cell) -> float:
            return self.cost(cells.Cell(held.rack, held.offset, size))

        reclaimable = self.shard_capacity.reclaimable
        best: cells.Cell | None = None
        for block_size in reclaimable.fitting_sizes(held_size):
            if not self._may_split(block_size, held_size):
                continue
            found = _cheapest(reclaimable, held_size, [block_size], cost)
            if found is None:
                continue
            if best is None or cost(found) < cost(best):
                best = found
            if not cost(best):
                break
        if best is None:
            return None
        reclaimable.take(best)
        self._new_held_cells.append(best)
        self.guarantee.unused_by_size[held_size] -= 1
        return best

    def _may_split(self, block_size: int, held_size: int) -> bool:
        """Return whether no more accelerators become unreclaimable."""
        counts = self.shard_capacity.reclaimable.counts_by_size()
        needed = self.shard_capacity.unused_by_size()
        missing_before = packing.missing_accelerators(counts, needed)
        counts[block_size] -= 1
        size = block_size
        while size > held_size:
            size //= 2
            counts[size] += 1
        needed[held_size] -= 1
        missing = packing.missing_accelerators(counts, needed)
        return missing <= missing_before
