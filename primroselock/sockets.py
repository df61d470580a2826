"""Listening sockets of a daemon."""

import ipaddress
import socket
import typing

from primroselock import errors

_BACKLOG: typing.Final = 2048
"""Connections that may wait in the kernel to be accepted."""


def open_listener(address: str) -> socket.socket:
    """Return a listening socket bound to ``address`` (IP and port).

    Raises :class:`errors.CommandError` if the address cannot be bound.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    # With an explicit IPPROTO_TCP asyncio sets TCP_NODELAY; otherwise a
    # response of several segments waits for the peer's delayed ACK.
    listener = socket.socket(family, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
        listener.listen(_BACKLOG)
    except OSError as error:
        listener.close()
        raise errors.CommandError(
            errors.ExitCode.UNREACHABLE,
            f'cannot listen on {address}: {error.strerror}',
        ) from error
    listener.setblocking(False)
    return listener


def bound_address(listener: socket.socket) -> str:
    """Return the IP and port that a socket is bound to."""
    host, port = listener.getsockname()[:2]
    return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'


def host_of(address: str) -> str:
    """Return the host of HOST:PORT, an IPv6 host in its brackets."""
    return address.rpartition(':')[0]


def find_reachable(address: str, known: str) -> str:
    """Return ``address`` if peers on other VMs can reach it, else empty.

    Peers reach ``known``, so they reach its host.  A wildcard address says
    nothing, and a loopback address is that of their own VM.
    """
    host = host_of(address)
    try:
        parsed = ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return ''
    if parsed.is_unspecified:
        return ''
    if parsed.is_loopback and host != host_of(known):
        return ''
    return address
