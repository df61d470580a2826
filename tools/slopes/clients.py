"""Slopes of the operators' client: cost of a command per row shown."""

import os
import resource
import subprocess
import sys
import typing

from standins import launch
from tools.slopes import bench
from tools.slopes import fits
from tools.slopes import registry

_ROW_COUNTS: typing.Final = (10, 40, 70, 100)


@registry.part('client')
def measure_client(window_s: float) -> list[fits.Fit]:
    """Run ``patch log`` with increasing numbers of patches."""
    times, sizes = [], []
    with bench.Bench(window_s) as run:
        gateway_relay = run.relay_host.open(
            run.cluster.addresses_by_name['gateway-a']
        )
        base = 1
        for count in _ROW_COUNTS:
            while base < count:
                text = f'[service slope]\nqueue = {base}\n'
                answer = run.cluster.submit_patch('gateway-a', text, base)
                base = answer.json()['version']
            gateway_relay.bytes_received = gateway_relay.bytes_sent = 0
            times.append(
                (count, _measure_patch_log(gateway_relay.address, count))
            )
            sizes.append((count, float(gateway_relay.bytes_total)))
    return [
        fits.fit('client.patch_log.cpu', 'row', 's', times),
        fits.fit('client.patch_log.bytes', 'row', 'B', sizes),
    ]


def _measure_patch_log(gateway: str, rows: int) -> float:
    """Return the processor seconds that ``patch log`` uses."""
    before = _children_cpu_s()
    subprocess.run(
        [
            sys.executable,
            '-m',
            'primroselock',
            'patch',
            'log',
            '--limit',
            str(rows),
            '--gateway',
            gateway,
        ],
        env={**os.environ, 'PRIMROSELOCK_TOKEN': launch.OPERATOR_TOKEN},
        stdout=subprocess.DEVNULL,
        check=True,
    )
    return _children_cpu_s() - before


def _children_cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    return used.ru_utime + used.ru_stime
