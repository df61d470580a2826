"""A start goes to the boot that is known to run when the start is sent.

What was known earlier does not count: an order waits for its turn, and an
answer may be read long after it was given.
"""

import asyncio
import typing
import unittest

from primroselock import callslots
from primroselock.test import boundbuilders
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders

_IDLE_S: typing.Final = 2.0
_CONFIRMED_S: typing.Final = 0.15
_TURN_S: typing.Final = 1.5
_BOTH_CALLS: typing.Final = 2


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


if __name__ == '__main__':
    unittest.main()
