"""Node processes on loopback, each with its settings file and its log.

Times are on the monotonic clock.  For how long a process was ready to run
but had no processor is read from the kernel, so that checks of bounds on
time can leave it out, as the time of a pause.
"""

import asyncio
import dataclasses
import itertools
import os
import pathlib
import signal
import sys
import time
import typing

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_PORT: typing.Final = 7000
_READY_PORT: typing.Final = 7001
_INTERNAL_PORT: typing.Final = 7002
_PROBE_INTERVAL_S: typing.Final = 1.0
_MAX_MISSES: typing.Final = 2
_POLL_INTERVAL_S: typing.Final = 0.1
_NEVER: typing.Final = float('inf')
GRACE_S: typing.Final = 6.0


@dataclasses.dataclass(eq=False, slots=True)
class Life:
    """One process of a node.

    ``terminated_at`` and ``killed_at`` are when it got SIGTERM and SIGKILL;
    ``pauses`` are the times between SIGSTOP and SIGCONT; ``waits`` are
    samples of the seconds that it has waited for a processor.
    """

    node: int
    started_at: float
    pid: int
    terminated_at: float = _NEVER
    killed_at: float = _NEVER
    ended_at: float = _NEVER
    code: int | None = None
    has_handlers: bool = False
    pauses: list[tuple[float, float]] = dataclasses.field(default_factory=list)
    waits: list[tuple[float, float]] = dataclasses.field(default_factory=list)

    def sample(self) -> None:
        """Read from the kernel how the process stands."""
        folder = pathlib.Path(f'/proc/{self.pid}')
        try:
            waits = [
                int(path.read_text().split()[1])
                for path in folder.glob('task/*/schedstat')
            ]
            status = (folder / 'status').read_text()
            caught = int(status.partition('SigCgt:')[2].split()[0], 16)
        except (OSError, IndexError):
            # The process or one of its threads has ended.
            return
        self.waits.append((time.monotonic(), sum(waits) / 1e9))
        if caught >> (signal.SIGTERM - 1) & 1:
            self.has_handlers = True

    def lost_s(self, start: float, end: float) -> float:
        """Return for how long it was paused or had no processor.

        Late samples show that the machine did not run this process either.
        """
        paused_s = sum(
            max(0.0, min(resumed, end) - max(paused, start))
            for paused, resumed in self.pauses
        )
        late_s = waited_s = 0.0
        for (at, before), (next_at, after) in itertools.pairwise(self.waits):
            if next_at > start and at < end:
                late_s += max(0.0, next_at - at - 2 * _POLL_INTERVAL_S)
                # The sum falls when a thread ends.
                waited_s += max(0.0, after - before)
        return paused_s + late_s + waited_s


class Node:
    """A node; its address stays the same over restarts.

    ``limits`` are further lines of its settings file.
    """

    def __init__(
        self,
        number: int,
        store_address: str,
        folder: pathlib.Path,
        limits: tuple[str, ...] = (),
    ) -> None:
        self.number = number
        self._limits = limits
        self.lives: list[Life] = []
        self.is_started = False
        self._misses = _MAX_MISSES
        # An address of its own keeps the ports free between restarts.
        run = os.getpid() % (1 << 14)
        self._ip = f'127.{64 + (run >> 8)}.{run & 255}.{number + 1}'
        self.address = f'{self._ip}:{_PORT}'
        self.ready_address = f'{self._ip}:{_READY_PORT}'
        self.metrics_address = f'{self._ip}:{_INTERNAL_PORT}'
        self._store_address = store_address
        self._settings = folder / f'node-{number}.conf'
        self._log = folder / f'node-{number}.log'
        self.write_settings(revoke_ms=5000)

    def write_settings(self, revoke_ms: int) -> None:
        """Write the settings file."""
        lines = (
            f'node=front-{self.number}',
            'zone=a',
            f'ip={self._ip}',
            f'listen.front={self.address}',
            f'listen.ready={self._ip}:{_READY_PORT}',
            f'port_range={_INTERNAL_PORT},{_INTERNAL_PORT + 13}',
            f'platform.address={self._store_address}',
            'platform.writes_per_s=1200',
            f'grace_s={GRACE_S:.0f}',
            'bounds.hold_max_ms=10000',
            f'bounds.revoke_ms={revoke_ms}',
            *self._limits,
        )
        self._settings.write_text('\n'.join(lines), encoding='utf-8')

    @property
    def life(self) -> Life | None:
        """The running process, if there is one."""
        last = self.lives[-1] if self.lives else None
        return last if last is not None and last.code is None else None

    @property
    def is_in_rotation(self) -> bool:
        """Whether new connections should come here."""
        return self._misses < _MAX_MISSES

    async def run_once(self) -> None:
        """Start a process and wait for its end."""
        environment = {**os.environ, 'PRIMROSELOCK_BOOT': str(self._settings)}
        with self._log.open('ab') as log:
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, '-m', 'primroselock.nodemain'),
                cwd=_ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        life = Life(self.number, time.monotonic(), process.pid)
        self.lives.append(life)
        try:
            life.code = await process.wait()
        finally:
            self.send(signal.SIGKILL)
            life.ended_at = time.monotonic()
            self.is_started = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        life, now = self.life, time.monotonic()
        if life is None:
            return
        if number is signal.SIGTERM:
            life.terminated_at = min(life.terminated_at, now)
        elif number is signal.SIGKILL:
            life.killed_at = min(life.killed_at, now)
        elif number is signal.SIGSTOP:
            life.pauses.append((now, _NEVER))
        elif number is signal.SIGCONT:
            pauses = life.pauses
            life.pauses = [(start, min(end, now)) for start, end in pauses]
        try:
            os.kill(life.pid, number)
        except ProcessLookupError:
            # It has ended; its exit code is read by the waiting task.
            pass

    async def send_handled(self, number: signal.Signals) -> None:
        """Send a signal that the process handles, once it runs its program.

        The interpreter itself, while it starts, cannot handle any.
        """
        life = self.life
        while life is not None and life is self.life:
            if life.has_handlers:
                self.send(number)
                return
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def watch(self) -> None:
        """Ask as the load balancer does whether the node is ready."""
        while True:
            probe = asyncio.create_task(self._probe())
            for _ in range(int(_PROBE_INTERVAL_S / _POLL_INTERVAL_S)):
                if self.life is not None:
                    self.life.sample()
                await asyncio.sleep(_POLL_INTERVAL_S)
            self._misses = 0 if await probe else self._misses + 1

    async def _probe(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_INTERVAL_S):
                reader, writer = await asyncio.open_connection(
                    self._ip, _READY_PORT
                )
                try:
                    writer.write(b'GET /ready HTTP/1.1\r\nHost: x\r\n\r\n')
                    return b' 200 ' in await reader.readline()
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            # No response is a miss.
            return False
