"""The progress of a run, from the run reports of its worker.

A worker reports the share of a run's work that is done.  Two reports give
a rate, and with it the remaining time: the callers' estimates may be
wrong, and a holder that took over does not know when a run began.  A run
whose share does not rise is stalled.
"""

import dataclasses
import typing

_MIN_GAIN: typing.Final = 0.02
"""Shares are reported in hundredths: a smaller gain gives no rate."""

_RELIABLE_GAIN: typing.Final = 0.15
"""Gain from which a rate is reliable enough to estimate a worker's speed."""


@dataclasses.dataclass(slots=True)
class Progress:
    """The first and the latest share that were reported, from 0 to 1.

    ``moved_at`` is when a report last showed a higher share, ``seen_at``
    when the share was last reported, both in seconds on this process's
    clock.  ``is_rate_taken`` is set once ``take_rate`` or
    ``take_final_rate`` has returned the rate.
    """

    first_share: float
    first_at: float
    share: float
    moved_at: float
    seen_at: float
    is_rate_taken: bool = False

    def record(self, share: float, now: float) -> None:
        """Record a reported share."""
        if share > self.share:
            self.share = share
            self.moved_at = now
        self.seen_at = now

    @property
    def rate_per_s(self) -> float | None:
        """Return the share done per second; None if the gain is too small."""
        gain = self.share - self.first_share
        passed_s = self.moved_at - self.first_at
        if gain < _MIN_GAIN or passed_s <= 0:
            return None
        return gain / passed_s

    @property
    def reliable_rate_per_s(self) -> float | None:
        """Return the share done per second; None until it is reliable."""
        if self.share - self.first_share < _RELIABLE_GAIN:
            return None
        return self.rate_per_s

    def take_rate(self) -> float | None:
        """Return the share done per second, once, when it is reliable."""
        gain = self.share - self.first_share
        if self.is_rate_taken or gain < _RELIABLE_GAIN or self.share >= 1.0:
            return None
        self.is_rate_taken = True
        return self.rate_per_s

    def take_first_rate(self, began_at: float) -> float | None:
        """Return the rate of a run that began at ``began_at``, if reliable.

        For the first report of a run that began with nothing done.
        """
        passed_s = self.first_at - began_at
        if not _RELIABLE_GAIN <= self.first_share < 1.0 or passed_s <= 0:
            return None
        self.is_rate_taken = True
        return self.first_share / passed_s

    def take_final_rate(self, now: float) -> float | None:
        """Return the rate of a run that has just ended, unless taken.

        The unit is the share done per second.
        """
        passed_s = now - self.first_at
        if self.is_rate_taken or passed_s <= 0 or self.first_share >= 1.0:
            return None
        self.is_rate_taken = True
        return (1.0 - self.first_share) / passed_s

    def remaining_s(self, now: float) -> float | None:
        """Return the remaining run time in seconds; None if unknown."""
        rate = self.rate_per_s
        if rate is None:
            return None
        left_s = (1.0 - self.share) / rate
        return max(0.0, left_s - (now - self.moved_at))

    def worked_s(self, now: float) -> float:
        """Return the estimated run time so far in seconds.

        The time before the first report is derived from the rate.
        """
        rate = self.rate_per_s
        before_s = self.first_share / rate if rate else 0.0
        return before_s + now - self.first_at

    @property
    def stalled_s(self) -> float:
        """Return for how many seconds no report has shown a higher share."""
        return self.seen_at - self.moved_at


def start(share: float, now: float) -> Progress:
    """Return the progress of a run that is reported for the first time."""
    return Progress(share, now, share, now, now)
