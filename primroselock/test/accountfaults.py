"""Accounts that flood, and weights that change, beside other faults.

Each flood is of one account; holders are killed and feeds are silent
meanwhile.  The series are added to those of any plan of the soak.
"""

import asyncio
import dataclasses
import random
import typing

import msgspec

from primroselock import clock
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import loadbuilders

_SERIES: typing.Final = 3
_FIRST_AT_S: typing.Final = 1.0
_SERIES_S: typing.Final = 6.0
_MIN_FLOOD_S: typing.Final = 2.0
_MAX_FLOOD_S: typing.Final = 5.0
_FLOOD_GAP_S: typing.Final = 0.15
_MAX_TARGET: typing.Final = 60
_WEIGHTS: typing.Final = (None, 0.5, 1.0, 1.0, 3.0, 20.0)
_FLOOD: typing.Final = 'account floods'
_NEW_WEIGHTS: typing.Final = 'new weights'
_DISTURBANCES: typing.Final = ('feeds silent', 'kill holder')


def draw_series(seed: int, until: float) -> tuple[faultbuilders.Fault, ...]:
    """Return the floods of a seed, in series that begin before ``until``.

    Accounts have weights from the first moment on.  Times are in seconds
    into the run.
    """
    source = random.Random(f'accounts {seed}')
    faults = [faultbuilders.Fault(_NEW_WEIGHTS, 0.0, 0.0, seed % _MAX_TARGET)]
    for _ in range(_SERIES):
        at = source.uniform(_FIRST_AT_S, max(until, _FIRST_AT_S))
        kinds = [_FLOOD, _NEW_WEIGHTS, source.choice(_DISTURBANCES)]
        faults += [
            faultbuilders.Fault(
                kind,
                at + source.uniform(0.0, _SERIES_S),
                source.uniform(_MIN_FLOOD_S, _MAX_FLOOD_S),
                source.randrange(_MAX_TARGET),
            )
            for kind in kinds
        ]
    return tuple(faults)


@faultbuilders.injection(_FLOOD)
async def _flood(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> None:
    """Let one account send jobs of usual kinds, many times its usual."""
    source = random.Random(f'{fault.at} {fault.target}')
    accounts = sorted(world.queue_configuration.accounts_by_name)
    account = accounts[fault.target % len(accounts)]
    until = clock.monotonic() + fault.for_s
    number = 0
    while clock.monotonic() < until:
        name = f'flood-{fault.target}-{fault.at:.3f}-{number}'
        number += 1
        graph = loadbuilders.build_job(
            source.choice(loadbuilders.KINDS), name.replace('.', '-'), source
        )
        world.submit(msgspec.structs.replace(graph, account=account))
        await asyncio.sleep(_FLOOD_GAP_S)


@faultbuilders.injection(_NEW_WEIGHTS)
async def _change_weights(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> None:
    """Publish a version in which accounts have other weights, or none."""
    source = random.Random(f'{fault.at} {fault.target}')
    accounts = {
        name: dataclasses.replace(account, weight=source.choice(_WEIGHTS))
        for name, account in sorted(
            world.queue_configuration.accounts_by_name.items()
        )
    }
    world.change_queue_configuration(accounts_by_name=accounts)
