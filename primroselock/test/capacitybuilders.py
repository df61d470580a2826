"""Builders for tests of workers whose capacity shrinks and grows."""

import asyncio
from collections import abc
import contextlib
import typing
from unittest import mock

from primroselock.decisions import fleet
from primroselock import jobgraph
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import capacityhistory
from primroselock.test import fleetbuilders

LONG_MS: typing.Final = 60_000
LIMIT_S: typing.Final = 3.0
"""The longest time that work may wait beside free capacity."""

AT_ONCE_S: typing.Final = 0.5
GRACE_S: typing.Final = capacityhistory.CONTACT_S + capacityhistory.HEARTBEAT_S
"""How long a capacity that is gone counts for starts."""

FULL: typing.Final = fleetbuilders.WORKER_CAPACITY
HALF: typing.Final = jobgraph.Resources(32000, 131072, 4)
NOTHING: typing.Final = jobgraph.Resources()

Scenario = abc.Callable[
    [fleetbuilders.World], abc.Coroutine[typing.Any, typing.Any, None]
]


def run_scenario(scenario: Scenario, workers: int = 4) -> None:
    """Run a scenario once the node holds the shard."""

    async def run_settled(world: fleetbuilders.World) -> None:
        await asyncio.sleep(1.0)
        await scenario(world)

    fleetbuilders.run_with_node(run_settled, workers=workers)


def submit(
    world: fleetbuilders.World,
    name: str,
    tasks: int,
    accelerators: int,
    **changes: typing.Any,
) -> None:
    """Submit a long job of one step."""
    queue = changes.pop('queue', 'bulk')
    step = fleetbuilders.build_step(tasks, accelerators, LONG_MS, **changes)
    world.submit(fleetbuilders.build_graph(name, step, queue=queue))


def count_runs(
    world: fleetbuilders.World, name: str, worker_id: str = ''
) -> int:
    """Return how many runs of a job are in progress, on one worker or all."""
    return sum(
        run.task.job_id == name
        for worker in world.fleet.workers_by_id.values()
        if worker_id in ('', worker.entry.id)
        for run in worker.runs
    )


def find_board(world: fleetbuilders.World) -> fleet.ShardBoard:
    """Return the blackboard of the holder."""
    session = world.find_shard_holder().holder._session
    assert session is not None
    return session._board


def find_placed_id(world: fleetbuilders.World) -> str:
    """Return a worker on which the holder has placed something."""
    workers = find_board(world).workers_by_id.values()
    return next(worker.id for worker in workers if worker.members)


async def lose_entries(node: fleetbuilders.TestNode) -> None:
    """Let a node read the workers' entries no more, once its call ends."""
    node.connectivity.lost_tables.add('servers')
    await asyncio.sleep(1.1)


@contextlib.contextmanager
def slow_placement(
    world: fleetbuilders.World, delay_s: float
) -> abc.Iterator[None]:
    """Let the next write of the progress of jobs take ``delay_s`` more."""
    client = world.find_shard_holder().client
    transact = client.transact
    delays_s = [delay_s]

    async def transact_slowly(transaction: table.Transaction) -> typing.Any:
        prefix = keys.progress('fleet', '')
        if any(put.key.startswith(prefix) for put in transaction.puts):
            await asyncio.sleep(delays_s.pop() if delays_s else 0.0)
        return await transact(transaction)

    with mock.patch.object(client, 'transact', transact_slowly):
        yield
