"""Explains where the groups of a job would go now, from a rehearsed round."""

import collections
import dataclasses
import typing

import msgspec

from primroselock.decisions.explaining import boardcopy
from primroselock.decisions.explaining import records
from primroselock.decisions.explaining import rehearsal
from primroselock.decisions.explaining import waits
from primroselock.decisions import fleet
from primroselock.decisions import fleetpreemption
from primroselock.decisions import graphs
from primroselock.decisions import livejobs
from primroselock.decisions.runtimes import observations
from primroselock.decisions import slices
from primroselock import jobgraph
from primroselock import options

_MAX_VERDICTS: typing.Final = 200
_MAX_VICTIMS: typing.Final = 100
_UNSENT_ID: typing.Final = 'not-sent'
_RUN_TIME_PHASES: typing.Final = frozenset(
    {livejobs.Phase.RUNNING, livejobs.Phase.STARTING}
)


@dataclasses.dataclass(frozen=True, slots=True)
class JobNotKnown:
    """The blackboard has no such job: it has ended, or is not read yet."""

    job_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class TooLarge:
    """The blackboard has more groups than are copied."""

    groups: int


Problem = JobNotKnown | TooLarge


class Explainer:
    """Explains one job, in slices; the board is only read when it is made.

    ``job`` is the id of a job on ``board``, or a graph that is not sent.
    ``answer`` is set once :meth:`run` has ended.
    """

    def __init__(
        self,
        board: fleet.ShardBoard,
        settings: options.FleetSettings,
        job: str | jobgraph.JobGraph,
        now: float,
        wall_s: float,
    ) -> None:
        self.answer: records.JobExplanation | Problem | None = None
        self._is_sent = isinstance(job, str)
        self._rehearsal: rehearsal.Rehearsal | None = None
        groups = boardcopy.count_groups(board)
        if isinstance(job, str) and job not in board.jobs_by_id:
            self.answer = JobNotKnown(job)
        elif groups > boardcopy.MAX_GROUPS:
            self.answer = TooLarge(groups)
        else:
            copied = boardcopy.copy_board(board)
            job_id = job if isinstance(job, str) else _add(copied, job, now)
            self._rehearsal = rehearsal.Rehearsal(
                copied, settings, job_id, now, wall_s
            )

    def run(self) -> slices.Slices:
        """Rehearse a round and set the answer."""
        rehearsed = self._rehearsal
        if rehearsed is None:
            return
        before = _Before.read(rehearsed)
        yield from rehearsed.run()
        self.answer = _describe(rehearsed, before, self._is_sent)


def explain(
    board: fleet.ShardBoard,
    settings: options.FleetSettings,
    job: str | jobgraph.JobGraph,
    now: float,
    wall_s: float,
) -> records.JobExplanation | Problem:
    """Explain a job at once; see :class:`Explainer`."""
    explainer = Explainer(board, settings, job, now, wall_s)
    for _ in explainer.run():
        pass
    assert explainer.answer is not None
    return explainer.answer


def _add(
    copied: fleet.ShardBoard, graph: jobgraph.JobGraph, now: float
) -> str:
    """Add a job that is not sent to a copy; return its id there."""
    job_id = _UNSENT_ID
    while job_id in copied.jobs_by_id:
        job_id += '-'
    unsent = msgspec.structs.replace(graph, id=job_id)
    graphs.add_job(copied, unsent, None, 0, now, graph.accepted_ms)
    return job_id


@dataclasses.dataclass(frozen=True, slots=True)
class _Before:
    """The phases of a job's groups before the rehearsal, and since when."""

    phases: dict[livejobs.Group, livejobs.Phase]
    since: dict[livejobs.Group, float]
    attempts: dict[livejobs.Group, int]

    @classmethod
    def read(cls, rehearsed: rehearsal.Rehearsal) -> '_Before':
        """Read the groups of the job that is explained."""
        groups = list(_job_of(rehearsed).groups_by_key.values())
        return cls(
            {group: group.phase for group in groups},
            {group: group.since for group in groups},
            {group: group.attempt for group in groups},
        )


def _job_of(rehearsed: rehearsal.Rehearsal) -> livejobs.LiveJob:
    return rehearsed.board.jobs_by_id[rehearsed.job_id]


def _describe(
    rehearsed: rehearsal.Rehearsal, before: _Before, is_sent: bool
) -> records.JobExplanation:
    job = _job_of(rehearsed)
    now = rehearsed.turn.now
    groups_by_step: dict[livejobs.StepName, list[livejobs.Group]] = {}
    for group in job.groups_by_key.values():
        groups_by_step.setdefault(group.step_name, []).append(group)
    open_steps = [
        groups
        for groups in groups_by_step.values()
        if any(before.phases[g] is not livejobs.Phase.DONE for g in groups)
    ]
    steps = [
        _describe_step(rehearsed, before, groups)
        for groups in open_steps[: rehearsal.MAX_STEPS]
    ]
    waited = [
        now - before.since[group]
        for group, phase in before.phases.items()
        if phase is livejobs.Phase.WAITING
    ]
    held_s = None
    if job.is_held_by_quota(now) and is_sent:
        held_s = round(now - job.quota_held_since, 3)
    return records.JobExplanation(
        job.graph.id if is_sent else '',
        job.graph.account,
        job.graph.queue,
        job.state.value,
        is_sent,
        round(max(waited), 3) if waited and is_sent else None,
        held_s,
        waits.find_job_wait(job, rehearsed.turn),
        _find_job_end(job, steps),
        rehearsed.victims[:_MAX_VICTIMS],
        max(0, len(rehearsed.victims) - _MAX_VICTIMS),
        steps,
        len(open_steps) - len(steps),
    )


def _describe_step(
    rehearsed: rehearsal.Rehearsal,
    before: _Before,
    groups: list[livejobs.Group],
) -> records.StepExplanation:
    now = rehearsed.turn.now
    group = _choose_group(before, groups)
    judged = rehearsed.judged_by_step.get(group.step_name)
    if judged is not None:
        group = judged.group
    phase = before.phases[group]
    outcome = _find_outcome(rehearsed.board, group, phase)
    workers = _list_workers(rehearsed.board, group)
    verdicts = _list_verdicts(rehearsed, judged, outcome, workers)
    excluded = [verdict for verdict in verdicts if verdict.rule]
    counts = collections.Counter(verdict.rule for verdict in excluded)
    wait = waits.find_group_wait(rehearsed, group, phase, outcome, judged)
    start = waits.find_start(rehearsed, group, phase, outcome, judged)
    run = _find_run(rehearsed.board, group)
    return records.StepExplanation(
        group.key.step,
        group.key.occurrence,
        group.key.as_list(),
        group.size,
        phase.value,
        round(now - before.since[group], 3),
        before.attempts[group],
        _count_phases(before, groups),
        outcome,
        _count_placed(before, groups),
        wait,
        workers,
        len(rehearsed.board.workers_by_id) if judged is not None else 0,
        [records.RuleCount(name, n) for name, n in counts.most_common()],
        verdicts[:_MAX_VERDICTS],
        max(0, len(verdicts) - _MAX_VERDICTS),
        start,
        run,
        _find_end(rehearsed, group, phase, start, run),
    )


def _choose_group(
    before: _Before, groups: list[livejobs.Group]
) -> livejobs.Group:
    """Return the group that stands for its step: the first that waits."""
    order = (
        livejobs.Phase.WAITING,
        livejobs.Phase.BLOCKED,
        livejobs.Phase.COMMITTING,
        livejobs.Phase.STARTING,
        livejobs.Phase.STOPPING,
        livejobs.Phase.RUNNING,
        livejobs.Phase.DROPPED,
        livejobs.Phase.DONE,
    )
    return min(groups, key=lambda group: order.index(before.phases[group]))


def _find_outcome(
    board: fleet.ShardBoard, group: livejobs.Group, phase: livejobs.Phase
) -> records.Outcome:
    """Return what the rehearsed round did with a group."""
    if phase is not livejobs.Phase.WAITING:
        return records.Outcome.NONE
    if group.phase is not livejobs.Phase.WAITING:
        return records.Outcome.PLACED
    claim = board.claims_by_group.get(group)
    if claim is None:
        return records.Outcome.WAITS
    if claim.by_preemption:
        return records.Outcome.STOPS_OTHERS
    return records.Outcome.CLAIMS


def _list_workers(board: fleet.ShardBoard, group: livejobs.Group) -> list[str]:
    """Return the workers of a group, or those claimed for it, by id."""
    claim = board.claims_by_group.get(group)
    if group.members or claim is None:
        return sorted({member.worker_id for member in group.members})
    return sorted(claim.worker_ids)


def _list_verdicts(
    rehearsed: rehearsal.Rehearsal,
    judged: rehearsal.Judged | None,
    outcome: records.Outcome,
    chosen_ids: list[str],
) -> list[records.WorkerVerdict]:
    """Return what the round found of each worker, the chosen ones first."""
    if judged is None:
        return []
    chosen = set(chosen_ids)
    verdicts = []
    for worker_id, finding in judged.findings_by_worker_id.items():
        entry = rehearsed.board.workers_by_id[worker_id].entry
        rule, why = '', ''
        if worker_id not in chosen:
            rule, why = waits.name_rest(judged, outcome, finding)
        verdicts.append(
            records.WorkerVerdict(worker_id, entry.zone, entry.rack, rule, why)
        )
    verdicts.sort(key=lambda verdict: (verdict.rule != '', verdict.worker))
    return verdicts


def _count_phases(
    before: _Before, groups: list[livejobs.Group]
) -> dict[str, int]:
    counts = collections.Counter(before.phases[g].value for g in groups)
    return dict(counts)


def _count_placed(before: _Before, groups: list[livejobs.Group]) -> int:
    return sum(
        before.phases[group] is livejobs.Phase.WAITING
        and group.phase is not livejobs.Phase.WAITING
        for group in groups
    )


def _find_run(
    board: fleet.ShardBoard, group: livejobs.Group
) -> records.Expected:
    """Return how long the group is expected to run where it goes."""
    if group.step.long_running:
        return records.Expected()
    run_s = observations.expected_here_s(board, group)
    if not run_s:
        return records.Expected()
    source = records.Source.CALLER
    if observations.is_learned(board, group):
        source = records.Source.LEARNED
    return records.Expected(round(run_s, 3), source)


def _find_end(
    rehearsed: rehearsal.Rehearsal,
    group: livejobs.Group,
    phase: livejobs.Phase,
    start: records.Expected,
    run: records.Expected,
) -> records.Expected:
    """Return when the group is expected to end."""
    if group.step.long_running:
        return records.Expected()
    if phase in _RUN_TIME_PHASES:
        now = rehearsed.turn.now
        left_s = fleetpreemption.remaining_s(
            rehearsed.board, group, now, rehearsed.settings.stop_s
        )
        is_reported = group.remaining_s(now) is not None
        source = records.Source.PROGRESS if is_reported else run.source
        return records.Expected(round(left_s, 3), source)
    if start.in_s is None or run.in_s is None:
        return records.Expected()
    return records.Expected(round(start.in_s + run.in_s, 3), run.source)


def _find_job_end(
    job: livejobs.LiveJob, steps: list[records.StepExplanation]
) -> records.Expected:
    """Return when the job is expected to end, if each open step is known.

    What follows a step takes its critical path.
    """
    if job.released < job.graph.occurrences or not job.critical_paths_s:
        return records.Expected()
    last = records.Expected()
    for step in steps:
        if step.phase == livejobs.Phase.BLOCKED.value:
            # It follows one that is not, whose path it is part of.
            continue
        if step.end.in_s is None:
            return records.Expected()
        end_s = step.end.in_s + _path_after_s(job, step.step)
        if last.in_s is None or end_s > last.in_s:
            last = records.Expected(round(end_s, 3), step.end.source)
    return last


def _path_after_s(job: livejobs.LiveJob, number: int) -> float:
    """Return the critical path after a step, in seconds."""
    return max(
        (
            job.critical_paths_s[later]
            for later, step in enumerate(job.graph.steps)
            if number in step.after
        ),
        default=0.0,
    )
