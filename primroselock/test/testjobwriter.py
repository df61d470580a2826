"""Batched writes of job rows, and the shard lease that they depend on."""

import asyncio
import dataclasses
import unittest
from unittest import mock

import result

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
    """A job writer over a table in memory."""

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
        """Accept the inbox and return its jobs."""
        accepted = await self.jobs.accept_inbox(
            'a', self.lease.epoch_row_version
        )
        return accepted.unwrap()

    def record(self, stored: list[jobstore.StoredJob]) -> None:
        """Record the jobs as the table now holds them."""
        for entry in stored:
            self.written[entry.job.id] = entry.job

    async def cancel_all(self) -> None:
        """Queue the cancellation of every job and wait for the rows."""
        for entry in self.stored:
            job = dataclasses.replace(entry.job, state=jobs.JobState.CANCELLED)
            self.writer.add(commands.WriteJob(job, entry.row_version))
        async with asyncio.timeout(10.0):
            while len(self.written) < JOBS:
                await asyncio.sleep(0)

    async def test_many_writes_take_few_transactions(self) -> None:
        """300 writes share at most two transactions."""
        before = self.store.inner.writes
        await self.cancel_all()
        self.assertLessEqual(self.store.inner.writes - before, 2)
        active = self.store.inner.scan(keys.active('a'), '', JOBS)
        self.assertEqual([], active)

    async def test_conflict_of_one_row_delays_no_other(self) -> None:
        """Guards against a batch that fails because of one changed row.

        The writer reads that row again and reports its current content.
        """
        changed = self.stored[7].job
        row = table.Put(keys.job(changed.id), jobs.encode(changed))
        self.store.inner.transact(table.Transaction(puts=(row,)))
        await self.cancel_all()
        states = {job_id: job.state for job_id, job in self.written.items()}
        self.assertEqual(jobs.JobState.WAITING, states.pop(changed.id))
        self.assertEqual({jobs.JobState.CANCELLED}, set(states.values()))

    async def test_a_conflict_of_unnamed_rows_is_not_repeated(self) -> None:
        """Guards against a batch that is sent again unchanged for ever.

        Rows that the table does not name are all read again.
        """
        conflict = result.Err(table.Conflict(()))
        with mock.patch.object(
            self.jobs, 'write_many', autospec=True, side_effect=[conflict] * 2
        ):
            await self.cancel_all()
        states = {job.state for job in self.written.values()}
        self.assertEqual({jobs.JobState.WAITING}, states)

    async def test_lost_reply_is_resolved(self) -> None:
        """The writer reads back the rows of a batch whose reply was lost."""
        self.store.faults = [fakestore.Fault.REPLY_LOST]
        await self.cancel_all()
        states = {job.state for job in self.written.values()}
        self.assertEqual({jobs.JobState.CANCELLED}, states)

    async def test_nothing_is_written_under_an_old_epoch(self) -> None:
        """Guards against writes by a holder that was superseded."""
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
        """Guards against a holder that takes its own renewal for a takeover.

        The renewals are applied late, after their outcome was unknown.
        """
        self.store.faults = [fakestore.Fault.LATE] * 4
        await self.lease.step(1.0)
        self.store.apply_late()
        await self.lease.step(2.5)
        await self.lease.step(4.0)
        self.assertTrue(self.lease.holds(9.0))

    async def test_a_vm_takes_its_own_earlier_lease_back_at_once(
        self,
    ) -> None:
        """A restarted process need not wait for the lease of its VM to expire.

        Its predecessor on this VM has ended.
        """
        restarted = shards.ShardLease(self.settings, self.store, 'a')
        await restarted.step(0.5)
        self.assertTrue(restarted.has_shard)
        self.assertEqual(self.lease.epoch + 1, restarted.epoch)
        await self.lease.step(1.0)
        self.assertFalse(self.lease.has_shard)

    async def test_standby_that_could_not_read_waits_again(self) -> None:
        """Guards against a takeover while the lease may have been renewed.

        A standby whose read failed waits for the duration of the lease again.
        """
        other = shards.ShardLease(self.other_settings, self.store, 'a')
        await other.step(0.0)
        self.store.reads_available = False
        await other.step(50.0)
        self.store.reads_available = True
        await other.step(100.0)
        self.assertFalse(other.has_shard)


if __name__ == '__main__':
    unittest.main()
