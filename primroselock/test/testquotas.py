"""What an account with a quota may start, and what it may not."""

import dataclasses
import typing
import unittest
from unittest import mock

from primroselock.decisions.accounts import quotas
from primroselock.decisions.accounts import usage
from primroselock.decisions import fleetround
from primroselock.decisions import livejobs
from primroselock.decisions import waiting
from primroselock import jobgraph
from primroselock import queues
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import idlecases
from primroselock.test import quotabuilders

_WORKERS: typing.Final = 4
_TEN: typing.Final = queues.Quota(accelerators=10)
_WAITS: typing.Final = 'waits for its quota'
_EXCEEDS: typing.Final = 'exceeds its quota'


def build_gang(tasks: int, accelerators: int = 1) -> jobgraph.Step:
    """Return a gang."""
    return fleetbuilders.build_step(tasks, accelerators, gang=True)


class QuotaTestCase(unittest.TestCase):
    """A site of 32 accelerators; ``signs`` may use ten of them."""

    def setUp(self) -> None:
        self.site = quotabuilders.QuotaSite(_WORKERS, signs=_TEN)

    def submit(
        self,
        job_id: str,
        step: jobgraph.Step,
        run_s: float = 60.0,
        account: str = 'signs',
        queue: str = 'batch',
    ) -> livejobs.LiveJob:
        """Submit a job of an account."""
        return self.site.submit_for(account, job_id, step, run_s, queue)


class LimitTest(QuotaTestCase):
    """The limit itself."""

    def test_single_tasks_fill_the_quota_and_no_more(self) -> None:
        """Guards against starts over a quota (QUOTA)."""
        job = self.submit('j', fleetbuilders.build_step(25, 1), run_s=1.0)
        self.site.run_for(0.5)
        self.assertEqual(10, self.site.count_running(job))
        self.site.run_for(8.0)
        self.assertEqual(10, self.site.most_by_account['signs'])
        self.assertTrue(job.state.is_final)

    def test_each_resource_is_limited_alone(self) -> None:
        """Guards against a quota of which only one resource counts."""
        for quota in (
            queues.Quota(cpu_millis=3500),
            queues.Quota(memory_mb=3500),
            queues.Quota(accelerators=3),
        ):
            site = quotabuilders.QuotaSite(_WORKERS, signs=quota)
            job = site.submit_for('signs', 'j', fleetbuilders.build_step(8, 1))
            site.run_for(1.0)
            self.assertEqual(3, site.count_running(job), quota)

    def test_a_gang_counts_as_a_whole(self) -> None:
        """Guards against a gang that starts with the room of a task."""
        self.submit('first', build_gang(6))
        gang = self.submit('second', build_gang(5))
        self.site.run_for(2.0)
        self.assertEqual(6, self.site.most_by_account['signs'])
        self.assertEqual(1, self.site.count_events(_WAITS, gang))

    def test_work_that_fills_counts_in_full(self) -> None:
        """Guards against work on spare CPU time beyond the quota."""
        self.site.set_quotas(signs=queues.Quota(cpu_millis=3000))
        step = fleetbuilders.build_step(8, 0, fills=True)
        job = self.submit('j', step)
        self.site.run_for(1.0)
        self.assertEqual(3, self.site.count_running(job))

    def test_lasting_tasks_are_limited(self) -> None:
        """Guards against lasting work that counts once and stays."""
        step = fleetbuilders.build_step(12, 1, long_running=True)
        job = self.submit('j', step)
        self.site.run_for(2.0)
        self.assertEqual(10, self.site.count_running(job))

    def test_a_gang_larger_than_the_quota_waits_alone(self) -> None:
        """Guards against a hopeless gang that holds back its account."""
        hopeless = self.submit('hopeless', build_gang(11))
        self.submit('other', fleetbuilders.build_step(9, 1))
        self.site.run_for(2.0)
        self.assertEqual(9, self.site.most_by_account['signs'])
        self.assertEqual(1, self.site.count_events(_EXCEEDS, hopeless))
        self.assertFalse(hopeless.state.is_final)
        self.site.set_quotas(signs=queues.Quota(accelerators=20))
        self.site.run_for(1.0)
        self.assertEqual(1, self.site.count_running(hopeless))

    def test_accounts_without_a_quota_are_not_limited(self) -> None:
        """Guards against a limit of 0 that allows nothing."""
        job = self.submit(
            'j', fleetbuilders.build_step(25, 1), account='merch'
        )
        self.site.run_for(1.0)
        self.assertEqual(25, self.site.count_running(job))

    def test_nothing_is_counted_without_quotas(self) -> None:
        """Guards against a cost where no configuration has a quota."""
        self.site.set_quotas()
        job = self.submit('j', fleetbuilders.build_step(25, 1))
        with mock.patch.object(usage, 'by_account', autospec=True) as counted:
            self.site.run_for(1.0)
        self.assertEqual(25, self.site.count_running(job))
        self.assertFalse(counted.called)

    def test_what_is_being_stopped_counts(self) -> None:
        """Guards against starts beside runs that have not ended yet."""
        job = self.submit('j', fleetbuilders.build_step(10, 1))
        self.site.run_for(1.0)
        for worker in self.site.workers_by_id.values():
            worker.ignored_stops = 100
        job.request_cancel()
        later = self.submit('later', fleetbuilders.build_step(4, 1))
        self.site.run_for(3.0)
        self.assertEqual(0, self.site.count_running(later))
        for worker in self.site.workers_by_id.values():
            worker.ignored_stops = 0
        self.site.run_for(4.0)
        self.assertEqual(4, self.site.count_running(later))


class ChangeTest(QuotaTestCase):
    """Quotas that change while work runs."""

    def test_a_lowered_quota_stops_nothing(self) -> None:
        """Guards against lost work, and against starts before ends."""
        job = self.submit('j', fleetbuilders.build_step(10, 1), run_s=3.0)
        self.site.run_for(1.0)
        self.site.set_quotas(signs=queues.Quota(accelerators=4))
        later = self.submit('later', fleetbuilders.build_step(8, 1))
        self.site.run_for(1.0)
        self.assertEqual(10, self.site.count_running(job))
        self.assertEqual(0, self.site.count_running(later))
        self.site.run_for(4.0)
        self.assertEqual(4, self.site.count_running(later))

    def test_a_raised_quota_counts_at_once(self) -> None:
        """Guards against an account that waits for a former limit."""
        job = self.submit('j', fleetbuilders.build_step(20, 1))
        self.site.run_for(1.0)
        self.site.set_quotas(signs=queues.Quota(accelerators=15))
        self.site.run_for(0.5)
        self.assertEqual(15, self.site.count_running(job))
        self.site.set_quotas()
        self.site.run_for(0.5)
        self.assertEqual(20, self.site.count_running(job))


class OthersTest(QuotaTestCase):
    """What one account's quota means to the others."""

    def test_others_of_the_same_shape_start(self) -> None:
        """Guards against a shape that counts as unplaceable for all."""
        self.submit('held', fleetbuilders.build_step(12, 1))
        other = self.submit(
            'other', fleetbuilders.build_step(12, 1), account='merch'
        )
        self.site.run_for(0.5)
        self.assertEqual(12, self.site.count_running(other))

    def test_it_stops_nothing_of_others(self) -> None:
        """Guards against room that the account may not use."""
        self.submit('own', fleetbuilders.build_step(2, 5), queue='urgent')
        other = self.submit(
            'other', fleetbuilders.build_step(22, 1), account='merch'
        )
        self.site.run_for(1.0)
        urgent = self.submit('urgent', build_gang(2, 4), queue='urgent')
        self.site.run_for(3.0)
        self.assertEqual(22, self.site.count_running(other))
        self.assertEqual(0, self.site.count_running(urgent))
        self.assertEqual({}, self.site.board.claims_by_group)

    def test_its_claims_are_dropped(self) -> None:
        """Guards against workers kept for work that may not start."""
        self.submit('other', fleetbuilders.build_step(4, 7), account='merch')
        self.site.run_for(0.5)
        gang = self.submit('gang', build_gang(2, 5))
        self.site.run_for(0.5)
        self.assertEqual(1, len(self.site.board.claims_by_group))
        self.site.set_quotas(signs=queues.Quota(accelerators=9))
        self.site.run_for(0.3)
        self.assertEqual({}, self.site.board.claims_by_group)
        self.assertEqual(0, self.site.count_running(gang))

    def test_a_claim_keeps_its_part_of_the_quota(self) -> None:
        """Guards against a gang that has workers in the end, and no quota."""
        self.submit(
            'other',
            fleetbuilders.build_step(4, 7),
            run_s=4.0,
            account='merch',
        )
        self.site.run_for(0.5)
        gang = self.submit('gang', build_gang(2, 5))
        self.site.run_for(0.5)
        singles = self.submit(
            'singles', fleetbuilders.build_step(20, 1), queue='bulk'
        )
        self.site.run_for(5.0)
        self.assertEqual(1, self.site.count_running(gang))
        self.assertEqual(0, self.site.count_running(singles))


class OwnWorkTest(QuotaTestCase):
    """Urgent work of an account whose batch work fills its quota."""

    def test_urgent_work_stops_own_batch_work(self) -> None:
        """Guards against a guarantee without effect beside a quota."""
        batch = self.submit('batch', fleetbuilders.build_step(10, 1))
        other = self.submit(
            'other', fleetbuilders.build_step(10, 1), account='merch'
        )
        self.site.run_for(1.0)
        urgent = self.submit('urgent', build_gang(2, 2), queue='urgent')
        self.site.run_for(1.5)
        self.assertEqual(1, self.site.count_running(urgent))
        self.assertEqual(6, self.site.count_running(batch))
        self.assertEqual(10, self.site.count_running(other))
        self.assertEqual(10, self.site.most_by_account['signs'])

    def test_it_stops_no_more_than_it_needs(self) -> None:
        """Guards against victims of which the others free enough."""
        large = self.submit('large', fleetbuilders.build_step(1, 6))
        small = self.submit('small', fleetbuilders.build_step(4, 1))
        self.site.run_for(1.0)
        self.submit('urgent', build_gang(1, 6), queue='urgent')
        self.site.run_for(1.5)
        self.assertEqual(0, self.site.count_running(large))
        self.assertEqual(4, self.site.count_running(small))

    def test_equally_urgent_work_is_not_stopped(self) -> None:
        """Guards against gangs of an account that stop each other."""
        first = self.submit('first', build_gang(8), queue='urgent')
        self.site.run_for(1.0)
        self.submit('second', build_gang(8), queue='urgent')
        self.site.run_for(3.0)
        self.assertEqual(1, self.site.count_running(first))

    def test_work_that_promises_to_be_available_is_not_stopped(self) -> None:
        """Guards against stops beyond what may be unavailable (AVAIL)."""
        step = fleetbuilders.build_step(
            10, 1, long_running=True, max_unavailable=1
        )
        lasting = self.submit('lasting', step)
        self.site.run_for(1.0)
        self.submit('urgent', build_gang(2), queue='urgent')
        self.site.run_for(2.0)
        self.assertEqual(10, self.site.count_running(lasting))

    def test_a_gang_larger_than_the_quota_stops_nothing(self) -> None:
        """Guards against lost work for what can never start."""
        batch = self.submit('batch', fleetbuilders.build_step(10, 1))
        self.site.run_for(1.0)
        self.submit('urgent', build_gang(11), queue='urgent')
        self.site.run_for(2.0)
        self.assertEqual(10, self.site.count_running(batch))

    def test_a_gang_has_its_turn_before_smaller_work(self) -> None:
        """Guards against a gang that waits while single tasks fill gaps."""
        for number in range(10):
            self.submit(
                f'first-{number}',
                fleetbuilders.build_step(1, 1),
                run_s=2.0 + 0.3 * number,
            )
        self.site.run_for(1.0)
        gang = self.submit('gang', build_gang(5))
        self.site.run_for(0.2)
        later = self.submit('later', fleetbuilders.build_step(40, 1))
        self.site.run_for(3.0)
        self.assertEqual(1, self.site.count_running(gang))
        self.assertLessEqual(self.site.count_running(later), 5)

    def test_a_gang_holds_nothing_back_below_half_of_the_quota(self) -> None:
        """Guards against small work that waits beside idle capacity."""
        self.submit('first', fleetbuilders.build_step(4, 1))
        self.site.run_for(1.0)
        self.submit('gang', build_gang(7))
        small = self.submit('small', fleetbuilders.build_step(1, 1))
        self.site.run_for(0.5)
        self.assertEqual(1, self.site.count_running(small))


class WaitTest(QuotaTestCase):
    """A wait for the quota is no wait for capacity."""

    def test_it_is_logged_once(self) -> None:
        """Guards against a job whose wait has no reason in the log."""
        job = self.submit('j', fleetbuilders.build_step(12, 1))
        self.site.run_for(3.0)
        self.assertEqual(1, self.site.count_events(_WAITS, job))

    def test_it_is_not_reported_beside_free_capacity(self) -> None:
        """Guards against a report of what the quota explains."""
        self.submit('first', fleetbuilders.build_step(10, 1))
        self.site.run_for(0.5)
        self.submit('held', fleetbuilders.build_step(1, 1))
        self.site.run_for(5.0)
        self.assertEqual(0, self.site.board.idle_waits)

    def test_it_costs_no_preferences(self) -> None:
        """Guards against a gang across racks after a wait for its quota."""
        site = quotabuilders.QuotaSite(
            idlebuilders.RACK_SIZE + 2, signs=queues.Quota(accelerators=16)
        )
        self.site = site
        # One whole worker is free in each rack.
        for number in [*range(19), 20]:
            site.occupy(
                f'n{number:03}',
                f'filler-{number}',
                idlecases.build_task(8, 60.0),
                60.0,
            )
        step = fleetbuilders.build_step(2, 8, gang=True, rack_local=True)
        gang = self.submit('gang', step)
        (group,) = gang.groups_by_key.values()
        site.run_for(12.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)
        self.assertLess(group.waited_s(site.now), 1.0)
        site.set_quotas()
        site.run_for(1.0)
        self.assertIs(livejobs.Phase.WAITING, group.phase)

    def test_held_work_costs_no_scan_of_its_groups(self) -> None:
        """Guards against rounds that visit each group over a quota."""
        self.submit('j', fleetbuilders.build_step(500, 1, 60_000))
        self.site.run_for(1.0)
        with mock.patch.object(
            waiting, 'keep_placeable', autospec=True
        ) as visited:
            fleetround.run(
                self.site.board,
                self.site.settings,
                self.site.now,
                self.site.now,
            )
        # The calls are too large to be shown.
        self.assertFalse(visited.called)


class PauseTest(QuotaTestCase):
    """Rounds that are interrupted."""

    def test_a_resumed_round_starts_no_more_than_before(self) -> None:
        """Guards against room that counts twice after a pause."""
        job = self.submit('j', fleetbuilders.build_step(12, 1))
        groups = list(job.groups_by_key.values())
        limits = quotas.RoundQuotas(self.site.board, self.site.now)
        for group in groups[:8]:
            limits.keep(group)
        limits.resume(self.site.now)
        self.assertTrue(limits.allows(groups[8]))
        limits.keep(groups[8])
        limits.keep(groups[9])
        limits.resume(self.site.now)
        self.assertFalse(limits.allows(groups[10]))

    def test_a_quota_that_was_lowered_in_a_pause_counts(self) -> None:
        """Guards against placements by a former configuration."""
        job = self.submit('j', fleetbuilders.build_step(12, 1))
        group = next(iter(job.groups_by_key.values()))
        limits = quotas.RoundQuotas(self.site.board, self.site.now)
        self.site.set_quotas(
            signs=dataclasses.replace(_TEN, accelerators=1),
            merch=queues.Quota(accelerators=1),
        )
        limits.resume(self.site.now)
        self.assertTrue(limits.allows(group))
        limits.take(group)
        self.assertFalse(limits.allows(group))


if __name__ == '__main__':
    unittest.main()
