"""A small deployment for the scripts of the cases 11 to 15.

The processes of the system are separate processes, started with the command
of the deploy file.  The store, the workers and the operator are the
project's own stand-ins; they run in the process of the script.  All
addresses are loopback addresses.  What was sent, answered and run goes to
``record.txt`` in the folder of the case.
"""

import asyncio
import base64
import dataclasses
import functools
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import traceback
import typing

from standins import httpmessages
from standins import nodes
from standins import operatorrows
from standins import rowstore
from standins import runworkers

HELD, BROKEN, NOT_RUN = 0, 1, 2
# As on the site of the cases.
runworkers._MAX_STOP_S = 0.2
LIMITS: typing.Final = (
    'region=r',
    'zones.a=r',
    'limits.cpu_share=0.537',
    'limits.cores=2',
    'limits.memory_mb=300',
    'limits.max_fds=4100',
    'bounds.config_apply_ms=2000',
    'bounds.contact_ms=3000',
    'bounds.stop_ms=200',
    'bounds.cancel_ms=3000',
    'bounds.visible_ms=3000',
    'platform.row_bytes=65536',
)
"""Further lines of a settings file, as on the page on settings."""

_START_S: typing.Final = 40.0


class NotRun(Exception):
    """The case could not be run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a call; the status is 0 if there was none."""

    status: int
    body: bytes

    @property
    def state(self) -> str:
        """The state of a job, or the status in its place."""
        if self.status != 200:
            return str(self.status)
        return str(json.loads(self.body)['state'])


class Store(rowstore.RowStore):
    """The project's stand-in of the store, whose rows can be looked at."""

    def __init__(self) -> None:
        super().__init__(random.Random(1))

    def read_row(self, table: str, key: str) -> bytes | None:
        """Return a row that a node wrote, without its token."""
        row = self._rows.get(table, {}).get(key)
        if row is None:
            return None
        return base64.b64decode(row['value']).partition(b'\x01')[2]


class Deployment:
    """Nodes, workers and a store."""

    def __init__(
        self,
        folder: pathlib.Path,
        node_count: int,
        worker_count: int,
        store: Store | None = None,
        limits: tuple[str, ...] = LIMITS,
    ) -> None:
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.store = store or Store()
        self.workers = runworkers.Workers(self.store, random.Random(2))
        self.nodes: list[nodes.Node] = []
        self.began = time.monotonic()
        self._limits = limits
        self._node_count, self._worker_count = node_count, worker_count
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.logs = pathlib.Path(self._temporary.name)
        self._record = (folder / 'record.txt').open('w', encoding='utf-8')
        self._known_runs: dict[int, str] = {}

    def note(self, text: str) -> None:
        """Write a line to the record and to the standard output."""
        line = f'{time.monotonic() - self.began:8.3f} s  {text}'
        print(line, flush=True)
        self._record.write(line + '\n')
        self._record.flush()

    async def start(self) -> None:
        """Start all parts; wait until the nodes are ready."""
        operatorrows.Operator(self.store).write()
        await self.workers.start(self._worker_count, self._servers)
        self._spawn(self.workers.run())
        self._spawn(self._note_runs())
        for number in range(self._node_count):
            handler = functools.partial(self.store.handle, number)
            address = await httpmessages.serve(handler, self._servers)
            node = nodes.Node(number, address, self.logs, self._limits)
            self.nodes.append(node)
            self.start_node(node)
            self._spawn(node.watch())
        until = time.monotonic() + _START_S
        while not all(node.is_in_rotation for node in self.nodes):
            await asyncio.sleep(0.05)
            if time.monotonic() > until:
                raise NotRun('a node is not ready')
        self.note(
            f'{self._node_count} nodes are ready, '
            f'{self._worker_count} workers are listed'
        )

    def start_node(self, node: nodes.Node) -> None:
        """Start the process of a node."""
        node.is_started = True
        self._spawn(node.run_once())

    def _spawn(self, work: typing.Any) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def _note_runs(self) -> None:
        """Note each start and each end of a run."""
        while True:
            for number, run in enumerate(self.workers.intervals):
                known = self._known_runs.get(number)
                name = f'{run.task} run {run.run} on {run.worker}'
                if known is None:
                    self._known_runs[number] = ''
                    self.note(f'worker: started {name}')
                if run.how and not known:
                    self._known_runs[number] = run.how
                    self.note(f'worker: ended {name}: {run.how}')
            await asyncio.sleep(0.02)

    async def call(
        self,
        method: str,
        job_id: str,
        body: bytes = b'',
        node: int = 0,
        queue: int = 0,
        limit_s: float = 3.0,
        is_noted: bool = True,
        key: str = operatorrows.key(0),
    ) -> Answer:
        """Make a call of a client on a connection of its own."""
        answer = Answer(0, b'')
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(limit_s):
                answer = await self._exchange(
                    method, job_id, body, node, queue, limit_s, key
                )
        except (TimeoutError, OSError) as error:
            answer = Answer(0, type(error).__name__.encode())
        if is_noted:
            taken_s = time.monotonic() - sent_at
            self.note(
                f'client: {method} {job_id or "(count)"} at node {node}: '
                f'{answer.status} {answer.body.decode()[:80]} '
                f'after {taken_s:.3f} s'
            )
        return answer

    async def _exchange(
        self,
        method: str,
        job_id: str,
        body: bytes,
        node: int,
        queue: int,
        limit_s: float,
        key: str,
    ) -> Answer:
        host, _, port = self.nodes[node].address.rpartition(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            headers = (
                f'Host: {operatorrows.HOST}\r\n'
                f'Authorization: Token {key}\r\n'
                f'X-Deadline-Ms: {limit_s * 1000:.0f}\r\n'
                'Content-Type: application/json\r\n'
            )
            path = f'{operatorrows.prefix(queue)}{job_id}'
            writer.write(
                httpmessages.encode(f'{method} {path} HTTP/1.1', headers, body)
            )
            message = await httpmessages.read(reader)
            if message is None:
                raise ConnectionResetError
            return Answer(int(message.first_line.split()[1]), message.body)
        finally:
            writer.close()

    async def submit(self, job_id: str, body: bytes, node: int = 0) -> bool:
        """Submit a job until it is accepted, as a client does."""
        for _ in range(5):
            answer = await self.call('POST', job_id, body, node)
            if answer.status == 200:
                return True
            await asyncio.sleep(0.3)
        return False

    def runs_of(self, job_id: str) -> list[runworkers.Interval]:
        """Return the runs of a job's tasks that workers have started."""
        return [
            run
            for run in self.workers.intervals
            if run.task.partition('.')[0] == job_id
        ]

    def find_holder(self) -> int | None:
        """Return the number of the node that holds the shard's lease."""
        row = self.store.read_row('shard', 'fleet/epoch')
        if row is None:
            return None
        return int(json.loads(row)['holder'].rpartition('-')[2])

    async def close(self) -> None:
        """End all processes that were started."""
        for node in self.nodes:
            while node.is_started:
                node.send(signal.SIGCONT)
                node.send(signal.SIGKILL)
                await asyncio.sleep(0.05)
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.logs.iterdir():
                pathlib.Path(keep, path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def source(seed: int) -> random.Random:
    """Return a source of random numbers."""
    return random.Random(seed)


def job(steps: list[tuple[int, int]], **fields: typing.Any) -> bytes:
    """Return a job of steps one after another: (tasks, milliseconds)."""
    phases = [
        {
            'count': count,
            'cpu': 2000,
            'mem_mb': 1024,
            'gpus': 1,
            'est_runtime_ms': work_ms,
            'after': [number - 1] if number else [],
            **fields,
        }
        for number, (count, work_ms) in enumerate(steps)
    ]
    spec = json.dumps([[work_ms, 0] for _, work_ms in steps])
    return json.dumps({'spec': spec, 'phases': phases}).encode()


def play(
    folder: pathlib.Path,
    build: typing.Callable[[pathlib.Path], Deployment],
    case: typing.Callable[[Deployment], typing.Awaitable[str]],
) -> None:
    """Play a case; exit with 1 if it returns how the rule was broken."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # The processes that were started are ended in any case.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, task.cancel
        )
        deployment = build(folder)
        try:
            await deployment.start()
            broken = await case(deployment)
            deployment.note(
                f'rule broken: {broken}' if broken else 'rule held'
            )
            return BROKEN if broken else HELD
        except NotRun as error:
            deployment.note(f'not run: {error}')
            return NOT_RUN
        except asyncio.CancelledError:
            deployment.note('not run: terminated')
            return NOT_RUN
        except Exception:
            deployment.note(f'not run: {traceback.format_exc()}')
            return NOT_RUN
        finally:
            await deployment.close()

    sys.exit(asyncio.run(run()))
