"""One process's socket pair on the mesh: it publishes, and hears its peers.

Each process binds one PUB socket and connects one SUB socket to the PUB
sockets of its peers.  Messages may be lost; nothing that must hold rests
on them.
"""

import asyncio
from collections import abc
import typing

import msgspec
import zmq
import zmq.asyncio

from primroselock import logs
from primroselock.mesh import messages
from primroselock import options

_HIGH_WATER_MESSAGES: typing.Final = 1000
_log: typing.Final = logs.get('mesh')

Handler = abc.Callable[[messages.Message], None]


class MeshNode:
    """Publishes this process's messages and hears those of its peers."""

    def __init__(self, settings: options.Settings) -> None:
        self._context = zmq.asyncio.Context()
        self._publisher = self._open(zmq.PUB)
        self._subscriber = self._open(zmq.SUB)
        self._subscriber.setsockopt(zmq.SUBSCRIBE, b'')
        self._publisher.bind(f'tcp://{settings.mesh.bind}')
        endpoint = self._publisher.getsockopt_string(zmq.LAST_ENDPOINT)
        self.address = endpoint.removeprefix('tcp://')
        self._peers: set[str] = set()
        self._handlers: list[Handler] = []
        self.set_peers(settings.mesh.peers)

    def _open(self, kind: int) -> zmq.asyncio.Socket:
        socket = self._context.socket(kind)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.SNDHWM, _HIGH_WATER_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, _HIGH_WATER_MESSAGES)
        return socket

    def set_peers(self, addresses: abc.Iterable[str]) -> None:
        """Hear exactly the processes at ``addresses``."""
        wanted = {address for address in addresses if address}
        wanted.discard(self.address)
        for address in wanted - self._peers:
            self._subscriber.connect(f'tcp://{address}')
        for address in self._peers - wanted:
            self._subscriber.disconnect(f'tcp://{address}')
        self._peers = wanted

    def add_handler(self, handler: Handler) -> None:
        """Call ``handler`` with each message that is heard."""
        self._handlers.append(handler)

    async def publish(self, message: messages.Message) -> None:
        """Send ``message`` to whoever hears this process."""
        await self._publisher.send(msgspec.msgpack.encode(message))

    async def run(self) -> None:
        """Hear messages until cancelled."""
        while True:
            frame = await self._subscriber.recv()
            try:
                message = msgspec.msgpack.decode(frame, type=messages.Message)
            except msgspec.MsgspecError as error:
                _log.warning('message not understood', error=str(error))
                continue
            for handler in self._handlers:
                handler(message)

    async def aclose(self) -> None:
        """Close the sockets."""
        await asyncio.sleep(0)
        self._context.destroy(linger=0)
