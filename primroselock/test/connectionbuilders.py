"""Connections without sockets, and an application that records its calls."""

import asyncio
import typing

import uvicorn
from uvicorn import server as uvicorn_server

from primroselock import boundedhttp
from primroselock import connectionlimits
from primroselock import httpsettings
from primroselock import metrics

_PEER: typing.Final = ('192.0.2.1', 40000)


class Transport(asyncio.Transport):
    """Keeps what is written; the peer reads it unless ``is_stuck``."""

    def __init__(self) -> None:
        super().__init__({'peername': _PEER, 'sockname': _PEER})
        self.protocol: asyncio.BaseProtocol
        self.written = b''
        self.is_stuck = False
        self._is_reading = True
        self.was_aborted = False
        self._unsent = 0
        self._is_closing = False

    def write(self, data: typing.Any) -> None:
        """Take bytes."""
        self.written += bytes(data)
        if self.is_stuck:
            self._unsent += len(data)
            self.protocol.pause_writing()

    def read_answers(self) -> None:
        """Let the peer read all that waits for it."""
        self.is_stuck = False
        self._unsent = 0
        self.protocol.resume_writing()

    def read_a_byte(self) -> None:
        """Let the peer read one byte of what waits for it."""
        self._unsent -= 1

    def get_write_buffer_size(self) -> int:
        """Return how many bytes wait for the peer."""
        return self._unsent

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Any byte that waits counts."""

    def pause_reading(self) -> None:
        """Note that nothing is read."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Note that bytes are read again."""
        self._is_reading = True

    def is_reading(self) -> bool:
        """Return whether bytes are read."""
        return self._is_reading

    def is_closing(self) -> bool:
        """Return whether the connection ends."""
        return self._is_closing

    def close(self) -> None:
        """End the connection, once all is sent."""
        if not self._is_closing:
            self._is_closing = True
            if not self._unsent:
                self._lose()

    def abort(self) -> None:
        """End the connection at once."""
        if not self.was_aborted:
            self.was_aborted = self._is_closing = True
            self._lose()

    def _lose(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_soon(self.protocol.connection_lost, None)


class Application:
    """Records requests; answers 200 with the number of bytes of the body.

    A path with ``wait`` is answered once :attr:`may_answer` is set, and one
    with ``early`` without reading the body.
    """

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.begun: list[str] = []
        self.bodies: list[bytes] = []
        self.fields: list[list[tuple[bytes, bytes]]] = []
        self.disconnects = 0

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        self.begun.append(scope['path'])
        self.fields.append(scope['headers'])
        body, more = b'', 'early' not in scope['path']
        while more:
            message = await receive()
            if message['type'] == 'http.disconnect':
                self.disconnects += 1
                return
            body += message['body']
            more = message['more_body']
        if 'wait' in scope['path']:
            await self.may_answer.wait()
        self.bodies.append(body)
        size = b'%d' % len(body)
        fields = [(b'content-length', b'%d' % len(size))]
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': fields})
        await send({'type': 'http.response.body', 'body': size})


class Server:
    """An application behind a guard, to which connections are made."""

    def __init__(
        self, settings: httpsettings.HttpSettings, application: Application
    ) -> None:
        self.metrics = metrics.Metrics()
        self.guard = connectionlimits.Guard(
            'front',
            connectionlimits.Limits(settings, settings.max_connections),
            self.metrics,
        )
        self._config = uvicorn.Config(
            application, ws='none', lifespan='off', log_config=None
        )
        self._state = uvicorn_server.ServerState()
        self._application = application
        self._peers: list[Peer] = []

    def connect(self) -> 'Peer':
        """Open a connection."""
        connection = boundedhttp.Connection(
            config=self._config,
            server_state=self._state,
            app_state={},
            guard=self.guard,
        )
        self._peers.append(Peer(connection))
        return self._peers[-1]

    async def close(self) -> None:
        """Answer what waits, and end all connections."""
        self._application.may_answer.set()
        await settle()
        for peer in self._peers:
            peer.transport.abort()
        await settle()

    def count(self, cause: connectionlimits.Cause) -> int:
        """Return how many connections were cut for a cause."""
        name = metrics.labelled(
            'connections_cut', at='front', cause=cause.name.lower()
        )
        return self.metrics.counts_by_name.get(name, 0)


class Peer:
    """The client's end of a connection."""

    def __init__(self, connection: boundedhttp.Connection) -> None:
        self.transport = Transport()
        self.connection = connection
        self.transport.protocol = connection
        connection.connection_made(self.transport)

    def send(self, data: bytes) -> bytes:
        """Send bytes; return those that the server does not read now."""
        while data and self.transport.is_reading():
            if self.transport.is_closing():
                break
            buffer = self.connection.get_buffer(-1)
            size = min(len(buffer), len(data))
            buffer[:size] = data[:size]
            self.connection.buffer_updated(size)
            data = data[size:]
        return data

    async def send_all(self, data: bytes) -> None:
        """Send bytes as the server reads them, until it closes."""
        while data and not self.transport.is_closing():
            data = self.send(data)
            await settle()
        await settle()

    def finish(self) -> None:
        """Send nothing more, but read on, as asyncio tells a protocol."""
        if not self.connection.eof_received():
            self.transport.close()

    @property
    def statuses(self) -> list[int]:
        """The statuses of the answers so far."""
        parts = self.transport.written.split(b'HTTP/1.1 ')[1:]
        return [int(part[:3]) for part in parts]


async def settle() -> None:
    """Let the event loop go on until nothing more happens at once."""
    for _ in range(30):
        await asyncio.sleep(0)
