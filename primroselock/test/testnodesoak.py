"""A short soak of node processes with callers, signals and faults.

Seeds that break for a known fault have tests of their own, listed in
KNOWN-RED.txt; the seeds are consecutive and none is left out.
"""

import pathlib
import shutil
import tempfile
import typing
import unittest

import msgspec

from primroselock.test import nodesoak
from primroselock.test import nodesoakchecks
from primroselock.test import nodesoakplans
from standins import jobcallers
from standins import runworkers

_LENGTH_S: typing.Final = 15.0


class NodeSoakTest(unittest.TestCase):
    """What callers and workers saw of a seed keeps every promise."""

    def check_plan(self, plan: nodesoakplans.Plan) -> None:
        """Play a plan; keep its logs if it has a problem."""
        folder = tempfile.mkdtemp(prefix='nodesoak-')
        record = nodesoak.run(plan, pathlib.Path(folder))
        problems = nodesoakchecks.list_problems(record)
        self.assertEqual([], problems, f'logs kept in {folder}')
        shutil.rmtree(folder)

    def test_seed_1(self) -> None:
        self.check_plan(nodesoakplans.draw_plan(1, None, _LENGTH_S))

    def test_seed_1_with_late_orders(self) -> None:
        """Guards against a refusal taken for an earlier order of a run."""
        self.check_plan(nodesoakplans.draw_plan(1, None, _LENGTH_S, True))

    def test_seed_2_with_jobs_that_crash_workers(self) -> None:
        """Guards against a task that crashes one worker after another."""
        self.check_plan(
            nodesoakplans.draw_plan(2, None, _LENGTH_S, has_crashing_jobs=True)
        )

    def test_seed_3_with_drains(self) -> None:
        """Guards against jobs failed since their workers left as planned."""
        self.check_plan(
            nodesoakplans.draw_plan(3, None, _LENGTH_S, has_drains=True)
        )

    def test_seed_4_with_abandoned_jobs(self) -> None:
        """Guards against a job that runs after its 410 (review/14)."""
        self.check_plan(
            nodesoakplans.draw_plan(
                4, None, _LENGTH_S, has_abandoned_jobs=True
            )
        )


class OverloadCheckTest(unittest.TestCase):
    """The check of capacity, on a record without processes."""

    def find_problems(self, late_s: float, stopped_s: float) -> list[str]:
        """Judge a start ``late_s`` after its worker has shrunk by half.

        It needs 2 accelerators.  A run of 3 began before, and ended
        ``stopped_s`` after the start.
        """
        phase = {'cpu': 0, 'mem_mb': 0}
        phases = [{**phase, 'gpus': 3}, {**phase, 'gpus': 2}]
        body = msgspec.json.encode({'phases': phases})
        jobs = [jobcallers.Job('j', 0, 0, '', body)]
        at = 100.0 + late_s
        first = runworkers.Interval('w', 'j.0.0.0', 1, '', 10.0, 1.0, 0)
        first.ordered_at = 10.0
        first.ended_at = at + stopped_s
        second = runworkers.Interval('w', 'j.0.1.0', 1, '', at, 1.0, 0)
        second.ordered_at = at
        full, half = ({'cpu': 8, 'mem_mb': 8, 'gpus': gpus} for gpus in (8, 4))
        changes = [
            runworkers.Capacity('w', 0.0, full),
            runworkers.Capacity('w', 100.0, half),
        ]
        record = nodesoak.Record(jobs, [first, second], [], changes)
        return list(nodesoakchecks._find_overloads(record))

    def test_a_start_over_the_capacity_is_found(self) -> None:
        """Guards against a check that sees no overload."""
        self.assertEqual(1, len(self.find_problems(4.6, 1.0)))

    def test_the_earlier_capacity_counts_for_a_while(self) -> None:
        self.assertEqual([], self.find_problems(4.4, 1.0))

    def test_what_has_ended_does_not_count(self) -> None:
        self.assertEqual([], self.find_problems(4.6, -1.0))


if __name__ == '__main__':
    unittest.main()
