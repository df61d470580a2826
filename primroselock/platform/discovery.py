"""Conversion of workers' registration rows to the product's records.

Other writers may store anything in the table.  A row that cannot be decoded,
or that no worker can have written, names no worker.
"""

import typing

import msgspec
import result

from primroselock.decisions import fleetworkers
from primroselock import decoding
from primroselock import jobgraph
from primroselock import logs
from primroselock.store import table

_TABLE: typing.Final = 'servers'
_PREFIX: typing.Final = f'{_TABLE}/'
_STATES: typing.Final = frozenset({'ready', 'draining'})
_log: typing.Final = logs.get('discovery')


class _Capacity(msgspec.Struct):
    """``cpu`` is in thousandths of a core."""

    cpu: decoding.Count
    mem_mb: decoding.Count
    gpus: decoding.Count


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
    born: decoding.Count = 0
    remaining_ms: decoding.Count | None = None


_decode_entry: typing.Final = decoding.json_reader(_Entry)


class WorkerRowReader:
    """Reads workers' rows from the table ``name``."""

    name = _TABLE

    def read_entry(self, row: table.Row) -> fleetworkers.WorkerEntry | None:
        """Return the entry of a row.

        None if it cannot be decoded, its state is not known, nobody can be
        called at its address, or it has no capacity at all.
        """
        worker_id = row.key.removeprefix(_PREFIX)
        decoded = _decode_entry(row.value)
        if isinstance(decoded, result.Err):
            _ignore(worker_id, decoded.err_value)
            return None
        entry = decoded.ok_value
        problem = _find_problem(entry)
        if problem:
            _ignore(worker_id, problem)
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


def _find_problem(entry: _Entry) -> str:
    """Return why no worker can have written an entry; empty if one can."""
    if entry.state not in _STATES:
        return 'state: expected one of ' + ', '.join(sorted(_STATES))
    if not decoding.is_address(entry.address):
        return 'address: expected a host and a port from 1 to 65535'
    if not any(msgspec.structs.astuple(entry.capacity)):
        return 'capacity: expected more than nothing'
    return ''


def _ignore(worker_id: str, why: str) -> None:
    _log.warning('worker entry ignored', worker=worker_id, why=why)
