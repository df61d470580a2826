"""Limits how many orders are sent at the same time.

Each order costs processor time of this process, most of it for a new
connection.  If many are sent at once, a slow process answers none of them
before its time-out; each is then sent again, and the process stays busy with
orders of which none succeeds.  So orders wait here for their turn: they are
sent in the order in which they were decided, few at a time to one worker, so
that one connection serves several, and a bounded number in total.

An order holds two slots: one of its worker, and one of the total.  An order
that a worker does not answer soon costs nothing but time: it leaves the slot
of the total to others before its own time-out, and keeps that of its worker.
"""

import asyncio
from collections import abc
import contextlib
import typing

_MAX_ORDERS: typing.Final = 32
_MAX_ORDERS_PER_WORKER: typing.Final = 2
_HANGING_AFTER_S: typing.Final = 0.2
"""An order without an answer for this long leaves its slot of the total."""


class OrderSlots:
    """Slots for orders that are under way.

    ``waiting_count`` is the number of orders that wait for a slot.
    """

    def __init__(self) -> None:
        self.waiting_count = 0
        self._total_slots = asyncio.Semaphore(_MAX_ORDERS)
        self._slots_by_worker_id: dict[str, asyncio.Semaphore] = {}

    @contextlib.asynccontextmanager
    async def hold(self, worker_id: str) -> abc.AsyncIterator[None]:
        """Hold the slots of an order to a worker, once both are free."""
        worker_slots = self._slots_by_worker_id.setdefault(
            worker_id, asyncio.Semaphore(_MAX_ORDERS_PER_WORKER)
        )
        async with contextlib.AsyncExitStack() as stack:
            self.waiting_count += 1
            try:
                await stack.enter_async_context(worker_slots)
                await self._total_slots.acquire()
            finally:
                self.waiting_count -= 1
            total_slot = _TotalSlot(self._total_slots)
            stack.callback(total_slot.leave)
            yield


class _TotalSlot:
    """A slot of the total, left when its order hangs or ends."""

    def __init__(self, slots: asyncio.Semaphore) -> None:
        self._slots = slots
        self._is_left = False
        self._timer = asyncio.get_running_loop().call_later(
            _HANGING_AFTER_S, self.leave
        )

    def leave(self) -> None:
        """Leave the slot to another order, unless it was left before."""
        self._timer.cancel()
        if not self._is_left:
            self._is_left = True
            self._slots.release()
