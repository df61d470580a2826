"""A node process, and crowds of clients that send without end to it.

The clients open their connections, send and never read.  Each stops once it
has sent ``Crowd.most_bytes``, its connection was closed, or the node has read
nothing more from it for a while.
"""

import asyncio
from collections import abc
import dataclasses
import pathlib
import random
import signal
import time
import typing

from primroselock import waits
from standins import httpmessages
from standins import launch
from standins import nodes
from standins import operatorrows
from standins import rowstore

BYTES_PER_KB: typing.Final = 1024
MEMORY_MB: typing.Final = 96
MAX_DESCRIPTORS: typing.Final = 360
FILE_DESCRIPTORS: typing.Final = 200
"""Descriptors of a VM that are reserved for files."""

SOCKETS: typing.Final = MAX_DESCRIPTORS - FILE_DESCRIPTORS

LIMITS: typing.Final = (
    f'limits.memory_mb={MEMORY_MB}',
    f'limits.max_fds={MAX_DESCRIPTORS}',
)
GROWTH_KB: typing.Final = 24 * BYTES_PER_KB
"""By how much the memory of a node may exceed that before the crowd."""

MAX_HEAD_BYTES: typing.Final = 16_384
MAX_BODY_BYTES: typing.Final = 262_144
"""The platform's limits for clients."""

BLOCK_BYTES: typing.Final = 65_536
_BLOCKED_S: typing.Final = 2.0
_CUT_S: typing.Final = 8.0
"""When a connection counts as left open; no timeout of a node is shorter."""

_START_S: typing.Final = 30.0
_ANSWER_S: typing.Final = 20.0
_POLL_INTERVAL_S: typing.Final = 0.05
_JOB_ID: typing.Final = '0123456789abcdef'


@dataclasses.dataclass(frozen=True, slots=True)
class Crowd:
    """Clients that each send ``start``, then ``more`` over and over."""

    start: bytes
    more: bytes = b''
    clients: int = 12
    most_bytes: int = 4 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Sent:
    """What became of one client's connection."""

    sent_bytes: int
    was_cut: bool


def head(method: str, path: str, *lines: str) -> bytes:
    """Return the head of a request with the key of an account."""
    text = '\r\n'.join(
        (
            f'{method} {path} HTTP/1.1',
            f'Host: {operatorrows.HOST}',
            f'Authorization: Token {operatorrows.key(0)}',
            *lines,
        )
    )
    return f'{text}\r\n\r\n'.encode()


def open_head(method: str = 'GET') -> bytes:
    """Return a head that has not ended."""
    return head(method, job_path())[:-2]


def job_path() -> str:
    """Return the path of a job."""
    return f'{operatorrows.prefix(0)}{_JOB_ID}'


def chunked(*lines: str) -> bytes:
    """Return the head of a request with a body in chunks."""
    return head('POST', job_path(), 'Transfer-Encoding: chunked', *lines)


def read_peak_kb(pid: int) -> int:
    """Return the highest resident memory of a process so far."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(status.partition('VmHWM:')[2].split()[0])


def count_sockets_of(pid: int) -> int:
    """Return the number of sockets that a process has open."""
    count = 0
    for path in pathlib.Path(f'/proc/{pid}/fd').iterdir():
        try:
            count += str(path.readlink()).startswith('socket:')
        except FileNotFoundError:
            # It was closed in the meantime.
            pass
    return count


async def ask_until_served(ask: abc.Callable[[], abc.Awaitable[int]]) -> int:
    """Ask again while a process says that it cannot serve now.

    Return the last status; 0 if a connection ended without an answer.
    """
    until = time.monotonic() + _ANSWER_S
    status = 0
    while status != 200 and time.monotonic() < until:
        try:
            status = await ask()
        except OSError:
            status = 0
        await asyncio.sleep(_POLL_INTERVAL_S)
    return status


async def wait_until(holds: abc.Callable[[], bool]) -> None:
    """Wait until something holds.

    Raises :class:`TimeoutError` if it does not within the time of an answer.
    """
    async with asyncio.timeout(_ANSWER_S):
        while not holds():
            await asyncio.sleep(_POLL_INTERVAL_S)


class NodeProcess:
    """A node with the stand-in of the store, both on loopback."""

    def __init__(
        self, folder: pathlib.Path, limits: tuple[str, ...] = LIMITS
    ) -> None:
        self._folder = folder
        self._limits = limits
        self._servers: list[asyncio.Server] = []
        self._running: asyncio.Task[None] | None = None
        self.node: nodes.Node

    async def start(self) -> None:
        """Start both; return once the node answers an ordinary request."""
        store = rowstore.RowStore(random.Random(0))
        operatorrows.Operator(store).write()

        async def handle(message: httpmessages.Message) -> bytes | None:
            try:
                return await store.handle(0, message)
            except asyncio.CancelledError:
                # The test has ended, and the node with it.
                return None

        address = await httpmessages.serve(handle, self._servers)
        self.node = nodes.Node(0, address, self._folder, self._limits)
        self._running = asyncio.create_task(self.node.run_once())
        until = time.monotonic() + _START_S
        while time.monotonic() < until:
            try:
                if await self.ask() == 200:
                    return
            except OSError:
                # It does not listen yet.
                pass
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError('the node has not started')

    async def close(self) -> None:
        """End both."""
        while self.node.life is not None:
            self.node.send(signal.SIGKILL)
            await asyncio.sleep(_POLL_INTERVAL_S)
        for server in self._servers:
            server.close()
        if self._running is not None:
            await waits.cancel_tasks([self._running])

    @property
    def is_alive(self) -> bool:
        """Whether the process that was started still runs."""
        return self.node.life is not None and len(self.node.lives) == 1

    def peak_kb(self) -> int:
        """Return the highest resident memory of the process so far."""
        return read_peak_kb(self.node.lives[0].pid)

    def count_sockets(self) -> int:
        """Return the number of sockets that the process has open."""
        return count_sockets_of(self.node.lives[0].pid)

    async def ask(self) -> int:
        """Return the status of an ordinary request on a new connection."""
        answer = await asyncio.to_thread(
            launch.call,
            self.node.address,
            'GET',
            operatorrows.prefix(0),
            headers={
                'Host': operatorrows.HOST,
                'Authorization': f'Token {operatorrows.key(0)}',
            },
            timeout_s=_ANSWER_S,
        )
        return answer.status

    async def ask_until_served(self) -> int:
        """Ask again while the node says that it cannot serve now.

        Return the last status; 0 if a connection ended without an answer.
        """
        return await ask_until_served(self.ask)

    async def talk(
        self, data: bytes, answers: int, closes: bool = False
    ) -> list[int]:
        """Send ``data`` on one connection; return so many statuses.

        Fewer if the node closes; ``closes``: nothing is sent afterwards.
        """
        host, _, port = self.node.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(data)
            if closes:
                writer.write_eof()
            statuses: list[int] = []
            async with asyncio.timeout(_ANSWER_S):
                while len(statuses) < answers:
                    answer = await httpmessages.read(reader)
                    if answer is None:
                        break
                    statuses.append(int(answer.first_line.split()[1]))
            return statuses
        finally:
            writer.close()


class Clients:
    """A crowd whose connections stay open until it is closed."""

    def __init__(self, crowd: Crowd, address: str) -> None:
        self.crowd = crowd
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._writers: list[asyncio.StreamWriter] = []

    async def send(self, until_cut: bool = False) -> list[Sent]:
        """Send at the same time; return what became of each.

        ``until_cut``: all go on for as long as they are let, but not for so
        long that they could be cut for being late.
        """
        each = (self._send_one(until_cut) for _ in range(self.crowd.clients))
        return list(await asyncio.gather(*each))

    async def _send_one(self, until_cut: bool) -> Sent:
        sent = 0
        try:
            reader, writer = await asyncio.open_connection(
                self._host, self._port, limit=1
            )
            self._writers.append(writer)
            await self.begin(reader, writer)
            async with asyncio.timeout(_CUT_S if until_cut else None):
                for block in self.blocks():
                    writer.write(block)
                    async with asyncio.timeout(
                        None if until_cut else _BLOCKED_S
                    ):
                        await writer.drain()
                    sent += len(block)
                if until_cut:
                    await self._send_on(writer)
        except TimeoutError:
            return Sent(sent, was_cut=False)
        except (OSError, asyncio.IncompleteReadError):
            return Sent(sent, was_cut=True)
        return Sent(sent, was_cut=writer.is_closing())

    async def _send_on(self, writer: asyncio.StreamWriter) -> None:
        """Send a little more at a time until the connection has ended.

        What was sent so far may still wait in the kernel for a process that
        has had no time.
        """
        while not writer.is_closing():
            writer.write(self.crowd.more)
            await writer.drain()
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def begin(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Do what comes before the first block."""

    def blocks(self) -> abc.Iterator[bytes]:
        """Return what each sends."""
        crowd = self.crowd
        yield crowd.start
        if not crowd.more:
            return
        block = crowd.more * max(1, BLOCK_BYTES // len(crowd.more))
        for _ in range(crowd.most_bytes // len(block)):
            yield block

    def close(self) -> None:
        """Close the connections without waiting."""
        for writer in self._writers:
            writer.transport.abort()
