"""What is lost if a group is stopped, and what may be lost for another.

Costs are in core-seconds of work, where an accelerator counts as eight
cores.  Rules are registered by name; the settings choose one.
"""

from collections import abc
import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs
from primroselock.decisions import objectives
from primroselock.decisions.runtimes import observations
from primroselock.decisions.victims import weights
from primroselock.decisions import waiting
from primroselock import options

CostRule = abc.Callable[
    [
        fleet.ShardBoard,
        options.FleetSettings,
        livejobs.Group,
        float,
        float,
    ],
    float,
]
"""Returns the cost of a stop.

The arguments are the board, the settings, the group, the time on this
process's clock and the time in seconds since the Unix epoch.
"""

costs_by_name: typing.Final[dict[str, CostRule]] = {}
"""The rules by which victims are chosen."""

losses_by_name: typing.Final[dict[str, CostRule]] = {}
"""What counts against the limit of what may be lost, by the same names."""

_URGENT_FACTOR: typing.Final = 6.0
"""The weight of lost work of the most urgent queues."""

_MAX_LOST_WORK_FACTOR: typing.Final = 6.0
"""The most work that may be lost for a group that then ends in time, as a
multiple of the group's own work."""

_MAX_LOST_IF_LATE_FACTOR: typing.Final = 1.0
"""The same for a group that ends late all the same."""

_STOP_FACTOR: typing.Final = 4.0
"""The factor by which a stop makes the next of the group more costly."""

_UNKNOWN_SHARE: typing.Final = 0.5
"""The share that an earlier holder's run has done, before it is reported."""

_MAX_COUNTED_STOPS: typing.Final = 4
"""Earlier stops of a group that make another more costly."""


def loss(name: str) -> abc.Callable[[CostRule], CostRule]:
    """Register the decorated rule for the limit, and for the choice."""

    def register(rule: CostRule) -> CostRule:
        losses_by_name[name] = rule
        costs_by_name[name] = rule
        return rule

    return register


def cost(name: str) -> abc.Callable[[CostRule], CostRule]:
    """Register the decorated rule for the choice only."""

    def register(rule: CostRule) -> CostRule:
        costs_by_name[name] = rule
        return rule

    return register


@loss('lost_work')
def lost_work_s(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    group: livejobs.Group,
    now: float,
    wall_s: float,
) -> float:
    """Return the work that is lost if a group is stopped.

    Urgent work counts more, since it would be late after a stop.  A group
    that ends on its own as soon as a stop would end it loses nothing.
    """
    if ends_anyway(group, now, settings.stop_s):
        return 0.0
    lost_s = _redone_s(settings, group, group.worked_s(now))
    return lost_s * weights.weight(group) * _urgency(group)


@loss('both_sides')
def loss_s(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    group: livejobs.Group,
    now: float,
    wall_s: float,
) -> float:
    """Return the work that a stop loses, and what that does to its job.

    If the stop makes the job late, or too late to be useful, the group's
    whole work counts once more.
    """
    if ends_anyway(group, now, settings.stop_s):
        return 0.0
    lost_s = _redone_s(settings, group, _worked_s(board, group, now))
    if _makes_late(board, settings, group, now, wall_s):
        lost_s += observations.expected_s(board, group)
    return lost_s * weights.weight(group) * _urgency(group)


@cost('both_sides')
def cost_s(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    group: livejobs.Group,
    now: float,
    wall_s: float,
) -> float:
    """Return what a stop loses, and more for a group that was stopped before.

    So that the same group is not stopped again and again, though it has
    always done the least.
    """
    stops = min(group.preemptions, _MAX_COUNTED_STOPS)
    return loss_s(board, settings, group, now, wall_s) * _STOP_FACTOR**stops


def _redone_s(
    settings: options.FleetSettings, group: livejobs.Group, worked_s: float
) -> float:
    """Return the time that a later run needs to be as far again."""
    if group.step.checkpointing:
        # A stop saves what is done: a later run only restores that.
        worked_s = min(worked_s, settings.checkpoint_s)
    return settings.restore_s + worked_s


def _worked_s(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> float:
    """Return the run time so far, as far as it is known or likely.

    A holder that took over knows no more at first than the share that is
    done, and before the first report nothing.
    """
    shares = [m.progress.share for m in group.members if m.progress]
    if shares:
        share = max(shares)
    else:
        share = _UNKNOWN_SHARE if group.is_resumed else 0.0
    return max(
        group.worked_s(now), share * observations.expected_s(board, group)
    )


def _makes_late(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    group: livejobs.Group,
    now: float,
    wall_s: float,
) -> bool:
    """Return whether a stop makes a job late that would be in time."""
    run_s = observations.expected_s(board, group)
    remaining_s = group.remaining_s(now)
    if remaining_s is None:
        remaining_s = max(0.0, run_s - group.worked_s(now))
    again_s = settings.stop_s + run_s
    if group.step.checkpointing:
        again_s = settings.stop_s + settings.restore_s + remaining_s
    for factor in (1.0, objectives.LATE_FACTOR):
        # Of the run time, that of the rest of the run is still to come.
        left_s = objectives.slack_s(group, wall_s, factor) + run_s
        if remaining_s <= left_s < again_s:
            return True
    return False


def max_loss_s(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    group: livejobs.Group,
    wall_s: float,
) -> float:
    """Return the work that may be lost for a group.

    The limit does not apply to guaranteed work.
    """
    slack_s = objectives.slack_s(group, wall_s + settings.stop_s)
    factor = _MAX_LOST_WORK_FACTOR
    if slack_s < 0 and settings.preemption_cost != 'lost_work':
        factor = _MAX_LOST_IF_LATE_FACTOR
    return (
        observations.expected_s(board, group) * weights.weight(group) * factor
    )


def ends_anyway(group: livejobs.Group, now: float, stop_s: float) -> bool:
    """Return whether a group ends about as soon as by a stop."""
    if group.phase is livejobs.Phase.STOPPING:
        return True
    remaining_s = group.remaining_s(now)
    return remaining_s is not None and remaining_s <= stop_s


def _urgency(group: livejobs.Group) -> float:
    is_urgent = waiting.priority(group.job) == waiting.URGENT
    return _URGENT_FACTOR if is_urgent else 1.0
