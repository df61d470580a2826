"""Uneven workers: work goes where its job ends in time.

Each test names the load that it answers.
"""

import asyncio
import math
import typing
import unittest

from primroselock.decisions.endtimes import needs
from primroselock.decisions.endtimes import speedorders
from primroselock.decisions import fleet
from primroselock.test import endtimebuilders
from primroselock.test import fleetbuilders

_SLOWDOWN: typing.Final = 1.8
"""An urgent job, whose objective is 1.5 times its run time and 0.25 s,
ends late on a worker that is slower by this factor."""

_BY_SPEED: typing.Final = '[fleet]\nspeed_order = fastest\n'


class NeedsTest(unittest.TestCase):
    """The lowest speed at which a job ends in time."""

    def setUp(self) -> None:
        self.board = endtimebuilders.build_board()
        step = fleetbuilders.build_step(2, 1, 2000, gang=True)
        self.group = endtimebuilders.add_group(
            self.board, step, fleetbuilders.URGENT
        )

    def test_what_is_left_decides(self) -> None:
        """An urgent gang of 2 s has 3.25 s, less with each moment."""
        at_once = needs.needed_speed(self.board, self.group, 0.0)
        later = needs.needed_speed(self.board, self.group, 1.0)
        self.assertGreater(at_once, 1 / _SLOWDOWN)
        self.assertLess(at_once, 0.75)
        self.assertGreater(later, 1.0)
        never = needs.needed_speed(self.board, self.group, 4.0)
        self.assertTrue(math.isinf(never))

    def test_time_for_another_run(self) -> None:
        """Work that may be slow keeps time to run again."""
        step = fleetbuilders.build_step(1, 1, 5000)
        bulk = endtimebuilders.add_group(self.board, step)
        once = needs.needed_speed(self.board, bulk, 0.0)
        twice = needs.needed_speed(self.board, bulk, 0.0, 1.0)
        self.assertLess(once, twice)
        self.assertLess(twice, 1 / _SLOWDOWN)

    def test_a_job_without_a_queue_needs_no_speed(self) -> None:
        self.group.job.queue = None
        speed = needs.needed_speed(self.board, self.group, 9.0)
        self.assertEqual(0.0, speed)

    def test_a_slow_run_that_ends_in_time_is_known(self) -> None:
        """A run on a slow worker is stopped only if its job will be late.

        It has done a tenth of its work after 2 s; the objective is 33 s.
        """
        for accepted_s, expected in ((2.0, True), (20.0, False)):
            running = endtimebuilders.Running(
                worked_s=2.0, accepted_s=accepted_s, share=0.1
            )
            group = endtimebuilders.run_group(self.board, 100.0, running)
            ends = needs.ends_in_time(self.board, group, 100.0, 100.0)
            self.assertEqual(expected, ends)


class OrderTest(unittest.TestCase):
    """Which workers a group uses first."""

    def setUp(self) -> None:
        self.board: fleet.ShardBoard = endtimebuilders.build_board()

    def test_single_tasks_leave_fast_workers_to_urgent_work(self) -> None:
        """Steady urgent work beside tasks that have much time."""
        step = fleetbuilders.build_step()
        bulk = endtimebuilders.add_group(self.board, step)
        urgent = endtimebuilders.add_group(
            self.board, step, fleetbuilders.URGENT
        )
        slow, fast, needed = 0.6, 1.4, 0.5
        self.assertLess(
            speedorders.by_end(bulk, slow, needed),
            speedorders.by_end(bulk, fast, needed),
        )
        self.assertGreater(
            speedorders.by_end(urgent, slow, needed),
            speedorders.by_end(urgent, fast, needed),
        )

    def test_single_tasks_avoid_workers_where_they_end_late(self) -> None:
        """Tasks that have waited for long."""
        group = endtimebuilders.add_group(
            self.board, fleetbuilders.build_step()
        )
        self.assertGreater(
            speedorders.by_end(group, 0.6, 0.9),
            speedorders.by_end(group, 1.4, 0.9),
        )


class LoadTest(unittest.TestCase):
    """Whole shards whose workers differ in speed."""

    def test_bulk_work_leaves_the_fast_workers_free(self) -> None:
        """Urgent jobs beside tasks that need half of the workers."""

        async def scenario(world: fleetbuilders.World) -> float:
            await _learn_speeds(world)
            step = fleetbuilders.build_step(32, 1, 8000)
            world.submit(fleetbuilders.build_graph('bulk', step))
            await asyncio.sleep(0.5)
            return await _run_urgent(world)

        self.assertLess(fleetbuilders.run_scenario(scenario, 8), 1.8)
        by_speed_s = fleetbuilders.run_scenario(scenario, 8, _BY_SPEED)
        self.assertGreater(by_speed_s, 0.0)

    def test_free_workers_that_are_too_slow_for_an_urgent_gang(self) -> None:
        """An urgent gang while only slow workers have room.

        On these it would be late; stops on fast ones let it end in time.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            await _learn_speeds(world)
            for number in range(0, 8, 2):
                world.fleet.workers_by_id[f'w{number}'].refused_start_share = 1
            step = fleetbuilders.build_step(32, 1, 8000)
            world.submit(fleetbuilders.build_graph('bulk', step))
            await asyncio.sleep(3.0)
            for number in range(0, 8, 2):
                world.fleet.workers_by_id[f'w{number}'].refused_start_share = 0
            return await _run_urgent(world)

        # The objective of a job of 1.5 s.
        self.assertLess(fleetbuilders.run_scenario(scenario, 8), 2.5)
        by_speed_s = fleetbuilders.run_scenario(scenario, 8, _BY_SPEED)
        self.assertGreater(by_speed_s, 2.5)


async def _learn_speeds(world: fleetbuilders.World) -> None:
    """Slow every second worker down; run tasks on all of them."""
    for number in range(0, 8, 2):
        world.fleet.workers_by_id[f'w{number}'].slowdown_factor = _SLOWDOWN
    step = fleetbuilders.build_step(64, 1, 1500)
    world.submit(fleetbuilders.build_graph('first', step))
    await world.wait_for('first', 'done', 60.0)


async def _run_urgent(world: fleetbuilders.World) -> float:
    """Return how long an urgent gang of four whole workers takes."""
    gang = fleetbuilders.build_step(4, 8, 1500, gang=True)
    world.submit(fleetbuilders.build_graph('u', gang, queue='urgent'))
    return await world.wait_for('u', 'done', 30.0)


if __name__ == '__main__':
    unittest.main()
