"""Workers that start again under their id, as another boot.

The new boot knows no epoch and no stopped runs, and its clock and the numbers
of its ends start anew.  It comes back so fast that no call to it has failed.
"""

import asyncio
import dataclasses
import typing
import unittest
from unittest import mock

from primroselock.decisions import eligibility
from primroselock.decisions import fleet
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import runleases
from primroselock.decisions import runs
from primroselock.test import fleetbuilders
from primroselock.test import restartbuilders
from primroselock.test import testleasebounds
from primroselock.workers import orders

_LONG_MS: typing.Final = 60_000
_FAST_CLOCK_S: typing.Final = 1_000_000.0
_CLOCKS_S: typing.Final = (0.0, _FAST_CLOCK_S)
_LONGEST_LEASE_S: typing.Final = 10.0


async def _hang_store(world: fleetbuilders.World) -> None:
    """Let the store of the only node not answer for a while."""
    connectivity = world.nodes[0].connectivity
    connectivity.is_unresponsive = True
    await asyncio.sleep(0.5)
    connectivity.is_unresponsive = False


class FirstReportTest(unittest.TestCase):
    """The first report of a boot lists a run that was started on it."""

    def test_its_lease_counts_before_the_next_poll(self) -> None:
        """Guards against a run settled as lost right after it was started.

        The next poll, which extends the lease, waits until the end in the
        report is stored; a decision round comes before.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            (worker,) = world.fleet.workers_by_id.values()
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            restartbuilders.submit(world, 'short', 100)
            restartbuilders.submit(world, 'long', _LONG_MS)
            await restartbuilders.wait_for_end(worker)
            await _hang_store(world)
            await asyncio.sleep(3.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(2, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_its_lease_counts_if_the_worker_is_cut_off_then(self) -> None:
        """Guards against a run settled as lost while its lease is valid."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            worker = world.fleet.workers_by_id['w0']
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            restartbuilders.submit(world, 'short', 100)
            restartbuilders.submit(world, 'long', _LONG_MS)
            await asyncio.sleep(0.05)
            draining = dataclasses.replace(worker.entry, is_draining=True)
            world.write_entry(draining)
            world.add_worker(fleetbuilders.build_entry('w9'))
            await restartbuilders.wait_for_end(worker)
            await asyncio.sleep(0.002)
            worker.is_partitioned = True
            await _hang_store(world)
            await asyncio.sleep(_LONGEST_LEASE_S + 4.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(3, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)


class TakeoverTest(unittest.TestCase):
    """A new holder polls a boot on which an earlier holder's start began."""

    def setUp(self) -> None:
        self.board = testleasebounds.build_board('w')
        self.board.inherited_leases = leasebounds.InheritedLeases(8.0)
        (self.member,) = self.board.workers_by_id['w'].members.values()

    def record_poll(self, boot: int, now: float) -> None:
        """Record a report of ``boot`` that lists the run, and expire."""
        running = orders.Running(self.member.run, '', 0.1)
        report = orders.RunReport(2.0, boot, (running,), ())
        worker = self.board.workers_by_id['w']
        runs.record_poll(self.board, worker, report, now, now, 0)
        runleases.expire_workers(self.board, now, 0)

    def test_a_lease_of_another_boot_has_an_unknown_end(self) -> None:
        """Guards against a bound on the clock of a boot that has ended."""
        self.record_poll(boot=2, now=9.0)
        self.assertIs(livejobs.MemberState.PRESENT, self.member.state)
        runleases.expire_workers(self.board, 9.0 + _LONGEST_LEASE_S, 0)
        self.assertIs(livejobs.MemberState.PRESENT, self.member.state)

    def test_it_expires(self) -> None:
        """Guards against a member that is never settled."""
        self.record_poll(boot=2, now=9.0)
        runleases.expire_workers(self.board, 10.0 + _LONGEST_LEASE_S, 0)
        self.assertIs(livejobs.MemberState.TERMINATED, self.member.state)


class OldAddressTest(unittest.TestCase):
    """Another instance answers at the address that a worker has left."""

    def test_what_runs_at_the_new_address_is_kept(self) -> None:
        """Guards against an answer that is taken for a later address.

        The poll was sent to the old address before the new one was known.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            worker = world.fleet.workers_by_id['w0']
            worker.misdirected_delay_s = 0.5
            restartbuilders.submit(world, 'first', 1000)
            await restartbuilders.wait_for_end(worker)
            await asyncio.sleep(0.002)
            world.fleet.crash(worker)
            world.fleet.restart(worker, address='w0:2')
            await asyncio.sleep(0.1)
            world.write_boot(worker)
            restartbuilders.submit(world, 'long', _LONG_MS)
            await asyncio.sleep(5.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(2, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_what_ran_at_the_old_address_is_lost(self) -> None:
        """Guards against work that waits for a lease of a worker's end."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            worker = world.fleet.workers_by_id['w0']
            restartbuilders.submit(world, 'long', _LONG_MS)
            await asyncio.sleep(1.0)
            world.fleet.crash(worker)
            world.fleet.restart(worker, address='w0:2')
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(4.0)
            self.assertEqual(2, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)


class IdleRestartTest(unittest.TestCase):
    """An idle worker, which is not polled, starts again."""

    def test_it_gets_work_whatever_its_clock(self) -> None:
        """Guards against starts that are refused as too late for seconds."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            for clock_s in _CLOCKS_S:
                for worker in world.fleet.workers_by_id.values():
                    world.fleet.crash(worker)
                    world.restart_worker(worker, clock_s)
                await asyncio.sleep(0.2)
                restartbuilders.submit(world, f'j{clock_s}', 100)
                await world.wait_for(f'j{clock_s}', 'done', 1.0)

        fleetbuilders.run_with_node(scenario)

    def test_a_poll_of_the_boot_before_is_given_up(self) -> None:
        """Guards against a wait for the answer of a process that has ended.

        The poll that confirms the end of a run stays open for seconds.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            (worker,) = world.fleet.workers_by_id.values()
            restartbuilders.submit(world, 'first', 100)
            await world.wait_for('first', 'done', 1.0)
            await asyncio.sleep(0.2)
            world.fleet.crash(worker)
            world.restart_worker(worker)
            await asyncio.sleep(0.1)
            restartbuilders.submit(world, 'j', 100)
            await world.wait_for('j', 'done', 1.0)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_starts_name_times_of_its_new_clock(self) -> None:
        """Guards against leases whose end the holder does not know."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            (worker,) = world.fleet.workers_by_id.values()
            for clock_s in (_FAST_CLOCK_S, 0.0):
                world.fleet.crash(worker)
                world.restart_worker(worker, clock_s)
                # The start must not be sent before the next poll.
                restartbuilders.submit(world, f'j{clock_s}', 100)
                with mock.patch.object(
                    world.fleet, 'start', wraps=world.fleet.start
                ) as start:
                    await world.wait_for(f'j{clock_s}', 'done', 1.0)
                left_s = start.call_args.args[2].lease_until
                left_s -= worker.read_clock()
                self.assertTrue(0.0 < left_s < _LONGEST_LEASE_S, left_s)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_its_entry_may_come_late(self) -> None:
        """Guards against starts by its older entry, and a wait for a poll.

        The new boot may be of another kind; nothing else is waited for.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            restartbuilders.submit(world, 'long', _LONG_MS)
            await asyncio.sleep(1.0)
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            before = world.fleet.starts
            await asyncio.sleep(4.0)
            restartbuilders.submit(world, 'early', 100)
            await asyncio.sleep(1.0)
            self.assertEqual(before, world.fleet.starts)
            world.write_boot(worker)
            await world.wait_for('early', 'done', 0.5)
            await world.wait_for('long', 'running', 0.5)
            restartbuilders.submit(world, 'late', 100)
            await world.wait_for('late', 'done', 1.0)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_its_entry_may_name_an_earlier_boot_for_good(self) -> None:
        """Guards against polls of an idle worker without end.

        It gets no starts; other workers do, at once.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            worker = world.fleet.workers_by_id['w0']
            await asyncio.sleep(1.0)
            world.write_entry(dataclasses.replace(worker.entry, boot=7))
            await asyncio.sleep(1.0)
            with mock.patch.object(
                world.fleet, 'poll_runs', wraps=world.fleet.poll_runs
            ) as poll_runs:
                await asyncio.sleep(5.0)
            poll_runs.assert_not_called()
            for number in range(3):
                restartbuilders.submit(world, f'j{number}', 100)
                await world.wait_for(f'j{number}', 'done', 1.0)
            self.assertEqual(0, worker.last_number)

        fleetbuilders.run_with_node(scenario, workers=2)


class UnconfirmedRestartTest(unittest.TestCase):
    """What a worker gets whose entry names a boot that was not polled."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard(epoch=1)
        self.entry = fleetbuilders.build_entry('w', boot=5)
        self.board.record_entry(self.entry, 0.0)
        self.worker = self.board.workers_by_id['w']
        self.record_poll(boot=5, sent_at=1.0)

    def record_poll(self, boot: int, sent_at: float) -> None:
        """Record an empty report of ``boot``, received at once."""
        report = orders.RunReport(sent_at, boot, (), ())
        runs.record_poll(self.board, self.worker, report, sent_at, sent_at, 0)

    def record_entry(self, boot: int, now: float) -> None:
        """Record an entry that names ``boot``."""
        entry = dataclasses.replace(self.entry, boot=boot)
        self.board.record_entry(entry, now)

    def check_exclusion(self, exclusion: eligibility.Exclusion | None) -> None:
        """Check what keeps the worker from starts."""
        found = eligibility.find_exclusion(self.board, self.worker, 9.0)
        self.assertIs(exclusion, found)

    def test_it_gets_no_starts_until_it_was_polled(self) -> None:
        """Guards against orders to a boot that knows neither epoch nor stop.

        Its boot id may be lower, as the time of day may jump.
        """
        for number, boot in enumerate((8, 3)):
            self.record_entry(boot, 2.0 + number)
            self.check_exclusion(eligibility.Exclusion.RESTARTED)
            self.record_poll(boot, 2.5 + number)
            self.check_exclusion(None)

    def test_an_answer_of_the_boot_before_does_not_count(self) -> None:
        """Guards against a long poll that was sent to the boot before."""
        self.record_entry(8, 2.0)
        self.record_poll(5, 1.5)
        self.check_exclusion(eligibility.Exclusion.RESTARTED)

    def test_an_early_report_of_the_boot_counts(self) -> None:
        """Guards against a needless poll if the report came first."""
        self.record_poll(8, 1.5)
        self.check_exclusion(eligibility.Exclusion.ENTRY_OUTDATED)
        self.record_entry(8, 2.0)
        self.check_exclusion(None)

    def test_an_old_entry_is_outvoted_by_a_poll(self) -> None:
        """Guards against polls for an old entry, and starts by it.

        The poll tells that the entry is old; the next one is as good as new.
        """
        self.record_entry(8, 2.0)
        self.record_poll(8, 2.5)
        self.record_entry(5, 3.0)
        self.check_exclusion(eligibility.Exclusion.RESTARTED)
        self.record_poll(8, 3.5)
        self.check_exclusion(eligibility.Exclusion.ENTRY_OUTDATED)
        self.record_entry(5, 4.0)
        self.assertFalse(self.worker.is_doubted)
        self.record_entry(8, 4.5)
        self.check_exclusion(None)


class PlainCrashTest(unittest.TestCase):
    """A worker restarts while no order is without an answer."""

    def test_its_work_starts_again_at_once(self) -> None:
        """Guards against a wait for orders that cannot be under way."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(8, 4, _LONG_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(1.0)
            worker = world.find_busy_worker()
            world.fleet.crash(worker)
            world.restart_worker(worker)
            while worker.epoch == 0:
                await asyncio.sleep(0.0005)
            await asyncio.sleep(0.05)
            self.assertEqual(8, restartbuilders.count_runs(world, 'j'))

        fleetbuilders.run_with_node(scenario)
