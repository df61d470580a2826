"""The platform's transactional table, as primroselock uses it.

Rows are found by a string key.  A transaction checks conditions on row
versions, then writes all its rows or none.  Each row carries the token
of the transaction that wrote it, so that a transaction whose reply was
lost can be settled by reading its rows back: see :func:`settle`.
"""

from collections import abc
import dataclasses
import typing
import uuid

import result

ABSENT: typing.Final = 0
"""Row version that stands for a row that does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """One row; ``version`` rises with each write to the table."""

    key: str
    value: bytes
    version: int
    token: str


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """The row at ``key`` must be at ``version``; ABSENT: must not exist."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write ``value`` at ``key``."""

    key: str
    value: bytes


def new_token() -> str:
    """Return a token that no other transaction has."""
    return uuid.uuid4().hex


@dataclasses.dataclass(frozen=True, slots=True)
class Transaction:
    """Conditions and writes that are applied together or not at all."""

    conditions: tuple[Condition, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    token: str = dataclasses.field(default_factory=new_token)


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The transaction took effect; its rows are now at ``version``."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The table did not take the call; nothing was written."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """A condition did not hold; nothing was written."""

    keys: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Unsettled:
    """The reply was lost: the transaction may have taken effect."""

    detail: str


TransactError = Unavailable | Conflict | Unsettled
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
        """Return rows whose key has ``prefix`` and sorts past ``after``."""

    async def transact(
        self, transaction: Transaction
    ) -> result.Result[Committed, TransactError]:
        """Apply ``transaction`` whole, or not at all."""


async def settle(
    table: Table, transaction: Transaction
) -> result.Result[Committed, TransactError]:
    """Find out whether an unsettled transaction took effect.

    A written row that carries the token proves that it did.  A
    conditioned row that is still at its old version proves that it has
    not so far, but it still might; the caller then sends the same
    transaction again, which its conditions make harmless.
    """
    keys = [put.key for put in transaction.puts]
    read = await table.read(keys)
    if isinstance(read, result.Err):
        return result.Err(Unsettled(read.err_value.detail))
    for row in read.ok_value.values():
        if row.token == transaction.token:
            return result.Ok(Committed(row.version))
    return await table.transact(transaction)


async def transact_settled(
    table: Table, transaction: Transaction, tries: int = 3
) -> result.Result[Committed, TransactError]:
    """Apply ``transaction``; settle a lost reply in up to ``tries`` tries.

    After a lost reply a conflict may be with the transaction's own first
    try, so the rows are read back before a conflict is believed.
    """
    outcome = await table.transact(transaction)
    for _ in range(tries):
        if isinstance(outcome, result.Ok):
            return outcome
        if not isinstance(outcome.err_value, Unsettled):
            return outcome
        outcome = await settle(table, transaction)
        if isinstance(outcome, result.Err) and isinstance(
            outcome.err_value, Conflict
        ):
            return await _settle_conflict(table, transaction, outcome)
    return outcome


async def _settle_conflict(
    table: Table,
    transaction: Transaction,
    conflict: result.Err[TransactError],
) -> result.Result[Committed, TransactError]:
    read = await table.read([put.key for put in transaction.puts])
    if isinstance(read, result.Err):
        return result.Err(Unsettled(read.err_value.detail))
    for row in read.ok_value.values():
        if row.token == transaction.token:
            return result.Ok(Committed(row.version))
    return conflict
