"""Ends of members that no single event may keep from coming."""

import typing
import unittest

from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_LONG_S: typing.Final = 60.0


class StopTest(unittest.TestCase):
    """Attempts that are being stopped."""

    def test_a_stop_without_effect_is_repeated(self) -> None:
        """Guards against a stopped attempt that runs on for ever."""
        site = idlebuilders.Site(2)
        step = fleetbuilders.build_step(1, 8, 60_000)
        job = site.occupy('n000', 'j', step, _LONG_S)
        (group,) = job.groups_by_key.values()
        site.workers_by_id['n000'].ignored_stops = 2
        site.run_for(1.0)
        runs.end_group(
            site.board, group, livejobs.EndReason.PREEMPTED, site.now
        )
        site.run_for(1.0)
        self.assertEqual(1, site.workers_by_id['n000'].ignored_stops)
        site.run_for(4.0)
        self.assertEqual(2, group.attempt)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)


class LeaseTest(unittest.TestCase):
    """Members that were never started, on workers without a lease."""

    def test_a_placement_needs_no_lease(self) -> None:
        """Guards against a placement undone while it is being stored.

        The worker has run nothing for longer than a lease.
        """
        site = idlebuilders.Site(1)
        site.run_for(15.0)
        (worker,) = site.board.workers_by_id.values()
        self.assertLess(worker.lease_end or 0.0, site.now)
        job = site.submit(
            'j', fleetbuilders.build_step(), run_s=5.0, queue='batch'
        )
        (group,) = job.groups_by_key.values()
        for _ in range(4):
            fleetround.run(site.board, site.settings, site.now, site.now)
            self.assertIs(livejobs.Phase.COMMITTING, group.phase)
            self.assertEqual(1, group.attempt)
            site.now += 0.25

    def test_an_unanswered_start_needs_a_lease(self) -> None:
        """Guards against a lost worker that keeps what may not run."""
        site = idlebuilders.Site(1)
        step = fleetbuilders.build_step(1, 8, 60_000)
        job = site.occupy('n000', 'j', step, _LONG_S)
        (group,) = job.groups_by_key.values()
        site.silence('n000')
        site.run_for(15.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)


if __name__ == '__main__':
    unittest.main()
