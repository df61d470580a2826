"""Sockets that the daemons and stand-ins listen on."""

import asyncio
import contextlib
import http.client
import socket
import unittest

from primroselock import sockets
from standins import launch
from standins import serving


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Answers do not wait for a delayed ACK; early callers can connect."""

    async def test_accepted_connections_send_at_once(self) -> None:
        for bind in (sockets.bind_socket, serving.bind):
            with self.subTest(bind.__module__):
                self.assertTrue(await self.find_option(bind('127.0.0.1:0')))

    async def test_no_connection_is_refused_once_it_is_bound(self) -> None:
        for bind in (sockets.bind_socket, serving.bind):
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


class UpstreamLimitTest(unittest.TestCase):
    """The upstream stand-in keeps to its number of connections."""

    def test_connection_beyond_the_limit_is_refused(self) -> None:
        with launch.Cluster(['a']) as cluster, contextlib.ExitStack() as held:
            cluster.start_platform()
            cluster.start_upstream('up', 'a', 'quote', '--connections', '2')
            address = cluster.addresses_by_name['up']
            host, _, port = address.rpartition(':')
            for _ in range(2):
                kept = http.client.HTTPConnection(host, int(port))
                held.callback(kept.close)
                kept.request('GET', '/admin/runs')
                self.assertEqual(200, kept.getresponse().status)
            answer = launch.call(address, 'GET', '/admin/runs')
            self.assertEqual(503, answer.status)


if __name__ == '__main__':
    unittest.main()
