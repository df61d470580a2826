"""Workers that keep the rules of their own side, and watch for ours.

They run what they are told, as real ones do: nothing keeps them from
being overloaded or from running a task twice.  What must never happen is
noted in ``faults``.
"""

import asyncio
from collections import abc
import dataclasses
import math
import random

import result

from primroselock import clock
from primroselock.decisions import fleet
from primroselock import jobgraph
from primroselock.workers import orders

_CALL_S = 0.001
_LONGEST_LEASE_S = 10.0


@dataclasses.dataclass
class LiveRun:
    """A run on a worker; it works until ``ends_at``."""

    run: orders.Run
    step: jobgraph.Step
    ends_at: float
    started_at: float
    cause: orders.EndCause = orders.EndCause.DONE


@dataclasses.dataclass
class FakeWorker:
    """One worker; ``is_partitioned`` holds orders, ``is_down`` has no process.

    ``delayed_order_share`` of its orders get no answer and are obeyed later.
    """

    entry: fleet.WorkerEntry
    boot: int = 1
    is_partitioned: bool = False
    is_down: bool = False
    delayed_order_share: float = 0.0
    fails_all: bool = False
    is_stalled: bool = False
    slowdown_factor: float = 1.0
    epoch: int = 0
    lease_end: float = 0.0
    last_number: int = 0
    runs: dict[orders.Run, LiveRun] = dataclasses.field(default_factory=dict)
    ended: list[orders.Ended] = dataclasses.field(default_factory=list)
    refused: dict[jobgraph.TaskName, int] = dataclasses.field(
        default_factory=dict
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)

    def share_of(self, live: LiveRun, now: float) -> float:
        """Return the share of a run's work that is done, in hundredths."""
        whole_s = live.ends_at - live.started_at
        if self.is_stalled or whole_s <= 0:
            return 0.0
        done = (now - live.started_at) / whole_s
        return math.floor(min(done, 1.0) * 100) / 100

    def add_end(self, run: orders.Run, cause: orders.EndCause) -> None:
        """List an end."""
        self.runs.pop(run, None)
        self.last_number += 1
        self.ended.append(orders.Ended(self.last_number, run, cause, ''))
        known = self.refused.get(run.task, 0)
        self.refused[run.task] = max(known, run.attempt)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()


class FakeFleet:
    """Implements ``orders.RunClient``; all workers share one clock."""

    def __init__(self, seed: int = 0) -> None:
        self.workers_by_id: dict[str, FakeWorker] = {}
        self.advice_client = FakeAdviceClient()
        self.tickets: list[str] = []
        self.graphs_by_id: dict[str, jobgraph.JobGraph] = {}
        self.work_s_by_job: dict[str, float] = {}
        self.failures_by_task: dict[jobgraph.TaskName, int] = {}
        self.stop_delay_s = 0.1
        self.faults: list[str] = []
        self.starts = 0
        self.lost_work_s = 0.0
        """Accelerator-seconds of work that was stopped."""

        self.confirmed_done: set[jobgraph.TaskName] = set()
        self.done: set[jobgraph.TaskName] = set()
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    def add(self, entry: fleet.WorkerEntry) -> FakeWorker:
        """Add a worker."""
        worker = FakeWorker(entry, entry.boot)
        self.workers_by_id[entry.id] = worker
        return worker

    def spawn(self, work: abc.Coroutine[None, None, None]) -> None:
        """Run ``work`` beside everything else."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> None:
        """Let work end and leases run out, until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            now = clock.monotonic()
            for worker in self.workers_by_id.values():
                if not worker.is_down:
                    self._advance(worker, now)

    def _advance(self, worker: FakeWorker, now: float) -> None:
        if worker.runs and now > worker.lease_end:
            for run in list(worker.runs):
                worker.add_end(run, orders.EndCause.LAPSED)
        for live in list(worker.runs.values()):
            if not worker.is_stalled and self._is_due(live, now):
                self._end(worker, live)

    def _is_due(self, live: LiveRun, now: float) -> bool:
        """Whether a run ends; a gang does with its slowest member."""
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

    def _end(self, worker: FakeWorker, live: LiveRun) -> None:
        task = live.run.task
        worker.add_end(live.run, live.cause)
        if live.cause is orders.EndCause.DONE:
            self.done.add(task)
        elif live.cause is orders.EndCause.FAILED:
            count = self.failures_by_task.get(task, 0)
            self.failures_by_task[task] = count + 1
        if live.step.gang:
            self._end_gang(live)

    def _end_gang(self, ended: LiveRun) -> None:
        """The rest of a gang ends with the first of its members."""
        cause = ended.cause
        if cause is not orders.EndCause.DONE:
            cause = orders.EndCause.BROKEN
        for worker in self.workers_by_id.values():
            for run in list(worker.runs):
                if _same_gang(run, ended.run):
                    worker.add_end(run, cause)

    def crash(self, worker: FakeWorker) -> None:
        """End a worker's process with everything on it."""
        worker.is_down = True
        worker.runs.clear()
        worker.ended.clear()
        worker.refused.clear()
        worker.epoch = 0
        worker.last_number = 0

    def restart(self, worker: FakeWorker) -> None:
        """Start a worker again under its id."""
        worker.is_down = False
        worker.boot += 1

    def _reach(self, worker_id: str) -> FakeWorker | None:
        worker = self.workers_by_id.get(worker_id)
        if worker is None or worker.is_down or worker.is_partitioned:
            return None
        return worker

    async def start(
        self,
        worker_id: str,
        address: str,
        order: orders.Start,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        """Start a run, now or late."""
        await asyncio.sleep(_CALL_S)
        worker = self._reach(worker_id)
        if worker is None:
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('silent'))
        if self._random.random() < worker.delayed_order_share:
            self.spawn(self._start_late(worker, order))
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('late'))
        why = self._obey_start(worker, order)
        if why is not None:
            return result.Err(orders.Refused(why, clock.monotonic()))
        return result.Ok(orders.Accepted(clock.monotonic()))

    async def _start_late(
        self, worker: FakeWorker, order: orders.Start
    ) -> None:
        boot = worker.boot
        await asyncio.sleep(self._random.uniform(2.0, 6.0))
        # An order that waits in a worker's process ends with it.
        if not worker.is_down and worker.boot == boot:
            self._obey_start(worker, order)

    def _obey_start(
        self, worker: FakeWorker, order: orders.Start
    ) -> orders.Refusal | None:
        now = clock.monotonic()
        if order.epoch < worker.epoch:
            return orders.Refusal.STALE_EPOCH
        worker.epoch = order.epoch
        if order.run in worker.runs:
            return None
        if worker.refused.get(order.run.task, 0) >= order.run.attempt:
            return orders.Refusal.SUPERSEDED
        if order.lease_until < now:
            return orders.Refusal.DEADLINE_PASSED
        if order.ticket:
            self.tickets.append(order.ticket)
        worker.lease_end = max(
            worker.lease_end, min(order.lease_until, now + _LONGEST_LEASE_S)
        )
        self._begin(worker, order.run, now)
        return None

    def _begin(self, worker: FakeWorker, run: orders.Run, now: float) -> None:
        graph = self.graphs_by_id[run.task.job_id]
        step = graph.steps[run.task.step]
        work_s = self.work_s_by_job.get(graph.id, step.expected_ms / 1000)
        cause = orders.EndCause.DONE
        if worker.fails_all:
            cause, work_s = orders.EndCause.FAILED, 0.1
        work_s *= worker.slowdown_factor
        self.starts += 1
        self._check_start(worker, run, step, graph)
        worker.runs[run] = LiveRun(run, step, now + work_s, now, cause)
        self._check_room(worker)

    def _check_start(
        self,
        worker: FakeWorker,
        run: orders.Run,
        step: jobgraph.Step,
        graph: jobgraph.JobGraph,
    ) -> None:
        task = run.task
        if task in self.confirmed_done:
            self.faults.append(f'{task} started after its end was confirmed')
        for other in self.workers_by_id.values():
            if other.is_down:
                continue
            if any(live.task == task for live in other.runs):
                self.faults.append(f'{task} runs twice')
        for earlier in step.after:
            for index in range(graph.steps[earlier].tasks):
                name = jobgraph.TaskName(
                    task.job_id, task.occurrence, earlier, index
                )
                is_gang = graph.steps[earlier].gang
                if name not in self.done and not is_gang:
                    self.faults.append(f'{task} started before {name}')

    def _check_room(self, worker: FakeWorker) -> None:
        used = jobgraph.Resources()
        for live in worker.runs.values():
            used = used.plus(live.step.counted_need)
        if not worker.entry.capacity.can_fit(used):
            self.faults.append(f'{worker.entry.id} holds too much: {used}')

    async def stop(
        self,
        worker_id: str,
        address: str,
        run: orders.Run,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[orders.Accepted, orders.OrderError]:
        """Stop a run; it ends ``stop_delay_s`` later."""
        await asyncio.sleep(_CALL_S)
        worker = self._reach(worker_id)
        if (
            worker is None
            or self._random.random() < worker.delayed_order_share
        ):
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('silent'))
        if epoch < worker.epoch:
            return result.Err(orders.Refused(orders.Refusal.STALE_EPOCH))
        worker.epoch = epoch
        known = worker.refused.get(run.task, 0)
        worker.refused[run.task] = max(known, run.attempt)
        if run in worker.runs:
            self.spawn(self._finish_stop(worker, run))
        return result.Ok(orders.Accepted(clock.monotonic()))

    async def _finish_stop(self, worker: FakeWorker, run: orders.Run) -> None:
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
        """Extend the lease and tell what runs and what ended."""
        await asyncio.sleep(_CALL_S)
        worker = self._reach(worker_id)
        if worker is None:
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('silent'))
        if epoch < worker.epoch:
            return result.Err(orders.Refused(orders.Refusal.STALE_EPOCH))
        worker.epoch = epoch
        self._confirm(worker, confirmed_end)
        now = clock.monotonic()
        if lease_until is not None:
            longest = min(lease_until, now + _LONGEST_LEASE_S)
            worker.lease_end = max(worker.lease_end, longest)
        if wait_s and not worker.ended:
            try:
                async with asyncio.timeout(wait_s):
                    await worker.changed.wait()
            except TimeoutError:
                # Nothing ended in time; the look tells what runs.
                pass
        if self._reach(worker_id) is None:
            await asyncio.sleep(timeout_s)
            return result.Err(orders.Unanswered('silent'))
        now = clock.monotonic()
        running = tuple(
            orders.Running(run, '', worker.share_of(live, now))
            for run, live in worker.runs.items()
        )
        return result.Ok(
            orders.RunReport(now, worker.boot, running, tuple(worker.ended))
        )

    def _confirm(self, worker: FakeWorker, number: int) -> None:
        for ended in worker.ended:
            if ended.number <= number:
                if ended.cause is orders.EndCause.DONE:
                    self.confirmed_done.add(ended.run.task)
        worker.ended = [e for e in worker.ended if e.number > number]

    async def drop(self, address: str) -> None:
        """Close nothing."""

    async def aclose(self) -> None:
        """Close nothing."""


class FakeAdviceClient:
    """Lets some workers run any step."""

    def __init__(self) -> None:
        self.approved_worker_ids: set[str] = set()
        self.is_unresponsive = False
        self.asked = 0

    async def ask(
        self,
        step: fleet.StepName,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[tuple[dict[str, str], float], orders.Unanswered]:
        """Return the tickets by worker and for how long they hold."""
        self.asked += 1
        await asyncio.sleep(0.1)
        if self.is_unresponsive:
            return result.Err(orders.Unanswered('silent'))
        good = {
            name: f't-{name}'
            for name in worker_ids
            if name in self.approved_worker_ids
        }
        return result.Ok((good, 3.0))

    async def aclose(self) -> None:
        """Close nothing."""


def _same_gang(run: orders.Run, other: orders.Run) -> bool:
    return (
        run.attempt == other.attempt
        and run.task.job_id == other.task.job_id
        and run.task.occurrence == other.task.occurrence
        and run.task.step == other.task.step
    )
