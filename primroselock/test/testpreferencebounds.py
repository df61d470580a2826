"""Preferences that end in time where few workers can run the work.

The rest of the service is idle: such work waits beside free capacity.
"""

import dataclasses
import typing
import unittest

from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_LONG_S: typing.Final = 60.0
_LONG_MS: typing.Final = 60_000
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


class QuarantineTest(unittest.TestCase):
    """Jobs that always fail, on few workers of many."""

    def fail_jobs(
        self, site: idlebuilders.Site, queue: str, label: str = ''
    ) -> None:
        """Run twelve jobs that always fail, one after another."""
        step = fleetbuilders.build_step(2, 8, label=label)
        for number in range(12):
            name = f'bad-{number}'
            site.failing_job_ids.add(name)
            site.submit(name, step, run_s=0.2, queue=queue)
            site.run_for(2.0)

    def check_runs(
        self, site: idlebuilders.Site, queue: str, label: str = ''
    ) -> None:
        """Check that a sound job runs in time."""
        step = fleetbuilders.build_step(1, 1, 60_000, label=label)
        job = site.submit('j', step, run_s=60.0, queue=queue)
        (group,) = job.groups_by_key.values()
        site.run_for(_LIMIT_S)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)

    def test_a_small_service_keeps_workers(self) -> None:
        """Guards against a share of all workers that is all of a service."""
        for workers in (1, 2, 3):
            with self.subTest(workers=workers):
                site = idlebuilders.Site(40)
                for number in range(workers):
                    known = site.board.workers_by_id[f'n{number:03}']
                    entry = dataclasses.replace(known.entry, service='few')
                    site.board.record_entry(entry, site.now)
                current = site.board.queue_configuration
                queue = dataclasses.replace(
                    fleetbuilders.BATCH, name='few', service='few'
                )
                site.board.queue_configuration = dataclasses.replace(
                    current, queues=(*current.queues, queue)
                )
                self.fail_jobs(site, 'few')
                self.check_runs(site, 'few')


class UnreachableZoneTest(unittest.TestCase):
    """A quarter of the workers does not answer."""

    def test_a_rack_gang_in_a_service_that_is_half_free(self) -> None:
        """Guards against a wait of 10 s for one rack.

        31 of 80 workers are in use, but over half of those that answer; the
        others hold the gang twice, and no rack holds it.
        """
        site = idlebuilders.Site(80)
        for number in range(20, 40):
            site.silence(f'n{number:03}')
        busy = fleetbuilders.build_step(1, 8, _LONG_MS)
        for number in (*range(10), *range(40, 50), *range(60, 70), 79):
            site.occupy(f'n{number:03}', f'job-{number}', busy, _LONG_S)
        gang = fleetbuilders.build_step(
            12, 8, 5_000, gang=True, rack_local=True
        )
        site.submit('gang', gang, run_s=5.0, queue='batch')
        site.run_for(_LIMIT_S + 1.0)
        self.assertEqual({}, site.idle_jobs_by_id)


if __name__ == '__main__':
    unittest.main()
