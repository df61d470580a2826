"""The platform's row store behind the product's table interface.

A product key ``TABLE/REST`` is the row REST of the platform's table
TABLE, always in the part of that table whose name is empty.  The product
stores the transaction's token before each value, so that the outcome of a
transaction can be determined after a lost reply; rows of other writers have
no token.
"""

import base64
from collections import abc
import typing
import urllib.parse

import msgspec
import result

from primroselock import clock
from primroselock import decoding
from primroselock import httpclient
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock.store import resilientclient
from primroselock.store import table

_log: typing.Final = logs.get('rows')
_OK: typing.Final = 200
_GONE: typing.Final = 410
_CONDITION_FAILED: typing.Final = 412
_TOO_MANY_CALLS: typing.Final = 429
_FORBIDDEN: typing.Final = 403
_REJECTED_STATUSES: typing.Final = frozenset({400, 413})
"""Response codes to a call that must not be sent again unchanged."""

_NOT_APPLIED_STATUSES: typing.Final = frozenset({_FORBIDDEN, 429, 503})
"""Response codes which guarantee that nothing was written."""

_MAX_ROWS_PER_PAGE: typing.Final = 500
_FIRST_ROWS_PER_PAGE: typing.Final = 64
_MIN_ROWS_PER_PAGE: typing.Final = 8
_FAST_PAGE_S: typing.Final = 0.1
_SLOW_PAGE_S: typing.Final = 0.3
_MAX_FAILED_PAGES: typing.Final = 3
"""Failures in a row after which a listing is given up."""

_LONG_BODY_S: typing.Final = 0.5
"""Seconds of an answer's body past which it is logged."""

_TOKEN_SEPARATOR: typing.Final = b'\x01'
"""Separates the token from the value in rows that the product writes."""

_AFTER_ANY_KEY: typing.Final = '\U0010ffff'
_EXTERNAL_TABLES: typing.Final = frozenset({'op', 'servers'})
"""Tables of other writers, whose values have no token."""


class _RowName(msgspec.Struct):
    """Identifies a row in a call."""

    table: str
    key: str
    part: str = ''


class _Condition(_RowName):
    """The row must be at version ``ver``; 0: the row must not exist."""

    ver: int = 0


class _Put(_RowName):
    """Writes ``value``, which is in base64."""

    value: str = ''


class _Transaction(msgspec.Struct):
    if_revision: list[_Condition]
    set_keys: list[_Put]
    remove: list[_RowName]


class _Row(msgspec.Struct):
    """A row of a response; ``removed`` marks a deleted one."""

    table: str
    key: str
    ver: decoding.Count
    value: str = ''
    removed: bool = False


class _Rows(msgspec.Struct):
    """Rows as of version ``ver``; ``more_pages``: another page follows."""

    ver: decoding.Count = 0
    rows: list[_Row] = []
    more_pages: bool = False


_decode_rows: typing.Final = decoding.json_reader(_Rows)


class RowStore:
    """Implements ``table.FeedTable`` over the platform's calls."""

    def __init__(
        self,
        settings: options.Settings,
        name: str,
        connections: int,
        counters: metrics.Metrics,
    ) -> None:
        self._metrics = counters
        self._rows_per_page = _FIRST_ROWS_PER_PAGE
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
        """Return the rows that exist among ``keys``, by key.

        Each key is read by a call of its own, in order, so the rows may be
        of different versions of the table.
        """
        found: dict[str, table.Row] = {}
        for key in keys:
            name, rest = _split_key(key)
            page = await self._get_page(name, rest, rest + '\0', 1)
            if isinstance(page, result.Err):
                return page
            found.update({row.key: row for row in _build_rows(page.ok_value)})
        return result.Ok(found)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``.

        At most ``_MAX_ROWS_PER_PAGE`` are returned, also if ``limit`` is
        larger.
        """
        name, rest = _split_key(prefix)
        start = _split_key(after)[1] + '\0' if after else rest
        limit = min(limit, _MAX_ROWS_PER_PAGE)
        page = await self._get_page(name, start, rest + _AFTER_ANY_KEY, limit)
        if isinstance(page, result.Err):
            return page
        return result.Ok(list(_build_rows(page.ok_value)))

    async def list_rows(
        self, name: str, listed: table.PartialListing | None = None
    ) -> result.Result[table.Listing, table.Unavailable | table.ListingBroken]:
        """Return all rows of the table ``name``, after those in ``listed``.

        The version is that of the first page: rows that changed while
        later pages were read are reported again by the change feed.
        """
        rows = list(listed.rows) if listed else []
        start = listed.start if listed else ''
        version = listed.version if listed else None
        failures = 0
        while True:
            sent_at = clock.monotonic()
            limit = self._rows_per_page
            page = await self._get_page(name, start, '', limit)
            if isinstance(page, result.Err):
                failures += 1
                if failures > _MAX_FAILED_PAGES:
                    return _break_off(page.err_value, rows, version, start)
                self._adapt_page(_SLOW_PAGE_S * 2)
                continue
            failures = 0
            body = page.ok_value
            self._adapt_page(clock.monotonic() - sent_at)
            if version is None:
                version = body.ver
            rows.extend(_build_rows(body))
            if not body.rows or not (
                body.more_pages or len(body.rows) >= limit
            ):
                return result.Ok(table.Listing(tuple(rows), version))
            start = body.rows[-1].key + '\0'

    def _adapt_page(self, taken_s: float) -> None:
        """Choose the size of the next page by the time that one took.

        A page must arrive within the timeout of a call, also on a slow
        link.
        """
        rows = self._rows_per_page
        if taken_s > _SLOW_PAGE_S:
            rows //= 4
        elif taken_s < _FAST_PAGE_S:
            rows *= 2
        self._rows_per_page = min(
            max(rows, _MIN_ROWS_PER_PAGE), _MAX_ROWS_PER_PAGE
        )

    async def changes(
        self,
        name: str,
        after: int,
        wait_s: float,
        on_begin: abc.Callable[[], None] | None = None,
    ) -> result.Result[
        table.Changes, table.Unavailable | table.HistoryTruncated
    ]:
        """Return the changes after version ``after``.

        Without any, the store may hold the response for ``wait_s`` seconds.
        ``on_begin``: see ``table.Feed``.
        """
        query = {'table': name, 'after': after, 'wait_ms': int(wait_s * 1000)}
        answer = await self._calls.poll(
            _get_request('/rows-feed', query),
            wait_s,
            self._timeout_s,
            on_begin,
        )
        if isinstance(answer, result.Err):
            return result.Err(self._note_lost(name, answer.err_value))
        if answer.ok_value.status == _GONE:
            return result.Err(table.HistoryTruncated())
        self._count_received(name, answer.ok_value)
        page = _decode_page(answer.ok_value)
        if isinstance(page, result.Err):
            return page
        body = page.ok_value
        removed = _list_removed(body)
        return result.Ok(table.Changes(_build_rows(body), removed, body.ver))

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction`` atomically."""
        body = msgspec.json.encode(_encode(transaction))
        written = [put.key for put in transaction.puts] or ['']
        series = metrics.labelled(
            'store_sent_bytes', table=_split_key(written[0])[0]
        )
        self._metrics.count(series, len(body))
        request = httpclient.Request(
            'POST',
            '/rows-tx',
            body,
            (('Content-Type', 'application/json'),),
        )
        answer = await self._calls.write(request, self._timeout_s)
        if isinstance(answer, result.Err):
            error = answer.err_value
            if isinstance(error, httpclient.NotSent):
                return result.Err(table.Unavailable(error.detail))
            return result.Err(table.OutcomeUnknown(error.detail))
        response = answer.ok_value
        if _is_rejected(response.status, transaction):
            return result.Err(
                table.Rejected(
                    f'row store responded with status {response.status}'
                )
            )
        if response.status in _NOT_APPLIED_STATUSES:
            return result.Err(
                table.Unavailable(
                    f'row store responded with status {response.status}',
                    response.status == _TOO_MANY_CALLS,
                )
            )
        decoded = _decode_rows(response.body)
        if isinstance(decoded, result.Err):
            return result.Err(
                table.OutcomeUnknown(
                    'row store response cannot be decoded: '
                    f'{decoded.err_value}'
                )
            )
        body_rows = decoded.ok_value
        if response.status == _OK:
            return result.Ok(table.Committed(body_rows.ver))
        if response.status == _CONDITION_FAILED:
            return result.Err(
                table.Conflict(_failed_keys(transaction, body_rows))
            )
        return result.Err(
            table.OutcomeUnknown(
                f'row store responded with status {response.status}'
            )
        )

    async def _get_page(
        self, name: str, start: str, end: str, limit: int
    ) -> result.Result[_Rows, table.Unavailable]:
        """Return the first rows from ``start`` on and before ``end``.

        At most ``limit`` rows; an empty bound is no bound.
        """
        query: dict[str, typing.Any] = {'table': name, 'part': ''}
        if start:
            query['from'] = start
        if end:
            query['target'] = end
        query['limit'] = limit
        answer = await self._calls.read(
            _get_request('/rows-get', query), self._timeout_s
        )
        if isinstance(answer, result.Err):
            return result.Err(self._note_lost(name, answer.err_value))
        self._count_received(name, answer.ok_value)
        return _decode_page(answer.ok_value)

    def _count_received(
        self, name: str, response: httpclient.Response
    ) -> None:
        received = len(response.body)
        series = metrics.labelled('store_received_bytes', table=name)
        self._metrics.count(series, received)
        if response.body_s > _LONG_BODY_S:
            self._metrics.record('store_long_answer', response.body_s)
            _log.info(
                'long answer received',
                table=name,
                bytes=received,
                took_s=round(response.body_s, 3),
            )

    def _note_lost(
        self, name: str, error: httpclient.ExchangeError
    ) -> table.Unavailable:
        """Return the product's error; log what had arrived of an answer."""
        received = 0
        if isinstance(error, httpclient.ResponseLost):
            received = error.received_bytes
        if received:
            series = metrics.labelled('store_broken_answers', table=name)
            self._metrics.count(series)
            _log.info(
                'answer broken off',
                table=name,
                bytes=received,
                detail=error.detail,
            )
        return table.Unavailable(error.detail, is_partial=received > 0)


def _break_off(
    error: table.Unavailable,
    rows: list[table.Row],
    version: int | None,
    start: str,
) -> result.Err[table.Unavailable | table.ListingBroken]:
    """Return the error of a listing, with the pages that were read."""
    if version is None:
        return result.Err(error)
    listed = table.PartialListing(tuple(rows), version, start)
    return result.Err(table.ListingBroken(error.detail, listed))


def _get_request(
    path: str, query: dict[str, typing.Any]
) -> httpclient.Request:
    return httpclient.Request('GET', f'{path}?{urllib.parse.urlencode(query)}')


def _decode_page(
    response: httpclient.Response,
) -> result.Result[_Rows, table.Unavailable]:
    if response.status != _OK:
        return result.Err(
            table.Unavailable(
                f'row store responded with status {response.status}'
            )
        )
    decoded = _decode_rows(response.body)
    if isinstance(decoded, result.Err):
        return result.Err(
            table.Unavailable(
                f'row store response cannot be decoded: {decoded.err_value}'
            )
        )
    return decoded


def _is_rejected(status: int, transaction: table.Transaction) -> bool:
    """Return whether a transaction is refused for good by its response.

    A write to a table of another writer is always forbidden.  That any
    other is forbidden is not for what it writes, and may pass.
    """
    if status != _FORBIDDEN:
        return status in _REJECTED_STATUSES
    written = [*(put.key for put in transaction.puts), *transaction.deletes]
    return any(_split_key(key)[0] in _EXTERNAL_TABLES for key in written)


def _split_key(key: str) -> tuple[str, str]:
    name, _, rest = key.partition('/')
    return name, rest


def _encode(transaction: table.Transaction) -> _Transaction:
    token = transaction.token.encode()
    return _Transaction(
        [
            _Condition(*_split_key(condition.key), ver=condition.version)
            for condition in transaction.conditions
        ],
        [
            _Put(
                *_split_key(put.key),
                value=base64.b64encode(
                    token + _TOKEN_SEPARATOR + put.value
                ).decode(),
            )
            for put in transaction.puts
        ],
        [_RowName(*_split_key(key)) for key in transaction.deletes],
    )


def _list_removed(body: _Rows) -> tuple[str, ...]:
    """Return the keys of the rows whose last change is their removal.

    A response may report more than one change of a row, oldest first.
    """
    is_removed_by_key = {
        f'{row.table}/{row.key}': row.removed for row in body.rows
    }
    return tuple(
        key for key, is_removed in is_removed_by_key.items() if is_removed
    )


def _build_rows(body: _Rows) -> tuple[table.Row, ...]:
    return tuple(_build_row(row) for row in body.rows if not row.removed)


def _build_row(row: _Row) -> table.Row:
    """Return the product's row; a value that is not base64 becomes empty.

    A row of an external table keeps its value and has an empty token.
    """
    key = f'{row.table}/{row.key}'
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # Also raised for text that is not ASCII.
        return table.Row(key, b'', row.ver, '')
    if row.table in _EXTERNAL_TABLES:
        return table.Row(key, value, row.ver, '')
    token, _, own = value.partition(_TOKEN_SEPARATOR)
    return table.Row(key, own, row.ver, token.decode(errors='replace'))


def _failed_keys(
    transaction: table.Transaction, body: _Rows
) -> tuple[str, ...]:
    """Return the keys whose condition failed according to the response."""
    versions = {
        f'{row.table}/{row.key}': 0 if row.removed else row.ver
        for row in body.rows
    }
    return tuple(
        condition.key
        for condition in transaction.conditions
        if versions.get(condition.key, table.ABSENT) != condition.version
    )
