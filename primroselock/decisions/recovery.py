"""Adopts committed attempts and removes orphaned tasks after a takeover.

Attempts in the rows of jobs are adopted in the phase STARTING; from there
the workers' reports determine how they proceed.  Tasks that a worker
reports and that belong to no attempt are orphans: an earlier lease holder
of the shard reserved them without a commit, or their end was written but
the command to forget them was lost.  They are stopped, then forgotten.
The shard's rows are loaded before any exchange with a worker, under an
epoch that fences the commits of earlier lease holders, so a task that is
unknown here has no row.
"""

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock import options
from primroselock.workers import protocol


@registry.controller('recovery', order=30)
def adopt_committed(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Adopt attempts that are committed in the rows of their jobs."""
    for view in board.jobs_by_id.values():
        if view.job.attempt is None:
            continue
        if view.job.id in board.attempts_by_job_id:
            continue
        board.attempts_by_job_id[view.job.id] = blackboard.AttemptView(
            view.job.id,
            view.job.attempt,
            blackboard.Phase.STARTING,
            now,
            commit_sent=True,
        )
    return []


@registry.controller('orphans', order=70)
def clear_orphans(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Stop, then forget, tasks that belong to no attempt."""
    decided: list[commands.Command] = []
    for change in board.orphan_watch.take(board.reports_by_worker_id()):
        if change.new is None:
            continue
        for task in change.new.tasks:
            if _has_attempt(board, task.task):
                continue
            command: protocol.Command = protocol.Stop(task.task)
            if task.state.is_final:
                command = protocol.Forget(task.task)
            decided.append(
                commands.SendToWorker(change.worker_id, command, urgent=False)
            )
    return decided


def _has_attempt(board: blackboard.Blackboard, key: protocol.TaskKey) -> bool:
    view = board.attempts_by_job_id.get(key.job_id)
    if view is None:
        return False
    attempt = view.attempt
    return (attempt.number, attempt.epoch) == (key.attempt, key.epoch)
