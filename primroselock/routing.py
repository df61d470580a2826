"""Chooses an upstream for a request and owns its connection pool.

An upstream is not usable while the VM list marks it as shutting down, shortly
after it refused a request, after recent failures (see
:mod:`primroselock.ejection`), and while this gateway's share of its slots is
used up (see :mod:`primroselock.shares`).  Among the usable ones, those in
this gateway's own zone are preferred, and a registered policy selects one: by
default the less loaded of two random candidates.
"""

from collections import abc
import dataclasses
import enum
import random
import typing

from primroselock import configuration
from primroselock import ejection
from primroselock import httpclient
from primroselock.mesh import membership
from primroselock import options
from primroselock import shares
from primroselock.store import vmlist

_REFUSED_PAUSE_S: typing.Final = 0.05
"""Time without requests to an upstream after it refused one."""

_SHUTDOWN_PAUSE_S: typing.Final = 5.0
"""The same if the upstream reported that it is shutting down."""

_MAX_EJECTED_FRACTION: typing.Final = 0.5


class Exclusion(enum.Enum):
    """Why an upstream gets no request now."""

    LEAVING = 'shuts down'
    PAUSED = 'refused a request just now'
    EJECTED = 'failed lately'
    PROBED = 'failed lately, and another request probes it'
    FULL = 'no slot is free for this gateway'
    OTHER_ZONE = 'upstreams of the own zone go first'


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream, its connections and its requests from this gateway.

    ``running`` counts the requests in progress from this gateway, and
    ``used_by_others`` the slots in use by other gateways, as their
    beacons report.  ``paused_until`` is on the monotonic clock.
    """

    vm: vmlist.Vm
    pool: httpclient.ConnectionPool
    running: int = 0
    used_by_others: int = 0
    health: ejection.Health = ejection.HEALTHY
    paused_until: float = 0.0

    @property
    def load(self) -> int:
        """The number of slots known to be in use."""
        return self.running + self.used_by_others


BalancingPolicy = abc.Callable[[list[Upstream], random.Random], Upstream]
balancing_policies_by_name: dict[str, BalancingPolicy] = {}


def balancing_policy(
    name: str,
) -> abc.Callable[[BalancingPolicy], BalancingPolicy]:
    """Register a policy that selects one of the usable upstreams."""

    def register(choose: BalancingPolicy) -> BalancingPolicy:
        balancing_policies_by_name[name] = choose
        return choose

    return register


@balancing_policy('random')
def _choose_random(
    candidates: list[Upstream], generator: random.Random
) -> Upstream:
    return generator.choice(candidates)


@balancing_policy('least_of_two')
def _choose_least_of_two(
    candidates: list[Upstream], generator: random.Random
) -> Upstream:
    if len(candidates) == 1:
        return candidates[0]
    first, second = generator.sample(candidates, 2)
    return first if first.load <= second.load else second


class Router:
    """The upstreams of every service, from the VM list and beacons."""

    def __init__(
        self,
        settings: options.Settings,
        generator: random.Random,
        slots_by_upstream: dict[str, int],
    ) -> None:
        self._vm_id = settings.process.vm_id
        self._zone = settings.process.zone
        self._policy = balancing_policies_by_name[
            settings.gateway.upstream_choice
        ]
        self._generator = generator
        self._slots_by_upstream = slots_by_upstream
        self._known_vms: list[vmlist.Vm] | None = None
        self._gateway_zones_by_vm_id: dict[str, str] = {}
        # The zone of each known gateway, including this one.
        self._zones_of_gateways: list[str] = [self._zone]
        # Upstreams that are no longer listed but still have connections.
        self._retired: list[Upstream] = []
        self.upstreams_by_id: dict[str, Upstream] = {}

    def record_vms(self, vms: list[vmlist.Vm]) -> None:
        """Update the upstreams and gateways from a VM list.

        A list that is the same object as the last one is skipped.
        """
        if vms is self._known_vms:
            return
        self._known_vms = vms
        self._gateway_zones_by_vm_id = {
            vm.id: vm.zone
            for vm in vms
            if vm.role == 'gateway' and not vm.leaving
        }
        listed = {vm.id: vm for vm in vms if vm.role == 'upstream'}
        for vm_id in self.upstreams_by_id.keys() - listed.keys():
            self._remove(vm_id)
        for vm_id, vm in listed.items():
            old = self.upstreams_by_id.get(vm_id)
            if old is not None and old.vm.address != vm.address:
                self._remove(vm_id)
                old = None
            if old is None:
                self.upstreams_by_id[vm_id] = self._restore_or_create(vm)
            else:
                old.vm = vm

    def _remove(self, vm_id: str) -> None:
        upstream = self.upstreams_by_id.pop(vm_id)
        upstream.pool.set_limit(0)
        self._slots_by_upstream.pop(vm_id, None)
        self._retired.append(upstream)

    def _restore_or_create(self, vm: vmlist.Vm) -> Upstream:
        """Return the upstream, reusing connections that are still open."""
        for upstream in self._retired:
            if upstream.vm.address == vm.address:
                self._retired.remove(upstream)
                upstream.vm = vm
                return upstream
        return Upstream(vm, httpclient.ConnectionPool(vm.address, limit=0))

    def refresh(
        self,
        current: configuration.Configuration,
        peers: abc.Iterable[membership.PeerState],
        now: float,
    ) -> None:
        """Update slot use and connection limits; close idle connections.

        ``peers`` are the live processes, ``now`` is on the monotonic
        clock.
        """
        beacons = [
            peer.beacon
            for peer in peers
            if peer.beacon.role == 'gateway'
            and peer.beacon.vm_id != self._vm_id
        ]
        zones_by_vm_id = dict(self._gateway_zones_by_vm_id)
        for beacon in beacons:
            if beacon.leaving:
                zones_by_vm_id.pop(beacon.vm_id, None)
            else:
                zones_by_vm_id[beacon.vm_id] = beacon.zone
        zones_by_vm_id[self._vm_id] = self._zone
        self._zones_of_gateways = list(zones_by_vm_id.values())
        for vm_id, upstream in self.upstreams_by_id.items():
            upstream.used_by_others = sum(
                beacon.slots_by_upstream.get(vm_id, 0) for beacon in beacons
            )
            service = current.services_by_name.get(upstream.vm.service)
            if service is not None:
                upstream.pool.set_limit(shares.connection_limit(service))
                upstream.pool.max_answer_bytes = service.max_answer_bytes
            upstream.pool.close_expired(now)
        self._retired = [
            old for old in self._retired if old.pool.connection_count
        ]

    def choose(
        self,
        service: configuration.Service,
        now: float,
        excluded: abc.Collection[str] = (),
    ) -> Upstream | None:
        """Return an upstream with a free slot, or None."""
        listed = self._upstreams_of(service.name)
        ejections_apply = self._ejections_apply(listed, now)
        usable = [
            upstream
            for upstream in listed
            if upstream.vm.id not in excluded
            and self._find_exclusion(upstream, service, now, ejections_apply)
            is None
        ]
        candidates = self._prefer_own_zone(usable)
        if not candidates:
            return None
        return self._policy(candidates, self._generator)

    def _prefer_own_zone(self, usable: list[Upstream]) -> list[Upstream]:
        own_zone = [up for up in usable if up.vm.zone == self._zone]
        return own_zone or usable

    def judge(
        self, service: configuration.Service, now: float
    ) -> list[tuple[Upstream, Exclusion | None]]:
        """Return the upstreams of a service, and what excludes each now.

        The policy chooses among those that nothing excludes.  No slot is
        taken and nothing is drawn.
        """
        listed = self._upstreams_of(service.name)
        ejections_apply = self._ejections_apply(listed, now)
        found = [
            (
                upstream,
                self._find_exclusion(upstream, service, now, ejections_apply),
            )
            for upstream in listed
        ]
        candidates = self._prefer_own_zone(
            [upstream for upstream, why in found if why is None]
        )
        return [
            (
                upstream,
                Exclusion.OTHER_ZONE
                if why is None and upstream not in candidates
                else why,
            )
            for upstream, why in found
        ]

    def has_available_upstream(
        self, service: configuration.Service, now: float
    ) -> bool:
        """Return whether any upstream could serve once it has a free slot.

        Upstreams that are shutting down or ejected cannot.
        """
        listed = self._upstreams_of(service.name)
        ejections_apply = self._ejections_apply(listed, now)
        return any(
            not upstream.vm.leaving
            and not _is_ejected(upstream, now, ejections_apply)
            for upstream in listed
        )

    def _upstreams_of(self, service: str) -> list[Upstream]:
        return [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.vm.service == service
        ]

    def _ejections_apply(self, listed: list[Upstream], now: float) -> bool:
        """Return whether ejections for lost responses apply.

        They are ignored while they affect more than
        ``_MAX_EJECTED_FRACTION`` of the upstreams.
        """
        ejected = sum(
            upstream.health.is_ejected(now)
            and not upstream.health.is_unreachable
            for upstream in listed
        )
        return ejected <= len(listed) * _MAX_EJECTED_FRACTION

    def _find_exclusion(
        self,
        upstream: Upstream,
        service: configuration.Service,
        now: float,
        ejections_apply: bool,
    ) -> Exclusion | None:
        """Return what excludes an upstream, whatever its zone, or None."""
        if upstream.vm.leaving:
            return Exclusion.LEAVING
        if now < upstream.paused_until:
            return Exclusion.PAUSED
        if _is_ejected(upstream, now, ejections_apply):
            return Exclusion.EJECTED
        health = upstream.health
        if health.is_on_probation(now) and upstream.running > 0:
            return Exclusion.PROBED
        if upstream.running < self.slot_limit(upstream, service):
            return None
        return Exclusion.FULL

    def slot_limit(
        self, upstream: Upstream, service: configuration.Service
    ) -> int:
        """Return how many slots of an upstream this gateway may use."""
        view = shares.View(
            upstream.vm.zone == self._zone,
            self._zones_of_gateways.count(upstream.vm.zone),
            len(self._zones_of_gateways),
            upstream.used_by_others,
        )
        return shares.slot_limit(service, view)

    def reserve(self, upstream: Upstream) -> None:
        """Count a slot of ``upstream`` as used by this gateway."""
        upstream.running += 1
        self._slots_by_upstream[upstream.vm.id] = upstream.running

    def release(self, upstream: Upstream) -> None:
        """Count a slot as free again."""
        upstream.running -= 1
        if upstream.vm.id in self.upstreams_by_id:
            self._slots_by_upstream[upstream.vm.id] = upstream.running

    def record_refusal(
        self, upstream: Upstream, is_shutting_down: bool, now: float
    ) -> None:
        """Pause an upstream that reported that it did not start a request."""
        pause_s = _SHUTDOWN_PAUSE_S if is_shutting_down else _REFUSED_PAUSE_S
        upstream.paused_until = now + pause_s

    async def aclose(self) -> None:
        """Close every idle connection."""
        for upstream in self.upstreams_by_id.values():
            await upstream.pool.aclose()


def _is_ejected(upstream: Upstream, now: float, ejections_apply: bool) -> bool:
    """Return whether an ejection of the upstream applies."""
    health = upstream.health
    return health.is_ejected(now) and (
        ejections_apply or health.is_unreachable
    )
