"""When a standby takes over that could not read the lease for a while.

The pattern: the holder is killed while the store is down.
"""

import unittest

from primroselock import shards
from primroselock.store import keys
from primroselock.test import builders
from primroselock.test import fakestore


class StandbyCountTest(unittest.IsolatedAsyncioTestCase):
    """When a standby may take over, with leases of 6 s and renewals of 1.5."""

    async def asyncSetUp(self) -> None:
        self.store = fakestore.FakeStore()
        self.holder = self.build_lease('old')
        await self.holder.step(0.0)
        self.standby = self.build_lease('new')
        await self.standby.step(0.0)

    def build_lease(self, vm_id: str) -> shards.ShardLease:
        """Return the lease of one VM."""
        text = builders.SETTINGS_TEXT.replace('entry-1', vm_id)
        return shards.ShardLease(
            builders.parse_settings(text), self.store, 'a'
        )

    async def step_in_outage(self, *times: float) -> None:
        """Step the standby while the store answers nobody."""
        self.store.reads_available = False
        for now in times:
            await self.standby.step(now)
        self.store.reads_available = True

    async def test_an_outage_counts(self) -> None:
        """Guards against a lease that is waited for once more."""
        await self.step_in_outage(2.0, 6.5)
        await self.standby.step(7.0)
        self.assertFalse(self.standby.has_shard)
        await self.standby.step(8.5)
        self.assertTrue(self.standby.has_shard)

    async def test_no_lease_is_cut_short(self) -> None:
        """Guards against two holders at a time after a short outage."""
        await self.step_in_outage(1.0, 2.0)
        await self.standby.step(2.5)
        await self.standby.step(5.9)
        self.assertFalse(self.standby.has_shard)
        await self.standby.step(6.0)
        self.assertTrue(self.standby.has_shard)

    async def test_the_old_holder_renews_first(self) -> None:
        """Guards against a sound holder that each outage replaces."""
        await self.step_in_outage(2.0, 7.0)
        await self.standby.step(7.5)
        await self.holder.step(8.0)
        await self.standby.step(9.0)
        self.assertFalse(self.standby.has_shard)
        self.assertTrue(self.holder.holds(9.0))

    async def test_leases_of_runs_count_from_the_last_renewal(self) -> None:
        """Guards against a bound on leases from before they were granted.

        The holder has renewed while the standby could not read.
        """
        await self.step_in_outage(2.0, 7.0)
        await self.holder.step(7.2)
        await self.standby.step(7.5)
        rows = self.store.inner.rows
        earlier = self.standby._find_earlier(
            rows.get(keys.shard_lease('a')), rows.get(keys.shard_epoch('a'))
        )
        assert earlier is not None
        self.assertEqual(7.5, earlier.observed_at)


if __name__ == '__main__':
    unittest.main()
