"""A short soak of node processes with callers, signals and faults.

Seeds that break for a known fault have tests of their own, listed in
KNOWN-RED.txt; the seeds are consecutive and none is left out.
"""

import pathlib
import shutil
import tempfile
import typing
import unittest

from primroselock.test import nodesoak
from primroselock.test import nodesoakchecks
from primroselock.test import nodesoakplans

_LENGTH_S: typing.Final = 15.0


class NodeSoakTest(unittest.TestCase):
    """What callers and workers saw of a seed keeps every promise."""

    def test_seed_1(self) -> None:
        self._check(nodesoakplans.draw_plan(1, None, _LENGTH_S))

    def test_seed_2_with_jobs_that_crash_workers(self) -> None:
        """Guards against a task that crashes one worker after another."""
        self._check(nodesoakplans.draw_plan(2, None, _LENGTH_S, True))

    def _check(self, plan: nodesoakplans.Plan) -> None:
        folder = tempfile.mkdtemp(prefix='nodesoak-')
        record = nodesoak.run(plan, pathlib.Path(folder))
        problems = nodesoakchecks.list_problems(record)
        self.assertEqual([], problems, f'logs kept in {folder}')
        shutil.rmtree(folder)


if __name__ == '__main__':
    unittest.main()
