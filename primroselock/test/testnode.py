"""Tests of the composed node: reload of settings, readiness."""

import asyncio
import dataclasses
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


if __name__ == '__main__':
    unittest.main()
