"""Asks, one question at a time, which workers may run what waits."""

import asyncio
from collections import abc
import typing

import result

from primroselock import clock
from primroselock.decisions import advising
from primroselock.decisions import fleet
from primroselock import logs
from primroselock.workers import orders

_log: typing.Final = logs.get('advisor')
_SPARE_S: typing.Final = 1.0


class AdviceClient(typing.Protocol):
    """The service that knows which workers may run a step."""

    async def ask(
        self,
        step: fleet.StepName,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[tuple[dict[str, str], float], orders.Unanswered]:
        """Return the tickets by worker and for how long they hold."""

    async def aclose(self) -> None:
        """Close the connections."""


class AdviceRequester:
    """Keeps one question under way while any is open."""

    def __init__(
        self,
        board: fleet.ShardBoard,
        adviser: AdviceClient,
        wake: abc.Callable[[], None],
    ) -> None:
        self._board = board
        self._adviser = adviser
        self._wake = wake
        self._task: asyncio.Task[None] | None = None

    def ensure_running(self) -> None:
        """Ask the next question unless one is under way."""
        if self._task is not None and not self._task.done():
            return
        question = advising.next_question(self._board, clock.monotonic())
        if question is not None:
            self._task = asyncio.create_task(self._ask(question))

    def cancel(self) -> None:
        """Stop asking."""
        if self._task is not None:
            self._task.cancel()

    async def _ask(self, question: advising.AdviceRequest) -> None:
        # Tickets hold from some time after the question was sent.
        sent_at = clock.monotonic()
        answer = await self._adviser.ask(
            question.step,
            question.worker_ids,
            question.answer_time_s + _SPARE_S,
        )
        if isinstance(answer, result.Err):
            advising.record_unanswered(
                self._board, question, clock.monotonic()
            )
            _log.warning(
                'no advice',
                request=question.step.job_id,
                why=answer.err_value.detail,
            )
            return
        tickets, valid_s = answer.ok_value
        advising.record_answer(
            self._board, question, tickets, sent_at + valid_s
        )
        _log.info(
            'advice taken',
            request=question.step.job_id,
            asked=len(question.worker_ids),
            good=len(tickets),
        )
        self._wake()
