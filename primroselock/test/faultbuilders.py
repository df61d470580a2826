"""Injected faults against complete nodes in virtual time.

An injection lets one fault begin, waits and ends it; injections are
registered by the kind of the fault.  Faults may overlap.
"""

import asyncio
from collections import abc
import dataclasses
import typing

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import fakestore
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault that starts ``at`` seconds into the run and lasts ``for_s``.

    ``target`` is the number of the worker, for faults of a single worker.
    """

    kind: str
    at: float
    for_s: float
    target: int


BASIC_KINDS: typing.Final = (
    'crash worker',
    'cut worker',
    'feeds silent',
    'hand over',
    'history dropped',
    'holder loses store',
    'kill holder',
    'late answers',
    'replies lost',
    'store silent',
)
"""Kinds of faults of single workers and nodes, and of the store."""

LASTING_KINDS: typing.Final = frozenset(
    {'close zone', 'drain worker', 'remove queue', 'unlist worker'}
    | {'shrink worker', 'worker refuses'}
)
"""Kinds that change which workers may be used, and are no fault as such."""

WIDE_KINDS: typing.Final = frozenset(
    {'remove queue', 'restart worker', 'unlist worker', 'worker refuses'}
    | {'shrink worker'}
)
"""Kinds of the wide soak only: the plays of the other must not change."""

_ENTRY_LAG_S: typing.Final = 0.3
"""Time from the restart of a worker until its entry tells of it."""

_FAST_CLOCK_S: typing.Final = 1_000_000.0
"""A clock that starts far ahead of all others."""

ORDER_KINDS: typing.Final = frozenset({'orders late', 'starts refused'})
"""Kinds of the series of ``orderfaults``, which are drawn by themselves."""

REBUILD_KINDS: typing.Final = frozenset({'rebuild worker'})
"""Kinds of the series of ``rebuiltworkers``, which are drawn likewise."""

DRAIN_KINDS: typing.Final = frozenset({'drain and return'})
"""Kinds of the series of ``drainfaults``, which are drawn likewise."""

ACCOUNT_KINDS: typing.Final = frozenset({'account floods', 'new weights'})
"""Kinds of the series of ``accountfaults``, which are drawn likewise."""

OUTAGE_KINDS: typing.Final = frozenset({'store outage'})
"""Kinds of the series of ``outagefaults``, which are drawn likewise."""

_SERIES_KINDS: typing.Final = (
    ORDER_KINDS | REBUILD_KINDS | DRAIN_KINDS | ACCOUNT_KINDS | OUTAGE_KINDS
)

Injection = abc.Callable[
    [fleetbuilders.World, Fault], abc.Coroutine[typing.Any, typing.Any, None]
]
_injections_by_kind: typing.Final[dict[str, Injection]] = {}


def injection(kind: str) -> abc.Callable[[Injection], Injection]:
    """Register the decorated injection for faults of ``kind``."""

    def register(inject_fault: Injection) -> Injection:
        _injections_by_kind[kind] = inject_fault
        return inject_fault

    return register


def list_kinds(is_wide: bool = False) -> list[str]:
    """Return the kinds of faults, sorted."""
    kinds = set(_injections_by_kind) - _SERIES_KINDS
    return sorted(kinds if is_wide else kinds - WIDE_KINDS)


class FaultLog:
    """Knows since when no fault is active.

    ``lines`` names the beginning and the end of each fault.
    """

    def __init__(self) -> None:
        self.lines: list[str] = []
        self._active = 0
        self._calm_since = float('-inf')

    def begin(self, fault: Fault, now: float) -> None:
        """Record that a fault begins."""
        self.lines.append(f'{now:.2f} begins: {fault.kind} {fault.target}')
        self._calm_since = now
        if fault.kind not in LASTING_KINDS:
            self._active += 1

    def end(self, fault: Fault, now: float) -> None:
        """Record that a fault has ended."""
        self.lines.append(f'{now:.2f} ended: {fault.kind} {fault.target}')
        self._calm_since = now
        if fault.kind not in LASTING_KINDS:
            self._active -= 1

    def calm_s(self, now: float) -> float:
        """Return for how many seconds no fault has been active."""
        return 0.0 if self._active else now - self._calm_since


async def inject(
    world: fleetbuilders.World, fault: Fault, log: FaultLog | None = None
) -> None:
    """Wait until a fault begins, and return when it has ended."""
    log = log or FaultLog()
    await asyncio.sleep(fault.at)
    log.begin(fault, clock.monotonic())
    await _injections_by_kind[fault.kind](world, fault)
    log.end(fault, clock.monotonic())


def _target(
    world: fleetbuilders.World, fault: Fault
) -> simulatedworker.FakeWorker:
    """Return the worker that a fault affects."""
    workers = list(world.fleet.workers_by_id.values())
    return workers[fault.target % len(workers)]


def _list_holders(
    world: fleetbuilders.World,
) -> list[fleetbuilders.TestNode]:
    """Return the nodes that believe that they hold the shard."""
    return [node for node in world.nodes if node.holder.lease.has_shard]


@injection('cut worker')
async def _partition_worker(world: fleetbuilders.World, fault: Fault) -> None:
    await _partition([_target(world, fault)], fault)


@injection('crash worker')
async def _crash_worker(world: fleetbuilders.World, fault: Fault) -> None:
    worker = _target(world, fault)
    if worker.is_down:
        return
    world.fleet.crash(worker)
    await asyncio.sleep(fault.for_s)
    await _restart(world, worker, fault)


@injection('late answers')
async def _delay_orders(world: fleetbuilders.World, fault: Fault) -> None:
    await delay_orders(list(world.fleet.workers_by_id.values()), 0.2, fault)


async def delay_orders(
    workers: abc.Collection[simulatedworker.FakeWorker],
    share: float,
    fault: Fault,
) -> None:
    """Let workers carry out a share of their orders late."""
    for worker in workers:
        worker.delayed_order_share = share
    await asyncio.sleep(fault.for_s)
    for worker in workers:
        worker.delayed_order_share = 0.0


@injection('kill holder')
async def _kill_holder(world: fleetbuilders.World, fault: Fault) -> None:
    for node in _list_holders(world)[:1]:
        # Removed first: another fault may end the same node meanwhile.
        world.nodes.remove(node)
        await node.kill()
        await asyncio.sleep(min(fault.for_s, 1.0))
        world.add_node(node.settings.process.vm_id)


@injection('holder loses store')
async def _disconnect_holder(world: fleetbuilders.World, fault: Fault) -> None:
    for node in _list_holders(world)[:1]:
        node.connectivity.refuses_calls = True
        await asyncio.sleep(fault.for_s)
        node.connectivity.refuses_calls = False


@injection('store silent')
async def _hang_store(world: fleetbuilders.World, fault: Fault) -> None:
    nodes = list(world.nodes)
    for node in nodes:
        node.connectivity.is_unresponsive = True
    await asyncio.sleep(fault.for_s)
    for node in nodes:
        node.connectivity.is_unresponsive = False


@injection('replies lost')
async def _lose_replies(world: fleetbuilders.World, fault: Fault) -> None:
    for node in world.nodes:
        node.connectivity.faults += [
            fakestore.Fault.REPLY_LOST,
            fakestore.Fault.LATE,
            fakestore.Fault.REQUEST_LOST,
        ]
    await asyncio.sleep(fault.for_s)
    world.store.apply_late()


@injection('history dropped')
async def _drop_history(world: fleetbuilders.World, fault: Fault) -> None:
    world.store.drop_history()


@injection('feeds silent')
async def _hang_feeds(world: fleetbuilders.World, fault: Fault) -> None:
    nodes = list(world.nodes)
    for node in nodes:
        node.connectivity.feed_is_unresponsive = True
    await asyncio.sleep(fault.for_s)
    for node in nodes:
        node.connectivity.feed_is_unresponsive = False


@injection('hand over')
async def _hand_over(world: fleetbuilders.World, fault: Fault) -> None:
    for node in _list_holders(world)[:1]:
        world.nodes.remove(node)
        await node.holder.hand_over()
        await node.kill()
        world.add_node(node.settings.process.vm_id)


async def _restart_all(
    world: fleetbuilders.World, nodes: list[fleetbuilders.TestNode]
) -> None:
    for node in nodes:
        world.add_node(node.settings.process.vm_id)


@injection('kill all nodes')
async def _kill_nodes(world: fleetbuilders.World, fault: Fault) -> None:
    nodes, world.nodes = world.nodes, []
    for node in nodes:
        await node.kill()
    await asyncio.sleep(min(fault.for_s, 3.0))
    await _restart_all(world, nodes)


@injection('kill standby')
async def _kill_standby(world: fleetbuilders.World, fault: Fault) -> None:
    standbys = [n for n in world.nodes if not n.holder.lease.has_shard]
    for node in standbys[:1]:
        world.nodes.remove(node)
        await node.kill()
        await asyncio.sleep(fault.for_s)
        await _restart_all(world, [node])


@injection('throttle holder')
async def _throttle_holder(world: fleetbuilders.World, fault: Fault) -> None:
    for node in _list_holders(world)[:1]:
        node.connectivity.is_throttled = True
        await asyncio.sleep(fault.for_s)
        node.connectivity.is_throttled = False


@injection('cut zone')
async def _partition_zone(world: fleetbuilders.World, fault: Fault) -> None:
    zone = _target(world, fault).entry.zone
    workers = [
        worker
        for worker in world.fleet.workers_by_id.values()
        if worker.entry.zone == zone
    ]
    await _partition(workers, fault)


async def _partition(
    workers: abc.Collection[simulatedworker.FakeWorker], fault: Fault
) -> None:
    for worker in workers:
        worker.is_partitioned = True
    await asyncio.sleep(fault.for_s)
    for worker in workers:
        worker.is_partitioned = False


@injection('close zone')
async def _close_zone(world: fleetbuilders.World, fault: Fault) -> None:
    """Take a zone out of service; it is back after ``for_s``."""
    zone = _target(world, fault).entry.zone
    closed = world.queue_configuration.zones_out_of_service
    world.change_queue_configuration(zones_out_of_service=closed | {zone})
    await asyncio.sleep(fault.for_s)
    closed = world.queue_configuration.zones_out_of_service
    world.change_queue_configuration(zones_out_of_service=closed - {zone})


@injection('new queues')
async def _change_queues(world: fleetbuilders.World, fault: Fault) -> None:
    """Publish a version with other targets and guarantees."""
    current = world.queue_configuration
    changed = tuple(
        dataclasses.replace(queue, latency_target_s=1.0 + fault.target % 4)
        for queue in current.queues
    )
    accounts = {
        account.name: dataclasses.replace(
            account, guaranteed_accelerators=fault.target
        )
        for account in current.accounts_by_name.values()
    }
    world.change_queue_configuration(queues=changed, accounts_by_name=accounts)


@injection('lose worker')
async def _lose_worker(world: fleetbuilders.World, fault: Fault) -> None:
    """Crash a worker for good; its entry is deleted later.

    Some are replaced by a new one in the same rack.
    """
    worker = _target(world, fault)
    if worker.is_down:
        return
    world.fleet.crash(worker)
    await asyncio.sleep(fault.for_s)
    world.delete_entry(worker.entry.id)
    if fault.target % 2:
        world.add_worker(
            dataclasses.replace(worker.entry, id=f'{worker.entry.id}x')
        )


@injection('drain worker')
async def _drain_worker(world: fleetbuilders.World, fault: Fault) -> None:
    """Let a worker drain, and end and leave after ``for_s``."""
    worker = _target(world, fault)
    if worker.is_down or worker.entry.id not in world.entries_by_id:
        return
    world.write_entry(
        dataclasses.replace(
            worker.entry, is_draining=True, remaining_s=fault.for_s
        )
    )
    await asyncio.sleep(fault.for_s)
    world.fleet.crash(worker)
    world.delete_entry(worker.entry.id)


@injection('unlist worker')
async def _unlist_worker(world: fleetbuilders.World, fault: Fault) -> None:
    """Delete the entry of a worker that stays sound; list it again later."""
    worker = _target(world, fault)
    if worker.is_down or worker.entry.id not in world.entries_by_id:
        return
    world.delete_entry(worker.entry.id)
    await asyncio.sleep(fault.for_s)
    if not worker.is_down:
        world.write_entry(worker.entry)


@injection('restart worker')
async def _restart_worker(world: fleetbuilders.World, fault: Fault) -> None:
    """End a worker's process; it is back before anything notices."""
    worker = _target(world, fault)
    if worker.is_down:
        return
    world.fleet.crash(worker)
    await _restart(world, worker, fault)


async def _restart(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    fault: Fault,
) -> None:
    """Restart a worker, with a clock behind the others or ahead of them.

    Its first calls may come before its entry tells that it has restarted.
    """
    clock_s = _FAST_CLOCK_S if fault.target % 2 else 0.0
    world.fleet.restart(worker, clock_s)
    await asyncio.sleep(_ENTRY_LAG_S)
    world.write_boot(worker)


@injection('remove queue')
async def _remove_queue(world: fleetbuilders.World, fault: Fault) -> None:
    """Publish a version without one of the queues, and one with it again."""
    current = world.queue_configuration
    if not current.queues:
        return
    removed = current.queues[fault.target % len(current.queues)]
    others = tuple(queue for queue in current.queues if queue != removed)
    world.change_queue_configuration(queues=others)
    await asyncio.sleep(fault.for_s)
    known = world.queue_configuration
    if known.find_by_name(removed.name) is None:
        world.change_queue_configuration(queues=(*known.queues, removed))


@injection('worker fails all')
async def _fail_all(world: fleetbuilders.World, fault: Fault) -> None:
    worker = _target(world, fault)
    worker.fails_all = True
    await asyncio.sleep(fault.for_s)
    worker.fails_all = False


@injection('worker refuses')
async def _refuse_starts(world: fleetbuilders.World, fault: Fault) -> None:
    """Let a worker refuse all starts, or some, and go on answering polls."""
    worker = _target(world, fault)
    worker.refused_start_share = 0.5 + 0.5 * (fault.target % 2)
    await asyncio.sleep(fault.for_s)
    worker.refused_start_share = 0.0


@injection('shrink worker')
async def _shrink_worker(world: fleetbuilders.World, fault: Fault) -> None:
    """Take capacity from a worker, perhaps all; it has it again later."""
    worker = _target(world, fault)
    full = worker.capacity_history.first(worker.entry.capacity)
    quarters = fault.target % 4
    shrunk = jobgraph.Resources(
        full.cpu_millis * quarters // 4,
        full.memory_mb * quarters // 4,
        full.accelerators * quarters // 4,
    )
    world.set_capacity(worker.entry.id, shrunk)
    await asyncio.sleep(fault.for_s)
    world.set_capacity(worker.entry.id, full)


@injection('worker stalls')
async def _stall_worker(world: fleetbuilders.World, fault: Fault) -> None:
    worker = _target(world, fault)
    worker.is_stalled = True
    await asyncio.sleep(fault.for_s)
    worker.is_stalled = False


@injection('worker slow')
async def _slow_worker(world: fleetbuilders.World, fault: Fault) -> None:
    worker = _target(world, fault)
    worker.slowdown_factor = 5.0 * worker.usual_factor
    await asyncio.sleep(fault.for_s)
    worker.slowdown_factor = worker.usual_factor
