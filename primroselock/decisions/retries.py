"""Retries of failed attempts: counting and delays.

A failed member is evidence against its job and against its worker (see
:mod:`primroselock.decisions.evidence`).  A job whose attempts fail on
several distinct workers is failed.  Until then it is retried up to the
configured number of attempts, after a delay that doubles with each
failure and has a jitter seeded from the job.  A failure on a quarantined
worker does not count against the job.

All retries of the shard also draw on one token bucket that is refilled at
a fixed rate, so that widespread failures do not cause a burst of starts.
"""

import dataclasses
import random

from primroselock import backoff
from primroselock.decisions import blackboard
from primroselock.decisions import evidence
from primroselock import jobs


def count_failure(
    board: blackboard.Blackboard,
    ended: jobs.Job,
    view: blackboard.AttemptView,
) -> jobs.Job:
    """Return the job's row after a member failed: waiting or failed."""
    worker_id = failed_worker_id(view)
    waiting = dataclasses.replace(
        ended, state=jobs.JobState.WAITING, reason=view.detail
    )
    if worker_id in board.quarantined_worker_ids:
        return waiting
    failed_on = tuple(sorted({*ended.failed_worker_ids, worker_id}))
    counted = dataclasses.replace(
        waiting, failures=ended.failures + 1, failed_worker_ids=failed_on
    )
    rules = board.config.job_rules
    if len(failed_on) >= evidence.MIN_WORKERS_TO_FAULT_JOB:
        reason = f'failed on {len(failed_on)} workers; last: {view.detail}'
    elif counted.failures >= rules.max_attempts:
        reason = f'failed {counted.failures} times; last: {view.detail}'
    else:
        return counted
    return dataclasses.replace(
        counted, state=jobs.JobState.FAILED, reason=reason
    )


def failed_worker_id(view: blackboard.AttemptView) -> str:
    """Return the id of the worker on which the member failed."""
    assert view.failed_member is not None
    return view.attempt.placements[view.failed_member].worker_id


def retry_delay_s(job: jobs.Job, first_s: float, max_s: float) -> float:
    """Return the delay in seconds before the next attempt, with jitter.

    The delay is ``first_s`` after the first failure and doubles with each
    further one, up to ``max_s``.  The jitter, seeded from the job's id and
    the number of its attempts, reduces it by up to half.
    """
    full_s = backoff.doubled_s(first_s, job.failures - 1, max_s)
    generator = random.Random(f'{job.id}/{job.attempts}')
    return full_s * generator.uniform(0.5, 1.0)


def plan_retry(
    board: blackboard.Blackboard, view: blackboard.AttemptView, now: float
) -> None:
    """Delay the next attempt of a job if a member of this one failed.

    The delay is longer if the shard's retry budget is used up.
    """
    job_view = board.jobs_by_id[view.job_id]
    if view.end_reason is not blackboard.EndReason.MEMBER_FAILED:
        return
    rules = board.config.job_rules
    delay_s = retry_delay_s(
        job_view.job, rules.retry_delay_s, rules.max_retry_delay_s
    )
    delay_s = max(delay_s, board.retry_budget.spend(now))
    board.jobs_by_id[view.job_id] = dataclasses.replace(
        job_view, not_before=now + delay_s
    )
