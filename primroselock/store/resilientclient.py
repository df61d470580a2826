"""Calls to the platform with rate limit, circuit breaker and retry budget.

A call is not made if the rate limit would delay it past its deadline.
While the platform does not respond, calls fail at once, except for
periodic probes.  A failed idempotent call is retried once within its
deadline, if the retry budget allows it.

The response to a read or a poll may be large and the link slow.  Its deadline
is that of the response's head; the body may take as long as it arrives, with
no pause as long as the call's bound.
"""

import asyncio
from collections import abc
import random
import typing

import result

from primroselock import clock
from primroselock import httpclient
from primroselock import retrybudget
from primroselock.store import resilience

_SERVER_ERROR: typing.Final = 500
_MAX_RETRY_DELAY_S: typing.Final = 0.1
_MAX_WAIT_SHARE: typing.Final = 0.5
"""A call that waits longer for the rate limit has too little time left."""


CallResult = result.Result[httpclient.Response, httpclient.ExchangeError]


class ResilientClient:
    """Sends HTTP calls to one address."""

    def __init__(
        self, address: str, name: str, connections: int, calls_per_s: float
    ) -> None:
        self._pool = httpclient.ConnectionPool(address, connections)
        self._rate = resilience.RateLimit(calls_per_s)
        # Each kept-alive connection may turn out to be closed, and costs
        # one retry.
        self._retries = retrybudget.RetryBudget(connections, connections)
        # Reads may fail while writes succeed, and vice versa.
        self._read_breaker = resilience.CircuitBreaker(f'{name} reads')
        self._write_breaker = resilience.CircuitBreaker(f'{name} writes')
        self._write_timeout = resilience.AdaptiveTimeout()
        self._poll_timeout = resilience.AdaptiveTimeout()

    async def aclose(self) -> None:
        """Close the connections."""
        await self._pool.aclose()

    async def write(
        self, request: httpclient.Request, timeout_s: float
    ) -> CallResult:
        """Send a call that must not be retried automatically.

        It may be abandoned before ``timeout_s``, when the response is late
        compared with the typical duration; the caller then resolves the
        unknown outcome.
        """
        sent_at = clock.monotonic()
        outcome = await self._exchange(
            request,
            self._write_breaker,
            self._write_timeout.current_s(timeout_s),
        )
        duration_s = clock.monotonic() - sent_at
        _record_duration(self._write_timeout, outcome, duration_s, timeout_s)
        return outcome

    async def poll(
        self,
        request: httpclient.Request,
        wait_s: float,
        timeout_s: float,
        on_begin: abc.Callable[[], None] | None = None,
    ) -> CallResult:
        """Send an idempotent long poll that the caller repeats.

        The store may hold the response for ``wait_s``, and then has up to
        ``timeout_s`` to send its head, or less if responses are typically
        fast.  ``on_begin`` is called when a part of the body has arrived and
        the rest takes longer.
        """
        sent_at = clock.monotonic()
        outcome = await self._exchange(
            request,
            self._read_breaker,
            wait_s + self._poll_timeout.current_s(timeout_s),
            httpclient.LargeBody(timeout_s, on_begin),
        )
        late_s = clock.monotonic() - sent_at - wait_s
        if isinstance(outcome, result.Ok):
            # How long the body takes says nothing about the next head.
            late_s -= outcome.ok_value.body_s
        # A response before the end of the wait gives no measurement.
        if late_s >= 0:
            _record_duration(self._poll_timeout, outcome, late_s, timeout_s)
        return outcome

    async def read(
        self, request: httpclient.Request, timeout_s: float
    ) -> CallResult:
        """Send an idempotent call; retry it once within its deadline.

        A retry is made only if the retry budget allows it.
        """
        deadline = clock.monotonic() + timeout_s
        self._retries.earn()
        large = httpclient.LargeBody(timeout_s)
        outcome = await self._exchange(
            request, self._read_breaker, timeout_s, large
        )
        if isinstance(outcome, result.Ok) or not self._retries.spend():
            return outcome
        await asyncio.sleep(random.uniform(0, _MAX_RETRY_DELAY_S))
        left_s = deadline - clock.monotonic()
        if left_s <= 0:
            return outcome
        return await self._exchange(request, self._read_breaker, left_s, large)

    async def _exchange(
        self,
        request: httpclient.Request,
        breaker: resilience.CircuitBreaker,
        timeout_s: float,
        large: httpclient.LargeBody | None = None,
    ) -> CallResult:
        """Send one call if the rate limit and the breaker allow it."""
        now = clock.monotonic()
        wait_s = self._rate.reserve(now)
        if wait_s >= timeout_s:
            self._rate.refund()
            return result.Err(
                httpclient.NotSent('rate limit of platform calls exceeded')
            )
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        if not breaker.admits(clock.monotonic()):
            return result.Err(
                httpclient.NotSent('the platform is unavailable')
            )
        # What this process delays itself tells nothing about the platform.
        is_delayed = (
            wait_s > timeout_s * _MAX_WAIT_SHARE
            or not self._pool.has_free_connection()
        )
        outcome = await self._pool.exchange(request, timeout_s - wait_s, large)
        answered = isinstance(outcome, result.Ok) and (
            outcome.ok_value.status < _SERVER_ERROR
        )
        if answered or not is_delayed:
            breaker.record(answered, clock.monotonic())
        return outcome


def _record_duration(
    timeout: resilience.AdaptiveTimeout,
    outcome: CallResult,
    duration_s: float,
    bound_s: float,
) -> None:
    """Record the duration of a response, or that it timed out."""
    if isinstance(outcome, result.Ok):
        timeout.record_answer(duration_s)
    elif isinstance(outcome.err_value, httpclient.ResponseLost):
        error = outcome.err_value
        # Once a part of the body is there, the response was not lost.
        if error.timed_out and not error.received_bytes:
            timeout.record_timeout(bound_s)
