"""How far run times were from what was expected, as decayed quantiles.

A histogram of the logarithm of the ratio, whose counts decay with each run.
The sketches of the libraries at hand do not forget, and work changes.
"""

import dataclasses
import math
import typing

from primroselock.decisions.runtimes import regression

BINS: typing.Final = 64
_WIDTH: typing.Final = 0.1
"""The width of a bin, as a difference of logarithms: about a tenth."""

_LOWEST: typing.Final = -2.4
"""The middle of the first bin; beyond the last one, run times are forty
times as long as expected."""


@dataclasses.dataclass(slots=True)
class Spread:
    """Decayed counts of the ratios of run times to the expected ones."""

    counts: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * BINS
    )
    weight: float = 0.0

    def record(self, log_ratio: float, weight: float = 1.0) -> None:
        """Record the logarithm of the ratio of one run."""
        self.scale(regression.DECAY**weight)
        number = round((log_ratio - _LOWEST) / _WIDTH)
        self.counts[min(BINS - 1, max(0, number))] += weight
        self.weight += weight

    def scale(self, factor: float) -> None:
        """Multiply the weight of all runs by ``factor``."""
        self.counts = [count * factor for count in self.counts]
        self.weight *= factor

    def quantile(self, share: float) -> float:
        """Return the ratio that ``share`` of the runs do not exceed.

        It is the middle of a bin; 1 while nothing was recorded.
        """
        left = self.weight * share
        if left <= 0:
            return 1.0
        for number, count in enumerate(self.counts):
            left -= count
            if left <= 0:
                return math.exp(_LOWEST + number * _WIDTH)
        return math.exp(_LOWEST + (BINS - 1) * _WIDTH)
