"""Ends cancelled jobs that have no attempt.

Cancellations arrive in bursts; the job writer groups many of these writes
in one transaction.  An attempt of a cancelled job is stopped first, see
:mod:`primroselock.decisions.gangs`.
"""

import dataclasses

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options


@registry.controller('cancellation', order=40)
def cancel_waiting(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """End cancelled jobs that have no attempt."""
    return [
        commands.WriteJob(
            dataclasses.replace(
                view.job,
                state=jobs.JobState.CANCELLED,
                attempt=None,
                reason='',
            ),
            view.row_version,
        )
        for view in board.jobs_by_id.values()
        if view.job.cancel_requested
        and view.job.id not in board.attempts_by_job_id
    ]
