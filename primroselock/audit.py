"""The audit trail: each change or attempt, its author, time and origin.

The entry of an accepted change is written in the transaction of the change.
A refused attempt is written in a transaction of its own; if the platform does
not confirm it, the entry goes to the log, so that a refusal never waits for
the platform twice.  Keys sort by the wall time of the gateway that wrote
them; the order of accepted patches is that of their versions.
"""

import dataclasses
import typing

import msgspec
import result

from primroselock import decoding
from primroselock import logs
from primroselock import rowguard
from primroselock.store import keys
from primroselock.store import table

_log: typing.Final = logs.get('audit')


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """One change or refused attempt; ``at`` is in Unix seconds."""

    at: decoding.Number
    author: str
    origin: str
    action: str
    outcome: str
    detail: str


_decode_entry: typing.Final = decoding.json_reader(Entry)


@dataclasses.dataclass(frozen=True, slots=True)
class ListedEntry:
    """An entry with its id, which is the cursor of the next page."""

    id: str
    at: float
    author: str
    origin: str
    action: str
    outcome: str
    detail: str


def build_put(entry: Entry, token: str) -> table.Put:
    """Return the write of an entry in the transaction of ``token``.

    The key begins with the time in milliseconds.
    """
    key = f'{keys.AUDIT}{int(entry.at * 1000):015d}-{token}'
    return table.Put(key, msgspec.json.encode(entry))


async def write(store: table.Table, entry: Entry) -> None:
    """Write an entry in a transaction of its own; log it on failure."""
    token = table.new_token()
    put = build_put(entry, token)
    transaction = table.Transaction(
        (table.Condition(put.key, table.ABSENT),), (put,), token=token
    )
    written = await store.transact(transaction)
    if isinstance(written, result.Err):
        _log.warning(
            'audit entry may not have been stored', **dataclasses.asdict(entry)
        )


async def list_entries(
    store: table.Table, after: str, limit: int
) -> result.Result[list[ListedEntry], table.Unavailable]:
    """Return up to ``limit`` entries after the id ``after``, by time.

    A row that cannot be decoded is logged and left out.
    """
    page = await store.scan(keys.AUDIT, keys.AUDIT + after, limit)
    if isinstance(page, result.Err):
        return page
    listed = []
    for row in page.ok_value:
        entry = rowguard.decode(_decode_entry, row, _log)
        if entry is None:
            continue
        entry_id = row.key.removeprefix(keys.AUDIT)
        listed.append(ListedEntry(entry_id, **dataclasses.asdict(entry)))
    return result.Ok(listed)
