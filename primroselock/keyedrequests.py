"""Runs a request with an idempotency key: claim, send, store the response.

The request is sent only by the gateway that holds the claim, and only
while its caller still waits for it.  The response is stored before it is
returned to the caller, unless that takes too long: when the platform is
slow, the caller gets the response first and storing continues in the
background.
"""

import asyncio
from collections import abc
import hashlib
import typing

import result

from primroselock import backgroundtasks
from primroselock import claims
from primroselock import clock
from primroselock import dispatch
from primroselock import httpclient

_MAX_STORE_WAIT_S: typing.Final = 0.5
"""After this wait the caller gets a response that is not stored yet."""

_RETRY_AFTER_S: typing.Final = 1.0

Send = abc.Callable[
    [], abc.Coroutine[typing.Any, typing.Any, dispatch.Outcome]
]


def digest_request(service: str, request: httpclient.Request) -> str:
    """Return the SHA-256 of service, method, path and body, in hex."""
    hashed = hashlib.sha256()
    for part in (service, request.method, request.path):
        hashed.update(part.encode())
        hashed.update(b'\0')
    hashed.update(request.body)
    return hashed.hexdigest()


class KeyedRequests:
    """Runs requests with an idempotency key at most once."""

    def __init__(self, store: claims.ClaimStore) -> None:
        self._store = store
        self._background: set[asyncio.Task[typing.Any]] = set()

    async def run(
        self, key: str, request_digest: str, deadline: float, send: Send
    ) -> dispatch.Outcome:
        """Send once per ``key``; a repeat gets the stored response.

        ``deadline`` is on the monotonic clock; a request whose key is not
        claimed by then is not sent.
        """
        claim_task = self._start_background(
            self._store.claim(key, request_digest, clock.wall())
        )
        try:
            await asyncio.wait(
                {claim_task}, timeout=deadline - clock.monotonic()
            )
        except asyncio.CancelledError:
            claim_task.add_done_callback(self._release_unused)
            raise
        if not claim_task.done():
            claim_task.add_done_callback(self._release_unused)
            return dispatch.NotRun(
                'platform',
                'the idempotency key was not claimed by the deadline',
            )
        claimed = claim_task.result()
        if isinstance(claimed, result.Err):
            return dispatch.NotRun('platform', claimed.err_value.detail)
        if isinstance(claimed.ok_value, claims.ExistingClaim):
            return _resolve_existing(claimed.ok_value.row, request_digest)
        return await self._send(claimed.ok_value, send)

    async def drain(self) -> None:
        """Wait for the background tasks."""
        while self._background:
            await asyncio.wait(self._background)
        await self._store.drain()

    async def _send(
        self, own_claim: claims.OwnClaim, send: Send
    ) -> dispatch.Outcome:
        outcome = await send()
        if isinstance(outcome, dispatch.Done):
            storing = self._start_background(
                self._store.store_response(own_claim, outcome.response)
            )
        elif isinstance(outcome, dispatch.NotRun):
            storing = self._start_background(self._store.release(own_claim))
        else:
            # The claim remains, so that no repeat runs the request again.
            return outcome
        await asyncio.wait({storing}, timeout=_MAX_STORE_WAIT_S)
        return outcome

    def _release_unused(
        self, claim_task: asyncio.Task[claims.ClaimResult]
    ) -> None:
        if claim_task.cancelled():
            return
        claimed = claim_task.result()
        if isinstance(claimed, result.Ok) and isinstance(
            claimed.ok_value, claims.OwnClaim
        ):
            self._store.release_later(claimed.ok_value)

    def _start_background(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, typing.Any]
    ) -> asyncio.Task[typing.Any]:
        task = backgroundtasks.start(coroutine, 'idempotency key')
        self._background.add(task)
        task.add_done_callback(self._background.discard)
        return task


def _resolve_existing(
    row: claims.Row, request_digest: str
) -> dispatch.Outcome:
    if row.request_digest != request_digest:
        return dispatch.NotRun(
            'key-reused',
            'the idempotency key was used for a different request',
            None,
            422,
        )
    response = row.response()
    if response is not None:
        return dispatch.Done(response, is_replay=True)
    return dispatch.Unknown(
        'key-in-use',
        'a request with this key was started; no response is stored',
        timed_out=True,
        retry_after_s=_RETRY_AFTER_S,
    )
