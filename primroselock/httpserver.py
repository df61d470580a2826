"""The HTTP server of a daemon, which leaves signals to the daemon."""

from collections import abc
import contextlib

from starlette import applications
import uvicorn


class Server(uvicorn.Server):
    """A server that installs no signal handler."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Leave every signal to the daemon."""
        yield


def build(app: applications.Starlette, grace_s: float) -> Server:
    """Return a server of ``app``.

    Once told to leave it finishes what runs, for at most ``grace_s``.
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
            timeout_graceful_shutdown=int(grace_s),
        )
    )
