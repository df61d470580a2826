"""Corrects declared sizes by what tasks are reported to use.

A task that uses more processors than declared is throttled to what was
declared.  One that uses more memory cannot be throttled: the attempt
saves its progress, ends, and the job is placed again with the larger
size, which does not count as a failure.  Usage lags, so what ran in the
meantime is bounded by the reports' lag only.
"""

import dataclasses
import math
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import members
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options
from primroselock.workers import protocol

TOLERATED_RATIO: typing.Final = 1.1
"""Usage above the declared size by less than this is let be."""

HEADROOM_RATIO: typing.Final = 1.25
"""A corrected size is the largest use that was seen, times this."""


@registry.controller('usage', order=62)
def correct_sizes(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Throttle or requeue running attempts that exceed their size."""
    decided: list[commands.Command] = []
    for view in list(board.attempts_by_job_id.values()):
        if view.phase is not blackboard.Phase.RUNNING:
            continue
        spec = board.jobs_by_id[view.job_id].job.spec
        running = [
            member
            for member in members.find(board, view)
            if member.is_in(protocol.TaskState.RUNNING)
        ]
        if not _requeue_larger(board, view, spec, running, now):
            decided.extend(_throttle(spec, running))
    return decided


def _throttle(
    spec: jobs.JobSpec, running: list[members.Member]
) -> list[commands.Command]:
    return [
        commands.SendToWorker(
            member.placement.worker_id,
            protocol.Throttle(member.key, float(spec.cpus)),
            urgent=False,
        )
        for member in running
        if member.report is not None
        and member.report.used_cpus > spec.cpus * TOLERATED_RATIO
    ]


def _requeue_larger(
    board: blackboard.Blackboard,
    view: blackboard.AttemptView,
    spec: jobs.JobSpec,
    running: list[members.Member],
    now: float,
) -> bool:
    used_mb = max(
        (member.report.used_memory_mb for member in running if member.report),
        default=0,
    )
    if used_mb <= spec.memory_mb * TOLERATED_RATIO:
        return False
    marked = dataclasses.replace(
        view, corrected_memory_mb=math.ceil(used_mb * HEADROOM_RATIO)
    )
    board.set_phase(
        marked,
        blackboard.Phase.CHECKPOINTING,
        now,
        blackboard.Ending.RESIZED,
        f'a member used {used_mb} MB of memory, '
        f'declared were {spec.memory_mb} MB',
    )
    return True
