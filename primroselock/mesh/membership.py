"""Membership of the mesh from received beacons; every entry is a hint.

Beacons may be lost, duplicated, late or out of order.  Within one
incarnation only a beacon with a higher sequence number is accepted.  A
beacon of another incarnation replaces the known one at once, so that a VM
that was replaced at the same address is represented by its new process.
Beacons of the replaced incarnation are then accepted only after no beacon
of the current one was received for ``peer_expiry_s``.  A process without
a beacon for that long is not live; it is removed after ``PEER_RETENTION_S``.

All processes choose peers by the same rule from the same addresses: half
are neighbours on a ring of the own zone, the rest on a ring of all
processes, at distances of powers of two.  Updates therefore cross the
mesh in a number of steps logarithmic in its size.
"""

from collections import abc
import dataclasses
import hashlib
import typing

from primroselock.mesh import messages
from primroselock import options

PEER_RETENTION_S: typing.Final = 60.0
_BYTES_PER_ENTRY: typing.Final = 300
"""What the objects of an entry of a beacon take beside its text."""


ProcessKey = tuple[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerState:
    """The newest beacon of a process and when it was received.

    ``received_at`` is on the monotonic clock.  ``retired`` is the
    incarnation that this one replaced, if any; ``size`` is about what the
    beacon takes, in bytes.
    """

    beacon: messages.Beacon
    received_at: float
    retired: str = ''
    size: int = 0

    def config_age_s(self, now: float) -> float:
        """Return a lower bound of the confirmation's age, for display.

        Negative if the configuration was never confirmed.
        """
        if self.beacon.config_age_s < 0:
            return -1.0
        return self.beacon.config_age_s + now - self.received_at


class Members:
    """The processes whose beacons were received, by VM id and role."""

    def __init__(self, settings: options.Settings) -> None:
        self._expiry_s = settings.mesh.peer_expiry_s
        self._max_members = settings.mesh.max_members
        self._max_bytes = settings.mesh.max_held_bytes
        self._held_bytes = 0
        self.peers_by_process: dict[ProcessKey, PeerState] = {}

    def has_room(self, beacon: messages.Beacon, received_bytes: int) -> bool:
        """Return whether a beacon of so many bytes can be kept.

        Without keys whoever reaches the process can name ever new VMs;
        those that are known go first.
        """
        known = self.peers_by_process.get((beacon.vm_id, beacon.role))
        if known is None and len(self.peers_by_process) >= self._max_members:
            return False
        held = self._held_bytes - (known.size if known is not None else 0)
        return held + _size_of(beacon, received_bytes) <= self._max_bytes

    def record(
        self, beacon: messages.Beacon, now: float, received_bytes: int = 0
    ) -> bool:
        """Record a beacon; return False if it is outdated.

        It arrived in a message of ``received_bytes``.
        """
        key = (beacon.vm_id, beacon.role)
        known = self.peers_by_process.get(key)
        retired = ''
        if known is not None:
            if known.beacon.incarnation == beacon.incarnation:
                if beacon.sequence <= known.beacon.sequence:
                    return False
                retired = known.retired
            else:
                beacon_age_s = now - known.received_at
                if beacon.incarnation == known.retired and (
                    beacon_age_s <= self._expiry_s
                ):
                    return False
                retired = known.beacon.incarnation
        size = _size_of(beacon, received_bytes)
        self._held_bytes += size - (known.size if known is not None else 0)
        self.peers_by_process[key] = PeerState(beacon, now, retired, size)
        return True

    def is_live(self, peer: PeerState, now: float) -> bool:
        """Return whether a beacon was received within the expiry time."""
        return now - peer.received_at <= self._expiry_s

    def list_live(self, now: float) -> list[PeerState]:
        """Return the live processes; remove those past retention."""
        for key, peer in list(self.peers_by_process.items()):
            if now - peer.received_at > PEER_RETENTION_S:
                self._held_bytes -= peer.size
                del self.peers_by_process[key]
        return [
            peer
            for peer in self.peers_by_process.values()
            if self.is_live(peer, now)
        ]


def _size_of(beacon: messages.Beacon, received_bytes: int) -> int:
    """Return about what a beacon takes as objects, in bytes."""
    entries = len(beacon.slots_by_upstream) + len(beacon.loads_by_shard)
    return received_bytes + (entries + 1) * _BYTES_PER_ENTRY


def choose_peers(
    own_address: str,
    zones_by_address: abc.Mapping[str, str],
    limit: int,
) -> set[str]:
    """Return up to ``limit`` addresses to exchange messages with.

    ``zones_by_address`` holds every known process; a zone may be empty.
    """
    others = {a for a in zones_by_address if a and a != own_address}
    if len(others) <= limit:
        return others
    own_zone = zones_by_address.get(own_address, '')
    same_zone = {a for a in others if zones_by_address[a] == own_zone}
    chosen = _ring_neighbours(own_address, same_zone, limit // 2)
    for address in _ring_neighbours(own_address, others, len(others)):
        if len(chosen) >= limit:
            break
        if address not in chosen:
            chosen.append(address)
    return set(chosen)


def _ring_neighbours(own: str, others: set[str], limit: int) -> list[str]:
    """Return neighbours at distances 1, 2, 4, ... in both directions."""
    ring = sorted({own, *others}, key=_digest)
    position = ring.index(own)
    found: list[str] = []
    distance = 1
    while distance <= len(ring) // 2 and len(found) < limit:
        for step in (distance, -distance):
            address = ring[(position + step) % len(ring)]
            if address not in found and len(found) < limit:
                found.append(address)
        distance *= 2
    return found


def choose_poller(
    incarnations: abc.Iterable[str], wall_now: float, rotation_s: float
) -> str:
    """Return the incarnation that reads the head row for its zone.

    The role rotates every ``rotation_s``.  Processes with different views
    of the incarnations or the time may choose several pollers or an
    unresponsive one, which costs additional reads but no guarantee.
    """
    period = int(wall_now // rotation_s)
    return min(incarnations, key=lambda each: _digest(f'{period}:{each}'))


def _digest(text: str) -> bytes:
    return hashlib.sha256(text.encode()).digest()
