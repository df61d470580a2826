"""Limits how many orders are sent at the same time.

Each order costs processor time of this process, most of it for a new
connection.  If many are sent at once, a slow process answers none of them
before its time-out; each is then sent again, and the process stays busy with
orders of which none succeeds.  So orders wait here for their turn: they are
sent in the order in which they were decided, few at a time to one worker, so
that one connection serves several, and a bounded number in total.

An order that a worker does not answer soon costs nothing but time; it leaves
its place to others before its own time-out.
"""

import asyncio
from collections import abc
import contextlib
import typing

_MAX_ORDERS: typing.Final = 32
_MAX_ORDERS_PER_WORKER: typing.Final = 2
_HANGING_AFTER_S: typing.Final = 0.2


class OrderSlots:
    """Places for orders that are under way.

    ``waiting_count`` is the number of orders that wait for a place.
    """

    def __init__(self) -> None:
        self.waiting_count = 0
        self._places = asyncio.Semaphore(_MAX_ORDERS)
        self._places_by_worker_id: dict[str, asyncio.Semaphore] = {}

    @contextlib.asynccontextmanager
    async def hold(self, worker_id: str) -> abc.AsyncIterator[None]:
        """Hold a place for an order to a worker."""
        places = self._places_by_worker_id.setdefault(
            worker_id, asyncio.Semaphore(_MAX_ORDERS_PER_WORKER)
        )
        async with contextlib.AsyncExitStack() as stack:
            self.waiting_count += 1
            try:
                await stack.enter_async_context(places)
                await self._places.acquire()
            finally:
                self.waiting_count -= 1
            place = _Place(self._places)
            stack.callback(place.leave)
            yield


class _Place:
    """One of the places in total, left when its order hangs or ends."""

    def __init__(self, places: asyncio.Semaphore) -> None:
        self._places = places
        self._is_left = False
        self._timer = asyncio.get_running_loop().call_later(
            _HANGING_AFTER_S, self.leave
        )

    def leave(self) -> None:
        """Leave the place to another order, unless it was left before."""
        self._timer.cancel()
        if not self._is_left:
            self._is_left = True
            self._places.release()
