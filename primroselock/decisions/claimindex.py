"""The capacity claims of a round, indexed by worker.

A claim keeps workers free for a group that waits for them.  Each placement
asks about many workers, so that the claims are indexed by worker.

Among equally urgent groups the claim of the one that is placed first counts.
If the claims of all of them did, several gangs could each hold a part of the
workers that one of them needs, and none would run.
"""

from collections import abc
import math
import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs


class ClaimIndex:
    """Indexes ``claims_by_group`` and keeps both up to date.

    ``position_by_step`` is the order of placement of waiting steps.
    """

    def __init__(
        self,
        claims_by_group: dict[livejobs.Group, fleet.CapacityClaim],
        position_by_step: abc.Mapping[livejobs.StepName, int],
    ) -> None:
        self._claims_by_group = claims_by_group
        self._position_by_step = position_by_step
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
        than the owner of a claim may use its workers, and so may equally
        urgent ones that are placed before it.
        """
        owners: typing.Iterable[livejobs.Group] = (
            self._owners_by_worker_id.get(worker_id, ())
        )
        precedence = (rank, self._position(group))
        return any(
            owner is not group
            and (self._claims_by_group[owner].rank, self._position(owner))
            <= precedence
            for owner in owners
        )

    def count_excluded(
        self, group: livejobs.Group, rank: livejobs.Rank
    ) -> int:
        """Return from how many workers others' claims exclude a group."""
        return sum(
            self.excludes(worker_id, group, rank)
            for worker_id in self._owners_by_worker_id
        )

    def _position(self, group: livejobs.Group) -> float:
        # A step without a position is not to be placed now.
        return self._position_by_step.get(group.step_name, math.inf)
