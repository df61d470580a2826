"""Which workers may be out of reach though nothing has failed there yet.

A zone is often cut off as a whole, and an idle worker is not looked at.
So a worker that falls silent puts in doubt those of its zone that were
not heard since: they get no work until a short look has been answered.
"""

from primroselock.decisions import fleet


def list_unverified(board: fleet.ShardBoard) -> list[fleet.Worker]:
    """Return the workers that must be heard before they get work."""
    silent_since_by_zone = _silent_since_by_zone(board)
    if not silent_since_by_zone:
        return []
    return [
        worker
        for worker in board.workers_by_id.values()
        if worker.is_listed
        and worker.is_polled
        and worker.failures_in_row == 0
        and worker.entry.zone in silent_since_by_zone
        and worker.last_answer_at < silent_since_by_zone[worker.entry.zone]
    ]


def _silent_since_by_zone(board: fleet.ShardBoard) -> dict[str, float]:
    """Return when the latest worker of each zone fell silent."""
    since: dict[str, float] = {}
    for worker in board.workers_by_id.values():
        if worker.is_listed and worker.failures_in_row > 0:
            zone = worker.entry.zone
            since[zone] = max(since.get(zone, 0.0), worker.unresponsive_since)
    return since
