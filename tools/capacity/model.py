"""What each role costs at a size, from the fits."""

from collections import abc
import dataclasses
import pathlib
import typing

import msgspec

from tools.capacity import sizes
from tools.slopes import fits

_MAX_PEERS: typing.Final = 16
_TASKS_OF_FULL_WORKER: typing.Final = 8


class _Document(msgspec.Struct):
    fits: list[fits.Fit]


class Slopes:
    """The fits by name."""

    def __init__(self, paths: abc.Iterable[pathlib.Path]) -> None:
        self.fits_by_name: dict[str, fits.Fit] = {}
        for path in paths:
            document = msgspec.json.decode(path.read_bytes(), type=_Document)
            for fit in document.fits:
                self.fits_by_name[fit.name] = fit

    def slope(self, name: str) -> float:
        """Return a slope; a negative one is noise and counts as zero."""
        return max(0.0, self.fits_by_name[name].slope)

    def intercept_of(self, name: str) -> float:
        """Return an intercept, at least zero."""
        return max(0.0, self.fits_by_name[name].intercept)

    def value_at(self, name: str, x: float) -> float:
        """Return the line's value at ``x``."""
        return self.intercept_of(name) + self.slope(name) * x


@dataclasses.dataclass(frozen=True, slots=True)
class Cost:
    """What one process spends.

    ``messages`` are segments and calls a second, both ways; reads and
    writes are calls on the table a second.
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
        """Bytes a second of both ways on every link."""
        return self.link_bytes + self.table_bytes + self.mesh_bytes


def peers(size: sizes.Size) -> int:
    """Return how many peers a process hears."""
    return min(_MAX_PEERS, size.processes - 1)


def known_mb(slopes: Slopes, size: sizes.Size, listed: str) -> float:
    """Return megabytes of the VM list and the configuration."""
    content = slopes.value_at('configuration.size', size.accounts)
    return slopes.slope(f'{listed}.rss_mb') * size.listed + content / 1e6


def board_mb(
    slopes: Slopes, workers: float, tasks: float, waiting: float
) -> float:
    """Return megabytes of a shard's blackboard."""
    task = slopes.slope('round.running_task.state')
    full_worker = slopes.slope('round.full_worker.state')
    worker = max(0.0, full_worker - _TASKS_OF_FULL_WORKER * task)
    job = slopes.slope('round.waiting_job.state')
    return (workers * worker + tasks * task + waiting * job) / 1e6


def _mesh_messages(slopes: Slopes, size: sizes.Size) -> float:
    return slopes.slope('mesh.peer.link_chunks') * peers(size)


def _vm_list(slopes: Slopes, size: sizes.Size, rate: str) -> float:
    """Return bytes or processor time a second of reading the VM list."""
    reading = slopes.value_at(f'vm_list.reading_{rate}', size.listed)
    return reading * size.vm_list_reads_per_s


def holder_cost(
    slopes: Slopes,
    size: sizes.Size,
    workers: float,
    tasks: float,
    waiting: float,
) -> Cost:
    """Return the cost of a scheduler that holds a shard of that load.

    The VM list is read whole when it changed, whatever the shard.
    """
    others = size.listed - workers
    peer_count = peers(size)

    def grow(rate: str) -> float:
        return (
            slopes.value_at(f'holder.worker.{rate}', workers)
            + slopes.slope(f'holder.task.{rate}') * tasks
            + slopes.slope(f'holder.waiting.{rate}') * waiting
        )

    listed = 'standby.listed_vm'
    return Cost(
        cpu=grow('cpu')
        + slopes.slope(f'{listed}.cpu') * others
        + _vm_list(slopes, size, 'cpu')
        + slopes.slope('mesh.peer.cpu') * peer_count,
        rss_mb=grow('rss_mb')
        + slopes.slope(f'{listed}.rss_mb') * others
        + slopes.slope('mesh.peer.rss_mb') * peer_count,
        state_mb=known_mb(slopes, size, listed)
        + board_mb(slopes, workers, tasks, waiting),
        messages=grow('link_chunks')
        + _mesh_messages(slopes, size)
        + 2 * slopes.intercept_of('holder.worker.table_reads')
        + 2 * slopes.intercept_of('holder.worker.table_writes'),
        link_bytes=grow('link_bytes'),
        table_bytes=slopes.intercept_of('holder.worker.table_bytes')
        + slopes.slope(f'{listed}.table_bytes') * size.listed
        + _vm_list(slopes, size, 'bytes'),
        mesh_bytes=slopes.slope('mesh.peer.link_bytes') * peer_count,
        reads=slopes.intercept_of('holder.worker.table_reads'),
        writes=slopes.intercept_of('holder.worker.table_writes'),
    )


def standby_cost(slopes: Slopes, size: sizes.Size) -> Cost:
    """Return the cost of a scheduler that holds nothing."""
    peer_count = peers(size)
    listed = 'standby.listed_vm'
    return Cost(
        cpu=slopes.value_at(f'{listed}.cpu', size.listed)
        + _vm_list(slopes, size, 'cpu')
        + slopes.slope('mesh.peer.cpu') * peer_count,
        rss_mb=slopes.value_at(f'{listed}.rss_mb', size.listed)
        + slopes.slope('mesh.peer.rss_mb') * peer_count,
        state_mb=known_mb(slopes, size, listed),
        messages=_mesh_messages(slopes, size)
        + 2 * slopes.intercept_of(f'{listed}.table_reads'),
        link_bytes=0.0,
        table_bytes=slopes.value_at(f'{listed}.table_bytes', size.listed)
        + _vm_list(slopes, size, 'bytes'),
        mesh_bytes=slopes.slope('mesh.peer.link_bytes') * peer_count,
        reads=slopes.intercept_of(f'{listed}.table_reads'),
        writes=slopes.intercept_of(f'{listed}.table_writes'),
    )


def gateway_cost(slopes: Slopes, size: sizes.Size) -> Cost:
    """Return what a gateway spends on control: no requests, its jobs."""
    peer_count = peers(size)
    listed = 'gateway.listed_vm'
    jobs_s = size.jobs_per_day / sizes.DAY_S / size.entry_vms
    return Cost(
        cpu=slopes.value_at(f'{listed}.cpu', size.listed)
        + _vm_list(slopes, size, 'cpu')
        + slopes.slope('gateway.upstream.cpu') * size.upstreams
        + slopes.slope('mesh.peer.cpu') * peer_count
        + slopes.slope('gateway.job.cpu') * jobs_s,
        rss_mb=slopes.value_at(f'{listed}.rss_mb', size.listed)
        + slopes.slope('gateway.upstream.rss_mb') * size.upstreams
        + slopes.slope('mesh.peer.rss_mb') * peer_count,
        state_mb=known_mb(slopes, size, listed)
        + slopes.slope('gateway.upstream.rss_mb') * size.upstreams,
        messages=_mesh_messages(slopes, size)
        + 2 * slopes.intercept_of(f'{listed}.table_reads')
        + 2 * jobs_s,
        link_bytes=0.0,
        table_bytes=slopes.value_at(f'{listed}.table_bytes', size.listed)
        + _vm_list(slopes, size, 'bytes')
        + slopes.slope('gateway.job.table_bytes') * jobs_s,
        mesh_bytes=slopes.slope('mesh.peer.link_bytes') * peer_count,
        reads=slopes.intercept_of(f'{listed}.table_reads'),
        writes=slopes.slope('gateway.job.table_writes') * jobs_s,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LinkOption:
    """A way to carry the worker link; bytes are of one exchange."""

    name: str
    interval_s: float
    exchange_bytes: float
    exchange_cpu_s: float

    @property
    def worker_bytes_per_s(self) -> float:
        """Bytes a second of one worker."""
        return self.exchange_bytes / self.interval_s

    def max_workers_by_bytes(self, share: float) -> float:
        """Workers of one holder within ``share`` of a node's bytes."""
        return sizes.NODE_BYTES_PER_S * share / self.worker_bytes_per_s

    def max_workers_by_cpu(self, share: float) -> float:
        """Workers of one holder within ``share`` of a node's processor."""
        cpu = self.exchange_cpu_s / self.interval_s
        return sizes.NODE_CPU * share / cpu


_SEGMENT_HEADER_BYTES: typing.Final = 52
_SEGMENTS: typing.Final = 4
_LEASE_BYTES: typing.Final = 9
_FRAME_BYTES: typing.Final = 4


def list_link_options(slopes: Slopes, size: sizes.Size) -> list[LinkOption]:
    """Return the worker link as built, and ways that would carry more.

    The processor time of B to E is that of the measured HTTP exchange,
    without what rounds spend on running tasks.
    """
    http_bytes = slopes.slope('holder.worker.link_bytes')
    http_cpu_s = slopes.slope('holder.worker.cpu')
    tasks = size.tasks_per_worker
    compact = (
        slopes.intercept_of('codec.batch.msgpack_arrays')
        + slopes.intercept_of('codec.report.msgpack_arrays')
        + _LEASE_BYTES
        + _FRAME_BYTES
    )
    headers = _SEGMENTS * _SEGMENT_HEADER_BYTES
    built_bytes = http_bytes + tasks * slopes.slope('holder.task.link_bytes')
    built_cpu_s = http_cpu_s + tasks * slopes.slope('holder.task.cpu')
    return [
        LinkOption('as built', 1.0, built_bytes, built_cpu_s),
        LinkOption(
            'B: each 10 s, decisions by events', 10.0, http_bytes, http_cpu_s
        ),
        LinkOption('C: B each 30 s', 30.0, http_bytes, http_cpu_s),
        LinkOption('D: C, MessagePack, no HTTP', 30.0, compact, http_cpu_s),
        LinkOption(
            'E: D with TCP/IP headers', 30.0, compact + headers, http_cpu_s
        ),
    ]
