"""Whose leases are extended outside the polls, and when.

A poll extends the leases of its worker when it is sent, and is held open
for long.  That is enough while the store confirms the holder all the time.
Once it does not, leases end a fixed time after the last confirmation:

- in doubt, when the store has not confirmed the holder for a while, the
  leases are extended as far as the last confirmation permits, so that little
  is lost if this holder ends before the store is back;
- once the store confirms it again, and after a takeover, what is left of
  the leases may be over before the open polls are, so that they are extended
  at once.
"""

import dataclasses
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import leasebounds
from primroselock.decisions import runleases

_DOUBT_INTERVALS: typing.Final = 2.0
"""A renewal that takes longer than this many intervals means an outage."""

_SHORT_SHARE: typing.Final = 0.5
"""A lease of which less than this share is left is extended at once."""

_MIN_GAIN_SHARE: typing.Final = 1 / 6
"""An extension by less than this share of the longest lease is not worth a
call: the next poll makes it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Standing:
    """What the store says of the holder that extends leases.

    It confirmed the holder at ``confirmed_at`` last, on this process's clock;
    ``is_confirmed`` says whether the last renewal succeeded, one of which is
    sent every ``renew_interval_s``; one without an outcome so far was sent at
    ``renewing_since``.  To the workers that ``bounds`` cover no leases are
    granted.
    """

    confirmed_at: float
    is_confirmed: bool
    renew_interval_s: float
    renewing_since: float | None = None
    bounds: leasebounds.LeaseBounds = leasebounds.NO_BOUNDS

    def is_in_doubt(self, now: float) -> bool:
        """Return whether the store may be in an outage for this process.

        That this process renews late itself is none.
        """
        if self.renewing_since is None:
            return not self.is_confirmed
        renewing_s = now - self.renewing_since
        return (
            not self.is_confirmed
            or renewing_s > self.renew_interval_s * _DOUBT_INTERVALS
        )


def may_extend(
    worker: fleetworkers.Worker, bounds: leasebounds.LeaseBounds
) -> bool:
    """Return whether a worker's leases may be extended at all.

    The lease of a worker that does not answer is not extended, so that its
    end is known: the worker may apply an unanswered extension later.  That of
    a boot that was not polled yet would name a time of another clock.
    """
    return (
        bool(worker.members)
        and worker.is_polled
        and not worker.is_doubted
        and not worker.failures_in_row
        and not bounds.covers(worker.id)
    )


def list_due(
    board: fleet.ShardBoard, standing: Standing, now: float
) -> list[fleetworkers.Worker]:
    """Return the workers whose leases to extend at once.

    Those whose leases end first come first.
    """
    due = [
        worker
        for worker in board.workers_by_id.values()
        if is_due(board, worker, standing, now)
    ]
    due.sort(key=lambda worker: _left_s(worker, now))
    return due


def is_due(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    standing: Standing,
    now: float,
) -> bool:
    """Return whether to extend a worker's leases beside its polls."""
    if not may_extend(worker, standing.bounds):
        return False
    lease_s = runleases.lease_s(worker, board.run_lease_s)
    deadline = min(now, standing.confirmed_at) + lease_s
    end = runleases.lease_end_on_worker(worker, deadline)
    if worker.lease_end is not None:
        gained_s = end - worker.lease_end
        if gained_s < lease_s * _MIN_GAIN_SHARE:
            return False
    return (
        standing.is_in_doubt(now)
        or _left_s(worker, now) < lease_s * _SHORT_SHARE
    )


def has_inherited_leases(board: fleet.ShardBoard) -> bool:
    """Return whether this holder has leases of earlier ones to extend.

    Those on workers that do not answer run out.
    """
    return any(
        worker.members
        and worker.lease_end is None
        and not worker.failures_in_row
        for worker in board.workers_by_id.values()
    )


def _left_s(worker: fleetworkers.Worker, now: float) -> float:
    """Return for how long the runs of a worker are leased by this holder.

    Nothing is known to be left of what an earlier holder granted.
    """
    if worker.lease_end is None:
        return 0.0
    return worker.lease_end - worker.clock_s - (now - worker.clock_at)
