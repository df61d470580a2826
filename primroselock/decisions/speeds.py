"""Estimates the speeds of workers from runs of the same step.

Tasks of one step are alike, so a run that progresses faster than its
siblings on other workers indicates a faster worker.  Each run counts once,
when its rate has become reliable.  The sample for its worker is its rate
relative to the mean rate of its step, where the rates of the siblings are
first corrected by the estimated speeds of their workers.  The first runs of a
step are compared once there are enough others.

Speeds are kept as logarithms, so that twice as fast and half as fast are
at the same distance from the usual speed; estimates from few runs are
shrunk towards the usual speed.
"""

import dataclasses
import math
import typing

StepKey = tuple[str, int]
"""A job's id and the number of a step."""

_MIN_SIBLINGS: typing.Final = 2
"""Runs of a step that must be recorded before another is compared to them."""

_DECAY: typing.Final = 0.9
"""The factor by which each run reduces the weight of earlier ones."""

_PRIOR_RUNS: typing.Final = 0.3
"""The weight of the usual speed in an estimate, as a number of runs."""

_MAX_LOG: typing.Final = math.log(10.0)
"""A sample counts at most as 10 times faster or slower than usual."""

_MAX_COUNT: typing.Final = 1 / (1 - _DECAY) + 0.5
"""More than the weights of any number of runs add up to, when rounded."""


@dataclasses.dataclass(slots=True)
class _Mean:
    """A weighted sum of logarithms of rates or speeds; the sum of weights."""

    total: float = 0.0
    count: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What is kept of a worker's speed for the next holder of the shard.

    It is that of incarnation ``boot``.  ``total`` is a weighted sum of
    logarithms of speeds, and ``count`` the sum of the weights.
    """

    boot: int
    total: float
    count: float

    @property
    def is_possible(self) -> bool:
        """Return whether runs can have led to it."""
        return (
            0 < self.count <= _MAX_COUNT
            and abs(self.total) <= self.count * _MAX_LOG
        )


@dataclasses.dataclass(slots=True)
class _Siblings:
    """The corrected rates of the runs of a step.

    ``first`` are the runs that were not compared yet: the worker, the rate
    and the corrected rate of each.
    """

    mean: _Mean = dataclasses.field(default_factory=_Mean)
    first: list[tuple[str, float, float]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True)
class Speeds:
    """The estimated speeds of workers, relative to the usual speed of 1.

    The estimates of ``changed_ids`` have changed since they were stored.
    What an earlier holder has stored counts once the worker has answered
    as the same incarnation.
    """

    changed_ids: set[str] = dataclasses.field(default_factory=set)
    _inherited_by_worker_id: dict[str, Estimate] = dataclasses.field(
        default_factory=dict
    )
    _by_worker_id: dict[str, _Mean] = dataclasses.field(default_factory=dict)
    _by_step: dict[StepKey, _Siblings] = dataclasses.field(
        default_factory=dict
    )

    def record(self, step: StepKey, worker_id: str, rate_per_s: float) -> None:
        """Record the rate of one run, as the share done per second."""
        seen = math.log(rate_per_s)
        siblings = self._by_step.setdefault(step, _Siblings())
        usual = siblings.mean
        own = seen - self._log_of(worker_id)
        if usual.count < _MIN_SIBLINGS:
            siblings.first.append((worker_id, seen, own))
        else:
            self._add(worker_id, seen - usual.total / usual.count)
            for first_id, first_seen, first_own in siblings.first:
                others = usual.total + own - first_own
                self._add(first_id, first_seen - others / usual.count)
            siblings.first.clear()
        usual.total += own
        usual.count += 1

    def _add(self, worker_id: str, difference: float) -> None:
        difference = max(-_MAX_LOG, min(_MAX_LOG, difference))
        mean = self._by_worker_id.setdefault(worker_id, _Mean())
        mean.total = mean.total * _DECAY + difference
        mean.count = mean.count * _DECAY + 1
        self.changed_ids.add(worker_id)

    def _log_of(self, worker_id: str) -> float:
        mean = self._by_worker_id.get(worker_id)
        return mean.total / (mean.count + _PRIOR_RUNS) if mean else 0.0

    @property
    def known_count(self) -> int:
        """The number of workers with an estimate."""
        return len(self._by_worker_id)

    def speed(self, worker_id: str) -> float:
        """Return a worker's speed relative to the usual speed of 1."""
        return math.exp(self._log_of(worker_id))

    def drop_worker(self, worker_id: str) -> None:
        """Drop the estimate of a worker that restarted or was replaced."""
        if self._by_worker_id.pop(worker_id, None) is not None:
            self.changed_ids.add(worker_id)

    def estimate(self, worker_id: str, boot: int) -> Estimate | None:
        """Return what is known of a worker, whose incarnation is ``boot``."""
        mean = self._by_worker_id.get(worker_id)
        if mean is None:
            return self._inherited_by_worker_id.get(worker_id)
        return Estimate(boot, mean.total, mean.count)

    def inherit(self, worker_id: str, estimate: Estimate, boot: int) -> None:
        """Take over what an earlier holder has stored.

        ``boot`` is the incarnation that has answered, or 0 before one has.
        """
        if estimate.is_possible:
            self._inherited_by_worker_id[worker_id] = estimate
            if boot:
                self.confirm(worker_id, boot)

    def confirm(self, worker_id: str, boot: int) -> None:
        """Use what was inherited if it is of the incarnation that answers.

        What was learned since the takeover counts instead.
        """
        estimate = self._inherited_by_worker_id.pop(worker_id, None)
        if estimate is None or worker_id in self._by_worker_id:
            return
        if estimate.boot == boot:
            self._by_worker_id[worker_id] = _Mean(
                estimate.total, estimate.count
            )

    def drop_job(self, job_id: str, steps: int) -> None:
        """Drop the rates of a job's steps."""
        for number in range(steps):
            self._by_step.pop((job_id, number), None)
