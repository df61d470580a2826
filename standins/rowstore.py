"""Stand-in for the row store of Ishikari's platform, with faults.

Each node reaches the store through a port of its own, so that a fault can
affect some nodes only.  Kinds of faults, by what the affected nodes see:
``slow``: each call is delayed; ``refuse``: 503 or 429; ``reset``: the
connection is closed; ``silent``: no response; ``lost``: half of the
transactions are applied, at once or seconds later, without a response;
``forget``: the change history is dropped, for all nodes.
"""

import asyncio
import base64
import bisect
import dataclasses
import operator
import random
import time
import typing
import urllib.parse

import msgspec

from standins import httpmessages

KINDS: typing.Final = ('slow', 'refuse', 'reset', 'silent', 'lost', 'forget')
_CALL_S: typing.Final = 0.004
_MAX_DELAY_S: typing.Final = 1.5
_MAX_LATE_S: typing.Final = 4.0
_MAX_SILENCE_S: typing.Final = 10.0
_MAX_ROWS: typing.Final = 500
_EXTERNAL_TABLES: typing.Final = frozenset({'op', 'servers'})
"""Tables that nodes may not write."""

Row = dict[str, typing.Any]


@dataclasses.dataclass(eq=False, slots=True)
class Fault:
    """A fault in progress; ``nodes`` are the numbers of affected nodes."""

    kind: str
    nodes: frozenset[int]


class RowStore:
    """Rows by table and key, and their changes in order."""

    def __init__(self, source: random.Random) -> None:
        self.faults: list[Fault] = []
        self._random = source
        self._rows: dict[str, dict[str, Row]] = {}
        self._changes: dict[str, list[Row]] = {}
        self._changed: dict[str, asyncio.Event] = {}
        self._version = 0
        self._oldest = 0

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write a row as the operator or a worker does; None removes it."""
        encoded = base64.b64encode(msgspec.json.encode(value)).decode()
        self._version += 1
        self._write(table, key, None if value is None else encoded)

    def _write(self, table: str, key: str, value: str | None) -> None:
        row: Row = {'table': table, 'key': key, 'ver': self._version}
        rows = self._rows.setdefault(table, {})
        if value is None:
            row['removed'] = True
            rows.pop(key, None)
        else:
            row['value'] = value
            rows[key] = row
        self._changes.setdefault(table, []).append(row)
        event = self._changed.pop(table, None)
        if event is not None:
            event.set()

    async def handle(
        self, node: int, request: httpmessages.Message
    ) -> bytes | None:
        """Serve one call of a node; None if it gets no response."""
        target = request.first_line.split(' ')[1]
        path, _, query_text = target.partition('?')
        kinds = {f.kind for f in self.faults if node in f.nodes}
        is_slow = 'slow' in kinds
        delay_s = self._random.uniform(0, _MAX_DELAY_S) if is_slow else 0.0
        await asyncio.sleep(_CALL_S + delay_s)
        if 'reset' in kinds:
            return None
        if 'silent' in kinds:
            await asyncio.sleep(_MAX_SILENCE_S)
            return None
        if 'refuse' in kinds:
            return self._respond(self._random.choice((429, 503)), {})
        if 'forget' in kinds:
            self._oldest = self._version
            self._changes.clear()
        if path == '/rows-tx':
            is_lost = 'lost' in kinds and self._random.random() < 0.5
            late_s = self._random.choice((0, _MAX_LATE_S)) if is_lost else 0
            await asyncio.sleep(self._random.uniform(0, late_s))
            response = self._transact(msgspec.json.decode(request.body))
            return None if is_lost else response
        query = dict(urllib.parse.parse_qsl(query_text))
        if path == '/rows-feed':
            return await self._feed(query)
        return self._get(query)

    def _respond(self, status: int, body: Row) -> bytes:
        now_ms = int(time.monotonic() * 1000)
        shown = {'ver': self._version, 'now_ms': now_ms, **body}
        return httpmessages.respond(status, shown)

    def _transact(self, body: Row) -> bytes:
        entries = [*body['set_keys'], *body['remove']]
        if any(entry['table'] in _EXTERNAL_TABLES for entry in entries):
            return self._respond(403, {})
        rows = [
            self._rows.get(wanted['table'], {}).get(wanted['key'])
            for wanted in body['if_revision']
        ]
        versions = [row['ver'] if row else 0 for row in rows]
        if versions != [wanted['ver'] for wanted in body['if_revision']]:
            return self._respond(412, {'rows': [row for row in rows if row]})
        self._version += 1
        for entry in entries:
            self._write(entry['table'], entry['key'], entry.get('value'))
        return self._respond(200, {})

    def _get(self, query: dict[str, str]) -> bytes:
        rows = self._rows.get(query['table'], {})
        start, end = query.get('from', ''), query.get('target', '')
        limit = min(int(query['limit']), _MAX_ROWS)
        names = sorted(n for n in rows if n >= start and (not end or n < end))
        page: Row = {'rows': [rows[name] for name in names[:limit]]}
        return self._respond(200, {**page, 'more_pages': len(names) > limit})

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query['table'], int(query['after'])
        if not self._list_changes(table, after) and after >= self._oldest:
            event = self._changed.setdefault(table, asyncio.Event())
            try:
                async with asyncio.timeout(int(query['wait_ms']) / 1000):
                    await event.wait()
            except TimeoutError:
                # Nothing changed; the response has no rows.
                pass
        if after < self._oldest:
            return self._respond(410, {})
        return self._respond(200, {'rows': self._list_changes(table, after)})

    def _list_changes(self, table: str, after: int) -> list[Row]:
        changes = self._changes.get(table, [])
        first = bisect.bisect(changes, after, key=operator.itemgetter('ver'))
        return changes[first:]
