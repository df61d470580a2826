"""Runs the system on stand-ins, with relays at the measured processes."""

from collections import abc
import dataclasses
import hashlib
import time
import typing

from standins import launch
from tools.slopes import processes
from tools.slopes import relay

ZONE: typing.Final = 'a'
ACCOUNT_TOKEN: typing.Final = 'slopes-caller-token'
# Covers the lag of the VM list (0.2 s) and the interval of reading it (1 s).
_PROPAGATION_WAIT_S: typing.Final = 1.5
_FIRST_PATCH: typing.Final = f"""
[zone a]
racks = 16
[account signs]
token_digests = {hashlib.sha256(ACCOUNT_TOKEN.encode()).hexdigest()}
guarantee.a = 64:2
[service quote-desk]
slots = 64
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Rates:
    """Resource use of one process over a measurement window.

    ``rss_mb`` is the resident memory at the end in MB, ``cpu`` processor
    seconds per second; the other fields are counts or bytes per second.
    ``load`` is the number of accepted calls of the load per second;
    ``link_chunks`` approximates segments (see :mod:`tools.slopes.relay`).
    """

    load: float
    cpu: float
    rss_mb: float
    table_bytes: float
    table_reads: float
    table_writes: float
    vm_list_reads: float
    link_bytes: float = 0.0
    link_chunks: float = 0.0


Load = abc.Callable[[float], int]
"""Runs for a window in seconds; returns the number of accepted calls."""


class Bench:
    """One zone with a gateway; parts start further processes to measure.

    ``links`` are the relays at the workers or peers, ``platform_relays``
    those between each daemon and the platform, by the daemon's name.
    """

    def __init__(self, window_s: float) -> None:
        self.window_s = window_s
        self.cluster = launch.Cluster([ZONE])
        self.relay_host = relay.RelayHost()
        self.links: list[relay.Relay] = []
        self.platform_relays: dict[str, relay.Relay] = {}

    def __enter__(self) -> 'Bench':
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Terminate every process and stop every relay."""
        self.cluster.close()
        self.relay_host.close()

    def _start(self) -> None:
        self.cluster.start_platform()
        self.start_daemon('gateway-a', 'gateway')
        launch.wait_for(self._is_ready, 'the gateway is ready')
        accepted = self.cluster.submit_patch('gateway-a', _FIRST_PATCH)
        if accepted.status != 201:
            raise RuntimeError(f'the first patch was rejected: {accepted}')

    def _is_ready(self) -> bool:
        try:
            return self.call('GET', '/readyz').status == 200
        except ConnectionError:
            return False

    def start_daemon(
        self,
        name: str,
        role: str,
        settings: dict[str, dict[str, str]] | None = None,
    ) -> launch.Process:
        """Start a daemon that calls the platform through a relay."""
        platform_relay = self.relay_host.open(
            self.cluster.platform_by_zone[ZONE]
        )
        self.platform_relays[name] = platform_relay
        changes = {
            'platform': {'address': platform_relay.address},
            **(settings or {}),
        }
        return self.cluster.start_daemon(name, role, ZONE, changes)

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> launch.Answer:
        """Call the gateway as the client account."""
        address = self.cluster.addresses_by_name['gateway-a']
        return launch.call(address, method, path, body, ACCOUNT_TOKEN)

    def start_fleet(self, workers: int) -> list[dict[str, str]]:
        """Start workers behind relays; return their VM list entries."""
        arguments = ['standins.fleet', '--workers', str(workers)]
        fleet = self.cluster.start('fleet', arguments)

        def all_listen() -> list[dict[str, typing.Any]] | None:
            found = [e for e in fleet.events if e['event'] == 'listening']
            return found if len(found) == workers else None

        entries = []
        for event in launch.wait_for(all_listen, 'the workers listen'):
            worker_relay = self.relay_host.open(event['address'])
            self.links.append(worker_relay)
            index = int(event['id'].rpartition('-')[2])
            entries.append(
                {
                    'id': event['id'],
                    'role': 'worker',
                    'zone': ZONE,
                    'address': worker_relay.address,
                    'rack': f'worker-rack-{index // 8}',
                }
            )
        # The number follows the prefix ``worker-``.
        return sorted(entries, key=lambda entry: int(entry['id'][7:]))

    def register_vms(self, entries: list[dict[str, str]]) -> None:
        """Add VMs to the platform's VM list."""
        self.cluster.platform_call('/admin/vms', {'put': entries})

    def wait_for_propagation(self) -> None:
        """Wait until a change has reached every process."""
        time.sleep(_PROPAGATION_WAIT_S)

    def measure(self, name: str, load: Load | None = None) -> Rates:
        """Return the resource use of a process while ``load`` runs.

        Without a load no calls are made within the window.
        """
        pid = self.cluster.processes_by_name[name].pid
        platform_relay = self.platform_relays[name]
        before, started_at = (
            self._read_totals(pid, platform_relay),
            time.monotonic(),
        )
        accepted = 0
        if load is None:
            time.sleep(self.window_s)
        else:
            accepted = load(self.window_s)
        elapsed_s = time.monotonic() - started_at
        after = self._read_totals(pid, platform_relay)
        cpu, *rest = (
            (new - old) / elapsed_s
            for new, old in zip(after, before, strict=True)
        )
        rss_mb = processes.read_usage(pid).rss_bytes / 1e6
        return Rates(accepted / elapsed_s, cpu, rss_mb, *rest)

    def _read_totals(
        self, pid: int, platform_relay: relay.Relay
    ) -> tuple[float, ...]:
        return (
            processes.read_usage(pid).cpu_s,
            platform_relay.bytes_total,
            platform_relay.count_calls('read', 'scan'),
            platform_relay.count_calls('transact'),
            platform_relay.count_calls('vms'),
            sum(link.bytes_total for link in self.links),
            sum(link.chunks for link in self.links),
        )
