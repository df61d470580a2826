"""Applies the answers to orders and polls to the members of groups.

A run report replaces assumed by observed state: what it lists as
running runs, what it lists as ended has ended, and a member whose order
was answered before the poll was sent and that the report does not list
cannot run.  An order that was not answered may be executed later, so
that its member keeps its resources until a stop of the same run was
answered and a later report does not list it, until the time in the order by
which it must begin has passed on that worker and a report does not list it,
or until no lease can be valid on that worker.
"""

import typing

from primroselock.decisions import crashes
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import runprogress
from primroselock.decisions import sharing
from primroselock.decisions import unexpectedruns
from primroselock.decisions import workerboots
from primroselock import jobs
from primroselock.workers import orders

_STOP_RETRY_S: typing.Final = 0.5
_STOP_EFFECT_S: typing.Final = 2.0
"""A run that is still reported after an answered stop is stopped again."""

_GANG_STOP_GRACE_S: typing.Final = 0.25
"""Workers stop the remaining members of a broken gang within this time."""

_GANG_DONE_GRACE_S: typing.Final = 2.0
"""Workers have reported the other ends of a gang that is done by then."""

_MIN_WORK_S: typing.Final = 3.0
"""A faulty worker fails what it starts sooner."""

_END_REASONS_BY_CAUSE: typing.Final = {
    orders.EndCause.FAILED: livejobs.EndReason.FAILED,
    orders.EndCause.STOPPED: livejobs.EndReason.LOST,
    orders.EndCause.LEASE_EXPIRED: livejobs.EndReason.LOST,
    orders.EndCause.GANG_BROKEN: livejobs.EndReason.LOST,
    orders.EndCause.ALONE: livejobs.EndReason.REFUSED,
}


def record_poll(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    report: orders.RunReport,
    sent_at: float,
    now: float,
    wall_ms: int,
) -> None:
    """Apply a worker's run report; its poll was sent at ``sent_at``."""
    lost_groups = crashes.record_restart(board, worker, report, now)
    has_unknown_leases = workerboots.may_hold_unknown_leases(worker, report)
    if workerboots.is_restarted(worker, report):
        _reset_restarted(board, worker, report)
        _await_late_starts(board, worker, report, now, wall_ms)
    if has_unknown_leases:
        worker.lease_end = workerboots.latest_lease_end(
            worker, report, board.run_lease_s
        )
    worker.boot = report.boot or worker.entry.boot
    board.worker_speeds.confirm(worker.id, worker.boot)
    workerboots.record_answer(worker, report, sent_at)
    worker.polled_at = max(worker.polled_at, sent_at)
    is_compared = worker.clock_delta_s is not None
    reported_at = _reported_at(worker, report.clock_s, now)
    worker.clock_s, worker.clock_at = report.clock_s, now
    # It may be read late, and the first one tells nothing of its delay.
    worker.boot_seen_at = max(sent_at, reported_at if is_compared else sent_at)
    worker.last_answer_at = now
    worker.failures_in_row = 0
    for ended in report.ended:
        _record_end(board, worker, ended, now, wall_ms)
    reported = {running.run: running for running in report.running}
    for run, running in reported.items():
        _record_running(board, worker, run, running, reported_at, now)
    if report.is_complete:
        _record_absent(board, worker, reported, sent_at, now, wall_ms)
    unexpectedruns.drop_unlisted(worker, reported)
    for run in workerboots.take_due_stops(worker, now):
        board.orders.append(fleet.StopOrder(worker.id, run))
    for group in lost_groups:
        # A start that was not answered must not be sent again: it would
        # crash this incarnation too.
        end_group(board, group, livejobs.EndReason.LOST, now, wall_ms)


def _reported_at(
    worker: fleetworkers.Worker, clock_s: float, now: float
) -> float:
    """Return when a report was made, on this process's clock.

    A report that was received or processed late must not look like the
    state of now.  The least delay seen so far counts as none, but for the
    drift of the worker's clock since then.
    """
    delta_s = now - clock_s
    if worker.clock_delta_s is not None:
        drift_s = max(0.0, now - worker.clock_at) * leasebounds.CLOCK_DRIFT
        delta_s = min(delta_s, worker.clock_delta_s + drift_s)
    worker.clock_delta_s = delta_s
    return clock_s + delta_s


def _reset_restarted(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    report: orders.RunReport,
) -> None:
    """Reset what belongs to the worker's earlier incarnation.

    The members stay until they are compared with the report.
    """
    board.worker_speeds.drop_worker(worker.id)
    worker.refusals_in_row = 0
    worker.listed_end = 0
    worker.saved_end = 0
    worker.confirmed_end = 0
    worker.unsaved_ends.clear()
    worker.clock_delta_s = None
    workerboots.forget_stops(worker)
    board.decision_records.append(
        fleet.DecisionRecord(
            'worker restarted',
            '',
            {
                'worker': worker.id,
                'boot': report.boot,
                'was': worker.boot,
                'entry_boot': worker.entry.boot,
            },
        )
    )


def _await_late_starts(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    report: orders.RunReport,
    now: float,
    wall_ms: int,
) -> None:
    """Stop what ran on the boot before and may yet begin on this one."""
    listed = {running.run for running in report.running}
    listed.update(ended.run for ended in report.ended)
    for member in workerboots.list_late(worker):
        has_run = member.state is livejobs.MemberState.PRESENT
        workerboots.forget_answers(member)
        if has_run and member.run not in listed:
            end_group(
                board, member.group, livejobs.EndReason.LOST, now, wall_ms
            )


def _record_end(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    ended: orders.Ended,
    now: float,
    wall_ms: int,
) -> None:
    if ended.number <= worker.listed_end:
        return
    worker.listed_end = ended.number
    worker.unexpected_runs.pop(ended.run, None)
    member = worker.members.get(ended.run)
    if member is None:
        return
    group = member.group
    _note_started(board, group.job)
    values = {'cause': ended.cause.value, 'worker': worker.id}
    if ended.cause is orders.EndCause.LEASE_EXPIRED:
        lapse = board.lease_lapses.record(worker, board.run_lease_s, now)
        values['why'] = lapse.value
    board.record_decision(
        'run ended',
        group.job,
        task=str(ended.run.task),
        attempt=ended.run.attempt,
        **values,
    )
    board.mark_terminated(member)
    _record_checkpoint(group, ended.checkpoint)
    if ended.cause is orders.EndCause.DONE:
        member.is_done = True
        if member.progress is not None and group.size == 1:
            # A gang ends with its slowest member, so that the end gives no
            # information about the speed of the others.
            _record_speed(board, member, member.progress.take_final_rate(now))
        _record_done(board, group, worker, now, wall_ms)
    elif group.phase is not livejobs.Phase.DONE:
        if ended.cause is orders.EndCause.FAILED:
            _record_failure(board, group, worker.id, now)
        cause = _END_REASONS_BY_CAUSE[ended.cause]
        end_group(board, group, cause, now, wall_ms)
    board.mark_changed(group.job)
    worker.unsaved_ends.append(
        fleetworkers.UnsavedEnd(ended.number, group.job, group.job.change)
    )
    settle_group(board, group, now, wall_ms)


def _record_failure(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    worker_id: str,
    now: float,
) -> None:
    """Record what a failed run tells of its worker.

    Long-running work never ends done, and may fail at any time: that it was
    at work for a while speaks for the worker.
    """
    was_at_work = (
        group.step.long_running
        and group.began_at is not None
        and now - group.began_at >= _MIN_WORK_S
    )
    if was_at_work:
        board.failure_evidence.record_success(worker_id)
    else:
        board.failure_evidence.record_failure(
            worker_id, group.job.graph.id, group.attempt
        )


def _record_checkpoint(group: livejobs.Group, checkpoint: str) -> None:
    if checkpoint:
        group.checkpoint = checkpoint


def _record_done(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    worker: fleetworkers.Worker,
    now: float,
    wall_ms: int,
) -> None:
    board.failure_evidence.record_success(worker.id)
    if group.phase is livejobs.Phase.DONE:
        return
    if group.step.long_running:
        end_group(board, group, livejobs.EndReason.LOST, now, wall_ms)
        return
    graphs.complete_group(board, group, now, wall_ms)


def _record_running(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    run: orders.Run,
    running: orders.Running,
    reported_at: float,
    now: float,
) -> None:
    member = worker.members.get(run)
    if member is None:
        unexpectedruns.record(board, worker, run, now)
        return
    worker.unexpected_runs.pop(run, None)
    group = member.group
    _record_checkpoint(group, running.checkpoint)
    _record_progress(board, member, running.share, reported_at)
    sharing.record_latency(board, member, running.tail_latency_ms, reported_at)
    member.boot = worker.boot
    if member.state is not livejobs.MemberState.PRESENT:
        mark_present(board, member, now)


def _record_progress(
    board: fleet.ShardBoard,
    member: livejobs.Member,
    share: float,
    reported_at: float,
) -> None:
    group = member.group
    if group.step.long_running:
        # The share of long-running work does not rise towards an end.
        return
    board.reported_groups[group] = None
    if member.progress is None:
        member.progress = runprogress.start(share, reported_at)
        if group.began_at is not None and not group.is_resumed:
            rate_per_s = member.progress.take_first_rate(group.began_at)
            _record_speed(board, member, rate_per_s)
        return
    member.progress.record(share, reported_at)
    _record_speed(board, member, member.progress.take_rate())


def _record_speed(
    board: fleet.ShardBoard, member: livejobs.Member, rate_per_s: float | None
) -> None:
    if rate_per_s is None:
        return
    group = member.group
    step = (group.job.graph.id, group.key.step)
    board.worker_speeds.record(step, member.worker_id, rate_per_s)


def _record_absent(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    reported: dict[orders.Run, orders.Running],
    sent_at: float,
    now: float,
    wall_ms: int,
) -> None:
    """Settle members that a complete report does not list."""
    for run, member in list(worker.members.items()):
        if run in reported:
            continue
        if not _proves_absence(member, sent_at, worker.clock_s):
            continue
        if member.state is livejobs.MemberState.INHERITED:
            # Only this boot is known to refuse the earlier holder's order.
            worker.add_late_run(member, now)
        board.mark_terminated(member)
        group = member.group
        end_group(board, group, livejobs.EndReason.LOST, now, wall_ms)


def _proves_absence(
    member: livejobs.Member, sent_at: float, clock_s: float
) -> bool:
    """Return whether a member cannot run if the report does not list it.

    ``sent_at`` is when the poll of the report was sent, ``clock_s`` when the
    report was made, on the worker's clock.
    """
    if member.state is livejobs.MemberState.INHERITED:
        # The poll had this holder's epoch: earlier orders are refused now.
        return True
    if member.state is livejobs.MemberState.PRESENT:
        return member.answered_at < sent_at
    if member.begin_before is not None and clock_s > member.begin_before:
        return True
    return member.stopped_at < sent_at and member.stopped_at > 0


def _note_started(board: fleet.ShardBoard, job: livejobs.LiveJob) -> None:
    """Record that a task of a job has started; a placement does not tell."""
    if job.state is jobs.JobState.WAITING:
        job.state = jobs.JobState.RUNNING
        board.mark_changed(job)


def mark_present(
    board: fleet.ShardBoard, member: livejobs.Member, now: float
) -> None:
    """Record that a member runs; its group runs once all members do."""
    _note_started(board, member.group.job)
    member.state = livejobs.MemberState.PRESENT
    if member.answered_at < member.ordered_at or member.answered_at < 0:
        member.answered_at = now
    group = member.group
    if group.phase is not livejobs.Phase.STARTING:
        return
    if all(
        other.state is livejobs.MemberState.PRESENT for other in group.members
    ):
        group.enter(livejobs.Phase.RUNNING, now)
        group.began_at = now
        group.refusals_in_row = 0


def end_group(
    board: fleet.ShardBoard,
    group: livejobs.Group,
    end_reason: livejobs.EndReason,
    now: float,
    wall_ms: int,
) -> None:
    """Begin to stop an attempt, unless it is being stopped already.

    It is concluded at once if none of its members can run, as when no start
    was sent: no report would conclude it later.
    """
    if group.phase not in livejobs.ACTIVE_PHASES:
        return
    is_failure = end_reason is livejobs.EndReason.FAILED
    if is_failure and group.failed_attempt < group.attempt:
        # A failure counts even if another end was recorded first, and only
        # once if the worker reports it again after an earlier holder
        # counted it.
        group.failures += 1
        group.failed_attempt = group.attempt
        group.end_reason = end_reason
    if group.phase is not livejobs.Phase.STOPPING:
        group.end_reason = end_reason
        group.enter(livejobs.Phase.STOPPING, now)
        for member in group.members:
            if member.state is livejobs.MemberState.PLACED:
                board.mark_terminated(member)
    settle_group(board, group, now, wall_ms)


def settle_group(
    board: fleet.ShardBoard, group: livejobs.Group, now: float, wall_ms: int
) -> None:
    """Conclude an attempt once none of its members can run."""
    if (
        group.phase is livejobs.Phase.STOPPING
        and not group.remaining_members()
    ):
        graphs.conclude_attempt(board, group, now, wall_ms)


def order_stops(board: fleet.ShardBoard, now: float) -> None:
    """Order the stops of members, and repeat them while they have no effect.

    A worker that does not answer gets none: what it runs is known, and
    stopped where necessary, once it answers a poll.  The members of a gang
    that is done end on their own; those that are not known to get a stop, too:
    on a boot that has never had the run nothing else proves that it is absent.
    """
    for group in (*board.phases.stopping, *board.phases.unsettled):
        for member in group.remaining_members():
            worker = board.workers_by_id.get(member.worker_id)
            if worker is not None and worker.failures_in_row:
                continue
            if _needs_stop(member, now):
                member.stop_sent_at = now
                board.orders.append(
                    fleet.StopOrder(member.worker_id, member.run, member)
                )


def _needs_stop(member: livejobs.Member, now: float) -> bool:
    group = member.group
    if now - member.stop_sent_at < _STOP_RETRY_S:
        return False
    if member.stopped_at > 0:
        # Without a report that lists it, the next one settles the member.
        return (
            member.state is livejobs.MemberState.PRESENT
            and now - member.stopped_at >= _STOP_EFFECT_S
        )
    stops_on_its_own = group.size > 1 and any(
        other.state is livejobs.MemberState.TERMINATED
        for other in group.members
    )
    if stops_on_its_own and member.state is livejobs.MemberState.PRESENT:
        is_done = group.phase is livejobs.Phase.DONE
        grace_s = _GANG_DONE_GRACE_S if is_done else _GANG_STOP_GRACE_S
        return now - group.since >= grace_s
    return True


def advance_saved_end(worker: fleetworkers.Worker) -> None:
    """Update the number of the last end whose effect is stored."""
    while worker.unsaved_ends:
        oldest = worker.unsaved_ends[0]
        if oldest.job.saved_change < oldest.change:
            worker.saved_end = max(worker.saved_end, oldest.number - 1)
            return
        worker.saved_end = max(worker.saved_end, oldest.number)
        worker.unsaved_ends.pop(0)
    worker.saved_end = worker.listed_end


def end_to_confirm(worker: fleetworkers.Worker) -> int:
    """Return the number of the end to confirm to the worker, or 0.

    The worker discards the ends up to that number.  0 where there is no new
    one, or where the worker may have restarted since its last report: its
    numbers begin again, and it would discard ends that it never reported.
    """
    if (
        worker.failures_in_row
        or worker.is_doubted
        or worker.saved_end <= worker.confirmed_end
    ):
        return 0
    return worker.saved_end
