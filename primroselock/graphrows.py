"""Rows of jobs that are graphs: their keys, encoding and decoding.

A job has the graph as it was accepted, its progress, and a cancellation
request.  Each has one writer, so that a node that accepts or cancels a job
never conflicts with the holder of the shard.  Each is one row, but for the
progress of a job of many tasks, which may be larger than a row: its groups
are spread over several, which are always written together.

A job that was cancelled before it was stored has a tombstone at the key of
its graph: a write of the graph that the store performs late finds it there.
"""

import dataclasses
import math
import typing

import msgspec

from primroselock import decoding
from primroselock import jobgraph
from primroselock import knownjobs
from primroselock import logs
from primroselock import rowguard
from primroselock.store import keys
from primroselock.store import table

_log: typing.Final = logs.get('graphrows')


class Tombstone(msgspec.Struct, frozen=True):
    """What stands in place of a job that was cancelled before it was stored.

    Each of the ``owners`` has cancelled the id.  The job of another one may
    replace the tombstone; theirs is refused while it stands.
    """

    owners: tuple[knownjobs.Owner, ...]


_decode_graph: typing.Final = decoding.json_reader(jobgraph.JobGraph)
_decode_tombstone: typing.Final = decoding.json_reader(Tombstone)
_decode_progress: typing.Final = decoding.json_reader(jobgraph.JobProgress)
encode: typing.Final = msgspec.json.Encoder().encode
_MAX_PARTS: typing.Final = 10_000
"""More rows than the progress of any job has."""


@dataclasses.dataclass(slots=True)
class StoredJob:
    """The decoded rows of one job.

    ``graph_version`` is that of the graph's row.
    ``progress_version`` is the version of the first progress row, which is
    rewritten with each change; ``groups_by_part`` holds what the others add.
    ``unreadable_parts`` are the progress rows that cannot be decoded, 0 for
    the first.
    """

    graph: jobgraph.JobGraph | None = None
    graph_version: int = table.ABSENT
    first_progress: jobgraph.JobProgress | None = None
    progress_version: int = table.ABSENT
    is_cancelled: bool = False
    groups_by_part: dict[int, tuple[jobgraph.GroupRecord, ...]] = (
        dataclasses.field(default_factory=dict)
    )
    unreadable_parts: set[int] = dataclasses.field(default_factory=set)

    @property
    def is_progress_lost(self) -> bool:
        """Return whether a row of the progress cannot be decoded.

        Rows beyond those that the first one counts are of no account.
        """
        first = self.first_progress
        parts = first.parts if first is not None else 1
        return any(part < parts for part in self.unreadable_parts)

    @property
    def parts(self) -> int:
        """Return how many rows the progress has; at least 1."""
        return max(self.groups_by_part, default=0) + 1

    @property
    def progress(self) -> jobgraph.JobProgress | None:
        """Return the progress, joined from its rows."""
        first = self.first_progress
        if first is None or first.parts == 1:
            return first
        groups = list(first.groups)
        for part in sorted(self.groups_by_part):
            if part < first.parts:
                groups += self.groups_by_part[part]
        return msgspec.structs.replace(first, groups=tuple(groups), parts=1)


def encode_progress(
    progress: jobgraph.JobProgress, max_bytes: int
) -> tuple[bytes, ...]:
    """Return the values of the rows of a job's progress, in order.

    Each has at most ``max_bytes``, unless a single group needs more.
    """
    whole = encode(progress)
    if len(whole) <= max_bytes:
        return (whole,)
    groups = progress.groups
    parts = math.ceil(len(whole) / max_bytes)
    while True:
        values = _encode_parts(progress, min(parts, len(groups)))
        if max(map(len, values)) <= max_bytes or parts >= len(groups):
            return values
        parts += 1


def _encode_parts(
    progress: jobgraph.JobProgress, parts: int
) -> tuple[bytes, ...]:
    """Encode progress in ``parts`` rows with about as many groups each."""
    count = math.ceil(len(progress.groups) / parts)
    chunks = [
        progress.groups[start : start + count]
        for start in range(0, len(progress.groups), count)
    ]
    return tuple(
        encode(
            msgspec.structs.replace(progress, groups=chunk, parts=len(chunks))
        )
        for chunk in chunks
    )


def read_submitted(
    row: table.Row,
) -> jobgraph.JobGraph | Tombstone | None:
    """Return the graph or the tombstone in a row.

    Returns None if it cannot be decoded.
    """
    # A graph is encoded as an array, a tombstone as an object.
    if row.value.startswith(b'{'):
        return rowguard.decode(_decode_tombstone, row, _log)
    return rowguard.decode(_decode_graph, row, _log)


def read_progress(row: table.Row) -> jobgraph.JobProgress | None:
    """Return the progress in a row, or None if it cannot be decoded."""
    return rowguard.decode(_decode_progress, row, _log)


class JobRows:
    """Collects the rows of a shard's jobs by the job's id.

    ``tombstone_versions_by_id`` holds the versions of the rows of tombstones,
    which are no jobs.
    """

    def __init__(self, shard: str) -> None:
        self._graph_prefix = keys.graph(shard, '')
        self._cancel_prefix = keys.cancellation(shard, '')
        self._progress_prefix = keys.progress(shard, '')
        self.stored_by_id: dict[str, StoredJob] = {}
        self.tombstone_versions_by_id: dict[str, int] = {}

    def apply(self, rows: tuple[table.Row, ...]) -> None:
        """Add rows; rows of other shards or kinds are ignored."""
        for row in rows:
            with rowguard.leave_out(_log, row.key):
                self._apply_row(row)

    def _apply_row(self, row: table.Row) -> None:
        if row.key.startswith(self._graph_prefix):
            self._apply_submitted(row)
        elif row.key.startswith(self._cancel_prefix):
            stored = self._stored(row.key, self._cancel_prefix)
            stored.is_cancelled = True
        elif row.key.startswith(self._progress_prefix):
            self._apply_progress(row)

    def _apply_submitted(self, row: table.Row) -> None:
        submitted = read_submitted(row)
        job_id = row.key.removeprefix(self._graph_prefix)
        if isinstance(submitted, Tombstone):
            self.tombstone_versions_by_id[job_id] = row.version
            return
        self.tombstone_versions_by_id.pop(job_id, None)
        stored = self._stored(row.key, self._graph_prefix)
        stored.graph, stored.graph_version = submitted, row.version

    def _apply_progress(self, row: table.Row) -> None:
        name = row.key.removeprefix(self._progress_prefix)
        job_id, _, part = name.partition('/')
        number = _parse_part(part)
        if part and number is None:
            _log.error('row ignored: its key names no part', key=row.key)
            return
        stored = self.stored_by_id.setdefault(job_id, StoredJob())
        progress = read_progress(row)
        if progress is None:
            stored.unreadable_parts.add(number or 0)
        else:
            stored.unreadable_parts.discard(number or 0)
        if number is not None:
            groups = progress.groups if progress is not None else ()
            stored.groups_by_part[number] = groups
        else:
            stored.first_progress = progress
            stored.progress_version = row.version

    def _stored(self, key: str, prefix: str) -> StoredJob:
        job_id = key.removeprefix(prefix)
        return self.stored_by_id.setdefault(job_id, StoredJob())


def _parse_part(text: str) -> int | None:
    """Return the number of a further progress row, or None if it is none."""
    return decoding.parse_count(text, _MAX_PARTS) or None
