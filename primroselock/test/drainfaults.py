"""Series of workers that drain, leave as planned and start again.

Their next boots answer before their entries, or under another address, beside
holders that are killed, feeds that are silent and workers that are cut off.
The series are added to those of any plan of the soak.
"""

import asyncio
from collections import abc
import random
import typing

from primroselock import clock
from primroselock.test import drainbuilders
from primroselock.test import faultbuilders
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker

_SERIES: typing.Final = 5
_MAX_DRAINS: typing.Final = 8
_MAX_DISTURBANCES: typing.Final = 3
_FIRST_AT_S: typing.Final = 2.0
_SERIES_S: typing.Final = 6.0
_MIN_AWAY_S: typing.Final = 0.3
_MAX_AWAY_S: typing.Final = 12.0
_MAX_ENTRY_LAG_S: typing.Final = 3.0
_RETURN_CHECK_S: typing.Final = 0.5
_RETURN_CHECKS: typing.Final = 40
_MIN_LEFT_S: typing.Final = 2.5
_MAX_LEFT_S: typing.Final = 3.9
"""Seconds to its end with which a task is left on a draining worker."""

_MAX_TARGET: typing.Final = 60
_CRASHES_TO_FAIL: typing.Final = 2
"""A job may be given up once workers have crashed so often under a task."""

_KIND: typing.Final = 'drain and return'
_DISTURBANCES: typing.Final = ('cut worker', 'feeds silent', 'kill holder')


def draw_series(seed: int, until: float) -> tuple[faultbuilders.Fault, ...]:
    """Return the drains of a seed, in series that begin before ``until``.

    Times are in seconds into the run.
    """
    source = random.Random(f'drains {seed}')
    faults: list[faultbuilders.Fault] = []
    for _ in range(_SERIES):
        at = source.uniform(_FIRST_AT_S, max(until, _FIRST_AT_S))
        kinds = [_KIND] * source.randint(1, _MAX_DRAINS)
        kinds += [
            source.choice(_DISTURBANCES)
            for _ in range(source.randint(0, _MAX_DISTURBANCES))
        ]
        faults += [
            faultbuilders.Fault(
                kind,
                at + source.uniform(0.0, _SERIES_S),
                source.uniform(_MIN_AWAY_S, _MAX_AWAY_S),
                source.randrange(_MAX_TARGET),
            )
            for kind in kinds
        ]
    return tuple(faults)


def _choose_worker(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> simulatedworker.FakeWorker:
    """Return a worker on which something is likely to run when it leaves.

    What ends much later is stopped before.  Tasks under which workers have
    left before go first.
    """
    workers = list(world.fleet.workers_by_id.values())
    best = workers[fault.target % len(workers)]
    most = -1
    now = clock.monotonic()
    for worker in workers:
        if worker.is_down or worker.entry.id not in world.entries_by_id:
            continue
        for live in worker.runs.values():
            left_s = live.ends_at - now
            is_hit = _MIN_LEFT_S <= left_s <= _MAX_LEFT_S
            leaves = world.fleet.record.leaves_by_task.get(live.run.task, 0)
            if (is_hit or live.step.long_running) and leaves > most:
                best, most = worker, leaves
    return best


@faultbuilders.injection(_KIND)
async def _drain_and_return(
    world: fleetbuilders.World, fault: faultbuilders.Fault
) -> None:
    """Let a worker drain, leave and be back after ``for_s``."""
    worker = _choose_worker(world, fault)
    if worker.is_down or worker.entry.id not in world.entries_by_id:
        return
    source = random.Random(f'{fault.at} {fault.target}')
    boot = worker.boot
    drainbuilders.say_draining(world, worker)
    await asyncio.sleep(drainbuilders.REMAINING_S + source.uniform(0.1, 0.4))
    if worker.is_down or worker.boot != boot:
        await _end_drain(world, worker)
        return
    world.fleet.crash(worker, is_planned=True)
    world.delete_entry(worker.entry.id)
    await asyncio.sleep(fault.for_s)
    address = worker.entry.address
    if fault.target % 3 == 0:
        address = f'{worker.entry.id}:{worker.boot + 1}'
    world.fleet.restart(worker, address=address)
    await asyncio.sleep(source.uniform(0.0, _MAX_ENTRY_LAG_S))
    if not worker.is_down:
        world.write_entry(worker.entry)


async def _end_drain(
    world: fleetbuilders.World, worker: simulatedworker.FakeWorker
) -> None:
    """Wait until a worker that crashed is back; its next boot is ready."""
    for _ in range(_RETURN_CHECKS):
        if not worker.is_down:
            if worker.entry.id in world.entries_by_id:
                world.write_entry(worker.entry)
            return
        await asyncio.sleep(_RETURN_CHECK_S)


def list_failed_without_cause(
    world: fleetbuilders.World, crashing_job_ids: abc.Collection[str]
) -> list[str]:
    """Return the jobs shown as failed that neither failures nor crashes do.

    A task, or a gang, must have failed as often as its queue allows, or
    workers have crashed under a task as often as a job is given up for.
    Jobs that crash workers are left out.
    """
    fleet = world.fleet
    most_by_job_id: dict[str, int] = {}
    for job_id, count in fleet.record.list_failures():
        most_by_job_id[job_id] = max(count, most_by_job_id.get(job_id, 0))
    crashed_ids = {
        task.job_id
        for task, count in fleet.record.crashes_by_task.items()
        if count >= _CRASHES_TO_FAIL
    }
    return [
        job_id
        for job_id, graph in fleet.graphs_by_id.items()
        if world.state(job_id) == 'failed'
        and job_id not in crashed_ids | fleet.failing_job_ids
        and job_id not in crashing_job_ids
        and most_by_job_id.get(job_id, 0) < _max_attempts(world, graph.queue)
    ]


def _max_attempts(world: fleetbuilders.World, queue_name: str) -> int:
    queue = world.queue_configuration.find_by_name(queue_name)
    return queue.max_attempts if queue is not None else 0
