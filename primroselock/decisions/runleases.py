"""Until when a worker may run what it was told, by the leases of its runs.

What runs on a worker that does not answer can run until every lease has
expired that this holder or an earlier one granted.  Until then its members
keep their resources; then they are settled as lost.
"""

import typing

from primroselock.decisions import crashes
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.decisions import workerboots

_EXPIRY_CHECK_INTERVAL_S: typing.Final = 0.05
_LEASE_MARGIN_S: typing.Final = 0.3
"""Added to the time by which a worker's leases have expired."""

_LONG_RUNNING_LEASE_S: typing.Final = 7.5
"""So that it has ended, by a slow clock, within 9 s of the last renewal."""

_SILENT_AFTER_S: typing.Final = 1.0
"""A lease is published as bounded once calls have failed for this long."""

_EXPIRED_KEPT_S: typing.Final = 30.0
"""For so long a worker on which every lease has expired is published."""

_MAX_BOUNDS_BYTES: typing.Final = 32_768
_BYTES_PER_BOUND: typing.Final = 12
"""Length of a bound in a row, without the id of the worker."""


def expire_workers(board: fleet.ShardBoard, now: float, wall_ms: int) -> None:
    """Settle the members of workers on which no lease can be valid."""
    if 0 <= now - board.expiry_checked_at < _EXPIRY_CHECK_INTERVAL_S:
        return
    board.expiry_checked_at = now
    workerboots.forget_old(board.late_runs_by_removed_id, now)
    for worker in list(board.workers_by_id.values()):
        if not worker.is_listed:
            _remove_if_over(board, worker, now)
        if not _may_run_any(worker) or not _is_expired(board, worker, now):
            continue
        crashes.note_settled(board, worker, now)
        board.expired_at_by_worker_id[worker.id] = now
        settle_lost_worker(
            board, worker, 'every lease has expired', now, wall_ms
        )


def _remove_if_over(
    board: fleet.ShardBoard, worker: fleetworkers.Worker, now: float
) -> None:
    """Remove a worker without an entry once nothing can run there.

    One that is silent and whose leases have expired has nothing to be told:
    should it be back, it reports its runs and their ends again.
    """
    if worker.members:
        return
    is_lost = worker.failures_in_row > 0 and _is_expired(board, worker, now)
    if is_lost or not worker.is_busy:
        board.remove_worker(worker.id)


def _may_run_any(worker: fleetworkers.Worker) -> bool:
    """Return whether a start of any member may have been sent.

    A placement needs no lease before its start, which grants one.
    """
    return any(
        member.state is not livejobs.MemberState.PLACED
        for member in worker.members.values()
    )


def settle_lost_worker(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    why: str,
    now: float,
    wall_ms: int,
) -> None:
    """Record that no member on a worker can run any more, and settle them."""
    members = list(worker.members.values())
    _settle_members(board, worker, members, why, now, wall_ms)
    worker.unexpected_runs.clear()
    if not worker.is_listed:
        board.remove_worker(worker.id)


def settle_left_address(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    address: str,
    sent_at: float,
    now: float,
    wall_ms: int,
) -> None:
    """Settle what a worker ran at an address where another one answers.

    ``sent_at`` is when the poll was sent there.  Members that were ordered
    at another address since, or later, may run.
    """
    lost = [
        member
        for member in worker.members.values()
        if _has_run_at(member, address, sent_at)
    ]
    crashes.record_replaced(board, worker, lost, now)
    why = 'another worker instance answers at its address'
    if len(lost) == len(worker.members):
        settle_lost_worker(board, worker, why, now, wall_ms)
    else:
        _settle_members(board, worker, lost, why, now, wall_ms)
    workerboots.forget_refused(worker, address, sent_at)


def _has_run_at(member: livejobs.Member, address: str, sent_at: float) -> bool:
    """Return whether all orders of a member went there before ``sent_at``.

    Of a member of an earlier holder no address is known: the worker's entry
    was the same or an earlier one then.
    """
    if member.address is None:
        return member.state is not livejobs.MemberState.PLACED
    return member.address == address and member.ordered_at < sent_at


def _settle_members(
    board: fleet.ShardBoard,
    worker: fleetworkers.Worker,
    members: list[livejobs.Member],
    why: str,
    now: float,
    wall_ms: int,
) -> None:
    board.decision_records.append(
        fleet.DecisionRecord(
            'worker lost',
            '',
            {
                'worker': worker.id,
                'why': why,
                'members': len(members),
                'silent_s': round(now - worker.last_answer_at, 3),
            },
        )
    )
    for member in members:
        board.mark_terminated(member)
        group = member.group
        runs.end_group(board, group, livejobs.EndReason.LOST, now, wall_ms)


def _is_expired(
    board: fleet.ShardBoard, worker: fleetworkers.Worker, now: float
) -> bool:
    """Return whether every lease granted to the worker has expired.

    Those of late starts, too, unless its entry is gone: it would have
    published one if it had started again.
    """
    until = _all_leases_until(board, worker)
    if worker.is_listed:
        late_lease_s = board.run_lease_s * (1 + leasebounds.CLOCK_DRIFT)
        late_until = workerboots.late_leases_until(worker, late_lease_s)
        until = max(until, late_until)
    return now >= until


def _all_leases_until(
    board: fleet.ShardBoard, worker: fleetworkers.Worker
) -> float:
    """Return the time by which every lease of the worker has expired.

    Times are on this process's clock.
    """
    inherited_until = board.inherited_leases.until(worker.id)
    if not worker.is_polled:
        # This holder knows no clock of the worker, and granted no lease.
        return inherited_until
    return max(inherited_until, _own_leases_until(worker))


def bound_leases(
    board: fleet.ShardBoard, now: float
) -> leasebounds.LeaseBounds:
    """Return the bounds to publish: no lease is extended on these workers.

    They are the workers on which something may run and that do not answer,
    and those on which every lease has expired lately: a successor may read
    rows in which their members are not settled.
    The row has a limit, so that not all may find a place in it.
    """
    _forget_expired(board, now)
    left_s_by_worker_id = dict.fromkeys(board.expired_at_by_worker_id, 0.0)
    for worker in board.workers_by_id.values():
        if worker.members and _is_silent(worker, now):
            left_s_by_worker_id[worker.id] = leasebounds.seconds_left(
                _all_leases_until(board, worker), now
            )
    bytes_left = _MAX_BOUNDS_BYTES
    for worker_id in list(left_s_by_worker_id):
        bytes_left -= len(worker_id) + _BYTES_PER_BOUND
        if bytes_left < 0:
            del left_s_by_worker_id[worker_id]
    return leasebounds.LeaseBounds(left_s_by_worker_id)


def _forget_expired(board: fleet.ShardBoard, now: float) -> None:
    """Forget the workers that answer again, or were lost long ago."""
    for worker_id, expired_at in list(board.expired_at_by_worker_id.items()):
        worker = board.workers_by_id.get(worker_id)
        if now - expired_at > _EXPIRED_KEPT_S or (
            worker is not None and not _is_silent(worker, now)
        ):
            del board.expired_at_by_worker_id[worker_id]


def covers_answering_worker(
    board: fleet.ShardBoard, bounds: leasebounds.LeaseBounds
) -> bool:
    """Return whether published bounds keep back a worker that answers."""
    if bounds.others_left_s is not None:
        # They cover all workers.
        return True
    for worker_id in bounds.left_s_by_worker_id:
        worker = board.workers_by_id.get(worker_id)
        if worker and worker.is_polled and not worker.failures_in_row:
            return True
    return False


def _is_silent(worker: fleetworkers.Worker, now: float) -> bool:
    """Return whether a worker has not answered for a while, or not yet."""
    if not worker.is_polled:
        return True
    return (
        worker.failures_in_row > 0
        and now - worker.unresponsive_since >= _SILENT_AFTER_S
    )


def _own_leases_until(worker: fleetworkers.Worker) -> float:
    """Return the time by which the leases of this holder have expired.

    The worker's clock showed ``clock_s`` before ``clock_at``, and may be
    slow: this is never too early.
    """
    if worker.lease_end is None:
        return worker.clock_at
    left_s = max(0.0, worker.lease_end - worker.clock_s)
    return (
        worker.clock_at
        + left_s * (1 + leasebounds.CLOCK_DRIFT)
        + _LEASE_MARGIN_S
    )


def lease_s(worker: fleetworkers.Worker, longest_s: float) -> float:
    """Return for how long the runs of a worker are leased, in seconds.

    Long-running work must run again soon after the loss of its worker, and
    is only placed again once its lease has expired there.
    """
    runs_long = any(
        member.group.step.long_running for member in worker.members.values()
    )
    return min(longest_s, _LONG_RUNNING_LEASE_S) if runs_long else longest_s


def lease_end_on_worker(worker: fleetworkers.Worker, deadline: float) -> float:
    """Return the end, on the worker's clock, of a lease to ``deadline``.

    ``deadline`` is on this process's clock; the lease does not exceed it
    even if the worker's clock is slow.
    """
    left_s = max(0.0, deadline - worker.clock_at)
    return worker.clock_s + left_s / (1 + leasebounds.CLOCK_DRIFT)
