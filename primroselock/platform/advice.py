"""Client of the service that decides which workers may run a step."""

import typing

import msgspec
import result

from primroselock.decisions import livejobs
from primroselock import decoding
from primroselock import httpclient
from primroselock import options
from primroselock.workers import orders

_OK: typing.Final = 200
_CONNECTIONS: typing.Final = 2
_MS_PER_S: typing.Final = 1000


class _Request(msgspec.Struct):
    """A request for advice.

    ``step`` is the job's id, the occurrence and the step's number, separated
    by dots; ``workers`` are the ids of the workers in question.
    """

    step: str
    workers: tuple[str, ...]


class _Response(msgspec.Struct):
    """The workers that may run the step, for ``valid_ms`` from the answer.

    Rows of ``good``: a worker's id, its ticket.
    """

    good: list[tuple[str, str]]
    valid_ms: decoding.Amount


_decode_response: typing.Final = decoding.json_reader(_Response)


class AdviceClient:
    """Sends requests to the address in the settings.

    Without an address every request fails.
    """

    def __init__(self, settings: options.Settings) -> None:
        self._pool: httpclient.ConnectionPool | None = None
        if settings.fleet.advice:
            self._pool = httpclient.ConnectionPool(
                settings.fleet.advice, _CONNECTIONS
            )

    async def ask(
        self,
        step: livejobs.StepName,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[tuple[dict[str, str], float], orders.Unanswered]:
        """Return the tickets by worker id, and their validity in seconds.

        Returns an error if no address is set, no answer is received in
        time, or its status or body is not the expected one.
        """
        if self._pool is None:
            return result.Err(
                orders.Unanswered('no advice address in the settings')
            )
        name = f'{step.job_id}.{step.occurrence}.{step.number}'
        request = httpclient.Request(
            'POST',
            '/advise',
            msgspec.json.encode(_Request(name, worker_ids)),
            (('Content-Type', 'application/json'),),
        )
        answer = await self._pool.exchange(request, timeout_s)
        if isinstance(answer, result.Err):
            return result.Err(orders.Unanswered(answer.err_value.detail))
        response = answer.ok_value
        if response.status != _OK:
            return result.Err(
                orders.Unanswered(f'advice service: status {response.status}')
            )
        decoded = _decode_response(response.body)
        if isinstance(decoded, result.Err):
            return result.Err(
                orders.Unanswered(f'cannot decode advice: {decoded.err_value}')
            )
        advice = decoded.ok_value
        return result.Ok((dict(advice.good), advice.valid_ms / _MS_PER_S))

    async def aclose(self) -> None:
        """Close the connections."""
        if self._pool is not None:
            await self._pool.aclose()
