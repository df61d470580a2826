"""Learns what run times to expect, by queue and by client account.

The callers' estimates may be wrong, and nobody else says how long a task
will run.  Tasks of one queue are alike, so its runs give a line from the
estimates to run times; an account whose callers estimate otherwise, or whose
work is longer, has a factor of its own, which counts the more the more of its
runs are known.  A new account is expected to be like its queue.

All run times are at the usual speed of a worker: what a run took is
multiplied by the speed of the worker where it ran, and what is expected on a
worker is divided by it.

What is kept is bounded: the kinds that were not seen for longest are dropped.
"""

import dataclasses
import math
import typing

from primroselock.decisions.runtimes import quantiles
from primroselock.decisions.runtimes import regression

_MAX_QUEUES: typing.Final = 64
_MAX_KINDS: typing.Final = 512
"""Default limits of what is kept; a kind is a pair of queue and account."""

_SETTLED_WEIGHT: typing.Final = 3.5
"""Weight of the runs of a queue from which its line predicts: how far
earlier runs were off tells nothing.  About four runs, and the same number of
predictions must be known before their quantiles are used."""

_MIN_SIBLINGS: typing.Final = 3
_MIN_ENDED_SHARE: typing.Final = 0.5
"""Run times of a step that must be known before they are used, and their
share of its tasks: the first to end are the shortest."""

_ACCOUNT_PRIOR_RUNS: typing.Final = 8.0
"""Runs by which the factor of an account is pulled to that of its queue."""

_UPPER_SHARE: typing.Final = 0.95
_MAX_LOG_RATIO: typing.Final = math.log(10.0)
"""A run counts as at most ten times as long or as short as expected: one
that hangs must not change what is expected of the others."""

MIN_TIME_S: typing.Final = 0.001
"""Shorter times and estimates are taken as this."""

StepKey = tuple[str, int]
"""A job's id and the number of a step."""


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """What tasks that are alike have in common."""

    queue: str
    account: str


@dataclasses.dataclass(slots=True)
class Deviation:
    """How an account differs from its queue: a decayed mean of logarithms."""

    total: float = 0.0
    weight: float = 0.0

    def record(self, log_ratio: float, weight: float) -> None:
        """Record the logarithm of a ratio to what its queue predicts."""
        self.scale(regression.DECAY**weight)
        self.total += log_ratio * weight
        self.weight += weight

    def scale(self, factor: float) -> None:
        """Multiply the weight of all runs by ``factor``."""
        self.total *= factor
        self.weight *= factor

    @property
    def log_factor(self) -> float:
        """Return the logarithm of the account's factor."""
        return self.total / (self.weight + _ACCOUNT_PRIOR_RUNS)


@dataclasses.dataclass(slots=True)
class QueueTimes:
    """What was learned of the tasks of a queue."""

    line: regression.Regression = dataclasses.field(
        default_factory=regression.Regression
    )
    spread: quantiles.Spread = dataclasses.field(
        default_factory=quantiles.Spread
    )


@dataclasses.dataclass(slots=True)
class RunTimes:
    """Observed run times at the usual speed, by queue, account and step.

    At most ``max_queues`` queues and ``max_kinds`` kinds are kept.  An
    estimate within a factor of ``trusted_ratio`` of what is expected is used
    as it is; 1 trusts none.
    ``changes`` counts the runs recorded.
    """

    by_queue: dict[str, QueueTimes] = dataclasses.field(default_factory=dict)
    deviations_by_kind: dict[Kind, Deviation] = dataclasses.field(
        default_factory=dict
    )
    by_step: dict[StepKey, list[float]] = dataclasses.field(
        default_factory=dict
    )
    max_queues: int = _MAX_QUEUES
    max_kinds: int = _MAX_KINDS
    trusted_ratio: float = 1.0
    changes: int = 0

    def record(
        self,
        kind: Kind,
        estimate_s: float,
        took_s: float,
        weight: float = 1.0,
    ) -> None:
        """Record a run time in seconds, as on a worker of usual speed.

        The tasks of a step are alike, so that each has the ``weight`` of its
        share of the step: one wide step must not stand for its account.
        """
        times = self.by_queue.pop(kind.queue, None) or QueueTimes()
        own = self.deviations_by_kind.pop(kind, None) or Deviation()
        estimate_s = _usable(estimate_s, times)
        took_s = max(took_s, MIN_TIME_S)
        off = math.log(took_s) - times.line.predict_log(estimate_s)
        off = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, off))
        if times.line.weight >= _SETTLED_WEIGHT:
            times.spread.record(off - own.log_factor, weight)
        own.record(off, weight)
        times.line.record(
            estimate_s,
            math.exp(times.line.predict_log(estimate_s) + off),
            weight,
        )
        # Inserted last, so that what was not seen for longest is dropped.
        self.by_queue[kind.queue] = times
        self.deviations_by_kind[kind] = own
        self.changes += 1
        _drop_oldest(self.by_queue, self.max_queues)
        _drop_oldest(self.deviations_by_kind, self.max_kinds)

    def record_unfinished(
        self,
        kind: Kind,
        estimate_s: float,
        worked_s: float,
        weight: float = 1.0,
    ) -> None:
        """Record that a task would have run for longer than ``worked_s``.

        In seconds at the usual speed.  Less than is expected tells nothing.
        """
        if worked_s > self.expected_s(kind, estimate_s):
            self.record(kind, estimate_s, worked_s, weight)

    def record_sibling(self, step: StepKey, took_s: float) -> None:
        """Record the run time of a group of a step, at the usual speed."""
        self.by_step.setdefault(step, []).append(took_s)

    def drop_job(self, job_id: str, steps: int) -> None:
        """Drop the run times of a job's steps."""
        for number in range(steps):
            self.by_step.pop((job_id, number), None)

    def expected_s(self, kind: Kind, estimate_s: float) -> float:
        """Return the run time that half of such tasks do not exceed.

        In seconds, on a worker of usual speed; the estimate itself while
        nothing is known.  Without an estimate (0) it is the usual time.
        """
        times = self.by_queue.get(kind.queue)
        if times is None:
            return estimate_s
        expected_s = self._predict_s(times, kind, estimate_s)
        is_trusted = (
            expected_s / self.trusted_ratio
            <= estimate_s
            <= expected_s * self.trusted_ratio
        )
        return estimate_s if is_trusted else expected_s

    def _predict_s(
        self, times: QueueTimes, kind: Kind, estimate_s: float
    ) -> float:
        """Return what the queue's line and the account's factor predict."""
        own = self.deviations_by_kind.get(kind)
        log_factor = own.log_factor if own is not None else 0.0
        log_s = times.line.predict_log(_usable(estimate_s, times))
        return math.exp(log_s + log_factor)

    def upper_s(
        self, kind: Kind, estimate_s: float, share: float = _UPPER_SHARE
    ) -> float | None:
        """Return the run time that ``share`` of such tasks do not exceed.

        In seconds, on a worker of usual speed.  None if too few are known.
        """
        times = self.by_queue.get(kind.queue)
        if times is None or times.spread.weight < _SETTLED_WEIGHT:
            return None
        ratio = times.spread.quantile(share)
        return self._predict_s(times, kind, estimate_s) * ratio

    def longest_sibling_s(self, step: StepKey, groups: int) -> float | None:
        """Return the longest run time of a step, in seconds.

        None means that too few of its ``groups`` have ended.
        """
        siblings = self.by_step.get(step, ())
        needed = max(_MIN_SIBLINGS, groups * _MIN_ENDED_SHARE)
        return max(siblings) if len(siblings) >= needed else None

    def longest_s(
        self, kind: Kind, step: StepKey, groups: int, estimate_s: float
    ) -> float | None:
        """Return the upper limit of a task's usual run time, in seconds.

        ``groups`` is the number of groups of the step.

        It is the longest run time of the same step, which predicts the
        task better than the rest of the queue.  If too few tasks of the
        step have ended, it is the estimate or the upper quantile of such
        tasks, whichever is larger.  None means that too few are known.
        """
        sibling_s = self.longest_sibling_s(step, groups)
        if sibling_s is not None:
            return sibling_s
        upper_s = self.upper_s(kind, estimate_s)
        return None if upper_s is None else max(estimate_s, upper_s)


def _usable(estimate_s: float, times: QueueTimes) -> float:
    """Return an estimate, or the usual one in place of none."""
    if estimate_s <= 0:
        return times.line.usual_estimate_s
    return max(estimate_s, MIN_TIME_S)


def _drop_oldest(by_key: dict[typing.Any, typing.Any], most: int) -> None:
    """Drop the entry that was inserted first if there are too many."""
    if len(by_key) > most:
        del by_key[next(iter(by_key))]
