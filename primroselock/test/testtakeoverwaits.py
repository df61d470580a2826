"""Jobs with nothing running beside free capacity, in virtual time.

Guards against waits without a bound: after takeovers, under a holder that
cannot place, and in phases that no event ends.
"""

import asyncio
from collections import abc
import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import jobgraph
from primroselock.store import table
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_LONG_MS: typing.Final = 60_000
Scenario = abc.Callable[[fleetbuilders.World], abc.Coroutine[None, None, None]]
Replace = abc.Callable[[fleetbuilders.World], abc.Coroutine[None, None, None]]


def run_scenario(scenario: Scenario, nodes: int = 3, workers: int = 6) -> None:
    """Run a scenario with idle nodes; fail if a violation was recorded."""

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = fleetbuilders.World(0, workers)
        for number in range(nodes):
            world.add_node(f'entry-{number}')
        await asyncio.sleep(2.0)
        await scenario(world)
        await world.close()
        if world.fleet.violations:
            raise AssertionError(world.fleet.violations[:3])

    virtualtime.run(run_all)


async def wait_for_starts(
    world: fleetbuilders.World, starts: int, timeout_s: float
) -> float:
    """Wait until workers began ``starts`` runs; return the seconds.

    Raises :class:`AssertionError` after ``timeout_s``.
    """
    began = clock.monotonic()
    while world.fleet.starts < starts:
        if clock.monotonic() - began > timeout_s:
            raise AssertionError(f'no start in {timeout_s} s')
        await asyncio.sleep(0.01)
    return clock.monotonic() - began


async def kill_holder(world: fleetbuilders.World) -> None:
    """Kill the holder; another node takes over, and a new one starts."""
    holder = world.find_shard_holder()
    world.nodes.remove(holder)
    await holder.kill()
    world.add_node(holder.settings.process.vm_id)
    await asyncio.sleep(3.0)


async def hand_over(world: fleetbuilders.World) -> None:
    """Let the holder end as after SIGTERM; a new node starts."""
    holder = world.find_shard_holder()
    world.nodes.remove(holder)
    await holder.holder.hand_over()
    await holder.kill()
    world.add_node(holder.settings.process.vm_id)
    await asyncio.sleep(3.0)


async def cut_holder_off(world: fleetbuilders.World) -> None:
    """Cut the holder off from the store until another has taken over."""
    holder = world.find_shard_holder()
    holder.connectivity.refuses_calls = True
    await asyncio.sleep(3.0)
    holder.connectivity.refuses_calls = False


async def kill_all(world: fleetbuilders.World) -> None:
    """Kill all nodes at once; they start again a second later."""
    nodes = list(world.nodes)
    world.nodes.clear()
    for node in nodes:
        await node.kill()
    await asyncio.sleep(1.0)
    for node in nodes:
        world.add_node(node.settings.process.vm_id)
    await asyncio.sleep(2.0)


async def _crash_and_replace(
    world: fleetbuilders.World, replace: Replace, tasks: int = 1
) -> float:
    """Crash a worker for good, then replace the holder three times.

    Return the seconds from the crash until its job runs elsewhere.
    """
    step = fleetbuilders.build_step(tasks, 8, _LONG_MS, gang=tasks > 1)
    world.submit(fleetbuilders.build_graph('j', step))
    await wait_for_starts(world, tasks, 3.0)
    await asyncio.sleep(1.0)
    crashed = world.find_busy_worker()
    world.fleet.crash(crashed)
    for worker in world.fleet.workers_by_id.values():
        for run in list(worker.runs):
            worker.add_end(run, orders.EndCause.GANG_BROKEN)
    waiting = asyncio.create_task(wait_for_starts(world, tasks + 1, 60.0))
    for _ in range(3):
        await replace(world)
        await asyncio.sleep(1.0)
    return await waiting


class InheritedLeaseTest(unittest.TestCase):
    """Work of a lost worker waits until its lease has expired, not longer.

    The last confirmation of the holder that leased it bounds the lease: 10 s
    and the margins, 11.25 s.  Later holders never reached the worker.
    """

    def check_wait(
        self, replace: Replace, most_s: float, tasks: int = 1
    ) -> None:
        """Check the wait after a crash and three takeovers."""

        async def scenario(world: fleetbuilders.World) -> None:
            waited_s = await _crash_and_replace(world, replace, tasks)
            self.assertLessEqual(waited_s, most_s)

        run_scenario(scenario)

    def test_holders_killed_in_a_row_do_not_prolong_a_lease(self) -> None:
        """Guards against a wait that each takeover starts again."""
        self.check_wait(kill_holder, 13.0)

    def test_handovers_in_a_row_do_not_prolong_a_lease(self) -> None:
        """Guards against a wait that each SIGTERM starts again."""
        self.check_wait(hand_over, 13.0)

    def test_holders_cut_off_in_a_row_do_not_prolong_a_lease(self) -> None:
        """Guards against a wait that each loss of the store starts again."""
        self.check_wait(cut_holder_off, 15.0)

    def test_restarts_of_all_nodes_do_not_prolong_a_lease(self) -> None:
        """Guards against a wait that each loss of power starts again.

        No node sees how long the others were down.
        """
        self.check_wait(kill_all, 17.0)

    def test_one_lost_member_does_not_hold_a_gang_back(self) -> None:
        """Guards against a gang that waits anew after each takeover.

        The rest of it has ended, and one member's worker is gone.
        """
        self.check_wait(kill_holder, 13.0, 3)


class UnreachedWorkerTest(unittest.TestCase):
    """What still runs on a worker that cannot be reached runs only there.

    Whatever shortens the wait for leases of earlier holders must pass.
    """

    def check_runs_once(self, replace: Replace) -> None:
        """Let a holder reach a worker once, and replace it right then."""

        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(1, 8, _LONG_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            await wait_for_starts(world, 1, 3.0)
            await asyncio.sleep(1.0)
            worker = world.find_busy_worker()
            worker.is_partitioned = True
            await replace(world)
            await asyncio.sleep(2.0)
            leased_until = worker.lease_end
            worker.is_partitioned = False
            while worker.lease_end <= leased_until:
                await asyncio.sleep(0.001)
            worker.is_partitioned = True
            await replace(world)
            await asyncio.sleep(worker.lease_end - clock.monotonic())
            self.assertEqual(1, world.fleet.starts)
            await wait_for_starts(world, 2, 8.0)

        run_scenario(scenario)

    def test_a_worker_reached_just_before_a_kill(self) -> None:
        """Guards against a successor that does not know of its last lease."""
        self.check_runs_once(kill_holder)

    def test_a_worker_reached_just_before_a_handover(self) -> None:
        """Guards against a successor that does not know of its last lease."""
        self.check_runs_once(hand_over)

    def test_a_worker_reached_just_before_the_store_is_lost(self) -> None:
        """Guards against a successor that does not know of its last lease."""
        self.check_runs_once(cut_holder_off)

    def test_a_worker_reached_just_before_all_are_killed(self) -> None:
        """Guards against a successor that does not know of its last lease."""
        self.check_runs_once(kill_all)


class HolderThatCannotPlaceTest(unittest.TestCase):
    """A holder that renews its lease but cannot place yields to others.

    The other nodes lack nothing.
    """

    def test_a_holder_with_old_operator_rows_yields(self) -> None:
        """Guards against a holder that may not start anything and stays."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.find_shard_holder().configuration_age_s = 3.0
            world.submit(fleetbuilders.build_graph('j'))
            await wait_for_starts(world, 1, 15.0)

        run_scenario(scenario)

    def test_a_holder_that_sees_no_new_jobs_yields(self) -> None:
        """Guards against a holder whose feeds fail while its writes succeed.

        The pattern: its long polls get no answer.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            holder = world.find_shard_holder()
            holder.connectivity.feed_is_unresponsive = True
            world.submit(fleetbuilders.build_graph('j'))
            await wait_for_starts(world, 1, 15.0)

        run_scenario(scenario)

    def test_a_new_holder_that_cannot_list_yields(self) -> None:
        """Guards against a takeover that is retried while the lease is kept.

        The pattern: its link carries renewals, but no page of a listing.
        """

        async def fail_listing(
            name: str, listed: table.PartialListing | None = None
        ) -> result.Result[table.Listing, table.Unavailable]:
            await asyncio.sleep(1.0)
            return result.Err(table.Unavailable('timed out'))

        async def scenario(world: fleetbuilders.World) -> None:
            old = world.find_shard_holder()
            slow, other = (node for node in world.nodes if node is not old)
            other.connectivity.refuses_calls = True
            world.nodes.remove(old)
            await old.kill()
            with mock.patch.object(slow.client, 'list_rows', fail_listing):
                await asyncio.sleep(3.0)
                self.assertTrue(slow.holder.lease.has_shard)
                other.connectivity.refuses_calls = False
                world.submit(fleetbuilders.build_graph('j'))
                await wait_for_starts(world, 1, 15.0)

        run_scenario(scenario)


class WorkerToAvoidTest(unittest.TestCase):
    """Stuck work is retried, also where no other worker may run it."""

    def check_restart(self, step: jobgraph.Step) -> None:
        """Stall a run of ``step`` until it is stopped; check it starts."""

        async def scenario(world: fleetbuilders.World) -> None:
            entry = fleetbuilders.build_entry('w0', labels=('kind', 'big'))
            world.fleet.workers_by_id['w0'].entry = entry
            world.write_entry(entry)
            await asyncio.sleep(0.5)
            world.submit(fleetbuilders.build_graph('j', step))
            await wait_for_starts(world, step.tasks, 3.0)
            stalled = world.find_busy_worker()
            stalled.is_stalled = True
            while not stalled.last_number:
                await asyncio.sleep(0.01)
            self.assertEqual('running', world.state('j'))
            stalled.is_stalled = False
            await wait_for_starts(world, step.tasks + 1, 30.0)

        run_scenario(scenario, 1)

    def test_a_stuck_task_returns_to_the_only_worker_it_may_use(self) -> None:
        """Guards against a task that waits for ever beside that worker.

        The worker is free for it four times over.
        """
        step = fleetbuilders.build_step(1, 2, _LONG_MS, label='big')
        self.check_restart(step)

    def test_a_stuck_gang_returns_to_workers_it_cannot_do_without(
        self,
    ) -> None:
        """Guards against a gang that waits for ever beside free workers.

        It needs four of six free workers; one run on one of them stalled.
        """
        step = fleetbuilders.build_step(
            4, 4, _LONG_MS, gang=True, max_per_worker=1
        )
        self.check_restart(step)


class PreemptedTest(unittest.TestCase):
    """Preempted work starts again once its capacity is free."""

    def test_often_preempted_work_waits_for_nobody(self) -> None:
        """Guards against a pause that goes on beside free capacity.

        After its fourth preemption the job has the worker to itself, twice
        as much as it needs.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            build_step, build_graph = (
                fleetbuilders.build_step,
                fleetbuilders.build_graph,
            )
            world.submit(build_graph('j', build_step(1, 4, _LONG_MS)))
            for number in range(4):
                await wait_for_starts(world, 2 * number + 1, 5.0)
                await asyncio.sleep(0.3)
                urgent = build_graph(
                    f'u{number}', build_step(1, 8, 300), queue='urgent'
                )
                world.submit(urgent)
                await world.wait_for(urgent.id, 'done', 5.0)
            await wait_for_starts(world, 9, 3.0)

        run_scenario(scenario, 1, 1)


class UnansweredOrdersTest(unittest.TestCase):
    """Work whose orders are lost moves to another worker."""

    def test_a_start_that_is_too_late_to_begin_frees_its_job(self) -> None:
        """Guards against a job that waits for ever for the end of no run.

        The worker answers polls but gets no orders; by the deadline in its
        last start order the run cannot begin any more.
        """

        async def lose_order(
            *arguments: typing.Any,
        ) -> result.Result[orders.Accepted, orders.OrderError]:
            await asyncio.sleep(0.4)
            return result.Err(orders.Unanswered('no answer'))

        async def scenario(world: fleetbuilders.World) -> None:
            with (
                mock.patch.object(world.fleet, 'start', lose_order),
                mock.patch.object(world.fleet, 'stop', lose_order),
            ):
                world.submit(fleetbuilders.build_graph('j'))
                await asyncio.sleep(1.0)
                world.add_worker(fleetbuilders.build_entry('w1'))
                await asyncio.sleep(1.0)
                progress = world.progress('j')
                assert progress is not None
                attempt = progress.groups[0].attempt
                await asyncio.sleep(15.0)
                progress = world.progress('j')
                assert progress is not None
                self.assertLess(attempt, progress.groups[0].attempt)

        run_scenario(scenario, 1, 1)


class UnusableRowTest(unittest.TestCase):
    """One row that cannot be used holds back no other job."""

    def test_a_job_that_cannot_be_loaded_ends_no_node(self) -> None:
        """Guards against a row on which every takeover ends its process.

        It can be decoded, but its step depends on one that does not exist.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(1, after=(7,))
            world.submit(fleetbuilders.build_graph('bad', step))
            world.submit(fleetbuilders.build_graph('j'))
            await asyncio.sleep(10.0)
            ended = [task for node in world.nodes for task in node._tasks]
            self.assertFalse(any(task.done() for task in ended))
            self.assertEqual('done', world.state('j'))

        run_scenario(scenario)


if __name__ == '__main__':
    unittest.main()
