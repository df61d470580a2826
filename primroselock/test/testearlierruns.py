"""Runs that no row asks for, of tasks that wait to be placed."""

import asyncio
import typing
import unittest

from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import boundbuilders
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.workers import orders

_RUN_S: typing.Final = 60.0
_STOP_S: typing.Final = 4.0
_STORE_DELAY_S: typing.Final = 1.5


class StrayTest(unittest.TestCase):
    """A worker lists an earlier attempt of a group that waits."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(2)

    def submit(self, step: jobgraph.Step) -> livejobs.Group:
        """Submit a job whose first attempt has ended; return its group."""
        job = self.site.submit('j', step, run_s=_RUN_S, queue='batch')
        group = list(job.groups_by_key.values())[-1]
        group.attempt = 1
        return group

    def report_stray(self, index: int) -> orders.Run:
        """Let a worker report the first attempt of a task as running."""
        run = orders.Run(jobgraph.TaskName('j', 0, 0, index), 1)
        simulated = self.site.workers_by_id['n000']
        simulated.runs[run] = idlebuilders.SimulatedRun(
            self.site.now, _RUN_S, False
        )
        now = self.site.now
        report = orders.RunReport(now, 1, (orders.Running(run, '', 0.0),), ())
        worker = self.site.board.workers_by_id['n000']
        runs.record_poll(self.site.board, worker, report, now, now, 0)
        return run

    def check_waits(self, group: livejobs.Group, run: orders.Run) -> None:
        """Check that a group runs, but never beside its earlier run."""
        site = self.site
        fleetround.run(site.board, site.settings, site.now, site.now)
        self.assertIs(livejobs.Phase.WAITING, group.phase)
        site.run_for(1.0)
        self.assertNotIn(run, site.workers_by_id['n000'].runs)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)
        self.assertEqual(2, group.attempt)

    def test_a_task_waits_for_its_earlier_run(self) -> None:
        """Guards against a second run while the first is being stopped."""
        group = self.submit(fleetbuilders.build_step(3, 1))
        self.check_waits(group, self.report_stray(2))

    def test_a_gang_waits_for_a_run_of_any_member(self) -> None:
        """Guards against a gang that begins beside a member's earlier run."""
        step = fleetbuilders.build_step(3, 1, gang=True)
        group = self.submit(step)
        self.check_waits(group, self.report_stray(2))

    def test_others_do_not_wait(self) -> None:
        """Guards against a step that waits for one of its tasks."""
        group = self.submit(fleetbuilders.build_step(3, 1))
        self.report_stray(0)
        site = self.site
        fleetround.run(site.board, site.settings, site.now, site.now)
        self.assertIs(livejobs.Phase.COMMITTING, group.phase)

    def test_a_worker_that_is_lost_holds_nothing_back_for_good(self) -> None:
        """Guards against a task that waits for a report that never comes."""
        group = self.submit(fleetbuilders.build_step(1, 1))
        self.report_stray(0)
        self.site.silence('n000')
        self.site.run_for(9.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)
        self.site.run_for(5.0)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)


class UnsentStartTest(unittest.TestCase):
    """An earlier run shows between a placement and its start."""

    def test_the_start_waits_for_the_end_of_the_earlier_run(self) -> None:
        """Guards against two runs of a task (TWICE): only who waits is held.

        The store takes long to store the second attempt; meanwhile a worker
        lists the first one.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.stop_delay_s = _STOP_S
            # Both workers are polled all the time.
            boundbuilders.submit(world, 'other', 2, max_per_worker=1)
            await boundbuilders.wait_until(
                lambda: capacitybuilders.count_runs(world, 'other') == 2
            )
            world.fleet.failing_job_ids.add('j')
            boundbuilders.submit(world, 'j', 1)
            await boundbuilders.wait_until(
                lambda: bool(world.fleet.record.failures_by_task)
            )
            world.fleet.failing_job_ids.clear()
            with capacitybuilders.slow_placement(world, _STORE_DELAY_S):
                await asyncio.sleep(0.2)
                worker = world.fleet.workers_by_id['w0']
                stray = boundbuilders.add_stray(world, worker, 'j', 0)
                await asyncio.sleep(_STORE_DELAY_S)
            await boundbuilders.wait_until(
                lambda: (
                    stray not in worker.runs
                    and capacitybuilders.count_runs(world, 'j') == 1
                )
            )

        capacitybuilders.run_scenario(scenario, workers=2)


if __name__ == '__main__':
    unittest.main()
