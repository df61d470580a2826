"""A lane never hands on a foreign answer and never says "not sent" falsely.

A scripted peer on loopback answers when the test says so.  Each request
bears a number of its own, and the peer's answer repeats it.
"""

import asyncio
from collections import abc
import typing
import unittest

import aiosonic
import aiosonic.pools
import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from primroselock import httpclient
from primroselock.test import datacases

_LIMIT: typing.Final = 3
_TIMEOUT_S: typing.Final = 0.01
_PATIENT_S: typing.Final = 20.0
_SETTLE_ROUNDS: typing.Final = 20


class Peer:
    """A server that records requests and answers them on demand."""

    def __init__(self) -> None:
        self.seen: set[str] = set()
        self.writers_by_path: dict[str, asyncio.StreamWriter] = {}
        self.open_connections = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> str:
        """Listen; return the address."""
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
        """Answer the request of ``path`` with ``body`` or its path."""
        body = path.encode() if body is None else body
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        self.writers_by_path[path].write(head.encode() + body)

    def send_raw(self, path: str, data: bytes) -> None:
        """Send ``data`` on the connection of ``path``, then close it."""
        writer = self.writers_by_path[path]
        writer.write(data)
        writer.close()


async def until(condition: abc.Callable[[], bool]) -> None:
    """Wait until ``condition`` holds."""
    async with asyncio.timeout(_PATIENT_S):
        while not condition():
            await asyncio.sleep(0.001)


_Send = abc.Callable[[str], abc.Coroutine[typing.Any, typing.Any, bytes]]


async def body_after_cancelled(peer: Peer, send: _Send) -> bytes:
    """Cancel a request under way; return the body of the next one.

    The peer answers the first request late, so that its answer comes
    before that of the second one.  All of it runs on a connection that
    carried an exchange before, since only that shows the fault.
    """
    warm = asyncio.create_task(send('/warm'))
    await until(lambda: '/warm' in peer.seen)
    peer.answer('/warm')
    await warm
    first = asyncio.create_task(send('/first'))
    await until(lambda: '/first' in peer.seen)
    first.cancel()
    await asyncio.gather(first, return_exceptions=True)
    second = asyncio.create_task(send('/second'))
    await until(lambda: '/second' in peer.seen)
    peer.answer('/first')
    peer.answer('/second')
    return await second


class CancelledExchangeTest(unittest.IsolatedAsyncioTestCase):
    """The library's own client mixes answers up; a lane does not."""

    async def asyncSetUp(self) -> None:
        self.peer = Peer()
        self.address = await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)

    async def test_shared_client_hands_over_a_foreign_answer(self) -> None:
        size_one = {':default': aiosonic.pools.PoolConfig(size=1)}
        client = aiosonic.HTTPClient(aiosonic.TCPConnector(size_one))

        async def send(path: str) -> bytes:
            answer = await client.request(f'http://{self.address}{path}')
            body: bytes = await answer.content()
            return body

        body = await body_after_cancelled(self.peer, send)
        # While this holds, the library needs lanes.
        self.assertEqual(b'/first', body)
        await client.aclose()

    async def test_lane_hands_over_its_own_answer(self) -> None:
        pool = httpclient.ConnectionPool(self.address, 1)

        async def send(path: str) -> bytes:
            answer = await pool.exchange(
                httpclient.Request('POST', path), _PATIENT_S
            )
            return answer.unwrap().body

        body = await body_after_cancelled(self.peer, send)
        self.assertEqual(b'/second', body)
        await pool.aclose()


class FaultyPeerTest(unittest.IsolatedAsyncioTestCase):
    """What becomes of answers that are cut, odd or late."""

    async def asyncSetUp(self) -> None:
        self.peer = Peer()
        self.address = await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)
        self.pool = httpclient.ConnectionPool(
            self.address, 1, max_answer_bytes=100
        )
        self.addAsyncCleanup(self.pool.aclose)

    async def exchange(
        self, path: str, data: bytes
    ) -> result.Result[httpclient.Response, httpclient.ExchangeError]:
        """Send a request that the peer answers by ``data``, then a close."""
        request = httpclient.Request('POST', path, b'body')
        task = asyncio.create_task(self.pool.exchange(request, _PATIENT_S))
        await until(lambda: path in self.peer.seen)
        self.peer.send_raw(path, data)
        return await task

    async def test_answers_from_data(self) -> None:
        for number, case in enumerate(datacases.load('lane.test')):
            data = case.given.encode().decode('unicode_escape').encode()
            with self.subTest(case.name):
                answer = await self.exchange(f'/{number}', data)
                told = f'{type(answer).__name__}'
                if isinstance(answer, result.Ok):
                    told = f'whole {answer.ok_value.body.decode()}'
                else:
                    told = type(answer.err_value).__name__.lower()
                self.assertEqual(case.expected, told.strip())

    async def test_idle_connection_closed_by_peer_is_not_used(self) -> None:
        await self.exchange(
            '/a',
            b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
            b'Connection: close\r\n\r\n',
        )
        await until(lambda: self.peer.open_connections == 0)
        answer = await self.exchange(
            '/b', b'HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb'
        )
        self.assertEqual(b'b', answer.unwrap().body)

    async def test_surplus_answer_is_not_taken_by_the_next(self) -> None:
        task = asyncio.create_task(
            self.pool.exchange(httpclient.Request('POST', '/a'), _PATIENT_S)
        )
        await until(lambda: '/a' in self.peer.seen)
        self.peer.answer('/a')
        self.peer.answer('/a', b'surplus')
        self.assertEqual(b'/a', (await task).unwrap().body)
        await asyncio.sleep(0)
        task = asyncio.create_task(
            self.pool.exchange(httpclient.Request('POST', '/b'), _PATIENT_S)
        )
        await until(lambda: '/b' in self.peer.seen)
        self.peer.answer('/b')
        self.assertEqual(b'/b', (await task).unwrap().body)

    async def test_surplus_answer_not_yet_read_is_not_taken(self) -> None:
        first = asyncio.create_task(
            self.pool.exchange(httpclient.Request('POST', '/a'), _PATIENT_S)
        )
        await until(lambda: '/a' in self.peer.seen)
        self.peer.answer('/a')
        await first
        # The event loop has no turn between this and the next exchange.
        self.peer.answer('/a', b'surplus')

        async def answer_next() -> None:
            await until(lambda: '/b' in self.peer.seen)
            self.peer.answer('/b')

        answering = asyncio.create_task(answer_next())
        answer = await self.pool.exchange(
            httpclient.Request('POST', '/b'), _PATIENT_S
        )
        self.assertEqual(b'/b', answer.unwrap().body)
        await answering

    async def test_unanswered_request_is_not_delivered_later(self) -> None:
        """What a peer was cut off from must not reach it after the cut."""
        ends: list[type[BaseException] | None] = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            try:
                await reader.readuntil(b'\r\n\r\n')
                await reader.read()
                ends.append(None)
            except ConnectionError as error:
                ends.append(type(error))
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        pool = httpclient.ConnectionPool(f'{host}:{port}', 1)
        answer = await pool.exchange(
            httpclient.Request('POST', '/start', b'body'), 0.2
        )
        self.assertIsInstance(answer.unwrap_err(), httpclient.ResponseLost)
        await until(lambda: bool(ends))
        self.assertEqual([ConnectionResetError], ends)
        server.close()

    async def test_refused_connection_is_not_sent(self) -> None:
        pool = httpclient.ConnectionPool('127.0.0.1:9', 1)
        answer = await pool.exchange(
            httpclient.Request('POST', '/a', b'body'), _PATIENT_S
        )
        self.assertIsInstance(answer.unwrap_err(), httpclient.NotSent)


class LaneMachine(stateful.RuleBasedStateMachine):
    """Any interleaving of exchanges, cancels, answers and cuts."""

    exchanges = stateful.Bundle('exchanges')

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.peer = Peer()
        address = self.loop.run_until_complete(self.peer.start())
        self.pool = httpclient.ConnectionPool(address, _LIMIT)
        self.tasks_by_path: dict[str, asyncio.Task[typing.Any]] = {}
        self.answered: set[str] = set()

    def settle(self) -> None:
        """Let sockets and tasks come to rest."""

        async def rounds() -> None:
            for _ in range(_SETTLE_ROUNDS):
                await asyncio.sleep(0)
            await asyncio.sleep(0.001)

        self.loop.run_until_complete(rounds())

    @stateful.rule(target=exchanges, patient=strategies.booleans())
    def start(self, patient: bool) -> str:
        path = f'/{len(self.tasks_by_path)}'
        timeout_s = _PATIENT_S if patient else _TIMEOUT_S
        request = httpclient.Request('POST', path, b'x' * 10)
        self.tasks_by_path[path] = self.loop.create_task(
            self.pool.exchange(request, timeout_s)
        )
        self.settle()
        return path

    @stateful.rule(path=exchanges)
    def cancel(self, path: str) -> None:
        self.tasks_by_path[path].cancel()
        self.settle()

    @stateful.rule(path=exchanges)
    def answer(self, path: str) -> None:
        """Answer a request; a second time only on an idle connection.

        A surplus answer during another exchange can't be told from that
        exchange's own: HTTP/1.1 answers bear no number.
        """
        writer = self.peer.writers_by_path.get(path)
        if writer is None or writer.is_closing():
            return
        is_busy = any(
            other is writer and other_path not in self.answered
            for other_path, other in self.peer.writers_by_path.items()
        )
        if path in self.answered and is_busy:
            return
        self.peer.answer(path)
        self.answered.add(path)
        self.settle()

    @stateful.rule(path=exchanges)
    def cut_answer(self, path: str) -> None:
        if path in self.peer.writers_by_path:
            data = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n/'
            self.peer.send_raw(path, data)
            self.settle()

    @stateful.rule()
    def pass_time(self) -> None:
        self.loop.run_until_complete(asyncio.sleep(_TIMEOUT_S * 1.5))
        self.settle()

    @stateful.invariant()
    def lanes_stay_within_the_limit(self) -> None:
        assert self.pool.connection_count <= _LIMIT

    @stateful.invariant()
    def every_end_is_true(self) -> None:
        for path, task in self.tasks_by_path.items():
            if not task.done() or task.cancelled():
                continue
            told = task.result()
            if isinstance(told, result.Ok):
                assert told.ok_value.body == path.encode(), (path, told)
            elif isinstance(told.err_value, httpclient.NotSent):
                assert path not in self.peer.seen, (path, told)

    def teardown(self) -> None:
        self.loop.run_until_complete(self.end())
        self.loop.close()

    async def end(self) -> None:
        """End everything; no lane may stay open."""
        for task in self.tasks_by_path.values():
            task.cancel()
        await asyncio.gather(
            *self.tasks_by_path.values(), return_exceptions=True
        )
        await self.pool.aclose()
        await until(lambda: self.pool.connection_count == 0)
        await self.peer.stop()
        await until(lambda: self.peer.open_connections == 0)


LaneMachineTest = LaneMachine.TestCase
LaneMachineTest.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=25, deadline=None
)


if __name__ == '__main__':
    unittest.main()
