"""Times that double with each failure, however many there are."""

import typing
import unittest

from primroselock import backoff
from primroselock.decisions import evidence
from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock import ejection
from primroselock.test import fleetbuilders

_FAILURES: typing.Final = 1100
"""More than the doublings that a floating-point number can hold."""


class BackoffTest(unittest.TestCase):
    """The time that follows from the number of failures."""

    def test_it_doubles_up_to_a_limit(self) -> None:
        times = [backoff.doubled_s(0.5, n, 3.0) for n in (-1, 0, 1, 2, 3, 9)]
        self.assertEqual([0.5, 0.5, 1.0, 2.0, 3.0, 3.0], times)

    def test_it_stays_at_the_limit(self) -> None:
        """Guards against an overflow after a thousand failures."""
        self.assertEqual(3.0, backoff.doubled_s(0.5, _FAILURES, 3.0))

    def test_an_upstream_that_stays_unreachable(self) -> None:
        """Guards against requests that fail after hours of an outage."""
        health, now = ejection.HEALTHY, 0.0
        for _ in range(_FAILURES):
            health = ejection.record_unreachable(health, now)
            now = health.ejected_until
        self.assertEqual(_FAILURES, health.ejections)

    def test_a_worker_that_fails_everything(self) -> None:
        """Guards against rounds that fail once it was quarantined often."""
        board = fleet.ShardBoard(epoch=1)
        for number in range(4):
            entry = fleetbuilders.build_entry(f'w{number}')
            board.record_entry(entry, 0.0)
        recorded = board.failure_evidence
        recorded.quarantines_by_worker_id['w0'] = evidence.Quarantine(
            1.0, _FAILURES
        )
        recorded.record_failure('w0', 'j', 1)
        fleethealth.quarantine(board, 2.0)
        known = recorded.quarantines_by_worker_id['w0']
        self.assertEqual(_FAILURES + 1, known.times)
        self.assertTrue(fleethealth.is_quarantined(board, 'w0', 3.0))


if __name__ == '__main__':
    unittest.main()
