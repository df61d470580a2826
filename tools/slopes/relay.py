"""TCP relays that count the data and the platform calls they forward.

All relays run on one event loop in a thread of the measuring process, so
that counting adds no cost to a measured process.  Byte counts are those of
the TCP streams, without IP and TCP headers.  A *chunk* is the data that
one read returned; it approximates a segment.
"""

import asyncio
from collections import abc
import threading
import typing

_CHUNK_BYTES: typing.Final = 65536
_COUNTED_PATHS: typing.Final = (
    b' /v1/table/read ',
    b' /v1/table/scan ',
    b' /v1/table/transact ',
    b' /v1/vms',
    b' /v1/objects/',
)


class Relay:
    """Forwards connections to ``target`` and counts both directions."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = ''
        self.bytes_sent = 0
        self.bytes_received = 0
        self.chunks = 0
        self.calls_by_path: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None

    @property
    def bytes_total(self) -> int:
        """Bytes of both directions."""
        return self.bytes_sent + self.bytes_received

    def count_calls(self, *names: str) -> int:
        """Return the number of platform calls with these names.

        A name is the last part of a counted path, such as ``scan``.
        """
        return sum(self.calls_by_path.get(name, 0) for name in names)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        host, _, port = self.target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.close()
            return
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, self._count_sent),
                self._forward(target_reader, writer, self._count_received),
            )
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()
            target_writer.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        count: abc.Callable[[bytes], None],
    ) -> None:
        while chunk := await reader.read(_CHUNK_BYTES):
            count(chunk)
            writer.write(chunk)
            await writer.drain()
        # Only this direction has ended; the other may still carry data.
        writer.write_eof()

    def _count_sent(self, chunk: bytes) -> None:
        self.bytes_sent += len(chunk)
        self.chunks += 1
        for path in _COUNTED_PATHS:
            matches = chunk.count(path)
            if matches:
                name = path.decode().strip().rstrip('/').rpartition('/')[2]
                total = self.calls_by_path.get(name, 0) + matches
                self.calls_by_path[name] = total

    def _count_received(self, chunk: bytes) -> None:
        self.bytes_received += len(chunk)
        self.chunks += 1


class RelayHost:
    """The thread and event loop that run all relays."""

    def __init__(self) -> None:
        self._loop = asyncio.new_event_loop()
        self._relays: list[Relay] = []
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()

    def open(self, target: str) -> Relay:
        """Return a listening relay that forwards to ``target``."""
        relay = Relay(target)
        self._run(relay.start())
        self._relays.append(relay)
        return relay

    def close(self) -> None:
        """Stop every relay and the thread."""
        for relay in self._relays:
            self._run(relay.stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine: abc.Coroutine[None, None, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(10.0)
