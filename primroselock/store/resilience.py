"""Circuit breaker, rate limit and adaptive timeout for platform calls.

After ``FAILURES_TO_OPEN`` failures in a row the breaker opens: calls
fail at once instead of occupying connections until their deadlines,
except for one probe every ``PROBE_INTERVAL_S``.  One success closes it.
"""

import typing

import transitions

from primroselock import logs

FAILURES_TO_OPEN: typing.Final = 8
PROBE_INTERVAL_S: typing.Final = 0.25
_log: typing.Final = logs.get('platform')


class CircuitBreaker:
    """Circuit breaker with the states closed, open and probing.

    ``name`` identifies the calls in the log.
    """

    state: str

    def __init__(self, name: str) -> None:
        self._name = name
        self._failures = 0
        self._next_probe_at = 0.0
        self._machine = transitions.Machine(
            self,
            states=['closed', 'open', 'probing'],
            initial='closed',
            auto_transitions=False,
            transitions=[
                ['trip', 'closed', 'open'],
                ['probe', 'open', 'probing'],
                ['reopen', 'probing', 'open'],
                ['close', ['open', 'probing'], 'closed'],
            ],
        )

    def admits(self, now: float) -> bool:
        """Return whether a call may be sent at ``now``."""
        if self.state == 'closed':
            return True
        if now < self._next_probe_at:
            return False
        # A probe whose caller was cancelled must not block later ones.
        self._next_probe_at = now + PROBE_INTERVAL_S
        if self.state == 'open':
            self.trigger('probe')
        return True

    def record(self, succeeded: bool, now: float) -> None:
        """Record whether a call succeeded."""
        if succeeded:
            self._failures = 0
            if self.state != 'closed':
                self.trigger('close')
                _log.info('platform available again', calls=self._name)
            return
        self._failures += 1
        if self.state == 'probing':
            self.trigger('reopen')
        elif self.state == 'closed' and self._failures >= FAILURES_TO_OPEN:
            self._next_probe_at = now + PROBE_INTERVAL_S
            self.trigger('trip')
            _log.warning(
                'platform unavailable; calls fail at once', calls=self._name
            )

    if typing.TYPE_CHECKING:

        def trigger(self, name: str) -> bool:
            """Run a transition; the state machine adds this method."""


class RateLimit:
    """Token bucket of ``rate`` calls a second, with a burst as large."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._tokens = rate
        self._refilled_at = 0.0

    def reserve(self, now: float) -> float:
        """Reserve one call; return its waiting time in seconds."""
        refilled = (now - self._refilled_at) * self._rate
        self._tokens = min(self._rate, self._tokens + max(0.0, refilled))
        self._refilled_at = now
        self._tokens -= 1
        return max(0.0, -self._tokens / self._rate)

    def refund(self) -> None:
        """Refund the reservation of a call that was not made."""
        self._tokens += 1


_INITIAL_TYPICAL_S: typing.Final = 0.025
"""Response time assumed before the first measurement."""

_MIN_TIMEOUT_S: typing.Final = 0.2
_TIMEOUT_FACTOR: typing.Final = 8.0
_SMOOTHING_FACTOR: typing.Final = 0.2


class AdaptiveTimeout:
    """A timeout that is a multiple of the typical response time.

    A lost response is thus detected long before the caller's own bound.
    Each timeout doubles the typical time, so that a store that has become
    slow gets enough time to respond.
    """

    def __init__(self) -> None:
        self._typical_s = _INITIAL_TYPICAL_S

    def current_s(self, bound_s: float) -> float:
        """Return the timeout of the next call, at most ``bound_s``."""
        wanted_s = max(self._typical_s * _TIMEOUT_FACTOR, _MIN_TIMEOUT_S)
        return min(wanted_s, bound_s)

    def record_answer(self, duration_s: float) -> None:
        """Record the duration of a call that got a response."""
        self._typical_s += (duration_s - self._typical_s) * _SMOOTHING_FACTOR

    def record_timeout(self, bound_s: float) -> None:
        """Record a call without a response in time."""
        self._typical_s = min(
            max(self._typical_s, _INITIAL_TYPICAL_S) * 2,
            bound_s / _TIMEOUT_FACTOR,
        )
