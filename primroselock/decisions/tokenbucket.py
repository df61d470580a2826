"""A token bucket that may go into debt."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """A bucket of at most ``limit`` tokens, refilled at ``rate_per_s``.

    ``tokens`` is the number available at ``refilled_at``, in seconds of the
    caller's clock.  It is negative when tokens were taken in advance.
    """

    rate_per_s: float
    limit: float
    tokens: float
    refilled_at: float = 0.0

    def wait_s(self, now: float) -> float:
        """Return the seconds until a token is available; take none."""
        passed_s = max(0.0, now - self.refilled_at)
        filled = self.tokens + passed_s * self.rate_per_s
        missing = 1.0 - min(self.limit, filled)
        return max(0.0, missing / self.rate_per_s)

    def spend(self, now: float) -> float:
        """Take one token; return the seconds until it is available."""
        passed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        filled = self.tokens + passed_s * self.rate_per_s
        self.tokens = min(self.limit, filled) - 1.0
        return max(0.0, -self.tokens / self.rate_per_s)
