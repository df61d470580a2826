"""Where tasks are placed that may have crashed workers."""

import unittest

from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders


class PlacementTest(unittest.TestCase):
    """Where groups are placed under which workers have crashed."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(2)

    def _submit_crashing(self, job_id: str, crashed: int) -> livejobs.Group:
        step = fleetbuilders.build_step(1, 1, 5000)
        job = self.site.submit(job_id, step, run_s=5.0, queue='batch')
        (group,) = job.groups_by_key.values()
        outside = jobgraph.CrashEvidence.OUTSIDE
        group.crashes = tuple(
            jobgraph.Crash(number, outside, jobgraph.Place('x', 1))
            for number in range(crashed)
        )
        self.site.board.crashes.add_possible_cause(group)
        return group

    def test_a_possible_cause_prefers_a_worker_for_itself(self) -> None:
        """Guards against sound work that crashes with the cause."""
        step = fleetbuilders.build_step(1, 1, 5000)
        self.site.occupy('n000', 'sound', step, 60.0)
        group = self._submit_crashing('crashing', 1)
        self.site.run_for(1.0)
        self.assertEqual(['n001'], [m.worker_id for m in group.members])
        other = self.site.submit('j', step, run_s=5.0, queue='batch')
        self.site.run_for(1.0)
        (waiting,) = other.groups_by_key.values()
        self.assertEqual(['n000'], [m.worker_id for m in waiting.members])

    def test_a_possible_cause_does_not_wait_for_ever(self) -> None:
        """Guards against accepted work that waits beside free capacity."""
        step = fleetbuilders.build_step(1, 1, 5000)
        for number in range(2):
            self.site.occupy(f'n{number:03}', f'sound{number}', step, 90.0)
        for crashed, limit_s in ((1, 3.0), (2, 11.0), (3, 21.0)):
            group = self._submit_crashing(f'crashing{crashed}', crashed)
            self.site.run_for(limit_s)
            self.assertIs(livejobs.Phase.RUNNING, group.phase)
            self.site.run_for(8.0)


if __name__ == '__main__':
    unittest.main()
