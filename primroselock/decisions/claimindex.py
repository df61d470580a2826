"""The capacity claims of a round, indexed by worker.

A claim keeps workers free for a group that waits for them.  Each placement
asks about many workers, so that the claims are indexed by worker.

Among equally urgent groups that wait for workers to become free, the claim
that was made first counts.  If the claims of all of them did, several gangs
could each hold a part of the workers that one of them needs, and none would
run.  Workers that are being freed by preemption are kept from all of them:
they are free soon, and work was lost for that.
"""

from collections import abc
import dataclasses
import math

from primroselock.decisions import fleet
from primroselock.decisions import livejobs


def update_shares(
    claims_by_group: dict[livejobs.Group, fleet.CapacityClaim],
    beyond: abc.Set[livejobs.Group],
) -> None:
    """Note which claims are of groups that lie beyond their share now.

    Shares change with the accounts that want something.  Workers that are
    being freed by preemption stay claimed as they were.
    """
    for group, claim in list(claims_by_group.items()):
        rank = (*claim.rank[:2], group in beyond)
        if rank != claim.rank and not claim.by_preemption:
            claims_by_group[group] = dataclasses.replace(claim, rank=rank)


class ClaimIndex:
    """Indexes ``claims_by_group`` and keeps both up to date."""

    def __init__(
        self, claims_by_group: dict[livejobs.Group, fleet.CapacityClaim]
    ) -> None:
        self._claims_by_group = claims_by_group
        self._owners_by_worker_id: dict[str, dict[livejobs.Group, None]] = {}
        numbers = [claim.number for claim in claims_by_group.values()]
        self._last_number = max(numbers, default=0)
        for group, claim in claims_by_group.items():
            self._index(group, claim)

    def _index(
        self, group: livejobs.Group, claim: fleet.CapacityClaim
    ) -> None:
        for worker_id in claim.worker_ids:
            owners = self._owners_by_worker_id.setdefault(worker_id, {})
            owners[group] = None

    def put(self, group: livejobs.Group, claim: fleet.CapacityClaim) -> None:
        """Record a group's claim; it replaces an earlier one.

        It gets the number of that one, or else the next number.
        """
        known = self._claims_by_group.get(group)
        self.drop(group)
        if known is None:
            self._last_number += 1
        number = known.number if known else self._last_number
        claim = dataclasses.replace(claim, number=number)
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

    @property
    def has_any(self) -> bool:
        """Return whether any worker is claimed."""
        return bool(self._owners_by_worker_id)

    def excludes(
        self, worker_id: str, group: livejobs.Group, rank: livejobs.Rank
    ) -> bool:
        """Return whether others' claims exclude a group from a worker.

        ``rank`` is the urgency of the group.  Groups that are more urgent
        than the owner of a claim may use its workers, and so may equally
        urgent ones that have made a claim before it.
        """
        owners = self._owners_by_worker_id.get(worker_id)
        if not owners:
            return False
        own_claim = self._claims_by_group.get(group)
        precedence = (rank, own_claim.number if own_claim else math.inf)
        return any(
            owner is not group and self._precedence(owner) <= precedence
            for owner in owners
        )

    def _precedence(
        self, owner: livejobs.Group
    ) -> tuple[livejobs.Rank, float]:
        """Return the precedence of a claim; the lowest goes first."""
        claim = self._claims_by_group[owner]
        return claim.rank, -math.inf if claim.by_preemption else claim.number

    def count_excluded(
        self, group: livejobs.Group, rank: livejobs.Rank
    ) -> int:
        """Return from how many workers others' claims exclude a group."""
        return sum(
            self.excludes(worker_id, group, rank)
            for worker_id in self._owners_by_worker_id
        )
