"""Slopes of the decision core, run within this process and without I/O.

Measures the processor time of one round, and the memory of the
blackboard's records as traced by :mod:`tracemalloc`, depending on the
workers, running tasks and waiting jobs of one shard.
"""

import gc
import time
import tracemalloc
import typing

from primroselock import configuration
from primroselock.decisions import blackboard
from primroselock.decisions import controllers
from primroselock.decisions import registry as core
from primroselock import ini
from primroselock import jobs
from primroselock import options
from primroselock.store import vmlist
from primroselock.workers import protocol
from tools.slopes import fits
from tools.slopes import registry

_WORKER_COUNTS: typing.Final = (32, 64, 128, 256)
_TASKS_PER_WORKER: typing.Final = (1, 2, 4, 8)
_WAITING_COUNTS: typing.Final = (25, 50, 100, 200)
_BASE_WORKERS: typing.Final = 64
_MEMBERS: typing.Final = 4
_ROUNDS: typing.Final = 10
_SETTINGS: typing.Final = """
[process]
vm_id = entry-1
zone = a
[platform]
address = 127.0.0.1:9000
"""
# The import registers the controllers.
_LOADED_CONTROLLERS: typing.Final = controllers.__all__


def build_board(
    workers: int, tasks: int, waiting: int
) -> blackboard.Blackboard:
    """Return the blackboard of a shard with running gangs of four members.

    ``tasks`` is the number of running tasks, ``waiting`` of waiting jobs.
    """
    board = blackboard.Blackboard('a', 'a', epoch=1)
    sections = ini.parse(
        f'[zone a]\nracks = {workers // 8}\n'
        '[account signs]\nguarantee.a = 64:1\n',
        'slopes',
    ).unwrap()
    board.config = configuration.read(sections, 1, 'slopes').unwrap()
    board.permit_until = 1e9
    reports_by_worker: dict[int, list[protocol.TaskReport]] = {}
    for number in range(tasks // _MEMBERS):
        _add_running(board, number, workers, reports_by_worker)
    for index in range(workers):
        worker = _build_worker(index, tuple(reports_by_worker.get(index, ())))
        board.workers_by_id[worker.vm.id] = worker
    for number in range(waiting):
        board.record_job(_build_job(f'waiting-{number}'), 1)
    return board


def _build_job(job_id: str) -> jobs.Job:
    spec = jobs.JobSpec(job_id, members=_MEMBERS, accelerators=1)
    state = jobs.JobState.WAITING
    return jobs.Job(job_id, 'signs', 'a', spec, state, 0.0)


def _add_running(
    board: blackboard.Blackboard,
    number: int,
    workers: int,
    reports_by_worker: dict[int, list[protocol.TaskReport]],
) -> None:
    job_id = f'running-{number}'
    placements = []
    for member in range(_MEMBERS):
        task_index = number * _MEMBERS + member
        index, accelerator = task_index % workers, task_index // workers
        placements.append(
            jobs.Placement(f'w{index}', 'boot', (accelerator,), 1)
        )
        key = protocol.TaskKey(job_id, 1, member)
        reports_by_worker.setdefault(index, []).append(
            protocol.TaskReport(key, protocol.TaskState.RUNNING)
        )
    attempt = jobs.Attempt(1, 1, tuple(placements))
    job = jobs.Job(
        job_id,
        'signs',
        'a',
        jobs.JobSpec(job_id, members=_MEMBERS, accelerators=1),
        jobs.JobState.RUNNING,
        0.0,
        attempts=1,
        attempt=attempt,
    )
    board.record_job(job, 1)
    board.attempts_by_job_id[job_id] = blackboard.AttemptView(
        job_id, attempt, blackboard.Phase.RUNNING, 0.0
    )


def _build_worker(
    index: int, tasks: tuple[protocol.TaskReport, ...]
) -> blackboard.WorkerView:
    rack, slot = divmod(index, 8)
    vm = vmlist.Vm(f'w{index}', 'worker', 'a', '127.0.0.1:1', rack=f'r{rack}')
    report = protocol.Report(
        f'w{index}', 'boot', 1000.0, f'r{rack}', slot, 8, 64, 262144, tasks
    )
    return blackboard.WorkerView(vm, report, 0.0, 0.0)


def _measure(
    workers: int, tasks: int, waiting: int, settings: options.Settings
) -> tuple[float, float]:
    """Return processor seconds per round and bytes of the blackboard."""
    gc.collect()
    tracemalloc.start()
    board = build_board(workers, tasks, waiting)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    core.run_round(board, settings, 0.1)
    started_at = time.process_time()
    for number in range(_ROUNDS):
        core.run_round(board, settings, 0.1 + number * 0.01)
    round_s = (time.process_time() - started_at) / _ROUNDS
    return round_s, float(size)


@registry.part('decisions')
def measure_decisions(window_s: float) -> list[fits.Fit]:
    """Increase workers, running tasks and waiting jobs separately.

    The waiting jobs find no free cell.
    """
    settings = options.parse(_SETTINGS, 'slopes').unwrap()
    all_tasks = _BASE_WORKERS * max(_TASKS_PER_WORKER)
    shapes = {
        'full worker': [
            (n, (n, n * max(_TASKS_PER_WORKER), 1)) for n in _WORKER_COUNTS
        ],
        'running task': [
            (_BASE_WORKERS * n, (_BASE_WORKERS, _BASE_WORKERS * n, 0))
            for n in _TASKS_PER_WORKER
        ],
        'waiting job': [
            (n, (_BASE_WORKERS, all_tasks, n)) for n in _WAITING_COUNTS
        ],
    }
    results = []
    for x_name, sizes in shapes.items():
        measured = [(x, _measure(*shape, settings)) for x, shape in sizes]
        prefix = 'round.' + x_name.replace(' ', '_')
        results.append(
            fits.fit(
                f'{prefix}.cpu',
                x_name,
                's/round',
                [(x, round_s) for x, (round_s, _) in measured],
            )
        )
        results.append(
            fits.fit(
                f'{prefix}.state',
                x_name,
                'B',
                [(x, size) for x, (_, size) in measured],
            )
        )
    return results
