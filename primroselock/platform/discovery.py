"""Conversion of workers' registration rows to the product's records.

A row that cannot be decoded is ignored: other writers may store anything
in the table.
"""

import typing

import msgspec

from primroselock.decisions import fleetworkers
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
    """A worker's registration, written by the worker.

    ``labels`` are the kind and the rack; ``born`` is the time of the
    worker's start in Unix milliseconds and identifies its incarnation;
    ``remaining_ms`` is the minimum time that a draining worker still runs.
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
    """Reads workers' rows from the table ``name``."""

    name = _TABLE

    def read_entry(self, row: table.Row) -> fleetworkers.WorkerEntry | None:
        """Return the entry of a row.

        None if it cannot be decoded or its state or address is invalid; an
        address must have a port.
        """
        worker_id = row.key.removeprefix(_PREFIX)
        try:
            entry = msgspec.json.decode(row.value, type=_Entry)
        except msgspec.MsgspecError as error:
            _log.warning(
                'worker entry ignored: cannot be decoded',
                worker=worker_id,
                error=str(error),
            )
            return None
        if entry.state not in _STATES or ':' not in entry.address:
            _log.warning(
                'worker entry ignored: invalid state or address',
                worker=worker_id,
                state=entry.state,
            )
            return None
        labels = tuple(entry.labels)
        capacity = entry.capacity
        return fleetworkers.WorkerEntry(
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
        """Return the id of the worker whose row, at ``key``, was deleted."""
        return key.removeprefix(_PREFIX)
