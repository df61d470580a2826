"""Waiting for an event, but not longer than a time."""

import asyncio


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
