"""Registries of the interchangeable policies, with simple baselines.

A placement policy picks a free cell, a queue order sorts waiting jobs,
and a victim choice computes the work that is lost when borrowed work is
preempted.  Each is selected by name in the settings.
"""

from collections import abc
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import cells
from primroselock.decisions import runtimeestimates
from primroselock import jobs

PickCell = abc.Callable[[cells.CellMap, int], cells.Cell | None]
"""Returns a free cell of the given size, or None."""
SortKey = abc.Callable[
    [blackboard.Blackboard, blackboard.JobView, float], tuple[float, ...]
]
"""Returns the sort key of a waiting job at a time; the lowest is first."""
LostWork = abc.Callable[
    [blackboard.Blackboard, blackboard.AttemptView, float], float
]
"""Returns the accelerator-seconds that preempting an attempt now loses."""

placements_by_name: dict[str, PickCell] = {}
queue_orders_by_name: dict[str, SortKey] = {}
victim_choices_by_name: dict[str, LostWork] = {}

_RESTART_COST_S: typing.Final = 30.0
"""Run time in seconds lost by every preemption, even with a checkpoint."""


def placement(name: str) -> abc.Callable[[PickCell], PickCell]:
    """Return a decorator that registers a placement policy."""

    def register(pick: PickCell) -> PickCell:
        placements_by_name[name] = pick
        return pick

    return register


def queue_order(name: str) -> abc.Callable[[SortKey], SortKey]:
    """Return a decorator that registers a queue order; lowest key first."""

    def register(sort_key: SortKey) -> SortKey:
        queue_orders_by_name[name] = sort_key
        return sort_key

    return register


def victim_choice(name: str) -> abc.Callable[[LostWork], LostWork]:
    """Return a decorator that registers a victim choice.

    The work with the lowest loss is preempted.
    """

    def register(lost_work: LostWork) -> LostWork:
        victim_choices_by_name[name] = lost_work
        return lost_work

    return register


@placement('best_buddy')
def pick_best_buddy(free: cells.CellMap, size: int) -> cells.Cell | None:
    """Pick a cell in the smallest free block that fits, in any rack."""
    for block_size in free.fitting_sizes(size):
        for block in free.blocks(block_size):
            return cells.Cell(block.rack, block.offset, size)
    return None


@placement('first_fit')
def pick_first_fit(free: cells.CellMap, size: int) -> cells.Cell | None:
    """Pick the first aligned free cell by rack and offset."""
    blocks = [
        block
        for block_size in free.fitting_sizes(size)
        for block in free.blocks(block_size)
    ]
    if not blocks:
        return None
    first = min(blocks)
    return cells.Cell(first.rack, first.offset, size)


@queue_order('fifo')
def sort_fifo(
    board: blackboard.Blackboard, view: blackboard.JobView, now: float
) -> tuple[float, ...]:
    """Order jobs by the time of submission."""
    return (view.job.submitted_at,)


@queue_order('shortest_remaining')
def sort_shortest_remaining(
    board: blackboard.Blackboard, view: blackboard.JobView, now: float
) -> tuple[float, ...]:
    """Order urgent jobs first, then by expected remaining work.

    Work is run time times accelerators, at least one for each member.
    """
    job = view.job
    urgent = job.spec.priority is jobs.Priority.URGENT
    left_s = runtimeestimates.expected_remaining_s(
        board, job, job.checkpoint_s
    )
    work = left_s * job.spec.members * max(job.spec.accelerators, 1)
    return (0.0 if urgent else 1.0, work, job.submitted_at)


@queue_order('shortest_time')
def sort_shortest_time(
    board: blackboard.Blackboard, view: blackboard.JobView, now: float
) -> tuple[float, ...]:
    """Order urgent jobs first, then by expected remaining run time."""
    job = view.job
    urgent = job.spec.priority is jobs.Priority.URGENT
    left_s = runtimeestimates.expected_remaining_s(
        board, job, job.checkpoint_s
    )
    return (0.0 if urgent else 1.0, left_s, job.submitted_at)


@victim_choice('least_lost')
def least_lost(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> float:
    """Return the accelerator-seconds that a preemption would lose."""
    job_view = board.jobs_by_id.get(view.job_id)
    footprint = board.soft_state.footprints_by_job_id.get(view.job_id)
    if job_view is None or footprint is None:
        return 0.0
    lost_s = _RESTART_COST_S
    if not job_view.job.spec.checkpointable:
        lost_s += runtimeestimates.progress_s(board, view, now)
    return lost_s * footprint.accelerators()


@victim_choice('any')
def any_victim(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> float:
    """Return the same loss for all work."""
    return 1.0
