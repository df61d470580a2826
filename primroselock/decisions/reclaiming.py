"""Chooses what is stopped so that more urgent work has its room in time.

Work that a guarantee covers may stop all that none covers; other work may
stop what is of a less urgent queue.  For each task the worker is chosen
where the least work is lost to make room.  What was freed stays claimed
for the group, so that nothing else slips in.
"""

from collections import abc
import typing

from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import waiting
from primroselock import jobgraph

MayStop = abc.Callable[[fleet.Group], bool]

_SAVED_SHARE: typing.Final = 0.25
"""What counts as lost of work that saves its progress."""

_RESTART_COST_S: typing.Final = 0.3
_URGENT_FACTOR: typing.Final = 6.0


def choose_victims(
    board: fleet.Board,
    rooms: fitting.Rooms,
    group: fleet.Group,
    allow: fitting.Allow,
    may_stop: MayStop,
    now: float,
) -> tuple[list[fleet.Group], frozenset[str]] | None:
    """Return groups to stop and the workers that the group then uses.

    None where even that makes no room.
    """
    candidates = [
        board.workers_by_id[worker_id]
        for worker_id in rooms.free_by_id
        if allow(board.workers_by_id[worker_id])
    ]
    if group.size == 1 or not group.step.rack_local or group.spread:
        return _choose_in(rooms, group, candidates, may_stop, now)
    best: tuple[list[fleet.Group], frozenset[str]] | None = None
    best_cost = float('inf')
    for members in fitting.group_by_rack(candidates).values():
        found = _choose_in(rooms, group, members, may_stop, now)
        if found is None:
            continue
        cost = sum(lost_work_s(victim, now) for victim in found[0])
        if cost < best_cost:
            best, best_cost = found, cost
    return best


def _choose_in(
    rooms: fitting.Rooms,
    group: fleet.Group,
    candidates: abc.Sequence[fleet.Worker],
    may_stop: MayStop,
    now: float,
) -> tuple[list[fleet.Group], frozenset[str]] | None:
    """Take workers one task at a time, each the cheapest to free."""
    draft = dict(rooms.free_by_id)
    stopped: dict[fleet.Group, None] = {}
    used: dict[str, int] = {}
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = fitting.count_on_workers(group) if limit else {}
    for _ in range(group.size):
        best: tuple[float, str, list[fleet.Group]] | None = None
        for worker in candidates:
            if limit and counts.get(worker.id, 0) >= limit:
                continue
            found = _free_on(
                worker, draft[worker.id], need, stopped, may_stop, now
            )
            if found is None:
                continue
            cost = sum(lost_work_s(victim, now) for victim in found)
            if best is None or cost < best[0]:
                best = (cost, worker.id, found)
        if best is None:
            return None
        _, worker_id, victims = best
        for victim in victims:
            stopped[victim] = None
            for member in victim.left_members():
                if member.worker_id in draft:
                    draft[member.worker_id] = draft[member.worker_id].plus(
                        victim.step.counted_need
                    )
        draft[worker_id] = draft[worker_id].plus(need, -1)
        used[worker_id] = used.get(worker_id, 0) + 1
        counts[worker_id] = counts.get(worker_id, 0) + 1
    return list(stopped), frozenset(used)


def _free_on(
    worker: fleet.Worker,
    free: jobgraph.Resources,
    need: jobgraph.Resources,
    stopped: abc.Container[fleet.Group],
    may_stop: MayStop,
    now: float,
) -> list[fleet.Group] | None:
    """Return what to stop on one worker so that ``need`` fits."""
    if free.holds(need):
        return []
    victims: list[fleet.Group] = []
    options = {
        member.group: None
        for member in worker.members.values()
        if member.group not in stopped
        and member.group.phase is not fleet.Phase.DONE
        and member.group.step.max_away is None
        and may_stop(member.group)
    }
    by_cost = sorted(
        options,
        key=lambda victim: (
            victim.phase is not fleet.Phase.STOPPING,
            lost_work_s(victim, now),
        ),
    )
    for victim in by_cost:
        victims.append(victim)
        tasks = sum(
            member.group is victim for member in worker.members.values()
        )
        free = free.plus(victim.step.counted_need, tasks)
        if free.holds(need):
            return victims
    return None


def lost_work_s(group: fleet.Group, now: float) -> float:
    """Return the core-seconds that stopping a group throws away.

    An accelerator counts as eight cores.  Urgent work counts more, since
    it comes too late if it is stopped.
    """
    if group.phase is fleet.Phase.STOPPING:
        return 0.0
    ran_s = _RESTART_COST_S
    if group.began_at is not None:
        worked_s = now - group.began_at
        if group.step.checkpointing:
            worked_s *= _SAVED_SHARE
        ran_s += worked_s
    urgency = _URGENT_FACTOR if waiting.priority(group.job) == 0 else 1.0
    return ran_s * group.size * cores(group.step.need) * urgency


def cores(need: jobgraph.Resources) -> float:
    """Return a need in cores; an accelerator counts as eight."""
    return need.cpu_millis / 1000 + need.accelerators * 8
