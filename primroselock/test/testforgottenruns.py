"""What may begin on a worker is known as long as it may begin there.

A start without an answer may be carried out late, on the next boot of its
worker too, which knows of no stop.
"""

import asyncio
import dataclasses
import typing
import unittest

from primroselock.decisions import earlierruns
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import boundbuilders
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.workers import orders

_AWAY_S: typing.Final = 1.0
_RUN_S: typing.Final = 60.0
_FORGOTTEN_S: typing.Final = 30.0
_LATE_POLL_S: typing.Final = 5.7
_OLD_CLOCK_S: typing.Final = 1e6
_LEASES_S: typing.Final = 20.0


class LateStartTest(unittest.TestCase):
    """A start without an answer has been settled; its worker restarts."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(1)
        self.board = self.site.board
        job = self.site.occupy(
            'n000', 'j', fleetbuilders.build_step(1, 1), _RUN_S
        )
        (self.group,) = job.groups_by_key.values()
        (member,) = self.group.members
        member.unanswered_starts = 1
        member.unanswered_at = self.site.now
        self.run_of_boot = member.run

    @property
    def worker(self) -> fleetworkers.Worker:
        """The worker as the holder knows it now."""
        return self.board.workers_by_id['n000']

    def stop(self) -> None:
        """Stop the run and let its end be confirmed; place nothing."""
        self.group.not_before = float('inf')
        runs.end_group(
            self.board,
            self.group,
            livejobs.EndReason.PREEMPTED,
            self.site.now,
            0,
        )
        self.site.run_for(1.0)
        self.assertIn(self.run_of_boot, self.worker.late_runs)
        self.assertFalse(self.worker.is_busy)

    def restart(self) -> None:
        """Let the worker report as the next boot, on which nothing runs."""
        self.board.take_orders()
        self.site.now += _AWAY_S
        entry = dataclasses.replace(self.entry, boot=2)
        self.board.record_entry(entry, self.site.now)
        report = orders.RunReport(0.0, 2, (), ())
        now = self.site.now
        runs.record_poll(self.board, self.worker, report, now, now, 0)

    def check_awaited(self) -> None:
        """Check that the boot is told to stop it, and that its task waits."""
        self.assertIn(
            fleet.StopOrder('n000', self.run_of_boot), self.board.orders
        )
        held = earlierruns.list_held(self.board, self.site.now)
        self.assertIn(self.group, held)

    def test_of_a_worker_that_stays_listed(self) -> None:
        """Guards against a second run of its task (TWICE)."""
        self.entry = self.worker.entry
        self.stop()
        self.restart()
        self.check_awaited()

    def test_of_a_worker_whose_entry_is_gone_meanwhile(self) -> None:
        """Guards against starts that are forgotten with the entry (TWICE).

        The entry expires soon after a crash, and is back with the next boot.
        """
        self.entry = self.worker.entry
        self.stop()
        self.board.record_unlisted('n000')
        self.restart()
        self.check_awaited()

    def test_a_worker_that_is_not_back_is_forgotten(self) -> None:
        """Guards against a holder that keeps all workers that have left."""
        self.stop()
        self.board.record_unlisted('n000')
        self.site.run_for(_FORGOTTEN_S)
        self.assertNotIn('n000', self.board.workers_by_id)


class EarlierHolderTest(unittest.TestCase):
    """A start of an earlier holder may be under way at the takeover."""

    def test_it_may_begin_on_the_next_boot(self) -> None:
        """Guards against a second run of its task (TWICE).

        The boot that is polled refuses the start by its epoch, and so the
        task is placed again; the next boot knows no epoch.
        """
        site = idlebuilders.Site(1)
        board, worker = site.board, site.board.workers_by_id['n000']
        step = fleetbuilders.build_step(1, 1)
        job = site.submit('j', step, run_s=_RUN_S, queue='batch')
        (group,) = job.groups_by_key.values()
        group.attempt = 1
        group.enter(livejobs.Phase.STARTING, site.now)
        member = livejobs.Member(
            group, 0, 'n000', 1, livejobs.MemberState.INHERITED
        )
        group.members.append(member)
        worker.add_member(member)
        for boot in (1, 2):
            site.now += _AWAY_S
            report = orders.RunReport(site.now, boot, (), ())
            runs.record_poll(board, worker, report, site.now, site.now, 0)
            self.assertIs(livejobs.Phase.WAITING, group.phase)
        stop = fleet.StopOrder('n000', member.run)
        self.assertIn(stop, board.orders)
        self.assertIn(group, earlierruns.list_held(board, site.now))


class LateExtensionTest(unittest.TestCase):
    """A poll of before a restart, without an answer, is carried out after."""

    def test_it_extends_the_leases_of_the_next_boot(self) -> None:
        """Guards against a second run beside one with a longer lease (TWICE).

        The time that it names is far ahead of the new clock, so that it
        grants the longest lease; then the worker is cut off.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            boundbuilders.submit(world, 'first', 1)
            await boundbuilders.wait_until(
                lambda: capacitybuilders.count_runs(world, 'first') == 1
            )
            worker = world.find_busy_worker()
            # A poll is open, which extends the lease, when it crashes.
            await asyncio.sleep(2.0)
            world.fleet.crash(worker)
            world.restart_worker(worker, clock_s=0.0)
            boundbuilders.submit(world, 'j', 2, max_per_worker=1)
            await boundbuilders.wait_until(
                lambda: capacitybuilders.count_runs(world, 'j') == 2
            )
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(_LATE_POLL_S)
            worker.extend_lease(_OLD_CLOCK_S)
            worker.is_partitioned = True
            await asyncio.sleep(_LEASES_S)
            self.assertEqual(2, capacitybuilders.count_runs(world, 'j'))

        capacitybuilders.run_scenario(scenario, workers=2)


class LeftWorkerTest(unittest.TestCase):
    """A worker leaves that has nothing but something to be told."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(1)
        self.worker = self.site.board.workers_by_id['n000']

    def check_forgotten(self) -> None:
        """Let the worker leave; check that the holder polls it no more."""
        self.assertTrue(self.worker.is_busy)
        self.site.silence('n000')
        self.site.board.record_unlisted('n000')
        self.site.run_for(1.0)
        self.assertIn('n000', self.site.board.workers_by_id)
        self.site.run_for(_FORGOTTEN_S)
        self.assertNotIn('n000', self.site.board.workers_by_id)

    def test_with_a_run_that_nobody_asked_for(self) -> None:
        """Guards against polls of a worker that has left, without end."""
        run = orders.Run(jobgraph.TaskName('gone', 0, 0, 0), 1)
        now = self.site.now
        report = orders.RunReport(now, 1, (orders.Running(run, '', 0.0),), ())
        runs.record_poll(self.site.board, self.worker, report, now, now, 0)
        self.check_forgotten()

    def test_with_an_end_that_is_not_confirmed(self) -> None:
        """Guards against polls to confirm an end to a worker that has left."""
        step = fleetbuilders.build_step(1, 1)
        self.site.occupy('n000', 'j', step, 1.0)
        while not self.worker.listed_end:
            self.site.step()
        self.check_forgotten()


if __name__ == '__main__':
    unittest.main()
