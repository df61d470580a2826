"""Tells when this process itself was late, and so may blame nobody.

A process that notices something well after it was due was busy, or was not
run at all.  Answers that were received meanwhile still wait for it, so that
their absence shows nothing about who should have answered.
"""

import typing

_LATE_S: typing.Final = 0.3


def is_late(delay_s: float) -> bool:
    """Return whether ``delay_s`` after the due time, in seconds, is late."""
    return delay_s > _LATE_S
