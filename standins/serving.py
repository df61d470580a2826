"""Serves a stand-in's application on a loopback port."""

import json
import signal
import socket
import sys
import typing

import uvicorn


def bind(address: str) -> socket.socket:
    """Return a listening socket on ``address``; port 0 picks a free one."""
    host, _, port = address.rpartition(':')
    # Named as TCP, so that asyncio turns Nagle's algorithm off.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen()
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> str:
    """Return the IP and port that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


def announce(**fields: typing.Any) -> None:
    """Print that the stand-in listens, for whoever started it."""
    print(json.dumps({'event': 'listening', **fields}), file=sys.stderr)
    sys.stderr.flush()


async def serve(
    app: typing.Any,
    listener: socket.socket,
    connections: int | None = None,
) -> None:
    """Serve ``app`` until the process is told to end.

    Requests on connections beyond ``connections`` are answered 503.
    """
    server = uvicorn.Server(
        uvicorn.Config(
            app,
            loop='asyncio',
            http='httptools',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            timeout_keep_alive=60,
            timeout_graceful_shutdown=1,
            # The server counts the connection that it judges too.
            limit_concurrency=connections and connections + 1,
        )
    )
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    await server.serve([listener])
