"""Fails waiting jobs that no worker of the shard can ever hold.

Jobs are checked only when every listed worker has reported, and against
the total size of each worker, busy or not.  A worker that joins later
might hold the job; the reason states the largest worker at the time, so
that the caller can submit the job again.
"""

import dataclasses

from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import registry
from primroselock import jobs
from primroselock import options
from primroselock.workers import protocol


@registry.controller('feasibility', order=45)
def fail_infeasible_jobs(
    board: blackboard.Blackboard, settings: options.Settings, now: float
) -> list[commands.Command]:
    """Fail the waiting jobs whose members do not fit any worker."""
    workers = [view.report for view in board.workers_by_id.values()]
    reports = [report for report in workers if report is not None]
    if not reports or len(reports) < len(workers):
        return []
    decided: list[commands.Command] = []
    obstacles: dict[tuple[int, int, int], str] = {}
    for view in board.jobs_by_id.values():
        job = view.job
        if job.state is not jobs.JobState.WAITING or job.cancel_requested:
            continue
        if job.id in board.attempts_by_job_id:
            continue
        spec = job.spec
        need = (spec.accelerators, spec.cpus, spec.memory_mb)
        if need not in obstacles:
            obstacles[need] = find_obstacle(spec, reports)
        reason = obstacles[need]
        if reason:
            failed = dataclasses.replace(
                job, state=jobs.JobState.FAILED, reason=reason
            )
            decided.append(commands.WriteJob(failed, view.row_version))
    return decided


def find_obstacle(spec: jobs.JobSpec, reports: list[protocol.Report]) -> str:
    """Return why no worker can hold a member; empty if one can."""
    if any(_fits(spec, report) for report in reports):
        return ''
    largest = max(reports, key=lambda r: (r.accelerators, r.memory_mb, r.cpus))
    return (
        f'never runnable: a member asks for {spec.accelerators} '
        f'accelerators, {spec.cpus} cpus and {spec.memory_mb} MB; the '
        f'largest worker has {largest.accelerators}, {largest.cpus} and '
        f'{largest.memory_mb} MB'
    )


def _fits(spec: jobs.JobSpec, report: protocol.Report) -> bool:
    return (
        spec.accelerators <= report.accelerators
        and spec.cpus <= report.cpus
        and spec.memory_mb <= report.memory_mb
    )
