"""Work that fills spare CPU beside tasks with a latency target.

Tasks that fill raise the tail latency of those that serve on the same worker,
by amounts that change within seconds.  They are kept apart while there is
another place; where there is none they share.  A serving task that is over its
target then has the filling ones beside it stopped, and placed elsewhere if
that is possible.
"""

import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock import jobgraph

_MIN_OVER_TARGET_S: typing.Final = 0.5
"""A report is a rough figure: the next one must agree."""


def prefers_other_workers(step: jobgraph.Step) -> bool:
    """Return whether a step's tasks are kept apart from some others."""
    return step.fills or bool(step.tail_latency_target_ms)


def are_apart(worker: fleetworkers.Worker, step: jobgraph.Step) -> bool:
    """Return whether a step's tasks would disturb none on the worker.

    A run whose step is not known may be of either kind.
    """
    if not prefers_other_workers(step):
        return True
    steps: list[jobgraph.Step | None] = [
        member.group.step for member in worker.members.values()
    ]
    steps += worker.list_other_runs().values()
    return not any(
        other is None
        or (step.fills and other.tail_latency_target_ms)
        or (step.tail_latency_target_ms and other.fills)
        for other in steps
    )


def may_disturb(worker: fleetworkers.Worker) -> bool:
    """Return whether filling work runs beside serving work on a worker."""
    steps = [member.group.step for member in worker.members.values()]
    return any(step.fills for step in steps) and any(
        step.tail_latency_target_ms for step in steps
    )


def record_latency(
    board: fleet.ShardBoard,
    member: livejobs.Member,
    tail_latency_ms: float | None,
    reported_at: float,
) -> None:
    """Record the tail latency that a worker reports of a serving task.

    ``reported_at`` is when the report was made, on this process's clock: a
    late process must not take the time between two reports for longer.
    """
    target_ms = member.group.step.tail_latency_target_ms
    if not target_ms:
        return
    if tail_latency_ms is None or tail_latency_ms <= target_ms:
        board.over_target_by_member.pop(member, None)
        return
    known = board.over_target_by_member.get(member)
    first_at = known.first_at if known is not None else reported_at
    board.over_target_by_member[member] = fleet.OverTarget(
        first_at, reported_at
    )


def list_disturbing(board: fleet.ShardBoard) -> list[livejobs.Group]:
    """Return the filling groups beside a task that is over its target.

    Their next placement avoids the worker.
    """
    found: dict[livejobs.Group, None] = {}
    for member, over in list(board.over_target_by_member.items()):
        worker = board.workers_by_id.get(member.worker_id)
        if worker is None or member.run not in worker.members:
            del board.over_target_by_member[member]
        elif over.last_at - over.first_at >= _MIN_OVER_TARGET_S:
            for other in worker.members.values():
                if _may_stop(other.group):
                    found[other.group] = None
                    other.group.avoided_worker_ids.add(worker.id)
    return list(found)


def _may_stop(group: livejobs.Group) -> bool:
    """Return whether a group fills, runs, and may be made unavailable."""
    step = group.step
    if not step.fills or group.phase is not livejobs.Phase.RUNNING:
        return False
    if step.max_unavailable is None:
        return True
    of_step = group.job.groups_of_step(group.key.occurrence, group.key.step)
    unavailable = sum(
        other.size
        for other in of_step
        if other.phase is not livejobs.Phase.RUNNING
    )
    return unavailable + group.size <= step.max_unavailable
