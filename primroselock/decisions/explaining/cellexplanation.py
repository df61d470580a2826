"""Explains where a job of the schedulers would go, which is placed in cells.

The placement of the next round is carried out on a copy of the blackboard.
Its records are frozen, so that copies of its containers are enough.
"""

import collections
import copy
import dataclasses
import typing

from primroselock.decisions import blackboard
from primroselock.decisions import capacity
from primroselock.decisions import cells
from primroselock.decisions import commands
from primroselock.decisions.explaining import records
from primroselock.decisions import footprints
from primroselock.decisions import placing
from primroselock.decisions import runtimeestimates
from primroselock.decisions import shapes
from primroselock import jobs
from primroselock import options

_MAX_VERDICTS: typing.Final = 200
_MAX_VICTIMS: typing.Final = 100
_CONTAINERS: typing.Final = (dict, list, set)
_STOPPING: typing.Final = frozenset(
    {blackboard.Phase.CHECKPOINTING, blackboard.Phase.STOPPING}
)
_RULES: typing.Final = {
    capacity.Exclusion.NOT_HEARD: 'not ready',
    capacity.Exclusion.SILENT: 'not ready',
    capacity.Exclusion.LEAVING: 'draining',
    capacity.Exclusion.QUARANTINED: 'quarantine',
}
_Record = typing.TypeVar('_Record')


def explain(
    board: blackboard.Blackboard,
    settings: options.Settings,
    job: str | jobs.Job,
    now: float,
) -> records.JobExplanation | None:
    """Explain a job, by its id, or one that is not sent.

    Returns None if the blackboard has no job of that id.
    """
    copied = _copy_fields(board)
    copied.soft_state = _copy_fields(board.soft_state)
    if isinstance(job, jobs.Job):
        copied.record_job(job, 1)
        job_id = job.id
    else:
        job_id = job
    if job_id not in copied.jobs_by_id:
        return None
    before = dict(copied.attempts_by_job_id)
    decided = placing.place_waiting(copied, settings, now)
    rehearsed = _Rehearsed(copied, settings, job_id, before, decided, now)
    return _describe(rehearsed, is_sent=isinstance(job, str))


def _copy_fields(record: _Record) -> _Record:
    """Return a copy of a data class, with copies of its containers."""
    copied = copy.copy(record)
    for field in dataclasses.fields(record):  # type: ignore[arg-type]
        value = getattr(record, field.name)
        if isinstance(value, _CONTAINERS):
            setattr(copied, field.name, value.copy())
    return copied


@dataclasses.dataclass(frozen=True, slots=True)
class _Rehearsed:
    """A blackboard after a placement; ``before`` are the attempts before."""

    board: blackboard.Blackboard
    settings: options.Settings
    job_id: str
    before: dict[str, blackboard.AttemptView]
    decided: list[commands.Command]
    now: float

    @property
    def view(self) -> blackboard.JobView:
        """The job that is explained."""
        return self.board.jobs_by_id[self.job_id]

    @property
    def attempt(self) -> blackboard.AttemptView | None:
        """The job's attempt, if it has one by now."""
        return self.board.attempts_by_job_id.get(self.job_id)

    @property
    def outcome(self) -> records.Outcome:
        """What the placement did with the job."""
        if self.job_id in self.before:
            return records.Outcome.NONE
        if self.attempt is not None:
            return records.Outcome.PLACED
        if self.job_id in self.board.claims_by_job_id:
            return records.Outcome.STOPS_OTHERS
        return records.Outcome.WAITS

    @property
    def placements(self) -> tuple[jobs.Placement, ...]:
        """The placements of its attempt, or those that are claimed for it."""
        if self.attempt is not None:
            return self.attempt.attempt.placements
        claim = self.board.claims_by_job_id.get(self.job_id)
        return claim.placements if claim is not None else ()


def _describe(rehearsed: _Rehearsed, is_sent: bool) -> records.JobExplanation:
    job = rehearsed.view.job
    seen = rehearsed.board.soft_state.first_seen_by_job_id
    waits_s = None
    if is_sent and rehearsed.job_id in seen:
        waits_s = round(rehearsed.now - seen[rehearsed.job_id], 3)
    step = _describe_step(rehearsed)
    victims = _find_victims(rehearsed)
    return records.JobExplanation(
        job.id if is_sent else '',
        job.account,
        '',
        job.state.value,
        is_sent,
        waits_s,
        None,
        records.Wait('cancelled', 'its cancellation was asked for')
        if job.cancel_requested
        else records.Wait(),
        step.end,
        victims[:_MAX_VICTIMS],
        max(0, len(victims) - _MAX_VICTIMS),
        [step],
        0,
    )


def _describe_step(rehearsed: _Rehearsed) -> records.StepExplanation:
    job = rehearsed.view.job
    known = rehearsed.before.get(rehearsed.job_id)
    phase, phase_s = 'waiting', 0.0
    if known is not None:
        phase = known.phase.value
        phase_s = round(rehearsed.now - known.phase_since, 3)
    outcome = rehearsed.outcome
    verdicts: list[records.WorkerVerdict] = []
    if outcome is not records.Outcome.NONE:
        verdicts = _list_verdicts(rehearsed)
    counts = collections.Counter(each.rule for each in verdicts if each.rule)
    start, run = _find_start(rehearsed), _find_run(rehearsed)
    return records.StepExplanation(
        0,
        0,
        [0, 0, 0],
        job.spec.members,
        phase,
        phase_s,
        job.attempts,
        {phase: 1},
        outcome,
        int(outcome is records.Outcome.PLACED),
        _find_wait(rehearsed),
        sorted({placed.worker_id for placed in rehearsed.placements}),
        len(verdicts),
        [records.RuleCount(name, n) for name, n in counts.most_common()],
        verdicts[:_MAX_VERDICTS],
        max(0, len(verdicts) - _MAX_VERDICTS),
        start,
        run,
        _find_end(rehearsed, start, run),
    )


def _find_wait(rehearsed: _Rehearsed) -> records.Wait:
    """Return what the job waits for; the placement says it in words."""
    if rehearsed.outcome in (records.Outcome.PLACED, records.Outcome.NONE):
        return records.Wait()
    board = rehearsed.board
    why = board.reasons_by_job_id.get(rehearsed.job_id, '')
    for command in rehearsed.decided:
        if (
            isinstance(command, commands.MoveJob)
            and command.job.id == rehearsed.job_id
        ):
            return records.Wait('moves', f'moves to zone {command.to_shard}')
    if not board.is_zone_in_service:
        return records.Wait('zone', why)
    if rehearsed.now >= board.permit_until:
        return records.Wait('permit', why)
    if rehearsed.outcome is records.Outcome.STOPS_OTHERS:
        return records.Wait('stops', why)
    if rehearsed.now < rehearsed.view.not_before:
        return records.Wait('delay', why)
    return records.Wait('cells', why)


def _find_victims(rehearsed: _Rehearsed) -> list[records.Victim]:
    """Return the jobs that would be stopped for the cells of the job."""
    if rehearsed.outcome is not records.Outcome.STOPS_OTHERS:
        return []
    board = rehearsed.board
    locations = capacity.locate_workers(board)
    wanted = dict(footprints.build(rehearsed.placements, locations).masks)
    victims = []
    for job_id, view in board.attempts_by_job_id.items():
        was = rehearsed.before.get(job_id)
        if was is None or was.phase in _STOPPING:
            continue
        masks = footprints.build(view.attempt.placements, locations).masks
        overlaps = any(wanted.get(rack, 0) & mask for rack, mask in masks)
        known = board.jobs_by_id.get(job_id)
        if view.phase in _STOPPING and overlaps and known is not None:
            victims.append(_describe_victim(rehearsed, known.job, view))
    return victims


def _describe_victim(
    rehearsed: _Rehearsed, job: jobs.Job, view: blackboard.AttemptView
) -> records.Victim:
    worked_s = runtimeestimates.progress_s(
        rehearsed.board, view, rehearsed.now
    )
    workers = {placed.worker_id for placed in view.attempt.placements}
    return records.Victim(
        job.id, job.account, '', [0, 0, 0], sorted(workers), round(worked_s, 3)
    )


def _list_verdicts(rehearsed: _Rehearsed) -> list[records.WorkerVerdict]:
    """Return the rule by which each worker falls out, the chosen first."""
    board = rehearsed.board
    shard_capacity = capacity.compute(board, rehearsed.settings, rehearsed.now)
    shape = shapes.of_spec(rehearsed.view.job.spec, shard_capacity.share)
    chosen = {placed.worker_id for placed in rehearsed.placements}
    verdicts = []
    for worker in board.workers_by_id.values():
        rule, why = '', ''
        if worker.vm.id not in chosen:
            rule, why = _find_rule(rehearsed, shard_capacity, shape, worker)
        verdicts.append(
            records.WorkerVerdict(
                worker.vm.id, worker.vm.zone, worker.vm.rack, rule, why
            )
        )
    verdicts.sort(key=lambda verdict: (verdict.rule != '', verdict.worker))
    return verdicts


def _find_rule(
    rehearsed: _Rehearsed,
    shard_capacity: capacity.Capacity,
    shape: shapes.Shape | None,
    worker: blackboard.WorkerView,
) -> tuple[str, str]:
    """Return the first rule by which a worker falls out, and the reason."""
    board = rehearsed.board
    if not board.is_zone_in_service:
        return 'zone', 'zone out of service'
    found = capacity.find_exclusion(
        board, worker, rehearsed.settings, rehearsed.now
    )
    if found is not None or worker.report is None:
        found = found or capacity.Exclusion.NOT_HEARD
        return _RULES[found], found.value
    if shape is None:
        return 'size', 'too small for a member'
    rack, slot = worker.vm.rack, worker.report.slot
    own = ((1 << cells.WORKER_SIZE) - 1) << (slot * cells.WORKER_SIZE)
    free = shard_capacity.free.free_by_rack.get(rack, 0) & own
    if free.bit_count() >= min(shape.size, cells.WORKER_SIZE):
        if rehearsed.outcome is records.Outcome.WAITS:
            return 'cells', 'no free cell that fits, or not enough for all'
        return 'choice', 'could be used; other cells suit it better'
    occupied = shard_capacity.occupied_by_rack.get(rack, 0) & own
    left = cells.WORKER_SIZE - occupied.bit_count()
    if left >= shape.size:
        return 'claimed', 'its free accelerators are claimed by other jobs'
    return 'room', f'has {free.bit_count()} free of {shape.size} accelerators'


def _find_start(rehearsed: _Rehearsed) -> records.Expected:
    outcome = rehearsed.outcome
    if outcome is records.Outcome.PLACED:
        return records.Expected(0.0, records.Source.ROUND)
    if outcome is records.Outcome.STOPS_OTHERS:
        grace_s = rehearsed.settings.scheduler.checkpoint_grace_s
        return records.Expected(grace_s, records.Source.STOPS)
    return records.Expected()


def _find_run(rehearsed: _Rehearsed) -> records.Expected:
    job = rehearsed.view.job
    run_s = runtimeestimates.expected_run_time_s(rehearsed.board, job)
    source = records.Source.LEARNED
    if run_s == job.spec.run_time_s:
        source = records.Source.CALLER
    return records.Expected(round(run_s, 3), source)


def _find_end(
    rehearsed: _Rehearsed, start: records.Expected, run: records.Expected
) -> records.Expected:
    """Return when the job is expected to end."""
    known = rehearsed.before.get(rehearsed.job_id)
    job = rehearsed.view.job
    if known is not None:
        if known.phase is not blackboard.Phase.RUNNING:
            return records.Expected()
        worked_s = runtimeestimates.progress_s(
            rehearsed.board, known, rehearsed.now
        )
        left_s = runtimeestimates.expected_remaining_s(
            rehearsed.board, job, worked_s
        )
        return records.Expected(round(left_s, 3), run.source)
    if start.in_s is None:
        return records.Expected()
    left_s = runtimeestimates.expected_remaining_s(
        rehearsed.board, job, job.checkpoint_s
    )
    return records.Expected(round(start.in_s + left_s, 3), run.source)
