"""Starts without an answer at an address where another worker answers.

Such an order is refused there, whenever it arrives: it names another worker.
A task waits for it no longer, even if the earlier worker stays listed.
"""

import asyncio
import dataclasses
import typing
import unittest

from primroselock.decisions import earlierruns
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import runleases
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import restartbuilders
from primroselock.test import simulatedworker

_DOWN_S: typing.Final = 4.0
"""Until then the holder has missed the answer to a long poll."""

_NOTICE_S: typing.Final = 1.8
"""The time limit of a poll of a silent worker, and the longest pause then."""

_LONG_MS: typing.Final = 60_000
_RUN_MS: typing.Final = 500
_SLACK_S: typing.Final = 0.5
_LIMIT_S: typing.Final = _NOTICE_S + _RUN_MS / 1000 + _SLACK_S


async def _crash_first(
    world: fleetbuilders.World, job_id: str
) -> simulatedworker.FakeWorker:
    """Crash the worker that starts a job first, before it answers."""
    crashed: list[simulatedworker.FakeWorker] = []

    def crash(
        worker: simulatedworker.FakeWorker, live: simulatedworker.LiveRun
    ) -> None:
        if not crashed and live.run.task.job_id == job_id:
            crashed.append(worker)
            world.fleet.crash(worker)

    world.fleet.begin_hooks.append(crash)
    while not crashed:
        await asyncio.sleep(0.01)
    return crashed[0]


def _replace(worker: simulatedworker.FakeWorker) -> None:
    """Let another worker answer where a worker was that stays listed."""
    worker.is_down = False
    worker.entry = dataclasses.replace(worker.entry, address='')


class UnansweredStartTest(unittest.TestCase):
    """A worker crashes at a start, and another one answers there then."""

    def test_the_task_starts_elsewhere(self) -> None:
        """Guards against work that waits until a worker's entry is gone."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            restartbuilders.submit(world, 'j', _RUN_MS)
            worker = await _crash_first(world, 'j')
            await asyncio.sleep(_DOWN_S)
            _replace(worker)
            await world.wait_for('j', 'done', _LIMIT_S)

        fleetbuilders.run_with_node(scenario)

    def test_a_second_crash_of_its_worker(self) -> None:
        """Guards against a wait for an order to an earlier boot."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.sleep(1.0)
            restartbuilders.submit(world, 'j', _RUN_MS)
            worker = await _crash_first(world, 'j')
            world.restart_worker(worker)
            # The task is settled, and fits nowhere; other work runs there.
            no_accelerators = jobgraph.Resources(64000, 262144, 0)
            world.set_capacity('w0', no_accelerators)
            step = fleetbuilders.build_step(1, 0, _LONG_MS)
            world.submit(fleetbuilders.build_graph('other', step))
            await world.wait_for('other', 'running', 1.0)
            await asyncio.sleep(_SLACK_S)
            world.fleet.crash(worker)
            await asyncio.sleep(_DOWN_S)
            world.add_worker(fleetbuilders.build_entry('w9'))
            _replace(worker)
            await world.wait_for('j', 'done', _LIMIT_S)

        fleetbuilders.run_with_node(scenario, workers=1)


class LateRunTest(unittest.TestCase):
    """Which orders another worker's answer settles, on a blackboard."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(2)
        self.board: fleet.ShardBoard = self.site.board
        self.worker = self.board.workers_by_id['n000']
        self.address = self.worker.entry.address
        step = fleetbuilders.build_step(1, 1)
        job = self.site.submit('j', step, run_s=60.0, queue='batch')
        (self.group,) = job.groups_by_key.values()
        self.group.attempt = 1
        now = self.site.now
        member = livejobs.Member(
            self.group, 0, 'n000', 1, livejobs.MemberState.ORDERED
        )
        member.ordered_at = member.unanswered_at = now
        member.unanswered_starts = 1
        member.address = self.address
        self.group.members = [member]
        self.worker.add_member(member)
        self.board.mark_terminated(member)
        self.worker.record_failed_call(now)

    def is_held(self) -> bool:
        """Return whether the group waits for its earlier run."""
        now = self.site.now
        return self.group in earlierruns.list_held(self.board, now)

    def settle(self, address: str, sent_at: float) -> None:
        """Let another worker answer a poll that was sent to an address."""
        now = self.site.now + 1.0
        runleases.settle_left_address(
            self.board, self.worker, address, sent_at, now, 0
        )

    def test_an_order_to_that_address(self) -> None:
        """Guards against a wait for an order that can begin nowhere."""
        self.assertTrue(self.is_held())
        self.settle(self.address, self.site.now + 0.5)
        self.assertFalse(self.is_held())

    def test_an_order_to_another_address(self) -> None:
        """Guards against two runs after an answer from an earlier address."""
        self.settle('elsewhere:1', self.site.now + 0.5)
        self.assertTrue(self.is_held())

    def test_an_order_after_the_poll(self) -> None:
        """Guards against two runs after an answer that is out of date."""
        self.settle(self.address, self.site.now - 0.5)
        self.assertTrue(self.is_held())


if __name__ == '__main__':
    unittest.main()
