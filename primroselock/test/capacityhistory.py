"""The capacities that a fake worker has had, to judge starts by.

A worker may shrink while it runs.  Who starts work on it learns that from its
entry, and so not at once: the earlier capacity counts for a while longer.
"""

import dataclasses
import typing

from primroselock import jobgraph

CONTACT_S: typing.Final = 3.0
"""The platform's bound: who reads the store again counts as in touch after
this time."""

HEARTBEAT_S: typing.Final = 1.5
"""The longest time until a worker's entry shows a change."""


@dataclasses.dataclass
class CapacityHistory:
    """Earlier capacities, each with the time when it was left.

    Times are on the monotonic clock.
    """

    left: list[tuple[float, jobgraph.Resources]] = dataclasses.field(
        default_factory=list
    )

    def leave(self, capacity: jobgraph.Resources, now: float) -> None:
        """Record that the worker does not have ``capacity`` any more."""
        self.left.append((now, capacity))

    def first(self, current: jobgraph.Resources) -> jobgraph.Resources:
        """Return the first capacity; without an earlier one, ``current``."""
        return self.left[0][1] if self.left else current

    def allows(
        self,
        used: jobgraph.Resources,
        current: jobgraph.Resources,
        ordered_at: float,
    ) -> bool:
        """Return whether a start may bring a worker to ``used``.

        An earlier capacity counts for contact time and one heartbeat more.  A
        start that is carried out late is judged by when it was ordered.
        """
        counted = [
            capacity
            for left_at, capacity in self.left
            if ordered_at - left_at <= CONTACT_S + HEARTBEAT_S
        ]
        return any(capacity.can_fit(used) for capacity in (*counted, current))
