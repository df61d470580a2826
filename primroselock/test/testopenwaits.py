"""Waits beside free capacity that are known and not mended yet."""

import typing
import unittest

from primroselock.decisions import evidence
from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders

_LONG_S: typing.Final = 60.0
_LONG_MS: typing.Final = 60_000
_LIMIT_S: typing.Final = 3.0


class FillingWorkTest(unittest.TestCase):
    """Work that fills spare CPU, and work with a latency target."""

    def test_filling_work_runs_where_all_workers_serve(self) -> None:
        """Guards against work that may run on no worker for ever."""
        site = idlebuilders.Site(4)
        serving = fleetbuilders.build_step(
            4,
            1,
            _LONG_MS,
            max_per_worker=1,
            long_running=True,
            tail_latency_target_ms=100,
        )
        site.submit('serving', serving, run_s=_LONG_S, queue='batch')
        site.run_for(1.0)
        filling = fleetbuilders.build_step(4, 1, 5_000, fills=True)
        job = site.submit('filling', filling, run_s=5.0, queue='bulk')
        site.run_for(_LIMIT_S)
        phases = {group.phase for group in job.groups_by_key.values()}
        self.assertEqual({livejobs.Phase.RUNNING}, phases)


class QuarantineTest(unittest.TestCase):
    """Work that fits only with workers in quarantine."""

    def test_a_gang_that_needs_a_quarantined_worker(self) -> None:
        """Guards against a wait for the end of a quarantine."""
        site = idlebuilders.Site(20)
        for number in range(5):
            site.board.failure_evidence.quarantines_by_worker_id[
                f'n{number:03}'
            ] = evidence.Quarantine(site.now + 60.0, 5)
        gang = fleetbuilders.build_step(16, 8, _LONG_MS, gang=True)
        job = site.submit('gang', gang, run_s=_LONG_S, queue='batch')
        (group,) = job.groups_by_key.values()
        site.run_for(_LIMIT_S)
        self.assertIs(livejobs.Phase.RUNNING, group.phase)


if __name__ == '__main__':
    unittest.main()
