"""What one connection may make a process keep, without sockets."""

import asyncio
from collections import abc
import dataclasses
import typing
import unittest

import hypothesis
from hypothesis import strategies
from structlog import testing

from primroselock import connectionlimits
from primroselock import httpsettings
from primroselock.test import connectionbuilders
from primroselock.test import virtualtime

_SETTINGS: typing.Final = httpsettings.HttpSettings(
    max_head_bytes=400,
    max_connections=4,
    max_held_bytes=20_000,
    head_timeout_s=5.0,
    idle_timeout_s=9.0,
    body_timeout_s=20.0,
    write_timeout_s=12.0,
)
_GET: typing.Final = b'GET /a HTTP/1.1\r\nHost: x\r\n\r\n'
_WAIT: typing.Final = b'GET /wait HTTP/1.1\r\nHost: x\r\n\r\n'
_CHUNKED: typing.Final = b'POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n'
_Cause = connectionlimits.Cause


def _post(size: int, path: str = '/p') -> bytes:
    """Return the head of a request with a body."""
    return f'POST {path} HTTP/1.1\r\nContent-Length: {size}\r\n\r\n'.encode()


class ConnectionCase(unittest.TestCase):
    """Scenarios in virtual time."""

    server: connectionbuilders.Server
    application: connectionbuilders.Application

    def play(
        self,
        scenario: abc.Callable[[], abc.Awaitable[None]],
        settings: httpsettings.HttpSettings = _SETTINGS,
    ) -> None:
        """Run a scenario; at its end nothing may be held."""

        async def run(_: virtualtime.VirtualClock) -> None:
            self.application = connectionbuilders.Application()
            self.server = connectionbuilders.Server(settings, self.application)
            with testing.capture_logs():
                try:
                    await scenario()
                finally:
                    await self.server.close()
            self.assertEqual(0, self.server.guard.held_bytes)

        virtualtime.run(run)

    def check_cut(
        self, peer: connectionbuilders.Peer, cause: connectionlimits.Cause
    ) -> None:
        """Check that a connection was cut, and that it was counted."""
        self.assertTrue(peer.transport.is_closing())
        self.assertEqual(1, self.server.count(cause))
        self.assertEqual(0, self.server.guard.held_bytes)


class HeadTest(ConnectionCase):
    """Heads that are too long, odd or cut into pieces."""

    def test_a_head_over_the_limit_is_refused(self) -> None:
        async def scenario() -> None:
            for more in (b'', b'\r\n\r\n'):
                peer = self.server.connect()
                await peer.send_all(_GET[:-2] + b'A: ' + b'x' * 400 + more)
                self.assertEqual([431], peer.statuses)
                self.assertTrue(peer.transport.is_closing())
            self.assertEqual(2, self.server.count(_Cause.HEAD_TOO_LARGE))
            self.assertEqual(0, self.server.guard.held_bytes)
            self.assertEqual([], self.application.begun)

        self.play(scenario)

    def test_a_head_of_the_limit_is_served(self) -> None:
        async def scenario() -> None:
            field = b'A: ' + b'x' * (400 - len(_GET) - 5) + b'\r\n'
            head = _GET[:-2] + field + b'\r\n'
            self.assertEqual(400, len(head))
            peer = self.server.connect()
            await peer.send_all(head + head[:7])
            await peer.send_all(head[7:])
            self.assertEqual([200, 200], peer.statuses)

        self.play(scenario)

    def test_empty_lines_end_at_the_limit(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(b'\r\n' * 200 + _GET)
            self.assertEqual([200], peer.statuses)
            for _ in range(201):
                await peer.send_all(b'\r\n')
            self.assertEqual([200, 431], peer.statuses)
            self.check_cut(peer, _Cause.HEAD_TOO_LARGE)

        self.play(scenario)

    def test_a_malformed_head_is_refused(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(_GET + b'GET / HTTP/1.1\r\nA b\r\n\r\n' + _GET)
            self.assertEqual([200, 400], peer.statuses)
            self.check_cut(peer, _Cause.MALFORMED)
            self.assertEqual(['/a'], self.application.begun)

        self.play(scenario)

    def test_a_malformed_head_waits_for_the_answer_before_it(self) -> None:
        """A 4xx must not be taken for the answer of what was passed on."""

        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(_WAIT + b'odd\r\n\r\n')
            self.assertEqual([], peer.statuses)
            self.application.may_answer.set()
            await connectionbuilders.settle()
            self.assertEqual([200, 400], peer.statuses)

        self.play(scenario)

    def test_an_upgrade_is_served_as_a_request(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            line = b'Connection: upgrade\r\nUpgrade: websocket\r\n\r\n'
            await peer.send_all(_GET[:-2] + line + _GET)
            self.assertEqual([200, 200], peer.statuses)

        self.play(scenario)

    def test_a_head_that_does_not_end_in_time(self) -> None:
        async def scenario() -> None:
            for start in (_GET[:-2], b'\r\n'):
                peer = self.server.connect()
                await asyncio.sleep(7.0)
                await peer.send_all(start)
                await asyncio.sleep(3.9)
                self.assertFalse(peer.transport.is_closing())
                await asyncio.sleep(3.0)
                self.assertTrue(peer.transport.was_aborted)
            self.assertEqual(2, self.server.count(_Cause.HEAD_LATE))
            self.assertEqual(0, self.server.guard.held_bytes)

        self.play(scenario)

    def test_a_connection_without_a_byte(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await asyncio.sleep(8.9)
            self.assertFalse(peer.transport.is_closing())
            await asyncio.sleep(2.0)
            self.check_cut(peer, _Cause.IDLE)

        self.play(scenario)


class BodyTest(ConnectionCase):
    """Bodies that are odd, late or have more around them than data."""

    def test_trailers_are_dropped(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            body = b'2;a=b\r\n{}\r\n0\r\nOdd: 1\r\nOdd: 2\r\n\r\n'
            await peer.send_all(_CHUNKED + b'\r\n' + body + _GET)
            self.assertEqual([200, 200], peer.statuses)
            self.assertEqual([b'{}', b''], self.application.bodies)
            fields = [(b'transfer-encoding', b'chunked')]
            self.assertEqual(fields, self.application.fields[0])
            self.assertEqual(0, self.server.guard.held_bytes)

        self.play(scenario)

    def test_framing_without_end_is_cut(self) -> None:
        """Without an answer, since the request was begun."""

        async def scenario() -> None:
            for more in (b'2;' + b'x' * 500, b'0\r\n' + b'ab: c\r\n' * 80):
                peer = self.server.connect()
                await peer.send_all(_CHUNKED + b'\r\n' + more)
                self.assertTrue(peer.transport.was_aborted)
                self.assertEqual([], peer.statuses)
            self.assertEqual(2, self.server.count(_Cause.FRAMING_TOO_LARGE))
            self.assertEqual(2, self.application.disconnects)

        self.play(scenario)

    def test_a_malformed_chunk_is_cut(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(_CHUNKED + b'\r\n2\r\n{}odd\r\n')
            self.assertEqual([], peer.statuses)
            self.check_cut(peer, _Cause.BODY_MALFORMED)
            self.assertEqual(1, self.application.disconnects)

        self.play(scenario)

    def test_a_body_that_does_not_end_in_time(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(_post(9))
            for _ in range(19):
                await asyncio.sleep(1.0)
                self.assertFalse(peer.transport.is_closing())
            await asyncio.sleep(3.0)
            self.check_cut(peer, _Cause.BODY_LATE)

        self.play(scenario)

    def test_a_body_behind_its_answer_is_dropped(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(_post(9_000, '/early') + b'x' * 8_999)
            self.assertEqual([200], peer.statuses)
            self.assertEqual(0, self.server.guard.held_bytes)
            await peer.send_all(b'x' + _GET)
            self.assertEqual([200, 200], peer.statuses)

        self.play(scenario)


class AheadTest(ConnectionCase):
    """Requests that are sent ahead, and answers that nobody reads."""

    def test_one_request_is_served_at_a_time(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            await peer.send_all(_WAIT)
            left = peer.send(_GET * 10_000)
            await connectionbuilders.settle()
            self.assertEqual(['/wait'], self.application.begun)
            self.assertFalse(peer.transport.is_reading())
            self.assertGreater(len(left), len(_GET) * 9_000)
            self.application.may_answer.set()
            await peer.send_all(left[: len(_GET) * 100])
            for _ in range(1000):
                await connectionbuilders.settle()
            self.assertTrue(peer.transport.is_reading())
            sent = len(_GET) * 10_100 - len(left)
            self.assertEqual(1 + sent // len(_GET), len(peer.statuses))

        self.play(scenario)

    def test_what_an_application_reads_lets_no_more_in(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            peer.send(_post(0, '/wait') + _GET)
            await connectionbuilders.settle()
            self.assertFalse(peer.transport.is_reading())

        self.play(scenario)

    def test_nothing_is_served_while_an_answer_is_unread(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            peer.transport.is_stuck = True
            peer.send(_post(0) + _GET)
            await connectionbuilders.settle()
            self.assertEqual(['/p'], self.application.begun)
            peer.transport.read_answers()
            await connectionbuilders.settle()
            self.assertEqual([200, 200], peer.statuses)

        self.play(scenario)

    def test_a_peer_that_reads_nothing(self) -> None:
        """Also one that was told that the connection ends."""

        async def scenario() -> None:
            for data in (_GET, b'odd\r\n\r\n'):
                peer = self.server.connect()
                peer.transport.is_stuck = True
                await peer.send_all(data)
                await asyncio.sleep(11.0)
                self.assertFalse(peer.transport.was_aborted)
                await asyncio.sleep(3.0)
                self.assertTrue(peer.transport.was_aborted)
            self.assertEqual(2, self.server.count(_Cause.UNREAD))

        self.play(scenario)

    def test_a_peer_that_reads_slowly(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            peer.transport.is_stuck = True
            await peer.send_all(_GET)
            for _ in range(10):
                await asyncio.sleep(8.0)
                peer.transport.read_a_byte()
            self.assertFalse(peer.transport.was_aborted)

        self.play(scenario)


class EndTest(ConnectionCase):
    """A client that sends nothing more after its requests, and reads on."""

    def test_whole_requests_are_answered(self) -> None:
        async def scenario() -> None:
            for data, statuses in (
                (_WAIT, [200]),
                (_WAIT + _GET, [200, 200]),
                (_post(2, '/wait') + b'{}' + _GET + _GET[:9], [200, 200]),
                (_WAIT + _post(9) + b'{', [200]),
                (_WAIT + b'odd\r\n\r\n', [200, 400]),
            ):
                self.application.may_answer.clear()
                peer = self.server.connect()
                await peer.send_all(data)
                peer.finish()
                await connectionbuilders.settle()
                self.assertEqual([], peer.statuses)
                self.application.may_answer.set()
                await connectionbuilders.settle()
                self.assertEqual(statuses, peer.statuses)
                self.assertTrue(peer.transport.is_closing())

        self.play(scenario)

    def test_what_is_not_whole_ends_at_once(self) -> None:
        async def scenario() -> None:
            for data in (b'', _GET[:9], _post(9) + b'{', _GET, b'\r\n'):
                peer = self.server.connect()
                await peer.send_all(data)
                peer.finish()
                await connectionbuilders.settle()
                self.assertTrue(peer.transport.is_closing())

        self.play(scenario)

    def test_an_answer_that_is_not_read_yet(self) -> None:
        async def scenario() -> None:
            peer = self.server.connect()
            peer.transport.is_stuck = True
            peer.send(_GET + _GET)
            await connectionbuilders.settle()
            peer.finish()
            peer.transport.read_answers()
            await connectionbuilders.settle()
            self.assertEqual([200, 200], peer.statuses)
            self.assertTrue(peer.transport.is_closing())

        self.play(scenario)


class GuardTest(ConnectionCase):
    """Connections and bytes in excess."""

    def test_the_connection_that_waited_longest_ends(self) -> None:
        async def scenario() -> None:
            peers = []
            for data in (_WAIT, _GET, _GET[:9], b''):
                peers.append(self.server.connect())
                await peers[-1].send_all(data)
                await asyncio.sleep(0.5)
            await peers[1].send_all(_GET)
            await asyncio.sleep(0.5)
            for expected in ([2], [2, 3], [1, 2, 3]):
                other = self.server.connect()
                await other.send_all(_WAIT)
                cut = [
                    number
                    for number, peer in enumerate(peers)
                    if peer.transport.was_aborted
                ]
                self.assertEqual(expected, cut)
            self.assertEqual(3, self.server.count(_Cause.TOO_MANY))

        self.play(scenario)

    def test_whole_requests_keep_their_connections(self) -> None:
        async def scenario() -> None:
            peers = [self.server.connect() for _ in range(4)]
            for peer in peers:
                await peer.send_all(_WAIT)
            other = self.server.connect()
            await connectionbuilders.settle()
            self.assertTrue(other.transport.was_aborted)
            self.application.may_answer.set()
            await connectionbuilders.settle()
            self.assertEqual([[200]] * 4, [peer.statuses for peer in peers])

        self.play(scenario)

    def test_the_largest_unfinished_request_is_cut(self) -> None:
        async def scenario() -> None:
            small, large, last = (self.server.connect() for _ in range(3))
            await small.send_all(_post(2) + b'{')
            await large.send_all(_post(18_000) + b'x' * 17_000)
            await last.send_all(_post(3_000) + b'x' * 3_000)
            self.assertTrue(large.transport.was_aborted)
            self.assertEqual(1, self.server.count(_Cause.MEMORY))
            self.assertEqual([200], last.statuses)
            await small.send_all(b'}')
            self.assertEqual([200], small.statuses)

        settings = dataclasses.replace(_SETTINGS, max_connections=9)
        self.play(scenario, settings)

    def test_a_head_is_refused_if_nothing_can_be_cut(self) -> None:
        """The answer says that the request has not run, and to come back."""

        async def scenario() -> None:
            busy = self.server.connect()
            await busy.send_all(_post(18_900, '/wait') + b'x' * 18_900)
            other = self.server.connect()
            await other.send_all(_GET)
            self.assertEqual([503], other.statuses)
            self.assertIn(b'retry-after: 1\r\n', other.transport.written)
            self.assertEqual(['/wait'], self.application.begun)
            self.application.may_answer.set()
            await connectionbuilders.settle()
            self.assertEqual([200], busy.statuses)
            self.assertEqual(0, self.server.guard.held_bytes)

        self.play(scenario)


_PIECES: typing.Final = (
    _GET,
    _post(3) + b'abc',
    _post(4, '/early') + b'abcd',
    _CHUNKED + b'\r\n1\r\nx\r\n0\r\n\r\n',
    _CHUNKED + b'\r\n2;e\r\nx\n\r\n0\r\nA: b\r\n\r\n',
    b'\r\n' + _GET,
)
_ODD: typing.Final = (b'\r\n', b'0\r\n', b'A: b\r\n', b'GET ', b'x', b'\x00')


class StreamTest(ConnectionCase):
    """Any requests, in any pieces."""

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(_PIECES), max_size=6),
        strategies.lists(strategies.integers(1, 60), min_size=1),
    )
    def test_pieces_do_not_matter(
        self, requests: list[bytes], sizes: list[int]
    ) -> None:
        async def scenario() -> None:
            data, at, turn = b''.join(requests), 0, 0
            peer = self.server.connect()
            while at < len(data):
                size = sizes[turn % len(sizes)]
                await peer.send_all(data[at : at + size])
                at, turn = at + size, turn + 1
            self.assertEqual([200] * len(requests), peer.statuses)
            self.assertEqual(0, self.server.guard.held_bytes)

        self.play(scenario)

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(_PIECES + _ODD), max_size=12),
        strategies.integers(1, 60),
    )
    def test_nothing_is_held_in_the_end(
        self, pieces: list[bytes], size: int
    ) -> None:
        async def scenario() -> None:
            data = b''.join(pieces)
            peer = self.server.connect()
            for at in range(0, len(data), size):
                await peer.send_all(data[at : at + size])
            peer.transport.abort()
            await connectionbuilders.settle()
            self.assertEqual(0, self.server.guard.held_bytes)
            self.assertLessEqual(
                len(self.application.begun), data.count(b'HTTP/1.1')
            )

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
