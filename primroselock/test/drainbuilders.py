"""Workers that drain, leave as planned and start again.

A worker says in its entry that it drains, goes on for a while and ends; its
entry goes with it.  It is back as another incarnation, whose first entry may
come after its first answers.
"""

import asyncio
from collections import abc
import dataclasses
import typing

from primroselock.decisions import fleetworkers
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

REMAINING_S: typing.Final = 2.0
WORK_MS: typing.Final = 9000
_LEFT_S: typing.Final = 3.5

Disturbance = abc.Callable[
    [fleetbuilders.World], abc.Coroutine[typing.Any, typing.Any, None]
]


async def _do_nothing(world: fleetbuilders.World) -> None:
    """Disturb nothing."""


@dataclasses.dataclass(frozen=True)
class Leave:
    """How a worker leaves and is back.

    It goes on for ``drain_s``, of which it says at most ``REMAINING_S``, and
    is away for ``away_s``; its first entry comes ``entry_lag_s`` after its
    start.  ``at_work``, ``at_drain``, ``at_leave``, ``at_return`` and
    ``at_entry`` disturb the world before it says that it drains, when it has
    said so, has left, is back without an entry, and with one.  It is back at
    another address with ``has_new_address``, or as another worker at its
    address with ``has_new_id``.  Its entry goes ``entry_stays_s`` after it has
    left.
    """

    drain_s: float = 2.1
    away_s: float = 3.0
    entry_lag_s: float = 2.0
    at_work: Disturbance = _do_nothing
    at_drain: Disturbance = _do_nothing
    at_leave: Disturbance = _do_nothing
    at_return: Disturbance = _do_nothing
    at_entry: Disturbance = _do_nothing
    has_new_address: bool = False
    has_new_id: bool = False
    entry_stays_s: float = 0.0


def say_draining(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    remaining_s: float | None = REMAINING_S,
) -> None:
    """Write the entry of a worker that drains."""
    world.write_entry(
        dataclasses.replace(
            worker.entry, is_draining=True, remaining_s=remaining_s
        )
    )


async def wait_for_start(
    worker: simulatedworker.FakeWorker, timeout_s: float = 30.0
) -> None:
    """Wait until something runs on a worker."""
    async with asyncio.timeout(timeout_s):
        while not worker.runs:
            await asyncio.sleep(0.01)


async def leave(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    how: Leave,
) -> simulatedworker.FakeWorker:
    """Drain a worker in the middle of its work; return what is back."""
    await wait_for_start(worker)
    await how.at_work(world)
    await asyncio.sleep(WORK_MS / 1000 - _LEFT_S)
    say_draining(world, worker, min(REMAINING_S, how.drain_s))
    await how.at_drain(world)
    await asyncio.sleep(how.drain_s)
    world.fleet.crash(worker, is_planned=True)
    if how.entry_stays_s:
        world.fleet.spawn(_remove_later(world, worker.entry, how))
    else:
        world.delete_entry(worker.entry.id)
    await how.at_leave(world)
    await asyncio.sleep(how.away_s)
    if how.has_new_id:
        return await _replace(world, worker, how)
    address = worker.entry.address
    if how.has_new_address:
        address = f'{worker.entry.id}:{worker.boot + 1}'
    world.fleet.restart(worker, address=address)
    await how.at_return(world)
    await asyncio.sleep(how.entry_lag_s)
    world.write_entry(worker.entry)
    await how.at_entry(world)
    return worker


async def _remove_later(
    world: fleetbuilders.World, entry: fleetworkers.WorkerEntry, how: Leave
) -> None:
    await asyncio.sleep(how.entry_stays_s)
    current = world.entries_by_id.get(entry.id)
    if current is not None and current.boot == entry.boot:
        world.delete_entry(entry.id)


async def _replace(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    how: Leave,
) -> simulatedworker.FakeWorker:
    """Let another worker answer at the address of one that has left."""
    old = worker.entry
    worker.is_down = False
    worker.entry = dataclasses.replace(old, address='')
    new = dataclasses.replace(old, id=f'{old.id}x', boot=worker.boot + 1)
    replacing = world.fleet.add(new)
    await how.at_return(world)
    await asyncio.sleep(how.entry_lag_s)
    world.write_entry(new)
    await how.at_entry(world)
    return replacing


def run(
    scenario: fleetbuilders.NodeScenario,
    workers: int = 1,
    nodes: int = 3,
    reports_each_change: bool = True,
) -> None:
    """Run a scenario on a world; fail if a violation was recorded."""

    run_in_time(lambda virtual: scenario, workers, nodes, reports_each_change)


def run_in_time(
    build: abc.Callable[
        [virtualtime.VirtualClock], fleetbuilders.NodeScenario
    ],
    workers: int = 1,
    nodes: int = 3,
    reports_each_change: bool = True,
) -> None:
    """Run the scenario that is built for a virtual clock, likewise."""

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = fleetbuilders.World(0, workers)
        world.store.reports_each_change = reports_each_change
        for number in range(nodes):
            world.add_node(f'entry-{number}')
        await asyncio.sleep(2.0)
        try:
            await build(virtual)(world)
        finally:
            await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])

    virtualtime.run(run_all)


def list_crashes(
    world: fleetbuilders.World, job_id: str
) -> list[jobgraph.Crash]:
    """Return the crashes that are stored for a job."""
    progress = world.progress(job_id)
    if progress is None:
        return []
    return [crash for group in progress.groups for crash in group.crashes]
