"""Quotas that change while the soak goes on, and checks that know of them.

They are set, lowered far below what runs, raised and taken away, in series
beside the faults of any plan.  At the end they hold each gang.
"""

import asyncio
import dataclasses
import random
import typing

from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders
from primroselock.test import quotabuilders

_MAX_CHANGES: typing.Final = 12
_MIN_PAUSE_S: typing.Final = 0.1
_MAX_PAUSE_S: typing.Final = 9.0
_LARGEST_GANG: typing.Final = 240
"""Accelerators that no gang of the soak exceeds."""

_ALL: typing.Final = 480
"""Accelerators of all workers."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaChange:
    """The quotas of the accounts from ``at`` on, in seconds into the run."""

    at: float
    quotas_by_account: dict[str, queues.Quota]


def draw_changes(seed: int, until: float) -> tuple[QuotaChange, ...]:
    """Return the changes of a seed; the last is at ``until``."""
    source = random.Random(f'quotas {seed}')
    changes = [QuotaChange(0.0, _draw_quotas(source))]
    at = 0.0
    for _ in range(source.randint(2, _MAX_CHANGES)):
        at += source.uniform(_MIN_PAUSE_S, _MAX_PAUSE_S)
        if at >= until:
            break
        changes.append(QuotaChange(at, _draw_quotas(source)))
    last = {
        name: queues.Quota(accelerators=source.randint(_LARGEST_GANG, _ALL))
        for name in fleetbuilders.QUEUE_CONFIGURATION.accounts_by_name
    }
    return (*changes, QuotaChange(until, last))


def _draw_quotas(source: random.Random) -> dict[str, queues.Quota]:
    """Return a quota for each account: tight, of one resource, or none."""
    return {
        name: source.choice(
            (
                queues.UNLIMITED,
                queues.Quota(accelerators=source.randint(1, 60)),
                queues.Quota(accelerators=source.randint(40, _ALL)),
                queues.Quota(cpu_millis=source.randint(20_000, 800_000)),
                queues.Quota(
                    memory_mb=source.randint(10_000, 200_000),
                    accelerators=source.randint(20, 200),
                ),
            )
        )
        for name in fleetbuilders.QUEUE_CONFIGURATION.accounts_by_name
    }


class QuotaPlay:
    """Applies changes of quotas to a world and judges its starts."""

    def __init__(
        self,
        world: fleetbuilders.World,
        changes: tuple[QuotaChange, ...],
    ) -> None:
        self._world = world
        self._changes = changes
        self.check = quotabuilders.QuotaCheck(world)

    async def run(self) -> None:
        """Apply each change in its time."""
        at = 0.0
        for change in self._changes:
            await asyncio.sleep(change.at - at)
            at = change.at
            self._apply(change)

    def _apply(self, change: QuotaChange) -> None:
        world = self._world
        world.set_queue_configuration(
            quotabuilders.with_quotas(
                world.queue_configuration, change.quotas_by_account
            )
        )
        self.check.note_change()

    def may_wait(self, graph: jobgraph.JobGraph, step: jobgraph.Step) -> bool:
        """Return whether a group may wait beside free capacity.

        Its account uses half of its quota or more, or the group would bring
        it above.
        """
        return not self.check.leaves_room(graph.account, step)
