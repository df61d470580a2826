"""Estimates whether jobs can meet their objectives: on time, late, too late.

A job is on time if it ends within its queue's stretch times its critical
path of steps, plus the queue's latency target; up to ``LATE_FACTOR`` times
that it is late, and after that its result is of no use.
"""

import enum
import typing

from primroselock.decisions import livejobs
from primroselock.decisions.runtimes import learner
from primroselock import jobgraph

LATE_FACTOR: typing.Final = 3.0
_MS_PER_S: typing.Final = 1000.0


class Usefulness(enum.IntEnum):
    """The best outcome that the job of a group can still have.

    The result of a job that ends ``TOO_LATE`` is of no use to its caller.
    """

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


def critical_paths_s(
    graph: jobgraph.JobGraph, learned: learner.RunTimes
) -> tuple[float, ...]:
    """Return the critical path from each step, itself included, in seconds."""
    steps = graph.steps
    kind = learner.Kind(graph.queue, graph.account)
    expected = [
        learned.expected_s(kind, step.expected_ms / _MS_PER_S)
        for step in steps
    ]
    paths_s = list(expected)
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            path_s = expected[earlier] + paths_s[number]
            paths_s[earlier] = max(paths_s[earlier], path_s)
    return tuple(paths_s)


def slack_s(
    group: livejobs.Group, wall_s: float, factor: float = 1.0
) -> float:
    """Return how long the group may wait and its job still end in time.

    In seconds; negative if the job will be late, 0 if its queue is unknown.
    ``factor`` multiplies the objective; ``wall_s`` is since the Unix epoch.
    """
    job = group.job
    paths_s = job.critical_paths_s
    if job.queue is None or not paths_s:
        return 0.0
    allowed_s = job.queue.stretch * max(paths_s) + job.queue.latency_target_s
    released_ms = max(
        job.graph.accepted_ms, job.graph.due_ms(group.key.occurrence)
    )
    end_s = released_ms / _MS_PER_S + allowed_s * factor
    return end_s - wall_s - paths_s[group.key.step]


def usefulness(group: livejobs.Group, wall_s: float) -> Usefulness:
    """Return the best outcome of the group's job if it starts now."""
    if slack_s(group, wall_s) >= 0:
        return Usefulness.ON_TIME
    if slack_s(group, wall_s, LATE_FACTOR) >= 0:
        return Usefulness.LATE
    return Usefulness.TOO_LATE
