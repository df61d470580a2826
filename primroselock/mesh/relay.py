"""Bytes between a TCP connection and a ZeroMQ socket of this process.

The library accepts connections without a bound, and keeps what arrives as it
likes.  So its sockets listen only to this process, on an abstract address
that refuses other ones, and a :class:`Relay` passes on what
:mod:`primroselock.mesh.framing` and a :class:`connectionlimits.Guard` allow.
"""

import asyncio
from collections import abc
import typing

from primroselock import backgroundtasks
from primroselock import clock
from primroselock import connectionlimits
from primroselock.mesh import framing

MESSAGE_BYTES: typing.Final = 8_192
"""What the library may take for a message beside its text: a buffer."""

_POLL_INTERVAL_S: typing.Final = 0.01
Cause = connectionlimits.Cause


class Budget:
    """What all inboxes of a process may hold, in bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.held_bytes = 0
        self._paused: set[Relay] = set()

    @property
    def is_full(self) -> bool:
        """Whether nothing more may be passed on now."""
        return self.held_bytes >= self.limit

    def pause(self, relay: 'Relay') -> None:
        """Resume ``relay`` once there is room."""
        self._paused.add(relay)

    def give_back(self, size: int) -> None:
        """Note that so many bytes were read; resume who waited."""
        self.held_bytes -= size
        if not self.is_full:
            paused, self._paused = self._paused, set()
            for relay in paused:
                relay.adjust()


class Inbox(typing.Protocol):
    """A ZeroMQ socket that this process reads.

    ``path`` is the abstract Unix address it listens to.
    """

    path: str

    def has_messages(self) -> bool:
        """Return whether messages wait to be read."""


class Counted:
    """Counts what was passed to an inbox and may not have been read.

    What was read is not counted singly, since the library drops some
    messages; once none waits, all were.
    """

    def __init__(self, inbox: Inbox, budget: Budget) -> None:
        self.path = inbox.path
        self.budget = budget
        self._inbox = inbox
        self._held_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def add(self, size: int) -> None:
        """Note that messages of so many bytes were passed on."""
        self._held_bytes += size
        self.budget.held_bytes += size
        if self._timer is None:
            self._start_timer()

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_POLL_INTERVAL_S, self._poll)

    def _poll(self) -> None:
        self._timer = None
        if self._inbox.has_messages():
            self._start_timer()
        else:
            self.clear()

    def clear(self) -> None:
        """Count all as read; also once the socket is closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        held, self._held_bytes = self._held_bytes, 0
        self.budget.give_back(held)


class _Side(asyncio.BufferedProtocol):
    """One of the two connections of a relay."""

    def __init__(self, relay: 'Relay') -> None:
        self._relay = relay
        self.transport: asyncio.Transport | None = None
        self.is_blocked = False
        self._is_paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin."""
        self.transport = typing.cast(asyncio.Transport, transport)
        self._relay.begin(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the other side too."""
        self._relay.close()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return where the next read goes to."""
        return self._relay.guard.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take what was read."""
        data = bytes(self._relay.guard.buffer[:nbytes])
        self._relay.take(self, data)

    def pause_writing(self) -> None:
        """Note that the peer does not read."""
        self.is_blocked = True
        self._relay.adjust()

    def resume_writing(self) -> None:
        """Note that it does again."""
        self.is_blocked = False
        self._relay.adjust()

    def write(self, data: bytes) -> None:
        """Send bytes, unless the connection has ended."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def set_reading(self, wanted: bool) -> None:
        """Read, or do not."""
        if self.transport is None or self.transport.is_closing():
            return
        if wanted and self._is_paused:
            self.transport.resume_reading()
        elif not wanted and not self._is_paused:
            self.transport.pause_reading()
        self._is_paused = not wanted

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            self.transport.abort()


def _ignore(_: object) -> None:
    """Do nothing."""


class Relay:
    """Joins a connection with another process to an inbox.

    ``is_caller``: this process has opened it.
    """

    def __init__(
        self,
        guard: connectionlimits.Guard,
        inbox: Counted,
        max_message_bytes: int,
        is_caller: bool,
    ) -> None:
        self.guard = guard
        self.held_bytes = 0
        self.outer = _Side(self)
        self.ended = asyncio.Event()
        self.on_end: abc.Callable[[Relay], None] = _ignore
        self.on_sent: abc.Callable[[int], None] = _ignore
        self._inner = _Side(self)
        self._inbox = inbox
        self._is_caller = is_caller
        self._arriving = framing.Reader(max_message_bytes, self._may_open)
        self._leaving = framing.Reader(max_message_bytes, lambda: False)
        self._early = b''
        self._connecting: asyncio.Task[None] | None = None
        self._waiting_since = 0.0
        self._blocked_since = 0.0

    # What the connections call.

    def begin(self, side: _Side) -> None:
        """Begin once a connection is made."""
        if side is self._inner:
            side.write(self._early)
            self._early = b''
            self.adjust()
            return
        self._waiting_since = clock.monotonic()
        if not self.guard.admit(self):
            self.close()
            return
        self.guard.watch(self)
        if self._is_caller:
            self._connect()

    def take(self, side: _Side, data: bytes) -> None:
        """Pass on what one side has sent."""
        if side is self.outer:
            self._take_outer(data)
        else:
            self._take_inner(data)

    def adjust(self) -> None:
        """Read from each side what can be passed on now."""
        if self.outer.is_blocked and not self._blocked_since:
            self._blocked_since = clock.monotonic()
        elif not self.outer.is_blocked:
            self._blocked_since = 0.0
        is_full = self._inbox.budget.is_full
        if is_full:
            self._inbox.budget.pause(self)
        self.outer.set_reading(
            not (is_full or self._inner.is_blocked or self.outer.is_blocked)
        )
        self._inner.set_reading(not self.outer.is_blocked)

    def _connect(self) -> None:
        if self._connecting is None:
            self._connecting = backgroundtasks.start(
                self._open_inner(), 'mesh relay'
            )

    async def _open_inner(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            await loop.create_unix_connection(
                lambda: self._inner, self._inbox.path
            )
        except OSError:
            # The socket was closed in the meantime.
            self.close()
        if self.ended.is_set():
            self._inner.abort()

    def _take_outer(self, data: bytes) -> None:
        reader = self._arriving
        before = reader.messages, reader.message_bytes
        was_unfinished = reader.unfinished_bytes > 0
        cause = reader.read(data)
        if cause is not None:
            self._end(cause)
            return
        if not self.guard.hold(self, reader.unfinished_bytes):
            self._end(Cause.MEMORY)
            return
        if self._inner.transport is None:
            self._early += data
            if reader.has_signature:
                self._connect()
        else:
            self._inner.write(data)
        count = reader.messages - before[0]
        if count:
            size = reader.message_bytes - before[1]
            self._inbox.add(size + count * MESSAGE_BYTES)
        if count or (reader.unfinished_bytes and not was_unfinished):
            self._waiting_since = clock.monotonic()
        self.adjust()

    def _take_inner(self, data: bytes) -> None:
        if not self._arriving.is_open:
            self._leaving.read(data)
            # Where the peer was ready first, nothing more need arrive.
            self._arriving.note_other_side()
        self.on_sent(len(data))
        self.outer.write(data)

    def _may_open(self) -> bool:
        """Return whether the handshake has ended.

        Without keys both sides are ready, with keys the one that was called.
        """
        called = self._arriving if self._is_caller else self._leaving
        return bool(
            called.is_ready
            and self._arriving.commands
            and self._leaving.commands
        )

    # What its owner and the guard ask.

    @property
    def is_open(self) -> bool:
        """Whether both sides have come through the handshake."""
        return self._arriving.is_open

    @property
    def is_blocked(self) -> bool:
        """Whether the other process does not read what it was sent."""
        return self.outer.is_blocked

    @property
    def peer(self) -> str:
        """The IP address of the other process."""
        transport = self.outer.transport
        name = transport and transport.get_extra_info('peername')
        return str(name[0]) if name else ''

    @property
    def waiting_since(self) -> float:
        """Since when it waits, in seconds."""
        return self._blocked_since or self._waiting_since

    @property
    def phase(self) -> connectionlimits.Phase:
        """What the connection waits for."""
        if self.outer.is_blocked:
            return connectionlimits.Phase.READER
        if not self._arriving.is_open:
            return connectionlimits.Phase.HEAD
        if self._arriving.unfinished_bytes:
            return connectionlimits.Phase.BODY
        return connectionlimits.Phase.NEXT_REQUEST

    def find_timeout(self, now: float) -> Cause | None:
        """Return why the connection has waited too long, if it has."""
        settings = self.guard.settings
        if self._blocked_since:
            is_late = now - self._blocked_since > settings.write_timeout_s
            return Cause.UNREAD if is_late else None
        waited_s = now - self._waiting_since
        if not self._arriving.is_open:
            is_late = waited_s > settings.head_timeout_s
            return Cause.HEAD_LATE if is_late else None
        if self._arriving.unfinished_bytes:
            is_late = waited_s > settings.body_timeout_s
            return Cause.BODY_LATE if is_late else None
        return None

    def take_turn(self) -> None:
        """Nothing is sent ahead."""

    def cut(self) -> None:
        """Close the connection at once."""
        self.close()

    # Ends.

    def _end(self, cause: Cause) -> None:
        self.guard.report(self, cause)
        self.close()

    def close(self) -> None:
        """End both sides."""
        if self.ended.is_set():
            return
        self.ended.set()
        self.on_end(self)
        self.guard.remove(self)
        self._early = b''
        self.outer.abort()
        self._inner.abort()
