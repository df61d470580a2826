"""Metrics of one process: counters and latency histograms by name.

The histograms are HDR histograms of durations in microseconds, which
report percentiles.  The names are those of ``/v1/metrics``.
"""

import typing

from hdrh import histogram

_LOWEST_US: typing.Final = 1
_HIGHEST_US: typing.Final = 3_600_000_000
_SIGNIFICANT_DIGITS: typing.Final = 2
_PERCENTILES: typing.Final = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """Counters and histograms, created on first use."""

    def __init__(self) -> None:
        self.counts_by_name: dict[str, int] = {}
        self._histograms_by_name: dict[str, typing.Any] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Add ``amount`` to a counter."""
        self.counts_by_name[name] = self.counts_by_name.get(name, 0) + amount

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
        lines = [
            f'primroselock_{name}_total {count}'
            for name, count in sorted(self.counts_by_name.items())
        ]
        for name, durations in sorted(self._histograms_by_name.items()):
            metric = f'primroselock_{name}_seconds'
            for percentile in _PERCENTILES:
                value = durations.get_value_at_percentile(percentile) / 1e6
                quantile = f'{percentile / 100:g}'
                lines.append(f'{metric}{{quantile="{quantile}"}} {value:g}')
            lines.append(f'{metric}_count {durations.get_total_count()}')
        return '\n'.join([*lines, ''])


def _percentiles(durations: typing.Any) -> dict[str, float]:
    values = {
        f'p{percentile:g}': durations.get_value_at_percentile(percentile) / 1e3
        for percentile in _PERCENTILES
    }
    values['count'] = durations.get_total_count()
    return values
