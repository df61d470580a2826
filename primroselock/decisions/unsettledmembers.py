"""Members that may still run some time after their attempt has ended.

They keep capacity of their workers.  A worker may be full with nothing
running, and only the holder knows for what.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import livejobs

_EXPECTED_S: typing.Final = 15.0
"""By then a silent worker's leases have expired, and others have answered."""


def report(board: fleet.ShardBoard, now: float) -> None:
    """Count them, and record a decision about each one once."""
    groups = [*board.phases.stopping, *board.phases.unsettled]
    overdue = [
        member
        for group in groups
        if now - group.since >= _EXPECTED_S
        for member in group.remaining_members()
    ]
    board.unsettled_members = len(overdue)
    for member in overdue:
        if not member.is_logged:
            member.is_logged = True
            _record(board, member, now)


def _record(
    board: fleet.ShardBoard, member: livejobs.Member, now: float
) -> None:
    group = member.group
    worker = board.workers_by_id.get(member.worker_id)
    board.record_decision(
        'attempt has ended, and a member may still run',
        group.job,
        task=str(member.run.task),
        attempt=group.attempt,
        worker=member.worker_id,
        state=member.state.value,
        phase=group.phase.value,
        ended_s=round(now - group.since, 3),
        unanswered_starts=member.unanswered_starts,
        begin_before=member.begin_before,
        boot=member.boot,
        worker_boot=worker.boot if worker else 0,
        worker_clock=worker.clock_s if worker else 0.0,
    )
