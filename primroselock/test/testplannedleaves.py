"""Work on workers that leave as planned and start again (LOST).

Such a leave is neither an attempt that failed nor a crash, whatever the order
in which the holder sees the entry, the next boot and the end of the leases.
"""

import asyncio
import typing
import unittest

from primroselock import jobgraph
from primroselock.test import crashbuilders
from primroselock.test import drainbuilders
from primroselock.test import fleetbuilders
from primroselock.test import loadbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

_LEAVES: typing.Final = 5
"""More than the crashes after which any task is given up."""

_END_S: typing.Final = 60.0


async def _kill_holder(world: fleetbuilders.World) -> None:
    """Kill the node that holds the shard, and start another in its place."""
    await crashbuilders.kill_holder(world)


async def _replace_holder(world: fleetbuilders.World) -> None:
    """Kill the node that holds the shard; another of a new name is added.

    A standby takes over once the lease has expired.
    """
    node = world.find_shard_holder()
    world.nodes.remove(node)
    await node.kill()
    world.add_node(f'{node.settings.process.vm_id}-next')


async def _lose_history(world: fleetbuilders.World) -> None:
    """Lose the feed, and the history of changes with it."""
    await _lose_feed(world)
    world.fleet.spawn(_drop_history(world))


async def _drop_history(world: fleetbuilders.World) -> None:
    await asyncio.sleep(6.5)
    world.store.drop_history()


async def _lose_feed(world: fleetbuilders.World, for_s: float = 7.0) -> None:
    """Let the feeds not answer for ``for_s`` seconds."""
    for node in world.nodes:
        node.connectivity.feed_is_unresponsive = True
    world.fleet.spawn(_restore_feed(world, for_s))


async def _restore_feed(world: fleetbuilders.World, for_s: float) -> None:
    await asyncio.sleep(for_s)
    for node in world.nodes:
        node.connectivity.feed_is_unresponsive = False


class LeaveTest(unittest.TestCase):
    """A job's only worker leaves as planned, again and again."""

    def _check(
        self,
        how: drainbuilders.Leave,
        leaves: int = _LEAVES,
        crashes: int = 0,
        reports_each_change: bool = True,
        **changes: typing.Any,
    ) -> None:
        """Check that a job ends, and how many crashes are stored for it."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            step = fleetbuilders.build_step(
                1, 1, drainbuilders.WORK_MS, **changes
            )
            world.submit(fleetbuilders.build_graph('j', step))
            for _ in range(leaves):
                worker = await drainbuilders.leave(world, worker, how)
            await drainbuilders.wait_for_start(worker)
            await asyncio.sleep(1.0)
            self.assertEqual(
                crashes, len(drainbuilders.list_crashes(world, 'j'))
            )
            if not changes.get('long_running'):
                await world.wait_for('j', 'done', _END_S)

        drainbuilders.run(scenario, reports_each_change=reports_each_change)

    def test_the_next_boot_answers_before_its_entry(self) -> None:
        """Guards against a job failed by drains of its worker (review/8)."""
        for lag_s in (0.0, 0.3, 0.8, 2.0, 4.0):
            with self.subTest(entry_lag_s=lag_s):
                self._check(drainbuilders.Leave(entry_lag_s=lag_s))

    def test_the_entry_stays_for_a_while(self) -> None:
        """Guards against a crash counted where the entry goes later."""
        for stays_s in (1.0, 4.5):
            with self.subTest(entry_stays_s=stays_s):
                how = drainbuilders.Leave(entry_stays_s=stays_s)
                self._check(how)

    def test_the_leases_expire_meanwhile(self) -> None:
        """Guards against a lost run counted when its worker is back."""
        self._check(drainbuilders.Leave(away_s=14.0), leaves=4)

    def test_the_worker_is_back_elsewhere(self) -> None:
        """Guards against a crash counted by where the worker is back."""
        for away_s in (0.5, 3.0, 14.0):
            for change in ('another address', 'another id'):
                with self.subTest(change, away_s=away_s):
                    how = drainbuilders.Leave(
                        away_s=away_s,
                        has_new_address=change == 'another address',
                        has_new_id=change == 'another id',
                    )
                    self._check(how, leaves=4)

    def test_lasting_work(self) -> None:
        """Guards against lasting work given up after three drains."""
        self._check(drainbuilders.Leave(), long_running=True)

    def test_the_holder_is_killed(self) -> None:
        """Guards against a successor that knows of no drain."""
        cases = {
            'as the worker drains': drainbuilders.Leave(at_drain=_kill_holder),
            'while it is away': drainbuilders.Leave(at_leave=_kill_holder),
            'when it is back': drainbuilders.Leave(at_return=_kill_holder),
        }
        for name, how in cases.items():
            for each in (True, False):
                with self.subTest(name, reports_each_change=each):
                    self._check(how, leaves=4, reports_each_change=each)

    def test_a_standby_takes_over(self) -> None:
        """Guards against a successor that has seen no entry of the boot."""
        cases = {
            'before the worker drains': drainbuilders.Leave(
                at_work=_replace_holder
            ),
            'as the worker drains': drainbuilders.Leave(
                at_drain=_replace_holder
            ),
            'which lasts': drainbuilders.Leave(
                drain_s=3.5, at_drain=_replace_holder
            ),
            'while it is away': drainbuilders.Leave(at_leave=_replace_holder),
            'when it is back': drainbuilders.Leave(at_return=_replace_holder),
            'when its entry is back': drainbuilders.Leave(
                at_entry=_replace_holder
            ),
        }
        for name, how in cases.items():
            for each in (True, False):
                with self.subTest(name, reports_each_change=each):
                    self._check(how, leaves=4, reports_each_change=each)

    def test_a_standby_reads_what_the_entry_said_before(self) -> None:
        """Guards against a drain that began and ended between two holders."""
        how = drainbuilders.Leave(drain_s=0.5, at_drain=_replace_holder)
        self._check(how, leaves=4)
        # Nobody can know of it where the store reports the last change only.
        self._check(how, 2, crashes=2, reports_each_change=False)

    def test_a_successor_is_replaced_at_once(self) -> None:
        """Guards against drains that are published once only."""

        async def replace_twice(world: fleetbuilders.World) -> None:
            await _replace_holder(world)
            while not any(n.holder.lease.has_shard for n in world.nodes):
                await asyncio.sleep(0.001)
            await _replace_holder(world)

        self._check(drainbuilders.Leave(at_leave=replace_twice), leaves=3)

    def test_the_holder_hands_over(self) -> None:
        """Guards against drains that a release does not publish."""

        async def hand_over(world: fleetbuilders.World) -> None:
            node = world.find_shard_holder()
            await node.holder.hand_over()
            world.nodes.remove(node)
            await node.kill()
            world.add_node(f'{node.settings.process.vm_id}-next')

        self._check(drainbuilders.Leave(at_leave=hand_over), leaves=3)

    def test_a_holder_that_is_late_itself(self) -> None:
        """Guards against a job failed since its holder's rounds are late.

        It cannot tell a leave from a crash then, and counts it with another
        cause at most.
        """
        for round_s in (0.5, 1.5):
            with self.subTest(round_s=round_s):
                drainbuilders.run_in_time(
                    lambda virtual: self._leave_slowly(virtual, round_s)
                )

    def _leave_slowly(
        self, virtual: virtualtime.VirtualClock, round_s: float
    ) -> fleetbuilders.NodeScenario:
        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            step = fleetbuilders.build_step(1, 1, drainbuilders.WORK_MS)
            world.submit(fleetbuilders.build_graph('j', step))
            with loadbuilders.slow_rounds(virtual, round_s):
                for _ in range(2):
                    await drainbuilders.leave(
                        world, worker, drainbuilders.Leave()
                    )
                await drainbuilders.wait_for_start(worker)
            for crash in drainbuilders.list_crashes(world, 'j'):
                self.assertIs(jobgraph.CrashEvidence.OUTSIDE, crash.evidence)
            await world.wait_for('j', 'done', _END_S)

        return scenario

    def test_the_feed_is_away(self) -> None:
        """Guards against a crash that stays counted if the drain is read late.

        The next boot answers while the entries cannot be read.
        """
        self._check(drainbuilders.Leave(at_drain=_lose_feed), leaves=4)

    def test_the_feed_has_forgotten_the_drain(self) -> None:
        """Guards against a job failed where nobody can know of the drain."""
        how = drainbuilders.Leave(at_drain=_lose_feed)
        self._check(how, 2, crashes=2, reports_each_change=False)
        how = drainbuilders.Leave(at_drain=_lose_history, away_s=4.0)
        self._check(how, 2, crashes=2)

    def test_the_feed_is_back_before_the_worker(self) -> None:
        """Guards against a drain that fell into a gap of the entries.

        The next boot answers when they are long up to date again.
        """

        async def lose_feed(world: fleetbuilders.World) -> None:
            await _lose_feed(world, 3.0)

        how = drainbuilders.Leave(at_drain=lose_feed, away_s=8.0)
        self._check(how, 2, crashes=2, reports_each_change=False)
        self._check(how, 4)


class SharedWorkerTest(unittest.TestCase):
    """Several tasks run on the worker that leaves."""

    def test_a_gang(self) -> None:
        """Guards against a gang failed by drains under one member."""

        async def scenario(world: fleetbuilders.World) -> None:
            worker = world.fleet.workers_by_id['w0']
            step = fleetbuilders.build_step(
                2, 8, drainbuilders.WORK_MS, gang=True
            )
            world.submit(fleetbuilders.build_graph('j', step))
            for _ in range(_LEAVES):
                await drainbuilders.leave(world, worker, drainbuilders.Leave())
            await drainbuilders.wait_for_start(worker)
            self.assertEqual([], drainbuilders.list_crashes(world, 'j'))
            await world.wait_for('j', 'done', _END_S)

        drainbuilders.run(scenario, workers=2)

    def test_several_jobs(self) -> None:
        """Guards against drains that count for each job on the worker."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            step = fleetbuilders.build_step(2, 2, drainbuilders.WORK_MS)
            names = ('a', 'b')
            for name in names:
                world.submit(fleetbuilders.build_graph(name, step))
            for _ in range(_LEAVES):
                await drainbuilders.leave(world, worker, drainbuilders.Leave())
            for name in names:
                self.assertEqual([], drainbuilders.list_crashes(world, name))
                await world.wait_for(name, 'done', _END_S)

        drainbuilders.run(scenario)


class CrashTest(unittest.TestCase):
    """A task crashes its workers soon after they say that they drain."""

    def test_it_is_given_up(self) -> None:
        """Guards against a task that hides behind drains (BUDGET)."""
        for remaining_s in (2.0, 10.0, 60.0):
            for down_s in (0.5, 3.0, 13.0):
                with self.subTest(remaining_s=remaining_s, down_s=down_s):
                    self._check(remaining_s, down_s)

    def _check(self, remaining_s: float, down_s: float) -> None:
        """Let each start drain its worker 0.2 s later, and crash it then."""

        async def drain(
            world: fleetbuilders.World, worker: simulatedworker.FakeWorker
        ) -> None:
            await asyncio.sleep(0.2)
            drainbuilders.say_draining(world, worker, remaining_s)

        async def scenario(
            world: fleetbuilders.World, crashing: crashbuilders.CrashingTasks
        ) -> None:
            world.fleet.begin_hooks.append(
                lambda worker, live: world.fleet.spawn(drain(world, worker))
            )
            # A longer one would be stopped as its worker drains.
            step = fleetbuilders.build_step(1, 1, 3000)
            crashing.submit(1.0, step)
            await world.wait_for('deadly', 'failed', 2 * _END_S)

        crashbuilders.run(scenario, down_s=(down_s, down_s))


if __name__ == '__main__':
    unittest.main()
