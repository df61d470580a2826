"""Interface of the platform's eventually consistent list of VMs.

The list is a hint: it may contain terminated VMs and lack new ones.  It
is used only together with its age, and can only take work away from a VM.
"""

import dataclasses
import typing

import result

from primroselock.store import table


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """One VM; ``role`` is worker, upstream, gateway or scheduler.

    ``service`` is set for an upstream, ``rack`` for a worker, and
    ``mesh``, its mesh address, for the system's own VMs.
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
