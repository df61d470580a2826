"""Injected faults of orders: carried out late, and refused when repeated.

A worker does not answer some orders and carries out starts among them seconds
later, while it refuses others for a reason that passes.  A start may so be
refused while an earlier order of the same run is still under way.  The faults
come in series that overlap, beside those of any plan of the soak.
"""

import asyncio
import random
import typing

from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.workers import orders

_SERIES: typing.Final = 3
_FAULTS_OF_KIND: typing.Final = 3
_FIRST_AT_S: typing.Final = 2.0
_SERIES_S: typing.Final = 3.0
_MIN_FAULT_S: typing.Final = 1.0
_MAX_FAULT_S: typing.Final = 6.0
_MAX_TARGET: typing.Final = 60
_LATE_SHARE: typing.Final = 0.3
_REFUSED_SHARE: typing.Final = 0.5
_REFUSALS: typing.Final = (
    orders.Refusal.UNHEALTHY,
    orders.Refusal.NO_CAPACITY,
    orders.Refusal.TICKET_REJECTED,
)


def draw_series(seed: int, until: float) -> tuple[faultbuilders.Fault, ...]:
    """Return the faults of orders of a seed; each begins soon after a time.

    These times are before ``until``, in seconds into the run.
    """
    source = random.Random(f'{seed}/orders')
    faults: list[faultbuilders.Fault] = []
    for _ in range(_SERIES):
        at = source.uniform(_FIRST_AT_S, max(until, _FIRST_AT_S))
        faults += [
            faultbuilders.Fault(
                kind,
                at + source.uniform(0.0, _SERIES_S),
                source.uniform(_MIN_FAULT_S, _MAX_FAULT_S),
                source.randrange(_MAX_TARGET),
            )
            for kind in sorted(faultbuilders.ORDER_KINDS)
            for _ in range(_FAULTS_OF_KIND)
        ]
    return tuple(faults)


def _list_half(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> list[simulatedworker.FakeWorker]:
    """Return half of the workers, depending on the target."""
    workers = list(world.fleet.workers_by_id.values())
    return workers[fault.target % 2 :: 2]


@faultbuilders.injection('orders late')
async def _delay_orders(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> None:
    workers = _list_half(world, fault)
    await faultbuilders.delay_orders(workers, _LATE_SHARE, fault)


@faultbuilders.injection('starts refused')
async def _refuse_starts(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> None:
    workers = _list_half(world, fault)
    for worker in workers:
        worker.refusal = _REFUSALS[fault.target % len(_REFUSALS)]
        worker.refused_start_share = _REFUSED_SHARE
    await asyncio.sleep(fault.for_s)
    for worker in workers:
        worker.refusal = orders.Refusal.UNHEALTHY
        worker.refused_start_share = 0.0
