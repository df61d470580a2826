"""Copies a blackboard, so that a round can be rehearsed on the copy.

What a round's placements may change is copied: jobs, workers, members and
groups that wait or are placed.  What they only read is shared: rows, entries,
what was learned, and groups that are done or blocked.
"""

import dataclasses
import functools
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import livejobs
from primroselock.decisions import phaseindex
from primroselock.decisions.runtimes import learner

MAX_GROUPS: typing.Final = 10_000
"""Groups of a board that is copied: it is copied without a pause."""

_SHARED_PHASES: typing.Final = frozenset(
    {livejobs.Phase.BLOCKED, livejobs.Phase.DONE, livejobs.Phase.DROPPED}
)
_CONTAINERS: typing.Final = frozenset({dict, list, set})
_Record = typing.TypeVar('_Record')


def count_groups(board: fleet.ShardBoard) -> int:
    """Return how many groups a copy would hold, about."""
    waiting = sum(
        len(groups) for groups in board.phases.waiting_by_step.values()
    )
    return waiting + sum(
        len(worker.members) for worker in board.workers_by_id.values()
    )


def copy_board(board: fleet.ShardBoard) -> fleet.ShardBoard:
    """Return a copy on which a round's placements change nothing else."""
    return _Copier(board).copy()


class _RunTimes(learner.RunTimes):
    """Run times as learned by another board; it learns nothing."""

    def record(self, *args: typing.Any, **kwargs: typing.Any) -> None:
        """Ignore a run time."""

    def record_sibling(self, *args: typing.Any) -> None:
        """Ignore a run time."""

    def drop_job(self, job_id: str, steps: int) -> None:
        """Keep the run times of a job."""


def _copy_fields(record: _Record) -> _Record:
    """Return a copy of a data class, with copies of its containers."""
    cls: typing.Any = type(record)
    copied: _Record = object.__new__(cls)
    for name in _list_names(cls):
        value = getattr(record, name)
        if type(value) in _CONTAINERS:
            value = value.copy()
        setattr(copied, name, value)
    return copied


@functools.cache
def _list_names(cls: type[typing.Any]) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


class _Copier:
    """Copies one board; each record is copied once."""

    def __init__(self, board: fleet.ShardBoard) -> None:
        self._board = board
        self._phases = phaseindex.PhaseIndex()
        self._jobs: dict[livejobs.LiveJob, livejobs.LiveJob] = {}
        self._groups: dict[livejobs.Group, livejobs.Group] = {}
        self._members: dict[livejobs.Member, livejobs.Member] = {}

    def copy(self) -> fleet.ShardBoard:
        """Return the copy."""
        board = self._board
        copied = _copy_fields(board)
        copied.phases = self._phases
        copied.jobs_by_id = {
            job_id: self._copy_job(job)
            for job_id, job in board.jobs_by_id.items()
        }
        copied.workers_by_id = {
            worker_id: self._copy_worker(worker)
            for worker_id, worker in board.workers_by_id.items()
        }
        self._copy_phases(board.phases)
        copied.claims_by_group = {
            self._copy_group(group): claim
            for group, claim in board.claims_by_group.items()
        }
        copied.reported_groups = {}
        copied.orders = []
        copied.decision_records = []
        copied.known_usage = _copy_fields(board.known_usage)
        copied.share_notes = _copy_fields(board.share_notes)
        # Its lists hold workers of the board.
        copied.entry_cache = fleet.EntryCache()
        copied.learned = _RunTimes(
            **{
                field.name: getattr(board.learned, field.name)
                for field in dataclasses.fields(learner.RunTimes)
            }
        )
        return copied

    def _copy_phases(self, phases: phaseindex.PhaseIndex) -> None:
        """Copy the index of the groups, in its order."""
        copied = self._phases
        copied.waiting_by_step = {
            step_name: dict.fromkeys(map(self._copy_group, groups))
            for step_name, groups in phases.waiting_by_step.items()
        }
        copied.starting = dict.fromkeys(map(self._copy_group, phases.starting))
        copied.stopping = dict.fromkeys(map(self._copy_group, phases.stopping))
        copied.ending_jobs = dict.fromkeys(
            map(self._copy_job, phases.ending_jobs)
        )
        copied.unreleased_jobs = dict.fromkeys(
            map(self._copy_job, phases.unreleased_jobs)
        )

    def _copy_job(self, job: livejobs.LiveJob) -> livejobs.LiveJob:
        known = self._jobs.get(job)
        if known is not None:
            return known
        copied = self._jobs[job] = _copy_fields(job)
        copied.phases = self._phases
        copied.groups_by_key = {
            key: group
            if group.phase in _SHARED_PHASES
            else self._copy_group(group)
            for key, group in job.groups_by_key.items()
        }
        copied.active_groups = dict.fromkeys(
            map(self._copy_group, job.active_groups)
        )
        return copied

    def _copy_group(self, group: livejobs.Group) -> livejobs.Group:
        known = self._groups.get(group)
        if known is not None:
            return known
        copied = self._groups[group] = _copy_fields(group)
        copied.job = self._copy_job(group.job)
        copied.members = [self._copy_member(each) for each in group.members]
        return copied

    def _copy_member(self, member: livejobs.Member) -> livejobs.Member:
        known = self._members.get(member)
        if known is not None:
            return known
        copied = self._members[member] = _copy_fields(member)
        copied.group = self._copy_group(member.group)
        return copied

    def _copy_worker(self, worker: fleetworkers.Worker) -> fleetworkers.Worker:
        copied = _copy_fields(worker)
        copied.members = {
            run: self._copy_member(member)
            for run, member in worker.members.items()
        }
        return copied
