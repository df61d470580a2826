"""Settings of what callers' connections may take: the section ``http``."""

import dataclasses

from primroselock import ini


@dataclasses.dataclass(frozen=True, slots=True)
class HttpSettings:
    """Limits of the HTTP servers of one process.

    ``max_head_bytes`` bounds the head of a request, and what a body in
    chunks has between two pieces of data or at its end.  Beyond
    ``max_connections`` to one address (``max_probe_connections`` to one
    that serves no callers) those that have waited longest are closed.
    What unanswered requests take may be ``max_held_bytes`` for each
    address.

    A head must end within ``head_timeout_s`` of its first byte, and the
    body within ``body_timeout_s`` of the end of the head; a new connection
    is closed after ``idle_timeout_s`` without a byte, and one whose peer
    has read nothing of an answer for ``write_timeout_s``.
    """

    max_head_bytes: int = ini.key('positive', 65_536)
    max_connections: int = ini.key('positive', 4_096)
    max_probe_connections: int = ini.key('positive', 32)
    max_held_bytes: int = ini.key('positive', 64 * 1024 * 1024)
    head_timeout_s: float = ini.key('seconds', 10.0)
    idle_timeout_s: float = ini.key('seconds', 20.0)
    body_timeout_s: float = ini.key('seconds', 330.0)
    write_timeout_s: float = ini.key('seconds', 20.0)
