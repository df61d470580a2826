"""How the runs of a simulated fleet ended, for the checks of its jobs."""

from collections import abc
import dataclasses

from primroselock import jobgraph
from primroselock.test import simulatedworker


@dataclasses.dataclass
class RunRecord:
    """What has ended runs, by task.

    ``failures_by_task`` counts ends as failed; ``failed_attempts_by_gang``
    has the attempts that ended so, by job, occurrence and step.  Workers have
    crashed, or left as planned, ``crashes_by_task`` and ``leaves_by_task``
    times under a task.
    """

    failures_by_task: dict[jobgraph.TaskName, int] = dataclasses.field(
        default_factory=dict
    )
    failed_attempts_by_gang: dict[tuple[str, int, int], set[int]] = (
        dataclasses.field(default_factory=dict)
    )
    crashes_by_task: dict[jobgraph.TaskName, int] = dataclasses.field(
        default_factory=dict
    )
    leaves_by_task: dict[jobgraph.TaskName, int] = dataclasses.field(
        default_factory=dict
    )

    def add_failure(self, live: simulatedworker.LiveRun) -> None:
        """Record that a run ended as failed."""
        task = live.run.task
        count = self.failures_by_task.get(task, 0)
        self.failures_by_task[task] = count + 1
        if live.step.gang:
            gang = (task.job_id, task.occurrence, task.step)
            attempts = self.failed_attempts_by_gang.setdefault(gang, set())
            attempts.add(live.run.attempt)

    def add_lost(
        self,
        lost: abc.Iterable[simulatedworker.LiveRun],
        is_planned: bool,
    ) -> None:
        """Record the runs that ended with their worker's process."""
        counts = self.leaves_by_task if is_planned else self.crashes_by_task
        for live in lost:
            counts[live.run.task] = counts.get(live.run.task, 0) + 1

    def list_failures(self) -> list[tuple[str, int]]:
        """Return how often each task, or gang, has failed, with its job."""
        of_tasks = [
            (task.job_id, failures)
            for task, failures in self.failures_by_task.items()
        ]
        of_gangs = [
            (job_id, len(attempts))
            for (job_id, _, _), attempts in (
                self.failed_attempts_by_gang.items()
            )
        ]
        return of_tasks + of_gangs
