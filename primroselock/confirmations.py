"""Processes that have a configuration version in force, for operators.

Computed from beacons and the VM list.  A process is ``confirmed``, ``behind``
(its last beacon shows an older version) or ``silent`` (on the VM list or
known from an earlier beacon, without a recent beacon).  Ages are lower
bounds, since the network delay of a beacon is unknown.
"""

from collections import abc
import dataclasses
import typing

from primroselock.mesh import membership
from primroselock.mesh import messages
from primroselock.store import vmlist

DAEMON_ROLES: typing.Final = frozenset({'gateway', 'scheduler'})


@dataclasses.dataclass(frozen=True, slots=True)
class ProcessState:
    """State of one process.

    ``state`` is ``confirmed``, ``behind`` or ``silent``.  A negative
    ``config_age_s`` means that no confirmation of it is known, and version
    0 that it has no version or sent no beacon.
    """

    vm_id: str
    role: str
    zone: str
    state: str
    config_version: int
    config_age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ZoneConfirmations:
    """One zone: lowest version and highest age of its live processes.

    Without a live process they are 0 and -1; the age is -1 too if one of
    them never confirmed a version.  ``not_confirmed`` lists the processes
    whose beacon shows an older version, ``silent`` those without a recent
    beacon.
    """

    zone: str
    config_version: int
    config_age_s: float
    confirmed: int
    not_confirmed: tuple[str, ...]
    silent: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Confirmations:
    """Processes that have ``version`` in force.

    ``complete`` is True when every process with a recent beacon has it.
    """

    version: int
    complete: bool
    zones: tuple[ZoneConfirmations, ...]
    processes: tuple[ProcessState, ...]


def collect(
    version: int,
    own: messages.Beacon,
    members: membership.Members,
    vms: abc.Iterable[vmlist.Vm],
    now: float,
) -> Confirmations:
    """Return which processes have ``version`` in force at ``now``."""
    states = {
        (own.vm_id, own.role): _describe(
            membership.PeerState(own, now), version, now
        )
    }
    for key, peer in members.peers_by_process.items():
        states[key] = _describe(peer, version, now)
        if not members.is_live(peer, now):
            states[key] = dataclasses.replace(states[key], state='silent')
    for vm in vms:
        key = (vm.id, vm.role)
        if vm.role in DAEMON_ROLES and not vm.leaving and key not in states:
            states[key] = ProcessState(
                vm.id, vm.role, vm.zone, 'silent', 0, -1.0
            )
    processes = tuple(states[key] for key in sorted(states))
    names = sorted({process.zone for process in processes})
    zones = tuple(_summarize(name, processes) for name in names)
    complete = all(not zone.not_confirmed for zone in zones)
    return Confirmations(version, complete, zones, processes)


def _describe(
    peer: membership.PeerState, version: int, now: float
) -> ProcessState:
    beacon = peer.beacon
    return ProcessState(
        beacon.vm_id,
        beacon.role,
        beacon.zone,
        'confirmed' if beacon.config_version >= version else 'behind',
        beacon.config_version,
        round(peer.config_age_s(now), 3),
    )


def _summarize(
    zone: str, processes: tuple[ProcessState, ...]
) -> ZoneConfirmations:
    in_zone = [process for process in processes if process.zone == zone]
    live = [process for process in in_zone if process.state != 'silent']
    ages = [process.config_age_s for process in live]
    return ZoneConfirmations(
        zone,
        min((process.config_version for process in live), default=0),
        -1.0 if not ages or min(ages) < 0 else max(ages),
        sum(process.state == 'confirmed' for process in live),
        _names(process for process in live if process.state == 'behind'),
        _names(process for process in in_zone if process.state == 'silent'),
    )


def _names(processes: abc.Iterable[ProcessState]) -> tuple[str, ...]:
    return tuple(f'{process.role} {process.vm_id}' for process in processes)
