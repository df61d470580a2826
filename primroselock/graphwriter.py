"""Writes the progress of jobs, in batches, for the holder of a shard.

Every transaction is conditional on the shard's epoch row and on the row
versions that this holder wrote last, so that a delayed write can never
overwrite a later one.  Start orders are sent after the transaction with
their placement; ends are confirmed to workers after the transaction that
stores them.

The store limits the size of rows and transactions.  A batch is kept below
these limits.  If the store refuses one for good all the same, each of its
jobs is suspect and is written alone until it is stored; between these writes
all other jobs are written in batches.  A job that is refused alone is written
again after a growing delay (see ``decisions.refusedwrites``).
"""

import asyncio
from collections import abc
import dataclasses
import typing

import msgspec
import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import refusedwrites
from primroselock.decisions import runs
from primroselock import graphrows
from primroselock import jobgraph
from primroselock import logs
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table

_RETRY_PAUSE_S: typing.Final = 0.1
_MAX_GROUPS_PER_BATCH: typing.Final = 1000
"""All groups of a job are encoded when any of them has changed."""

_LOG_INTERVAL_S: typing.Final = 1.0
"""Refused writes are logged at most once in this time."""

_log: typing.Final = logs.get('graphwriter')


@dataclasses.dataclass(frozen=True, slots=True)
class _ProgressSnapshot:
    """The progress of a job to be written.

    ``change`` is the number of the last change that it contains;
    ``committing`` are the groups, with their attempts, that start once it
    is stored.  ``values`` are those of the progress rows; the job had
    ``stored_parts`` of these rows before.  ``graph_value`` replaces the
    graph of a job that has ended; it is empty for others.
    """

    job: livejobs.LiveJob
    change: int
    committing: tuple[tuple[livejobs.Group, int], ...]
    values: tuple[bytes, ...]
    stored_parts: int
    graph_value: bytes

    @property
    def entries(self) -> int:
        """Return how many entries of a transaction the job needs."""
        rows = max(len(self.values), self.stored_parts)
        return 1 + rows + bool(self.graph_value)

    @property
    def size(self) -> int:
        """Return the bytes that the job's rows need in a transaction."""
        values = [*self.values, self.graph_value]
        return sum(len(value) + table.TOKEN_BYTES for value in values)


class ProgressWriter:
    """Writes the changed jobs of the blackboard; then calls ``on_saved``.

    ``on_saved`` is called as well after a refused write, which may have ended
    placements.
    """

    def __init__(
        self,
        store: table.Table,
        lease: shards.ShardLease,
        board: fleet.ShardBoard,
        on_saved: abc.Callable[[], None],
        now: abc.Callable[[], float],
        max_row_bytes: int,
    ) -> None:
        self._store = store
        self._lease = lease
        self._board = board
        self._on_saved = on_saved
        self._now = now
        self._max_value_bytes = max_row_bytes - table.TOKEN_BYTES
        self._suspect_ids: set[str] = set()
        self._log_at = float('-inf')
        self._unlogged_refusals = 0
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Start writing if any job changed.

        To be called at each round: a delayed job is written after a wake.
        """
        if self._board.changed_ids:
            self._wake.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._is_any_due():
                await self._write_changes()

    def _is_any_due(self) -> bool:
        now = self._now()
        return any(
            self._is_due(job_id, now) for job_id in self._board.changed_ids
        )

    def _is_due(self, job_id: str, now: float) -> bool:
        job = self._board.jobs_by_id.get(job_id)
        return job is None or refusedwrites.may_write(job, now)

    async def _write_changes(self) -> None:
        """Write a batch of jobs, then one of the suspect jobs."""
        for take in (self._take_batch, self._take_suspect):
            snapshots = take()
            if snapshots and not await self._write(snapshots):
                await asyncio.sleep(_RETRY_PAUSE_S)

    async def _write(self, snapshots: list[_ProgressSnapshot]) -> bool:
        """Write jobs in one transaction; return False if a retry is due."""
        transaction = self._build_transaction(snapshots)
        for snapshot in snapshots:
            # Rows of a transaction without a known outcome may exist.
            job = snapshot.job
            job.stored_parts = max(job.stored_parts, len(snapshot.values))
        outcome = await table.transact_resolved(self._store, transaction)
        if isinstance(outcome, result.Ok):
            self._record_saved(snapshots, outcome.ok_value.version)
            return True
        error = outcome.err_value
        if isinstance(error, table.Rejected):
            self._record_rejected(snapshots, error)
            return True
        _log.warning(
            'progress of jobs not stored', jobs=len(snapshots), why=str(error)
        )
        self._write_again(snapshots)
        if isinstance(error, table.Unavailable):
            return False
        if isinstance(error, table.Conflict) and self._epoch_key in error.keys:
            self._lease.drop('taken over by another process')
            return False
        await self._read_versions(snapshots)
        return False

    @property
    def _epoch_key(self) -> str:
        return keys.shard_epoch(self._lease.shard)

    def _take_batch(self) -> list[_ProgressSnapshot]:
        """Take the jobs that changed first, as many as fit.

        Suspect jobs are left; one other is taken in any case.
        """
        changed_ids = self._board.changed_ids
        snapshots: list[_ProgressSnapshot] = []
        # One condition is on the epoch row.
        entries_left = table.MAX_ENTRIES - 1
        bytes_left = table.MAX_VALUE_BYTES
        groups_left = _MAX_GROUPS_PER_BATCH
        for job_id in list(changed_ids):
            if job_id in self._suspect_ids:
                continue
            job = self._board.jobs_by_id.get(job_id)
            groups_left -= len(job.groups_by_key) if job is not None else 0
            if snapshots and groups_left < 0:
                break
            snapshot = self._take_unsaved(job_id)
            if snapshot is not None:
                entries_left -= snapshot.entries
                bytes_left -= snapshot.size
                if snapshots and (entries_left < 0 or bytes_left < 0):
                    break
                snapshots.append(snapshot)
            del changed_ids[job_id]
        return snapshots

    def _take_suspect(self) -> list[_ProgressSnapshot]:
        """Take the suspect job that is due first, if there is one."""
        now = self._now()
        changed_ids = self._board.changed_ids
        for job_id in changed_ids:
            if job_id in self._suspect_ids and self._is_due(job_id, now):
                del changed_ids[job_id]
                snapshot = self._take_unsaved(job_id)
                return [snapshot] if snapshot is not None else []
        return []

    def _take_unsaved(self, job_id: str) -> _ProgressSnapshot | None:
        """Return what is to be written of a job, or None for nothing."""
        job = self._board.jobs_by_id.get(job_id)
        if job is None or job.saved_change >= job.change:
            return None
        return _take_snapshot(job, self._max_value_bytes)

    def _write_again(self, snapshots: list[_ProgressSnapshot]) -> None:
        for snapshot in snapshots:
            self._board.changed_ids[snapshot.job.graph.id] = None

    def _record_rejected(
        self, snapshots: list[_ProgressSnapshot], error: table.Rejected
    ) -> None:
        """Suspect each job of a batch that the store refuses."""
        job_ids = [snapshot.job.graph.id for snapshot in snapshots]
        self._log_rejected(job_ids, error)
        self._suspect_ids.update(job_ids)
        self._write_again(snapshots)
        if len(snapshots) > 1:
            return
        wall_ms = int(clock.wall() * 1000)
        refusedwrites.record_refused(
            self._board, snapshots[0].job, self._now(), wall_ms
        )
        self._on_saved()

    def _log_rejected(self, job_ids: list[str], error: table.Rejected) -> None:
        now = self._now()
        self._unlogged_refusals += 1
        if now < self._log_at:
            return
        _log.error(
            'store refuses progress of jobs',
            jobs=job_ids,
            refused=self._unlogged_refusals,
            why=error.detail,
        )
        self._unlogged_refusals = 0
        self._log_at = now + _LOG_INTERVAL_S

    def _build_transaction(
        self, snapshots: list[_ProgressSnapshot]
    ) -> table.Transaction:
        shard = self._lease.shard
        conditions = [
            table.Condition(self._epoch_key, self._lease.epoch_row_version)
        ]
        puts = []
        deletes: list[str] = []
        for snapshot in snapshots:
            job_id = snapshot.job.graph.id
            # The other rows change only together with the first.
            conditions.append(
                table.Condition(
                    keys.progress(shard, job_id), snapshot.job.row_version
                )
            )
            for part, value in enumerate(snapshot.values):
                puts.append(
                    table.Put(keys.progress(shard, job_id, part), value)
                )
            deletes += [
                keys.progress(shard, job_id, part)
                for part in range(len(snapshot.values), snapshot.stored_parts)
            ]
            if snapshot.graph_value:
                graph_key = keys.graph(shard, job_id)
                puts.append(table.Put(graph_key, snapshot.graph_value))
        return table.Transaction(
            tuple(conditions), tuple(puts), tuple(deletes)
        )

    def _record_saved(
        self, snapshots: list[_ProgressSnapshot], version: int
    ) -> None:
        now = self._now()
        for snapshot in snapshots:
            job = snapshot.job
            refusedwrites.record_stored(job, bool(snapshot.committing), now)
            if job.refusal is None:
                self._suspect_ids.discard(job.graph.id)
            job.row_version = version
            job.stored_parts = len(snapshot.values)
            job.saved_change = max(job.saved_change, snapshot.change)
            for group, attempt in snapshot.committing:
                if (
                    group.phase is livejobs.Phase.COMMITTING
                    and group.attempt == attempt
                ):
                    group.enter(livejobs.Phase.STARTING, now)
                    members = tuple(group.members)
                    self._board.orders.append(fleet.StartOrder(members))
        for worker in self._board.workers_by_id.values():
            if worker.unsaved_ends:
                runs.advance_saved_end(worker)
        self._on_saved()

    async def _read_versions(self, snapshots: list[_ProgressSnapshot]) -> None:
        """Read the row versions that the next attempt must expect.

        They are not known after a conflict or an unknown outcome.
        """
        shard = self._lease.shard
        by_key = {
            keys.progress(shard, snapshot.job.graph.id): snapshot.job
            for snapshot in snapshots
        }
        read = await self._store.read(list(by_key))
        if isinstance(read, result.Err):
            return
        for key, job in by_key.items():
            row = read.ok_value.get(key)
            job.row_version = row.version if row else table.ABSENT


def _take_snapshot(
    job: livejobs.LiveJob, max_value_bytes: int
) -> _ProgressSnapshot:
    return _ProgressSnapshot(
        job,
        job.change,
        tuple(
            (group, group.attempt)
            for group in job.groups_by_key.values()
            if group.phase is livejobs.Phase.COMMITTING
        ),
        graphrows.encode_progress(graphs.build_progress(job), max_value_bytes),
        job.stored_parts,
        graphrows.encode(_without_work(job.graph))
        if job.state.is_final
        else b'',
    )


def _without_work(graph: jobgraph.JobGraph) -> jobgraph.JobGraph:
    """Return what must be kept of an ended job: whose it is.

    A repeated submission still finds its row, and a new holder reads little
    of the jobs that have ended.
    """
    return msgspec.structs.replace(
        graph, payload='', steps=(), accepted_queue=None
    )
