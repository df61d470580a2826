"""Tasks that nobody awaits, and how tasks ended.

asyncio reports the exception of a task that nobody awaits only when the task
is deleted, which may be never, and not in the log.  Tasks that are started
here log it at once.
"""

import asyncio
from collections import abc
import functools
import typing

from primroselock import logs
from primroselock import waits

_log: typing.Final = logs.get('tasks')
_Value = typing.TypeVar('_Value')


def start(
    work: abc.Coroutine[typing.Any, typing.Any, _Value], what: str
) -> asyncio.Task[_Value]:
    """Start a task; if it fails, log the exception with ``what`` it does.

    The caller keeps a reference to the task until it ends.
    """
    task = asyncio.create_task(work)
    task.add_done_callback(functools.partial(_log_failure, what))
    return task


def find_failure(task: asyncio.Task[typing.Any]) -> BaseException | None:
    """Return why a task that is done failed, or None if it returned.

    A task that ended by a cancellation failed too.
    """
    if task.cancelled():
        return asyncio.CancelledError('the task was cancelled')
    return task.exception()


def _log_failure(what: str, task: asyncio.Task[typing.Any]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        _log.error('task failed', task=what, exc_info=error)


class BackgroundTasks:
    """Tasks under way that end together; ``what`` names what they do."""

    def __init__(self, what: str) -> None:
        self._what = what
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Run ``work`` in a task of its own; its failure is logged."""
        task = start(work, self._what)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks that are under way; wait until they have ended."""
        await waits.cancel_tasks(self._tasks)
