"""The benchmark of expected run times, on the runs that were recorded."""

import unittest

from primroselock.decisions.runtimes import learner
from tools import runtimes

_LEARNED = 'learned, by reported speed'
_BASELINES = ('estimate', 'queue median')
_TOOK_S = 10.0


class BenchmarkTest(unittest.TestCase):
    """What the holder expects is nearer to run times than the baselines."""

    def test_learned_times_are_nearer_than_the_baselines(self) -> None:
        """The pattern: callers that are off, and workers of two speeds."""
        for name, errors in runtimes.measure_all().items():
            for baseline in _BASELINES:
                with self.subTest(name, baseline=baseline):
                    learned, other = errors[_LEARNED], errors[baseline]
                    self.assertLess(learned.median, other.median)
                    self.assertLess(learned.upper, other.upper)


class ReportTest(unittest.TestCase):
    """When the rate of a recorded run is known."""

    def test_a_report_comes_before_the_end(self) -> None:
        run = _build_run(_TOOK_S)
        self.assertEqual(run.started_s + 2.0, run.reported_s)

    def test_a_long_run_needs_several_reports(self) -> None:
        run = _build_run(20.0)
        self.assertEqual(run.started_s + 4.0, run.reported_s)

    def test_a_short_run_tells_its_rate_at_its_end(self) -> None:
        run = _build_run(1.5)
        self.assertEqual(run.ended_s, run.reported_s)

    def test_a_slow_worker_is_known_before_its_run_ends(self) -> None:
        """Guards against runs on slow workers that end too late to tell."""
        known = runtimes.LearnedByReports()
        runs = [
            _build_run(_TOOK_S, worker='w1'),
            _build_run(_TOOK_S, worker='w2'),
            _build_run(2 * _TOOK_S, worker='slow'),
        ]
        for run in runs:
            known.report(run)
        usual_s = known.expected_s(_build_run(_TOOK_S, worker='w3'))
        slow_s = known.expected_s(_build_run(_TOOK_S, worker='slow'))
        self.assertGreater(slow_s, 1.5 * usual_s)


def _build_run(took_s: float, worker: str = 'w0') -> runtimes.RecordedRun:
    return runtimes.RecordedRun(
        ended_s=100.0 + took_s,
        took_s=took_s,
        estimate_s=_TOOK_S,
        kind=learner.Kind('q', 'a'),
        step=('j', 0),
        is_gang=False,
        workers=(worker,),
        weight=1.0,
    )


if __name__ == '__main__':
    unittest.main()
