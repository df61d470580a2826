"""HTTP serving of a stand-in's application on a loopback port."""

import json
import signal
import socket
import sys
import typing

import uvicorn


def bind(address: str) -> socket.socket:
    """Return a listening socket on ``address``; port 0 means any free one."""
    host, _, port = address.rpartition(':')
    # asyncio disables Nagle's algorithm only on sockets with this protocol.
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen()
    listener.setblocking(False)
    return listener


def address_of(listener: socket.socket) -> str:
    """Return ``IP:PORT`` of a bound socket."""
    host, port = listener.getsockname()[:2]
    return f'{host}:{port}'


def announce(**fields: typing.Any) -> None:
    """Log the ``listening`` event on standard error, as a line of JSON.

    The process that started this one reads the addresses from it.
    """
    print(json.dumps({'event': 'listening', **fields}), file=sys.stderr)
    sys.stderr.flush()


async def serve(
    app: typing.Any,
    listener: socket.socket,
    connections: int | None = None,
) -> None:
    """Serve ``app`` until the process is terminated.

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
            # The server's count includes the connection being checked.
            limit_concurrency=connections and connections + 1,
        )
    )
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    await server.serve([listener])
