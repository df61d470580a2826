"""Builders of the load of a large shard: many workers, jobs and faults.

The load follows a seed: jobs of three queues arrive at random times, and
their demand, relative to the workers' accelerators, is a parameter.  Two
functions slow the rounds of the holder down or count what they call.
"""

import asyncio
from collections import abc
import contextlib
import dataclasses
import random
import typing
from unittest import mock

import msgspec

from primroselock import clock
from primroselock.decisions import fleetround
from primroselock.decisions import slices
from primroselock import jobgraph
from primroselock.test import fleetbuilders
from primroselock.test import idlebuilders
from primroselock.test import virtualtime

_RACK_SIZE: typing.Final = 20
_ZONES: typing.Final = ('a', 'b', 'c', 'd', 'e')


@dataclasses.dataclass(frozen=True, slots=True)
class JobKind:
    """Jobs of one queue: ``share`` of the demand in accelerator-seconds."""

    queue: str
    share: float
    tasks: int
    accelerators: tuple[int, ...]
    cpu_millis: int
    run_ms: int
    gang_share: float

    @property
    def mean_work_s(self) -> float:
        """Return the mean accelerator-seconds of a job."""
        mean = sum(self.accelerators) / len(self.accelerators)
        return self.tasks * mean * self.run_ms / 1000


KINDS: typing.Final = (
    JobKind('batch', 0.45, 13, (1, 1, 2, 4, 8), 26_000, 6_800, 0.4),
    JobKind('urgent', 0.25, 5, (1, 1, 2, 4, 8), 7_500, 2_500, 0.4),
    JobKind('bulk', 0.30, 38, (1,), 5_600, 6_100, 0.0),
)

_MILLIS_PER_ACCELERATOR: typing.Final = 8000
"""Thousandths of a core that weigh as much as an accelerator."""

JobBuilder = abc.Callable[[str, random.Random], jobgraph.JobGraph]
_varied_builders: typing.Final[list[JobBuilder]] = []
_wide_builders: typing.Final[list[JobBuilder]] = []


def varied(build: JobBuilder) -> JobBuilder:
    """Register a builder of jobs for :func:`submit_varied_jobs`."""
    _varied_builders.append(build)
    return build


def wide(build: JobBuilder) -> JobBuilder:
    """Register a builder of jobs that only the wide soak submits."""
    _wide_builders.append(build)
    return build


def add_workers(world: fleetbuilders.World, count: int) -> None:
    """Add workers in racks of 20, spread evenly over five zones."""
    for number in range(count):
        rack = number // _RACK_SIZE
        world.add_worker(
            fleetbuilders.build_entry(
                f'n{number:03}', f'r{rack}', _ZONES[rack % len(_ZONES)]
            )
        )


def build_job(
    kind: JobKind, name: str, source: random.Random
) -> jobgraph.JobGraph:
    """Return a job of a kind, its size drawn from ``source``."""
    accelerators = source.choice(kind.accelerators)
    is_gang = source.random() < kind.gang_share
    tasks = max(1, round(kind.tasks * source.uniform(0.5, 1.5)))
    step = fleetbuilders.build_step(
        tasks=tasks,
        accelerators=accelerators,
        expected_ms=max(100, int(kind.run_ms * source.uniform(0.5, 1.5))),
        cpu_millis=min(kind.cpu_millis, 8_000 * accelerators),
        gang=is_gang,
        rack_local=is_gang and source.random() < 0.5,
        checkpointing=source.random() < 0.5,
    )
    account = source.choice(('signs', 'merch'))
    return fleetbuilders.build_graph(
        name, step, queue=kind.queue, account=account
    )


async def submit_jobs(
    world: fleetbuilders.World,
    demand: float,
    duration_s: float,
    seed: int = 0,
) -> list[str]:
    """Submit jobs for ``duration_s`` seconds; return their ids.

    ``demand`` is the rate of accelerator-seconds that arrive, as a share
    of all accelerators of the workers.
    """
    source = random.Random(seed)
    accelerators = sum(
        worker.entry.capacity.accelerators
        for worker in world.fleet.workers_by_id.values()
    )
    rates = [
        demand * kind.share * accelerators / kind.mean_work_s for kind in KINDS
    ]
    until = clock.monotonic() + duration_s
    submitted: list[str] = []
    while True:
        await asyncio.sleep(source.expovariate(sum(rates)))
        if clock.monotonic() >= until:
            return submitted
        kind = source.choices(KINDS, rates)[0]
        name = f'{kind.queue}-{len(submitted):05}'
        world.submit(build_job(kind, name, source))
        submitted.append(name)


def _draw_ms(source: random.Random) -> int:
    longest_ms = source.choice((2_000, 2_000, 2_000, 6_000, 6_000, 20_000))
    return int(source.uniform(300, longest_ms))


def _draw_label(source: random.Random) -> str:
    """Return a label of all workers, of one rack, or none."""
    return source.choice(('', '', '', 'kind', f'r{source.randrange(3)}'))


def _build(
    name: str,
    source: random.Random,
    *steps: jobgraph.Step,
    **changes: typing.Any,
) -> jobgraph.JobGraph:
    """Return a job of a random queue and account."""
    return fleetbuilders.build_graph(
        name,
        *steps,
        queue=source.choice(('urgent', 'batch', 'bulk')),
        account=source.choice(('signs', 'merch')),
        **changes,
    )


@varied
def _build_usual(name: str, source: random.Random) -> jobgraph.JobGraph:
    return build_job(source.choice(KINDS), name, source)


@varied
def _build_worker_gang(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a gang of whole workers, up to all of a rack."""
    step = fleetbuilders.build_step(
        source.choice((2, 4, 8, 12, _RACK_SIZE)),
        8,
        _draw_ms(source),
        8_000,
        gang=True,
        rack_local=source.random() < 0.5,
        checkpointing=source.random() < 0.5,
    )
    return _build(name, source, step)


@varied
def _build_wide_gang(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a gang that is wider than one rack."""
    step = fleetbuilders.build_step(
        source.randint(_RACK_SIZE + 1, _RACK_SIZE + 8),
        8,
        _draw_ms(source),
        8_000,
        gang=True,
        rack_local=source.random() < 0.5,
    )
    return _build(name, source, step)


@varied
def _build_rack_gang(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a rack-local gang of parts of workers."""
    step = fleetbuilders.build_step(
        source.randint(2, 40),
        source.choice((1, 2, 4)),
        _draw_ms(source),
        source.choice((1_000, 8_000)),
        gang=True,
        rack_local=True,
        label=_draw_label(source),
    )
    return _build(name, source, step)


@varied
def _build_singles(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a wide step of single tasks; some need cores alone."""
    accelerators = source.choice((0, 1, 1, 2))
    step = fleetbuilders.build_step(
        source.choice((1, 1, 2, 10, 60)),
        accelerators,
        _draw_ms(source),
        source.choice((1_000, 4_000)) if accelerators else 16_000,
        checkpointing=source.random() < 0.5,
        label=_draw_label(source),
    )
    return _build(name, source, step)


@varied
def _build_spread(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a step with at most one task on each worker."""
    step = fleetbuilders.build_step(
        source.randint(1, 50), 1, _draw_ms(source), max_per_worker=1
    )
    return _build(name, source, step)


@varied
def _build_small(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a small gang or a single task."""
    step = fleetbuilders.build_step(
        source.randint(1, 4),
        source.choice((1, 2, 4, 8)),
        _draw_ms(source),
        gang=source.random() < 0.5,
        rack_local=source.random() < 0.5,
        data_rack=source.choice(('', 'r0', 'r2')),
    )
    return _build(name, source, step)


@varied
def _build_chain(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a job of several steps; it may be due more than once."""
    steps = [
        fleetbuilders.build_step(
            source.randint(1, 12),
            source.choice((1, 2, 4)),
            _draw_ms(source) // 2,
            after=tuple(source.sample(range(n), source.randint(0, n))),
            gang=source.random() < 0.4,
            rack_local=source.random() < 0.4,
        )
        for n in range(source.randint(2, 4))
    ]
    return _build(
        name,
        source,
        *steps,
        occurrences=source.choice((1, 1, 2)),
        first_due_ms=int(clock.wall() * 1000),
        period_ms=4_000,
    )


@wide
def _build_lasting(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a long-running job of single tasks or of a gang."""
    is_gang = source.random() < 0.4
    step = fleetbuilders.build_step(
        source.randint(1, 8),
        source.choice((1, 2, 8)),
        15_000,
        source.choice((1_000, 8_000)),
        gang=is_gang,
        rack_local=is_gang and source.random() < 0.5,
        max_per_worker=0 if is_gang else source.choice((0, 0, 1)),
        long_running=True,
        checkpointing=source.random() < 0.5,
    )
    return _build(name, source, step)


@wide
def _build_timed(name: str, source: random.Random) -> jobgraph.JobGraph:
    """Return a job that is due several times, of one or two steps."""
    steps = [
        fleetbuilders.build_step(
            source.randint(1, 12),
            source.choice((1, 2, 8)),
            source.randint(300, 3_000),
            after=(0,) if number else (),
            gang=source.random() < 0.5,
            rack_local=source.random() < 0.5,
        )
        for number in range(source.randint(1, 2))
    ]
    return _build(
        name,
        source,
        *steps,
        occurrences=source.randint(2, 6),
        first_due_ms=int(clock.wall() * 1000) + source.randint(0, 3_000),
        period_ms=source.choice((500, 2_000, 5_000)),
    )


async def submit_varied_jobs(
    world: fleetbuilders.World,
    demand: float,
    duration_s: float,
    source: random.Random,
    is_wide: bool = False,
    adapt: abc.Callable[[jobgraph.JobGraph], jobgraph.JobGraph] | None = None,
) -> None:
    """Submit jobs of all kinds for ``duration_s`` seconds.

    With ``is_wide`` there are also jobs of the wide soak, their queues are
    kept as an intake does, and long-running ones are cancelled after a while.
    A few always fail, a few are cancelled, and run times differ from those
    expected.  ``demand`` is as in :func:`submit_jobs`.  Each job is changed by
    ``adapt`` before it is submitted.
    """
    accelerators = sum(
        worker.entry.capacity.accelerators
        for worker in world.fleet.workers_by_id.values()
    )
    builders = _varied_builders + (_wide_builders if is_wide else [])
    until = clock.monotonic() + duration_s
    number = 0
    while clock.monotonic() < until:
        name = f'v{number:04}'
        number += 1
        graph = source.choice(builders)(name, source)
        if is_wide:
            graph = _keep_queue(world, graph)
        if graph.steps[0].long_running:
            left_s = until - clock.monotonic()
            delay_s = min(source.uniform(10.0, 60.0), left_s)
            world.fleet.spawn(_cancel_later(world, name, delay_s))
        always_fails = source.random() < 0.05
        if always_fails and not graph.steps[0].long_running:
            world.fleet.failing_job_ids.add(name)
        if len(graph.steps) == 1:
            world.fleet.work_s_by_job[name] = (
                graph.steps[0].expected_ms / 1000 * source.uniform(0.7, 1.4)
            )
        world.submit(adapt(graph) if adapt else graph)
        if source.random() < 0.08:
            delay_s = source.uniform(0.0, 6.0)
            world.fleet.spawn(_cancel_later(world, name, delay_s))
        await asyncio.sleep(
            source.expovariate(demand * accelerators / _work_s(graph))
        )


def _keep_queue(
    world: fleetbuilders.World, graph: jobgraph.JobGraph
) -> jobgraph.JobGraph:
    """Return a graph with its queue's terms at acceptance.

    A queue that was removed accepts nothing: the usual terms stand for those
    of a job that was accepted just before.
    """
    current = world.queue_configuration.find_by_name(graph.queue)
    usual = fleetbuilders.QUEUE_CONFIGURATION.find_by_name(graph.queue)
    return msgspec.structs.replace(graph, accepted_queue=current or usual)


async def _cancel_later(
    world: fleetbuilders.World, job_id: str, delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    world.cancel(job_id)


def _work_s(graph: jobgraph.JobGraph) -> float:
    """Return the accelerator-seconds of a job, or what weighs as much."""
    return graph.occurrences * sum(
        step.tasks
        * max(
            step.need.accelerators,
            step.need.cpu_millis / _MILLIS_PER_ACCELERATOR,
        )
        * step.expected_ms
        / 1000
        for step in graph.steps
    )


@contextlib.contextmanager
def slow_rounds(
    virtual: virtualtime.VirtualClock, round_s: float
) -> abc.Iterator[list[float]]:
    """Let each round take ``round_s``; yield the times when rounds began."""
    began: list[float] = []
    begin_round = fleetround.begin

    def run_slowly(*arguments: typing.Any) -> slices.Slices:
        began.append(virtual.now)
        yield from begin_round(*arguments)
        virtual.now += round_s

    with mock.patch.object(fleetround, 'begin', run_slowly):
        yield began


def count_calls(
    site: idlebuilders.Site, owner: object, name: str
) -> tuple[int, int]:
    """Return how many rounds of 2 s there were, and calls of ``name``.

    ``owner`` is the module or class of the function.
    """
    with (
        mock.patch.object(
            fleetround, 'run', wraps=fleetround.run
        ) as run_round,
        mock.patch.object(
            owner, name, autospec=True, side_effect=getattr(owner, name)
        ) as called,
    ):
        site.run_for(2.0)
    return run_round.call_count, called.call_count
