"""Interface of the platform's eventually consistent list of VMs.

The list is a hint: it may contain terminated VMs and lack new ones.  A
listed VM is not assumed to be alive; a VM that is no longer listed or is
leaving gets no new work.
"""

import dataclasses
import typing

import result

from primroselock.store import table


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM; ``role`` is worker, upstream, gateway or scheduler.

    ``address`` is where it receives calls; ``leaving`` is True once it is
    to shut down.  ``service`` is set for an upstream, ``rack`` for a
    worker, and ``mesh``, its mesh address, for the system's own VMs.
    """

    id: str
    role: str
    zone: str
    address: str
    leaving: bool = False
    service: str = ''
    rack: str = ''
    mesh: str = ''


class VmList(typing.Protocol):
    """Source of the VM list."""

    async def list_vms(self) -> result.Result[list[Vm], table.Unavailable]:
        """Return the VMs that the platform lists."""
