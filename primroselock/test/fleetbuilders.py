"""Builders and a simulated cluster for tests of nodes.

A :class:`World` combines an in-memory store, fake workers and nodes
without sockets; :func:`run_scenario` runs a scenario on it in virtual time.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import msgspec

from primroselock import boardrows
from primroselock import clock
from primroselock.decisions import fleetworkers
from primroselock import graphrows
from primroselock import intake
from primroselock import jobgraph
from primroselock import metrics
from primroselock import options
from primroselock import queues
from primroselock import shardholder
from primroselock.store import keys
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import builders
from primroselock.test import fakefeed
from primroselock.test import fakefleet
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

NODE_TEXT: typing.Final = """
[scheduler]
shard_lease_s = 1.5
shard_renew_interval_s = 0.35
"""
BOOT_TEXT: typing.Final = """
node=front-1
zone=a
ip=127.0.0.1
listen.front=127.0.0.1:8521
listen.ready=127.0.0.1:8523
port_range=7000,7015
platform.address=127.0.0.1:8524
platform.writes_per_s=600
bounds.hold_max_ms=10000
a.field.that.is.new=1
"""

URGENT: typing.Final = queues.Queue(
    'urgent', 'host', '/urgent/', 'svc', 0, 4, 1.5, 0.25
)
BULK: typing.Final = queues.Queue(
    'bulk', 'host', '/bulk/', 'svc', 2, 4, 3.0, 3.0
)
BATCH: typing.Final = queues.Queue(
    'batch', 'host', '/batch/', 'svc', 1, 4, 3.0, 1.0
)
ADVISED: typing.Final = queues.Queue(
    'advised',
    'host',
    '/advised/',
    'svc',
    1,
    4,
    3.0,
    3.0,
    advice=queues.AdviceLatency(0.1, 0.01),
)
QUEUE_CONFIGURATION: typing.Final = queues.QueueConfiguration(
    1,
    (URGENT, BATCH, BULK, ADVISED),
    {
        'signs': queues.QueueAccount('signs', frozenset({'k1'}), 16),
        'merch': queues.QueueAccount('merch', frozenset({'k2'}), 8),
    },
)
WORKER_CAPACITY: typing.Final = jobgraph.Resources(64000, 262144, 8)


def build_node_settings(
    text: str = '', vm_id: str = 'entry-1'
) -> options.Settings:
    """Return a node's settings; ``text`` adds sections in INI syntax."""
    process = builders.SETTINGS_TEXT.replace('entry-1', vm_id)
    return builders.parse_settings(process + NODE_TEXT + text)


def build_entry(
    worker_id: str, rack: str = 'r0', zone: str = 'a', **changes: typing.Any
) -> fleetworkers.WorkerEntry:
    """Return the entry of a worker with eight accelerators.

    ``changes`` are fields of :class:`fleetworkers.WorkerEntry` to replace.
    """
    entry = fleetworkers.WorkerEntry(
        worker_id,
        'svc',
        f'{worker_id}:1',
        zone,
        rack,
        ('kind', rack),
        WORKER_CAPACITY,
        boot=1,
    )
    return dataclasses.replace(entry, **changes)


def build_step(
    tasks: int = 1,
    accelerators: int = 1,
    expected_ms: int = 1000,
    cpu_millis: int = 1000,
    **changes: typing.Any,
) -> jobgraph.Step:
    """Return a step whose tasks each need the given resources."""
    need = jobgraph.Resources(cpu_millis, 1000, accelerators)
    return jobgraph.Step(tasks, need, expected_ms, **changes)


def build_graph(
    job_id: str,
    *steps: jobgraph.Step,
    queue: str = 'bulk',
    account: str = 'signs',
    accepted_ms: int = 0,
    **changes: typing.Any,
) -> jobgraph.JobGraph:
    """Return a job; without ``steps`` it has one step of one task."""
    return jobgraph.JobGraph(
        job_id,
        account,
        queue,
        'payload',
        steps or (build_step(),),
        accepted_ms,
        **changes,
    )


def encode_entry(entry: fleetworkers.WorkerEntry) -> bytes:
    """Return the value of an entry's row as a worker of the platform does."""
    capacity = entry.capacity
    return msgspec.json.encode(
        {
            'service': entry.service,
            'address': entry.address,
            'zone': entry.zone,
            'state': 'draining' if entry.is_draining else 'ready',
            'capacity': {
                'cpu': capacity.cpu_millis,
                'mem_mb': capacity.memory_mb,
                'gpus': capacity.accelerators,
            },
            'labels': list(entry.labels),
            'born': entry.boot,
        }
    )


class _JsonWorkerRows:
    """Reads entries of workers from rows that the tests write as JSON."""

    name = 'servers'

    def read_entry(self, row: table.Row) -> fleetworkers.WorkerEntry | None:
        """Return the worker entry in a row, or None if it is invalid."""
        try:
            return msgspec.json.decode(
                row.value, type=fleetworkers.WorkerEntry
            )
        except msgspec.MsgspecError:
            return None

    def parse_worker_id(self, key: str) -> str:
        """Return the id of the worker whose row was deleted."""
        return key.removeprefix('servers/')


class TestNode:
    """A node without sockets: an intake and a shard holder on fakes."""

    __test__ = False

    def __init__(
        self,
        name: str,
        store: fakefeed.FeedStore,
        run_client: fakefleet.FakeFleet,
        settings_text: str = '',
        worker_rows: boardrows.WorkerRowReader | None = None,
    ) -> None:
        self.settings = build_node_settings(settings_text, name)
        self.connectivity = fakefeed.Connectivity()
        self.client = fakefeed.FeedClient(store, self.connectivity)
        self.follower = tablefollower.TableFollower(self.client, 'shard', 1.0)
        self.counters = metrics.Metrics()
        self.intake = intake.Intake(
            self.settings, self.client, self.follower, self.counters
        )
        self.holder = shardholder.ShardHolder(
            self.settings,
            self.client,
            self.follower,
            worker_rows or _JsonWorkerRows(),
            run_client,
            run_client.advice_client,
            self.counters,
        )
        self.configuration_age_s = 0.0
        self.set_queue_configuration(QUEUE_CONFIGURATION)
        self._tasks: list[asyncio.Task[None]] = []

    def set_queue_configuration(
        self, current: queues.QueueConfiguration
    ) -> None:
        """Apply a version of the queue configuration."""
        self.intake.set_queue_configuration(current, self._confirmed_at)
        self.holder.set_queue_configuration(current, self._confirmed_at)

    def _confirmed_at(self) -> float:
        return clock.monotonic() - self.configuration_age_s

    def add_task(self, task: asyncio.Task[None]) -> None:
        """Let ``task`` end with the node."""
        self._tasks.append(task)

    def start(self) -> None:
        """Start the loops of the follower and the holder."""
        self._tasks += [
            asyncio.create_task(self.follower.run()),
            asyncio.create_task(self.holder.run()),
        ]

    async def kill(self) -> None:
        """End the node at once, without a handover."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class World:
    """A simulated cluster: a store, fake workers and nodes.

    ``entries_by_id`` holds the entries of the workers that are listed.
    With ``worker_rows`` the nodes read the workers' entries as on the
    platform, and they are written so.  ``settings_text`` is that of nodes
    that start without one of their own.
    """

    __test__ = False

    def __init__(
        self,
        seed: int = 0,
        workers: int = 4,
        worker_rows: boardrows.WorkerRowReader | None = None,
    ) -> None:
        self._worker_rows = worker_rows
        self.store = fakefeed.FeedStore()
        self.fleet = fakefleet.FakeFleet(seed)
        self.nodes: list[TestNode] = []
        self.settings_text = ''
        self.queue_configuration = QUEUE_CONFIGURATION
        self._note_services(QUEUE_CONFIGURATION.queues)
        self.entries_by_id: dict[str, fleetworkers.WorkerEntry] = {}
        self.cancelled_ids: set[str] = set()
        self.node_hooks: list[abc.Callable[[TestNode], None]] = []
        """Called with each node that starts."""

        self.write_configuration: (
            abc.Callable[[queues.QueueConfiguration], None] | None
        ) = None
        """Writes versions for nodes that follow them; else they are set."""

        for number in range(workers):
            self.add_worker(build_entry(f'w{number}', f'r{number // 4}'))
        self._task = asyncio.create_task(self.fleet.run())

    def add_worker(
        self, entry: fleetworkers.WorkerEntry
    ) -> simulatedworker.FakeWorker:
        """Add a worker and write its entry."""
        self.write_entry(entry)
        return self.fleet.add(entry)

    def find_busy_worker(self) -> simulatedworker.FakeWorker:
        """Return the first worker that has a run."""
        workers = self.fleet.workers_by_id.values()
        return next(worker for worker in workers if worker.runs)

    def find_shard_holder(self) -> TestNode:
        """Return the node that holds the shard."""
        return next(n for n in self.nodes if n.holder.lease.has_shard)

    def write_entry(self, entry: fleetworkers.WorkerEntry) -> None:
        """Write the entry that a worker publishes."""
        self.entries_by_id[entry.id] = entry
        encode = encode_entry if self._worker_rows else msgspec.json.encode
        self.store.put(f'servers/{entry.id}', encode(entry))

    def set_capacity(
        self, worker_id: str, capacity: jobgraph.Resources
    ) -> None:
        """Change the capacity of a worker; its entry, if any, shows it."""
        worker = self.fleet.workers_by_id[worker_id]
        worker.capacity_history.leave(worker.entry.capacity, clock.monotonic())
        worker.entry = dataclasses.replace(worker.entry, capacity=capacity)
        entry = self.entries_by_id.get(worker_id)
        if entry is not None:
            self.write_entry(dataclasses.replace(entry, capacity=capacity))

    def restart_worker(
        self,
        worker: simulatedworker.FakeWorker,
        clock_s: float = 0.0,
        **changes: typing.Any,
    ) -> None:
        """Restart a worker and write the entry of its new incarnation.

        ``changes`` are fields of its entry that differ, if any.
        """
        self.fleet.restart(worker, clock_s, **changes)
        self.write_boot(worker)

    def write_boot(self, worker: simulatedworker.FakeWorker) -> None:
        """Write what a worker's incarnation is to its entry, if any."""
        known = self.entries_by_id.get(worker.entry.id)
        if known is not None:
            current = worker.entry
            self.write_entry(
                dataclasses.replace(
                    known,
                    boot=worker.boot,
                    address=current.address,
                    service=current.service,
                    rack=current.rack,
                    labels=current.labels,
                    capacity=current.capacity,
                )
            )

    def delete_entry(self, worker_id: str) -> None:
        """Delete the entry of a worker: it is no longer listed."""
        self.entries_by_id.pop(worker_id, None)
        self.store.delete(f'servers/{worker_id}')

    def set_queue_configuration(
        self, current: queues.QueueConfiguration
    ) -> None:
        """Apply a version of the queue configuration on every node."""
        self._note_services(current.queues)
        self.queue_configuration = current
        if self.write_configuration is not None:
            self.write_configuration(current)
            return
        for node in self.nodes:
            node.set_queue_configuration(current)

    def change_queue_configuration(self, **changes: typing.Any) -> None:
        """Apply the next version, in which some fields differ."""
        current = self.queue_configuration
        self.set_queue_configuration(
            dataclasses.replace(
                current, version=current.version + 1, **changes
            )
        )

    def _note_services(self, known: abc.Iterable[queues.Queue]) -> None:
        """Note to which services a configuration sends queues."""
        for queue in known:
            services = self.fleet.services_by_queue.setdefault(
                queue.name, set()
            )
            services.add(queue.service)

    def add_node(self, name: str, settings_text: str = '') -> TestNode:
        """Start a node; ``settings_text`` adds sections in INI syntax."""
        node = TestNode(
            name,
            self.store,
            self.fleet,
            settings_text or self.settings_text,
            self._worker_rows,
        )
        node.set_queue_configuration(self.queue_configuration)
        self.nodes.append(node)
        for hook in self.node_hooks:
            hook(node)
        node.start()
        return node

    def submit(self, graph: jobgraph.JobGraph) -> None:
        """Store a job as an intake would, accepted now unless it says when."""
        if not graph.accepted_ms:
            graph = msgspec.structs.replace(
                graph, accepted_ms=int(clock.wall() * 1000)
            )
        if graph.accepted_queue is not None:
            self._note_services([graph.accepted_queue])
        self.fleet.graphs_by_id[graph.id] = graph
        self.store.put(keys.graph('fleet', graph.id), graphrows.encode(graph))

    def cancel(self, job_id: str) -> None:
        """Store a request to cancel a job."""
        self.cancelled_ids.add(job_id)
        self.store.put(keys.cancellation('fleet', job_id), b'signs')

    def progress(self, job_id: str) -> jobgraph.JobProgress | None:
        """Return the stored progress of a job, or None."""
        row = self.store.inner.rows.get(keys.progress('fleet', job_id))
        if row is None:
            return None
        return msgspec.json.decode(row.value, type=jobgraph.JobProgress)

    def state(self, job_id: str) -> str:
        """Return the stored state of a job; without progress it is waiting."""
        progress = self.progress(job_id)
        return progress.state.value if progress else 'waiting'

    async def wait_for(
        self, job_id: str, state: str, timeout_s: float
    ) -> float:
        """Wait until a job's stored state is ``state``; return the seconds.

        Raises :class:`AssertionError` after ``timeout_s``.
        """
        started = clock.monotonic()
        while self.state(job_id) != state:
            if clock.monotonic() - started > timeout_s:
                raise AssertionError(
                    f'state of {job_id} is {self.state(job_id)}, '
                    f'not {state}, after {timeout_s} s'
                )
            await asyncio.sleep(0.01)
        return clock.monotonic() - started

    async def close(self) -> None:
        """End the nodes and the fake workers."""
        for node in self.nodes:
            await node.kill()
        self._task.cancel()


Scenario = abc.Callable[[World], abc.Coroutine[typing.Any, typing.Any, float]]


def run_scenario(
    scenario: Scenario, workers: int, settings_text: str = ''
) -> float:
    """Run a scenario with one node in virtual time; return its result.

    Raises :class:`AssertionError` if a fake worker recorded a violation.
    """

    async def run_all(virtual: virtualtime.VirtualClock) -> float:
        world = World(0, workers)
        world.add_node('entry-1', settings_text)
        await asyncio.sleep(0.5)
        measurement = await scenario(world)
        await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])
        return measurement

    return virtualtime.run(run_all)


NodeScenario = abc.Callable[
    [World], abc.Coroutine[typing.Any, typing.Any, None]
]


def run_with_node(
    scenario: NodeScenario, seed: int = 0, workers: int = 4
) -> None:
    """Run a scenario with one node; fail if a violation was recorded."""

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = World(seed, workers)
        world.add_node('entry-1')
        await scenario(world)
        await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])

    virtualtime.run(run_all)
