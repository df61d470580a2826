"""The metrics that only the holder of a shard sets, and takes back."""

import typing

from primroselock import accountviews
from primroselock.decisions import crashlog
from primroselock.decisions import fleet
from primroselock import metrics

_GAUGES: typing.Final = (
    'idle_waits',
    'known_speeds',
    'orders_waiting',
    'tombstones',
    'unexpected_runs',
    'unsettled_members',
)
_BEHIND_GAUGE: typing.Final = 'account_groups_behind'
_SHARE_GAUGE: typing.Final = 'account_share_used'
_LAPSE_GAUGE: typing.Final = 'runs_lapsed'


class HolderGauges:
    """Sets the gauges of a session from its blackboard."""

    def __init__(self, counters: metrics.Metrics) -> None:
        self._metrics = counters
        self._accounts = accountviews.AccountGauges(counters)

    def update(
        self,
        board: fleet.ShardBoard,
        orders_waiting: int,
        tombstones: int,
        now: float,
    ) -> None:
        """Set the gauges after a round; ``now`` is this process's clock."""
        for name, value in (
            ('idle_waits', board.idle_waits),
            ('known_speeds', board.worker_speeds.known_count),
            ('unexpected_runs', board.count_unexpected_runs()),
            ('unsettled_members', board.unsettled_members),
            ('orders_waiting', orders_waiting),
            ('tombstones', tombstones),
            *board.crashes.counts().items(),
        ):
            self._metrics.set_gauge(name, float(value))
        self._accounts.update(board, now)
        notes = board.share_notes
        set_gauges = self._metrics.set_gauges
        set_gauges(_BEHIND_GAUGE, 'account', notes.behind_by_account)
        set_gauges(_SHARE_GAUGE, 'account', notes.used_by_account)
        lapsed = board.lease_lapses.counts_by_cause.items()
        set_gauges(
            _LAPSE_GAUGE,
            'cause',
            {cause.value: count for cause, count in lapsed},
        )

    def clear(self) -> None:
        """Take the values back: this process holds the shard no more."""
        for gauge in (*crashlog.GAUGES, *_GAUGES):
            self._metrics.set_gauge(gauge, 0.0)
        self._accounts.clear()
        for gauge in (_BEHIND_GAUGE, _SHARE_GAUGE):
            self._metrics.set_gauges(gauge, 'account', {})
        self._metrics.set_gauges(_LAPSE_GAUGE, 'cause', {})
