"""Chooses the victims of preemption and the workers to claim.

Work covered by a guarantee may preempt all work that is not; other work
may preempt work of a less urgent queue.  Each task goes to the worker
where freeing capacity loses the least work.  The freed workers stay
claimed for the group, so that nothing else is placed there first.

A gang that may preempt nothing claims the workers that become free
soonest: otherwise single tasks would fill each gap, and whole workers
would never become free.
"""

from collections import abc
import dataclasses
import math
import typing

from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions.runtimes import observations
from primroselock import jobgraph

MayStop = abc.Callable[[livejobs.Group], bool]

_EQUAL_COSTS: typing.Final = 1.25
"""Costs are estimates: between those that differ by less shares decide."""


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Workers for a group, and the victims whose ends free capacity there.

    ``cost`` is in the unit of the cost model: core-seconds of lost work, or
    seconds until the last worker is free.
    """

    victims: tuple[livejobs.Group, ...]
    worker_ids: frozenset[str]
    cost: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Endable:
    """A group whose end would free ``freed`` on a worker, at ``cost``."""

    group: livejobs.Group
    cost: float
    freed: jobgraph.Resources


class VictimIndex:
    """The groups on each worker that could be stopped, the cheapest first.

    ``cost_of`` returns the cost of the end of a group; lists are built when
    a worker is examined, and kept for a round.  Of equally cheap groups those
    go first whose account uses most, as a multiple of its share, of those that
    are beyond it; ``used_share`` returns this multiple.
    """

    def __init__(
        self,
        cost_of: abc.Callable[[livejobs.Group], float],
        used_share: abc.Callable[[str], float] | None = None,
    ) -> None:
        self._used_share = used_share
        self._cost_of = cost_of
        self._costs_by_group: dict[livejobs.Group, float] = {}
        self._endable_by_worker_id: dict[str, list[_Endable]] = {}

    def cost(self, group: livejobs.Group) -> float:
        """Return the cost of the end of a group."""
        known = self._costs_by_group.get(group)
        if known is None:
            known = self._costs_by_group[group] = self._cost_of(group)
        return known

    def preference(
        self, cost: float, groups: abc.Sequence[livejobs.Group]
    ) -> tuple[float, ...]:
        """Return what to choose by; the lowest goes first.

        ``cost`` is that of the ends of ``groups`` together.
        """
        if self._used_share is None:
            return (cost,)
        used_shares = [
            self._used_share(group.job.graph.account) for group in groups
        ]
        beyond = max(1.0, min(used_shares, default=1.0))
        step = math.floor(math.log(1.0 + cost, _EQUAL_COSTS))
        return (step, -beyond, cost)

    def endable_on(self, worker: fleetworkers.Worker) -> list[_Endable]:
        """Return the groups on a worker that may be ended, sorted by cost."""
        known = self._endable_by_worker_id.get(worker.id)
        if known is None:
            known = self._endable_by_worker_id[worker.id] = self._list(worker)
        return known

    def _list(self, worker: fleetworkers.Worker) -> list[_Endable]:
        tasks_by_group: dict[livejobs.Group, int] = {}
        for member in worker.members.values():
            group = member.group
            if (
                group.phase is not livejobs.Phase.DONE
                and group.step.max_unavailable is None
            ):
                tasks_by_group[group] = tasks_by_group.get(group, 0) + 1
        endable = [
            _Endable(
                group,
                self.cost(group),
                fleetworkers.NO_RESOURCES.plus(group.step.counted_need, tasks),
            )
            for group, tasks in tasks_by_group.items()
        ]
        endable.sort(
            key=lambda item: (
                item.group.phase is not livejobs.Phase.STOPPING,
                self.preference(item.cost, [item.group]),
            )
        )
        return endable

    def forget(self, group: livejobs.Group) -> None:
        """Drop what is known of a group, which is being stopped."""
        self._costs_by_group.pop(group, None)
        for member in group.members:
            self._endable_by_worker_id.pop(member.worker_id, None)


def choose_victims(
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    allow: fitting.WorkerFilter,
    may_stop: MayStop,
    victims: VictimIndex,
) -> Choice | None:
    """Choose, task by task, the victims whose stops lose the least work.

    Returns None if no stops free enough capacity for ``group``.
    """
    search = _Search(free_capacity, group, may_stop, victims, sum)
    return _choose(search, allow)


def choose_soonest_free(
    board: fleet.ShardBoard,
    free_capacity: freecapacity.FreeCapacity,
    group: livejobs.Group,
    allow: fitting.WorkerFilter,
    now: float,
    stop_s: float,
) -> Choice | None:
    """Return the workers that become free soonest without preemption.

    What is being stopped, or is over its time, counts as free in ``stop_s``
    seconds.  Returns None if the group would not fit even then.
    """

    def may_wait_for(other: livejobs.Group) -> bool:
        return not other.step.long_running

    endings = VictimIndex(lambda other: remaining_s(board, other, now, stop_s))
    search = _Search(free_capacity, group, may_wait_for, endings, _latest)
    return _choose(search, allow)


def _latest(times_s: list[float]) -> float:
    return max(times_s, default=0.0)


def remaining_s(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    now: float,
    stop_s: float,
) -> float:
    """Return the estimated remaining run time of a group in seconds."""
    if group.phase is livejobs.Phase.STOPPING:
        return stop_s
    remaining_s = group.remaining_s(now)
    if remaining_s is not None:
        return remaining_s
    expected_s = observations.expected_here_s(board, group)
    return max(stop_s, expected_s - group.worked_s(now))


@dataclasses.dataclass(frozen=True, slots=True)
class _Search:
    """The inputs to the choice of workers and victims for one group.

    ``may_end`` tells which groups may be counted on to end; ``total`` is
    the cost of several ends together.
    """

    free_capacity: freecapacity.FreeCapacity
    group: livejobs.Group
    may_end: MayStop
    victims: VictimIndex
    total: abc.Callable[[list[float]], float]

    def build_option(
        self, costs: list[float], victims: abc.Sequence[livejobs.Group]
    ) -> '_Option':
        """Return the option to end ``victims``, at ``costs``."""
        preference = self.victims.preference(self.total(costs), victims)
        return _Option(preference, tuple(victims))


@dataclasses.dataclass(frozen=True, slots=True)
class _Option:
    """The victims on one worker whose ends free capacity for one task.

    The option with the lowest ``preference`` is chosen.
    """

    preference: tuple[float, ...]
    victims: tuple[livejobs.Group, ...]


def _choose(search: _Search, allow: fitting.WorkerFilter) -> Choice | None:
    """Choose among all workers, or in one rack for a rack-local gang."""
    group = search.group
    usable = search.free_capacity.list_usable(group)
    candidates = [worker for worker in usable if allow(worker)]
    if group.size == 1 or not group.step.rack_local or group.may_span_racks:
        return _choose_in(search, candidates)
    choices = [
        _choose_in(search, members)
        for members in fitting.group_by_rack(candidates).values()
    ]
    found = [choice for choice in choices if choice is not None]
    return min(found, key=lambda choice: choice.cost, default=None)


def _choose_in(
    search: _Search, candidates: abc.Sequence[fleetworkers.Worker]
) -> Choice | None:
    """Choose a worker for each task in turn, the cheapest to free.

    A choice changes the options only of its worker and of the workers
    where its victims run.
    """
    group = search.group
    need = group.step.counted_need
    limit = group.step.max_per_worker
    counts = fitting.count_tasks(group, candidates)
    workers_by_id = {worker.id: worker for worker in candidates}
    free_by_id = dict(search.free_capacity.free_by_id)
    chosen: dict[livejobs.Group, None] = {}
    used: dict[str, None] = {}
    options_by_id: dict[str, _Option] = {}
    outdated: abc.Iterable[str] = workers_by_id
    for _ in range(group.size):
        for worker_id in outdated:
            option = None
            if not limit or counts.get(worker_id, 0) < limit:
                option = _find_option(
                    search, workers_by_id[worker_id], free_by_id, chosen
                )
            if option is None:
                options_by_id.pop(worker_id, None)
            else:
                options_by_id[worker_id] = option
        if not options_by_id:
            return None
        best_id = min(
            options_by_id, key=lambda key: options_by_id[key].preference
        )
        changed = {best_id: None}
        for victim in options_by_id[best_id].victims:
            chosen[victim] = None
            _add_freed(free_by_id, victim)
            changed.update(
                (member.worker_id, None)
                for member in victim.members
                if member.worker_id in workers_by_id
            )
        free_by_id[best_id] = free_by_id[best_id].plus(need, -1)
        used[best_id] = None
        counts[best_id] = counts.get(best_id, 0) + 1
        outdated = changed
    cost = search.total([search.victims.cost(victim) for victim in chosen])
    return Choice(tuple(chosen), frozenset(used), cost)


def _add_freed(
    free_by_id: dict[str, jobgraph.Resources], victim: livejobs.Group
) -> None:
    for member in victim.remaining_members():
        if member.worker_id in free_by_id:
            free_by_id[member.worker_id] = free_by_id[member.worker_id].plus(
                victim.step.counted_need
            )


def _find_option(
    search: _Search,
    worker: fleetworkers.Worker,
    free_by_id: abc.Mapping[str, jobgraph.Resources],
    chosen: abc.Container[livejobs.Group],
) -> _Option | None:
    """Return the victims whose ends free capacity for one task.

    Returns None if no choice of victims frees enough.
    """
    need = search.group.step.counted_need
    free = free_by_id[worker.id]
    if free.can_fit(need):
        return search.build_option([], [])
    victims: list[livejobs.Group] = []
    costs: list[float] = []
    for endable in search.victims.endable_on(worker):
        if endable.group in chosen or not search.may_end(endable.group):
            continue
        victims.append(endable.group)
        costs.append(endable.cost)
        free = free.plus(endable.freed)
        if free.can_fit(need):
            return search.build_option(costs, victims)
    return None
