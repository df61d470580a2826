"""Rows of the estimated speeds of workers, for the next holder of a shard.

An estimate belongs to one incarnation of a worker.  Workers are spread over
a fixed number of rows by their ids, so that no row outgrows the store's
limit and only rows that changed are written.
"""

import typing
import zlib

import msgspec

from primroselock.decisions import fleet
from primroselock.decisions import speeds
from primroselock import decoding
from primroselock import logs
from primroselock import rowguard
from primroselock.store import keys
from primroselock.store import table

ROWS: typing.Final = 16
"""Rows over which the workers are spread."""

_DECIMALS: typing.Final = 3
_log: typing.Final = logs.get('speeds')


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """The estimate of a worker's speed, as ``speeds.Estimate`` has it."""

    worker_id: str
    boot: decoding.Integer
    total: decoding.Number
    count: decoding.Amount


_read: typing.Final = decoding.json_reader(tuple[_Record, ...])
_encode: typing.Final = msgspec.json.Encoder().encode


def row_of(worker_id: str) -> int:
    """Return the number of the row that holds a worker's estimate."""
    return zlib.crc32(worker_id.encode()) % ROWS


def take_changed(
    board: fleet.ShardBoard, shard: str, max_value_bytes: int
) -> list[table.Put]:
    """Return the rows in which an estimate has changed, and note them.

    A row that is larger than the store takes is left out.
    """
    known = board.worker_speeds
    changed = {row_of(worker_id) for worker_id in known.changed_ids}
    known.changed_ids.clear()
    records_by_row: dict[int, list[_Record]] = {row: [] for row in changed}
    for worker in board.workers_by_id.values():
        row = row_of(worker.id)
        estimate = known.estimate(worker.id, worker.boot)
        if row in changed and estimate is not None:
            records_by_row[row].append(
                _Record(
                    worker.id,
                    estimate.boot,
                    round(estimate.total, _DECIMALS),
                    round(estimate.count, _DECIMALS),
                )
            )
    puts = []
    for row, records in records_by_row.items():
        value = _encode(records)
        if len(value) > max_value_bytes:
            _log.warning('speeds not kept: too many workers', row=row)
            continue
        puts.append(table.Put(keys.worker_speeds(shard, row), value))
    return puts


def note_unsaved(board: fleet.ShardBoard, puts: list[table.Put]) -> None:
    """Note that rows were not stored, and are to be written again."""
    written = {put.key.rpartition('/')[2] for put in puts}
    board.worker_speeds.changed_ids.update(
        worker_id
        for worker_id in board.workers_by_id
        if str(row_of(worker_id)) in written
    )


def load(board: fleet.ShardBoard, shard: str, row: table.Row) -> None:
    """Put what an earlier holder knew on the blackboard.

    A row or an estimate that cannot be used is left out.
    """
    if not row.key.startswith(keys.worker_speeds(shard)):
        return
    records = rowguard.decode(_read, row, _log)
    for record in records or ():
        worker = board.workers_by_id.get(record.worker_id)
        if worker is not None:
            board.worker_speeds.inherit(
                record.worker_id,
                speeds.Estimate(record.boot, record.total, record.count),
                worker.boot,
            )
