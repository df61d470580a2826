"""What the shard's holder publishes with its lease for callers' calls."""

from collections import abc
import dataclasses

from primroselock.decisions.accounts import backlogs
from primroselock.decisions import waiting
from primroselock import jobgraph
from primroselock import queues
from primroselock import shards


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedCounts:
    """Figures of waiting jobs, as the holder published them, and when seen.

    ``waiting_by_queue`` is the number of jobs that have not started, or None
    where it is not known; ``backlogs_by_account`` is for accounts with work
    beyond their share (see ``backlogs``).  ``seen_at`` is on this process's
    clock.
    """

    waiting_by_queue: abc.Mapping[str, int] | None = None
    backlogs_by_account: abc.Mapping[str, abc.Mapping[int, int]] = (
        dataclasses.field(default_factory=dict)
    )
    seen_at: float = float('-inf')

    def excess_s(
        self,
        graph: jobgraph.JobGraph,
        queue: queues.Queue,
        account: queues.QueueAccount | None,
    ) -> float:
        """Return for how long too long a job would wait, in seconds.

        Not positive if it may be in time.  Work that the guarantee of its
        account may cover is not judged.
        """
        if account is None or account.name not in self.backlogs_by_account:
            return 0.0
        if queue.priority == waiting.URGENT and (
            account.guaranteed_accelerators
        ):
            return 0.0
        backlog = self.backlogs_by_account[account.name]
        return backlogs.excess_s(backlog, graph, queue)


def read(lease: shards.LeaseRow | None, now: float) -> PublishedCounts:
    """Return what a lease row says; None if it could not be read."""
    if lease is None:
        return PublishedCounts(seen_at=now)
    return PublishedCounts(lease.waiting_by_queue, lease.backlogs or {}, now)
