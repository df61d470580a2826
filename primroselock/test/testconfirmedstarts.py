"""A start goes to the boot that is known to run when the start is sent.

What was known earlier does not count: an order waits for its turn, and an
answer may be read long after it was given.
"""

import asyncio
import typing
import unittest
from unittest import mock

from primroselock import callslots
from primroselock.decisions import runs
from primroselock.test import boundbuilders
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_IDLE_S: typing.Final = 2.0
_CONFIRMED_S: typing.Final = 0.15
_TURN_S: typing.Final = 1.5
_BOTH_CALLS: typing.Final = 2
_LATE_S: typing.Final = 5.0
_PAUSE_S: typing.Final = 1.1
_DELAY_S: typing.Final = 0.01


async def _hold_slot(
    slots: callslots.CallSlots, worker_id: str, until: asyncio.Event
) -> None:
    async with slots.hold(worker_id):
        await until.wait()


def _hold_slots(
    slots: callslots.CallSlots, worker_id: str, until: asyncio.Event
) -> list[asyncio.Task[None]]:
    """Let all further calls to a worker wait for their turn."""
    return [
        asyncio.create_task(_hold_slot(slots, worker_id, until))
        for _ in range(_BOTH_CALLS)
    ]


class WaitForTurnTest(unittest.TestCase):
    """The only worker changes while a start waits for its turn."""

    def test_the_boot_is_confirmed_when_its_turn_has_come(self) -> None:
        """Guards against a start without the step's label (ROUTE).

        Polls wait for their turn, too, so that none tells of the change.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(_IDLE_S)
            session = world.find_shard_holder().holder._session
            assert session is not None
            turn = asyncio.Event()
            held = _hold_slots(session._orders._slots, 'w0', turn)
            boundbuilders.submit(world, 'j', 1, label='kind')
            await asyncio.sleep(_CONFIRMED_S)
            held += _hold_slots(session._pollers._slots, 'w0', turn)
            await asyncio.sleep(_TURN_S)
            world.fleet.crash(worker)
            world.fleet.restart(worker, labels=boundbuilders.OTHER_KIND)
            turn.set()
            await asyncio.sleep(_IDLE_S)
            self.assertEqual(0, world.fleet.starts)
            await asyncio.gather(*held)

        capacitybuilders.run_scenario(scenario, workers=1)


class TicketTest(unittest.TestCase):
    """A start on a queue with advice waits for the store for long."""

    def test_no_start_is_sent_without_its_ticket(self) -> None:
        """Guards against starts that are refused for want of a ticket.

        The ticket is valid for 3 s, and the placement takes longer to store.
        """
        tickets: list[str] = []

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.advice_client.approved_worker_ids = {'w0'}
            start = world.fleet.start

            async def note_ticket(*arguments: typing.Any) -> typing.Any:
                tickets.append(arguments[2].ticket)
                return await start(*arguments)

            with (
                mock.patch.object(world.fleet, 'start', note_ticket),
                capacitybuilders.slow_placement(world, _LATE_S),
            ):
                boundbuilders.submit(world, 'j', 1, queue='advised')
                await boundbuilders.wait_until(
                    lambda: bool(world.fleet.starts)
                )

        capacitybuilders.run_scenario(scenario, workers=1)
        self.assertEqual(['t-w0'], tickets)


class LateAnswerTest(unittest.TestCase):
    """An answer is read long after it was given: this process was late."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(1)
        self.worker = self.site.board.workers_by_id['n000']
        self.report(0.0)

    def report(self, late_s: float) -> None:
        """Poll now; read the answer ``late_s`` after it was received."""
        sent_at = self.site.now
        answered_at = sent_at + _DELAY_S
        self.site.now = answered_at + late_s
        report = orders.RunReport(answered_at, 1, (), ())
        runs.record_poll(
            self.site.board, self.worker, report, sent_at, self.site.now, 0
        )

    def is_known(self) -> bool:
        """Return whether the boot that was polled is known to run now."""
        return self.worker.is_boot_known(self.site.now)

    def test_a_report_tells_of_when_it_was_made(self) -> None:
        """Guards against a start to a boot that may be gone (ROUTE)."""
        self.assertTrue(self.is_known())
        self.report(_LATE_S)
        self.assertFalse(self.is_known())
        self.report(0.0)
        self.assertTrue(self.is_known())

    def test_a_first_report_may_be_as_old_as_its_poll(self) -> None:
        """Guards against a clock that no other answer was compared with."""
        self.worker.clock_delta_s = None
        self.report(_LATE_S)
        self.assertFalse(self.is_known())


class LateProbeTest(unittest.TestCase):
    """The process stands still while a start waits for a probe."""

    def test_a_probe_tells_of_when_it_was_sent(self) -> None:
        """Guards against a start by the answer of a boot that has ended."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 1)
            world.add_node('entry-1')
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            boundbuilders.submit(world, 'other', 1)
            # From then on a long poll is open.
            await asyncio.sleep(1.5)
            poll_runs = world.fleet.poll_runs
            pauses_s = [_PAUSE_S]

            async def pause(*arguments: typing.Any) -> typing.Any:
                answer = await poll_runs(*arguments)
                if arguments[-2] == 0.0 and pauses_s:
                    virtual.now += pauses_s.pop()
                    world.fleet.crash(worker)
                    labels = boundbuilders.OTHER_KIND
                    world.fleet.restart(worker, labels=labels)
                return answer

            with mock.patch.object(world.fleet, 'poll_runs', pause):
                boundbuilders.submit(world, 'j', 1, label='kind')
                await asyncio.sleep(2.0)
            await world.close()
            self.assertEqual([], pauses_s)
            self.assertEqual([], world.fleet.violations)

        virtualtime.run(run_all)


if __name__ == '__main__':
    unittest.main()
