"""Rehearses the placements of the next round on a copy of the blackboard.

What each worker is for the groups of one job is noted when the round comes to
them, since what went before has taken its part by then.
"""

import dataclasses
import typing

from primroselock.decisions.explaining import records
from primroselock.decisions.explaining import workerrules
from primroselock.decisions import fleet
from primroselock.decisions import fleetplacing
from primroselock.decisions import fleetpreemption
from primroselock.decisions import livejobs
from primroselock.decisions import placementround
from primroselock.decisions import preferences
from primroselock.decisions import roundcontexts
from primroselock.decisions import slices
from primroselock import options

MAX_STEPS: typing.Final = 20
"""Steps of a job that are examined: each looks at all workers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Judged:
    """What the round found for the first waiting group of a step.

    ``findings_by_worker_id`` holds the rule by which a worker fell out, and
    None for one that could be used.  ``quota_lack`` says what the quota of its
    account lacks, empty if it has room.  ``free_in_s`` is when running work is
    expected to have made room, in seconds.  ``is_listed`` is set if the
    round came to the group.
    """

    group: livejobs.Group
    findings_by_worker_id: dict[str, workerrules.Finding | None]
    quota_lack: str
    free_in_s: float | None
    is_listed: bool

    @property
    def is_usable(self) -> bool:
        """Return whether some worker fell out by no rule."""
        return None in self.findings_by_worker_id.values()


class Rehearsal:
    """The placements of a round on ``board``, a copy, for the job ``job_id``.

    ``judged_by_step`` holds the steps of the job that have a waiting group.
    """

    def __init__(
        self,
        board: fleet.ShardBoard,
        settings: options.FleetSettings,
        job_id: str,
        now: float,
        wall_s: float,
    ) -> None:
        self.board = board
        self.settings = settings
        self.job_id = job_id
        self.turn = slices.Turn(now, wall_s)
        self.judged_by_step: dict[livejobs.StepName, Judged] = {}
        self.victims: list[records.Victim] = []
        self._endings = self._list_active()

    @property
    def is_permitted(self) -> bool:
        """Return whether the holder may start anything now."""
        return self.turn.now <= self.board.permit_until

    def run(self) -> slices.Slices:
        """Rehearse; then examine what the round did not come to."""
        waiting = _first_waiting(self.board, self.job_id)
        if self.is_permitted:
            yield from fleetplacing.place_waiting(
                self.board, self.settings, self.turn, self._observe
            )
        context = None
        for group in waiting:
            yield
            if group.step_name in self.judged_by_step:
                continue
            if context is None:
                context = roundcontexts.build_idle(
                    self.board, self.settings, self.turn
                )
            self._judge(context, group, is_listed=False)
        self.victims = self._find_victims()

    def _observe(
        self, context: placementround.RoundContext, group: livejobs.Group
    ) -> None:
        if group.job.graph.id != self.job_id:
            return
        known = group.step_name in self.judged_by_step
        if not known and len(self.judged_by_step) < MAX_STEPS:
            self._judge(context, group, is_listed=True)

    def _judge(
        self,
        context: placementround.RoundContext,
        group: livejobs.Group,
        is_listed: bool,
    ) -> None:
        view = workerrules.build_view(context, group)
        if view is None:
            return
        findings = {
            worker.id: workerrules.find_out(view, worker)
            for worker in self.board.workers_by_id.values()
        }
        lack = ''
        if not context.quotas.allows(group):
            lack = workerrules.describe_quota(view)
        self.judged_by_step[group.step_name] = Judged(
            group,
            findings,
            lack,
            None if lack else self._find_soonest(context, group),
            is_listed,
        )

    def _find_soonest(
        self, context: placementround.RoundContext, group: livejobs.Group
    ) -> float | None:
        """Return in how many seconds running work makes room, if known."""
        queue = group.job.queue
        if queue is None:
            return None
        chosen = fleetpreemption.choose_soonest_free(
            self.board,
            context.free_capacity,
            group,
            preferences.build_victim_filter(context, group, queue),
            context.now,
            self.settings.stop_s,
        )
        return None if chosen is None else chosen.cost

    def _list_active(self) -> dict[livejobs.Group, records.Victim]:
        """Return the groups that could be stopped, as they are now."""
        now = self.turn.now
        return {
            group: records.Victim(
                job.graph.id,
                job.graph.account,
                job.graph.queue,
                group.key.as_list(),
                sorted({member.worker_id for member in group.members}),
                round(group.worked_s(now), 3),
            )
            for job in self.board.jobs_by_id.values()
            for group in job.active_groups
            if group.phase is not livejobs.Phase.STOPPING
        }

    def _find_victims(self) -> list[records.Victim]:
        """Return the groups that the round would stop for the job."""
        stopped = {
            (record.job_id, *record.values['group'])
            for record in self.board.decision_records
            if record.event == placementround.PREEMPTED
            and record.values['by'] == self.job_id
        }
        return [
            victim
            for victim in self._endings.values()
            if (victim.job, *victim.group) in stopped
        ]


def _first_waiting(
    board: fleet.ShardBoard, job_id: str
) -> list[livejobs.Group]:
    """Return the first waiting group of each step of a job."""
    first_by_step: dict[livejobs.StepName, livejobs.Group] = {}
    for group in board.jobs_by_id[job_id].groups_by_key.values():
        if group.phase is livejobs.Phase.WAITING:
            first_by_step.setdefault(group.step_name, group)
    return list(first_by_step.values())[:MAX_STEPS]
