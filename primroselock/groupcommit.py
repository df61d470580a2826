"""Commits many small conditional writes in few transactions.

Writes that arrive within an interval go into one transaction.  A write
whose condition fails is told so and left out, and the others are sent
again, so that one conflict never fails its neighbours.  A transaction
holds each key at most once: two conditional inserts of one key would
otherwise both hold.  A lost reply is settled by the transaction's token.
"""

import asyncio
import dataclasses
import typing

import result

from primroselock.store import table

_MOST_WRITES: typing.Final = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Put ``value`` at ``key``, or delete it where ``value`` is None.

    The row must be at ``version`` (``table.ABSENT``: must not exist).
    """

    key: str
    version: int
    value: bytes | None


WriteResult = result.Result[table.Committed, table.TransactError]


@dataclasses.dataclass(frozen=True, slots=True)
class _Pending:
    write: Write
    told: asyncio.Future[WriteResult]


class GroupCommitter:
    """Collects writes; one transaction is under way at a time."""

    def __init__(self, store: table.Table, interval_s: float) -> None:
        self._store = store
        self._interval_s = interval_s
        self._pending: list[_Pending] = []
        self._task: asyncio.Task[None] | None = None

    async def submit(self, write: Write) -> WriteResult:
        """Commit ``write`` with others; return its own result.

        A cancelled caller does not withdraw the write.
        """
        loop = asyncio.get_running_loop()
        pending = _Pending(write, loop.create_future())
        self._pending.append(pending)
        if self._task is None or self._task.done():
            self._task = loop.create_task(self._run())
        return await asyncio.shield(pending.told)

    async def drain(self) -> None:
        """Wait until every write was told its result."""
        if self._task is not None:
            await asyncio.wait({self._task})

    async def _run(self) -> None:
        while self._pending:
            pause = asyncio.create_task(asyncio.sleep(self._interval_s))
            await self._commit(self._take_batch())
            # At most one transaction an interval bounds the writes.
            await pause

    def _take_batch(self) -> list[_Pending]:
        batch: dict[str, _Pending] = {}
        left: list[_Pending] = []
        for pending in self._pending:
            key = pending.write.key
            if key in batch or len(batch) >= _MOST_WRITES:
                left.append(pending)
            else:
                batch[key] = pending
        self._pending = left
        return list(batch.values())

    async def _commit(self, batch: list[_Pending]) -> None:
        while batch:
            told = await self._transact(batch)
            if not isinstance(told, result.Err) or not isinstance(
                told.err_value, table.Conflict
            ):
                _tell(batch, told)
                return
            failed = set(told.err_value.keys)
            losers = [item for item in batch if item.write.key in failed]
            batch = [item for item in batch if item.write.key not in failed]
            if not losers:
                losers, batch = batch, []
            _tell(losers, told)

    async def _transact(self, batch: list[_Pending]) -> WriteResult:
        writes = [pending.write for pending in batch]
        transaction = table.Transaction(
            tuple(table.Condition(item.key, item.version) for item in writes),
            tuple(
                table.Put(item.key, item.value)
                for item in writes
                if item.value is not None
            ),
            tuple(item.key for item in writes if item.value is None),
        )
        try:
            return await table.transact_resolved(self._store, transaction)
        except Exception as error:
            # An answer that cannot be read says nothing of the write.
            return result.Err(table.OutcomeUnknown(f'{type(error).__name__}'))


def _tell(batch: list[_Pending], told: WriteResult) -> None:
    for pending in batch:
        if not pending.told.done():
            pending.told.set_result(told)
