"""Loads of several client accounts, which share capacity by weight.

Each test names the load.  The site has ten workers of eight accelerators.
"""

import dataclasses
import typing
import unittest
from unittest import mock

import msgspec

from primroselock.decisions.accounts import shares
from primroselock.decisions.accounts import usage
from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock.test import fleetbuilders
from primroselock.test import idlecases
from primroselock.test import sharebuilders

_WORKERS: typing.Final = 10
_WHOLE_WORKER: typing.Final = 8
_WAITING: typing.Final = 24
"""Waiting jobs of an account that together fill the site and more."""

_RUN_S: typing.Final = 2.0
_EQUAL: typing.Final = {'a': 1.0, 'b': 1.0, 'c': 1.0}
_NONE: typing.Final = {'a': None, 'b': None, 'c': None}


def _count_running(job: livejobs.LiveJob) -> int:
    return sum(
        group.phase is livejobs.Phase.RUNNING
        for group in job.groups_by_key.values()
    )


class FloodTest(unittest.TestCase):
    """One account sends ten times its usual while others send theirs."""

    def flood(
        self, weights_by_account: dict[str, float | None]
    ) -> sharebuilders.AccountLoad:
        """Run 30 s of the load; the accounts together want 1.2 of all."""
        site = sharebuilders.build_site(_WORKERS, weights_by_account)
        load = sharebuilders.AccountLoad(site)
        load.run(30.0, {'a': 10.0, 'b': 1.0, 'c': 1.0})
        return load

    def test_the_others_hardly_wait(self) -> None:
        load = self.flood({'a': 1.0, 'b': 1.0, 'c': 1.0})
        self.assertLess(load.longest_wait_s('b'), 0.5)
        self.assertLess(load.longest_wait_s('c'), 0.5)

    def test_without_weights_the_others_wait_behind_the_flood(self) -> None:
        """Shows that the load is one in which shares matter."""
        load = self.flood({'a': None, 'b': None, 'c': None})
        self.assertGreater(load.longest_wait_s('b'), 2.0)

    def test_the_flood_has_what_the_others_leave(self) -> None:
        """Guards against capacity that is kept free for shares."""
        total = _WORKERS * _WHOLE_WORKER * 30.0
        load = self.flood({'a': 1.0, 'b': 1.0, 'c': 1.0})
        self.assertGreater(sum(load.used_by_account.values()), 0.9 * total)

    def test_weights_may_be_fractions_of_any_size(self) -> None:
        load = self.flood({'a': 0.001, 'b': 0.001, 'c': 1000.0})
        self.assertLess(load.longest_wait_s('b'), 0.5)
        self.assertLess(load.longest_wait_s('c'), 0.5)


class EndlessTest(unittest.TestCase):
    """Accounts with endless work use what their weights say."""

    def setUp(self) -> None:
        self.site = sharebuilders.build_site(_WORKERS, {'a': 1.0, 'b': 3.0})
        self.load = sharebuilders.AccountLoad(self.site)

    def run_and_compare(self, *accounts: str) -> float:
        """Run 20 s; return the part of the first account in the use."""
        before = dict(self.load.used_by_account)
        self.load.run_endless(20.0, accounts, _WAITING)
        used = [
            self.load.used_by_account[account] - before.get(account, 0.0)
            for account in accounts
        ]
        return used[0] / sum(used)

    def test_two_accounts_of_weights_one_and_three(self) -> None:
        self.assertAlmostEqual(0.25, self.run_and_compare('a', 'b'), 1)

    def test_a_new_configuration_changes_the_weights(self) -> None:
        self.run_and_compare('a', 'b')
        self.site.board.queue_configuration = sharebuilders.configure(
            {'a': 3.0, 'b': 1.0}, version=2
        )
        self.load.run_endless(4.0, ('a', 'b'), _WAITING)
        self.assertAlmostEqual(0.75, self.run_and_compare('a', 'b'), 1)

    def test_a_new_account_is_served_as_soon_as_something_ends(self) -> None:
        """Guards against a new account that waits behind all that waits."""
        self.run_and_compare('a', 'b')
        self.site.board.queue_configuration = sharebuilders.configure(
            {'a': 1.0, 'b': 3.0, 'new': 1.0}, version=2
        )
        self.load.send('new')
        self.load.run_endless(_RUN_S + 0.5, ('a', 'b'), _WAITING)
        self.assertLess(self.load.longest_wait_s('new'), _RUN_S + 0.3)

    def test_idle_time_earns_nothing(self) -> None:
        """An account that returns gets its share, not all it had not used."""
        self.load.run_endless(10.0, ('a',), _WAITING)
        part = self.run_and_compare('b', 'a')
        self.assertGreater(part, 0.7)
        self.assertLess(part, 0.8)

    def test_an_account_that_is_alone_has_everything(self) -> None:
        self.load.run_endless(10.0, ('a',), _WAITING)
        total = _WORKERS * _WHOLE_WORKER * 10.0
        self.assertGreater(self.load.used_by_account['a'], 0.9 * total)

    def test_an_account_without_weight_is_never_put_behind(self) -> None:
        """It waits no longer than without any shares."""
        longest_s = []
        for weights in ({'a': 1.0, 'b': 3.0}, {'a': None, 'b': None}):
            site = sharebuilders.build_site(
                _WORKERS, {**weights, 'free': None}
            )
            load = sharebuilders.AccountLoad(site)
            for _ in range(10):
                load.run_endless(1.0, ('a', 'b'), _WAITING)
                load.send('free')
            longest_s.append(load.longest_wait_s('free'))
        with_shares_s, without_s = longest_s
        self.assertLessEqual(with_shares_s, without_s)


class UrgencyTest(unittest.TestCase):
    """Priority and guarantee go before shares."""

    def setUp(self) -> None:
        self.site = sharebuilders.build_site(_WORKERS, _EQUAL)

    def submit(
        self, name: str, account: str, queue: str, tasks: int
    ) -> livejobs.LiveJob:
        """Submit single tasks of whole workers that run for 3 s."""
        step = fleetbuilders.build_step(tasks, _WHOLE_WORKER, 3000)
        return self.site.submit(
            name, step, run_s=3.0, queue=queue, account=account
        )

    def test_urgent_work_of_an_account_far_over_its_share(self) -> None:
        """It goes before less urgent work of an account that has nothing."""
        self.submit('bulk-a', 'a', 'bulk', _WORKERS)
        self.site.run_for(0.5)
        later = self.submit('later', 'b', 'bulk', _WORKERS)
        urgent = self.submit('urgent', 'a', 'batch', _WORKERS)
        self.site.run_for(3.5)
        self.assertEqual(_WORKERS, _count_running(urgent))
        self.assertEqual(0, _count_running(later))

    def test_guaranteed_work_never_lies_beyond_a_share(self) -> None:
        accounts = dict(self.site.board.queue_configuration.accounts_by_name)
        accounts['a'] = dataclasses.replace(
            accounts['a'], guaranteed_accelerators=3 * _WHOLE_WORKER
        )
        self.site.board.queue_configuration = dataclasses.replace(
            self.site.board.queue_configuration, accounts_by_name=accounts
        )
        self.submit('bulk-a', 'a', 'bulk', _WORKERS)
        self.site.run_for(0.5)
        self.submit('urgent-b', 'b', 'urgent', _WORKERS)
        own = self.submit('urgent-a', 'a', 'urgent', 3)
        self.site.run_for(2.0)
        self.assertEqual(3, _count_running(own))

    def test_late_work_within_a_share_goes_before_a_fresh_flood(self) -> None:
        """Guards against a flood that is always in time, and so always first.

        The work of the other account is late already, but still of use.
        """
        self.submit('bulk-a', 'a', 'bulk', _WORKERS)
        self.site.run_for(0.5)
        late = self.submit('late', 'b', 'urgent', 3)
        late.graph = msgspec.structs.replace(
            late.graph, accepted_ms=late.graph.accepted_ms - 8_000
        )
        flood = self.submit('flood', 'a', 'urgent', 3 * _WORKERS)
        self.site.run_for(1.5)
        self.assertEqual(3, _count_running(late))
        self.assertLess(_count_running(flood), _WORKERS)

    def test_work_too_late_to_be_of_use_goes_last_whatever_the_share(
        self,
    ) -> None:
        self.submit('bulk-a', 'a', 'bulk', _WORKERS)
        self.site.run_for(0.5)
        useless = self.submit('useless', 'b', 'bulk', 3)
        useless.graph = msgspec.structs.replace(
            useless.graph, accepted_ms=useless.graph.accepted_ms - 900_000
        )
        useful = self.submit('useful', 'a', 'bulk', _WORKERS)
        self.site.run_for(3.2)
        self.assertEqual(0, _count_running(useless))
        self.assertEqual(_WORKERS, _count_running(useful))

    def test_first_come_first_served_knows_no_shares(self) -> None:
        self.site.settings = fleetbuilders.build_node_settings(
            '[fleet]\nwaiting_order = fifo\n'
        )
        first = self.submit('first', 'a', 'bulk', 3 * _WORKERS)
        self.site.run_for(0.2)
        self.submit('second', 'b', 'bulk', 3)
        self.site.run_for(4.0)
        self.assertEqual(_WORKERS, _count_running(first))

    def test_a_step_is_divided_where_it_passes_the_share(self) -> None:
        """Guards against a wide job that is first with all of its tasks."""
        wide = self.submit('wide', 'a', 'bulk', 3 * _WORKERS)
        other = self.submit('other', 'b', 'bulk', 3)
        self.site.run_for(0.5)
        self.assertEqual(3, _count_running(other))
        self.assertEqual(_WORKERS - 3, _count_running(wide))


class GangTest(unittest.TestCase):
    """Gangs of accounts that are over their share."""

    def test_a_gang_of_an_account_over_its_share_is_not_starved(self) -> None:
        """Others send small work without end, the gang is of its own turn."""
        site = sharebuilders.build_site(_WORKERS, _EQUAL)
        load = sharebuilders.AccountLoad(site)
        load.run_endless(5.0, ('a', 'b'), _WAITING)
        gang = site.submit(
            'gang',
            fleetbuilders.build_step(5, _WHOLE_WORKER, 3000, gang=True),
            run_s=3.0,
            queue='bulk',
            account='a',
        )
        ended_at = None
        while ended_at is None and site.now < 1060.0:
            load.run_endless(0.5, ('a', 'b'), _WAITING)
            if gang.graph.id not in site.board.jobs_by_id:
                ended_at = site.now
        self.assertIsNotNone(ended_at)

    def test_a_claim_beyond_a_share_keeps_nobody_within_it_waiting(
        self,
    ) -> None:
        """Guards against gangs of a flood that hold the free workers."""
        site = sharebuilders.build_site(_WORKERS, _EQUAL)
        site.submit(
            'running',
            fleetbuilders.build_step(7, _WHOLE_WORKER, 20_000),
            run_s=20.0,
            queue='batch',
            account='a',
        )
        site.run_for(0.5)
        site.submit(
            'flood',
            idlecases.build_gang(5),
            run_s=20.0,
            queue='batch',
            account='a',
        )
        site.run_for(0.5)
        self.assertEqual(1, len(site.board.claims_by_group))
        other = site.submit(
            'other',
            fleetbuilders.build_step(3, _WHOLE_WORKER, 5000, gang=True),
            run_s=5.0,
            queue='batch',
            account='b',
        )
        site.run_for(0.3)
        self.assertEqual(1, _count_running(other))


class VictimTest(unittest.TestCase):
    """Of equally cheap victims those of accounts over their share go first."""

    def setUp(self) -> None:
        self.site = sharebuilders.build_site(_WORKERS, _EQUAL)

    def occupy(self, name: str, account: str, tasks: int) -> livejobs.LiveJob:
        """Fill whole workers with tasks of an account for a minute."""
        step = fleetbuilders.build_step(tasks, _WHOLE_WORKER, 60_000)
        job = self.site.submit(
            name, step, run_s=60.0, queue='bulk', account=account
        )
        self.site.run_for(0.2)
        self.assertEqual(tasks, _count_running(job))
        return job

    def preempt(self, workers: int) -> None:
        """Let another account send urgent work that needs whole workers."""
        step = fleetbuilders.build_step(workers, _WHOLE_WORKER, 60_000)
        self.site.submit(
            'urgent', step, run_s=60.0, queue='urgent', account='c'
        )
        self.site.run_for(1.0)

    def test_work_of_the_account_over_its_share_is_stopped(self) -> None:
        """The work within its share began a little later: it is cheaper."""
        over = self.occupy('over', 'a', 8)
        within = self.occupy('within', 'b', 2)
        self.site.run_for(5.0)
        self.preempt(3)
        self.assertEqual(5, _count_running(over))
        self.assertEqual(2, _count_running(within))

    def test_costs_decide_where_they_differ(self) -> None:
        over = self.occupy('over', 'a', 8)
        self.site.run_for(10.0)
        within = self.occupy('within', 'b', 2)
        self.preempt(2)
        self.assertEqual(8, _count_running(over))
        self.assertEqual(0, _count_running(within))

    def test_without_shares_costs_alone_decide(self) -> None:
        self.site.board.queue_configuration = sharebuilders.configure(_NONE)
        over = self.occupy('over', 'a', 8)
        within = self.occupy('within', 'b', 2)
        self.site.run_for(5.0)
        self.preempt(2)
        self.assertEqual(8, _count_running(over))
        self.assertEqual(0, _count_running(within))

    def submit_urgent(
        self, name: str, account: str, tasks: int
    ) -> livejobs.LiveJob:
        """Submit urgent tasks of whole workers that run for a minute."""
        step = fleetbuilders.build_step(tasks, _WHOLE_WORKER, 60_000)
        return self.site.submit(
            name, step, run_s=60.0, queue='urgent', account=account
        )

    def test_beyond_its_share_urgent_work_stops_no_work_within(self) -> None:
        """A flood of urgent work stops its own account's work, or waits."""
        within = self.occupy('within', 'b', 3)
        own = self.occupy('own', 'a', 7)
        self.submit_urgent('flood', 'a', _WORKERS)
        self.site.run_for(5.0)
        self.assertEqual(3, _count_running(within))
        self.assertEqual(0, _count_running(own))

    def test_within_its_share_urgent_work_stops_other_work(self) -> None:
        self.occupy('over', 'b', 7)
        within = self.occupy('within', 'c', 3)
        self.site.run_for(5.0)
        urgent = self.submit_urgent('urgent', 'a', 3)
        self.site.run_for(2.0)
        self.assertEqual(3, _count_running(urgent))
        self.assertEqual(3, _count_running(within))

    def test_each_account_beyond_its_share_stops_its_own_work(self) -> None:
        """Guards against a search without victims that counts for others."""
        self.occupy('within', 'c', 3)
        own = self.occupy('own', 'b', 3)
        self.occupy('urgent-a', 'a', 4)
        self.submit_urgent('a-0', 'a', 4)
        self.site.run_for(1.0)
        urgent = self.submit_urgent('b-0', 'b', 6)
        self.site.run_for(3.0)
        self.assertEqual(0, _count_running(own))
        self.assertGreaterEqual(_count_running(urgent), 3)

    def test_no_work_of_equal_urgency_is_stopped_for_a_share(self) -> None:
        """Stops lose work: a share has to wait until something ends."""
        over = self.occupy('over', 'a', _WORKERS)
        step = fleetbuilders.build_step(2, _WHOLE_WORKER, 1000)
        self.site.submit('new', step, run_s=1.0, queue='bulk', account='b')
        self.site.run_for(30.0)
        self.assertEqual(_WORKERS, _count_running(over))


class ReportTest(unittest.TestCase):
    """What operators see of an account that floods."""

    def setUp(self) -> None:
        self.site = sharebuilders.build_site(_WORKERS, _EQUAL)
        self.load = sharebuilders.AccountLoad(self.site)
        self.site.board.decision_records.clear()

    def test_waiting_work_beyond_a_share_is_counted_and_logged(self) -> None:
        self.load.run(10.0, {'a': 20.0, 'b': 1.0})
        notes = self.site.board.share_notes
        self.assertGreater(notes.used_by_account['a'], 1.5)
        self.assertLess(notes.used_by_account['b'], 1.0)
        self.assertEqual({'a'}, set(notes.behind_by_account))
        lines = [
            record.values['account']
            for record in self.site.board.decision_records
            if record.event == 'work waits beyond the share of its account'
        ]
        # About one a second, once the site is full.
        self.assertEqual({'a'}, set(lines))
        self.assertLessEqual(len(lines), 10)

    def test_nothing_is_shown_while_nothing_waits(self) -> None:
        self.load.run(5.0, {'a': 20.0, 'b': 1.0})
        self.load.run(60.0, {})
        notes = self.site.board.share_notes
        self.assertEqual({}, notes.used_by_account)
        self.assertEqual({}, notes.behind_by_account)

    def test_without_weights_nothing_is_shown(self) -> None:
        self.site.board.queue_configuration = sharebuilders.configure(_NONE)
        self.load.run(5.0, {'a': 20.0, 'b': 1.0})
        self.assertEqual({}, self.site.board.share_notes.used_by_account)


class CostTest(unittest.TestCase):
    """A round with 2,000 waiting groups of 10 accounts."""

    def setUp(self) -> None:
        weights = {f'account-{number}': 1.0 for number in range(10)}
        self.site = sharebuilders.build_site(_WORKERS, weights)
        for number in range(100):
            self.site.submit(
                f'job-{number}',
                fleetbuilders.build_step(20, 1, 60_000),
                run_s=60.0,
                queue='bulk',
                account=f'account-{number % 10}',
            )
        self.site.run_for(0.5)

    def run_round(self) -> None:
        """Run a round at the current time."""
        site = self.site
        fleetround.run(site.board, site.settings, site.now, site.now)

    def test_use_is_counted_once_a_round(self) -> None:
        with mock.patch.object(
            usage, 'by_account', wraps=usage.by_account
        ) as count:
            self.run_round()
        self.assertEqual(1, count.call_count)

    def test_steps_are_ordered_not_groups(self) -> None:
        """A step is divided a few times at most, whatever its width."""
        with mock.patch.object(
            shares, '_insert', wraps=shares._insert
        ) as insert:
            self.run_round()
        # A job needs 2.5 shares, which are 20 parts; none has more parts
        # than groups.
        self.assertLessEqual(insert.call_count, 100 * 20)
        self.assertGreater(insert.call_count, 100)

    def test_without_weights_nothing_is_counted(self) -> None:
        self.site.board.queue_configuration = fleetbuilders.QUEUE_CONFIGURATION
        with mock.patch.object(
            usage, 'by_account', wraps=usage.by_account
        ) as count:
            self.run_round()
        self.assertEqual(0, count.call_count)


if __name__ == '__main__':
    unittest.main()
