"""Looks at workers while anything may run there, and renews its leases.

A look waits at the worker for an end, so that ends are seen at once
without polling.  A worker where nothing can run is not looked at.
"""

import asyncio
from collections import abc
import typing

import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock.decisions import reachability
from primroselock.decisions import runs
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import runorders
from primroselock import shards
from primroselock.workers import orders

_log: typing.Final = logs.get('lookers')
_UNSETTLED_WAIT_S: typing.Final = 0.2
"""A look waits this long where an order's effect is not known yet."""

_UNSAVED_PAUSE_S: typing.Final = 0.02
_LONGEST_UNSAVED_S: typing.Final = 1.0
_FIRST_PAUSE_S: typing.Final = 0.1
_LONGEST_PAUSE_S: typing.Final = 1.0


class WorkerPollers:
    """Keeps a task for each worker that must be looked at."""

    def __init__(
        self,
        settings: options.Settings,
        lease: shards.ShardLease,
        board: fleet.ShardBoard,
        link: orders.RunClient,
        wake: abc.Callable[[], None],
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings
        self._lease = lease
        self._board = board
        self._link = link
        self._wake = wake
        self._metrics = counters
        self._tasks_by_worker_id: dict[str, asyncio.Task[None]] = {}
        self._probes_by_worker_id: dict[str, asyncio.Task[None]] = {}

    def ensure_running(self) -> None:
        """Start a task for each worker that needs one."""
        for worker in self._board.workers_by_id.values():
            if self._needs_looks(worker):
                task = self._tasks_by_worker_id.get(worker.id)
                if task is None or task.done():
                    self._tasks_by_worker_id[worker.id] = asyncio.create_task(
                        self._run(worker)
                    )
        for worker in reachability.list_unverified(self._board):
            probe = self._probes_by_worker_id.get(worker.id)
            if worker.entry.address and (probe is None or probe.done()):
                self._probes_by_worker_id[worker.id] = asyncio.create_task(
                    self._probe(worker)
                )

    def cancel(self) -> None:
        """Stop looking."""
        for task in self._tasks_by_worker_id.values():
            task.cancel()
        for probe in self._probes_by_worker_id.values():
            probe.cancel()

    async def _probe(self, worker: fleet.Worker) -> None:
        """Find out whether a worker in doubt answers.

        It may be looked at already, by a call that waits for an end; what
        the answer tells is left to the looks, which follow one another.
        """
        answer = await self._link.poll_runs(
            worker.id,
            worker.entry.address,
            self._board.epoch,
            0,
            None,
            0.0,
            self._settings.fleet.order_timeout_s,
        )
        self._metrics.count('probes')
        if isinstance(answer, result.Err):
            self._record_error(worker, answer.err_value)
            return
        worker.last_answer_at = clock.monotonic()
        self._wake()

    def _needs_looks(self, worker: fleet.Worker) -> bool:
        if self._board.workers_by_id.get(worker.id) is not worker:
            return False
        if not worker.entry.address:
            return False
        if worker.is_busy:
            return True
        return worker.is_listed and (
            not worker.is_polled or worker.failures_in_row > 0
        )

    async def _run(self, worker: fleet.Worker) -> None:
        while self._lease.has_shard and self._needs_looks(worker):
            await self._wait_saved(worker)
            if not await self._look(worker):
                pause_s = _FIRST_PAUSE_S * 2.0 ** min(
                    worker.failures_in_row, 6
                )
                await asyncio.sleep(min(pause_s, _LONGEST_PAUSE_S))
        if self._board.workers_by_id.get(worker.id) is not worker:
            await self._link.drop(worker.entry.address)

    async def _wait_saved(self, worker: fleet.Worker) -> None:
        """Wait for listed ends to be stored, so that they are confirmed."""
        until = clock.monotonic() + _LONGEST_UNSAVED_S
        while worker.unsaved_ends and clock.monotonic() < until:
            await asyncio.sleep(_UNSAVED_PAUSE_S)

    async def _look(self, worker: fleet.Worker) -> bool:
        """Look once; return whether the worker answered."""
        runs.advance_saved_end(worker)
        confirmed_end = runs.end_to_confirm(worker)
        boot = worker.boot
        sent_at = clock.monotonic()
        lease_until = None
        # A silent worker's lease is left to run out, so that its end is
        # known: an extension that goes unanswered may be obeyed later.
        if worker.is_polled and worker.members and not worker.failures_in_row:
            deadline = runorders.lease_deadline(
                self._settings, self._lease, sent_at
            )
            lease_until = runorders.extend_lease(worker, deadline)
        answer = await self._link.poll_runs(
            worker.id,
            worker.entry.address,
            self._board.epoch,
            confirmed_end,
            lease_until,
            self._wait_s(worker),
            self._settings.fleet.look_timeout_s,
        )
        self._metrics.count('looks')
        if isinstance(answer, result.Err):
            self._record_error(worker, answer.err_value)
            return False
        if worker.failures_in_row:
            _log.info('worker regained', worker=worker.id)
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

    def _wait_s(self, worker: fleet.Worker) -> float:
        if not worker.is_polled or worker.unsaved_ends:
            return 0.0
        if any(
            member.state is not fleet.MemberState.PRESENT
            or member.group.phase is fleet.Phase.STOPPING
            for member in worker.members.values()
        ):
            return _UNSETTLED_WAIT_S
        return self._settings.fleet.longest_wait_s

    def _record_error(
        self, worker: fleet.Worker, error: orders.OrderError
    ) -> None:
        if (
            isinstance(error, orders.Refused)
            and error.why is orders.Refusal.STALE_EPOCH
        ):
            self._lease.drop('a worker knows a newer holder')
            return
        worker.record_unanswered(clock.monotonic())
        if (
            isinstance(error, orders.Refused)
            and error.why is orders.Refusal.BOOT_MISMATCH
        ):
            runs.settle_lost_worker(
                self._board,
                worker,
                'another worker answers at its address',
                clock.monotonic(),
                int(clock.wall() * 1000),
            )
            self._wake()
        if worker.failures_in_row == 1:
            _log.warning('worker silent', worker=worker.id, why=str(error))
            self._wake()
