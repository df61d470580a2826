"""Outages of the store with deaths of the shard's holder beside them.

The store refuses the calls of all nodes, also of those that start meanwhile,
or leaves them without answers.  The series are added to those of any plan of
the soak.
"""

import asyncio
import random
import typing

from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders

_SERIES: typing.Final = 4
_FIRST_AT_S: typing.Final = 3.0
_MIN_OUTAGE_S: typing.Final = 2.0
_MAX_OUTAGE_S: typing.Final = 6.0
_MAX_KILLS: typing.Final = 3
_KILLS_PAST_END_S: typing.Final = 2.0
_MAX_TARGET: typing.Final = 60
_OUTAGE: typing.Final = 'store outage'
_KILL: typing.Final = 'kill holder'


def draw_series(seed: int, until: float) -> tuple[faultbuilders.Fault, ...]:
    """Return the outages of a seed, which begin before ``until``.

    In each up to three holders are killed, some of them just after its end.
    Times are in seconds into the run.
    """
    source = random.Random(f'outages {seed}')
    faults: list[faultbuilders.Fault] = []
    for _ in range(_SERIES):
        at = source.uniform(_FIRST_AT_S, max(until, _FIRST_AT_S))
        for_s = source.uniform(_MIN_OUTAGE_S, _MAX_OUTAGE_S)
        target = source.randrange(_MAX_TARGET)
        faults.append(faultbuilders.Fault(_OUTAGE, at, for_s, target))
        for _ in range(source.randint(0, _MAX_KILLS)):
            kill_at = at + source.uniform(0.0, for_s + _KILLS_PAST_END_S)
            faults.append(faultbuilders.Fault(_KILL, kill_at, 0.5, target))
    return tuple(faults)


@faultbuilders.injection(_OUTAGE)
async def _play_outage(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> None:
    """Take the store from all nodes; by the target calls get no answer."""
    is_silent = bool(fault.target % 2)
    affected: list[fleetbuilders.TestNode] = []

    def lose_store(node: fleetbuilders.TestNode) -> None:
        _set_store(node, is_silent, True)
        affected.append(node)

    for node in world.nodes:
        lose_store(node)
    world.node_hooks.append(lose_store)
    await asyncio.sleep(fault.for_s)
    world.node_hooks.remove(lose_store)
    for node in affected:
        _set_store(node, is_silent, False)


def _set_store(
    node: fleetbuilders.TestNode, is_silent: bool, is_lost: bool
) -> None:
    """Take the store from a node, or give it back."""
    if is_silent:
        node.connectivity.is_unresponsive = is_lost
    else:
        node.connectivity.refuses_calls = is_lost
