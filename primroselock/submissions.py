"""What callers have submitted, as the holder of a shard takes it over.

The rows come from a listing at the takeover, and from a change feed after it.
A row may be reported twice; a job that was loaded once is on the blackboard
or has ended.
"""

from collections import abc

from primroselock import boardrows
from primroselock.decisions import fleet
from primroselock import graphrows
from primroselock.store import table
from primroselock import tombstones
from primroselock import waits


class Submissions:
    """The jobs that were loaded, and the rows that are to be applied.

    ``tombstones`` are those that stand in place of jobs.
    """

    def __init__(self, shard: str) -> None:
        self.tombstones = tombstones.TombstoneLog()
        self._shard = shard
        self._loaded_ids: set[str] = set()
        self._new_rows: list[table.Row] = []

    async def read(
        self, rows: abc.Sequence[table.Row], now: float
    ) -> dict[str, graphrows.StoredJob]:
        """Return the jobs in ``rows``, and note their tombstones."""
        job_rows = graphrows.JobRows(self._shard)
        async for row in waits.take_turns(rows):
            job_rows.apply((row,))
        for job_id, stored in job_rows.stored_by_id.items():
            self.tombstones.forget(job_id, stored.graph_version)
        for job_id, version in job_rows.tombstone_versions_by_id.items():
            self.tombstones.note(job_id, version, now)
        return job_rows.stored_by_id

    def add(self, rows: abc.Iterable[table.Row]) -> None:
        """Add rows that the next call of :meth:`load_new` applies."""
        self._new_rows.extend(rows)

    def note_loaded(self, job_ids: abc.Iterable[str]) -> None:
        """Note that these jobs are on the blackboard, or have ended."""
        self._loaded_ids.update(job_ids)

    def forget_deleted(self, job_ids: abc.Iterable[str]) -> None:
        """Forget jobs whose rows are deleted."""
        self._loaded_ids.difference_update(job_ids)

    async def load_new(self, board: fleet.ShardBoard, now: float) -> None:
        """Load the jobs and cancellations that were added since."""
        taken, self._new_rows = tuple(self._new_rows), []
        stored_by_id = await self.read(taken, now)
        async for job_id, stored in waits.take_turns(stored_by_id.items()):
            known = board.jobs_by_id.get(job_id)
            if known is not None:
                if stored.is_cancelled:
                    known.request_cancel()
            elif stored.graph and job_id not in self._loaded_ids:
                self._loaded_ids.add(job_id)
                boardrows.load_job(board, job_id, stored, now)
