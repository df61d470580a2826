"""Chooses an upstream for a request and keeps its lanes.

The choice is the less loaded of two upstreams drawn at random, in the
gateway's own availability zone first.
"""

import dataclasses
import random

from primroselock import httplane
from primroselock import options
from primroselock.platform import vmlist


@dataclasses.dataclass(slots=True)
class Upstream:
    """An upstream, its lanes and how many requests it runs from here."""

    vm: vmlist.Vm
    pool: httplane.LanePool
    running: int = 0


class Router:
    """The upstreams of every service, from the VM list."""

    def __init__(
        self, settings: options.Settings, generator: random.Random
    ) -> None:
        self._zone = settings.process.zone
        self._generator = generator
        self.upstreams_by_id: dict[str, Upstream] = {}

    def record_vms(self, vms: list[vmlist.Vm]) -> None:
        """Take over the upstreams from the VM list."""
        listed = {vm.id: vm for vm in vms if vm.role == 'upstream'}
        for vm_id in self.upstreams_by_id.keys() - listed.keys():
            del self.upstreams_by_id[vm_id]
        for vm_id, vm in listed.items():
            old = self.upstreams_by_id.get(vm_id)
            if old is None or old.vm.address != vm.address:
                pool = httplane.LanePool(vm.address, limit=64)
                self.upstreams_by_id[vm_id] = Upstream(vm, pool)
            else:
                old.vm = vm

    def choose(self, service: str, slots: int) -> Upstream | None:
        """Return an upstream with a free slot, or None."""
        free = [
            upstream
            for upstream in self.upstreams_by_id.values()
            if upstream.vm.service == service
            and not upstream.vm.leaving
            and upstream.running < slots
        ]
        near = [up for up in free if up.vm.zone == self._zone]
        candidates = near or free
        if not candidates:
            return None
        drawn = self._generator.sample(candidates, min(2, len(candidates)))
        return min(drawn, key=lambda upstream: upstream.running)
