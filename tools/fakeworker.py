"""Simulated worker for the replay: executes commands, without I/O."""

import dataclasses
import typing

import msgspec

from primroselock.decisions import blackboard
from primroselock.store import vmlist
from primroselock.workers import protocol

_FAILS_AFTER_S: typing.Final = 1.0
_CHECKPOINT_LOAD_S: typing.Final = 30.0
"""Time that a resumed task needs to load its checkpoint."""


@dataclasses.dataclass(slots=True)
class FakeTask:
    """A task on its worker; ``ends_at`` is when it ends unless stopped."""

    report: protocol.TaskReport
    accelerators: tuple[int, ...]
    started_at: float = 0.0
    resumed_s: float = 0.0
    ends_at: float = float('inf')
    fails: bool = False


class FakeWorker:
    """Executes the commands of one scheduler at simulated times in seconds.

    ``fails_all`` makes each task that starts fail after 1 s.
    ``double_grants`` collects the tasks for which accelerators were reserved
    that another task still held, ``lost_done`` the tasks that were done and
    not yet forgotten when the worker died or was restarted.
    """

    def __init__(
        self, vm: vmlist.Vm, slot: int, cpus: int, memory_mb: int
    ) -> None:
        self.vm = vm
        self.slot = slot
        self.cpus = cpus
        self.memory_mb = memory_mb
        self.alive = True
        self.fails_all = False
        self.boot_count = 1
        self.received_at = 0.0
        self.tasks_by_key: dict[protocol.TaskKey, FakeTask] = {}
        self.double_grants: list[protocol.TaskKey] = []
        self.lost_done: set[protocol.TaskKey] = set()

    def die(self) -> None:
        """Stop to answer and lose all tasks."""
        self.alive = False
        self._lose_tasks()

    def _lose_tasks(self) -> None:
        self.lost_done.update(
            key
            for key, task in self.tasks_by_key.items()
            if task.report.state is protocol.TaskState.DONE
        )
        self.tasks_by_key.clear()

    def was_done(self, key: protocol.TaskKey) -> bool:
        """Return whether a task was done and has not been forgotten."""
        task = self.tasks_by_key.get(key)
        if task is None:
            return key in self.lost_done
        return task.report.state is protocol.TaskState.DONE

    def restart(self) -> None:
        """Restart without tasks, as a new incarnation."""
        self.boot_count += 1
        self.alive = True
        self.fails_all = False
        self._lose_tasks()

    def view(self, now: float) -> blackboard.WorkerView:
        """Return a scheduler's view after a heartbeat at ``now``.

        A dead worker sends no report: the time of the last one stays.
        """
        if self.alive:
            self.received_at = now
        report = protocol.Report(
            self.vm.id,
            f'boot-{self.boot_count}',
            self.received_at,
            self.vm.rack,
            self.slot,
            8,
            self.cpus,
            self.memory_mb,
            tuple(task.report for task in self.tasks_by_key.values()),
        )
        return blackboard.WorkerView(
            self.vm, report, self.received_at, self.received_at
        )

    def reserve(self, command: protocol.Reserve) -> None:
        """Reserve accelerators; record a double grant."""
        if command.task in self.tasks_by_key:
            return
        wanted = set(command.accelerators)
        for task in self.tasks_by_key.values():
            if not task.report.state.is_final and wanted & set(
                task.accelerators
            ):
                self.double_grants.append(command.task)
        report = protocol.TaskReport(command.task, protocol.TaskState.RESERVED)
        self.tasks_by_key[command.task] = FakeTask(
            report, command.accelerators
        )

    def start(
        self, command: protocol.Start, now: float, run_time_s: float
    ) -> FakeTask | None:
        """Start a reserved task and return it.

        Returns None if the task is not reserved or ``start_by`` has passed.
        """
        task = self.tasks_by_key.get(command.task)
        if task is None or now > command.start_by:
            return None
        if task.report.state is not protocol.TaskState.RESERVED:
            return None
        task.started_at = now
        task.resumed_s = command.resume_from_s
        if command.resume_from_s:
            task.started_at += _CHECKPOINT_LOAD_S
        left_s = max(run_time_s - command.resume_from_s, 0.0)
        task.ends_at = task.started_at + left_s
        if self.fails_all:
            task.fails = True
            task.ends_at = now + _FAILS_AFTER_S
        self._set(task, protocol.TaskState.RUNNING)
        return task

    def checkpoint(self, key: protocol.TaskKey, now: float) -> None:
        """Record the progress of a running task as its checkpoint."""
        task = self.tasks_by_key.get(key)
        if task is not None and task.report.state is (
            protocol.TaskState.RUNNING
        ):
            ran_s = max(now - task.started_at, 0.0)
            progress_s = task.resumed_s + ran_s
            task.report = msgspec.structs.replace(
                task.report, checkpoint_s=progress_s
            )

    def stop(self, key: protocol.TaskKey) -> None:
        """Stop a task that has not ended."""
        task = self.tasks_by_key.get(key)
        if task is not None and not task.report.state.is_final:
            self._set(task, protocol.TaskState.STOPPED)

    def forget(self, key: protocol.TaskKey) -> None:
        """Drop the record of a task."""
        self.tasks_by_key.pop(key, None)

    def end_tasks(self, now: float) -> bool:
        """End the tasks with ``ends_at`` reached; return whether any ended."""
        ended = False
        for task in self.tasks_by_key.values():
            if (
                task.report.state is protocol.TaskState.RUNNING
                and task.ends_at <= now
            ):
                state = protocol.TaskState.DONE
                if task.fails:
                    state = protocol.TaskState.FAILED
                self._set(task, state)
                ended = True
        return ended

    def _set(self, task: FakeTask, state: protocol.TaskState) -> None:
        task.report = msgspec.structs.replace(task.report, state=state)
