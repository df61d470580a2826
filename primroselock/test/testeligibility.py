"""Which workers may get starts, and when their free capacity is plenty."""

import dataclasses
import typing
import unittest

from primroselock.decisions import eligibility
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.workers import orders

_NOW: typing.Final = 5.0
_ALL_CORES: typing.Final = jobgraph.Resources(64_000, 1000, 0)


def build_board() -> fleet.ShardBoard:
    """Return a board of three polled workers, one in each zone."""
    board = fleet.ShardBoard(
        queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
    )
    for zone in 'abc':
        entry = fleetbuilders.build_entry(f'w-{zone}', zone=zone)
        board.record_entry(entry, 0.0)
        board.workers_by_id[entry.id].polled_at = 0.0
    return board


class PlentyTest(unittest.TestCase):
    """Preferences are dropped early only while capacity is plenty."""

    def check_plenty(self, board: fleet.ShardBoard, is_plenty: bool) -> None:
        """Check whether the usable workers of a board have plenty free."""
        usable = eligibility.list_usable(board, _NOW)
        self.assertIs(is_plenty, eligibility.has_plenty(usable))

    def test_idle_workers_are_plenty(self) -> None:
        """Guards against preferences that hold beside idle workers."""
        self.check_plenty(build_board(), True)

    def test_used_up_cores_are_scarce_beside_free_accelerators(self) -> None:
        """Guards against preemption without pauses while all cores are used.

        The pattern: tasks that need many cores and few accelerators.
        """
        board = build_board()
        for zone in 'ab':
            board.workers_by_id[f'w-{zone}'].used = _ALL_CORES
        self.check_plenty(board, False)

    def test_a_zone_out_of_service_is_no_free_capacity(self) -> None:
        """Guards against a full site that counts as idle during a drain.

        The pattern: a zone is drained, and its work fills the others.
        """
        board = build_board()
        board.queue_configuration = dataclasses.replace(
            board.queue_configuration,
            zones_out_of_service=frozenset({'b', 'c'}),
        )
        board.workers_by_id['w-a'].used = _ALL_CORES
        self.check_plenty(board, False)

    def check_idle_job(self, board: fleet.ShardBoard, is_plenty: bool) -> None:
        """Check whether capacity is plenty for a job of which nothing runs.

        It has fitted for 2.2 s.
        """
        job = self.add_job(board)
        plenty = eligibility.find_plenty(
            board, eligibility.list_usable(board, _NOW)
        )
        self.assertIs(is_plenty, plenty.is_idle(job, _NOW))
        for seen_s in (2.2, 1.6, 1.0, 0.4):
            self.assertFalse(plenty.has_plenty(job, _NOW - seen_s))
            job.note_capacity(_NOW - seen_s)
        self.assertIs(is_plenty, plenty.has_plenty(job, _NOW))

    @staticmethod
    def add_job(board: fleet.ShardBoard) -> livejobs.LiveJob:
        """Add a job of two tasks."""
        step = fleetbuilders.build_step(2, 1)
        graph = fleetbuilders.build_graph('j', step)
        job = graphs.add_job(board, graph, None, 0, 0.0, 0)
        assert job is not None
        return job

    def test_an_idle_job_counts_workers_that_get_no_starts(self) -> None:
        """Guards against jobs that wait while most of all capacity is free.

        The pattern: a zone is drained, and work of others claims the rest.
        """
        board = build_board()
        board.queue_configuration = dataclasses.replace(
            board.queue_configuration, zones_out_of_service=frozenset({'c'})
        )
        board.workers_by_id['w-a'].used = _ALL_CORES
        self.check_plenty(board, False)
        self.check_idle_job(board, True)

    def test_capacity_in_use_is_no_plenty_for_an_idle_job(self) -> None:
        """Guards against preferences that never hold for idle jobs."""
        board = build_board()
        for zone in 'ab':
            board.workers_by_id[f'w-{zone}'].used = _ALL_CORES
        self.check_idle_job(board, False)

    def test_a_job_that_runs_counts_usable_workers_only(self) -> None:
        """Guards against a wide job that takes all claimed capacity."""
        board = build_board()
        board.workers_by_id['w-a'].used = _ALL_CORES
        board.workers_by_id['w-b'].entry = dataclasses.replace(
            board.workers_by_id['w-b'].entry, is_draining=True
        )
        job = self.add_job(board)
        first, second = job.groups_by_key.values()
        usable = eligibility.list_usable(board, _NOW)
        plenty = eligibility.find_plenty(board, usable)
        self.assertTrue(plenty.is_idle(job, _NOW))
        first.enter(livejobs.Phase.RUNNING, 0.0)
        self.assertFalse(plenty.is_idle(job, _NOW))
        first.enter(livejobs.Phase.DONE, _NOW)
        second.enter(livejobs.Phase.COMMITTING, _NOW)
        self.assertFalse(plenty.is_idle(job, _NOW))
        self.assertTrue(plenty.is_idle(job, _NOW + 5.0))

    def test_capacity_that_is_freed_for_others_is_no_plenty_yet(self) -> None:
        """Guards against idle jobs that take what is freed by preemption.

        The pattern: a closed zone, and urgent gangs that stop other work.
        """
        board = build_board()
        job = self.add_job(board)
        job.note_capacity(1.0)
        job.note_capacity(1.8)
        self.assertFalse(job.waits_beside_capacity(1.8))
        job.note_capacity(3.5)
        self.assertFalse(job.waits_beside_capacity(3.5))
        job.note_capacity(4.5)
        job.note_capacity(5.5)
        self.assertTrue(job.waits_beside_capacity(5.5))
        self.assertFalse(job.waits_beside_capacity(6.6))

    def test_work_over_a_shrunk_capacity_takes_none_of_others(self) -> None:
        """Guards against waits beside idle workers while one is overfull.

        The pattern: a worker has lost its capacity, and its work goes on.
        """
        board = build_board()
        shrunk = board.workers_by_id['w-a']
        shrunk.used = fleetbuilders.WORKER_CAPACITY.plus(_ALL_CORES)
        shrunk.entry = dataclasses.replace(
            shrunk.entry, capacity=jobgraph.Resources(1000, 1000, 1)
        )
        self.check_plenty(board, True)
        self.assertTrue(eligibility.is_partly_idle(board))

    def test_a_run_that_nobody_asked_for_takes_capacity(self) -> None:
        """Guards against preferences dropped where nothing is free."""
        board = build_board()
        run = orders.Run(jobgraph.TaskName('gone', 0, 0, 0), 1)
        for zone in 'ab':
            worker = board.workers_by_id[f'w-{zone}']
            worker.unexpected_runs[run] = fleetworkers.UnexpectedRun(
                run, None, 0.0
            )
        self.check_plenty(board, False)
        self.assertFalse(eligibility.is_partly_idle(board))

    def test_no_usable_worker_is_no_plenty(self) -> None:
        """Guards against a division by no capacity."""
        self.check_plenty(fleet.ShardBoard(), False)


if __name__ == '__main__':
    unittest.main()
