"""Deletes the rows of jobs that ended long ago, and old tombstones.

The holder of a shard does so, while it has the shard: a deletion is
conditional on its epoch.
"""

import asyncio
from collections import abc
import typing

import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock import logs
from primroselock import options
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table
from primroselock import submissions
from primroselock import tombstones

_log: typing.Final = logs.get('holder')
_MAX_SWEEP_INTERVAL_S: typing.Final = 20.0
_DELETION_PAUSE_S: typing.Final = 0.5
_MAX_DELETED_TOMBSTONES: typing.Final = 45
"""A transaction of the platform has at most 100 entries, two for each."""

_MAX_DELETED_JOBS: typing.Final = 30
"""A transaction of the platform has at most 100 entries, three for a job."""


async def run(
    settings: options.Settings,
    lease: shards.ShardLease,
    store: table.Table,
    board: fleet.ShardBoard,
    submitted: submissions.Submissions,
) -> None:
    """Delete old rows periodically until the shard is lost.

    Jobs whose rows are deleted are forgotten in ``submitted``.
    """
    keep_s = settings.fleet.keep_ended_s
    keep_tombstones_s = settings.fleet.keep_tombstones_s
    pause_s = sweep_s = min(keep_s, keep_tombstones_s, _MAX_SWEEP_INTERVAL_S)
    while lease.has_shard:
        await asyncio.sleep(pause_s)
        # There may be more of either.
        has_more_jobs = await _sweep_jobs(
            lease, store, board, submitted, keep_s
        )
        has_more_tombstones = await _sweep_tombstones(
            lease, store, submitted.tombstones, keep_tombstones_s
        )
        has_more = has_more_jobs or has_more_tombstones
        pause_s = _DELETION_PAUSE_S if has_more else sweep_s


async def _sweep_jobs(
    lease: shards.ShardLease,
    store: table.Table,
    board: fleet.ShardBoard,
    submitted: submissions.Submissions,
    keep_s: float,
) -> bool:
    """Delete the rows of some jobs; return whether there may be more."""
    old_ids = _list_old(board, (clock.wall() - keep_s) * 1000)
    if not old_ids or not await _delete_jobs(lease, store, old_ids):
        return False
    for job_id in old_ids:
        board.forget_ended(job_id)
    submitted.forget_deleted(old_ids)
    return len(old_ids) == _MAX_DELETED_JOBS


async def _sweep_tombstones(
    lease: shards.ShardLease,
    store: table.Table,
    known: tombstones.TombstoneLog,
    keep_s: float,
) -> bool:
    """Delete some tombstones; return whether there may be more.

    One that has changed is left: the change feed tells of it.
    """
    versions_by_id = known.list_old(
        clock.monotonic() - keep_s, _MAX_DELETED_TOMBSTONES
    )
    if not versions_by_id:
        return False
    key_by_id = {
        job_id: keys.graph(lease.shard, job_id) for job_id in versions_by_id
    }
    conditions = [
        table.Condition(keys.shard_epoch(lease.shard), lease.epoch_row_version)
    ]
    conditions += [
        table.Condition(key_by_id[job_id], version)
        for job_id, version in versions_by_id.items()
    ]
    outcome = await store.transact(
        table.Transaction(tuple(conditions), (), tuple(key_by_id.values()))
    )
    gone_ids = _list_gone(key_by_id, outcome)
    for job_id in gone_ids:
        known.forget(job_id, versions_by_id[job_id])
    return bool(gone_ids) and len(versions_by_id) == _MAX_DELETED_TOMBSTONES


def _list_gone(
    key_by_id: dict[str, str],
    outcome: result.Result[table.Committed, table.TransactError],
) -> list[str]:
    """Return the ids at which the swept tombstones do not stand any more.

    All of them are deleted, or none; then some may have been replaced.
    """
    if isinstance(outcome, result.Ok):
        _log.info('tombstones deleted', jobs=len(key_by_id))
        return list(key_by_id)
    _log.warning('tombstones not deleted', why=str(outcome.err_value))
    if not isinstance(outcome.err_value, table.Conflict):
        return []
    changed_keys = set(outcome.err_value.keys)
    return [job_id for job_id, key in key_by_id.items() if key in changed_keys]


def _list_old(board: fleet.ShardBoard, ended_before_ms: float) -> list[str]:
    """Return some of the jobs that ended before a Unix time."""
    return [
        job_id
        for job_id, ended_ms in board.ended_ms_by_id.items()
        if ended_ms < ended_before_ms
    ][:_MAX_DELETED_JOBS]


async def _delete_jobs(
    lease: shards.ShardLease, store: table.Table, job_ids: abc.Sequence[str]
) -> bool:
    """Delete the rows of jobs; return whether they are deleted."""
    epoch_row = table.Condition(
        keys.shard_epoch(lease.shard), lease.epoch_row_version
    )
    row_keys = [keys.graph, keys.progress, keys.cancellation]
    deleted = [
        row_key(lease.shard, job_id)
        for job_id in job_ids
        for row_key in row_keys
    ]
    outcome = await store.transact(
        table.Transaction((epoch_row,), (), tuple(deleted))
    )
    if isinstance(outcome, result.Err):
        # The rows still exist; the next sweep deletes them.
        _log.warning(
            'rows of ended jobs not deleted', why=str(outcome.err_value)
        )
        return False
    _log.info('rows of ended jobs deleted', jobs=len(job_ids))
    return True
