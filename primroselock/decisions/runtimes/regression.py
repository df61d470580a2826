"""Predicts run times from the callers' estimates, by decayed regression.

Run times and estimates are taken as logarithms, so that a factor of two is
the same error in either direction.  The line through them says how much an
estimate tells: with a slope of 1 it is right up to a constant factor, with 0
it tells nothing and the usual run time is predicted.
"""

import dataclasses
import math
import typing

DECAY: typing.Final = 0.95
"""The factor by which each run of weight 1 reduces that of earlier ones.

What is predicted follows work that has changed within some twenty runs.
"""

_PRIOR_LEVEL_RUNS: typing.Final = 1.0
_PRIOR_SLOPE_RUNS: typing.Final = 4.0
"""Runs by which level and slope are pulled to those of estimates that are
right: a level is known sooner than a slope."""

_PRIOR_VARIANCE: typing.Final = 0.25
"""Variance of the logarithms of the estimates of these runs."""


@dataclasses.dataclass(slots=True)
class Regression:
    """Weighted sums over the logarithms of estimates and of run times.

    ``weight`` is that of all runs, each decayed by those after it.
    """

    weight: float = 0.0
    estimates: float = 0.0
    times: float = 0.0
    estimates_squared: float = 0.0
    products: float = 0.0

    def record(
        self, estimate_s: float, took_s: float, weight: float = 1.0
    ) -> None:
        """Record the run time of a task and the estimate of its caller."""
        x, y = math.log(estimate_s), math.log(took_s)
        self.scale(DECAY**weight)
        self.weight += weight
        self.estimates += x * weight
        self.times += y * weight
        self.estimates_squared += x * x * weight
        self.products += x * y * weight

    def scale(self, factor: float) -> None:
        """Multiply the weight of all runs by ``factor``."""
        self.weight *= factor
        self.estimates *= factor
        self.times *= factor
        self.estimates_squared *= factor
        self.products *= factor

    @property
    def usual_estimate_s(self) -> float:
        """Return the usual estimate, in seconds; 1 while none is known."""
        return math.exp(self.estimates / self.weight) if self.weight else 1.0

    def predict_log(self, estimate_s: float) -> float:
        """Return the logarithm of the expected run time in seconds."""
        x = math.log(estimate_s)
        if self.weight <= 0:
            return x
        mean_x = self.estimates / self.weight
        mean_y = self.times / self.weight
        # The prior runs lie on the line of estimates that are right.
        pull = self.weight / (self.weight + _PRIOR_LEVEL_RUNS)
        level = mean_x + (mean_y - mean_x) * pull
        return level + self._slope(mean_x, mean_y) * (x - mean_x)

    def _slope(self, mean_x: float, mean_y: float) -> float:
        """Return how much of a difference of estimates is one of times."""
        prior = _PRIOR_SLOPE_RUNS * _PRIOR_VARIANCE
        spread = self.estimates_squared - self.weight * mean_x * mean_x
        common = self.products - self.weight * mean_x * mean_y
        slope = (common + prior) / (max(0.0, spread) + prior)
        return min(1.0, max(0.0, slope))
