"""When a holder offers its lease, and who may take an offered one."""

import typing
import unittest

from primroselock.decisions import placeability
from primroselock import shards
from primroselock.test import builders
from primroselock.test import fakestore

_FLEET: typing.Final = builders.build_settings().fleet
_PERMIT_S: typing.Final = _FLEET.start_permit_s
_FRESH_S: typing.Final = _FLEET.follow_age_s
_ENTRY_PERMIT_S: typing.Final = _FLEET.entry_permit_s
_Reason: typing.Final = placeability.Reason


def find_reason(
    operators_age_s: float = 0.0,
    submissions_age_s: float | None = None,
    failed_listings: int = 0,
    entries_age_s: float | None = None,
) -> placeability.Reason | None:
    """Return why a holder with a valid lease cannot place, or None."""
    now = 100.0
    lost_at = None if submissions_age_s is None else now - submissions_age_s
    entries_at = None if entries_age_s is None else now - entries_age_s
    reads = placeability.Reads(
        now - operators_age_s, lost_at, failed_listings, entries_at
    )
    found = placeability.find_obstacle(None, reads, now + 1.0, _FLEET, now)
    return found.reason if found else None


class ObstacleTest(unittest.TestCase):
    """A holder offers once it could not place for longer than a second."""

    def test_each_read_that_fails_is_an_obstacle(self) -> None:
        """A feed that answers late, or one failed listing, is none."""
        cases = (
            (find_reason(), None),
            (find_reason(_PERMIT_S - 0.1), None),
            (find_reason(_PERMIT_S + 0.1), _Reason.OLD_OPERATOR_ROWS),
            (find_reason(submissions_age_s=_FRESH_S - 0.1), None),
            (
                find_reason(submissions_age_s=_FRESH_S + 0.1),
                _Reason.LOST_SUBMISSIONS,
            ),
            (find_reason(entries_age_s=_ENTRY_PERMIT_S - 0.1), None),
            (
                find_reason(entries_age_s=_ENTRY_PERMIT_S + 0.1),
                _Reason.LOST_ENTRIES,
            ),
            (find_reason(failed_listings=1), None),
            (find_reason(failed_listings=2), _Reason.FAILED_LISTINGS),
        )
        for number, (found, expected) in enumerate(cases):
            with self.subTest(number=number):
                self.assertEqual(expected, found)

    def offer_times(
        self, until_s: float, lease_lost_at: float = float('inf')
    ) -> list[float]:
        """Judge each 0.25 s; return when a holder with old rows offers.

        Its rows are always as old; the lease is not valid for a second from
        ``lease_lost_at``.
        """
        known = None
        offered = []
        for step in range(int(until_s * 4)):
            now = step / 4
            is_lost = lease_lost_at <= now < lease_lost_at + 1.0
            known = placeability.find_obstacle(
                known,
                placeability.Reads(now - _PERMIT_S - 0.1),
                now if is_lost else now + 1.0,
                _FLEET,
                now,
            )
            if placeability.should_offer(known, now):
                offered.append(now)
        return offered

    def test_an_offer_begins_after_a_second(self) -> None:
        """Guards against a shard that moves at each blip of the store."""
        self.assertEqual([1.25, 1.5, 1.75], self.offer_times(2.0))

    def test_time_without_a_valid_lease_does_not_count(self) -> None:
        """Guards against a handover after each outage of the store.

        Reads and writes work again at about the same time.
        """
        self.assertEqual([], self.offer_times(3.0, lease_lost_at=1.0))

    def test_the_reason_may_change_meanwhile(self) -> None:
        """Guards against reads that fail in turn, so that no time counts."""
        fails = placeability.Reads(10.0, failed_listings=2)
        known = placeability.find_obstacle(None, fails, 12.0, _FLEET, 11.0)
        old = placeability.Reads(11.5 - _PERMIT_S - 0.1)
        known = placeability.find_obstacle(known, old, 12.5, _FLEET, 11.5)
        expected = placeability.Obstacle(_Reason.OLD_OPERATOR_ROWS, 11.0)
        self.assertEqual(expected, known)


class PermitTest(unittest.TestCase):
    """The oldest of what a start rests on bounds it, and is named."""

    def test_each_bound_is_named(self) -> None:
        cases = (
            ((9.0, 10.0, 10.0), (9.0, 'the shard lease')),
            (
                (20.0, 1.0, 10.0),
                (1.0 + _PERMIT_S, "the operators' rows"),
            ),
            (
                (20.0, 10.0, 1.0),
                (1.0 + _ENTRY_PERMIT_S, "the workers' entries"),
            ),
        )
        for times, expected in cases:
            permit = placeability.find_permit(*times, _FLEET)
            self.assertEqual(expected, (permit.until, permit.bound))


class TakeOfferTest(unittest.IsolatedAsyncioTestCase):
    """Only a standby that can place takes over an offered lease."""

    async def asyncSetUp(self) -> None:
        self.store = fakestore.FakeStore()
        self.holder = self.build_lease('entry-1')
        self.standby = self.build_lease('entry-2')
        await self.holder.step(0.0)

    def build_lease(
        self, vm_id: str, delay_s: float = 0.0
    ) -> shards.ShardLease:
        """Return the lease of a node that takes offers."""
        text = builders.SETTINGS_TEXT.replace('entry-1', vm_id)
        settings = builders.parse_settings(
            f'{text}\n[scheduler]\ntakeover_delay_s = {delay_s}\n'
        )
        lease = shards.ShardLease(settings, self.store, 'a')
        lease.takes_offers = True
        return lease

    def test_who_can_place(self) -> None:
        """Old rows, or an old copy of the lease, keep a standby from it."""
        cases = (
            (_PERMIT_S - 0.1, _FRESH_S - 0.1, True),
            (_PERMIT_S + 0.1, _FRESH_S - 0.1, False),
            (_PERMIT_S - 0.1, _FRESH_S + 0.1, False),
        )
        for operators_age_s, shard_age_s, expected in cases:
            with self.subTest(
                operators_age_s=operators_age_s, shard_age_s=shard_age_s
            ):
                for known in (None, 90.0):
                    able_since = placeability.find_able_since(
                        known,
                        100.0 - operators_age_s,
                        100.0 - shard_age_s,
                        _FLEET,
                        100.0,
                    )
                    since = 100.0 if known is None else known
                    self.assertEqual(since if expected else None, able_since)

    def test_who_takes_an_offer(self) -> None:
        """Guards against a move by what recovers for all nodes at once.

        A node whose reads failed as the holder waits ten seconds.
        """
        cases = (
            (97.9, 89.9, True),
            (None, 89.9, False),
            (98.1, 89.9, False),
            (97.9, 90.1, False),
        )
        for able_since, reads_failed_at, expected in cases:
            with self.subTest(since=able_since, failed_at=reads_failed_at):
                may_take = placeability.may_take_offer(
                    able_since, reads_failed_at, 100.0
                )
                self.assertEqual(expected, may_take)

    async def test_an_offered_lease_is_taken_at_once(self) -> None:
        """The holder learns of it at its next renewal."""
        self.holder.offers = True
        await self.holder.step(1.0)
        self.assertTrue(self.holder.is_offered)
        await self.standby.step(1.1)
        self.assertTrue(self.standby.has_shard)
        await self.holder.step(1.2)
        self.assertFalse(self.holder.has_shard)
        self.assertFalse(self.holder.is_offered)

    async def test_a_standby_that_cannot_place_takes_no_offer(self) -> None:
        """Once the holder renews no more, the lease expires as usual."""
        self.holder.offers = True
        self.standby.takes_offers = False
        for number in range(20):
            await self.holder.step(1.0 + number)
            await self.standby.step(1.1 + number)
        self.assertFalse(self.standby.has_shard)
        await self.standby.step(100.0)
        self.assertTrue(self.standby.has_shard)

    async def test_a_slow_vm_takes_an_offer_after_its_delay(self) -> None:
        """Guards against a delay that begins anew with each renewal."""
        slow = self.build_lease('entry-3', 2.0)
        self.holder.offers = True
        for number in range(5):
            self.assertFalse(slow.has_shard, number)
            await self.holder.step(1.0 + number / 2)
            await slow.step(1.25 + number / 2)
        self.assertTrue(slow.has_shard)

    async def test_an_offer_lasts_until_its_end_is_confirmed(self) -> None:
        """Guards against starts while the row may still be an offer."""
        self.holder.offers = True
        await self.holder.step(1.0)
        self.holder.offers = False
        self.store.faults = [fakestore.Fault.UNAVAILABLE]
        await self.holder.step(2.0)
        self.assertTrue(self.holder.is_offered)
        await self.holder.step(3.0)
        self.assertFalse(self.holder.is_offered)
        await self.standby.step(3.1)
        self.assertFalse(self.standby.has_shard)


if __name__ == '__main__':
    unittest.main()
