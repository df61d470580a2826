"""The decision core under random events, on the replay's fake workers.

Guards against guarantees that cannot be reclaimed, split gangs, double
grants and caches that differ from the state they were built from.
"""

import dataclasses
import typing
import unittest

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies
import msgspec

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import packing
from primroselock.decisions import repair
from primroselock import jobs
from primroselock.workers import protocol
from tools import replay
from tools import replayworld
from tools import traces

_ZONES: typing.Final = ('za', 'zb')
_ACCOUNTS: typing.Final = ('anna', 'bert', 'carl')
_DEPLOYMENT: typing.Final = traces.Deployment(
    'small',
    _ZONES,
    {'za': 2, 'zb': 1},
    """
[zone za]
racks = 2
[zone zb]
racks = 1
[account anna]
guarantee.za = 64:1, 8:1
guarantee.zb = 32:1
[account bert]
guarantee.za = 8:3, 2:2
guarantee.zb = 4:3
[account carl]
guarantee.za = 16:1
""",
    64,
    262144,
)
_SETTLE_TICKS: typing.Final = 300
_LONG_S: typing.Final = 100_000.0

_workers = strategies.builds(
    traces.worker_id,
    strategies.sampled_from(_ZONES),
    strategies.just(0),
    strategies.integers(0, 7),
)


class DecisionMachine(stateful.RuleBasedStateMachine):
    """Jobs, worker failures, zone changes and patches in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.world = replayworld.World(
            traces.Trace(_DEPLOYMENT, ()), replay.build_settings({})
        )
        self.world.check_invariant = True
        self.broken_worker_ids: set[str] = set()
        self.zones_out_of_service: set[str] = set()
        self.serial = 0
        self.world.settle(_SETTLE_TICKS)

    def submit(self, **changes: typing.Any) -> str:
        """Submit a job and return its id."""
        self.serial += 1
        job = traces.Arrival(
            at=self.world.now,
            id=f'j{self.serial:03}',
            name='job',
            declared_s=600.0,
            cpus=1,
            **changes,
        )
        self.world.apply(job)
        return job.id

    @stateful.rule(
        account=strategies.sampled_from(_ACCOUNTS),
        zone=strategies.sampled_from(_ZONES),
        members=strategies.sampled_from((1, 1, 1, 2, 3, 8, 16)),
        accelerators=strategies.integers(0, 8),
        true_s=strategies.integers(1, 2000),
        priority=strategies.sampled_from(('normal', 'urgent', 'borrowed')),
        checkpointable=strategies.booleans(),
    )
    def arrive(self, **changes: typing.Any) -> None:
        """Submit a random job."""
        self.submit(**changes)
        self.world.advance_by(0.1)

    @stateful.rule(
        zone=strategies.sampled_from(_ZONES),
        accelerators=strategies.sampled_from((2, 8)),
        members=strategies.sampled_from((1, 2, 5)),
        checkpointable=strategies.booleans(),
    )
    def fill(self, zone: str, **changes: typing.Any) -> None:
        """Fill the free accelerators of a zone with long-running jobs."""
        for _ in range(2 * packing.RACK_SIZE // changes['accelerators']):
            self.submit(
                account=_ACCOUNTS[self.serial % 3],
                zone=zone,
                true_s=_LONG_S,
                priority='normal' if self.serial % 4 else 'borrowed',
                **changes,
            )
        self.world.settle(_SETTLE_TICKS)

    @stateful.rule(index=strategies.integers(0, 200))
    def cancel(self, index: int) -> None:
        """Cancel a job, if there is one of this number."""
        self.world.apply(traces.Cancel(self.world.now, f'j{index:03}'))

    @stateful.rule(seconds=strategies.sampled_from((0.1, 2.0, 60.0, 1500.0)))
    def wait(self, seconds: float) -> None:
        """Advance the clock."""
        self.world.advance_by(seconds)

    @stateful.rule()
    def settle(self) -> None:
        """Run rounds until nothing is in progress.

        What the usable workers can hold is reclaimable again then.
        """
        if not self.world.settle(_SETTLE_TICKS):
            return
        for zone, board in self.world.boards_by_shard.items():
            current = self.compute_capacity(board)
            if zone in self.zones_out_of_service:
                continue
            if not repair.missing_hardware(current):
                assert not current.shortfalls(), current.shortfalls()

    @stateful.rule(
        worker=_workers,
        state=strategies.sampled_from(('dead', 'back', 'fails-all')),
    )
    def change_worker(self, worker: str, state: typing.Any) -> None:
        """Kill a worker, restore it, or let it fail all tasks."""
        (
            self.broken_worker_ids.discard
            if state == 'back'
            else self.broken_worker_ids.add
        )(worker)
        self.world.apply(traces.WorkerChange(self.world.now, worker, state))

    @stateful.rule(
        zone=strategies.sampled_from(_ZONES),
        state=strategies.sampled_from(('in', 'out')),
    )
    def change_zone(self, zone: str, state: typing.Any) -> None:
        """Take a zone out of service or return it."""
        (
            self.zones_out_of_service.discard
            if state == 'in'
            else self.zones_out_of_service.add
        )(zone)
        self.world.apply(traces.ZoneChange(self.world.now, zone, state))

    @stateful.rule(
        account=strategies.sampled_from(_ACCOUNTS),
        zone=strategies.sampled_from(_ZONES),
        size=strategies.sampled_from(packing.CELL_SIZES),
        count=strategies.integers(0, 3),
    )
    def patch(self, account: str, zone: str, size: int, count: int) -> None:
        """Change one guarantee; one that does not pack is refused."""
        values = {f'guarantee.{zone}': f'{size}:{count}'}
        self.world.patch({f'account {account}': values})

    @stateful.precondition(lambda self: not self.broken_worker_ids)
    @stateful.rule(
        account=strategies.sampled_from(_ACCOUNTS),
        zone=strategies.sampled_from(_ZONES),
    )
    def reclaim(self, account: str, zone: str) -> None:
        """Check that an unused guaranteed cell can be reclaimed.

        An urgent job that needs it must run within the guarantee.
        """
        board = self.world.boards_by_shard[zone]
        if zone in self.zones_out_of_service or not self.world.settle(
            _SETTLE_TICKS
        ):
            return
        unused = self.compute_capacity(board).guarantee(account).unused_by_size
        size = max((s for s, n in unused.items() if n), default=0)
        if not size:
            return
        job_id = self.submit(
            account=account,
            zone=zone,
            members=max(size // 8, 1),
            accelerators=min(size, 8),
            true_s=_LONG_S,
            priority='urgent',
        )
        self.world.advance_by(0.1)
        for _ in range(_SETTLE_TICKS):
            view = board.attempts_by_job_id.get(job_id)
            if view is not None and view.phase is blackboard.Phase.RUNNING:
                break
            self.world.advance_by(0.1)
        view = board.attempts_by_job_id.get(job_id)
        assert view is not None, board.reasons_by_job_id.get(job_id)
        assert view.phase is blackboard.Phase.RUNNING, view
        assert not view.attempt.borrowed
        self.world.apply(traces.Cancel(self.world.now, job_id))

    def compute_capacity(
        self, board: blackboard.Blackboard
    ) -> capacity.Capacity:
        """Return the current capacity of a shard."""
        return capacity.compute(board, self.world.settings, self.world.now)

    @stateful.invariant()
    def guarantees_hold(self) -> None:
        """Check that the replay has recorded no violation."""
        record = self.world.record
        assert not record.rounds_short, 'a guarantee became unreclaimable'
        assert not record.starts_in_out_zone, (
            'a start in a zone out of service'
        )
        assert not record.split_gangs, (
            'a gang counted as done without all members'
        )
        assert not record.doubled, 'an accelerator was granted twice'

    @stateful.invariant()
    def caches_match_rebuilt_state(self) -> None:
        """Check that cached state equals what rows and reports give."""
        for board in self.world.boards_by_shard.values():
            cached = self.compute_capacity(board)
            fresh = dataclasses.replace(
                board, soft_state=blackboard.SoftState()
            )
            rebuilt = self.compute_capacity(fresh)
            assert cached.free.free_by_rack == rebuilt.free.free_by_rack
            assert (
                cached.reclaimable.free_by_rack
                == rebuilt.reclaimable.free_by_rack
            )
            assert (
                cached.guarantees_by_account == rebuilt.guarantees_by_account
            )
            assert cached.borrowed_by_rack == rebuilt.borrowed_by_rack


class DecisionTest(unittest.TestCase):
    """Runs the state machine."""

    def test_guarantees_hold_under_random_events(self) -> None:
        stateful.run_state_machine_as_test(
            DecisionMachine,
            settings=settings(max_examples=40, stateful_step_count=25),
        )

    def test_guarantees_stay_reclaimable_while_workers_break(self) -> None:
        """A sequence that the random machine found.

        One worker fails all its tasks and two are dead.
        """
        machine = DecisionMachine()
        machine.change_worker('za-r0-w0', 'fails-all')
        machine.fill('za', accelerators=2, checkpointable=False, members=2)
        machine.change_worker('za-r0-w1', 'dead')
        machine.change_worker('zb-r0-w0', 'dead')
        machine.change_worker('za-r0-w1', 'dead')
        machine.change_worker('za-r0-w2', 'back')
        machine.change_worker('za-r0-w1', 'dead')
        machine.fill('za', accelerators=8, checkpointable=False, members=2)
        machine.change_worker('za-r0-w6', 'back')
        machine.fill('za', accelerators=2, checkpointable=True, members=1)
        machine.guarantees_hold()

    def test_small_cells_take_nothing_that_larger_ones_need(self) -> None:
        """Two dead workers leave room for all guarantees but two small ones.

        Small guaranteed work split the block of a larger unused cell then.
        """
        machine = DecisionMachine()
        machine.change_worker('za-r0-w0', 'dead')
        machine.change_worker('za-r0-w1', 'dead')
        machine.fill('za', accelerators=2, checkpointable=False, members=1)
        machine.guarantees_hold()

    def test_a_lost_cell_is_restored_though_its_room_was_taken(self) -> None:
        """One round places work in the whole rack and finds a gang lost.

        The gang held a rack with a dead worker; both racks are broken then,
        until the work in the other one is moved.
        """
        machine = DecisionMachine()
        machine.change_worker('za-r0-w3', 'dead')
        gang = dict(zone='za', priority='normal', checkpointable=True)
        machine.submit(
            account='anna', members=16, accelerators=1, true_s=322.0, **gang
        )
        machine.wait(0.1)
        machine.wait(2.0)
        machine.change_worker('za-r0-w1', 'fails-all')
        machine.settle()
        machine.submit(
            account='bert', members=1, accelerators=2, true_s=_LONG_S, **gang
        )
        machine.wait(60.0)
        board = machine.world.boards_by_shard['za']
        self.assertTrue(machine.compute_capacity(board).shortfalls())
        machine.guarantees_hold()
        machine.settle()
        self.assertFalse(machine.compute_capacity(board).shortfalls())
        machine.guarantees_hold()

    def finish_gang(self) -> DecisionMachine:
        """Let a gang of two in zone zb end; the outcome is not written."""
        machine = DecisionMachine()
        machine.submit(
            account='carl',
            zone='zb',
            members=2,
            accelerators=8,
            true_s=60.0,
            priority='normal',
            checkpointable=True,
        )
        machine.settle()
        machine.wait(70.0)
        return machine

    def test_a_gang_is_done_though_a_worker_dies_after_its_end(self) -> None:
        """All members were reported done before one of the workers died.

        The check counted the dead worker's member as not done.
        """
        for state in ('dead', 'back'):
            with self.subTest(state=state):
                machine = self.finish_gang()
                machine.change_worker('zb-r0-w1', state)
                machine.settle()
                self.assertIs(
                    jobs.JobState.DONE,
                    machine.world.record.ended_by_job_id['j001'][1],
                )
                machine.guarantees_hold()

    def test_a_gang_is_not_done_without_the_lost_member(self) -> None:
        """The check counts a member that was not done, or was forgotten."""
        for lost in ('running', 'forgotten'):
            with self.subTest(lost=lost):
                machine = self.finish_gang()
                worker = machine.world.workers_by_id['zb-r0-w1']
                for key, task in list(worker.tasks_by_key.items()):
                    task.report = msgspec.structs.replace(
                        task.report, state=protocol.TaskState.RUNNING
                    )
                    if lost == 'forgotten':
                        worker.forget(key)
                worker.die()
                machine.settle()
                self.assertEqual(1, machine.world.record.split_gangs)

    def test_no_start_in_a_zone_that_was_taken_out_meanwhile(self) -> None:
        """An attempt that is being started when its zone goes is ended."""
        for ticks in range(1, 9):
            with self.subTest(ticks=ticks):
                machine = DecisionMachine()
                machine.submit(
                    account='anna',
                    zone='zb',
                    members=1,
                    accelerators=0,
                    true_s=100.0,
                    priority='normal',
                    checkpointable=False,
                )
                for _ in range(ticks):
                    machine.world.advance_by(0.05)
                machine.change_zone('zb', 'out')
                machine.settle()
                machine.guarantees_hold()


if __name__ == '__main__':
    unittest.main()
