"""The decoders of the product's own interface, its store and its mesh.

Each decoder is a line of :data:`CASES`, each parser of a text one of
:data:`PARSERS_BY_NAME`.
"""

import asyncio
from collections import abc
import typing
import urllib.parse

import msgspec
import result
from starlette import requests

from primroselock import audit
from primroselock import claims
from primroselock import clock
from primroselock import configapi
from primroselock import configuration
from primroselock import history
from primroselock import httpclient
from primroselock import ini
from primroselock import jobs
from primroselock import jobsapi
from primroselock import jobstore
from primroselock.mesh import node
from primroselock import operatorcalls
from primroselock import patches
from primroselock import servicesapi
from primroselock.store import client
from primroselock.store import table
from primroselock.store import vmlist
from primroselock.test import decodercases
from primroselock.workers import link
from primroselock.workers import protocol


class _Rows:
    """A table of one row, for each key that is asked for."""

    def __init__(self, value: bytes) -> None:
        self._value = value

    async def read(
        self, wanted: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the row."""
        return result.Ok(
            {key: table.Row(key, self._value, 1, '') for key in wanted}
        )

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return the row."""
        return result.Ok([table.Row(prefix + '1', self._value, 1, '')])


def _first(listed: result.Result[typing.Any, typing.Any]) -> typing.Any:
    """Return the only item of a listing; None if it was left out."""
    items = listed.unwrap()
    return items[0] if items else None


def _read_job_row(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return decodercases.run_now(jobstore.JobStore(store).read('j'))


def _read_job_rows(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return _first(
        decodercases.run_now(jobstore.JobStore(store).read_many(['j']))
    )


def _read_patch(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return decodercases.run_now(patches.read_patch(store, 1))


def _read_head(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return decodercases.run_now(patches.read_head(store))


def _load_version(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return decodercases.run_now(
        patches.load_version(store, 1, patches.SnapshotRef())
    )


def _list_patches(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return _first(decodercases.run_now(history.list_patches(store, 0, 9)))


def _list_audit(value: bytes) -> typing.Any:
    store: typing.Any = _Rows(value)
    return _first(decodercases.run_now(audit.list_entries(store, '', 9)))


def _platform_client(status: int, body: bytes) -> client.PlatformClient:
    platform = client.PlatformClient(decodercases.SETTINGS, 'x', 1)
    calls: typing.Any = decodercases.Calls(status, body)
    platform._calls = calls
    return platform


def _read_platform_rows(value: bytes) -> typing.Any:
    return decodercases.run_now(_platform_client(200, value).scan('t/'))


def _read_platform_commit(value: bytes) -> typing.Any:
    return decodercases.run_now(
        _platform_client(200, value).transact(decodercases.TRANSACTION)
    )


def _read_platform_conflict(value: bytes) -> typing.Any:
    return decodercases.read_conflict(_platform_client(409, value))


def _read_vms(value: bytes) -> typing.Any:
    return decodercases.run_now(_platform_client(200, value).list_vms())


def _read_report(value: bytes) -> typing.Any:
    return link._decode(httpclient.Response(200, value, {}))


def _read_stale_epoch(value: bytes) -> typing.Any:
    """Return the refusal itself; None if it cannot be read."""
    outcome = link._decode(httpclient.Response(409, value, {}))
    error = outcome.unwrap_err()
    return error if isinstance(error, link.StaleEpoch) else None


def _read_body(kind: type[typing.Any]) -> decodercases.Decode:
    """Return the decoder of the body of an operator's call."""

    def decode(value: bytes) -> typing.Any:
        async def receive() -> dict[str, typing.Any]:
            return {'type': 'http.request', 'body': value, 'more_body': False}

        request = requests.Request({'type': 'http', 'headers': []}, receive)
        try:
            return decodercases.run_now(
                operatorcalls.decode_body(request, kind)
            )
        except operatorcalls.BadRequest:
            return None

    return decode


def _parse_parameter(text: str) -> typing.Any:
    query = urllib.parse.urlencode({'n': text}, errors='replace').encode()
    request = requests.Request(
        {'type': 'http', 'headers': [], 'query_string': query}
    )
    try:
        return operatorcalls.read_int_parameter(request, 'n')
    except operatorcalls.BadRequest:
        return None


def _parse_length(text: str) -> typing.Any:
    """Return the body of a call that declares a length; None if refused."""

    async def receive() -> dict[str, typing.Any]:
        return {'type': 'http.request', 'body': b'x', 'more_body': False}

    value = text.encode('latin-1', 'ignore')
    scope = {'type': 'http', 'headers': [(b'content-length', value)]}
    request = requests.Request(scope, receive)
    service = configuration.Service('s', max_body_bytes=100)
    deadline = clock.monotonic() + 60.0

    async def read() -> bytes | None:
        try:
            return await servicesapi._read_body(request, service, deadline)
        except servicesapi._RequestRejected:
            return None

    return asyncio.run(read())


def _parse_values(text: str) -> typing.Any:
    """Return what each kind of value of the product makes of a text."""
    return [_convert(kind, text) for kind in ini.kinds_by_name.values()]


def _convert(kind: typing.Any, text: str) -> typing.Any:
    try:
        return kind.convert(text)
    except ValueError:
        # What the readers of sections report as a problem.
        return None


_SPEC: typing.Final = msgspec.to_builtins(jobs.JobSpec('n', command=('run',)))
_JOB_ROW: typing.Final = msgspec.to_builtins(
    jobs.Job(
        'j',
        'signs',
        's',
        jobs.JobSpec('n'),
        jobs.JobState.RUNNING,
        5.0,
        attempt=jobs.Attempt(
            1, 2, (jobs.Placement('w', 'b', (0, 1), 2, 2),), True
        ),
        ended_at=7.0,
        failed_worker_ids=('w',),
    )
)
_PATCH: typing.Final = msgspec.to_builtins(
    patches.Patch(1, '[a]\nb = c\n', 'c', 'a', 'o', 5.0, 's')
)
_AUDIT: typing.Final = msgspec.to_builtins(
    audit.Entry(5.0, 'a', 'o', 'x', 'y', 'z')
)
_CLAIM: typing.Final = msgspec.to_builtins(
    claims.Row('h', 'd', 5.0, 200, 'text/plain', b'x'), builtin_types=(bytes,)
)
_TABLE_ROW: typing.Final = {
    'key': 't/k',
    'value': 'dg==',
    'version': 3,
    'token': 'x',
}
_VM: typing.Final = msgspec.to_builtins(
    vmlist.Vm('v', 'worker', 'a', '127.0.0.1:1')
)
_TASK: typing.Final = protocol.TaskKey('j', 1, 0, 2)
_REPORT: typing.Final = msgspec.to_builtins(
    protocol.Report(
        'w',
        'b',
        5.0,
        'r',
        1,
        8,
        64,
        1000,
        (protocol.TaskReport(_TASK, protocol.TaskState.RUNNING),),
        (protocol.Refusal(_TASK, 'x'),),
        3,
        2,
        (_TASK,),
    )
)
_BEACON: typing.Final = [
    'b',
    'n',
    'i',
    3,
    'gateway',
    'a',
    4,
    0.5,
    False,
    {'u': 2},
    '127.0.0.1:1',
    {'s': [1, 2, 3]},
]
_MESSAGES: typing.Final = {
    'beacon of a peer': _BEACON,
    'hint of a job': ['j', 's', 'j1'],
    'query of a peer': ['q', 3, 4],
    'reply of a peer': ['a', 3, 4, 0.5, ['[a]'], {'a': {'b': 'c'}}],
}

CASES: typing.Final[tuple[decodercases.Case, ...]] = (
    decodercases.Case('job row', _read_job_row, _JOB_ROW),
    decodercases.Case('job rows', _read_job_rows, _JOB_ROW),
    decodercases.Case('patch', _read_patch, _PATCH),
    decodercases.Case('patch to be applied', _load_version, _PATCH),
    decodercases.Case('listed patch', _list_patches, _PATCH),
    decodercases.Case('listed audit entry', _list_audit, _AUDIT),
    decodercases.Case(
        'head of the configuration',
        _read_head,
        {'version': 3, 'snapshot': {'version': 2, 'name': 'n'}},
    ),
    decodercases.Case('rows of the table', _read_platform_rows, [_TABLE_ROW]),
    decodercases.Case(
        'commit of the table', _read_platform_commit, {'version': 3}
    ),
    decodercases.Case(
        'conflict of the table', _read_platform_conflict, {'keys': ['t/k']}
    ),
    decodercases.Case('list of VMs', _read_vms, [_VM]),
    decodercases.Case(
        'claim',
        decodercases.row_reader(claims._decode),
        _CLAIM,
        msgspec.msgpack.encode,
        decodercases.ODD_MSGPACK,
    ),
    decodercases.Case('report of a worker', _read_report, _REPORT),
    decodercases.Case(
        'newer epoch of a worker', _read_stale_epoch, {'epoch': 3}
    ),
    *(
        decodercases.Case(
            name,
            node.read_message,
            valid,
            msgspec.msgpack.encode,
            decodercases.ODD_MSGPACK,
        )
        for name, valid in _MESSAGES.items()
    ),
    decodercases.Case('specification of a job', jobsapi._decode_spec, _SPEC),
    decodercases.Case(
        'submitted patch',
        _read_body(configapi.PatchBody),
        {'base_version': 3, 'text': 't', 'comment': 'c'},
    ),
    decodercases.Case(
        'revert',
        _read_body(configapi.RevertBody),
        {'base_version': 3, 'to_version': 2},
    ),
)
PARSERS_BY_NAME: typing.Final[dict[str, abc.Callable[[str], typing.Any]]] = {
    'parameter of a call': _parse_parameter,
    'declared length': _parse_length,
    'values of settings': _parse_values,
}
