"""Waits end in time, even if a library swallows a cancellation."""

import asyncio
from collections import abc
import unittest

from structlog import testing

from primroselock import clock
from primroselock.test import virtualtime
from primroselock import waits


class WaitEventTest(unittest.TestCase):
    """Waits for an event with a time limit."""

    def test_it_ends_with_the_event_or_the_time(self) -> None:
        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            event = asyncio.Event()
            started = clock.monotonic()
            await waits.wait_event(event, 2.0)
            self.assertAlmostEqual(2.0, clock.monotonic() - started, 2)
            event.set()
            await waits.wait_event(event, 2.0)
            self.assertAlmostEqual(2.0, clock.monotonic() - started, 2)
            self.assertFalse(event.is_set())

        virtualtime.run(scenario)

    def test_a_cancellation_that_comes_with_the_event_counts(self) -> None:
        """Guards against a task that cannot be cancelled.

        ``asyncio.wait_for`` may swallow a cancellation that arrives together
        with the event (Python 3.11).
        """

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            event = asyncio.Event()
            task = asyncio.create_task(waits.wait_event(event, 2.0))
            await asyncio.sleep(0.1)
            event.set()
            task.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await task

        virtualtime.run(scenario)


class KeepCancellationTest(unittest.TestCase):
    """A cancellation counts, whatever the awaited library makes of it."""

    def cancel_during(
        self, work: abc.Callable[[], abc.Coroutine[None, None, str]]
    ) -> asyncio.Task[str]:
        """Cancel a task that awaits ``work``; return it when it has ended."""
        tasks: list[asyncio.Task[str]] = []

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            task = asyncio.create_task(waits.keep_cancellation(work()))
            tasks.append(task)
            await asyncio.sleep(0.1)
            task.cancel()
            await asyncio.wait({task})

        virtualtime.run(scenario)
        return tasks[0]

    def test_a_swallowed_cancellation_is_raised(self) -> None:
        """Guards against a loop that goes on after its cancellation."""

        async def swallow() -> str:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                return 'answer'
            return 'late'

        self.assertTrue(self.cancel_during(swallow).cancelled())

    def test_an_earlier_cancellation_does_not_count(self) -> None:
        """Work that a cancelled task does before it ends is not disturbed."""

        async def clean_up() -> str:
            return 'released'

        async def work() -> str:
            try:
                await asyncio.sleep(60.0)
            except asyncio.CancelledError:
                return await waits.keep_cancellation(clean_up())
            return 'late'

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            task = asyncio.create_task(work())
            await asyncio.sleep(0.1)
            task.cancel()
            self.assertEqual('released', await task)

        virtualtime.run(scenario)

    def test_a_time_limit_inside_is_no_cancellation(self) -> None:
        async def wait_briefly() -> str:
            try:
                async with asyncio.timeout(1.0):
                    await asyncio.sleep(60.0)
            except TimeoutError:
                return 'timeout'
            return 'late'

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            waited = await waits.keep_cancellation(wait_briefly())
            self.assertEqual('timeout', waited)

        virtualtime.run(scenario)


class CancelTasksTest(unittest.TestCase):
    """Every task ends, even if it swallows the first cancellation."""

    def test_a_task_that_swallows_a_cancellation_ends_too(self) -> None:
        swallowed: list[bool] = []

        async def swallow_once() -> None:
            while True:
                try:
                    await asyncio.sleep(60.0)
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed.append(True)

        async def sleep_until_cancelled() -> None:
            await asyncio.sleep(60.0)

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            tasks = [
                asyncio.create_task(swallow_once()),
                asyncio.create_task(sleep_until_cancelled()),
            ]
            await asyncio.sleep(0.1)
            started = clock.monotonic()
            await waits.cancel_tasks(tasks)
            self.assertTrue(all(task.done() for task in tasks))
            self.assertLess(clock.monotonic() - started, 1.0)

        virtualtime.run(scenario)

    def test_tasks_that_go_on_are_logged_by_name(self) -> None:
        """Guards against a shutdown that waits and does not say for what."""

        async def swallow_for_long() -> None:
            end_at = clock.monotonic() + 10.0
            while clock.monotonic() < end_at:
                try:
                    await asyncio.sleep(60.0)
                except asyncio.CancelledError:
                    continue

        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            task = asyncio.create_task(swallow_for_long())
            await asyncio.sleep(0.1)
            await waits.cancel_tasks([task])
            self.assertTrue(task.done())

        with testing.capture_logs() as lines:
            virtualtime.run(scenario)
        (line,) = lines
        self.assertEqual('cancelled tasks have not ended', line['event'])
        (name,) = line['tasks']
        self.assertRegex(name, r'swallow_for_long:\d+')

    def test_no_tasks_need_no_wait(self) -> None:
        async def scenario(virtual: virtualtime.VirtualClock) -> None:
            await waits.cancel_tasks([])

        virtualtime.run(scenario)


if __name__ == '__main__':
    unittest.main()
