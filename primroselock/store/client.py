"""HTTP client of the platform: table, object store and VM list.

Used by gateways and schedulers; nodes for task graphs use the client of
:mod:`primroselock.platform` instead.  A failed read is ``Unavailable``; a
failed write whose request may have been received is ``OutcomeUnknown``,
since the platform may have applied it.
"""

from collections import abc
import typing
import urllib.parse

import msgspec
import result

from primroselock import decoding
from primroselock import httpclient
from primroselock import options
from primroselock.store import resilientclient
from primroselock.store import table
from primroselock.store import vmlist

_CONFLICT: typing.Final = 409
_NOT_MODIFIED: typing.Final = 304
_NOT_FOUND: typing.Final = 404
_OK: typing.Final = 200
_UNAVAILABLE: typing.Final = 503

_Value = typing.TypeVar('_Value')


class _ConflictBody(msgspec.Struct, frozen=True):
    keys: tuple[str, ...]


_decode_committed: typing.Final = decoding.json_reader(table.Committed)
_decode_conflict: typing.Final = decoding.json_reader(_ConflictBody)


class PlatformClient:
    """Implements ``Table``, ``ObjectStore`` and ``VmList`` over HTTP."""

    def __init__(
        self, settings: options.Settings, name: str, connections: int
    ) -> None:
        platform = settings.platform
        self._timeout_s = platform.timeout_s
        self._calls = resilientclient.ResilientClient(
            platform.address, name, connections, platform.max_calls_per_s
        )
        self._vms: list[vmlist.Vm] = []
        self._vms_etag = ''

    async def aclose(self) -> None:
        """Close the connections."""
        await self._calls.aclose()

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the rows that exist among ``keys``, by key."""
        outcome = await self._query('/v1/table/read', {'keys': list(keys)})
        if isinstance(outcome, result.Err):
            return outcome
        rows = _decode(outcome.ok_value, list[table.Row])
        if isinstance(rows, result.Err):
            return rows
        return result.Ok({row.key: row for row in rows.ok_value})

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``."""
        query = {'prefix': prefix, 'after': after, 'limit': limit}
        outcome = await self._query('/v1/table/scan', query)
        if isinstance(outcome, result.Err):
            return outcome
        return _decode(outcome.ok_value, list[table.Row])

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction`` atomically."""
        outcome = await self._calls.write(
            httpclient.Request(
                'POST',
                '/v1/table/transact',
                msgspec.json.encode(transaction),
            ),
            self._timeout_s,
        )
        if isinstance(outcome, result.Err):
            error = outcome.err_value
            if isinstance(error, httpclient.NotSent):
                return result.Err(table.Unavailable(error.detail))
            return result.Err(table.OutcomeUnknown(error.detail))
        response = outcome.ok_value
        if response.status == _OK:
            return _decode_committed(response.body).map_err(_unknown_outcome)
        if response.status == _CONFLICT:
            body = _decode_conflict(response.body)
            if isinstance(body, result.Err):
                return result.Err(_unknown_outcome(body.err_value))
            return result.Err(table.Conflict(body.ok_value.keys))
        detail = f'transaction: status {response.status}'
        if response.status == _UNAVAILABLE:
            return result.Err(table.Unavailable(detail))
        # Any other error may have occurred after the write was applied.
        return result.Err(table.OutcomeUnknown(detail))

    async def list_vms(
        self,
    ) -> result.Result[list[vmlist.Vm], table.Unavailable]:
        """Return the VMs that the platform lists.

        If the platform sends an entity tag, a list that is unchanged
        since the last call is neither sent nor decoded again; the same
        object is returned.
        """
        headers: tuple[tuple[str, str], ...] = ()
        if self._vms_etag:
            headers = (('If-None-Match', self._vms_etag),)
        outcome = await self._request(
            httpclient.Request('GET', '/v1/vms', headers=headers),
            accepted=(_OK, _NOT_MODIFIED),
        )
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        if response.status == _OK:
            decoded = _decode(response.body, list[vmlist.Vm])
            if isinstance(decoded, result.Err):
                return decoded
            self._vms = decoded.ok_value
            self._vms_etag = response.headers_by_name.get('etag', '')
        return result.Ok(self._vms)

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, table.Unavailable]:
        """Store ``body`` under ``name``, replacing an existing object.

        After an error the object may have been stored all the same.
        """
        outcome = await self._request(
            httpclient.Request('PUT', _object_path(name), body)
        )
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(None)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, table.Unavailable]:
        """Return the object ``name``, or None if it does not exist."""
        outcome = await self._request(
            httpclient.Request('GET', _object_path(name)),
            accepted=(_OK, _NOT_FOUND),
        )
        if isinstance(outcome, result.Err):
            return outcome
        response = outcome.ok_value
        return result.Ok(response.body if response.status == _OK else None)

    async def _query(
        self, path: str, query: dict[str, typing.Any]
    ) -> result.Result[bytes, table.Unavailable]:
        body = msgspec.json.encode(query)
        outcome = await self._request(httpclient.Request('POST', path, body))
        if isinstance(outcome, result.Err):
            return outcome
        return result.Ok(outcome.ok_value.body)

    async def _request(
        self,
        request: httpclient.Request,
        accepted: tuple[int, ...] = (_OK,),
    ) -> result.Result[httpclient.Response, table.Unavailable]:
        outcome = await self._calls.read(request, self._timeout_s)
        if isinstance(outcome, result.Err):
            return result.Err(table.Unavailable(outcome.err_value.detail))
        response = outcome.ok_value
        if response.status not in accepted:
            detail = f'{request.path}: status {response.status}'
            return result.Err(table.Unavailable(detail))
        return result.Ok(response)


def _decode(
    body: bytes, kind: type[_Value]
) -> result.Result[_Value, table.Unavailable]:
    return decoding.read_json(kind, body).map_err(
        lambda why: table.Unavailable(f'cannot decode the response: {why}')
    )


def _unknown_outcome(why: str) -> table.TransactError:
    return table.OutcomeUnknown(f'cannot decode the response: {why}')


def _object_path(name: str) -> str:
    return '/v1/objects/' + urllib.parse.quote(name, safe='')
