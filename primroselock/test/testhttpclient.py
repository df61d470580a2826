"""The HTTP client: answers match requests, and ``NotSent`` is true.

Guards against the answer of a cancelled request that is returned for the
next one on the same connection, and against ``NotSent`` for a request that
the peer received.  A scripted peer on loopback answers when the test asks
for it.  Each request has a path of its own, and its answer repeats it.
"""

import asyncio
from collections import abc
import typing
import unittest

import aiosonic
import aiosonic.pools
import result

from primroselock import httpclient
from primroselock.test import datacases
from primroselock.test import scriptedpeer

_LONG_TIMEOUT_S: typing.Final = 20.0
_MAX_STEPS: typing.Final = 500
"""More steps of the event loop than an exchange takes."""


_Send = abc.Callable[[str], abc.Coroutine[typing.Any, typing.Any, bytes]]


async def body_after_cancelled(peer: scriptedpeer.Peer, send: _Send) -> bytes:
    """Cancel a request in flight; return the body of the next one.

    The peer answers the first request only after the second one was sent,
    so that this answer arrives first.  The connection has carried an
    exchange before, since the fault does not occur on a new one.
    """
    warm = asyncio.create_task(send('/warm'))
    await scriptedpeer.wait_until(lambda: '/warm' in peer.seen)
    peer.answer('/warm')
    await warm
    first = asyncio.create_task(send('/first'))
    await scriptedpeer.wait_until(lambda: '/first' in peer.seen)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    second = asyncio.create_task(send('/second'))
    await scriptedpeer.wait_until(lambda: '/second' in peer.seen)
    peer.answer('/first')
    peer.answer('/second')
    return await second


class CancelledExchangeTest(unittest.IsolatedAsyncioTestCase):
    """aiosonic's client mixes up answers; the connection pool does not."""

    async def asyncSetUp(self) -> None:
        self.peer = scriptedpeer.Peer()
        self.address = await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)

    async def test_shared_client_returns_answer_of_cancelled_request(
        self,
    ) -> None:
        """Records the fault of aiosonic that the connection pool avoids.

        The test fails once aiosonic has corrected that fault.
        """
        size_one = {':default': aiosonic.pools.PoolConfig(size=1)}
        client = aiosonic.HTTPClient(aiosonic.TCPConnector(size_one))

        async def send(path: str) -> bytes:
            answer = await client.request(f'http://{self.address}{path}')
            body: bytes = await answer.content()
            return body

        body = await body_after_cancelled(self.peer, send)
        # While this holds, each connection needs a client of its own.
        self.assertEqual(b'/first', body)
        await client.aclose()

    async def test_pool_returns_the_answer_of_each_request(self) -> None:
        pool = httpclient.ConnectionPool(self.address, 1)

        async def send(path: str) -> bytes:
            answer = await pool.exchange(
                httpclient.Request('POST', path), _LONG_TIMEOUT_S
            )
            return answer.unwrap().body

        body = await body_after_cancelled(self.peer, send)
        self.assertEqual(b'/second', body)
        await pool.aclose()


async def serve_at_once(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Answer each request of a connection as soon as it is read."""
    try:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    except (asyncio.IncompleteReadError, OSError):
        return
    finally:
        writer.close()


class CancelledAtEachStepTest(unittest.IsolatedAsyncioTestCase):
    """An exchange is cancelled at each step of the event loop.

    Guards against a daemon that does not end after SIGTERM: its loops were
    cancelled once, and one whose answer arrived at that moment went on.
    """

    async def asyncSetUp(self) -> None:
        server = await asyncio.start_server(serve_at_once, '127.0.0.1', 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        self.address = f'{host}:{port}'

    async def count_swallowed(
        self, send: abc.Callable[[], abc.Coroutine[None, None, None]]
    ) -> int:
        """Return at how many steps a cancellation of ``send`` had no effect.

        A call before each one leaves an open connection.
        """
        swallowed = 0
        for step in range(_MAX_STEPS):
            await send()
            task = asyncio.create_task(send())
            for _ in range(step):
                await asyncio.sleep(0)
            if not task.cancel():
                self.assertGreater(step, 0)
                return swallowed
            await asyncio.wait({task}, timeout=_LONG_TIMEOUT_S)
            swallowed += task.done() and not task.cancelled()
        self.fail(f'no exchange ended within {_MAX_STEPS} steps')

    async def test_library_swallows_a_cancellation(self) -> None:
        """Records the fault of ``asyncio.wait_for``, which aiosonic uses.

        The test fails once both no longer swallow a cancellation.
        """
        client = aiosonic.HTTPClient()

        async def send() -> None:
            answer = await client.request(f'http://{self.address}/')
            await answer.content()

        self.assertGreater(await self.count_swallowed(send), 0)
        await client.aclose()

    async def test_pool_raises_each_cancellation(self) -> None:
        pool = httpclient.ConnectionPool(self.address, 1)

        async def send() -> None:
            await pool.exchange(
                httpclient.Request('POST', '/'), _LONG_TIMEOUT_S
            )

        self.assertEqual(0, await self.count_swallowed(send))
        await pool.aclose()


class FaultyPeerTest(unittest.IsolatedAsyncioTestCase):
    """Results for truncated, malformed, surplus and missing answers."""

    async def asyncSetUp(self) -> None:
        self.peer = scriptedpeer.Peer()
        self.address = await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)
        self.pool = httpclient.ConnectionPool(
            self.address, 1, max_answer_bytes=100
        )
        self.addAsyncCleanup(self.pool.aclose)

    async def exchange(
        self, path: str, data: bytes
    ) -> result.Result[httpclient.Response, httpclient.ExchangeError]:
        """Send a request; the peer answers with ``data`` and closes."""
        request = httpclient.Request('POST', path, b'body')
        task = asyncio.create_task(
            self.pool.exchange(request, _LONG_TIMEOUT_S)
        )
        await scriptedpeer.wait_until(lambda: path in self.peer.seen)
        self.peer.send_raw(path, data)
        return await task

    async def test_answers_from_data(self) -> None:
        for number, case in enumerate(datacases.load('lane.test')):
            data = case.given.encode().decode('unicode_escape').encode()
            with self.subTest(case.name):
                answer = await self.exchange(f'/{number}', data)
                outcome = f'{type(answer).__name__}'
                if isinstance(answer, result.Ok):
                    outcome = f'complete {answer.ok_value.body.decode()}'
                else:
                    outcome = type(answer.err_value).__name__.lower()
                self.assertEqual(case.expected, outcome.strip())

    async def test_odd_heads_are_no_answers(self) -> None:
        """Guards against digits that cannot be converted and are raised."""
        digits = b'9' * 5000
        status = b'HTTP/1.1 200 OK\r\n'
        chunked = status + b'Transfer-Encoding: chunked\r\n\r\n'
        for number, data in enumerate(
            (
                status + b'Content-Length: %s\r\n\r\nx' % digits,
                status + b'Content-Length: -5\r\n\r\nx',
                status + b'Content-Length: \xb2\r\n\r\nx',
                b'HTTP/1.1 %s OK\r\n\r\n' % digits,
                b'HTTP/1.1 \xb2 OK\r\n\r\n',
                b'HTTP/%s 200 OK\r\n\r\n' % digits,
                chunked + digits + b'\r\nx',
                chunked + b'-5\r\nx',
                chunked + b'\xff\r\nx',
            )
        ):
            with self.subTest(data[:40]):
                answer = await self.exchange(f'/odd{number}', data)
                self.assertIsInstance(
                    answer.unwrap_err(), httpclient.ResponseLost
                )
        answer = await self.exchange(
            '/good', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb'
        )
        self.assertEqual(b'b', answer.unwrap().body)

    async def test_idle_connection_closed_by_peer_is_not_used(self) -> None:
        await self.exchange(
            '/a',
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n',
        )
        await scriptedpeer.wait_until(lambda: self.peer.open_connections == 0)
        answer = await self.exchange(
            '/b', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb'
        )
        self.assertEqual(b'b', answer.unwrap().body)

    async def test_surplus_answer_is_not_taken_by_the_next(self) -> None:
        """Guards against a surplus answer returned for the next request."""
        task = asyncio.create_task(
            self.pool.exchange(
                httpclient.Request('POST', '/a'), _LONG_TIMEOUT_S
            )
        )
        await scriptedpeer.wait_until(lambda: '/a' in self.peer.seen)
        self.peer.answer('/a')
        self.peer.answer('/a', b'surplus')
        self.assertEqual(b'/a', (await task).unwrap().body)
        await asyncio.sleep(0)
        task = asyncio.create_task(
            self.pool.exchange(
                httpclient.Request('POST', '/b'), _LONG_TIMEOUT_S
            )
        )
        await scriptedpeer.wait_until(lambda: '/b' in self.peer.seen)
        self.peer.answer('/b')
        self.assertEqual(b'/b', (await task).unwrap().body)

    async def test_surplus_answer_not_yet_read_is_not_taken(self) -> None:
        """The same for a surplus answer that is still in the socket buffer."""
        first = asyncio.create_task(
            self.pool.exchange(
                httpclient.Request('POST', '/a'), _LONG_TIMEOUT_S
            )
        )
        await scriptedpeer.wait_until(lambda: '/a' in self.peer.seen)
        self.peer.answer('/a')
        await first
        # The event loop does not run between this and the next exchange.
        self.peer.answer('/a', b'surplus')

        async def answer_next() -> None:
            await scriptedpeer.wait_until(lambda: '/b' in self.peer.seen)
            self.peer.answer('/b')

        answering = asyncio.create_task(answer_next())
        answer = await self.pool.exchange(
            httpclient.Request('POST', '/b'), _LONG_TIMEOUT_S
        )
        self.assertEqual(b'/b', answer.unwrap().body)
        await answering

    async def test_unanswered_request_is_not_delivered_later(self) -> None:
        """A request that timed out must not reach the peer later.

        The connection has to be reset: a plain close would still deliver
        what is buffered.
        """
        read_results: list[type[BaseException] | None] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await reader.readuntil(b'\r\n\r\n')
                await reader.read()
                read_results.append(None)
            except ConnectionError as error:
                read_results.append(type(error))
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = httpclient.ConnectionPool(f'{host}:{port}', 1)
        answer = await pool.exchange(
            httpclient.Request('POST', '/start', b'body'), 0.2
        )
        self.assertIsInstance(answer.unwrap_err(), httpclient.ResponseLost)
        await scriptedpeer.wait_until(lambda: bool(read_results))
        self.assertEqual([ConnectionResetError], read_results)
        server.close()

    async def test_refused_connection_is_not_sent(self) -> None:
        """The port has no listener, so the peer received nothing."""
        pool = httpclient.ConnectionPool('127.0.0.1:9', 1)
        answer = await pool.exchange(
            httpclient.Request('POST', '/a', b'body'), _LONG_TIMEOUT_S
        )
        self.assertIsInstance(answer.unwrap_err(), httpclient.NotSent)


_SLOW_DEADLINE_S: typing.Final = 2.0
"""Of the exchanges of slow bodies: longer than a stall of a busy machine."""


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """A body that arrives slowly is read to its end, if it may be.

    Guards against a response that is asked for from its start for ever,
    since it takes longer than the deadline of its head.
    """

    async def asyncSetUp(self) -> None:
        self.peer = scriptedpeer.Peer()
        self.address = await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)
        self.pool = httpclient.ConnectionPool(self.address, 1)
        self.addAsyncCleanup(self.pool.aclose)

    async def exchange(
        self, max_pause_s: float | None, silence_s: float = 0.0
    ) -> result.Result[httpclient.Response, httpclient.ExchangeError]:
        """Exchange a body of 10 pieces, twice as long as the deadline.

        ``silence_s`` before the last piece.
        """
        task = asyncio.create_task(
            self.pool.exchange(
                httpclient.Request('GET', '/slow'),
                _SLOW_DEADLINE_S,
                httpclient.LargeBody(max_pause_s) if max_pause_s else None,
            )
        )
        await scriptedpeer.wait_until(lambda: '/slow' in self.peer.seen)
        writer = self.peer.writers_by_path['/slow']
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n')
        for number in range(10):
            await asyncio.sleep(_SLOW_DEADLINE_S / 5)
            if number == 9:
                await asyncio.sleep(silence_s)
            writer.write(b'x')
        return await task

    async def test_the_deadline_ends_with_the_head(self) -> None:
        response = (await self.exchange(_SLOW_DEADLINE_S)).unwrap()
        self.assertEqual(b'x' * 10, response.body)
        self.assertGreater(response.body_s, _SLOW_DEADLINE_S * 1.6)
        self.assertLess(response.head_s, response.body_s)

    async def test_without_a_bound_on_pauses_the_deadline_holds(self) -> None:
        lost = (await self.exchange(None)).unwrap_err()
        assert isinstance(lost, httpclient.ResponseLost)
        self.assertTrue(lost.timed_out)
        self.assertGreater(lost.received_bytes, 0)

    async def test_a_pause_ends_the_exchange(self) -> None:
        lost = (
            await self.exchange(_SLOW_DEADLINE_S, _SLOW_DEADLINE_S * 2)
        ).unwrap_err()
        assert isinstance(lost, httpclient.ResponseLost)
        self.assertTrue(lost.timed_out)
        self.assertEqual(9, lost.received_bytes)


if __name__ == '__main__':
    unittest.main()
