"""Messages that a decoder may be given, valid and odd, and its surroundings.

The decoders themselves stand in :mod:`platformdecoders` and
:mod:`productdecoders`.
"""

from collections import abc
import copy
import dataclasses
import typing

import msgspec
import result

from primroselock import httpclient
from primroselock.platform import settings
from primroselock.store import table
from primroselock.test import fleetbuilders

_DEPTH: typing.Final = 100_000
_MARK: typing.Final = 'the odd value'
_Path = tuple[typing.Any, ...]
Decode = abc.Callable[[bytes], typing.Any]
Encode = abc.Callable[[typing.Any], bytes]
_ODD_JSON: typing.Final[tuple[bytes, ...]] = (
    b'[' * _DEPTH + b']' * _DEPTH,
    b'{"a":' * _DEPTH + b'0' + b'}' * _DEPTH,
    b'[' * _DEPTH,
    b'9' * 400,
    b'-' + b'9' * 400,
    b'9' * 5000,
    b'1e300',
    b'-1e300',
    b'1e400',
    b'5e-324',
    b'NaN',
    b'Infinity',
    b'-Infinity',
    b'0',
    b'-5',
    b'0.5',
    str(2**53 + 1).encode(),
    str(2**63).encode(),
    str(2**64).encode(),
    b'null',
    b'true',
    b'[]',
    b'{}',
    b'[null]',
    b'[[[]]]',
    b'""',
    b'"\\ud800"',
    b'"\\ud800x"',
    b'"\xed\xa0\x80"',
    b'"\xff"',
    b'"\\u0000"',
    b'"' + b'9' * 5000 + b'"',
    b'"' + b'x' * 1_000_000 + b'"',
)
ODD_MSGPACK: typing.Final[tuple[bytes, ...]] = (
    b'\x91' * _DEPTH + b'\xc0',
    b'\x81\xa1a' * _DEPTH + b'\xc0',
    b'\x91' * _DEPTH,
    b'\xcf' + b'\xff' * 8,
    b'\xd3\x80' + b'\x00' * 7,
    b'\xcb\x7f\xf8' + b'\x00' * 6,
    b'\xcb\x7f\xf0' + b'\x00' * 6,
    b'\xcb\xff\xf0' + b'\x00' * 6,
    b'\xcb\x7e\x37\xe4\x3c\x88\x00\x75\x9c',
    b'\xc0',
    b'\xc3',
    b'\x90',
    b'\x80',
    b'\x91\xc0',
    b'\xff',
    b'\xa0',
    b'\xa1\xff',
    b'\xa3\xed\xa0\x80',
    b'\xdb\xff\xff\xff\xff',
    b'\xdd\xff\xff\xff\xff',
    b'\xc7\x01\x05x',
    b'\xd6\xff\xff\xff\xff\xff',
    b'\xdb\x00\x0f\x42\x40' + b'x' * 1_000_000,
)
ODD_TEXTS: typing.Final[tuple[str, ...]] = (
    '',
    '9' * 400,
    '9' * 5000,
    '-' + '9' * 5000,
    '1e300',
    '1e400',
    '-1e400',
    'nan',
    'inf',
    '-inf',
    '-5',
    '1_0',
    ' 1',
    '\u0661\u0662',
    '\u00b2',
    'a.1.2.' + '9' * 5000,
    'a.' + '9' * 400 + '.0.0',
    'a.-1.-1.-1',
    'a.1.2.\u00b2',
    'h:' + '9' * 5000,
    ':' * 1000,
    '[',
    '\ud800',
    '\x00',
    'x' * 1_000_000,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A decoder; ``valid`` is the content of a message that it can read."""

    name: str
    decode: Decode
    valid: typing.Any
    encode: Encode = msgspec.json.encode
    odd_values: tuple[bytes, ...] = _ODD_JSON

    def __repr__(self) -> str:
        return self.name


def is_record(decoded: typing.Any) -> bool:
    """Return whether a decoder returned a record, not an error."""
    return decoded is not None and not isinstance(decoded, result.Err)


def list_fields(record: typing.Any) -> list[typing.Any]:
    """Return the values of a record's fields; none of other objects."""
    if isinstance(record, msgspec.Struct):
        return list(msgspec.structs.astuple(record))
    if dataclasses.is_dataclass(record):
        return [
            getattr(record, field.name) for field in dataclasses.fields(record)
        ]
    return []


def list_paths(value: typing.Any) -> list[_Path]:
    """Return the path to each value within a value, and to itself."""
    paths: list[_Path] = [()]
    items: list[tuple[typing.Any, typing.Any]] = []
    if isinstance(value, dict):
        items = list(value.items())
    elif isinstance(value, list):
        items = list(enumerate(value))
    for key, child in items:
        paths += [(key, *path) for path in list_paths(child)]
    return paths


def replace_at(
    value: typing.Any, path: _Path, replacement: typing.Any
) -> typing.Any:
    """Return a copy of ``value`` with another value at ``path``."""
    if not path:
        return replacement
    changed = copy.deepcopy(value)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = replacement
    return changed


def list_distorted(case: Case) -> abc.Iterator[bytes]:
    """Return the valid message with each odd value in each place.

    Also in a field that the decoder does not know.
    """
    changed = [
        replace_at(case.valid, path, _MARK) for path in list_paths(case.valid)
    ]
    if isinstance(case.valid, dict):
        changed.append({**case.valid, 'not known': _MARK})
    elif isinstance(case.valid, list):
        changed.append([*case.valid, _MARK])
    mark = case.encode(_MARK)
    for value in changed:
        encoded = case.encode(value)
        for odd in case.odd_values:
            yield encoded.replace(mark, odd)


class Pool:
    """Answers each exchange with one status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = httpclient.Response(status, body, {})

    async def exchange(
        self, request: httpclient.Request, timeout_s: float
    ) -> result.Result[httpclient.Response, httpclient.ExchangeError]:
        """Return the answer at once."""
        return result.Ok(self._response)


class Calls:
    """Answers each call of a store with one status and body."""

    def __init__(self, status: int, body: bytes) -> None:
        self._response = httpclient.Response(status, body, {})

    async def _answer(
        self, *arguments: typing.Any
    ) -> result.Result[httpclient.Response, httpclient.ExchangeError]:
        return result.Ok(self._response)

    read = write = poll = _answer


def row_reader(
    read: abc.Callable[[table.Row], typing.Any],
) -> Decode:
    return lambda value: read(table.Row('t/k', value, 1, ''))


def run_now(
    work: abc.Coroutine[typing.Any, typing.Any, typing.Any],
) -> typing.Any:
    """Return the result of a coroutine that waits for nothing."""
    try:
        work.send(None)
    except StopIteration as ended:
        return ended.value
    raise AssertionError('waits')


def read_conflict(store: table.Table) -> table.Conflict | None:
    """Return the conflict that a store answers; None if it is unreadable."""
    error = run_now(store.transact(TRANSACTION)).unwrap_err()
    return error if isinstance(error, table.Conflict) else None


SETTINGS: typing.Final = settings.parse(
    fleetbuilders.BOOT_TEXT + 'advice=127.0.0.1:9', 'boot'
).unwrap()
TRANSACTION: typing.Final = table.Transaction(
    (table.Condition('t/k', 1),), (table.Put('t/k', b'v'),)
)
WORKER_ENTRY: typing.Final[dict[str, typing.Any]] = {
    'service': 'svc',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'state': 'ready',
    'capacity': {'cpu': 64000, 'mem_mb': 1000, 'gpus': 8},
    'labels': ['kind', 'r1-3'],
    'born': 1700,
}
"""The entry of a worker, as the platform's pages name its fields."""
