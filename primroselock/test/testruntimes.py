"""What is expected of run times: callers that are wrong, work that changes."""

import math
import random
import typing
import unittest

import hypothesis
from hypothesis import strategies
import result

from primroselock.decisions.runtimes import learner
from primroselock.decisions.runtimes import quantiles
from primroselock.decisions.runtimes import regression
from primroselock.decisions.runtimes import stored
from primroselock.test import runtimebuilders

_GOOD: typing.Final = 0.2
"""A median error of a fifth, for runs whose noise is a tenth."""

_WALL_S: typing.Final = 1_700_000_000.0
_ROW_BYTES: typing.Final = 65_000
_TIMES: typing.Final = strategies.floats(0.0, 1e7)


class LearnerTest(unittest.TestCase):
    """The expected run time of tasks of a queue and an account."""

    def setUp(self) -> None:
        self.times = learner.RunTimes()

    def test_without_runs_the_estimate_is_expected(self) -> None:
        self.assertEqual(7.0, self.times.expected_s(runtimebuilders.KIND, 7.0))
        self.assertIsNone(self.times.upper_s(runtimebuilders.KIND, 7.0))

    def test_callers_who_are_right_are_believed(self) -> None:
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(1.0, 60)
        )
        self.assert_good(runtimebuilders.runs_off_by(1.0, 40, seed=2))

    def test_callers_who_always_say_too_little(self) -> None:
        """The pattern: each estimate is a sixth of the run time."""
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(6.0, 60)
        )
        self.assert_good(runtimebuilders.runs_off_by(6.0, 40, seed=2))

    def test_callers_who_say_anything(self) -> None:
        """The pattern: estimates that tell nothing of the run time."""
        runtimebuilders.record(self.times, runtimebuilders.runs_of(5.0, 60))
        self.assert_good(runtimebuilders.runs_of(5.0, 40, seed=2))

    def test_an_estimate_of_nothing_is_the_usual_time(self) -> None:
        runtimebuilders.record(self.times, runtimebuilders.runs_of(5.0, 60))
        expected_s = self.times.expected_s(runtimebuilders.KIND, 0.0)
        self.assertLess(abs(math.log(expected_s / 5.0)), _GOOD)

    def test_work_that_changes_at_once(self) -> None:
        """The pattern: a queue's tasks take ten times as long from now on."""
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(1.0, 500)
        )
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(10.0, 120, seed=2)
        )
        later = runtimebuilders.runs_off_by(10.0, 40, seed=3)
        self.assertLess(
            runtimebuilders.median_error(self.times, later), math.log(1.5)
        )

    def test_an_account_that_estimates_otherwise(self) -> None:
        """The pattern: one account of a queue is off, the others are not."""
        own, other = runtimebuilders.KIND, runtimebuilders.OTHER_ACCOUNT
        for seed in range(60):
            runtimebuilders.record(
                self.times, runtimebuilders.runs_off_by(1.0, 1, seed), other
            )
            runtimebuilders.record(
                self.times, runtimebuilders.runs_off_by(3.0, 1, seed), own
            )
        expected_s = self.times.expected_s(own, 4.0)
        self.assertGreater(expected_s, 8.0)
        self.assertLess(self.times.expected_s(other, 4.0), 6.0)

    def test_a_new_account_is_expected_to_be_like_its_queue(self) -> None:
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(4.0, 60)
        )
        new = learner.Kind('bulk', 'new')
        later = runtimebuilders.runs_off_by(4.0, 40, seed=2)
        self.assertLess(
            runtimebuilders.median_error(self.times, later, new), 0.4
        )

    def test_one_run_that_hangs_changes_little(self) -> None:
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(1.0, 60)
        )
        self.times.record(runtimebuilders.KIND, 5.0, 1e6)
        self.assertLess(self.times.expected_s(runtimebuilders.KIND, 5.0), 6.5)

    def test_tasks_of_which_few_run_far_longer(self) -> None:
        """The pattern: one task in thirty runs seven times as long.

        The expected time is that of the others; the upper one is not below
        theirs, and not that of the few.
        """
        random_source = random.Random(5)
        for run in runtimebuilders.runs_off_by(1.0, 300):
            factor = 7.0 if random_source.random() < 1 / 30 else 1.0
            self.times.record(
                runtimebuilders.KIND, run.estimate_s, run.took_s * factor
            )
        expected_s = self.times.expected_s(runtimebuilders.KIND, 4.0)
        upper_s = self.times.upper_s(runtimebuilders.KIND, 4.0)
        assert upper_s is not None
        self.assertLess(abs(math.log(expected_s / 4.0)), 0.35)
        self.assertGreater(upper_s, 4.0)
        self.assertLess(upper_s, 12.0)

    def test_a_run_that_was_stopped_tells_only_that_it_is_long(self) -> None:
        runtimebuilders.record(self.times, runtimebuilders.runs_of(5.0, 60))
        before = self.times.expected_s(runtimebuilders.KIND, 5.0)
        self.times.record_unfinished(runtimebuilders.KIND, 5.0, 1.0)
        self.assertEqual(
            before, self.times.expected_s(runtimebuilders.KIND, 5.0)
        )
        for _ in range(30):
            self.times.record_unfinished(runtimebuilders.KIND, 5.0, 20.0)
        self.assertGreater(
            self.times.expected_s(runtimebuilders.KIND, 5.0), before * 1.5
        )

    def test_what_is_kept_is_bounded(self) -> None:
        times = learner.RunTimes(max_queues=3, max_kinds=5)
        for number in range(20):
            kind = learner.Kind(f'q{number}', f'a{number}')
            times.record(kind, 1.0, 2.0)
        self.assertEqual(['q17', 'q18', 'q19'], list(times.by_queue))
        self.assertEqual(5, len(times.deviations_by_kind))

    def test_the_first_of_a_step_to_end_tell_nothing_of_the_longest(
        self,
    ) -> None:
        for took_s in (1.0, 2.0, 3.0):
            self.times.record_sibling(('j', 0), took_s)
        self.assertIsNone(self.times.longest_sibling_s(('j', 0), 10))
        self.assertEqual(3.0, self.times.longest_sibling_s(('j', 0), 5))
        self.times.drop_job('j', 1)
        self.assertIsNone(self.times.longest_sibling_s(('j', 0), 5))

    @hypothesis.given(
        runs=strategies.lists(strategies.tuples(_TIMES, _TIMES), max_size=40),
        estimate_s=_TIMES,
    )
    def test_any_times_give_a_time(
        self, runs: list[tuple[float, float]], estimate_s: float
    ) -> None:
        times = learner.RunTimes()
        for estimated_s, took_s in runs:
            times.record(runtimebuilders.KIND, estimated_s, took_s)
        expected_s = times.expected_s(runtimebuilders.KIND, estimate_s)
        self.assertTrue(math.isfinite(expected_s))
        self.assertGreaterEqual(expected_s, 0.0)
        upper_s = times.upper_s(runtimebuilders.KIND, estimate_s)
        if upper_s is not None:
            self.assertTrue(math.isfinite(upper_s))

    def assert_good(self, runs: list[runtimebuilders.Run]) -> None:
        """Check that the expected times of runs are near them."""
        self.assertLess(runtimebuilders.median_error(self.times, runs), _GOOD)


class RegressionTest(unittest.TestCase):
    """The line from estimates to run times."""

    @hypothesis.given(
        factor=strategies.floats(0.1, 10.0),
        estimate_s=strategies.floats(0.1, 100.0),
    )
    def test_a_constant_factor_is_found(
        self, factor: float, estimate_s: float
    ) -> None:
        line = regression.Regression()
        for run in runtimebuilders.runs_off_by(factor, 200, noise=0.0):
            line.record(run.estimate_s, run.took_s)
        expected_s = math.exp(line.predict_log(estimate_s))
        off = abs(math.log(expected_s / (estimate_s * factor)))
        self.assertLess(off, 0.25)


class SpreadTest(unittest.TestCase):
    """Quantiles of decayed counts."""

    def test_without_runs_the_ratio_is_one(self) -> None:
        self.assertEqual(1.0, quantiles.Spread().quantile(0.95))

    @hypothesis.given(
        strategies.lists(strategies.floats(-5.0, 5.0), min_size=1, max_size=60)
    )
    def test_a_higher_share_is_no_lower_ratio(
        self, ratios: list[float]
    ) -> None:
        known = quantiles.Spread()
        for ratio in ratios:
            known.record(ratio)
        known_ratios = [known.quantile(share / 10) for share in range(1, 11)]
        self.assertEqual(sorted(known_ratios), known_ratios)


class StoredTest(unittest.TestCase):
    """The record that a next holder reads."""

    def setUp(self) -> None:
        self.times = learner.RunTimes()
        runtimebuilders.record(
            self.times, runtimebuilders.runs_off_by(3.0, 100)
        )

    def store(self, times: learner.RunTimes, max_bytes: int) -> bytes:
        """Return the record of some run times."""
        value = stored.encode(times, _WALL_S, max_bytes)
        assert value is not None
        return value

    def read(self, value: bytes, wall_s: float) -> learner.RunTimes:
        """Return what is read from a record."""
        read = stored.decode(value, wall_s)
        assert isinstance(read, result.Ok)
        return read.ok_value

    def test_a_successor_expects_the_same(self) -> None:
        read = self.read(self.store(self.times, _ROW_BYTES), _WALL_S)
        for estimate_s in (1.0, 5.0, 20.0):
            kind = runtimebuilders.KIND
            self.assertAlmostEqual(
                self.times.expected_s(kind, estimate_s),
                read.expected_s(kind, estimate_s),
                2,
            )
            self.assertAlmostEqual(
                self.times.upper_s(kind, estimate_s) or 0.0,
                read.upper_s(kind, estimate_s) or 0.0,
                2,
            )

    def test_an_old_record_counts_for_less(self) -> None:
        value = self.store(self.times, _ROW_BYTES)
        day_s = 24 * 3600.0
        late = self.read(value, _WALL_S + day_s)
        kind = runtimebuilders.KIND
        self.assertLess(
            late.by_queue['bulk'].line.weight,
            self.times.by_queue['bulk'].line.weight / 10,
        )
        # New runs replace it soon.
        runtimebuilders.record(late, runtimebuilders.runs_off_by(1.0, 30))
        self.assertLess(late.expected_s(kind, 5.0), 7.5)

    def test_one_of_last_month_counts_for_nothing(self) -> None:
        value = self.store(self.times, _ROW_BYTES)
        read = stored.decode(value, _WALL_S + 30 * 24 * 3600.0)
        self.assertIsInstance(read, result.Err)

    def test_a_clock_that_was_ahead_makes_nothing_newer(self) -> None:
        value = self.store(self.times, _ROW_BYTES)
        read = self.read(value, _WALL_S - 3600.0)
        self.assertAlmostEqual(
            self.times.by_queue['bulk'].line.weight,
            read.by_queue['bulk'].line.weight,
            2,
        )

    def test_a_record_is_no_larger_than_a_row(self) -> None:
        """What was seen last is kept."""
        for queue in range(64):
            for account in range(8):
                kind = learner.Kind(f'queue-{queue}', f'account-{account}')
                runtimebuilders.record(
                    self.times,
                    runtimebuilders.runs_off_by(2.0, 5, account),
                    kind,
                )
        value = self.store(self.times, 8_000)
        self.assertLessEqual(len(value), 8_000)
        read = self.read(value, _WALL_S)
        self.assertIn('queue-63', read.by_queue)
        self.assertNotIn('queue-0', read.by_queue)

    def test_nothing_known_is_no_record(self) -> None:
        self.assertIsNone(
            stored.encode(learner.RunTimes(), _WALL_S, _ROW_BYTES)
        )

    def test_entries_that_no_runs_lead_to_are_left_out(self) -> None:
        bad_queues: tuple[str, ...] = (
            '["q", 0.0, 0.0, 0.0, 0.0, 0.0, []]',
            '["q", 1e9, 0.0, 0.0, 0.0, 0.0, []]',
            '["q", 1.0, 900.0, 0.0, 0.0, 0.0, []]',
            '["q", 1.0, 0.0, -900.0, 0.0, 0.0, []]',
            '["q", 1.0, 0.0, 0.0, 0.0, 0.0, [[64, 1.0]]]',
        )
        for queue in bad_queues:
            text = f'{{"wall_s": 5.0, "queues": [{queue}], "accounts": []}}'
            with self.subTest(queue):
                self.assertEqual({}, self.read(text.encode(), 6.0).by_queue)

    @hypothesis.given(strategies.binary(max_size=200))
    def test_other_bytes_are_no_record(self, value: bytes) -> None:
        self.assertIsInstance(stored.decode(value, _WALL_S), result.Err)


if __name__ == '__main__':
    unittest.main()
