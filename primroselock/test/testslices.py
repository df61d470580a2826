"""Rounds that are interrupted: what may change meanwhile, and a takeover."""

import asyncio
from collections import abc
import dataclasses
import functools
import typing
import unittest
from unittest import mock

from primroselock.decisions import fleetplacing
from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.decisions import slices
from primroselock import holdersession
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_WHOLE_WORKER: typing.Final = 8
_JOBS: typing.Final = 40
_SLICES: typing.Final = (12, 18, 24, 30, 36)
"""Of 40 gangs 32 fit; these slices of the round are among them."""


class PauseTest(unittest.TestCase):
    """What changes in the middle of a round is known when it goes on."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(3)
        for number in range(3):
            self.site.submit(
                f'j{number}',
                fleetbuilders.build_step(1, _WHOLE_WORKER),
                run_s=5.0,
                queue='bulk',
            )

    def placed(self) -> list[livejobs.Member]:
        """Return the members that were placed, in the order of their jobs."""
        return [
            member
            for job in self.site.board.jobs_by_id.values()
            for group in job.groups_by_key.values()
            for member in group.members
        ]

    def interrupt(self, change: abc.Callable[[], None]) -> None:
        """Run a round; make a change once one of three groups is placed."""
        site = self.site
        turn = slices.Turn(site.now, site.now)
        parts = fleetround.begin(site.board, site.settings, turn)
        while not self.placed():
            next(parts)
        self.assertEqual(1, len(self.placed()))
        change()
        turn.resume(site.now + 0.1, site.now + 0.1)
        for _ in parts:
            pass

    def free_ids(self) -> list[str]:
        """Return the workers on which nothing is placed."""
        return [
            worker.id
            for worker in self.site.board.workers_by_id.values()
            if not worker.members
        ]

    def check_unused(self, change: abc.Callable[[str], None]) -> None:
        """Change a free worker in a pause; nothing may be placed there."""
        changed: list[str] = []

        def change_free() -> None:
            changed.append(self.free_ids()[0])
            change(changed[0])

        self.interrupt(change_free)
        used = [member.worker_id for member in self.placed()]
        self.assertNotIn(changed[0], used)
        # The other one gets work.
        self.assertEqual(2, len(used))

    def replace_entry(self, worker_id: str, **changes: typing.Any) -> None:
        """Publish another entry of a worker."""
        worker = self.site.board.workers_by_id[worker_id]
        self.site.board.record_entry(
            dataclasses.replace(worker.entry, **changes), self.site.now
        )

    def test_nothing_changes(self) -> None:
        """Guards against a round that ends with its first pause."""
        self.interrupt(lambda: None)
        self.assertEqual(3, len(self.placed()))

    def test_a_worker_drains(self) -> None:
        """Guards against a start on a worker that leaves (DRAIN)."""
        self.check_unused(self.site.drain)

    def test_a_worker_falls_silent(self) -> None:
        """Guards against a start on a worker that does not answer."""
        self.check_unused(self.site.silence)

    def test_a_worker_is_removed(self) -> None:
        """Guards against a round that fails since a worker is gone."""
        self.check_unused(self.site.board.record_unlisted)

    def test_a_worker_shrinks(self) -> None:
        """Guards against starts beyond a capacity that shrank (LIMIT)."""
        small = jobgraph.Resources(64000, 262144, _WHOLE_WORKER - 1)
        self.check_unused(
            lambda worker_id: self.replace_entry(worker_id, capacity=small)
        )

    def test_a_worker_comes_back_under_its_id(self) -> None:
        """Guards against a placement on what another boot was known for."""
        self.check_unused(
            lambda worker_id: self.replace_entry(worker_id, boot=2)
        )

    def test_a_zone_is_taken_out_of_service(self) -> None:
        """Guards against starts in a zone that is evacuated (EVAC)."""
        self.interrupt(lambda: self.site.take_out_of_service('a'))
        self.assertEqual(1, len(self.placed()))

    def test_a_job_is_cancelled(self) -> None:
        """Guards against a start after a cancellation (UNASKED)."""
        waiting = self.site.board.jobs_by_id['j2']
        self.interrupt(waiting.request_cancel)
        self.assertEqual(
            [livejobs.Phase.WAITING],
            [group.phase for group in waiting.groups_by_key.values()],
        )

    def test_the_permit_ends(self) -> None:
        """Guards against placements under a permit that has run out."""

        def end_permit() -> None:
            self.site.board.permit_until = self.site.now

        self.interrupt(end_permit)
        self.assertEqual(1, len(self.placed()))

    def test_an_earlier_run_is_reported(self) -> None:
        """Guards against a start beside an earlier run of the task (TWICE)."""
        board = self.site.board
        # There is room for the task beside its earlier run.
        self.site.add_worker(fleetbuilders.build_entry('n003', 'r0'))
        name = jobgraph.TaskName('j2', 0, 0, 0)

        def report_run() -> None:
            worker = board.workers_by_id[self.free_ids()[0]]
            report = orders.RunReport(
                self.site.now,
                worker.entry.boot,
                (orders.Running(orders.Run(name, 1), '', 0.5),),
                (),
            )
            now = self.site.now
            runs.record_poll(board, worker, report, now, now, int(now * 1000))

        self.interrupt(report_run)
        (group,) = board.jobs_by_id['j2'].groups_by_key.values()
        self.assertIs(livejobs.Phase.WAITING, group.phase)

    def test_what_is_freed_is_left_to_the_most_urgent(self) -> None:
        """Guards against capacity that goes to whoever is next in a round."""
        board = self.site.board
        self.site.run_for(0.1)
        self.assertEqual(3, len(self.placed()))
        waiting = [
            self.site.submit(
                name,
                fleetbuilders.build_step(1, _WHOLE_WORKER, label=label),
                run_s=5.0,
                queue='bulk',
            )
            for name, label in (('k0', ''), ('k1', 'kind'))
        ]
        turn = slices.Turn(self.site.now, self.site.now)
        parts = fleetround.begin(board, self.site.settings, turn)
        with mock.patch.object(
            fleetplacing, '_place_step', wraps=fleetplacing._place_step
        ) as place:
            while not place.called:
                next(parts)
            # The first group did not fit; its worker becomes free only now.
            member = self.placed()[0]
            board.mark_terminated(member)
            turn.resume(self.site.now + 0.1, self.site.now + 0.1)
            for _ in parts:
                pass
            self.assertEqual(2, place.call_count)
        phases = [
            group.phase
            for job in waiting
            for group in job.groups_by_key.values()
        ]
        self.assertEqual([livejobs.Phase.WAITING] * 2, phases)


class RoundTest(unittest.TestCase):
    """A node whose rounds take long."""

    def test_the_loop_is_given_back(self) -> None:
        """Guards against a round that holds up renewals and polls (LOST)."""

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, 8)
            node = world.add_node('entry-1')
            await asyncio.sleep(1.0)
            gaps: list[float] = []
            began: list[float] = []
            place_step = fleetplacing._place_step

            def place_slowly(*arguments: typing.Any) -> int:
                virtual.now += 0.002
                return place_step(*arguments)

            async def watch() -> None:
                while True:
                    seen = virtual.now
                    await asyncio.sleep(0.001)
                    gaps.append(virtual.now - seen - 0.001)

            def note_round(*arguments: typing.Any) -> slices.Slices:
                began.append(virtual.now)
                yield from begin_round(*arguments)

            begin_round = fleetround.begin
            for number in range(2000):
                step = fleetbuilders.build_step(1, 1, 60_000, label='gone')
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
            watching = asyncio.create_task(watch())
            with (
                mock.patch.object(fleetplacing, '_place_step', place_slowly),
                mock.patch.object(fleetround, 'begin', note_round),
            ):
                while virtual.now < 1012.0:
                    await asyncio.sleep(0.5)
            watching.cancel()
            # Each round takes 4 s, and a lease lasts 1.5 s.
            self.assertLess(len(began), 8)
            self.assertLessEqual(max(gaps), 0.02)
            self.assertTrue(node.holder.lease.has_shard)
            self.assertEqual(1, node.holder.lease.epoch)
            await world.close()

        virtualtime.run(run_all)


class TakeoverTest(unittest.TestCase):
    """A holder ends in the middle of a round."""

    def test_a_takeover_after_a_part_of_a_round(self) -> None:
        """Guards against lost or doubled work that was decided, not stored.

        Each slice takes 2 ms, and a write 4 ms, so that of a part of what
        was decided the store knows, and of a part the workers.
        """
        for slice_number in _SLICES:
            with self.subTest(slices=slice_number):
                virtualtime.run(
                    functools.partial(self._take_over, slice_number)
                )

    async def _take_over(
        self, limit: int, virtual: virtualtime.VirtualClock
    ) -> None:
        world = fleetbuilders.World(0, 8)
        first = world.add_node('entry-1')
        await asyncio.sleep(1.0)
        is_reached = asyncio.Event()
        begin_round = fleetround.begin

        def run_slowly(*arguments: typing.Any) -> slices.Slices:
            for number, _ in enumerate(begin_round(*arguments)):
                virtual.now += 0.002
                if number == limit and self._is_half_done(first):
                    is_reached.set()
                yield

        with (
            mock.patch.object(holdersession, '_MAX_SLICE_S', 0.0),
            mock.patch.object(fleetround, 'begin', run_slowly),
        ):
            for number in range(_JOBS):
                step = fleetbuilders.build_step(2, 1, 300, gang=True)
                world.submit(fleetbuilders.build_graph(f'j{number}', step))
            async with asyncio.timeout(5.0):
                await is_reached.wait()
            self.assertTrue(self._is_half_done(first))
            await first.kill()
        world.add_node('entry-2')
        for number in range(_JOBS):
            await world.wait_for(f'j{number}', 'done', 60.0)
        self.assertEqual([], world.fleet.violations)
        await world.close()

    def _is_half_done(self, node: fleetbuilders.TestNode) -> bool:
        """Return whether something is placed and not stored, or waits."""
        session = node.holder._session
        assert session is not None
        phases = {
            group.phase
            for job in session._board.jobs_by_id.values()
            for group in job.groups_by_key.values()
        }
        return phases >= {livejobs.Phase.COMMITTING, livejobs.Phase.WAITING}


if __name__ == '__main__':
    unittest.main()
