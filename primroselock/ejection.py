"""Outlier ejection: takes a failing upstream out of use for a time.

An upstream that refuses connections is ejected at once; one whose
exchanges fail is ejected after several failures in a row.  The duration
doubles with each ejection up to a limit.  After it, one request at a time
probes the upstream: a complete response ends the probation, a failure
ejects the upstream again.
"""

import dataclasses
import typing

from primroselock import backoff

_FAILURES_TO_EJECT: typing.Final = 3
"""Failed exchanges in a row before the first ejection."""

_INITIAL_EJECTION_S: typing.Final = 1.0
_MAX_EJECTION_S: typing.Final = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """The state of an upstream, derived from recent exchanges.

    ``failures`` counts failed exchanges in a row, and ``ejections`` those
    since the last complete response.  ``ejected_until`` is on the
    monotonic clock.  ``is_unreachable`` is set if the last ejection was
    for a connection that could not be made.
    """

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    is_unreachable: bool = False

    def is_ejected(self, now: float) -> bool:
        """Return whether no request may go to the upstream."""
        return now < self.ejected_until

    def is_on_probation(self, now: float) -> bool:
        """Return whether one request at a time may probe the upstream."""
        return self.ejections > 0 and not self.is_ejected(now)


HEALTHY: typing.Final = Health()


def record_unreachable(health: Health, now: float) -> Health:
    """Return the health after a failed connection attempt."""
    return _eject(health, now, is_unreachable=True)


def record_lost_response(health: Health, now: float) -> Health:
    """Return the health after an exchange without a complete response."""
    failures = health.failures + 1
    if failures >= _FAILURES_TO_EJECT or health.ejections:
        return _eject(health, now, is_unreachable=False)
    return dataclasses.replace(health, failures=failures)


def _eject(health: Health, now: float, is_unreachable: bool) -> Health:
    if health.is_ejected(now):
        # Exchanges in progress at the ejection must not prolong it.
        return health
    duration_s = backoff.doubled_s(
        _INITIAL_EJECTION_S, health.ejections, _MAX_EJECTION_S
    )
    return Health(
        0,
        health.ejections + 1,
        now + duration_s,
        is_unreachable,
    )
