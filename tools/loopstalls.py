"""Measures how long a shard holder's event loop stands still for big jobs.

    python -m tools.loopstalls --output figures.json

A whole node runs on a simulated store and simulated workers.  Time jumps
while nothing is to be done, and else passes with the processor time of the
process, so that other programs on the machine change little.  Each step of
the node's tasks is timed.  Each case is played at four sizes, on 8 workers
and on 270:

- ``present``: a repeated job of which all occurrences are due, and the only
  worker that they may use is there; ``lost``: it crashes and leaves, while
  some of them run; ``any``: every worker may run them.
- ``ends``: small tasks of one step that end with the one worker that runs
  them; ``report``: tasks of one step that end in one report.
- ``listing``: jobs that a new holder reads when it takes over.

Calls are simulated: the time to encode and decode them is not included, and
that to build the simulated answers is.  The slope is that of a straight line
through the longest steps, the growth the exponent between the first and the
last size: 1.0 is linear.
"""

import argparse
import asyncio
from collections import abc
import contextlib
import dataclasses
import gc
import json
import math
import os
import pathlib
import sys
import time
import typing
from unittest import mock

import msgspec

from primroselock.decisions import fleetround
from primroselock.decisions import slices
from primroselock import jobgraph
from primroselock import logs
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_SIZES: typing.Final = (500, 1000, 2000, 5000)
_WORKERS: typing.Final = (8, 270)
_LABEL: typing.Final = 'needed'
_TASK_MS: typing.Final = 400
_RUN_S: typing.Final = 6.0
_SMALL_TASK: typing.Final = jobgraph.Resources(10, 10, 0)
_SIMULATED: typing.Final = ('FakeFleet', 'Scenario')
"""Tasks of these classes are not the node's."""

_OVER: typing.Final = object()


@dataclasses.dataclass(slots=True)
class Recording:
    """The times of the steps of a node's tasks and of its rounds, in ms.

    ``worst`` names the task of the longest step.  ``collection_ms`` is the
    longest garbage collection, which is part of some step.
    """

    longest_ms: float = 0.0
    longest_cpu_ms: float = 0.0
    worst: str = ''
    collection_ms: float = 0.0
    collection_began_s: float = 0.0
    rounds_ms: list[float] = dataclasses.field(default_factory=list)
    longest_by_task: dict[str, float] = dataclasses.field(default_factory=dict)

    def add(self, task: str, wall_ms: float, cpu_ms: float) -> None:
        """Add one step of a task."""
        self.longest_ms = max(self.longest_ms, wall_ms)
        known = self.longest_by_task.get(task, 0.0)
        self.longest_by_task[task] = max(known, cpu_ms)
        if cpu_ms > self.longest_cpu_ms:
            self.longest_cpu_ms, self.worst = cpu_ms, task

    def note_collection(
        self, phase: str, information: dict[str, typing.Any]
    ) -> None:
        """Time a collection; to be called before and after it."""
        if phase == 'start':
            self.collection_began_s = time.thread_time()
            return
        took_ms = (time.thread_time() - self.collection_began_s) * 1000
        self.collection_ms = max(self.collection_ms, took_ms)


class WorkingClock(virtualtime.VirtualClock):
    """A virtual clock that also advances with the process's work."""

    def __init__(self) -> None:
        self._jumped_s = 0.0
        super().__init__()

    @property
    def now(self) -> float:
        """The time in seconds."""
        return self._jumped_s + time.thread_time()

    @now.setter
    def now(self, value: float) -> None:
        self._jumped_s = value - time.thread_time()


@contextlib.contextmanager
def record_steps() -> abc.Iterator[Recording]:
    """Time each step of the node's tasks, and each round."""
    recording = Recording()
    run_step = asyncio.events.Handle._run
    begin_round = fleetround.begin

    def time_step(handle: asyncio.Handle) -> None:
        task = getattr(handle._callback, '__self__', None)  # type: ignore
        wall_s, cpu_s = time.perf_counter(), time.thread_time()
        run_step(handle)
        if not isinstance(task, asyncio.Task):
            return
        name = getattr(task.get_coro(), '__qualname__', '')
        if not name.startswith(_SIMULATED):
            recording.add(
                name,
                (time.perf_counter() - wall_s) * 1000,
                (time.thread_time() - cpu_s) * 1000,
            )

    def time_round(*arguments: typing.Any) -> slices.Slices:
        parts, round_ms = begin_round(*arguments), 0.0
        while True:
            cpu_s = time.thread_time()
            is_over = next(parts, _OVER) is _OVER
            round_ms += (time.thread_time() - cpu_s) * 1000
            if is_over:
                recording.rounds_ms.append(round_ms)
                return
            yield

    with (
        mock.patch.object(asyncio.events.Handle, '_run', time_step),
        mock.patch.object(fleetround, 'begin', time_round),
    ):
        gc.callbacks.append(recording.note_collection)
        try:
            yield recording
        finally:
            gc.callbacks.remove(recording.note_collection)


class Scenario:
    """A simulated cluster in which one of the cases is played."""

    def __init__(self, size: int, workers: int) -> None:
        self.size = size
        self.workers = workers
        self.recording = Recording()
        self.violations = 0

    async def play(
        self, case: 'Case', virtual: virtualtime.VirtualClock
    ) -> None:
        """Play a case and keep what was recorded."""
        world = fleetbuilders.World(0, self.workers)
        self.label_worker(world)
        with record_steps() as self.recording:
            await case(self, world)
        await world.close()
        self.violations = len(world.fleet.violations)

    def label_worker(self, world: fleetbuilders.World) -> None:
        """Give the first worker a label, and room for many small tasks."""
        known = world.fleet.workers_by_id['w0'].entry
        entry = dataclasses.replace(known, labels=(*known.labels, _LABEL))
        world.fleet.workers_by_id['w0'].entry = entry
        world.write_entry(entry)

    async def begin(
        self, world: fleetbuilders.World, *graphs: jobgraph.JobGraph
    ) -> None:
        """Start a node and hand in jobs."""
        world.add_node('entry-1')
        await asyncio.sleep(1.0)
        for graph in graphs:
            world.submit(graph)

    def lose_worker(self, world: fleetbuilders.World) -> None:
        """Let the labelled worker crash and leave."""
        world.fleet.crash(world.fleet.workers_by_id['w0'])
        world.delete_entry('w0')

    def repeated(self, label: str) -> jobgraph.JobGraph:
        """Return a job of which all occurrences are due."""
        step = fleetbuilders.build_step(1, 1, _TASK_MS, label=label)
        return msgspec.structs.replace(
            fleetbuilders.build_graph('j', step),
            occurrences=self.size,
            first_due_ms=1,
            period_ms=1,
        )

    def many_tasks(self, expected_ms: int) -> jobgraph.JobGraph:
        """Return a job of small tasks for the labelled worker."""
        step = jobgraph.Step(self.size, _SMALL_TASK, expected_ms, label=_LABEL)
        return fleetbuilders.build_graph('j', step)


Case = abc.Callable[
    [Scenario, fleetbuilders.World],
    abc.Coroutine[typing.Any, typing.Any, None],
]
cases_by_name: typing.Final[dict[str, Case]] = {}


def case(name: str) -> abc.Callable[[Case], Case]:
    """Register the decorated case."""

    def register(play: Case) -> Case:
        cases_by_name[name] = play
        return play

    return register


@case('present')
async def _play_present(
    scenario: Scenario, world: fleetbuilders.World
) -> None:
    await scenario.begin(world, scenario.repeated(_LABEL))
    await asyncio.sleep(_RUN_S)


@case('lost')
async def _play_lost(scenario: Scenario, world: fleetbuilders.World) -> None:
    await scenario.begin(world, scenario.repeated(_LABEL))
    await asyncio.sleep(1.0)
    scenario.lose_worker(world)
    # Its leases run out meanwhile.
    await asyncio.sleep(_RUN_S * 3)


@case('any')
async def _play_any(scenario: Scenario, world: fleetbuilders.World) -> None:
    await scenario.begin(world, scenario.repeated(''))
    await asyncio.sleep(_RUN_S)


@case('ends')
async def _play_ends(scenario: Scenario, world: fleetbuilders.World) -> None:
    await scenario.begin(world, scenario.many_tasks(600_000))
    await asyncio.sleep(_RUN_S * 3)
    scenario.lose_worker(world)
    await asyncio.sleep(_RUN_S * 3)


@case('report')
async def _play_report(scenario: Scenario, world: fleetbuilders.World) -> None:
    await scenario.begin(world, scenario.many_tasks(600_000))
    await asyncio.sleep(_RUN_S * 3)
    worker = world.fleet.workers_by_id['w0']
    for live in list(worker.runs.values()):
        live.ends_at = 0.0
    await asyncio.sleep(_RUN_S)


@case('listing')
async def _play_listing(
    scenario: Scenario, world: fleetbuilders.World
) -> None:
    step = fleetbuilders.build_step(4, 1, 600_000)
    for number in range(scenario.size):
        world.submit(fleetbuilders.build_graph(f'j{number}', step))
    await scenario.begin(world)
    await asyncio.sleep(_RUN_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Figures:
    """What was measured in one play; times are in milliseconds.

    ``wall_ms`` is the longest step by the real clock, ``longest_ms`` by
    processor time, ``round_ms`` the 99th part of the rounds, and
    ``collection_ms`` the longest garbage collection.
    """

    case: str
    workers: int
    size: int
    longest_ms: float
    wall_ms: float
    collection_ms: float
    round_ms: float
    rounds: int
    worst: str
    violations: int
    by_task: dict[str, float]


def measure(name: str, workers: int, size: int) -> Figures:
    """Play a case once."""
    scenario = Scenario(size, workers)
    play = cases_by_name[name]

    async def run(virtual: virtualtime.VirtualClock) -> None:
        await scenario.play(play, virtual)

    virtualtime.run(run, WorkingClock())
    recording = scenario.recording
    longest = sorted(
        recording.longest_by_task.items(), key=lambda entry: -entry[1]
    )
    return Figures(
        name,
        workers,
        size,
        round(recording.longest_cpu_ms, 1),
        round(recording.longest_ms, 1),
        round(recording.collection_ms, 1),
        round(_high_part(recording.rounds_ms), 1),
        len(recording.rounds_ms),
        recording.worst,
        scenario.violations,
        {task: round(ms, 1) for task, ms in longest[:4]},
    )


def _high_part(values: list[float]) -> float:
    """Return the value that 99 of 100 do not exceed."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[math.ceil(len(ordered) * 0.99) - 1]


def _slope(points: abc.Sequence[tuple[int, float]]) -> float:
    """Return the slope of the least squares line, per 1,000 units."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    over = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return 1000 * over / sum((x - mean_x) ** 2 for x, _ in points)


def _growth(points: abc.Sequence[tuple[int, float]]) -> float:
    """Return the exponent between the first and the last point."""
    (first_x, first_y), (last_x, last_y) = points[0], points[-1]
    return math.log(last_y / first_y) / math.log(last_x / first_x)


def _measure_line(
    name: str, workers: int, sizes: abc.Sequence[int]
) -> list[Figures]:
    """Play a case at all sizes and print the figures."""
    line = []
    for size in sizes:
        figures = measure(name, workers, size)
        line.append(figures)
        print(
            f'| {name} | {workers} | {size} | {figures.longest_ms} '
            f'| {figures.wall_ms} | {figures.collection_ms} '
            f'| {figures.round_ms} | {figures.rounds} '
            f'| {figures.worst} |',
            flush=True,
        )
        if figures.violations:
            print(f'{figures.violations} rules broken', flush=True)
    if len(line) > 1:
        points = [(one.size, one.longest_ms) for one in line]
        print(
            f'{name}, {workers} workers: {_slope(points):.1f} ms more for '
            f'1,000 more, growth {_growth(points):.2f}',
            flush=True,
        )
    return line


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--cases', nargs='+', default=list(cases_by_name), metavar='CASE'
    )
    parser.add_argument('--sizes', nargs='+', type=int, default=_SIZES)
    parser.add_argument('--workers', nargs='+', type=int, default=_WORKERS)
    parser.add_argument('--output', type=pathlib.Path)
    return parser.parse_args()


def main() -> int:
    """Measure the chosen cases; return 1 if a rule was broken."""
    arguments = _parse_arguments()
    # The log is written as in service, and its lines are dropped.
    with open(os.devnull, 'w', encoding='utf-8') as sink:
        with contextlib.redirect_stderr(sink):
            logs.configure('json')
        print(
            '| case | workers | size | longest step ms | by the clock ms '
            '| longest collection ms | 99 of 100 rounds ms | rounds '
            '| task of the longest step |'
        )
        print('|---|---|---|---|---|---|---|---|---|')
        figures = [
            one
            for name in arguments.cases
            for workers in arguments.workers
            for one in _measure_line(name, workers, arguments.sizes)
        ]
    if arguments.output is not None:
        rows = [dataclasses.asdict(one) for one in figures]
        arguments.output.write_text(json.dumps(rows, indent=1) + '\n')
    return 1 if any(one.violations for one in figures) else 0


if __name__ == '__main__':
    sys.exit(main())
