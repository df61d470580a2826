"""Storage of jobs in the platform's table.

The same transactions that write a job's row also maintain an index row: an
inbox row until the holder of the shard's lease has accepted the job, then an
active row until the job ends.  Writes of the lease holder are conditional on
the epoch row of the shard.
"""

import dataclasses
import typing

import result

from primroselock import audit
from primroselock import decoding
from primroselock import jobs
from primroselock import logs
from primroselock import rowguard
from primroselock.store import keys
from primroselock.store import table

_PAGE_ROWS: typing.Final = 500
_log: typing.Final = logs.get('jobs')


@dataclasses.dataclass(frozen=True, slots=True)
class StoredJob:
    """A job with the version of its row."""

    job: jobs.Job
    row_version: int


class JobStore:
    """Reads and writes the rows of jobs."""

    def __init__(self, store: table.Table) -> None:
        self._store = store

    async def read(
        self, job_id: str
    ) -> result.Result[StoredJob | None, table.Unavailable]:
        """Return the job, or None when it does not exist."""
        read = await self._store.read([keys.job(job_id)])
        if isinstance(read, result.Err):
            return read
        row = read.ok_value.get(keys.job(job_id))
        if row is None:
            return result.Ok(None)
        stored = _decode(row)
        if stored is None:
            return result.Err(table.Unavailable(f'{row.key}: not readable'))
        return result.Ok(stored)

    async def submit(
        self, job: jobs.Job, key_digest: str = ''
    ) -> result.Result[table.Committed, table.TransactError]:
        """Create ``job``.

        An idempotency key that was used before gives a conflict.
        """
        conditions = [table.Condition(keys.job(job.id), table.ABSENT)]
        puts = [
            table.Put(keys.job(job.id), jobs.encode(job)),
            table.Put(keys.inbox(job.shard) + job.id, b'submit'),
            table.Put(keys.account_jobs(job.account) + job.id, b''),
        ]
        if key_digest:
            key = keys.job_key(job.account, key_digest)
            conditions.append(table.Condition(key, table.ABSENT))
            puts.append(table.Put(key, job.id.encode()))
        transaction = table.Transaction(tuple(conditions), tuple(puts))
        return await table.transact_resolved(self._store, transaction)

    async def find_by_key(
        self, account: str, key_digest: str
    ) -> result.Result[str | None, table.Unavailable]:
        """Return the id of the job created with an idempotency key.

        None when no job was created with it.
        """
        key = keys.job_key(account, key_digest)
        read = await self._store.read([key])
        if isinstance(read, result.Err):
            return read
        row = read.ok_value.get(key)
        if row is None:
            return result.Ok(None)
        return decoding.attempt(bytes.decode, row.value).map_err(
            lambda why: table.Unavailable(f'{key}: not readable: {why}')
        )

    async def request_cancel(
        self, stored: StoredJob, entry: audit.Entry | None = None
    ) -> result.Result[table.Committed, table.TransactError]:
        """Set the cancellation flag of a job and notify its shard.

        ``entry`` is written to the audit trail in the same transaction.
        """
        job = dataclasses.replace(stored.job, cancel_requested=True)
        token = table.new_token()
        puts = [
            table.Put(keys.job(job.id), jobs.encode(job)),
            table.Put(keys.inbox(job.shard) + job.id, b'cancel'),
        ]
        if entry is not None:
            puts.append(audit.build_put(entry, token))
        transaction = table.Transaction(
            (table.Condition(keys.job(job.id), stored.row_version),),
            tuple(puts),
            token=token,
        )
        return await table.transact_resolved(self._store, transaction)

    async def list_account(
        self, account: str
    ) -> result.Result[list[jobs.Job], table.Unavailable]:
        """Return all jobs of one client account, in any state."""
        return await self._load(keys.account_jobs(account))

    async def load_active(
        self, shard: str
    ) -> result.Result[list[StoredJob], table.Unavailable]:
        """Return the shard's jobs that have not ended."""
        return await self._load_stored(keys.active(shard))

    async def accept_inbox(
        self, shard: str, epoch_row_version: int
    ) -> result.Result[list[StoredJob], table.TransactError]:
        """Turn one page of inbox rows into active rows; return the jobs.

        Jobs that have ended are returned too, without an active row.
        """
        prefix = keys.inbox(shard)
        page = await self._store.scan(prefix, limit=_PAGE_ROWS)
        if isinstance(page, result.Err):
            return page
        if not page.ok_value:
            return result.Ok([])
        job_ids = [row.key.removeprefix(prefix) for row in page.ok_value]
        loaded = await self.read_many(job_ids)
        if isinstance(loaded, result.Err):
            return loaded
        puts = tuple(
            table.Put(keys.active(shard) + stored.job.id, b'')
            for stored in loaded.ok_value
            if not stored.job.state.is_final
        )
        conditions = [
            table.Condition(row.key, row.version) for row in page.ok_value
        ]
        conditions.append(
            table.Condition(keys.shard_epoch(shard), epoch_row_version)
        )
        transaction = table.Transaction(
            tuple(conditions), puts, tuple(row.key for row in page.ok_value)
        )
        outcome = await table.transact_resolved(self._store, transaction)
        if isinstance(outcome, result.Err):
            return outcome
        return loaded

    async def write_many(
        self,
        shard: str,
        updates: list[StoredJob],
        epoch_row_version: int,
    ) -> result.Result[table.Committed, table.TransactError]:
        """Replace rows of jobs on behalf of the shard's lease holder.

        Each entry gives the version that its row must have.  The rows
        are written atomically, in one transaction.
        """
        conditions = [
            table.Condition(keys.job(entry.job.id), entry.row_version)
            for entry in updates
        ]
        conditions.append(
            table.Condition(keys.shard_epoch(shard), epoch_row_version)
        )
        puts = [
            table.Put(keys.job(entry.job.id), jobs.encode(entry.job))
            for entry in updates
        ]
        deletes = [
            keys.active(shard) + entry.job.id
            for entry in updates
            if entry.job.state.is_final
        ]
        transaction = table.Transaction(
            tuple(conditions), tuple(puts), tuple(deletes)
        )
        return await table.transact_resolved(self._store, transaction)

    async def move(
        self,
        stored: StoredJob,
        to_shard: str,
        epoch_row_version: int,
    ) -> result.Result[table.Committed, table.TransactError]:
        """Transfer a waiting job to another shard.

        The write is conditional on the epoch of the job's current shard.
        """
        job, shard = stored.job, stored.job.shard
        moved = dataclasses.replace(job, shard=to_shard)
        transaction = table.Transaction(
            (
                table.Condition(keys.job(job.id), stored.row_version),
                table.Condition(keys.shard_epoch(shard), epoch_row_version),
            ),
            (
                table.Put(keys.job(job.id), jobs.encode(moved)),
                table.Put(keys.inbox(to_shard) + job.id, b'move'),
            ),
            (keys.active(shard) + job.id,),
        )
        return await table.transact_resolved(self._store, transaction)

    async def _load(
        self, prefix: str
    ) -> result.Result[list[jobs.Job], table.Unavailable]:
        loaded = await self._load_stored(prefix)
        if isinstance(loaded, result.Err):
            return loaded
        return result.Ok([stored.job for stored in loaded.ok_value])

    async def _load_stored(
        self, prefix: str
    ) -> result.Result[list[StoredJob], table.Unavailable]:
        found: list[StoredJob] = []
        after = ''
        while True:
            page = await self._store.scan(prefix, after, _PAGE_ROWS)
            if isinstance(page, result.Err):
                return page
            if not page.ok_value:
                return result.Ok(found)
            after = page.ok_value[-1].key
            job_ids = [row.key.removeprefix(prefix) for row in page.ok_value]
            loaded = await self.read_many(job_ids)
            if isinstance(loaded, result.Err):
                return loaded
            found.extend(loaded.ok_value)

    async def read_many(
        self, job_ids: list[str]
    ) -> result.Result[list[StoredJob], table.Unavailable]:
        """Return those of the jobs ``job_ids`` that exist.

        A job whose row cannot be decoded is logged and left out.
        """
        read = await self._store.read([keys.job(job_id) for job_id in job_ids])
        if isinstance(read, result.Err):
            return read
        decoded = [_decode(row) for row in read.ok_value.values()]
        return result.Ok([stored for stored in decoded if stored is not None])


def _decode(row: table.Row) -> StoredJob | None:
    """Return the job in a row; None, with a log line, if there is none."""
    job = rowguard.decode(jobs.decode, row, _log)
    return None if job is None else StoredJob(job, row.version)
