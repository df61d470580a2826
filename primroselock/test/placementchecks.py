"""Checks that a run begins where its queue and its step let it run.

They compare what a worker is and runs with what was asked for, and know
nothing of what a holder believes: a run that is being stopped counts, and so
does one that nobody asked for.
"""

from collections import abc
import typing

from primroselock import jobgraph
from primroselock.test import simulatedworker
from primroselock.workers import orders

Check = abc.Callable[
    [simulatedworker.FakeWorker, orders.Run, jobgraph.JobGraph, abc.Set[str]],
    str,
]
"""Takes the worker, the run, its job and the services of the job's queue;
returns what is wrong, or an empty string."""

_checks: typing.Final[list[Check]] = []


def check(find_problem: Check) -> Check:
    """Register the decorated check of a run that begins."""
    _checks.append(find_problem)
    return find_problem


def list_violations(
    worker: simulatedworker.FakeWorker,
    run: orders.Run,
    graph: jobgraph.JobGraph,
    services: abc.Set[str],
) -> list[str]:
    """Return what is wrong with a run that begins on a worker.

    ``services`` are those to which any configuration has sent the job's
    queue.  The worker's runs do not contain the new one yet.
    """
    problems = [
        find_problem(worker, run, graph, services) for find_problem in _checks
    ]
    return [
        f'{run.task} started on {worker.entry.id} {problem}'
        for problem in problems
        if problem
    ]


def find_overload(
    worker: simulatedworker.FakeWorker, ordered_at: float
) -> str:
    """Return what is wrong with all that a worker runs after a start.

    It was ordered at ``ordered_at``.  Where the worker would have room but for
    runs that an earlier boot was to get, this is told.
    """
    notes = [worker.describe_late(r.ordered_at) for r in worker.runs.values()]
    used = _sum_needs(worker.runs.values())
    if worker.allows(used, ordered_at):
        return ''
    others = [
        live
        for live, note in zip(worker.runs.values(), notes, strict=True)
        if not note
    ]
    explains = worker.allows(_sum_needs(others), ordered_at)
    note = max(notes) if explains else ''
    return f'{worker.entry.id} exceeds its capacity: {used}{note}'


def _sum_needs(
    runs: abc.Iterable[simulatedworker.LiveRun],
) -> jobgraph.Resources:
    used = jobgraph.Resources()
    for live in runs:
        used = used.plus(live.step.counted_need)
    return used


@check
def _check_service(
    worker: simulatedworker.FakeWorker,
    run: orders.Run,
    graph: jobgraph.JobGraph,
    services: abc.Set[str],
) -> str:
    if worker.entry.service in services:
        return ''
    return f'of {worker.entry.service}, where {graph.queue} was never sent'


@check
def _check_label(
    worker: simulatedworker.FakeWorker,
    run: orders.Run,
    graph: jobgraph.JobGraph,
    services: abc.Set[str],
) -> str:
    label = graph.steps[run.task.step].label
    if not label or label in worker.entry.labels:
        return ''
    return f'without the label {label}'


@check
def _check_bound(
    worker: simulatedworker.FakeWorker,
    run: orders.Run,
    graph: jobgraph.JobGraph,
    services: abc.Set[str],
) -> str:
    limit = graph.steps[run.task.step].max_per_worker
    siblings = [
        str(other.task) for other in worker.runs if _same_step(other, run)
    ]
    if not limit or len(siblings) < limit:
        return ''
    return f'beside {", ".join(siblings)}, with a bound of {limit}'


def _same_step(run: orders.Run, other: orders.Run) -> bool:
    return (
        run.task.job_id == other.task.job_id
        and run.task.occurrence == other.task.occurrence
        and run.task.step == other.task.step
    )
