"""Whose polls go first when all workers must be polled at once.

After a takeover the new holder has polled none of them.  What runs is leased
again by the second poll of its worker, and ends when its lease expires; a
worker on which nothing runs loses nothing by waiting.
"""

import asyncio
import typing
import unittest
from unittest import mock

import result

from primroselock.test import fleetbuilders
from primroselock.test import testtakeoverwaits
from primroselock.test import virtualtime
from primroselock.workers import orders

_WORKERS: typing.Final = 600
_BUSY: typing.Final = 20
_CALL_S: typing.Final = 0.15
_MOST_IDLE: typing.Final = 40
"""Idle workers that may be polled meanwhile: about two for each slot."""

_MOST_TASKS: typing.Final = 120
"""Those in the line, and those whose calls are under way."""

Report = result.Result[orders.RunReport, orders.OrderError]


class _Polls:
    """Records the polls of a fleet, each of which takes a while.

    ``calls`` holds the worker of each call, and whether it extended a lease.
    """

    def __init__(self, world: fleetbuilders.World) -> None:
        self.calls: list[tuple[str, bool]] = []
        self._poll_runs = world.fleet.poll_runs

    async def poll_runs(
        self,
        worker_id: str,
        address: str,
        epoch: int,
        confirmed_end: int,
        lease_until: float | None,
        wait_s: float,
        timeout_s: float,
    ) -> Report:
        """Poll a worker of the fleet."""
        self.calls.append((worker_id, lease_until is not None))
        await asyncio.sleep(_CALL_S)
        return await self._poll_runs(
            worker_id,
            address,
            epoch,
            confirmed_end,
            lease_until,
            wait_s,
            timeout_s,
        )

    def idle_before_leases(self, busy_ids: set[str]) -> int:
        """Return how many idle workers were polled before all leases.

        That is before each busy worker got its first extension.
        """
        extended_ids: set[str] = set()
        idle_ids: set[str] = set()
        for worker_id, is_extension in self.calls:
            if worker_id not in busy_ids:
                idle_ids.add(worker_id)
            elif is_extension:
                extended_ids.add(worker_id)
            if extended_ids == busy_ids:
                return len(idle_ids)
        raise AssertionError('not every lease was extended')


class PollOrderTest(unittest.TestCase):
    """A takeover of a shard with many idle workers."""

    def test_leases_are_extended_before_idle_workers_are_polled(self) -> None:
        """Guards against leases that expire behind the polls of the idle.

        The pattern: 3,000 workers at a slow holder, whose polls take longer
        than a lease.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, _WORKERS)
            first = world.add_node('entry-1')
            step = fleetbuilders.build_step(_BUSY, 8, 60_000)
            world.submit(fleetbuilders.build_graph('j', step))
            await testtakeoverwaits.wait_for_starts(world, _BUSY, 10.0)
            busy_ids = {
                worker.entry.id
                for worker in world.fleet.workers_by_id.values()
                if worker.runs
            }
            self.assertEqual(_BUSY, len(busy_ids))
            await first.kill()
            world.nodes.remove(first)
            polls = _Polls(world)
            with mock.patch.object(world.fleet, 'poll_runs', polls.poll_runs):
                world.add_node('entry-2')
                await asyncio.sleep(12.0)
            idle = polls.idle_before_leases(busy_ids)
            self.assertLessEqual(idle, _MOST_IDLE)
            # The idle ones are polled soon after.
            polled_ids = {worker_id for worker_id, _ in polls.calls}
            self.assertEqual(_WORKERS, len(polled_ids))
            self.assertEqual([], world.fleet.violations)
            await world.close()

        virtualtime.run(run_all)

    def test_idle_workers_are_polled_by_few_tasks_at_a_time(self) -> None:
        """Guards against a task for each worker, all begun at once.

        Each begins, and waits for its turn, in the same step of the event
        loop, which answers nobody meanwhile.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, _WORKERS)
            polls = _Polls(world)
            most = 0
            with mock.patch.object(world.fleet, 'poll_runs', polls.poll_runs):
                node = world.add_node('entry-1')
                for _ in range(1000):
                    await asyncio.sleep(0.01)
                    most = max(most, _count_poll_tasks(node))
            self.assertLessEqual(most, _MOST_TASKS)
            polled_ids = {worker_id for worker_id, _ in polls.calls}
            self.assertEqual(_WORKERS, len(polled_ids))
            await world.close()

        virtualtime.run(run_all)


def _count_poll_tasks(node: fleetbuilders.TestNode) -> int:
    """Return how many workers a holder polls, or is about to."""
    session = node.holder._session
    if session is None:
        return 0
    tasks = session._pollers._tasks_by_worker_id.values()
    return sum(not task.done() for task in tasks)


if __name__ == '__main__':
    unittest.main()
