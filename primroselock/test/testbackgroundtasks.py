"""The failure of a task that nobody awaits is logged."""

import asyncio
import unittest

from structlog import testing

from primroselock import backgroundtasks


async def fail() -> None:
    """Fail at once."""
    raise ValueError('a fault')


class BackgroundTaskTest(unittest.IsolatedAsyncioTestCase):
    """What is logged of a task, and how it ended."""

    async def test_a_failure_is_logged_at_once(self) -> None:
        """Guards against an exception that is lost with its task."""
        with testing.capture_logs() as lines:
            task = backgroundtasks.start(fail(), 'order')
            await asyncio.wait({task})
            await asyncio.sleep(0)
        (line,) = lines
        self.assertEqual('error', line['log_level'])
        self.assertEqual('order', line['task'])
        self.assertIsInstance(line['exc_info'], ValueError)
        self.assertIsInstance(backgroundtasks.find_failure(task), ValueError)

    async def test_other_ends_are_not_logged(self) -> None:
        with testing.capture_logs() as lines:
            returned = backgroundtasks.start(asyncio.sleep(0), 'order')
            cancelled = backgroundtasks.start(asyncio.sleep(60.0), 'order')
            cancelled.cancel()
            await asyncio.wait({returned, cancelled})
            await asyncio.sleep(0)
        self.assertEqual([], lines)
        self.assertIsNone(backgroundtasks.find_failure(returned))
        self.assertIsInstance(
            backgroundtasks.find_failure(cancelled), asyncio.CancelledError
        )

    async def test_tasks_that_end_together(self) -> None:
        """Guards against failures and cancellations that are lost in a set."""
        tasks = backgroundtasks.BackgroundTasks('orders')
        with testing.capture_logs() as lines:
            tasks.spawn(fail())
            waiting = tasks.spawn(asyncio.sleep(60.0))
            await asyncio.sleep(0.01)
            await tasks.cancel()
        self.assertTrue(waiting.cancelled())
        (line,) = lines
        self.assertEqual('orders', line['task'])
        self.assertIsInstance(line['exc_info'], ValueError)


if __name__ == '__main__':
    unittest.main()
