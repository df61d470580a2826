"""Finds the worker reports that changed since a controller's last round.

Most reports repeat the one before.  A controller that has processed a
report processes only later changes to it, so the cost of a round depends
on the number of changes and workers, not on that of running tasks.
"""

from collections import abc
import dataclasses

from primroselock.workers import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """A worker's report as a controller last saw it, and as it is now.

    ``old`` is None for a new worker, ``new`` for a removed one.
    """

    worker_id: str
    old: protocol.Report | None
    new: protocol.Report | None


@dataclasses.dataclass(slots=True)
class Watch:
    """The last report of each worker that one controller has processed."""

    seen_by_worker_id: dict[str, protocol.Report] = dataclasses.field(
        default_factory=dict
    )

    def take(
        self, reports_by_worker_id: abc.Mapping[str, protocol.Report | None]
    ) -> list[Change]:
        """Return the reports received or removed since the last call."""
        seen = self.seen_by_worker_id
        found = [
            Change(worker_id, seen.get(worker_id), report)
            for worker_id, report in reports_by_worker_id.items()
            if report is not None and seen.get(worker_id) is not report
        ]
        removed = seen.keys() - reports_by_worker_id.keys()
        found.extend(Change(name, seen[name], None) for name in removed)
        for change in found:
            if change.new is None:
                del seen[change.worker_id]
            else:
                seen[change.worker_id] = change.new
        return found


def jobs_in(report: protocol.Report | None) -> set[str]:
    """Return the ids of jobs that have a task in a report."""
    if report is None:
        return set()
    return {task.task.job_id for task in report.tasks}


def changed_jobs(change: Change) -> set[str]:
    """Return the ids of jobs with a task that is new, removed or changed.

    Only a changed state counts; a restarted worker changes all its tasks.
    """
    old, new = change.old, change.new
    if old is None or new is None or old.boot_id != new.boot_id:
        return jobs_in(old) | jobs_in(new)
    if old.tasks == new.tasks:
        return set()
    old_states = {task.task: task.state for task in old.tasks}
    new_states = {task.task: task.state for task in new.tasks}
    differing = old_states.items() ^ new_states.items()
    return {key.job_id for key, _ in differing}
