"""Times the decision round of a large shard.

``python -m tools.largeround`` builds a blackboard of 2,170 workers with
57,000 running tasks and 2,000 waiting jobs, runs 11 rounds, and prints the
time of each controller and the peak memory of the process.
"""

import random
import resource
import statistics
import time
import typing

from primroselock import configuration
from primroselock.decisions import blackboard
from primroselock.decisions import controllers
from primroselock.decisions import registry
from primroselock import ini
from primroselock import jobs
from primroselock.store import vmlist
from primroselock.workers import protocol
from tools import replay

assert controllers.__all__

_WORKERS: typing.Final = 2170
_TASKS: typing.Final = 57_000
_WAITING_JOBS: typing.Final = 2000
_ACCOUNTS: typing.Final = 150
_MEMBERS_PER_JOB: typing.Final = 32
_ROUNDS: typing.Final = 11


def _configuration() -> configuration.Configuration:
    lines = [f'[zone a]\nracks = {_WORKERS // 8}']
    for team in range(_ACCOUNTS):
        lines.append(f'[account team-{team}]\nguarantee.a = 64:1, 8:2')
    sections = ini.parse('\n'.join(lines), 'large').unwrap()
    return configuration.read(sections, 1, 'large').unwrap()


def build_board() -> blackboard.Blackboard:
    """Return the blackboard of a large shard with little free capacity."""
    board = blackboard.Blackboard('a', 'a', epoch=1)
    board.config = _configuration()
    board.permit_until = 1e9
    tasks_by_worker: dict[str, list[protocol.TaskReport]] = {}
    _add_running(board, tasks_by_worker)
    for index in range(_WORKERS):
        worker_id = f'w{index}'
        vm = vmlist.Vm(
            worker_id, 'worker', 'a', '127.0.0.1:1', rack=f'r{index // 8}'
        )
        report = protocol.Report(
            worker_id,
            'boot',
            0.0,
            vm.rack,
            index % 8,
            8,
            64,
            262144,
            tuple(tasks_by_worker.get(worker_id, ())),
        )
        board.workers_by_id[worker_id] = blackboard.WorkerView(vm, report)
    _add_waiting(board)
    return board


def _add_running(
    board: blackboard.Blackboard,
    tasks_by_worker: dict[str, list[protocol.TaskReport]],
) -> None:
    """Add the running jobs, each with 32 members on one worker.

    The members of a job share four cells of one accelerator.
    """
    for index in range(_TASKS // _MEMBERS_PER_JOB):
        job_id = f'running-{index}'
        worker_id = f'w{index % _WORKERS}'
        placements = tuple(
            jobs.Placement(worker_id, 'boot', (member // 8,), 1)
            for member in range(_MEMBERS_PER_JOB)
        )
        attempt = jobs.Attempt(1, 1, placements, borrowed=True)
        job = jobs.Job(
            job_id,
            f'team-{index % _ACCOUNTS}',
            'a',
            jobs.JobSpec(job_id, _MEMBERS_PER_JOB, 0),
            jobs.JobState.RUNNING,
            0.0,
            attempts=1,
            attempt=attempt,
        )
        board.record_job(job, 2)
        view = blackboard.AttemptView(
            job_id, attempt, blackboard.Phase.RUNNING, 0.0
        )
        board.attempts_by_job_id[job_id] = view
        tasks_by_worker.setdefault(worker_id, []).extend(
            protocol.TaskReport(key, protocol.TaskState.RUNNING)
            for key, _ in view.tasks()
        )


def _add_waiting(board: blackboard.Blackboard) -> None:
    source = random.Random(1)
    for index in range(_WAITING_JOBS):
        spec = jobs.JobSpec(
            f'name-{index % 40}',
            source.choice((8, 16, 32, 64)),
            8,
            run_time_s=source.uniform(600, 20_000),
        )
        job = jobs.Job(
            f'waiting-{index}',
            f'team-{index % _ACCOUNTS}',
            'a',
            spec,
            jobs.JobState.WAITING,
            float(index),
        )
        board.record_job(job, 1)


def main() -> int:
    """Run the rounds and print the results; return the exit code."""
    settings = replay.build_settings({})
    board = build_board()
    times_ms_by_name: dict[str, list[float]] = {}
    ordered = sorted(
        registry.controllers_by_name.values(), key=lambda entry: entry.order
    )
    for _ in range(_ROUNDS):
        for entry in ordered:
            began = time.perf_counter()
            entry.decide(board, settings, 1.0)
            took_ms = (time.perf_counter() - began) * 1000
            times_ms_by_name.setdefault(entry.name, []).append(took_ms)
    for name, times in times_ms_by_name.items():
        later = times[1:]
        print(
            f'{name:14} first {times[0]:8.1f} ms, then median '
            f'{statistics.median(later):8.1f} ms, max {max(later):8.1f} ms'
        )
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(f'memory {usage.ru_maxrss / 1024:.0f} MB')
    print(f'attempts {len(board.attempts_by_job_id)}')
    return 0


if __name__ == '__main__':
    raise SystemExit(main())
