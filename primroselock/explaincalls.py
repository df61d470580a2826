"""Operators' calls at a node that ask where a job would go now, and why.

The holder of the shard answers; any other node hands the call on to it, once.
"""

import typing
import urllib.parse

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import clock
from primroselock.decisions.explaining import records
from primroselock import forwarding
from primroselock import holderexplanations
from primroselock import httpclient
from primroselock import jobgraph
from primroselock import logs
from primroselock import options
from primroselock import requestbodies

PATH: typing.Final = '/v1/operators/explain/jobs'
_FORWARDED_HEADER: typing.Final = 'Primroselock-Forwarded'
_MAX_BODY_BYTES: typing.Final = 256 * 1024
_RETRY_AFTER_S: typing.Final = 1.0
_log: typing.Final = logs.get('operators')

_STATUS_BY_PROBLEM: typing.Final = {
    holderexplanations.Problem.BUSY: 503,
    holderexplanations.Problem.INVALID: 400,
    holderexplanations.Problem.NOT_KNOWN: 404,
    holderexplanations.Problem.TOO_LARGE: 503,
}


class Source(typing.Protocol):
    """The holder of the shard, or a standby that knows who holds it."""

    def find_busy(self) -> holderexplanations.Unexplained | None:
        """Return why nothing is explained now; None if something may be."""

    async def explain(
        self, job: str | jobgraph.JobGraph
    ) -> result.Result[
        records.Answer,
        holderexplanations.Unexplained | holderexplanations.NotHolder,
    ]:
        """Explain a job, by its id, or one that is not sent."""


class ExplainCalls:
    """Answers ``GET PATH/ID`` and ``POST PATH?account=A&queue=Q``.

    The body of the latter is a job as callers send it.
    """

    def __init__(
        self,
        settings: options.Settings,
        source: Source,
        read_job: holderexplanations.ReadJob,
    ) -> None:
        self._own_address = settings.fleet.metrics_bind
        self._max_steps = settings.fleet.max_job_tasks
        self._source = source
        self._read_job = read_job

    async def answer(self, request: requests.Request) -> responses.Response:
        """Answer a call, or hand it on to the holder."""
        body = b''
        job: str | jobgraph.JobGraph = _read_job_id(request)
        if request.method == 'POST':
            read = await requestbodies.read(request, _MAX_BODY_BYTES)
            if isinstance(read, result.Err):
                return answers.error(413, 'bad-job', 'the job is too large')
            body = read.ok_value
            # A body takes time to read, too.
            busy = self._source.find_busy()
            if busy is not None:
                return _refuse(busy)
            parsed = self._read_job(
                body,
                request.query_params.get('account', ''),
                request.query_params.get('queue', ''),
                self._max_steps,
            )
            if isinstance(parsed, result.Err):
                return answers.error(400, 'bad-job', parsed.err_value)
            job = parsed.ok_value
        elif request.method != 'GET':
            return answers.error(405, 'method', 'expected GET or POST')
        explained = await self._source.explain(job)
        if isinstance(explained, result.Ok):
            return answers.json_response(explained.ok_value)
        problem = explained.err_value
        if isinstance(problem, holderexplanations.NotHolder):
            return await self._ask_holder(request, body, problem)
        return _refuse(problem)

    async def _ask_holder(
        self,
        request: requests.Request,
        body: bytes,
        known: holderexplanations.NotHolder,
    ) -> responses.Response:
        """Hand a call on to the holder, and its answer back."""
        if known.is_reading:
            return _unavailable(
                'reading',
                'this node has taken the shard over and still reads its rows',
            )
        is_forwarded = _FORWARDED_HEADER in request.headers
        if (
            is_forwarded
            or not known.address
            or known.address == self._own_address
        ):
            holder = known.holder or 'nobody'
            return _unavailable(
                'holder',
                'this node does not hold the shard; last known to hold it: '
                f'{holder}',
            )
        target = PATH
        if request.method == 'GET':
            quoted = urllib.parse.quote(_read_job_id(request), safe='')
            target = f'{PATH}/{quoted}'
        if request.url.query:
            target = f'{target}?{request.url.query}'
        answered = await forwarding.hand_on(
            known.address,
            httpclient.Request(
                request.method, target, body, ((_FORWARDED_HEADER, '1'),)
            ),
            clock.monotonic() + forwarding.TIMEOUT_S,
        )
        if isinstance(answered, result.Ok):
            return answered.ok_value
        detail = answered.err_value
        _log.warning('holder not reached', holder=known.holder, why=detail)
        return _unavailable(
            'holder', f'{known.holder} holds the shard: {detail}'
        )


def _read_job_id(request: requests.Request) -> str:
    """Return the id in the path; that of the URL has characters escaped."""
    path: str = request.scope['path']
    return path.removeprefix(f'{PATH}/')


def _refuse(problem: holderexplanations.Unexplained) -> responses.Response:
    return answers.error(
        _STATUS_BY_PROBLEM[problem.why],
        problem.why.value,
        problem.detail,
        retry_after_s=problem.retry_after_s,
    )


def _unavailable(code: str, message: str) -> responses.Response:
    return answers.error(503, code, message, retry_after_s=_RETRY_AFTER_S)
