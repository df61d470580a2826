"""Metrics of one process: counters, gauges and latency histograms by name.

The histograms are HDR histograms of durations in microseconds, which
report percentiles.  The names are those of ``/v1/metrics``.
"""

from collections import abc
import typing

from hdrh import histogram

_LOWEST_US: typing.Final = 1
_HIGHEST_US: typing.Final = 3_600_000_000
_SIGNIFICANT_DIGITS: typing.Final = 2
_PERCENTILES: typing.Final = (50.0, 90.0, 99.0, 99.9)


_HELP_BY_NAME: typing.Final = {
    'account_groups_behind': 'Groups that wait beyond an account\'s share.',
    'account_share_used': 'What an account uses, in multiples of its share.',
    'account_quota': 'What an account with a quota may have running.',
    'account_running': 'What may run of an account with a quota.',
    'connections_cut': 'Connections refused or cut at a limit, by address.',
    'crashing_jobs': 'Jobs that this holder failed: they crash workers.',
    'decision_round': 'Duration of a decision round of the shard holder.',
    'decision_late': 'Time by which a decision round began late.',
    'idle_waits': 'Jobs that wait although capacity is free.',
    'known_speeds': 'Workers whose speed is estimated from runs.',
    'late_orders': 'Orders to workers given up since this process was late.',
    'late_polls': 'Polls of workers given up since this process was late.',
    'lease_extensions': 'Calls that only extend the leases of a worker.',
    'looks': 'Polls of workers.',
    'orders_waiting': 'Orders to workers that wait for their turn.',
    'planned_leaves': 'Runs whose worker left as planned under them.',
    'probes': 'Short polls of workers that may be unreachable.',
    'quota_waits': 'Jobs that the quota of their account holds back.',
    'runs_lapsed': 'Runs whose lease lapsed, as this holder saw, by cause.',
    'shards_held': 'Shards whose lease this process holds.',
    'start_order': 'Time until a worker answered a start order.',
    'store_broken_answers': 'Answers of the store that ended midway.',
    'store_long_answer': 'Duration of the bodies of long store answers.',
    'store_received_bytes': 'Bytes of rows received from the store.',
    'store_sent_bytes': 'Bytes of rows sent to the store.',
    'unexpected_runs': 'Runs on workers that no row asks for.',
    'worker_crashes': 'Attempts under which this holder saw a worker crash.',
}


def labelled(name: str, **labels: str) -> str:
    """Return the name of a series of the metric ``name`` with labels."""
    pairs = ','.join(
        f'{key}="{_escape(value)}"' for key, value in labels.items()
    )
    return f'{name}{{{pairs}}}'


def _escape(text: str) -> str:
    """Return a label's value as the text format has it."""
    escaped = text.replace('\\', '\\\\').replace('"', '\\"')
    return escaped.replace('\n', '\\n')


class Metrics:
    """Counters, gauges and histograms, created on first use."""

    def __init__(self) -> None:
        self.counts_by_name: dict[str, int] = {}
        self.gauges_by_name: dict[str, float] = {}
        self._histograms_by_name: dict[str, typing.Any] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self.counts_by_name[name] = self.counts_by_name.get(name, 0) + amount

    def set_gauge(self, name: str, value: float) -> None:
        """Set a value that may rise and fall."""
        self.gauges_by_name[name] = value

    def drop_gauges(self, name: str) -> None:
        """Remove all series of a value that rises and falls."""
        for series in list(self.gauges_by_name):
            if series.partition('{')[0] == name:
                del self.gauges_by_name[series]

    def set_gauges(
        self, name: str, label: str, values: abc.Mapping[str, float]
    ) -> None:
        """Set the series of a gauge by the value of a label.

        A series that is not among ``values`` any more becomes 0.
        """
        for series in self.gauges_by_name:
            if series.startswith(f'{name}{{'):
                self.gauges_by_name[series] = 0.0
        for key, value in values.items():
            self.set_gauge(labelled(name, **{label: key}), float(value))

    def record(self, name: str, seconds: float) -> None:
        """Record a duration; one beyond the range is dropped."""
        durations = self._histograms_by_name.get(name)
        if durations is None:
            durations = histogram.HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histograms_by_name[name] = durations
        durations.record_value(max(_LOWEST_US, int(seconds * 1e6)))

    def snapshot(self) -> dict[str, typing.Any]:
        """Return all counters, and each histogram's percentiles in ms."""
        return {
            'counters': dict(self.counts_by_name),
            'durations_ms': {
                name: _percentiles(durations)
                for name, durations in self._histograms_by_name.items()
            },
        }

    def render_text(self) -> str:
        """Return the metrics in the text format of Prometheus.

        Durations are in seconds.
        """
        lines: list[str] = []
        described: set[str] = set()
        for series, count in sorted(self.counts_by_name.items()):
            name, brace, labels = series.partition('{')
            if name not in described:
                described.add(name)
                lines += _describe(name, f'primroselock_{name}_total')
            lines.append(f'primroselock_{name}_total{brace}{labels} {count}')
        for series, value in sorted(self.gauges_by_name.items()):
            name, brace, labels = series.partition('{')
            if name not in described:
                described.add(name)
                lines += _describe(name, f'primroselock_{name}', 'gauge')
            lines.append(f'primroselock_{name}{brace}{labels} {value:g}')
        for name, durations in sorted(self._histograms_by_name.items()):
            lines += _render_summary(name, durations)
        return '\n'.join([*lines, ''])


def _describe(name: str, metric: str, kind: str = 'counter') -> list[str]:
    """Return the lines that describe a metric."""
    text = _HELP_BY_NAME.get(name, name.replace('_', ' ').capitalize() + '.')
    return [f'# HELP {metric} {text}', f'# TYPE {metric} {kind}']


def _render_summary(name: str, durations: typing.Any) -> list[str]:
    """Return the lines of a histogram, as percentiles in seconds."""
    metric = f'primroselock_{name}_seconds'
    lines = _describe(name, metric, 'summary')
    for percentile in _PERCENTILES:
        value = durations.get_value_at_percentile(percentile) / 1e6
        quantile = f'{percentile / 100:g}'
        lines.append(f'{metric}{{quantile="{quantile}"}} {value:g}')
    count = durations.get_total_count()
    total_s = durations.get_mean_value() * count / 1e6
    lines.append(f'{metric}_sum {total_s:g}')
    lines.append(f'{metric}_count {count}')
    return lines


def _percentiles(durations: typing.Any) -> dict[str, float]:
    values = {
        f'p{percentile:g}': durations.get_value_at_percentile(percentile) / 1e3
        for percentile in _PERCENTILES
    }
    values['count'] = durations.get_total_count()
    return values
