"""Which workers may get starts, and when their free capacity is plenty."""

import dataclasses
import typing
import unittest

from primroselock.decisions import eligibility
from primroselock.decisions import fleet
from primroselock import jobgraph
from primroselock.test import fleetbuilders

_NOW: typing.Final = 5.0
_ALL_CORES: typing.Final = jobgraph.Resources(64_000, 1000, 0)


def build_board() -> fleet.ShardBoard:
    """Return a board of three polled workers, one in each zone."""
    board = fleet.ShardBoard(
        queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
    )
    for zone in 'abc':
        entry = fleetbuilders.build_entry(f'w-{zone}', zone=zone)
        board.record_entry(entry, 0.0)
        board.workers_by_id[entry.id].polled_at = 0.0
    return board


class PlentyTest(unittest.TestCase):
    """Preferences are dropped early only while capacity is plenty."""

    def check_plenty(self, board: fleet.ShardBoard, is_plenty: bool) -> None:
        """Check whether the usable workers of a board have plenty free."""
        usable = eligibility.list_usable(board, _NOW)
        self.assertIs(is_plenty, eligibility.has_plenty(usable))

    def test_idle_workers_are_plenty(self) -> None:
        """Guards against preferences that hold beside idle workers."""
        self.check_plenty(build_board(), True)

    def test_used_up_cores_are_scarce_beside_free_accelerators(self) -> None:
        """Guards against preemption without pauses while all cores are used.

        The pattern: tasks that need many cores and few accelerators.
        """
        board = build_board()
        for zone in 'ab':
            board.workers_by_id[f'w-{zone}'].used = _ALL_CORES
        self.check_plenty(board, False)

    def test_a_zone_out_of_service_is_no_free_capacity(self) -> None:
        """Guards against a full site that counts as idle during a drain.

        The pattern: a zone is drained, and its work fills the others.
        """
        board = build_board()
        board.queue_configuration = dataclasses.replace(
            board.queue_configuration,
            zones_out_of_service=frozenset({'b', 'c'}),
        )
        board.workers_by_id['w-a'].used = _ALL_CORES
        self.check_plenty(board, False)

    def test_no_usable_worker_is_no_plenty(self) -> None:
        """Guards against a division by no capacity."""
        self.check_plenty(fleet.ShardBoard(), False)


if __name__ == '__main__':
    unittest.main()
