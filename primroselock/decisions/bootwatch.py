"""Finds workers of which the next boot must be noticed soon.

A start without an answer may begin on the next boot of its worker, after the
run has ended on this one, until the next boot has answered a stop.  A worker
is not polled while nothing runs there, or its poll is held open: it is its
entry that tells of the restart, later.  So it is probed meanwhile, if workers
have started again under their ids lately.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import workerboots

_AFTER_RESTART_S: typing.Final = 600.0
"""For how long after a restart other workers are probed."""

_INTERVAL_S: typing.Final = 0.2
"""Time since the boot was last seen until a worker is probed again."""

_MAX_WORKERS: typing.Final = 32
"""Bounds the probes; those with the latest orders come first."""


def list_watched(
    board: fleet.ShardBoard, now: float
) -> list[fleetworkers.Worker]:
    """Return the workers to probe now."""
    if now - board.restarted_at > _AFTER_RESTART_S:
        return []
    latest_by_id = {
        worker.id: workerboots.latest_late_start(worker, now)
        for worker in board.workers_by_id.values()
        if worker.late_runs and _is_watchable(worker)
    }
    due = sorted(
        (-at, worker_id)
        for worker_id, at in latest_by_id.items()
        if at is not None
    )
    watched = [board.workers_by_id[id_] for _, id_ in due[:_MAX_WORKERS]]
    return [w for w in watched if now - w.boot_seen_at >= _INTERVAL_S]


def _is_watchable(worker: fleetworkers.Worker) -> bool:
    """Return whether a worker answers; the others are polled already."""
    return worker.is_listed and not (
        worker.failures_in_row or worker.is_doubted
    )
