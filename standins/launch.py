"""Starts the system and its stand-ins as separate processes.

Used by the demo, the process tests and the benchmarks.  Every process logs a
``listening`` event with its addresses.  :meth:`Cluster.close` ends all started
processes, also when the caller is interrupted.
"""

from collections import abc
import contextlib
import dataclasses
import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import threading
import time
import typing


START_TIMEOUT_S: typing.Final = 20.0
_POLL_INTERVAL_S: typing.Final = 0.02
_READ_TIMEOUT_S: typing.Final = 5.0
_SHOWN_LINES: typing.Final = 30
_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent

OPERATOR_TOKEN: typing.Final = 'operator-token'


def wait_for(
    condition: abc.Callable[[], typing.Any],
    what: str,
    timeout_s: float = 20.0,
) -> typing.Any:
    """Poll ``condition`` and return its first true value.

    Raises :class:`TimeoutError` after ``timeout_s``; its message contains
    ``what``, the condition in words.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f'not within {timeout_s} s: {what}')
        time.sleep(_POLL_INTERVAL_S)


@contextlib.contextmanager
def defer_signals() -> abc.Generator[None, None, None]:
    """Defer SIGINT and SIGTERM until the block has ended.

    Python's signal handlers, unlike a signal mask, are not inherited by
    processes started within the block.
    """
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    received: list[int] = []
    numbers = (signal.SIGINT, signal.SIGTERM)
    earlier = {
        number: signal.signal(number, lambda n, _: received.append(n))
        for number in numbers
    }
    try:
        yield
    finally:
        for number, handler in earlier.items():
            signal.signal(number, handler)
        if received:
            signal.raise_signal(received[0])


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the decoded JSON body."""
        return json.loads(self.body)


def call(
    address: str,
    method: str,
    path: str,
    body: typing.Any = None,
    token: str | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 30.0,
) -> Answer:
    """Make one HTTP call on a new connection.

    A body that is not bytes is encoded as JSON.
    """
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    sent = dict(headers or {})
    if token is not None:
        sent['Authorization'] = f'Bearer {token}'
    payload = body if isinstance(body, bytes) else None
    if body is not None and payload is None:
        payload = json.dumps(body).encode()
    try:
        connection.request(method, path, payload, sent)
        answer = connection.getresponse()
        names = {name.lower(): value for name, value in answer.getheaders()}
        return Answer(answer.status, names, answer.read())
    finally:
        connection.close()


class Process:
    """A started process and the events that it has logged."""

    def __init__(self, name: str, arguments: list[str]) -> None:
        """Run Python with ``arguments``."""
        self.name = name
        self.events: list[dict[str, typing.Any]] = []
        self.other_lines: list[str] = []
        self._sent_signals: list[str] = []
        self._popen = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=_ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        self.pid = self._popen.pid
        self._reader = threading.Thread(target=self._read, daemon=True)
        self._reader.start()

    def _read(self) -> None:
        assert self._popen.stderr is not None
        for line in self._popen.stderr:
            try:
                self.events.append(json.loads(line))
            except ValueError:
                self.other_lines.append(line.rstrip())

    def find_event(self, event: str) -> dict[str, typing.Any] | None:
        """Return the last logged event of that name, or None."""
        found = [entry for entry in self.events if entry['event'] == event]
        return found[-1] if found else None

    def wait_event(self, event: str) -> dict[str, typing.Any]:
        """Wait until the process has logged ``event``; return it.

        Raises :class:`RuntimeError` if the process exits first, and
        :class:`TimeoutError` after ``START_TIMEOUT_S``.
        """

        def ready() -> dict[str, typing.Any] | None:
            has_exited = self._popen.poll() is not None
            if has_exited:
                # Its last lines may not have been read yet.
                self._reader.join(_READ_TIMEOUT_S)
            found = self.find_event(event)
            if found is None and has_exited:
                raise RuntimeError(f'exited early: {self.describe()}')
            return found

        found: dict[str, typing.Any] = wait_for(
            ready, f'{self.name} logs {event}', START_TIMEOUT_S
        )
        return found

    def find_exit_code(self) -> int | None:
        """Return the exit code, or minus a signal; None while it runs."""
        return self._popen.poll()

    def describe(self) -> str:
        """Return how the process ended, what was sent to it and its log."""
        code = self._popen.poll()
        ending = 'running' if code is None else f'exit code {code}'
        if code is not None and code < 0:
            ending = f'killed by {signal.Signals(-code).name}'
        reading = ', still read' if self._reader.is_alive() else ''
        lines = [
            f'{self.name} (pid {self.pid}): {ending}',
            f'signals sent by this test: {", ".join(self._sent_signals)}',
            f'last events of its log{reading}:',
            *(json.dumps(event) for event in self.events[-_SHOWN_LINES:]),
            'last other lines:',
            *self.other_lines[-_SHOWN_LINES:],
        ]
        return '\n'.join(lines)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._popen.poll() is None:
            self._sent_signals.append(f'{number.name} at {time.time():.3f}')
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self._popen.wait()

    def wait(self, timeout_s: float = 20.0) -> int:
        """Wait for the process to exit; return its exit code.

        Raises :class:`TimeoutError` after ``timeout_s``, and ends the process
        with a dump of its stack.
        """
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            # The daemons' fault handler writes the stack.
            self.send_signal(signal.SIGABRT)
            self._reader.join(_READ_TIMEOUT_S)
            raise TimeoutError(
                f'not ended within {timeout_s} s: {self.describe()}'
            ) from None

    def close(self) -> None:
        """Kill the process, even one stopped by SIGSTOP; close its log."""
        if self._popen.poll() is None:
            self.send_signal(signal.SIGKILL)
            self._popen.wait()
        self._reader.join(1.0)
        if self._popen.stderr is not None:
            self._popen.stderr.close()


class Cluster:
    """The system with its stand-ins, on loopback addresses.

    Addresses are ``IP:PORT``: ``platform_by_zone`` those of the platform's
    ports, ``addresses_by_name`` the HTTP addresses of the processes, and
    ``mesh_by_name`` the mesh addresses of the daemons.
    """

    def __init__(
        self, zones: abc.Sequence[str], binary: str | None = None
    ) -> None:
        """Create a cluster.

        ``binary`` is the path of a zipapp to run instead of the source.
        """
        self.zones = tuple(zones)
        self._program = ['-m', 'primroselock']
        if binary is not None:
            self._program = [str(pathlib.Path(binary).resolve())]
        self.processes_by_name: dict[str, Process] = {}
        self.addresses_by_name: dict[str, str] = {}
        self.mesh_by_name: dict[str, str] = {}
        self.platform_by_zone: dict[str, str] = {}
        self._folder = tempfile.TemporaryDirectory(prefix='primroselock-')

    def __enter__(self) -> 'Cluster':
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill all started processes."""
        with defer_signals():
            for process in self.processes_by_name.values():
                process.send_signal(signal.SIGKILL)
            for process in self.processes_by_name.values():
                process.close()
            self._folder.cleanup()

    def start(self, name: str, arguments: list[str]) -> Process:
        """Start a module as ``name``, replacing a process of that name."""
        return self._start(name, ['-m', *arguments])

    def _start(self, name: str, arguments: list[str]) -> Process:
        old = self.processes_by_name.pop(name, None)
        if old is not None:
            old.close()
        # An interrupt in between would leave a process that is never killed.
        with defer_signals():
            process = Process(name, arguments)
            self.processes_by_name[name] = process
        return process

    def start_platform(self, lag_s: float = 0.2) -> None:
        """Start the platform's stand-in with one port per zone."""
        process = self.start(
            'platform',
            [
                'standins.platform',
                '--lag-s',
                str(lag_s),
                '--zones',
                *self.zones,
            ],
        )
        self.platform_by_zone = process.wait_event('listening')['zones']

    def platform_call(self, path: str, body: typing.Any = None) -> typing.Any:
        """Make an admin call to the platform's stand-in.

        Without a body it is a GET.  Returns the decoded JSON; raises
        :class:`AssertionError` unless the status is 200.
        """
        address = next(iter(self.platform_by_zone.values()))
        method = 'GET' if body is None else 'POST'
        answer = call(address, method, path, body)
        assert answer.status == 200, answer
        return answer.json()

    def set_fault(self, zone: str, mode: str, **fields: typing.Any) -> None:
        """Inject a fault of the platform for one zone."""
        body = {'zone': zone, 'mode': mode, **fields}
        self.platform_call('/admin/faults', body)

    def register_vm(
        self, name: str, role: str, zone: str, **fields: str
    ) -> None:
        """Add a started process to the platform's VM list."""
        vm = {
            'id': name,
            'role': role,
            'zone': zone,
            'address': self.addresses_by_name.get(name, ''),
            **fields,
        }
        self.platform_call('/admin/vms', {'put': [vm]})

    def start_worker(
        self, name: str, zone: str, rack: str, slot: int, *options: str
    ) -> Process:
        """Start a worker and add it to the VM list."""
        arguments = ['standins.worker', '--id', name, '--rack', rack]
        arguments += ['--slot', str(slot), *options]
        process = self.start(name, arguments)
        event = process.wait_event('listening')
        self.addresses_by_name[name] = event['address']
        self.register_vm(name, 'worker', zone, rack=rack)
        return process

    def start_upstream(
        self, name: str, zone: str, service: str, *options: str
    ) -> Process:
        """Start an upstream and add it to the VM list."""
        arguments = ['standins.upstream', '--id', name, *options]
        process = self.start(name, arguments)
        event = process.wait_event('listening')
        self.addresses_by_name[name] = event['address']
        self.register_vm(name, 'upstream', zone, service=service)
        return process

    def start_daemon(
        self,
        name: str,
        role: str,
        zone: str,
        settings: dict[str, dict[str, str]] | None = None,
    ) -> Process:
        """Start a gateway or a scheduler and add it to the VM list."""
        path = self.write_settings(name, zone, settings or {})
        arguments = [*self._program, role, '--settings', path]
        process = self._start(name, arguments)
        event = process.wait_event('listening')
        self.addresses_by_name[name] = event.get('http', '')
        self.mesh_by_name[name] = event['mesh']
        self.register_vm(name, role, zone, mesh=event['mesh'])
        return process

    def write_settings(
        self, name: str, zone: str, changes: dict[str, dict[str, str]]
    ) -> str:
        """Write the settings of a daemon with ``changes``; return the path."""
        digest = hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        sections: dict[str, dict[str, str]] = {
            'process': {'vm_id': name, 'zone': zone},
            'platform': {'address': self.platform_by_zone[zone]},
            'gateway': {'operator_digests': digest},
        }
        for section, values in changes.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f'[{section}]')
            lines += [f'{key} = {value}' for key, value in values.items()]
        path = pathlib.Path(self._folder.name) / f'{name}.ini'
        path.write_text('\n'.join(lines), encoding='utf-8')
        return str(path)

    def submit_patch(
        self, gateway: str, text: str, base_version: int | None = None
    ) -> Answer:
        """Submit a configuration patch through a gateway.

        ``base_version`` is by default the gateway's current version.
        """
        address = self.addresses_by_name[gateway]
        if base_version is None:
            shown = call(address, 'GET', '/v1/config', token=OPERATOR_TOKEN)
            base_version = shown.json()['version']
        body = {'base_version': base_version, 'text': text, 'comment': ''}
        return call(
            address, 'POST', '/v1/config/patches', body, OPERATOR_TOKEN
        )
