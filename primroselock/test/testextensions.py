"""Which leases are extended beside the polls.

The pattern: outages of the store, and takeovers.  Leases are 6 s at most, and
the holder is renewed every 0.35 s.
"""

import typing
import unittest

from primroselock.decisions import extensions
from primroselock.decisions import fleet
from primroselock.decisions import leasebounds
from primroselock.test import leasebuilders

_NOW: typing.Final = leasebuilders.NOW


def build_standing(
    confirmed_at: float = _NOW - 0.1,
    is_confirmed: bool = True,
    renewing_since: float | None = None,
    bounds: leasebounds.LeaseBounds = leasebounds.NO_BOUNDS,
) -> extensions.Standing:
    """Return how the store stands to a holder."""
    return extensions.Standing(
        confirmed_at, is_confirmed, 0.35, renewing_since, bounds
    )


class DueTest(unittest.TestCase):
    """Which leases are extended at once."""

    def check(
        self,
        board: fleet.ShardBoard,
        standing: extensions.Standing,
        *worker_ids: str,
    ) -> None:
        """Check which workers are due, in order."""
        due = extensions.list_due(board, standing, _NOW)
        self.assertEqual(list(worker_ids), [worker.id for worker in due])

    def test_polls_suffice_while_the_store_confirms(self) -> None:
        """Guards against calls in calm: polls extend every 2 s."""
        self.check(
            leasebuilders.build_board(_NOW + 3.5, _NOW + 5.8), build_standing()
        )

    def test_short_leases_are_extended_the_shortest_first(self) -> None:
        """Guards against leases that end before the open polls do.

        The pattern: the store is back after 4.2 s.
        """
        board = leasebuilders.build_board(_NOW + 1.5, _NOW + 5.8, _NOW + 1.2)
        self.check(board, build_standing(), 'w2', 'w0')

    def test_leases_of_an_earlier_holder_are_extended(self) -> None:
        """Guards against a successor that waits for its open polls."""
        self.check(leasebuilders.build_board(None), build_standing(), 'w0')

    def test_inherited_leases_are_looked_for(self) -> None:
        """Guards against a check that ends before a worker has answered."""
        board = leasebuilders.build_board(_NOW + 3.0, None)
        self.assertTrue(extensions.has_inherited_leases(board))
        board.workers_by_id['w1'].record_failed_call(_NOW)
        self.assertFalse(extensions.has_inherited_leases(board))

    def test_in_doubt_leases_reach_to_the_last_confirmation(self) -> None:
        """Guards against a kill in an outage that finds short leases."""
        board = leasebuilders.build_board(_NOW + 3.6, _NOW + 4.9)
        for standing in (
            build_standing(_NOW - 0.8, is_confirmed=False),
            build_standing(_NOW - 1.1, renewing_since=_NOW - 0.75),
        ):
            self.check(board, standing, 'w0')

    def test_a_late_process_is_no_outage(self) -> None:
        """Guards against calls that make a process without time later.

        It renews late; the store answers at once.
        """
        board = leasebuilders.build_board(_NOW + 3.6)
        self.check(board, build_standing(_NOW - 1.9))
        renewing = build_standing(_NOW - 1.9, renewing_since=_NOW - 0.1)
        self.check(board, renewing)

    def test_nothing_is_gained_twice(self) -> None:
        """Guards against calls all through an outage."""
        board = leasebuilders.build_board(_NOW + 4.0)
        self.check(board, build_standing(_NOW - 1.2, is_confirmed=False))
        board = leasebuilders.build_board(_NOW + 1.0)
        self.check(board, build_standing(_NOW - 4.5, is_confirmed=False))

    def test_some_workers_get_no_leases(self) -> None:
        """Guards against leases beyond what a successor counts on."""
        board = leasebuilders.build_board(*[_NOW + 1.0] * 5)
        workers = list(board.workers_by_id.values())
        workers[0].record_failed_call(_NOW - 0.5)
        workers[1].doubted_at = _NOW - 0.5
        workers[2].polled_at = float('-inf')
        workers[3].members.clear()
        bounds = leasebounds.LeaseBounds({'w4': 1.0})
        self.check(board, build_standing(bounds=bounds))
        self.check(board, build_standing(), 'w4')


if __name__ == '__main__':
    unittest.main()
