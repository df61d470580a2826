"""Endpoint for requests to services: validates and forwards them.

A request is reported as not run only when no byte of it was written to
an upstream, or the upstream itself reported that it did not start it.
"""

import asyncio
import functools
import hashlib
import math
import typing

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import auth
from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock import dispatch
from primroselock import httpclient
from primroselock import keyedrequests
from primroselock import requestbodies
from primroselock.store import keys

_FORWARDED_HEADERS: typing.Final = ('content-type', 'accept')
_REPLAYED_HEADER: typing.Final = 'Primroselock-Replayed'
_MAX_KEY_CHARACTERS: typing.Final = 255
"""Length limit of an idempotency key."""


class _RequestRejected(Exception):
    """Raised to reject a request before any of it was sent upstream."""

    def __init__(self, response: responses.Response) -> None:
        super().__init__()
        self.response = response


class ServicesApi:
    """Handles ``POST /v1/services/{service}/{path}``."""

    def __init__(
        self,
        shared: daemon.Daemon,
        dispatcher: dispatch.Dispatcher,
        keyed_requests: keyedrequests.KeyedRequests,
    ) -> None:
        self._shared = shared
        self._settings = shared.settings.gateway
        self._dispatcher = dispatcher
        self._keyed = keyed_requests

    async def handle(self, request: requests.Request) -> responses.Response:
        """Validate and forward one request; return its response."""
        started = clock.monotonic()
        try:
            pending = await self._parse_request(request, started)
        except _RequestRejected as rejected:
            return rejected.response
        key = request.headers.get('idempotency-key')
        if key is None:
            outcome = await self._dispatcher.send(pending)
        else:
            outcome = await self._send_keyed(pending, key)
        self._shared.metrics.count(_counter_name(outcome))
        self._shared.metrics.record(
            'service_request', clock.monotonic() - started
        )
        return _to_response(outcome)

    async def _send_keyed(
        self, pending: dispatch.PendingRequest, key: str
    ) -> dispatch.Outcome:
        digest = hashlib.sha256(key.encode()).hexdigest()
        return await self._keyed.run(
            keys.claim(pending.account.name, digest),
            keyedrequests.digest_request(
                pending.service.name, pending.request
            ),
            pending.deadline,
            functools.partial(self._dispatcher.send, pending),
        )

    async def _parse_request(
        self, request: requests.Request, started: float
    ) -> dispatch.PendingRequest:
        current = self._shared.follower.current
        account = auth.find_account(request, current)
        if account is None:
            raise _rejection(
                401, 'unauthorized', 'missing or unknown bearer token'
            )
        name = request.path_params['service']
        service = current.services_by_name.get(name)
        if service is None:
            raise _rejection(404, 'no-service', f'unknown service {name}')
        self._check_headers(request)
        deadline = started + self._timeout_s(request)
        body = await _read_body(request, service, deadline)
        path = '/' + request.path_params['path']
        if request.url.query:
            path = f'{path}?{request.url.query}'
        forwarded = httpclient.Request(
            'POST',
            path,
            body,
            tuple(
                (header, request.headers[header])
                for header in _FORWARDED_HEADERS
                if header in request.headers
            ),
        )
        return dispatch.PendingRequest(
            service, account, forwarded, _is_idempotent(request), deadline
        )

    def _check_headers(self, request: requests.Request) -> None:
        size = sum(
            len(name) + len(value) for name, value in request.headers.raw
        )
        if size > self._settings.max_header_bytes:
            limit = self._settings.max_header_bytes
            raise _rejection(
                431, 'headers-too-large', f'the headers exceed {limit} bytes'
            )
        key = request.headers.get('idempotency-key')
        if key is not None and not 0 < len(key) <= _MAX_KEY_CHARACTERS:
            raise _rejection(
                400,
                'bad-key',
                f'Idempotency-Key: 1 to {_MAX_KEY_CHARACTERS} characters',
            )

    def _timeout_s(self, request: requests.Request) -> float:
        text = request.headers.get('primroselock-timeout')
        if text is None:
            return self._settings.default_timeout_s
        try:
            timeout_s = float(text)
        except ValueError:
            timeout_s = math.nan
        if 0 < timeout_s <= self._settings.max_timeout_s:
            return timeout_s
        raise _rejection(
            400,
            'bad-timeout',
            'Primroselock-Timeout: expected seconds above 0 and at '
            f'most {self._settings.max_timeout_s:g}',
        )


def _is_idempotent(request: requests.Request) -> bool:
    text = request.headers.get('primroselock-idempotent', 'false').lower()
    if text not in ('true', 'false'):
        raise _rejection(
            400, 'bad-idempotent', 'Primroselock-Idempotent: true or false'
        )
    return text == 'true'


async def _read_body(
    request: requests.Request,
    service: configuration.Service,
    deadline: float,
) -> bytes:
    """Read the body; stop early when it exceeds the limit."""
    try:
        async with asyncio.timeout(deadline - clock.monotonic()):
            body = await requestbodies.read(request, service.max_body_bytes)
    except TimeoutError:
        raise _rejection(
            408, 'body-late', 'the body did not arrive by the deadline'
        ) from None
    except requests.ClientDisconnect:
        raise _rejection(
            400, 'body-cut', 'the connection closed within the body'
        ) from None
    if isinstance(body, result.Err):
        raise _too_large(body.err_value.limit)
    return body.ok_value


def _too_large(limit: int) -> _RequestRejected:
    return _rejection(413, 'too-large', f'the body exceeds {limit} bytes')


def _rejection(status: int, code: str, message: str) -> _RequestRejected:
    return _RequestRejected(answers.error(status, code, message))


def _counter_name(outcome: dispatch.Outcome) -> str:
    if isinstance(outcome, dispatch.Done):
        return 'requests_done'
    if isinstance(outcome, dispatch.NotRun):
        return 'requests_not_run'
    return 'requests_unknown'


def _to_response(outcome: dispatch.Outcome) -> responses.Response:
    if isinstance(outcome, dispatch.NotRun):
        return answers.error(
            outcome.status,
            outcome.code,
            outcome.message,
            retry_after_s=outcome.retry_after_s,
        )
    if isinstance(outcome, dispatch.Unknown):
        return answers.error(
            504 if outcome.timed_out else 502,
            outcome.code,
            outcome.message,
            answers.Outcome.UNKNOWN,
            outcome.retry_after_s,
        )
    response = outcome.response
    headers = {answers.OUTCOME_HEADER: answers.Outcome.DONE.value}
    if outcome.is_replay:
        headers[_REPLAYED_HEADER] = 'true'
    return responses.Response(
        response.body,
        response.status,
        headers,
        media_type=response.headers_by_name.get('content-type'),
    )
