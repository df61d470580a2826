"""Property tests of the packing of guaranteed cells."""

import random
import typing
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from primroselock.decisions import cells
from primroselock.decisions import packing
from primroselock.decisions import policies

_STEPS: typing.Final = 400


def _draw_quota(source: random.Random, racks: int) -> dict[int, int]:
    """Return a random quota that packs and uses most of the racks."""
    quota = dict.fromkeys(packing.CELL_SIZES, 0)
    for _ in range(40):
        size = source.choice(packing.CELL_SIZES)
        grown = {**quota, size: quota[size] + source.randint(1, 4)}
        if packing.check(grown, racks) is None:
            quota = grown
    return quota


def _churn(
    source: random.Random,
    quota: dict[int, int],
    racks: int,
    pick: policies.PickCell,
) -> int:
    """Allocate and release cells at random within the quota.

    Return how many allocations failed.
    """
    free = cells.CellMap(
        {f'r{index}': cells.RACK_MASK for index in range(racks)}
    )
    held: list[cells.Cell] = []
    unused = dict(quota)
    failures = 0
    for _ in range(_STEPS):
        sizes = [size for size, count in unused.items() if count]
        if sizes and (not held or source.random() < 0.6):
            size = source.choice(sizes)
            cell = pick(free, size)
            if cell is None or not free.take(cell):
                failures += 1
                continue
            unused[size] -= 1
            held.append(cell)
        elif held:
            cell = held.pop(source.randrange(len(held)))
            free.release(cell)
            unused[cell.size] += 1
    return failures


class PackingTest(unittest.TestCase):
    """Allocations within guarantees that pack succeed in any order.

    First fit must fail on some quotas; otherwise the quotas would be too
    small for the test of best buddy to show anything.
    """

    @settings(max_examples=120)
    @given(strategies.integers(0, 10**9), strategies.integers(1, 4))
    def test_best_buddy_serves_all_that_packs(
        self, seed: int, racks: int
    ) -> None:
        source = random.Random(seed)
        quota = _draw_quota(source, racks)
        failures = _churn(source, quota, racks, policies.pick_best_buddy)
        self.assertEqual(0, failures)

    def test_first_fit_fails_to_serve_some(self) -> None:
        failures = 0
        for seed in range(40):
            source = random.Random(seed)
            quota = _draw_quota(source, 2)
            failures += _churn(source, quota, 2, policies.pick_first_fit)
        self.assertGreater(failures, 0)

    @settings(max_examples=200)
    @given(strategies.integers(0, cells.RACK_MASK))
    def test_maximal_blocks_partition_the_free_accelerators(
        self, free: int
    ) -> None:
        covered = 0
        for size, starts in zip(
            packing.CELL_SIZES, cells.maximal_blocks(free), strict=True
        ):
            for offset in cells.offsets_of(starts):
                cell = cells.Cell('r', offset, size)
                self.assertEqual(0, offset % size)
                self.assertEqual(0, covered & cell.mask)
                covered |= cell.mask
                parent = cell.enclosing(min(size * 2, packing.RACK_SIZE))
                whole = free & parent.mask == parent.mask
                self.assertFalse(whole and size < packing.RACK_SIZE)
        self.assertEqual(free, covered)


if __name__ == '__main__':
    unittest.main()
