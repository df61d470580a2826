"""Requests to services: passed to an upstream and answered whole.

A request is answered as not run only when no byte of it was written to
an upstream or the upstream itself said that it did not start it.
"""

import math
import typing

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import auth
from primroselock import clock
from primroselock import daemon
from primroselock import httplane
from primroselock import routing

_NOT_STARTED_HEADER: typing.Final = 'upstream-not-started'
_PASSED_HEADERS: typing.Final = ('content-type', 'accept')


class ServicesApi:
    """Handles ``POST /v1/services/{service}/{path}``."""

    def __init__(self, shared: daemon.Daemon, router: routing.Router) -> None:
        self._shared = shared
        self._settings = shared.settings.gateway
        self._router = router

    async def handle(self, request: requests.Request) -> responses.Response:
        """Answer one request."""
        current = self._shared.follower.current
        account = auth.find_account(request, current)
        if account is None:
            return answers.error(401, 'unauthorized', 'unknown bearer token')
        name = request.path_params['service']
        service = current.services_by_name.get(name)
        if service is None:
            return answers.error(404, 'no-service', f'no service {name}')
        timeout_s = self._timeout_s(request)
        if timeout_s is None:
            return answers.error(
                400,
                'bad-timeout',
                'Primroselock-Timeout: expected seconds above 0 and at '
                f'most {self._settings.max_timeout_s:g}',
            )
        body = await request.body()
        if len(body) > service.max_body_bytes:
            return answers.error(
                413, 'too-large', f'at most {service.max_body_bytes} bytes'
            )
        upstream = self._router.choose(name, service.slots)
        if upstream is None:
            return answers.error(
                503, 'no-upstream', 'no upstream is free', retry_after_s=1.0
            )
        passed = httplane.Request(
            'POST',
            '/' + request.path_params['path'],
            body,
            tuple(
                (header, request.headers[header])
                for header in _PASSED_HEADERS
                if header in request.headers
            ),
        )
        upstream.running += 1
        started = clock.monotonic()
        try:
            answer = await upstream.pool.exchange(passed, timeout_s)
        finally:
            upstream.running -= 1
            taken_s = clock.monotonic() - started
            self._shared.metrics.record('upstream_exchange', taken_s)
        return _to_answer(answer)

    def _timeout_s(self, request: requests.Request) -> float | None:
        text = request.headers.get('primroselock-timeout')
        if text is None:
            return self._settings.default_timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            return None
        if math.isfinite(timeout_s) and (
            0 < timeout_s <= self._settings.max_timeout_s
        ):
            return timeout_s
        return None


def _to_answer(
    answer: result.Result[httplane.Response, httplane.ExchangeError],
) -> responses.Response:
    if isinstance(answer, result.Err):
        error = answer.err_value
        if isinstance(error, httplane.NotSent):
            return answers.error(
                503, 'upstream-unreachable', error.detail, retry_after_s=1.0
            )
        return answers.error(
            502, 'answer-lost', error.detail, answers.Outcome.UNKNOWN
        )
    response = answer.ok_value
    if _NOT_STARTED_HEADER in response.headers_by_name:
        return answers.error(
            503, 'upstream-refused', 'the upstream refused', retry_after_s=1.0
        )
    content_type = response.headers_by_name.get('content-type')
    return responses.Response(
        response.body,
        response.status,
        {answers.OUTCOME_HEADER: answers.Outcome.DONE.value},
        media_type=content_type,
    )
