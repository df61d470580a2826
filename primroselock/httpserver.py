"""The HTTP server of a daemon; the daemon handles the signals.

An idle server hardly wakes: a node has three, and there are many nodes.
"""

import asyncio
from collections import abc
import contextlib
import math
import typing

import uvicorn


_DATE_INTERVAL_S: typing.Final = 1.0
_FIRST_TICK: typing.Final = 0
"""The number of a tick in which uvicorn updates its headers."""


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


def build(
    app: typing.Any,
    grace_s: float,
    certificate: str = '',
    key: str = '',
    date_header: bool = True,
) -> Server:
    """Return a server of the ASGI application ``app``.

    At shutdown it waits up to ``grace_s`` seconds for requests in
    progress.  ``certificate`` and ``key`` are paths of PEM files; with
    them it serves TLS.
    """
    return Server(
        uvicorn.Config(
            app,
            loop='asyncio',
            http='httptools',
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
