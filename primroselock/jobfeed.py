"""Brings the rows of a shard's jobs to whoever decides for the shard.

A new epoch is answered by loading every active job.  After that only the
inbox is read.  Taking note of the inbox is a transaction that moves its
rows to the active ones; when its end is not known, jobs may have become
active that nobody here has seen, so the active jobs are read once more.
"""

from collections import abc

import result

from primroselock import jobstore
from primroselock import shards
from primroselock.store import table

Record = abc.Callable[[list[jobstore.StoredJob]], None]
EpochLoaded = abc.Callable[[int, list[jobstore.StoredJob]], None]


class JobFeed:
    """Reads the jobs of one shard while its lease is held.

    ``on_epoch_loaded`` gets a new epoch and all active jobs, ``record`` jobs
    that are new or may have changed.
    """

    def __init__(
        self,
        store: jobstore.JobStore,
        lease: shards.ShardLease,
        on_epoch_loaded: EpochLoaded,
        record: Record,
    ) -> None:
        self.loaded_epoch = 0
        self._store = store
        self._lease = lease
        self._on_epoch_loaded = on_epoch_loaded
        self._record = record
        self._accept_outcome_unknown = False

    async def read(self) -> None:
        """Read what is new; a failed read is made up by the next."""
        if not await self._load_active():
            return
        accepted = await self._store.accept_inbox(
            self._lease.shard, self._lease.epoch_row_version
        )
        if isinstance(accepted, result.Err):
            self._accept_outcome_unknown = isinstance(
                accepted.err_value, table.OutcomeUnknown
            )
        elif accepted.ok_value:
            self._record(accepted.ok_value)

    async def _load_active(self) -> bool:
        """Load the active jobs where that is due; return if all are known."""
        epoch = self._lease.epoch
        if self.loaded_epoch == epoch and not self._accept_outcome_unknown:
            return True
        loaded = await self._store.load_active(self._lease.shard)
        if isinstance(loaded, result.Err) or epoch != self._lease.epoch:
            return False
        if self.loaded_epoch != epoch:
            self._on_epoch_loaded(epoch, loaded.ok_value)
            self.loaded_epoch = epoch
        else:
            self._record(loaded.ok_value)
        self._accept_outcome_unknown = False
        return True
