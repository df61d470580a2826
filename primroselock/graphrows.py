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
_GRAPH: typing.Final = 'graph'
_PROGRESS: typing.Final = 'progress'
_CANCEL: typing.Final = 'cancel'
_decode_graph: typing.Final = msgspec.json.Decoder(jobgraph.JobGraph).decode
_decode_progress: typing.Final = msgspec.json.Decoder(
    jobgraph.JobProgress
).decode
encode: typing.Final = msgspec.json.Encoder().encode


@dataclasses.dataclass(slots=True)
class StoredJob:
    """The decoded rows of one job, and the versions of the rows."""

    graph: jobgraph.JobGraph | None = None
    graph_version: int = table.ABSENT
    progress: jobgraph.JobProgress | None = None
    progress_version: int = table.ABSENT
    is_cancelled: bool = False


class JobRows:
    """Collects the rows of a shard's jobs by the job's id."""

    def __init__(self, shard: str) -> None:
        self._prefix = keys.shard_rows(shard)
        self.stored_by_id: dict[str, StoredJob] = {}

    def apply(self, changes: table.Changes) -> set[str]:
        """Apply changed rows; return the ids of the jobs that changed."""
        changed = set()
        for row in changes.rows:
            kind, job_id = self._split_key(row.key)
            if kind and self._apply_row(kind, job_id, row):
                changed.add(job_id)
        for key in changes.removed:
            kind, job_id = self._split_key(key)
            # The rows of a job are deleted in one transaction.
            if kind == _GRAPH:
                self.stored_by_id.pop(job_id, None)
        return changed

    def _split_key(self, key: str) -> tuple[str, str]:
        """Return a row's kind and job id; both '' for other rows."""
        if not key.startswith(self._prefix):
            return '', ''
        kind, _, job_id = key.removeprefix(self._prefix).partition('/')
        return (kind, job_id) if job_id else ('', '')

    def _apply_row(self, kind: str, job_id: str, row: table.Row) -> bool:
        stored = self.stored_by_id.get(job_id) or StoredJob()
        try:
            if kind == _GRAPH:
                stored.graph = _decode_graph(row.value)
                stored.graph_version = row.version
            elif kind == _PROGRESS:
                stored.progress = _decode_progress(row.value)
                stored.progress_version = row.version
            elif kind == _CANCEL:
                stored.is_cancelled = True
            else:
                return False
        except msgspec.MsgspecError as error:
            _log.error('row cannot be decoded', key=row.key, error=str(error))
            return False
        self.stored_by_id[job_id] = stored
        return True
