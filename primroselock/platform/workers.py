"""Client of the HTTP API of the platform's workers."""

import functools
import typing

import msgspec
import result

from primroselock import addresspools
from primroselock import decoding
from primroselock import httpclient
from primroselock import jobgraph
from primroselock import logs
from primroselock.workers import orders

_OK: typing.Final = 200
_CONFLICT: typing.Final = 409
_MISDIRECTED: typing.Final = 421
_UNHEALTHY: typing.Final = frozenset({429, 503})
_CONNECTIONS_PER_WORKER: typing.Final = 12
_CONNECTION_IDLE_S: typing.Final = 20.0
_MAX_LISTED_ENDS: typing.Final = 500
"""Maximum length of a worker's list of ends; a full list may be truncated."""

_MS_PER_S: typing.Final = 1000
_PERCENT: typing.Final = 100
_Percent = typing.Annotated[float, msgspec.Meta(ge=0, le=_PERCENT)]
_log: typing.Final = logs.get('workers')

_REFUSALS_BY_REASON: typing.Final = {
    'fence': orders.Refusal.STALE_EPOCH,
    'old': orders.Refusal.SUPERSEDED,
    'late': orders.Refusal.DEADLINE_PASSED,
    'room': orders.Refusal.NO_CAPACITY,
    'ticket': orders.Refusal.TICKET_REJECTED,
}


class _StartBody(msgspec.Struct, omit_defaults=True):
    """A start order: ``run`` is the attempt, ``spec`` the payload.

    ``until_ms`` is the end of the lease of all the worker's runs, on the
    worker's clock.
    """

    task: str
    run: int
    spec: str
    until_ms: int
    fencing_token: int
    checkpoint: str = ''
    ticket: str = ''


class _StopBody(msgspec.Struct):
    task: str
    run: int
    fencing_token: int


class _HoldBody(msgspec.Struct, omit_defaults=True):
    """A poll: ``last_seen`` is the number of the last end that is stored.

    ``until_ms`` renews the lease of all the worker's runs.
    """

    fencing_token: int
    last_seen: int
    until_ms: int | None = None
    wait_ms: int = 0


class _Answer(msgspec.Struct):
    """The answer to an order; ``reason`` is set if it was refused."""

    clock_ms: decoding.Amount = 0.0
    reason: str = ''


class _RunRow(msgspec.Struct, array_like=True):
    """The start of a row of a worker's running tasks.

    ``load`` is a tail latency in milliseconds for a task that serves
    requests, and CPU in use for any other.
    """

    task: str
    attempt: decoding.Count
    checkpoint: str
    percent: _Percent
    load: typing.Any = None


class _EndRow(msgspec.Struct, array_like=True):
    """The start of a row of a worker's ended tasks."""

    number: decoding.Count
    task: str
    attempt: decoding.Count
    cause: orders.EndCause
    checkpoint: str


class _HoldAnswer(msgspec.Struct):
    """The answer to a poll; ``born`` identifies the worker's incarnation."""

    clock_ms: decoding.Amount
    running: list[_RunRow] = []
    ended: list[_EndRow] = []
    born: decoding.Count = 0


_decode_answer: typing.Final = decoding.json_reader(_Answer)
_decode_hold_answer: typing.Final = decoding.json_reader(_HoldAnswer)


class HttpRunClient:
    """Implements ``orders.RunClient`` over the platform's calls."""

    def __init__(self) -> None:
        self._pools = addresspools.AddressPools(
            functools.partial(
                httpclient.ConnectionPool,
                limit=_CONNECTIONS_PER_WORKER,
                idle_s=_CONNECTION_IDLE_S,
            )
        )

    async def start(
        self,
        worker_id: str,
        address: str,
        order: orders.Start,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        """Send a start order; it is idempotent."""
        body = _StartBody(
            str(order.run.task),
            order.run.attempt,
            order.payload,
            int(order.lease_until * _MS_PER_S),
            order.epoch,
            order.checkpoint,
            order.ticket,
        )
        return await self._order(
            worker_id, address, '/run-start', body, timeout_s
        )

    async def stop(
        self,
        worker_id: str,
        address: str,
        run: orders.Run,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        """Send a stop order; a later start of the same run is refused."""
        body = _StopBody(str(run.task), run.attempt, epoch)
        return await self._order(
            worker_id, address, '/run-stop', body, timeout_s
        )

    async def poll_runs(
        self,
        worker_id: str,
        address: str,
        epoch: int,
        confirmed_end: int,
        lease_until: float | None,
        wait_s: float,
        timeout_s: float,
    ) -> result.Result[orders.RunReport, orders.OrderError]:
        """Renew the lease of all runs; return the worker's report.

        The call times out after ``timeout_s`` + ``wait_s``.
        """
        until = None if lease_until is None else int(lease_until * _MS_PER_S)
        body = _HoldBody(epoch, confirmed_end, until, int(wait_s * _MS_PER_S))
        answer = await self._post(
            worker_id, address, '/hold', body, timeout_s + wait_s
        )
        if isinstance(answer, result.Err):
            return answer
        report = read_run_report(answer.ok_value.body)
        if isinstance(report, result.Err):
            _log.warning(
                'poll answer cannot be decoded',
                worker=worker_id,
                error=report.err_value,
            )
            return result.Err(
                orders.Unanswered(f'cannot decode: {report.err_value}')
            )
        return report

    async def drop(self, address: str) -> None:
        """Close the connections to a worker that was removed."""
        await self._pools.drop(address)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pools.aclose()

    async def _order(
        self,
        worker_id: str,
        address: str,
        path: str,
        body: msgspec.Struct,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        answer = await self._post(worker_id, address, path, body, timeout_s)
        if isinstance(answer, result.Err):
            return answer
        decoded = _decode_answer(answer.ok_value.body)
        if isinstance(decoded, result.Err):
            return result.Err(
                orders.Unanswered(f'cannot decode: {decoded.err_value}')
            )
        return result.Ok(
            orders.Accepted(decoded.ok_value.clock_ms / _MS_PER_S)
        )

    async def _post(
        self,
        worker_id: str,
        address: str,
        path: str,
        body: msgspec.Struct,
        timeout_s: float,
    ) -> result.Result[httpclient.Response, orders.OrderError]:
        headers = (
            ('Content-Type', 'application/json'),
            ('X-Expected-Instance', worker_id),
        )
        request = httpclient.Request(
            'POST', path, msgspec.json.encode(body), headers
        )
        answer = await self._pools.get(address).exchange(request, timeout_s)
        if isinstance(answer, result.Err):
            error = answer.err_value
            if isinstance(error, httpclient.NotSent):
                return result.Err(orders.NotSent(error.detail))
            return result.Err(orders.Unanswered(error.detail))
        response = answer.ok_value
        if response.status != _OK:
            return result.Err(_refusal(response))
        return result.Ok(response)


def _refusal(response: httpclient.Response) -> orders.OrderError:
    if response.status == _MISDIRECTED:
        return orders.Refused(orders.Refusal.BOOT_MISMATCH)
    if response.status in _UNHEALTHY:
        return orders.Refused(orders.Refusal.UNHEALTHY)
    if response.status == _CONFLICT:
        decoded = _decode_answer(response.body)
        if isinstance(decoded, result.Err):
            return orders.Unanswered(
                f'cannot decode refusal: {decoded.err_value}'
            )
        refusal = decoded.ok_value
        why = _REFUSALS_BY_REASON.get(refusal.reason, orders.Refusal.INVALID)
        return orders.Refused(why, refusal.clock_ms / _MS_PER_S)
    if 400 <= response.status < 500:
        return orders.Refused(orders.Refusal.INVALID)
    return orders.Unanswered(f'status {response.status}')


def read_run_report(body: bytes) -> result.Result[orders.RunReport, str]:
    """Return a worker's report, or why it cannot be decoded."""
    decoded = _decode_hold_answer(body)
    if isinstance(decoded, result.Err):
        return decoded
    return decoding.attempt(_build_run_report, decoded.ok_value)


def _build_run_report(answer: _HoldAnswer) -> orders.RunReport:
    """Raises :class:`ValueError` for a run whose task has no valid name."""
    running = tuple(
        orders.Running(
            _parse_run(row.task, row.attempt),
            row.checkpoint,
            int(row.percent) / _PERCENT,
            _read_load(row.load),
        )
        for row in answer.running
    )
    ended = tuple(
        orders.Ended(
            row.number,
            _parse_run(row.task, row.attempt),
            row.cause,
            row.checkpoint,
        )
        for row in answer.ended
    )
    return orders.RunReport(
        answer.clock_ms / _MS_PER_S,
        answer.born,
        running,
        ended,
        len(ended) < _MAX_LISTED_ENDS,
    )


def _read_load(value: object) -> float | None:
    """Return a load figure, or None: an odd one must not hide the run."""
    if not isinstance(value, int | float) or isinstance(value, bool):
        return None
    if not 0 <= value <= decoding.MAX_NUMBER:
        return None
    return float(value)


def _parse_run(task: str, attempt: int) -> orders.Run:
    name = jobgraph.parse_task_name(task)
    if name is None:
        raise ValueError(f'not a task name: {task!r}')
    return orders.Run(name, attempt)
