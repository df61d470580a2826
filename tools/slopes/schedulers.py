"""Slopes of a scheduler, as shard holder and as standby."""

import typing

from standins import launch
from tools.slopes import bench
from tools.slopes import fits
from tools.slopes import registry

_WORKER_COUNTS: typing.Final = (8, 16, 32, 64)
_JOB_COUNTS: typing.Final = (32, 64, 96, 128)
_WAITING_COUNTS: typing.Final = (40, 80, 120, 160)
_INTERVALS_S: typing.Final = (1, 2, 4, 8)
_INTERVAL_WORKERS: typing.Final = 16
# A task lease must be longer than a takeover, which contains heartbeats.
_LONG_LEASE_S: typing.Final = 120
_LISTED_COUNTS: typing.Final = (100, 400, 800, 1600)
_MEMBERS: typing.Final = 4
_HOLDER_RATE_NAMES: typing.Final = (
    'cpu',
    'rss_mb',
    'link_bytes',
    'link_chunks',
    'table_bytes',
    'table_reads',
    'table_writes',
)
_STANDBY_RATE_NAMES: typing.Final = (
    'cpu',
    'rss_mb',
    'table_bytes',
    'table_reads',
    'table_writes',
    'vm_list_reads',
)


@registry.part('holder')
def measure_holder(window_s: float) -> list[fits.Fit]:
    """Increase a shard's workers, then its running and its waiting jobs."""
    with bench.Bench(window_s) as run:
        run.start_daemon('scheduler-a', 'scheduler')
        entries = run.start_fleet(max(_WORKER_COUNTS))
        points: list[tuple[float, bench.Rates]] = []
        for count in _WORKER_COUNTS:
            run.register_vms(entries[:count])
            launch.wait_for(
                lambda: all(link.bytes_received for link in run.links[:count]),
                f'{count} workers have answered',
            )
            run.wait_for_propagation()
            points.append((count, run.measure('scheduler-a')))
        results = registry.fit_rates(
            'holder.worker', 'worker', points, _HOLDER_RATE_NAMES
        )
        results += _increase_running(run)
        results += _increase_waiting(run)
    return results


def _submit(run: bench.Bench, jobs: int) -> None:
    spec = {
        'name': 'slope',
        'members': _MEMBERS,
        'accelerators': 1,
        'run_time_s': 100000,
        'command': ['sleep', '100000'],
    }
    for _ in range(jobs):
        answer = run.call('POST', '/v1/jobs', spec)
        if answer.status != 201:
            raise RuntimeError(f'a job was rejected: {answer}')


def _count_running(run: bench.Bench) -> int:
    listed = run.call('GET', '/v1/jobs').json()
    return sum(job['state'] == 'running' for job in listed)


def _increase_running(run: bench.Bench) -> list[fits.Fit]:
    points: list[tuple[float, bench.Rates]] = []
    submitted = 0
    for count in _JOB_COUNTS:
        _submit(run, count - submitted)
        submitted = count
        launch.wait_for(
            lambda: _count_running(run) >= count, f'{count} jobs run', 60.0
        )
        run.wait_for_propagation()
        points.append((count * _MEMBERS, run.measure('scheduler-a')))
    return registry.fit_rates(
        'holder.task', 'running task', points, _HOLDER_RATE_NAMES
    )


def _increase_waiting(run: bench.Bench) -> list[fits.Fit]:
    points: list[tuple[float, bench.Rates]] = []
    submitted = 0
    for count in _WAITING_COUNTS:
        _submit(run, count - submitted)
        submitted = count
        run.wait_for_propagation()
        points.append((count, run.measure('scheduler-a')))
    return registry.fit_rates(
        'holder.waiting', 'waiting job', points, _HOLDER_RATE_NAMES
    )


@registry.part('holder-interval', by_default=False)
def measure_interval(window_s: float) -> list[fits.Fit]:
    """Exchange with 16 workers at increasing heartbeat intervals.

    The window covers at least two intervals.
    """
    points: list[tuple[float, bench.Rates]] = []
    for interval_s in _INTERVALS_S:
        with bench.Bench(max(window_s, interval_s * 2)) as run:
            scheduler = {
                'heartbeat_interval_s': f'{interval_s}',
                'task_lease_s': f'{_LONG_LEASE_S}',
            }
            run.start_daemon(
                'scheduler-a', 'scheduler', {'scheduler': scheduler}
            )
            run.register_vms(run.start_fleet(_INTERVAL_WORKERS))
            launch.wait_for(
                lambda: all(link.bytes_received for link in run.links),
                'the workers have answered',
            )
            run.wait_for_propagation()
            rates = run.measure('scheduler-a')
            points.append((_INTERVAL_WORKERS / interval_s, rates))
    return registry.fit_rates(
        'holder.exchange',
        'exchange/s',
        points,
        ('cpu', 'link_bytes', 'link_chunks'),
    )


@registry.part('standby')
def measure_standby(window_s: float) -> list[fits.Fit]:
    """Measure a standby while the VM list grows by VMs of another zone."""
    with bench.Bench(window_s) as run:
        run.start_daemon('scheduler-a', 'scheduler')
        run.start_daemon('standby-a', 'scheduler')
        points: list[tuple[float, bench.Rates]] = []
        for count in _LISTED_COUNTS:
            run.register_vms(build_remote_workers(count))
            run.wait_for_propagation()
            points.append((count, run.measure('standby-a')))
    return registry.fit_rates(
        'standby.listed_vm', 'listed VM', points, _STANDBY_RATE_NAMES
    )


def build_remote_workers(count: int) -> list[dict[str, str]]:
    """Return VM list entries of workers of another zone."""
    return [
        {
            'id': f'far-worker-{index}',
            'role': 'worker',
            'zone': 'far',
            'address': f'10.0.{index // 250}.{index % 250}:7000',
            'rack': f'far-rack-{index // 8}',
        }
        for index in range(count)
    ]
