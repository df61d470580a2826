"""Clocks of a process.

Deadlines, leases and the start permit are measured by one process's
monotonic clock, in which suspended time counts.  Wall time is used only
in records that people read.  Deciding functions never call this module:
they take ``now`` as an argument.
"""

import time


def monotonic() -> float:
    """Return seconds since boot; time spent suspended counts."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch, for records only."""
    return time.time()
