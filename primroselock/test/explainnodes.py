"""Node processes and the client's command ``explain``, for tests.

Two nodes, the stand-ins of the store and of the workers, all on loopback.
"""

import asyncio
import dataclasses
import functools
import json
import os
import pathlib
import random
import signal
import sys
import time
import typing

from primroselock import waits
from standins import httpmessages
from standins import launch
from standins import nodes
from standins import operatorrows
from standins import rowstore
from standins import runworkers

NODES: typing.Final = 2
WORKERS: typing.Final = 4
ACCOUNT: typing.Final = 'tenant0'
QUEUE: typing.Final = 'queue1'
_START_S: typing.Final = 30.0
_ANSWER_S: typing.Final = 20.0
_POLL_INTERVAL_S: typing.Final = 0.05
_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent.parent


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """The exit code of a command, and what it printed."""

    code: int
    out: str
    err: str


async def run_client(*arguments: str, **environment: str) -> Ended:
    """Run the client in a process of its own."""
    process = await asyncio.create_subprocess_exec(
        *(sys.executable, '-m', 'primroselock', *arguments),
        cwd=_ROOT,
        env={**os.environ, **environment},
        stdin=asyncio.subprocess.DEVNULL,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )
    async with asyncio.timeout(_ANSWER_S):
        out, err = await process.communicate()
    return Ended(process.returncode or 0, out.decode(), err.decode())


def build_body(
    work_ms: int, tasks: int = 1, accelerators: int = 8
) -> dict[str, typing.Any]:
    """Return a job as a caller sends it: a gang, or one task."""
    members = tasks if tasks > 1 else 0
    step = {
        'count': tasks,
        'cpu': 1000,
        'mem_mb': 100,
        'gpus': accelerators,
        'est_runtime_ms': work_ms,
        'gang': tasks > 1,
    }
    return {'spec': json.dumps([[work_ms, members]]), 'phases': [step]}


async def _get(address: str, path: str) -> int:
    """Return the status of an answer; 0 if nobody listens yet."""
    try:
        answer = await asyncio.to_thread(
            launch.call, address, 'GET', path, timeout_s=_ANSWER_S
        )
    except OSError:
        return 0
    return answer.status


class Site:
    """The processes; ``folder`` takes their settings and logs."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._source = random.Random(0)
        self.store = rowstore.RowStore(self._source)
        self._workers = runworkers.Workers(self.store, self._source)
        self._servers: list[asyncio.Server] = []
        self._tasks: list[asyncio.Task[typing.Any]] = []
        self.nodes: list[nodes.Node] = []

    async def start(self) -> None:
        """Start all; return once one node holds the shard."""
        operatorrows.Operator(self.store).write()
        await self._workers.start(WORKERS, self._servers)
        self._spawn(self._workers.run())
        for number in range(NODES):
            handler = functools.partial(self._handle, number)
            address = await httpmessages.serve(handler, self._servers)
            node = nodes.Node(number, address, self.folder)
            self.nodes.append(node)
            self._spawn(node.run_once())
        await self._wait_until_started()

    async def _handle(
        self, number: int, message: httpmessages.Message
    ) -> bytes | None:
        try:
            return await self.store.handle(number, message)
        except asyncio.CancelledError:
            # The test has ended, and the node with it.
            return None

    def _spawn(self, work: typing.Any) -> None:
        self._tasks.append(asyncio.create_task(work))

    async def close(self) -> None:
        """End all."""
        for node in self.nodes:
            while node.life is not None:
                node.send(signal.SIGKILL)
                await asyncio.sleep(_POLL_INTERVAL_S)
        for server in self._servers:
            server.close()
        await waits.cancel_tasks(self._tasks)

    async def find_roles(self) -> tuple[nodes.Node, nodes.Node]:
        """Return the node that holds the shard, and another one."""
        holders = [n for n in self.nodes if await self._ask_accounts(n) == 200]
        others = [node for node in self.nodes if node not in holders]
        return holders[0], others[0]

    async def _ask_accounts(self, node: nodes.Node) -> int:
        return await _get(node.metrics_address, '/v1/operators/accounts')

    async def _wait_until_started(self) -> None:
        """Wait until each node is ready and one of them holds the shard."""
        until = time.monotonic() + _START_S
        while time.monotonic() < until:
            ready = [
                await _get(node.ready_address, '/ready') == 200
                for node in self.nodes
            ]
            holds = [
                await self._ask_accounts(node) == 200 for node in self.nodes
            ]
            if all(ready) and any(holds):
                return
            await asyncio.sleep(_POLL_INTERVAL_S)
        raise TimeoutError('no node holds the shard')

    async def submit(self, job_id: str, body: dict[str, typing.Any]) -> int:
        """Send a job as a caller does; return the status of the answer."""
        answer = await asyncio.to_thread(
            launch.call,
            self.nodes[0].address,
            'POST',
            f'{operatorrows.prefix(1)}{job_id}',
            json.dumps(body).encode(),
            headers={
                'Host': operatorrows.HOST,
                'Authorization': f'Token {operatorrows.key(0)}',
            },
            timeout_s=_ANSWER_S,
        )
        return answer.status

    def write_job(self, body: typing.Any) -> str:
        """Write a job file; return its path."""
        path = self.folder / 'job.json'
        path.write_text(json.dumps(body), encoding='utf-8')
        return str(path)

    async def explain(self, node: nodes.Node, *arguments: str) -> Ended:
        """Run the command against a node."""
        return await run_client(
            'explain', *arguments, '--gateway', node.metrics_address
        )

    async def explain_json(
        self, node: nodes.Node, *arguments: str
    ) -> typing.Any:
        """Return what the command prints as JSON.

        It is repeated while another explanation is made, and while the holder
        was late itself.  Raises :class:`AssertionError` if it fails, or does
        not succeed in time.
        """
        until = time.monotonic() + _ANSWER_S
        while True:
            ended = await self.explain(node, *arguments, '--output', 'json')
            if ended.code == 0:
                answer = json.loads(ended.out)
                if not _was_late(answer):
                    return answer
            elif 'busy' not in ended.err:
                raise AssertionError(ended.err)
            if time.monotonic() > until:
                raise AssertionError(ended)
            await asyncio.sleep(_POLL_INTERVAL_S)


def _was_late(answer: typing.Any) -> bool:
    """Return whether the holder may start nothing, or not on some workers."""
    rules = {
        each['rule']
        for step in answer['job']['steps']
        for each in (step['waits_for'], *step['rules'])
    }
    return bool(rules & {'permit', 'not ready'})
