"""How far a run has come, as its worker tells from look to look.

A worker tells the share of a run's work that is done.  Two looks give a
rate, and with it the time that the run still takes: estimates of callers
may be far off, and a holder that took over does not know when a run
began.  A share that does not rise shows a run that stands still.
"""

import dataclasses
import typing

_LEAST_GAIN: typing.Final = 0.02
"""Shares are told in hundredths: a smaller gain gives no rate."""

_SURE_GAIN: typing.Final = 0.15


@dataclasses.dataclass(slots=True)
class Progress:
    """The first and the latest share that were seen; shares are 0 to 1.

    ``moved_at`` is when the share was last seen to rise, ``seen_at`` when
    it was last told.  ``is_rate_taken`` is set once its rate was taken.
    """

    first_share: float
    first_at: float
    share: float
    moved_at: float
    seen_at: float
    is_rate_taken: bool = False

    def record(self, share: float, now: float) -> None:
        """Take note of what the worker told."""
        if share > self.share:
            self.share = share
            self.moved_at = now
        self.seen_at = now

    @property
    def rate_per_s(self) -> float | None:
        """The share done in a second; None where too little was seen."""
        gain = self.share - self.first_share
        passed_s = self.moved_at - self.first_at
        if gain < _LEAST_GAIN or passed_s <= 0:
            return None
        return gain / passed_s

    def take_rate(self) -> float | None:
        """Return the rate, once, when it has become a sure one."""
        gain = self.share - self.first_share
        if self.is_rate_taken or gain < _SURE_GAIN or self.share >= 1.0:
            return None
        self.is_rate_taken = True
        return self.rate_per_s

    def take_final_rate(self, now: float) -> float | None:
        """Return the rate of a run that has just ended, unless taken."""
        passed_s = now - self.first_at
        if self.is_rate_taken or passed_s <= 0 or self.first_share >= 1.0:
            return None
        self.is_rate_taken = True
        return (1.0 - self.first_share) / passed_s

    def remaining_s(self, now: float) -> float | None:
        """Return how long the run still takes; None where unknown."""
        rate = self.rate_per_s
        if rate is None:
            return None
        left_s = (1.0 - self.share) / rate
        return max(0.0, left_s - (now - self.moved_at))

    def worked_s(self, now: float) -> float:
        """Return how long the run has worked, also before it was seen."""
        rate = self.rate_per_s
        before_s = self.first_share / rate if rate else 0.0
        return before_s + now - self.first_at

    @property
    def stalled_s(self) -> float:
        """Return for how long no look has shown the share to rise."""
        return self.seen_at - self.moved_at


def start(share: float, now: float) -> Progress:
    """Return the progress of a run that is seen for the first time."""
    return Progress(share, now, share, now, now)
