"""Ends jobs that were cancelled before an attempt began.

Cancellations come in waves: the writer takes many of these writes in one
transaction.  A job with an attempt is stopped first, see ``gangs``.
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
    """End jobs that were cancelled before an attempt began."""
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
