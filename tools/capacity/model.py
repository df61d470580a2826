"""Model of the resource use of each role at a size, from the fits."""

from collections import abc
import dataclasses
import pathlib
import typing

import msgspec

from tools.capacity import sizes
from tools.slopes import fits

# The default of the setting ``max_peers``.
_MAX_PEERS: typing.Final = 16
_TASKS_OF_FULL_WORKER: typing.Final = 8


class _Document(msgspec.Struct):
    fits: list[fits.Fit]


class Slopes:
    """The fits of one or more measurement files, by name."""

    def __init__(self, paths: abc.Iterable[pathlib.Path]) -> None:
        self.fits_by_name: dict[str, fits.Fit] = {}
        for path in paths:
            document = msgspec.json.decode(path.read_bytes(), type=_Document)
            for fit in document.fits:
                self.fits_by_name[fit.name] = fit

    def slope(self, name: str) -> float:
        """Return a slope; negative slopes are noise and count as zero."""
        return max(0.0, self.fits_by_name[name].slope)

    def intercept_of(self, name: str) -> float:
        """Return an intercept, at least zero."""
        return max(0.0, self.fits_by_name[name].intercept)

    def value_at(self, name: str, x: float) -> float:
        """Return the value of the fitted line at ``x``."""
        return self.intercept_of(name) + self.slope(name) * x


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """Resource use of one process.

    ``cpu`` is in processor seconds per second; bytes are per second, and
    ``link_bytes`` those of the worker link.
    ``messages`` are segments and calls per second in both directions,
    ``reads`` and ``writes`` calls on the table per second.
    """

    cpu: float
    rss_mb: float
    state_mb: float
    messages: float
    link_bytes: float
    table_bytes: float
    mesh_bytes: float
    reads: float
    writes: float

    @property
    def total_bytes(self) -> float:
        """Bytes per second in both directions on all connections."""
        return self.link_bytes + self.table_bytes + self.mesh_bytes


def count_peers(size: sizes.Size) -> int:
    """Return the number of peers that send beacons to a process."""
    return min(_MAX_PEERS, size.processes - 1)


def replicated_mb(slopes: Slopes, size: sizes.Size, list_fit: str) -> float:
    """Return the size of the VM list and the configuration in MB.

    ``list_fit`` is the prefix of the fits for the length of the VM list.
    """
    content = slopes.value_at('configuration.size', size.accounts)
    return slopes.slope(f'{list_fit}.rss_mb') * size.listed + content / 1e6


def blackboard_mb(
    slopes: Slopes, workers: float, tasks: float, waiting: float
) -> float:
    """Return the size of a shard's blackboard in MB."""
    task = slopes.slope('round.running_task.state')
    full_worker = slopes.slope('round.full_worker.state')
    worker = max(0.0, full_worker - _TASKS_OF_FULL_WORKER * task)
    job = slopes.slope('round.waiting_job.state')
    return (workers * worker + tasks * task + waiting * job) / 1e6


def _mesh_messages(slopes: Slopes, size: sizes.Size) -> float:
    return slopes.slope('mesh.peer.link_chunks') * count_peers(size)


def _vm_list_cost(slopes: Slopes, size: sizes.Size, rate: str) -> float:
    """Return bytes or processor time per second to read the VM list.

    ``rate`` is ``bytes`` or ``cpu``, the suffix of the fit.
    """
    reading = slopes.value_at(f'vm_list.reading_{rate}', size.listed)
    return reading * size.vm_list_reads_per_s


def holder_cost(
    slopes: Slopes,
    size: sizes.Size,
    workers: float,
    tasks: float,
    waiting: float,
) -> Cost:
    """Return the cost of a scheduler that holds a shard with this load.

    A changed VM list is read completely, whatever the shard.
    """
    others = size.listed - workers
    peer_count = count_peers(size)

    def cost_of_load(rate: str) -> float:
        return (
            slopes.value_at(f'holder.worker.{rate}', workers)
            + slopes.slope(f'holder.task.{rate}') * tasks
            + slopes.slope(f'holder.waiting.{rate}') * waiting
        )

    list_fit = 'standby.listed_vm'
    return Cost(
        cpu=cost_of_load('cpu')
        + slopes.slope(f'{list_fit}.cpu') * others
        + _vm_list_cost(slopes, size, 'cpu')
        + slopes.slope('mesh.peer.cpu') * peer_count,
        rss_mb=cost_of_load('rss_mb')
        + slopes.slope(f'{list_fit}.rss_mb') * others
        + slopes.slope('mesh.peer.rss_mb') * peer_count,
        state_mb=replicated_mb(slopes, size, list_fit)
        + blackboard_mb(slopes, workers, tasks, waiting),
        messages=cost_of_load('link_chunks')
        + _mesh_messages(slopes, size)
        + 2 * slopes.intercept_of('holder.worker.table_reads')
        + 2 * slopes.intercept_of('holder.worker.table_writes'),
        link_bytes=cost_of_load('link_bytes'),
        table_bytes=slopes.intercept_of('holder.worker.table_bytes')
        + slopes.slope(f'{list_fit}.table_bytes') * size.listed
        + _vm_list_cost(slopes, size, 'bytes'),
        mesh_bytes=slopes.slope('mesh.peer.link_bytes') * peer_count,
        reads=slopes.intercept_of('holder.worker.table_reads'),
        writes=slopes.intercept_of('holder.worker.table_writes'),
    )


def standby_cost(slopes: Slopes, size: sizes.Size) -> Cost:
    """Return the cost of a scheduler that holds no shard."""
    peer_count = count_peers(size)
    list_fit = 'standby.listed_vm'
    return Cost(
        cpu=slopes.value_at(f'{list_fit}.cpu', size.listed)
        + _vm_list_cost(slopes, size, 'cpu')
        + slopes.slope('mesh.peer.cpu') * peer_count,
        rss_mb=slopes.value_at(f'{list_fit}.rss_mb', size.listed)
        + slopes.slope('mesh.peer.rss_mb') * peer_count,
        state_mb=replicated_mb(slopes, size, list_fit),
        messages=_mesh_messages(slopes, size)
        + 2 * slopes.intercept_of(f'{list_fit}.table_reads'),
        link_bytes=0.0,
        table_bytes=slopes.value_at(f'{list_fit}.table_bytes', size.listed)
        + _vm_list_cost(slopes, size, 'bytes'),
        mesh_bytes=slopes.slope('mesh.peer.link_bytes') * peer_count,
        reads=slopes.intercept_of(f'{list_fit}.table_reads'),
        writes=slopes.intercept_of(f'{list_fit}.table_writes'),
    )


def gateway_cost(slopes: Slopes, size: sizes.Size) -> Cost:
    """Return a gateway's control cost: its jobs but no requests."""
    peer_count = count_peers(size)
    list_fit = 'gateway.listed_vm'
    jobs_s = size.jobs_per_day / sizes.DAY_S / size.entry_vms
    return Cost(
        cpu=slopes.value_at(f'{list_fit}.cpu', size.listed)
        + _vm_list_cost(slopes, size, 'cpu')
        + slopes.slope('gateway.upstream.cpu') * size.upstreams
        + slopes.slope('mesh.peer.cpu') * peer_count
        + slopes.slope('gateway.job.cpu') * jobs_s,
        rss_mb=slopes.value_at(f'{list_fit}.rss_mb', size.listed)
        + slopes.slope('gateway.upstream.rss_mb') * size.upstreams
        + slopes.slope('mesh.peer.rss_mb') * peer_count,
        state_mb=replicated_mb(slopes, size, list_fit)
        + slopes.slope('gateway.upstream.rss_mb') * size.upstreams,
        messages=_mesh_messages(slopes, size)
        + 2 * slopes.intercept_of(f'{list_fit}.table_reads')
        + 2 * jobs_s,
        link_bytes=0.0,
        table_bytes=slopes.value_at(f'{list_fit}.table_bytes', size.listed)
        + _vm_list_cost(slopes, size, 'bytes')
        + slopes.slope('gateway.job.table_bytes') * jobs_s,
        mesh_bytes=slopes.slope('mesh.peer.link_bytes') * peer_count,
        reads=slopes.intercept_of(f'{list_fit}.table_reads'),
        writes=slopes.slope('gateway.job.table_writes') * jobs_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOption:
    """An option for the worker link.

    Bytes and processor time are those of one exchange with a worker.
    """

    name: str
    interval_s: float
    exchange_bytes: float
    exchange_cpu_s: float

    @property
    def worker_bytes_per_s(self) -> float:
        """Bytes per second of one worker."""
        return self.exchange_bytes / self.interval_s

    def max_workers_by_bytes(self, share: float) -> float:
        """Return the workers that ``share`` of a node's bytes can serve."""
        return sizes.NODE_BYTES_PER_S * share / self.worker_bytes_per_s

    def max_workers_by_cpu(self, share: float) -> float:
        """Return the workers that ``share`` of a node's cpu can serve."""
        cpu = self.exchange_cpu_s / self.interval_s
        return sizes.NODE_CPU * share / cpu


# IPv4 header, TCP header and TCP timestamps: 20 + 20 + 12.
_SEGMENT_HEADER_BYTES: typing.Final = 52
_SEGMENTS_PER_EXCHANGE: typing.Final = 4
_LEASE_BYTES: typing.Final = 9
_FRAME_BYTES: typing.Final = 4


def list_link_options(slopes: Slopes, size: sizes.Size) -> list[LinkOption]:
    """Return the worker link as built, and options for more workers.

    The processor time of B to E is that of the measured HTTP exchange,
    without what running tasks add to the decision rounds.
    """
    http_bytes = slopes.slope('holder.worker.link_bytes')
    http_cpu_s = slopes.slope('holder.worker.cpu')
    tasks = size.tasks_per_worker
    compact_bytes = (
        slopes.intercept_of('codec.batch.msgpack_arrays')
        + slopes.intercept_of('codec.report.msgpack_arrays')
        + _LEASE_BYTES
        + _FRAME_BYTES
    )
    header_bytes = _SEGMENTS_PER_EXCHANGE * _SEGMENT_HEADER_BYTES
    as_built_bytes = http_bytes + tasks * slopes.slope(
        'holder.task.link_bytes'
    )
    as_built_cpu_s = http_cpu_s + tasks * slopes.slope('holder.task.cpu')
    return [
        LinkOption('as built', 1.0, as_built_bytes, as_built_cpu_s),
        LinkOption(
            'B: every 10 s, event-driven decisions',
            10.0,
            http_bytes,
            http_cpu_s,
        ),
        LinkOption('C: B every 30 s', 30.0, http_bytes, http_cpu_s),
        LinkOption(
            'D: C, MessagePack, no HTTP', 30.0, compact_bytes, http_cpu_s
        ),
        LinkOption(
            'E: D with TCP/IP headers',
            30.0,
            compact_bytes + header_bytes,
            http_cpu_s,
        ),
    ]
