"""Clocks of a process.

Deadlines, leases and the start permit are measured on one process's
monotonic clock, which includes suspended time.  Wall time is used only in
records for people.  Functions that decide never call this module; they
receive ``now`` as an argument.
"""

import time


def monotonic() -> float:
    """Return seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall() -> float:
    """Return seconds since the Unix epoch, for records only."""
    return time.time()
