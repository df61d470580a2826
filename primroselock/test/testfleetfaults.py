"""Random injected faults against complete nodes in virtual time.

Each example draws faults that start at a random time and end again:
workers are partitioned, crash, restart or answer late; nodes are killed,
lose the store or hand over; writes are lost or delayed.  The fake workers
record each violation of the scheduling invariants.  Once all faults are
over, every job must end.
"""

import asyncio
import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_WORKERS: typing.Final = 6
_FAULT_PERIOD_S: typing.Final = 20.0
_RECOVERY_TIMEOUT_S: typing.Final = 60.0


def _faults() -> strategies.SearchStrategy[list[faultbuilders.Fault]]:
    fault = strategies.builds(
        faultbuilders.Fault,
        strategies.sampled_from(faultbuilders.BASIC_KINDS),
        strategies.floats(0.5, _FAULT_PERIOD_S),
        strategies.floats(0.2, 6.0),
        strategies.integers(0, _WORKERS - 1),
    )
    return strategies.lists(fault, max_size=6)


def _submit_job(world: fleetbuilders.World, number: int) -> None:
    """Submit a job of one of four shapes, in turn."""
    build_step = fleetbuilders.build_step
    shapes = (
        (build_step(2, 4, 1500, gang=True),),
        (build_step(5, 1, 2500, 8000),),
        (build_step(1, 8, 2000),),
        (build_step(2, 1, 700), build_step(3, 2, 900, after=(0,))),
    )
    urgent = number % 2 == 0
    world.submit(
        fleetbuilders.build_graph(
            f'j{number}',
            *shapes[number % len(shapes)],
            queue='urgent' if urgent else 'bulk',
            account='merch' if number % 3 else 'signs',
        )
    )


def run_with_faults(faults: list[faultbuilders.Fault], seed: int) -> list[str]:
    """Run twelve jobs under ``faults``; return errors and violations."""

    async def run_all(virtual: virtualtime.VirtualClock) -> list[str]:
        world = fleetbuilders.World(seed, _WORKERS)
        for name in ('entry-1', 'entry-2', 'entry-3'):
            world.add_node(name)
        tasks = [
            asyncio.create_task(faultbuilders.inject(world, f)) for f in faults
        ]
        for number in range(12):
            await asyncio.sleep(_FAULT_PERIOD_S / 12)
            _submit_job(world, number)
        await asyncio.gather(*tasks)
        errors = []
        try:
            for number in range(12):
                await world.wait_for(f'j{number}', 'done', _RECOVERY_TIMEOUT_S)
        except AssertionError as error:
            errors.append(str(error))
        await world.close()
        return [*errors, *world.fleet.violations[:3]]

    return virtualtime.run(run_all)


class RandomFaultsTest(unittest.TestCase):
    """No task runs twice, too early or beyond capacity; all jobs end."""

    @hypothesis.settings(
        max_examples=60,
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
    )
    @hypothesis.given(_faults(), strategies.integers(0, 1000))
    def test_rules_hold_under_random_faults(
        self, faults: list[faultbuilders.Fault], seed: int
    ) -> None:
        self.assertEqual([], run_with_faults(faults, seed))

    def test_a_takeover_uses_its_listing_not_an_older_copy(
        self,
    ) -> None:
        """Guards against running a finished job again after a takeover.

        The local copy of the new lease holder still showed the job as
        placed, since its change feed had not answered.  Found by the random
        test.
        """
        faults = [
            faultbuilders.Fault('crash worker', 1.5, 2.5, 5),
            faultbuilders.Fault('holder loses store', 2.82, 4.0, 5),
            faultbuilders.Fault('feeds silent', 2.5, 1.0, 5),
        ]
        self.assertEqual([], run_with_faults(faults, 9))

    def test_ends_after_a_restart_are_not_confirmed_unreported(self) -> None:
        """Guards against running a finished task again after a restart.

        A poll confirmed the last end number of the worker's previous
        incarnation, and the new incarnation dropped ends that it had not
        reported yet.  Found by other seeds of the random test.
        """
        faults = [
            faultbuilders.Fault('crash worker', 15.856, 2.419, 4),
            faultbuilders.Fault('crash worker', 3.07, 5.172, 5),
            faultbuilders.Fault('cut worker', 17.779, 4.267, 3),
            faultbuilders.Fault('hand over', 10.562, 0.77, 1),
            faultbuilders.Fault('late answers', 11.711, 1.231, 2),
            faultbuilders.Fault('store silent', 12.873, 3.823, 3),
            faultbuilders.Fault('replies lost', 19.45, 5.056, 0),
        ]
        self.assertEqual([], run_with_faults(faults, 640))
