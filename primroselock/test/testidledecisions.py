"""Decisions that leave accepted work waiting beside free capacity.

The base of the tests (see ``idlecases``) advances a simulated site.
"""

from collections import abc
import dataclasses
import unittest

from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import idlecases


class ClaimTest(idlecases.IdleTestCase):
    """Capacity claims of waiting gangs."""

    def test_short_work_runs_on_workers_claimed_for_later(self) -> None:
        """Guards against claims that idle workers until a long run ends.

        The gang needs a worker that is busy for a minute; the task behind
        it would end long before that.
        """
        site = idlebuilders.Site(40)
        for number in range(11):
            step = idlecases.build_task(1, idlecases.LONG_S)
            site.occupy(
                f'n{number:03}', f'long-{number}', step, idlecases.LONG_S
            )
        site.submit('gang', idlecases.build_gang(30), run_s=5.0, queue='batch')
        site.step()
        site.submit(
            'short', idlecases.build_task(8, 1.0), run_s=1.0, queue='batch'
        )
        site.run_for(6.0)
        self.assert_none_idle(site)

    def test_claims_of_several_gangs_do_not_block_each_other(self) -> None:
        """Guards against gangs that each claim a part of what one needs.

        Each of three gangs claims nine workers of which one is slow; the
        others of the three claims could hold two of the gangs.
        """
        site = idlebuilders.Site(40)
        for number in range(40):
            worker_id = f'n{number:03}'
            if number in (0, 9, 18):
                site.workers_by_id[worker_id].speed = 0.1
            expected_s = 5.0 if number < 27 else idlecases.LONG_S
            step = idlecases.build_task(8, expected_s)
            site.occupy(worker_id, f'job-{number}', step, expected_s)
        for name in ('gang-a', 'gang-b', 'gang-c'):
            site.submit(
                name, idlecases.build_gang(9), run_s=5.0, queue='batch'
            )
        site.run_for(10.0)
        self.assert_none_idle(site)


class ServiceTest(unittest.TestCase):
    """Preferences of work whose service has a part of the workers.

    The service has the racks r0 and r1; the racks r2 to r4 are another's.
    """

    def setUp(self) -> None:
        self.site = idlebuilders.Site(100)
        for number in range(40, 100):
            known = self.site.board.workers_by_id[f'n{number:03}']
            entry = dataclasses.replace(known.entry, service='other')
            self.site.board.record_entry(entry, self.site.now)

    def occupy(self, numbers: abc.Iterable[int]) -> None:
        """Use all accelerators of some workers for a minute."""
        step = idlecases.build_task(8, idlecases.LONG_S)
        for number in numbers:
            self.site.occupy(
                f'n{number:03}', f'job-{number}', step, idlecases.LONG_S
            )

    def start_gang(self, tasks: int) -> livejobs.Phase:
        """Submit a gang; return its phase after three seconds."""
        gang = idlecases.build_gang(tasks, rack_local=True)
        job = self.site.submit('gang', gang, run_s=5.0, queue='batch')
        self.site.run_for(3.0)
        (group,) = job.groups_by_key.values()
        return group.phase

    def test_idle_workers_of_another_service_are_no_plenty(self) -> None:
        """Guards against preferences dropped early in a busy service.

        Each of its racks has seven free workers.
        """
        self.occupy([n for n in range(40) if n % 20 >= 7])
        self.assertIs(livejobs.Phase.WAITING, self.start_gang(10))

    def test_a_busy_service_makes_no_capacity_of_another_scarce(self) -> None:
        """Guards against preferences that hold in an idle service."""
        self.occupy([0, 20, *range(40, 100)])
        self.assertIs(livejobs.Phase.RUNNING, self.start_gang(20))

    def test_preempted_work_yields_in_a_busy_service(self) -> None:
        """Guards against a pause that idle workers of others cut short."""
        self.occupy(range(30))
        step = idlecases.build_task(8, 20.0)
        job = self.site.submit('j', step, run_s=20.0, queue='bulk')
        (group,) = job.groups_by_key.values()
        group.yields_until = self.site.now + 2.0
        self.site.run_for(1.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)
        self.site.run_for(2.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)


class ScarceCapacityTest(idlecases.IdleTestCase):
    """Preferences while most of the capacity is in use."""

    def test_a_gang_returns_to_a_worker_it_avoids(self) -> None:
        """Guards against work that avoids workers for ever under load.

        Twelve of twenty workers are busy for a minute; the gang needs the
        other eight, and was stuck on one of them.
        """
        site = idlebuilders.Site(20)
        for number in range(12):
            step = idlecases.build_task(8, idlecases.LONG_S, cpu_millis=60_000)
            site.occupy(
                f'n{number:03}', f'long-{number}', step, idlecases.LONG_S
            )
        job = site.submit(
            'gang', idlecases.build_gang(8), run_s=60.0, queue='batch'
        )
        (group,) = job.groups_by_key.values()
        group.avoided_worker_ids.add('n015')
        site.run_for(5.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)
        site.run_for(7.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)

    def run_where_stuck(self, others_run_s: float) -> livejobs.Group:
        """Run a task that avoids the only free worker; return its group.

        The three other workers are busy for ``others_run_s``.
        """
        site = idlebuilders.Site(4)
        for number in range(3):
            step = idlecases.build_task(8, others_run_s)
            site.occupy(f'n{number:03}', f'job-{number}', step, others_run_s)
        job = site.submit(
            'j', idlecases.build_task(8, 20.0), run_s=20.0, queue='batch'
        )
        (group,) = job.groups_by_key.values()
        group.avoided_worker_ids.add('n003')
        site.run_for(14.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        return group

    def test_stuck_work_waits_for_a_worker_that_is_free_soon(self) -> None:
        """Guards against a return to a worker just before another is free."""
        group = self.run_where_stuck(12.0)
        self.assertNotEqual('n003', group.members[0].worker_id)

    def test_stuck_work_waits_for_no_worker_that_is_free_late(self) -> None:
        """Guards against a long wait beside a free worker."""
        group = self.run_where_stuck(idlecases.LONG_S)
        self.assertEqual('n003', group.members[0].worker_id)


class DelayTest(idlecases.IdleTestCase):
    """The delay after a preemption."""

    def test_preempted_work_returns_once_capacity_is_free(self) -> None:
        """Guards against a delay of 4 s after the fourth preemption.

        Four urgent gangs in turn take the whole rack that holds the task's
        data, while another rack is almost empty.
        """
        site = idlebuilders.Site(40)
        step = idlecases.build_task(8, 60.0)
        site.occupy('n020', 'other', step, 60.0)
        victim = idlecases.build_task(
            8, 20.0, data_rack='r0', checkpointing=True
        )
        site.submit('victim', victim, run_s=20.0, queue='bulk')
        for number in range(4):
            site.run_for(2.5)
            gang = idlecases.build_gang(20, 1000, label='r0')
            site.submit(f'gang-{number}', gang, run_s=0.5, queue='urgent')
        site.run_for(6.0)
        self.assert_none_idle(site)


class QuarantineTest(idlecases.IdleTestCase):
    """Quarantines of workers on which jobs failed that always fail."""

    def test_jobs_that_always_fail_quarantine_few_sound_workers(self) -> None:
        """Guards against small failing jobs that use up sound workers.

        Each job fails twice on two workers and then on two others; no
        quarantine remembers that it was the same job.
        """
        site = idlebuilders.Site(60)
        for number in range(40):
            name = f'bad-{number}'
            site.failing_job_ids.add(name)
            step = fleetbuilders.build_step(2, 8)
            site.submit(name, step, run_s=0.5, queue='bulk')
            site.run_for(1.0)
        gang = idlecases.build_gang(25)
        site.submit('gang', gang, run_s=5.0, queue='batch')
        site.run_for(5.0)
        self.assert_none_idle(site)


if __name__ == '__main__':
    unittest.main()
