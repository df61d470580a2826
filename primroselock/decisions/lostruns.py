"""Runs whose worker was silent until its leases expired.

Their groups are placed again, and whether they crashed with their worker is
known only once another incarnation answers for it.  They are stored with the
progress of their groups until then, so that a later holder can tell, too.
"""

from collections import abc

from primroselock.decisions import crashevidence
from primroselock.decisions import crashlog
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph

_SENT_STATES = frozenset(
    {
        livejobs.MemberState.INHERITED,
        livejobs.MemberState.ORDERED,
        livejobs.MemberState.PRESENT,
    }
)
"""States of members whose start may have been sent."""


def list_sent(
    worker: fleetworkers.Worker,
    members: abc.Iterable[livejobs.Member],
    now: float,
) -> list[crashlog.SentRun]:
    """Return the runs of members whose start may have been sent."""
    missed_at = worker.missed_at(now)
    return [
        crashlog.SentRun(
            member.group,
            member.group.attempt,
            member.index,
            member.boot,
            crashevidence.had_run_long(member.group.began_at, missed_at),
            worker.boot_seen_at,
        )
        for member in members
        if member.state in _SENT_STATES
    ]


def note(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    lost: abc.Iterable[crashlog.SentRun],
    now: float,
) -> None:
    """Note runs on a worker whose leases have expired."""
    runs_by_group: dict[livejobs.Group, list[crashlog.SentRun]] = {}
    for run in lost:
        runs_by_group.setdefault(run.group, []).append(run)
    for group, runs in runs_by_group.items():
        first = runs[0]
        group.lost_runs += (
            jobgraph.LostRun(
                first.attempt,
                jobgraph.Place(worker.id, first.boot),
                tuple(run.task_index for run in runs),
                worker.entry.address,
                first.had_run_long,
            ),
        )
        board.mark_changed(group.job)
    if runs_by_group:
        board.crashes.add_lost(
            crashlog.LostWorker(
                worker.id, worker.entry.address, now, frozenset(runs_by_group)
            )
        )


def restore(
    board: fleet.ShardBoard, group: livejobs.Group, now: float
) -> None:
    """Note the lost runs that an earlier holder has stored."""
    for lost in group.lost_runs:
        board.crashes.add_lost(
            crashlog.LostWorker(
                lost.place.worker_id,
                lost.address,
                now,
                frozenset({group}),
                is_inherited=True,
            )
        )


def take(board: fleet.ShardBoard, worker_id: str) -> list[crashlog.SentRun]:
    """Remove and return the lost runs of a worker: their end is known."""
    lost_worker = board.crashes.take_lost(worker_id)
    if lost_worker is None:
        return []
    taken = []
    for group in lost_worker.groups:
        of_worker = [
            lost
            for lost in group.lost_runs
            if lost.place.worker_id == worker_id
        ]
        group.lost_runs = tuple(
            lost for lost in group.lost_runs if lost not in of_worker
        )
        if not group.job.state.is_final:
            board.mark_changed(group.job)
        taken += [
            crashlog.SentRun(
                group,
                lost.attempt,
                index,
                lost.place.boot,
                lost.had_run_long,
                is_inherited=lost_worker.is_inherited,
            )
            for lost in of_worker
            for index in lost.task_indices
        ]
    return taken


def forget_old(board: fleet.ShardBoard, now: float) -> None:
    """Forget the lost runs of workers that have not come back for long."""
    for worker_id in board.crashes.list_old_lost(now):
        take(board, worker_id)
