"""The common loops of the daemons end when they are told to."""

import asyncio
import os
import signal
import typing
import unittest
from unittest import mock

import msgspec
from structlog import testing

from primroselock import daemon
from primroselock import errors
from primroselock import options
from primroselock import scheduler
from primroselock.store import keys
from primroselock.store import vmlist
from primroselock.test import builders
from primroselock import waits
from primroselock.workers import protocol

_STEPS: typing.Final = 60
"""Steps of the event loop that cover a whole call of each loop."""

_ODD_CALLS: typing.Final = 20
_END_S: typing.Final = 5.0
_SIGNALS: typing.Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class Platform:
    """A platform that answers each call with ``body``."""

    def __init__(self, body: bytes = b'[]') -> None:
        self.body = body
        self.calls = 0

    async def start(self) -> tuple[asyncio.Server, str]:
        """Listen; return the server and its address as HOST:PORT."""
        server = await asyncio.start_server(self._serve, '127.0.0.1')
        host, port = server.sockets[0].getsockname()
        return server, f'{host}:{port}'

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                for line in head.lower().splitlines():
                    name, _, value = line.partition(b':')
                    if name == b'content-length':
                        await reader.readexactly(int(value))
                size = len(self.body)
                start = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'
                writer.write(start.encode() + self.body)
                self.calls += 1
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            writer.close()


def build_settings(address: str) -> options.Settings:
    """Return settings under which the loops call the platform often."""
    return builders.parse_settings(f"""
[process]
vm_id = entry-1
zone = a
[platform]
address = {address}
vm_list_interval_s = 0.001
max_calls_per_s = 100000
[configuration]
poll_interval_s = 0.001
""")


class SharedLoopsTest(unittest.IsolatedAsyncioTestCase):
    """The loops that both daemons run."""

    async def count_survivors(self, shared: daemon.Daemon, step: int) -> int:
        """Start the loops; cancel each once, ``step`` steps after a VM list.

        Return how many of them go on.
        """
        shared.vms_read_at = None
        async with asyncio.TaskGroup() as group:
            loops = shared.start_loops(group)
            while shared.vms_read_at is None:
                await asyncio.sleep(0)
            for _ in range(step):
                await asyncio.sleep(0)
            for loop in loops:
                loop.cancel()
            _, left = await asyncio.wait(loops, timeout=_END_S)
            await waits.cancel_tasks(loops)
        return len(left)

    async def test_each_ends_at_its_first_cancellation(self) -> None:
        """Guards against a gateway that does not end after SIGTERM.

        The HTTP library swallowed the cancellation of a loop whose answer
        arrived at that moment, and the daemon waited for it for ever.
        """
        server, address = await Platform().start()
        self.addCleanup(server.close)
        shared = daemon.Daemon(build_settings(address), 'gateway')
        self.addAsyncCleanup(shared.aclose)
        survivors = [
            await self.count_survivors(shared, step) for step in range(_STEPS)
        ]
        self.assertEqual([0] * _STEPS, survivors)


class OddAnswersTest(unittest.IsolatedAsyncioTestCase):
    """Answers of the platform that nothing can be made of end no loop."""

    async def check(self, body: bytes) -> None:
        """Run the loops against a platform that answers with ``body``."""
        platform = Platform(body)
        server, address = await platform.start()
        self.addCleanup(server.close)
        shared = daemon.Daemon(build_settings(address), 'gateway')
        self.addAsyncCleanup(shared.aclose)
        with testing.capture_logs():
            async with asyncio.TaskGroup() as group:
                loops = shared.start_loops(group)
                async with asyncio.timeout(_END_S):
                    while platform.calls < _ODD_CALLS:
                        await asyncio.sleep(0.01)
                ended = [loop for loop in loops if loop.done()]
                await waits.cancel_tasks(loops)
        self.assertEqual([], ended)

    async def test_bodies_that_cannot_be_decoded(self) -> None:
        """Guards against one answer that ends every daemon that reads it."""
        for body in (b'\xff', b'', b'{}', b'[1]', b'[{"id": 1}]', b'null'):
            with self.subTest(body):
                await self.check(body)

    async def test_the_head_of_the_configuration_is_odd(self) -> None:
        row = {
            'key': keys.CONFIG_HEAD,
            'value': 'b2Rk',
            'version': 1,
            'token': '',
        }
        await self.check(msgspec.json.encode([row]))

    async def test_a_vm_with_an_odd_mesh_address(self) -> None:
        """Guards against one row that ends every daemon of a region."""
        vm = vmlist.Vm('g', 'gateway', 'a', '', mesh='an odd address')
        await self.check(msgspec.json.encode([vm]))


class _FailingLink:
    """Workers whose answers raise an unexpected error."""

    def __init__(self) -> None:
        self.exchanges = 0

    async def exchange(
        self, address: str, batch: protocol.Batch
    ) -> typing.NoReturn:
        """Fail as the handling of an answer with a fault does."""
        self.exchanges += 1
        raise ValueError('a fault')


class HeartbeatTest(unittest.IsolatedAsyncioTestCase):
    """A scheduler goes on with a worker whose heartbeat failed."""

    async def test_a_failed_heartbeat_is_logged_and_started_again(
        self,
    ) -> None:
        """Guards against a worker that gets no heartbeats any more.

        The task was not awaited, so its exception was lost, and the leases
        of the worker's tasks ran out.
        """
        shared = daemon.Daemon(builders.build_settings(), 'scheduler')
        self.addAsyncCleanup(shared.aclose)
        runner = scheduler.ShardRunner(shared, 'a')
        runner.lease.state = 'holder'
        link: typing.Any = _FailingLink()
        runner.link = link
        vm = vmlist.Vm('w0', 'worker', 'a', '127.0.0.1:9', rack='r0')
        runner.board.record_vms([vm])
        with testing.capture_logs() as lines:
            for _ in range(3):
                runner._reconcile_heartbeats()
                await asyncio.sleep(0.02)
        runner._end_heartbeats()
        self.assertEqual(3, link.exchanges)
        failed = [line for line in lines if line['event'] == 'task failed']
        self.assertEqual(
            ['heartbeats of w0'] * 3, [line['task'] for line in failed]
        )


class SignalsTest(unittest.IsolatedAsyncioTestCase):
    """Every signal that a daemon handles leaves a log line.

    Guards against a daemon that ends for no reason that its log shows, as a
    scheduler once did that was stopped and continued.
    """

    async def asyncSetUp(self) -> None:
        self.shared = daemon.Daemon(builders.build_settings(), 'scheduler')
        self.addAsyncCleanup(self.shared.aclose)
        self.shared.install_signals()
        self.addAsyncCleanup(self.remove_signals)

    async def remove_signals(self) -> None:
        """Give the signals to the test's process again."""
        loop = asyncio.get_running_loop()
        for number in _SIGNALS:
            loop.remove_signal_handler(number)

    async def send(self, number: signal.Signals) -> list[typing.Any]:
        """Send a signal to this process; return the lines of the log."""
        with testing.capture_logs() as lines:
            os.kill(os.getpid(), number)
            # The loop reads the signal, then calls its handler.
            await asyncio.sleep(0.05)
        return lines

    async def test_the_first_one_shuts_down(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            with self.subTest(number.name):
                self.shared.stopping.clear()
                (line,) = await self.send(number)
                self.assertTrue(self.shared.stopping.is_set())
                self.assertEqual('stopping', line['event'])
                self.assertEqual(number.name, line['signal'])

    async def test_the_second_one_ends_at_once(self) -> None:
        await self.send(signal.SIGTERM)
        with mock.patch.object(os, '_exit', autospec=True) as ended:
            line, *_ = await self.send(signal.SIGINT)
        ended.assert_called_once_with(errors.ExitCode.REFUSED)
        self.assertEqual('SIGINT', line['signal'])

    async def test_a_hangup_does_not_end_it(self) -> None:
        """The default action would end it without a line or a handover.

        The kernel sends SIGHUP to a stopped process whose process group has
        lost its last parent, and it acts when the process is continued.
        """
        (line,) = await self.send(signal.SIGHUP)
        self.assertIn('SIGHUP', line['event'])
        self.assertFalse(self.shared.stopping.is_set())


if __name__ == '__main__':
    unittest.main()
