"""Reads the body of a request up to a limit.

A body that declares more is not read at all, and of one that turns out to be
longer no more is read than shows it: a caller cannot fill a process's memory.
"""

import dataclasses

import result
from starlette import requests

from primroselock import decoding


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The body has more than ``limit`` bytes; the rest of it is unread.

    The connection cannot be used for another request.
    """

    limit: int


async def read(
    request: requests.Request, limit: int
) -> result.Result[bytes, TooLarge]:
    """Return the body of a request of at most ``limit`` bytes.

    Raises :class:`requests.ClientDisconnect` if it ends early.
    """
    declared = request.headers.get('content-length', '0')
    if declared.isdecimal() and decoding.parse_count(declared, limit) is None:
        return result.Err(TooLarge(limit))
    parts: list[bytes] = []
    size = 0
    async for part in request.stream():
        parts.append(part)
        size += len(part)
        if size > limit:
            return result.Err(TooLarge(limit))
    return result.Ok(b''.join(parts))
