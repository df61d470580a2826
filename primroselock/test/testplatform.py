"""The platform's client when the store is slow or does not answer."""

import asyncio
import dataclasses
import unittest

import hypothesis
from hypothesis import strategies as st
import result

from primroselock.store import client
from primroselock.store import resilience
from primroselock.test import builders
from standins import launch


class BreakerTest(unittest.TestCase):
    """An open circuit breaker admits one probe per interval.

    The rate limit bounds the calls of any second to twice the rate, since a
    burst of one second's calls may precede the calls at the rate.
    """

    @hypothesis.given(
        st.lists(st.tuples(st.floats(0.01, 1.0), st.booleans()), max_size=60)
    )
    def test_calls_are_bounded_while_nothing_answers(
        self, steps: list[tuple[float, bool]]
    ) -> None:
        breaker = resilience.CircuitBreaker('test')
        now, failures = 0.0, 0
        last_probe_at = -resilience.PROBE_INTERVAL_S
        for delay_s, succeeds in steps:
            now += delay_s
            closed = failures < resilience.FAILURES_TO_OPEN
            due = now - last_probe_at >= resilience.PROBE_INTERVAL_S
            self.assertEqual(closed or due, breaker.admits(now))
            if not closed and not due:
                continue
            failures = 0 if succeeds else failures + 1
            if failures >= resilience.FAILURES_TO_OPEN:
                last_probe_at = now
            breaker.record(succeeds, now)

    def test_cancelled_probe_does_not_block_the_next(self) -> None:
        breaker = resilience.CircuitBreaker('test')
        for _ in range(resilience.FAILURES_TO_OPEN):
            breaker.record(False, 0.0)
        self.assertTrue(breaker.admits(resilience.PROBE_INTERVAL_S))
        self.assertTrue(breaker.admits(2 * resilience.PROBE_INTERVAL_S))

    @hypothesis.given(st.integers(1, 50), st.integers(1, 200))
    def test_rate_is_kept(self, rate: int, calls: int) -> None:
        limit = resilience.RateLimit(rate)
        sent_at = [limit.reserve(1e6) for _ in range(calls)]
        for second in range(calls // rate + 1):
            inside = [at for at in sent_at if second <= at < second + 1]
            self.assertLessEqual(len(inside), 2 * rate)


class SlowStoreTest(unittest.IsolatedAsyncioTestCase):
    """Calls to a store that never answers end at their deadline.

    Guards against callers and connections that are blocked by a store
    which accepts connections and never answers.
    """

    async def test_calls_end_and_then_fail_at_once(self) -> None:
        accepted_writers: list[asyncio.StreamWriter] = []

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            accepted_writers.append(writer)

        server = await asyncio.start_server(accept, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()[:2]
        settings = builders.build_settings().platform
        text = f'[platform]\naddress = {host}:{port}\ntimeout_s = 0.2\n'
        changed = builders.SETTINGS_TEXT.replace(
            f'[platform]\naddress = {settings.address}\n', text
        )
        platform = client.PlatformClient(
            builders.parse_settings(changed), 'test', 2
        )
        for _ in range(resilience.FAILURES_TO_OPEN):
            async with asyncio.timeout(10):
                answer = await platform.read(['k'])
            self.assertIsInstance(answer, result.Err)
        accepted_before = len(accepted_writers)
        for _ in range(20):
            await platform.read(['k'])
        self.assertLessEqual(len(accepted_writers) - accepted_before, 1)
        for writer in accepted_writers:
            writer.close()
        await platform.aclose()
        server.close()


class StaleConnectionTest(unittest.IsolatedAsyncioTestCase):
    """A read succeeds although the platform closed an idle connection.

    Guards against reads that fail when the platform closes connections
    after an answer: every pooled connection may be closed.
    """

    async def test_read_is_repeated_on_a_new_connection(self) -> None:
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]'

        async def answer_once(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b'}')
            writer.write(head)
            await reader.read(1)
            writer.close()

        server = await asyncio.start_server(answer_once, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        settings = builders.build_settings()
        platform = dataclasses.replace(
            settings.platform, address=f'{host}:{port}'
        )
        settings = dataclasses.replace(settings, platform=platform)
        connections = 4
        reader = client.PlatformClient(settings, 'test', connections)
        for _ in range(1 + connections):
            self.assertTrue((await reader.read(['key'])).is_ok())
        await reader.aclose()
        server.close()


class VmListTest(unittest.TestCase):
    """The VM list is decoded only after a change."""

    def setUp(self) -> None:
        self.cluster = launch.Cluster(['a'])
        self.addCleanup(self.cluster.close)
        self.cluster.start_platform(lag_s=0.0)

    async def follow(self) -> None:
        """Read the list twice after each of two changes."""
        address = self.cluster.platform_by_zone['a']
        settings = builders.build_settings()
        platform = dataclasses.replace(settings.platform, address=address)
        settings = dataclasses.replace(settings, platform=platform)
        reader = client.PlatformClient(settings, 'test', 1)
        ids = []
        for name in ('vm-1', 'vm-2'):
            self.cluster.register_vm(name, 'worker', 'a')
            listed = (await reader.list_vms()).unwrap()
            again = (await reader.list_vms()).unwrap()
            self.assertIs(listed, again)
            ids.append([vm.id for vm in listed])
        self.assertEqual([['vm-1'], ['vm-1', 'vm-2']], ids)
        await reader.aclose()

    def test_unchanged_list_is_kept_and_a_change_is_seen(self) -> None:
        asyncio.run(self.follow())


if __name__ == '__main__':
    unittest.main()
