"""Slopes of the mesh: what each peer costs a gateway."""

import threading
import typing

import msgspec
import zmq

from primroselock.mesh import messages
from tools.slopes import bench
from tools.slopes import fits
from tools.slopes import registry
from tools.slopes import relay

_PEER_COUNTS: typing.Final = (4, 8, 12, 16)
_BEACON_INTERVAL_S: typing.Final = 0.5
_UPSTREAMS: typing.Final = 24


class FakePeers:
    """Peers that send beacons to the gateway and take its own.

    Every peer's streams pass through relays.
    """

    def __init__(self, relay_host: relay.RelayHost, mesh: str) -> None:
        self.wires: list[relay.Relay] = []
        self._relays = relay_host
        self._context = zmq.Context()
        self._sockets: list[zmq.Socket[bytes]] = []
        self._addresses: list[str] = []
        self._mesh = mesh
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self._thread = threading.Thread(target=self._publish, daemon=True)
        self._thread.start()

    def add(self) -> dict[str, str]:
        """Add a peer; return its VM entry."""
        with self._lock:
            router = self._context.socket(zmq.ROUTER)
            router.bind('tcp://127.0.0.1:0')
            bound = router.getsockopt_string(zmq.LAST_ENDPOINT)
            inward = self._relays.open(bound.removeprefix('tcp://'))
            outward = self._relays.open(self._mesh)
            dealer = self._context.socket(zmq.DEALER)
            dealer.connect(f'tcp://{outward.address}')
            self._sockets += [router, dealer]
            self._addresses.append(inward.address)
            self.wires += [inward, outward]
            name = f'peer-{len(self._sockets) // 2}'
        return {
            'id': name,
            'role': 'gateway',
            'zone': 'far',
            'address': '',
            'mesh': inward.address,
        }

    def _publish(self) -> None:
        sequence = 0
        slots = {f'upstream-{i}': i % 8 for i in range(_UPSTREAMS)}
        while not self._stopping.wait(_BEACON_INTERVAL_S):
            sequence += 1
            with self._lock:
                for index, dealer in enumerate(self._sockets[1::2]):
                    beacon = messages.Beacon(
                        vm_id=f'peer-{index + 1}',
                        incarnation='slopes',
                        sequence=sequence,
                        role='gateway',
                        zone='far',
                        config_version=1,
                        config_age_s=0.25,
                        slots_by_upstream=slots,
                        address=self._addresses[index],
                    )
                    dealer.send(msgspec.msgpack.encode(beacon))

    def close(self) -> None:
        """End the thread and close the sockets."""
        self._stopping.set()
        self._thread.join()
        self._context.destroy(linger=0)


@registry.part('mesh')
def measure_mesh(window_s: float) -> list[fits.Fit]:
    """Grow the peers of a gateway; each beacon names 24 upstreams."""
    with bench.Bench(window_s) as run:
        peers = FakePeers(
            run.relay_host, run.cluster.mesh_by_name['gateway-a']
        )
        try:
            points: list[tuple[float, bench.Rates]] = []
            entries: list[dict[str, str]] = []
            for count in _PEER_COUNTS:
                while len(entries) < count:
                    entries.append(peers.add())
                run.links = peers.wires
                run.register_vms(entries)
                run.wait_for_propagation()
                points.append((count, run.measure('gateway-a')))
        finally:
            peers.close()
    if not all(rates.link_bytes for _, rates in points):
        raise RuntimeError('no byte passed between the peers')
    return registry.fit_rates(
        'mesh.peer',
        'peer',
        points,
        ('cpu', 'rss_mb', 'link_bytes', 'link_chunks'),
    )
