"""One round of decisions of a shard's holder.

The round runs controllers over the blackboard in a fixed order: settle
workers whose leases have expired, apply cancellations, release occurrences
that are due, quarantine workers, stop attempts that would be cut short by a
drain, that are stuck or whose starts were not answered, give up jobs whose
tasks crash workers, place waiting groups (with preemption), order stops, and
report work that waits beside free capacity.  Each controller is a function of
the blackboard, the settings and the time.  Those that may take long are
divided, so that a round may be interrupted (see ``slices``).
"""

from collections import abc
import typing

from primroselock.decisions import crashpolicy
from primroselock.decisions import fleet
from primroselock.decisions import fleethealth
from primroselock.decisions import fleetplacing
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions import runleases
from primroselock.decisions import runs
from primroselock.decisions import sharing
from primroselock.decisions import slices
from primroselock.decisions import unsettledmembers
from primroselock.decisions import waitreport
from primroselock import jobs
from primroselock import options

Controller = abc.Callable[
    [fleet.ShardBoard, options.Settings, float, float], None
]
DividedController = abc.Callable[
    [fleet.ShardBoard, options.Settings, slices.Turn], slices.Slices
]
_controllers: typing.Final[list[tuple[int, DividedController]]] = []


def divided(
    order: int,
) -> abc.Callable[[DividedController], DividedController]:
    """Register the decorated function, which yields where it may pause."""

    def register(decide: DividedController) -> DividedController:
        _controllers.append((order, decide))
        _controllers.sort(key=lambda entry: entry[0])
        return decide

    return register


def controller(order: int) -> abc.Callable[[Controller], Controller]:
    """Register the decorated function; lower orders run first."""

    def register(decide: Controller) -> Controller:
        def run_whole(
            board: fleet.ShardBoard,
            settings: options.Settings,
            turn: slices.Turn,
        ) -> slices.Slices:
            decide(board, settings, turn.now, turn.wall_s)
            yield

        divided(order)(run_whole)
        return decide

    return register


def begin(
    board: fleet.ShardBoard, settings: options.Settings, turn: slices.Turn
) -> slices.Slices:
    """Run every controller once, in ascending order, with interruptions."""
    for _, decide in _controllers:
        yield from decide(board, settings, turn)


def run(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Run a round without interruptions.

    ``now`` is on this process's clock; ``wall_s`` is since the Unix epoch.
    """
    for _ in begin(board, settings, slices.Turn(now, wall_s)):
        pass


@controller(order=10)
def settle_expired(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Settle the members of workers on which no lease is valid."""
    runleases.expire_workers(board, now, int(wall_s * 1000))


@controller(order=20)
def apply_cancellations(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """End cancelled jobs, and drop the open groups of ended jobs."""
    wall_ms = int(wall_s * 1000)
    for job in list(board.phases.ending_jobs):
        if job.is_cancelled and not job.state.is_final:
            job.end(jobs.JobState.CANCELLED, wall_ms)
            board.record_decision('job cancelled', job)
            board.mark_changed(job)
        _drop_groups(board, job, now, wall_ms)
        if _is_settled(job):
            _remove_job(board, job)


def _remove_job(board: fleet.ShardBoard, job: livejobs.LiveJob) -> None:
    """Remove a settled job and what is known of its steps."""
    board.note_ended(job.graph.id, job.graph.account, job.ended_ms)
    del board.jobs_by_id[job.graph.id]
    del board.phases.ending_jobs[job]
    board.phases.unreleased_jobs.pop(job, None)
    board.learned.drop_job(job.graph.id, len(job.graph.steps))
    board.worker_speeds.drop_job(job.graph.id, len(job.graph.steps))
    for group in job.groups_by_key.values():
        board.advice_by_step.pop(group.step_name, None)


def _drop_groups(
    board: fleet.ShardBoard, job: livejobs.LiveJob, now: float, wall_ms: int
) -> None:
    for group in job.groups_by_key.values():
        if group.phase in (livejobs.Phase.BLOCKED, livejobs.Phase.WAITING):
            group.enter(livejobs.Phase.DROPPED, now)
        elif group.phase in livejobs.ACTIVE_PHASES:
            runs.end_group(
                board, group, livejobs.EndReason.CANCELLED, now, wall_ms
            )


def _is_settled(job: livejobs.LiveJob) -> bool:
    """Return whether the end is stored and no member can run."""
    if job.saved_change < job.change:
        return False
    return not any(
        group.remaining_members() for group in job.groups_by_key.values()
    )


@divided(order=30)
def release_occurrences(
    board: fleet.ShardBoard, settings: options.Settings, turn: slices.Turn
) -> slices.Slices:
    """Add the occurrences that have become due."""
    for job in list(board.phases.unreleased_jobs):
        is_more_due = True
        while is_more_due and not job.state.is_final:
            wall_ms = int(turn.wall_s * 1000)
            is_more_due = graphs.release_due(board, job, turn.now, wall_ms)
            yield


@controller(order=35)
def quarantine_workers(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Quarantine workers on which runs keep failing."""
    fleethealth.quarantine(board, now)


@controller(order=36)
def stop_cut_short_attempts(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Stop attempts that would not end before their worker shuts down."""
    for group in fleethealth.list_cut_short(board, now):
        _stop_attempt(
            board,
            group,
            'it would outlast its draining worker',
            livejobs.EndReason.WORKER_DRAINING,
            now,
            wall_s,
        )


@controller(order=37)
def stop_disturbing_work(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Stop filling work beside tasks that are over their latency target."""
    for group in sharing.list_disturbing(board):
        _stop_attempt(
            board,
            group,
            'a task beside it is over its latency target',
            livejobs.EndReason.PREEMPTED,
            now,
            wall_s,
        )


def _stop_attempt(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    why: str,
    end_reason: livejobs.EndReason,
    now: float,
    wall_s: float,
) -> None:
    """Record why an attempt is stopped, and begin to stop it."""
    board.record_decision(
        f'attempt stopped: {why}', group.job, attempt=group.attempt
    )
    runs.end_group(board, group, end_reason, now, int(wall_s * 1000))


@divided(order=38)
def stop_stuck_tasks(
    board: fleet.ShardBoard, settings: options.Settings, turn: slices.Turn
) -> slices.Slices:
    """Stop stuck attempts, so that they are retried on other workers."""
    # What is reported during a pause is left to the next round.
    calls = -(-len(board.reported_groups) // fleethealth.CHECKED_AT_ONCE)
    for _ in range(calls):
        _stop_some_stuck(board, settings, turn.now, turn.wall_s)
        yield


def _stop_some_stuck(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    far_factor = settings.fleet.far_factor
    wall_ms = int(wall_s * 1000)
    for stuck in fleethealth.list_stuck(board, far_factor, now, wall_s):
        group = stuck.group
        fleethealth.record_stuck(board, group)
        board.record_decision(
            'attempt stopped: its tasks are stuck',
            group.job,
            attempt=group.attempt,
            why=stuck.why,
            worked_s=round(group.worked_s(now), 3),
        )
        runs.end_group(board, group, livejobs.EndReason.STUCK, now, wall_ms)


@controller(order=40)
def stop_unanswered_starts(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """End attempts whose members were not all accepted in time."""
    limit_s = settings.fleet.start_timeout_s
    wall_ms = int(wall_s * 1000)
    if now < board.judge_from:
        # Answers may have been received and not processed yet.
        return
    for group in list(board.phases.starting):
        is_unanswered = any(
            member.state is livejobs.MemberState.ORDERED
            and now - member.ordered_at >= limit_s
            for member in group.members
        )
        if is_unanswered:
            runs.end_group(board, group, livejobs.EndReason.LOST, now, wall_ms)


@controller(order=45)
def give_up_crashing(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Fail jobs whose tasks crash the workers that start them."""
    crashpolicy.give_up(board, now, int(wall_s * 1000))


@divided(order=50)
def place_waiting(
    board: fleet.ShardBoard, settings: options.Settings, turn: slices.Turn
) -> slices.Slices:
    """Place waiting groups, and preempt for more urgent ones."""
    if turn.now > board.permit_until:
        return
    for _ in fleetplacing.place_waiting(board, settings.fleet, turn):
        yield
        if turn.now > board.permit_until:
            return


@controller(order=60)
def order_stops(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Order the stops of members whose groups are being stopped."""
    runs.order_stops(board, now)


@controller(order=65)
def report_unsettled_members(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Report members that keep capacity long after their attempt."""
    unsettledmembers.report(board, now)


@controller(order=70)
def report_idle_waits(
    board: fleet.ShardBoard,
    settings: options.Settings,
    now: float,
    wall_s: float,
) -> None:
    """Report jobs that wait although capacity is free."""
    waitreport.report_idle_waits(board, now)
