"""Long-running work beside free capacity, however full its service is."""

import asyncio
from collections import abc
import typing
import unittest

from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_LONG_S: typing.Final = 60.0
_LONG_MS: typing.Final = 60_000
_LIMIT_S: typing.Final = 3.0
"""The longest time that a long-running task may wait beside capacity."""


class LastingWorkTest(unittest.TestCase):
    """Over half of the service is in use, but twice the need is free."""

    def occupy(
        self, site: idlebuilders.Site, numbers: abc.Iterable[int]
    ) -> None:
        """Use all accelerators of some workers for a minute."""
        step = fleetbuilders.build_step(1, 8, _LONG_MS, 60_000)
        for number in numbers:
            site.occupy(f'n{number:03}', f'job-{number}', step, _LONG_S)

    def start(
        self, site: idlebuilders.Site, step: jobgraph.Step, name: str = 'j'
    ) -> set[livejobs.Phase]:
        """Submit a job; return the phases of its groups after the limit."""
        job = site.submit(name, step, run_s=_LONG_S, queue='batch')
        site.run_for(_LIMIT_S)
        return {group.phase for group in job.groups_by_key.values()}

    def submit_claiming_gang(self, site: idlebuilders.Site) -> None:
        """Let a gang claim all seven free workers of twenty."""
        self.occupy(site, range(13))
        gang = fleetbuilders.build_step(10, 8, 5_000, gang=True)
        site.submit('gang', gang, run_s=5.0, queue='batch')
        site.step()

    def test_lasting_work_does_not_wait_for_claims(self) -> None:
        """Guards against claims that keep a service down under load."""
        site = idlebuilders.Site(20)
        self.submit_claiming_gang(site)
        step = fleetbuilders.build_step(3, 1, _LONG_MS, long_running=True)
        self.assertEqual({livejobs.Phase.RUNNING}, self.start(site, step))

    def test_a_lasting_gang_does_not_wait_for_one_rack(self) -> None:
        """Guards against a wait of 10 s for a rack under load.

        Each of three racks has 7 free workers; the gang needs 8.
        """
        site = idlebuilders.Site(60)
        self.occupy(site, [n for n in range(60) if n % 20 >= 7])
        gang = fleetbuilders.build_step(
            8, 8, 5_000, gang=True, rack_local=True, long_running=True
        )
        self.assertEqual({livejobs.Phase.RUNNING}, self.start(site, gang))

    def test_other_work_of_the_same_shape_hides_no_capacity(self) -> None:
        """Guards against an outcome shared by work that heeds claims.

        A wide gang claims half of the workers; another, which is placed after
        it, has waited for so long that it is tried without a rack.
        """
        site = idlebuilders.Site(60)
        self.occupy(site, [n for n in range(60) if n % 20 >= 7])
        wide = fleetbuilders.build_step(35, 8, 20_000, gang=True)
        site.submit('wide', wide, run_s=20.0, queue='batch')
        site.step()
        other = fleetbuilders.build_step(
            8, 8, 20_000, gang=True, rack_local=True
        )
        waiting = site.submit('other', other, run_s=20.0, queue='batch')
        site.run_for(11.0)
        gang = fleetbuilders.build_step(
            8, 8, 5_000, gang=True, rack_local=True, long_running=True
        )
        self.assertEqual({livejobs.Phase.RUNNING}, self.start(site, gang))
        (group,) = waiting.groups_by_key.values()
        self.assertIs(livejobs.Phase.WAITING, group.phase)


class FailingTaskTest(unittest.TestCase):
    """A long-running task fails now and then; one worker has its label."""

    def _longest_gap_s(self, run_s: float) -> float:
        """Return the longest time without a run in two minutes."""
        site = idlebuilders.Site(3)
        site.add_worker(
            fleetbuilders.build_entry('special', labels=('special', 'r0'))
        )
        site.failing_job_ids.add('j')
        step = fleetbuilders.build_step(
            1, 1, 600_000, long_running=True, label='special'
        )
        job = site.submit('j', step, run_s=run_s, queue='batch')
        (group,) = job.groups_by_key.values()
        longest_s = 0.0
        last_at = site.now
        until = site.now + 120.0
        while site.now < until:
            site.run_for(idlebuilders.STEP_S)
            if group.phase is livejobs.Phase.RUNNING:
                last_at = site.now
            longest_s = max(longest_s, site.now - last_at)
        return longest_s

    def test_a_task_that_was_at_work(self) -> None:
        """Guards against a quarantine for tasks that may fail (review/4)."""
        self.assertLess(self._longest_gap_s(6.0), _LIMIT_S)

    def test_a_task_that_fails_at_once(self) -> None:
        """Guards against a worker that is never quarantined."""
        self.assertGreater(self._longest_gap_s(0.1), _LIMIT_S)


class LostWorkerTest(unittest.TestCase):
    """The worker of a long-running task is lost for good."""

    def test_it_runs_again_in_time(self) -> None:
        """Guards against long-running work down for 9 s (review/3, LOST).

        The rule allows 6 s after its last run, and counts 3 s from then.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            step = fleetbuilders.build_step(
                1, 1, 600_000, long_running=True, tail_latency_target_ms=200
            )
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(20.0)
            worker = world.find_busy_worker()
            filling = fleetbuilders.build_step(
                3, 1, 600_000, long_running=True, fills=True, max_per_worker=1
            )
            world.submit(fleetbuilders.build_graph('filling', filling))
            await asyncio.sleep(2.0)
            world.fleet.crash(worker)
            await asyncio.sleep(8.9)
            running = {
                run.task.job_id
                for other in world.fleet.workers_by_id.values()
                for run in other.runs
            }
            self.assertEqual({'j', 'filling'}, running)

        for seed in range(3):
            with self.subTest(seed=seed):
                fleetbuilders.run_with_node(scenario, seed)


if __name__ == '__main__':
    unittest.main()
