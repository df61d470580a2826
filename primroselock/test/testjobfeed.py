"""The job feed misses no job when replies of the table are lost."""

import asyncio
import unittest

import hypothesis
from hypothesis import strategies

from primroselock import jobfeed
from primroselock import jobstore
from primroselock import shards
from primroselock.test import builders
from primroselock.test import fakestore

# The test applies no delayed transactions.
_FAULTS = [fault for fault in fakestore.Fault if fault.name != 'LATE']


class JobFeedTest(unittest.TestCase):
    """A job feed over a table in memory."""

    async def follow(self, faults: list[fakestore.Fault]) -> None:
        """Submit a job before each faulty read; check that all become known.

        A read accepts the inbox.  When its outcome stays unknown, the jobs may
        have become active without this process having read them.
        """
        store = fakestore.FakeStore()
        lease = shards.ShardLease(builders.build_settings(), store, 'a')
        await lease.step(0.0)
        jobs = jobstore.JobStore(store)
        known: set[str] = set()

        def record(stored: list[jobstore.StoredJob]) -> None:
            known.update(entry.job.id for entry in stored)

        feed = jobfeed.JobFeed(
            jobs, lease, lambda _, active: record(active), record
        )
        await feed.read()
        for number, fault in enumerate(faults):
            await jobs.submit(builders.build_job(f'job-{number}'))
            store.faults = [fault]
            store.after_write = lambda: setattr(
                store, 'reads_available', False
            )
            await feed.read()
            store.reads_available = True
            store.after_write = lambda: None
            store.faults = []
        await feed.read()
        self.assertEqual(
            {f'job-{number}' for number in range(len(faults))}, known
        )

    @hypothesis.settings(max_examples=20)
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(_FAULTS), max_size=3)
    )
    def test_every_job_is_known_in_the_end(
        self, faults: list[fakestore.Fault]
    ) -> None:
        asyncio.run(self.follow(faults))


if __name__ == '__main__':
    unittest.main()
