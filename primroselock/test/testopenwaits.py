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
