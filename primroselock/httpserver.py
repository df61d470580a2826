"""The HTTP server of a daemon, which leaves signals to the daemon."""

from collections import abc
import contextlib
import math
import typing

import uvicorn


class Server(uvicorn.Server):
    """A server that installs no signal handler."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Leave every signal to the daemon."""
        yield


def build(
    app: typing.Any, grace_s: float, certificate: str = '', key: str = ''
) -> Server:
    """Return a server of the ASGI application ``app``.

    Once told to leave it finishes what runs, for at most ``grace_s``.
    ``certificate`` and ``key`` are paths of PEM files; with them it
    serves TLS.
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
