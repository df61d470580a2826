"""Fake workers that check the invariants of scheduling.

They execute each valid order, as real workers do: nothing prevents an
overload or a second run of a task.  Each violation of an invariant is
recorded in ``FakeFleet.violations``.
"""

import asyncio
import collections
from collections import abc
import dataclasses
import random
import typing

import result

from primroselock import clock
from primroselock.decisions import fleetworkers
from primroselock import jobgraph
from primroselock.test import capacityhistory
from primroselock.test import fakeadvice
from primroselock.test import placementchecks
from primroselock.test import runrecord
from primroselock.test import simulatedworker
from primroselock.workers import orders

_CALL_DURATION_S = 0.001


class FakeFleet:
    """Implements ``orders.RunClient``.

    Each worker has a clock of its own.  All clocks agree until one restarts.
    A call to another address than the worker's is answered there by another
    instance.  Starts that are carried out late end with the process that
    holds them back, unless ``late_starts_outlive`` is set: then they reach
    the incarnation that runs by then.  They are late by ``late_s`` seconds,
    drawn from this range; with ``has_late_stops`` stops are as well, else
    those without an answer are lost.

    A run takes the expected time of its step, unless ``work_s_by_job`` gives
    another for its job.  A stopped run ends ``stop_delay_s`` after the order.
    Runs of the jobs in ``failing_job_ids`` fail soon after their start.
    ``begin_hooks`` are called with each run that has begun.
    """

    def __init__(self, seed: int = 0) -> None:
        self.workers_by_id: dict[str, simulatedworker.FakeWorker] = {}
        self.advice_client = fakeadvice.FakeAdviceClient()
        self.tickets: list[str] = []
        self.graphs_by_id: dict[str, jobgraph.JobGraph] = {}
        self.services_by_queue = collections.defaultdict[str, set[str]](set)
        """The services to which any configuration has sent a queue."""

        self.work_s_by_job: dict[str, float] = {}
        self.failing_job_ids: set[str] = set()
        self.invalid_job_ids: set[str] = set()
        """Jobs whose starts every worker refuses as not understood."""

        self.record = runrecord.RunRecord()
        self.stop_delay_s = 0.1
        self.late_starts_outlive = False
        self.late_s = (2.0, 6.0)
        self.has_late_stops = False
        self.violations: list[str] = []
        self.starts = 0
        self.refused_starts = 0
        self.lost_work_s = 0.0
        """Accelerator-seconds of work lost because runs were stopped."""

        self.end_counts: dict[orders.EndCause, int] = {}
        self.lapsed_tasks: set[jobgraph.TaskName] = set()
        self.confirmed_done: set[jobgraph.TaskName] = set()
        self.done: set[jobgraph.TaskName] = set()
        self.begin_hooks: list[
            abc.Callable[
                [simulatedworker.FakeWorker, simulatedworker.LiveRun], None
            ]
        ] = []
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    def add(
        self, entry: fleetworkers.WorkerEntry
    ) -> simulatedworker.FakeWorker:
        """Add a worker for ``entry``."""
        worker = simulatedworker.FakeWorker(entry, entry.boot)
        self.workers_by_id[entry.id] = worker
        return worker

    def spawn(self, coroutine: abc.Coroutine[None, None, None]) -> None:
        """Run ``coroutine`` as a background task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """End runs that are due or whose lease expired, until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            now = clock.monotonic()
            for worker in self.workers_by_id.values():
                if not worker.is_down:
                    self._advance(worker, now)

    def _advance(self, worker: simulatedworker.FakeWorker, now: float) -> None:
        if worker.runs and worker.read_clock() > worker.lease_end:
            for live in list(worker.runs.values()):
                live.cause = orders.EndCause.LEASE_EXPIRED
                self._end(worker, live)
        for live in list(worker.runs.values()):
            if not worker.is_stalled and self._is_due(live, now):
                self._end(worker, live)

    def _is_due(self, live: simulatedworker.LiveRun, now: float) -> bool:
        """Return whether a run ends now.

        A member of a gang ends with the slowest one, unless it has failed.
        """
        if live.ends_at > now:
            return False
        if not live.step.gang or live.cause is orders.EndCause.FAILED:
            return True
        return all(
            other.ends_at <= now
            for worker in self.workers_by_id.values()
            for run, other in worker.runs.items()
            if _same_gang(run, live.run)
        )

    def _end(
        self, worker: simulatedworker.FakeWorker, live: simulatedworker.LiveRun
    ) -> None:
        task = live.run.task
        worker.add_end(live.run, live.cause)
        known = self.end_counts.get(live.cause, 0)
        self.end_counts[live.cause] = known + 1
        if live.cause is orders.EndCause.DONE:
            self.done.add(task)
        elif live.cause is orders.EndCause.LEASE_EXPIRED:
            self.lapsed_tasks.add(task)
        elif live.cause is orders.EndCause.FAILED:
            self.record.add_failure(live)
        if live.step.gang:
            self._end_gang(live)

    def _end_gang(self, ended: simulatedworker.LiveRun) -> None:
        """End the other members of a gang when one member ends."""
        cause = ended.cause
        if cause is not orders.EndCause.DONE:
            cause = orders.EndCause.GANG_BROKEN
        self._end_members(ended, cause)

    def _end_members(
        self, ended: simulatedworker.LiveRun, cause: orders.EndCause
    ) -> None:
        for worker in self.workers_by_id.values():
            for run in list(worker.runs):
                if _same_gang(run, ended.run):
                    worker.add_end(run, cause)

    def crash(
        self, worker: simulatedworker.FakeWorker, is_planned: bool = False
    ) -> None:
        """End a worker's process; its runs and all its state are lost.

        The other members of their gangs cannot go on.  With ``is_planned`` it
        had drained.
        """
        worker.is_down = True
        lost = list(worker.runs.values())
        self.record.add_lost(lost, is_planned)
        worker.runs.clear()
        worker.ended.clear()
        worker.refused.clear()
        worker.epoch = 0
        worker.last_number = worker.lapsed_number = 0
        worker.lease_end = simulatedworker.NEVER
        for live in lost:
            if live.step.gang:
                self._end_members(live, orders.EndCause.GANG_BROKEN)

    def restart(
        self,
        worker: simulatedworker.FakeWorker,
        clock_s: float = 0.0,
        **changes: typing.Any,
    ) -> None:
        """Restart a worker under the same id, as a new incarnation.

        Its clock starts at ``clock_s``.  ``changes`` are fields of its entry
        in which it differs from the incarnation before, if any.
        """
        worker.is_down = False
        worker.begin_boot()
        worker.clock_offset_s = clock_s - clock.monotonic()
        if 'capacity' in changes:
            # An earlier capacity is no excuse for starts on this one.
            worker.capacity_history = capacityhistory.CapacityHistory()
        worker.entry = dataclasses.replace(
            worker.entry, **changes, boot=worker.boot
        )

    def _find_reachable(
        self, worker_id: str
    ) -> simulatedworker.FakeWorker | None:
        worker = self.workers_by_id.get(worker_id)
        if worker is None or not worker.is_reachable:
            return None
        return worker

    async def _reach(
        self, worker_id: str, address: str, timeout_s: float
    ) -> result.Result[simulatedworker.FakeWorker, orders.OrderError]:
        """Return the worker that a call gets to, or how the call ends."""
        await asyncio.sleep(_CALL_DURATION_S)
        worker = self._find_reachable(worker_id)
        if worker is None:
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('no answer'))
        if await worker.is_left(address):
            return result.Err(orders.Refused(orders.Refusal.BOOT_MISMATCH))
        return result.Ok(worker)

    async def start(
        self,
        worker_id: str,
        address: str,
        order: orders.Start,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        """Start a run, at once or, for the share of late orders, later."""
        reached = await self._reach(worker_id, address, timeout_s)
        if isinstance(reached, result.Err):
            return reached
        worker = reached.ok_value
        if self._random.random() < worker.delayed_order_share:
            self.spawn(self._start_late(worker, order))
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('delayed'))
        if order.run.task.job_id in self.invalid_job_ids:
            self.refused_starts += 1
            return result.Err(orders.Refused(orders.Refusal.INVALID))
        share = worker.refused_start_share
        if share and self._random.random() < share:
            self.refused_starts += 1
            return result.Err(orders.Refused(worker.refusal))
        refusal = self._execute_start(worker, order, clock.monotonic())
        if refusal is not None:
            return result.Err(orders.Refused(refusal, worker.read_clock()))
        if worker.is_down:
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('it crashed'))
        return result.Ok(orders.Accepted(worker.read_clock()))

    async def _start_late(
        self, worker: simulatedworker.FakeWorker, order: orders.Start
    ) -> None:
        boot, ordered_at = worker.boot, clock.monotonic()
        await asyncio.sleep(self._random.uniform(*self.late_s))
        if worker.is_down:
            return
        # An order that is queued in a worker's process is lost with it; one
        # that is held up on its way is not.
        if worker.boot == boot or self.late_starts_outlive:
            self._execute_start(worker, order, ordered_at)

    def _execute_start(
        self,
        worker: simulatedworker.FakeWorker,
        order: orders.Start,
        ordered_at: float,
    ) -> orders.Refusal | None:
        now = clock.monotonic()
        if order.epoch < worker.epoch:
            return orders.Refusal.STALE_EPOCH
        worker.epoch = order.epoch
        if order.run in worker.runs:
            return None
        if worker.refused.get(order.run.task, 0) >= order.run.attempt:
            return orders.Refusal.SUPERSEDED
        if order.lease_until < worker.read_clock():
            return orders.Refusal.DEADLINE_PASSED
        if order.ticket:
            self.tickets.append(order.ticket)
        worker.extend_lease(order.lease_until)
        self._begin(worker, order.run, now, ordered_at)
        overload = placementchecks.find_overload(worker, ordered_at)
        if overload:
            self.violations.append(overload)
        return None

    def _begin(
        self,
        worker: simulatedworker.FakeWorker,
        run: orders.Run,
        now: float,
        ordered_at: float,
    ) -> None:
        graph = self.graphs_by_id[run.task.job_id]
        step = graph.steps[run.task.step]
        work_s = self.work_s_by_job.get(graph.id, step.expected_ms / 1000)
        cause = orders.EndCause.DONE
        if worker.fails_all or graph.id in self.failing_job_ids:
            cause, work_s = orders.EndCause.FAILED, 0.1
        elif step.long_running:
            # It never ends on its own unless it fails.
            cause = orders.EndCause.FAILED
        work_s *= worker.slowdown_factor
        self.starts += 1
        live = simulatedworker.LiveRun(
            run, step, now + work_s, now, cause, ordered_at
        )
        self._check_start(worker, live, graph)
        worker.runs[run] = live
        for hook in self.begin_hooks:
            hook(worker, live)

    def _check_start(
        self,
        worker: simulatedworker.FakeWorker,
        live: simulatedworker.LiveRun,
        graph: jobgraph.JobGraph,
    ) -> None:
        task, step = live.run.task, live.step
        note = worker.describe_late(live.ordered_at)
        misplaced = placementchecks.list_violations(
            worker, live.run, graph, self.services_by_queue[graph.queue]
        )
        self.violations += [problem + note for problem in misplaced]
        if task in self.confirmed_done:
            self.violations.append(
                f'{task} started after its end was confirmed{note}'
            )
        for other in self.workers_by_id.values():
            if other.is_down:
                continue
            for beside in other.runs.values():
                if beside.run.task == task:
                    late = note or other.describe_late(beside.ordered_at)
                    self.violations.append(f'{task} runs twice{late}')
        for earlier in step.after:
            for index in range(graph.steps[earlier].tasks):
                name = jobgraph.TaskName(
                    task.job_id, task.occurrence, earlier, index
                )
                is_gang = graph.steps[earlier].gang
                if name not in self.done and not is_gang:
                    self.violations.append(f'{task} started before {name}')

    async def stop(
        self,
        worker_id: str,
        address: str,
        run: orders.Run,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        """Stop a run; it ends ``stop_delay_s`` later."""
        await asyncio.sleep(_CALL_DURATION_S)
        worker = self._find_reachable(worker_id)
        if (
            worker is None
            or self._random.random() < worker.delayed_order_share
        ):
            if worker is not None and self.has_late_stops:
                self.spawn(self._stop_late(worker, run, epoch))
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('no answer'))
        if await worker.is_left(address):
            return result.Err(orders.Refused(orders.Refusal.BOOT_MISMATCH))
        if not self._execute_stop(worker, run, epoch):
            return result.Err(orders.Refused(orders.Refusal.STALE_EPOCH))
        return result.Ok(orders.Accepted(worker.read_clock()))

    async def _stop_late(
        self,
        worker: simulatedworker.FakeWorker,
        run: orders.Run,
        epoch: int,
    ) -> None:
        boot = worker.boot
        await asyncio.sleep(self._random.uniform(*self.late_s))
        if worker.boot == boot and not worker.is_down:
            self._execute_stop(worker, run, epoch)

    def _execute_stop(
        self,
        worker: simulatedworker.FakeWorker,
        run: orders.Run,
        epoch: int,
    ) -> bool:
        """Stop a run; return whether the order is of no lower epoch."""
        if epoch < worker.epoch:
            return False
        worker.epoch = epoch
        known = worker.refused.get(run.task, 0)
        worker.refused[run.task] = max(known, run.attempt)
        if run in worker.runs:
            self.spawn(self._finish_stop(worker, run))
        return True

    async def _finish_stop(
        self, worker: simulatedworker.FakeWorker, run: orders.Run
    ) -> None:
        await asyncio.sleep(self.stop_delay_s)
        live = worker.runs.get(run)
        if live is not None:
            live.cause = orders.EndCause.STOPPED
            worked_s = clock.monotonic() - live.started_at
            self.lost_work_s += worked_s * live.step.need.accelerators
            self._end(worker, live)

    async def poll_runs(
        self,
        worker_id: str,
        address: str,
        epoch: int,
        confirmed_end: int,
        lease_until: float | None,
        wait_s: float,
        timeout_s: float,
    ) -> result.Result[orders.RunReport, orders.OrderError]:
        """Extend the lease; report the current runs and those that ended."""
        reached = await self._reach(worker_id, address, timeout_s)
        if isinstance(reached, result.Err):
            return reached
        worker = reached.ok_value
        if epoch < worker.epoch:
            return result.Err(orders.Refused(orders.Refusal.STALE_EPOCH))
        worker.epoch = epoch
        boot = worker.boot
        share = worker.unanswered_poll_share
        if share and self._random.random() < share:
            await asyncio.sleep(wait_s + timeout_s)
            return result.Err(orders.Unanswered('no answer'))
        self._confirm(worker, confirmed_end)
        if lease_until is not None:
            worker.extend_lease(lease_until)
        if wait_s and not worker.ended:
            try:
                async with asyncio.timeout(wait_s):
                    await worker.changed.wait()
            except TimeoutError:
                # Nothing ended in time; the report lists the current runs.
                pass
        if self._find_reachable(worker_id) is None or worker.boot != boot:
            # The process that held the poll open is out of reach, or ended.
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('no answer'))
        worker.has_answered = True
        now = clock.monotonic()
        running = tuple(
            orders.Running(run, '', worker.find_share(live, now))
            for run, live in worker.runs.items()
        )
        return result.Ok(
            orders.RunReport(
                worker.read_clock(),
                worker.boot,
                running,
                tuple(worker.ended),
            )
        )

    def _confirm(
        self, worker: simulatedworker.FakeWorker, number: int
    ) -> None:
        worker.note_lapse()
        for ended in worker.ended:
            if worker.lapsed_number < ended.number <= number:
                if ended.cause is orders.EndCause.DONE:
                    self.confirmed_done.add(ended.run.task)
        worker.ended = [e for e in worker.ended if e.number > number]

    async def drop(self, address: str) -> None:
        """Do nothing: no connection is open."""

    async def aclose(self) -> None:
        """Do nothing: no connection is open."""


def _same_gang(run: orders.Run, other: orders.Run) -> bool:
    return (
        run.attempt == other.attempt
        and run.task.job_id == other.task.job_id
        and run.task.occurrence == other.task.occurrence
        and run.task.step == other.task.step
    )
