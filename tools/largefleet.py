"""Measures the time of a decision round on a large shard, and its memory.

    python -m tools.largefleet --workers 2170 --tasks 57000

Jobs of 40 single tasks are placed until all tasks run.  Then jobs of one
task are added one by one, and the round that places each is timed.  Only
the blackboard of a shard holder is simulated, without store and workers.
"""

import argparse
import resource
import statistics
import sys
import time
import typing

from primroselock.decisions import fleet
from primroselock.decisions import fleetround
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock.decisions import leasebounds
from primroselock.decisions import livejobs
from primroselock.decisions import runs
from primroselock import jobgraph
from primroselock import options
from primroselock import queues

_TASKS_PER_JOB: typing.Final = 40
_WORKER_CAPACITY: typing.Final = jobgraph.Resources(64_000, 262_144, 32)
_TASK_NEED: typing.Final = jobgraph.Resources(1_000, 1_000, 1)
_QUEUES: typing.Final = (
    queues.Queue('urgent', 'host', '/urgent/', 'svc', 0, 4, 1.5, 0.25),
    queues.Queue('bulk', 'host', '/bulk/', 'svc', 2, 4, 3.0, 3.0),
)
_SETTINGS: typing.Final = """
[process]
vm_id = entry-1
zone = a
[platform]
address = 127.0.0.1:9
[mesh]
bind = 127.0.0.1:0
"""
_KB_PER_MB: typing.Final = 1024


def build_board(workers: int) -> fleet.ShardBoard:
    """Return a board of idle workers, eight in a rack."""
    table = queues.QueueConfiguration(
        1, _QUEUES, {'acme': queues.QueueAccount('acme', frozenset(), 64)}
    )
    # Leases never expire, since nothing renews them here.
    board = fleet.ShardBoard(
        epoch=1,
        inherited_leases=leasebounds.InheritedLeases(float('inf')),
        queue_configuration=table,
    )
    for number in range(workers):
        rack = f'r{number // 8}'
        entry = fleetworkers.WorkerEntry(
            f'w{number}',
            'svc',
            f'w{number}:1',
            'a',
            rack,
            (rack,),
            _WORKER_CAPACITY,
        )
        board.record_entry(entry, 0.0)
    for worker in board.workers_by_id.values():
        worker.polled_at = worker.last_answer_at = 0.0
    return board


def add_job(
    board: fleet.ShardBoard, name: str, queue: str, tasks: int, now: float
) -> None:
    """Add a job of ``tasks`` independent tasks."""
    step = jobgraph.Step(tasks, _TASK_NEED, 600_000)
    graph = jobgraph.JobGraph(
        name, 'acme', queue, '', (step,), int(now * 1000)
    )
    graphs.add_job(board, graph, None, 0, now, int(now * 1000))


def run_placed(board: fleet.ShardBoard, now: float) -> None:
    """Mark all placed groups as stored and started.

    Nothing is written or sent: pending writes and orders are discarded.
    """
    for job in board.jobs_by_id.values():
        job.saved_change = job.change
        for group in job.groups_by_key.values():
            if group.phase is livejobs.Phase.COMMITTING:
                group.enter(livejobs.Phase.STARTING, now)
                for member in group.members:
                    runs.mark_present(board, member, now)
    board.take_decision_records()
    board.take_orders()


def time_round(
    board: fleet.ShardBoard, settings: options.Settings, now: float
) -> float:
    """Run one round; return its duration in milliseconds."""
    started = time.perf_counter()
    fleetround.run(board, settings, now, now)
    return (time.perf_counter() - started) * 1000


def main() -> int:
    """Run the measurement and print its results; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, default=2170)
    parser.add_argument('--tasks', type=int, default=57_000)
    parser.add_argument('--rounds', type=int, default=20)
    parsed = parser.parse_args()
    settings = options.parse(_SETTINGS, 'largefleet').unwrap()
    board = build_board(parsed.workers)
    now = 1.0
    for number in range(parsed.tasks // _TASKS_PER_JOB):
        add_job(board, f'j{number}', 'bulk', _TASKS_PER_JOB, now)
    placement_ms = []
    while board.phases.waiting:
        placement_ms.append(time_round(board, settings, now))
        run_placed(board, now)
        now += 0.01
    print(
        f'{parsed.tasks} tasks placed in {len(placement_ms)} rounds: '
        f'{sum(placement_ms):.0f} ms, max {max(placement_ms):.0f} ms'
    )
    steady_ms = []
    for number in range(parsed.rounds):
        now += 0.25
        add_job(board, f'u{number}', 'urgent', 1, now)
        steady_ms.append(time_round(board, settings, now))
        run_placed(board, now)
    peak_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    print(
        f'steady round with one job placed: median '
        f'{statistics.median(steady_ms):.1f} ms, max {max(steady_ms):.1f} ms'
    )
    print(f'memory {peak_kb // _KB_PER_MB} MB')
    return 0


if __name__ == '__main__':
    sys.exit(main())
