"""By when the leases of runs have expired that a holder does not extend.

A holder leases runs at most until ``run_lease_s`` after the store last
confirmed it.  A successor that knows no more than that waits as long before
a run on a worker that nobody reaches counts as ended, and the next successor
would wait as long again.  So a holder publishes, in the row of its shard
lease, to which workers it grants no leases and for how long earlier ones may
be valid.  It grants and extends none there until a row without the worker is
stored; a successor waits only for what is left.  From its takeover until it
has read the jobs, a holder grants no lease to any worker.

``LeaseBounds`` are what is published, as durations, since the clocks of two
holders differ; ``InheritedLeases`` are the same as times on this process's
clock; ``runleases`` turns one worker's leases into bounds.
"""

from collections import abc
import dataclasses
import math
import typing

from primroselock import decoding

CLOCK_DRIFT: typing.Final = 0.025
"""The fraction by which another clock may run slow."""

_MARGIN_S: typing.Final = 1.0
"""Added to the time by which the leases of an earlier holder have expired."""

_MS_PER_S: typing.Final = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseBounds:
    """Bounds of run leases, in seconds from when they were published.

    The publisher grants no leases to the workers of ``left_s_by_worker_id``,
    nor to any other worker if ``others_left_s`` is not None.
    """

    left_s_by_worker_id: dict[str, decoding.Amount] = dataclasses.field(
        default_factory=dict
    )
    others_left_s: decoding.Amount | None = None

    def covers(self, worker_id: str) -> bool:
        """Return whether the publisher grants this worker no leases."""
        return (
            self.others_left_s is not None
            or worker_id in self.left_s_by_worker_id
        )

    def merge(self, other: 'LeaseBounds') -> 'LeaseBounds':
        """Return bounds that cover each worker that either covers."""
        others_left_s = self.others_left_s
        if other.others_left_s is not None:
            others_left_s = max(other.others_left_s, others_left_s or 0.0)
        left_s = dict(self.left_s_by_worker_id)
        for worker_id, worker_left_s in other.left_s_by_worker_id.items():
            left_s[worker_id] = max(left_s.get(worker_id, 0.0), worker_left_s)
        return LeaseBounds(left_s, others_left_s)


NO_BOUNDS: typing.Final = LeaseBounds()


@dataclasses.dataclass(frozen=True, slots=True)
class InheritedLeases:
    """By when the leases of earlier holders have expired.

    Times are on this process's clock; ``others_until`` is for the workers
    that ``until_by_worker_id`` does not name.
    """

    others_until: float = 0.0
    until_by_worker_id: abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def until(self, worker_id: str) -> float:
        """Return by when all of them have expired on a worker."""
        return self.until_by_worker_id.get(worker_id, self.others_until)

    def bounds(self, now: float) -> LeaseBounds:
        """Return what to publish before any lease is granted."""
        left_s = {
            worker_id: seconds_left(until, now)
            for worker_id, until in self.until_by_worker_id.items()
        }
        return LeaseBounds(left_s, seconds_left(self.others_until, now))


def seconds_left(until: float, now: float) -> float:
    """Return the seconds until a time, rounded up to milliseconds."""
    return math.ceil(max(0.0, until - now) * _MS_PER_S) / _MS_PER_S


def inherit(
    bounds: LeaseBounds, observed_at: float, run_lease_s: float
) -> InheritedLeases:
    """Return by when the leases of a holder that was replaced have expired.

    ``bounds`` stood in the last row that it wrote, which this process had
    read by ``observed_at``: it was not confirmed at the store after that.
    """
    others_left_s = bounds.others_left_s
    if others_left_s is None:
        others_until = _expiry(run_lease_s, observed_at) + _MARGIN_S
    else:
        others_until = _expiry(others_left_s, observed_at)
    until_by_worker_id = {
        worker_id: _expiry(left_s, observed_at)
        for worker_id, left_s in bounds.left_s_by_worker_id.items()
    }
    return InheritedLeases(others_until, until_by_worker_id)


def _expiry(left_s: float, observed_at: float) -> float:
    """Return when ``left_s`` on a clock that may be slow have passed."""
    return observed_at + left_s * (1 + CLOCK_DRIFT)
