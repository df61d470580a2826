"""Metrics, log formats and the status port of a scheduler."""

import contextlib
import io
import json
import unittest

import structlog

from primroselock import logs
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
            # The histogram keeps two significant digits.
            self.assertAlmostEqual(expected, found[name], delta=1.0)

    def test_counters_add_up(self) -> None:
        recorded = metrics.Metrics()
        recorded.count('lost')
        recorded.count('lost', 2)
        self.assertEqual({'lost': 3}, recorded.snapshot()['counters'])

    def test_series_of_a_gauge_that_are_gone_become_0(self) -> None:
        recorded = metrics.Metrics()
        recorded.set_gauges('account_share_used', 'account', {'a': 1.5})
        recorded.set_gauges('account_share_used', 'account', {'b "1"\n': 2.0})
        metric = 'primroselock_account_share_used'
        lines = recorded.render_text().splitlines()
        self.assertEqual(f'# TYPE {metric} gauge', lines[1])
        self.assertEqual(
            [
                f'{metric}{{account="a"}} 0',
                f'{metric}{{account="b \\"1\\"\\n"}} 2',
            ],
            lines[2:4],
        )

    def test_the_text_describes_each_metric_once(self) -> None:
        recorded = metrics.Metrics()
        for name in ('progress', 'shard'):
            series = metrics.labelled('store_received_bytes', table=name)
            recorded.count(series, 10)
        recorded.set_gauge('shards_held', 1)
        recorded.record('decision_round', 0.002)
        recorded.record('decision_round', 0.004)
        lines = recorded.render_text().splitlines()
        metric = 'primroselock_store_received_bytes_total'
        self.assertEqual(
            [
                f'# HELP {metric} Bytes of rows received from the store.',
                f'# TYPE {metric} counter',
                f'{metric}{{table="progress"}} 10',
                f'{metric}{{table="shard"}} 10',
            ],
            lines[:4],
        )
        self.assertIn('# TYPE primroselock_shards_held gauge', lines)
        self.assertIn('primroselock_shards_held 1', lines)
        metric = 'primroselock_decision_round_seconds'
        self.assertIn(f'# TYPE {metric} summary', lines)
        self.assertIn(f'{metric}_count 2', lines)
        total = next(
            float(line.split(' ')[1])
            for line in lines
            if line.startswith(f'{metric}_sum')
        )
        # The histogram keeps two significant digits.
        self.assertAlmostEqual(0.006, total, delta=0.0001)


class LogTest(unittest.TestCase):
    """Log lines as JSON and for the console."""

    def setUp(self) -> None:
        self.addCleanup(structlog.reset_defaults)

    def log(self, log_format: str) -> str:
        """Return the log output of one event with an exception."""
        out = io.StringIO()
        with contextlib.redirect_stderr(out):
            logs.configure(log_format)
            try:
                raise ValueError('reason')
            except ValueError:
                logs.get('part').exception('failed', zone='a')
        return out.getvalue()

    def test_json_is_one_line(self) -> None:
        text = self.log('json')
        self.assertEqual(1, text.count('\n'))
        event = json.loads(text)
        for name, expected in (
            ('event', 'failed'),
            ('source', 'part'),
            ('zone', 'a'),
            ('level', 'error'),
        ):
            self.assertEqual(expected, event[name])
        self.assertIn('ValueError: reason', event['exception'])

    def test_console_names_the_event(self) -> None:
        text = self.log('console')
        self.assertIn('failed', text)
        self.assertIn('zone=a', text)


class StatusPortTest(unittest.TestCase):
    """A scheduler's status and metrics over HTTP."""

    def test_holder_reports_its_shard(self) -> None:
        with launch.Cluster(['a']) as cluster:
            cluster.start_platform()
            started = cluster.start_daemon('scheduler-a', 'scheduler', 'a')
            cluster.start_worker('worker-a-0', 'a', 'rack-a', 0)
            event = started.wait_event('listening')

            def has_report() -> bool:
                answer = launch.call(event['status'], 'GET', '/v1/status')
                status = answer.json()
                reported = status['workers_heard'] == 1
                return bool(status['holds_shard']) and reported

            launch.wait_for(
                has_report, 'the holder has a report of its worker'
            )
            answer = launch.call(event['status'], 'GET', '/v1/metrics')
            durations = answer.json()['durations_ms']
            self.assertGreater(durations['decision_round']['count'], 0)
            self.assertGreater(durations['worker_exchange']['count'], 0)


if __name__ == '__main__':
    unittest.main()
