"""HTTP/1.1 messages on streams, for stand-ins that drop single responses."""

import asyncio
from collections import abc
import dataclasses
import typing

import msgspec

from standins import serving

_END_OF_HEAD: typing.Final = b'\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request or a response; header names are in lower case."""

    first_line: str
    headers: abc.Mapping[str, str]
    body: bytes


Handler = abc.Callable[[Message], abc.Awaitable[bytes | None]]
"""Returns a response, or None to close the connection without one."""


async def read(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None if the peer closed before it.

    Raises :class:`ConnectionError` if the peer closed within it.
    """
    try:
        head = await reader.readuntil(_END_OF_HEAD)
        lines = head.decode('latin-1').rstrip().split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        return Message(lines[0], headers, await reader.readexactly(length))
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ConnectionResetError('closed within a message') from error


def encode(first_line: str, headers: str, body: bytes) -> bytes:
    """Return the bytes of a message; each header ends its line."""
    head = f'{first_line}\r\n{headers}Content-Length: {len(body)}'
    return head.encode() + _END_OF_HEAD + body


def respond(status: int, body: typing.Any) -> bytes:
    """Return a response; ``body`` is encoded as JSON."""
    first_line = f'HTTP/1.1 {status} -'
    headers = 'Content-Type: application/json\r\n'
    return encode(first_line, headers, msgspec.json.encode(body))


async def serve(handler: Handler, servers: list[asyncio.Server]) -> str:
    """Serve on a free loopback port; return its address.

    The server is added to ``servers``, for the caller to close.
    """

    async def converse(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (message := await read(reader)) is not None:
                response = await handler(message)
                if response is None:
                    writer.transport.abort()
                    return
                writer.write(response)
                await writer.drain()
        except ConnectionError:
            # The peer ended; its own record says why.
            pass
        finally:
            writer.close()

    servers.append(await asyncio.start_server(converse, '127.0.0.1', 0))
    return serving.address_of(servers[-1].sockets[0])
