"""Workers that are kept whole for urgent work that is about to come.

Urgent work that finds no room has other work stopped, which then was in
vain and starts again.  So while urgent work keeps coming, single tasks
that have time to wait are not spread to further empty workers: about as
many stay empty as urgent work took of late.
"""

import collections
import dataclasses
import math
import typing

_WINDOW_S: typing.Final = 10.0
_LEAD_S: typing.Final = 1.5
"""Room is kept for what comes in this time: stops take about as long."""

_LARGEST_SHARE: typing.Final = 0.25
"""Of all workers; the rest goes to whatever waits."""


@dataclasses.dataclass(slots=True)
class UrgentDemand:
    """Starts of urgent work of late: their time and their workers' worth."""

    _starts: collections.deque[tuple[float, float]] = dataclasses.field(
        default_factory=collections.deque
    )

    def record(self, workers: float, now: float) -> None:
        """Take note of a start that took so many workers' room."""
        self._starts.append((now, workers))

    def workers_to_keep(self, all_workers: int, now: float) -> int:
        """Return how many workers should stay empty."""
        while self._starts and self._starts[0][0] < now - _WINDOW_S:
            self._starts.popleft()
        taken = sum(workers for _, workers in self._starts)
        wanted = math.ceil(taken / _WINDOW_S * _LEAD_S)
        return min(wanted, int(all_workers * _LARGEST_SHARE))
