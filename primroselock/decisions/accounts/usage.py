"""What the client accounts have running, from the blackboard of a shard.

Counted is all that may run: members from their placement until they are
known to have ended, runs that no row asks for, and settled runs of which a
start may still begin.  A run whose job is not known counts for no account.
"""

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock import jobgraph


def by_account(board: fleet.ShardBoard) -> dict[str, jobgraph.Resources]:
    """Return what may run of each account, by its name.

    Work that fills spare CPU time counts with its full need: a quota is on
    what runs, not on what is reserved.
    """
    used_by_account: dict[str, jobgraph.Resources] = {}
    for worker in board.workers_by_id.values():
        for account, need in _list_runs(board, worker):
            used = used_by_account.get(account, fleetworkers.NO_RESOURCES)
            used_by_account[account] = used.plus(need)
    return used_by_account


def _list_runs(
    board: fleet.ShardBoard, worker: fleetworkers.Worker
) -> list[tuple[str, jobgraph.Resources]]:
    """Return the account and the need of all that a worker may run."""
    runs = [
        (member.group.job.graph.account, member.group.step.need)
        for member in worker.members.values()
    ]
    for run, step in worker.list_other_runs().items():
        job = board.jobs_by_id.get(run.task.job_id)
        if job is not None and step is not None:
            runs.append((job.graph.account, step.need))
    return runs
