"""Ends of members that no single event may keep from coming."""

import dataclasses
import typing
import unittest

from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_LONG_S: typing.Final = 60.0


class StopTest(unittest.TestCase):
    """Attempts that are being stopped."""

    def test_a_stop_without_effect_is_repeated(self) -> None:
        """Guards against a stopped attempt that runs on for ever."""
        site = idlebuilders.Site(2)
        step = fleetbuilders.build_step(1, 8, 60_000)
        job = site.occupy('n000', 'j', step, _LONG_S)
        (group,) = job.groups_by_key.values()
        site.workers_by_id['n000'].ignored_stops = 2
        site.run_for(1.0)
        runs.end_group(
            site.board, group, livejobs.EndReason.PREEMPTED, site.now, 1000
        )
        site.run_for(1.0)
        self.assertEqual(1, site.workers_by_id['n000'].ignored_stops)
        site.run_for(4.0)
        self.assertEqual(2, group.attempt)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)


class DoneGangTest(unittest.TestCase):
    """A gang of which one member has ended done, and another is listed."""

    def test_a_member_that_goes_on_is_stopped(self) -> None:
        """Guards against a run that keeps its worker full for good."""
        site = idlebuilders.Site(2)
        step = fleetbuilders.build_step(2, 8, 60_000, gang=True)
        job = site.submit('j', step, run_s=_LONG_S, queue='batch')
        site.run_for(1.0)
        (group,) = job.groups_by_key.values()
        first, other = group.members
        worker = site.workers_by_id[first.worker_id]
        worker.runs[first.run].run_s = 0.0
        site.run_for(1.5)
        self.assertIs(livejobs.Phase.DONE, group.phase)
        self.assertIs(livejobs.MemberState.PRESENT, other.state)
        self.assertEqual([group], list(site.board.phases.unsettled))
        site.run_for(2.0)
        self.assertIs(livejobs.MemberState.TERMINATED, other.state)
        self.assertEqual({}, site.board.workers_by_id[other.worker_id].members)
        self.assertEqual({}, site.board.phases.unsettled)

    def test_each_member_is_logged_once(self) -> None:
        """Guards against a worker that is full with no word for what."""
        site = idlebuilders.Site(2)
        step = fleetbuilders.build_step(1, 8, 60_000)
        job = site.occupy('n000', 'j', step, _LONG_S)
        (group,) = job.groups_by_key.values()
        site.workers_by_id['n000'].ignored_stops = 1000
        runs.end_group(
            site.board, group, livejobs.EndReason.PREEMPTED, site.now, 1000
        )
        site.run_for(14.0)
        self.assertEqual(0, site.board.unsettled_members)
        self.assertEqual([], _list_unsettled(site))
        site.run_for(3.0)
        self.assertEqual(1, site.board.unsettled_members)
        (logged,) = _list_unsettled(site)
        self.assertEqual('stopping', logged.values['phase'])
        self.assertEqual('present', logged.values['state'])
        site.workers_by_id['n000'].ignored_stops = 0
        site.run_for(3.0)
        self.assertEqual(0, site.board.unsettled_members)


def _list_unsettled(site: idlebuilders.Site) -> list[fleet.DecisionRecord]:
    """Return the records of members that may run after their attempt."""
    return [
        record
        for record in site.board.decision_records
        if record.event == 'attempt has ended, and a member may still run'
    ]


class UnsentStartTest(unittest.TestCase):
    """Attempts that end before any of their starts was sent."""

    def test_a_placement_on_a_worker_that_leaves_is_made_again(self) -> None:
        """Guards against accepted work that waits for ever beside capacity.

        The store takes so long to store the placement that the worker has
        meanwhile announced that it leaves, and is past its time.
        """
        site = idlebuilders.Site(2)
        site.run_for(1.0)
        job = site.submit(
            'j', fleetbuilders.build_step(), run_s=5.0, queue='batch'
        )
        (group,) = job.groups_by_key.values()
        fleetround.run(site.board, site.settings, site.now, site.now)
        self.assertIs(livejobs.Phase.COMMITTING, group.phase)
        (member,) = group.members
        entry = site.board.workers_by_id[member.worker_id].entry
        draining = dataclasses.replace(
            entry, is_draining=True, remaining_s=0.0
        )
        site.board.record_entry(draining, site.now)
        site.now += 3.0
        fleetround.run(site.board, site.settings, site.now, site.now)
        site.run_for(1.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        self.assertNotEqual(entry.id, group.members[0].worker_id)


class DrainTest(unittest.TestCase):
    """Work on a worker that runs longer than it has announced."""

    def test_work_that_must_not_be_moved_goes_on(self) -> None:
        """Guards against stops of lasting work that may miss no task."""
        site = idlebuilders.Site(2)
        step = fleetbuilders.build_step(
            1, 8, 1000, long_running=True, max_unavailable=0
        )
        job = site.occupy('n000', 'j', step, _LONG_S)
        (group,) = job.groups_by_key.values()
        worker = site.board.workers_by_id['n000']
        draining = dataclasses.replace(
            worker.entry, is_draining=True, remaining_s=0.5
        )
        site.board.record_entry(draining, site.now)
        site.run_for(6.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        self.assertEqual(1, group.attempt)


class LeaseTest(unittest.TestCase):
    """Members that were never started, on workers without a lease."""

    def test_a_placement_needs_no_lease(self) -> None:
        """Guards against a placement undone while it is being stored.

        The worker has run nothing for longer than a lease.
        """
        site = idlebuilders.Site(1)
        site.run_for(15.0)
        (worker,) = site.board.workers_by_id.values()
        self.assertLess(worker.lease_end or 0.0, site.now)
        job = site.submit(
            'j', fleetbuilders.build_step(), run_s=5.0, queue='batch'
        )
        (group,) = job.groups_by_key.values()
        for _ in range(4):
            fleetround.run(site.board, site.settings, site.now, site.now)
            self.assertIs(livejobs.Phase.COMMITTING, group.phase)
            self.assertEqual(1, group.attempt)
            site.now += 0.25

    def test_an_unanswered_start_needs_a_lease(self) -> None:
        """Guards against a lost worker that keeps what may not run."""
        site = idlebuilders.Site(1)
        step = fleetbuilders.build_step(1, 8, 60_000)
        job = site.occupy('n000', 'j', step, _LONG_S)
        (group,) = job.groups_by_key.values()
        site.silence('n000')
        site.run_for(15.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)


if __name__ == '__main__':
    unittest.main()
