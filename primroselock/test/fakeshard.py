"""A shard in one process for tests: table, workers and holders.

The workers are those of the stand-in on a clock that the test turns.  The
holders run the real controllers and channels.  Nothing happens by itself:
the test chooses each round, exchange, write and lapse of time.
"""

import argparse
import dataclasses
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import controllers
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import jobstore
from primroselock import options
from primroselock.store import vmlist
from primroselock.test import builders
from primroselock.workers import commandqueue
from primroselock.workers import protocol
from standins import worker

assert controllers.__all__


class Clock:
    """True time, as no process knows it."""

    def __init__(self) -> None:
        self.now = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """The last state of a task and since when."""

    state: protocol.TaskState
    since: float


class FakeWorker(worker.Worker):
    """A stand-in worker on the test's clock."""

    def __init__(self, worker_id: str, slot: int, clock: Clock) -> None:
        super().__init__(
            argparse.Namespace(
                id=worker_id,
                rack='r0',
                slot=slot,
                accelerators=8,
                cpus=64,
                memory_mb=262144,
                clock_offset_s=slot * 1000.0,
                usage_lag_s=0.5,
            )
        )
        self.true_clock = clock
        self.paused_since: float | None = None
        self.is_partitioned = False
        self.checked_entries = 0
        self.last_state_by_task: dict[tuple[str, int, int], Entry] = {}

    def set_state(
        self,
        task: worker.Task,
        state: protocol.TaskState,
        detail: str = '',
    ) -> None:
        """Record the state, also as the last one of its task."""
        super().set_state(task, state, detail)
        key = (task.key.job_id, task.key.attempt, task.key.member)
        self.last_state_by_task[key] = Entry(state, self.true_clock.now)

    def monotonic(self) -> float:
        """Return the true time."""
        return self.true_clock.now

    @property
    def is_paused(self) -> bool:
        """Whether the worker is paused."""
        return self.paused_since is not None

    def restart(self) -> None:
        """Lose every task and begin anew with another clock."""
        for task in self.tasks.values():
            if not task.state.is_final:
                self.set_state(task, protocol.TaskState.STOPPED, 'restart')
        self.tasks.clear()
        self.epochs_by_shard.clear()
        self.boot_id += '+'
        self.sent_tasks_by_number.clear()
        self.clock_offset_s -= 700.0


@dataclasses.dataclass
class Transaction:
    """A write of some holder, conditional on its epoch."""

    epoch: int
    write: commands.WriteJob


class FakeTable:
    """Job rows and the epoch; remembers each committed placement."""

    def __init__(self) -> None:
        self.version = 1
        self.epoch = 0
        self.stored_by_id: dict[str, jobstore.StoredJob] = {}
        self.attempts_by_number: dict[tuple[str, int], set[jobs.Attempt]] = {}

    def put(self, job: jobs.Job) -> jobstore.StoredJob:
        """Write a row whatever it was."""
        self.version += 1
        stored = jobstore.StoredJob(job, self.version)
        self.stored_by_id[job.id] = stored
        if job.attempt is not None:
            number = (job.id, job.attempt.number)
            seen = self.attempts_by_number.setdefault(number, set())
            seen.add(job.attempt)
        return stored

    def apply(self, transaction: Transaction) -> None:
        """Write a row when the epoch and its version are as they must."""
        write = transaction.write
        old = self.stored_by_id[write.job.id]
        if transaction.epoch != self.epoch:
            return
        if old.row_version == write.row_version:
            self.put(write.job)


class ShardHolder:
    """A scheduler that holds the shard, or believes so."""

    def __init__(
        self,
        settings: options.Settings,
        table: FakeTable,
        workers: typing.Iterable[FakeWorker],
        now: float,
    ) -> None:
        self.settings = settings
        self.table = table
        table.epoch += 1
        self.board = blackboard.Blackboard('a', 'a', epoch=table.epoch)
        self.board.config = builders.build_configuration()
        self.board.listening_since = now
        vms = [
            vmlist.Vm(each.parsed.id, 'worker', 'a', '127.0.0.1:1', rack='r0')
            for each in workers
        ]
        self.board.record_vms(vms)
        self.channels = {vm.id: commandqueue.CommandQueue(vm) for vm in vms}
        self.next_exchange_at = {vm.id: 0.0 for vm in vms}
        self.writes: list[Transaction] = []
        self.is_superseded = False
        self.reload()

    def reload(self) -> None:
        """Take over the rows of the table."""
        for stored in self.table.stored_by_id.values():
            self.board.record_job(stored.job, stored.row_version)

    def run_round(self, now: float) -> None:
        """Decide, and queue what was decided."""
        if self.is_superseded:
            return
        for command in registry.run_round(self.board, self.settings, now):
            if isinstance(command, commands.SendToWorker):
                queue = self.channels[command.worker_id]
                queue.add(command.command, command.urgent, now)
            elif isinstance(command, commands.WriteJob):
                self.writes.append(Transaction(self.board.epoch, command))

    def take_batch(self, worker_id: str, now: float) -> protocol.Batch | None:
        """Return the next batch for a worker, when one may be sent."""
        if self.is_superseded or now < self.next_exchange_at[worker_id]:
            return None
        queue = self.channels[worker_id]
        batch = queue.build_batch(self.board, self.settings, now)
        queue.finish_exchange()
        return batch

    def record_answer(
        self,
        answer: protocol.Report | protocol.EpochRefused,
        sent_at: float,
        now: float,
    ) -> None:
        """Take over a worker's answer."""
        if isinstance(answer, protocol.EpochRefused):
            self.is_superseded = True
        else:
            self.board.record_report(answer, sent_at, now)
