"""Listening sockets of the daemons and stand-ins."""

import asyncio
import contextlib
import http.client
import socket
import unittest

from primroselock import sockets
from standins import launch
from standins import serving


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    """Options and state of listening sockets.

    Without TCP_NODELAY a small write could wait for a delayed ACK.  A
    client that connects right after the bind must not be refused.
    """

    async def test_accepted_connections_disable_nagle(self) -> None:
        for bind in (sockets.open_listener, serving.bind):
            with self.subTest(bind.__module__):
                self.assertTrue(await self.read_nodelay(bind('127.0.0.1:0')))

    async def test_bound_socket_refuses_no_connection(self) -> None:
        for bind in (sockets.open_listener, serving.bind):
            with self.subTest(bind.__module__):
                listener = bind('127.0.0.1:0')
                socket.create_connection(listener.getsockname()).close()
                listener.close()

    async def read_nodelay(self, listener: socket.socket) -> int:
        """Return TCP_NODELAY of a connection accepted by asyncio."""
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
            _, client = await asyncio.open_connection(*listener.getsockname())
            found = await options
            client.close()
        return found


class UpstreamLimitTest(unittest.TestCase):
    """The upstream stand-in enforces its limit of connections."""

    def test_connection_beyond_the_limit_is_refused(self) -> None:
        with (
            launch.Cluster(['a']) as cluster,
            contextlib.ExitStack() as open_connections,
        ):
            cluster.start_platform()
            cluster.start_upstream('up', 'a', 'quote', '--connections', '2')
            address = cluster.addresses_by_name['up']
            host, _, port = address.rpartition(':')
            for _ in range(2):
                connection = http.client.HTTPConnection(host, int(port))
                open_connections.callback(connection.close)
                connection.request('GET', '/admin/runs')
                self.assertEqual(200, connection.getresponse().status)
            answer = launch.call(address, 'GET', '/admin/runs')
            self.assertEqual(503, answer.status)


if __name__ == '__main__':
    unittest.main()
