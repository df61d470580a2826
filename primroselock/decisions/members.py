"""State of an attempt's members according to the workers' last reports.

A member is *absent* only if its worker has reported and the report does
not list it or comes from another incarnation of the worker.  Nothing is
known of the members on a worker that has never reported.
"""

import dataclasses

from primroselock.decisions import blackboard
from primroselock import jobs
from primroselock.workers import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A member of an attempt: its task, its worker and its last report.

    Moments are in seconds on this process's monotonic clock.
    """

    number: int
    key: protocol.TaskKey
    placement: jobs.Placement
    worker: blackboard.WorkerView | None
    report: protocol.TaskReport | None

    @property
    def worker_has_reported(self) -> bool:
        """Return whether the worker has ever reported."""
        return self.worker is not None and self.worker.report is not None

    @property
    def is_absent(self) -> bool:
        """Return whether the worker has reported but not this task."""
        return self.worker_has_reported and self.report is None

    def has_state(self, state: protocol.TaskState) -> bool:
        """Return whether the last report shows the task in ``state``."""
        return self.report is not None and self.report.state is state

    def has_report_since(self, moment: float) -> bool:
        """Return whether the last report was requested after ``moment``."""
        if self.worker is None or self.worker.report is None:
            return False
        return self.worker.sent_at > moment

    def has_report_within(self, window_s: float, now: float) -> bool:
        """Return whether the last report was requested within the window.

        The window is the last ``window_s`` seconds.
        """
        if self.worker is None or self.worker.report is None:
            return False
        return now - self.worker.sent_at <= window_s

    def clock_at(self, moment: float) -> float:
        """Return a lower bound of the worker's clock at ``moment``."""
        assert self.worker is not None
        return self.worker.clock_at(moment)


def find(
    board: blackboard.Blackboard, view: blackboard.AttemptView
) -> list[Member]:
    """Return the members of an attempt, ordered by number."""
    return [
        _find_one(board, number, key, placement)
        for number, (key, placement) in enumerate(view.tasks())
    ]


def _find_one(
    board: blackboard.Blackboard,
    number: int,
    key: protocol.TaskKey,
    placement: jobs.Placement,
) -> Member:
    worker = board.workers_by_id.get(placement.worker_id)
    report = None
    if worker is not None and worker.report is not None:
        if worker.report.boot_id == placement.boot_id:
            report = worker.task(key)
    return Member(number, key, placement, worker, report)
