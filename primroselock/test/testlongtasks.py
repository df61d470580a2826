"""Tasks of minutes and hours, whose share of work is in hundredths."""

import typing
import unittest

from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_RUN_S: typing.Final = (400.0, 3_600.0, 36_000.0)


class ProgressTest(unittest.TestCase):
    """A share that does not rise for seconds is no stall."""

    def _start(
        self, run_s: float, estimate_s: float
    ) -> tuple[idlebuilders.Site, livejobs.Group]:
        site = idlebuilders.Site(2)
        step = fleetbuilders.build_step(1, 1, int(estimate_s * 1000))
        job = site.submit('j', step, run_s=run_s, queue='batch')
        (group,) = job.groups_by_key.values()
        return site, group

    def test_the_first_minute(self) -> None:
        """Guards against work of hours that is stopped after 3 s."""
        for run_s in _RUN_S:
            for estimate_s in (run_s, run_s / 2):
                with self.subTest(run_s=run_s, estimate_s=estimate_s):
                    site, group = self._start(run_s, estimate_s)
                    site.run_for(60.0)
                    self.assertEqual(1, group.attempt)
                    self.assertIs(livejobs.Phase.RUNNING, group.phase)

    def test_after_a_takeover(self) -> None:
        """Guards against work of hours that is started anew by a takeover."""
        for run_s in _RUN_S:
            with self.subTest(run_s=run_s):
                site, group = self._start(run_s, run_s)
                site.run_for(10.0)
                for member in group.members:
                    # A new holder has seen no share and no rate.
                    member.progress = None
                site.run_for(30.0)
                self.assertEqual(1, group.attempt)

    def test_a_short_task_that_stalls(self) -> None:
        """Guards against stalled tasks that are not noticed any more."""
        site, group = self._start(3_600.0, 5.0)
        site.run_for(10.0)
        self.assertGreater(group.attempt, 1)


if __name__ == '__main__':
    unittest.main()
