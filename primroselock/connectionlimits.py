"""Bounds what the connections to one address make a process keep.

A :class:`Guard` counts connections and the bytes that they hold, and decides
which of them end when there are too many.  Nothing is closed that has sent
a whole request and waits for its answer, unless its peer reads nothing.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import enum
import typing

from primroselock import clock
from primroselock import httpsettings
from primroselock import logs
from primroselock import metrics

_log: typing.Final = logs.get('connections')
_READ_BYTES: typing.Final = 16_384
"""What is read of a connection at a time."""

_CHECK_INTERVAL_S: typing.Final = 1.0
_FREED_SHARE: typing.Final = 1 / 16
"""How much of a limit is freed at a time, so that it is rarely done."""


class Cause(enum.Enum):
    """Why a connection was refused or closed, as in metrics and logs."""

    HEAD_TOO_LARGE = 'head too large'
    MALFORMED = 'malformed'
    BODY_MALFORMED = 'body malformed'
    FRAMING_TOO_LARGE = 'chunk framing or trailers too large'
    MESSAGE_TOO_LARGE = 'message too large'
    HEAD_LATE = 'head late'
    IDLE = 'no request'
    BODY_LATE = 'body late'
    UNREAD = 'answer not read'
    TOO_MANY = 'too many connections'
    MEMORY = 'too many bytes held'


class Phase(enum.Enum):
    """What a connection waits for."""

    HEAD = 'the first request, or the rest of a head'
    BODY = 'the rest of a body'
    NEXT_REQUEST = 'another request'
    READER = 'its peer to read an answer'
    ANSWER = 'the program'


class Connection(typing.Protocol):
    """A connection as its guard sees it.

    ``held_bytes`` is what its request takes; ``waiting_since`` is the
    monotonic time since which it has been in its phase, in seconds.
    """

    held_bytes: int

    @property
    def peer(self) -> str:
        """The IP address of the peer."""

    @property
    def phase(self) -> Phase:
        """What the connection waits for."""

    @property
    def waiting_since(self) -> float:
        """Since when it waits, in seconds."""

    def find_timeout(self, now: float) -> Cause | None:
        """Return why the connection has waited too long, if it has."""

    def take_turn(self) -> None:
        """Go on with the requests that were sent ahead."""

    def cut(self) -> None:
        """Close the connection at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one address; see :class:`httpsettings.HttpSettings`."""

    settings: httpsettings.HttpSettings
    max_connections: int


class Guard:
    """The connections to one address; ``name`` is its label in metrics.

    All its connections read into ``buffer``, one after the other.
    """

    def __init__(
        self, name: str, limits: Limits, counters: metrics.Metrics
    ) -> None:
        self.settings = limits.settings
        self.buffer = memoryview(bytearray(_READ_BYTES))
        self.held_bytes = 0
        self._name = name
        self._max_connections = limits.max_connections
        self._metrics = counters
        self._connections: set[Connection] = set()
        self._watched: set[Connection] = set()
        self._check_timer: asyncio.TimerHandle | None = None
        self._turns: collections.deque[Connection] = collections.deque()

    def admit(self, connection: Connection) -> bool:
        """Add a connection, if need be in the place of others.

        Return False if there is no place.
        """
        if len(self._connections) >= self._max_connections:
            self._free_connections()
            if len(self._connections) >= self._max_connections:
                self.report(connection, Cause.TOO_MANY)
                return False
        self._connections.add(connection)
        return True

    def remove(self, connection: Connection) -> None:
        """Forget a connection that has ended."""
        self._connections.discard(connection)
        self._watched.discard(connection)
        self.release(connection)

    def hold(self, connection: Connection, size: int) -> bool:
        """Set what the request of a connection takes, in bytes.

        Return False if there is no room for it, or none any more.
        """
        self.held_bytes += size - connection.held_bytes
        connection.held_bytes = size
        if self.held_bytes <= self.settings.max_held_bytes:
            return True
        return self._free_bytes(connection)

    def release(self, connection: Connection) -> None:
        """Note that a connection's request takes nothing any more."""
        self.held_bytes -= connection.held_bytes
        connection.held_bytes = 0

    def watch(self, connection: Connection) -> None:
        """Check from time to time whether a connection waits too long."""
        self._watched.add(connection)
        if self._check_timer is None:
            self._start_timer()

    def unwatch(self, connection: Connection) -> None:
        """End the checks of a connection."""
        self._watched.discard(connection)

    def queue_turn(self, connection: Connection) -> None:
        """Let a connection go on with requests that were sent ahead.

        One does so in each round of the event loop, so that what has no
        end leaves the process time for all else.
        """
        if not self._turns:
            asyncio.get_running_loop().call_soon(self._give_turn)
        self._turns.append(connection)

    def _give_turn(self) -> None:
        connection = self._turns.popleft()
        if self._turns:
            asyncio.get_running_loop().call_soon(self._give_turn)
        connection.take_turn()

    def report(self, connection: Connection, cause: Cause) -> None:
        """Count and log that a connection was refused or closed."""
        label = cause.name.lower()
        self._metrics.count(
            metrics.labelled('connections_cut', at=self._name, cause=label)
        )
        _log.warning(
            'connection cut',
            at=self._name,
            peer=connection.peer,
            why=cause.value,
        )

    def _start_timer(self) -> None:
        loop = asyncio.get_running_loop()
        self._check_timer = loop.call_later(_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        self._check_timer = None
        now = clock.monotonic()
        for connection in list(self._watched):
            cause = connection.find_timeout(now)
            if cause is not None:
                self._cut(connection, cause)
        if self._watched:
            self._start_timer()

    def _cut(self, connection: Connection, cause: Cause) -> None:
        self.remove(connection)
        self.report(connection, cause)
        connection.cut()

    def _free_connections(self) -> None:
        """Close the connections that have waited longest for their peers.

        Those whose answer is on its way come last.
        """
        waiting = [
            (item.phase is Phase.READER, item.waiting_since, item)
            for item in self._connections
            if item.phase is not Phase.ANSWER
        ]
        waiting.sort(key=lambda entry: entry[:2])
        count = max(1, int(self._max_connections * _FREED_SHARE))
        for _, _, connection in waiting[:count]:
            self._cut(connection, Cause.TOO_MANY)

    def _free_bytes(self, newest: Connection) -> bool:
        """Cut the largest unfinished requests; return whether there is room.

        Not that of ``newest``: its own caller ends it if need be.
        """
        limit = self.settings.max_held_bytes
        target = limit - int(limit * _FREED_SHARE)
        for connection in self._list_unfinished():
            if self.held_bytes <= target:
                break
            if connection is newest:
                return False
            self._cut(connection, Cause.MEMORY)
        return self.held_bytes <= limit

    def _list_unfinished(self) -> abc.Sequence[Connection]:
        """Return the connections with unfinished requests, largest first."""
        unfinished = [
            item
            for item in self._connections
            if item.held_bytes and item.phase in (Phase.HEAD, Phase.BODY)
        ]
        unfinished.sort(key=lambda item: item.held_bytes, reverse=True)
        return unfinished
