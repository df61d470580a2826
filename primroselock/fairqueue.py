"""A bounded queue that is fair between client accounts by weight.

Each account has a virtual time that grows by ``1 / weight`` with each
item taken; the account that waits with the least virtual time is next.
An account that comes back after idling starts from the least virtual
time of those that wait, so that it cannot save up turns.  In a full
queue, an account below its share displaces the newest item of the account
that is furthest above its own.
"""

import collections
import dataclasses
import typing

_Item = typing.TypeVar('_Item')


@dataclasses.dataclass(slots=True)
class _Lane(typing.Generic[_Item]):
    weight: int
    virtual_time: float
    items: collections.deque[_Item]


class FairQueue(typing.Generic[_Item]):
    """Items by account; ``limit`` bounds their number."""

    def __init__(self) -> None:
        self._lanes_by_account: dict[str, _Lane[_Item]] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(
        self, account: str, weight: int, item: _Item, limit: int
    ) -> _Item | None:
        """Add ``item``; return the item that found no place, if any."""
        displaced = None
        if self._size >= limit:
            victim = self._find_victim(account, weight)
            if victim is None:
                return item
            displaced = victim.items.pop()
            self._size -= 1
            self._drop_empty()
        lane = self._lanes_by_account.get(account)
        if lane is None:
            lane = _Lane(weight, self._virtual_time, collections.deque())
            self._lanes_by_account[account] = lane
        lane.weight = weight
        lane.items.append(item)
        self._size += 1
        return displaced

    def peek(self) -> _Item | None:
        """Return the next item without taking it."""
        lane = self._next_lane()
        return lane.items[0] if lane else None

    def pop(self) -> _Item | None:
        """Take the next item."""
        lane = self._next_lane()
        if lane is None:
            return None
        self._virtual_time = lane.virtual_time
        lane.virtual_time += 1.0 / lane.weight
        item = lane.items.popleft()
        self._size -= 1
        self._drop_empty()
        return item

    def remove(self, account: str, item: _Item) -> None:
        """Drop ``item`` if it still waits."""
        lane = self._lanes_by_account.get(account)
        if lane is not None and item in lane.items:
            lane.items.remove(item)
            self._size -= 1
            self._drop_empty()

    def count_ahead(self, account: str, weight: int) -> int:
        """Return how many items go before a new one of ``account``."""
        own = self._lanes_by_account.get(account)
        own_count = len(own.items) if own else 0
        ahead = float(own_count)
        for name, lane in self._lanes_by_account.items():
            if name != account:
                turns = (own_count + 1) * lane.weight / weight
                ahead += min(float(len(lane.items)), turns)
        return int(ahead)

    def _next_lane(self) -> _Lane[_Item] | None:
        return min(
            self._lanes_by_account.values(),
            key=lambda lane: lane.virtual_time,
            default=None,
        )

    def _find_victim(self, account: str, weight: int) -> _Lane[_Item] | None:
        """Return the lane to displace from: it holds more by weight."""
        most = max(
            self._lanes_by_account.values(),
            key=lambda lane: len(lane.items) / lane.weight,
            default=None,
        )
        if most is None:
            return None
        own = self._lanes_by_account.get(account)
        own_count = (len(own.items) if own else 0) + 1
        if len(most.items) / most.weight <= own_count / weight:
            return None
        return most

    def _drop_empty(self) -> None:
        empty = [
            name
            for name, lane in self._lanes_by_account.items()
            if not lane.items
        ]
        for name in empty:
            # Kept virtual time would outlive the account's turn.
            lane = self._lanes_by_account.pop(name)
            self._virtual_time = max(self._virtual_time, lane.virtual_time)
