"""A connection of the HTTP server that keeps no more than its limits allow.

The server library's parser keeps what it has seen of a head or a trailer
without a bound, and makes objects of all requests of a read at once.  So
what arrives is cut here: a head goes to the parser once it is whole, and the
bytes behind a request once that request is answered.
"""

import asyncio
from collections import abc
import http
import typing

import httptools
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from primroselock import clock
from primroselock import connectionlimits

_END_OF_HEAD: typing.Final = b'\r\n\r\n'
_NEWLINES: typing.Final = b'\r\n'
_COPIES_OF_A_HEAD: typing.Final = 4
_BYTES_PER_FIELD: typing.Final = 200
"""What the objects of a field take beside its text."""

_RETRY_AFTER_S: typing.Final = 1
_NO_SCOPE: typing.Final[typing.Any] = {}


class _Discarded(list[tuple[bytes, bytes]]):
    """Takes the place of a request's fields while its trailers arrive."""

    def append(self, item: tuple[bytes, bytes]) -> None:
        """Drop a field of a trailer."""


_DISCARDED: typing.Final = _Discarded()


class _Flow(flow_control.FlowControl):
    """Does not resume reading while bytes are left to be looked at."""

    has_unseen_bytes = False

    def resume_reading(self) -> None:
        """Read on, unless there are such bytes."""
        if not self.has_unseen_bytes:
            super().resume_reading()


class Connection(httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol):
    """One connection; its guard's buffer is used for each read."""

    flow: _Flow

    def __init__(
        self,
        *arguments: typing.Any,
        guard: connectionlimits.Guard,
        **named: typing.Any,
    ) -> None:
        super().__init__(*arguments, **named)
        self._guard = guard
        self.held_bytes = 0
        self._waiting_since = 0.0
        self._head = bytearray()
        self._newlines = 0
        self._unseen = b''
        self._is_whole = True
        self._is_silent = True
        self._body_left: int | None = 0
        self._framing_bytes = 0
        self._has_data = False
        self._unsent_bytes = 0
        self._unsent_since = 0.0
        self._has_queued = False
        self._is_watched = False
        self._waits_for_body = False
        self._has_ended = False

    # What the transport calls.

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Begin, if the guard has a place."""
        super().connection_made(transport)
        self.flow = _Flow(transport)
        # A write that cannot leave at once says so; with TLS a limit of 0
        # would be reached by an empty buffer too.
        transport.set_write_buffer_limits(high=1, low=0)
        self._waiting_since = clock.monotonic()
        if self._guard.admit(self):
            self._watch()
        else:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what the connection held."""
        self._guard.remove(self)
        self._unseen = b''
        self._clear()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next read goes to."""
        return self._guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        self.data_received(bytes(self._guard.buffer[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Look at what was read, as far as the limits allow now."""
        self._unset_keepalive_if_required()
        if self._unseen:
            data = self._unseen + data
        self._look_at(data)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keep the connection while whole requests are owed an answer.

        A client may end its own side once it has sent them.  TLS ends both.
        """
        self._has_ended = True
        has_tls = self.transport.get_extra_info('sslcontext') is not None
        return self._is_owed() and not has_tls

    def pause_writing(self) -> None:
        """Check from now on whether the peer reads."""
        super().pause_writing()
        self._unsent_since = clock.monotonic()
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._watch()

    def resume_writing(self) -> None:
        """Go on with what arrived before the peer had read its answer."""
        super().resume_writing()
        if self._is_whole:
            self._unwatch()
        self._queue_turn()
        self._close_if_ended()

    # What the guard asks.

    @property
    def peer(self) -> str:
        """The IP address of the peer."""
        return self.client[0] if self.client else ''

    @property
    def waiting_since(self) -> float:
        """Since when it waits, in seconds; later ones have waited less."""
        if self.flow.write_paused:
            return self._unsent_since
        timer = self.timeout_keep_alive_task
        if timer is None:
            return self._waiting_since
        return timer.when() - self.timeout_keep_alive

    @property
    def phase(self) -> connectionlimits.Phase:
        """What the connection waits for."""
        if not self._is_whole:
            return connectionlimits.Phase.BODY
        if self.flow.write_paused:
            return connectionlimits.Phase.READER
        if self._is_answering():
            return connectionlimits.Phase.ANSWER
        if self._head or self._newlines or self._is_silent:
            return connectionlimits.Phase.HEAD
        return connectionlimits.Phase.NEXT_REQUEST

    def find_timeout(self, now: float) -> connectionlimits.Cause | None:
        """Return why the connection has waited too long, if it has."""
        settings = self._guard.settings
        if self.flow.write_paused:
            unsent = self.transport.get_write_buffer_size()
            if unsent < self._unsent_bytes:
                self._unsent_bytes = unsent
                self._unsent_since = now
            if now - self._unsent_since > settings.write_timeout_s:
                return connectionlimits.Cause.UNREAD
        waited_s = now - self._waiting_since
        if not self._is_whole:
            is_late = waited_s > settings.body_timeout_s
            return connectionlimits.Cause.BODY_LATE if is_late else None
        if self._head or self._newlines:
            is_late = waited_s > settings.head_timeout_s
            return connectionlimits.Cause.HEAD_LATE if is_late else None
        if self._is_silent and waited_s > settings.idle_timeout_s:
            return connectionlimits.Cause.IDLE
        return None

    def cut(self) -> None:
        """Close the connection at once, without an answer."""
        self._clear()
        self.transport.abort()

    # Heads and bodies.

    def _is_answering(self) -> bool:
        """Return whether an answer is still to be made."""
        return self.cycle is not None and not self.cycle.response_complete

    def _is_owed(self) -> bool:
        """Return whether answers to whole requests may still follow."""
        return self._is_whole and (
            self._is_answering()
            or self.flow.write_paused
            or bool(self._unseen)
        )

    def _close_if_ended(self) -> None:
        """Close, if the client sends nothing more and all is answered."""
        if self._has_ended and not self._is_owed():
            self.transport.close()

    def _look_at(self, data: bytes) -> None:
        while data and not self.transport.is_closing():
            if not self._is_whole:
                data = self._take_body(data)
            elif self._is_answering() or self.flow.write_paused:
                break
            else:
                data = self._take_head(data)
        if data or self._unseen:
            self._unseen = data
            self.flow.has_unseen_bytes = bool(data)
        if data:
            self.flow.pause_reading()
        if not self._is_whole and not self._waits_for_body:
            self._waits_for_body = True
            self._begin_wait()

    def _queue_turn(self) -> None:
        """Ask for a turn to look at what was not seen yet, if it can be."""
        if not self._unseen or self._is_answering() or self.flow.write_paused:
            return
        self._unset_keepalive_if_required()
        if not self._has_queued:
            self._has_queued = True
            self._guard.queue_turn(self)

    def take_turn(self) -> None:
        """Look at what was not seen yet."""
        self._has_queued = False
        self._look_at(self._unseen)
        if not self._unseen:
            self.flow.resume_reading()
        self._close_if_ended()

    def _take_head(self, data: bytes) -> bytes:
        """Take a head or a part of it; return what is behind it."""
        if self._head:
            return self._take_rest_of_head(data)
        if data[0] in _NEWLINES:
            data = self._skip_newlines(data)
        end = data.find(_END_OF_HEAD)
        if end < 0:
            self._head += data
            self._keep_part_of_head(0)
            return b''
        end += len(_END_OF_HEAD)
        if end == len(data):
            self._start(data)
            return b''
        self._start(data[:end])
        return data[end:]

    def _take_rest_of_head(self, data: bytes) -> bytes:
        known = len(self._head)
        self._head += data
        end = self._head.find(_END_OF_HEAD, max(0, known - 3))
        if end < 0:
            self._keep_part_of_head(known)
            return b''
        end += len(_END_OF_HEAD)
        head, rest = bytes(self._head[:end]), bytes(self._head[end:])
        self._head = bytearray()
        self._start(head)
        return rest

    def _skip_newlines(self, data: bytes) -> bytes:
        """Leave out empty lines before a request, up to the limit."""
        rest = data.lstrip(_NEWLINES)
        if not self._newlines:
            self._begin_wait()
        self._newlines += len(data) - len(rest)
        if self._newlines > self._guard.settings.max_head_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                connectionlimits.Cause.HEAD_TOO_LARGE,
            )
            return b''
        return rest

    def _keep_part_of_head(self, known: int) -> None:
        size = len(self._head)
        if not known and size and not self._newlines:
            self._begin_wait()
        if size > self._guard.settings.max_head_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                connectionlimits.Cause.HEAD_TOO_LARGE,
            )
        elif not self._guard.hold(self, size):
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                connectionlimits.Cause.MEMORY,
            )

    def _watch(self) -> None:
        if not self._is_watched:
            self._is_watched = True
            self._guard.watch(self)

    def _unwatch(self) -> None:
        if self._is_watched:
            self._is_watched = False
            self._guard.unwatch(self)

    def _begin_wait(self) -> None:
        self._waiting_since = clock.monotonic()
        self._watch()

    def _start(self, head: bytes) -> None:
        """Parse a whole head; the library starts to serve the request."""
        size = len(head) * _COPIES_OF_A_HEAD
        size += head.count(b'\n') * _BYTES_PER_FIELD
        if len(head) > self._guard.settings.max_head_bytes:
            self._refuse(
                http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
                connectionlimits.Cause.HEAD_TOO_LARGE,
            )
            return
        if not self._guard.hold(self, size):
            self._refuse(
                http.HTTPStatus.SERVICE_UNAVAILABLE,
                connectionlimits.Cause.MEMORY,
            )
            return
        self._newlines = 0
        self._is_silent = False
        self._is_whole = False
        before = self.cycle
        try:
            self.parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            # Served as the request that it also is.
            pass
        except httptools.HttpParserError:
            self._is_whole = True
            if self.cycle is before:
                self._refuse(
                    http.HTTPStatus.BAD_REQUEST,
                    connectionlimits.Cause.MALFORMED,
                )
            else:
                self._end(connectionlimits.Cause.MALFORMED)
            return
        if not self._is_whole:
            self._begin_body()

    def _begin_body(self) -> None:
        """Note how the body ends."""
        self._body_left = None
        for name, value in self.headers:
            if name == b'content-length':
                self._body_left = int(value)
        # Fields of a trailer are not kept.
        self.headers = _DISCARDED
        self._framing_bytes = 0
        self._waits_for_body = False

    def _take_body(self, data: bytes) -> bytes:
        """Take a part of a body; return what is behind the body."""
        if self._body_left is None:
            return self._take_chunks(data)
        part, rest = data[: self._body_left], data[self._body_left :]
        self._body_left -= len(part)
        self._feed_body(part)
        return rest

    def _take_chunks(self, data: bytes) -> bytes:
        """Take a part of a body in chunks, line by line.

        So its end is also the end of what the parser was given.
        """
        at = 0
        while at < len(data) and not self._is_whole:
            end = data.find(b'\n', at) + 1 or len(data)
            self._has_data = False
            if not self._feed_body(data[at:end]):
                return b''
            self._framing_bytes += end - at
            if self._has_data:
                self._framing_bytes = 0
            elif self._framing_bytes > self._guard.settings.max_head_bytes:
                self._end(connectionlimits.Cause.FRAMING_TOO_LARGE)
                return b''
            at = end
        return data[at:]

    def _feed_body(self, data: bytes) -> bool:
        """Give a part of a body to the parser; return whether to go on."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self._end(connectionlimits.Cause.BODY_MALFORMED)
        return not self.transport.is_closing()

    # What the parser and the library's request call.

    def on_body(self, body: bytes) -> None:
        """Keep a piece of a body, unless its request is answered."""
        self._has_data = True
        if self.cycle.response_complete:
            return
        size = self.held_bytes + len(body)
        if self._guard.hold(self, size):
            super().on_body(body)
        else:
            self._end(connectionlimits.Cause.MEMORY)

    def on_message_complete(self) -> None:
        """Note the end of a request."""
        self._is_whole = True
        super().on_message_complete()
        if not self.flow.write_paused:
            self._unwatch()
        if self.cycle.response_complete:
            self._clear()

    def on_response_complete(self) -> None:
        """Go on with what arrived behind the request."""
        super().on_response_complete()
        self._clear()
        if self._unseen and not self.transport.is_closing():
            self._queue_turn()
        self._close_if_ended()

    # Ends.

    def _clear(self) -> None:
        """Let go of what the request took."""
        self._guard.release(self)
        if self.cycle is not None and self.cycle.response_complete:
            self.cycle.scope = _NO_SCOPE
            self.scope = _NO_SCOPE
            self.headers = _DISCARDED

    def _refuse(
        self, status: http.HTTPStatus, cause: connectionlimits.Cause
    ) -> None:
        """Answer a head that no part of the program has seen; close."""
        self._guard.report(self, cause)
        self._head = bytearray()
        self._guard.release(self)
        fields: abc.Sequence[tuple[bytes, bytes]] = (
            *self.server_state.default_headers,
            (b'content-length', b'0'),
        )
        lines = [httptools_impl.STATUS_LINE[status]]
        lines += [name + b': ' + value + b'\r\n' for name, value in fields]
        if status is http.HTTPStatus.SERVICE_UNAVAILABLE:
            lines.append(b'retry-after: %d\r\n' % _RETRY_AFTER_S)
        lines.append(b'connection: close\r\n\r\n')
        self.transport.write(b''.join(lines))
        self.transport.close()

    def _end(self, cause: connectionlimits.Cause) -> None:
        """Close without an answer, which promises nothing."""
        self._guard.report(self, cause)
        self.cut()
