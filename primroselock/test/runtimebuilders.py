"""Builds histories of runs for the tests of the learned run times."""

import dataclasses
import math
import random

from primroselock.decisions.runtimes import learner

KIND = learner.Kind('bulk', 'a')
OTHER_ACCOUNT = learner.Kind('bulk', 'b')


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One run: the caller's estimate and the run time, in seconds."""

    estimate_s: float
    took_s: float


def runs_off_by(
    factor: float, count: int, seed: int = 1, noise: float = 0.1
) -> list[Run]:
    """Return runs that take ``factor`` times their estimates."""
    random_source = random.Random(seed)
    return [
        _run(estimate_s, estimate_s * factor, random_source, noise)
        for estimate_s in _estimates(random_source, count)
    ]


def runs_of(
    took_s: float, count: int, seed: int = 1, noise: float = 0.1
) -> list[Run]:
    """Return runs of one length whose estimates tell nothing."""
    random_source = random.Random(seed)
    return [
        _run(estimate_s, took_s, random_source, noise)
        for estimate_s in _estimates(random_source, count)
    ]


def _estimates(random_source: random.Random, count: int) -> list[float]:
    return [math.exp(random_source.uniform(0.0, 3.0)) for _ in range(count)]


def _run(
    estimate_s: float,
    took_s: float,
    random_source: random.Random,
    noise: float,
) -> Run:
    factor = math.exp(random_source.gauss(0.0, noise))
    return Run(estimate_s, took_s * factor)


def record(
    times: learner.RunTimes,
    runs: list[Run],
    kind: learner.Kind = KIND,
) -> None:
    """Record runs of a kind."""
    for run in runs:
        times.record(kind, run.estimate_s, run.took_s)


def median_error(
    times: learner.RunTimes,
    runs: list[Run],
    kind: learner.Kind = KIND,
) -> float:
    """Return the median error of what is expected, as a log ratio."""
    errors = sorted(
        abs(math.log(times.expected_s(kind, run.estimate_s) / run.took_s))
        for run in runs
    )
    return errors[len(errors) // 2]
