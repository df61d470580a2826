"""Injected faults against complete nodes in virtual time.

An injection lets one fault begin, waits and ends it; injections are
registered by the kind of the fault.  Faults may overlap.
"""

import asyncio
from collections import abc
import dataclasses
import typing

from primroselock.test import fakefleet
from primroselock.test import fakestore
from primroselock.test import fleetbuilders


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


def list_kinds() -> list[str]:
    """Return the kinds of faults, sorted."""
    return sorted(_injections_by_kind)


async def inject(world: fleetbuilders.World, fault: Fault) -> None:
    """Wait until a fault begins, and return when it has ended."""
    await asyncio.sleep(fault.at)
    await _injections_by_kind[fault.kind](world, fault)


def _target(world: fleetbuilders.World, fault: Fault) -> fakefleet.FakeWorker:
    """Return the worker that a fault affects."""
    workers = list(world.fleet.workers_by_id.values())
    return workers[fault.target % len(workers)]


@injection('cut worker')
async def _partition_worker(world: fleetbuilders.World, fault: Fault) -> None:
    worker = _target(world, fault)
    worker.is_partitioned = True
    await asyncio.sleep(fault.for_s)
    worker.is_partitioned = False


@injection('crash worker')
async def _crash_worker(world: fleetbuilders.World, fault: Fault) -> None:
    worker = _target(world, fault)
    if worker.is_down:
        return
    world.fleet.crash(worker)
    await asyncio.sleep(fault.for_s)
    world.fleet.restart(worker)


@injection('late answers')
async def _delay_orders(world: fleetbuilders.World, fault: Fault) -> None:
    workers = list(world.fleet.workers_by_id.values())
    for worker in workers:
        worker.delayed_order_share = 0.2
    await asyncio.sleep(fault.for_s)
    for worker in workers:
        worker.delayed_order_share = 0.0


@injection('kill holder')
async def _kill_holder(world: fleetbuilders.World, fault: Fault) -> None:
    holders = [n for n in world.nodes if n.holder.lease.has_shard]
    for node in holders[:1]:
        # Removed first: another fault may end the same node meanwhile.
        world.nodes.remove(node)
        await node.kill()
        await asyncio.sleep(min(fault.for_s, 1.0))
        world.add_node(node.settings.process.vm_id)


@injection('holder loses store')
async def _disconnect_holder(world: fleetbuilders.World, fault: Fault) -> None:
    holders = [n for n in world.nodes if n.holder.lease.has_shard]
    for node in holders[:1]:
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
    holders = [n for n in world.nodes if n.holder.lease.has_shard]
    for node in holders[:1]:
        world.nodes.remove(node)
        await node.holder.hand_over()
        await node.kill()
        world.add_node(node.settings.process.vm_id)
