"""Rows of jobs are written many at a time, whatever happens to one."""

import asyncio
import dataclasses
import unittest

from primroselock.decisions import commands
from primroselock import jobs
from primroselock import jobstore
from primroselock import jobwriter
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import builders
from primroselock.test import fakestore

JOBS = 300


class JobWriterTest(unittest.IsolatedAsyncioTestCase):
    """A writer over a table in memory."""

    async def asyncSetUp(self) -> None:
        self.store = fakestore.FakeStore()
        self.settings = builders.build_settings()
        self.other_settings = builders.parse_settings(
            builders.SETTINGS_TEXT.replace('entry-1', 'entry-2')
        )
        self.lease = shards.ShardLease(self.settings, self.store, 'a')
        await self.lease.step(0.0)
        self.jobs = jobstore.JobStore(self.store)
        self.written: dict[str, jobs.Job] = {}
        self.writer = jobwriter.JobWriter(self.jobs, self.lease, self.record)
        for number in range(JOBS):
            await self.jobs.submit(builders.build_job(f'job-{number}'))
        self.stored = await self.accept()
        running = asyncio.create_task(self.writer.run())
        self.addCleanup(running.cancel)

    async def accept(self) -> list[jobstore.StoredJob]:
        """Accept the inbox, and return the jobs."""
        accepted = await self.jobs.accept_inbox(
            'a', self.lease.epoch_row_version
        )
        return accepted.unwrap()

    def record(self, stored: list[jobstore.StoredJob]) -> None:
        """Note what the table holds."""
        for entry in stored:
            self.written[entry.job.id] = entry.job

    async def cancel_all(self) -> None:
        """Queue a wave of cancellations and wait for their rows."""
        for entry in self.stored:
            job = dataclasses.replace(entry.job, state=jobs.JobState.CANCELLED)
            self.writer.add(commands.WriteJob(job, entry.row_version))
        async with asyncio.timeout(10.0):
            while len(self.written) < JOBS:
                await asyncio.sleep(0)

    async def test_wave_takes_few_transactions(self) -> None:
        before = self.store.inner.writes
        await self.cancel_all()
        self.assertLessEqual(self.store.inner.writes - before, 2)
        active = self.store.inner.scan(keys.active('a'), '', JOBS)
        self.assertEqual([], active)

    async def test_changed_row_holds_up_no_other(self) -> None:
        changed = self.stored[7].job
        row = table.Put(keys.job(changed.id), jobs.encode(changed))
        self.store.inner.transact(table.Transaction(puts=(row,)))
        await self.cancel_all()
        states = {job_id: job.state for job_id, job in self.written.items()}
        self.assertEqual(jobs.JobState.WAITING, states.pop(changed.id))
        self.assertEqual({jobs.JobState.CANCELLED}, set(states.values()))

    async def test_lost_reply_is_settled(self) -> None:
        self.store.faults = [fakestore.Fault.REPLY_LOST]
        await self.cancel_all()
        states = {job.state for job in self.written.values()}
        self.assertEqual({jobs.JobState.CANCELLED}, states)

    async def test_nothing_is_written_under_an_old_epoch(self) -> None:
        other = shards.ShardLease(self.other_settings, self.store, 'a')
        await other.step(0.0)
        await other.step(100.0)
        self.assertTrue(other.has_shard)
        job = dataclasses.replace(self.stored[0].job, state=jobs.JobState.DONE)
        version = self.stored[0].row_version
        self.writer.add(commands.WriteJob(job, version))
        async with asyncio.timeout(10.0):
            while self.lease.has_shard:
                await asyncio.sleep(0)
        row = self.store.inner.rows[keys.job(job.id)]
        self.assertEqual(version, row.version)

    async def test_lost_renewal_does_not_lose_the_shard(self) -> None:
        self.store.faults = [fakestore.Fault.LATE] * 4
        await self.lease.step(1.0)
        self.store.apply_late()
        await self.lease.step(2.5)
        await self.lease.step(4.0)
        self.assertTrue(self.lease.holds(9.0))

    async def test_a_vm_takes_its_own_earlier_lease_back_at_once(
        self,
    ) -> None:
        """The process that held the lease on this VM has ended."""
        again = shards.ShardLease(self.settings, self.store, 'a')
        await again.step(0.5)
        self.assertTrue(again.has_shard)
        self.assertEqual(self.lease.epoch + 1, again.epoch)
        await self.lease.step(1.0)
        self.assertFalse(self.lease.has_shard)

    async def test_standby_that_was_blind_waits_anew(self) -> None:
        other = shards.ShardLease(self.other_settings, self.store, 'a')
        await other.step(0.0)
        self.store.reads_available = False
        await other.step(50.0)
        self.store.reads_available = True
        await other.step(100.0)
        self.assertFalse(other.has_shard)


if __name__ == '__main__':
    unittest.main()
