"""Runs that a worker lists and that no row asks for; they are stopped.

They may be earlier attempts, settled before they began, or runs of a job that
has ended.  Until the worker lists them no more they count as what it runs.
"""

from collections import abc
import typing

from primroselock.decisions import earlierruns
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.workers import orders

_STOP_RETRY_S: typing.Final = 0.5


def record(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    run: orders.Run,
    now: float,
) -> None:
    """Record that a worker lists a run that no row asks for; stop it."""
    group = earlierruns.find_group(board, run.task)
    if group is not None:
        group.earlier_worker_ids.add(worker.id)
    known = worker.unexpected_runs.get(run)
    if known is not None and now - known.stop_sent_at < _STOP_RETRY_S:
        return
    worker.unexpected_runs[run] = _describe(board, worker, run, now)
    board.orders.append(fleet.StopOrder(worker.id, run))
    board.decision_records.append(
        fleet.DecisionRecord(
            'unexpected run, stopping it',
            run.task.job_id,
            {
                'task': str(run.task),
                'attempt': run.attempt,
                'worker': worker.id,
                'was_ordered': run in worker.late_runs,
            },
        )
    )


def _describe(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    run: orders.Run,
    now: float,
) -> fleetworkers.UnexpectedRun:
    """Return what is known of a run; its job may have been removed."""
    job = board.jobs_by_id.get(run.task.job_id)
    step = board.find_step(run.task)
    if job is not None:
        return fleetworkers.UnexpectedRun(run, step, now, job.graph.account)
    known = worker.unexpected_runs.get(run) or worker.late_runs.get(run)
    if known is not None:
        return fleetworkers.UnexpectedRun(run, known.step, now, known.account)
    # Its step is not stored any more.
    account = board.accounts_by_ended_id.get(run.task.job_id, '')
    return fleetworkers.UnexpectedRun(run, None, now, account)


def drop_unlisted(
    worker: fleetworkers.Worker, listed: abc.Container[orders.Run]
) -> None:
    """Forget the runs that a worker does not list any more."""
    ended = [run for run in worker.unexpected_runs if run not in listed]
    for run in ended:
        del worker.unexpected_runs[run]
