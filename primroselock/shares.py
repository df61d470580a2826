"""How many slots and connections of an upstream a gateway may use.

Connections are bounded without any agreement: each gateway opens at most
``connections // gateways``, where ``gateways`` of the service is the most
gateway processes that ever live at a time, replaced ones included.

Slots are shared by what is known.  A gateway of the upstream's zone may
always use its share, the slots divided by the zone's gateways; beyond it,
it borrows what the others' beacons leave unused.  A gateway of another
zone only borrows, and leaves one slot free.  Views may differ, so more
than all slots can be asked for; the upstream's own refusal is the last
guard.
"""

import dataclasses
import typing

from primroselock import configuration

_RESERVED_SLOTS: typing.Final = 1


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a gateway knows of the others that use an upstream.

    ``zone_gateways`` counts the live gateways of the upstream's zone, and
    ``all_gateways`` those of every zone, this one included in both where
    it belongs; ``used_by_others`` are slots.
    """

    is_own_zone: bool
    zone_gateways: int
    all_gateways: int
    used_by_others: int


def connection_limit(service: configuration.Service) -> int:
    """Return how many connections one gateway may open to an upstream."""
    return service.connections // service.gateways


def slot_limit(service: configuration.Service, view: View) -> int:
    """Return how many slots of an upstream this gateway may use now."""
    unused = service.slots - view.used_by_others
    if view.is_own_zone:
        share = max(1, service.slots // max(1, view.zone_gateways))
        allowed = max(share, unused)
    elif view.zone_gateways == 0:
        share = max(1, service.slots // max(1, view.all_gateways))
        allowed = max(share, unused)
    else:
        allowed = unused - _RESERVED_SLOTS
    return min(allowed, connection_limit(service))
