"""Series of large configurations that reach nodes over slow links.

Each node of a soak follows the operators' rows as on the platform: over a link
of its own, from the stand-in of the store, with the product's row store and
follower.  Versions grow by many queues, at times two in a row, while the
store is slow, refuses, falls silent, forgets its history or resets
connections, links fall silent or reset, and nodes are killed and start again.

Checked are each node's version and the age of its copy a while after the last
disturbance, versions that go back, and keys that are served too long after
they were taken away.
"""

import asyncio
from collections import abc
import dataclasses
import random
import typing

from primroselock import clock
from primroselock import queues
from primroselock.test import copybuilders
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock import waits
from standins import rowstore

_GROWTHS: typing.Final = 5
_MAX_QUEUES: typing.Final = 1400
"""Queues by which a version grows at most."""

_FAULTS: typing.Final = 7
_MAX_FAULT_S: typing.Final = 6.0
_FIRST_AT_S: typing.Final = 2.0
_LINKS_BYTES_PER_S: typing.Final = (625_000.0, 1_250_000.0, 12_500_000.0)
"""Links of 5, 10 and 100 Mbit/s."""

_READ_KINDS: typing.Final = tuple(
    kind for kind in rowstore.KINDS if kind != 'lost'
)
"""Kinds of faults of the store that readers see."""

_LINK_KINDS: typing.Final = ('link silent', 'link resets')
_CHECK_INTERVAL_S: typing.Final = 0.1
_KEY_MARGIN_S: typing.Final = 0.05
_RECOVERY_S: typing.Final = 3.0
"""Time after a disturbance for time-outs, pauses and probes."""

_MAX_AGE_S: typing.Final = 2.0
_KIND: typing.Final = 'large configuration'


@dataclasses.dataclass(slots=True)
class _Copy:
    """The copy of one node, and since when nothing disturbs it."""

    node: fleetbuilders.TestNode
    copy: copybuilders.CopyNode
    sound_since: float
    version: int = 0
    disturbances: int = 0

    def begin(self) -> None:
        """Note that a disturbance begins; several may overlap."""
        self.disturbances += 1

    def end(self) -> None:
        """Note that a disturbance has ended."""
        self.disturbances -= 1
        self.sound_since = clock.monotonic()


class Copies:
    """The operators' rows of a soak, and the nodes' copies of them."""

    def __init__(
        self,
        world: fleetbuilders.World,
        seed: int,
        until: float,
        log: faultbuilders.FaultLog,
    ) -> None:
        self.violations: list[str] = []
        self.world = world
        self._source = random.Random(f'copies {seed}')
        self._until = until
        self._log = log
        self._store = rowstore.RowStore(random.Random(seed))
        self._copies: list[_Copy] = []
        self._queues = 0
        self._version = 0
        self._zones: frozenset[str] = frozenset()
        self._sizes_by_version: dict[int, int] = {}
        self._written_at = 0.0
        self._removed_at_by_key: dict[str, float] = {}
        world.node_hooks.append(self._attach)
        world.write_configuration = self._write
        self._write(world.queue_configuration)

    def _write(self, current: queues.QueueConfiguration) -> None:
        """Write a version; the key of the one before is taken away."""
        now = clock.monotonic()
        self._removed_at_by_key[_key(self._version)] = now
        self._version += 1
        self._written_at = now
        self._sizes_by_version[self._version] = copybuilders.write_queues(
            self._store,
            dataclasses.replace(current, version=self._version),
            self._queues,
            _key(self._version),
        )
        zones = current.zones_out_of_service
        for zone in zones ^ self._zones:
            value: dict[str, str] | None = {} if zone in zones else None
            self._store.put('op', f'evacuate/{zone}', value)
        self._zones = zones

    def _attach(self, node: fleetbuilders.TestNode) -> None:
        """Give a node that starts a copy of its own; it has none yet."""
        copy = copybuilders.CopyNode(
            self._store,
            len(self._copies),
            self._source.choice(_LINKS_BYTES_PER_S),
        )
        follower = copy.follower

        def use(current: queues.QueueConfiguration) -> None:
            node.intake.set_queue_configuration(
                current,
                lambda: follower.confirmed_at,
                lambda: follower.incoming,
            )
            node.holder.set_queue_configuration(
                current, lambda: follower.confirmed_at
            )

        use(queues.EMPTY)
        copy.use = use
        node.add_task(copy.task)
        self._copies.append(_Copy(node, copy, clock.monotonic()))

    async def run(self) -> None:
        """Play the series and check, until all of it has ended."""
        checking = asyncio.create_task(self._check_always())
        source = self._source
        await asyncio.gather(
            *(
                self._grow(source.uniform(_FIRST_AT_S, self._until))
                for _ in range(_GROWTHS)
            ),
            *(
                self._disturb(source.uniform(_FIRST_AT_S, self._until))
                for _ in range(_FAULTS)
            ),
        )
        await asyncio.sleep(self._bound_s(0, min(_LINKS_BYTES_PER_S)))
        self._check(clock.monotonic())
        await waits.cancel_tasks([checking])

    async def _grow(self, at: float) -> None:
        fault = faultbuilders.Fault(_KIND, at, 0.0, 0)
        count = self._source.randint(100, _MAX_QUEUES)
        is_followed = self._source.random() < 0.5
        await asyncio.sleep(at)
        self._log.begin(fault, clock.monotonic())
        self._queues += count
        self._write(self.world.queue_configuration)
        if is_followed:
            await asyncio.sleep(0.3)
            self._write(self.world.queue_configuration)
        await asyncio.sleep(
            self._bound_s(self._version - 2, min(_LINKS_BYTES_PER_S))
        )
        self._log.end(fault, clock.monotonic())

    async def _disturb(self, at: float) -> None:
        source = self._source
        kind = source.choice((*_READ_KINDS, *_LINK_KINDS, 'kill'))
        share = source.choice((0.3, 1.0))
        fault = faultbuilders.Fault(
            kind, at, source.uniform(0.2, _MAX_FAULT_S), 0
        )
        await asyncio.sleep(at)
        hit = [c for c in self._list_alive() if source.random() < share]
        self._log.begin(fault, clock.monotonic())
        if kind == 'kill':
            await self._kill([item.node for item in hit[:2]], fault.for_s)
        elif kind in _LINK_KINDS:
            await self._disturb_links(hit, fault)
        else:
            await self._disturb_store(hit, fault)
        # Starts need a fresh copy.
        await asyncio.sleep(self._bound_s(0, min(_LINKS_BYTES_PER_S)))
        self._log.end(fault, clock.monotonic())

    async def _kill(
        self, nodes: abc.Sequence[fleetbuilders.TestNode], for_s: float
    ) -> None:
        for node in nodes:
            if node in self.world.nodes and len(self.world.nodes) > 1:
                self.world.nodes.remove(node)
                await node.kill()
                await asyncio.sleep(min(for_s, 1.0))
                self.world.add_node(node.settings.process.vm_id)

    async def _disturb_links(
        self, hit: abc.Sequence[_Copy], fault: faultbuilders.Fault
    ) -> None:
        for item in hit:
            link = item.copy.link
            if fault.kind == 'link silent':
                link.is_silent = True
            else:
                link.resets_after = [link.sent_bytes + 200_000]
            item.begin()
        await asyncio.sleep(fault.for_s)
        for item in hit:
            item.copy.link.is_silent = False
            item.copy.link.resets_after = []
            item.end()

    async def _disturb_store(
        self, hit: abc.Sequence[_Copy], fault: faultbuilders.Fault
    ) -> None:
        affected = self._list_alive() if fault.kind == 'forget' else hit
        numbers = frozenset(self._copies.index(item) for item in affected)
        injected = rowstore.Fault(fault.kind, numbers)
        self._store.faults.append(injected)
        for item in affected:
            item.begin()
        await asyncio.sleep(fault.for_s)
        self._store.faults.remove(injected)
        for item in affected:
            item.end()

    def _list_alive(self) -> list[_Copy]:
        alive = {id(node) for node in self.world.nodes}
        return [item for item in self._copies if id(item.node) in alive]

    def _bound_s(self, version: int, bytes_per_s: float) -> float:
        """Return the longest time until a copy of ``version`` is whole.

        Each version since may be read, and one transfer may be broken off.
        """
        sizes = self._sizes_by_version
        last = sizes[self._version]
        newer = sum(sizes[number] for number in sizes if number > version)
        return min(newer + last, 4 * last) / bytes_per_s + _RECOVERY_S

    async def _check_always(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_S)
            self._check(clock.monotonic())

    def _check(self, now: float) -> None:
        for item in self._list_alive():
            self._check_keys(item, now)
            known = item.copy.version
            if known < item.version:
                self._add(item, now, f'version {known} after {item.version}')
            item.version = known
            since = max(item.sound_since, self._written_at)
            rate = item.copy.link.bytes_per_s
            if item.disturbances or now - since <= self._bound_s(known, rate):
                continue
            if known < self._version:
                self._add(item, now, f'version {known}, not {self._version}')
            age_s = item.copy.follower.age_s(now)
            if age_s > _MAX_AGE_S:
                self._add(item, now, f'copy {age_s:.2f} s old')

    def _check_keys(self, item: _Copy, now: float) -> None:
        """Check that no key is served too long after it was taken away."""
        permit_s = item.node.settings.fleet.serve_permit_s
        url = (fleetbuilders.BULK.host, f'{fleetbuilders.BULK.prefix}j')
        for key, removed_at in self._removed_at_by_key.items():
            admitted = item.node.intake.admit(*url, key, now)
            late_s = now - removed_at - permit_s
            if late_s > _KEY_MARGIN_S and admitted.is_ok():
                self._add(item, now, f'{key} served {late_s:.2f} s too long')

    def _add(self, item: _Copy, now: float, what: str) -> None:
        name = item.node.settings.process.vm_id
        self.violations.append(f'{now:.2f} {name}: {what}')


def _key(version: int) -> str:
    """Return the API key that only ``version`` has."""
    return f'key-of-{version}'
