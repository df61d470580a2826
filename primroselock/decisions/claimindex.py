"""The capacity claims of a round, indexed by worker.

A claim keeps workers free for a group that waits for them.  Each placement
asks about many workers, so that the claims are indexed by worker.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs


class ClaimIndex:
    """Indexes ``claims_by_group`` and keeps both up to date."""

    def __init__(
        self, claims_by_group: dict[livejobs.Group, fleet.CapacityClaim]
    ) -> None:
        self._claims_by_group = claims_by_group
        self._owners_by_worker_id: dict[str, dict[livejobs.Group, None]] = {}
        for group, claim in claims_by_group.items():
            self._index(group, claim)

    def _index(
        self, group: livejobs.Group, claim: fleet.CapacityClaim
    ) -> None:
        for worker_id in claim.worker_ids:
            owners = self._owners_by_worker_id.setdefault(worker_id, {})
            owners[group] = None

    def put(self, group: livejobs.Group, claim: fleet.CapacityClaim) -> None:
        """Record a group's claim; it replaces an earlier one."""
        self.drop(group)
        self._claims_by_group[group] = claim
        self._index(group, claim)

    def drop(self, group: livejobs.Group) -> None:
        """Remove the claim of a group, if it has one."""
        claim = self._claims_by_group.pop(group, None)
        if claim is None:
            return
        for worker_id in claim.worker_ids:
            owners = self._owners_by_worker_id[worker_id]
            del owners[group]
            if not owners:
                del self._owners_by_worker_id[worker_id]

    def excludes(
        self, worker_id: str, group: livejobs.Group, rank: livejobs.Rank
    ) -> bool:
        """Return whether others' claims exclude a group from a worker.

        ``rank`` is the urgency of the group.  Groups that are more urgent
        than the owner of a claim may use its workers; equal ones may not.
        """
        owners: typing.Iterable[livejobs.Group] = (
            self._owners_by_worker_id.get(worker_id, ())
        )
        return any(
            owner is not group and self._claims_by_group[owner].rank <= rank
            for owner in owners
        )

    def count_claimed_by_others(self, group: livejobs.Group) -> int:
        """Return the number of workers that other groups claim."""
        claim = self._claims_by_group.get(group)
        own_ids = claim.worker_ids if claim is not None else frozenset()
        only_own = sum(
            len(self._owners_by_worker_id[worker_id]) == 1
            for worker_id in own_ids
        )
        return len(self._owners_by_worker_id) - only_own
