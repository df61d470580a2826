"""The HTTP server of a daemon; the daemon handles the signals.

An idle server hardly wakes: a node has three, and there are many nodes.
"""

import asyncio
from collections import abc
import contextlib
import functools
import math
import socket
import typing

from starlette import requests
import uvicorn

from primroselock import boundedhttp
from primroselock import connectionlimits
from primroselock import httpsettings
from primroselock import metrics


_DATE_INTERVAL_S: typing.Final = 1.0
_FIRST_TICK: typing.Final = 0
"""The number of a tick in which uvicorn updates its headers."""

_ACCEPTED_AT_ONCE: typing.Final = 32
"""Connections accepted before those beyond the limit are closed."""

_BACKLOG: typing.Final = 2048
"""Connections that may wait in the kernel to be accepted."""


class Server(uvicorn.Server):
    """A server that installs no signal handler and waits without polling.

    Set ``should_exit`` to shut it down.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        self._exit_requested = asyncio.Event()
        super().__init__(config)

    @property
    def should_exit(self) -> bool:
        """Whether the server was asked to shut down."""
        return self._exit_requested.is_set()

    @should_exit.setter
    def should_exit(self, value: bool) -> None:
        if value:
            self._exit_requested.set()
        else:
            self._exit_requested.clear()

    async def startup(
        self, sockets: list[socket.socket] | None = None
    ) -> None:
        """Start to serve.

        The library's backlog is also how many connections it accepts at
        once; the kernel keeps more of them.
        """
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(_BACKLOG)

    async def main_loop(self) -> None:
        """Wait until the server is asked to shut down.

        The date of the default headers is kept up to date meanwhile.
        """
        await self.on_tick(_FIRST_TICK)
        while not self.should_exit:
            if not self.config.date_header:
                await self._exit_requested.wait()
                return
            try:
                async with asyncio.timeout(_DATE_INTERVAL_S):
                    await self._exit_requested.wait()
            except TimeoutError:
                # The usual case: nobody asked within the interval.
                await self.on_tick(_FIRST_TICK)

    async def announce_close(self) -> None:
        """Close each connection with its next response, which says so."""
        self.config.encoded_headers.append((b'connection', b'close'))
        await self.on_tick(_FIRST_TICK)

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Install no handler; the daemon handles the signals."""
        yield


class _Contained:
    """An application for which a caller that leaves early is no error."""

    def __init__(self, app: typing.Any) -> None:
        self._app = app

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one request."""
        try:
            await self._app(scope, receive, send)
        except requests.ClientDisconnect:
            # There is nobody to answer; nothing was passed on.
            pass


def guard_callers(
    name: str, settings: httpsettings.HttpSettings, counters: metrics.Metrics
) -> connectionlimits.Guard:
    """Return the guard of the address ``name``, which callers use."""
    limits = connectionlimits.Limits(settings, settings.max_connections)
    return connectionlimits.Guard(name, limits, counters)


def guard_probes(
    name: str, settings: httpsettings.HttpSettings, counters: metrics.Metrics
) -> connectionlimits.Guard:
    """Return the guard of the address ``name``, which no caller uses."""
    limits = connectionlimits.Limits(settings, settings.max_probe_connections)
    return connectionlimits.Guard(name, limits, counters)


def build(
    app: typing.Any,
    grace_s: float,
    guard: connectionlimits.Guard | None = None,
    certificate: str = '',
    key: str = '',
    date_header: bool = True,
) -> Server:
    """Return a server of the ASGI application ``app``.

    At shutdown it waits up to ``grace_s`` seconds for requests in
    progress.  ``guard`` bounds its connections, by default with the
    settings' defaults.  ``certificate`` and ``key`` are paths of PEM files;
    with them it serves TLS.
    """
    if guard is None:
        defaults = httpsettings.HttpSettings()
        guard = guard_callers('http', defaults, metrics.Metrics())
    protocol: typing.Any = functools.partial(
        boundedhttp.Connection, guard=guard
    )
    return Server(
        uvicorn.Config(
            _Contained(app),
            loop='asyncio',
            http=protocol,
            backlog=_ACCEPTED_AT_ONCE,
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            date_header=date_header,
            timeout_graceful_shutdown=math.ceil(grace_s),
            ssl_certfile=certificate or None,
            ssl_keyfile=key or None,
        )
    )
