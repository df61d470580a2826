"""What a worker that starts again under its id may have done meanwhile.

Each start of a worker's process is a boot.  A new one knows no epoch and no
stopped runs, and its clock starts anew.  Orders that were decided for the boot
before may reach it, with times that mean another moment on its clock.
"""

import dataclasses
import typing

from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.workers import orders

_LATE_START_S: typing.Final = 13.0
"""A start without an answer is taken to begin within this time, or never, on
a boot whose clock does not tell that it is too late."""

_FORGET_LATE_S: typing.Final = 2 * _LATE_START_S
_STOP_RETRY_S: typing.Final = 0.5
_NEVER: typing.Final = float('-inf')


def is_restarted(
    worker: fleetworkers.Worker, report: orders.RunReport
) -> bool:
    """Return whether another boot reports than the one that was polled."""
    return bool(worker.boot and report.boot and report.boot != worker.boot)


def may_hold_unknown_leases(
    worker: fleetworkers.Worker, report: orders.RunReport
) -> bool:
    """Return whether leases of unknown length were granted to what reports.

    A start that was meant for another boot, by this holder or by an earlier
    one, names the end of its lease on that boot's clock.  All that is known
    is that a worker shortens each lease to the longest lease.
    """
    if is_restarted(worker, report):
        return True
    if worker.is_polled:
        return False
    members = (worker.members.get(running.run) for running in report.running)
    return any(m is not None and m.boot != report.boot for m in members)


def record_answer(
    worker: fleetworkers.Worker, report: orders.RunReport, sent_at: float
) -> None:
    """Record which boot has answered a poll that was sent at ``sent_at``.

    An answer to an earlier poll is of the boot that was known before, unless
    it comes from the boot that the entry names.
    """
    if worker.doubted_at is None:
        return
    is_announced = report.boot != 0 and report.boot == worker.entry.boot
    if is_announced or sent_at > worker.doubted_at:
        worker.doubted_at = None


def record_boot(
    worker: fleetworkers.Worker, boot: int, sent_at: float, now: float
) -> None:
    """Record which boot has answered a call outside the polls.

    It was sent at ``sent_at``, and the answer may be read late.  Another one
    than the one that was polled must be polled before it gets times or
    orders.  An answer without a boot tells of no other.
    """
    if boot in (0, worker.boot):
        worker.boot_seen_at = max(worker.boot_seen_at, sent_at)
    else:
        worker.doubted_at = now


def latest_lease_end(
    worker: fleetworkers.Worker, report: orders.RunReport, run_lease_s: float
) -> float:
    """Return by when leases of unknown length have ended, on its clock.

    Starts that are under way are granted theirs when they reach the worker.
    """
    late_s = _LATE_START_S if list_late(worker) else 0.0
    return report.clock_s + late_s + run_lease_s


def late_leases_until(
    worker: fleetworkers.Worker, run_lease_s: float
) -> float:
    """Return by when the leases of late starts have ended, on this clock.

    A silent worker may have started again, and a start that was meant for the
    boot before may begin there without this holder's knowledge.
    """
    return max(
        (
            member.unanswered_at + _LATE_START_S + run_lease_s
            for member in list_late(worker)
        ),
        default=_NEVER,
    )


def list_late(worker: fleetworkers.Worker) -> list[livejobs.Member]:
    """Return the members of which a start order may still be under way.

    Those of earlier holders are not among them: the poll that the worker has
    answered makes it refuse their orders.
    """
    return [
        member
        for member in worker.members.values()
        if member.unanswered_starts
    ]


def forget_answers(member: livejobs.Member) -> None:
    """Forget that an earlier boot has started or stopped a member.

    It counts as ordered: it may begin on the boot that runs now until that
    one has answered a stop, or its clock shows that it is too late.
    """
    member.state = livejobs.MemberState.ORDERED
    member.answered_at = _NEVER
    member.stop_sent_at = _NEVER
    member.stopped_at = _NEVER


def forget_old(
    late_runs_by_id: dict[str, dict[orders.Run, fleetworkers.LateRun]],
    now: float,
) -> None:
    """Forget the workers none of whose late runs may begin any more.

    An answer to a call that was under way when a worker was removed may have
    told of all of them.
    """
    for worker_id, late_runs in list(late_runs_by_id.items()):
        latest = max(
            (late_run.ordered_at for late_run in late_runs.values()),
            default=_NEVER,
        )
        if now - latest > _FORGET_LATE_S:
            del late_runs_by_id[worker_id]


def take_due_stops(
    worker: fleetworkers.Worker, now: float
) -> list[orders.Run]:
    """Return the settled runs that the boot that runs now must be told of.

    An order of theirs may still be under way, and only an earlier boot is
    known to refuse it.
    """
    forget_late(worker, now)
    due = []
    for run, late_run in list(worker.late_runs.items()):
        if (
            late_run.boot != worker.boot
            and now - late_run.stop_sent_at >= _STOP_RETRY_S
        ):
            worker.late_runs[run] = dataclasses.replace(
                late_run, stop_sent_at=now
            )
            due.append(run)
    return due


def forget_stops(worker: fleetworkers.Worker) -> None:
    """Forget when settled runs were stopped on an earlier boot.

    Another one must be told at once.
    """
    for run, late_run in list(worker.late_runs.items()):
        worker.late_runs[run] = dataclasses.replace(
            late_run, stop_sent_at=_NEVER
        )


def forget_late(worker: fleetworkers.Worker, now: float) -> None:
    """Forget the settled runs of which no order can be under way any more."""
    for run, late_run in list(worker.late_runs.items()):
        if now - late_run.ordered_at > _FORGET_LATE_S:
            del worker.late_runs[run]


def list_uncertain(
    worker: fleetworkers.Worker, run_lease_s: float, now: float
) -> list[orders.Run]:
    """Return the settled runs that may be in progress on an unknown boot.

    The worker is silent or may have started again, or its boot has not
    answered their stops; an order of theirs may have been under way.
    """
    return [
        run
        for run, late_run in worker.late_runs.items()
        if now - late_run.ordered_at < _LATE_START_S + run_lease_s
        and worker.may_begin(late_run)
    ]


def forget_refused(
    worker: fleetworkers.Worker, address: str, sent_at: float
) -> None:
    """Forget the settled runs that another worker at ``address`` refuses.

    It has answered a poll that was sent at ``sent_at``.  Their orders name
    the earlier worker; those sent elsewhere, or later, may be carried out.
    """
    for run, late_run in list(worker.late_runs.items()):
        if late_run.address == address and late_run.ordered_at < sent_at:
            del worker.late_runs[run]


def has_open_stops(worker: fleetworkers.Worker) -> bool:
    """Return whether the boot that runs now must still be told of runs."""
    return any(
        late_run.boot != worker.boot for late_run in worker.late_runs.values()
    )


def record_stopped(
    worker: fleetworkers.Worker, run: orders.Run, boot: int
) -> None:
    """Record that a boot has answered a stop: it refuses later starts."""
    late_run = worker.late_runs.get(run)
    if late_run is not None:
        worker.late_runs[run] = dataclasses.replace(late_run, boot=boot)
