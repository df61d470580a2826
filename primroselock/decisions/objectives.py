"""What a job is still worth to its caller: on time, late, or no more.

A job is on time while it ends within its queue's stretch times its
longest chain of steps and the queue's latency goal; up to
``LATE_FACTOR`` times that it is late, and after that it comes in vain.
"""

import enum
import typing

from primroselock.decisions import fleet
from primroselock.decisions import learnedtimes
from primroselock import jobgraph

LATE_FACTOR: typing.Final = 3.0
_MS_PER_S: typing.Final = 1000.0


class Usefulness(enum.IntEnum):
    """What the end of a group's job can be at best."""

    ON_TIME = 0
    LATE = 1
    TOO_LATE = 2


def critical_paths_s(
    graph: jobgraph.JobGraph, learned: learnedtimes.LearnedTimes
) -> tuple[float, ...]:
    """Return each step's longest chain to the end, itself included."""
    steps = graph.steps
    expected = [
        learned.expected_s(graph.queue, step.expected_ms / _MS_PER_S)
        for step in steps
    ]
    chains = list(expected)
    for number in reversed(range(len(steps))):
        for earlier in steps[number].after:
            chain = expected[earlier] + chains[number]
            chains[earlier] = max(chains[earlier], chain)
    return tuple(chains)


def slack_s(group: fleet.Group, wall_s: float, factor: float = 1.0) -> float:
    """Return how long the group may still wait to end in time.

    ``factor`` stretches the objective; ``wall_s`` is since the Unix epoch.
    """
    job = group.job
    chains = job.critical_paths_s
    if job.queue is None or not chains:
        return 0.0
    allowed_s = job.queue.stretch * max(chains) + job.queue.latency_target_s
    begun_ms = max(
        job.graph.accepted_ms, job.graph.due_ms(group.key.occurrence)
    )
    end_s = begun_ms / _MS_PER_S + allowed_s * factor
    return end_s - wall_s - chains[group.key.step]


def usefulness(group: fleet.Group, wall_s: float) -> Usefulness:
    """Return what the group's job can be at best if it starts now."""
    if slack_s(group, wall_s) >= 0:
        return Usefulness.ON_TIME
    if slack_s(group, wall_s, LATE_FACTOR) >= 0:
        return Usefulness.LATE
    return Usefulness.TOO_LATE
