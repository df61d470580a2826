"""Sockets that the daemons and stand-ins listen on."""

import asyncio
import socket
import unittest

from primroselock import daemon
from standins import serving


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Answers do not wait for a delayed ACK; early callers can connect."""

    async def test_accepted_connections_send_at_once(self) -> None:
        for bind in (daemon.bind_socket, serving.bind):
            with self.subTest(bind.__module__):
                self.assertTrue(await self.find_option(bind('127.0.0.1:0')))

    async def test_no_connection_is_refused_once_it_is_bound(self) -> None:
        for bind in (daemon.bind_socket, serving.bind):
            with self.subTest(bind.__module__):
                listener = bind('127.0.0.1:0')
                socket.create_connection(listener.getsockname()).close()
                listener.close()

    async def find_option(self, listener: socket.socket) -> int:
        """Return TCP_NODELAY of a connection that asyncio accepts."""
        options: asyncio.Future[int] = asyncio.Future()

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted = writer.get_extra_info('socket')
            options.set_result(
                accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            )
            writer.close()

        async with await asyncio.start_server(accept, sock=listener):
            _, near = await asyncio.open_connection(*listener.getsockname())
            found = await options
            near.close()
        return found


if __name__ == '__main__':
    unittest.main()
