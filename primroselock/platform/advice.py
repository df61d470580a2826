"""Questions to the service that knows which workers may run a step."""

import typing

import msgspec
import result

from primroselock.decisions import fleet
from primroselock import httpclient
from primroselock import options
from primroselock.workers import orders

_OK: typing.Final = 200
_LANES: typing.Final = 2
_MS: typing.Final = 1000


class _Question(msgspec.Struct):
    """``step`` is the job's id, the occurrence and the step's number."""

    step: str
    workers: tuple[str, ...]


class _Answer(msgspec.Struct):
    """Rows of ``good``: a worker that may run the step, its ticket."""

    good: list[tuple[str, str]]
    valid_ms: float


class AdviceClient:
    """Asks the service at the settings' address."""

    def __init__(self, settings: options.Settings) -> None:
        self._pool: httpclient.ConnectionPool | None = None
        if settings.fleet.advice:
            self._pool = httpclient.ConnectionPool(
                settings.fleet.advice, _LANES
            )

    async def ask(
        self,
        step: fleet.StepName,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[tuple[dict[str, str], float], orders.Unanswered]:
        """Return the tickets by worker and for how long they hold."""
        if self._pool is None:
            return result.Err(orders.Unanswered('no address in the settings'))
        name = f'{step.job_id}.{step.occurrence}.{step.number}'
        request = httpclient.Request(
            'POST',
            '/advise',
            msgspec.json.encode(_Question(name, worker_ids)),
            (('Content-Type', 'application/json'),),
        )
        answer = await self._pool.exchange(request, timeout_s)
        if isinstance(answer, result.Err):
            return result.Err(orders.Unanswered(answer.err_value.detail))
        response = answer.ok_value
        if response.status != _OK:
            return result.Err(orders.Unanswered(f'status {response.status}'))
        try:
            told = msgspec.json.decode(response.body, type=_Answer)
        except msgspec.MsgspecError as error:
            return result.Err(orders.Unanswered(f'not read: {error}'))
        return result.Ok((dict(told.good), told.valid_ms / _MS))

    async def aclose(self) -> None:
        """Close the connections."""
        if self._pool is not None:
            await self._pool.aclose()
