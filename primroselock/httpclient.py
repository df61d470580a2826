"""HTTP exchanges over lanes that cannot mix up answers.

The HTTP client library hands the answer of a cancelled request to the
next request on the same client.  A *lane* is therefore one client with
one connection that carries one exchange at a time, and a lane whose
exchange did not end whole is closed and never used again.  A lane that
was idle is used again only while nothing arrived on its connection: an
end of the stream means that the peer closed it, and bytes that nobody
asked for can only belong to an earlier exchange.

The lane notes when the first byte of a request is written.  Before that
a failure is :class:`NotSent`; from then on it is :class:`ResponseLost`, since
a peer that read the request may have begun the work.

A :class:`ConnectionPool` keeps the idle lanes of one address, newest first,
and bounds how many lanes are open.  A lane that is being closed counts
until its connection is closed.
"""

import asyncio
from collections import abc
import dataclasses
import select
import socket
import struct
import typing

import aiosonic
import aiosonic.connection
import aiosonic.connectors
import aiosonic.pools
import aiosonic.timeout
import result

from primroselock import clock

_CONNECT_TIMEOUT_S: typing.Final = 2.0
_MAX_ANSWER_BYTES: typing.Final = 64 * 1024 * 1024
_LEAST_TIMEOUT_S: typing.Final = 0.001
_LIBRARY_MARGIN_S: typing.Final = 5.0
_END_TIMEOUT_S: typing.Final = 1.0
_RESET: typing.Final = struct.pack('ii', 1, 0)
"""Linger option: a close drops what was not delivered."""

_DELIVER: typing.Final = struct.pack('ii', 0, 0)
"""Linger option: a close delivers what was written before."""

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
    """One whole HTTP response; header names are in lower case."""

    status: int
    body: bytes
    headers_by_name: abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left: the work certainly did not start.

    ``is_local`` is set when the peer was not even tried.
    """

    detail: str
    is_local: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ResponseLost:
    """The exchange ended short: the work may or may not have run.

    ``timed_out`` is set when the peer was silent until the deadline.
    """

    detail: str
    timed_out: bool = False


ExchangeError = NotSent | ResponseLost


class _AnswerTooLarge(Exception):
    """The answer exceeds what the pool accepts."""


class _HeadCut(Exception):
    """The peer closed the connection within or right after the head."""


class _Connection(aiosonic.connection.Connection):  # type: ignore[misc]
    """A connection that knows what was written and can be given up.

    The library runs a request in a task of its own, which a cancelled
    caller does not end.  Giving up keeps that task from connecting or
    writing later.
    """

    has_written = False
    _given_up = False
    _worker: asyncio.Task[typing.Any] | None = None
    _owner: asyncio.Task[typing.Any] | None = None

    async def connect(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        self._check_in_use()
        self._worker = asyncio.current_task()
        await super().connect(*args, **kwargs)
        # The library closes a connection whose exchange ended short.
        self._set_linger(_RESET)
        if self._given_up:
            self._abort()
            self._check_in_use()

    def write(self, data: bytes) -> typing.Any:
        self._check_in_use()
        self.has_written = True
        self._worker = asyncio.current_task()
        return super().write(data)

    def start_exchange(self) -> None:
        """Forget what earlier exchanges did."""
        self.has_written = False
        self._worker = None
        self._owner = asyncio.current_task()

    async def give_up(self, reset: bool) -> None:
        """Close the connection at once and refuse all further use.

        ``reset`` drops what the peer did not get yet; a plain close would
        deliver it, however much later the peer can be reached again.

        Returns when the library's task has ended, so that a connection
        that was being made is closed too.
        """
        self._given_up = True
        if not reset:
            self._set_linger(_DELIVER)
        self._abort()
        worker = self._worker
        if worker is None or worker.done() or worker is self._owner:
            return
        worker.cancel()
        await asyncio.wait({worker}, timeout=_END_TIMEOUT_S)

    def _check_in_use(self) -> None:
        if self._given_up:
            raise ConnectionAbortedError('the exchange was given up')

    def _abort(self) -> None:
        # A plain close would first send what is still buffered.
        if self.writer is not None:
            self.writer.transport.abort()

    def _set_linger(self, option: bytes) -> None:
        if self.writer is None or self.writer.is_closing():
            return
        connected = self.writer.get_extra_info('socket')
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def is_silent(self) -> bool:
        """Whether the connection is open and nothing is waiting on it."""
        reader, writer = self.reader, self.writer
        if reader is None or writer is None or writer.is_closing():
            return False
        if _is_readable(writer.get_extra_info('socket').fileno()):
            return False
        # Driven by hand, the read suspends only when there is neither a
        # byte nor an end of the stream; closing it then undoes the wait.
        attempt = reader.read(1)
        try:
            attempt.send(None)
        except StopIteration:
            return False
        except OSError:
            return False
        attempt.close()
        return True


class _Lane:
    """One client with one connection."""

    def __init__(self, timeouts: aiosonic.timeout.Timeouts) -> None:
        self.idle_since = 0.0
        self._connections: list[_Connection] = []
        self.client = aiosonic.HTTPClient(
            aiosonic.connectors.TCPConnector(
                {
                    ':default': aiosonic.pools.PoolConfig(
                        size=1, max_conn_requests=None
                    )
                },
                timeouts,
                connection_cls=self._connect,
            )
        )

    def _connect(self, pool: typing.Any) -> _Connection:
        connection = _Connection(pool)
        self._connections.append(connection)
        return connection

    def start_exchange(self) -> None:
        """Forget what earlier exchanges did."""
        for connection in self._connections:
            connection.start_exchange()

    def has_written(self) -> bool:
        """Whether the present exchange wrote a byte."""
        return any(item.has_written for item in self._connections)

    async def aclose(self, reset: bool) -> None:
        """Close the connection at once."""
        for connection in self._connections:
            await connection.give_up(reset)
        try:
            await self.client.aclose()
        except Exception:
            # The lane is dropped either way; its socket is closed.
            return

    def is_ended(self) -> bool:
        """Whether the peer closed the connection."""
        return any(
            item.reader is not None and item.reader.at_eof()
            for item in self._connections
        )

    def is_silent(self) -> bool:
        """Whether the lane can carry another exchange."""
        opened = [item for item in self._connections if item.writer]
        return bool(opened) and all(item.is_silent() for item in opened)


class ConnectionPool:
    """Idle lanes to one address, and the limit on open lanes."""

    def __init__(
        self,
        address: str,
        limit: int,
        idle_s: float = 10.0,
        max_answer_bytes: int = _MAX_ANSWER_BYTES,
    ) -> None:
        self.address = address
        self._limit = limit
        self._idle_s = idle_s
        self.max_answer_bytes = max_answer_bytes
        self._idle: list[_Lane] = []
        self._open = 0
        self._waiters: list[asyncio.Future[None]] = []
        self._closing: set[asyncio.Task[None]] = set()

    @property
    def connection_count(self) -> int:
        """How many lanes are in use, idle or being closed."""
        return self._open

    def has_free_connection(self) -> bool:
        """Whether an exchange could start now without waiting."""
        return bool(self._idle) or self._open < self._limit

    def set_limit(self, limit: int) -> None:
        """Change the limit; idle lanes above it are closed at once."""
        self._limit = limit
        while self._idle and self._open > limit:
            self._discard(self._idle.pop(0))
        self._wake()

    def close_expired(self, now: float) -> None:
        """Close the lanes that were idle for too long."""
        while self._idle and self._idle[0].idle_since < now - self._idle_s:
            self._discard(self._idle.pop(0))

    async def exchange(
        self, request: Request, timeout_s: float
    ) -> result.Result[Response, ExchangeError]:
        """Send ``request`` and return the whole response.

        The wait for a free lane counts against ``timeout_s``.
        """
        deadline = clock.monotonic() + timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                lane = await self._acquire()
        except TimeoutError:
            return result.Err(
                NotSent('no free connection in time', is_local=True)
            )
        left_s = max(deadline - clock.monotonic(), _LEAST_TIMEOUT_S)
        return await self._exchange_on_lane(lane, request, left_s)

    async def _exchange_on_lane(
        self, lane: _Lane, request: Request, timeout_s: float
    ) -> result.Result[Response, ExchangeError]:
        lane.start_exchange()
        whole = False
        try:
            async with asyncio.timeout(timeout_s):
                response = await self._send(lane, request, timeout_s)
            whole = True
            return result.Ok(response)
        except Exception as error:
            # The library raises many types for an answer cut short.
            detail = f'{self.address}: {type(error).__name__}: {error}'
            if not lane.has_written():
                return result.Err(NotSent(detail))
            timed_out = isinstance(
                error, (TimeoutError, aiosonic.exceptions.BaseTimeout)
            )
            return result.Err(ResponseLost(detail, timed_out))
        finally:
            if whole:
                self._keep(lane)
            else:
                self._discard(lane, reset=True)

    async def _send(
        self, lane: _Lane, request: Request, timeout_s: float
    ) -> Response:
        answer = await lane.client.request(
            f'http://{self.address}{request.path}',
            method=request.method,
            headers=dict(request.headers),
            data=request.body or None,
            timeouts=_timeouts(timeout_s),
            follow=False,
            stream=True,
        )
        headers = {
            name.lower(): value for name, value in answer.headers.items()
        }
        if answer.status_code in _STATUSES_WITHOUT_BODY:
            return Response(answer.status_code, b'', headers)
        body = await self._read_body(answer, headers)
        if not body and lane.is_ended():
            # The library takes a head that was cut for a whole one.
            if headers.get('connection', '').lower() != 'close':
                raise _HeadCut
        return Response(answer.status_code, body, headers)

    async def _read_body(
        self, answer: typing.Any, headers: abc.Mapping[str, str]
    ) -> bytes:
        declared = headers.get('content-length')
        if declared is not None:
            if int(declared) > self.max_answer_bytes:
                raise _AnswerTooLarge(declared)
            body: bytes = await answer.content()
            return body
        parts: list[bytes] = []
        size = 0
        async for part in answer.read_chunks():
            parts.append(part)
            size += len(part)
            if size > self.max_answer_bytes:
                raise _AnswerTooLarge(str(size))
        return b''.join(parts)

    async def _acquire(self) -> _Lane:
        while True:
            lane = self._take_idle()
            if lane is not None:
                return lane
            if self._open < self._limit:
                self._open += 1
                return _Lane(_timeouts(_CONNECT_TIMEOUT_S))
            waiter: asyncio.Future[None] = (
                asyncio.get_running_loop().create_future()
            )
            self._waiters.append(waiter)
            try:
                await waiter
            except asyncio.CancelledError:
                if waiter.done() and not waiter.cancelled():
                    self._wake()
                raise
            finally:
                if waiter in self._waiters:
                    self._waiters.remove(waiter)

    def _take_idle(self) -> _Lane | None:
        oldest_s = clock.monotonic() - self._idle_s
        while self._idle:
            lane = self._idle.pop()
            if lane.idle_since >= oldest_s and lane.is_silent():
                return lane
            self._discard(lane)
        return None

    def _keep(self, lane: _Lane) -> None:
        if self._open > self._limit:
            self._discard(lane)
            return
        lane.idle_since = clock.monotonic()
        self._idle.append(lane)
        self._wake()

    def _discard(self, lane: _Lane, reset: bool = False) -> None:
        task = asyncio.get_running_loop().create_task(lane.aclose(reset))
        self._closing.add(task)
        task.add_done_callback(self._closed)

    def _closed(self, task: asyncio.Task[None]) -> None:
        self._closing.discard(task)
        self._open -= 1
        self._wake()

    def _wake(self) -> None:
        while self._waiters:
            waiter = self._waiters.pop(0)
            if not waiter.done():
                waiter.set_result(None)
                return

    async def aclose(self) -> None:
        """Close every idle lane."""
        while self._idle:
            self._discard(self._idle.pop())
        if self._closing:
            await asyncio.gather(*self._closing)


def _is_readable(descriptor: int) -> bool:
    """Whether bytes or an end wait that the event loop has yet to see."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def _timeouts(timeout_s: float) -> aiosonic.timeout.Timeouts:
    # The pool's own timeout comes first; the library's is a safeguard.
    return aiosonic.timeout.Timeouts(
        sock_connect=min(_CONNECT_TIMEOUT_S, timeout_s),
        sock_read=timeout_s + _LIBRARY_MARGIN_S,
        request_timeout=timeout_s + _LIBRARY_MARGIN_S,
    )
