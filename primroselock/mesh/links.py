"""The connections of one process with its peers, each through a relay.

:class:`Door` accepts those that others open, :class:`Link` keeps one open
with a peer.  Both bound what they hold by the settings of the mesh.
"""

import asyncio
import ipaddress
import socket
import typing

from primroselock import clock
from primroselock import connectionlimits
from primroselock import httpsettings
from primroselock.mesh import relay
from primroselock import meshsettings
from primroselock import metrics

MAX_REPLY_BYTES: typing.Final = 4 * 1024 * 1024
"""The size of an answer of a peer, which may be a whole configuration."""

_ACCEPTED_AT_ONCE: typing.Final = 32
BACKLOG: typing.Final = 2048
_CONNECT_TIMEOUT_S: typing.Final = 2.0
_RECONNECT_S: typing.Final = 0.1
_MAX_RECONNECT_S: typing.Final = 2.0
_REST_S: typing.Final = 1.0
_MAX_PORT: typing.Final = 65_535
_LEAST_PIECE_BYTES: typing.Final = 1_024
"""Smaller pieces are heartbeats and handshakes, or no answers that count.

They free no room for answers; what small answers took is free once the
library is at rest.
"""

_LINKS_PER_PEER: typing.Final = 2
"""A link that ends may overlap with the next one."""


def build_guard(
    name: str,
    settings: meshsettings.MeshSettings,
    max_connections: int,
    counters: metrics.Metrics,
) -> connectionlimits.Guard:
    """Return the guard of the connections that ``name`` stands for."""
    limits = httpsettings.HttpSettings(
        max_held_bytes=settings.max_held_bytes,
        head_timeout_s=settings.handshake_timeout_s,
        body_timeout_s=settings.message_timeout_s,
        write_timeout_s=settings.message_timeout_s,
    )
    return connectionlimits.Guard(
        name, connectionlimits.Limits(limits, max_connections), counters
    )


def guard_links(
    settings: meshsettings.MeshSettings, counters: metrics.Metrics
) -> connectionlimits.Guard:
    """Return the guard of the connections that this process opens."""
    most = settings.max_peers * _LINKS_PER_PEER
    return build_guard('mesh_links', settings, most, counters)


class Door:
    """Accepts the connections that other processes open."""

    def __init__(
        self,
        settings: meshsettings.MeshSettings,
        inbox: relay.Counted,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._inbox = inbox
        self._guard = build_guard(
            'mesh', settings, settings.max_connections, counters
        )
        self._server: asyncio.Server | None = None
        self._relays: set[relay.Relay] = set()
        self._unsent_bytes = 0
        self._sent_at = 0.0

    async def open(self, listener: socket.socket) -> None:
        """Accept connections from now on."""
        loop = asyncio.get_running_loop()
        # The backlog is also how many connections are accepted at once,
        # before those in excess are closed; the kernel keeps more.
        self._server = await loop.create_server(
            self._accept, sock=listener, backlog=_ACCEPTED_AT_ONCE
        )
        listener.listen(BACKLOG)

    def _accept(self) -> asyncio.BaseProtocol:
        accepted = relay.Relay(
            self._guard, self._inbox, self._settings.max_message_bytes, False
        )
        self._relays.add(accepted)
        accepted.on_end = self._relays.discard
        accepted.on_sent = self._note_sent
        return accepted.outer

    def may_send(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes may be sent now.

        The answers that have not left the library may take
        ``max_held_bytes``.
        """
        if self._is_at_rest():
            # The rest was for connections that have ended.
            self._unsent_bytes = 0
            self._sent_at = clock.monotonic()
        if self._unsent_bytes + size > self._settings.max_held_bytes:
            return False
        self._unsent_bytes += size
        return True

    def _is_at_rest(self) -> bool:
        """Return whether the library has nothing more to send."""
        waited_s = clock.monotonic() - self._sent_at
        return waited_s > _REST_S and not any(
            each.is_blocked for each in self._relays
        )

    def _note_sent(self, size: int) -> None:
        """Note that bytes have left the library."""
        if size >= _LEAST_PIECE_BYTES:
            self._unsent_bytes = max(0, self._unsent_bytes - size)
            self._sent_at = clock.monotonic()

    def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.close()
        for each in list(self._relays):
            each.close()
        self._inbox.clear()


class Link:
    """Keeps a connection open with a peer."""

    def __init__(
        self,
        address: str,
        inbox: relay.Counted,
        guard: connectionlimits.Guard,
    ) -> None:
        """Prepare the link to ``address``, an IP address and a port.

        Raises :class:`ValueError` if it is none.
        """
        host, _, port = address.rpartition(':')
        # A name would be looked up by the daemon, and may not be encodable.
        self._host = str(ipaddress.ip_address(host.strip('[]')))
        self._port = int(port)
        if not 0 <= self._port <= _MAX_PORT:
            raise ValueError(address)
        self._inbox = inbox
        self._guard = guard

    async def run(self) -> None:
        """Open a connection, again after each end, until cancelled."""
        wait_s = _RECONNECT_S
        while True:
            was_open = await self._run_once()
            wait_s = (
                _RECONNECT_S if was_open else min(wait_s * 2, _MAX_RECONNECT_S)
            )
            await asyncio.sleep(wait_s)

    async def _run_once(self) -> bool:
        """Return whether there was a connection, once it has ended."""
        loop = asyncio.get_running_loop()
        opened = relay.Relay(self._guard, self._inbox, MAX_REPLY_BYTES, True)
        was_open = False
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await loop.create_connection(
                    lambda: opened.outer, self._host, self._port
                )
            await opened.ended.wait()
            was_open = opened.is_open
        except OSError:
            # Nobody listens there, or there is no way: tried again.
            pass
        finally:
            opened.close()
            self._inbox.clear()
        return was_open
