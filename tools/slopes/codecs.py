"""Slopes of the worker link's messages: encoded size and codec time.

The product encodes them as JSON.  MessagePack of the same records, as maps
and as arrays, is measured for comparison.
"""

from collections import abc
import time
import typing

import msgspec

from primroselock.workers import protocol
from tools.slopes import fits
from tools.slopes import registry

_TASK_COUNTS: typing.Final = (0, 8, 16, 32, 64)
_REPEAT_COUNT: typing.Final = 300


def build_batch(tasks: int) -> protocol.Batch:
    """Return a batch that renews ``tasks`` tasks."""
    return protocol.Batch(
        'sapporo-a',
        7,
        tuple(
            protocol.Renew(_build_key(index), 123456.789 + index)
            for index in range(tasks)
        ),
    )


def build_report(tasks: int) -> protocol.Report:
    """Return a worker's report of ``tasks`` running tasks."""
    return protocol.Report(
        worker_id='worker-sapporo-a-17',
        boot_id='0123456789ab',
        clock_s=123456.789,
        rack='rack-sapporo-a-2',
        slot=1,
        accelerators=8,
        cpus=64,
        memory_mb=262144,
        tasks=tuple(
            protocol.TaskReport(
                _build_key(index),
                protocol.TaskState.RUNNING,
                used_cpus=1.5,
                used_memory_mb=4096,
            )
            for index in range(tasks)
        ),
    )


def _build_key(index: int) -> protocol.TaskKey:
    return protocol.TaskKey(f'0123456789abcdef{index:04d}', 1, index % 64)


def _as_arrays(value: typing.Any) -> typing.Any:
    """Return the values of a record as nested lists, without field names."""
    if isinstance(value, msgspec.Struct):
        return [_as_arrays(item) for item in msgspec.structs.astuple(value)]
    if isinstance(value, (tuple, list)):
        return [_as_arrays(item) for item in value]
    return value


def time_call(
    function: abc.Callable[[], typing.Any], repeat_count: int
) -> float:
    """Return the mean processor time of one call in seconds."""
    started_at = time.process_time()
    for _ in range(repeat_count):
        function()
    return (time.process_time() - started_at) / repeat_count


@registry.part('codecs')
def measure_codecs(window_s: float) -> list[fits.Fit]:
    """Encode batches and reports with increasing numbers of tasks."""
    builders: dict[str, abc.Callable[[int], msgspec.Struct]] = {
        'batch': build_batch,
        'report': build_report,
    }
    results = []
    for name, build in builders.items():
        sizes: dict[str, list[tuple[float, float]]] = {}
        times: list[tuple[float, float]] = []
        for count in _TASK_COUNTS:
            record = build(count)
            encoded = {
                'json': msgspec.json.encode(record),
                'msgpack': msgspec.msgpack.encode(record),
                'msgpack_arrays': msgspec.msgpack.encode(_as_arrays(record)),
            }
            for codec, data in encoded.items():
                sizes.setdefault(codec, []).append((count, len(data)))
            times.append((count, _time_codec(record)))
        results += [
            fits.fit(f'codec.{name}.{codec}', 'task', 'B', points)
            for codec, points in sizes.items()
        ]
        results.append(fits.fit(f'codec.{name}.json_cpu', 'task', 's', times))
    return results


def _time_codec(record: msgspec.Struct) -> float:
    encoded = msgspec.json.encode(record)

    def encode_and_decode() -> None:
        msgspec.json.encode(record)
        msgspec.json.decode(encoded, type=type(record))

    return time_call(encode_and_decode, _REPEAT_COUNT)
