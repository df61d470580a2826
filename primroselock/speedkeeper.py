"""Keeps the estimated speeds of workers in the store for the next holder.

A holder reads them once, beside its work, and writes what has changed in one
transaction from time to time, under the condition of its epoch.  Without
them it learns anew: no failure of these calls holds anything up.
"""

import asyncio
import typing

import result

from primroselock.decisions import fleet
from primroselock import logs
from primroselock import options
from primroselock import shards
from primroselock import speedrows
from primroselock.store import keys
from primroselock.store import table

_READ_RETRY_S: typing.Final = 0.5
_log: typing.Final = logs.get('speeds')


class SpeedKeeper:
    """Reads and writes the speeds on the blackboard of a shard's holder."""

    def __init__(
        self,
        settings: options.Settings,
        lease: shards.ShardLease,
        store: table.FeedTable,
        board: fleet.ShardBoard,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._store = store
        self._board = board

    async def run(self) -> None:
        """Read the rows, then write what changes, until cancelled."""
        while not await self._read():
            await asyncio.sleep(_READ_RETRY_S)
        while True:
            await asyncio.sleep(self._settings.fleet.speed_save_s)
            await self._write()

    async def _read(self) -> bool:
        """Read what earlier holders knew; return whether the store answered.

        What this holder has learned meanwhile counts instead.
        """
        listing = await self._store.list_rows(keys.SPEEDS)
        if isinstance(listing, result.Err):
            return False
        for row in listing.ok_value.rows:
            speedrows.load(self._board, self._lease.shard, row)
        _log.info(
            'speeds of workers read',
            epoch=self._board.epoch,
            rows=len(listing.ok_value.rows),
        )
        return True

    async def _write(self) -> None:
        """Write the rows that changed; later again if that fails."""
        max_bytes = self._settings.platform.max_row_bytes - table.TOKEN_BYTES
        puts = speedrows.take_changed(
            self._board, self._lease.shard, max_bytes
        )
        if not puts:
            return
        condition = table.Condition(
            keys.shard_epoch(self._lease.shard), self._lease.epoch_row_version
        )
        outcome = await table.transact_resolved(
            self._store, table.Transaction((condition,), tuple(puts), ())
        )
        if isinstance(outcome, result.Ok):
            return
        error = outcome.err_value
        _log.warning('speeds of workers not stored', why=str(error))
        if not isinstance(error, table.Rejected):
            speedrows.note_unsaved(self._board, puts)
