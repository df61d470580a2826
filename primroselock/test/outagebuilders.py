"""Outages of the store beside deaths of the shard's holder, in virtual time.

A :class:`Play` has a run on each worker for all its time.  Its scenario lets
an outage begin and end, and holders die; what is counted are the runs whose
leases lapse and the calls that the nodes make.
"""

import asyncio
from collections import abc
import dataclasses
import random
import typing

from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

LEASE_S: typing.Final = 6.0
OUTAGE_S: typing.Final = 4.2
WORKERS: typing.Final = 48
_SETTINGS: typing.Final = f'[fleet]\nrun_lease_s = {LEASE_S}\n'
_NODES: typing.Final = 5
_POLL_S: typing.Final = 2.0
_WORK_MS: typing.Final = 120_000
_CALM_S: typing.Final = 6.0
_AFTER_S: typing.Final = 12.0
"""Time after a scenario: a lease that has not lapsed by then will not."""


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What a play showed; calls are those of all nodes, in all its time."""

    lapsed: int
    lapsed_tasks: frozenset[jobgraph.TaskName]
    starts: int
    polls: int
    extensions: int
    store_calls: int
    lapses_by_cause: dict[str, int]


class Play:
    """A cluster whose workers are polled at times that are spread evenly."""

    def __init__(self, seed: int) -> None:
        self.world = fleetbuilders.World(seed, WORKERS)
        self.world.node_hooks.append(self._add_node)
        self._nodes: list[fleetbuilders.TestNode] = []
        self._is_down = False
        self._is_silent = False

    async def begin(self) -> None:
        """Start the nodes and a run on each worker."""
        for number in range(_NODES):
            self.world.add_node(f'entry-{number}', _SETTINGS)
        await asyncio.sleep(2.0)
        for number in range(WORKERS):
            step = fleetbuilders.build_step(1, 8, _WORK_MS)
            self.world.submit(fleetbuilders.build_graph(f'j{number}', step))
            await asyncio.sleep(_POLL_S / WORKERS)
        await asyncio.sleep(_CALM_S)
        if self.world.fleet.starts != WORKERS:
            raise AssertionError('not every worker has a run')

    def _add_node(self, node: fleetbuilders.TestNode) -> None:
        self._nodes.append(node)
        self._connect(node)

    def _connect(self, node: fleetbuilders.TestNode) -> None:
        """Let a node see the store as all others do."""
        connectivity = node.connectivity
        connectivity.refuses_calls = self._is_down and not self._is_silent
        connectivity.is_unresponsive = self._is_down and self._is_silent

    def begin_outage(self, is_silent: bool = False) -> None:
        """Let the store refuse all calls, or leave them without answers."""
        self._is_down, self._is_silent = True, is_silent
        for node in self.world.nodes:
            self._connect(node)

    def end_outage(self) -> None:
        """Let the store serve all nodes again."""
        self._is_down = False
        for node in self.world.nodes:
            self._connect(node)

    async def kill_holder(self) -> None:
        """Kill the holder, if there is one, else a node; another starts."""
        nodes = self.world.nodes
        holders = [node for node in nodes if node.holder.lease.has_shard]
        killed = (holders or nodes)[0]
        nodes.remove(killed)
        await killed.kill()
        self.world.add_node(f'{killed.settings.process.vm_id}x', _SETTINGS)

    def read_lease_ends(self) -> dict[jobgraph.TaskName, float]:
        """Return when the lease of each task that runs ends."""
        return {
            run.task: worker.lease_end
            for worker in self.world.fleet.workers_by_id.values()
            for run in worker.runs
        }

    def find_outcome(self) -> Outcome:
        """Return what has been counted so far."""
        fleet = self.world.fleet
        return Outcome(
            fleet.end_counts.get(orders.EndCause.LEASE_EXPIRED, 0),
            frozenset(fleet.lapsed_tasks),
            fleet.starts,
            self._count('looks'),
            self._count('lease_extensions'),
            sum(node.client.calls for node in self._nodes),
            self._find_lapses(),
        )

    def _count(self, name: str) -> int:
        return sum(
            node.counters.counts_by_name.get(name, 0) for node in self._nodes
        )

    def _find_lapses(self) -> dict[str, int]:
        """Return what the gauges of the holder say of lapses, by cause."""
        gauges = self.world.find_shard_holder().counters.gauges_by_name
        prefix = 'runs_lapsed{cause="'
        return {
            name.removeprefix(prefix).removesuffix('"}'): int(value)
            for name, value in gauges.items()
            if name.startswith(prefix) and value
        }


Scenario = abc.Callable[[Play], abc.Coroutine[typing.Any, typing.Any, None]]


def play(scenario: Scenario, seed: int = 0) -> Outcome:
    """Run a scenario beside running work.

    Raises :class:`AssertionError` if a fake worker recorded a violation.
    """
    # Followers draw their pauses from the shared generator.
    random.seed(seed)

    async def run_all(virtual: virtualtime.VirtualClock) -> Outcome:
        current = Play(seed)
        await current.begin()
        await scenario(current)
        await asyncio.sleep(_AFTER_S)
        outcome = current.find_outcome()
        await current.world.close()
        if current.world.fleet.violations:
            raise AssertionError(current.world.fleet.violations[:3])
        return outcome

    return virtualtime.run(run_all)


def build_outage(
    *kills_at: float, for_s: float = OUTAGE_S, is_silent: bool = False
) -> Scenario:
    """Return a scenario: an outage, and kills of the holder.

    ``kills_at`` are in seconds from the beginning of the outage; some may be
    past its end.
    """

    async def scenario(current: Play) -> None:
        async def kill(at: float) -> None:
            await asyncio.sleep(at)
            await current.kill_holder()

        async def end() -> None:
            await asyncio.sleep(for_s)
            current.end_outage()

        current.begin_outage(is_silent)
        await asyncio.gather(end(), *(kill(at) for at in kills_at))

    return scenario


async def stay_calm(current: Play) -> None:
    """Let time pass without a fault."""
    await asyncio.sleep(OUTAGE_S)


async def cut_holder_off(current: Play) -> None:
    """Cut the holder off from the store, which serves the others."""
    holder = current.world.find_shard_holder()
    holder.connectivity.refuses_calls = True
    await asyncio.sleep(OUTAGE_S)
    holder.connectivity.refuses_calls = False
