"""The platform's table of rows as the product's table.

A product key ``TABLE/REST`` is the row REST of the platform's table
TABLE, always in the part without a name.  What the product writes carries
the transaction's token before the value, so that a lost reply can be
settled; rows of other writers carry none.
"""

import base64
import binascii
from collections import abc
import typing
import urllib.parse

import msgspec
import result

from primroselock import httpclient
from primroselock import options
from primroselock.store import resilientclient
from primroselock.store import table

_OK: typing.Final = 200
_GONE: typing.Final = 410
_CONDITION_FAILED: typing.Final = 412
_REFUSED_UNDONE: typing.Final = frozenset({400, 403, 413, 429, 503})
"""Answers that promise that nothing was written."""

_PAGE_ROWS: typing.Final = 500
_TOKEN_MARK: typing.Final = b'\x01'
"""Separates the token from the value; no other writer's value has it."""

_AFTER_ANY_KEY: typing.Final = '\U0010ffff'
_FOREIGN_TABLES: typing.Final = frozenset({'op', 'servers'})


class _Name(msgspec.Struct):
    """Names a row in a call."""

    table: str
    key: str
    part: str = ''


class _Condition(_Name):
    """``ver`` is the version that the row must have; 0: no such row."""

    ver: int = 0


class _Put(_Name):
    """``value`` is in base64."""

    value: str = ''


class _Transaction(msgspec.Struct):
    if_revision: list[_Condition]
    set_keys: list[_Put]
    remove: list[_Name]


class _Row(msgspec.Struct):
    """A row of an answer; ``removed`` marks one that is gone."""

    table: str
    key: str
    ver: int
    value: str = ''
    removed: bool = False


class _Rows(msgspec.Struct):
    """Rows as of ``ver``; ``more_pages`` says that a page follows."""

    ver: int = 0
    rows: list[_Row] = []
    more_pages: bool = False


_decode_rows: typing.Final = msgspec.json.Decoder(_Rows).decode


class RowStore:
    """Implements ``table.FeedTable`` over the platform's calls."""

    def __init__(
        self, settings: options.Settings, name: str, connections: int
    ) -> None:
        platform = settings.platform
        self._timeout_s = platform.timeout_s
        self._calls = resilientclient.ResilientClient(
            platform.address, name, connections, platform.max_calls_per_s
        )

    async def aclose(self) -> None:
        """Close the connections."""
        await self._calls.aclose()

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the rows that exist among ``keys``, by key."""
        found: dict[str, table.Row] = {}
        for key in keys:
            name, rest = _split(key)
            page = await self._get_page(name, rest, rest + '\0', 1)
            if isinstance(page, result.Err):
                return page
            found.update({row.key: row for row in _rows(page.ok_value)})
        return result.Ok(found)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return rows whose key has ``prefix`` and sorts past ``after``."""
        name, rest = _split(prefix)
        start = _split(after)[1] + '\0' if after else rest
        limit = min(limit, _PAGE_ROWS)
        page = await self._get_page(name, start, rest + _AFTER_ANY_KEY, limit)
        if isinstance(page, result.Err):
            return page
        return result.Ok(list(_rows(page.ok_value)))

    async def list_rows(
        self, name: str
    ) -> result.Result[table.Listing, table.Unavailable]:
        """Return all rows of the table ``name``.

        The version is that of the first page: what changed while later
        pages were read comes again with the feed.
        """
        rows: list[table.Row] = []
        start = ''
        version: int | None = None
        while True:
            page = await self._get_page(name, start, '', _PAGE_ROWS)
            if isinstance(page, result.Err):
                return page
            body = page.ok_value
            if version is None:
                version = body.ver
            rows.extend(_rows(body))
            if not body.more_pages or not body.rows:
                return result.Ok(table.Listing(tuple(rows), version))
            start = body.rows[-1].key + '\0'

    async def changes(
        self, name: str, after: int, wait_s: float
    ) -> result.Result[
        table.Changes, table.Unavailable | table.HistoryTruncated
    ]:
        """Return what changed past version ``after``."""
        query = {'table': name, 'after': after, 'wait_ms': int(wait_s * 1000)}
        answer = await self._calls.poll(
            _get('/rows-feed', query), wait_s, self._timeout_s
        )
        if isinstance(answer, result.Err):
            return result.Err(table.Unavailable(answer.err_value.detail))
        if answer.ok_value.status == _GONE:
            return result.Err(table.HistoryTruncated())
        page = _decode_page(answer.ok_value)
        if isinstance(page, result.Err):
            return page
        body = page.ok_value
        removed = tuple(
            f'{row.table}/{row.key}' for row in body.rows if row.removed
        )
        return result.Ok(table.Changes(_rows(body), removed, body.ver))

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction`` whole, or not at all."""
        request = httpclient.Request(
            'POST',
            '/rows-tx',
            msgspec.json.encode(_encode(transaction)),
            (('Content-Type', 'application/json'),),
        )
        answer = await self._calls.write(request, self._timeout_s)
        if isinstance(answer, result.Err):
            error = answer.err_value
            if isinstance(error, httpclient.NotSent):
                return result.Err(table.Unavailable(error.detail))
            return result.Err(table.OutcomeUnknown(error.detail))
        response = answer.ok_value
        if response.status in _REFUSED_UNDONE:
            return result.Err(table.Unavailable(f'status {response.status}'))
        try:
            body = _decode_rows(response.body)
        except msgspec.MsgspecError as error:
            return result.Err(
                table.OutcomeUnknown(f'answer not read: {error}')
            )
        if response.status == _OK:
            return result.Ok(table.Committed(body.ver))
        if response.status == _CONDITION_FAILED:
            return result.Err(table.Conflict(_failed(transaction, body)))
        return result.Err(table.OutcomeUnknown(f'status {response.status}'))

    async def _get_page(
        self, name: str, start: str, end: str, limit: int
    ) -> result.Result[_Rows, table.Unavailable]:
        query: dict[str, typing.Any] = {'table': name, 'part': ''}
        if start:
            query['from'] = start
        if end:
            query['target'] = end
        query['limit'] = limit
        answer = await self._calls.read(
            _get('/rows-get', query), self._timeout_s
        )
        if isinstance(answer, result.Err):
            return result.Err(table.Unavailable(answer.err_value.detail))
        return _decode_page(answer.ok_value)


def _get(path: str, query: dict[str, typing.Any]) -> httpclient.Request:
    return httpclient.Request('GET', f'{path}?{urllib.parse.urlencode(query)}')


def _decode_page(
    response: httpclient.Response,
) -> result.Result[_Rows, table.Unavailable]:
    if response.status != _OK:
        return result.Err(table.Unavailable(f'status {response.status}'))
    try:
        return result.Ok(_decode_rows(response.body))
    except msgspec.MsgspecError as error:
        return result.Err(table.Unavailable(f'answer not read: {error}'))


def _split(key: str) -> tuple[str, str]:
    name, _, rest = key.partition('/')
    return name, rest


def _encode(transaction: table.Transaction) -> _Transaction:
    token = transaction.token.encode()
    return _Transaction(
        [
            _Condition(*_split(condition.key), ver=condition.version)
            for condition in transaction.conditions
        ],
        [
            _Put(
                *_split(put.key),
                value=base64.b64encode(
                    token + _TOKEN_MARK + put.value
                ).decode(),
            )
            for put in transaction.puts
        ],
        [_Name(*_split(key)) for key in transaction.deletes],
    )


def _rows(body: _Rows) -> tuple[table.Row, ...]:
    return tuple(_row(row) for row in body.rows if not row.removed)


def _row(row: _Row) -> table.Row:
    """Return the product's row; a value that is no base64 is empty."""
    key = f'{row.table}/{row.key}'
    try:
        value = base64.b64decode(row.value, validate=True)
    except binascii.Error:
        return table.Row(key, b'', row.ver, '')
    if row.table in _FOREIGN_TABLES:
        return table.Row(key, value, row.ver, '')
    token, _, own = value.partition(_TOKEN_MARK)
    return table.Row(key, own, row.ver, token.decode(errors='replace'))


def _failed(transaction: table.Transaction, body: _Rows) -> tuple[str, ...]:
    """Return the keys whose condition does not hold by the answer."""
    versions = {
        f'{row.table}/{row.key}': 0 if row.removed else row.ver
        for row in body.rows
    }
    return tuple(
        condition.key
        for condition in transaction.conditions
        if versions.get(condition.key, table.ABSENT) != condition.version
    )
