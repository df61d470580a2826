"""Stand-ins for the workers of Ishikari's platform, with their record.

A job's payload says what its tasks do: a list with a row for each step, of
the milliseconds of work and the number of members of a gang (0 for single
tasks).  A third number makes the tasks crash their worker after so many
milliseconds, at 0 before it answers; it is back after some seconds, as another
incarnation under the same id or under another.  The workers start whatever
they are told to start; ``intervals`` records every run, and ``capacities``
every capacity, for the checks.
"""

import asyncio
import dataclasses
import functools
import random
import time
import typing

import msgspec

from standins import httpmessages
from standins import rowstore

SERVICE: typing.Final = 'quote-desk'
_CAPACITY: typing.Final = {'cpu': 64_000, 'mem_mb': 262_144, 'gpus': 8}
QUARTERS: typing.Final = 4
_PER_RACK: typing.Final = 4
_TICK_S: typing.Final = 0.02
_MAX_LEASE_S: typing.Final = 10.0
_MAX_STOP_S: typing.Final = 0.9
_MAX_LATE_S: typing.Final = 6.0
_GANG_TIMEOUT_S: typing.Final = 3.0
_MAX_ENTRY_DELAY_S: typing.Final = 1.5
"""An entry shows a change within one heartbeat."""

_SILENCE_BEFORE_REMOVAL_S: typing.Final = 3.0
_DOWN_S: typing.Final = (2.0, 4.0)
_DRAIN_MS: typing.Final = 2000
_MAX_OVERRUN_S: typing.Final = 1.0
"""A worker that drains may go on for so much longer than it says."""

_MIN_CLOCK_SPEED: typing.Final = 0.98
_MAX_ENDS: typing.Final = 500
_NEVER: typing.Final = float('inf')
_LATE_SHARE: typing.Final = 0.4
_REFUSED_SHARE: typing.Final = 0.5
_REFUSALS: typing.Final = ((429, ''), (503, ''), (409, 'room'))

Body = dict[str, typing.Any]


@dataclasses.dataclass(eq=False, slots=True)
class Interval:
    """One run on one worker, on the monotonic clock.

    At ``crash_at`` it crashes its worker.
    ``due_at`` is when its work is done, once a gang is whole.  ``is_noted``:
    the end was confirmed to the worker under the same lease.  ``ordered_at``
    is when the order was received, which may be carried out later.
    """

    worker: str
    task: str
    run: int
    spec: str
    started_at: float
    work_s: float
    members: int
    crash_at: float = _NEVER
    due_at: float = _NEVER
    stop_at: float = _NEVER
    ended_at: float = _NEVER
    how: str = ''
    is_noted: bool = False
    ordered_at: float = 0.0

    @property
    def group(self) -> tuple[str, int]:
        """What the members of one gang share."""
        return self.task.rpartition('.')[0], self.run

    def find_percent(self, now: float) -> int:
        """Return how much of the work is done."""
        left_s = min(self.due_at - now, self.work_s)
        return min(99, int(100 * (1 - left_s / self.work_s)))

    def find_end(self, lease_until: float, now: float) -> str:
        """Return how the run ends now; empty if it goes on."""
        is_whole = self.due_at < _NEVER
        alone_at = _NEVER if is_whole else self.started_at + _GANG_TIMEOUT_S
        times = (lease_until, self.stop_at, self.due_at, alone_at)
        hows = ('lapsed', 'stopped', 'done', 'alone')
        return next((how for at, how in zip(times, hows) if now >= at), '')


@dataclasses.dataclass(frozen=True, slots=True)
class Capacity:
    """What a worker has from ``since`` on, on the monotonic clock."""

    worker: str
    since: float
    amounts: dict[str, int]


class Worker:
    """One life of a worker; ``speed`` is that of its clock.

    With ``delays_starts`` some starts get no answer and are carried out
    seconds later; with ``refuses_starts`` some are refused for a reason that
    passes.
    """

    def __init__(self, name: str, speed: float) -> None:
        self.name = name
        self.is_down = False
        self.is_silent = False
        self.is_draining = False
        self.capacity = dict(_CAPACITY)
        self.delays_starts = False
        self.refuses_starts = False
        self.running: dict[str, Interval] = {}
        self.ended: list[tuple[int, Interval]] = []
        self.born_ms = int(time.time() * 1000)
        self.token = 0
        self.lease_until = 0.0
        self.barred: dict[str, int] = {}
        self.changed = asyncio.Event()
        self._started_at = time.monotonic()
        self._speed = speed
        self._ends = 0

    def clock_ms(self, now: float) -> int:
        """Return the worker's own time at ``now``."""
        return int((now - self._started_at) * self._speed * 1000)

    def extend_lease(self, until_ms: int, now: float) -> None:
        """Extend the lease of all runs; it is never shortened."""
        left_s = min((until_ms - self.clock_ms(now)) / 1000, _MAX_LEASE_S)
        self.lease_until = max(self.lease_until, now + left_s / self._speed)

    def end(self, interval: Interval, how: str, now: float) -> None:
        """End a run and list its end."""
        del self.running[interval.task]
        interval.ended_at, interval.how = now, how
        self.bar(interval.task, interval.run)
        self._ends += 1
        self.ended.append((self._ends, interval))
        self.changed.set()

    def confirm(self, last_seen: int, now: float) -> None:
        """Forget the ends that a node has stored."""
        for number, interval in self.ended:
            if number <= last_seen and self.lease_until > now:
                interval.is_noted = True
        self.ended = [end for end in self.ended if end[0] > last_seen]

    def crash(self, now: float, how: str = 'crashed') -> None:
        """End all runs at once; nothing is listed."""
        self.is_down = True
        for interval in self.running.values():
            interval.ended_at, interval.how = now, how
        self.running.clear()

    def bar(self, task: str, run: int) -> None:
        """Start neither this run of a task nor an earlier one again."""
        self.barred[task] = max(self.barred.get(task, 0), run)

    def respond(self, status: int, body: Body) -> bytes:
        """Return a response with the time."""
        body['clock_ms'] = self.clock_ms(time.monotonic())
        return httpmessages.respond(status, body)


class Workers:
    """All workers, their entries in the store and the record of runs."""

    def __init__(
        self, store: rowstore.RowStore, source: random.Random
    ) -> None:
        self.intervals: list[Interval] = []
        self.capacities: list[Capacity] = []
        self.by_number: dict[int, Worker] = {}
        self._store = store
        self._random = source
        self._lives = 0
        self._returning: set[asyncio.Task[None]] = set()
        self._addresses: dict[int, str] = {}

    async def start(self, count: int, servers: list[asyncio.Server]) -> None:
        """Start the workers; their servers are added to ``servers``."""
        for number in range(count):
            handler = functools.partial(self._handle, number)
            address = await httpmessages.serve(handler, servers)
            self._addresses[number] = address
            self.boot(number)

    def boot(self, number: int, name: str = '') -> None:
        """Begin a new life of a worker, with a new id unless it has one."""
        self._put_entry(number, self._begin_life(number, name))

    def _begin_life(self, number: int, name: str) -> Worker:
        self._lives += 1
        speed = self._random.uniform(_MIN_CLOCK_SPEED, 1.0)
        worker = Worker(name or f'w{number}-{self._lives}', speed)
        self.by_number[number] = worker
        now = time.monotonic()
        self.capacities.append(Capacity(worker.name, now, worker.capacity))
        return worker

    def _put_entry(self, number: int, worker: Worker) -> None:
        entry: Body = {'service': SERVICE, 'capacity': worker.capacity}
        entry.update(address=self._addresses[number], zone='a')
        entry.update(state='draining' if worker.is_draining else 'ready')
        if worker.is_draining:
            entry.update(remaining_ms=_DRAIN_MS)
        entry.update(labels=['kind', f'r{number // _PER_RACK}'])
        entry.update(born=worker.born_ms, seq=1, version='1', slots=8)
        self._store.put('servers', worker.name, entry)

    async def set_capacity(self, number: int, quarters: int) -> None:
        """Leave a worker so many quarters; its entry shows it a bit later."""
        worker = self.by_number[number]
        worker.capacity = {
            name: amount * quarters // QUARTERS
            for name, amount in _CAPACITY.items()
        }
        now = time.monotonic()
        self.capacities.append(Capacity(worker.name, now, worker.capacity))
        await asyncio.sleep(self._random.uniform(0, _MAX_ENTRY_DELAY_S))
        if not worker.is_down:
            self._put_entry(number, worker)

    async def crash(self, number: int) -> None:
        """End a worker's life; its entry is removed after a silence."""
        worker = self.by_number[number]
        worker.crash(time.monotonic())
        await asyncio.sleep(_SILENCE_BEFORE_REMOVAL_S)
        self._store.put('servers', worker.name, None)

    async def drain(self, number: int, away_s: float) -> None:
        """Let a worker leave as planned; it is back after ``away_s``.

        It answers for a while before its first entry.
        """
        worker = self.by_number[number]
        worker.is_draining = True
        self._put_entry(number, worker)
        overrun_s = self._random.uniform(0.05, _MAX_OVERRUN_S)
        await asyncio.sleep(_DRAIN_MS / 1000 + overrun_s)
        if worker.is_down:
            return
        worker.crash(time.monotonic(), 'left')
        self._store.put('servers', worker.name, None)
        await asyncio.sleep(away_s)
        if self.by_number[number] is not worker:
            return
        following = self._begin_life(number, worker.name)
        await asyncio.sleep(self._random.uniform(0, _MAX_ENTRY_DELAY_S))
        if not following.is_down:
            self._put_entry(number, following)

    def _crash_by_task(self, worker: Worker, source: random.Random) -> None:
        """Crash a worker by a task on it; it is back after some seconds."""
        worker.crash(time.monotonic())
        number = next(n for n, w in self.by_number.items() if w is worker)
        task = asyncio.create_task(self._return(number, worker, source))
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)

    async def _return(
        self, number: int, worker: Worker, source: random.Random
    ) -> None:
        await asyncio.sleep(source.uniform(*_DOWN_S))
        if self.by_number[number] is not worker:
            return
        if source.random() < 0.7:
            self.boot(number, worker.name)
            return
        self.boot(number)
        await asyncio.sleep(_SILENCE_BEFORE_REMOVAL_S)
        self._store.put('servers', worker.name, None)

    async def run(self) -> None:
        """End runs that are due or whose lease has expired."""
        while True:
            now = time.monotonic()
            for worker in list(self.by_number.values()):
                for interval in list(worker.running.values()):
                    if now >= interval.crash_at:
                        source = random.Random(f'{interval.task}/{now}')
                        self._crash_by_task(worker, source)
                        break
                    how = interval.find_end(worker.lease_until, now)
                    if how and interval.task in worker.running:
                        self._end(worker, interval, how, now)
            await asyncio.sleep(_TICK_S)

    def _end(
        self, worker: Worker, interval: Interval, how: str, now: float
    ) -> None:
        worker.end(interval, how, now)
        for other, member in self._list_gang(interval):
            other.end(member, how if how == 'done' else 'broken', now)

    def _list_gang(self, interval: Interval) -> list[tuple[Worker, Interval]]:
        """Return the members of the run's gang that run."""
        return [
            (worker, member)
            for worker in self.by_number.values()
            for member in worker.running.values()
            if interval.members and member.group == interval.group
        ]

    async def _handle(
        self, number: int, request: httpmessages.Message
    ) -> bytes | None:
        """Execute a call; without an answer perhaps late or not at all."""
        received_at = time.monotonic()
        worker = self.by_number[number]
        if worker.is_down:
            return None
        if request.headers.get('x-expected-instance') != worker.name:
            return worker.respond(421, {})
        if worker.is_silent:
            late_s = self._random.uniform(0, _MAX_LATE_S)
            await asyncio.sleep(
                self._random.choice((0.0, late_s, _MAX_LATE_S))
            )
        is_start = ' /run-start ' in request.first_line
        if is_start and worker.delays_starts:
            if self._random.random() < _LATE_SHARE:
                await asyncio.sleep(self._random.uniform(0, _MAX_LATE_S))
                await self._execute(worker, request, received_at)
                return None
        if is_start and worker.refuses_starts:
            if self._random.random() < _REFUSED_SHARE:
                status, reason = self._random.choice(_REFUSALS)
                return worker.respond(status, {'reason': reason})
        response = await self._execute(worker, request, received_at)
        return None if worker.is_down or worker.is_silent else response

    async def _execute(
        self, worker: Worker, request: httpmessages.Message, received_at: float
    ) -> bytes | None:
        if worker.is_down:
            return None
        body, now = msgspec.json.decode(request.body), time.monotonic()
        if body['fencing_token'] < worker.token:
            return worker.respond(409, {'reason': 'fence'})
        worker.token = body['fencing_token']
        if ' /hold ' in request.first_line:
            return await self._hold(worker, body, now)
        if ' /run-start ' in request.first_line:
            return self._start(worker, body, now, received_at)
        worker.bar(body['task'], body['run'])
        present = worker.running.get(body['task'])
        if present is not None and present.run <= body['run']:
            stop_at = now + self._random.uniform(0, _MAX_STOP_S)
            present.stop_at = min(present.stop_at, stop_at)
        return worker.respond(200, {})

    def _start(
        self, worker: Worker, body: Body, now: float, received_at: float
    ) -> bytes | None:
        task, run = body['task'], body['run']
        if body['until_ms'] < worker.clock_ms(now):
            return worker.respond(409, {'reason': 'late'})
        worker.extend_lease(body['until_ms'], now)
        present = worker.running.get(task)
        if present is not None and present.run == run:
            return worker.respond(200, {})
        if worker.barred.get(task, 0) >= run:
            return worker.respond(409, {'reason': 'old'})
        work_ms, members, *crash_ms = msgspec.json.decode(body['spec'])[
            int(task.split('.')[2])
        ]
        interval = Interval(
            worker.name, task, run, body['spec'], now, work_ms / 1000, members
        )
        interval.ordered_at = received_at
        self.intervals.append(interval)
        # An earlier run goes on in the record, where the checks find it.
        worker.running[task] = interval
        gang = [member for _, member in self._list_gang(interval)]
        if len(gang) == members:
            for member in gang or [interval]:
                member.due_at = now + member.work_s
        if crash_ms:
            interval.crash_at = now + crash_ms[0] / 1000
        if crash_ms == [0]:
            source = random.Random(f'{task}/{now}')
            self._crash_by_task(worker, source)
            return None
        return worker.respond(200, {})

    async def _hold(self, worker: Worker, body: Body, now: float) -> bytes:
        worker.confirm(body['last_seen'], now)
        if 'until_ms' in body:
            worker.extend_lease(body['until_ms'], now)
        if not worker.ended and body.get('wait_ms'):
            worker.changed.clear()
            try:
                async with asyncio.timeout(body['wait_ms'] / 1000):
                    await worker.changed.wait()
            except TimeoutError:
                # Nothing ended; the response lists what runs.
                pass
        now = time.monotonic()
        running = [
            [i.task, i.run, '', i.find_percent(now), 0]
            for i in worker.running.values()
        ]
        ended = [
            [number, i.task, i.run, i.how, '']
            for number, i in worker.ended[:_MAX_ENDS]
        ]
        lists = {'running': running, 'ended': ended, 'born': worker.born_ms}
        return worker.respond(200, lists)
