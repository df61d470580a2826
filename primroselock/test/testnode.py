"""Tests of the composed node: reload of settings, readiness."""

import asyncio
import dataclasses
import socket
import typing
import unittest
from unittest import mock

from structlog import testing
import uvicorn

from primroselock import clock
from primroselock import errors
from primroselock import fleetnode
from primroselock import httpserver
from primroselock import options
from primroselock.platform import adapter
from primroselock.platform import settings
from primroselock import sockets
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime


_GRACE_S: typing.Final = 6.0
"""The platform's bound between SIGTERM and SIGKILL."""

_SERVER_END_S: typing.Final = 2.1
_RESPONSE_TIMEOUT_S: typing.Final = 10.0


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A node with the platform's adapter and no connections."""

    def setUp(self) -> None:
        self.next_settings: options.Settings | errors.CommandError = (
            self.parse(fleetbuilders.BOOT_TEXT)
        )
        parts = dataclasses.replace(adapter.make(), load_settings=self.load)
        self.node = fleetnode.Node(self.load(), parts)

    @staticmethod
    def parse(text: str) -> options.Settings:
        """Return the settings in the text of a boot file."""
        return settings.parse(text, 'boot').unwrap()

    def load(self) -> options.Settings:
        """Return ``next_settings``, in place of reading the settings file."""
        if isinstance(self.next_settings, errors.CommandError):
            raise self.next_settings
        return self.next_settings

    def reload(self) -> typing.Any:
        """Reload; return the only log line."""
        with testing.capture_logs() as lines:
            self.node.reload()
        (line,) = lines
        return line

    def test_reload_without_changes_logs_an_empty_list(self) -> None:
        line = self.reload()
        self.assertEqual('settings read', line['event'])
        self.assertEqual([], line['changed'])

    def test_reload_logs_changed_settings(self) -> None:
        text = fleetbuilders.BOOT_TEXT.replace(
            'hold_max_ms=10000', 'hold_max_ms=9000'
        )
        self.next_settings = self.parse(text)
        line = self.reload()
        self.assertEqual(['fleet.run_lease_s'], line['changed'])

    def test_invalid_settings_change_nothing(self) -> None:
        self.next_settings = errors.CommandError(
            errors.ExitCode.USAGE, 'boot: zone: expected a value'
        )
        line = self.reload()
        self.assertEqual('error', line['log_level'])
        self.assertEqual(('boot: zone: expected a value',), line['problems'])

    def test_node_is_ready_while_operator_rows_are_reachable(self) -> None:
        now = clock.monotonic()
        self.node.intake.set_queue_configuration(
            fleetbuilders.QUEUE_CONFIGURATION, lambda: now
        )
        self.assertFalse(self.node.is_ready(now))
        self.node._shard_follower._apply(table.Changes((), (), 1), now)
        self.assertTrue(self.node.is_ready(now))
        with mock.patch.object(
            tablefollower.TableFollower, 'is_reachable', new=False
        ):
            self.assertFalse(self.node.is_ready(now))

    def test_shutdown_ends_in_time_without_the_store(self) -> None:
        """The handover and the wait for callers added up to 7.1 s.

        The soak of node processes showed the node killed after 6 s.
        """

        async def play(virtual: virtualtime.VirtualClock) -> float:
            node = fleetnode.Node(self.load(), adapter.make())
            server = _SlowServer()
            serving = asyncio.create_task(server.serve())
            started = clock.monotonic()
            with mock.patch.object(
                node._holder, 'hand_over', asyncio.Event().wait
            ):
                await node._shut_down([(server, None)], [serving])
            return clock.monotonic() - started

        self.assertLess(virtualtime.run(play), _GRACE_S)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    """The HTTP server of a node that shuts down, over a connection."""

    async def test_open_connections_are_closed_with_a_response(self) -> None:
        """Found by the soak of node processes.

        A caller that kept its connection until the node was gone sent its
        next request into a connection that was just being closed.
        """
        listener = sockets.open_listener('127.0.0.1:0')
        server = httpserver.build(_respond, 1.0)
        serving = asyncio.create_task(server.serve(sockets=[listener]))
        address = sockets.bound_address(listener)
        host, _, port = address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        for is_leaving in (False, True):
            if is_leaving:
                await server.announce_close()
            writer.write(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
            async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
            self.assertEqual(is_leaving, b'connection: close' in head)
        async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
            self.assertEqual(b'', await reader.read())
        server.should_exit = True
        await serving


async def _respond(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    headers = [(b'content-length', b'0')]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': b''})


class _SlowServer(httpserver.Server):
    """A server with a call in progress that takes all of its time."""

    def __init__(self) -> None:
        super().__init__(uvicorn.Config(_respond, log_config=None))

    async def serve(self, sockets: typing.Any = None) -> None:
        """Return as late as a server does."""
        await self._exit_requested.wait()
        await asyncio.sleep(_SERVER_END_S)


async def raise_soon() -> None:
    """Fail as a loop with a fault does."""
    await asyncio.sleep(0.1)
    raise ValueError('a fault')


async def be_cancelled() -> None:
    """End as a loop does that awaits what was cancelled elsewhere."""
    await asyncio.sleep(0.1)
    raise asyncio.CancelledError


async def answer_late(
    scope: typing.Any, receive: typing.Any, send: typing.Any
) -> None:
    """Answer a call as an ASGI application, after a second."""
    await asyncio.sleep(1.0)
    headers = [(b'content-length', b'8')]
    start = {
        'type': 'http.response.start',
        'status': 200,
        'headers': headers,
    }
    await send(start)
    await send({'type': 'http.response.body', 'body': b'complete'})


class FailedLoopTest(unittest.IsolatedAsyncioTestCase):
    """A node of which one loop failed serves on until it has shut down."""

    def setUp(self) -> None:
        read = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()
        self.read = dataclasses.replace(
            read, fleet=dataclasses.replace(read.fleet, leaving_s=0.5)
        )
        self.addresses: list[str] = []

    def open_listener(self, address: str) -> socket.socket:
        """Bind a free port instead of that of the settings."""
        listener = sockets.open_listener('127.0.0.1:0')
        self.addresses.append(sockets.bound_address(listener))
        return listener

    async def call(self) -> bytes:
        """Call the node's first port; return the whole response."""
        host, port = self.addresses[0].split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b'GET / HTTP/1.1\r\nHost: h\r\n\r\n')
        response = await reader.read()
        writer.close()
        return response

    async def run_node(self, node: fleetnode.Node) -> bytes:
        """Run a node until it ends; return the response to an open call."""
        node._client_api = answer_late
        fake_sockets = mock.Mock(spec_set=['open_listener'])
        fake_sockets.open_listener = self.open_listener
        with mock.patch.object(fleetnode, 'sockets', new=fake_sockets):
            running = asyncio.create_task(node.run())
            while not self.addresses:
                await asyncio.sleep(0.01)
            response = await self.call()
            async with asyncio.timeout(20.0):
                await running
        return response

    async def check(self, **loops: typing.Any) -> None:
        """Check a node whose holder has other coroutines for its own."""
        node = fleetnode.Node(self.read, adapter.make())
        for name, coroutine in loops.items():
            setattr(node._holder, name, coroutine)
        with testing.capture_logs() as lines:
            response = await self.run_node(node)
        self.assertTrue(response.endswith(b'complete'), response)
        events = [line['event'] for line in lines]
        self.assertIn('loop ended unexpectedly; shutting down', events)
        self.assertEqual('stopped', events[-1])

    async def test_a_loop_that_raises(self) -> None:
        await self.check(run=raise_soon)

    async def test_a_loop_that_is_cancelled(self) -> None:
        """Guards against a process that ends with its calls cut off."""
        await self.check(run=be_cancelled)

    async def test_a_handover_that_raises_too(self) -> None:
        """Guards against the same: what failed a loop may fail it as well."""
        await self.check(run=raise_soon, hand_over=raise_soon)


if __name__ == '__main__':
    unittest.main()
