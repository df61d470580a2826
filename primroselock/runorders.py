"""Sends the start and stop orders that the shard holder decided.

A start order without an answer is sent again; it is idempotent, since the
worker recognizes the run.  A run whose start order stays unanswered keeps
its resources reserved and is stopped by a later decision, also if a later
order of the same run was refused.

Orders wait for their turn, see ``callslots``, and are dropped if what they
are for has changed until then.  A worker that has answered nothing since an
order was sent to it counts as not answering, unless this process was late.
"""

import asyncio
from collections import abc
import typing

import result

from primroselock import backgroundtasks
from primroselock import callslots
from primroselock import clock
from primroselock.decisions import advising
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock.decisions import startchecks
from primroselock.decisions import workerboots
from primroselock import lateness
from primroselock import leasegrants
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import shards
from primroselock.workers import orders

_log: typing.Final = logs.get('runorders')
_MAX_START_ATTEMPTS: typing.Final = 3
_RETRY_PAUSE_S: typing.Final = 0.05

ConfirmBoot = abc.Callable[
    [fleetworkers.Worker], abc.Coroutine[typing.Any, typing.Any, bool]
]
"""Returns whether the boot of a worker that was polled runs now."""

_REFUSALS_OF_ALL_STARTS: typing.Final = frozenset(
    {orders.Refusal.NO_CAPACITY, orders.Refusal.UNHEALTHY}
)
"""A worker that refuses a start for these reasons would refuse others."""


class OrderSender:
    """Sends each order in a task of its own."""

    def __init__(
        self,
        settings: options.Settings,
        lease: shards.ShardLease,
        board: fleet.ShardBoard,
        run_client: orders.RunClient,
        wake: abc.Callable[[], None],
        may_start: abc.Callable[[float], bool],
        confirm_boot: ConfirmBoot,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._board = board
        self._run_client = run_client
        self._wake = wake
        self._may_start = may_start
        self._confirm_boot = confirm_boot
        self._metrics = counters
        self._slots = callslots.CallSlots()
        self._stopping_runs: set[tuple[orders.Run, int]] = set()
        self._tasks = backgroundtasks.BackgroundTasks('order')

    @property
    def waiting_count(self) -> int:
        """The number of orders that wait for their turn."""
        return self._slots.waiting_count

    async def cancel(self) -> None:
        """Cancel all orders that are under way."""
        await self._tasks.cancel()

    def send(self, order: fleet.Order) -> None:
        """Send one order; a start order needs a valid start permit."""
        if isinstance(order, fleet.StopOrder):
            self._spawn_stop(order)
            return
        group = order.members[0].group
        if (
            group.phase is not livejobs.Phase.STARTING
            or tuple(group.members) != order.members
        ):
            # The attempt has ended while the order waited for its turn.
            return
        now = clock.monotonic()
        obstacle = self._find_obstacle(order.members, now)
        if obstacle:
            self._cancel_start(group, obstacle, now)
            return
        for member in order.members:
            self._tasks.spawn(self._start(member))

    def _spawn_stop(self, order: fleet.StopOrder) -> None:
        """Send a stop, unless one to the same boot is under way."""
        worker = self._board.workers_by_id.get(order.worker_id)
        if worker is None:
            return
        stopping = (order.run, worker.boot)
        if stopping not in self._stopping_runs:
            self._stopping_runs.add(stopping)
            self._tasks.spawn(self._stop(order, worker, stopping))

    def _find_obstacle(
        self, members: abc.Sequence[livejobs.Member], now: float
    ) -> str:
        """Return why starts may not be sent; empty if they may.

        Each grants a lease.  See ``startchecks`` for what may have changed
        since the placement.
        """
        if not self._may_start(now):
            return 'no permit'
        for member in members:
            if self._lease.published_bounds.covers(member.worker_id):
                return f'leases of {member.worker_id} are bounded'
            ticket = advising.ticket_for(
                self._board, member.group, member.worker_id, now
            )
            if ticket is None:
                return f'no valid ticket for {member.worker_id}'
        return startchecks.find_obstacle(self._board, members, now)

    def _cancel_start(
        self, group: livejobs.Group, why: str, now: float
    ) -> None:
        """End an attempt whose start is no longer permitted."""
        self._board.record_decision(
            'attempt ended: its start is no longer permitted',
            group.job,
            attempt=group.attempt,
            why=why,
        )
        self._end_refused(group, now)

    def _end_refused(self, group: livejobs.Group, now: float) -> None:
        wall_ms = int(clock.wall() * 1000)
        runs.end_group(
            self._board, group, livejobs.EndReason.REFUSED, now, wall_ms
        )
        self._wake()

    async def _start(self, member: livejobs.Member) -> None:
        worker = self._board.workers_by_id.get(member.worker_id)
        if worker is None:
            return
        for attempt in range(_MAX_START_ATTEMPTS):
            async with self._slots.hold(worker.id):
                # Its turn may have taken long: what was known before is old.
                is_known = await self._confirm_boot(worker)
                sent_at = clock.monotonic()
                if not is_known and (
                    member.state is livejobs.MemberState.PLACED
                ):
                    self._refuse_unknown(worker, member, sent_at)
                    return
                if not self._prepare_start(worker, member, sent_at):
                    return
                answer = await self._send_start(worker, member, sent_at)
            if self._record_answer(worker, member, answer, attempt, sent_at):
                return
            failed_at = clock.monotonic()
            await asyncio.sleep(_RETRY_PAUSE_S * (attempt + 1))
            await self._wait_for_report(worker, member, sent_at)
        self._board.record_decision(
            'start order not answered',
            member.group.job,
            task=str(member.run.task),
            worker=worker.id,
        )
        self._record_silence(worker, sent_at, failed_at)
        self._wake()

    async def _wait_for_report(
        self,
        worker: fleetworkers.Worker,
        member: livejobs.Member,
        sent_at: float,
    ) -> None:
        """Wait until a worker has reported its runs since ``sent_at``.

        The order may have crashed it.  The report of another incarnation ends
        the attempt; without one the time for its start runs out.
        """
        while (
            worker.clock_at < sent_at
            and member.state is livejobs.MemberState.ORDERED
            and member.group.phase is livejobs.Phase.STARTING
        ):
            await asyncio.sleep(_RETRY_PAUSE_S)

    def _record_silence(
        self, worker: fleetworkers.Worker, sent_at: float, now: float
    ) -> None:
        """Count an order that got no answer until ``now`` as a failed call.

        Unless the worker has answered another call since, or this process
        was late.
        """
        if not self._was_late(sent_at, now) and (
            worker.last_answer_at < sent_at
        ):
            worker.record_failed_call(now)

    def _was_late(self, sent_at: float, now: float) -> bool:
        """Return whether this process noticed a time-out late.

        The answer may have been received meanwhile, or the connection been
        established.
        """
        late_s = now - sent_at - self._settings.fleet.order_timeout_s
        if not lateness.is_late(late_s):
            return False
        self._metrics.count('late_orders')
        return True

    def _prepare_start(
        self, worker: fleetworkers.Worker, member: livejobs.Member, now: float
    ) -> bool:
        """Return whether to send a start whose turn has come.

        Before the first order the attempt is ended instead if its start is
        not permitted any more, or its worker has stopped answering or may
        have started again since the placement: the order would name times of
        another clock.  An order without an answer is not repeated then.
        """
        group = member.group
        if member.state is livejobs.MemberState.ORDERED:
            return (
                group.phase is livejobs.Phase.STARTING
                and not worker.is_doubted
                and not self._find_obstacle((member,), now)
            )
        if member.state is not livejobs.MemberState.PLACED:
            return False
        obstacle = self._find_obstacle((member,), now)
        if obstacle:
            self._cancel_start(group, obstacle, now)
            return False
        if worker.failures_in_row or worker.is_doubted:
            self._refuse_unknown(worker, member, now)
            return False
        member.state = livejobs.MemberState.ORDERED
        member.boot = worker.latest_boot
        member.ordered_at = now
        return True

    def _refuse_unknown(
        self, worker: fleetworkers.Worker, member: livejobs.Member, now: float
    ) -> None:
        """End the attempt of a member whose worker may not be the same."""
        silent = orders.NotSent('it has stopped answering, or restarted')
        self._record_refusal(worker, member, silent, False, now)

    async def _send_start(
        self,
        worker: fleetworkers.Worker,
        member: livejobs.Member,
        sent_at: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        deadline = leasegrants.lease_deadline(
            self._settings, self._lease, worker, sent_at
        )
        group = member.group
        lease_until = leasegrants.extend_lease(worker, deadline)
        # Each of the orders may be the one that is carried out.
        member.begin_before = max(
            member.begin_before or lease_until, lease_until
        )
        member.unanswered_starts += 1
        member.address = address = worker.entry.address
        ticket = advising.ticket_for(self._board, group, worker.id, sent_at)
        order = orders.Start(
            member.run,
            group.job.graph.payload,
            lease_until,
            self._board.epoch,
            group.checkpoint,
            ticket or '',
        )
        boot = worker.boot
        answer = await self._run_client.start(
            worker.id,
            address,
            order,
            self._settings.fleet.order_timeout_s,
        )
        if _is_unanswered(answer):
            member.unanswered_at = sent_at
        else:
            member.unanswered_starts -= 1
        answered_at = clock.monotonic()
        self._metrics.record('start_order', answered_at - sent_at)
        self._slots.record(answer, sent_at, answered_at)
        return answer if worker.boot == boot else _discount(answer)

    def _record_answer(
        self,
        worker: fleetworkers.Worker,
        member: livejobs.Member,
        answer: result.Result[orders.Accepted, orders.OrderError],
        attempt: int,
        sent_at: float,
    ) -> bool:
        """Record an answer; return whether the order needs no retry."""
        now = clock.monotonic()
        if isinstance(answer, result.Ok):
            worker.last_answer_at = now
            worker.record_accepted_start(now)
            if member.state is livejobs.MemberState.ORDERED:
                member.answered_at = now
                runs.mark_present(self._board, member, now)
            self._wake()
            return True
        error = answer.err_value
        if isinstance(error, orders.Unanswered):
            return False
        if isinstance(error, orders.NotSent):
            self._record_silence(worker, sent_at, now)
            if attempt:
                # An earlier attempt may have reached the worker.
                return False
        elif error.why is orders.Refusal.STALE_EPOCH:
            self._lease.drop('a worker has seen a newer epoch')
            return True
        elif error.why is orders.Refusal.SUPERSEDED:
            # The run ended or was stopped; the next poll reports which.
            member.answered_at = now
            member.stopped_at = now
            return True
        if member.state is livejobs.MemberState.ORDERED:
            # An earlier order without an answer may be carried out later,
            # also after a refusal: the run must be stopped first.
            may_start = attempt > 0
            self._record_refusal(worker, member, error, may_start, now)
        return True

    def _record_refusal(
        self,
        worker: fleetworkers.Worker,
        member: livejobs.Member,
        error: orders.OrderError,
        may_start: bool,
        now: float,
    ) -> None:
        """End the attempt of a member whose start was refused.

        Unless it ``may_start`` all the same, it frees its resources.
        """
        group = member.group
        if isinstance(error, orders.Refused):
            if error.why is orders.Refusal.TICKET_REJECTED:
                advising.drop_ticket(self._board, group, worker.id)
            elif error.why in _REFUSALS_OF_ALL_STARTS:
                worker.record_refused_start(now)
        why = (
            error.why.value
            if isinstance(error, orders.Refused)
            else 'worker not reachable'
        )
        self._board.record_decision(
            'start refused',
            group.job,
            task=str(member.run.task),
            worker=worker.id,
            why=why,
            may_start=may_start,
        )
        if not may_start:
            self._board.mark_terminated(member)
        self._end_refused(group, now)

    async def _stop(
        self,
        order: fleet.StopOrder,
        worker: fleetworkers.Worker,
        stopping: tuple[orders.Run, int],
    ) -> None:
        try:
            if not worker.entry.address:
                return
            async with self._slots.hold(worker.id):
                if _is_stop_due(order, worker):
                    await self._send_stop(worker, order)
        finally:
            self._stopping_runs.discard(stopping)

    async def _send_stop(
        self, worker: fleetworkers.Worker, order: fleet.StopOrder
    ) -> None:
        sent_at, boot = clock.monotonic(), worker.boot
        answer = await self._run_client.stop(
            worker.id,
            worker.entry.address,
            order.run,
            self._board.epoch,
            self._settings.fleet.order_timeout_s,
        )
        now = clock.monotonic()
        self._slots.record(answer, sent_at, now)
        if isinstance(answer, result.Ok):
            worker.last_answer_at = now
            workerboots.record_stopped(worker, order.run, boot)
            if order.member is not None and worker.boot == boot:
                # Another boot that was polled meanwhile may not know of it.
                order.member.stopped_at = now
            self._wake()
            return
        error = answer.err_value
        if isinstance(error, orders.Refused):
            if error.why is orders.Refusal.STALE_EPOCH:
                self._lease.drop('a worker has seen a newer epoch')
                return
        else:
            self._record_silence(worker, sent_at, now)
        _log.warning(
            'stop order not confirmed',
            request=order.run.task.job_id,
            task=str(order.run.task),
            worker=worker.id,
            why=str(error),
        )


def _is_unanswered(
    answer: result.Result[orders.Accepted, orders.OrderError],
) -> bool:
    """Return whether an order may be carried out later."""
    return isinstance(answer, result.Err) and isinstance(
        answer.err_value, orders.Unanswered
    )


def _discount(
    answer: result.Result[orders.Accepted, orders.OrderError],
) -> result.Result[orders.Accepted, orders.OrderError]:
    """Return what the answer of an earlier boot says about a run.

    That the run began or was stopped there is no evidence for the boot that
    was polled meanwhile: an earlier order may begin on that one.
    """
    is_past = isinstance(answer, result.Ok) or (
        isinstance(answer.err_value, orders.Refused)
        and answer.err_value.why is orders.Refusal.SUPERSEDED
    )
    if is_past:
        return result.Err(orders.Unanswered('an earlier boot answered'))
    return answer


def _is_stop_due(order: fleet.StopOrder, worker: fleetworkers.Worker) -> bool:
    """Return whether a stop whose turn has come is still of use.

    A worker that does not answer gets it once it answers polls again.
    """
    member = order.member
    is_over = (
        member is not None and member.state is livejobs.MemberState.TERMINATED
    )
    return not is_over and not worker.failures_in_row
