"""HTTP client with a connection pool that never mixes up responses.

A client of ``httpconnections`` serves one exchange at a time, and one whose
exchange did not complete is closed and never reused.

Each connection records when the first byte of a request is written.
Before that, a failure is :class:`NotSent`; afterwards it is
:class:`ResponseLost`, since a peer that read the request may have started the
work.

An exchange ends at its deadline.  One whose response may be large has a bound
on pauses instead, from the head of the response on: as long as the body
arrives, reading it from its start again would only take longer.

A :class:`ConnectionPool` keeps the idle connections to one address, newest
first, and bounds the number of open connections.  A connection that is
being closed counts against the limit until it is closed.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import aiosonic.exceptions
import result

from primroselock import clock
from primroselock import httpconnections
from primroselock import waits

_MAX_RESPONSE_BYTES: typing.Final = 64 * 1024 * 1024
_MIN_TIMEOUT_S: typing.Final = 0.001
"""Time-out of an exchange that got its connection at the deadline."""

_STATUSES_WITHOUT_BODY: typing.Final = frozenset({204, 304})


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request; ``path`` starts with a slash."""

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One complete HTTP response; header names are in lower case.

    ``head_s`` is the time from sending the request to the headers' arrival,
    ``body_s`` how long the body then took, in seconds.
    """

    status: int
    body: bytes
    headers_by_name: abc.Mapping[str, str]
    head_s: float = 0.0
    body_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request was sent, so the work did not start.

    ``is_local`` is set when no connection to the peer was attempted.
    """

    detail: str
    is_local: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent but no complete response was received.

    The work may or may not have run.  ``timed_out`` is set when the peer
    did not respond by the deadline, or paused for too long.
    ``received_bytes`` of the response's body had arrived.
    """

    detail: str
    timed_out: bool = False
    received_bytes: int = 0


ExchangeError = NotSent | ResponseLost


@dataclasses.dataclass(frozen=True, slots=True)
class LargeBody:
    """How a response is received whose body may be large.

    The deadline of the exchange is that of the headers.  The body may then
    take any time without a pause of ``max_pause_s``.  ``on_begin`` is called
    when a first part of it has arrived that is not all.
    """

    max_pause_s: float
    on_begin: abc.Callable[[], None] | None = None


class _Progress:
    """How far the response of one exchange has arrived.

    Without ``large`` only the deadline bounds the exchange.
    """

    def __init__(
        self, limit: asyncio.Timeout, large: LargeBody | None
    ) -> None:
        self.received_bytes = 0
        self.head_s = 0.0
        self._limit = limit
        self._large = large
        self._sent_at = clock.monotonic()

    def add_head(self) -> None:
        """Note that the headers have arrived."""
        self.head_s = clock.monotonic() - self._sent_at
        self._extend()

    def add(self, count: int, declared: int | None) -> None:
        """Note ``count`` more bytes of a body of ``declared``, if known."""
        is_first = not self.received_bytes
        self.received_bytes += count
        self._extend()
        is_all = declared is not None and self.received_bytes >= declared
        if self._large and self._large.on_begin and is_first and not is_all:
            self._large.on_begin()

    def finish(
        self, status: int, body: bytes, headers: abc.Mapping[str, str]
    ) -> Response:
        """Return the complete response."""
        body_s = clock.monotonic() - self._sent_at - self.head_s
        return Response(status, body, headers, self.head_s, body_s)

    def _extend(self) -> None:
        if self._large is not None:
            now = asyncio.get_running_loop().time()
            self._limit.reschedule(now + self._large.max_pause_s)


class _ResponseTooLarge(Exception):
    """The response body exceeds the limit of the pool."""


class _HeadTruncated(Exception):
    """The peer closed the connection within or right after the headers."""


class ConnectionPool:
    """Idle connections to one address, and the limit on open ones.

    With a ``limit`` of 0 no exchange gets a connection.
    An idle connection is closed after ``idle_s`` seconds.  A response
    body larger than ``max_answer_bytes`` fails the exchange.
    """

    def __init__(
        self,
        address: str,
        limit: int,
        idle_s: float = 10.0,
        max_answer_bytes: int = _MAX_RESPONSE_BYTES,
    ) -> None:
        self.address = address
        self._limit = limit
        self._idle_s = idle_s
        self.max_answer_bytes = max_answer_bytes
        self._idle: list[httpconnections.Client] = []
        self._open = 0
        self._waiters: list[asyncio.Future[None]] = []
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def connection_count(self) -> int:
        """The number of connections in use, idle or being closed."""
        return self._open

    def has_free_connection(self) -> bool:
        """Return whether an exchange could start now without waiting."""
        return bool(self._idle) or self._open < self._limit

    def set_limit(self, limit: int) -> None:
        """Change the limit; idle connections above it are closed at once."""
        self._limit = limit
        while self._idle and self._open > limit:
            self._discard(self._idle.pop(0))
        self._wake_waiter()

    def close_expired(self, now: float) -> None:
        """Close the connections that were idle for too long."""
        while self._idle and self._idle[0].idle_since < now - self._idle_s:
            self._discard(self._idle.pop(0))

    async def exchange(
        self,
        request: Request,
        timeout_s: float,
        large: LargeBody | None = None,
    ) -> result.Result[Response, ExchangeError]:
        """Send ``request`` and return the complete response.

        The wait for a free connection counts against ``timeout_s``.
        """
        deadline = clock.monotonic() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                pooled = await self._acquire()
        except TimeoutError:
            return result.Err(
                NotSent('no connection was free in time', is_local=True)
            )
        left_s = max(deadline - clock.monotonic(), _MIN_TIMEOUT_S)
        # The library swallows a cancellation that comes with the response.
        return await waits.keep_cancellation(
            self._exchange_on(pooled, request, left_s, large)
        )

    async def _exchange_on(
        self,
        pooled: httpconnections.Client,
        request: Request,
        timeout_s: float,
        large: LargeBody | None,
    ) -> result.Result[Response, ExchangeError]:
        pooled.start_exchange()
        is_complete = False
        limit = asyncio.timeout(timeout_s)
        progress = _Progress(limit, large)
        try:
            async with limit:
                response = await self._send(
                    pooled, request, timeout_s, progress
                )
            is_complete = True
            return result.Ok(response)
        except Exception as error:
            # The library raises many types for a truncated response.
            detail = f'{self.address}: {type(error).__name__}: {error}'
            received = progress.received_bytes
            if received:
                detail += f' after {received} bytes'
            if not pooled.has_written():
                return result.Err(NotSent(detail))
            timed_out = isinstance(
                error, (TimeoutError, aiosonic.exceptions.BaseTimeout)
            )
            return result.Err(ResponseLost(detail, timed_out, received))
        finally:
            if is_complete:
                self._put_back(pooled)
            else:
                self._discard(pooled, reset=True)

    async def _send(
        self,
        pooled: httpconnections.Client,
        request: Request,
        timeout_s: float,
        progress: _Progress,
    ) -> Response:
        raw = await pooled.client.request(
            f'http://{self.address}{request.path}',
            method=request.method,
            headers=dict(request.headers),
            data=request.body or None,
            timeouts=httpconnections.build_timeouts(timeout_s),
            follow=False,
            stream=True,
        )
        progress.add_head()
        headers = {name.lower(): value for name, value in raw.headers.items()}
        if raw.status_code in _STATUSES_WITHOUT_BODY:
            return progress.finish(raw.status_code, b'', headers)
        body = await self._read_body(raw, headers, progress)
        if not body and pooled.is_closed_by_peer():
            # The library accepts truncated headers as complete.
            if headers.get('connection', '').lower() != 'close':
                raise _HeadTruncated
        return progress.finish(raw.status_code, body, headers)

    async def _read_body(
        self,
        raw: typing.Any,
        headers: abc.Mapping[str, str],
        progress: _Progress,
    ) -> bytes:
        declared: int | None = None
        if 'content-length' in headers:
            declared = int(headers['content-length'])
            if declared > self.max_answer_bytes:
                raise _ResponseTooLarge(str(declared))
            if not declared or 'content-encoding' in headers:
                body: bytes = await raw.content()
                return body
        parts: list[bytes] = []
        async for part in raw.read_chunks():
            parts.append(part)
            progress.add(len(part), declared)
            if progress.received_bytes > self.max_answer_bytes:
                raise _ResponseTooLarge(str(progress.received_bytes))
        return b''.join(parts)

    async def _acquire(self) -> httpconnections.Client:
        while True:
            pooled = self._take_idle()
            if pooled is not None:
                return pooled
            if self._open < self._limit:
                self._open += 1
                return httpconnections.Client()
            waiter: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake_waiter()
                raise
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)

    def _take_idle(self) -> httpconnections.Client | None:
        idle_since_limit = clock.monotonic() - self._idle_s
        while self._idle:
            pooled = self._idle.pop()
            if pooled.idle_since >= idle_since_limit and pooled.is_reusable():
                return pooled
            self._discard(pooled)
        return None

    def _put_back(self, pooled: httpconnections.Client) -> None:
        if self._open > self._limit:
            self._discard(pooled)
            return
        pooled.idle_since = clock.monotonic()
        self._idle.append(pooled)
        self._wake_waiter()

    def _discard(
        self, pooled: httpconnections.Client, reset: bool = False
    ) -> None:
        task = asyncio.get_running_loop().create_task(pooled.aclose(reset))
        self._closing.add(task)
        task.add_done_callback(self._on_closed)

    def _on_closed(self, task: asyncio.Task[None]) -> None:
        self._closing.discard(task)
        self._open -= 1
        self._wake_waiter()

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                return

    async def aclose(self) -> None:
        """Close every idle connection; wait until all are closed."""
        while self._idle:
            self._discard(self._idle.pop())
        if self._closing:
            await asyncio.gather(*self._closing)
