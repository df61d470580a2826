"""Observed run times, used since the callers' estimates may be wrong.

The last run times of each queue are kept, and those of each step of each
job.  An estimate that differs from the median of its queue by more than a
factor of 3 is replaced by that median.
"""

import collections
import dataclasses
import statistics
import typing

_HISTORY_LENGTH: typing.Final = 64
"""Number of run times that are kept for each queue."""

_MIN_SAMPLES: typing.Final = 8
"""Run times of a queue that must be known before they are used."""

_MIN_SIBLINGS: typing.Final = 3
_MIN_ENDED_SHARE: typing.Final = 0.5
"""Run times of a step that must be known before they are used, and their
share of its tasks: the first to end are the shortest."""

_MAX_ESTIMATE_RATIO: typing.Final = 3.0
_UPPER_QUANTILE: typing.Final = 0.95

StepKey = tuple[str, int]
"""A job's id and the number of a step."""


@dataclasses.dataclass(slots=True)
class LearnedTimes:
    """Observed run times in seconds, by queue and by step."""

    by_queue: dict[str, collections.deque[float]] = dataclasses.field(
        default_factory=dict
    )
    by_step: dict[StepKey, list[float]] = dataclasses.field(
        default_factory=dict
    )

    def record(self, queue: str, step: StepKey, took_s: float) -> None:
        """Record the run time of work that ran from beginning to end."""
        recent = self.by_queue.setdefault(
            queue, collections.deque(maxlen=_HISTORY_LENGTH)
        )
        recent.append(took_s)
        self.by_step.setdefault(step, []).append(took_s)

    def drop_job(self, job_id: str, steps: int) -> None:
        """Drop the run times of a job's steps."""
        for number in range(steps):
            self.by_step.pop((job_id, number), None)

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return the estimate, or the queue's median if they differ much."""
        recent = self.by_queue.get(queue, ())
        if len(recent) < _MIN_SAMPLES:
            return estimate_s
        median_s = statistics.median(recent)
        if (
            median_s / _MAX_ESTIMATE_RATIO
            <= estimate_s
            <= median_s * _MAX_ESTIMATE_RATIO
        ):
            return estimate_s
        return median_s

    def longest_sibling_s(self, step: StepKey, groups: int) -> float | None:
        """Return the longest run time of a step, in seconds.

        None means that too few of its ``groups`` have ended.
        """
        siblings = self.by_step.get(step, ())
        needed = max(_MIN_SIBLINGS, groups * _MIN_ENDED_SHARE)
        return max(siblings) if len(siblings) >= needed else None

    def longest_s(
        self, queue: str, step: StepKey, groups: int, estimate_s: float
    ) -> float | None:
        """Return the upper limit of a task's usual run time, in seconds.

        ``groups`` is the number of groups of the step.

        It is the longest run time of the same step, which predicts the
        task better than the rest of the queue.  If too few tasks of the
        step have ended, it is the estimate or the queue's 0.95 quantile,
        whichever is larger.  None means that too few have ended there too.
        """
        sibling_s = self.longest_sibling_s(step, groups)
        if sibling_s is not None:
            return sibling_s
        recent = sorted(self.by_queue.get(queue, ()))
        if len(recent) < _MIN_SAMPLES:
            return None
        return max(estimate_s, recent[int(len(recent) * _UPPER_QUANTILE)])
