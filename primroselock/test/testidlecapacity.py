"""Work that must not wait beside free capacity, one test for each cause.

The workers stand in racks of four.  A test fails if a job waits for 3 s
while twice the tasks that must start together would fit.
"""

import asyncio
from collections import abc
import dataclasses
import typing
import unittest

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import idlecapacity
from primroselock.test import idletrace
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

_WORKERS: typing.Final = 12
_RACK_SIZE: typing.Final = 4

Scenario = abc.Callable[
    [fleetbuilders.World], abc.Coroutine[typing.Any, typing.Any, None]
]


def _first_of_racks(
    world: fleetbuilders.World,
) -> list[simulatedworker.FakeWorker]:
    """Return one worker of each rack."""
    return list(world.fleet.workers_by_id.values())[::_RACK_SIZE]


def _rack_gang(accepted_ago_s: float = 0.0) -> jobgraph.JobGraph:
    """Return a rack-local gang of all workers of a rack."""
    step = fleetbuilders.build_step(
        _RACK_SIZE, 8, 4_000, gang=True, rack_local=True
    )
    accepted_ms = int((clock.wall() - accepted_ago_s) * 1000)
    return fleetbuilders.build_graph('gang', step, accepted_ms=accepted_ms)


def _submit_small(
    world: fleetbuilders.World, name: str, expected_ms: int, label: str
) -> None:
    step = fleetbuilders.build_step(1, 1, expected_ms, label=label)
    world.submit(fleetbuilders.build_graph(name, step))


def _close_zone_of(
    world: fleetbuilders.World,
    workers: abc.Iterable[simulatedworker.FakeWorker],
) -> None:
    """Put the workers into a zone of their own that is out of service."""
    for worker in workers:
        world.write_entry(dataclasses.replace(worker.entry, zone='b'))
        worker.entry = world.entries_by_id[worker.entry.id]
    world.change_queue_configuration(zones_out_of_service=frozenset({'b'}))


async def _submit_behind_gangs(
    world: fleetbuilders.World,
    spread: jobgraph.Step,
    gang_sizes: tuple[int, ...],
) -> None:
    """Submit a step, gangs of whole workers that wait for it, and a job."""
    world.submit(fleetbuilders.build_graph('spread', spread))
    await asyncio.sleep(0.5)
    for tasks in gang_sizes:
        step = fleetbuilders.build_step(tasks, 8, 20_000, gang=True)
        world.submit(fleetbuilders.build_graph(f'wide{tasks}', step))
    await asyncio.sleep(0.5)
    world.submit(fleetbuilders.build_graph('small'))


class IdleCapacityTest(unittest.TestCase):
    """A node, twelve workers, and the check of idle capacity."""

    def check_scenario(
        self, scenario: Scenario, duration_s: float, nodes: int = 1
    ) -> None:
        """Run a scenario and ``duration_s`` more; expect no violation."""

        async def run_all(
            virtual: virtualtime.VirtualClock,
        ) -> list[str]:
            world = fleetbuilders.World(0, _WORKERS)
            for number in range(nodes):
                world.add_node(f'entry-{number}')
            await asyncio.sleep(1.0)
            check = idlecapacity.IdleCapacityCheck(
                world, faultbuilders.FaultLog()
            )
            lines: list[str] = []

            def explain(found: idlecapacity.Violation) -> None:
                lines.extend((str(found), *idletrace.explain(world, found)))

            check.on_violation = explain
            checking = asyncio.create_task(check.run())
            await scenario(world)
            await asyncio.sleep(duration_s)
            checking.cancel()
            await world.close()
            return lines

        lines = virtualtime.run(run_all)
        self.assertEqual([], lines, '\n'.join(lines))

    def test_the_check_sees_work_that_nobody_places(self) -> None:
        async def submit(world: fleetbuilders.World) -> None:
            world.submit(fleetbuilders.build_graph('j'))

        with self.assertRaisesRegex(AssertionError, 'j occurrence 0 step 0'):
            self.check_scenario(submit, 4.0, nodes=0)

    def test_the_check_accepts_work_that_waits_for_capacity(self) -> None:
        async def submit(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(_WORKERS // 2, 8, 8_000)
            for number in range(4):
                world.submit(fleetbuilders.build_graph(f'j{number}', step))

        self.check_scenario(submit, 6.0)

    def test_a_rack_gang_does_not_wait_for_draining_workers(self) -> None:
        """Guards against racks judged with workers that get no starts."""

        async def submit(world: fleetbuilders.World) -> None:
            for worker in _first_of_racks(world):
                world.write_entry(
                    dataclasses.replace(worker.entry, is_draining=True)
                )
            await asyncio.sleep(1.0)
            world.submit(_rack_gang())

        self.check_scenario(submit, 8.0)

    def test_a_rack_gang_does_not_wait_for_silent_workers(self) -> None:
        """Guards against racks judged with workers that do not answer."""

        async def submit(world: fleetbuilders.World) -> None:
            for worker in _first_of_racks(world):
                label = worker.entry.rack
                _submit_small(world, f'small-{label}', 500, label)
            await asyncio.sleep(0.1)
            for worker in world.fleet.workers_by_id.values():
                if worker.runs:
                    world.fleet.crash(worker)
            await asyncio.sleep(4.0)
            world.submit(_rack_gang())

        self.check_scenario(submit, 8.0)

    def test_a_rack_gang_does_not_wait_for_a_closed_zone(self) -> None:
        """Guards against racks judged with zones out of service."""

        async def submit(world: fleetbuilders.World) -> None:
            _close_zone_of(world, _first_of_racks(world))
            await asyncio.sleep(1.0)
            world.submit(_rack_gang())

        self.check_scenario(submit, 8.0)

    def test_a_rack_gang_does_not_wait_for_quarantined_workers(self) -> None:
        """Guards against racks judged with workers in quarantine.

        Two racks have a worker in quarantine, and the third has lost one.
        """

        async def submit(world: fleetbuilders.World) -> None:
            *failing, last = _first_of_racks(world)
            world.delete_entry(last.entry.id)
            racks = [worker.entry.rack for worker in failing]
            for worker in failing:
                worker.fails_all = True
            for number in range(40):
                for rack in racks:
                    name = f'{rack}-{number}'
                    step = fleetbuilders.build_step(1, 8, 200, label=rack)
                    world.submit(fleetbuilders.build_graph(name, step))
                await asyncio.sleep(0.5)
            for worker in failing:
                worker.fails_all = False
            world.submit(_rack_gang())

        self.check_scenario(submit, 8.0)

    def test_a_late_rack_gang_gets_a_rack(self) -> None:
        """Guards against a gang that never finds a whole rack free.

        Small tasks follow each other in every rack; a gang that ends too
        late claims nothing.
        """

        async def submit(world: fleetbuilders.World) -> None:
            await self.run_beside_small(world, 600.0)

        self.check_scenario(submit, 1.0)

    def test_a_rack_gang_that_is_in_time_gets_a_rack(self) -> None:
        async def submit(world: fleetbuilders.World) -> None:
            await self.run_beside_small(world, 0.0)

        self.check_scenario(submit, 1.0)

    async def run_beside_small(
        self, world: fleetbuilders.World, accepted_ago_s: float
    ) -> None:
        """Submit small tasks to every rack for 12 s, and a gang."""
        for number in range(12):
            for worker in _first_of_racks(world):
                rack = worker.entry.rack
                _submit_small(world, f'{rack}-{number}', 1_500, rack)
            if number == 2:
                world.submit(_rack_gang(accepted_ago_s))
            await asyncio.sleep(1.0)

    def test_claims_leave_workers_to_others(self) -> None:
        """Guards against claims that together keep all workers from others."""

        async def submit(world: fleetbuilders.World) -> None:
            spread = fleetbuilders.build_step(
                _WORKERS, 1, 20_000, max_per_worker=1
            )
            await _submit_behind_gangs(world, spread, (5, 7))

        self.check_scenario(submit, 8.0)

    def test_claims_leave_workers_to_others_beside_a_closed_zone(self) -> None:
        """Guards against claims that have no bound while a zone is closed.

        Most of the workers in service are in use, but under half of all.
        """

        async def submit(world: fleetbuilders.World) -> None:
            workers = list(world.fleet.workers_by_id.values())
            _close_zone_of(world, workers[8:])
            await asyncio.sleep(1.0)
            spread = fleetbuilders.build_step(8, 5, 20_000, max_per_worker=1)
            await _submit_behind_gangs(world, spread, (5, 3))

        self.check_scenario(submit, 8.0)

    def test_a_second_takeover_does_not_wait_for_leases_again(self) -> None:
        """Guards against a wait for lost leases that each takeover renews."""

        async def submit(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(1, 1, 8_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await asyncio.sleep(0.5)
            worker = world.find_busy_worker()
            world.fleet.crash(worker)
            world.delete_entry(worker.entry.id)
            for _ in range(3):
                await asyncio.sleep(4.0)
                holder = world.find_shard_holder()
                world.nodes.remove(holder)
                await holder.kill()

        self.check_scenario(submit, 15.0, nodes=4)

    def test_a_rack_gang_that_was_stuck_once_runs_again(self) -> None:
        """Guards against a gang that avoids the only rack that holds it."""

        async def submit(world: fleetbuilders.World) -> None:
            for worker in _first_of_racks(world)[1:]:
                world.delete_entry(worker.entry.id)
            await self.run_stalled(world, _rack_gang())

        self.check_scenario(submit, 12.0)

    def test_a_gang_of_most_workers_that_was_stuck_once_runs_again(
        self,
    ) -> None:
        """Guards against a gang that avoids too many workers to ever run."""

        async def submit(world: fleetbuilders.World) -> None:
            step = fleetbuilders.build_step(7, 8, 4_000, gang=True)
            graph = fleetbuilders.build_graph('gang', step)
            await self.run_stalled(world, graph)
            await world.wait_for('gang', 'done', 60.0)

        self.check_scenario(submit, 0.0)

    async def run_stalled(
        self, world: fleetbuilders.World, graph: jobgraph.JobGraph
    ) -> None:
        """Submit a job whose runs make no progress for 5 s."""
        for worker in world.fleet.workers_by_id.values():
            worker.is_stalled = True
        world.submit(graph)
        await asyncio.sleep(5.0)
        for worker in world.fleet.workers_by_id.values():
            worker.is_stalled = False


if __name__ == '__main__':
    unittest.main()
