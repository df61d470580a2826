"""Claims of several gangs while most of the capacity is in use.

A site of 40 workers: some run long work, the others are claimed by gangs.
"""

import dataclasses
import typing
import unittest

from primroselock.decisions import livejobs
from primroselock.test import idlebuilders
from primroselock.test import idlecases

_WORKERS: typing.Final = 40
_GANG: typing.Final = 6
_GANG_NAMES: typing.Final = ('gang-a', 'gang-b', 'gang-c')
_CLAIMED: typing.Final = _GANG * len(_GANG_NAMES)


class ClaimOrderTest(unittest.TestCase):
    """Equally urgent gangs claim workers in the order of placement."""

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


if __name__ == '__main__':
    unittest.main()
