"""Checks of a soak of node processes, from what callers and workers saw."""

from collections import abc
import typing

import msgspec

from primroselock.test import nodesoak
from standins import nodes
from standins import runworkers

_LOSS_SLACK_S: typing.Final = 0.2
"""The platform's bound: a request sent this shortly before the end of its
connection need not have been read."""

_CONTACT_S: typing.Final = 3.0
"""The platform's bound: how long a pause of a process excuses it."""

_HEARTBEAT_S: typing.Final = 1.5
"""The platform's bound: an entry shows a change by then."""

_MAX_CRASHES: typing.Final = 3
_MAX_STARTS_AFTER: typing.Final = 2
"""The users' rule: starts of a task after so many workers crashed under it."""

_GONE: typing.Final = 410
_NEVER: typing.Final = float('inf')

Check = abc.Callable[[nodesoak.Record], abc.Iterator[str]]
_checks: typing.Final[list[Check]] = []


def check(find: Check) -> Check:
    """Register a check, which yields the problems that it finds."""
    _checks.append(find)
    return find


def list_problems(record: nodesoak.Record) -> list[str]:
    """Return the problems of a run."""
    return [problem for find in _checks for problem in find(record)]


@check
def _find_useless_play(record: nodesoak.Record) -> abc.Iterator[str]:
    """A play without accepted jobs would show nothing."""
    if not any(job.is_accepted for job in record.jobs):
        yield 'no job was accepted'


@check
def _find_unended_jobs(record: nodesoak.Record) -> abc.Iterator[str]:
    """Every accepted job ends as completed, or cancelled if asked.

    One that crashes its workers fails.
    """
    for job in record.jobs:
        allowed = ['failed' if job.crashes_workers else 'completed']
        if job.list_attempts('DELETE'):
            allowed.append('cancelled')
        if job.is_accepted and job.state not in allowed:
            yield f'job {job.id} is {job.state or "unknown"} at the end'


@check
def _find_forgotten_jobs(record: nodesoak.Record) -> abc.Iterator[str]:
    """A job that was accepted is never said not to exist."""
    for job in record.jobs:
        submissions = job.list_attempts('POST')
        accepted = [a.ended_at for a in submissions if a.status == 200]
        for attempt in job.attempts:
            is_later = attempt.sent_at > min(accepted, default=_NEVER)
            if attempt.status == 410 and is_later:
                yield f'accepted job {job.id} answered 410: {attempt}'


@check
def _find_cut_requests(record: nodesoak.Record) -> abc.Iterator[str]:
    """Only a kill or a pause of a process cuts a request that it read."""
    for job in record.jobs:
        for attempt in job.attempts:
            start, end = attempt.sent_at, attempt.ended_at
            life = max(
                (
                    life
                    for life in record.lives
                    if life.node == attempt.node and life.started_at < start
                ),
                key=lambda life: life.started_at,
                default=None,
            )
            if attempt.how != 'cut' or life is None or life.killed_at < end:
                continue
            is_paused = any(
                paused < end and resumed > start - _CONTACT_S
                for paused, resumed in life.pauses
            )
            lost_s = life.lost_s(start, end)
            if not is_paused and end - start > _LOSS_SLACK_S + lost_s:
                yield f'request cut after {end - start:.3f} s: {attempt}'


@check
def _find_double_runs(record: nodesoak.Record) -> abc.Iterator[str]:
    """No task runs twice at the same time, or after it was done."""
    by_task: dict[str, list[runworkers.Interval]] = {}
    for interval in record.intervals:
        by_task.setdefault(interval.task, []).append(interval)
    for task, runs in by_task.items():
        runs.sort(key=lambda run: run.started_at)
        for earlier, later in zip(runs, runs[1:]):
            if later.started_at < earlier.ended_at:
                yield f'{task} runs twice: {earlier.run} and {later.run}'
            if earlier.how == 'done' and earlier.is_noted:
                yield f'{task} runs again after it was done: {later.run}'


@check
def _find_overloads(record: nodesoak.Record) -> abc.Iterator[str]:
    """No start brings a worker over the capacity that its entry shows.

    A capacity that is gone counts for contact time and one heartbeat more,
    before the order was received; an order may be carried out later.
    """
    needs_by_job = {
        job.id: msgspec.json.decode(job.body)['phases'] for job in record.jobs
    }
    by_worker: dict[str, list[runworkers.Interval]] = {}
    for interval in record.intervals:
        by_worker.setdefault(interval.worker, []).append(interval)
    for worker, runs in by_worker.items():
        changes = [c for c in record.capacities if c.worker == worker]
        for run in runs:
            present = [
                other.task
                for other in runs
                if other.started_at <= run.started_at < other.ended_at
            ]
            counted = _list_counted(changes, run)
            used = _add_needs(present, needs_by_job)
            if not any(_fits(used, capacity) for capacity in counted):
                yield f'{worker} has {counted} when {run.task} starts: {used}'


def _list_counted(
    changes: list[runworkers.Capacity], run: runworkers.Interval
) -> list[dict[str, int]]:
    """Return the capacities by which a start is judged."""
    from_at = run.ordered_at - _CONTACT_S - _HEARTBEAT_S
    ends = [change.since for change in changes[1:]] + [_NEVER]
    return [
        change.amounts
        for change, end in zip(changes, ends, strict=True)
        if change.since <= run.started_at and end >= from_at
    ]


def _add_needs(
    tasks: list[str], needs_by_job: dict[str, typing.Any]
) -> dict[str, int]:
    """Return what tasks need together, by resource."""
    used = dict.fromkeys(('cpu', 'mem_mb', 'gpus'), 0)
    for task in tasks:
        job_id, _, step, _ = task.split('.')
        for name in used if job_id in needs_by_job else ():
            used[name] += needs_by_job[job_id][int(step)][name]
    return used


def _fits(used: dict[str, int], capacity: dict[str, int]) -> bool:
    return all(amount <= capacity[name] for name, amount in used.items())


@check
def _find_repeated_crashes(record: nodesoak.Record) -> abc.Iterator[str]:
    """A task under which three workers crashed starts at most twice more."""
    runs_by_task: dict[str, list[runworkers.Interval]] = {}
    for run in record.intervals:
        if run.crash_at < _NEVER:
            runs_by_task.setdefault(run.task, []).append(run)
    for task, runs in runs_by_task.items():
        crashed = sorted(r.ended_at for r in runs if r.how == 'crashed')
        if len(crashed) < _MAX_CRASHES:
            continue
        third_at = crashed[_MAX_CRASHES - 1]
        later = sum(run.started_at > third_at for run in runs)
        if later > _MAX_STARTS_AFTER:
            yield f'{task} starts {later} times after {len(crashed)} crashes'


@check
def _find_runs_not_asked_for(record: nodesoak.Record) -> abc.Iterator[str]:
    """Only what callers sent runs, and nothing that was refused."""
    jobs_by_id = {job.id: job for job in record.jobs}
    for interval in record.intervals:
        job = jobs_by_id.get(interval.task.partition('.')[0])
        if job is None or job.spec != interval.spec:
            yield f'{interval.task} runs, but no caller sent it so'
        elif job.is_refused:
            yield f'{interval.task} runs, but its job was refused'


@check
def _find_runs_after_gone(record: nodesoak.Record) -> abc.Iterator[str]:
    """What a DELETE has called unknown never runs."""
    gone_ids = {
        job.id
        for job in record.jobs
        if any(made.status == _GONE for made in job.list_attempts('DELETE'))
    }
    for interval in record.intervals:
        if interval.task.partition('.')[0] in gone_ids:
            yield f'{interval.task} runs, and DELETE was answered {_GONE}'


@check
def _find_bad_exits(record: nodesoak.Record) -> abc.Iterator[str]:
    """A process ends only when told, after SIGTERM in its grace time."""
    for life in record.lives:
        told_at, ended_at = life.terminated_at, life.ended_at
        until = told_at + nodes.GRACE_S + life.lost_s(told_at, ended_at)
        if min(life.killed_at, ended_at) > until:
            yield (
                f'node {life.node} ended {ended_at - told_at:.1f} s after '
                f'SIGTERM, lost {life.lost_s(told_at, ended_at):.1f} s'
            )
        elif life.code != 0 and life.killed_at > ended_at:
            yield f'node {life.node} ended with code {life.code}: {told_at}'
        elif ended_at < told_at and life.killed_at > ended_at:
            yield f'node {life.node} ended by itself with code 0'
