"""Batched writes of job rows on behalf of a shard's lease holder.

Each round repeats a decision until the job's row reflects it, so the writer
keeps only the latest write of each job.  One transaction is in flight at a
time; writes queued meanwhile go into the next one.  When a transaction fails
because other writers changed some of its rows, those rows are reread and
the remaining writes go into the next transaction.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import result

from primroselock.decisions import commands
from primroselock import jobstore
from primroselock import logs
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table

_MAX_ROWS_PER_BATCH: typing.Final = 200
_OUTAGE_PAUSE_S: typing.Final = 0.5
"""Pause before the next batch while the table is unavailable."""

_log: typing.Final = logs.get('jobwriter')

Record = abc.Callable[[list[jobstore.StoredJob]], None]
Write = commands.WriteJob | commands.MoveJob


class JobWriter:
    """Batches writes of one shard's lease holder.

    ``record`` is called with the rows as the table now holds them; a row
    that names another shard has been transferred to it.
    """

    def __init__(
        self,
        store: jobstore.JobStore,
        lease: shards.ShardLease,
        record: Record,
    ) -> None:
        self._store = store
        self._lease = lease
        self._record = record
        self._writes_by_job_id: dict[str, Write] = {}
        self._in_flight_ids: frozenset[str] = frozenset()
        self._wake = asyncio.Event()

    def add(self, command: Write) -> None:
        """Queue a write, unless one of the same job is in flight."""
        if command.job.id in self._in_flight_ids:
            return
        self._writes_by_job_id[command.job.id] = command
        self._wake.set()

    def clear(self) -> None:
        """Drop the queued writes, which were decided under an older epoch."""
        self._writes_by_job_id.clear()

    async def run(self) -> None:
        """Write queued rows until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._writes_by_job_id:
                await self._write_batch()

    async def _write_batch(self) -> None:
        batch = list(self._writes_by_job_id.values())[:_MAX_ROWS_PER_BATCH]
        self._in_flight_ids = frozenset(write.job.id for write in batch)
        for job_id in self._in_flight_ids:
            del self._writes_by_job_id[job_id]
        try:
            if not await self._write(batch):
                await asyncio.sleep(_OUTAGE_PAUSE_S)
        finally:
            self._in_flight_ids = frozenset()

    async def _write(self, batch: list[Write]) -> bool:
        """Write a batch; return whether the table was available."""
        moves = [w for w in batch if isinstance(w, commands.MoveJob)]
        for move in moves:
            if not await self._move(move):
                return False
        writes = [w for w in batch if isinstance(w, commands.WriteJob)]
        return not writes or await self._write_rows(writes)

    async def _move(self, move: commands.MoveJob) -> bool:
        stored = jobstore.StoredJob(move.job, move.row_version)
        moved = await self._store.move(
            stored, move.to_shard, self._lease.epoch_row_version
        )
        if isinstance(moved, result.Ok):
            job = dataclasses.replace(move.job, shard=move.to_shard)
            self._record([jobstore.StoredJob(job, moved.ok_value.version)])
            return True
        if isinstance(moved.err_value, table.Conflict):
            return await self._handle_conflict([move], moved.err_value)
        return False

    async def _write_rows(self, batch: list[commands.WriteJob]) -> bool:
        """Write rows in one transaction.

        Return whether the table was available.
        """
        stored = [
            jobstore.StoredJob(write.job, write.row_version) for write in batch
        ]
        epoch_row_version = self._lease.epoch_row_version
        written = await self._store.write_many(
            self._lease.shard, stored, epoch_row_version
        )
        if isinstance(written, result.Ok):
            version = written.ok_value.version
            self._record([jobstore.StoredJob(s.job, version) for s in stored])
            return True
        if isinstance(written.err_value, table.Conflict):
            return await self._handle_conflict(batch, written.err_value)
        _log.warning(
            'job rows may not be written; later rounds repeat the writes',
            detail=written.err_value.detail,
        )
        return False

    async def _handle_conflict(
        self, batch: abc.Sequence[Write], conflict: table.Conflict
    ) -> bool:
        """Reread the rows in conflict and queue the other writes again.

        After a takeover, drop the shard instead.  Return whether the table
        was available.
        """
        if keys.shard_epoch(self._lease.shard) in conflict.keys:
            self._lease.drop('taken over: the epoch row has changed')
            return True
        changed_ids = {
            write.job.id
            for write in batch
            if keys.job(write.job.id) in conflict.keys
        }
        if not changed_ids:
            # The table does not say which row has changed.
            changed_ids = {write.job.id for write in batch}
        for write in batch:
            if write.job.id not in changed_ids:
                self._writes_by_job_id.setdefault(write.job.id, write)
        read = await self._store.read_many(sorted(changed_ids))
        if isinstance(read, result.Err):
            return False
        self._record(read.ok_value)
        return True
