"""Writes the progress of jobs, in batches, for the holder of a shard.

Every transaction is conditional on the shard's epoch row and on the row
versions that this holder wrote last, so that a delayed write can never
overwrite a later one.  Start orders are sent after the transaction with
their placement; ends are confirmed to workers after the transaction that
stores them.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import msgspec
import result

from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock.decisions import runs
from primroselock import graphrows
from primroselock import jobgraph
from primroselock import logs
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table

_MAX_JOBS_PER_TRANSACTION: typing.Final = 30
"""A transaction of the platform has at most 100 entries, three for a job."""

_RETRY_PAUSE_S: typing.Final = 0.1
_log: typing.Final = logs.get('graphwriter')


@dataclasses.dataclass(frozen=True, slots=True)
class _ProgressSnapshot:
    """The progress of a job to be written.

    ``change`` is the number of the last change that it contains;
    ``committing`` are the groups, with their attempts, that start once it
    is stored.  ``graph_value`` replaces the graph of a job that has ended;
    it is empty for others.
    """

    job: fleet.LiveJob
    change: int
    committing: tuple[tuple[fleet.Group, int], ...]
    value: bytes
    graph_value: bytes


class ProgressWriter:
    """Writes the changed jobs of the blackboard; then calls ``on_saved``."""

    def __init__(
        self,
        store: table.Table,
        lease: shards.ShardLease,
        board: fleet.ShardBoard,
        on_saved: abc.Callable[[], None],
        now: abc.Callable[[], float],
    ) -> None:
        self._store = store
        self._lease = lease
        self._board = board
        self._on_saved = on_saved
        self._now = now
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Start writing if any job changed."""
        if self._board.changed_ids:
            self._wake.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._board.changed_ids:
                if not await self._write_batch():
                    await asyncio.sleep(_RETRY_PAUSE_S)

    async def _write_batch(self) -> bool:
        """Write a batch of jobs; return False if a retry is due."""
        snapshots = self._take_snapshots()
        if not snapshots:
            return True
        transaction = self._build_transaction(snapshots)
        outcome = await table.transact_resolved(self._store, transaction)
        if isinstance(outcome, result.Ok):
            self._record_saved(snapshots, outcome.ok_value.version)
            return True
        error = outcome.err_value
        _log.warning(
            'progress of jobs not stored', jobs=len(snapshots), why=str(error)
        )
        for snapshot in snapshots:
            self._board.changed_ids.add(snapshot.job.graph.id)
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

    def _take_snapshots(self) -> list[_ProgressSnapshot]:
        board = self._board
        snapshots = []
        for job_id in list(board.changed_ids)[:_MAX_JOBS_PER_TRANSACTION]:
            board.changed_ids.discard(job_id)
            job = board.jobs_by_id.get(job_id)
            if job is not None and job.saved_change < job.change:
                snapshots.append(_take_snapshot(job))
        return snapshots

    def _build_transaction(
        self, snapshots: list[_ProgressSnapshot]
    ) -> table.Transaction:
        shard = self._lease.shard
        conditions = [
            table.Condition(self._epoch_key, self._lease.epoch_row_version)
        ]
        puts = []
        for snapshot in snapshots:
            key = keys.progress(shard, snapshot.job.graph.id)
            version = snapshot.job.row_version
            conditions.append(table.Condition(key, version))
            puts.append(table.Put(key, snapshot.value))
            if snapshot.graph_value:
                graph_key = keys.graph(shard, snapshot.job.graph.id)
                puts.append(table.Put(graph_key, snapshot.graph_value))
        return table.Transaction(tuple(conditions), tuple(puts))

    def _record_saved(
        self, snapshots: list[_ProgressSnapshot], version: int
    ) -> None:
        now = self._now()
        for snapshot in snapshots:
            job = snapshot.job
            job.row_version = version
            job.saved_change = max(job.saved_change, snapshot.change)
            for group, attempt in snapshot.committing:
                if (
                    group.phase is fleet.Phase.COMMITTING
                    and group.attempt == attempt
                ):
                    group.enter(fleet.Phase.STARTING, now)
                    members = tuple(group.members)
                    self._board.orders.append(fleet.StartOrder(members))
        for worker in self._board.workers_by_id.values():
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


def _take_snapshot(job: fleet.LiveJob) -> _ProgressSnapshot:
    return _ProgressSnapshot(
        job,
        job.change,
        tuple(
            (group, group.attempt)
            for group in job.groups_by_key.values()
            if group.phase is fleet.Phase.COMMITTING
        ),
        graphrows.encode(graphs.build_progress(job)),
        graphrows.encode(_without_work(job.graph))
        if job.state.is_final
        else b'',
    )


def _without_work(graph: jobgraph.JobGraph) -> jobgraph.JobGraph:
    """Return what must be kept of an ended job: whose it is.

    A repeated submission still finds its row, and a new holder reads little
    of the jobs that have ended.
    """
    return msgspec.structs.replace(graph, payload='', steps=())
