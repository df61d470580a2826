"""Workers that start again under their id, as another boot.

The new boot knows no epoch and no stopped runs, and its clock and the numbers
of its ends start anew.  It comes back so fast that no call to it has failed.
"""

import asyncio
import dataclasses
import typing
import unittest

from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import runleases
from primroselock.decisions import runs
from primroselock.test import fakefleet
from primroselock.test import fleetbuilders
from primroselock.test import testleasebounds
from primroselock.workers import orders

_LONG_MS: typing.Final = 60_000
_FAST_CLOCK_S: typing.Final = 1_000_000.0
_CLOCKS_S: typing.Final = (0.0, _FAST_CLOCK_S)
_LONGEST_LEASE_S: typing.Final = 10.0
_LATEST_START_S: typing.Final = 6.0
"""A start that is carried out late begins by then."""


def _submit(
    world: fleetbuilders.World, job_id: str, run_ms: int, **changes: typing.Any
) -> None:
    step = fleetbuilders.build_step(1, 1, run_ms, **changes)
    world.submit(fleetbuilders.build_graph(job_id, step))


def _count_runs(world: fleetbuilders.World, job_id: str) -> int:
    """Return how many runs of a job are in progress."""
    return sum(
        run.task.job_id == job_id
        for worker in world.fleet.workers_by_id.values()
        for run in worker.runs
    )


async def _wait_for_end(worker: fakefleet.FakeWorker) -> None:
    """Wait until a run has ended; its report is about to be received."""
    while not worker.ended:
        await asyncio.sleep(0.0005)


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
            _submit(world, 'short', 100)
            _submit(world, 'long', _LONG_MS)
            await _wait_for_end(worker)
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
            _submit(world, 'short', 100)
            _submit(world, 'long', _LONG_MS)
            await asyncio.sleep(0.05)
            draining = dataclasses.replace(worker.entry, is_draining=True)
            world.write_entry(draining)
            world.add_worker(fleetbuilders.build_entry('w9'))
            await _wait_for_end(worker)
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
            _submit(world, 'first', 1000)
            await _wait_for_end(worker)
            await asyncio.sleep(0.002)
            world.fleet.crash(worker)
            world.fleet.restart(worker, address='w0:2')
            await asyncio.sleep(0.1)
            world.write_boot(worker)
            _submit(world, 'long', _LONG_MS)
            await asyncio.sleep(5.0)
            self.assertEqual([], world.fleet.violations)
            self.assertEqual(2, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_what_ran_at_the_old_address_is_lost(self) -> None:
        """Guards against work that waits for a lease of a worker's end."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            worker = world.fleet.workers_by_id['w0']
            _submit(world, 'long', _LONG_MS)
            await asyncio.sleep(1.0)
            world.fleet.crash(worker)
            world.fleet.restart(worker, address='w0:2')
            world.add_worker(fleetbuilders.build_entry('w9'))
            await asyncio.sleep(4.0)
            self.assertEqual(2, world.fleet.starts)

        fleetbuilders.run_with_node(scenario, workers=1)
