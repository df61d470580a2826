"""One round of decisions of a shard's holder.

The round is a fixed order of controllers over the board: settle what has
expired, follow cancellations, release what is due, place what waits,
reclaim what guarantees promise, and order stops.  Each is a function of
the board, the settings and the time.
"""

from collections import abc
import typing

from primroselock.decisions import advising
from primroselock.decisions import fitting
from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import graphs
from primroselock.decisions import objectives
from primroselock.decisions import reachability
from primroselock.decisions import reclaiming
from primroselock.decisions import runs
from primroselock.decisions import waiting
from primroselock import jobs
from primroselock import options

_CLAIM_TIMEOUT_S: typing.Final = 4.0
_MOST_PLACED: typing.Final = 1000
"""Groups a round: leases must be renewed between rounds."""

_CLAIM_REVIEW_S: typing.Final = 1.0
"""Room that should be free by then is chosen anew."""


Controller = abc.Callable[[fleet.Board, options.Settings, float, float], None]
_controllers: typing.Final[list[tuple[int, Controller]]] = []


def controller(order: int) -> abc.Callable[[Controller], Controller]:
    """Register the decorated function; lower orders run first."""

    def register(decide: Controller) -> Controller:
        _controllers.append((order, decide))
        _controllers.sort(key=lambda entry: entry[0])
        return decide

    return register


def run(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Run every controller once; ``wall_s`` is since the Unix epoch."""
    for _, decide in _controllers:
        decide(board, settings, now, wall_s)


@controller(order=10)
def settle_expired(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Settle what cannot run any more because no lease holds."""
    runs.expire_workers(board, now, int(wall_s * 1000))


@controller(order=20)
def follow_cancellations(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """End cancelled jobs, and drop the rest of jobs that ended."""
    for job in list(board.jobs_by_id.values()):
        if job.is_cancelled and not job.state.is_final:
            job.state = jobs.JobState.CANCELLED
            job.ended_ms = int(wall_s * 1000)
            board.note('job cancelled', job)
            board.touch(job)
        if not job.state.is_final:
            continue
        _drop_groups(board, job, now, int(wall_s * 1000))
        if _is_settled(job):
            del board.jobs_by_id[job.graph.id]
            board.learned.forget(job.graph.id, len(job.graph.steps))
            board.worker_speeds.forget_job(job.graph.id, len(job.graph.steps))
            for group in job.groups_by_key.values():
                board.advice_by_step.pop(group.step_name, None)


def _drop_groups(
    board: fleet.Board, job: fleet.LiveJob, now: float, wall_ms: int
) -> None:
    for group in job.groups_by_key.values():
        if group.phase in (fleet.Phase.BLOCKED, fleet.Phase.WAITING):
            group.enter(fleet.Phase.DROPPED, now)
        elif group.phase in fleet.ACTIVE_PHASES:
            runs.end_group(board, group, fleet.Ending.CANCELLED, now)
            runs.settle_group(board, group, now, wall_ms)


def _is_settled(job: fleet.LiveJob) -> bool:
    """Whether rows show the end and nothing of the job can run."""
    if job.saved < job.change:
        return False
    return not any(
        group.left_members() for group in job.groups_by_key.values()
    )


@controller(order=30)
def release_occurrences(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Add the occurrences that have become due."""
    for job in board.jobs_by_id.values():
        if not job.state.is_final:
            graphs.release_due(board, job, now, int(wall_s * 1000))


@controller(order=35)
def quarantine_workers(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Give workers that fail what they run no work for a while."""
    fleethealth.quarantine(board, now)


@controller(order=36)
def leave_draining_workers(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Move work that would not end before its worker is gone."""
    for group in fleethealth.list_doomed(board, now):
        board.note('worker leaves too soon', group.job, attempt=group.attempt)
        runs.end_group(board, group, fleet.Ending.MOVED, now)


@controller(order=38)
def stop_stuck_tasks(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Try tasks elsewhere that do not end where they are."""
    far_factor = settings.fleet.far_factor
    for stuck in fleethealth.list_stuck(board, far_factor, now):
        group = stuck.group
        fleethealth.blame(board, group)
        board.note(
            'task stuck',
            group.job,
            attempt=group.attempt,
            why=stuck.why,
            worked_s=round(group.worked_s(now), 3),
        )
        runs.end_group(board, group, fleet.Ending.STUCK, now)


@controller(order=40)
def stop_stuck_starts(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Give up attempts whose members were not all accepted in time."""
    limit_s = settings.fleet.start_timeout_s
    for group in list(board.phases.starting):
        is_unanswered = any(
            member.state is fleet.MemberState.ORDERED
            for member in group.members
        )
        if is_unanswered and now - group.since >= limit_s:
            runs.end_group(board, group, fleet.Ending.LOST, now)


@controller(order=50)
def place_waiting(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Place the groups that wait, and reclaim room for guaranteed work."""
    if now > board.permit_until:
        return
    covered = waiting.guaranteed_ids(board)
    sort_key = waiting.orders_by_name[settings.fleet.waiting_order]
    groups = waiting.list_waiting(board, covered, sort_key, now, wall_s)
    _drop_claims(board, now)
    if not groups:
        return
    rooms = _rooms(board, settings, now)
    placed = 0
    for group in groups:
        placed += _place(board, settings, rooms, group, covered, now, wall_s)
        if placed >= _MOST_PLACED:
            # The next round follows once these are stored.
            break


def _rooms(
    board: fleet.Board, settings: options.Settings, now: float
) -> fitting.Rooms:
    """Draft what is free on workers that may get starts."""
    doubted_ids = {worker.id for worker in reachability.list_doubted(board)}
    return fitting.Rooms(
        {
            worker.id: worker.free
            for worker in board.workers_by_id.values()
            if _takes_starts(board, worker, now)
            and worker.id not in doubted_ids
        },
        fitting.scores_by_name[settings.fleet.placement],
        board.worker_speeds,
    )


def _takes_starts(
    board: fleet.Board, worker: fleet.Worker, now: float
) -> bool:
    return (
        worker.is_listed
        and worker.is_known
        and worker.failures_in_row == 0
        and not worker.entry.is_draining
        and worker.entry.zone not in board.table.zones_out
        and not fleethealth.is_quarantined(board, worker.id, now)
    )


def _place(
    board: fleet.Board,
    settings: options.Settings,
    rooms: fitting.Rooms,
    group: fleet.Group,
    covered: abc.Set[str],
    now: float,
    wall_s: float,
) -> bool:
    """Place a group, or see to its room; return whether it was placed."""
    may_reclaim = waiting.reclaims_by_name[settings.fleet.reclaim]
    queue = group.job.queue
    if queue is None:
        return False
    rank = waiting.rank(group, covered)
    claim = board.claims_by_group.get(group)
    foreign = frozenset().union(
        *(
            other.worker_ids
            for owner, other in board.claims_by_group.items()
            if owner is not group and other.rank <= rank
        )
    )

    def allow(worker: fleet.Worker) -> bool:
        return (
            worker.id not in foreign
            and worker.id not in group.stuck_on_ids
            and worker.entry.service == queue.service
            and fitting.fits_ever(worker, group.step)
            and fitting.may_share(worker, group.step)
            and advising.ticket_for(board, group, worker.id, now) is not None
        )

    group.spread = fitting.needs_spreading(
        (
            worker
            for worker in board.workers_by_id.values()
            if worker.entry.service == queue.service
        ),
        group.step,
    )
    is_plain = not (group.stuck_on_ids or queue.advice)
    placed = fitting.place(
        board, rooms, group, allow, rank if is_plain else None
    )
    if placed is not None:
        board.claims_by_group.pop(group, None)
        commit(board, group, placed, now)
        return True
    if _is_due(claim, now):
        found = may_reclaim(group, covered, wall_s) and _reclaim(
            board, rooms, group, allow, covered, now
        )
        if not found and _may_claim_soonest(board, settings, group, wall_s):
            _claim_soonest(board, rooms, group, allow, rank, now)
    return False


def _is_due(claim: fleet.Claim | None, now: float) -> bool:
    """Whether room has to be chosen: none is claimed, or it did not come."""
    return claim is None or now - claim.since > _CLAIM_REVIEW_S


def commit(
    board: fleet.Board,
    group: fleet.Group,
    worker_ids: abc.Sequence[str],
    now: float,
) -> None:
    """Place a group; its starts follow when its row is stored."""
    group.attempt += 1
    group.ending = None
    group.is_resumed = bool(group.checkpoint)
    group.enter(fleet.Phase.COMMITTING, now)
    group.members = []
    for index, worker_id in zip(group.task_indices, worker_ids, strict=True):
        worker = board.workers_by_id[worker_id]
        member = fleet.Member(
            group, index, worker_id, worker.boot, fleet.MemberState.PLACED
        )
        group.members.append(member)
        worker.put(member)
    job = group.job
    if job.state is jobs.JobState.WAITING:
        job.state = jobs.JobState.RUNNING
    board.note(
        'placed',
        job,
        group=[group.key.occurrence, group.key.step, group.key.index],
        attempt=group.attempt,
        workers=list(dict.fromkeys(worker_ids)),
    )
    board.touch(job)


def _reclaim(
    board: fleet.Board,
    rooms: fitting.Rooms,
    group: fleet.Group,
    allow: fitting.Allow,
    covered: abc.Set[str],
    now: float,
) -> bool:
    """Stop other work for a group; return whether that makes room."""
    rank = waiting.rank(group, covered)

    def may_stop(other: fleet.Group) -> bool:
        return waiting.rank(other, covered) > rank

    chosen = reclaiming.choose_victims(
        board, rooms, group, allow, may_stop, now
    )
    if chosen is None:
        return False
    _claim(board, rooms, group, chosen.worker_ids, rank, now)
    for victim in chosen.victims:
        if victim.phase is fleet.Phase.STOPPING:
            continue
        if reclaiming.ends_soon(victim, now):
            continue
        board.note(
            'preempted',
            victim.job,
            attempt=victim.attempt,
            by=group.job.graph.id,
        )
        runs.end_group(board, victim, fleet.Ending.PREEMPTED, now)
        runs.settle_group(board, victim, now, 0)
    return True


def _claim(
    board: fleet.Board,
    rooms: fitting.Rooms,
    group: fleet.Group,
    worker_ids: frozenset[str],
    rank: tuple[bool, int],
    now: float,
) -> None:
    board.claims_by_group[group] = fleet.Claim(worker_ids, now, rank)
    for worker_id in worker_ids:
        rooms.free_by_id.pop(worker_id, None)


def _may_claim_soonest(
    board: fleet.Board,
    settings: options.Settings,
    group: fleet.Group,
    wall_s: float,
) -> bool:
    """Whether a gang may keep others off workers that it waits for."""
    if group.size == 1 or not settings.fleet.claim_share:
        return False
    if objectives.usefulness(group, wall_s) is objectives.Usefulness.IN_VAIN:
        return False
    claimed = frozenset().union(
        *(
            claim.worker_ids
            for owner, claim in board.claims_by_group.items()
            if owner is not group
        )
    )
    most = settings.fleet.claim_share * len(board.workers_by_id)
    return len(claimed) + 1 <= most


def _claim_soonest(
    board: fleet.Board,
    rooms: fitting.Rooms,
    group: fleet.Group,
    allow: fitting.Allow,
    rank: tuple[bool, int],
    now: float,
) -> None:
    chosen = reclaiming.choose_soonest(board, rooms, group, allow, now)
    if chosen is None:
        return
    if group not in board.claims_by_group:
        board.note(
            'room claimed',
            group.job,
            attempt=group.attempt,
            workers=sorted(chosen.worker_ids),
            expected_in_s=round(chosen.cost, 3),
        )
    _claim(board, rooms, group, chosen.worker_ids, rank, now)


def _drop_claims(board: fleet.Board, now: float) -> None:
    for group, claim in list(board.claims_by_group.items()):
        if (
            group.phase is not fleet.Phase.WAITING
            or now - claim.since > _CLAIM_TIMEOUT_S
        ):
            del board.claims_by_group[group]


@controller(order=60)
def order_stops(
    board: fleet.Board,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Order the stops of what is ending."""
    runs.order_stops(board, now)
