"""What the fake workers tell of a start that another boot was to get."""

import typing
import unittest

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import fakefleet
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime
from primroselock.workers import orders

_LEASE_S: typing.Final = 8.0
_ALL: typing.Final = 8
"""The accelerators of a worker."""

_RUN: typing.Final = orders.Run(jobgraph.TaskName('j', 0, 0, 0), 1)


class LateNoteTest(unittest.TestCase):
    """A violation by a start of before a boot says so, and is one still."""

    def setUp(self) -> None:
        self.fleet = fakefleet.FakeFleet()
        self.worker = self.fleet.add(fleetbuilders.build_entry('w0'))
        self.fleet.graphs_by_id['j'] = fleetbuilders.build_graph('j')
        self.fleet.services_by_queue['bulk'] = {'svc'}

    def start(
        self, worker: simulatedworker.FakeWorker, ordered_at: float
    ) -> None:
        """Let a worker carry out a start of the same run."""
        until = worker.read_clock() + _LEASE_S
        order = orders.Start(_RUN, '', until, 1)
        self.fleet._execute_start(worker, order, ordered_at)

    def restart(self) -> float:
        """Restart the worker; return a time before that."""
        now = clock.monotonic()
        self.fleet.crash(self.worker)
        self.fleet.restart(self.worker)
        return now - 0.5

    async def poll(self) -> None:
        """Let the worker answer a poll."""
        address = self.worker.entry.address
        await self.fleet.poll_runs('w0', address, 1, 0, None, 0.0, 1.0)

    def check(self, expected: list[str], has_polled: bool = False) -> None:
        """Check what a start of before the boot gives after a done end."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            self.fleet.confirmed_done.add(_RUN.task)
            ordered_at = self.restart()
            if has_polled:
                await self.poll()
            self.start(self.worker, ordered_at)

        virtualtime.run(run)
        self.assertEqual(expected, self.fleet.violations)

    def test_a_boot_that_has_answered_nothing(self) -> None:
        """Guards against a violation that must be looked up in a log."""
        self.check(
            [
                'j.0.0.0 started after its end was confirmed, ordered before'
                ' boot 2, which answered nothing'
            ]
        )

    def test_a_boot_that_has_answered(self) -> None:
        """Guards against a fault that looks like the known one."""
        self.check(
            [
                'j.0.0.0 started after its end was confirmed, ordered before'
                ' boot 2, which answered something'
            ],
            has_polled=True,
        )

    def test_a_start_that_was_meant_for_the_boot(self) -> None:
        """Guards against a note at any start after a restart."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            self.fleet.confirmed_done.add(_RUN.task)
            self.restart()
            self.start(self.worker, clock.monotonic())

        virtualtime.run(run)
        expected = ['j.0.0.0 started after its end was confirmed']
        self.assertEqual(expected, self.fleet.violations)

    def test_a_run_beside_one_that_was_late(self) -> None:
        """Guards against a note that is lost where the late one is first."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            other = self.fleet.add(fleetbuilders.build_entry('w1'))
            self.start(self.worker, self.restart())
            self.start(other, clock.monotonic())

        virtualtime.run(run)
        expected = [
            'j.0.0.0 runs twice, ordered before boot 2, which answered nothing'
        ]
        self.assertEqual(expected, self.fleet.violations)

    def overload(self, tasks: int, has_late_run: bool) -> str:
        """Return the violation by starts that each take all of a worker."""

        async def run(virtual: virtualtime.VirtualClock) -> None:
            step = fleetbuilders.build_step(tasks, _ALL)
            graph = fleetbuilders.build_graph('all', step)
            self.fleet.graphs_by_id['all'] = graph
            ordered_at = self.restart()
            if has_late_run:
                self.start(self.worker, ordered_at)
            for index in range(tasks):
                task = jobgraph.TaskName('all', 0, 0, index)
                order = orders.Start(orders.Run(task, 1), '', _LEASE_S, 1)
                now = clock.monotonic()
                self.fleet._execute_start(self.worker, order, now)

        virtualtime.run(run)
        violation = self.fleet.violations[-1]
        self.assertTrue(violation.startswith('w0 exceeds its capacity: '))
        return violation

    def test_a_run_that_takes_more_than_a_late_one_leaves(self) -> None:
        """Guards against a worker's overload without its reason."""
        violation = self.overload(1, has_late_run=True)
        self.assertTrue(violation.endswith(', which answered nothing'))

    def test_an_overload_with_another_reason(self) -> None:
        """Guards against a fault that hides behind a late run."""
        for has_late_run in (False, True):
            violation = self.overload(2, has_late_run)
            self.assertNotIn('ordered before', violation)


if __name__ == '__main__':
    unittest.main()
