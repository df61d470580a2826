"""Writes the reason why a job waits to its row, for status calls.

Placement fills ``board.reasons_by_job_id`` each round.  A row is written
only if its text changed, for at most ``MAX_ROWS_PER_WRITE`` jobs every
``WRITE_INTERVAL_S``, oldest first; the job writer groups these writes.
"""

import dataclasses
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options

WRITE_INTERVAL_S: typing.Final = 1.0
MAX_ROWS_PER_WRITE: typing.Final = 100


@registry.controller('reasons', order=90)
def write_reasons(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Write the changed reasons of waiting jobs."""
    if now - board.reasons_written_at < WRITE_INTERVAL_S:
        return []
    board.reasons_written_at = now
    changed = [
        view
        for view in board.jobs_by_id.values()
        if view.job.state is jobs.JobState.WAITING
        and not view.job.cancel_requested
        and view.job.id not in board.attempts_by_job_id
        and board.reasons_by_job_id.get(view.job.id, view.job.reason)
        != view.job.reason
    ]
    changed.sort(key=lambda view: view.job.submitted_at)
    return [
        commands.WriteJob(
            dataclasses.replace(
                view.job, reason=board.reasons_by_job_id[view.job.id]
            ),
            view.row_version,
        )
        for view in changed[:MAX_ROWS_PER_WRITE]
    ]
