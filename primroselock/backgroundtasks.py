"""Tasks that run beside a loop and that nobody awaits.

The failure of such a task is logged.
"""

import asyncio
from collections import abc
import typing

from primroselock import waits


class BackgroundTasks:
    """Tasks under way; failures are logged with ``log``."""

    def __init__(self, log: typing.Any) -> None:
        self._log = log
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> asyncio.Task[None]:
        """Run ``work`` in a task of its own."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._remove)
        return task

    async def cancel(self) -> None:
        """Cancel all tasks that are under way; wait until they have ended."""
        await waits.cancel_tasks(self._tasks)

    def _remove(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error(
                'background task failed', exc_info=task.exception()
            )
