"""Places the groups that wait, claims room for them and makes room.

Groups are gone through in their order.  One that finds room is placed;
for one that does not, less urgent work is stopped where its queue's rule
allows that, or a gang claims the workers that become free soonest.  What
is claimed is left alone by groups that are not more urgent.
"""

from collections import abc
import dataclasses
import typing

from primroselock.decisions import advising
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import objectives
from primroselock.decisions import reachability
from primroselock.decisions import reclaiming
from primroselock.decisions import runs
from primroselock.decisions import waiting
from primroselock import jobs
from primroselock import options
from primroselock import queues

_MOST_PLACED: typing.Final = 1000
"""Groups a round: leases must be renewed between rounds."""

_CLAIM_TIMEOUT_S: typing.Final = 4.0
_CLAIM_REVIEW_S: typing.Final = 1.0
"""Room that should be free by then is chosen anew."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Round:
    """What the placements of one round go by.

    ``covered`` names the jobs within their accounts' guarantees; ``now``
    is on this process's clock, ``wall_s`` since the Unix epoch.
    """

    board: fleet.ShardBoard
    settings: options.FleetSettings
    free_capacity: fitting.FreeCapacity
    covered: abc.Set[str]
    now: float
    wall_s: float

    def rank(self, group: fleet.Group) -> fitting.Rank:
        """Return how urgent a group is."""
        return waiting.rank(group, self.covered)


def place_waiting(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    now: float,
    wall_s: float,
) -> None:
    """Place what waits, the most urgent first."""
    covered = waiting.guaranteed_job_ids(board)
    sort_key = waiting.orders_by_name[settings.waiting_order]
    groups = waiting.list_waiting(board, covered, sort_key, now, wall_s)
    _drop_claims(board, now)
    if not groups:
        return
    free_capacity = _draft_rooms(board, settings, now)
    view = _Round(board, settings, free_capacity, covered, now, wall_s)
    placed = 0
    for group in groups:
        placed += _place(view, group)
        if placed >= _MOST_PLACED:
            # The next round follows once these are stored.
            break


def _draft_rooms(
    board: fleet.ShardBoard, settings: options.FleetSettings, now: float
) -> fitting.FreeCapacity:
    """Draft what is free on workers that may get starts."""
    doubted_ids = {worker.id for worker in reachability.list_unverified(board)}
    return fitting.FreeCapacity(
        {
            worker.id: worker.free
            for worker in board.workers_by_id.values()
            if _takes_starts(board, worker, now)
            and worker.id not in doubted_ids
        },
        fitting.scores_by_name[settings.placement],
        board.worker_speeds,
    )


def _takes_starts(
    board: fleet.ShardBoard, worker: fleet.Worker, now: float
) -> bool:
    return (
        worker.is_listed
        and worker.is_polled
        and worker.failures_in_row == 0
        and not worker.entry.is_draining
        and worker.entry.zone not in board.table.zones_out_of_service
        and not fleethealth.is_quarantined(board, worker.id, now)
    )


def _place(view: _Round, group: fleet.Group) -> bool:
    """Place a group, or see to its room; return whether it was placed."""
    board, queue = view.board, group.job.queue
    if queue is None:
        return False
    group.may_span_racks = fitting.must_span_racks(
        (
            worker
            for worker in board.workers_by_id.values()
            if worker.entry.service == queue.service
        ),
        group.step,
    )
    allow = _build_allow(view, group, queue)
    # Workers that this group avoids or may not use are free for others.
    is_shared = not (group.avoided_worker_ids or queue.advice)
    rank = view.rank(group) if is_shared else None
    placed = fitting.place(board, view.free_capacity, group, allow, rank)
    if placed is not None:
        board.claims_by_group.pop(group, None)
        _commit(board, group, placed, view.now)
        return True
    if _needs_room(view, group):
        _make_room(view, group, allow)
    return False


def _build_allow(
    view: _Round, group: fleet.Group, queue: queues.Queue
) -> fitting.WorkerFilter:
    """Return which workers a group may use, room apart."""
    board, rank = view.board, view.rank(group)
    foreign_ids = _claimed_ids(
        claim
        for owner, claim in board.claims_by_group.items()
        if owner is not group and claim.rank <= rank
    )

    def allow(worker: fleet.Worker) -> bool:
        return (
            worker.id not in foreign_ids
            and worker.id not in group.avoided_worker_ids
            and worker.entry.service == queue.service
            and fitting.fits_ever(worker, group.step)
            and fitting.may_share(worker, group.step)
            and advising.ticket_for(board, group, worker.id, view.now)
            is not None
        )

    return allow


def _claimed_ids(claims: abc.Iterable[fleet.CapacityClaim]) -> frozenset[str]:
    return frozenset().union(*(claim.worker_ids for claim in claims))


def _commit(
    board: fleet.ShardBoard,
    group: fleet.Group,
    worker_ids: abc.Sequence[str],
    now: float,
) -> None:
    """Place a group; its starts follow when its row is stored."""
    group.attempt += 1
    group.end_reason = None
    group.is_resumed = bool(group.checkpoint)
    group.enter(fleet.Phase.COMMITTING, now)
    group.members = []
    for index, worker_id in zip(group.task_indices, worker_ids, strict=True):
        worker = board.workers_by_id[worker_id]
        member = fleet.Member(
            group, index, worker_id, worker.boot, fleet.MemberState.PLACED
        )
        group.members.append(member)
        worker.add_member(member)
    job = group.job
    if job.state is jobs.JobState.WAITING:
        job.state = jobs.JobState.RUNNING
    board.record_decision(
        'placed',
        job,
        group=[group.key.occurrence, group.key.step, group.key.index],
        attempt=group.attempt,
        workers=list(dict.fromkeys(worker_ids)),
    )
    board.mark_changed(job)


def _needs_room(view: _Round, group: fleet.Group) -> bool:
    """Whether room has to be chosen: none is claimed, or it did not come."""
    claim = view.board.claims_by_group.get(group)
    return claim is None or view.now - claim.since > _CLAIM_REVIEW_S


def _make_room(
    view: _Round, group: fleet.Group, allow: fitting.WorkerFilter
) -> None:
    """Stop other work for a group, or claim what becomes free."""
    may_reclaim = waiting.reclaims_by_name[view.settings.reclaim]
    if may_reclaim(group, view.covered, view.wall_s):
        if _reclaim(view, group, allow):
            return
    if _may_claim_soonest(view, group):
        _claim_soonest(view, group, allow)


def _reclaim(
    view: _Round, group: fleet.Group, allow: fitting.WorkerFilter
) -> bool:
    """Stop other work for a group; return whether that makes room."""
    board, rank = view.board, view.rank(group)

    def may_stop(other: fleet.Group) -> bool:
        return view.rank(other) > rank

    chosen = reclaiming.choose_victims(
        board, view.free_capacity, group, allow, may_stop, view.now
    )
    if chosen is None:
        return False
    is_guaranteed = waiting.is_covered(group, view.covered, view.wall_s)
    most_s = reclaiming.max_lost_work_s(board, group)
    if chosen.cost > most_s and not is_guaranteed:
        return False
    _claim(view, group, chosen.worker_ids)
    for victim in chosen.victims:
        if victim.phase is fleet.Phase.STOPPING:
            continue
        if reclaiming.ends_soon(victim, view.now):
            continue
        board.record_decision(
            'preempted',
            victim.job,
            attempt=victim.attempt,
            by=group.job.graph.id,
        )
        runs.end_group(board, victim, fleet.EndReason.PREEMPTED, view.now)
        runs.settle_group(board, victim, view.now, 0)
    return True


def _claim(
    view: _Round, group: fleet.Group, worker_ids: frozenset[str]
) -> None:
    """Keep workers for a group, from this round on."""
    view.board.claims_by_group[group] = fleet.CapacityClaim(
        worker_ids, view.now, view.rank(group)
    )
    for worker_id in worker_ids:
        view.free_capacity.free_by_id.pop(worker_id, None)


def _may_claim_soonest(view: _Round, group: fleet.Group) -> bool:
    """Whether a gang may keep others off workers that it waits for."""
    share = view.settings.claim_share
    if group.size == 1 or not share:
        return False
    use = objectives.usefulness(group, view.wall_s)
    if use is objectives.Usefulness.TOO_LATE:
        return False
    claimed_ids = _claimed_ids(
        claim
        for owner, claim in view.board.claims_by_group.items()
        if owner is not group
    )
    return len(claimed_ids) < share * len(view.board.workers_by_id)


def _claim_soonest(
    view: _Round, group: fleet.Group, allow: fitting.WorkerFilter
) -> None:
    board = view.board
    chosen = reclaiming.choose_soonest_free(
        board, view.free_capacity, group, allow, view.now
    )
    if chosen is None:
        return
    if group not in board.claims_by_group:
        board.record_decision(
            'room claimed',
            group.job,
            attempt=group.attempt,
            workers=sorted(chosen.worker_ids),
            expected_in_s=round(chosen.cost, 3),
        )
    _claim(view, group, chosen.worker_ids)


def _drop_claims(board: fleet.ShardBoard, now: float) -> None:
    for group, claim in list(board.claims_by_group.items()):
        if (
            group.phase is not fleet.Phase.WAITING
            or now - claim.since > _CLAIM_TIMEOUT_S
        ):
            del board.claims_by_group[group]
