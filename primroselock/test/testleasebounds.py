"""Bounds of run leases that holders publish, and what a successor inherits."""

import unittest

import msgspec

from primroselock.decisions import fleet
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import runleases
from primroselock import jobgraph
from primroselock import shards
from primroselock.store import table
from primroselock.test import builders
from primroselock.test import fakestore
from primroselock.test import fleetbuilders

_DRIFT = 1 + leasebounds.CLOCK_DRIFT


def build_board(*worker_ids: str) -> fleet.ShardBoard:
    """Return a board whose workers have a member each and were not polled."""
    board = fleet.ShardBoard()
    graph = fleetbuilders.build_graph(
        'j', fleetbuilders.build_step(len(worker_ids))
    )
    job = livejobs.LiveJob(graph, None)
    for index, worker_id in enumerate(worker_ids):
        board.record_entry(fleetbuilders.build_entry(worker_id), 0.0)
        key = jobgraph.GroupKey(0, 0, index)
        group = livejobs.Group(
            job, key, graph.steps[0], livejobs.Phase.RUNNING, 0.0
        )
        member = livejobs.Member(
            group, index, worker_id, 1, livejobs.MemberState.INHERITED
        )
        board.workers_by_id[worker_id].add_member(member)
    return board


class InheritTest(unittest.TestCase):
    """What a successor knows of the leases of the holder before it."""

    def test_without_bounds_the_longest_lease_counts_from_the_row(
        self,
    ) -> None:
        """Guards against a wait that starts at the takeover."""
        leases = leasebounds.inherit(leasebounds.NO_BOUNDS, 100.0, 10.0)
        self.assertAlmostEqual(100.0 + 10.0 * _DRIFT + 1.0, leases.until('w'))

    def test_a_published_bound_goes_on(self) -> None:
        """Guards against a wait that each takeover starts again."""
        bounds = leasebounds.LeaseBounds({'w0': 4.0})
        leases = leasebounds.inherit(bounds, 100.0, 10.0)
        self.assertAlmostEqual(100.0 + 4.0 * _DRIFT, leases.until('w0'))
        self.assertGreater(leases.until('w1'), 110.0)

    def test_a_holder_that_granted_nothing_adds_nothing(self) -> None:
        """Guards against a longer wait after a holder that ended early."""
        first = leasebounds.inherit(leasebounds.NO_BOUNDS, 100.0, 10.0)
        second = leasebounds.inherit(first.bounds(103.0), 103.5, 10.0)
        left_s = first.until('w') - 103.0
        self.assertAlmostEqual(
            103.5 + left_s * _DRIFT, second.until('w'), places=2
        )

    def test_bounds_are_never_rounded_down(self) -> None:
        """Guards against a second run while the first has a millisecond."""
        self.assertEqual(1.001, leasebounds.seconds_left(1.0001, 0.0))
        self.assertEqual(0.0, leasebounds.seconds_left(1.0, 2.0))


class BoundLeasesTest(unittest.TestCase):
    """Which workers a holder publishes, and with which bounds."""

    def test_only_silent_workers_with_members_are_bounded(self) -> None:
        """Guards against a worker that is kept from leases for no reason."""
        board = build_board('w0', 'w1', 'w2')
        board.record_entry(fleetbuilders.build_entry('idle'), 0.0)
        board.inherited_leases = leasebounds.InheritedLeases(8.0)
        for worker_id in ('w1', 'w2'):
            board.workers_by_id[worker_id].polled_at = 1.0
        board.workers_by_id['w2'].record_failed_call(1.0)
        soon = runleases.bound_leases(board, 1.5)
        self.assertEqual({'w0': 6.5}, soon.left_s_by_worker_id)
        later = runleases.bound_leases(board, 2.0)
        self.assertEqual({'w0', 'w2'}, set(later.left_s_by_worker_id))

    def test_a_lease_of_the_holder_itself_counts(self) -> None:
        """Guards against a bound that ends before the holder's own lease."""
        board = build_board('w0')
        worker = board.workers_by_id['w0']
        worker.polled_at, worker.clock_at = 1.0, 1.0
        worker.clock_s, worker.lease_end = 50.0, 58.0
        worker.record_failed_call(1.0)
        left_s = runleases.bound_leases(board, 3.0).left_s_by_worker_id['w0']
        self.assertGreaterEqual(left_s, 6.0)

    def test_the_row_stays_below_the_limit_of_the_store(self) -> None:
        """Guards against renewals that the store refuses for their size."""
        board = build_board(*(f'{n:0>60}' for n in range(2000)))
        bounds = runleases.bound_leases(board, 0.0)
        row = shards.LeaseRow('h', 1, lease_bounds=bounds)
        self.assertLess(len(msgspec.json.encode(row)), 40_000)
        self.assertGreater(len(bounds.left_s_by_worker_id), 300)


class ExpiredLeasesTest(unittest.TestCase):
    """What is published of a worker on which every lease has expired.

    The pattern: two members of a gang are lost at different times, and
    holders change meanwhile; the row of the gang is written at its end only.
    """

    def setUp(self) -> None:
        self.board = build_board('w0')
        self.worker = self.board.workers_by_id['w0']
        self.board.inherited_leases = leasebounds.InheritedLeases(8.0)
        runleases.expire_workers(self.board, 8.5, 0)

    def find_bounds(self, now: float) -> dict[str, float]:
        """Return the bounds that are published at ``now``."""
        return runleases.bound_leases(self.board, now).left_s_by_worker_id

    def test_a_successor_need_not_wait_for_it_again(self) -> None:
        """Guards against a wait that each takeover starts again."""
        self.assertEqual({}, self.worker.members)
        self.assertEqual({'w0': 0.0}, self.find_bounds(9.0))
        self.board.remove_worker('w0')
        self.assertEqual({'w0': 0.0}, self.find_bounds(9.0))

    def test_a_worker_that_answers_may_have_leases(self) -> None:
        """Guards against a worker that is kept from leases for no reason."""
        self.worker.polled_at = 9.0
        self.assertEqual({}, self.find_bounds(9.1))

    def test_it_is_forgotten(self) -> None:
        """Guards against a row that grows with each worker that is lost."""
        self.assertEqual({}, self.find_bounds(60.0))


class _Publisher:
    """Publishes the bounds that a test sets."""

    def __init__(self) -> None:
        self.bounds = leasebounds.NO_BOUNDS

    def report_takeover(
        self, earlier: shards.EarlierHolder | None, now: float
    ) -> shards.HolderReport:
        return shards.HolderReport(lease_bounds=self.bounds)

    def report(self, now: float) -> shards.HolderReport:
        return shards.HolderReport(lease_bounds=self.bounds)


class PublishedBoundsTest(unittest.IsolatedAsyncioTestCase):
    """Leases are withheld while a row that may be stored says so."""

    async def asyncSetUp(self) -> None:
        self.store = fakestore.FakeStore()
        self.publisher = _Publisher()
        self.lease = shards.ShardLease(
            builders.build_settings(), self.store, 'a', self.publisher
        )
        await self.lease.step(0.0)
        self.publisher.bounds = leasebounds.LeaseBounds({'w0': 5.0})
        await self.lease.step(1.0)
        self.publisher.bounds = leasebounds.NO_BOUNDS

    def check_covers(self, is_covered: bool) -> None:
        """Check whether the worker w0 gets no lease."""
        bounds = self.lease.published_bounds
        self.assertIs(is_covered, bounds.covers('w0'))
        self.assertFalse(bounds.covers('w1'))

    async def test_a_confirmed_row_without_a_worker_releases_it(self) -> None:
        """Guards against a worker whose lease is never extended again."""
        self.check_covers(True)
        await self.lease.step(2.0)
        self.check_covers(False)

    async def test_an_unknown_outcome_releases_no_worker(self) -> None:
        """Guards against a lease that a successor does not expect."""
        for fault in (fakestore.Fault.UNAVAILABLE, fakestore.Fault.LATE):
            with self.subTest(fault=fault):
                self.store.faults = [fault]
                self.store.reads_available = False
                await self.lease.step(2.0)
                self.check_covers(True)
        self.store.reads_available = True
        await self.lease.step(3.0)
        self.check_covers(False)

    async def test_a_row_under_way_withholds_the_lease_already(self) -> None:
        """Guards against an extension between the report and its row."""
        await self.lease.step(2.0)
        self.publisher.bounds = leasebounds.LeaseBounds({'w0': 5.0})
        self.store.before_write = lambda: self.check_covers(True)
        await self.lease.step(3.0)
        self.check_covers(True)

    async def test_an_older_row_bounds_nothing(self) -> None:
        """Guards against trust in a build that publishes no bounds."""
        row = table.Row(
            'shard/a/lease', b'{"holder": "h", "renewal": 3}', 1, ''
        )
        decoded = shards.read_lease_row(row)
        assert decoded is not None
        self.assertEqual(leasebounds.NO_BOUNDS, decoded.lease_bounds)


if __name__ == '__main__':
    unittest.main()
