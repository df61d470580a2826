"""Waits for events and for the ends of tasks.

A library that uses ``asyncio.wait_for`` may swallow a cancellation (Python
3.11): if the awaited task has just ended, ``wait_for`` returns its result
instead.  Nobody cancels the task a second time, and a loop goes on for ever.
Calls of such a library are wrapped in :func:`keep_cancellation`.
"""

import asyncio
from collections import abc
import itertools
import typing

from primroselock import clock
from primroselock import logs

_MAX_TURN_S: typing.Final = 0.02
_RECANCEL_INTERVAL_S: typing.Final = 0.2
_LOGGED_ATTEMPT: typing.Final = 10
"""The cancellation after which the tasks that go on are logged."""

_log: typing.Final = logs.get('waits')
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
    until it ends.  Those that do not end soon are logged.  Exceptions of the
    tasks are left to the caller.
    """
    pending = set(tasks)
    for attempt in itertools.count():
        if not pending:
            return
        if attempt == _LOGGED_ATTEMPT:
            _log.warning(
                'cancelled tasks have not ended',
                tasks=sorted(map(_describe, pending)),
            )
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=_RECANCEL_INTERVAL_S)


def _describe(task: asyncio.Task[None]) -> str:
    """Return what a task runs and the line at which it waits."""
    name = getattr(task.get_coro(), '__qualname__', task.get_name())
    frames = task.get_stack(limit=1)
    return f'{name}:{frames[0].f_lineno}' if frames else name


async def take_turns(items: abc.Iterable[_Value]) -> abc.AsyncIterator[_Value]:
    """Yield items whose processing takes long, and let other tasks run."""
    began = clock.monotonic()
    for item in items:
        yield item
        if clock.monotonic() - began >= _MAX_TURN_S:
            await asyncio.sleep(0)
            began = clock.monotonic()
