"""Jobs of many tasks against the store's limits on rows and transactions."""

import asyncio
import typing
import unittest

import result

from primroselock import clock
from primroselock import graphrows
from primroselock import groupcommit
from primroselock import intake
from primroselock import jobgraph
from primroselock import jobs
from primroselock import refusals
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import fakefeed
from primroselock.test import fleetbuilders

_OCCURRENCES: typing.Final = 4
_TASKS: typing.Final = 400


def _add_workers(world: fleetbuilders.World, count: int) -> None:
    for number in range(count):
        name = f'worker-with-a-long-name-{number}'
        world.add_worker(
            fleetbuilders.build_entry(name, boot=1_764_873_412_345)
        )


def _build_wide_job(run_ms: int) -> jobgraph.JobGraph:
    """Return a job whose progress needs more than one row."""
    return fleetbuilders.build_graph(
        'wide',
        fleetbuilders.build_step(_TASKS, 0, run_ms),
        occurrences=_OCCURRENCES,
        first_due_ms=int(clock.wall() * 1000),
        period_ms=500,
    )


def _list_parts(world: fleetbuilders.World) -> list[str]:
    """Return the keys of the rows of the wide job's progress."""
    first = keys.progress('fleet', 'wide')
    return [key for key in world.store.inner.rows if key.startswith(first)]


class WideJobTest(unittest.TestCase):
    """A job whose progress is larger than a row of the store."""

    def test_a_job_larger_than_a_row_runs_and_holds_up_no_other(self) -> None:
        """Guards against accepted jobs that wait beside free capacity.

        The store refused the wide job's row for its size, and with it each
        transaction that stored the placements of others.
        """

        async def scenario(world: fleetbuilders.World) -> float:
            _add_workers(world, 30)
            world.submit(_build_wide_job(12_000))
            await asyncio.sleep(4.0)
            world.submit(fleetbuilders.build_graph('small'))
            taken_s = await world.wait_for('small', 'done', 10.0)
            self.assertGreater(len(_list_parts(world)), 1)
            await world.wait_for('wide', 'done', 40.0)
            self.assertEqual(1, len(_list_parts(world)))
            return taken_s

        self.assertLess(fleetbuilders.run_scenario(scenario, 0), 3.0)

    def test_a_successor_restores_a_job_from_all_its_rows(self) -> None:
        """Guards against tasks that run twice after a takeover."""

        async def scenario(world: fleetbuilders.World) -> float:
            _add_workers(world, 30)
            world.submit(_build_wide_job(12_000))
            await asyncio.sleep(4.0)
            self.assertGreater(len(_list_parts(world)), 1)
            holder = world.find_shard_holder()
            world.nodes.remove(holder)
            world.add_node('entry-2')
            await holder.kill()
            await world.wait_for('wide', 'done', 60.0)
            return float(world.fleet.starts)

        starts = fleetbuilders.run_scenario(scenario, 0)
        self.assertEqual(_OCCURRENCES * _TASKS, starts)

    def test_a_job_that_the_store_refuses_holds_up_no_other(self) -> None:
        """Guards against a refused row that blocks all writes."""

        async def scenario(world: fleetbuilders.World) -> float:
            _add_workers(world, 4)
            world.store.rejected_key = keys.progress('fleet', 'refused')
            for number in range(5):
                world.submit(fleetbuilders.build_graph(f'a{number}'))
            world.submit(fleetbuilders.build_graph('refused'))
            for number in range(5):
                world.submit(fleetbuilders.build_graph(f'b{number}'))
            for number in range(5):
                await world.wait_for(f'a{number}', 'done', 3.0)
                await world.wait_for(f'b{number}', 'done', 3.0)
            return 0.0

        fleetbuilders.run_scenario(scenario, 0)


class SplitTest(unittest.TestCase):
    """Progress is split into rows and joined again."""

    def test_progress_is_the_same_after_a_split(self) -> None:
        groups = tuple(
            jobgraph.GroupRecord(
                jobgraph.GroupKey(0, 0, index),
                jobgraph.GroupPhase.PLACED,
                1,
                places=(jobgraph.Place('w', 1),) * (index % 7),
            )
            for index in range(100)
        )
        progress = jobgraph.JobProgress(jobs.JobState.RUNNING, groups)
        for max_bytes in (200, 500, 1000, 100_000):
            values = graphrows.encode_progress(progress, max_bytes)
            self.assertLessEqual(max(map(len, values)), max_bytes)
            rows = graphrows.JobRows('fleet')
            # A listing has them in the order of their keys.
            rows.apply(
                tuple(
                    table.Row(keys.progress('fleet', 'j', part), value, 7, '')
                    for part, value in sorted(
                        enumerate(values), key=lambda item: str(item[0])
                    )
                )
            )
            self.assertEqual(progress, rows.stored_by_id['j'].progress)
            self.assertEqual(7, rows.stored_by_id['j'].progress_version)
            self.assertEqual(len(values), rows.stored_by_id['j'].parts)


class IntakeTest(unittest.TestCase):
    """Jobs that cannot be stored are refused at once, and they alone."""

    def test_a_job_too_large_to_be_stored_is_refused_alone(self) -> None:
        """Guards against submissions that fail with another's in a batch."""

        async def scenario(world: fleetbuilders.World) -> float:
            node = world.nodes[0]
            access = intake.Access(fleetbuilders.BULK, 'signs')
            refused = keys.graph('fleet', 'refused')
            world.store.rejected_key = refused
            graphs = [
                fleetbuilders.build_graph(name)
                for name in ('a', 'b', 'refused', 'c')
            ]
            deadline = clock.monotonic() + 2.0
            answers = await asyncio.gather(
                *(node.intake.submit(access, g, deadline) for g in graphs)
            )
            for graph, answer in zip(graphs, answers, strict=True):
                is_accepted = isinstance(answer, result.Ok)
                self.assertEqual(graph.id != 'refused', is_accepted)
                key = keys.graph('fleet', graph.id)
                self.assertEqual(is_accepted, key in world.store.inner.rows)
            self.assertEqual(
                refusals.Reason.TOO_LARGE, answers[2].unwrap_err().why
            )
            return 0.0

        fleetbuilders.run_scenario(scenario, 0)

    def test_what_exceeds_the_limits_is_not_sent(self) -> None:
        async def scenario(world: fleetbuilders.World) -> float:
            node = world.nodes[0]
            access = intake.Access(fleetbuilders.BULK, 'signs')
            many_steps = tuple(fleetbuilders.build_step() for _ in range(3000))
            for graph in (
                fleetbuilders.build_graph('wide', occurrences=5001),
                fleetbuilders.build_graph('long', *many_steps),
            ):
                writes = world.store.writes
                answer = await node.intake.submit(
                    access, graph, clock.monotonic() + 2.0
                )
                self.assertEqual(
                    refusals.Reason.TOO_LARGE, answer.unwrap_err().why
                )
                self.assertEqual(writes, world.store.writes)
            return 0.0

        fleetbuilders.run_scenario(scenario, 0)


class HalvingTest(unittest.IsolatedAsyncioTestCase):
    """A group commit finds the write that the table rejects."""

    async def test_others_of_the_batch_are_stored(self) -> None:
        store = fakefeed.FeedStore()
        store.rejected_key = 'k7'
        client = fakefeed.FeedClient(store, fakefeed.Connectivity())
        committer = groupcommit.GroupCommitter(client, 0.0)
        outcomes = await asyncio.gather(
            *(
                committer.submit(groupcommit.Write(f'k{n}', table.ABSENT, b''))
                for n in range(20)
            )
        )
        rejected = [
            number
            for number, outcome in enumerate(outcomes)
            if isinstance(outcome, result.Err)
        ]
        self.assertEqual([7], rejected)
        self.assertIsInstance(outcomes[7].unwrap_err(), table.Rejected)


if __name__ == '__main__':
    unittest.main()
