"""Long polls of workers, which also renew the leases of their runs.

The worker holds a poll open until a run ends or the wait is over, so that
ends are reported without delay.  A worker on which nothing can run is not
polled, but once when it may have started again.

Polls are often due for all workers at once, as after a takeover, and probes
for all workers of a zone.  They wait for their turn, see ``callslots``: if a
slow process sends all of them at the same time, it receives no answer before
their time-out.  A long poll leaves its slot soon after it was sent.  Workers
on which nothing runs are polled after the others, which lose their work when
their leases expire.
"""

import asyncio
import collections
from collections import abc
import typing
import zlib

import result

from primroselock import backgroundtasks
from primroselock import backoff
from primroselock import callslots
from primroselock import clock
from primroselock.decisions import extensions
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import pollwaits
from primroselock.decisions import reachability
from primroselock.decisions import runleases
from primroselock.decisions import runs
from primroselock.decisions import workerboots
from primroselock import lateness
from primroselock import leasegrants
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import shards
from primroselock.workers import orders

_log: typing.Final = logs.get('lookers')
_MAX_CONFIRMATIONS: typing.Final = 3
"""Calls of which the answer may be missing, since this process was late."""

_MAX_UNSAVED_WAIT_S: typing.Final = 1.0
_MAX_IDLE_IN_LINE: typing.Final = 32
"""Idle workers whose first polls wait for their turn at the same time."""

_INITIAL_BACKOFF_S: typing.Final = 0.1
_MAX_BACKOFF_S: typing.Final = 1.0


class WorkerPollers:
    """Runs one task for each worker that must be polled."""

    def __init__(
        self,
        settings: options.Settings,
        lease: shards.ShardLease,
        board: fleet.ShardBoard,
        run_client: orders.RunClient,
        wake: abc.Callable[[], None],
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._board = board
        self._run_client = run_client
        self._wake = wake
        self._metrics = counters
        self._slots = callslots.CallSlots()
        self._saved = asyncio.Event()
        self._tasks = backgroundtasks.BackgroundTasks('poll of a worker')
        self._tasks_by_worker_id: dict[str, asyncio.Task[None]] = {}
        self._idle_due: collections.deque[fleetworkers.Worker] = (
            collections.deque()
        )
        self._idle_ids: set[str] = set()
        self._sent_at_by_worker_id: dict[str, float] = {}
        self._held_open_ids: set[str] = set()
        self._poll_ended_by_worker_id: dict[str, asyncio.Event] = {}
        self._probes_by_worker_id: dict[str, asyncio.Task[None]] = {}

    def ensure_running(self) -> None:
        """Start the missing tasks of workers to be polled or probed."""
        missing = [
            worker
            for worker in self._board.workers_by_id.values()
            if self._needs_polling(worker) and not self._is_polled(worker)
        ]
        self._give_up_polls()
        missing.sort(key=_polling_order)
        self._idle_due.clear()
        for worker in missing:
            if worker.is_busy:
                self._start_polling(worker)
            else:
                self._idle_due.append(worker)
        self._start_idle()
        for worker in reachability.list_unverified(self._board):
            if worker.entry.address:
                self._ensure_probe(worker, can_wait=True)

    def _start_polling(self, worker: fleetworkers.Worker) -> None:
        self._tasks_by_worker_id[worker.id] = self._tasks.spawn(
            self._run(worker)
        )

    def _start_idle(self) -> None:
        """Start the polls of idle workers that are due, few at a time.

        A task for each of many workers, that would only wait for its turn,
        would hold up everything else as it starts.
        """
        while self._idle_due and len(self._idle_ids) < _MAX_IDLE_IN_LINE:
            worker = self._idle_due.popleft()
            if self._needs_polling(worker) and not self._is_polled(worker):
                self._idle_ids.add(worker.id)
                self._start_polling(worker)

    def _leave_line(self, worker: fleetworkers.Worker) -> None:
        """Let the next idle worker take the place of one in the line."""
        if worker.id in self._idle_ids:
            self._idle_ids.discard(worker.id)
            self._start_idle()

    def _ensure_probe(
        self, worker: fleetworkers.Worker, can_wait: bool = False
    ) -> asyncio.Task[None]:
        """Return the probe of a worker that is under way, or begin one."""
        probe = self._probes_by_worker_id.get(worker.id)
        if probe is None or probe.done():
            probe = self._tasks.spawn(self._probe(worker, can_wait))
            self._probes_by_worker_id[worker.id] = probe
        return probe

    async def confirm_boot(self, worker: fleetworkers.Worker) -> bool:
        """Return whether the boot that was polled is the one that runs now.

        A worker on which nothing ran is about to be polled, since something
        was placed there; one whose poll is held open is probed beside it.
        """
        for _ in range(_MAX_CONFIRMATIONS):
            if worker.failures_in_row or worker.is_doubted:
                return False
            if worker.is_boot_known(clock.monotonic()):
                return True
            if self._is_polled(worker) and (
                worker.id not in self._held_open_ids
            ):
                await self._wait_for_poll(worker)
            else:
                await asyncio.wait([self._ensure_probe(worker)])
        return worker.is_boot_known(clock.monotonic())

    async def _wait_for_poll(self, worker: fleetworkers.Worker) -> None:
        """Wait until the poll of a worker that is next has ended."""
        ended = self._poll_ended_by_worker_id.setdefault(
            worker.id, asyncio.Event()
        )
        await ended.wait()

    def _notify_poll_ended(self, worker_id: str) -> None:
        ended = self._poll_ended_by_worker_id.pop(worker_id, None)
        if ended is not None:
            ended.set()

    def notify_saved(self) -> None:
        """Wake the polls that wait until reported ends are stored."""
        saved, self._saved = self._saved, asyncio.Event()
        saved.set()

    def _give_up_polls(self) -> None:
        """End the polls that were sent before their worker was doubted.

        The process that held them open may have ended without a word.  The
        next round polls the worker again.
        """
        for worker in self._board.workers_by_id.values():
            if worker.doubted_at is None or not self._is_polled(worker):
                continue
            sent_at = self._sent_at_by_worker_id.get(worker.id)
            if sent_at is not None and sent_at < worker.doubted_at:
                self._metrics.count('polls_given_up')
                task = self._tasks_by_worker_id[worker.id]
                task.add_done_callback(lambda _: self._wake())
                task.cancel()

    async def cancel(self) -> None:
        """Cancel all polls and probes."""
        self._idle_due.clear()
        await self._tasks.cancel()

    async def _probe(
        self, worker: fleetworkers.Worker, can_wait: bool
    ) -> None:
        """Check whether a worker that may be unreachable answers."""
        due_at = clock.monotonic()
        async with self._slots.hold(worker.id, can_wait):
            if worker.boot_seen_at >= due_at or worker.failures_in_row:
                # A poll was answered, or has failed, in the meantime.
                return
            self._metrics.count('probes')
            timeout_s = self._settings.fleet.order_timeout_s
            if await self._call_briefly(
                worker, clock.monotonic(), None, timeout_s
            ):
                self._wake()

    async def extend(
        self,
        worker: fleetworkers.Worker,
        is_due: abc.Callable[[fleetworkers.Worker, float], bool],
    ) -> None:
        """Extend a worker's leases beside its poll, if still due then."""
        async with self._slots.hold(worker.id):
            sent_at = clock.monotonic()
            if not self._lease.has_shard or not is_due(worker, sent_at):
                return
            self._metrics.count('lease_extensions')
            lease_until = self._extend_lease(worker, sent_at)
            timeout_s = self._settings.fleet.look_timeout_s
            await self._call_briefly(worker, sent_at, lease_until, timeout_s)

    async def _call_briefly(
        self,
        worker: fleetworkers.Worker,
        sent_at: float,
        lease_until: float | None,
        timeout_s: float,
    ) -> bool:
        """Call a worker without a wait; return whether it answered.

        A long poll of the same worker may be open.  Only the polls, which
        run one after another, apply what an answer reports; this call only
        records that an answer was received.  Its leases are extended to
        ``lease_until`` on its clock, if given.
        """
        address = worker.entry.address
        answer = await self._run_client.poll_runs(
            worker.id,
            address,
            self._board.epoch,
            0,
            lease_until,
            0.0,
            timeout_s,
        )
        self._record_duration(answer, sent_at)
        if isinstance(answer, result.Err):
            if worker.last_answer_at >= sent_at or self._was_late(
                answer.err_value, sent_at + timeout_s
            ):
                return False
            self._record_error(worker, answer.err_value, address, sent_at)
            return False
        now = clock.monotonic()
        worker.last_answer_at = now
        workerboots.record_boot(worker, answer.ok_value.boot, sent_at, now)
        return True

    def _is_polled(self, worker: fleetworkers.Worker) -> bool:
        task = self._tasks_by_worker_id.get(worker.id)
        return task is not None and not task.done()

    def _needs_polling(self, worker: fleetworkers.Worker) -> bool:
        if self._board.workers_by_id.get(worker.id) is not worker:
            return False
        if not worker.entry.address:
            return False
        if worker.is_busy or workerboots.has_open_stops(worker):
            return True
        return worker.is_listed and (
            not worker.is_polled
            or worker.is_doubted
            or worker.failures_in_row > 0
        )

    async def _run(self, worker: fleetworkers.Worker) -> None:
        try:
            await self._poll_while_needed(worker)
        finally:
            self._notify_poll_ended(worker.id)
            self._leave_line(worker)

    async def _poll_while_needed(self, worker: fleetworkers.Worker) -> None:
        while self._lease.has_shard and self._needs_polling(worker):
            await self._wait_for_saved_ends(worker)
            # Polls of busy workers extend leases and report ends.
            can_wait = not worker.is_busy
            async with self._slots.hold(worker.id, can_wait):
                self._leave_line(worker)
                if not self._needs_polling(worker):
                    break
                is_answered = await self._poll_guarded(worker)
            if not is_answered:
                pause_s = backoff.doubled_s(
                    _INITIAL_BACKOFF_S, worker.failures_in_row, _MAX_BACKOFF_S
                )
                await asyncio.sleep(pause_s)
        if self._board.workers_by_id.get(worker.id) is not worker:
            await self._run_client.drop(worker.entry.address)

    def _record_duration(
        self,
        answer: result.Result[orders.RunReport, orders.OrderError],
        due_at: float,
    ) -> None:
        """Record how soon a poll ended after its wait, until ``due_at``.

        An answer before that gives no measurement.
        """
        now = clock.monotonic()
        if now >= due_at:
            self._slots.record(answer, due_at, now)

    async def _wait_for_saved_ends(self, worker: fleetworkers.Worker) -> None:
        """Wait, within a bound, until the reported ends are stored.

        The next poll can then confirm them to the worker.
        """
        until = clock.monotonic() + _MAX_UNSAVED_WAIT_S
        while worker.unsaved_ends:
            left_s = until - clock.monotonic()
            if left_s <= 0:
                return
            try:
                async with asyncio.timeout(left_s):
                    await self._saved.wait()
            except TimeoutError:
                # The next poll confirms what is stored by then.
                return

    async def _poll_guarded(self, worker: fleetworkers.Worker) -> bool:
        """Poll once; return whether the answer could be applied.

        A worker whose answers cannot be applied counts as not answering, and
        is polled on with the pauses of such a worker.
        """
        try:
            return await self._poll(worker)
        except Exception as error:
            _log.error(
                'poll answer not applied', worker=worker.id, exc_info=error
            )
            worker.record_failed_call(clock.monotonic())
            return False
        finally:
            self._notify_poll_ended(worker.id)

    async def _poll(self, worker: fleetworkers.Worker) -> bool:
        """Poll once; return whether the worker answered."""
        runs.advance_saved_end(worker)
        confirmed_end = runs.end_to_confirm(worker)
        boot = worker.boot
        sent_at = clock.monotonic()
        lease_until = None
        if extensions.may_extend(worker, self._lease.published_bounds):
            lease_until = self._extend_lease(worker, sent_at)
        wait_s = pollwaits.find_wait_s(
            self._board,
            worker,
            self._lease.published_bounds,
            self._settings.fleet.longest_wait_s,
            sent_at,
        )
        timeout_s = self._settings.fleet.look_timeout_s
        address = worker.entry.address
        self._sent_at_by_worker_id[worker.id] = sent_at
        if wait_s > pollwaits.SHORT_WAIT_S:
            self._held_open_ids.add(worker.id)
        try:
            answer = await self._run_client.poll_runs(
                worker.id,
                address,
                self._board.epoch,
                confirmed_end,
                lease_until,
                wait_s,
                timeout_s,
            )
        finally:
            del self._sent_at_by_worker_id[worker.id]
            self._held_open_ids.discard(worker.id)
        self._metrics.count('looks')
        self._record_duration(answer, sent_at + wait_s)
        if isinstance(answer, result.Err):
            if self._was_late(answer.err_value, sent_at + wait_s + timeout_s):
                return True
            self._record_error(worker, answer.err_value, address, sent_at)
            return False
        if worker.failures_in_row:
            _log.info('worker answers polls again', worker=worker.id)
        if answer.ok_value.boot == boot:
            worker.confirmed_end = max(worker.confirmed_end, confirmed_end)
        runs.record_poll(
            self._board,
            worker,
            answer.ok_value,
            sent_at,
            clock.monotonic(),
            int(clock.wall() * 1000),
        )
        self._wake()
        return True

    def _was_late(self, error: orders.OrderError, due_at: float) -> bool:
        """Return whether this process noticed late that a poll failed.

        It was due by ``due_at``.  The answer may have been received
        meanwhile, or the connection been established: that is no evidence
        against the worker.
        """
        if isinstance(error, orders.Refused):
            return False
        if not lateness.is_late(clock.monotonic() - due_at):
            return False
        self._metrics.count('late_polls')
        return True

    def _extend_lease(
        self, worker: fleetworkers.Worker, sent_at: float
    ) -> float:
        """Return the end of a worker's leases, to be sent at ``sent_at``."""
        deadline = leasegrants.lease_deadline(
            self._settings, self._lease, worker, sent_at
        )
        return leasegrants.extend_lease(worker, deadline)

    def _record_error(
        self,
        worker: fleetworkers.Worker,
        error: orders.OrderError,
        address: str,
        sent_at: float,
    ) -> None:
        """Record a failed poll that was sent at ``sent_at`` to ``address``."""
        if (
            isinstance(error, orders.Refused)
            and error.why is orders.Refusal.STALE_EPOCH
        ):
            self._lease.drop('a worker has seen a newer epoch')
            return
        worker.record_failed_call(clock.monotonic())
        if (
            isinstance(error, orders.Refused)
            and error.why is orders.Refusal.BOOT_MISMATCH
        ):
            runleases.settle_left_address(
                self._board,
                worker,
                address,
                sent_at,
                clock.monotonic(),
                int(clock.wall() * 1000),
            )
            self._wake()
        if worker.failures_in_row == 1:
            _log.warning(
                'poll of worker failed', worker=worker.id, why=str(error)
            )
            self._wake()


def _polling_order(worker: fleetworkers.Worker) -> tuple[bool, int]:
    """Return a key that puts first what has members, else mixes zones.

    After a takeover leases run out while all workers are due at once.
    Workers that do not answer are often neighbours in the order of ids; the
    first calls should not all wait for them.
    """
    return not worker.members, zlib.crc32(worker.id.encode())
