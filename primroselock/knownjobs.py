"""What a node remembers of the jobs that callers submitted to it.

Of a job that is stored it remembers the owner, so that the job's row need not
be read; of one that may be stored it remembers that, so that no refusal says
that it never runs.
"""

import dataclasses
import typing

from primroselock import jobgraph

_MAX_JOBS: typing.Final = 20_000
"""Jobs of each kind that are remembered; the oldest are forgotten."""


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The account and the queue that a job was accepted for."""

    account: str
    queue: str


class KnownJobs:
    """The owners of stored jobs, and the jobs that may be stored, by id."""

    def __init__(self) -> None:
        self._owners_by_id: dict[str, Owner] = {}
        self._unknown_ids: dict[str, None] = {}

    def find_owner(self, job_id: str) -> Owner | None:
        """Return the owner of a job that is stored, if it is remembered."""
        return self._owners_by_id.get(job_id)

    def record_stored(self, graph: jobgraph.JobGraph) -> Owner:
        """Remember and return the owner of a job that is stored."""
        if len(self._owners_by_id) >= _MAX_JOBS:
            self._owners_by_id.pop(next(iter(self._owners_by_id)))
        owner = Owner(graph.account, graph.queue)
        self._owners_by_id[graph.id] = owner
        self._unknown_ids.pop(graph.id, None)
        return owner

    def forget_stored(self, job_id: str) -> None:
        """Forget a job whose rows were deleted."""
        self._owners_by_id.pop(job_id, None)

    def may_be_stored(self, job_id: str) -> bool:
        """Return whether a write of a job may still be applied."""
        return job_id in self._unknown_ids

    def record_unknown(self, job_id: str) -> None:
        """Remember that a write of a job may still be applied."""
        if len(self._unknown_ids) >= _MAX_JOBS:
            self._unknown_ids.pop(next(iter(self._unknown_ids)))
        self._unknown_ids[job_id] = None

    def record_not_stored(self, job_id: str) -> None:
        """Forget a job of which no write was or will be applied."""
        self._unknown_ids.pop(job_id, None)


def may_access(caller: Owner, owner: Owner) -> bool:
    """Return whether the job of ``owner`` is shown to ``caller``.

    Callers without a key, which a public queue admits, have no account.
    """
    is_own = caller.account in (owner.account, '')
    return is_own and caller.queue == owner.queue
