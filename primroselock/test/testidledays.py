"""Random days on a site: no work waits beside free capacity.

The base of the tests (see ``idlecases``) advances a simulated site.
"""

import typing
import unittest

from primroselock.decisions import fleetworkers
from primroselock.test import daybuilders
from primroselock.test import idlebuilders
from primroselock.test import idlecases

_END_S: typing.Final = 15.0
"""The time after the last submission, in which most work ends."""


class DayTest(idlecases.IdleTestCase):
    """Random days: no job waits too long beside free capacity."""

    def test_no_job_waits_on_random_days(self) -> None:
        """Guards against waiting beside free capacity by any cause."""
        why_by_seed = {}
        for seed in (4, 6):
            day = daybuilders.RandomDay(seed)
            day.run_day()
            day.run_end(_END_S)
            idle = day.site.idle_jobs_by_id
            if idle:
                why_by_seed[seed] = {name: idle[name].why for name in idle}
        self.assertEqual({}, why_by_seed)

    def test_no_job_is_left_waiting_at_the_end_of_a_day(self) -> None:
        """Guards against one job that waits long after all others ended."""
        day = daybuilders.RandomDay(26)
        day.run_day()
        day.run_end(3 * _END_S)
        day.site.idle_jobs_by_id.clear()
        day.run_end(_END_S)
        self.assert_none_idle(day.site)

    def test_a_site_becomes_empty(self) -> None:
        """Guards against a simulated site that keeps what has ended."""
        site = idlebuilders.Site(60)
        for number in range(20):
            gang = idlecases.build_gang(5, rack_local=number % 2 == 0)
            site.submit(f'gang-{number}', gang, run_s=1.0, queue='batch')
        site.run_for(6.0)
        self.assertEqual({}, site.board.jobs_by_id)
        empty = [
            worker.used == fleetworkers.NO_RESOURCES
            for worker in site.board.workers_by_id.values()
        ]
        self.assertTrue(all(empty))
        self.assert_none_idle(site)


if __name__ == '__main__':
    unittest.main()
