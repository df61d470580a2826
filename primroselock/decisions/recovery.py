"""Takes up what an earlier holder of the shard has left.

Attempts that a job's row holds are adopted: they start at the phase
STARTING, from where the workers' reports decide.  Tasks that a worker
reports and no attempt knows are orphans: a holder reserved them and did
not commit, or their end was written and the word to forget them was lost.
They are stopped, then forgotten.  The shard's rows are loaded before any
worker is asked, under an epoch that lets no earlier holder commit, so a
task that is unknown here has no row.
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
    """Take up attempts whose rows say that they were committed."""
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
    """Stop and forget tasks that no attempt knows."""
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
