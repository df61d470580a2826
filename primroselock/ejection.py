"""Takes a failing upstream out of use and tries it again.

An upstream that cannot be connected to is ejected at once, one that
breaks exchanges after several in a row.  The ejection doubles each time
up to a limit.  After it, one request at a time probes the upstream: a
whole answer takes it back, a failure ejects it again.
"""

import dataclasses
import typing

_FAILURES_TO_EJECT: typing.Final = 3
_INITIAL_EJECTION_S: typing.Final = 1.0
_MAX_EJECTION_S: typing.Final = 30.0


@dataclasses.dataclass(frozen=True, slots=True)
class Health:
    """What recent exchanges say about an upstream."""

    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    is_unreachable: bool = False

    def is_ejected(self, now: float) -> bool:
        """Whether no request may go to the upstream."""
        return now < self.ejected_until

    def is_on_probation(self, now: float) -> bool:
        """Whether one request at a time may probe the upstream."""
        return self.ejections > 0 and not self.is_ejected(now)


HEALTHY: typing.Final = Health()


def record_unreachable(health: Health, now: float) -> Health:
    """Return the health after a connection that was not made."""
    return _eject(health, now, is_unreachable=True)


def record_broken(health: Health, now: float) -> Health:
    """Return the health after an exchange that ended short."""
    failures = health.failures + 1
    if failures >= _FAILURES_TO_EJECT or health.ejections:
        return _eject(health, now, is_unreachable=False)
    return dataclasses.replace(health, failures=failures)


def _eject(health: Health, now: float, is_unreachable: bool) -> Health:
    if health.is_ejected(now):
        # Exchanges that were under way at the ejection say nothing new.
        return health
    duration_s = _INITIAL_EJECTION_S * 2.0**health.ejections
    return Health(
        0,
        health.ejections + 1,
        now + min(duration_s, _MAX_EJECTION_S),
        is_unreachable,
    )
