"""Corrects declared sizes to the reported usage of tasks.

A task that uses more CPUs than declared is throttled to the declared
number.  One that uses more memory cannot be throttled: the attempt saves
its progress and ends, and the job is placed again with a larger size,
which does not count as a failure.  Reports of usage lag, and only that
lag bounds how long a task runs above its declared size.
"""

import dataclasses
import math
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options
from primroselock.workers import protocol

TOLERATED_RATIO: typing.Final = 1.1
"""Usage up to this multiple of the declared size is tolerated."""

HEADROOM_RATIO: typing.Final = 1.25
"""A corrected size is the reported usage times this factor."""


@registry.controller('usage', order=62)
def correct_sizes(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Throttle tasks or requeue attempts that exceed the declared size."""
    decided: list[commands.Command] = []
    for change in board.usage_watch.take(board.reports_by_worker_id()):
        if change.new is None:
            continue
        for task in change.new.tasks:
            view = board.attempts_by_job_id.get(task.task.job_id)
            if (
                view is None
                or view.phase is not blackboard.Phase.RUNNING
                or task.state is not protocol.TaskState.RUNNING
                or view.attempt.number != task.task.attempt
            ):
                continue
            spec = board.jobs_by_id[view.job_id].job.spec
            if task.used_memory_mb > spec.memory_mb * TOLERATED_RATIO:
                _requeue_larger(board, view, spec, task.used_memory_mb, now)
            elif task.used_cpus > spec.cpus * TOLERATED_RATIO:
                throttle = protocol.Throttle(task.task, float(spec.cpus))
                decided.append(
                    commands.SendToWorker(change.worker_id, throttle, False)
                )
    return decided


def _requeue_larger(
    board: blackboard.Blackboard,
    view: blackboard.AttemptView,
    spec: jobs.JobSpec,
    used_mb: int,
    now: float,
) -> None:
    marked = dataclasses.replace(
        view, corrected_memory_mb=math.ceil(used_mb * HEADROOM_RATIO)
    )
    board.set_phase(
        marked,
        blackboard.Phase.CHECKPOINTING,
        now,
        blackboard.EndReason.RESIZED,
        f'a member used {used_mb} MB of memory, '
        f'declared were {spec.memory_mb} MB',
    )
