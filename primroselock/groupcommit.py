"""Group commit of many small conditional writes in few transactions.

Writes that arrive within an interval go into one transaction.  A write
whose condition fails gets the conflict as its result and is removed, and
the others are sent again, so that a conflict never fails the other writes
of the batch; one that the table rejects, or does not name in a conflict, is
found by halving the batch.

A transaction has each key at most once: otherwise two conditional inserts of
one key would both succeed.  After a lost reply the outcome is resolved by
the transaction's token.
"""

import asyncio
import dataclasses
import typing

import result

from primroselock import backgroundtasks
from primroselock import clock
from primroselock.store import table

_MAX_WRITES_PER_TRANSACTION: typing.Final = 256
_MAX_QUEUED_S: typing.Final = 20.0
_MAX_TRANSACTION_S: typing.Final = 20.0
"""A process that was stopped for longer does not send what it was about to:
others rely on it that a write comes soon or never."""


@dataclasses.dataclass(frozen=True, slots=True)
class Write:
    """Put ``value`` at ``key``, or delete it where ``value`` is None.

    The row must be at ``version`` (``table.ABSENT``: must not exist).
    """

    key: str
    version: int
    value: bytes | None

    @property
    def size(self) -> int:
        """Return the bytes that the write needs in a transaction."""
        return len(self.value or b'') + table.TOKEN_BYTES


WriteResult = result.Result[table.Committed, table.TransactError]


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingWrite:
    write: Write
    submitted_at: float
    future: asyncio.Future[WriteResult]


class GroupCommitter:
    """Collects writes; at most one transaction is in flight.

    A transaction has at most ``max_writes`` writes, each of which is a
    condition and a put or a deletion.  Its values stay below the limit of a
    transaction, unless a single write exceeds that.
    """

    def __init__(
        self,
        store: table.Table,
        interval_s: float,
        max_writes: int = _MAX_WRITES_PER_TRANSACTION,
    ) -> None:
        self._store = store
        self._max_writes = max_writes
        self._interval_s = interval_s
        self._pending: list[_PendingWrite] = []
        self._batch: list[_PendingWrite] = []
        self._last_commit_s = 0.0
        self._task: asyncio.Task[None] | None = None

    def expected_wait_s(self, key: str) -> float:
        """Return how long a write of ``key`` would wait for its result.

        Returns 0 if nothing is known: nothing is under way, or an earlier
        write of the key, whose outcome the new one finds.
        """
        under_way = [*self._batch, *self._pending]
        if not under_way or any(p.write.key == key for p in under_way):
            return 0.0
        batches = 2 + len(self._pending) // self._max_writes
        return batches * self._last_commit_s

    async def submit(self, write: Write) -> WriteResult:
        """Commit ``write`` in a shared transaction; return its own result.

        The write continues if the caller is cancelled.
        """
        loop = asyncio.get_running_loop()
        pending = _PendingWrite(write, clock.monotonic(), loop.create_future())
        self._pending.append(pending)
        if self._task is None or self._task.done():
            self._task = backgroundtasks.start(self._run(), 'group commit')
        return await asyncio.shield(pending.future)

    async def drain(self) -> None:
        """Wait until every write has its result."""
        if self._task is not None:
            await asyncio.wait({self._task})

    async def _run(self) -> None:
        while self._pending:
            pause = asyncio.create_task(asyncio.sleep(self._interval_s))
            began = clock.monotonic()
            self._drop_old(began)
            self._batch = self._take_batch()
            await self._commit(self._batch)
            self._batch = []
            self._last_commit_s = clock.monotonic() - began
            # Limits the store's load to one transaction per interval.
            await pause

    def _drop_old(self, now: float) -> None:
        """Drop the writes that have waited for too long; none was sent."""
        oldest = now - _MAX_QUEUED_S
        old = [p for p in self._pending if p.submitted_at < oldest]
        self._pending = [p for p in self._pending if p.submitted_at >= oldest]
        _resolve(old, result.Err(table.Unavailable('waited too long')))

    def _take_batch(self) -> list[_PendingWrite]:
        batch: dict[str, _PendingWrite] = {}
        remaining: list[_PendingWrite] = []
        bytes_left = table.MAX_VALUE_BYTES
        is_full = False
        for pending in self._pending:
            key, size = pending.write.key, pending.write.size
            # Nothing overtakes an earlier write of its key.
            is_full = is_full or len(batch) >= self._max_writes
            is_full = is_full or bool(batch and size > bytes_left)
            if is_full or key in batch:
                remaining.append(pending)
            else:
                batch[key] = pending
                bytes_left -= size
        self._pending = remaining
        return list(batch.values())

    async def _commit(self, batch: list[_PendingWrite]) -> None:
        while batch:
            outcome = await self._transact(batch)
            failed = _find_failed(batch, outcome)
            if failed is None:
                half = len(batch) // 2
                await self._commit(batch[:half])
                await self._commit(batch[half:])
                return
            _resolve(failed, outcome)
            if len(failed) == len(batch):
                return
            failed_keys = {item.write.key for item in failed}
            batch = [b for b in batch if b.write.key not in failed_keys]

    async def _transact(self, batch: list[_PendingWrite]) -> WriteResult:
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
            async with asyncio.timeout(_MAX_TRANSACTION_S):
                return await table.transact_resolved(self._store, transaction)
        except Exception as error:
            # Without a valid answer the outcome is unknown.
            return result.Err(table.OutcomeUnknown(f'{type(error).__name__}'))


def _find_failed(
    batch: list[_PendingWrite], outcome: WriteResult
) -> list[_PendingWrite] | None:
    """Return the writes of a batch to which its outcome applies.

    None if it is not known which of several the table refuses: it names no
    row in conflict, or rejects the whole transaction.
    """
    if isinstance(outcome, result.Ok) or len(batch) == 1:
        return batch
    if isinstance(outcome.err_value, table.Rejected):
        return None
    if not isinstance(outcome.err_value, table.Conflict):
        return batch
    keys = set(outcome.err_value.keys)
    return [item for item in batch if item.write.key in keys] or None


def _resolve(batch: list[_PendingWrite], outcome: WriteResult) -> None:
    for pending in batch:
        if not pending.future.done():
            pending.future.set_result(outcome)
