"""Stand-ins for callers: they submit jobs, ask for them and cancel some.

Each has one connection, which it uses until the other end closes it.  It
remembers every attempt, so that checks can compare what callers were told
with what workers saw.
"""

import asyncio
from collections import abc
import dataclasses
import random
import time
import typing

import msgspec

from standins import httpmessages
from standins import operatorrows

_TIME_LIMIT_S: typing.Final = 3.0
_CONNECT_TIMEOUT_S: typing.Final = 1.0
_MAX_TRIES: typing.Final = 5
_MAX_PAUSE_S: typing.Final = 0.15
_ASK_INTERVAL_S: typing.Final = 0.3
_REMEMBERED_JOBS: typing.Final = 20
_REFUSED: typing.Final = frozenset({400, 401, 404, 413, 429, 503})
_CANCELLED: typing.Final = frozenset({200, 410})
_REPEATED_SHARE: typing.Final = 0.5
_ENDED_STATES: typing.Final = frozenset({'completed', 'failed', 'cancelled'})

Pick = abc.Callable[[], tuple[int, str]]
"""Returns the number and the address of a node for a new connection."""


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One request, on the monotonic clock.

    ``how`` is ``answered``, ``cut``, ``timeout`` or ``unreachable``;
    ``status`` is 0 without a complete response.
    """

    node: int
    method: str
    job_id: str
    sent_at: float
    ended_at: float = 0.0
    how: str = 'unreachable'
    status: int = 0


@dataclasses.dataclass(eq=False, slots=True)
class Job:
    """A job of a caller, and what the caller was told."""

    id: str
    queue: int
    key: int
    spec: str
    body: bytes
    attempts: list[Attempt] = dataclasses.field(default_factory=list)
    state: str = ''
    crashes_workers: bool = False

    def list_attempts(self, method: str) -> list[Attempt]:
        """Return the attempts with a method."""
        return [made for made in self.attempts if made.method == method]

    @property
    def is_accepted(self) -> bool:
        """Whether a submission was answered with success."""
        return any(made.status == 200 for made in self.list_attempts('POST'))

    @property
    def is_refused(self) -> bool:
        """Whether every submission was certainly refused."""
        return all(
            made.status in _REFUSED for made in self.list_attempts('POST')
        )

    @property
    def is_open(self) -> bool:
        """Whether the job was accepted and is not known to have ended."""
        return self.is_accepted and self.state not in _ENDED_STATES


def draw_job(source: random.Random) -> Job:
    """Return a job of one or two steps of single tasks or a gang."""
    steps, payload = [], []
    for number in range(source.choice((1, 1, 1, 2))):
        count, work_ms = source.randint(1, 5), source.randint(200, 2000)
        is_gang = count > 1 and source.random() < 0.4
        step: dict[str, typing.Any] = {'count': count, 'cpu': 2000}
        step.update(mem_mb=1024, gpus=source.choice((1, 1, 2)), gang=is_gang)
        step.update(est_runtime_ms=work_ms, after=[0] if number else [])
        steps.append(step)
        payload.append((work_ms, count if is_gang else 0))
    spec = msgspec.json.encode(payload).decode()
    return Job(
        f'{source.getrandbits(64):016x}',
        source.randrange(operatorrows.QUEUES),
        source.randrange(operatorrows.KEYS),
        spec,
        msgspec.json.encode({'spec': spec, 'phases': steps}),
    )


def draw_crashing_job(source: random.Random) -> Job:
    """Return a job of one step whose tasks crash their workers."""
    count = source.choice((1, 1, 2))
    is_gang = count > 1 and source.random() < 0.5
    step: dict[str, typing.Any] = {'count': count, 'cpu': 2000}
    step.update(mem_mb=1024, gpus=1, gang=is_gang, est_runtime_ms=2000)
    crash_ms = source.choice((0, 300, 1500))
    payload = [(2000, count if is_gang else 0, crash_ms)]
    spec = msgspec.json.encode(payload).decode()
    return Job(
        f'{source.getrandbits(64):016x}',
        0,
        0,
        spec,
        msgspec.json.encode({'spec': spec, 'phases': [step]}),
        crashes_workers=True,
    )


class Caller:
    """One caller with one connection."""

    _draw_job = staticmethod(draw_job)

    def __init__(self, source: random.Random, pick: Pick) -> None:
        self.jobs: list[Job] = []
        self._random = source
        self._pick = pick
        self._node = 0
        self._streams: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        ) = None

    async def run(self, until: float) -> None:
        """Submit, ask and cancel until the time ``until``."""
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(0, _MAX_PAUSE_S))
            drawn = self._random.random()
            if drawn < 0.06 or not self.jobs:
                await self._submit_new()
                continue
            job = self._random.choice(self.jobs[-_REMEMBERED_JOBS:])
            if drawn < 0.08 and job.is_accepted:
                await self.call('POST', job)
            elif drawn < 0.09 and job.is_accepted:
                await self.call('DELETE', job)
            else:
                await self.call('GET', job)

    async def finish(self) -> None:
        """Ask for the accepted jobs until all have ended."""
        while open_jobs := [job for job in self.jobs if job.is_open]:
            for job in open_jobs:
                await self.call('GET', job)
            await asyncio.sleep(_ASK_INTERVAL_S)

    async def _submit_new(self) -> None:
        """Submit a job; repeat while it is not known whether it was taken.

        A refused submission is repeated now and then.
        """
        job = self._draw_job(self._random)
        self.jobs.append(job)
        for _ in range(_MAX_TRIES):
            status = (await self.call('POST', job)).status
            gives_up = status in _REFUSED and self._random.random() < 0.5
            if status == 200 or gives_up:
                return
            await asyncio.sleep(self._random.uniform(0, _ASK_INTERVAL_S))

    async def call(self, method: str, job: Job) -> Attempt:
        """Make one request on the open connection, or on a new one."""
        attempt = Attempt(self._node, method, job.id, time.monotonic())
        job.attempts.append(attempt)
        try:
            async with asyncio.timeout(_TIME_LIMIT_S):
                await self._exchange(attempt, job)
        except TimeoutError:
            attempt.how = 'timeout'
        except ConnectionError:
            attempt.how = 'cut' if self._streams else 'unreachable'
        attempt.ended_at = time.monotonic()
        if attempt.how != 'answered':
            self.close()
        return attempt

    async def _exchange(self, attempt: Attempt, job: Job) -> None:
        if self._streams is None:
            await self._connect()
        assert self._streams is not None
        reader, writer = self._streams
        attempt.node, attempt.sent_at = self._node, time.monotonic()
        body = job.body if attempt.method == 'POST' else b''
        path = f'{operatorrows.prefix(job.queue)}{job.id}'
        headers = (
            f'Host: {operatorrows.HOST}\r\n'
            f'Authorization: Token {operatorrows.key(job.key)}\r\n'
            f'X-Deadline-Ms: {_TIME_LIMIT_S * 1000:.0f}\r\n'
        )
        first_line = f'{attempt.method} {path} HTTP/1.1'
        writer.write(httpmessages.encode(first_line, headers, body))
        response = await httpmessages.read(reader)
        if response is None:
            raise ConnectionResetError('closed without a response')
        attempt.status = int(response.first_line.split(' ')[1])
        attempt.how = 'answered'
        if attempt.method == 'GET' and attempt.status == 200:
            job.state = msgspec.json.decode(response.body)['state']
        if response.headers.get('connection') == 'close':
            self.close()

    async def _connect(self) -> None:
        self._node, address = self._pick()
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                self._streams = await asyncio.open_connection(host, int(port))
        except TimeoutError as error:
            raise ConnectionRefusedError('no connection in time') from error

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class CrashingCaller(Caller):
    """A caller that submits a job now and then, which crashes workers."""

    _draw_job = staticmethod(draw_crashing_job)

    async def run(self, until: float) -> None:
        """Submit and ask until the time ``until``."""
        while time.monotonic() < until:
            await self._submit_new()
            asked_until = time.monotonic() + self._random.uniform(3.0, 6.0)
            while time.monotonic() < min(asked_until, until):
                await asyncio.sleep(_ASK_INTERVAL_S)
                await self.call('GET', self.jobs[-1])


class AbandoningCaller(Caller):
    """A caller that gives up each job whose submission has no clear outcome.

    It cancels the job at any node until that is acknowledged, and at times
    hands it in again.
    """

    async def run(self, until: float) -> None:
        """Submit and cancel until the time ``until``."""
        while time.monotonic() < until:
            await asyncio.sleep(self._random.uniform(0, _ASK_INTERVAL_S))
            job = self._draw_job(self._random)
            self.jobs.append(job)
            status = (await self.call('POST', job)).status
            if status != 200 and status not in _REFUSED:
                await self._give_up(job)

    async def _give_up(self, job: Job) -> None:
        for _ in range(_MAX_TRIES):
            # The next connection may be to another node.
            self.close()
            if (await self.call('DELETE', job)).status in _CANCELLED:
                break
            await asyncio.sleep(self._random.uniform(0, _ASK_INTERVAL_S))
        if self._random.random() < _REPEATED_SHARE:
            self.close()
            await self.call('POST', job)
