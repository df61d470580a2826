"""A bounded queue with weighted fair queueing between client accounts.

Each account has a virtual time that grows by ``1 / weight`` with each
item taken; the waiting account with the lowest virtual time is served
next.  An account that returns after idling starts from the lowest virtual
time of the waiting accounts, so idle time earns no credit.  In a full
queue, an account below its share displaces the newest item of the account
that is furthest above its own share.
"""

import collections
import dataclasses
import typing

_Item = typing.TypeVar('_Item')


@dataclasses.dataclass(slots=True)
class _AccountQueue(typing.Generic[_Item]):
    weight: int
    virtual_time: float
    items: collections.deque[_Item]


class FairQueue(typing.Generic[_Item]):
    """Items by account; the ``limit`` of a push bounds their number."""

    def __init__(self) -> None:
        self._queues_by_account: dict[str, _AccountQueue[_Item]] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def push(
        self, account: str, weight: int, item: _Item, limit: int
    ) -> _Item | None:
        """Add ``item``; return the item that was displaced, if any.

        The result is ``item`` itself if it was not added.
        """
        displaced = None
        if self._size >= limit:
            victim = self._find_victim(account, weight)
            if victim is None:
                return item
            displaced = victim.items.pop()
            self._size -= 1
            self._drop_empty()
        queue = self._queues_by_account.get(account)
        if queue is None:
            queue = _AccountQueue(
                weight, self._virtual_time, collections.deque()
            )
            self._queues_by_account[account] = queue
        queue.weight = weight
        queue.items.append(item)
        self._size += 1
        return displaced

    def admits(self, account: str, weight: int, limit: int) -> bool:
        """Return whether a push would add an item, maybe for another one."""
        return (
            self._size < limit
            or self._find_victim(account, weight) is not None
        )

    def peek(self) -> _Item | None:
        """Return the next item without taking it."""
        queue = self._next_queue()
        return queue.items[0] if queue else None

    def pop(self) -> _Item | None:
        """Remove and return the next item."""
        queue = self._next_queue()
        if queue is None:
            return None
        self._virtual_time = queue.virtual_time
        queue.virtual_time += 1.0 / queue.weight
        item = queue.items.popleft()
        self._size -= 1
        self._drop_empty()
        return item

    def remove(self, account: str, item: _Item) -> None:
        """Drop ``item`` if it still waits."""
        queue = self._queues_by_account.get(account)
        if queue is not None and item in queue.items:
            queue.items.remove(item)
            self._size -= 1
            self._drop_empty()

    def count_ahead(self, account: str, weight: int) -> int:
        """Estimate how many items precede a new one of ``account``."""
        own = self._queues_by_account.get(account)
        own_count = len(own.items) if own else 0
        ahead = float(own_count)
        for name, queue in self._queues_by_account.items():
            if name != account:
                grants = (own_count + 1) * queue.weight / weight
                ahead += min(float(len(queue.items)), grants)
        return int(ahead)

    def _next_queue(self) -> _AccountQueue[_Item] | None:
        return min(
            self._queues_by_account.values(),
            key=lambda queue: queue.virtual_time,
            default=None,
        )

    def _find_victim(
        self, account: str, weight: int
    ) -> _AccountQueue[_Item] | None:
        """Return the queue that is longest relative to its weight.

        None if that is not above what ``account`` would have with one
        more item.
        """
        longest = max(
            self._queues_by_account.values(),
            key=lambda queue: len(queue.items) / queue.weight,
            default=None,
        )
        if longest is None:
            return None
        own = self._queues_by_account.get(account)
        own_count = (len(own.items) if own else 0) + 1
        if len(longest.items) / longest.weight <= own_count / weight:
            return None
        return longest

    def _drop_empty(self) -> None:
        empty = [
            name
            for name, queue in self._queues_by_account.items()
            if not queue.items
        ]
        for name in empty:
            # Raising ``_virtual_time`` keeps an account that returns from
            # starting below the virtual time that it had reached.
            queue = self._queues_by_account.pop(name)
            self._virtual_time = max(self._virtual_time, queue.virtual_time)
