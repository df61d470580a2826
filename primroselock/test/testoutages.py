"""What runs goes on through an outage of the store, in virtual time.

The pattern: the store is down for 4.2 s, leases of runs are 6 s at most, and
holders of the shard are killed beside it.  Each run that lapses is work that
is thrown away.
"""

import asyncio
import typing
import unittest

from primroselock import clock
from primroselock import jobgraph
from primroselock.test import outagebuilders

_TAKEOVER_S: typing.Final = 1.0
"""A successor extends leases this soon after the store is back."""

_MAX_CALLS_PER_WORKER: typing.Final = 2
"""Calls beside the polls that an outage without a takeover may cost."""


class LiveHolderTest(unittest.TestCase):
    """The holder lives through the outage."""

    def check(
        self, scenario: outagebuilders.Scenario
    ) -> outagebuilders.Outcome:
        """Check that no run lapses in a scenario."""
        outcome = outagebuilders.play(scenario)
        self.assertEqual(0, outcome.lapsed)
        self.assertEqual(outagebuilders.WORKERS, outcome.starts)
        return outcome

    def test_an_outage_alone(self) -> None:
        """Guards against leases extended only as open polls end."""
        for for_s in (4.0, outagebuilders.OUTAGE_S):
            with self.subTest(for_s=for_s):
                scenario = outagebuilders.build_outage(for_s=for_s)
                outcome = self.check(scenario)
                self.assertLessEqual(
                    outcome.extensions,
                    outagebuilders.WORKERS * _MAX_CALLS_PER_WORKER,
                )

    def test_an_outage_in_which_calls_get_no_answer(self) -> None:
        """Guards against a holder that learns late that the store is back."""
        self.check(outagebuilders.build_outage(is_silent=True))

    def test_a_holder_that_is_cut_off_alone(self) -> None:
        """Guards against a takeover in which leases run out."""
        self.check(outagebuilders.cut_holder_off)

    def test_calm_costs_no_further_calls(self) -> None:
        """Guards against extensions while the store confirms the holder."""
        outcome = self.check(outagebuilders.stay_calm)
        self.assertEqual(0, outcome.extensions)

    def test_the_holder_is_not_replaced(self) -> None:
        """Guards against a standby that is there before the old holder."""

        async def scenario(current: outagebuilders.Play) -> None:
            await outagebuilders.build_outage()(current)
            await asyncio.sleep(2.0)
            holder = current.world.find_shard_holder()
            self.assertEqual(1, holder.holder.lease.epoch)

        self.check(scenario)

    def test_no_lease_outlives_the_last_confirmation(self) -> None:
        """Guards against a second run where a successor counts on the bound.

        A holder that nobody confirms extends leases, but never beyond what
        a successor waits for.
        """

        async def scenario(current: outagebuilders.Play) -> None:
            lease = current.world.find_shard_holder().holder.lease
            current.begin_outage()
            until = clock.monotonic() + outagebuilders.LEASE_S
            while clock.monotonic() < until:
                ends = current.read_lease_ends().values()
                bound = lease.confirmed_at + outagebuilders.LEASE_S
                self.assertLessEqual(max(ends, default=0.0), bound)
                await asyncio.sleep(0.05)
            self.assertEqual({}, current.read_lease_ends())
            current.end_outage()

        outcome = outagebuilders.play(scenario)
        self.assertEqual(
            {'store outage': outagebuilders.WORKERS}, outcome.lapses_by_cause
        )


class KilledHolderTest(unittest.TestCase):
    """The holder is killed beside the outage."""

    def test_kills_in_the_middle_and_at_the_end(self) -> None:
        """Guards against a count of the shard lease that starts again."""
        for kills_at in (
            (1.5,),
            (2.1,),
            (4.15,),
            (2.1, 4.15),
            (2.1, 4.2, 6.5),
        ):
            for is_silent in (False, True):
                with self.subTest(kills_at=kills_at, is_silent=is_silent):
                    outcome = outagebuilders.play(
                        outagebuilders.build_outage(
                            *kills_at, is_silent=is_silent
                        )
                    )
                    self.assertEqual(0, outcome.lapsed)

    def check_kills_from_the_start(self, *later: float) -> None:
        """Check that a run lapses only if nobody could extend its lease.

        Its lease ends at most 1 s after the store is back, and nobody may
        extend it before.
        """
        lost: set[jobgraph.TaskName] = set()

        async def scenario(current: outagebuilders.Play) -> None:
            back_at = clock.monotonic() + outagebuilders.OUTAGE_S
            lost.update(
                task
                for task, end in current.read_lease_ends().items()
                if end < back_at + _TAKEOVER_S
            )
            await outagebuilders.build_outage(0.0, *later)(current)

        outcome = outagebuilders.play(scenario)
        self.assertLess(len(lost), outagebuilders.WORKERS)
        self.assertLessEqual(outcome.lapsed_tasks, lost)
        self.assertEqual(outcome.lapsed, len(outcome.lapsed_tasks))

    def test_a_kill_at_the_start(self) -> None:
        """Guards against a takeover for which all leases are too short."""
        self.check_kills_from_the_start()

    def test_three_kills_in_turn(self) -> None:
        """Guards against successors that each begin to wait anew."""
        self.check_kills_from_the_start(2.1, 4.15)

    def test_the_cause_is_told(self) -> None:
        """Guards against lapses of which an operator cannot see the cause."""
        outcome = outagebuilders.play(outagebuilders.build_outage(0.0))
        self.assertEqual(
            {'takeover in a store outage': outcome.lapsed},
            outcome.lapses_by_cause,
        )


if __name__ == '__main__':
    unittest.main()
