"""Placement in chosen situations, and replays of recorded traces."""

import pathlib
import typing
import unittest

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import shapes
from primroselock import jobs
from primroselock.test import datacases
from tools import replay
from tools import replayrecord
from tools import replayworld
from tools import traces

_TICKS: typing.Final = 600
_LONG_S: typing.Final = 100_000.0
_DATA: typing.Final = (
    pathlib.Path(__file__).resolve().parent.parent.parent / 'test-data'
)


def build_world(racks: int, accounts: str) -> replayworld.World:
    """Return a settled world of one zone.

    ``accounts`` is the text of the accounts' configuration sections.
    """
    text = f'[zone za]\nracks = {racks}\n{accounts}'
    deployment = traces.Deployment(
        'one', ('za',), {'za': racks}, text, 64, 262144
    )
    world = replayworld.World(
        traces.Trace(deployment, ()), replay.build_settings({})
    )
    world.settle(_TICKS)
    return world


def submit(
    world: replayworld.World, job_id: str, account: str, **changes: typing.Any
) -> None:
    """Submit a job of one whole worker and let the world settle.

    ``changes`` go to the arrival.
    """
    changes = {'members': 1, 'true_s': _LONG_S, **changes}
    world.apply(
        traces.Arrival(
            at=world.now,
            id=job_id,
            account=account,
            zone='za',
            name='job',
            accelerators=8,
            cpus=1,
            declared_s=600.0,
            **changes,
        )
    )
    world.settle(_TICKS)


class ShapeTest(unittest.TestCase):
    """The cells that a job needs, by cases of test-data."""

    def test_cases(self) -> None:
        share = shapes.AcceleratorShare(8, 32768)
        for case in datacases.load('shapes.test'):
            with self.subTest(case.name):
                values = dict(
                    item.split('=') for item in case.given.split(' ')
                )
                numbers = {key: int(value) for key, value in values.items()}
                shape = shapes.of_spec(
                    jobs.JobSpec('job', **numbers),  # type: ignore[arg-type]
                    share,
                )
                found = f'{shape.count} of {shape.size}' if shape else 'none'
                self.assertEqual(case.expected, found)


class PlacingTestCase(unittest.TestCase):
    """Base of tests that check running jobs."""

    def assert_running(
        self, world: replayworld.World, job_id: str, borrowed: bool
    ) -> None:
        """Check that a job runs, on borrowed cells or within its guarantee."""
        board = world.boards_by_shard['za']
        view = board.attempts_by_job_id.get(job_id)
        self.assertIsNotNone(view, board.reasons_by_job_id.get(job_id))
        assert view is not None
        self.assertIs(blackboard.Phase.RUNNING, view.phase)
        self.assertEqual(borrowed, view.attempt.borrowed)


class GuaranteeTest(PlacingTestCase):
    """Guarantees after patches and failures."""

    def test_scattered_cells_are_moved_when_a_patch_needs_the_rack(
        self,
    ) -> None:
        """Guards against a guarantee that fragmentation makes unusable.

        Account x runs in one cell of each rack, and the new guarantee of
        account y needs an empty rack.
        """
        world = build_world(
            2,
            '[account x]\nguarantee.za = 8:2\n'
            '[account z]\nguarantee.za = 8:7\n[account y]\n',
        )
        submit(world, 'x1', 'x')
        for index in range(7):
            submit(world, f'z{index}', 'z', true_s=200.0)
        submit(world, 'x2', 'x')
        world.advance_by(300.0)
        world.settle(_TICKS)
        self.assertTrue(
            world.patch(
                {
                    'account z': {'guarantee.za': '8:0'},
                    'account y': {'guarantee.za': '64:1'},
                }
            )
        )
        world.settle(_TICKS)
        board = world.boards_by_shard['za']
        self.assertEqual(
            [],
            capacity.reclaim_shortfalls(board, world.settings, world.now),
        )
        submit(world, 'y1', 'y', members=8)
        for job_id in ('x1', 'x2', 'y1'):
            self.assert_running(world, job_id, borrowed=False)

    def test_work_above_a_lowered_guarantee_is_preempted(self) -> None:
        world = build_world(
            1, '[account x]\nguarantee.za = 64:1\n[account y]\n'
        )
        for index in range(8):
            submit(world, f'x{index}', 'x')
        world.patch(
            {
                'account x': {'guarantee.za': '64:0'},
                'account y': {'guarantee.za': '64:1'},
            }
        )
        submit(world, 'y1', 'y', members=8)
        self.assert_running(world, 'y1', borrowed=False)

    def test_a_claimed_cell_does_not_go_to_others(self) -> None:
        """Guards against waiting jobs that take the cells freed for another.

        Each of the 8 cells is preempted once.
        """
        world = build_world(
            1, '[account x]\nguarantee.za = 64:1\n[account y]\n'
        )
        for index in range(20):
            submit(world, f'y{index:02}', 'y')
        preempted = world.record.preemptions
        submit(world, 'x1', 'x', members=8)
        self.assert_running(world, 'x1', borrowed=False)
        self.assertEqual(preempted + 8, world.record.preemptions)

    def test_shortfall_is_reported_and_nothing_is_moved(self) -> None:
        """Two dead workers leave no aligned block of 32 accelerators."""
        world = build_world(
            1,
            '[account x]\nguarantee.za = 8:1\n'
            '[account y]\nguarantee.za = 32:1\n',
        )
        submit(world, 'x1', 'x')
        for slot in (1, 5):
            name = traces.worker_id('za', 0, slot)
            world.apply(traces.WorkerChange(world.now, name, 'dead'))
        world.advance_by(60.0)
        world.settle(_TICKS)
        board = world.boards_by_shard['za']
        self.assertEqual(1, len(board.shortfalls))
        self.assertIn('32 accelerators', board.shortfalls[0])
        self.assertEqual(0, world.record.preemptions)


class BorrowingTest(PlacingTestCase):
    """Work above the guarantee, and a zone that goes out of service."""

    def test_urgent_work_preempts_borrowed_but_no_urgent_work(self) -> None:
        world = build_world(1, '[account y]\n')
        for index in range(8):
            submit(world, f'y{index}', 'y', checkpointable=False)
        submit(world, 'u1', 'y', members=8, priority='urgent')
        self.assert_running(world, 'u1', borrowed=True)
        submit(world, 'u2', 'y', priority='urgent')
        board = world.boards_by_shard['za']
        self.assertNotIn('u2', board.attempts_by_job_id)
        self.assertIn('1 cells of 8', board.reasons_by_job_id['u2'])
        self.assertIn('no guarantee here', board.reasons_by_job_id['u2'])

    def test_a_zone_out_of_service_keeps_only_what_cannot_be_checkpointed(
        self,
    ) -> None:
        world = build_world(
            1, '[account x]\nguarantee.za = 8:2\n[account y]\n'
        )
        submit(world, 'x1', 'x')
        submit(world, 'y1', 'y', checkpointable=False)
        submit(world, 'y2', 'y')
        world.advance_by(100.0)
        world.apply(traces.ZoneChange(world.now, 'za', 'out'))
        world.settle(_TICKS)
        board = world.boards_by_shard['za']
        self.assertEqual({'y1'}, board.attempts_by_job_id.keys())
        self.assertIn('out of service', board.reasons_by_job_id['x1'])
        for job_id in ('x1', 'y2'):
            saved_s = board.jobs_by_id[job_id].job.checkpoint_s
            self.assertGreaterEqual(saved_s, 100.0)
        world.apply(traces.ZoneChange(world.now, 'za', 'in'))
        world.settle(_TICKS)
        self.assert_running(world, 'x1', borrowed=False)
        self.assert_running(world, 'y2', borrowed=True)


class TraceTest(unittest.TestCase):
    """Replays of the recorded traces."""

    def test_recorded_traces(self) -> None:
        for name in traces.DEPLOYMENTS:
            with self.subTest(name):
                text = (_DATA / f'{name}.trace').read_text(encoding='utf-8')
                trace = traces.decode(text)
                settings = replay.build_settings({})
                world = replayworld.World(trace, settings)
                world.check_invariant = True
                self.check(world, world.run_trace())

    def check(
        self, world: replayworld.World, record: replayrecord.Record
    ) -> None:
        """Check the record of a replay.

        All jobs end, gangs count only when complete, and no capacity claim
        lasts longer than the preemption of the work in its cells may take.
        """
        self.assertEqual(
            world.arrivals_by_id.keys(), record.ended_by_job_id.keys()
        )
        cancelled = {
            event.id
            for event in world.trace.events
            if isinstance(event, traces.Cancel)
        }
        for job_id, (_, state) in record.ended_by_job_id.items():
            if job_id not in cancelled:
                self.assertIs(jobs.JobState.DONE, state, job_id)
        self.assertEqual(0, record.split_gangs)
        self.assertEqual(0, record.doubled)
        self.assertEqual(0, record.starts_in_out_zone)
        self.assertEqual(0, record.rounds_short)
        scheduler = world.settings.scheduler
        bound_s = scheduler.checkpoint_grace_s + scheduler.task_lease_s
        self.assertLessEqual(record.longest_claim_s, bound_s)


if __name__ == '__main__':
    unittest.main()
