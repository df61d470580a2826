"""Workers that are probed so that their next boot is noticed soon."""

import asyncio
import typing
import unittest

from primroselock import clock
from primroselock.decisions import bootwatch
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import restartbuilders
from primroselock.workers import orders

_LATE_S: typing.Final = 4.0
_RUN_MS: typing.Final = 100
_UNANSWERED_S: typing.Final = 0.4
_RESTART_AFTER_S: typing.Final = 3.6
"""Time from the submission to the restart; the entry tells of it later."""

_RESTARTED_AT: typing.Final = 100.0
_ORDERED_AT: typing.Final = 110.0
_SEEN_AT: typing.Final = 112.0


class NextBootTest(unittest.TestCase):
    """A start without an answer reaches the boot after its run has ended."""

    def check_no_second_run(self, has_other_work: bool) -> None:
        """Check that the order is refused, by a boot that was just told."""

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.late_starts_outlive = True
            world.fleet.late_s = (_LATE_S, _LATE_S)
            await asyncio.sleep(1.0)
            worker = world.fleet.workers_by_id['w0']
            world.fleet.crash(worker)
            world.restart_worker(worker)
            await asyncio.sleep(1.0)
            submitted_at = clock.monotonic()
            await restartbuilders.submit_unanswered(
                world, worker, _RUN_MS, _UNANSWERED_S
            )
            await world.wait_for('j', 'done', 2.0)
            self.assertEqual(1, world.fleet.starts)
            if has_other_work:
                restartbuilders.submit(world, 'other', 60_000)
            left_s = submitted_at + _RESTART_AFTER_S - clock.monotonic()
            await asyncio.sleep(left_s)
            world.fleet.crash(worker)
            world.fleet.restart(worker)
            await asyncio.sleep(2.0)
            self.assertEqual([], world.fleet.violations)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_a_worker_on_which_nothing_runs(self) -> None:
        """Guards against a wait for the entry of an idle worker."""
        self.check_no_second_run(has_other_work=False)

    def test_a_worker_whose_poll_is_held_open(self) -> None:
        """Guards against a wait for the answer of a boot that has ended."""
        self.check_no_second_run(has_other_work=True)


class WatchTest(unittest.TestCase):
    """Which workers are probed, and when."""

    def setUp(self) -> None:
        self.board = fleet.ShardBoard(epoch=1)
        self.board.restarted_at = _RESTARTED_AT
        graph = fleetbuilders.build_graph('j', fleetbuilders.build_step(40))
        self.job = livejobs.LiveJob(graph, None)
        for index in range(40):
            self.add_late_run(index)

    def add_late_run(self, index: int) -> None:
        """Add a worker with a settled run whose start has no answer."""
        entry = fleetbuilders.build_entry(f'w{index}')
        self.board.record_entry(entry, 0.0)
        worker = self.board.workers_by_id[entry.id]
        worker.boot_seen_at = _SEEN_AT
        group = livejobs.Group(
            self.job,
            jobgraph.GroupKey(0, 0, index),
            self.job.graph.steps[0],
            livejobs.Phase.DONE,
            0.0,
        )
        member = livejobs.Member(
            group, index, entry.id, 1, livejobs.MemberState.TERMINATED
        )
        worker.add_late_run(member, _ORDERED_AT + index / 100)

    def list_ids(self, now: float) -> list[str]:
        """Return the ids of the workers to probe."""
        return [w.id for w in bootwatch.list_watched(self.board, now)]

    def test_the_latest_orders_come_first_and_are_bounded(self) -> None:
        """Guards against probes of a whole fleet."""
        expected = [f'w{index}' for index in range(39, 7, -1)]
        self.assertEqual(expected, self.list_ids(_SEEN_AT + 0.2))

    def test_a_boot_that_was_just_seen(self) -> None:
        """Guards against probes without a pause; one more is no remedy."""
        self.assertEqual([], self.list_ids(_SEEN_AT + 0.1))
        self.board.workers_by_id['w39'].boot_seen_at = _SEEN_AT + 0.15
        self.assertNotIn('w39', self.list_ids(_SEEN_AT + 0.2))

    def test_workers_that_do_not_answer(self) -> None:
        """Guards against probes beside the polls of such a worker."""
        self.board.workers_by_id['w39'].record_failed_call(_SEEN_AT)
        self.board.workers_by_id['w38'].doubted_at = _SEEN_AT
        self.board.workers_by_id['w37'].is_listed = False
        self.assertEqual('w36', self.list_ids(_SEEN_AT + 0.2)[0])

    def test_orders_that_are_carried_out_no_more(self) -> None:
        """Guards against probes without end."""
        self.assertEqual(32, len(self.list_ids(_ORDERED_AT + 12.9)))
        self.assertEqual([], self.list_ids(_ORDERED_AT + 13.5))

    def test_a_fleet_whose_workers_do_not_start_again(self) -> None:
        """Guards against probes where no worker is back under its id."""
        self.board.restarted_at = float('-inf')
        self.assertEqual([], self.list_ids(_SEEN_AT + 0.2))
        self.board.restarted_at = _SEEN_AT - 601.0
        self.assertEqual([], self.list_ids(_SEEN_AT + 0.2))

    def test_a_restart_is_noted(self) -> None:
        """Guards against restarts that only the record of decisions has."""
        self.board.restarted_at = float('-inf')
        worker = self.board.workers_by_id['w0']
        for number, boot in enumerate((5, 5, 6)):
            self.assertLess(self.board.restarted_at, 0.0)
            now = 200.0 + number
            report = orders.RunReport(now, boot, (), ())
            runs.record_poll(self.board, worker, report, now, now, 0)
        self.assertEqual(202.0, self.board.restarted_at)


if __name__ == '__main__':
    unittest.main()
