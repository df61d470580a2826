"""Limits on the slots and connections of an upstream that a gateway uses.

Connections are bounded without coordination: each gateway opens at most
``connections // gateways``, where ``gateways`` of the service is the
maximum number of gateway processes alive at a time, including ones that
are being replaced.

Slots are shared according to beacons.  A gateway of the upstream's zone may
always use its share, the slots divided by the number of gateways in the zone;
beyond it, it borrows the slots that the others' beacons report as unused.  A
gateway of another zone only borrows, and leaves one slot free.  If the
upstream's zone has no live gateway, the live gateways of all zones share its
slots in the same way.  Gateways may have different views, so together they
can exceed the number of slots; the upstream then refuses the excess requests.
"""

import dataclasses
import typing

from primroselock import configuration

_RESERVED_SLOTS: typing.Final = 1
"""Slots that gateways of other zones leave free."""


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What a gateway knows of the other gateways that use an upstream.

    ``zone_gateways`` counts the live gateways of the upstream's zone and
    ``all_gateways`` those of every zone.  ``all_gateways`` includes this
    gateway, ``zone_gateways`` only if it is in that zone.
    ``used_by_others`` counts slots.
    """

    is_own_zone: bool
    zone_gateways: int
    all_gateways: int
    used_by_others: int


def connection_limit(service: configuration.Service) -> int:
    """Return the maximum connections of one gateway to an upstream."""
    return service.connections // service.gateways


def slot_limit(service: configuration.Service, view: View) -> int:
    """Return the number of slots that this gateway may use now.

    It may be negative, which allows none.
    """
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
