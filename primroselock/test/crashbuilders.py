"""Tasks that crash each worker that starts them, and crashes of workers.

A crashed worker is back after some seconds: under its id as another
incarnation, with another address if asked for, or under another id at the
same address, where calls for the earlier id are refused.  Each start of such
a task beyond the allowed number is recorded as a violation of the fake fleet.
"""

import asyncio
from collections import abc
import dataclasses
import enum
import random
import typing

from primroselock import clock
from primroselock.decisions import fleetworkers
from primroselock import jobgraph
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

_CRASHES_BEFORE_LIMIT: typing.Final = 3
_MAX_STARTS_AFTER: typing.Final = 2
"""Starts of a task after that many crashes under it, by the users' rule."""

_SILENCE_BEFORE_REMOVAL_S: typing.Final = 3.0


class Return(enum.Enum):
    """How a crashed worker comes back."""

    SAME_ADDRESS = 'same id and address'
    NEW_ADDRESS = 'same id, another address'
    NEW_ID = 'another id, same address'


@dataclasses.dataclass(slots=True)
class TaskCounts:
    """Starts of a task, and crashes of workers on which it ran."""

    starts: int = 0
    crashes: int = 0
    starts_after_limit: int = 0


class CrashingTasks:
    """Crashes the workers of a world that start certain tasks.

    ``after_s_by_job_id`` is for how long the tasks of a job are at work when
    their worker crashes; 0 means before it answers the start.  Of a job in
    ``crashing_index_by_job_id`` only that task of each step does so.  A worker
    is back after ``down_s``, drawn from this range of seconds.
    """

    def __init__(
        self,
        world: fleetbuilders.World,
        returns: Return = Return.SAME_ADDRESS,
        down_s: tuple[float, float] = (2.0, 4.0),
        seed: int = 0,
        log: faultbuilders.FaultLog | None = None,
    ) -> None:
        self.after_s_by_job_id: dict[str, float] = {}
        self.crashing_index_by_job_id: dict[str, int] = {}
        self.counts_by_task: dict[jobgraph.TaskName, TaskCounts] = {}
        self.crashed_worker_ids: list[str] = []
        self._world = world
        self._returns = returns
        self._down_s = down_s
        self._random = random.Random(seed)
        self._log = log or faultbuilders.FaultLog()
        world.fleet.begin_hooks.append(self._on_begin)

    def submit(self, after_s: float, *steps: jobgraph.Step) -> None:
        """Submit the job 'deadly', whose tasks crash their workers."""
        self.after_s_by_job_id['deadly'] = after_s
        step = fleetbuilders.build_step(1, 1, 5000)
        graph = fleetbuilders.build_graph('deadly', *(steps or (step,)))
        self._world.submit(graph)

    def most_starts(self, job_id: str) -> int:
        """Return how often the task of a job was started that was most."""
        return max(
            (
                counts.starts
                for task, counts in self.counts_by_task.items()
                if task.job_id == job_id
            ),
            default=0,
        )

    def _on_begin(
        self, worker: simulatedworker.FakeWorker, live: simulatedworker.LiveRun
    ) -> None:
        task = live.run.task
        after_s = self.after_s_by_job_id.get(task.job_id)
        only = self.crashing_index_by_job_id.get(task.job_id, task.index)
        if after_s is None or task.index != only:
            return
        counts = self.counts_by_task.setdefault(task, TaskCounts())
        counts.starts += 1
        if counts.crashes >= _CRASHES_BEFORE_LIMIT:
            counts.starts_after_limit += 1
            if counts.starts_after_limit > _MAX_STARTS_AFTER:
                self._world.fleet.violations.append(
                    f'{task} crashed {counts.crashes} workers and is '
                    f'started for the {counts.starts}th time'
                )
        if after_s:
            self._world.fleet.spawn(self._crash_later(worker, live, after_s))
        else:
            self._crash(worker)

    async def _crash_later(
        self,
        worker: simulatedworker.FakeWorker,
        live: simulatedworker.LiveRun,
        after_s: float,
    ) -> None:
        await asyncio.sleep(after_s)
        if worker.runs.get(live.run) is live:
            self._crash(worker)

    def _crash(self, worker: simulatedworker.FakeWorker) -> None:
        for run in worker.runs:
            counts = self.counts_by_task.get(run.task)
            if counts is not None:
                counts.crashes += 1
        self.crashed_worker_ids.append(worker.entry.id)
        down_s = self._random.uniform(*self._down_s)
        self._world.fleet.crash(worker)
        self._world.fleet.spawn(self._return_worker(worker, down_s))

    async def _return_worker(
        self, worker: simulatedworker.FakeWorker, down_s: float
    ) -> None:
        number = list(self._world.fleet.workers_by_id).index(worker.entry.id)
        fault = faultbuilders.Fault('task crashes worker', 0.0, down_s, number)
        self._log.begin(fault, clock.monotonic())
        await _return(self._world, worker, down_s, self._returns)
        self._log.end(fault, clock.monotonic())

    def list_given_up(self) -> list[str]:
        """Return the jobs that failed though none of their tasks did.

        Jobs that crash workers or always fail are left out, as are those of
        which a task, or a gang, failed as often as its queue allows.
        """
        fleet = self._world.fleet
        explained = fleet.failing_job_ids | self.after_s_by_job_id.keys()
        for job_id, failures in fleet.record.list_failures():
            queue = self._world.queue_configuration.find_by_name(
                fleet.graphs_by_id[job_id].queue
            )
            if queue is None or failures >= queue.max_attempts:
                explained = explained | {job_id}
        return [
            job_id
            for job_id in fleet.graphs_by_id
            if job_id not in explained
            and self._world.state(job_id) == 'failed'
        ]


Scenario = abc.Callable[
    [fleetbuilders.World, CrashingTasks],
    abc.Coroutine[typing.Any, typing.Any, None],
]
Disturbance = abc.Callable[
    [fleetbuilders.World], abc.Coroutine[typing.Any, typing.Any, None]
]


def run(
    scenario: Scenario,
    workers: int = 8,
    returns: Return = Return.SAME_ADDRESS,
    down_s: tuple[float, float] = (2.0, 4.0),
    seed: int = 0,
    nodes: int = 1,
) -> None:
    """Run a scenario on a world; fail if a violation was recorded."""

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = fleetbuilders.World(seed, workers)
        crashing = CrashingTasks(world, returns, down_s, seed)
        for number in range(nodes):
            world.add_node(f'entry-{number}')
        await asyncio.sleep(2.0)
        try:
            await scenario(world, crashing)
        finally:
            await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])

    virtualtime.run(run_all)


async def after_each_crash(
    world: fleetbuilders.World,
    crashing: CrashingTasks,
    disturb: Disturbance,
) -> None:
    """Disturb the world 0.2 s, then 2 s, after crashes, in turn."""
    seen = 0
    while True:
        await asyncio.sleep(0.05)
        if len(crashing.crashed_worker_ids) > seen:
            seen = len(crashing.crashed_worker_ids)
            await asyncio.sleep(2.0 if seen % 2 else 0.2)
            await disturb(world)


async def kill_holder(world: fleetbuilders.World) -> None:
    """Kill the node that holds the shard, and start another in its place."""
    for node in world.nodes:
        if node.holder.lease.has_shard:
            world.nodes.remove(node)
            await node.kill()
            world.add_node(node.settings.process.vm_id)
            return


async def hang_store(world: fleetbuilders.World) -> None:
    """Let no node reach the store for 3 s, and end the holder then."""
    nodes = list(world.nodes)
    for node in nodes:
        node.connectivity.is_unresponsive = True
    await asyncio.sleep(3.0)
    await kill_holder(world)
    for node in nodes:
        node.connectivity.is_unresponsive = False


async def crash_worker(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    down_s: float,
    returns: Return = Return.SAME_ADDRESS,
) -> None:
    """Crash a worker; it is back after ``down_s`` seconds."""
    if worker.is_down:
        return
    world.fleet.crash(worker)
    await _return(world, worker, down_s, returns)


async def _return(
    world: fleetbuilders.World,
    worker: simulatedworker.FakeWorker,
    down_s: float,
    returns: Return,
) -> None:
    """Let a crashed worker come back after ``down_s`` seconds."""
    await asyncio.sleep(down_s)
    if returns is Return.NEW_ID:
        await _replace(world, worker)
        return
    entry = worker.entry
    address = entry.address
    if returns is Return.NEW_ADDRESS:
        address = f'{entry.id}:{worker.boot + 1}'
    world.fleet.restart(worker, address=address)
    if entry.id in world.entries_by_id:
        world.write_entry(worker.entry)


async def submit_crashing_jobs(
    world: fleetbuilders.World,
    crashing: CrashingTasks,
    duration_s: float,
    source: random.Random,
) -> None:
    """Submit jobs for ``duration_s`` whose tasks crash their workers."""
    until = clock.monotonic() + duration_s
    number = 0
    while True:
        await asyncio.sleep(source.uniform(2.0, 12.0))
        if clock.monotonic() >= until:
            return
        name = f'crashing-{number:03}'
        number += 1
        step = fleetbuilders.build_step(
            source.choice((1, 1, 1, 2, 4)),
            source.choice((1, 2, 8)),
            4_000,
            gang=source.random() < 0.3,
        )
        crashing.after_s_by_job_id[name] = source.choice((0.0, 0.3, 2.0))
        queue = source.choice(('urgent', 'batch', 'bulk'))
        world.submit(fleetbuilders.build_graph(name, step, queue=queue))


async def lose_power(
    world: fleetbuilders.World, rack: str, returns: Return
) -> None:
    """Crash all workers of a rack; they are back one after another."""
    await asyncio.gather(
        *(
            crash_worker(world, worker, 2.0 + number, returns)
            for number, worker in enumerate(
                worker
                for worker in list(world.fleet.workers_by_id.values())
                if worker.entry.rack == rack and worker.entry.address
            )
        )
    )


async def _replace(
    world: fleetbuilders.World, worker: simulatedworker.FakeWorker
) -> None:
    """Let another worker answer at the address of one that has crashed."""
    old: fleetworkers.WorkerEntry = worker.entry
    # Calls reach what answers there, and are refused for the earlier id.
    worker.is_down = False
    worker.entry = dataclasses.replace(old, address='')
    base, _, life = old.id.partition('-')
    new_id = f'{base}-{int(life or 1) + 1}'
    world.add_worker(dataclasses.replace(old, id=new_id, boot=worker.boot + 1))
    await asyncio.sleep(_SILENCE_BEFORE_REMOVAL_S)
    world.delete_entry(old.id)
