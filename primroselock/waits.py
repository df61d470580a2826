"""Waits for events and for the ends of tasks, and for the turns of others."""

import asyncio
from collections import abc
import typing

from primroselock import clock

_MAX_TURN_S: typing.Final = 0.02
_RECANCEL_INTERVAL_S: typing.Final = 0.2
_T = typing.TypeVar('_T')


async def wait_event(event: asyncio.Event, timeout_s: float) -> None:
    """Wait for ``event`` for at most ``timeout_s``, then clear it.

    ``asyncio.wait_for`` may swallow a cancellation that arrives together
    with the event (Python 3.11); ``asyncio.timeout`` does not.
    """
    try:
        async with asyncio.timeout(timeout_s):
            await event.wait()
    except TimeoutError:
        # The caller checks the state in either case.
        pass
    event.clear()


async def cancel_tasks(tasks: abc.Collection[asyncio.Task[None]]) -> None:
    """Cancel tasks and wait until each has ended.

    A library may swallow a cancellation that arrives together with the
    event it waits for, so that the task continues; it is cancelled again
    until it ends.  Exceptions of the tasks are left to the caller.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_RECANCEL_INTERVAL_S)


async def take_turns(items: abc.Iterable[_T]) -> abc.AsyncIterator[_T]:
    """Yield items whose processing takes long, and let other tasks run."""
    began = clock.monotonic()
    for item in items:
        yield item
        if clock.monotonic() - began >= _MAX_TURN_S:
            await asyncio.sleep(0)
            began = clock.monotonic()
