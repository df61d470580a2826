"""Explains why due work does not run although capacity is free.

The log says what was placed.  For work that should run and does not, this
records what holds it: the phase of its group, and for a waiting group how
many workers each reason keeps from it.  Only jobs are reported of which
nothing runs although free capacity would hold what they wait for twice over,
about once a second.

A report must stay cheap while thousands of jobs wait: it examines a part of
them, the next one goes on from there, and jobs of equal need share one count
of the free capacity, which ends once that is enough.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import claimindex
from primroselock.decisions import eligibility
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import freecapacity
from primroselock.decisions import livejobs
from primroselock.decisions import reachability
from primroselock.decisions import waiting
from primroselock import jobgraph

_INTERVAL_S: typing.Final = 1.0
_PATIENCE_S: typing.Final = 2.0
"""Work that waits for less time than this is not reported."""

_MAX_REPORTS: typing.Final = 10
_MAX_LOOKS: typing.Final = 3000
"""Workers that the reports of a round look at, once for each report."""

_MAX_EXAMINED_JOBS: typing.Final = 500
_SPARE_FACTOR: typing.Final = 2
"""Capacity counts as free for a group that would fit this many times."""

_UNVERIFIED: typing.Final = 'unverified'
_CLAIMED: typing.Final = 'claimed for other groups'
_AVOIDED: typing.Final = 'avoided by this group'
_USABLE: typing.Final = 'usable'


def report_idle_waits(board: fleet.ShardBoard, now: float) -> None:
    """Record each job that waits beside free capacity, and why.

    ``board.idle_waits`` becomes the number of such jobs.
    """
    if 0 <= now - board.waits_reported_at < _INTERVAL_S:
        return
    board.waits_reported_at = now
    board.idle_waits = 0
    if not eligibility.is_partly_idle(board):
        return
    fits_by_need: dict[_Need, bool] = {}
    held = []
    for job in _take_jobs_to_examine(board):
        group = _find_held_group(job, now)
        if group is None:
            continue
        need = _need_of(group)
        if need not in fits_by_need:
            fits_by_need[need] = _fits_several_times(board, group)
        if fits_by_need[need]:
            held.append(group)
    board.idle_waits = len(held)
    if not held:
        return
    obstacles = _Obstacles(
        frozenset(w.id for w in reachability.list_unverified(board)),
        claimindex.ClaimIndex(board.claims_by_group),
        waiting.guaranteed_job_ids(board),
    )
    affordable = _MAX_LOOKS // max(1, len(board.workers_by_id))
    for group in held[: max(1, min(_MAX_REPORTS, affordable))]:
        _report(board, group, obstacles, now)


class _Need(typing.NamedTuple):
    """What decides how often a group fits on free capacity."""

    service: str | None
    label: str
    need: jobgraph.Resources
    size: int


@dataclasses.dataclass(frozen=True, slots=True)
class _Obstacles:
    """What all lines of a report share.

    Work goes to no worker in ``unverified_ids``; ``guaranteed_ids`` names
    the jobs within their accounts' guarantees.
    """

    unverified_ids: abc.Set[str]
    claims: claimindex.ClaimIndex
    guaranteed_ids: abc.Set[str]


def _take_jobs_to_examine(board: fleet.ShardBoard) -> list[livejobs.LiveJob]:
    """Return the jobs after those examined last, at most all of them."""
    known = list(board.jobs_by_id.values())
    if len(known) <= _MAX_EXAMINED_JOBS:
        return known
    first = board.next_examined % len(known)
    end = first + _MAX_EXAMINED_JOBS
    board.next_examined = end % len(known)
    return known[first:end] + known[: max(0, end - len(known))]


def _need_of(group: livejobs.Group) -> _Need:
    step = group.step
    return _Need(group.job.service, step.label, step.counted_need, group.size)


def _find_held_group(
    job: livejobs.LiveJob, now: float
) -> livejobs.Group | None:
    """Return a due group of a job of which nothing runs, or None.

    A job that its account's quota holds back has none.
    """
    if job.is_cancelled or job.state.is_final or job.is_held_by_quota(now):
        return None
    held: livejobs.Group | None = None
    for group in job.groups_by_key.values():
        if group.phase is livejobs.Phase.RUNNING:
            return None
        for member in group.members:
            if member.state is livejobs.MemberState.PRESENT:
                return None
        is_due = (
            group.phase is livejobs.Phase.WAITING
            or group.phase in livejobs.ACTIVE_PHASES
        )
        if held is None and is_due and group.waited_s(now) > _PATIENCE_S:
            held = group
    return held


def _fits_several_times(
    board: fleet.ShardBoard, group: livejobs.Group
) -> bool:
    """Return whether free capacity would hold the group several times.

    Whatever excludes a worker for now does not count: it is what is reported.
    """
    need = group.step.counted_need
    service = group.job.service
    fit_total = 0
    for worker in board.workers_by_id.values():
        if not _is_candidate(worker, group, service):
            continue
        free = worker.free
        if free.can_fit(need):
            # An empty need fits any number of times.
            fit_total += free.fit_count(need) or group.size
        if fit_total >= group.size * _SPARE_FACTOR:
            return True
    return False


def _is_candidate(
    worker: fleetworkers.Worker, group: livejobs.Group, service: str | None
) -> bool:
    """Return whether a worker stays and could hold a task when empty."""
    return (
        worker.is_listed
        and not worker.entry.is_draining
        and service in (None, worker.entry.service)
        and freecapacity.fits_when_empty(worker, group.step)
    )


def _report(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    obstacles: _Obstacles,
    now: float,
) -> None:
    job = group.job
    board.record_decision(
        'job waits beside free capacity',
        job,
        group=group.key.as_list(),
        attempt=group.attempt,
        phase=group.phase.value,
        since_s=round(now - group.since, 3),
        due_s=round(group.waited_s(now), 3),
        tasks=group.size,
        accelerators=group.step.need.accelerators,
        cpu_millis=group.step.need.cpu_millis,
        is_rack_local=group.step.rack_local,
        is_queue_known=job.queue is not None,
        is_stored=job.saved_change == job.change,
        refused_writes=job.refusal.writes if job.refusal else 0,
        starts_permitted=now <= board.permit_until,
        permit_bound=board.permit_bound,
        delayed_s=round(max(0.0, group.not_before - now), 3),
        held=_count_member_states(group),
        workers=_count_workers(board, group, obstacles, now),
    )


def _count_member_states(group: livejobs.Group) -> dict[str, int]:
    """Return by state how many members of the attempt are in it."""
    counts: dict[str, int] = {}
    for member in group.members:
        counts[member.state.value] = counts.get(member.state.value, 0) + 1
    return counts


def _count_workers(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    obstacles: _Obstacles,
    now: float,
) -> dict[str, int]:
    """Return how many workers with free capacity each reason excludes."""
    rank = waiting.rank(group, obstacles.guaranteed_ids)
    service = group.job.service
    counts: dict[str, int] = {}
    for worker in board.workers_by_id.values():
        if not _is_candidate(worker, group, service):
            continue
        if not worker.free.can_fit(group.step.counted_need):
            continue
        exclusion = eligibility.find_exclusion(board, worker, now)
        if exclusion is not None:
            why = exclusion.value
        elif worker.id in obstacles.unverified_ids:
            why = _UNVERIFIED
        elif worker.id in group.avoided_worker_ids:
            why = _AVOIDED
        elif obstacles.claims.excludes(worker.id, group, rank):
            why = _CLAIMED
        else:
            why = _USABLE
        counts[why] = counts.get(why, 0) + 1
    return counts
