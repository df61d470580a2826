"""Builders of test data."""

import dataclasses
import typing

from primroselock import configuration
from primroselock.decisions import blackboard
from primroselock import ini
from primroselock import jobs
from primroselock import options
from primroselock.store import vmlist
from primroselock.workers import protocol

SETTINGS_TEXT: typing.Final = """
[process]
vm_id = entry-1
zone = a
[platform]
address = 127.0.0.1:9000
"""

CONFIGURATION_TEXT: typing.Final = """
[zone a]
racks = 1
[zone b]
racks = 1
[account signs]
guarantee.a = 8:2
[account merch]
guarantee.a = 16:1
guarantee.b = 64:1
[service quote-desk]
slots = 8
"""

LOG_METHODS: typing.Final = ('info', 'warning', 'error')
"""What a log that stands in for a module's own must offer."""


def build_settings(text: str = '') -> options.Settings:
    """Return the settings of a process; ``text`` adds keys and sections."""
    return parse_settings(SETTINGS_TEXT + text)


def parse_settings(text: str) -> options.Settings:
    """Return the settings that a complete text gives."""
    return options.parse(text, 'test').unwrap()


def build_configuration(
    text: str = CONFIGURATION_TEXT, version: int = 1
) -> configuration.Configuration:
    """Return the configuration of ``text`` as ``version``."""
    sections = ini.parse(text, 'test').unwrap()
    return configuration.read(sections, version, 'test').unwrap()


def build_job(job_id: str = 'job-1', **changes: typing.Any) -> jobs.Job:
    """Return a waiting job; ``changes`` go to the job or its spec."""
    spec_names = {field.name for field in dataclasses.fields(jobs.JobSpec)}
    spec_changes = {
        name: value for name, value in changes.items() if name in spec_names
    }
    job_changes = {
        name: value
        for name, value in changes.items()
        if name not in spec_names
    }
    spec_changes.setdefault('name', job_id)
    job = jobs.Job(
        job_id,
        'signs',
        'a',
        jobs.JobSpec(**spec_changes),
        jobs.JobState.WAITING,
        0.0,
    )
    return dataclasses.replace(job, **job_changes)


def build_worker(
    worker_id: str,
    rack: str = 'r0',
    slot: int = 0,
    received_at: float = 0.0,
    tasks: tuple[protocol.TaskReport, ...] = (),
) -> blackboard.WorkerView:
    """Return a worker of 8 accelerators that has reported.

    Its last report was received at ``received_at``, in s on the monotonic
    clock of the process under test.
    """
    vm = vmlist.Vm(worker_id, 'worker', 'a', '127.0.0.1:1', rack=rack)
    report = protocol.Report(
        worker_id, 'boot-1', 1000.0, rack, slot, 8, 64, 262144, tasks
    )
    return blackboard.WorkerView(vm, report, received_at, received_at)


def build_board(
    workers: int = 8, permit_until: float = 1e9
) -> blackboard.Blackboard:
    """Return a blackboard of one rack with ``workers`` workers.

    Attempts may start until ``permit_until``.
    """
    board = blackboard.Blackboard('a', 'a', epoch=1)
    board.config = build_configuration()
    board.permit_until = permit_until
    for slot in range(workers):
        worker = build_worker(f'w{slot}', slot=slot)
        board.workers_by_id[worker.vm.id] = worker
    return board
