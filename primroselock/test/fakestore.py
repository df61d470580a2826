"""A table and object store in memory, with a fault for each call."""

from collections import abc
import enum

import result

from primroselock.store import table
from standins import platform


class Fault(enum.Enum):
    """What becomes of one transaction."""

    NONE = 'none'
    REPLY_LOST = 'applied, but the reply is lost'
    REQUEST_LOST = 'lost on the way, which looks the same'
    LATE = 'looks lost, and is applied later'
    UNAVAILABLE = 'refused'


class FakeStore:
    """Implements ``objects.Store``; ``faults`` are used up by writes.

    ``before_write`` is called before each transaction, ``after_write`` after
    each that was applied.
    """

    def __init__(self) -> None:
        self.inner = platform.Store()
        self.faults: list[Fault] = []
        self.late: list[table.Transaction] = []
        self.reads_available = True
        self.objects_available = True
        self.reads = 0
        self.rows_read = 0
        self.before_write: abc.Callable[[], None] = lambda: None
        self.after_write: abc.Callable[[], None] = lambda: None

    def apply_late(self) -> None:
        """Apply the transactions that are still on their way."""
        late, self.late = self.late, []
        for transaction in late:
            self.inner.transact(transaction)

    async def read(
        self, keys: abc.Sequence[str]
    ) -> result.Result[table.Rows, table.Unavailable]:
        """Return the rows that exist among ``keys``."""
        self.reads += 1
        if not self.reads_available:
            return result.Err(table.Unavailable('down'))
        rows = self.inner.rows
        return result.Ok({key: rows[key] for key in keys if key in rows})

    async def scan(
        self, prefix: str, after: str = '', limit: int = 1000
    ) -> result.Result[list[table.Row], table.Unavailable]:
        """Return rows of ``prefix`` past ``after``."""
        self.reads += 1
        if not self.reads_available:
            return result.Err(table.Unavailable('down'))
        found = self.inner.scan(prefix, after, limit)
        self.rows_read += len(found)
        return result.Ok(found)

    async def transact(
        self, transaction: table.Transaction
    ) -> result.Result[table.Committed, table.TransactError]:
        """Apply ``transaction`` as its fault says."""
        self.before_write()
        fault = self.faults.pop(0) if self.faults else Fault.NONE
        if fault is Fault.UNAVAILABLE:
            return result.Err(table.Unavailable('down'))
        if fault is Fault.REQUEST_LOST:
            return result.Err(table.OutcomeUnknown('lost'))
        if fault is Fault.LATE:
            self.late.append(transaction)
            return result.Err(table.OutcomeUnknown('lost'))
        failed = self.inner.transact(transaction)
        version = self.inner.version
        if not failed:
            self.after_write()
        if fault is Fault.REPLY_LOST:
            return result.Err(table.OutcomeUnknown('lost'))
        if failed:
            return result.Err(table.Conflict(tuple(failed)))
        return result.Ok(table.Committed(version))

    async def put_object(
        self, name: str, body: bytes
    ) -> result.Result[None, table.Unavailable]:
        """Store an object."""
        if not self.objects_available:
            return result.Err(table.Unavailable('down'))
        self.inner.objects[name] = body
        return result.Ok(None)

    async def get_object(
        self, name: str
    ) -> result.Result[bytes | None, table.Unavailable]:
        """Return an object."""
        self.reads += 1
        if not self.objects_available:
            return result.Err(table.Unavailable('down'))
        return result.Ok(self.inner.objects.get(name))
