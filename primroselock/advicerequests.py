"""Requests to the advice service, one at a time.

The service decides which workers may run a waiting step.
"""

import asyncio
from collections import abc
import typing

import result

from primroselock import backgroundtasks
from primroselock import clock
from primroselock.decisions import advising
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock import logs
from primroselock.workers import orders

_log: typing.Final = logs.get('advisor')
_TIMEOUT_MARGIN_S: typing.Final = 1.0


class AdviceClient(typing.Protocol):
    """Client of the service that decides which workers may run a step."""

    async def ask(
        self,
        step: livejobs.StepName,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[tuple[dict[str, str], float], orders.Unanswered]:
        """Return the tickets by worker id, and their validity in seconds.

        A worker without a ticket may not run the step.  The error states
        why there is no valid answer.
        """

    async def aclose(self) -> None:
        """Close the connections."""


class AdviceRequester:
    """Keeps one request under way while any step needs advice."""

    def __init__(
        self,
        board: fleet.ShardBoard,
        advice_client: AdviceClient,
        wake: abc.Callable[[], None],
    ) -> None:
        self._board = board
        self._advice_client = advice_client
        self._wake = wake
        self._tasks = backgroundtasks.BackgroundTasks('advice request')
        self._task: asyncio.Task[None] | None = None

    def ensure_running(self) -> None:
        """Send the next request unless one is under way."""
        if self._task is not None and not self._task.done():
            return
        request = advising.next_request(self._board, clock.monotonic())
        if request is not None:
            self._task = self._tasks.spawn(self._request(request))

    async def cancel(self) -> None:
        """Cancel the request that is under way."""
        await self._tasks.cancel()

    async def _request(self, request: advising.AdviceRequest) -> None:
        # The validity begins at some time after the request was sent, so
        # counting it from ``sent_at`` never exceeds it.
        sent_at = clock.monotonic()
        answer = await self._advice_client.ask(
            request.step,
            request.worker_ids,
            request.answer_time_s + _TIMEOUT_MARGIN_S,
        )
        if isinstance(answer, result.Err):
            advising.record_unanswered(self._board, request, clock.monotonic())
            _log.warning(
                'advice request failed; it will be retried',
                request=request.step.job_id,
                why=answer.err_value.detail,
            )
            return
        tickets, valid_s = answer.ok_value
        advising.record_answer(
            self._board, request, tickets, sent_at + valid_s
        )
        _log.info(
            'advice received',
            request=request.step.job_id,
            asked=len(request.worker_ids),
            good=len(tickets),
        )
        self._wake()
