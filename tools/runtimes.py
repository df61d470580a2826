"""Measures how far expected run times are off, on recorded runs.

The runs of ``test-data/run-times`` are replayed in the order of their starts:
what is expected of a run follows from the runs that had ended by then, and
from the reports of those that had not.  It prints the median and the 95th
percentile of the error, as the factor between the expected and the observed
time, for each predictor::

    python -m tools.runtimes
    python -m tools.runtimes --output json
"""

import argparse
import collections
from collections import abc
import csv
import dataclasses
import json
import math
import pathlib
import statistics
import typing

from primroselock.decisions.runtimes import learner
from primroselock.decisions import speeds

FOLDER: typing.Final = (
    pathlib.Path(__file__).resolve().parent.parent / 'test-data' / 'run-times'
)
_HISTORY_LENGTH: typing.Final = 64
_MIN_HISTORY: typing.Final = 8
_MAX_ESTIMATE_RATIO: typing.Final = 3.0
_UPPER_SHARE: typing.Final = 0.95
_REPORT_INTERVAL_S: typing.Final = 2.0
"""Workers report their runs at least so often."""

_RELIABLE_SHARE: typing.Final = 0.15
"""The part of a run that must be done for its rate to be reliable."""


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedRun:
    """A run of a task or of a gang; its times are in seconds.

    ``step`` names the job and the step, ``workers`` those of its members.
    ``weight`` is the run's share of those recorded of its step.
    """

    ended_s: float
    took_s: float
    estimate_s: float
    kind: learner.Kind
    step: learner.StepKey
    is_gang: bool
    workers: tuple[str, ...]
    weight: float

    @property
    def started_s(self) -> float:
        """Return when the run began."""
        return self.ended_s - self.took_s

    @property
    def reported_s(self) -> float:
        """Return when a report first gave a reliable rate, or its end did."""
        reports = math.ceil(self.took_s * _RELIABLE_SHARE / _REPORT_INTERVAL_S)
        return self.started_s + min(reports * _REPORT_INTERVAL_S, self.took_s)


@dataclasses.dataclass(frozen=True, slots=True)
class Error:
    """Factors between expected and observed run times."""

    median: float
    upper: float


def read_runs(path: pathlib.Path) -> list[RecordedRun]:
    """Return the runs of a file, in the order of their ends."""
    with path.open(encoding='utf-8', newline='') as lines:
        rows = list(csv.DictReader(lines))
    counts = collections.Counter(_step_of(row) for row in rows)
    return [_read_run(row, 1 / counts[_step_of(row)]) for row in rows]


def _step_of(row: dict[str, str]) -> learner.StepKey:
    return (row['job'], int(row['step']))


def _read_run(row: dict[str, str], weight: float) -> RecordedRun:
    return RecordedRun(
        int(row['end_ms']) / 1000,
        int(row['took_ms']) / 1000,
        int(row['estimate_ms']) / 1000,
        learner.Kind(row['queue'], row['account']),
        _step_of(row),
        row['gang'] == '1',
        tuple(row['workers'].split()),
        weight,
    )


class Predictor(typing.Protocol):
    """Predicts run times from the runs that have ended."""

    def report(self, run: RecordedRun) -> None:
        """Record the rate of a run that may not have ended yet."""

    def record(self, run: RecordedRun) -> None:
        """Record a run that has ended."""

    def expected_s(self, run: RecordedRun) -> float:
        """Return what is expected of a run that starts."""


predictors_by_name: typing.Final[dict[str, type[Predictor]]] = {}


def predictor(name: str) -> abc.Callable[[type[Predictor]], type[Predictor]]:
    """Register the decorated class under ``name``."""

    def register(made: type[Predictor]) -> type[Predictor]:
        predictors_by_name[name] = made
        return made

    return register


@predictor('estimate')
class Estimate:
    """The caller's estimate."""

    def report(self, run: RecordedRun) -> None:
        """Learn nothing."""

    def record(self, run: RecordedRun) -> None:
        """Learn nothing."""

    def expected_s(self, run: RecordedRun) -> float:
        """Return the estimate."""
        return run.estimate_s


@predictor('queue median')
class QueueMedian:
    """The median of the queue, in place of an estimate that is far off it."""

    def __init__(self) -> None:
        self._recent_by_queue: dict[str, collections.deque[float]] = {}

    def report(self, run: RecordedRun) -> None:
        """Learn nothing before the end."""

    def record(self, run: RecordedRun) -> None:
        """Keep the run time among the last of its queue."""
        recent = self._recent_by_queue.setdefault(
            run.kind.queue, collections.deque(maxlen=_HISTORY_LENGTH)
        )
        recent.append(run.took_s)

    def expected_s(self, run: RecordedRun) -> float:
        """Return the estimate or the median."""
        recent = self._recent_by_queue.get(run.kind.queue, ())
        if len(recent) < _MIN_HISTORY:
            return run.estimate_s
        ratio = run.estimate_s / statistics.median(recent)
        if 1 / _MAX_ESTIMATE_RATIO <= ratio <= _MAX_ESTIMATE_RATIO:
            return run.estimate_s
        return statistics.median(recent)


@predictor('learned')
class Learned:
    """The learner, without the speed of workers."""

    def __init__(self) -> None:
        self._times = learner.RunTimes()

    def report(self, run: RecordedRun) -> None:
        """Learn nothing before the end."""

    def record(self, run: RecordedRun) -> None:
        """Record the run time as it was."""
        self._times.record(run.kind, run.estimate_s, run.took_s, run.weight)

    def expected_s(self, run: RecordedRun) -> float:
        """Return what is expected of such a task."""
        return self._times.expected_s(run.kind, run.estimate_s)


@predictor('learned, by speed')
class LearnedBySpeed:
    """The learner, corrected by the speed of the slowest worker."""

    def __init__(self) -> None:
        self._times = learner.RunTimes()
        self._speeds = speeds.Speeds()

    def report(self, run: RecordedRun) -> None:
        """Learn nothing before the end."""

    def record(self, run: RecordedRun) -> None:
        """Record the run time as on a worker of usual speed."""
        self._record_speed(run)
        self._record_time(run)

    def _record_speed(self, run: RecordedRun) -> None:
        # What is recorded of a gang is the time of its slowest member.
        if not run.is_gang:
            self._speeds.record(run.step, run.workers[0], 1 / run.took_s)

    def _record_time(self, run: RecordedRun) -> None:
        usual_s = run.took_s * self._slowest(run)
        self._times.record(run.kind, run.estimate_s, usual_s, run.weight)

    def expected_s(self, run: RecordedRun) -> float:
        """Return what is expected on the workers of the run."""
        usual_s = self._times.expected_s(run.kind, run.estimate_s)
        return usual_s / self._slowest(run)

    def _slowest(self, run: RecordedRun) -> float:
        return min(self._speeds.speed(worker) for worker in run.workers)


@predictor('learned, by reported speed')
class LearnedByReports(LearnedBySpeed):
    """The same, where the rates of runs count from their reports on.

    As the holder does it: a slow worker is known long before its runs end.
    """

    def report(self, run: RecordedRun) -> None:
        """Record the rate of a run."""
        self._record_speed(run)

    def record(self, run: RecordedRun) -> None:
        """Record the run time as on a worker of usual speed."""
        self._record_time(run)


def measure(runs: abc.Sequence[RecordedRun], known: Predictor) -> Error:
    """Return how far a predictor is off, run by run."""
    events = [
        *((run.reported_s, known.report, run) for run in runs),
        *((run.ended_s, known.record, run) for run in runs),
    ]
    events.sort(key=lambda event: event[0])
    position = 0
    errors = []
    for run in sorted(runs, key=lambda run: run.started_s):
        while position < len(events) and events[position][0] <= run.started_s:
            _, learn, seen = events[position]
            learn(seen)
            position += 1
        errors.append(abs(math.log(known.expected_s(run) / run.took_s)))
    errors.sort()
    return Error(
        math.exp(statistics.median(errors)),
        math.exp(errors[int(len(errors) * _UPPER_SHARE)]),
    )


def measure_all() -> dict[str, dict[str, Error]]:
    """Return the errors by file and predictor."""
    return {
        path.stem: {
            name: measure(read_runs(path), make())
            for name, make in predictors_by_name.items()
        }
        for path in sorted(FOLDER.glob('*.csv'))
    }


def main() -> None:
    """Print the errors."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--output', choices=('text', 'json'), default='text')
    arguments = parser.parse_args()
    errors_by_file = measure_all()
    if arguments.output == 'json':
        print(
            json.dumps(
                {
                    name: {
                        key: dataclasses.asdict(error)
                        for key, error in errors.items()
                    }
                    for name, errors in errors_by_file.items()
                }
            )
        )
        return
    for name, errors in errors_by_file.items():
        print(name)
        for key, error in errors.items():
            print(f'  {key:28} {error.median:6.2f} {error.upper:6.2f}')


if __name__ == '__main__':
    main()
