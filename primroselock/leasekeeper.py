"""Extends leases of runs at once where the open polls would be too late.

See ``extensions`` for which.  While the store confirms the holder and nothing
is due the workers are not looked at.
"""

import asyncio
import typing

from primroselock import backgroundtasks
from primroselock.decisions import extensions
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock import logs
from primroselock import options
from primroselock import shards
from primroselock import workerpolling

_log: typing.Final = logs.get('leases')
_CHECK_INTERVAL_S: typing.Final = 0.1
_NEVER: typing.Final = float('-inf')


class LeaseKeeper:
    """Checks and extends the leases of one session."""

    def __init__(
        self,
        settings: options.Settings,
        lease: shards.ShardLease,
        board: fleet.ShardBoard,
        pollers: workerpolling.WorkerPollers,
    ) -> None:
        self._renew_interval_s = settings.scheduler.shard_renew_interval_s
        self._lease = lease
        self._board = board
        self._pollers = pollers
        self._checked_at = _NEVER
        self._is_in_doubt = False
        self._is_settled = False
        self._tasks = backgroundtasks.BackgroundTasks('lease extension')
        self._tasks_by_worker_id: dict[str, asyncio.Task[None]] = {}

    async def cancel(self) -> None:
        """Cancel all extensions that are under way."""
        await self._tasks.cancel()

    def check(self, now: float) -> None:
        """Extend what is due, unless that was checked just now.

        To be called after each renewal of the shard lease and each round.
        """
        if 0 <= now - self._checked_at < _CHECK_INTERVAL_S:
            return
        self._checked_at = now
        self._check(now)

    def _check(self, now: float) -> None:
        """Extend what is due, and judge whether more may be soon."""
        standing = self._find_standing()
        self._note_doubt(standing.is_in_doubt(now), now)
        if self._is_settled:
            return
        due = extensions.list_due(self._board, standing, now)
        for worker in due:
            if worker.id not in self._tasks_by_worker_id:
                self._extend(worker)
        self._is_settled = not (
            due
            or self._is_in_doubt
            or extensions.has_inherited_leases(self._board)
        )

    def _find_standing(self) -> extensions.Standing:
        """Return what the store says of this holder."""
        return extensions.Standing(
            self._lease.confirmed_at,
            self._lease.is_confirmed,
            self._renew_interval_s,
            self._lease.renewing_since,
            self._lease.published_bounds,
        )

    def _note_doubt(self, is_in_doubt: bool, now: float) -> None:
        """Note whether the store confirms this holder; log a change."""
        if is_in_doubt:
            self._is_settled = False
            self._board.lease_lapses.unconfirmed_at = now
        if is_in_doubt == self._is_in_doubt:
            return
        self._is_in_doubt = is_in_doubt
        values = {
            'epoch': self._board.epoch,
            'unconfirmed_s': round(now - self._lease.confirmed_at, 3),
        }
        if is_in_doubt:
            _log.warning(
                'run leases extended to the last confirmation', **values
            )
        else:
            _log.info('run leases extended on a new confirmation', **values)

    def _extend(self, worker: fleetworkers.Worker) -> None:
        """Extend a worker's leases in a task of its own."""
        task = self._tasks.spawn(self._pollers.extend(worker, self._is_due))
        self._tasks_by_worker_id[worker.id] = task
        task.add_done_callback(
            lambda _: self._tasks_by_worker_id.pop(worker.id, None)
        )

    def _is_due(self, worker: fleetworkers.Worker, now: float) -> bool:
        """Return whether a worker whose turn has come is still due."""
        if self._board.workers_by_id.get(worker.id) is not worker:
            return False
        standing = self._find_standing()
        return extensions.is_due(self._board, worker, standing, now)
