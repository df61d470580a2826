"""Interface of the platform's transactional table.

Rows are addressed by a string key.  A transaction checks conditions on
row versions, then writes all its rows or none.  Each row carries the
token of the transaction that wrote it, so that the outcome of a
transaction whose reply was lost can be resolved by reading its rows back:
see :func:`read_back`.
"""

import asyncio
from collections import abc
import dataclasses
import enum
import random
import typing
import uuid

import result

from primroselock import decoding

ABSENT: typing.Final = 0
"""The row version of a row that does not exist."""

MAX_ENTRIES: typing.Final = 100
"""Conditions, puts and deletes that one transaction may have."""

MAX_VALUE_BYTES: typing.Final = 600_000
"""Bytes of all values of one transaction; encoded it is at most 1 MB."""

TOKEN_BYTES: typing.Final = 40
"""More than a transaction's token adds to the size of each row."""

_RESOLVE_BACKOFF_S: typing.Final = 0.05
"""Unit of the pause before a repeated attempt; doubles with each one."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row; ``version`` rises with each write to the table."""

    key: str
    value: bytes
    version: decoding.Count
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The row at ``key`` must be at ``version``.

    With ABSENT as the version the row must not exist.
    """

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write ``value`` at ``key``."""

    key: str
    value: bytes


def new_token() -> str:
    """Return a unique transaction token."""
    return uuid.uuid4().hex


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions and writes that are applied atomically."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    token: str = dataclasses.field(default_factory=new_token)


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied; its rows are now at ``version``."""

    version: decoding.Count


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The platform gave no usable answer; no transaction was applied.

    Also the error of the object store and of the VM list.
    ``is_throttled`` is set if the platform answered that it takes no more
    calls from this process now, so that it may be serving others.
    ``is_partial`` is set if a part of the answer had arrived.
    """

    detail: str
    is_throttled: bool = False
    is_partial: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The platform refuses this transaction; nothing was written.

    Sent again unchanged it is refused again: it exceeds a limit, or the
    platform cannot read it.
    """

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Conditions on the rows ``keys`` were not met; nothing was written."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """The reply was lost: the transaction may have been applied."""

    detail: str


TransactError = Unavailable | Rejected | Conflict | OutcomeUnknown
Rows = abc.Mapping[str, Row]


class Table(typing.Protocol):
    """A transactional table."""

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[Rows, Unavailable]:
        """Return the rows that exist among ``keys``, by key."""

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[Row], Unavailable]:
        """Return rows whose key has ``prefix`` and sorts after ``after``.

        They are in key order, at most ``limit``.
        """

    async def transact(
        self, transaction: Transaction
    ) -> result.Result[Committed, TransactError]:
        """Apply ``transaction`` atomically."""


@dataclasses.dataclass(frozen=True, slots=True)
class Changes:
    """Rows that changed, oldest first, and the version to continue from.

    A row may have changed more than once.  ``removed`` holds the keys of rows
    that are deleted now; ``rows`` may have earlier changes of them.
    """

    rows: tuple[Row, ...]
    removed: tuple[str, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryTruncated:
    """The changes since the given version are no longer retained."""


@dataclasses.dataclass(frozen=True, slots=True)
class Listing:
    """All rows of a table at one version."""

    rows: tuple[Row, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class PartialListing:
    """The first rows of a table, from which a listing can go on.

    ``version`` is that of the first page; ``start`` the key of the next.
    """

    rows: tuple[Row, ...]
    version: int
    start: str


@dataclasses.dataclass(frozen=True, slots=True)
class ListingBroken:
    """The platform stopped answering within a listing."""

    detail: str
    listed: PartialListing


class Feed(typing.Protocol):
    """A table with a change feed."""

    async def list_rows(
        self, name: str, listed: PartialListing | None = None
    ) -> result.Result[Listing, Unavailable | ListingBroken]:
        """Return all rows whose key begins with ``name`` and a slash.

        ``listed`` is what an earlier listing had read when it was broken
        off: the listing goes on from there, and has its version.
        """

    async def changes(
        self,
        name: str,
        after: int,
        wait_s: float,
        on_begin: abc.Callable[[], None] | None = None,
    ) -> result.Result[Changes, Unavailable | HistoryTruncated]:
        """Return what changed in the rows of ``name`` after version ``after``.

        Without a change the result is empty, after ``wait_s`` seconds.
        ``on_begin`` is called when a first part of changes has arrived and
        the rest takes longer.
        """


class FeedTable(Table, Feed, typing.Protocol):
    """A transactional table with a change feed."""


class WriteStatus(enum.Enum):
    """The status of a transaction, as shown by reading its rows back."""

    APPLIED = 'applied'
    PENDING = 'not applied so far'
    NEVER = 'not applied and never will be'
    UNKNOWN = 'its rows were overwritten since'


async def read_back(
    table: Table, transaction: Transaction, write_once_key: str = ''
) -> result.Result[tuple[WriteStatus, int], Unavailable]:
    """Read a transaction's rows and return whether it was applied.

    A row that carries the token proves that it was; the row's version is
    returned too.  ``write_once_key`` is the key of a put to a row that is
    written once and never deleted: another token in it proves that the
    transaction will never be applied.  A written row that is still at its
    conditioned version proves that it has not been applied so far.  Rows
    at later versions without the token prove nothing: the transaction may
    have been applied and then overwritten.
    """
    versions_by_key = {c.key: c.version for c in transaction.conditions}
    written = [put.key for put in transaction.puts]
    written.extend(transaction.deletes)
    read = await table.read(written)
    if isinstance(read, result.Err):
        return read
    rows = read.ok_value
    for row in rows.values():
        if row.token == transaction.token:
            return result.Ok((WriteStatus.APPLIED, row.version))
    if write_once_key and write_once_key in rows:
        return result.Ok((WriteStatus.NEVER, ABSENT))
    for key in written:
        current_version = rows[key].version if key in rows else ABSENT
        if versions_by_key.get(key) != current_version:
            continue
        if current_version != ABSENT or key not in transaction.deletes:
            return result.Ok((WriteStatus.PENDING, ABSENT))
    return result.Ok((WriteStatus.UNKNOWN, ABSENT))


def rejects_reapplication(transaction: Transaction) -> bool:
    """Return whether a second application fails on the first one's rows."""
    put_keys = {put.key for put in transaction.puts}
    return any(
        condition.key in put_keys
        or (
            condition.key in transaction.deletes
            and condition.version != ABSENT
        )
        for condition in transaction.conditions
    )


async def transact_resolved(
    table: Table,
    transaction: Transaction,
    attempts: int = 3,
    write_once_key: str = '',
) -> result.Result[Committed, TransactError]:
    """Apply ``transaction``; resolve its outcome if the reply is lost.

    There are up to ``attempts`` attempts to resolve it.  After a lost
    reply only rows that were read back count as proof: a conflict may be
    with the transaction's own first attempt, and a second attempt that was
    not received proves nothing about the first.  The transaction is sent
    again only if it has not been applied so far and its conditions exclude
    a second application.  ``write_once_key``: see :func:`read_back`.
    """
    outcome = await table.transact(transaction)
    for attempt in range(attempts):
        if not _is_outcome_unknown(outcome):
            return outcome
        if attempt:
            longest_s = _RESOLVE_BACKOFF_S * 2**attempt
            await asyncio.sleep(random.uniform(0, longest_s))
        outcome = await _resolve(table, transaction, write_once_key)
    return outcome


def _is_outcome_unknown(
    outcome: result.Result[Committed, TransactError],
) -> bool:
    return isinstance(outcome, result.Err) and isinstance(
        outcome.err_value, OutcomeUnknown
    )


async def _resolve(
    table: Table, transaction: Transaction, write_once_key: str
) -> result.Result[Committed, TransactError]:
    resolved = await _check_outcome(table, transaction, write_once_key)
    if resolved is not None:
        return resolved
    if not rejects_reapplication(transaction):
        return result.Err(OutcomeUnknown('not applied so far'))
    repeated = await table.transact(transaction)
    if isinstance(repeated, result.Ok):
        return repeated
    if not isinstance(repeated.err_value, Conflict):
        return result.Err(OutcomeUnknown(repeated.err_value.detail))
    resolved = await _check_outcome(table, transaction, write_once_key)
    # Still not applied, and its conditions are no longer met.
    return resolved if resolved is not None else repeated


async def _check_outcome(
    table: Table, transaction: Transaction, write_once_key: str
) -> result.Result[Committed, TransactError] | None:
    """Return the resolved outcome, or None if not applied so far."""
    read = await read_back(table, transaction, write_once_key)
    if isinstance(read, result.Err):
        return result.Err(OutcomeUnknown(read.err_value.detail))
    write_status, version = read.ok_value
    if write_status is WriteStatus.APPLIED:
        return result.Ok(Committed(version))
    if write_status is WriteStatus.NEVER:
        return result.Err(Conflict((write_once_key,)))
    if write_status is WriteStatus.UNKNOWN:
        return result.Err(OutcomeUnknown(write_status.value))
    return None
