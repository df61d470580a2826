"""An event loop whose clock jumps to the next timer instead of waiting.

Tests run the real loops of a node in it, with fakes that do no I/O: runs
are deterministic, and a virtual minute takes a fraction of a second.
"""

import asyncio
from collections import abc
import selectors
import typing
from unittest import mock

from primroselock import clock

_WALL_AT_START_S: typing.Final = 1_700_000_000.0
_T = typing.TypeVar('_T')


class VirtualClock:
    """The time of a virtual loop, in seconds."""

    def __init__(self) -> None:
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the loop's time."""
        return self.now

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return _WALL_AT_START_S + self.now


class _JumpingSelector(selectors.SelectSelector):
    """Advances the virtual clock by the timeout instead of blocking."""

    def __init__(self, virtual: VirtualClock) -> None:
        super().__init__()
        self._virtual = virtual

    def select(self, timeout: float | None = None) -> list[typing.Any]:
        if timeout is None:
            raise RuntimeError(
                'no task is ready and no timer is set: the test would hang'
            )
        self._virtual.now += max(timeout, 0.0)
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self, virtual: VirtualClock) -> None:
        super().__init__(_JumpingSelector(virtual))
        self._virtual = virtual

    def time(self) -> float:
        """Return the virtual time."""
        return self._virtual.now


def run(
    scenario: abc.Callable[[VirtualClock], abc.Coroutine[None, None, _T]],
    virtual: VirtualClock | None = None,
) -> _T:
    """Run a scenario in virtual time and return its result.

    ``virtual`` is the clock to use, if not one that only jumps.
    """
    virtual = virtual or VirtualClock()
    loop = _VirtualLoop(virtual)
    with (
        mock.patch.object(clock, 'monotonic', virtual.monotonic),
        mock.patch.object(clock, 'wall', virtual.wall),
    ):
        try:
            return loop.run_until_complete(scenario(virtual))
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
