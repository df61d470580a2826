"""Gangs that wait for one rack beside free capacity.

The base of the tests (see ``idlecases``) advances a simulated site.
"""

import unittest

from primroselock.decisions import evidence
from primroselock.decisions import livejobs
from primroselock.test import idlebuilders
from primroselock.test import idlecases


class RackTest(idlecases.IdleTestCase):
    """Gangs whose tasks are to run in one rack."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(60)
        self.one_of_each_rack = ('n005', 'n025', 'n045')

    def run_gang(self, site: idlebuilders.Site) -> None:
        """Submit a gang that needs a whole rack; check that it starts."""
        gang = idlecases.build_gang(20, rack_local=True)
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
                self.site.now + idlecases.LONG_S, 5
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
        gang = idlecases.build_gang(20, rack_local=True)
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
        gang = idlecases.build_gang(15, 60_000, rack_local=True)
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
        gang = idlecases.build_gang(17, 60_000)
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
            step = idlecases.build_task(1, idlecases.LONG_S)
            self.site.occupy(
                worker_id, f'long-{worker_id}', step, idlecases.LONG_S
            )
        self.run_gang(self.site)


class WholeRackTest(unittest.TestCase):
    """Whether some rack could hold a gang that needs 20 workers of one."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(60)
        self.one_of_each_rack = ('n005', 'n025', 'n045')

    def start_gang(self, name: str) -> livejobs.Phase:
        """Submit a gang; return its phase after half a second."""
        gang = idlecases.build_gang(20, rack_local=True)
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
            step = idlecases.build_task(1, idlecases.LONG_S)
            self.site.occupy(
                worker_id, f'long-{worker_id}', step, idlecases.LONG_S
            )
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


if __name__ == '__main__':
    unittest.main()
