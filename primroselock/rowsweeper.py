"""Deletes the rows of jobs that ended long ago.

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

_log: typing.Final = logs.get('holder')
_MAX_SWEEP_INTERVAL_S: typing.Final = 20.0
_DELETION_PAUSE_S: typing.Final = 0.5
_MAX_DELETED_JOBS: typing.Final = 30
"""A transaction of the platform has at most 100 entries, three for a job."""


async def run(
    settings: options.Settings,
    lease: shards.ShardLease,
    store: table.Table,
    board: fleet.ShardBoard,
    loaded_job_ids: set[str],
) -> None:
    """Delete old rows periodically until the shard is lost.

    Jobs whose rows are deleted are removed from ``loaded_job_ids``.
    """
    keep_s = settings.fleet.keep_ended_s
    pause_s = sweep_s = min(keep_s, _MAX_SWEEP_INTERVAL_S)
    while lease.has_shard:
        await asyncio.sleep(pause_s)
        pause_s = sweep_s
        old_ids = _list_old(board, (clock.wall() - keep_s) * 1000)
        if old_ids and await _delete_jobs(lease, store, old_ids):
            for job_id in old_ids:
                board.forget_ended(job_id)
            loaded_job_ids.difference_update(old_ids)
            if len(old_ids) == _MAX_DELETED_JOBS:
                # There may be more of them.
                pause_s = _DELETION_PAUSE_S


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
