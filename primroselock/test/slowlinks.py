"""Calls of the store over links of a few Mbit/s, without a network.

A :class:`LinkPool` takes the place of a connection pool of the adapter: the
calls reach the stand-in of the platform's store, and responses arrive piece
by piece over the VM's link, which all its transfers share.
"""

import asyncio
import dataclasses
import typing

import result

from primroselock import httpclient
from standins import httpmessages
from standins import rowstore

_PIECE_BYTES: typing.Final = 16_384
_END_OF_HEAD: typing.Final = b'\r\n\r\n'


@dataclasses.dataclass(slots=True)
class Link:
    """A link; transfers at the same time take turns, piece by piece.

    While ``is_silent`` nothing arrives.  After each number of bytes in
    ``resets_after`` the transfer that takes them is reset.
    """

    bytes_per_s: float
    is_silent: bool = False
    resets_after: list[int] = dataclasses.field(default_factory=list)
    sent_bytes: int = 0
    _free_at: float = 0.0

    async def carry(self, count: int) -> None:
        """Wait until ``count`` bytes have arrived.

        Raises :class:`ConnectionResetError` if the transfer is reset.
        """
        loop = asyncio.get_running_loop()
        starts_at = max(loop.time(), self._free_at)
        self._free_at = starts_at + count / self.bytes_per_s
        await asyncio.sleep(self._free_at - loop.time())
        while self.is_silent:
            await asyncio.sleep(0.05)
        self.sent_bytes += count
        if self.resets_after and self.sent_bytes >= self.resets_after[0]:
            self.resets_after.pop(0)
            raise ConnectionResetError


class LinkPool:
    """Calls of one node, whose number the store knows."""

    def __init__(
        self, store: rowstore.RowStore, node: int, link: Link
    ) -> None:
        self._store = store
        self._node = node
        self._link = link
        self.paths: list[str] = []

    def has_free_connection(self) -> bool:
        """Return that there is always a connection."""
        return True

    async def aclose(self) -> None:
        """Do nothing: no connection is open."""

    async def exchange(
        self,
        request: httpclient.Request,
        timeout_s: float,
        large: httpclient.LargeBody | None = None,
    ) -> result.Result[httpclient.Response, httpclient.ExchangeError]:
        """Send a request; see ``httpclient.ConnectionPool.exchange``."""
        self.paths.append(request.path)
        received = 0
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        try:
            async with asyncio.timeout(timeout_s) as limit:
                status, body = await self._call(request)
                head_s = loop.time() - sent_at
                while received < len(body):
                    if large is not None:
                        limit.reschedule(loop.time() + large.max_pause_s)
                    piece = min(_PIECE_BYTES, len(body) - received)
                    await self._link.carry(piece)
                    received += piece
                    is_first = received == piece < len(body)
                    if large and large.on_begin and is_first:
                        large.on_begin()
        except (TimeoutError, ConnectionResetError) as error:
            timed_out = isinstance(error, TimeoutError)
            name = type(error).__name__
            return result.Err(
                httpclient.ResponseLost(name, timed_out, received)
            )
        body_s = loop.time() - sent_at - head_s
        return result.Ok(httpclient.Response(status, body, {}, head_s, body_s))

    async def _call(self, request: httpclient.Request) -> tuple[int, bytes]:
        """Return the status and the body of a response."""
        line = f'{request.method} {request.path} HTTP/1.1'
        message = httpmessages.Message(line, {}, request.body)
        response = await self._store.handle(self._node, message)
        if response is None:
            raise ConnectionResetError
        head, _, body = response.partition(_END_OF_HEAD)
        await self._link.carry(len(head))
        return int(head.split(b' ')[1]), body
