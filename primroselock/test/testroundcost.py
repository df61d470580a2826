"""What a round of a large shard looks at, by counts.

Guards against work for each worker that is only due for few of them.
"""

import asyncio
import itertools
import typing
import unittest
from unittest import mock

from primroselock.decisions import earlierruns
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleetplacing
from primroselock.decisions import fleetround
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import slices
from primroselock.decisions import waitreport
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_WORKERS: typing.Final = 24
_MANY_WORKERS: typing.Final = 1500
_MOST_LOOKS: typing.Final = 3000
_WIDTH: typing.Final = 100
_JOBS: typing.Final = 40
_RESUME_S: typing.Final = 0.03
"""Longer than a slice of a round."""

_STEP_S: typing.Final = 0.004


class RoundCostTest(unittest.TestCase):
    """Rounds with many workers, of which few matter."""

    def test_earlier_runs_are_looked_for_where_there_are_any(self) -> None:
        """Guards against a search on workers that have none."""
        board = fleet.ShardBoard()
        for number in range(_WORKERS):
            board.record_entry(fleetbuilders.build_entry(f'w{number}'), 0.0)
        run = orders.Run(jobgraph.TaskName('j', 0, 0, 0), 1)
        unexpected = fleetworkers.UnexpectedRun(run, None, 0.0)
        board.workers_by_id['w3'].unexpected_runs[run] = unexpected
        with mock.patch.object(
            earlierruns, '_list_earlier', wraps=earlierruns._list_earlier
        ) as search:
            earlierruns.list_held(board, 1.0)
        self.assertEqual(1, search.call_count)

    def test_a_task_is_fitted_where_all_else_is_equal(self) -> None:
        """Guards against a look at the fit on workers of other racks."""
        site = idlebuilders.Site(_WORKERS)
        half = fleetbuilders.build_step(1, 4, 600_000)
        site.occupy('n020', 'long', half, 600.0)
        step = fleetbuilders.build_step(1, 1)
        site.submit('j', step, run_s=600.0, queue='bulk')
        score = mock.Mock(wraps=fitting.best_fit)
        with mock.patch.dict(
            fitting.scores_by_name, {site.settings.fleet.placement: score}
        ):
            site.run_for(0.5)
        worker_ids = {
            member.worker_id
            for group in site.board.jobs_by_id['j'].groups_by_key.values()
            for member in group.members
        }
        self.assertEqual({'n020'}, worker_ids)
        self.assertLessEqual(
            score.call_count, _WORKERS - idlebuilders.RACK_SIZE
        )

    def test_reports_of_waits_look_at_a_bounded_number_of_workers(
        self,
    ) -> None:
        """Guards against ten looks at each of many workers, in one piece."""
        board = fleet.ShardBoard(
            queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        for number in range(_MANY_WORKERS):
            board.record_entry(fleetbuilders.build_entry(f'w{number}'), 0.0)
        for number in range(_JOBS):
            graph = fleetbuilders.build_graph(f'j{number}')
            graphs.add_job(board, graph, None, 0, 0.0, 0)
        with mock.patch.object(
            waitreport, '_count_workers', wraps=waitreport._count_workers
        ) as look:
            waitreport.report_idle_waits(board, 10.0)
        self.assertEqual(_JOBS, board.idle_waits)
        self.assertGreater(look.call_count, 0)
        self.assertLessEqual(look.call_count * _MANY_WORKERS, _MOST_LOOKS)

    def test_a_wide_step_is_placed_in_parts(self) -> None:
        """Guards against a long time in which nothing else is done.

        Each task that fills a worker takes a look at all the others.
        """
        site = idlebuilders.Site(_WIDTH)
        step = fleetbuilders.build_step(_WIDTH, 8)
        site.submit('j', step, run_s=600.0, queue='bulk')
        turn = slices.Turn(site.now, site.now)
        placed = [0]
        for _ in fleetround.begin(site.board, site.settings, turn):
            placed.append(
                sum(
                    len(worker.members)
                    for worker in site.board.workers_by_id.values()
                )
            )
        self.assertEqual(_WIDTH, placed[-1])
        most = max(b - a for a, b in itertools.pairwise(placed))
        self.assertLessEqual(most, _WIDTH / 4)

    def test_a_slice_does_more_than_read_all_workers_again(self) -> None:
        """Guards against rounds that hardly go on from slice to slice.

        The pattern: 3,000 workers, which take longer to look at after a
        pause than a slice may last.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> None:
            world = fleetbuilders.World(0, _JOBS)
            world.add_node('entry-1')
            await asyncio.sleep(1.0)
            resume, place_step = fleetplacing._resume, fleetplacing._place_step
            resumes = 0

            def resume_slowly(*arguments: typing.Any) -> typing.Any:
                nonlocal resumes
                resumes += 1
                virtual.now += _RESUME_S
                return resume(*arguments)

            def place_slowly(*arguments: typing.Any) -> int:
                virtual.now += _STEP_S
                return place_step(*arguments)

            with (
                mock.patch.object(fleetplacing, '_resume', resume_slowly),
                mock.patch.object(fleetplacing, '_place_step', place_slowly),
            ):
                for number in range(_JOBS):
                    step = fleetbuilders.build_step(1, 8, 60_000)
                    world.submit(fleetbuilders.build_graph(f'j{number}', step))
                await asyncio.sleep(8.0)
            self.assertEqual(_JOBS, world.fleet.starts)
            self.assertLessEqual(resumes, _JOBS / 2)
            await world.close()

        virtualtime.run(run_all)


if __name__ == '__main__':
    unittest.main()
