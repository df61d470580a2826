"""Workers whose capacity shrinks and grows while they run, in virtual time.

Each run checks in the fake workers that no start brings a worker over a
capacity that its entry has shown for long enough.
"""

import asyncio
import typing
import unittest
from unittest import mock

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders


class JudgementTest(unittest.TestCase):
    """What the fake workers judge, without a node."""

    def count_violations(self, late_s: float) -> int:
        """Start a second run ``late_s`` after there is room for one only."""

        async def scenario(virtual: virtualtime.VirtualClock) -> int:
            world = fleetbuilders.World(0, 1)
            step = fleetbuilders.build_step(2, 4, capacitybuilders.LONG_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            for index in range(2):
                name = jobgraph.TaskName('j', 0, 0, index)
                order = orders.Start(
                    orders.Run(name, 1), '', clock.monotonic() + 9, 1, '', ''
                )
                await world.fleet.start('w0', 'w0:1', order, 1.0)
                if not index:
                    world.set_capacity('w0', capacitybuilders.HALF)
                    await asyncio.sleep(late_s)
            await world.close()
            return len(world.fleet.violations)

        return virtualtime.run(scenario)

    def test_the_earlier_capacity_counts_for_a_while(self) -> None:
        self.assertEqual(
            0, self.count_violations(capacitybuilders.GRACE_S - 0.1)
        )

    def test_a_start_after_that_is_judged_by_the_new_capacity(self) -> None:
        """Guards against a check that lets every start on a shrunk worker."""
        self.assertEqual(
            1, self.count_violations(capacitybuilders.GRACE_S + 0.1)
        )


class RunningWorkTest(unittest.TestCase):
    """Work that runs on a worker when its capacity shrinks."""

    def test_it_goes_on_and_gets_no_company(self) -> None:
        """Guards against stops, and against starts beside an overload."""

        async def scenario(world: fleetbuilders.World) -> None:
            capacitybuilders.submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', capacitybuilders.HALF)
            await asyncio.sleep(capacitybuilders.GRACE_S + 0.1)
            capacitybuilders.submit(world, 'new', 4, 1)
            capacitybuilders.submit(world, 'small', 4, 0, cpu_millis=1000)
            await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertEqual(
                8, capacitybuilders.count_runs(world, 'old', 'w0')
            )
            self.assertEqual(0, capacitybuilders.count_runs(world, 'new'))
            self.assertEqual(0, capacitybuilders.count_runs(world, 'small'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_a_worker_may_lose_all_capacity(self) -> None:
        """Guards against a division by the capacity of nothing."""

        async def scenario(world: fleetbuilders.World) -> None:
            capacitybuilders.submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', capacitybuilders.NOTHING)
            capacitybuilders.submit(world, 'new', 1, 1)
            await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertEqual(
                8, capacitybuilders.count_runs(world, 'old', 'w0')
            )
            self.assertEqual(0, capacitybuilders.count_runs(world, 'new'))
            world.set_capacity('w0', jobgraph.Resources(64000, 262144, 9))
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(1, capacitybuilders.count_runs(world, 'new'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_a_takeover_counts_what_an_earlier_holder_started(self) -> None:
        """Guards against a new holder that fills a worker that shrank."""

        async def scenario(world: fleetbuilders.World) -> None:
            capacitybuilders.submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', capacitybuilders.HALF)
            await world.nodes.pop().kill()
            await asyncio.sleep(capacitybuilders.GRACE_S)
            world.add_node('entry-2')
            capacitybuilders.submit(world, 'new', 2, 1)
            await asyncio.sleep(2 * capacitybuilders.LIMIT_S)
            self.assertEqual(
                8, capacitybuilders.count_runs(world, 'old', 'w0')
            )
            self.assertEqual(0, capacitybuilders.count_runs(world, 'new'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_what_is_being_stopped_still_counts(self) -> None:
        """Guards against a start into capacity that a stop will free."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.stop_delay_s = 2.0
            capacitybuilders.submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', capacitybuilders.HALF)
            await asyncio.sleep(capacitybuilders.GRACE_S + 0.1)
            world.cancel('old')
            capacitybuilders.submit(world, 'new', 4, 1)
            await asyncio.sleep(1.5)
            self.assertEqual(0, capacitybuilders.count_runs(world, 'new'))
            await asyncio.sleep(1.0 + capacitybuilders.AT_ONCE_S)
            self.assertEqual(4, capacitybuilders.count_runs(world, 'new'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_preemption_frees_what_the_worker_lost_too(self) -> None:
        """Guards against victims that free less than the worker lost."""

        async def scenario(world: fleetbuilders.World) -> None:
            capacitybuilders.submit(world, 'old', 8, 1, queue='bulk')
            await asyncio.sleep(1.0)
            world.set_capacity('w0', capacitybuilders.HALF)
            await asyncio.sleep(capacitybuilders.GRACE_S + 0.1)
            capacitybuilders.submit(world, 'urgent', 2, 1, queue='urgent')
            await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertEqual(
                2, capacitybuilders.count_runs(world, 'urgent', 'w0')
            )
            self.assertEqual(
                2, capacitybuilders.count_runs(world, 'old', 'w0')
            )

        capacitybuilders.run_scenario(scenario, workers=1)


class UnsentStartTest(unittest.TestCase):
    """Work that was placed on a worker that shrinks before it is started."""

    def check(self, tasks: int, accelerators: int, **changes: bool) -> None:
        """Shrink a worker while the placement of a job there is stored.

        The whole job has to run on two other workers soon after.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            with capacitybuilders.slow_placement(
                world, capacitybuilders.GRACE_S + 0.5
            ):
                capacitybuilders.submit(
                    world, 'j', tasks, accelerators, **changes
                )
                await asyncio.sleep(0.2)
                world.set_capacity(
                    capacitybuilders.find_placed_id(world),
                    capacitybuilders.NOTHING,
                )
                await asyncio.sleep(capacitybuilders.GRACE_S + 0.5)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(tasks, capacitybuilders.count_runs(world, 'j'))
            self.assertEqual(tasks, world.fleet.starts)

        capacitybuilders.run_scenario(scenario, workers=3)

    def test_a_task_is_placed_elsewhere_at_once(self) -> None:
        """Guards against a start that the worker has shrunk below."""
        self.check(1, 8)

    def test_no_member_of_a_gang_starts(self) -> None:
        """Guards against a gang that starts where not all have capacity."""
        self.check(2, 8, gang=True)

    def test_tasks_that_still_fit_start(self) -> None:
        """Guards against an attempt that ends though its worker has room."""

        async def scenario(world: fleetbuilders.World) -> None:
            with capacitybuilders.slow_placement(
                world, capacitybuilders.GRACE_S + 0.5
            ):
                capacitybuilders.submit(world, 'j', 8, 1)
                await asyncio.sleep(0.2)
                world.set_capacity('w0', capacitybuilders.HALF)
                await asyncio.sleep(capacitybuilders.GRACE_S + 0.5)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(4, capacitybuilders.count_runs(world, 'j'))
            self.assertEqual(4, world.fleet.starts)
            world.set_capacity('w0', capacitybuilders.FULL)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(8, capacitybuilders.count_runs(world, 'j'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_orders_that_wait_for_a_slot_are_withdrawn(self) -> None:
        """Guards against starts decided before the worker has shrunk."""

        async def scenario(world: fleetbuilders.World) -> None:
            start = world.fleet.start

            async def start_slowly(*arguments: typing.Any) -> typing.Any:
                await asyncio.sleep(0.3)
                return await start(*arguments)

            with mock.patch.object(world.fleet, 'start', start_slowly):
                capacitybuilders.submit(world, 'j', 8, 1)
                await asyncio.sleep(0.2)
                world.set_capacity('w0', capacitybuilders.HALF)
                await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertEqual(4, capacitybuilders.count_runs(world, 'j', 'w0'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_a_gang_that_has_begun_in_part_is_stopped(self) -> None:
        """Guards against members that run without the others.

        The worker shrinks while orders to it wait for their turn.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            start = world.fleet.start

            async def start_slowly(*arguments: typing.Any) -> typing.Any:
                await asyncio.sleep(0.3)
                return await start(*arguments)

            with mock.patch.object(world.fleet, 'start', start_slowly):
                capacitybuilders.submit(world, 'gang', 8, 1, gang=True)
                await asyncio.sleep(0.2)
                world.set_capacity('w0', capacitybuilders.HALF)
                await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertLess(world.fleet.starts, 8)
            self.assertEqual(0, capacitybuilders.count_runs(world, 'gang'))
            board = capacitybuilders.find_board(world)
            self.assertEqual(
                capacitybuilders.HALF, board.workers_by_id['w0'].free
            )
            world.set_capacity('w0', capacitybuilders.FULL)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(8, capacitybuilders.count_runs(world, 'gang'))

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_an_unanswered_start_is_not_repeated_there(self) -> None:
        """Guards against a start by the repetition of a lost order.

        The first order may begin late, so that the task must not start
        elsewhere before its run was stopped.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            for worker in world.fleet.workers_by_id.values():
                worker.delayed_order_share = 1.0
            with mock.patch.object(
                world.fleet, 'start', wraps=world.fleet.start
            ) as start:
                capacitybuilders.submit(world, 'j', 1, 8)
                await asyncio.sleep(0.2)
                self.assertEqual(1, start.call_count)
                world.set_capacity(
                    capacitybuilders.find_placed_id(world),
                    capacitybuilders.NOTHING,
                )
                for worker in world.fleet.workers_by_id.values():
                    worker.delayed_order_share = 0.0
                await asyncio.sleep(1.0)
                self.assertEqual(1, start.call_count)
            await asyncio.sleep(12.0)
            self.assertEqual(1, capacitybuilders.count_runs(world, 'j'))

        capacitybuilders.run_scenario(scenario, workers=2)


class UnexpectedRunTest(unittest.TestCase):
    """A run that no row asks for, and whose size is not known."""

    def test_it_fills_its_worker_at_any_capacity(self) -> None:
        """Guards against starts beside it once the worker has grown again.

        The worker had shrunk below what the run takes.
        """
        board = fleet.ShardBoard(epoch=1)
        small = fleetbuilders.build_entry('w', capacity=capacitybuilders.HALF)
        board.record_entry(small, 0.0)
        worker = board.workers_by_id['w']
        run = orders.Run(jobgraph.TaskName('unknown', 0, 0, 0), 1)
        report = orders.RunReport(1.0, 1, (orders.Running(run, '', 0.0),), ())
        runs.record_poll(board, worker, report, 1.0, 1.1, 0)
        board.record_entry(fleetbuilders.build_entry('w'), 1.2)
        self.assertEqual(capacitybuilders.NOTHING, worker.free)
        ended = orders.RunReport(1.3, 1, (), ())
        runs.record_poll(board, worker, ended, 1.3, 1.4, 0)
        self.assertEqual(capacitybuilders.FULL, worker.free)


class WaitingGangTest(unittest.TestCase):
    """A gang that fits nowhere after a worker has shrunk."""

    def test_it_blocks_no_other_and_starts_at_the_growth(self) -> None:
        """Guards against a claim for ever, and against unused capacity."""

        async def scenario(world: fleetbuilders.World) -> None:
            for worker_id in ('w0', 'w1'):
                world.set_capacity(worker_id, capacitybuilders.HALF)
            await asyncio.sleep(0.2)
            capacitybuilders.submit(world, 'gang', 3, 8, gang=True)
            await asyncio.sleep(1.0)
            capacitybuilders.submit(world, 'other', 6, 4)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(6, capacitybuilders.count_runs(world, 'other'))
            world.cancel('other')
            await asyncio.sleep(capacitybuilders.LIMIT_S)
            self.assertEqual(0, capacitybuilders.count_runs(world, 'gang'))
            world.set_capacity('w0', capacitybuilders.FULL)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(3, capacitybuilders.count_runs(world, 'gang'))

        capacitybuilders.run_scenario(scenario)

    def check_claim(self, left: jobgraph.Resources) -> None:
        """Shrink a worker that a gang of two workers has claimed."""

        async def scenario(world: fleetbuilders.World) -> None:
            for name in ('old-0', 'old-1'):
                capacitybuilders.submit(world, name, 1, 8)
                await asyncio.sleep(0.2)
            capacitybuilders.submit(world, 'gang', 4, 4, gang=True)
            await asyncio.sleep(0.3)
            board = capacitybuilders.find_board(world)
            self.assertEqual(1, len(board.claims_by_group))
            world.set_capacity('w0', left)
            name = (
                'old-0'
                if capacitybuilders.count_runs(world, 'old-0', 'w1')
                else 'old-1'
            )
            world.cancel(name)
            capacitybuilders.submit(world, 'other', 1, 4)
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(
                1, capacitybuilders.count_runs(world, 'other', 'w1')
            )

        capacitybuilders.run_scenario(scenario, workers=2)

    def test_a_claim_ends_with_the_capacity_for_it(self) -> None:
        """Guards against workers kept for a gang that they cannot hold."""
        self.check_claim(capacitybuilders.NOTHING)

    def test_a_claim_ends_if_too_few_members_fit(self) -> None:
        """Guards against a claim that counts workers, not tasks."""
        self.check_claim(capacitybuilders.HALF)

    def test_a_rack_that_shrank_holds_no_rack_local_gang(self) -> None:
        """Guards against an outdated answer to what a rack can hold."""

        async def scenario(world: fleetbuilders.World) -> None:
            capacitybuilders.submit(
                world, 'first', 4, 8, gang=True, rack_local=True
            )
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(4, capacitybuilders.count_runs(world, 'first'))
            world.cancel('first')
            for worker_id in ('w0', 'w1', 'w4', 'w5'):
                world.set_capacity(worker_id, capacitybuilders.HALF)
            await asyncio.sleep(0.5)
            capacitybuilders.submit(
                world, 'spread', 4, 8, gang=True, rack_local=True
            )
            await asyncio.sleep(capacitybuilders.AT_ONCE_S)
            self.assertEqual(4, capacitybuilders.count_runs(world, 'spread'))

        capacitybuilders.run_scenario(scenario, workers=8)


if __name__ == '__main__':
    unittest.main()
