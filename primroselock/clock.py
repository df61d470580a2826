"""Clocks of a process.

Deadlines, leases and the start permit are measured on one process's
monotonic clock, which includes suspended time.  Wall time is used for times
that are stored or shown and for those that callers set, such as due times.
Functions that decide never call this module; they receive ``now`` as an
argument.
"""

import time


def monotonic() -> float:
    """Return seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch; the clock may be set back."""
    return time.time()
