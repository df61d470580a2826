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


if __name__ == '__main__':
    unittest.main()
