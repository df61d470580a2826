"""Clients of the HTTP library with one connection each.

The library returns the response of a cancelled request to the next request
on the same client.  A :class:`Client` therefore has one connection that
serves one exchange at a time.  An idle client is reused only if nothing has
arrived on its connection: an end of stream means that the peer closed it, and
unsolicited bytes can only belong to an earlier exchange.
"""

import asyncio
import select
import socket
import struct
import typing

import aiosonic
import aiosonic.connection
import aiosonic.connectors
import aiosonic.pools
import aiosonic.timeout

_CONNECT_TIMEOUT_S: typing.Final = 2.0
_LIBRARY_MARGIN_S: typing.Final = 5.0
"""Time by which the library's time-outs exceed those of the pool."""

_ABANDON_TIMEOUT_S: typing.Final = 1.0
_LINGER_RESET: typing.Final = struct.pack('ii', 1, 0)
"""SO_LINGER value: closing resets and discards undelivered data."""

_LINGER_FLUSH: typing.Final = struct.pack('ii', 0, 0)
"""SO_LINGER value: closing still delivers data written before."""


class Connection(aiosonic.connection.Connection):  # type: ignore[misc]
    """A connection that records writes and can be abandoned.

    The library runs a request in a task of its own, which keeps running
    when the caller is cancelled.  Abandoning the connection keeps that
    task from connecting or writing later.
    """

    has_written = False
    _abandoned = False
    _library_task: asyncio.Task[typing.Any] | None = None
    _caller_task: asyncio.Task[typing.Any] | None = None

    async def connect(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        self._check_not_abandoned()
        self._library_task = asyncio.current_task()
        await super().connect(*args, **kwargs)
        # The library itself closes a connection after an incomplete
        # exchange; undelivered data is then discarded.
        self._set_linger(_LINGER_RESET)
        if self._abandoned:
            self._abort()
            self._check_not_abandoned()

    def write(self, data: bytes) -> typing.Any:
        self._check_not_abandoned()
        self.has_written = True
        self._library_task = asyncio.current_task()
        return super().write(data)

    def start_exchange(self) -> None:
        """Reset the state of earlier exchanges."""
        self.has_written = False
        self._library_task = None
        self._caller_task = asyncio.current_task()

    async def abandon(self, reset: bool) -> None:
        """Close the connection at once and reject all further use.

        With ``reset``, data that the peer has not received is discarded;
        a plain close would still deliver it, even if the peer becomes
        reachable much later.

        Return once the library's task has ended, so that a connection
        that was being established is closed too, or after
        ``_ABANDON_TIMEOUT_S``.
        """
        self._abandoned = True
        if not reset:
            self._set_linger(_LINGER_FLUSH)
        self._abort()
        library_task = self._library_task
        if (
            library_task is None
            or library_task.done()
            or library_task is self._caller_task
        ):
            return
        library_task.cancel()
        await asyncio.wait({library_task}, timeout=_ABANDON_TIMEOUT_S)

    def _check_not_abandoned(self) -> None:
        if self._abandoned:
            raise ConnectionAbortedError('the exchange was abandoned')

    def _abort(self) -> None:
        # A plain close would first flush the write buffer.
        if self.writer is not None:
            self.writer.transport.abort()

    def _set_linger(self, option: bytes) -> None:
        if self.writer is None or self.writer.is_closing():
            return
        connected = self.writer.get_extra_info('socket')
        connected.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def is_reusable(self) -> bool:
        """Return whether the connection is open with no unread input."""
        reader, writer = self.reader, self.writer
        if reader is None or writer is None or writer.is_closing():
            return False
        if _is_readable(writer.get_extra_info('socket').fileno()):
            return False
        # Stepped manually, the coroutine suspends only when the buffer
        # has neither data nor an end of stream; closing the coroutine
        # then cancels the read without consuming anything.
        attempt = reader.read(1)
        try:
            attempt.send(None)
        except StopIteration:
            return False
        except OSError:
            return False
        attempt.close()
        return True


class Client:
    """A client of the HTTP library with one connection."""

    def __init__(self) -> None:
        self.idle_since = 0.0
        self._connections: list[Connection] = []
        self.client = aiosonic.HTTPClient(
            aiosonic.connectors.TCPConnector(
                {
                    ':default': aiosonic.pools.PoolConfig(
                        size=1, max_conn_requests=None
                    )
                },
                build_timeouts(_CONNECT_TIMEOUT_S),
                connection_cls=self._create_connection,
            )
        )

    def _create_connection(self, pool: typing.Any) -> Connection:
        connection = Connection(pool)
        self._connections.append(connection)
        return connection

    def start_exchange(self) -> None:
        """Reset the state of earlier exchanges."""
        for connection in self._connections:
            connection.start_exchange()

    def has_written(self) -> bool:
        """Return whether the current exchange wrote a byte."""
        return any(item.has_written for item in self._connections)

    async def aclose(self, reset: bool) -> None:
        """Close the connection at once."""
        for connection in self._connections:
            await connection.abandon(reset)
        try:
            await self.client.aclose()
        except Exception:
            # The client is discarded either way; its socket is closed.
            return

    def is_closed_by_peer(self) -> bool:
        """Return whether the peer closed the connection."""
        return any(
            item.reader is not None and item.reader.at_eof()
            for item in self._connections
        )

    def is_reusable(self) -> bool:
        """Return whether the client can serve another exchange."""
        opened = [item for item in self._connections if item.writer]
        return bool(opened) and all(item.is_reusable() for item in opened)


def _is_readable(descriptor: int) -> bool:
    """Return whether the kernel holds input or an end of stream.

    The event loop may not have read it yet.
    """
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def build_timeouts(timeout_s: float) -> aiosonic.timeout.Timeouts:
    """Return the library's time-outs of an exchange of ``timeout_s``."""
    # The pool's own timeout expires first; the library's is a safeguard.
    return aiosonic.timeout.Timeouts(
        sock_connect=min(_CONNECT_TIMEOUT_S, timeout_s),
        sock_read=timeout_s + _LIBRARY_MARGIN_S,
        request_timeout=timeout_s + _LIBRARY_MARGIN_S,
    )
