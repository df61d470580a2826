"""Rows of jobs that are graphs: their keys, encoding and decoding.

A job has up to three rows: the graph as it was accepted, its progress,
and a cancellation request.  Each has one writer, so that a node that
accepts or cancels a job never conflicts with the holder of the shard.
"""

import dataclasses
import typing

import msgspec

from primroselock import jobgraph
from primroselock import logs
from primroselock.store import keys
from primroselock.store import table

_log: typing.Final = logs.get('graphrows')
_decode_graph: typing.Final = msgspec.json.Decoder(jobgraph.JobGraph).decode
_decode_progress: typing.Final = msgspec.json.Decoder(
    jobgraph.JobProgress
).decode
encode: typing.Final = msgspec.json.Encoder().encode


@dataclasses.dataclass(slots=True)
class StoredJob:
    """The decoded rows of one job, and the version of its progress row."""

    graph: jobgraph.JobGraph | None = None
    progress: jobgraph.JobProgress | None = None
    progress_version: int = table.ABSENT
    is_cancelled: bool = False


def read_graph(row: table.Row) -> jobgraph.JobGraph | None:
    """Return the graph in a row, or None if it cannot be decoded."""
    try:
        return _decode_graph(row.value)
    except msgspec.MsgspecError as error:
        _log.error('row cannot be decoded', key=row.key, error=str(error))
        return None


def read_progress(row: table.Row) -> jobgraph.JobProgress | None:
    """Return the progress in a row, or None if it cannot be decoded."""
    try:
        return _decode_progress(row.value)
    except msgspec.MsgspecError as error:
        _log.error('row cannot be decoded', key=row.key, error=str(error))
        return None


class JobRows:
    """Collects the rows of a shard's jobs by the job's id."""

    def __init__(self, shard: str) -> None:
        self._graph_prefix = keys.graph(shard, '')
        self._cancel_prefix = keys.cancellation(shard, '')
        self._progress_prefix = keys.progress(shard, '')
        self.stored_by_id: dict[str, StoredJob] = {}

    def apply(self, rows: tuple[table.Row, ...]) -> None:
        """Add rows; rows of other shards or kinds are ignored."""
        for row in rows:
            if row.key.startswith(self._graph_prefix):
                stored = self._stored(row.key, self._graph_prefix)
                stored.graph = read_graph(row)
            elif row.key.startswith(self._cancel_prefix):
                stored = self._stored(row.key, self._cancel_prefix)
                stored.is_cancelled = True
            elif row.key.startswith(self._progress_prefix):
                stored = self._stored(row.key, self._progress_prefix)
                stored.progress = read_progress(row)
                stored.progress_version = row.version

    def _stored(self, key: str, prefix: str) -> StoredJob:
        job_id = key.removeprefix(prefix)
        return self.stored_by_id.setdefault(job_id, StoredJob())
