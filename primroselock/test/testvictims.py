"""What a stop loses on both sides: the work, and the job's objective.

Each test names the load that it answers.
"""

import asyncio
import typing
import unittest

from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions.victims import losses
from primroselock import jobgraph
from primroselock.test import endtimebuilders
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker

_NOW: typing.Final = 100.0
_SETTINGS: typing.Final = fleetbuilders.build_node_settings().fleet


class LossTest(unittest.TestCase):
    """Costs of stops; a task of one core and one accelerator weighs 9."""

    def setUp(self) -> None:
        self.board = endtimebuilders.build_board()

    def loss(self, group: livejobs.Group) -> float:
        """Return the cost of a stop of ``group``."""
        return losses.cost_s(self.board, _SETTINGS, group, _NOW, _NOW)

    def loss_of(
        self,
        running: endtimebuilders.Running = endtimebuilders.Running(),
        **step_changes: typing.Any,
    ) -> float:
        """Return the cost of a stop of a new group that runs."""
        return self.loss(
            endtimebuilders.run_group(
                self.board, _NOW, running, **step_changes
            )
        )

    def test_tasks_that_were_stopped_before(self) -> None:
        """A burst that stops the same tasks three times and more."""
        never = self.loss_of()
        twice = self.loss_of(endtimebuilders.Running(stops=2))
        self.assertAlmostEqual((_SETTINGS.restore_s + 1.0) * 9, never)
        self.assertAlmostEqual(never * 16, twice)

    def test_earlier_stops_do_not_count_against_the_limit(self) -> None:
        """They choose between victims: urgent work must not wait for them."""
        group = endtimebuilders.run_group(
            self.board, _NOW, endtimebuilders.Running(stops=2)
        )
        counted = losses.losses_by_name['both_sides']
        lost_s = counted(self.board, _SETTINGS, group, _NOW, _NOW)
        self.assertAlmostEqual(self.loss(group), lost_s * 16)

    def test_work_that_ends_before_a_stop_would(self) -> None:
        """A burst that stops what is about to be free."""
        running = endtimebuilders.Running(worked_s=9.7, share=0.97)
        self.assertEqual(0.0, self.loss_of(running))

    def test_work_of_an_earlier_holder(self) -> None:
        """A burst right after a takeover: when runs began is not known."""
        for share, expected_s in ((0.8, 8.0), (None, 5.0)):
            with self.subTest(share=share):
                running = endtimebuilders.Running(worked_s=0.0, share=share)
                group = endtimebuilders.run_group(self.board, _NOW, running)
                group.began_at, group.is_resumed = None, True
                lost_s = expected_s + _SETTINGS.restore_s
                self.assertAlmostEqual(lost_s * 9, self.loss(group))

    def test_a_successor_knows_what_was_stopped(self) -> None:
        """A takeover in the middle of a burst."""
        running = endtimebuilders.Running(stops=2)
        group = endtimebuilders.run_group(self.board, _NOW, running)
        progress = graphs.build_progress(group.job)
        successor = endtimebuilders.build_board()
        job = graphs.add_job(
            successor, group.job.graph, progress, 0, _NOW, int(_NOW * 1000)
        )
        assert job is not None
        self.assertEqual(2, job.groups_by_key[group.key].preemptions)

    def test_work_that_is_saved(self) -> None:
        """Stops lose little of work that saves its progress."""
        running = endtimebuilders.Running(worked_s=8.0, accepted_s=8.0)
        saved = self.loss_of(running, checkpointing=True)
        limit_s = _SETTINGS.checkpoint_s + _SETTINGS.restore_s
        self.assertLessEqual(saved, limit_s * 9)
        self.assertLess(saved, self.loss_of(running))

    def test_a_job_that_a_stop_makes_late(self) -> None:
        """Less urgent work near the end of its objective, 33 s here."""
        early = endtimebuilders.Running(accepted_s=1.0)
        tight = endtimebuilders.Running(accepted_s=23.0)
        late = endtimebuilders.Running(accepted_s=50.0)
        self.assertGreater(self.loss_of(tight), self.loss_of(early) * 5)
        self.assertEqual(self.loss_of(late), self.loss_of(early))

    def test_less_may_be_lost_for_a_gang_that_will_be_late_anyway(
        self,
    ) -> None:
        """A burst of urgent gangs of which some waited for too long."""
        step = fleetbuilders.build_step(3, 1, 2000, gang=True)
        group = endtimebuilders.add_group(
            self.board, step, fleetbuilders.URGENT, int(_NOW * 1000)
        )
        in_time = losses.max_loss_s(self.board, _SETTINGS, group, _NOW)
        late = losses.max_loss_s(self.board, _SETTINGS, group, _NOW + 2.0)
        self.assertLess(late, in_time)
        # The gang's own work.
        self.assertAlmostEqual(2.0 * 3 * 9, late)


class LoadTest(unittest.TestCase):
    """Bursts on workers that are full of less urgent tasks."""

    def test_the_same_tasks_are_not_stopped_again_and_again(self) -> None:
        """Urgent jobs that come one after another, less room than they need.

        By lost work alone what was stopped last has done the least, and is
        stopped again.
        """
        both = fleetbuilders.run_scenario(_most_stops, 4)
        by_work = fleetbuilders.run_scenario(
            _most_stops, 4, '[fleet]\npreemption_cost = lost_work\n'
        )
        self.assertLess(both, by_work)


async def _most_stops(world: fleetbuilders.World) -> float:
    """Return how often the task that was stopped most often was stopped."""
    latest: dict[jobgraph.TaskName, int] = {}

    def note_begin(
        worker: simulatedworker.FakeWorker, live: simulatedworker.LiveRun
    ) -> None:
        latest[live.run.task] = live.run.attempt

    world.fleet.begin_hooks.append(note_begin)
    for number in range(4):
        step = fleetbuilders.build_step(8, 1, 12_000)
        world.submit(fleetbuilders.build_graph(f'b{number}', step))
    await asyncio.sleep(2.0)
    for number in range(12):
        step = fleetbuilders.build_step(1, 4, 1500)
        world.submit(
            fleetbuilders.build_graph(f'u{number}', step, queue='urgent')
        )
        await asyncio.sleep(2.0)
    return max(latest.values()) - 1.0


if __name__ == '__main__':
    unittest.main()
