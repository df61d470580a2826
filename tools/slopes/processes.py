"""Reads the processor time and memory of a process from /proc."""

import dataclasses
import pathlib
import typing

_PROC: typing.Final = pathlib.Path('/proc')
_NS_PER_S: typing.Final = 1e9
_KIB: typing.Final = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """Resource use of a process.

    ``cpu_s`` is the processor time of all live threads.
    """

    cpu_s: float
    rss_bytes: int


def read_usage(pid: int) -> Usage:
    """Return the resource use of the process so far."""
    folder = _PROC / str(pid)
    on_cpu_ns = 0
    for thread in (folder / 'task').iterdir():
        text = (thread / 'schedstat').read_text(encoding='ascii')
        on_cpu_ns += int(text.split()[0])
    return Usage(on_cpu_ns / _NS_PER_S, _read_rss(folder))


def _read_rss(folder: pathlib.Path) -> int:
    status = (folder / 'status').read_text(encoding='ascii')
    for line in status.splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) * _KIB
    raise RuntimeError(f'{folder}: status has no VmRSS line')
