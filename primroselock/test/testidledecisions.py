"""Decisions that leave accepted work waiting beside free capacity.

Each test advances a simulated site and fails if a job of which nothing runs
has waited for 3 s while sound workers had free capacity for it twice over
and under half of the capacity was in use.
"""

from collections import abc
import dataclasses
import random
import typing
import unittest

from primroselock.decisions import evidence
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import loadbuilders

_DAY_S: typing.Final = 30.0
_END_S: typing.Final = 15.0
"""The time after the last submission, in which most work ends."""

_DEMAND: typing.Final = 0.9
_FAULTS_PER_S: typing.Final = 0.5
_FAILING_SHARE: typing.Final = 0.1
_LONG_S: typing.Final = 60.0


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


class ClaimTest(IdleTestCase):
    """Capacity claims of waiting gangs."""

    def test_short_work_runs_on_workers_claimed_for_later(self) -> None:
        """Guards against claims that idle workers until a long run ends.

        The gang needs a worker that is busy for a minute; the task behind
        it would end long before that.
        """
        site = idlebuilders.Site(40)
        for number in range(11):
            step = build_task(1, _LONG_S)
            site.occupy(f'n{number:03}', f'long-{number}', step, _LONG_S)
        site.submit('gang', build_gang(30), run_s=5.0, queue='batch')
        site.step()
        site.submit('short', build_task(8, 1.0), run_s=1.0, queue='batch')
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
            expected_s = 5.0 if number < 27 else _LONG_S
            step = build_task(8, expected_s)
            site.occupy(worker_id, f'job-{number}', step, expected_s)
        for name in ('gang-a', 'gang-b', 'gang-c'):
            site.submit(name, build_gang(9), run_s=5.0, queue='batch')
        site.run_for(10.0)
        self.assert_none_idle(site)


class RackTest(IdleTestCase):
    """Gangs whose tasks are to run in one rack."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(60)
        self.one_of_each_rack = ('n005', 'n025', 'n045')

    def run_gang(self, site: idlebuilders.Site) -> None:
        """Submit a gang that needs a whole rack; check that it starts."""
        gang = build_gang(20, rack_local=True)
        site.submit('gang', gang, run_s=5.0, queue='batch')
        site.run_for(6.0)
        self.assert_none_idle(site)

    def test_a_gang_does_not_wait_for_draining_workers(self) -> None:
        """Guards against the wait for a rack that will not be whole again."""
        for worker_id in self.one_of_each_rack:
            self.site.drain(worker_id)
        self.run_gang(self.site)

    def test_a_gang_does_not_wait_for_silent_workers(self) -> None:
        """Guards against the wait for workers that crashed, still listed."""
        for worker_id in self.one_of_each_rack:
            self.site.silence(worker_id)
        self.run_gang(self.site)

    def test_a_gang_does_not_wait_for_quarantined_workers(self) -> None:
        """Guards against the wait for workers in a long quarantine."""
        recorded = self.site.board.failure_evidence
        for worker_id in self.one_of_each_rack:
            self.site.workers_by_id[worker_id].fails_all = True
            recorded.quarantines_by_worker_id[worker_id] = evidence.Quarantine(
                self.site.now + _LONG_S, 5
            )
        self.run_gang(self.site)

    def test_a_gang_does_not_wait_for_a_zone_out_of_service(self) -> None:
        """Guards against the wait for the racks of a zone out of service.

        Only the racks r0 and r3 of zone a are whole.
        """
        site = idlebuilders.Site(100)
        for worker_id in ('n020', 'n040', 'n080'):
            site.board.record_unlisted(worker_id)
        site.take_out_of_service('a')
        self.run_gang(site)

    def test_a_gang_does_not_wait_for_workers_it_avoids(self) -> None:
        """Guards against the wait for a rack where the gang was stuck."""
        gang = build_gang(20, rack_local=True)
        job = self.site.submit('gang', gang, run_s=5.0, queue='batch')
        (group,) = job.groups_by_key.values()
        group.avoided_worker_ids.update(self.one_of_each_rack)
        self.site.run_for(6.0)
        self.assert_none_idle(self.site)

    def test_a_gang_spans_racks_rather_than_return_where_it_stuck(
        self,
    ) -> None:
        """Guards against a return although other workers are free.

        No rack holds the gang without workers where it was stuck, but all
        racks together do.
        """
        gang = build_gang(15, 60_000, rack_local=True)
        job = self.site.submit('gang', gang, run_s=60.0, queue='batch')
        (group,) = job.groups_by_key.values()
        for number in range(60):
            if number % 20 < 6:
                group.avoided_worker_ids.add(f'n{number:03}')
        self.site.run_for(4.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        used_ids = {member.worker_id for member in group.members}
        self.assertEqual(set(), used_ids & group.avoided_worker_ids)

    def test_a_gang_returns_to_as_few_workers_as_it_must(self) -> None:
        """Guards against a gang that is stuck where it need not run.

        It fits on the site only with a fourth of the workers it avoids.
        """
        site = idlebuilders.Site(20)
        gang = build_gang(17, 60_000)
        job = site.submit('gang', gang, run_s=60.0, queue='batch')
        (group,) = job.groups_by_key.values()
        group.avoided_worker_ids.update(f'n{n:03}' for n in range(4))
        site.run_for(4.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        used_ids = {member.worker_id for member in group.members}
        self.assertEqual(1, len(used_ids & group.avoided_worker_ids))

    def test_a_gang_does_not_wait_for_a_long_run_in_each_rack(self) -> None:
        """Guards against a wait that costs more than spanning racks.

        Across racks the gang takes three times its 5 s; each rack becomes
        free only after a minute.
        """
        for worker_id in self.one_of_each_rack:
            step = build_task(1, _LONG_S)
            self.site.occupy(worker_id, f'long-{worker_id}', step, _LONG_S)
        self.run_gang(self.site)


class WholeRackTest(unittest.TestCase):
    """Whether some rack could hold a gang that needs 20 workers of one."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(60)
        self.one_of_each_rack = ('n005', 'n025', 'n045')

    def start_gang(self, name: str) -> livejobs.Phase:
        """Submit a gang; return its phase after half a second."""
        gang = build_gang(20, rack_local=True)
        job = self.site.submit(name, gang, run_s=5.0, queue='batch')
        self.site.run_for(0.5)
        (group,) = job.groups_by_key.values()
        return group.phase

    def fill_cache(self) -> None:
        """Run such a gang and let it end."""
        self.assertIs(livejobs.Phase.RUNNING, self.start_gang('first'))
        self.site.run_for(7.0)
        self.assertEqual({}, self.site.board.jobs_by_id)

    def unlist_busy_workers(self) -> None:
        """Let a worker of each rack leave; its task was not seen to end."""
        for worker_id in self.one_of_each_rack:
            step = build_task(1, _LONG_S)
            self.site.occupy(worker_id, f'long-{worker_id}', step, _LONG_S)
            self.site.board.record_unlisted(worker_id)

    def test_draining_workers_make_no_rack_whole(self) -> None:
        """Guards against a wait of 2 s for racks that are being drained."""
        self.fill_cache()
        for worker_id in self.one_of_each_rack:
            self.site.drain(worker_id)
        self.assertIs(livejobs.Phase.RUNNING, self.start_gang('gang'))

    def test_a_zone_out_of_service_has_no_whole_rack(self) -> None:
        """Guards against a wait for the racks of a zone out of service.

        Only the racks r0 and r3 of zone a are whole; the others are short of
        a worker each.
        """
        self.site = idlebuilders.Site(100)
        for worker_id in ('n020', 'n040', 'n080'):
            self.site.board.record_unlisted(worker_id)
        self.fill_cache()
        self.site.take_out_of_service('a')
        self.assertIs(livejobs.Phase.RUNNING, self.start_gang('gang'))

    def test_workers_that_have_left_make_no_rack_whole(self) -> None:
        """Guards against a wait for workers that are not listed any more."""
        self.fill_cache()
        self.unlist_busy_workers()
        self.assertIs(livejobs.Phase.RUNNING, self.start_gang('gang'))

    def test_workers_that_are_listed_again_make_a_rack_whole(self) -> None:
        """Guards against a gang sent across racks after its rack is whole."""
        self.unlist_busy_workers()
        self.assertIs(livejobs.Phase.RUNNING, self.start_gang('gang'))
        self.site.run_for(7.0)
        for worker_id in self.one_of_each_rack:
            entry = self.site.board.workers_by_id[worker_id].entry
            self.site.board.record_entry(entry, self.site.now)
        self.assertIs(livejobs.Phase.WAITING, self.start_gang('next'))

    def test_a_worker_that_does_not_answer_leaves_a_rack_whole(self) -> None:
        """Guards against gangs sent across racks by an unanswered poll."""
        for worker_id in self.one_of_each_rack:
            self.site.silence(worker_id)
        self.assertIs(livejobs.Phase.WAITING, self.start_gang('gang'))


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
        step = build_task(8, _LONG_S)
        for number in numbers:
            self.site.occupy(f'n{number:03}', f'job-{number}', step, _LONG_S)

    def start_gang(self, tasks: int) -> livejobs.Phase:
        """Submit a gang; return its phase after three seconds."""
        gang = build_gang(tasks, rack_local=True)
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
        step = build_task(8, 20.0)
        job = self.site.submit('j', step, run_s=20.0, queue='bulk')
        (group,) = job.groups_by_key.values()
        group.yields_until = self.site.now + 2.0
        self.site.run_for(1.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)
        self.site.run_for(2.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)


class ScarceCapacityTest(IdleTestCase):
    """Preferences while most of the capacity is in use."""

    def test_a_gang_returns_to_a_worker_it_avoids(self) -> None:
        """Guards against work that avoids workers for ever under load.

        Twelve of twenty workers are busy for a minute; the gang needs the
        other eight, and was stuck on one of them.
        """
        site = idlebuilders.Site(20)
        for number in range(12):
            step = build_task(8, _LONG_S, cpu_millis=60_000)
            site.occupy(f'n{number:03}', f'long-{number}', step, _LONG_S)
        job = site.submit('gang', build_gang(8), run_s=60.0, queue='batch')
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
            step = build_task(8, others_run_s)
            site.occupy(f'n{number:03}', f'job-{number}', step, others_run_s)
        job = site.submit('j', build_task(8, 20.0), run_s=20.0, queue='batch')
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
        group = self.run_where_stuck(_LONG_S)
        self.assertEqual('n003', group.members[0].worker_id)


class DelayTest(IdleTestCase):
    """The delay after a preemption."""

    def test_preempted_work_returns_once_capacity_is_free(self) -> None:
        """Guards against a delay of 4 s after the fourth preemption.

        Four urgent gangs in turn take the whole rack that holds the task's
        data, while another rack is almost empty.
        """
        site = idlebuilders.Site(40)
        step = build_task(8, 60.0)
        site.occupy('n020', 'other', step, 60.0)
        victim = build_task(8, 20.0, data_rack='r0', checkpointing=True)
        site.submit('victim', victim, run_s=20.0, queue='bulk')
        for number in range(4):
            site.run_for(2.5)
            gang = build_gang(20, 1000, label='r0')
            site.submit(f'gang-{number}', gang, run_s=0.5, queue='urgent')
        site.run_for(6.0)
        self.assert_none_idle(site)


class QuarantineTest(IdleTestCase):
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
        gang = build_gang(25)
        site.submit('gang', gang, run_s=5.0, queue='batch')
        site.run_for(5.0)
        self.assert_none_idle(site)


class RandomDay:
    """A short day with random jobs and faults on a site of random size.

    Jobs arrive for ``_DAY_S``; workers crash, drain, become slow or fail
    all runs, and become sound again.  The day follows ``seed``.
    """

    def __init__(self, seed: int) -> None:
        self.source = random.Random(seed)
        workers = self.source.randint(40, 180)
        self.site = idlebuilders.Site(workers)
        accelerators = workers * fleetbuilders.WORKER_CAPACITY.accelerators
        self.rates = [
            _DEMAND * kind.share * accelerators / kind.mean_work_s
            for kind in loadbuilders.KINDS
        ]
        self.jobs = 0

    def run_day(self) -> None:
        """Submit jobs for ``_DAY_S``."""
        ends_at = self.site.now + _DAY_S
        next_job_at = self.site.now + self._draw_pause_s()
        while self.site.now < ends_at:
            while next_job_at <= self.site.now:
                self._submit()
                next_job_at += self._draw_pause_s()
            self._step()

    def run_end(self, duration_s: float) -> None:
        """Go on without new jobs; the faults go on."""
        ends_at = self.site.now + duration_s
        while self.site.now < ends_at:
            self._step()

    def _step(self) -> None:
        if self.source.random() < _FAULTS_PER_S * idlebuilders.STEP_S:
            self._change_worker()
        self.site.step()

    def _draw_pause_s(self) -> float:
        return self.source.expovariate(sum(self.rates))

    def _submit(self) -> None:
        source = self.source
        kind = source.choices(loadbuilders.KINDS, self.rates)[0]
        tasks = 1 + int(source.expovariate(1 / kind.tasks))
        expected_ms = int(kind.run_ms * source.uniform(0.5, 1.5))
        is_gang = tasks > 1 and source.random() < 2 * kind.gang_share
        step = fleetbuilders.build_step(
            min(tasks, 6 * kind.tasks),
            source.choice(kind.accelerators),
            expected_ms,
            kind.cpu_millis,
            gang=is_gang,
            rack_local=is_gang and source.random() < 0.6,
            checkpointing=source.random() < 0.5,
            data_rack=source.choice(('', '', 'r0', 'r1')),
            max_per_worker=0 if is_gang else source.choice((0, 0, 4)),
        )
        self.jobs += 1
        name = f'{kind.queue}-{self.jobs}'
        run_s = expected_ms / 1000 * source.lognormvariate(0.0, 0.4)
        if source.random() < _FAILING_SHARE:
            self.site.failing_job_ids.add(name)
            run_s = source.uniform(0.1, 1.0)
        self.site.submit(name, step, run_s=run_s, queue=kind.queue)

    def _change_worker(self) -> None:
        """Let a random worker break, or make it sound again."""
        workers = list(self.site.board.workers_by_id.values())
        worker = self.source.choice(workers)
        changes = (self._break_worker, self.site.restore)
        self.source.choice(changes)(worker.id)

    def _break_worker(self, worker_id: str) -> None:
        simulated = self.site.workers_by_id[worker_id]
        fault = self.source.choice(('crash', 'drain', 'slow', 'fail'))
        if fault == 'crash':
            self.site.silence(worker_id)
        elif fault == 'drain':
            self.site.drain(worker_id)
        elif fault == 'slow':
            simulated.speed = 0.2
        else:
            simulated.fails_all = True


class DayTest(IdleTestCase):
    """Random days: no job waits too long beside free capacity."""

    def test_no_job_waits_on_random_days(self) -> None:
        """Guards against waiting beside free capacity by any cause."""
        why_by_seed = {}
        for seed in (4, 6):
            day = RandomDay(seed)
            day.run_day()
            day.run_end(_END_S)
            idle = day.site.idle_jobs_by_id
            if idle:
                why_by_seed[seed] = {name: idle[name].why for name in idle}
        self.assertEqual({}, why_by_seed)

    def test_no_job_is_left_waiting_at_the_end_of_a_day(self) -> None:
        """Guards against one job that waits long after all others ended."""
        day = RandomDay(26)
        day.run_day()
        day.run_end(3 * _END_S)
        day.site.idle_jobs_by_id.clear()
        day.run_end(_END_S)
        self.assert_none_idle(day.site)

    def test_a_site_becomes_empty(self) -> None:
        """Guards against a simulated site that keeps what has ended."""
        site = idlebuilders.Site(60)
        for number in range(20):
            gang = build_gang(5, rack_local=number % 2 == 0)
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
