"""ZeroMQ sockets of one process on the mesh.

Each process has one ROUTER socket and a DEALER socket for each of its
peers.  Beacons and hints are sent on the DEALERs.  A query is sent on one of
them and its reply returns on the same connection, so that a process can
query peers that do not know it yet.  Messages may be lost: a socket that
cannot send one at once drops it, and no guarantee depends on them.

The sockets listen to this process alone; :mod:`primroselock.mesh.links`
joins them to the connections with others and bounds these.

With keys in the settings every connection is encrypted, and only
processes with the deployment's own key pair are accepted.
"""

import asyncio
from collections import abc
import os
import secrets
import typing

import msgspec
import result
import zmq
import zmq.asyncio
import zmq.auth.asyncio

from primroselock import backgroundtasks
from primroselock import decoding
from primroselock import logs
from primroselock.mesh import framing
from primroselock.mesh import links
from primroselock.mesh import messages
from primroselock.mesh import relay
from primroselock import metrics
from primroselock import options
from primroselock import sockets

_HIGH_WATER_MESSAGES: typing.Final = 64
_NO_LIMIT: typing.Final = 0
"""The relays bound what arrives.

The library ends the process by an assertion if a connection ends while it
has stopped to read at its own limit.
"""

_MS_PER_S: typing.Final = 1000
_NAME_BYTES: typing.Final = 16
_MAX_ODD_ADDRESSES: typing.Final = 256
"""Addresses that are logged once; then they are forgotten."""

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


class _Inbox:
    """A socket, and the abstract address that it listens to."""

    def __init__(self, socket: zmq.asyncio.Socket, path: str) -> None:
        self.path = path
        self._socket = socket

    def has_messages(self) -> bool:
        """Return whether messages wait to be read."""
        events = self._socket.get(zmq.EVENTS)
        return bool(int(events) & zmq.POLLIN)


class MeshNode:
    """Sends this process's messages and receives those of its peers."""

    def __init__(
        self,
        settings: options.Settings,
        counters: metrics.Metrics | None = None,
    ) -> None:
        """Listen; connections are accepted once it runs.

        Raises :class:`errors.CommandError` if it cannot listen.
        """
        self._settings = settings.mesh
        self._metrics = counters or metrics.Metrics()
        self._listener = sockets.open_listener(settings.mesh.bind)
        self.address = sockets.bound_address(self._listener)
        self._context = zmq.asyncio.Context()
        self._authenticator: zmq.auth.asyncio.AsyncioAuthenticator | None
        self._authenticator = self._start_authenticator()
        self._budget = relay.Budget(settings.mesh.max_held_bytes)
        self._router = self._open_socket(
            zmq.ROUTER, settings.mesh.max_message_bytes
        )
        if settings.mesh.secret_key:
            self._router.curve_server = True
        self._door = links.Door(
            settings.mesh, self._open_inbox(self._router), self._metrics
        )
        self._links_guard = links.guard_links(settings.mesh, self._metrics)
        self.sent_bytes = 0
        self.received_bytes = 0
        # Of the message that is handled now.
        self.message_bytes = 0
        self._dealers_by_address: dict[str, zmq.asyncio.Socket] = {}
        self._inboxes_by_address: dict[str, relay.Counted] = {}
        self._tasks_by_address: dict[str, list[asyncio.Task[None]]] = {}
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

    def _open_socket(
        self, socket_type: int, max_message_bytes: int
    ) -> zmq.asyncio.Socket:
        socket = self._context.socket(socket_type)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, _NO_LIMIT)
        socket.setsockopt(
            zmq.MAXMSGSIZE, max_message_bytes + framing.FRAME_OVERHEAD_BYTES
        )
        socket.setsockopt(
            zmq.HANDSHAKE_IVL,
            int(self._settings.handshake_timeout_s * _MS_PER_S),
        )
        socket.setsockopt(zmq.HEARTBEAT_IVL, _HEARTBEAT_MS)
        if self._settings.secret_key:
            socket.curve_publickey = self._settings.public_key.encode()
            socket.curve_secretkey = self._settings.secret_key.encode()
        return socket

    def _open_inbox(self, socket: zmq.asyncio.Socket) -> relay.Counted:
        """Let a socket listen to this process alone."""
        name = f'primroselock-{secrets.token_hex(_NAME_BYTES)}'
        socket.setsockopt(zmq.IPC_FILTER_PID, os.getpid())
        socket.setsockopt(zmq.BACKLOG, links.BACKLOG)
        socket.bind(f'ipc://@{name}')
        return relay.Counted(_Inbox(socket, f'\0{name}'), self._budget)

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
            for task in self._tasks_by_address.pop(address):
                task.cancel()
            self._inboxes_by_address.pop(address).clear()
            self._dealers_by_address.pop(address).close()

    def _connect(self, address: str) -> None:
        dealer = self._open_socket(zmq.DEALER, links.MAX_REPLY_BYTES)
        if self._settings.secret_key:
            dealer.curve_serverkey = self._settings.public_key.encode()
        inbox = self._open_inbox(dealer)
        try:
            link = links.Link(address, inbox, self._links_guard)
        except ValueError:
            # One odd row of the VM list must not end every process.
            dealer.close()
            self._note_odd(address)
            return
        self._dealers_by_address[address] = dealer
        self._inboxes_by_address[address] = inbox
        self._tasks_by_address[address] = [
            backgroundtasks.start(
                self._read_replies(dealer), f'mesh replies of {address}'
            ),
            backgroundtasks.start(link.run(), f'mesh link to {address}'),
        ]

    def _note_odd(self, address: str) -> None:
        if address in self._odd_addresses:
            return
        if len(self._odd_addresses) >= _MAX_ODD_ADDRESSES:
            self._odd_addresses.clear()
        self._odd_addresses.add(address)
        _log.error('mesh address not usable', address=address)

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
        """Accept connections and handle messages until cancelled."""
        await self._door.open(self._listener)
        while True:
            identity, frame = await self._receive(self._router)
            message = self._read_message(frame)
            if isinstance(message, messages.ConfigQuery):
                await self._answer_query(identity, message)
            elif message is not None:
                self._handle(message)

    async def _read_replies(self, dealer: zmq.asyncio.Socket) -> None:
        while True:
            _, frame = await self._receive(dealer)
            message = self._read_message(frame)
            if message is not None:
                self._handle(message)

    async def _receive(
        self, socket: zmq.asyncio.Socket
    ) -> tuple[bytes, bytes]:
        # A message that waits is returned without a turn for anything else.
        await asyncio.sleep(0)
        frames = await socket.recv_multipart()
        self.received_bytes += len(frames[-1])
        self.message_bytes = len(frames[-1])
        return frames[0], frames[-1]

    def _read_message(self, frame: bytes) -> messages.Message | None:
        message = read_message(frame)
        if message is None:
            self._metrics.count('mesh_messages_dropped')
        return message

    async def _answer_query(
        self, identity: bytes, query: messages.ConfigQuery
    ) -> None:
        if self._responder is None:
            return
        reply = self._responder(query)
        if reply is not None:
            frame = msgspec.msgpack.encode(reply)
            if self._door.may_send(len(frame)):
                await self._send(self._router, [identity, frame])
            else:
                self._metrics.count('mesh_replies_dropped')

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
        """Close the connections and sockets."""
        self.set_peers(())
        self._door.close()
        self._listener.close()
        # Lets the cancelled tasks end before their sockets are closed.
        await asyncio.sleep(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.destroy(linger=0)
