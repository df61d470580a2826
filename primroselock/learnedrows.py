"""Keeps the learned run times where a next holder of the shard finds them.

One row of a table that nobody follows: it is written by the holder at
intervals, if any run has ended since, and read once at a takeover.  Nothing
depends on it.  A write that fails is made again at the next interval, with
what was learned by then; without the row the holder learns anew.
"""

import asyncio
import typing

import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions.runtimes import learner
from primroselock.decisions.runtimes import stored
from primroselock import logs
from primroselock import options
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table

_log: typing.Final = logs.get('holder')


async def run(
    settings: options.Settings,
    lease: shards.ShardLease,
    store: table.Table,
    board: fleet.ShardBoard,
) -> None:
    """Write the row at intervals until the shard is lost."""
    written = board.learned.changes
    interval_s = settings.fleet.learned_interval_s
    max_bytes = settings.platform.max_row_bytes - table.TOKEN_BYTES
    while lease.has_shard:
        await asyncio.sleep(interval_s)
        changes = board.learned.changes
        if changes == written or not lease.has_shard:
            continue
        value = stored.encode(board.learned, clock.wall(), max_bytes)
        if value is not None and await _write(lease, store, value):
            written = changes


async def _write(
    lease: shards.ShardLease, store: table.Table, value: bytes
) -> bool:
    """Write the row; return whether it is known to be stored."""
    epoch_row = table.Condition(
        keys.shard_epoch(lease.shard), lease.epoch_row_version
    )
    put = table.Put(keys.learned(lease.shard), value)
    outcome = await store.transact(table.Transaction((epoch_row,), (put,), ()))
    if isinstance(outcome, result.Err):
        _log.warning(
            'learned run times not stored; trying again later',
            why=str(outcome.err_value),
        )
        return False
    return True


async def load(
    settings: options.Settings, store: table.Table
) -> learner.RunTimes:
    """Return what the earlier holder learned, as far as it can be read."""
    key = keys.learned(settings.fleet.shard)
    read = await store.read([key])
    if isinstance(read, result.Err):
        _log.warning(
            'learned run times not read; learning anew',
            why=str(read.err_value),
        )
        return learner.RunTimes()
    row = read.ok_value.get(key)
    if row is None:
        return learner.RunTimes()
    decoded = stored.decode(row.value, clock.wall())
    if isinstance(decoded, result.Err):
        _log.warning(
            'learned run times not usable; learning anew',
            why=decoded.err_value,
        )
        return learner.RunTimes()
    known = stored.summarize(decoded.ok_value)
    _log.info(
        'learned run times read', queues=known.queues, accounts=known.accounts
    )
    return decoded.ok_value
