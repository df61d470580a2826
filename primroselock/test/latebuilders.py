"""A day on which orders come late: what it costs, in virtual time.

A share of the orders and polls of each worker gets no answer, and those that
change something are carried out seconds later.  Jobs of three queues arrive
meanwhile, so that urgent work preempts other work.  Everything follows from a
seed.
"""

import asyncio
import dataclasses
import statistics
import typing
from unittest import mock

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import loadbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

_LATE_S: typing.Final = (2.0, 12.0)
_SETTLE_S: typing.Final = 1.0
_MAX_DRAIN_S: typing.Final = 120.0


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """A day: ``share`` of the orders is late while jobs arrive.

    ``demand`` is that of ``loadbuilders.submit_jobs``.
    """

    share: float
    seed: int = 1
    workers: int = 24
    demand: float = 0.6
    arrival_s: float = 24.0


@dataclasses.dataclass(slots=True)
class Outcome:
    """What a day has cost.

    ``preemptions_by_job`` counts the attempts that were preempted,
    ``preemptions_by_group`` by job and group.  Work that was lost is in
    accelerator-seconds.
    """

    jobs: int = 0
    tasks: int = 0
    runs: int = 0
    lost_work_s: float = 0.0
    preemptions_by_job: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    preemptions_by_group: dict[tuple[str, typing.Any], int] = (
        dataclasses.field(default_factory=dict)
    )
    first_starts_s: list[float] = dataclasses.field(default_factory=list)
    ended_s: float = 0.0
    unfinished: list[str] = dataclasses.field(default_factory=list)
    violations: list[str] = dataclasses.field(default_factory=list)

    @property
    def runs_per_task(self) -> float:
        """Return how many runs a task took in the mean."""
        return self.runs / self.tasks if self.tasks else 0.0

    @property
    def most_preemptions(self) -> int:
        """Return how many attempts of one job were preempted at most."""
        return max(self.preemptions_by_job.values(), default=0)

    @property
    def most_of_one_group(self) -> int:
        """Return how often one group was preempted at most."""
        return max(self.preemptions_by_group.values(), default=0)

    @property
    def mean_preemptions(self) -> float:
        """Return how many attempts of a job were preempted in the mean."""
        return sum(self.preemptions_by_job.values()) / max(self.jobs, 1)

    def describe(self) -> str:
        """Return the figures as a line of text."""
        starts = sorted(self.first_starts_s) or [0.0]
        late_s = starts[min(len(starts) - 1, int(len(starts) * 0.95))]
        return (
            f'{self.jobs} jobs, {self.tasks} tasks, '
            f'{self.runs_per_task:.2f} runs per task; preemptions of one job: '
            f'most {self.most_preemptions}, mean {self.mean_preemptions:.2f}, '
            f'of one group: most {self.most_of_one_group}; '
            f'lost work {self.lost_work_s:.0f} s; first start: half within '
            f'{statistics.median(starts):.2f} s, 95 of 100 within '
            f'{late_s:.2f} s; over after {self.ended_s:.1f} s, '
            f'{len(self.unfinished)} jobs not ended, '
            f'{len(self.violations)} violations'
        )


class _Recorder:
    """Notes preemptions and first starts of a day."""

    def __init__(
        self, world: fleetbuilders.World, day_outcome: Outcome
    ) -> None:
        self._outcome = day_outcome
        self._graphs_by_id = world.fleet.graphs_by_id
        self._begun: set[str] = set()
        world.fleet.begin_hooks.append(self._note_start)

    def _note_start(
        self,
        worker: simulatedworker.FakeWorker,
        live: simulatedworker.LiveRun,
    ) -> None:
        job_id = live.run.task.job_id
        if job_id in self._begun:
            return
        self._begun.add(job_id)
        accepted_s = self._graphs_by_id[job_id].accepted_ms / 1000
        self._outcome.first_starts_s.append(clock.wall() - accepted_s)

    def note_decision(
        self, event: str, job: livejobs.LiveJob, values: dict[str, typing.Any]
    ) -> None:
        """Count a decision if it is a preemption."""
        if event != 'preempted':
            return
        job_id = job.graph.id
        by_job = self._outcome.preemptions_by_job
        by_job[job_id] = by_job.get(job_id, 0) + 1
        key = (job_id, tuple(values['group']))
        by_group = self._outcome.preemptions_by_group
        by_group[key] = by_group.get(key, 0) + 1


def _count_tasks(graph: jobgraph.JobGraph) -> int:
    return sum(step.tasks for step in graph.steps)


async def _wait_for_ends(world: fleetbuilders.World, ids: list[str]) -> None:
    until = clock.monotonic() + _MAX_DRAIN_S
    while clock.monotonic() < until and any(
        world.state(job_id) not in ('done', 'failed') for job_id in ids
    ):
        await asyncio.sleep(0.1)


async def _play(day: Day) -> Outcome:
    outcome = Outcome()
    world = fleetbuilders.World(day.seed, 0)
    loadbuilders.add_workers(world, day.workers)
    recorder = _Recorder(world, outcome)
    record = fleet.ShardBoard.record_decision

    def record_and_note(
        board: fleet.ShardBoard,
        event: str,
        job: livejobs.LiveJob,
        **values: typing.Any,
    ) -> None:
        recorder.note_decision(event, job, values)
        record(board, event, job, **values)

    with mock.patch.object(
        fleet.ShardBoard, 'record_decision', record_and_note
    ):
        world.add_node('entry-1')
        await asyncio.sleep(_SETTLE_S)
        world.fleet.late_s = _LATE_S
        world.fleet.has_late_stops = True
        for worker in world.fleet.workers_by_id.values():
            worker.delayed_order_share = worker.unanswered_poll_share = (
                day.share
            )
        started = clock.monotonic()
        ids = await loadbuilders.submit_jobs(
            world, day.demand, day.arrival_s, day.seed
        )
        for worker in world.fleet.workers_by_id.values():
            worker.delayed_order_share = worker.unanswered_poll_share = 0.0
        await _wait_for_ends(world, ids)
    outcome.ended_s = clock.monotonic() - started
    outcome.jobs = len(ids)
    outcome.tasks = sum(map(_count_tasks, world.fleet.graphs_by_id.values()))
    outcome.runs = world.fleet.starts
    outcome.lost_work_s = world.fleet.lost_work_s
    outcome.unfinished = [
        job_id for job_id in ids if world.state(job_id) != 'done'
    ]
    await world.close()
    outcome.violations = world.fleet.violations
    return outcome


def play(day: Day) -> Outcome:
    """Play a day in virtual time; return what it has cost."""

    async def run_all(virtual: virtualtime.VirtualClock) -> Outcome:
        return await _play(day)

    return virtualtime.run(run_all)
