"""Limits how many calls to workers are under way at the same time.

Each call costs processor time of this process, most of it for a new
connection.  If many are sent at once, a slow process answers none of them
before its time-out; each is then sent again, and the process stays busy with
calls of which none succeeds.  So calls wait here for their turn: they are
sent in the order in which they were decided, few at a time to one worker, so
that one connection serves several, and a bounded number in total.  Calls that
lose nothing by waiting let the others go first.

The bound follows from how soon calls are answered: one that is answered late
takes a slot away; one that is answered soon gives it back.  A call that
takes much longer than usual, as one to a worker that does not answer, costs
nothing but time; it leaves its slot to others before its own time-out.
"""

import asyncio
from collections import abc
import contextlib
import typing

import result

from primroselock.workers import orders

_MAX_SLOTS: typing.Final = 32
_FIRST_SLOTS: typing.Final = 16
_MIN_SLOTS: typing.Final = 2
_MIN_SLOTS_IF_SILENT: typing.Final = 8
"""Workers that do not answer must not hold up the others for long."""

_MAX_CALLS_PER_WORKER: typing.Final = 2
_MAX_PATIENT_IN_LINE: typing.Final = 8
"""They must not starve either: workers that were not polled get no work."""

_FAST_ANSWER_S: typing.Final = 0.1
_SLOW_ANSWER_S: typing.Final = 0.2
"""Half of the time-out of an order."""

_HANGING_FACTOR: typing.Final = 2.0
"""A call leaves its slot after this multiple of the usual time."""

_MIN_HANGING_S: typing.Final = 0.05
_MAX_HANGING_S: typing.Final = 0.4
_FIRST_USUAL_S: typing.Final = 0.05
_SMOOTHING_FACTOR: typing.Final = 0.1
_NO_LINE: typing.Final = contextlib.nullcontext()


class CallSlots:
    """Slots for calls that are under way, ``limit`` in total.

    ``waiting_count`` is the number of calls that wait for a slot.
    """

    def __init__(self) -> None:
        self.waiting_count = 0
        self.limit = _FIRST_SLOTS
        self._usual_s = _FIRST_USUAL_S
        self._fast_at = float('-inf')
        self._slots = asyncio.Semaphore(_FIRST_SLOTS)
        self._withheld = _MAX_SLOTS - _FIRST_SLOTS
        self._slots_by_worker_id: dict[str, asyncio.Semaphore] = {}
        self._patient_line = asyncio.Semaphore(_MAX_PATIENT_IN_LINE)

    @contextlib.asynccontextmanager
    async def hold(
        self, worker_id: str, can_wait: bool = False
    ) -> abc.AsyncIterator[None]:
        """Hold a slot for a call to a worker.

        Of the calls that ``can_wait`` only a few at a time queue for the
        slots in total, so that other calls overtake those that are left.
        """
        worker_slots = self._slots_by_worker_id.setdefault(
            worker_id, asyncio.Semaphore(_MAX_CALLS_PER_WORKER)
        )
        async with contextlib.AsyncExitStack() as stack:
            self.waiting_count += 1
            try:
                await stack.enter_async_context(worker_slots)
                async with self._patient_line if can_wait else _NO_LINE:
                    await self._slots.acquire()
            finally:
                self.waiting_count -= 1
            slot = _Slot(self._release, self._hanging_after_s())
            stack.callback(slot.leave)
            yield

    def record(
        self,
        answer: result.Result[typing.Any, orders.OrderError],
        due_at: float,
        now: float,
    ) -> None:
        """Record that a call ended at ``now``; ``due_at`` is the earliest."""
        if isinstance(answer, result.Err) and not isinstance(
            answer.err_value, orders.Refused
        ):
            self._record_silence(due_at)
            return
        taken_s = now - due_at
        self._adapt_usual(taken_s)
        if taken_s > _SLOW_ANSWER_S:
            self.limit = max(self.limit - 1, _MIN_SLOTS)
        elif taken_s < _FAST_ANSWER_S:
            self._fast_at = now
            self.limit = min(self.limit + 1, _MAX_SLOTS)
            self._release_withheld()

    def _record_silence(self, due_at: float) -> None:
        """Record a call without an answer.

        It tells nothing about this process if others were answered soon.
        """
        if self._fast_at < due_at and self.limit > _MIN_SLOTS_IF_SILENT:
            self.limit -= 1
            self._adapt_usual(max(self._usual_s, _FAST_ANSWER_S))

    def _adapt_usual(self, taken_s: float) -> None:
        self._usual_s += (taken_s - self._usual_s) * _SMOOTHING_FACTOR

    def _hanging_after_s(self) -> float:
        return min(
            max(self._usual_s * _HANGING_FACTOR, _MIN_HANGING_S),
            _MAX_HANGING_S,
        )

    def _release(self) -> None:
        """Free a slot, or withhold it while there are more than allowed."""
        self._withheld += 1
        self._release_withheld()

    def _release_withheld(self) -> None:
        while self._withheld > _MAX_SLOTS - self.limit:
            self._withheld -= 1
            self._slots.release()


class _Slot:
    """One of the slots in total, left when its call hangs or ends."""

    def __init__(
        self, release: abc.Callable[[], None], hanging_after_s: float
    ) -> None:
        self._release = release
        self._is_left = False
        self._timer = asyncio.get_running_loop().call_later(
            hanging_after_s, self.leave
        )

    def leave(self) -> None:
        """Leave the slot to another call, unless it was left before."""
        self._timer.cancel()
        if not self._is_left:
            self._is_left = True
            self._release()
