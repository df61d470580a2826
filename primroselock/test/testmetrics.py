"""Metrics, and what a scheduler tells on its own port."""

import unittest

from primroselock import metrics
from standins import launch


class MetricsTest(unittest.TestCase):
    """Counters and percentiles."""

    def test_percentiles_of_a_known_distribution(self) -> None:
        recorded = metrics.Metrics()
        for millisecond in range(1, 101):
            recorded.record('exchange', millisecond / 1e3)
        found = recorded.snapshot()['durations_ms']['exchange']
        self.assertEqual(100, found['count'])
        for name, expected in (('p50', 50), ('p90', 90), ('p99', 99)):
            # Two significant digits are kept.
            self.assertAlmostEqual(expected, found[name], delta=1.0)

    def test_counters_add_up(self) -> None:
        recorded = metrics.Metrics()
        recorded.count('lost')
        recorded.count('lost', 2)
        self.assertEqual({'lost': 3}, recorded.snapshot()['counters'])


class StatusPortTest(unittest.TestCase):
    """A scheduler's status and metrics over HTTP."""

    def test_holder_tells_its_shard(self) -> None:
        with launch.Cluster(['a']) as cluster:
            cluster.start_platform()
            started = cluster.start_daemon('scheduler-a', 'scheduler', 'a')
            cluster.start_worker('worker-a-0', 'a', 'rack-a', 0)
            event = started.wait_event('listening')

            def heard() -> bool:
                answer = launch.call(event['status'], 'GET', '/v1/status')
                status = answer.json()
                heard = status['workers_heard'] == 1
                return bool(status['holds_shard']) and heard

            launch.wait_for(heard, 'the holder has heard its worker')
            answer = launch.call(event['status'], 'GET', '/v1/metrics')
            durations = answer.json()['durations_ms']
            self.assertGreater(durations['decision_round']['count'], 0)
            self.assertGreater(durations['worker_exchange']['count'], 0)


if __name__ == '__main__':
    unittest.main()
