"""Why leases of runs lapsed, as an operator is told."""

import typing
import unittest

from primroselock.decisions import fleetworkers
from primroselock.decisions import lapses
from primroselock.test import leasebuilders

_NOW: typing.Final = leasebuilders.NOW


def build_worker(lease_end: float | None) -> fleetworkers.Worker:
    """Return a worker with a member, leased until ``lease_end``."""
    return leasebuilders.build_board(lease_end).workers_by_id['w0']


class LapseCauseTest(unittest.TestCase):
    """What an operator is told of a lease that lapsed."""

    def check(
        self,
        worker: fleetworkers.Worker,
        cause: lapses.LapseCause,
        cause_in_outage: lapses.LapseCause,
    ) -> None:
        """Check the cause of a lapse, in calm and soon after an outage."""
        calm, outage = lapses.LapseLog(), lapses.LapseLog(_NOW - 2.0)
        for log, expected in ((calm, cause), (outage, cause_in_outage)):
            found = log.record(worker, leasebuilders.LEASE_S, _NOW)
            self.assertIs(expected, found)
            self.assertEqual(1, log.counts_by_cause[expected])

    def test_a_worker_that_was_silent(self) -> None:
        """Guards against a partition that is taken for an outage."""
        worker = build_worker(_NOW)
        worker.record_failed_call(_NOW - 6.0)
        worker.failures_in_row = 0
        silent = lapses.LapseCause.WORKER_SILENT
        self.check(worker, silent, silent)

    def test_leases_of_an_earlier_holder(self) -> None:
        """Guards against a takeover that goes unnoticed as the cause."""
        self.check(
            build_worker(None),
            lapses.LapseCause.TAKEOVER,
            lapses.LapseCause.TAKEOVER_IN_OUTAGE,
        )

    def test_leases_of_this_holder(self) -> None:
        """Guards against a slow process that is taken for an outage."""
        self.check(
            build_worker(_NOW),
            lapses.LapseCause.EXTENDED_LATE,
            lapses.LapseCause.STORE_OUTAGE,
        )


if __name__ == '__main__':
    unittest.main()
