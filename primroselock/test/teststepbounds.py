"""No start goes beyond what its step allows: service, label, tasks a worker.

What a worker may run counts for the bounds of a step as for its capacity,
whether anybody asked for it or not.
"""

import asyncio
from collections import abc
import dataclasses
import typing
import unittest
from unittest import mock

from primroselock.decisions import fleetround
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.decisions import workerboots
from primroselock import jobgraph
from primroselock import queues
from primroselock.test import boundbuilders
from primroselock.test import capacitybuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import placementchecks
from primroselock.test import simulatedworker
from primroselock.workers import orders

_STOP_S: typing.Final = 4.0
_ENTRY_LAG_S: typing.Final = 2.0
_STORE_DELAY_S: typing.Final = 1.5
_IGNORED_STOPS: typing.Final = 1000


class JudgementTest(unittest.TestCase):
    """What the fake workers judge, without a node."""

    def list_violations(self, **changes: typing.Any) -> list[str]:
        """Begin a run beside another of its step; return what is wrong.

        ``changes`` are fields of the worker's entry.
        """
        step = fleetbuilders.build_step(3, label='kind', max_per_worker=1)
        graph = fleetbuilders.build_graph('j', step)
        entry = fleetbuilders.build_entry('w', **changes)
        worker = simulatedworker.FakeWorker(entry)
        for index in range(2):
            run = orders.Run(jobgraph.TaskName('j', 0, 0, index), 1)
            found = placementchecks.list_violations(
                worker, run, graph, {'svc'}
            )
            live = simulatedworker.LiveRun(run, step, 0.0, 0.0)
            worker.runs[run] = live
        return found

    def test_each_bound_is_judged(self) -> None:
        """Guards against a soak in which no start can break a bound."""
        self.assertEqual(
            [
                'j.0.0.1 started on w of other, where bulk was never sent',
                'j.0.0.1 started on w without the label kind',
                'j.0.0.1 started on w beside j.0.0.0, with a bound of 1',
            ],
            self.list_violations(service='other', labels=()),
        )
        self.assertEqual(1, len(self.list_violations()))


class StrayRunTest(unittest.TestCase):
    """A run that nobody asked for is being stopped on the only worker."""

    def check(self, is_taken_over: bool) -> None:
        """Let a task that has ended begin again beside the next one.

        The third and last task may only begin once that run has ended.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            world.fleet.stop_delay_s = _STOP_S
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(1.0)
            boundbuilders.submit(world, 'j', 3, 2000, max_per_worker=1)
            await boundbuilders.wait_until(
                lambda: bool(world.fleet.done) and bool(worker.runs)
            )
            (done,) = world.fleet.done
            stray = boundbuilders.add_stray(world, worker, 'j', done.index)
            if is_taken_over:
                await world.nodes.pop().kill()
                world.add_node('entry-2')
            await boundbuilders.wait_until(lambda: stray not in worker.runs)
            await world.wait_for('j', 'done', 2 * _STOP_S)

        fleetbuilders.run_with_node(scenario, workers=1)

    def test_the_next_task_of_the_step_waits_for_its_end(self) -> None:
        """Guards against two tasks where the step allows one (ROUTE)."""
        self.check(is_taken_over=False)

    def test_it_counts_for_the_next_holder(self) -> None:
        """Guards against a takeover that counts its own starts only."""
        self.check(is_taken_over=True)


class CountedRunTest(unittest.TestCase):
    """Decisions beside a run that a worker may have, without a node."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(1)
        self.worker = self.site.board.workers_by_id['n000']

    def submit(self) -> list[livejobs.Group]:
        """Submit an urgent job; its first task has been tried once."""
        job = self.site.submit(
            'j',
            fleetbuilders.build_step(2, 1, max_per_worker=1),
            run_s=30.0,
            queue='urgent',
        )
        first, second = job.groups_by_key.values()
        first.attempt = 1
        first.not_before = float('inf')
        return [first, second]

    def decide(self) -> None:
        """Run one round of decisions."""
        site = self.site
        fleetround.run(site.board, site.settings, site.now, site.now)

    def report_stray(self, group: livejobs.Group) -> None:
        """Let the worker report an earlier attempt of a group.

        It takes long to stop.
        """
        simulated = self.site.workers_by_id['n000']
        simulated.ignored_stops = _IGNORED_STOPS
        task = jobgraph.TaskName('j', 0, 0, group.key.index)
        run = orders.Run(task, 1)
        now = self.site.now
        simulated.runs[run] = idlebuilders.SimulatedRun(now, 60.0, False)
        report = orders.RunReport(now, 1, (orders.Running(run, '', 0.0),), ())
        runs.record_poll(self.site.board, self.worker, report, now, now, 0)

    def test_nothing_is_preempted_where_the_bound_is_reached(self) -> None:
        """Guards against work that is stopped for a start that may not be."""
        other = self.site.occupy(
            'n000', 'other', fleetbuilders.build_step(1, 8), 60.0
        )
        (victim,) = other.groups_by_key.values()
        first, _ = self.submit()
        self.report_stray(first)
        self.site.run_for(1.0)
        self.assertIs(livejobs.Phase.RUNNING, victim.phase)

    def test_a_start_that_may_begin_on_the_next_boot_counts(self) -> None:
        """Guards against a sibling beside an order of before a restart."""
        first, second = self.submit()
        run = orders.Run(jobgraph.TaskName('j', 0, 0, first.key.index), 1)
        self.worker.late_runs[run] = fleetworkers.LateRun(
            self.site.now, boot=9, step=first.step, address='n000:1'
        )
        self.decide()
        self.assertIs(livejobs.Phase.WAITING, second.phase)
        self.assertEqual(7, self.worker.free.accelerators)
        workerboots.record_stopped(self.worker, run, self.worker.boot)
        self.decide()
        self.assertIs(livejobs.Phase.COMMITTING, second.phase)
        self.assertEqual(7, self.worker.free.accelerators)


class UnsentStartTest(unittest.TestCase):
    """What a start was placed for changes until it is sent."""

    def check(self, change: 'Change', **step: typing.Any) -> None:
        """Let ``change`` happen while a placement is stored.

        The task must run on another worker soon after.
        """

        async def scenario(world: fleetbuilders.World) -> None:
            with capacitybuilders.slow_placement(world, _STORE_DELAY_S):
                boundbuilders.submit(world, 'j', 1, **step)
                await asyncio.sleep(0.2)
                worker = _find_placed(world)
                change(world, worker)
                await asyncio.sleep(_STORE_DELAY_S)
            await asyncio.sleep(2 * boundbuilders.AT_ONCE_S)
            self.assertEqual([], boundbuilders.list_runs(worker, 'j'))
            self.assertEqual(1, capacitybuilders.count_runs(world, 'j'))

        capacitybuilders.run_scenario(scenario, workers=2)

    def test_a_worker_that_is_back_as_another_kind(self) -> None:
        """Guards against a start without the step's label (ROUTE)."""

        def come_back(
            world: fleetbuilders.World, worker: simulatedworker.FakeWorker
        ) -> None:
            world.fleet.crash(worker)
            world.restart_worker(worker, labels=boundbuilders.OTHER_KIND)

        self.check(come_back, label='kind')

    def test_a_worker_that_is_back_for_another_service(self) -> None:
        """Guards against a start where no queue is sent (ROUTE)."""

        def come_back(
            world: fleetbuilders.World, worker: simulatedworker.FakeWorker
        ) -> None:
            world.fleet.crash(worker)
            world.restart_worker(worker, service='other')

        self.check(come_back)

    def test_a_queue_that_is_sent_to_another_service(self) -> None:
        """Guards against a start by a configuration that has changed."""

        def move_queue(
            world: fleetbuilders.World, worker: simulatedworker.FakeWorker
        ) -> None:
            other = fleetbuilders.build_entry('x0', service='other')
            world.add_worker(other)
            _move_queue(world, 'bulk', 'other')

        self.check(move_queue)

    def test_a_run_that_nobody_asked_for(self) -> None:
        """Guards against a start beside a sibling that was seen since."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            done = await _wait_for_first_end(world, 3)
            with capacitybuilders.slow_placement(world, _STORE_DELAY_S):
                # Placed behind it, so that it is sent after the report.
                await asyncio.sleep(0.2)
                boundbuilders.add_stray(world, worker, 'j', done.index)
                await asyncio.sleep(_STORE_DELAY_S)
            await world.wait_for('j', 'done', 4 * _STOP_S)

        capacitybuilders.run_scenario(scenario, workers=1)


class RepeatedStartTest(unittest.TestCase):
    """A start without an answer, and its worker changes before the next."""

    def test_it_is_not_repeated_beside_a_sibling(self) -> None:
        """Guards against a bound that only the first order keeps."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            done = await _wait_for_first_end(world, 2)
            worker.delayed_order_share = 1.0
            with mock.patch.object(
                world.fleet, 'start', wraps=world.fleet.start
            ) as start:
                await boundbuilders.wait_until(lambda: start.called)
                boundbuilders.add_stray(world, worker, 'j', done.index)
                await asyncio.sleep(1.0)
            self.assertEqual(1, start.call_count)

        capacitybuilders.run_scenario(scenario, workers=1)


class EntryOfEarlierBootTest(unittest.TestCase):
    """A worker is back under its id as another one; its entry is not yet."""

    def check(
        self, changes: dict[str, typing.Any], **step: typing.Any
    ) -> None:
        """Let the only worker change, and its entry later; submit between."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            boundbuilders.submit(world, 'first', 1)
            await boundbuilders.wait_until(lambda: bool(worker.runs))
            before = worker.entry
            world.fleet.crash(worker)
            world.fleet.restart(worker, **changes)
            known = capacitybuilders.find_board(world).workers_by_id['w0']
            await boundbuilders.wait_until(lambda: known.boot == worker.boot)
            boundbuilders.submit(world, 'j', 8, **step)
            await asyncio.sleep(_ENTRY_LAG_S)
            world.write_boot(worker)
            await asyncio.sleep(boundbuilders.AT_ONCE_S)
            original = dataclasses.replace(before, boot=worker.boot + 1)
            world.fleet.crash(worker)
            world.restart_worker(
                worker,
                service=original.service,
                labels=original.labels,
                capacity=original.capacity,
            )
            await boundbuilders.wait_until(
                lambda: len(boundbuilders.list_runs(worker, 'j')) >= 7
            )

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_of_another_kind(self) -> None:
        """Guards against a start without the step's label (ROUTE)."""
        self.check({'labels': boundbuilders.OTHER_KIND}, label='kind')

    def test_of_another_service(self) -> None:
        """Guards against a start where no queue is sent (ROUTE)."""
        self.check({'service': 'other'})

    def test_that_is_smaller(self) -> None:
        """Guards against starts over a capacity that is gone (LIMIT)."""
        self.check({'capacity': capacitybuilders.HALF})


class UnnoticedRestartTest(unittest.TestCase):
    """An idle worker, which is not polled, is back as another one."""

    def check(self, **changes: typing.Any) -> None:
        """Let the only worker change before a job, and its entry after."""

        async def scenario(world: fleetbuilders.World) -> None:
            (worker,) = world.fleet.workers_by_id.values()
            await asyncio.sleep(_ENTRY_LAG_S)
            before = worker.entry
            world.fleet.crash(worker)
            world.fleet.restart(worker, **changes)
            boundbuilders.submit(world, 'j', 8, label='kind')
            await asyncio.sleep(_ENTRY_LAG_S)
            world.write_boot(worker)
            await asyncio.sleep(boundbuilders.AT_ONCE_S)
            self.assertEqual(0, world.fleet.starts)
            world.fleet.crash(worker)
            world.restart_worker(
                worker,
                service=before.service,
                labels=before.labels,
                capacity=before.capacity,
            )
            await boundbuilders.wait_until(
                lambda: len(boundbuilders.list_runs(worker, 'j')) == 8
            )

        capacitybuilders.run_scenario(scenario, workers=1)

    def test_as_another_kind(self) -> None:
        """Guards against a start without the step's label (ROUTE)."""
        self.check(labels=boundbuilders.OTHER_KIND)

    def test_for_another_service(self) -> None:
        """Guards against a start where no queue is sent (ROUTE)."""
        self.check(service='other')

    def test_that_is_smaller(self) -> None:
        """Guards against a start over a capacity that is gone (LIMIT)."""
        self.check(capacity=capacitybuilders.NOTHING)


Change = abc.Callable[[fleetbuilders.World, simulatedworker.FakeWorker], None]


def _find_placed(
    world: fleetbuilders.World,
) -> simulatedworker.FakeWorker:
    worker_id = capacitybuilders.find_placed_id(world)
    return world.fleet.workers_by_id[worker_id]


async def _wait_for_first_end(
    world: fleetbuilders.World, tasks: int
) -> jobgraph.TaskName:
    """Submit tasks that run one by one; return the first that has ended."""
    world.fleet.stop_delay_s = _STOP_S
    boundbuilders.submit(world, 'j', tasks, 1000, max_per_worker=1)
    await boundbuilders.wait_until(lambda: bool(world.fleet.done))
    (done,) = world.fleet.done
    return done


def _move_queue(world: fleetbuilders.World, name: str, service: str) -> None:
    """Publish a version that sends a queue to another service."""

    def change(queue: queues.Queue) -> queues.Queue:
        if queue.name != name:
            return queue
        return dataclasses.replace(queue, service=service)

    changed = tuple(map(change, world.queue_configuration.queues))
    world.change_queue_configuration(queues=changed)


if __name__ == '__main__':
    unittest.main()
