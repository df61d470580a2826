"""Times that double with each failure in a row, up to a limit."""

import typing

_MAX_DOUBLINGS: typing.Final = 64
"""More than any limit needs; a larger power would overflow in the end."""


def doubled_s(first_s: float, doublings: int, max_s: float) -> float:
    """Return ``first_s`` doubled that many times, at most ``max_s``.

    Times are in seconds; fewer than no doublings count as none.
    """
    factor: float = 2.0 ** min(max(doublings, 0), _MAX_DOUBLINGS)
    return min(first_s * factor, max_s)
