"""What the accounts were last known to have running."""

import dataclasses
import typing

from primroselock import jobgraph


@dataclasses.dataclass(slots=True)
class KnownUsage:
    """What may run of each account, as added up at ``read_at``.

    In seconds on this process's clock.  What was placed since is included,
    what has ended since as well: it is never too little but for runs that
    were discovered meanwhile.
    """

    needs_by_account: dict[str, jobgraph.Resources] = dataclasses.field(
        default_factory=dict
    )
    read_at: float = float('-inf')

    def add(self, account: str, need: jobgraph.Resources) -> None:
        """Add what was placed for an account."""
        known = self.needs_by_account.get(account, NOTHING)
        self.needs_by_account[account] = known.plus(need)


NOTHING: typing.Final = jobgraph.Resources()
