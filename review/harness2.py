"""Stand-ins and node processes for the cases 6 to 10; standard library only.

The platform's store and the workers are stand-ins in this process, on
loopback; the nodes are processes of the project, started by the command of
the deploy file.  Times in the record are seconds since the start.
"""

import asyncio
import base64
import bisect
from collections import abc
import json
import os
import pathlib
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import typing
import urllib.parse

ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_PID: typing.Final = os.getpid()
IP: typing.Final = f'127.{64 + (_PID >> 8 & 63)}.{_PID & 255}.1'
"""A loopback address of this case's own, so that its ports stay free."""

HOST: typing.Final = 'quotes.example'
KEY: typing.Final = 'key-of-tenant-a'
SERVICE: typing.Final = 'order-hub'
ZONES: typing.Final = ('ga-east-a', 'ga-east-b', 'ga-east-c')
HELD: typing.Final = 0
BROKEN: typing.Final = 1
NOT_RUN: typing.Final = 2
HEARTBEAT_S: typing.Final = 1.5
_TX_S: typing.Final = 0.004
_MAX_LEASE_MS: typing.Final = 10_000
_MAX_PAGE_BYTES: typing.Final = 1_000_000
_STOP_S: typing.Final = 0.2
_COUNT_S: typing.Final = 0.5

Body = dict[str, typing.Any]


class NotRun(Exception):
    """The case could not run."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def add(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f'{self.now():8.3f}  {text}\n')
        self._file.flush()


class Request(typing.NamedTuple):
    """One HTTP request; header names are in lower case."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


Handler = abc.Callable[[Request], abc.Awaitable[tuple[int, Body] | None]]
"""Returns status and body, or None to break the connection."""


class Server:
    """An HTTP server whose connections can be cut and that can be stopped."""

    def __init__(self, handler: Handler, address: tuple[str, int]) -> None:
        self._handler = handler
        self._address = address
        self._server: asyncio.Server | None = None
        self._healed = asyncio.Event()
        self._healed.set()
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen."""
        host, port = self._address
        self._server = await asyncio.start_server(self._converse, host, port)

    async def crash(self) -> None:
        """Stop listening and reset all connections, as a dead process."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self) -> None:
        """Pass nothing on any more, in either direction and silently."""
        self._healed.clear()

    def heal(self) -> None:
        """Let new channels pass; those of during the cut are broken."""
        self._healed.set()

    async def _is_lost(self) -> bool:
        """Return whether there is a cut, once it has ended."""
        if self._healed.is_set():
            return False
        await self._healed.wait()
        return True

    async def _converse(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                answer = None
                if not await self._is_lost():
                    answer = await self._handler(request)
                    if await self._is_lost():
                        answer = None
                if answer is None or writer.transport.is_closing():
                    writer.transport.abort()
                    return
                status, body = answer
                data = json.dumps(body).encode()
                head = (
                    f'HTTP/1.1 {status} -\r\nContent-Type: application/json'
                    f'\r\nContent-Length: {len(data)}\r\n\r\n'
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            # The peer closed the connection.
            pass
        except asyncio.CancelledError:
            # The case ends.
            return
        finally:
            self._writers.discard(writer)
            writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Request:
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = head.rstrip().split('\r\n')
    method, path, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.lower()] = value.strip()
    length = int(headers.get('content-length', '0'))
    return Request(method, path, headers, await reader.readexactly(length))


class Store:
    """The platform's metadata store, in form of tables."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.writes = 0
        self.version = 0
        self.max_call_bytes = 1_048_576
        self.refused_calls = 0
        self._rows: dict[str, dict[str, Body]] = {}
        self._changes: dict[str, list[Body]] = {}
        self._changed = asyncio.Condition()

    def handler_for(self, gate: 'Gate') -> Handler:
        """Return the handler for the calls of one node."""

        async def handle(request: Request) -> tuple[int, Body] | None:
            return await gate.pass_on(request, self._serve)

        return handle

    async def put(self, table: str, key: str, value: Body | None) -> None:
        """Write a row as the operator or a worker does; None removes it."""
        async with self._changed:
            self.version += 1
            text = None
            if value is not None:
                text = base64.b64encode(json.dumps(value).encode()).decode()
            self._write(table, key, text)
            self._changed.notify_all()

    def _write(self, table: str, key: str, text: str | None) -> None:
        row: Body = {
            'table': table,
            'part': '',
            'key': key,
            'ver': self.version,
        }
        rows = self._rows.setdefault(table, {})
        if text is None:
            rows.pop(key, None)
            row['removed'] = True
        else:
            row['value'] = text
            rows[key] = row
        self._changes.setdefault(table, []).append(row)

    async def _serve(self, request: Request) -> tuple[int, Body] | None:
        path, _, text = request.path.partition('?')
        query = dict(urllib.parse.parse_qsl(text))
        await asyncio.sleep(_TX_S)
        if path == '/rows-tx':
            if len(request.body) > self.max_call_bytes:
                self.refused_calls += 1
                return 413, {}
            return await self.transact(json.loads(request.body))
        if path == '/rows-get':
            return self._get(query)
        if path == '/rows-feed':
            return await self._feed(query)
        return 404, {}

    def _answer(self, status: int, body: Body) -> tuple[int, Body]:
        now_ms = int(time.monotonic() * 1000)
        return status, {'ver': self.version, 'now_ms': now_ms, **body}

    async def transact(self, body: Body) -> tuple[int, Body]:
        """Apply a transaction, or none of it."""
        async with self._changed:
            self.writes += 1
            found = []
            is_met = True
            for wanted in body.get('if_revision', []):
                row = self._rows.get(wanted['table'], {}).get(wanted['key'])
                if row is not None:
                    found.append(row)
                is_met &= (row['ver'] if row else 0) == wanted.get('ver', 0)
            if not is_met:
                return self._answer(412, {'rows': found})
            self.version += 1
            for entry in body.get('set_keys', []):
                self._write(entry['table'], entry['key'], entry['value'])
            for entry in body.get('remove', []):
                self._write(entry['table'], entry['key'], None)
            self._changed.notify_all()
            return self._answer(200, {})

    def _get(self, query: dict[str, str]) -> tuple[int, Body]:
        rows = self._rows.get(query['table'], {})
        start, end = query.get('from', ''), query.get('target', '')
        limit = min(int(query.get('limit', 500)), 500)
        keys = sorted(
            key for key in rows if key >= start and (not end or key < end)
        )
        page: list[Body] = []
        size = 0
        for key in keys[:limit]:
            size += len(rows[key]['value']) + 300
            if page and size > _MAX_PAGE_BYTES:
                break
            page.append(rows[key])
        return self._answer(
            200, {'rows': page, 'more_pages': len(keys) > len(page)}
        )

    async def _feed(self, query: dict[str, str]) -> tuple[int, Body]:
        table, after = query['table'], int(query['after'])
        until = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        async with self._changed:
            while not (rows := self._list_changes(table, after)):
                left_s = until - time.monotonic()
                if left_s <= 0:
                    break
                try:
                    async with asyncio.timeout(left_s):
                        await self._changed.wait()
                except TimeoutError:
                    # Nothing changed in this table.
                    pass
            return self._answer(200, {'rows': rows})

    def _list_changes(self, table: str, after: int) -> list[Body]:
        changes = self._changes.get(table, [])
        first = bisect.bisect(changes, after, key=lambda row: row['ver'])
        return changes[first:]

    def read(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, for the record."""
        row = self._rows.get(table, {}).get(key)
        return base64.b64decode(row['value']) if row else None


Serve = abc.Callable[
    [Request], abc.Coroutine[typing.Any, typing.Any, tuple[int, Body] | None]
]


class Gate:
    """What lies between one node and the store; it may fail calls."""

    def __init__(self) -> None:
        self.intercept: (
            abc.Callable[
                [Request, Serve], abc.Awaitable[tuple[int, Body] | None]
            ]
            | None
        ) = None

    async def pass_on(
        self, request: Request, serve: Serve
    ) -> tuple[int, Body] | None:
        """Serve a call, or let the fault in force serve it."""
        if self.intercept is not None:
            return await self.intercept(request, serve)
        return await serve(request)


class Run:
    """One run of a task on a worker."""

    def __init__(self, worker: 'Worker', body: Body, work_s: float) -> None:
        self.worker = worker
        self.task: str = body['task']
        self.number: int = body['run']
        self.boot = worker.born_ms
        self.began = time.monotonic()
        self.work_s = work_s
        self.ended: float | None = None
        self.how = ''
        self.stop_at: float | None = None
        self.fail_after_s = worker.fleet.fail_after_s_by_run.get(
            (self.task, self.number), float('inf')
        )
        self.noted: float | None = None
        self.was_lapsed = False

    @property
    def percent(self) -> int:
        """Return how much is done; a task that lasts is at work at once."""
        if self.work_s == float('inf'):
            return 100
        done = (time.monotonic() - self.began) / self.work_s
        return min(99, int(100 * done))


class Fleet:
    """All workers, what they ran, and how long each job's tasks take."""

    def __init__(self, store: Store, record: Record) -> None:
        self.store = store
        self.record = record
        self.workers: dict[str, Worker] = {}
        self.runs: list[Run] = []
        self.is_brief = False
        self._counts: dict[str, int] = {}
        self.work_s_by_job: dict[str, float] = {}
        self.fail_after_s_by_run: dict[tuple[str, int], float] = {}

    async def add(self, worker_id: str, kind: str, zone: str) -> 'Worker':
        """Start a worker."""
        worker = Worker(self, worker_id, kind, zone)
        self.workers[worker_id] = worker
        await worker.boot()
        return worker

    def note(self, worker: 'Worker', what: str, detail: str) -> None:
        """Record what happens to a run; only counts if it is brief."""
        if not self.is_brief:
            self.record.add(f'{worker.id} {what} {detail}')
            return
        text = f'{worker.id} {what}'
        self._counts[text] = self._counts.get(text, 0) + 1

    def flush(self) -> None:
        """Record the counts since the last time."""
        for text, count in self._counts.items():
            self.record.add(f'{text}: {count} runs')
        self._counts.clear()

    def runs_of(self, job: str) -> list[Run]:
        """Return all runs of a job's tasks."""
        return [run for run in self.runs if run.task.startswith(job + '.')]

    async def tick(self) -> None:
        """End runs that are done, stopped or without a lease."""
        flushed = 0.0
        while True:
            if time.monotonic() - flushed >= _COUNT_S:
                flushed = time.monotonic()
                self.flush()
            for worker in self.workers.values():
                worker.end_due()
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Stop all workers."""
        for worker in self.workers.values():
            await worker.close()


class Worker:
    """A minion as the pages describe it."""

    def __init__(
        self, fleet: Fleet, worker_id: str, kind: str, zone: str
    ) -> None:
        self.fleet = fleet
        self.id = worker_id
        self._labels = [kind, f'r-{zone}']
        self._zone = zone
        self.address = free_address(IP)
        self._server = Server(self._handle, self.address)
        self._beating: asyncio.Task[None] | None = None
        self._removing: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self.is_up = False
        self._state = 'ready'
        self._remaining_ms: int | None = None
        self.born_ms = 0
        self.token = 0
        self.running: dict[str, Run] = {}
        self.ended: list[tuple[int, Run, str]] = []
        self.lease_until = 0.0
        self._barred: dict[str, int] = {}
        self._count = 0
        self._booted = 0.0

    def clock_ms(self) -> int:
        """Return the worker's steady clock, which begins at its start."""
        return int((time.monotonic() - self._booted) * 1000) + 1000

    async def boot(self, first_beat_s: float = 0.0) -> None:
        """Start; nothing of an earlier life is known.

        The first entry is written ``first_beat_s`` later.
        """
        self._state, self._remaining_ms = 'ready', None
        if self._removing is not None:
            self._removing.cancel()
        self._begin_life()
        await self._server.start()
        self.is_up = True
        self._beating = asyncio.create_task(self._beat(first_beat_s))

    def _begin_life(self) -> None:
        self._booted = time.monotonic()
        self.born_ms = max(int(time.time() * 1000), self.born_ms + 1)
        self.token = self._count = 0
        self.running, self.ended, self._barred = {}, [], {}
        self.lease_until = 0.0
        self.fleet.record.add(f'{self.id} starts, born {self.born_ms}')

    async def crash(self, what: str = 'crashes under') -> None:
        """End as a killed process does; its entry goes after a silence."""
        self.is_up = False
        if self._beating is not None:
            self._beating.cancel()
        await self._server.crash()
        now = time.monotonic()
        for run in self.running.values():
            run.ended, run.how = now, 'crashed'
            self.fleet.note(self, what, f'{run.task} run {run.number}')
        self.running.clear()
        self.fleet.flush()
        self.fleet.record.add(f'{self.id} is down')
        self._removing = asyncio.create_task(self._remove_entry())

    async def _remove_entry(self) -> None:
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self.fleet.store.put('servers', self.id, None)

    async def close(self) -> None:
        """Stop for good, at the end of the case."""
        for task in (self._beating, self._removing):
            if task is not None:
                task.cancel()
        await self._server.crash()

    def cut(self) -> None:
        """Be partitioned from the system's machines, and run on."""
        self._server.cut()
        self.fleet.record.add(f'{self.id} is cut off')

    def heal(self) -> None:
        """End the partition."""
        self._server.heal()
        self.fleet.record.add(f'{self.id} is reached again')

    async def restart_behind_cut(self) -> None:
        """Crash and start again, both unseen by the system's machines."""
        for run in self.running.values():
            run.ended, run.how = time.monotonic(), 'crashed'
            self.fleet.note(
                self, 'crashes under', f'{run.task} run {run.number}'
            )
        if not self.running:
            self.fleet.record.add(f'{self.id} crashes; nothing runs there')
        if self._beating is not None:
            self._beating.cancel()
        self._begin_life()
        await self._put_entry(1)

    async def drain(self, remaining_ms: int) -> None:
        """Say that it drains, and go on for the time that it says."""
        self._state, self._remaining_ms = 'draining', remaining_ms
        await self._put_entry(2)
        self.fleet.record.add(f'{self.id} says draining, {remaining_ms} ms')

    async def leave(self) -> None:
        """Exit as planned: all on it ends, and its entry goes."""
        await self.crash('leaves under')
        if self._removing is not None:
            self._removing.cancel()
        await self.fleet.store.put('servers', self.id, None)

    async def _beat(self, first_beat_s: float) -> None:
        await asyncio.sleep(first_beat_s)
        # The entry changes when more than its number does.
        await self._put_entry(1)

    async def _put_entry(self, seq: int) -> None:
        host, port = self.address
        entry = {
            'service': SERVICE,
            'address': f'{host}:{port}',
            'zone': self._zone,
            'version': '1',
            'slots': 8,
            'state': self._state,
            'seq': seq,
            'born': self.born_ms,
            'capacity': {'cpu': 128000, 'mem_mb': 524288, 'gpus': 8},
            'labels': self._labels,
        }
        if self._remaining_ms is not None:
            entry['remaining_ms'] = self._remaining_ms
        await self.fleet.store.put('servers', self.id, entry)

    async def _handle(self, request: Request) -> tuple[int, Body] | None:
        if not self.is_up:
            return None
        if request.headers.get('x-expected-instance') != self.id:
            return self._answer(421, {})
        body = json.loads(request.body)
        if body.get('fencing_token', 0) < self.token:
            return self._answer(409, {'reason': 'fence'})
        self.token = body.get('fencing_token', 0)
        if request.path == '/run-start':
            return self._start(body)
        if request.path == '/run-stop':
            return self._stop(body)
        if request.path == '/hold':
            return await self._hold(body)
        return self._answer(404, {})

    def _answer(self, status: int, body: Body) -> tuple[int, Body]:
        return status, {'clock_ms': self.clock_ms(), **body}

    def _extend(self, until_ms: int) -> None:
        if time.monotonic() >= self.lease_until:
            # The lease has lapsed: what ended before is not taken note of.
            for _, run, _ in self.ended:
                run.was_lapsed = True
        left_s = min(until_ms - self.clock_ms(), _MAX_LEASE_MS) / 1000
        self.lease_until = max(self.lease_until, time.monotonic() + left_s)

    def _start(self, body: Body) -> tuple[int, Body]:
        task, number = body['task'], body['run']
        if body['until_ms'] < self.clock_ms():
            return self._answer(409, {'reason': 'late'})
        self._extend(body['until_ms'])
        present = self.running.get(task)
        if present is not None and present.number == number:
            return self._answer(200, {})
        if self._barred.get(task, 0) >= number:
            return self._answer(409, {'reason': 'old'})
        job = task.partition('.')[0]
        run = Run(self, body, self.fleet.work_s_by_job.get(job, 1.0))
        self.running[task] = run
        self.fleet.runs.append(run)
        self.fleet.note(
            self, 'begins', f'{task} run {number}, token {self.token}'
        )
        return self._answer(200, {})

    def _stop(self, body: Body) -> tuple[int, Body]:
        task, number = body['task'], body['run']
        self._barred[task] = max(self._barred.get(task, 0), number)
        present = self.running.get(task)
        if present is not None and present.number <= number:
            present.stop_at = time.monotonic() + _STOP_S
        self.fleet.note(self, 'is told to stop', f'{task} run {number}')
        return self._answer(200, {})

    def _forget(self, last_seen: int) -> None:
        now = time.monotonic()
        kept = []
        for number, run, how in self.ended:
            if number > last_seen:
                kept.append((number, run, how))
                continue
            run.noted = now
            run.was_lapsed = run.was_lapsed or now >= self.lease_until
        self.ended = kept

    async def _hold(self, body: Body) -> tuple[int, Body]:
        self._forget(body['last_seen'])
        if 'until_ms' in body:
            self._extend(body['until_ms'])
        if body.get('wait_ms') and not self.ended:
            self._changed.clear()
            try:
                async with asyncio.timeout(body['wait_ms'] / 1000):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing ended meanwhile.
                pass
        running = [
            [run.task, run.number, '', run.percent, 0]
            for run in self.running.values()
        ]
        return self._answer(
            200,
            {
                'running': running,
                'ended': [
                    [number, run.task, run.number, how, '']
                    for number, run, how in self.ended[:500]
                ],
                'born': self.born_ms,
            },
        )

    def end_due(self) -> None:
        """End the runs that are done, stopped or without a lease."""
        now = time.monotonic()
        for run in list(self.running.values()):
            if now >= self.lease_until:
                self._end(run, 'lapsed')
            elif run.stop_at is not None and now >= run.stop_at:
                self._end(run, 'stopped')
            elif now >= run.began + run.fail_after_s:
                self._end(run, 'failed')
            elif now >= run.began + run.work_s:
                self._end(run, 'done')

    def _end(self, run: Run, how: str) -> None:
        run.ended, run.how = time.monotonic(), how
        del self.running[run.task]
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.number)
        self._count += 1
        self.ended.append((self._count, run, how))
        self._changed.set()
        self.fleet.note(self, f'ends {how}', f'{run.task} run {run.number}')


def free_address(host: str) -> tuple[str, int]:
    """Return an address with a port that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return host, probe.getsockname()[1]


def deployed_command() -> list[str]:
    """Return the command of the node's role in the deploy file."""
    text = (ROOT / 'deploy' / 'system.toml').read_text(encoding='utf-8')
    words: list[str] = tomllib.loads(text)['roles']['node']['run'].split()
    return words


class Node:
    """A node process of the project."""

    def __init__(
        self, name: str, zone: str, store: Store, folder: pathlib.Path
    ) -> None:
        self.name = name
        self.gate = Gate()
        self._store = store
        self._store_address = free_address(IP)
        self._server = Server(
            store.handler_for(self.gate), self._store_address
        )
        self.front = free_address(IP)
        self._ready = free_address(IP)
        self._inner = free_address(IP)[1]
        self._settings = folder / f'{name}.conf'
        self._log = folder / f'{name}.log'
        self._zone = zone
        self._process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process, and the port through which it has the store."""
        if not self._settings.exists():
            await self._server.start()
            self._settings.write_text(self._render(), encoding='utf-8')
        command = deployed_command()
        environment = {
            name: value
            for name, value in os.environ.items()
            if name in ('PATH', 'HOME', 'LANG')
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PRIMROSELOCK_BOOT'] = str(self._settings)
        with self._log.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._store.record.add(f'node {self.name} starts')

    def _render(self) -> str:
        front, ready = self.front, self._ready
        store_host, store_port = self._store_address
        lines = [
            f'node={self.name}',
            'role=node',
            'machine_class=front',
            'serves=front',
            f'ip={IP}',
            f'zone={self._zone}',
            'region=ga-east',
            f'listen.front={front[0]}:{front[1]}',
            f'listen.ready={ready[0]}:{ready[1]}',
            f'port_range={self._inner},{self._inner + 15}',
            'bootstrap=true',
            'limits.cpu_share=0.537',
            'limits.cores=2',
            'limits.memory_mb=300',
            'limits.max_fds=4100',
            'discovery=platform',
            'entry=vip',
            'heartbeat_ms=1500',
            'bounds.contact_ms=3000',
            'bounds.ack_ms=4000',
            'bounds.grace_s=6',
            'bounds.revoke_ms=5000',
            'bounds.hold_max_ms=10000',
            'bounds.stop_ms=200',
            'bounds.gang_timeout_ms=3000',
            'bounds.cancel_ms=3000',
            'bounds.visible_ms=3000',
            'bounds.finish_s=14',
            'bounds.far_x=3',
            'control_mode=call',
            f'platform.address={store_host}:{store_port}',
            'platform.form=table',
            'platform.writes_per_s=600',
            'platform.reads_per_s=2000',
            'platform.row_bytes=65536',
            'platform.history_s=20',
        ]
        return '\n'.join(lines) + '\n'

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        process = self._process
        if process is not None and process.returncode is None:
            self._store.record.add(f'node {self.name} gets {number.name}')
            process.send_signal(number)

    async def wait_ended(self) -> None:
        """Wait for the end of the process."""
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform's balancer does."""
        answer = await call(self._ready, 'GET', '/ready', timeout_s=1.0)
        return answer is not None and answer[0] == 200

    async def close(self) -> None:
        """End the process."""
        process = self._process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            await process.wait()
        await self._server.crash()


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: Body | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, bytes] | None:
    """Make one call on a channel of its own; None without an answer."""
    data = b'' if body is None else json.dumps(body).encode()
    lines = [f'{method} {path} HTTP/1.1', f'Content-Length: {len(data)}']
    given = {'Host': HOST, 'Content-Type': 'application/json'}
    given.update(headers or {})
    lines += [f'{name}: {value}' for name, value in given.items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
            await writer.drain()
            head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            length = 0
            for line in head.split('\r\n'):
                name, _, value = line.partition(':')
                if name.lower() == 'content-length':
                    length = int(value)
            answered = await reader.readexactly(length)
            return int(head.split(' ')[1]), answered
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Queue(typing.NamedTuple):
    """A route of the configuration."""

    name: str
    prefix: str
    priority: int
    max_attempts: int


QUEUE: typing.Final = Queue('venue-restock', '/restock/', 1, 3)


class Case:
    """The system of one case: store, workers and nodes."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.record = Record(folder)
        self.store = Store(self.record)
        self.fleet = Fleet(self.store, self.record)
        self.nodes: list[Node] = []
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self._scratch = pathlib.Path(tempfile.mkdtemp())
        self._ticking: asyncio.Task[None] | None = None

    async def start(
        self,
        kinds: abc.Sequence[str],
        nodes: int = 3,
        queues: abc.Sequence[Queue] = (QUEUE,),
        zones: abc.Sequence[str] = ZONES,
    ) -> None:
        """Start everything and wait until all nodes are ready.

        ``kinds`` are those of the workers, which stand in ``zones`` by turns.
        """
        if not (ROOT / 'target' / 'deps' / 'msgspec').exists():
            raise NotRun('target/deps is missing: run the deploy build')
        config = {
            'version': 3,
            'routes': [
                {
                    'name': queue.name,
                    'host': HOST,
                    'path_prefix': queue.prefix,
                    'service': SERVICE,
                    'kind': 'unsafe',
                    'priority': queue.priority,
                    'max_attempts': queue.max_attempts,
                    'stretch': 3.0,
                    'target_latency_ms': 1000,
                }
                for queue in queues
            ],
            'services': [{'name': SERVICE, 'admission_check': False}],
            'tenants': [
                {
                    'name': 'tenant-a',
                    'api_keys': [KEY],
                    'guaranteed': {'gpus': 8},
                }
            ],
            'limits': {'max_body_bytes': 262144},
        }
        await self.store.put('op', 'config', config)
        for number, kind in enumerate(kinds):
            zone = zones[number % len(zones)]
            await self.fleet.add(f'i-94e29849{number:02d}', kind, zone)
        self._ticking = asyncio.create_task(self.fleet.tick())
        for number in range(nodes):
            zone = ZONES[number % len(ZONES)]
            node = Node(
                f'front-{zone}-{number}', zone, self.store, self._scratch
            )
            self.nodes.append(node)
            await node.start()
        await self.wait(self._all_ready, 30.0, 'all nodes are ready')
        await asyncio.sleep(3.0)

    async def _all_ready(self) -> bool:
        return all([await node.is_ready() for node in self.nodes])

    async def wait(
        self,
        condition: abc.Callable[[], abc.Awaitable[bool]],
        timeout_s: float,
        what: str,
    ) -> None:
        """Wait for a condition; raise NotRun if it is never met."""
        until = time.monotonic() + timeout_s
        while not await condition():
            if time.monotonic() > until:
                raise NotRun(f'not within {timeout_s:g} s: {what}')
            await asyncio.sleep(0.05)

    async def ask(
        self,
        node: Node,
        method: str,
        path: str,
        body: Body | None = None,
        timeout_s: float = 3.0,
    ) -> tuple[int, bytes] | None:
        """Call a node as a client does, and record the call."""
        self.record.add(f'client: {method} {path} to {node.name}')
        headers = {
            'Authorization': f'Token {KEY}',
            'X-Deadline-Ms': str(int(timeout_s * 1000)),
        }
        answer = await call(node.front, method, path, body, headers, timeout_s)
        shown = 'no answer' if answer is None else f'{answer[0]} {answer[1]!r}'
        self.record.add(f'client: {method} {path}: {shown}')
        return answer

    async def submit(
        self, path: str, phases: list[Body], work_s: float
    ) -> None:
        """Hand in a job; try again until it is accepted."""
        job = path.rpartition('/')[2]
        self.fleet.work_s_by_job[job] = work_s
        body = {'spec': f'work of {job}', 'phases': phases}
        for node in self.nodes * 3:
            answer = await self.ask(node, 'POST', path, body)
            if answer is not None and 200 <= answer[0] < 300:
                return
            await asyncio.sleep(0.3)
        raise NotRun('the job was not accepted')

    def find_holder(self) -> Node:
        """Return the node that holds the lease, as the store's row says."""
        value = self.store.read('shard', 'fleet/lease') or b''
        for node in self.nodes:
            if node.name.encode() in value:
                return node
        raise NotRun('no node holds the lease')

    async def state(self, path: str) -> str:
        """Return the state of a job, '' if no node tells."""
        for node in self.nodes:
            answer = await self.ask(node, 'GET', path)
            if answer is not None and answer[0] == 200:
                state: str = json.loads(answer[1])['state']
                return state
            if answer is not None and answer[0] == 410:
                return 'unknown'
        return ''

    async def close(self) -> None:
        """End all that was started."""
        for node in self.nodes:
            await node.close()
        if self._ticking is not None:
            self._ticking.cancel()
        await self.fleet.close()
        for log in self._scratch.glob('*.log'):
            if os.environ.get('KEEP_LOGS'):
                shutil.copy(log, os.environ['KEEP_LOGS'])
        shutil.rmtree(self._scratch, ignore_errors=True)


Play = abc.Callable[[Case], abc.Awaitable[int]]


def main(play: Play, script: str, limit_s: float = 110.0) -> typing.NoReturn:
    """Play a case and exit with its outcome."""
    folder = pathlib.Path(script).resolve().parent
    sys.exit(asyncio.run(_play(play, folder, limit_s)))


async def _play(play: Play, folder: pathlib.Path, limit_s: float) -> int:
    case = Case(folder)
    outcome = NOT_RUN
    try:
        async with asyncio.timeout(limit_s):
            outcome = await play(case)
    except Exception as error:
        # Whatever goes wrong in the case itself is no broken rule.
        case.record.add(f'the case could not run: {error!r}')
    finally:
        await case.close()
        words = {HELD: 'held', BROKEN: 'BROKEN', NOT_RUN: 'not run'}
        case.record.add(f'outcome: {words[outcome]}')
        print(words[outcome])
    return outcome
