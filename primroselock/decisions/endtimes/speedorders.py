"""The order in which a group uses workers of different speeds.

Orders are registered by name; the settings choose one.  Lower classes go
first.  ``in_time`` sends urgent work to the fastest workers and other single
tasks to the slowest on which their job still ends in time, so that fast
workers are free when urgent work comes; ``fastest`` looks at the worker only.
"""

from collections import abc
import math
import typing

from primroselock.decisions import livejobs
from primroselock.decisions import waiting

SpeedOrder = abc.Callable[[livejobs.Group, float, float], float]
"""Returns the class of a worker for a group.

The arguments are the group, the worker's speed, and the lowest speed at
which the group's job ends in time with time left for one more run.
"""

orders_by_name: typing.Final[dict[str, SpeedOrder]] = {}

_VERY_SLOW_SPEED: typing.Final = 0.5
"""A worker of this speed or less is used only if no other is free."""

SLOWEST_CLASS: typing.Final = 30.0
"""The speed class of very slow workers, above every other class."""

_TOO_SLOW_CLASS: typing.Final = 15.0
"""Added to the class of a worker on which a job would end late."""

_CLASS_WIDTH: typing.Final = 0.25
"""The width of a speed class as a natural logarithm: about a quarter."""


def order(name: str) -> abc.Callable[[SpeedOrder], SpeedOrder]:
    """Register the decorated order of workers."""

    def register(speed_class: SpeedOrder) -> SpeedOrder:
        orders_by_name[name] = speed_class
        return speed_class

    return register


@order('fastest')
def by_speed(group: livejobs.Group, speed: float, needed: float) -> float:
    """Send gangs and urgent work to fast workers.

    A gang is as slow as its slowest member, and urgent work has little
    slack.  Other work only avoids workers that are much slower than usual.
    """
    if speed <= _VERY_SLOW_SPEED:
        return SLOWEST_CLASS
    if group.size > 1 or waiting.priority(group.job) == waiting.URGENT:
        return _class_of(speed)
    return 0.0


@order('in_time')
def by_end(group: livejobs.Group, speed: float, needed: float) -> float:
    """Send urgent work to fast workers and other work where it may be slow.

    Gangs that are not urgent use any worker that is fast enough.
    """
    if speed <= _VERY_SLOW_SPEED:
        return SLOWEST_CLASS
    speed_class = _class_of(speed)
    if waiting.priority(group.job) == waiting.URGENT:
        return speed_class
    if speed < needed:
        return _TOO_SLOW_CLASS + speed_class
    return 0.0 if group.size > 1 else -speed_class


def _class_of(speed: float) -> float:
    """Return the class of a speed relative to the usual speed of 1."""
    return float(round(-math.log(speed) / _CLASS_WIDTH))
