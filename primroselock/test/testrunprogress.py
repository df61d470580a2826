"""Reported progress of runs, and decisions that depend on it."""

import asyncio
import typing
import unittest

import hypothesis
from hypothesis import strategies

from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import runprogress
from primroselock.decisions.runtimes import learner
from primroselock import jobgraph
from primroselock.test import fleetbuilders

_REMOTE_FACTOR: typing.Final = 3.0


class ProgressTest(unittest.TestCase):
    """Rates, remaining and worked times from shares in steps of 0.01."""

    @hypothesis.given(
        whole_s=strategies.floats(1.0, 500.0),
        first=strategies.floats(0.0, 0.5),
        second=strategies.floats(0.6, 0.99),
    )
    def test_the_time_left_is_that_of_the_rate(
        self, whole_s: float, first: float, second: float
    ) -> None:
        seen = runprogress.start(_floor_to_hundredths(first), first * whole_s)
        now = second * whole_s
        seen.record(_floor_to_hundredths(second), now)
        remaining_s = seen.remaining_s(now)
        assert remaining_s is not None
        # An error of 0.01 at either end of a gain of 0.1 or more.
        self.assertLess(abs(remaining_s - (whole_s - now)), 0.3 * whole_s)
        self.assertLess(abs(seen.worked_s(now) - now), 0.15 * whole_s)

    def test_a_single_share_gives_no_rate(self) -> None:
        seen = runprogress.start(0.4, 10.0)
        self.assertIsNone(seen.remaining_s(10.0))
        seen.record(0.41, 10.5)
        self.assertIsNone(seen.rate_per_s)

    def test_stalled_time_counts_from_the_last_gain(self) -> None:
        seen = runprogress.start(0.1, 0.0)
        seen.record(0.3, 2.0)
        seen.record(0.3, 5.0)
        self.assertEqual(3.0, seen.stalled_s)


def _floor_to_hundredths(share: float) -> float:
    return int(share * 100) / 100


class HealthTest(unittest.TestCase):
    """Detection of stuck groups, on a blackboard without a node."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard(
            queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        self.board.record_entry(fleetbuilders.build_entry('w0'), 0.0)
        step = fleetbuilders.build_step(1, 8)
        self.run_first_group(fleetbuilders.build_graph('j', step))

    def run_first_group(self, graph: jobgraph.JobGraph) -> None:
        """Add a job whose first group, ``self.group``, runs on ``w0``."""
        job = graphs.add_job(self.board, graph, None, 0, 0.0, 0)
        assert job is not None
        self.group = job.groups_by_key[jobgraph.GroupKey(0, 0, 0)]
        self.member = livejobs.Member(
            self.group, 0, 'w0', 1, livejobs.MemberState.PRESENT
        )
        self.group.members = [self.member]
        self.group.enter(livejobs.Phase.RUNNING, 0.0)
        self.group.began_at = 0.0
        self.member.progress = runprogress.start(0.0, 0.0)

    def list_stuck(self, now: float) -> list[livejobs.Group]:
        """Return the groups that count as stuck."""
        found = fleethealth.list_stuck(self.board, _REMOTE_FACTOR, now, now)
        return [stuck.group for stuck in found]

    def report(self, share: float, now: float) -> None:
        """Record that the worker reported a share."""
        assert self.member.progress is not None
        self.member.progress.record(share, now)
        self.board.reported_groups[self.group] = None

    def test_no_progress_is_found_without_earlier_runs(self) -> None:
        """A run that makes no progress for a time counts as stuck."""
        self.report(0.0, 2.0)
        self.assertEqual([], self.list_stuck(2.0))
        self.report(0.0, 4.0)
        self.assertEqual([self.group], self.list_stuck(4.0))

    def test_a_member_that_waits_for_its_gang_is_not_stuck(self) -> None:
        """A member whose own part is done reports a share of 1."""
        self.report(1.0, 2.0)
        self.report(1.0, 9.0)
        self.assertEqual([], self.list_stuck(9.0))

    def test_runs_of_an_unresponsive_worker_are_not_stuck(self) -> None:
        """Stalled time counts from report to report, not until now."""
        self.report(0.2, 2.0)
        self.assertEqual([], self.list_stuck(30.0))

    def test_a_long_run_that_makes_progress_is_not_stuck(self) -> None:
        for second in range(1, 60):
            self.report(second / 600, float(second))
            self.assertEqual([], self.list_stuck(float(second)))

    def get_stuck(self, now: float) -> None:
        """Record that the run is stuck; restart it on the same worker."""
        self.group.attempt += 1
        fleethealth.record_stuck(self.board, self.group)
        self.group.began_at = now
        self.member.progress = runprogress.start(0.0, now)

    def test_work_that_was_stuck_is_judged_again(self) -> None:
        """Guards against a run that stays on a stalled worker for ever.

        The time without progress that counts as stuck doubles each time.
        """
        self.get_stuck(10.0)
        self.report(0.0, 14.0)
        self.assertEqual([], self.list_stuck(14.0))
        self.report(0.0, 17.0)
        self.assertEqual([self.group], self.list_stuck(17.0))
        self.get_stuck(20.0)
        self.report(0.0, 27.0)
        self.assertEqual([], self.list_stuck(27.0))
        self.report(0.0, 33.0)
        self.assertEqual([self.group], self.list_stuck(33.0))

    def test_long_work_is_stopped_ever_later(self) -> None:
        """Guards against work that is stopped before its end for ever.

        Runs of the queue take two seconds, this one takes much longer.
        """
        self.learn('other')
        assert self.member.progress is not None
        for times in range(4):
            self.member.progress.share = 1.0
            self.report(1.0, 100.0 * times + 5.0 * 2.0**times)
            self.assertEqual([], self.list_stuck(100.0 * times))
            self.report(1.0, 100.0 * times + 6.0 * 2.0**times)
            self.assertEqual([self.group], self.list_stuck(100.0 * times))
            self.get_stuck(100.0 * (times + 1))

    def test_work_that_is_stuck_again_does_not_blame_its_workers(self) -> None:
        """Guards against sound workers suspected because of one long job."""
        self.get_stuck(10.0)
        self.get_stuck(20.0)
        self.get_stuck(40.0)
        self.assertFalse(
            self.board.failure_evidence.is_worker_at_fault('w0', 2)
        )
        self.assertEqual(0, self.group.failures)

    def learn(self, job_id: str) -> None:
        """Record that eight tasks of a job took two seconds each."""
        for _ in range(8):
            self.board.learned.record(learner.Kind('bulk', 'a'), 1.0, 2.0)
            self.board.learned.record_sibling((job_id, 0), 2.0)

    def test_a_slow_worker_is_found_by_its_siblings_rate(self) -> None:
        """A run much slower than other tasks of its step counts as stuck.

        At its rate it would take 20 s instead of two.
        """
        self.learn('j')
        self.report(0.1, 2.0)
        self.assertEqual([self.group], self.list_stuck(2.0))

    def test_the_first_of_many_to_end_show_nothing_of_the_rest(self) -> None:
        """The pattern: a wide step whose tasks differ in length.

        The shortest end first; only once half of the step has ended does
        its longest run time tell that another task is slow.
        """
        wide = fleetbuilders.build_step(40)
        self.run_first_group(fleetbuilders.build_graph('wide', wide))
        self.learn('wide')
        self.report(0.1, 2.0)
        self.assertEqual([], self.list_stuck(2.0))
        self.learn('wide')
        self.learn('wide')
        self.report(0.1, 2.1)
        self.assertEqual([self.group], self.list_stuck(2.1))

    def test_slow_work_that_is_nearly_done_goes_on(self) -> None:
        """It ends sooner than a restart on another worker would."""
        self.learn('j')
        self.report(0.7, 4.0)
        self.assertEqual([], self.list_stuck(4.0))

    def test_a_long_job_among_short_ones_is_not_taken_for_slow(self) -> None:
        """Guards against a limit learned from the shortest jobs of a queue.

        These end first; only tasks of the same step show that one is slow.
        """
        self.learn('other')
        self.report(0.1, 2.0)
        self.assertEqual([], self.list_stuck(2.0))


class LoadTest(unittest.TestCase):
    """Urgent work on a full cluster preempts the least work."""

    def test_work_that_is_about_to_end_is_not_stopped(self) -> None:
        """Waiting frees capacity as soon as preemption would; no lost work."""

        async def scenario(world: fleetbuilders.World) -> float:
            step = fleetbuilders.build_step(1, 8, 3000)
            world.submit(fleetbuilders.build_graph('b', step))
            await asyncio.sleep(2.7)
            urgent = fleetbuilders.build_step(1, 8, 500)
            world.submit(
                fleetbuilders.build_graph('u', urgent, queue='urgent')
            )
            took_s = await world.wait_for('u', 'done', 30.0)
            self.assertEqual('done', world.state('b'))
            self.assertEqual(2, world.fleet.starts)
            return took_s

        self.assertLess(fleetbuilders.run_scenario(scenario, 1), 1.2)

    def test_after_a_takeover_the_youngest_work_is_preempted(
        self,
    ) -> None:
        """Guards against preempting old work after a takeover.

        A new lease holder does not know when runs began; it must derive
        that from their progress.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            step = fleetbuilders.build_step(1, 8, 40_000)
            world.submit(fleetbuilders.build_graph('old', step))
            await asyncio.sleep(20.0)
            world.submit(fleetbuilders.build_graph('young', step))
            await asyncio.sleep(2.0)
            await world.find_shard_holder().kill()
            world.add_node('entry-2')
            await asyncio.sleep(10.0)
            urgent = fleetbuilders.build_step(1, 8, 500)
            world.submit(
                fleetbuilders.build_graph('u', urgent, queue='urgent')
            )
            await world.wait_for('u', 'done', 30.0)
            progress = world.progress('old')
            assert progress is not None
            await world.wait_for('old', 'done', 30.0)
            return float(progress.groups[0].attempt)

        self.assertEqual(1.0, fleetbuilders.run_scenario(scenario, 2))


if __name__ == '__main__':
    unittest.main()
