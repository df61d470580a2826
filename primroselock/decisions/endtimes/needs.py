"""Tells how fast a worker must be for a group's job to end in time there.

The objective of a job counts its work at the usual speed of workers.  On a
slower worker the run of a group takes longer, and the rest of its job is
later by as much.
"""

import math
import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions.runtimes import observations

_START_S: typing.Final = 0.1
"""From a placement until its run begins: a write and an order."""

RUN_MARGIN: typing.Final = 0.1
"""The share by which a run may take longer than the worker's speed says."""


def ends_in_time(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    now: float,
    wall_s: float,
) -> bool:
    """Return whether a running group ends in time for its job.

    Only if its reports tell how long it takes.  ``now`` is on this process's
    clock, ``wall_s`` in seconds since the Unix epoch.
    """
    remaining_s = group.remaining_s(now)
    if remaining_s is None or not group.job.critical_paths_s:
        return False
    left_s = objectives.slack_s(group, wall_s) + observations.expected_s(
        board, group
    )
    return remaining_s <= left_s


def needed_speed(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    wall_s: float,
    spare_runs: float = 0.0,
    margin: float = RUN_MARGIN,
) -> float:
    """Return the lowest speed at which the group's job ends in time.

    The group is placed at ``wall_s``, in seconds since the Unix epoch, and
    ``spare_runs`` times its run time must be left at the end.  ``margin`` is
    the share by which the run may take longer than expected.  Infinite if no
    speed is enough, 0 if the job has no objective.
    """
    if group.job.queue is None or not group.job.critical_paths_s:
        return 0.0
    run_s = observations.expected_s(board, group)
    left_s = objectives.slack_s(group, wall_s) + run_s
    left_s -= _START_S + spare_runs * run_s
    if left_s <= 0:
        return math.inf
    return run_s * (1 + margin) / left_s
