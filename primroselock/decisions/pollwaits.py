"""For how long a poll of a worker is held open.

A long wait costs few calls; a short one brings news soon.  A poll that nothing
is known to end is answered at once.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import sharing
from primroselock.decisions import workerboots

SHORT_WAIT_S: typing.Final = 0.2
"""Wait of a poll while the outcome of an order is unknown, or while the next
poll may extend the worker's lease and this one may not."""


def find_wait_s(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    bounds: leasebounds.LeaseBounds,
    longest_s: float,
    now: float,
) -> float:
    """Return the wait in seconds of a poll that is sent now.

    ``bounds`` are those that the holder has published.
    """
    if not worker.is_polled or worker.is_doubted or worker.unsaved_ends:
        return 0.0
    if not worker.is_boot_known(now):
        # Nothing has run there lately, and starts wait for its report.
        return 0.0
    if workerboots.has_open_stops(worker) or sharing.may_disturb(worker):
        return SHORT_WAIT_S
    if bounds.covers(worker.id) or any(
        member.state is not livejobs.MemberState.PRESENT
        or member.group.phase is livejobs.Phase.STOPPING
        for member in worker.members.values()
    ):
        return SHORT_WAIT_S
    return _find_longest_s(board, worker, longest_s, now)


def _find_longest_s(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    longest_s: float,
    now: float,
) -> float:
    """Return the wait of a poll that nothing else bounds.

    The answer of a worker that drains shows that it went on for as long as it
    said: what ends it later is no crash.
    """
    leaves_from = board.drains.earliest_leave(worker.id, worker.boot)
    left_s = leaves_from - now
    if left_s <= 0.0:
        return longest_s
    return min(max(left_s, SHORT_WAIT_S), longest_s)
