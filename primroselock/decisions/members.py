"""What the workers' last reports say of the members of an attempt.

A member is *absent* only when its worker was heard and does not show it,
or runs as another incarnation.  A worker that was never heard says
nothing about its members.
"""

import dataclasses

from primroselock.decisions import blackboard
from primroselock import jobs
from primroselock.workers import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One member: its task, its worker and the last report on the task."""

    number: int
    key: protocol.TaskKey
    placement: jobs.Placement
    worker: blackboard.WorkerView | None
    report: protocol.TaskReport | None

    @property
    def has_report(self) -> bool:
        """Whether the worker was ever heard."""
        return self.worker is not None and self.worker.report is not None

    @property
    def is_absent(self) -> bool:
        """Whether the worker was heard and does not show the task."""
        return self.has_report and self.report is None

    def has_state(self, state: protocol.TaskState) -> bool:
        """Whether the last report shows the task in ``state``."""
        return self.report is not None and self.report.state is state

    def has_report_since(self, moment: float) -> bool:
        """Whether an exchange that was sent after ``moment`` was heard."""
        if self.worker is None or self.worker.report is None:
            return False
        return self.worker.sent_at > moment

    def has_report_within(self, window_s: float, now: float) -> bool:
        """Whether an exchange sent within the last ``window_s`` was heard."""
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
    """Return the members of an attempt, in order."""
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
