"""Why leases of runs lapsed, for an operator; no decision depends on it.

A lease that lapses ends the runs of a worker, and what they have done since
their last checkpoint is lost.  Nobody extended it in time: the holder could
not reach the worker, was not confirmed by the store, or had just taken over.
"""

import dataclasses
import enum
import typing

from primroselock.decisions import fleetworkers

_NEVER: typing.Final = float('-inf')
_RECENT_LEASES: typing.Final = 2.0
"""Events older than this many longest leases did not cause a lapse."""


class LapseCause(enum.Enum):
    """Why a lease was not extended in time."""

    WORKER_SILENT = 'worker silent'
    STORE_OUTAGE = 'store outage'
    TAKEOVER = 'takeover'
    TAKEOVER_IN_OUTAGE = 'takeover in a store outage'
    EXTENDED_LATE = 'extended late'


@dataclasses.dataclass(slots=True)
class LapseLog:
    """The runs of which this holder learned that their lease lapsed.

    ``unconfirmed_at`` is when the store was last known not to confirm this
    process for a while, on its clock; before a takeover, not to answer it.
    """

    unconfirmed_at: float = _NEVER
    counts_by_cause: dict[LapseCause, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(LapseCause, 0)
    )

    def record(
        self, worker: fleetworkers.Worker, run_lease_s: float, now: float
    ) -> LapseCause:
        """Count a run whose lease lapsed; return why, as far as is known."""
        cause = self._find_cause(worker, run_lease_s, now)
        self.counts_by_cause[cause] += 1
        return cause

    def _find_cause(
        self, worker: fleetworkers.Worker, run_lease_s: float, now: float
    ) -> LapseCause:
        since = now - run_lease_s * _RECENT_LEASES
        if worker.unresponsive_since >= since:
            return LapseCause.WORKER_SILENT
        is_in_outage = self.unconfirmed_at >= since
        if worker.lease_end is None:
            # This holder has not extended any lease there yet.
            if is_in_outage:
                return LapseCause.TAKEOVER_IN_OUTAGE
            return LapseCause.TAKEOVER
        if is_in_outage:
            return LapseCause.STORE_OUTAGE
        return LapseCause.EXTENDED_LATE
