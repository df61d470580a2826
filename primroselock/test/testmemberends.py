"""Ends of members that no single event may keep from coming."""

import typing
import unittest

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


if __name__ == '__main__':
    unittest.main()
