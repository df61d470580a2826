"""A small deployment on loopback for the scripts of the review.

The nodes are processes of the project, started with the command of the
deploy file.  The platform's store, the workers and the operator are the
project's stand-ins (``standins``), which run in this process.  Everything
that a case sends, is answered and sees running is written to ``record.txt``.
"""

import asyncio
from collections import abc
import functools
import os
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib
import typing

import msgspec

from standins import httpmessages
from standins import operatorrows
from standins import rowstore
from standins import runworkers

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
HELD: typing.Final = 0
BROKEN: typing.Final = 1
NOT_RUN: typing.Final = 2

_TIME_LIMIT_S: typing.Final = 3.0
_START_TIMEOUT_S: typing.Final = 20.0
_SILENCE_BEFORE_REMOVAL_S: typing.Final = 4.5
"""Three status report intervals of ``heartbeat_ms`` in the settings."""

_SETTINGS: typing.Final = """\
node=front-a-{number}
role=node
machine_class=front
serves=front
ip={ip}
zone=a
region=r
zones.a=r
listen.front={ip}:7000
listen.ready={ip}:7001
port_range=7002,7015
bootstrap=true
fault_counted=false
limits.cpu_share=0.537
limits.cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,places,platform
fault_tolerance.machines=2
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.strict_revoke=true
bounds.revoke_ms=5000
bounds.evacuate_ms=5000
bounds.recovery_s=12
bounds.hold_max_ms=10000
bounds.stop_ms=900
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=3
bounds.checkpoint_s=1
bounds.restore_ms=250
bounds.lease_ms=3000
control_mode=call
platform.address={store}
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.tx_ms=4.0
platform.row_bytes=65536
platform.across=true
platform.history_s=20
"""


def wants_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what happens to a file, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open('w', encoding='utf-8')
        self._started_at = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        elapsed_s = time.monotonic() - self._started_at
        line = f'{elapsed_s:8.3f} {text}'
        print(line, file=self._file, flush=True)
        print(line, flush=True)


class NodeProcess:
    """One process of the project, on loopback addresses of its own."""

    def __init__(
        self, number: int, store_address: str, folder: pathlib.Path
    ) -> None:
        self.number = number
        run = os.getpid() % (1 << 14)
        self.ip = f'127.{64 + (run >> 8)}.{run & 255}.{number + 1}'
        self.address = f'{self.ip}:7000'
        self._settings = folder / f'node-{number}.conf'
        self._log = folder / f'node-{number}.log'
        self._process: asyncio.subprocess.Process | None = None
        text = _SETTINGS.format(number=number, ip=self.ip, store=store_address)
        self._settings.write_text(text, encoding='utf-8')

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        command = deploy['roles']['node']['run'].split(' ')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PRIMROSELOCK_BOOT'] = str(self._settings)
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node reports that it is ready."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(self.ip, 7001)
                writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                line = await reader.readline()
                writer.close()
                return b' 200 ' in line
        except (OSError, TimeoutError):
            return False


class LabelledWorkers(runworkers.Workers):
    """Workers of which those in ``special`` have a label of their own."""

    LABEL: typing.Final = 'special'

    def __init__(
        self, store: rowstore.RowStore, source: random.Random
    ) -> None:
        entries = typing.cast(rowstore.RowStore, _Entries(store, self))
        super().__init__(entries, source)
        self.special: frozenset[int] = frozenset()

    def list_gang(
        self, interval: runworkers.Interval
    ) -> list[tuple[runworkers.Worker, runworkers.Interval]]:
        """Return the members of the gang of a run that run."""
        return self._list_gang(interval)

    def number_of(self, name: str) -> int:
        """Return the number of the worker with this id."""
        return int(name.removeprefix('w').partition('-')[0])


class _Entries:
    """Writes the entries of workers with their labels."""

    def __init__(
        self, store: rowstore.RowStore, workers: LabelledWorkers
    ) -> None:
        self._store = store
        self._workers = workers

    def put(self, table: str, key: str, value: typing.Any) -> None:
        """Write an entry as the worker does; None removes it."""
        if value is not None:
            if self._workers.number_of(key) in self._workers.special:
                rack = value['labels'][1]
                value['labels'] = [LabelledWorkers.LABEL, rack]
        self._store.put(table, key, value)


class Deployment:
    """Nodes, workers, store and operator of one play."""

    def __init__(self, record: Record, seed: int = 1) -> None:
        self.record = record
        source = random.Random(seed)
        self.store = rowstore.RowStore(source)
        self.workers = LabelledWorkers(self.store, source)
        self.operator = operatorrows.Operator(self.store)
        self.nodes: list[NodeProcess] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self._seen_runs = 0
        self._ended: set[int] = set()

    def store_handler(self, number: int) -> httpmessages.Handler:
        """Return what serves the calls of one node to the store."""
        return functools.partial(self.store.handle, number)

    async def start(self, nodes: int, workers: int) -> None:
        """Start everything; return once all nodes are ready."""
        self.operator.write()
        await self.workers.start(workers, self._servers)
        self._tasks.append(asyncio.create_task(self.workers.run()))
        self._tasks.append(asyncio.create_task(self._watch_runs()))
        for number in range(nodes):
            address = await httpmessages.serve(
                self.store_handler(number), self._servers
            )
            node = NodeProcess(number, address, self._folder)
            self.nodes.append(node)
            await node.start()
        until = time.monotonic() + _START_TIMEOUT_S
        for node in self.nodes:
            while not await node.is_ready():
                if time.monotonic() > until:
                    raise CannotRun('a node is not ready')
                await asyncio.sleep(0.1)
        self.record.write(f'{nodes} nodes are ready, {workers} workers')

    def crash_worker(self, number: int) -> None:
        """Crash a worker: what runs there ends, and nothing is listed."""
        worker, now = self.workers.by_number[number], time.monotonic()
        self.record.write(f'worker {worker.name} crashes')
        gangs = [
            (other, member)
            for interval in worker.running.values()
            for other, member in self.workers.list_gang(interval)
            if other is not worker
        ]
        worker.crash(now)
        for other, member in gangs:
            other.end(member, 'broken', now)

    def restart_worker(self, number: int) -> None:
        """Start a crashed worker again under its id."""
        name = self.workers.by_number[number].name
        self.workers.boot(number, name)
        self.record.write(f'worker {name} is back')

    def lose_worker(self, number: int) -> None:
        """Crash a worker for good; its entry is removed after a silence."""
        self.crash_worker(number)
        # The first servers are those of the workers, in order.
        self._servers[number].close()
        name = self.workers.by_number[number].name
        self._tasks.append(asyncio.create_task(self._remove_entry(name)))

    async def _remove_entry(self, name: str) -> None:
        await asyncio.sleep(_SILENCE_BEFORE_REMOVAL_S)
        self.store.put('servers', name, None)
        self.record.write(f'store: the entry of {name} is removed')

    async def end(self) -> None:
        """End all processes; keep the nodes' logs if KEEP_LOGS is set."""
        for node in self.nodes:
            await node.end()
        for task in self._tasks:
            task.cancel()
        for server in self._servers:
            server.close()
        if 'KEEP_LOGS' in os.environ:
            shutil.copytree(
                self._folder, os.environ['KEEP_LOGS'], dirs_exist_ok=True
            )
        shutil.rmtree(self._folder, ignore_errors=True)

    async def _watch_runs(self) -> None:
        """Record each start and each end that the workers see."""
        while True:
            intervals = self.workers.intervals
            for interval in intervals[self._seen_runs :]:
                self.record.write(
                    f'worker {interval.worker}: starts {interval.task} '
                    f'run {interval.run}'
                )
            self._seen_runs = len(intervals)
            for number, interval in enumerate(intervals):
                if interval.how and number not in self._ended:
                    self._ended.add(number)
                    self.record.write(
                        f'worker {interval.worker}: {interval.task} '
                        f'run {interval.run} ends: {interval.how}'
                    )
            await asyncio.sleep(0.01)

    def running(self, job_id: str) -> list[tuple[int, runworkers.Interval]]:
        """Return the workers' numbers and runs of a job that go on."""
        return [
            (number, interval)
            for number, worker in self.workers.by_number.items()
            for interval in worker.running.values()
            if interval.task.startswith(job_id)
        ]

    async def call(
        self,
        method: str,
        job_id: str,
        body: typing.Any = None,
        node: int = 0,
        queue: int = 0,
        key: int = 0,
        limit_s: float = _TIME_LIMIT_S,
    ) -> tuple[int, typing.Any]:
        """Make one call; return its status, 0 without one, and its body."""
        encoded = b'' if body is None else msgspec.json.encode(body)
        headers = (
            f'Host: {operatorrows.HOST}\r\n'
            f'Authorization: Token {operatorrows.key(key)}\r\n'
            f'X-Deadline-Ms: {limit_s * 1000:.0f}\r\n'
            'Content-Type: application/json\r\n'
        )
        path = f'{operatorrows.prefix(queue)}{job_id}'
        status, answer = 0, None
        self.record.write(f'client: {method} {path} to node {node}')
        try:
            async with asyncio.timeout(limit_s):
                reader, writer = await asyncio.open_connection(
                    self.nodes[node].ip, 7000
                )
                writer.write(
                    httpmessages.encode(
                        f'{method} {path} HTTP/1.1', headers, encoded
                    )
                )
                response = await httpmessages.read(reader)
                writer.close()
            if response is not None:
                status = int(response.first_line.split(' ')[1])
                if response.body:
                    answer = msgspec.json.decode(response.body)
        except (OSError, TimeoutError) as error:
            answer = type(error).__name__
        self.record.write(f'client: {method} {path} gets {status} {answer}')
        return status, answer

    async def submit(self, job_id: str, body: typing.Any) -> None:
        """Submit a job; repeat it until it is accepted."""
        for attempt in range(8):
            status, _ = await self.call(
                'POST', job_id, body, attempt % len(self.nodes)
            )
            if status == 200:
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f'job {job_id} is not accepted')

    async def wait_running(
        self, job_id: str, count: int = 1, limit_s: float = 15.0
    ) -> list[tuple[int, runworkers.Interval]]:
        """Wait until ``count`` tasks of a job run; return them."""
        until = time.monotonic() + limit_s
        while len(found := self.running(job_id)) < count:
            if time.monotonic() > until:
                raise CannotRun(f'job {job_id} does not run')
            await asyncio.sleep(0.02)
        return found


Case = abc.Callable[[Deployment], abc.Awaitable[bool]]
"""Plays a case; returns whether the rule held."""


def main(
    case: Case,
    folder: pathlib.Path,
    nodes: int,
    workers: int,
    special: frozenset[int] = frozenset(),
) -> None:
    """Play a case and exit with the code of its result.

    The workers with the numbers ``special`` have a label of their own.
    """
    record = Record(folder / 'record.txt')
    record.write(f'trouble: {wants_trouble()}')

    async def play() -> int:
        deployment = Deployment(record)
        deployment.workers.special = special
        try:
            await deployment.start(nodes, workers)
            held = await case(deployment)
            return HELD if held else BROKEN
        except CannotRun as error:
            record.write(f'not run: {error}')
            return NOT_RUN
        finally:
            await deployment.end()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        code = asyncio.run(play())
    except Exception as error:
        record.write(f'not run: {type(error).__name__}: {error}')
        code = NOT_RUN
    texts = {HELD: 'the rule held', BROKEN: 'the rule was broken'}
    record.write(texts.get(code, 'the case could not run'))
    sys.exit(code)
