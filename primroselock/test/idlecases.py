"""The base of tests of work that waits beside free capacity, and its work.

Each test advances a simulated site and fails if a job of which nothing runs
has waited for 3 s while sound workers had free capacity for it twice over
and under half of the capacity was in use.
"""

import typing
import unittest

from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

LONG_S: typing.Final = 60.0


def build_gang(
    tasks: int, expected_ms: int = 5000, **changes: typing.Any
) -> jobgraph.Step:
    """Return a gang whose tasks take all accelerators of a worker."""
    return fleetbuilders.build_step(
        tasks,
        8,
        expected_ms=expected_ms,
        cpu_millis=26_000,
        gang=True,
        **changes,
    )


def build_task(
    accelerators: int, expected_s: float, **changes: typing.Any
) -> jobgraph.Step:
    """Return a step of one task."""
    return fleetbuilders.build_step(
        1, accelerators, expected_ms=int(expected_s * 1000), **changes
    )


class IdleTestCase(unittest.TestCase):
    """Base of tests that check which jobs waited too long."""

    maxDiff = None

    def assert_none_idle(self, site: idlebuilders.Site) -> None:
        """Check that no job waited too long beside free capacity."""
        self.assertEqual({}, site.idle_jobs_by_id)
