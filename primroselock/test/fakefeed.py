"""An in-memory table with a change feed, and injected faults.

One :class:`FeedStore` is shared; each process under test has a
:class:`FeedClient` of its own, whose connectivity can fail separately.
"""

import asyncio
from collections import abc
import dataclasses

import result

from primroselock.store import table
from primroselock.test import fakestore
from standins import platform

CALL_DURATION_S = 0.004
_MIN_WAIT_S = 1e-6
"""A shorter timer would fire without any advance of the virtual clock."""

MAX_ROW_BYTES = 65_536
MAX_TRANSACTION_BYTES = 1_000_000
MAX_ENTRIES = 100
_BASE64_FACTOR = 4 / 3


@dataclasses.dataclass
class Connectivity:
    """The state of one client's connection to the store.

    With ``refuses_calls`` the store refuses each call, with
    ``is_throttled`` it answers that it takes no calls of this client, and
    with ``is_unresponsive`` each call fails after 1 s without an answer;
    ``feed_is_unresponsive`` affects only the change feed.  The tables in
    ``lost_tables`` can be neither listed nor followed.  Each write uses up
    one of ``faults``.
    """

    refuses_calls: bool = False
    is_throttled: bool = False
    is_unresponsive: bool = False
    feed_is_unresponsive: bool = False
    lost_tables: set[str] = dataclasses.field(default_factory=set)
    faults: list[fakestore.Fault] = dataclasses.field(default_factory=list)


def exceeds_limits(transaction: table.Transaction) -> bool:
    """Return whether the platform's store refuses a transaction for its size.

    A value is sent in base64, with the transaction's token before it.
    """
    sizes = [
        len(put.value) + len(transaction.token) for put in transaction.puts
    ]
    entries = (
        len(transaction.conditions) + len(sizes) + len(transaction.deletes)
    )
    return (
        entries > MAX_ENTRIES
        or max(sizes, default=0) >= MAX_ROW_BYTES
        or sum(sizes) * _BASE64_FACTOR >= MAX_TRANSACTION_BYTES
    )


class FeedStore:
    """The rows and the history of changes, shared by all clients.

    Transactions that put ``rejected_key`` are rejected.  With
    ``reports_each_change`` the feed reports a row as often as it changed, in
    order; else it reports the rows as they are now.
    """

    def __init__(self) -> None:
        self.inner = platform.Store()
        self.history: list[tuple[int, str]] = []
        self.dropped_before = 0
        self.changed = asyncio.Event()
        self.late: list[table.Transaction] = []
        self.writes = 0
        self.rejected_key = ''
        self.reports_each_change = False
        self._changes: list[tuple[int, str, table.Row | None]] = []

    def rejects(self, transaction: table.Transaction) -> bool:
        """Return whether a transaction is refused for good."""
        return exceeds_limits(transaction) or any(
            put.key == self.rejected_key for put in transaction.puts
        )

    def apply(self, transaction: table.Transaction) -> list[str]:
        """Apply a transaction; return the keys whose conditions failed."""
        failed = self.inner.transact(transaction)
        if failed:
            return failed
        self.writes += 1
        keys = [put.key for put in transaction.puts]
        for key in [*keys, *transaction.deletes]:
            self.history.append((self.inner.version, key))
            row = self.inner.rows.get(key)
            self._changes.append((self.inner.version, key, row))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return []

    def put(self, key: str, value: bytes) -> None:
        """Write a row as another writer would."""
        self.apply(table.Transaction(puts=(table.Put(key, value),)))

    def delete(self, key: str) -> None:
        """Delete a row as another writer would."""
        self.apply(table.Transaction(deletes=(key,)))

    def apply_late(self) -> None:
        """Apply the transactions whose arrival was delayed."""
        late, self.late = self.late, []
        for transaction in late:
            self.apply(transaction)

    def drop_history(self) -> None:
        """Truncate the history: drop all changes so far."""
        self.dropped_before = self.inner.version
        self.history.clear()
        self._changes.clear()

    def list_each_change(self, name: str, after: int) -> table.Changes:
        """Return every change of a table past version ``after``, in order."""
        changes = [
            (key, row)
            for version, key, row in self._changes
            if version > after and key.startswith(f'{name}/')
        ]
        rows = tuple(row for _, row in changes if row is not None)
        latest = dict(changes)
        removed = tuple(key for key, row in latest.items() if row is None)
        return table.Changes(rows, removed, self.inner.version)


class FeedClient:
    """Implements ``table.FeedTable`` for one client of the store."""

    def __init__(self, shared: FeedStore, connectivity: Connectivity) -> None:
        self._shared = shared
        self._connectivity = connectivity
        self.listing_s = 0.0
        """Additional seconds that a listing takes."""

        self.rows_received_by_table: dict[str, int] = {}
        self.calls = 0

    def _count_rows(self, rows: abc.Iterable[table.Row]) -> None:
        for row in rows:
            name = row.key.partition('/')[0]
            known = self.rows_received_by_table.get(name, 0)
            self.rows_received_by_table[name] = known + 1

    async def _call(self) -> bool:
        """Wait for the duration of a call; return whether it succeeds."""
        self.calls += 1
        await asyncio.sleep(CALL_DURATION_S)
        if self._connectivity.is_unresponsive:
            await asyncio.sleep(1.0)
        return not (
            self._connectivity.is_unresponsive
            or self._connectivity.refuses_calls
            or self._connectivity.is_throttled
        )

    async def aclose(self) -> None:
        """Do nothing: no connection is open."""

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the rows that exist among ``keys``."""
        if not await self._call():
            return result.Err(table.Unavailable('down'))
        rows = self._shared.inner.rows
        found = {key: rows[key] for key in keys if key in rows}
        self._count_rows(found.values())
        return result.Ok(found)

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return up to ``limit`` rows of ``prefix`` past ``after``."""
        if not await self._call():
            return result.Err(table.Unavailable('down'))
        return result.Ok(self._shared.inner.scan(prefix, after, limit))

    async def list_rows(
        self, name: str, listed: table.PartialListing | None = None
    ) -> result.Result[table.Listing, table.Unavailable | table.ListingBroken]:
        """Return all rows of a table."""
        await asyncio.sleep(self.listing_s)
        if not await self._call() or name in self._connectivity.lost_tables:
            return result.Err(table.Unavailable('down'))
        inner = self._shared.inner
        rows = inner.scan(f'{name}/', '', 100_000)
        self._count_rows(rows)
        return result.Ok(table.Listing(tuple(rows), inner.version))

    async def changes(
        self,
        name: str,
        after: int,
        wait_s: float,
        on_begin: abc.Callable[[], None] | None = None,
    ) -> result.Result[
        table.Changes, table.Unavailable | table.HistoryTruncated
    ]:
        """Return the changes past version ``after``; wait for one if none."""
        if not await self._call() or name in self._connectivity.lost_tables:
            return result.Err(table.Unavailable('down'))
        deadline = asyncio.get_running_loop().time() + wait_s
        while True:
            if self._connectivity.feed_is_unresponsive:
                await asyncio.sleep(wait_s + 1.0)
                return result.Err(table.Unavailable('no answer'))
            if after < self._shared.dropped_before:
                return result.Err(table.HistoryTruncated())
            found = self._collect(name, after)
            remaining_s = deadline - asyncio.get_running_loop().time()
            if found.rows or found.removed or remaining_s <= _MIN_WAIT_S:
                return result.Ok(found)
            try:
                async with asyncio.timeout(remaining_s):
                    await self._shared.changed.wait()
            except TimeoutError:
                continue

    def _collect(self, name: str, after: int) -> table.Changes:
        if self._shared.reports_each_change:
            changes = self._shared.list_each_change(name, after)
            self._count_rows(changes.rows)
            return changes
        inner = self._shared.inner
        keys = {
            key: None
            for version, key in self._shared.history
            if version > after and key.startswith(f'{name}/')
        }
        rows = tuple(inner.rows[key] for key in keys if key in inner.rows)
        self._count_rows(rows)
        removed = tuple(key for key in keys if key not in inner.rows)
        return table.Changes(rows, removed, inner.version)

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction``, subject to the next injected fault."""
        if not await self._call():
            if self._connectivity.is_unresponsive:
                return result.Err(table.OutcomeUnknown('no answer'))
            is_throttled = self._connectivity.is_throttled
            return result.Err(table.Unavailable('down', is_throttled))
        faults = self._connectivity.faults
        fault = faults.pop(0) if faults else fakestore.Fault.NONE
        if fault is fakestore.Fault.UNAVAILABLE:
            return result.Err(table.Unavailable('down'))
        if fault is fakestore.Fault.REQUEST_LOST:
            return result.Err(table.OutcomeUnknown('lost'))
        if fault is fakestore.Fault.LATE:
            self._shared.late.append(transaction)
            return result.Err(table.OutcomeUnknown('lost'))
        if self._shared.rejects(transaction):
            return result.Err(table.Rejected('status 400'))
        failed = self._shared.apply(transaction)
        if fault is fakestore.Fault.REPLY_LOST:
            return result.Err(table.OutcomeUnknown('lost'))
        if failed:
            return result.Err(table.Conflict(tuple(failed)))
        return result.Ok(table.Committed(self._shared.inner.version))
