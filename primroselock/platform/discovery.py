"""Entries that workers write of themselves, as the product's records.

An entry that cannot be read names no worker: other writers may leave
anything there.
"""

import typing

import msgspec

from primroselock.decisions import fleet
from primroselock import jobgraph
from primroselock import logs
from primroselock.store import table

_TABLE: typing.Final = 'servers'
_PREFIX: typing.Final = f'{_TABLE}/'
_STATES: typing.Final = frozenset({'ready', 'draining'})
_log: typing.Final = logs.get('discovery')


class _Capacity(msgspec.Struct):
    """``cpu`` is in thousandths of a core."""

    cpu: int
    mem_mb: int
    gpus: int


class _Entry(msgspec.Struct):
    """A worker's word of itself.

    ``labels`` are the kind and the rack; ``born`` is the Unix millisecond
    of the worker's start and names its incarnation; ``remaining_ms`` is
    the least time that a draining worker still runs.
    """

    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity
    labels: list[str]
    born: int = 0
    remaining_ms: int | None = None


class WorkerRowReader:
    """Reads workers' rows, of the table ``name``."""

    name = _TABLE

    def read_entry(self, row: table.Row) -> fleet.WorkerEntry | None:
        """Return the worker that a row tells of, or None."""
        worker_id = row.key.removeprefix(_PREFIX)
        try:
            entry = msgspec.json.decode(row.value, type=_Entry)
        except msgspec.MsgspecError as error:
            _log.warning('entry not read', worker=worker_id, error=str(error))
            return None
        if entry.state not in _STATES or ':' not in entry.address:
            _log.warning('entry not read', worker=worker_id, state=entry.state)
            return None
        labels = tuple(entry.labels)
        capacity = entry.capacity
        return fleet.WorkerEntry(
            worker_id,
            entry.service,
            entry.address,
            entry.zone,
            labels[1] if len(labels) > 1 else '',
            labels,
            jobgraph.Resources(capacity.cpu, capacity.mem_mb, capacity.gpus),
            entry.state == 'draining',
            entry.born,
            None if entry.remaining_ms is None else entry.remaining_ms / 1000,
        )

    def parse_worker_id(self, key: str) -> str:
        """Return the id of the worker whose entry is gone."""
        return key.removeprefix(_PREFIX)
