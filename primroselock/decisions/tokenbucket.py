"""A budget of tokens that fills at a fixed rate."""

import dataclasses


@dataclasses.dataclass(slots=True)
class TokenBucket:
    """At most ``limit`` tokens, ``rate_per_s`` of them added a second.

    ``tokens`` is what was there at ``refilled_at``; it may be below zero,
    when tokens were promised that are yet to come.
    """

    rate_per_s: float
    limit: float
    tokens: float
    refilled_at: float = 0.0

    def spend(self, now: float) -> float:
        """Take one token; return the seconds until it is there."""
        passed_s = max(0.0, now - self.refilled_at)
        self.refilled_at = now
        filled = self.tokens + passed_s * self.rate_per_s
        self.tokens = min(self.limit, filled) - 1.0
        return max(0.0, -self.tokens / self.rate_per_s)
