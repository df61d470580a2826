"""A server on loopback that answers HTTP requests when a test asks for it."""

import asyncio
from collections import abc
import typing

_TIMEOUT_S: typing.Final = 20.0


class Peer:
    """A server that records requests and answers them on demand."""

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.writers_by_path: dict[str, asyncio.StreamWriter] = {}
        self.open_connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address as HOST:PORT."""
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        host, port = self._server.sockets[0].getsockname()
        return f'{host}:{port}'

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        assert self._server is not None
        self._server.close()
        for writer in self.writers_by_path.values():
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                path = head.split()[1].decode()
                self.seen.add(path)
                self.writers_by_path[path] = writer
        except (asyncio.IncompleteReadError, OSError):
            writer.close()
        finally:
            self.open_connections -= 1

    def answer(self, path: str, body: bytes | None = None) -> None:
        """Answer the request of ``path`` with ``body``, or with its path."""
        body = path.encode() if body is None else body
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        self.writers_by_path[path].write(head.encode() + body)

    def send_raw(self, path: str, data: bytes) -> None:
        """Send ``data`` on the connection of ``path``, then close it."""
        writer = self.writers_by_path[path]
        writer.write(data)
        writer.close()


async def wait_until(condition: abc.Callable[[], bool]) -> None:
    """Wait until ``condition`` returns true."""
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
