"""Preferences that end in time where few workers can run the work.

The rest of the service is idle: such work waits beside free capacity.
"""

import typing
import unittest

from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_LIMIT_S: typing.Final = 3.0
"""The longest time that work may wait beside free capacity."""


class AvoidedWorkerTest(unittest.TestCase):
    """Workers on which work was stuck."""

    def test_work_returns_in_an_idle_service(self) -> None:
        """Guards against a wait of up to 20 s for a few busy workers.

        The work may run in one rack of four: all of its workers but the one
        to avoid are busy for 12 s.
        """
        site = idlebuilders.Site(80)
        busy = fleetbuilders.build_step(1, 8, 12_000)
        for number in range(1, idlebuilders.RACK_SIZE):
            site.occupy(f'n{number:03}', f'job-{number}', busy, 12.0)
        step = fleetbuilders.build_step(1, 1, 5_000, label='r0')
        job = site.submit('j', step, run_s=5.0, queue='batch')
        (group,) = job.groups_by_key.values()
        group.avoided_worker_ids.add('n000')
        site.run_for(_LIMIT_S)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        self.assertEqual({}, site.idle_jobs_by_id)


if __name__ == '__main__':
    unittest.main()
