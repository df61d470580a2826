"""ZeroMQ sockets of one process on the mesh.

Each process binds one ROUTER socket and connects a DEALER socket to each
of its peers.  Beacons and hints are sent on the DEALERs.  A query is sent
on one of them and its reply returns on the same connection, so that a
process can query peers that do not know it yet.  Messages may be lost: a
socket that cannot send one at once drops it, and no guarantee depends on
them.

With keys in the settings every connection is encrypted, and only
processes with the deployment's own key pair are accepted.
"""

import asyncio
from collections import abc
import typing

import msgspec
import result
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from primroselock import backgroundtasks
from primroselock import decoding
from primroselock import logs
from primroselock.mesh import messages
from primroselock import options

_HIGH_WATER_MESSAGES: typing.Final = 64
_MAX_MESSAGE_BYTES: typing.Final = 4 * 1024 * 1024
_RECONNECT_MS: typing.Final = 100
_MAX_RECONNECT_MS: typing.Final = 2000
_HEARTBEAT_MS: typing.Final = 5000
"""Interval of ZeroMQ's own heartbeats on a connection."""

_WILDCARD_HOSTS: typing.Final = ('0.0.0.0', '[::]')
_log: typing.Final = logs.get('mesh')

Handler = abc.Callable[[messages.Message], None]
Responder = abc.Callable[[messages.ConfigQuery], messages.ConfigReply | None]


class _CurveKeyVerifier:
    """Accepts only connections with the deployment's public key."""

    def __init__(self, public_key: str) -> None:
        self._public_key = public_key.encode()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether ``key``, in Z85, is the deployment's key."""
        return key == self._public_key


_KIND: typing.Final[typing.Any] = messages.Message
_decode_message: typing.Final[decoding.Reader[messages.Message]] = (
    decoding.msgpack_reader(_KIND)
)


def read_message(frame: bytes) -> messages.Message | None:
    """Return the message in a frame; None, with a log line, if none is."""
    decoded = _decode_message(frame)
    if isinstance(decoded, result.Err):
        _log.warning(
            'mesh message dropped: cannot be decoded', why=decoded.err_value
        )
        return None
    return decoded.ok_value


class MeshNode:
    """Sends this process's messages and receives those of its peers."""

    def __init__(self, settings: options.Settings) -> None:
        self._settings = settings.mesh
        self._context = zmq.asyncio.Context()
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None
        self._authenticator = self._start_authenticator()
        self._router = self._open_socket(zmq.ROUTER)
        if settings.mesh.secret_key:
            self._router.curve_server = True
        self._router.bind(f'tcp://{settings.mesh.bind}')
        endpoint = self._router.getsockopt_string(zmq.LAST_ENDPOINT)
        bound = endpoint.removeprefix('tcp://')
        self.address = bound
        self.sent_bytes = 0
        self.received_bytes = 0
        self._dealers_by_address: dict[str, zmq.asyncio.Socket] = {}
        self._readers_by_address: dict[str, asyncio.Task[None]] = {}
        self._odd_addresses: set[str] = set()
        self._handlers: list[Handler] = []
        self._responder: Responder | None = None
        self.set_peers(settings.mesh.peers)

    def _start_authenticator(
        self,
    ) -> zmq.auth.asyncio.AsyncioAuthenticator | None:
        if not self._settings.secret_key:
            return None
        authenticator = zmq.auth.asyncio.AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(
            '*', _CurveKeyVerifier(self._settings.public_key)
        )
        return authenticator

    def _open_socket(self, socket_type: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(socket_type)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, _HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, _MAX_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        if self._settings.secret_key:
            socket.curve_publickey = self._settings.public_key.encode()
            socket.curve_secretkey = self._settings.secret_key.encode()
        return socket

    @property
    def peers(self) -> frozenset[str]:
        """The addresses that messages are sent to."""
        return frozenset(self._dealers_by_address)

    @property
    def advertised_address(self) -> str:
        """The bound address; empty if it is a wildcard address."""
        host = self.address.rpartition(':')[0]
        return '' if host in _WILDCARD_HOSTS else self.address

    def set_peers(self, addresses: abc.Iterable[str]) -> None:
        """Connect to exactly the processes at ``addresses``."""
        wanted = {address for address in addresses if address}
        wanted.discard(self.address)
        for address in wanted - self._dealers_by_address.keys():
            self._connect(address)
        for address in self._dealers_by_address.keys() - wanted:
            self._readers_by_address.pop(address).cancel()
            self._dealers_by_address.pop(address).close()

    def _connect(self, address: str) -> None:
        dealer = self._open_socket(zmq.DEALER)
        dealer.setsockopt(zmq.IMMEDIATE, 1)
        dealer.setsockopt(zmq.RECONNECT_IVL, _RECONNECT_MS)
        dealer.setsockopt(zmq.RECONNECT_IVL_MAX, _MAX_RECONNECT_MS)
        if self._settings.secret_key:
            dealer.curve_serverkey = self._settings.public_key.encode()
        try:
            dealer.connect(f'tcp://{address}')
        except zmq.ZMQError as error:
            # One odd row of the VM list must not end every process.
            dealer.close()
            if address not in self._odd_addresses:
                self._odd_addresses.add(address)
                _log.error(
                    'mesh address not usable',
                    address=address,
                    error=str(error),
                )
            return
        self._dealers_by_address[address] = dealer
        self._readers_by_address[address] = backgroundtasks.start(
            self._read_replies(dealer), f'mesh replies of {address}'
        )

    def add_handler(self, handler: Handler) -> None:
        """Call ``handler`` with each received message except queries."""
        self._handlers.append(handler)

    def set_responder(self, responder: Responder) -> None:
        """Let ``responder`` create the replies to queries of others."""
        self._responder = responder

    async def publish(self, message: messages.Message) -> None:
        """Send ``message`` to every peer whose socket accepts it now."""
        frame = msgspec.msgpack.encode(message)
        for dealer in list(self._dealers_by_address.values()):
            await self._send(dealer, [frame])

    async def send_query(
        self, address: str, query: messages.ConfigQuery
    ) -> None:
        """Send a query to ``address``; do nothing if it is not a peer."""
        dealer = self._dealers_by_address.get(address)
        if dealer is not None:
            await self._send(dealer, [msgspec.msgpack.encode(query)])

    async def _send(
        self, socket: zmq.asyncio.Socket, frames: list[bytes]
    ) -> None:
        try:
            await socket.send_multipart(frames, zmq.NOBLOCK)
        except zmq.ZMQError:
            # Not connected or the queue is full: the message is dropped.
            return
        self.sent_bytes += len(frames[-1])

    async def run(self) -> None:
        """Receive and handle messages until cancelled."""
        while True:
            identity, frame = await self._receive(self._router)
            message = read_message(frame)
            if isinstance(message, messages.ConfigQuery):
                await self._answer_query(identity, message)
            elif message is not None:
                self._handle(message)

    async def _read_replies(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            _, frame = await self._receive(dealer)
            message = read_message(frame)
            if message is not None:
                self._handle(message)

    async def _receive(
        self, socket: zmq.asyncio.Socket
    ) -> tuple[bytes, bytes]:
        frames = await socket.recv_multipart()
        self.received_bytes += len(frames[-1])
        return frames[0], frames[-1]

    async def _answer_query(
        self, identity: bytes, query: messages.ConfigQuery
    ) -> None:
        if self._responder is None:
            return
        reply = self._responder(query)
        if reply is not None:
            frame = msgspec.msgpack.encode(reply)
            await self._send(self._router, [identity, frame])

    def _handle(self, message: messages.Message) -> None:
        """Call the handlers; one that fails ends no loop of this process."""
        for handler in self._handlers:
            try:
                handler(message)
            except MemoryError:
                raise
            except Exception as error:
                _log.error(
                    'mesh message left out: not applied',
                    kind=type(message).__name__,
                    exc_info=error,
                )

    async def aclose(self) -> None:
        """Close the sockets."""
        for reader in self._readers_by_address.values():
            reader.cancel()
        # Lets the cancelled readers end before their sockets are closed.
        await asyncio.sleep(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)
