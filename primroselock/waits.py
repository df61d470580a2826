"""Waiting for events and for the ends of tasks, in bounded time."""

import asyncio
from collections import abc
import typing

_CANCEL_AGAIN_S: typing.Final = 0.2


async def wait_event(event: asyncio.Event, longest_s: float) -> None:
    """Wait for ``event``, at most ``longest_s``, and clear it.

    ``asyncio.wait_for`` may swallow a cancellation that comes together
    with the event (Python 3.11); ``asyncio.timeout`` does not.
    """
    try:
        async with asyncio.timeout(longest_s):
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
    left = set(tasks)
    while left:
        for task in left:
            task.cancel()
        _, left = await asyncio.wait(left, timeout=_CANCEL_AGAIN_S)
