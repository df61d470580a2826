"""Which of several claims counts, and how many workers gangs may claim.

The scenarios have a site of 40 workers: some run long work, the others are
claimed by gangs.
"""

import dataclasses
import typing
import unittest

from primroselock.decisions import claimindex
from primroselock.decisions import fleet
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import idlecases

_WORKERS: typing.Final = 40
_GANG: typing.Final = 6
_GANG_NAMES: typing.Final = ('gang-a', 'gang-b', 'gang-c')
_CLAIMED: typing.Final = _GANG * len(_GANG_NAMES)
_RANK: typing.Final = (True, 1, False)


class ClaimOrderTest(unittest.TestCase):
    """Equally urgent gangs have workers in the order of their claims."""

    def setUp(self) -> None:
        self.site = idlebuilders.Site(_WORKERS)

    def occupy(self, number: int, run_s: float) -> None:
        """Use all accelerators of a worker for a while."""
        step = idlecases.build_task(8, run_s)
        self.site.occupy(f'n{number:03}', f'job-{number}', step, run_s)

    def submit_gang(self, name: str, tasks: int) -> livejobs.LiveJob:
        """Submit a gang of whole workers that runs for a minute."""
        gang = idlecases.build_gang(tasks)
        return self.site.submit(
            name, gang, run_s=idlecases.LONG_S, queue='batch'
        )

    def list_running(self, *gangs: livejobs.LiveJob) -> list[str]:
        """Return the names of the gangs that run."""
        return [
            job.graph.id
            for job in gangs
            for group in job.groups_by_key.values()
            if group.phase is livejobs.Phase.RUNNING
        ]

    def test_gangs_do_not_hold_workers_that_earlier_gangs_need(self) -> None:
        """Guards against gangs that hold and wait while two of them fit.

        Each of three gangs claims six workers, of which one stays busy for
        much longer than expected; the others could hold two of the gangs.
        """
        for number in range(_WORKERS):
            if number < _CLAIMED and number % _GANG == 0:
                self.site.workers_by_id[f'n{number:03}'].speed = 0.1
            self.occupy(number, 5.0 if number < _CLAIMED else idlecases.LONG_S)
        gangs = [self.submit_gang(name, _GANG) for name in _GANG_NAMES]
        self.site.run_for(8.0)
        self.assertEqual(['gang-a', 'gang-b'], self.list_running(*gangs))

    def test_claims_leave_workers_in_service_to_others(self) -> None:
        """Guards against claims of all workers that may get starts.

        Half of the workers are in a zone out of service; the gangs need all
        that are left.
        """
        for number in range(_WORKERS):
            self.occupy(number, idlecases.LONG_S)
        for worker in list(self.site.board.workers_by_id.values())[20:]:
            entry = dataclasses.replace(worker.entry, zone='closed')
            self.site.board.record_entry(entry, self.site.now)
        self.site.take_out_of_service('closed')
        for name in ('gang-a', 'gang-b'):
            self.submit_gang(name, 10)
        self.site.run_for(3.0)
        claimed = {
            worker_id
            for claim in self.site.board.claims_by_group.values()
            for worker_id in claim.worker_ids
        }
        self.assertEqual(10, len(claimed))


class PrecedenceTest(unittest.TestCase):
    """Which groups the claim of another group excludes from a worker."""

    def setUp(self) -> None:
        board = fleet.ShardBoard(
            queue_configuration=fleetbuilders.QUEUE_CONFIGURATION
        )
        groups: list[livejobs.Group] = []
        for name in ('first', 'second', 'third'):
            graph = fleetbuilders.build_graph(name)
            job = graphs.add_job(board, graph, None, 0, 0.0, 0)
            assert job is not None
            groups.extend(job.groups_by_key.values())
        self.first, self.second, self.third = groups
        self.claims = claimindex.ClaimIndex(board.claims_by_group)

    def claim(
        self,
        group: livejobs.Group,
        worker_id: str,
        by_preemption: bool = False,
    ) -> None:
        """Claim a worker for a group."""
        self.claims.put(
            group,
            fleet.CapacityClaim(
                frozenset({worker_id}), 0.0, _RANK, by_preemption
            ),
        )

    def list_excluded(
        self, worker_id: str, rank: livejobs.Rank = _RANK
    ) -> list[livejobs.Group]:
        """Return the groups that may not use a worker."""
        return [
            group
            for group in (self.first, self.second, self.third)
            if self.claims.excludes(worker_id, group, rank)
        ]

    def test_the_claim_that_was_made_first_counts(self) -> None:
        """Guards against gangs that hold workers an earlier one needs."""
        self.claim(self.first, 'w0')
        self.claim(self.second, 'w1')
        self.assertEqual([self.second, self.third], self.list_excluded('w0'))
        self.assertEqual([self.third], self.list_excluded('w1'))

    def test_a_claim_of_other_workers_keeps_its_place(self) -> None:
        """Guards against gangs that lose their turn at each review."""
        self.claim(self.first, 'w0')
        self.claim(self.second, 'w1')
        self.claim(self.first, 'w2')
        self.assertEqual([], self.list_excluded('w0'))
        self.assertEqual([self.third], self.list_excluded('w1'))

    def test_a_claim_that_was_dropped_has_lost_its_place(self) -> None:
        """Guards against a gang that comes back before those that wait."""
        self.claim(self.first, 'w0')
        self.claim(self.second, 'w1')
        self.claims.drop(self.first)
        self.claim(self.first, 'w0')
        self.assertEqual([self.first, self.third], self.list_excluded('w1'))

    def test_what_is_freed_by_preemption_is_kept_from_equals(self) -> None:
        """Guards against work that is stopped for a group that gains nothing.

        Groups whose claims are older would take what it has freed, and more
        work would be stopped for it.
        """
        self.claim(self.first, 'w0')
        self.claim(self.second, 'w1', by_preemption=True)
        self.assertEqual([self.first, self.third], self.list_excluded('w1'))

    def test_more_urgent_groups_use_claimed_workers(self) -> None:
        """Guards against urgent work that waits for claims."""
        self.claim(self.first, 'w0')
        self.claim(self.second, 'w1', by_preemption=True)
        self.assertEqual([], self.list_excluded('w0', (False, 0, False)))
        self.assertEqual([], self.list_excluded('w1', (False, 0, False)))


if __name__ == '__main__':
    unittest.main()
