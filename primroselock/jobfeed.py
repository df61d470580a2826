"""Reads the job rows of a shard for its lease holder.

Under a new epoch all active jobs are loaded; after that only the inbox is
read.  A transaction accepts the inbox by moving its rows to the active rows.
When the outcome of that transaction is unknown, jobs may have become active
that this process has not read, so the active jobs are loaded again.
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

    ``on_epoch_loaded`` is called with a new epoch and all active jobs,
    ``record`` with jobs that are new or may have changed.  ``loaded_epoch``
    is the epoch under which all active jobs were last loaded, 0 before.
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
        """Load the active jobs if needed, then accept the inbox.

        After a failed read, the next call reads what was missed.
        """
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
        """Load the active jobs if needed; return whether all are loaded.

        That is needed under a new epoch and after an acceptance of the inbox
        whose outcome is unknown.
        """
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
