"""Clients that send without end do not end a node, nor take its memory.

Each test starts one node process; the crowds are small, and the limits of
the VM in its settings are low.
"""

import asyncio
import pathlib
import tempfile
import unittest

from primroselock.test import crowds
from standins import operatorrows

_GET = crowds.head('GET', operatorrows.prefix(0))
_POST = crowds.head('POST', crowds.job_path(), 'Content-Length: 2') + b'{}'
_PLAIN_GET = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """A node process and what must hold after a crowd."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.process = crowds.NodeProcess(pathlib.Path(folder.name))
        self.addAsyncCleanup(self.process.close)
        await self.process.start()

    async def play(
        self,
        crowd: crowds.Crowd,
        address: str = '',
        until_cut: bool = False,
    ) -> list[crowds.Sent]:
        """Let a crowd send to the front, or to ``address``; check."""
        before_kb = self.process.peak_kb()
        clients = crowds.Clients(crowd, address or self.process.node.address)
        try:
            sent = await clients.send(until_cut)
            self.assertTrue(self.process.is_alive)
            # Its answer shows that the node has accepted the crowd.
            during = await self.process.ask_until_served()
            sockets = self.process.count_sockets()
        finally:
            clients.close()
        after = await self.process.ask_until_served()
        growth_kb = self.process.peak_kb() - before_kb
        self.assertTrue(self.process.is_alive)
        rules = (
            (growth_kb <= crowds.GROWTH_KB, f'grew by {growth_kb} KB'),
            (sockets <= crowds.SOCKETS, f'{sockets} sockets'),
            (during == 200, f'answer beside the crowd: {during}'),
            (after == 200, f'answer after the crowd: {after}'),
        )
        self.assertEqual([], [what for holds, what in rules if not holds])
        return sent

    async def play_until_cut(self, crowd: crowds.Crowd) -> None:
        """Check that no client can go on for as long as it likes."""
        sent = await self.play(crowd, until_cut=True)
        uncut = [client for client in sent if not client.was_cut]
        self.assertEqual([], uncut)


class HeadCrowdTest(CrowdCase):
    """Requests whose heads do not end."""

    async def test_a_field_without_end(self) -> None:
        await self.play_until_cut(
            crowds.Crowd(crowds.open_head() + b'A: ', b'x')
        )

    async def test_fields_without_end(self) -> None:
        await self.play_until_cut(
            crowds.Crowd(crowds.open_head(), b'ab: cd\r\n')
        )

    async def test_a_request_line_without_end(self) -> None:
        await self.play_until_cut(crowds.Crowd(b'GET /', b'x'))

    async def test_empty_lines_without_end(self) -> None:
        await self.play_until_cut(crowds.Crowd(b'\r\n', b'\r\n'))

    async def test_many_heads_that_stop_within_the_limit(self) -> None:
        fields = b'a:b\r\n' * (crowds.MAX_HEAD_BYTES // 6)
        await self.play(crowds.Crowd(crowds.open_head() + fields, clients=150))

    async def test_many_connections_with_half_a_head(self) -> None:
        await self.play(crowds.Crowd(crowds.open_head(), clients=300))

    async def test_many_connections_that_send_nothing(self) -> None:
        await self.play(crowds.Crowd(b'', clients=300))


class BodyCrowdTest(CrowdCase):
    """Requests whose bodies do not end."""

    async def test_trailers_without_end(self) -> None:
        await self.play_until_cut(
            crowds.Crowd(crowds.chunked() + b'0\r\n', b'ab: cd\r\n')
        )

    async def test_a_trailer_without_end(self) -> None:
        await self.play_until_cut(
            crowds.Crowd(crowds.chunked() + b'0\r\nA: ', b'x')
        )

    async def test_a_chunk_extension_without_end(self) -> None:
        await self.play_until_cut(crowds.Crowd(crowds.chunked() + b'1;', b'x'))

    async def test_many_bodies_that_stop_within_the_limit(self) -> None:
        size = f'Content-Length: {crowds.MAX_BODY_BYTES}'
        start = crowds.head("POST", crowds.job_path(), size)
        body = b' ' * (crowds.MAX_BODY_BYTES - 1)
        await self.play(crowds.Crowd(start + body, clients=160))


class AheadCrowdTest(CrowdCase):
    """Requests sent ahead whose answers nobody reads."""

    async def test_gets(self) -> None:
        await self.play(crowds.Crowd(_GET, _GET))

    async def test_gets_without_the_usual_headers(self) -> None:
        short = b'GET / HTTP/1.1\r\n\r\n'
        await self.play(crowds.Crowd(short, short))

    async def test_posts(self) -> None:
        await self.play(crowds.Crowd(_POST, _POST))


class OtherAddressesTest(CrowdCase):
    """The addresses of the load balancer and of the metrics."""

    async def test_fields_without_end_to_ready(self) -> None:
        await self.play(
            crowds.Crowd(crowds.open_head(), b'ab: cd\r\n'),
            self.process.node.ready_address,
        )

    async def test_requests_ahead_to_ready(self) -> None:
        await self.play(
            crowds.Crowd(_PLAIN_GET, _PLAIN_GET),
            self.process.node.ready_address,
        )

    async def test_requests_ahead_to_metrics(self) -> None:
        await self.play(
            crowds.Crowd(_PLAIN_GET, _PLAIN_GET),
            self.process.node.metrics_address,
        )

    async def test_many_connections_to_ready(self) -> None:
        await self.play(
            crowds.Crowd(crowds.open_head(), clients=300),
            self.process.node.ready_address,
        )


class CalmTest(CrowdCase):
    """What a client inside the limits sends is served in calm."""

    async def test_a_head_of_the_largest_size(self) -> None:
        fields = crowds.MAX_HEAD_BYTES - len(_GET)
        for line in ('a:b', f'A: {"x" * 90}'):
            lines = [line] * (fields // (len(line) + 2))
            data = crowds.head('GET', operatorrows.prefix(0), *lines)
            self.assertLessEqual(len(data), crowds.MAX_HEAD_BYTES)
            self.assertEqual([200], await self.process.talk(data, 1))

    async def test_a_body_of_the_largest_size(self) -> None:
        """The job is odd (400), but its body is read to its end."""
        size = f'Content-Length: {crowds.MAX_BODY_BYTES}'
        body = b' ' * crowds.MAX_BODY_BYTES
        data = crowds.head('POST', crowds.job_path(), size) + body
        self.assertEqual([400, 200], await self.process.talk(data + _GET, 2))

    async def test_a_body_in_small_chunks_with_trailers(self) -> None:
        body = b'1\r\n \r\n' * crowds.MAX_BODY_BYTES + b'0\r\nA: b\r\n\r\n'
        data = crowds.chunked() + body + _GET
        self.assertEqual([400, 200], await self.process.talk(data, 2))

    async def test_requests_ahead_are_answered_in_turn(self) -> None:
        data = (_GET + _POST + b'\r\n' + _GET) * 20
        statuses = await self.process.talk(data, 60)
        self.assertEqual([200, 400, 200] * 20, statuses)

    async def test_a_request_sent_byte_by_byte(self) -> None:
        host, _, port = self.process.node.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        for byte in _POST + _GET:
            writer.write(bytes([byte]))
            await writer.drain()
            await asyncio.sleep(0)
        for status in (b' 400 ', b' 200 '):
            answer = await reader.readuntil(b'\r\n\r\n')
            self.assertIn(status, answer.partition(b'\r\n')[0])
            length = answer.lower().partition(b'content-length: ')[2]
            await reader.readexactly(int(length.partition(b'\r\n')[0]))

    async def test_a_client_that_closes_its_side_after_the_request(
        self,
    ) -> None:
        """Also behind requests that were sent ahead."""
        for data, statuses in ((_GET, [200]), (_GET + _POST, [200, 400])):
            answered = await self.process.talk(data, len(statuses) + 1, True)
            self.assertEqual(statuses, answered)

    async def test_an_upgrade_with_a_body(self) -> None:
        """Clients that offer a newer protocol send such requests."""
        lines = ('Connection: Upgrade', 'Upgrade: h2c', 'Content-Length: 2')
        data = crowds.head('POST', crowds.job_path(), *lines) + b'{}'
        self.assertEqual([400], await self.process.talk(data, 1))

    async def test_a_body_that_is_sent_once_it_is_asked_for(self) -> None:
        lines = ('Expect: 100-continue', 'Content-Length: 2')
        data = crowds.head('POST', crowds.job_path(), *lines)
        host, _, port = self.process.node.address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        writer.write(data)
        answer = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 100 ', answer)
        writer.write(b'{}')
        answer = await reader.readuntil(b'\r\n\r\n')
        self.assertIn(b' 400 ', answer)

    async def test_a_refusal_reaches_a_client_that_still_sends(self) -> None:
        """Of the largest body, on a connection that ends with the answer."""
        size = f'Content-Length: {crowds.MAX_BODY_BYTES}'
        for path in (crowds.job_path(), '/nowhere/0123456789abcdef'):
            head = (
                f'POST {path} HTTP/1.1\r\nHost: {operatorrows.HOST}\r\n'
                f'Authorization: Token unknown\r\n{size}\r\n'
                'Connection: close\r\n\r\n'
            )
            for _ in range(5):
                data = head.encode() + b' ' * crowds.MAX_BODY_BYTES
                answered = await self.process.talk(data, 1)
                self.assertIn(answered, ([401], [404]))


if __name__ == '__main__':
    unittest.main()
