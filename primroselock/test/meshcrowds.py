"""A gateway process, and crowds that send to its address for its peers.

They speak the wire format of ZeroMQ (ZMTP 3.0) by hand, as far as they speak
it at all, and so send what the library would never send.
"""

import asyncio
from collections import abc
import time
import typing

import msgspec

from primroselock.mesh import messages
from primroselock.mesh import node
from primroselock.test import builders
from primroselock.test import crowds
from standins import launch

NAME: typing.Final = 'gateway-a'
MAX_SOCKETS: typing.Final = 160
"""Descriptors of sockets that the process may have."""

_LOWERED: typing.Final = {
    'max_connections': '32',
    'max_message_bytes': '262144',
    'max_held_bytes': '4194304',
    'max_members': '256',
    'handshake_timeout_s': '5',
    'message_timeout_s': '10',
}
_SECTIONS_PER_PATCH: typing.Final = 1500
_PATCHES: typing.Final = 3
_ANSWER_S: typing.Final = 20.0
_POLL_INTERVAL_S: typing.Final = 0.05

_SIGNATURE: typing.Final = b'\xff' + bytes(8) + b'\x7f'
_GREETING_BYTES: typing.Final = 64
_MORE: typing.Final = 1
_LONG: typing.Final = 2
_COMMAND: typing.Final = 4


def greeting(mechanism: bytes = b'NULL') -> bytes:
    """Return the first bytes of a connection."""
    known = _SIGNATURE + b'\x03\x00' + mechanism.ljust(20, b'\x00')
    return known.ljust(_GREETING_BYTES, b'\x00')


def frame(body: bytes, flags: int = 0) -> bytes:
    """Return a frame with its length before it."""
    return start_of_frame(len(body), flags) + body


def start_of_frame(size: int, flags: int = 0) -> bytes:
    """Return what stands before the ``size`` bytes of a frame."""
    if size < 256 and not flags & _LONG:
        return bytes([flags, size])
    return bytes([flags | _LONG]) + size.to_bytes(8, 'big')


def part(body: bytes) -> bytes:
    """Return a frame that says that others of its message follow."""
    return frame(body, _MORE)


def start_of_command(size: int) -> bytes:
    """Return what stands before the ``size`` bytes of a command."""
    return start_of_frame(size, _COMMAND)


def ready(socket_type: bytes) -> bytes:
    """Return the command that ends a handshake without keys."""
    size = len(socket_type).to_bytes(4, 'big')
    name = b'\x0bSocket-Type'
    return frame(b'\x05READY' + name + size + socket_type, _COMMAND)


def beacon(vm_id: str, address: str = '') -> bytes:
    """Return a beacon as a frame."""
    message = messages.Beacon(
        vm_id, 'i1', 1, 'gateway', 'a', 1, 0.1, address=address
    )
    return frame(msgspec.msgpack.encode(message))


def query() -> bytes:
    """Return, as a frame, a query for the whole configuration."""
    return frame(msgspec.msgpack.encode(messages.ConfigQuery(1, 0)))


class Gateway:
    """A gateway with the stand-in of the platform, both on loopback."""

    def __init__(self, keys: abc.Mapping[str, str]) -> None:
        """Start both; ``keys`` are settings of the section ``mesh``."""
        self._keys = dict(keys)
        self.cluster = launch.Cluster(['a'])
        try:
            self.cluster.start_platform()
            self.process = self.cluster.start_daemon(
                NAME, 'gateway', 'a', {'mesh': {**self._keys, **_LOWERED}}
            )
        except BaseException:
            self.cluster.close()
            raise

    @property
    def mesh_address(self) -> str:
        """Where the gateway listens for its peers."""
        return self.cluster.mesh_by_name[NAME]

    def write_a_large_configuration(self) -> None:
        """Submit patches, so that an answer to a query is large."""
        for number in range(_PATCHES):
            text = ''.join(
                f'[zone z{number}-{each}]\nracks = {each}\n'
                for each in range(_SECTIONS_PER_PATCH)
            )
            answer = self.cluster.submit_patch(NAME, text)
            assert answer.status < 300, answer

    def peak_kb(self) -> int:
        """Return the highest resident memory of the process so far."""
        return crowds.read_peak_kb(self.process.pid)

    def count_sockets(self) -> int:
        """Return the number of sockets that the process has open."""
        return crowds.count_sockets_of(self.process.pid)

    def ask(self) -> int:
        """Return the status of an ordinary request."""
        return launch.call(
            self.cluster.addresses_by_name[NAME],
            'GET',
            '/v1/config',
            token=launch.OPERATOR_TOKEN,
            timeout_s=_ANSWER_S,
        ).status

    async def is_answering_peers(self) -> bool:
        """Return whether an ordinary peer gets an answer to a query."""
        sections = '\n'.join(f'{k} = {v}' for k, v in self._keys.items())
        peer = node.MeshNode(builders.build_settings(f'[mesh]\n{sections}'))
        answers: list[messages.Message] = []
        peer.add_handler(answers.append)
        try:
            peer.set_peers([self.mesh_address])
            until = time.monotonic() + _ANSWER_S
            while not answers and time.monotonic() < until:
                asked = messages.ConfigQuery(1, 0)
                await peer.send_query(self.mesh_address, asked)
                await asyncio.sleep(_POLL_INTERVAL_S)
        finally:
            await peer.aclose()
        return bool(answers)


class Peers(crowds.Clients):
    """Clients that come through the handshake before they go on."""

    async def begin(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Send greeting and handshake as a peer without keys does."""
        await shake_hands(reader, writer, b'DEALER')


class NewVms(Peers):
    """Peers of which each sends beacons of ever new VMs."""

    def blocks(self) -> abc.Iterator[bytes]:
        """Return beacons, several at a time."""
        number = 0
        for _ in range(self.crowd.most_bytes // crowds.BLOCK_BYTES):
            block = b''
            while len(block) < crowds.BLOCK_BYTES:
                number += 1
                block += beacon(f'{id(self)}-{number}'.ljust(1000, 'x'))
            yield block


async def shake_hands(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    socket_type: bytes,
) -> None:
    """Come through the handshake of a connection without keys."""
    writer.write(greeting())
    await reader.readexactly(_GREETING_BYTES)
    writer.write(ready(socket_type))
    _, size = await reader.readexactly(2)
    await reader.readexactly(size)


class HostilePeer:
    """Listens, and sends parts without end to each daemon that connects."""

    def __init__(self) -> None:
        self.address = ''
        self.connections = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a loopback address."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'
        self._server = server

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.append(writer)
        block = part(b'x' * 8000) * 8
        try:
            await shake_hands(reader, writer, b'ROUTER')
            for _ in range(crowds.GROWTH_KB * 1024 * 2 // len(block)):
                writer.write(block)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            # The daemon closed the connection, as it should.
            pass

    async def close(self) -> None:
        """Close all connections."""
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.transport.abort()
