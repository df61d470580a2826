"""Keeps a copy of a table from its change feed, with a known age.

The copy is confirmed as of the moment before the request was sent whose
response brought it up to date.  A call that gets no response ends by its
timeout.  When the feed no longer retains the needed history, the table is
listed again completely, and the differences are reported as changes.

A change set may take many seconds on a slow link.  From its first part on the
copy is known to be outdated, until all of it was applied.  One that is broken
off can only be asked for from its start; a listing goes on after its last
complete page, so that after repeated breaks the table is listed instead.
"""

import asyncio
from collections import abc
import enum
import math
import random
import typing

import result

from primroselock import backoff
from primroselock import clock
from primroselock import logs
from primroselock.store import table

_INITIAL_PAUSE_S: typing.Final = 0.05
MAX_PAUSE_S: typing.Final = 0.4
"""A store that is available again is asked this soon at the latest."""
_FAILURES_TO_UNREACHABLE: typing.Final = 2
"""A single failure may be one lost response or one closed connection."""

_BREAKS_TO_LIST: typing.Final = 2
"""Change sets in a row that were broken off, after which a table is listed."""

_LONG_CALL_S: typing.Final = 0.5
"""A call that took this much longer than its wait has left the copy old."""

_REPORT_INTERVAL_S: typing.Final = 5.0
"""While the store is unreachable this is logged again."""

_NEVER: typing.Final = float('-inf')
_log: typing.Final = logs.get('following')

Handler = abc.Callable[[table.Changes], None]


class Incoming(enum.Enum):
    """What is known of changes that are not in a copy."""

    NONE = 'none known'
    RECEIVING = 'being received'
    KNOWN = 'known, broken off'


class TableFollower:
    """Follows one table; ``wait_s`` is the long-poll wait of one call.

    ``loaded`` is set once the table was listed completely; ``confirmed_at``
    is on this process's monotonic clock.  ``incoming`` says whether
    changes that are not in the copy are known to be on their way.
    After changes the next call is made ``pause_s`` later, so that
    successive changes are reported together; a caller may set it at any
    time.  After a failure or a long call the feed is polled without a
    long-poll wait until it responds, so that the copy is confirmed as soon
    as the store is available again.

    Changes that a handler fails to apply are not confirmed: they are undone,
    requested again and reported again to every handler, so that handlers must
    be idempotent.  The copy grows old meanwhile, as in an outage.
    """

    def __init__(self, store: table.Feed, name: str, wait_s: float) -> None:
        self.name = name
        self.wait_s = wait_s
        self.pause_s = 0.0
        self.rows_by_key: dict[str, table.Row] = {}
        self.confirmed_at = _NEVER
        self.loaded = asyncio.Event()
        self._store = store
        self.incoming = Incoming.NONE
        self._version: int | None = None
        self._listed: table.PartialListing | None = None
        self._listed_at = _NEVER
        self._is_due = False
        self._breaks = 0
        self._reported_at = _NEVER
        self._handlers: list[Handler] = []
        self._failures = 0
        self._truncations = 0

    def add_handler(self, handler: Handler) -> None:
        """Call ``handler`` with each set of changes."""
        self._handlers.append(handler)

    def resume(self, listing: table.Listing, sent_at: float) -> None:
        """Follow from a listing that the caller has processed already.

        ``sent_at`` is when the listing was requested.  It may have taken
        long, so that the first call after it has no long-poll wait.
        """
        self._is_due = True
        self.rows_by_key = {row.key: row for row in listing.rows}
        self._version = listing.version
        self.confirmed_at = sent_at
        self.loaded.set()

    @property
    def version(self) -> int | None:
        """The version up to which changes were applied; None without."""
        return self._version

    def age_s(self, now: float) -> float:
        """Return the time since the copy was known to be up to date."""
        return now - self.confirmed_at

    @property
    def is_reachable(self) -> bool:
        """Return False after repeated failures to reach the store."""
        return self._failures < _FAILURES_TO_UNREACHABLE

    @property
    def lost_at(self) -> float | None:
        """When the copy was last up to date; None while reachable."""
        return None if self.is_reachable else self.confirmed_at

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            sent_at = clock.monotonic()
            if self._version is None:
                succeeded = await self._list(sent_at)
            else:
                succeeded = await self._follow(self._version, sent_at)
            if not succeeded:
                await self._pause()

    async def _list(self, sent_at: float) -> bool:
        if self._listed is None:
            self._listed_at = sent_at
        listing = await self._store.list_rows(self.name, self._listed)
        if isinstance(listing, result.Err):
            error = listing.err_value
            if isinstance(error, table.ListingBroken):
                self._listed = error.listed
            self._record_failure(error.detail)
            return False
        self._listed = None
        found = {row.key: row for row in listing.ok_value.rows}
        changed = tuple(
            row
            for key, row in found.items()
            if key not in self.rows_by_key
            or self.rows_by_key[key].version != row.version
        )
        removed = tuple(key for key in self.rows_by_key if key not in found)
        version = listing.ok_value.version
        changes = table.Changes(changed, removed, version)
        if not self._apply(changes, self._listed_at):
            return False
        self._version = version
        # What changed since the first page was read.
        self._is_due = True
        took_s = clock.monotonic() - self._listed_at
        if self.loaded.is_set() or took_s > _LONG_CALL_S:
            _log.info(
                'table listed',
                table=self.name,
                rows=len(found),
                took_s=round(took_s, 3),
            )
        self.loaded.set()
        return True

    async def _follow(self, version: int, sent_at: float) -> bool:
        is_urgent = self._failures or self._is_due
        wait_s = 0.0 if is_urgent else self.wait_s
        polled = await self._store.changes(
            self.name, version, wait_s, self._note_changes
        )
        if isinstance(polled, result.Err):
            return self._follow_failed(version, polled.err_value)
        self._truncations = self._breaks = 0
        changes = polled.ok_value
        if not self._apply(changes, sent_at):
            return False
        self._version = max(version, changes.version)
        self._is_due = self.age_s(clock.monotonic()) > wait_s + _LONG_CALL_S
        if changes.rows and self.pause_s:
            await asyncio.sleep(self.pause_s)
        return True

    def _follow_failed(
        self, version: int, error: table.Unavailable | table.HistoryTruncated
    ) -> bool:
        """Return whether the next call may be made at once."""
        if self.incoming is Incoming.RECEIVING:
            self.incoming = Incoming.KNOWN
        if isinstance(error, table.HistoryTruncated):
            _log.info(
                'feed history truncated; listing the table again',
                table=self.name,
                version=version,
            )
            self._version = None
            self._truncations += 1
            # The first time the table is listed again at once.
            return self._truncations == 1
        self._record_failure(error.detail)
        self._breaks += error.is_partial
        if self._breaks >= _BREAKS_TO_LIST:
            _log.info(
                'changes broken off; listing the table',
                table=self.name,
                version=version,
                breaks=self._breaks,
            )
            self._breaks = 0
            self._version = None
        return False

    def _note_changes(self) -> None:
        """Note that a part of changes has arrived and the rest takes time."""
        self.incoming = Incoming.RECEIVING

    def _apply(self, changes: table.Changes, sent_at: float) -> bool:
        """Apply changes; return False if a handler failed to apply them."""
        changed_keys = [*(row.key for row in changes.rows), *changes.removed]
        earlier = {key: self.rows_by_key.get(key) for key in changed_keys}
        for row in changes.rows:
            self.rows_by_key[row.key] = row
        for key in changes.removed:
            self.rows_by_key.pop(key, None)
        confirmed_at, self.confirmed_at = self.confirmed_at, sent_at
        if not self._report(changes):
            self._restore(earlier)
            self.confirmed_at = confirmed_at
            self._failures += 1
            return False
        self.incoming = Incoming.NONE
        if self._failures:
            _log.info(
                'table reachable again',
                table=self.name,
                age_s=_round_age(sent_at - confirmed_at),
            )
            self._failures = 0
        return True

    def _report(self, changes: table.Changes) -> bool:
        """Call the handlers; return False if one failed."""
        if not changes.rows and not changes.removed:
            return True
        try:
            for handler in self._handlers:
                handler(changes)
        except Exception as error:
            _log.error(
                'changes not applied; retrying',
                table=self.name,
                version=changes.version,
                exc_info=error,
            )
            return False
        return True

    def _restore(self, earlier: dict[str, table.Row | None]) -> None:
        for key, row in earlier.items():
            if row is None:
                self.rows_by_key.pop(key, None)
            else:
                self.rows_by_key[key] = row

    def _record_failure(self, detail: str) -> None:
        self._failures += 1
        now = clock.monotonic()
        if self._failures == 1:
            _log.warning(
                'table unreachable; retrying', table=self.name, detail=detail
            )
        elif now - self._reported_at >= _REPORT_INTERVAL_S:
            _log.warning(
                'table still unreachable',
                table=self.name,
                failures=self._failures,
                age_s=_round_age(self.age_s(now)),
                listed=len(self._listed.rows) if self._listed else 0,
                detail=detail,
            )
        else:
            return
        self._reported_at = now

    async def _pause(self) -> None:
        in_row = max(self._failures, self._truncations)
        max_pause_s = backoff.doubled_s(_INITIAL_PAUSE_S, in_row, MAX_PAUSE_S)
        await asyncio.sleep(random.uniform(0, max_pause_s))


def _round_age(age_s: float) -> float | None:
    """Return an age for the log; None if there never was a copy."""
    return round(age_s, 3) if math.isfinite(age_s) else None


class CachedReads:
    """A table whose reads are answered from a followed copy.

    Scans and writes go to the table itself.  A read may be as old as the
    copy; conditions on row versions make a write based on an outdated
    copy fail.
    """

    def __init__(
        self, store: table.Table, follower: TableFollower, max_age_s: float
    ) -> None:
        self._store = store
        self._follower = follower
        self._max_age_s = max_age_s

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the rows that exist among ``keys``, by key.

        Unavailable if the copy is older than ``max_age_s``.
        """
        if self._follower.age_s(clock.monotonic()) > self._max_age_s:
            return result.Err(
                table.Unavailable('the local copy of the table is too old')
            )
        rows = self._follower.rows_by_key
        return result.Ok({key: rows[key] for key in keys if key in rows})

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``."""
        return await self._store.scan(prefix, after, limit)

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction`` atomically."""
        return await self._store.transact(transaction)
