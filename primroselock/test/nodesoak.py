"""A soak of node processes on loopback, with callers, signals and faults.

The stand-ins of the store, the workers and the callers run in this process;
each node is a process of its own.  Play a plan with :func:`run`.
"""

import asyncio
from collections import abc
import dataclasses
import functools
import json
import pathlib
import random
import signal
import time
import typing

from primroselock.test import nodesoakplans
from primroselock import waits
from standins import httpmessages
from standins import jobcallers
from standins import nodes
from standins import operatorrows
from standins import rowstore
from standins import runworkers

_FINISH_S: typing.Final = 26.0
"""The platform's bounds: 12 s to recover, 14 s to finish all jobs."""

_MAX_EXTENSION_S: typing.Final = 20.0

_KILL_AFTER_S: typing.Final = 2 * nodes.GRACE_S
_START_TIMEOUT_S: typing.Final = 60.0
_ABANDONING_CALLERS: typing.Final = 3
_POLL_INTERVAL_S: typing.Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What callers and workers saw, and the lives of the processes.

    ``capacities`` are those of the workers, in the order of their changes.
    """

    jobs: list[jobcallers.Job]
    intervals: list[runworkers.Interval]
    lives: list[nodes.Life]
    capacities: list[runworkers.Capacity]


Action = abc.Callable[
    ['Soak', nodesoakplans.Event], abc.Coroutine[typing.Any, typing.Any, None]
]
actions_by_kind: typing.Final[dict[str, Action]] = {}


def action(*kinds: str) -> abc.Callable[[Action], Action]:
    """Register the decorated function for events of these kinds."""

    def register(act: Action) -> Action:
        actions_by_kind.update({kind: act for kind in kinds})
        return act

    return register


class Soak:
    """One run; its logs are written to ``folder``."""

    def __init__(self, plan: nodesoakplans.Plan, folder: pathlib.Path) -> None:
        self.plan = plan
        self.source = random.Random(plan.seed)
        self.store = rowstore.RowStore(self.source)
        self.workers = runworkers.Workers(self.store, self.source)
        self.operator = operatorrows.Operator(self.store)
        self.nodes: list[nodes.Node] = []
        self._folder = folder
        self._callers = [
            jobcallers.Caller(random.Random(f'{plan.seed}/{n}'), self._pick)
            for n in range(plan.callers)
        ]
        if plan.has_crashing_jobs:
            source = random.Random(f'{plan.seed}/crashing')
            self._callers.append(jobcallers.CrashingCaller(source, self._pick))
        if plan.has_abandoned_jobs:
            self._callers += [
                jobcallers.AbandoningCaller(
                    random.Random(f'{plan.seed}/abandoning/{n}'), self._pick
                )
                for n in range(_ABANDONING_CALLERS)
            ]
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[typing.Any]] = []

    def _pick(self) -> tuple[int, str]:
        """Choose a node for a connection, as the load balancer does."""
        ready = [node for node in self.nodes if node.is_in_rotation]
        node = self.source.choice(ready or self.nodes)
        return node.number, node.address

    async def run(self) -> Record:
        """Play the plan; end all processes."""
        try:
            await self._start()
            await self._play()
        finally:
            for node in self.nodes:
                while node.is_started:
                    node.send(signal.SIGKILL)
                    await asyncio.sleep(_POLL_INTERVAL_S)
            for caller in self._callers:
                caller.close()
            for server in self._servers:
                server.close()
            await waits.cancel_tasks(self._tasks)
        jobs = [job for caller in self._callers for job in caller.jobs]
        lives = [life for node in self.nodes for life in node.lives]
        return Record(
            jobs, self.workers.intervals, lives, self.workers.capacities
        )

    async def _start(self) -> None:
        self.operator.write()
        await self.workers.start(self.plan.workers, self._servers)
        self._spawn(self.workers.run())
        for number in range(self.plan.nodes):
            handler = functools.partial(self.store.handle, number)
            address = await httpmessages.serve(handler, self._servers)
            self.nodes.append(nodes.Node(number, address, self._folder))
            self.start_node(self.nodes[-1])
            self._spawn(self.nodes[-1].watch())
        until = time.monotonic() + _START_TIMEOUT_S
        while not all(node.is_in_rotation for node in self.nodes):
            await asyncio.sleep(_POLL_INTERVAL_S)
            if time.monotonic() > until:
                # The checks tell what came of it.
                return

    def _spawn(
        self, work: abc.Coroutine[typing.Any, typing.Any, object]
    ) -> None:
        self._tasks.append(asyncio.create_task(work))

    def start_node(self, node: nodes.Node) -> None:
        """Start a process of a node, unless one runs."""
        if not node.is_started:
            node.is_started = True
            self._spawn(node.run_once())

    async def _play(self) -> None:
        started_at = time.monotonic()
        until = started_at + self.plan.ends_at
        events = [self._act(event, started_at) for event in self.plan.events]
        calling = [caller.run(until) for caller in self._callers]
        await asyncio.gather(*events, *calling)
        self.operator.write()
        for node in self.nodes:
            self.start_node(node)
        finishing = [
            asyncio.create_task(caller.finish()) for caller in self._callers
        ]
        started_at = now = time.monotonic()
        while now - started_at < _FINISH_S + self._lost_s(started_at, now):
            _, waiting = await asyncio.wait(finishing, timeout=1.0)
            if not waiting:
                break
            now = time.monotonic()
        await waits.cancel_tasks(finishing)
        await asyncio.gather(*(self.end_node(node) for node in self.nodes))

    def _lost_s(self, start: float, end: float) -> float:
        """Return for how long a node could not run; at most a bound."""
        lives = [node.life for node in self.nodes if node.life is not None]
        lost_s = [life.lost_s(start, end) for life in lives]
        return min(max(lost_s, default=0.0), _MAX_EXTENSION_S)

    async def _act(self, event: nodesoakplans.Event, from_at: float) -> None:
        await asyncio.sleep(from_at + event.at - time.monotonic())
        await actions_by_kind[event.kind](self, event)

    async def end_node(self, node: nodes.Node) -> None:
        """Send SIGTERM; kill a process that does not end for a long time.

        Whether it kept its grace time is checked afterwards.
        """
        life = node.life
        await node.send_handled(signal.SIGTERM)
        while life is not None and life is node.life:
            await asyncio.sleep(_POLL_INTERVAL_S)
            now, since = time.monotonic(), life.terminated_at
            if now - since > _KILL_AFTER_S + life.lost_s(since, now):
                node.send(signal.SIGKILL)


@action('terminate')
async def _terminate(soak: Soak, event: nodesoakplans.Event) -> None:
    node = soak.nodes[event.target]
    await soak.end_node(node)
    await asyncio.sleep(event.for_s / 3)
    soak.start_node(node)


@action('kill')
async def _kill(soak: Soak, event: nodesoakplans.Event) -> None:
    node = soak.nodes[event.target]
    node.send(signal.SIGKILL)
    await asyncio.sleep(event.for_s / 3)
    soak.start_node(node)


@action('pause')
async def _pause(soak: Soak, event: nodesoakplans.Event) -> None:
    soak.nodes[event.target].send(signal.SIGSTOP)
    await asyncio.sleep(event.for_s)
    soak.nodes[event.target].send(signal.SIGCONT)


@action('reload')
async def _reload(soak: Soak, event: nodesoakplans.Event) -> None:
    node = soak.nodes[event.target]
    node.write_settings(revoke_ms=soak.source.choice((4000, 5000)))
    await node.send_handled(signal.SIGHUP)


@action('configure')
async def _configure(soak: Soak, event: nodesoakplans.Event) -> None:
    number = soak.source.randrange(1, operatorrows.QUEUES)
    name = soak.source.choice((operatorrows.prefix, operatorrows.key))
    soak.operator.toggle(name(number), soak.source.randint(1, 5))


@action('worker_silent')
async def _silence_worker(soak: Soak, event: nodesoakplans.Event) -> None:
    worker = soak.workers.by_number[event.target]
    worker.is_silent = True
    await asyncio.sleep(event.for_s)
    worker.is_silent = False


@action('worker_shrink')
async def _shrink_worker(soak: Soak, event: nodesoakplans.Event) -> None:
    worker = soak.workers.by_number[event.target]
    await soak.workers.set_capacity(event.target, soak.source.randint(0, 2))
    await asyncio.sleep(event.for_s)
    if soak.workers.by_number[event.target] is worker:
        await soak.workers.set_capacity(event.target, runworkers.QUARTERS)


@action('starts_late')
async def _delay_starts(soak: Soak, event: nodesoakplans.Event) -> None:
    workers = _list_half(soak, event)
    for worker in workers:
        worker.delays_starts = True
    await asyncio.sleep(event.for_s)
    for worker in workers:
        worker.delays_starts = False


@action('starts_refused')
async def _refuse_starts(soak: Soak, event: nodesoakplans.Event) -> None:
    workers = _list_half(soak, event)
    for worker in workers:
        worker.refuses_starts = True
    await asyncio.sleep(event.for_s)
    for worker in workers:
        worker.refuses_starts = False


def _list_half(
    soak: Soak, event: nodesoakplans.Event
) -> list[runworkers.Worker]:
    """Return half of the workers, depending on the target."""
    return list(soak.workers.by_number.values())[event.target % 2 :: 2]


@action('worker_crash')
async def _crash_worker(soak: Soak, event: nodesoakplans.Event) -> None:
    if not soak.workers.by_number[event.target].is_down:
        await soak.workers.crash(event.target)
        await asyncio.sleep(event.for_s)
        soak.workers.boot(event.target)


@action('worker_drain')
async def _drain_worker(soak: Soak, event: nodesoakplans.Event) -> None:
    if not soak.workers.by_number[event.target].is_down:
        await soak.workers.drain(event.target, event.for_s)


@action(*rowstore.KINDS)
async def _disturb_store(soak: Soak, event: nodesoakplans.Event) -> None:
    fault = rowstore.Fault(event.kind, event.nodes)
    soak.store.faults.append(fault)
    await asyncio.sleep(event.for_s)
    soak.store.faults.remove(fault)


def run(plan: nodesoakplans.Plan, folder: pathlib.Path) -> Record:
    """Play a plan; keep the nodes' logs and the record in ``folder``."""
    folder.mkdir(parents=True, exist_ok=True)
    record = asyncio.run(Soak(plan, folder).run())
    with (folder / 'record.log').open('w', encoding='utf-8') as output:
        output.write(''.join(f'{event}\n' for event in plan.events))
        values = json.dumps(dataclasses.asdict(record), default=str, indent=1)
        output.write(values)
    return record
