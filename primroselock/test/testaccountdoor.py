"""Jobs that would only wait behind their own account's work are refused.

The load is an account that sends ten times what fits, without end, on nodes
without a network; another account sends its usual.
"""

import asyncio
import dataclasses
import typing
import unittest

import msgspec
import result

from primroselock import clock
from primroselock.decisions.accounts import backlogs
from primroselock import intake
from primroselock import jobgraph
from primroselock import refusals
from primroselock.store import keys
from primroselock.test import fleetbuilders
from primroselock.test import sharebuilders

_WORKERS: typing.Final = 4
_RUN_S: typing.Final = 2.0
_TASKS: typing.Final = 8
_SECONDS_A_JOB: typing.Final = 0.5
"""How long the workers together need for a job."""

_USEFUL_S: typing.Final = 25.0
"""A job that starts later is too late: three times the objective of 9 s."""

_BULK: typing.Final = fleetbuilders.BULK
_ACCOUNTS: typing.Final = {'flood': 1.0, 'usual': 1.0}

Answer = result.Result[None, refusals.Refused]


def _build(name: str, account: str, queue: str = 'bulk') -> jobgraph.JobGraph:
    step = fleetbuilders.build_step(_TASKS, 1, int(_RUN_S * 1000))
    return fleetbuilders.build_graph(
        name,
        step,
        account=account,
        queue=queue,
        accepted_ms=int(clock.wall() * 1000),
    )


class ExcessTest(unittest.TestCase):
    """For how long too long a job would wait; its objective is 9 s."""

    def excess_s(
        self, backlog: dict[int, int], **changes: typing.Any
    ) -> float:
        """Return the excess of a bulk job, with changes to its graph."""
        graph = msgspec.structs.replace(_build('j', 'a'), **changes)
        return backlogs.excess_s(backlog, graph, _BULK)

    def test_work_of_the_same_or_a_higher_urgency_goes_before(self) -> None:
        self.assertEqual(5.0, self.excess_s({0: 3, 2: 30}))
        self.assertEqual(10.0, self.excess_s({1: 35}))
        self.assertEqual(0.0, self.excess_s({3: 99}))
        self.assertEqual(0.0, self.excess_s({}))

    def test_a_job_that_is_in_time_has_no_excess(self) -> None:
        self.assertLessEqual(self.excess_s({2: 25}), 0.0)

    def test_work_that_is_due_later_or_lasts_is_not_judged(self) -> None:
        self.assertEqual(0.0, self.excess_s({2: 99}, first_due_ms=5))
        step = fleetbuilders.build_step(long_running=True)
        self.assertEqual(0.0, self.excess_s({2: 99}, steps=(step,)))


class FloodTest(unittest.TestCase):
    """An account floods a node for a while."""

    def setUp(self) -> None:
        self.accepted: list[str] = []
        self.refused: list[refusals.Refused] = []

    async def submit(
        self, world: fleetbuilders.World, graph: jobgraph.JobGraph
    ) -> Answer:
        """Submit a job as its account does."""
        queue = world.queue_configuration.find_by_name(graph.queue)
        assert queue is not None
        world.fleet.graphs_by_id[graph.id] = graph
        access = intake.Access(queue, graph.account)
        return await world.nodes[0].intake.submit(
            access, graph, clock.monotonic() + 2.0
        )

    async def flood(
        self, world: fleetbuilders.World, duration_s: float
    ) -> None:
        """Send 20 jobs a second; two would fit."""
        for number in range(int(duration_s * 20)):
            graph = _build(f'f{len(self.accepted)}-{number}', 'flood')
            answer = await self.submit(world, graph)
            if isinstance(answer, result.Ok):
                self.accepted.append(graph.id)
            else:
                self.refused.append(answer.err_value)
            await asyncio.sleep(0.05)

    async def send_usual(
        self, world: fleetbuilders.World, jobs: int, period_s: float
    ) -> None:
        """Send jobs of the other account; each must be done soon."""
        for number in range(jobs):
            graph = _build(f'u{number}', 'usual')
            answer = await self.submit(world, graph)
            self.assertIsInstance(answer, result.Ok)
            await world.wait_for(graph.id, 'done', 2 * _RUN_S + 1.0)
            await asyncio.sleep(period_s)

    def play(self, scenario: fleetbuilders.NodeScenario) -> None:
        """Run a scenario with weights for both accounts."""

        async def configured(world: fleetbuilders.World) -> None:
            world.set_queue_configuration(
                sharebuilders.configure(_ACCOUNTS, version=2)
            )
            await asyncio.sleep(1.0)
            await scenario(world)

        fleetbuilders.run_with_node(configured, workers=_WORKERS)

    def test_what_is_accepted_is_of_use_and_the_rest_is_refused(self) -> None:
        """Guards against rows without end, and answers that come too late."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.gather(
                self.flood(world, 20.0), self.send_usual(world, 4, 1.0)
            )
            self.assertLess(
                len(self.accepted), (20.0 + 2 * _USEFUL_S) / _SECONDS_A_JOB
            )
            self.assertGreater(len(self.refused), 200)
            for refused in self.refused:
                self.assertIs(refusals.Reason.BACKLOG, refused.why)
                self.assertGreaterEqual(refused.retry_after_s or 0.0, 1.0)
            await asyncio.sleep(_USEFUL_S + _RUN_S)
            answer = await self.submit(world, _build('later', 'flood'))
            self.assertIsInstance(answer, result.Ok)
            for job_id in self.accepted:
                await world.wait_for(job_id, 'done', _USEFUL_S)

        self.play(scenario)

    def test_a_burst_that_can_be_served_in_time_is_accepted(self) -> None:
        """It may fill all workers for 15 s, as no other account competes."""

        async def scenario(world: fleetbuilders.World) -> None:
            await self.flood(world, 1.5)
            self.assertEqual([], self.refused)
            for job_id in self.accepted:
                await world.wait_for(job_id, 'done', _USEFUL_S)

        self.play(scenario)

    def test_a_job_that_another_node_accepted_is_not_refused(self) -> None:
        """A caller repeats a submission whose answer it did not get."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.gather(
                self.flood(world, 10.0), self.send_usual(world, 1, 0.0)
            )
            first = _build('usual-2', 'usual')
            self.assertIsInstance(await self.submit(world, first), result.Ok)
            await self.flood(world, 1.0)
            self.assertTrue(self.refused)
            graph = _build('elsewhere', 'flood')
            world.submit(graph)
            answer = await self.submit(world, graph)
            self.assertIsInstance(answer, result.Ok)

        self.play(scenario)

    def test_nothing_is_refused_by_old_figures(self) -> None:
        """Guards against a door that stays shut once the holder is gone."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.gather(
                self.flood(world, 10.0), self.send_usual(world, 2, 0.0)
            )
            self.assertTrue(self.refused)
            node = world.nodes[0]
            age_s = node.settings.fleet.count_age_s
            counts = node.intake._counts
            node.intake._counts = dataclasses.replace(
                counts, seen_at=clock.monotonic() - age_s - 0.1
            )
            answer = await self.submit(world, _build('later', 'flood'))
            self.assertIsInstance(answer, result.Ok)

        self.play(scenario)

    def test_a_holder_that_may_start_nothing_publishes_no_backlog(
        self,
    ) -> None:
        """Guards against refusals by what was true some time ago."""

        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.gather(
                self.flood(world, 10.0), self.send_usual(world, 2, 0.0)
            )
            node = world.nodes[0]
            before = node.holder.report(clock.monotonic())
            self.assertIsNotNone(before.backlogs)
            node.configuration_age_s = 60.0
            await asyncio.sleep(1.0)
            after = node.holder.report(clock.monotonic())
            self.assertIsNone(after.backlogs)

        self.play(scenario)

    def test_a_refused_job_leaves_no_row(self) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            await asyncio.gather(
                self.flood(world, 10.0), self.send_usual(world, 2, 0.0)
            )
            rows = [
                key
                for key in world.store.inner.rows
                if key.startswith(keys.graph('fleet', 'f'))
            ]
            self.assertTrue(self.refused)
            self.assertEqual(len(self.accepted), len(rows))

        self.play(scenario)


if __name__ == '__main__':
    unittest.main()
