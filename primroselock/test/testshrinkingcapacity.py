"""Workers whose capacity shrinks and grows while they run, in virtual time.

Each run checks in the fake workers that no start brings a worker over a
capacity that its entry has shown for long enough.
"""

import asyncio
from collections import abc
import contextlib
import typing
import unittest
from unittest import mock

import structlog

from primroselock import clock
from primroselock.decisions import fleet
from primroselock import holdersession
from primroselock import jobgraph
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import capacityhistory
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_LONG_MS: typing.Final = 60_000
_LIMIT_S: typing.Final = 3.0
"""The longest time that work may wait beside free capacity."""

_AT_ONCE_S: typing.Final = 0.5
_GRACE_S: typing.Final = (
    capacityhistory.CONTACT_S + capacityhistory.HEARTBEAT_S
)
_FULL: typing.Final = fleetbuilders.WORKER_CAPACITY
_HALF: typing.Final = jobgraph.Resources(32000, 131072, 4)
_NOTHING: typing.Final = jobgraph.Resources()

Scenario = abc.Callable[
    [fleetbuilders.World], abc.Coroutine[typing.Any, typing.Any, None]
]


def run_scenario(scenario: Scenario, workers: int = 4) -> None:
    """Run a scenario once the node holds the shard."""

    async def run_settled(world: fleetbuilders.World) -> None:
        await asyncio.sleep(1.0)
        await scenario(world)

    fleetbuilders.run_with_node(run_settled, workers=workers)


def submit(
    world: fleetbuilders.World,
    name: str,
    tasks: int,
    accelerators: int,
    **changes: typing.Any,
) -> None:
    """Submit a long job of one step."""
    queue = changes.pop('queue', 'bulk')
    step = fleetbuilders.build_step(tasks, accelerators, _LONG_MS, **changes)
    world.submit(fleetbuilders.build_graph(name, step, queue=queue))


def count_runs(
    world: fleetbuilders.World, name: str, worker_id: str = ''
) -> int:
    """Return how many runs of a job are in progress, on one worker or all."""
    return sum(
        run.task.job_id == name
        for worker in world.fleet.workers_by_id.values()
        if worker_id in ('', worker.entry.id)
        for run in worker.runs
    )


def find_board(world: fleetbuilders.World) -> fleet.ShardBoard:
    """Return the blackboard of the holder."""
    session = world.find_shard_holder().holder._session
    assert session is not None
    return session._board


def find_placed_id(world: fleetbuilders.World) -> str:
    """Return a worker on which the holder has placed something."""
    workers = find_board(world).workers_by_id.values()
    return next(worker.id for worker in workers if worker.members)


async def lose_entries(node: fleetbuilders.TestNode) -> None:
    """Let a node read the workers' entries no more, once its call ends."""
    node.connectivity.lost_tables.add('servers')
    await asyncio.sleep(1.1)


@contextlib.contextmanager
def slow_placement(
    world: fleetbuilders.World, delay_s: float
) -> abc.Iterator[None]:
    """Let the next write of the progress of jobs take ``delay_s`` more."""
    client = world.find_shard_holder().client
    transact = client.transact
    delays_s = [delay_s]

    async def transact_slowly(transaction: table.Transaction) -> typing.Any:
        prefix = keys.progress('fleet', '')
        if any(put.key.startswith(prefix) for put in transaction.puts):
            await asyncio.sleep(delays_s.pop() if delays_s else 0.0)
        return await transact(transaction)

    with mock.patch.object(client, 'transact', transact_slowly):
        yield


class JudgementTest(unittest.TestCase):
    """What the fake workers judge, without a node."""

    def count_violations(self, late_s: float) -> int:
        """Start a second run ``late_s`` after there is room for one only."""

        async def scenario(virtual: virtualtime.VirtualClock) -> int:
            world = fleetbuilders.World(0, 1)
            step = fleetbuilders.build_step(2, 4, _LONG_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            for index in range(2):
                name = jobgraph.TaskName('j', 0, 0, index)
                order = orders.Start(
                    orders.Run(name, 1), '', clock.monotonic() + 9, 1, '', ''
                )
                await world.fleet.start('w0', 'w0:1', order, 1.0)
                if not index:
                    world.set_capacity('w0', _HALF)
                    await asyncio.sleep(late_s)
            await world.close()
            return len(world.fleet.violations)

        return virtualtime.run(scenario)

    def test_the_earlier_capacity_counts_for_a_while(self) -> None:
        self.assertEqual(0, self.count_violations(_GRACE_S - 0.1))

    def test_a_start_after_that_is_judged_by_the_new_capacity(self) -> None:
        """Guards against a check that lets every start on a shrunk worker."""
        self.assertEqual(1, self.count_violations(_GRACE_S + 0.1))


class RunningWorkTest(unittest.TestCase):
    """Work that runs on a worker when its capacity shrinks."""

    def test_it_goes_on_and_gets_no_company(self) -> None:
        """Guards against stops, and against starts beside an overload."""

        async def scenario(world: fleetbuilders.World) -> None:
            submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', _HALF)
            await asyncio.sleep(_GRACE_S + 0.1)
            submit(world, 'new', 4, 1)
            submit(world, 'small', 4, 0, cpu_millis=1000)
            await asyncio.sleep(_LIMIT_S)
            self.assertEqual(8, count_runs(world, 'old', 'w0'))
            self.assertEqual(0, count_runs(world, 'new'))
            self.assertEqual(0, count_runs(world, 'small'))

        run_scenario(scenario, workers=1)

    def test_a_worker_may_lose_all_capacity(self) -> None:
        """Guards against a division by the capacity of nothing."""

        async def scenario(world: fleetbuilders.World) -> None:
            submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', _NOTHING)
            submit(world, 'new', 1, 1)
            await asyncio.sleep(_LIMIT_S)
            self.assertEqual(8, count_runs(world, 'old', 'w0'))
            self.assertEqual(0, count_runs(world, 'new'))
            world.set_capacity('w0', jobgraph.Resources(64000, 262144, 9))
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(1, count_runs(world, 'new'))

        run_scenario(scenario, workers=1)

    def test_a_takeover_counts_what_an_earlier_holder_started(self) -> None:
        """Guards against a new holder that fills a worker that shrank."""

        async def scenario(world: fleetbuilders.World) -> None:
            submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', _HALF)
            await world.nodes.pop().kill()
            await asyncio.sleep(_GRACE_S)
            world.add_node('entry-2')
            submit(world, 'new', 2, 1)
            await asyncio.sleep(2 * _LIMIT_S)
            self.assertEqual(8, count_runs(world, 'old', 'w0'))
            self.assertEqual(0, count_runs(world, 'new'))

        run_scenario(scenario, workers=1)

    def test_what_is_being_stopped_still_counts(self) -> None:
        """Guards against a start into capacity that a stop will free."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.stop_delay_s = 2.0
            submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            world.set_capacity('w0', _HALF)
            await asyncio.sleep(_GRACE_S + 0.1)
            world.cancel('old')
            submit(world, 'new', 4, 1)
            await asyncio.sleep(1.5)
            self.assertEqual(0, count_runs(world, 'new'))
            await asyncio.sleep(1.0 + _AT_ONCE_S)
            self.assertEqual(4, count_runs(world, 'new'))

        run_scenario(scenario, workers=1)

    def test_preemption_frees_what_the_worker_lost_too(self) -> None:
        """Guards against victims that free less than the worker lost."""

        async def scenario(world: fleetbuilders.World) -> None:
            submit(world, 'old', 8, 1, queue='bulk')
            await asyncio.sleep(1.0)
            world.set_capacity('w0', _HALF)
            await asyncio.sleep(_GRACE_S + 0.1)
            submit(world, 'urgent', 2, 1, queue='urgent')
            await asyncio.sleep(_LIMIT_S)
            self.assertEqual(2, count_runs(world, 'urgent', 'w0'))
            self.assertEqual(2, count_runs(world, 'old', 'w0'))

        run_scenario(scenario, workers=1)


class UnsentStartTest(unittest.TestCase):
    """Work that was placed on a worker that shrinks before it is started."""

    def check(self, tasks: int, accelerators: int, **changes: bool) -> None:
        """Shrink a worker while the placement of a job there is stored.

        The whole job has to run on two other workers soon after.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            with slow_placement(world, _GRACE_S + 0.5):
                submit(world, 'j', tasks, accelerators, **changes)
                await asyncio.sleep(0.2)
                world.set_capacity(find_placed_id(world), _NOTHING)
                await asyncio.sleep(_GRACE_S + 0.5)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(tasks, count_runs(world, 'j'))
            self.assertEqual(tasks, world.fleet.starts)

        run_scenario(scenario, workers=3)

    def test_a_task_is_placed_elsewhere_at_once(self) -> None:
        """Guards against a start that the worker has shrunk below."""
        self.check(1, 8)

    def test_no_member_of_a_gang_starts(self) -> None:
        """Guards against a gang that starts where not all have capacity."""
        self.check(2, 8, gang=True)

    def test_tasks_that_still_fit_start(self) -> None:
        """Guards against an attempt that ends though its worker has room."""

        async def scenario(world: fleetbuilders.World) -> None:
            with slow_placement(world, _GRACE_S + 0.5):
                submit(world, 'j', 8, 1)
                await asyncio.sleep(0.2)
                world.set_capacity('w0', _HALF)
                await asyncio.sleep(_GRACE_S + 0.5)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(4, count_runs(world, 'j'))
            self.assertEqual(4, world.fleet.starts)
            world.set_capacity('w0', _FULL)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(8, count_runs(world, 'j'))

        run_scenario(scenario, workers=1)

    def test_orders_that_wait_for_a_slot_are_withdrawn(self) -> None:
        """Guards against starts decided before the worker has shrunk."""

        async def scenario(world: fleetbuilders.World) -> None:
            start = world.fleet.start

            async def start_slowly(*arguments: typing.Any) -> typing.Any:
                await asyncio.sleep(0.3)
                return await start(*arguments)

            with mock.patch.object(world.fleet, 'start', start_slowly):
                submit(world, 'j', 8, 1)
                await asyncio.sleep(0.2)
                world.set_capacity('w0', _HALF)
                await asyncio.sleep(_LIMIT_S)
            self.assertEqual(4, count_runs(world, 'j', 'w0'))

        run_scenario(scenario, workers=1)

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
                submit(world, 'j', 1, 8)
                await asyncio.sleep(0.2)
                self.assertEqual(1, start.call_count)
                world.set_capacity(find_placed_id(world), _NOTHING)
                for worker in world.fleet.workers_by_id.values():
                    worker.delayed_order_share = 0.0
                await asyncio.sleep(1.0)
                self.assertEqual(1, start.call_count)
            await asyncio.sleep(12.0)
            self.assertEqual(1, count_runs(world, 'j'))

        run_scenario(scenario, workers=2)


class EntryCopyTest(unittest.TestCase):
    """A holder decides by its copy of the workers' entries."""

    def test_nothing_starts_on_an_old_copy(self) -> None:
        """Guards against starts by entries from before a worker shrank.

        Everything but the table of the entries can be read.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            node = world.find_shard_holder()
            submit(world, 'old', 8, 1)
            await asyncio.sleep(1.0)
            await lose_entries(node)
            for worker_id in world.entries_by_id:
                world.set_capacity(worker_id, _NOTHING)
            await asyncio.sleep(_GRACE_S)
            submit(world, 'new', 1, 8)
            with structlog.testing.capture_logs() as lines:
                await asyncio.sleep(_LIMIT_S)
            self.assertEqual(0, count_runs(world, 'new'))
            self.assertEqual(8, count_runs(world, 'old'))
            bounds = {
                line['permit_bound']
                for line in lines
                if line['event'] == 'job waits beside free capacity'
            }
            self.assertEqual({"the workers' entries"}, bounds)
            world.set_capacity('w1', _FULL)
            node.connectivity.lost_tables.clear()
            await asyncio.sleep(1.0 + _AT_ONCE_S)
            self.assertEqual(1, count_runs(world, 'new', 'w1'))

        run_scenario(scenario)

    def test_starts_that_are_under_way_stop_too(self) -> None:
        """Guards against orders that wait while the copy grows old."""

        async def scenario(world: fleetbuilders.World) -> None:
            await lose_entries(world.find_shard_holder())
            with slow_placement(world, _GRACE_S + 0.5):
                submit(world, 'j', 1, 8)
                await asyncio.sleep(0.2)
                world.set_capacity(find_placed_id(world), _NOTHING)
                await asyncio.sleep(_GRACE_S + _LIMIT_S)
            self.assertEqual(0, world.fleet.starts)

        run_scenario(scenario)

    def test_a_slow_feed_without_changes_lets_work_start(self) -> None:
        """Guards against starts that pause on quiet days."""

        async def scenario(world: fleetbuilders.World) -> None:
            client = world.find_shard_holder().client
            changes = client.changes

            async def answer_slowly(*arguments: typing.Any) -> typing.Any:
                answer = await changes(*arguments)
                await asyncio.sleep(0.5)
                return answer

            with mock.patch.object(client, 'changes', answer_slowly):
                for _ in range(200):
                    await asyncio.sleep(0.1)
                    left_s = find_board(world).permit_until - clock.monotonic()
                    self.assertGreater(left_s, 0.0)

        run_scenario(scenario)

    def test_a_holder_that_cannot_read_the_entries_yields(self) -> None:
        """Guards against a holder that may start nothing and stays."""

        async def scenario(world: fleetbuilders.World) -> None:
            old = world.find_shard_holder()
            world.add_node('entry-2')
            await asyncio.sleep(4.0)
            await lose_entries(old)
            await asyncio.sleep(4.0)
            submit(world, 'j', 1, 8)
            await asyncio.sleep(2 * _LIMIT_S)
            self.assertEqual(1, count_runs(world, 'j'))
            self.assertIsNot(old, world.find_shard_holder())

        run_scenario(scenario)

    def test_a_slow_takeover_may_start_work_in_the_next_round(self) -> None:
        """Guards against a new holder that waits for a long poll to end.

        Its listings took longer than a copy may be old.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await world.nodes.pop().kill()
            node = world.add_node('entry-2')
            node.client.listing_s = 1.0
            while node.holder._session is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(holdersession._MAX_ROUND_INTERVAL_S + 0.05)
            left_s = find_board(world).permit_until - clock.monotonic()
            self.assertGreater(left_s, 0.0)

        run_scenario(scenario)

    def test_an_entry_removed_during_a_takeover(self) -> None:
        """Guards against a worker that left and counts as listed for ever."""

        async def scenario(world: fleetbuilders.World) -> None:
            await world.nodes.pop().kill()
            node = world.add_node('entry-2')
            list_rows = node.client.list_rows

            async def list_before_removal(name: str) -> typing.Any:
                listing = await list_rows(name)
                if name == 'servers' and 'w0' in world.entries_by_id:
                    world.delete_entry('w0')
                return listing

            with mock.patch.object(
                node.client, 'list_rows', list_before_removal
            ):
                await asyncio.sleep(2 * _LIMIT_S)
            self.assertNotIn('w0', find_board(world).workers_by_id)

        run_scenario(scenario)


class WaitingGangTest(unittest.TestCase):
    """A gang that fits nowhere after a worker has shrunk."""

    def test_it_blocks_no_other_and_starts_at_the_growth(self) -> None:
        """Guards against a claim for ever, and against unused capacity."""

        async def scenario(world: fleetbuilders.World) -> None:
            for worker_id in ('w0', 'w1'):
                world.set_capacity(worker_id, _HALF)
            await asyncio.sleep(0.2)
            submit(world, 'gang', 3, 8, gang=True)
            await asyncio.sleep(1.0)
            submit(world, 'other', 6, 4)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(6, count_runs(world, 'other'))
            world.cancel('other')
            await asyncio.sleep(_LIMIT_S)
            self.assertEqual(0, count_runs(world, 'gang'))
            world.set_capacity('w0', _FULL)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(3, count_runs(world, 'gang'))

        run_scenario(scenario)

    def test_a_rack_that_shrank_holds_no_rack_local_gang(self) -> None:
        """Guards against an outdated answer to what a rack can hold."""

        async def scenario(world: fleetbuilders.World) -> None:
            submit(world, 'first', 4, 8, gang=True, rack_local=True)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(4, count_runs(world, 'first'))
            world.cancel('first')
            for worker_id in ('w0', 'w1', 'w4', 'w5'):
                world.set_capacity(worker_id, _HALF)
            await asyncio.sleep(0.5)
            submit(world, 'spread', 4, 8, gang=True, rack_local=True)
            await asyncio.sleep(_AT_ONCE_S)
            self.assertEqual(4, count_runs(world, 'spread'))

        run_scenario(scenario, workers=8)


if __name__ == '__main__':
    unittest.main()
