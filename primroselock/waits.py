"""Waits for events and for the ends of tasks.

A library that uses ``asyncio.wait_for`` may swallow a cancellation (Python
3.11): if the awaited task has just ended, ``wait_for`` returns its result
instead.  Nobody cancels the task a second time, and a loop goes on for ever.
Calls of such a library are wrapped in :func:`keep_cancellation`.
"""

import asyncio
from collections import abc
import typing

from primroselock import clock

_MAX_TURN_S: typing.Final = 0.02
_RECANCEL_INTERVAL_S: typing.Final = 0.2
_Value = typing.TypeVar('_Value')


async def keep_cancellation(work: abc.Awaitable[_Value]) -> _Value:
    """Await ``work``; raise a cancellation that it swallowed.

    Raises :class:`asyncio.CancelledError` if the current task was cancelled
    meanwhile, even if ``work`` returned a result.
    """
    task = asyncio.current_task()
    assert task is not None
    earlier = task.cancelling()
    value = await work
    if task.cancelling() > earlier:
        raise asyncio.CancelledError
    return value


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


async def take_turns(items: abc.Iterable[_Value]) -> abc.AsyncIterator[_Value]:
    """Yield items whose processing takes long, and let other tasks run."""
    began = clock.monotonic()
    for item in items:
        yield item
        if clock.monotonic() - began >= _MAX_TURN_S:
            await asyncio.sleep(0)
            began = clock.monotonic()
