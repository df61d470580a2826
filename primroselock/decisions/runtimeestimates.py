"""Expected run times of the jobs of the schedulers, from earlier ones.

Callers' estimates are often far off, and jobs of one name of a client account
tend to have similar run times (see :mod:`runtimes.learner`).
"""

import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock.decisions.runtimes import learner
from primroselock import jobs
from primroselock import options

_MIN_REMAINING_SHARE: typing.Final = 0.05
"""Minimum of the remaining run time, as a share of the expected one."""


def expected_run_time_s(board: blackboard.Blackboard, job: jobs.Job) -> float:
    """Return the expected run time of the job from its start, in seconds."""
    return board.soft_state.run_times.expected_s(
        _kind_of(job), job.spec.run_time_s
    )


def expected_remaining_s(
    board: blackboard.Blackboard, job: jobs.Job, progress_s: float
) -> float:
    """Return the expected remaining run time after ``progress_s`` seconds."""
    expected_s = expected_run_time_s(board, job)
    return max(expected_s - progress_s, expected_s * _MIN_REMAINING_SHARE)


def progress_s(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> float:
    """Return the run time in seconds, saved before and in this attempt."""
    since = board.soft_state.running_since_by_job_id.get(view.job_id, now)
    job_view = board.jobs_by_id.get(view.job_id)
    saved_s = job_view.job.checkpoint_s if job_view is not None else 0.0
    return saved_s + now - since


@registry.controller('learning', order=70)
def learn_run_times(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Record when attempts begin to run; learn from those that are done."""
    running_since = board.soft_state.running_since_by_job_id
    for job_id in running_since.keys() - board.attempts_by_job_id.keys():
        del running_since[job_id]
    for view in board.attempts_by_job_id.values():
        if view.phase is blackboard.Phase.RUNNING:
            running_since.setdefault(view.job_id, view.phase_since)
        elif (
            view.end_reason is blackboard.EndReason.DONE
            and view.job_id in running_since
        ):
            _learn(board, view)
            del running_since[view.job_id]
    return []


def _learn(board: blackboard.Blackboard, view: blackboard.AttemptView) -> None:
    job_view = board.jobs_by_id.get(view.job_id)
    if job_view is None:
        return
    job = job_view.job
    observed_s = progress_s(board, view, view.phase_since)
    board.soft_state.run_times.record(
        _kind_of(job), job.spec.run_time_s, observed_s
    )


def _kind_of(job: jobs.Job) -> learner.Kind:
    """Return what jobs of one name have in common, in their account only."""
    return learner.Kind(f'{job.account}/{job.spec.name}', job.account)
