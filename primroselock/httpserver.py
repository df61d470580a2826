"""The HTTP server of a daemon; the daemon handles the signals."""

from collections import abc
import contextlib
import math
import typing

import uvicorn


class Server(uvicorn.Server):
    """A server that installs no signal handler."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Install no handler; the daemon handles the signals."""
        yield


def build(
    app: typing.Any, grace_s: float, certificate: str = '', key: str = ''
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
            timeout_graceful_shutdown=math.ceil(grace_s),
            ssl_certfile=certificate or None,
            ssl_keyfile=key or None,
        )
    )
