"""Waiting for events and for the ends of tasks, in bounded time."""

import asyncio
from collections import abc
import typing

_RECANCEL_INTERVAL_S: typing.Final = 0.2


async def wait_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for ``event``, at most ``timeout_s``, and clear it.

    ``asyncio.wait_for`` may swallow a cancellation that comes together
    with the event (Python 3.11); ``asyncio.timeout`` does not.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        # The caller looks at the state either way.
        pass
    event.clear()


async def cancel_tasks(tasks: abc.Collection[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until each has ended.

    A library may swallow a cancellation that comes together with what it
    waits for, so that the task goes on: it is then cancelled again.  How
    the tasks ended is left to the caller.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_RECANCEL_INTERVAL_S)
