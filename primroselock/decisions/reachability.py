"""Finds workers that may be unreachable although no call to them has failed.

A zone often becomes unreachable as a whole, and idle workers are not
polled.  So when a worker stops answering, the workers of its zone that
have not answered since are unverified: they get no work until they have
answered a probe, a short poll without a wait.
"""

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers


def list_unverified(board: fleet.ShardBoard) -> list[fleetworkers.Worker]:
    """Return the workers that must answer a probe before they get work."""
    unreachable_since_by_zone = _unreachable_since_by_zone(board)
    if not unreachable_since_by_zone:
        return []
    return [
        worker
        for worker in board.workers_by_id.values()
        if worker.is_listed
        and worker.is_polled
        and worker.failures_in_row == 0
        and worker.entry.zone in unreachable_since_by_zone
        and worker.last_answer_at
        < unreachable_since_by_zone[worker.entry.zone]
    ]


def _unreachable_since_by_zone(board: fleet.ShardBoard) -> dict[str, float]:
    """Return by zone when a worker there last became unresponsive.

    Times are in seconds on this process's clock.
    """
    since: dict[str, float] = {}
    for worker in board.workers_by_id.values():
        if worker.is_listed and worker.failures_in_row > 0:
            zone = worker.entry.zone
            since[zone] = max(since.get(zone, 0.0), worker.unresponsive_since)
    return since
