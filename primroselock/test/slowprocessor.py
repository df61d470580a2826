"""A process whose calls to workers take turns at a slow processor."""

import asyncio
from collections import abc
import contextlib
import typing
from unittest import mock

import result

from primroselock import clock
from primroselock.test import fleetbuilders
from primroselock.workers import orders


class SlowProcessor:
    """Serves the calls of one process one after another.

    A call that has not had its turn when it times out is not answered, but
    takes up the processor all the same.
    """

    def __init__(self, cost_s: float) -> None:
        self._cost_s = cost_s
        self._free_at = 0.0
        self.timeouts = 0

    async def serve(self, timeout_s: float) -> bool:
        """Wait for the processor; return whether that was in time."""
        now = clock.monotonic()
        self._free_at = max(self._free_at, now) + self._cost_s
        if self._free_at - now <= timeout_s:
            await asyncio.sleep(self._free_at - now)
            return True
        self.timeouts += 1
        await asyncio.sleep(timeout_s)
        return False


@contextlib.contextmanager
def slow_calls(
    world: fleetbuilders.World, cost_s: float
) -> abc.Iterator[SlowProcessor]:
    """Let each call to a worker cost the one holder processor time."""
    processor = SlowProcessor(cost_s)

    def slow_down(name: str) -> typing.Any:
        call = getattr(world.fleet, name)

        async def call_slowly(*arguments: typing.Any) -> typing.Any:
            if await processor.serve(arguments[-1]):
                return await call(*arguments)
            return result.Err(orders.Unanswered('no answer'))

        return mock.patch.object(world.fleet, name, call_slowly)

    with slow_down('start'), slow_down('stop'), slow_down('poll_runs'):
        yield processor
