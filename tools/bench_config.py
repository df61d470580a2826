"""Measures the propagation time of patches and the load of an idle system.

Starts a system of today's size on the platform's stand-in: 7 entry VMs in
3 availability zones, each with a gateway and a scheduler.  A patch is in
force when each of the 14 processes has confirmed it to the gateway that
accepted it; the time is measured from before the submission is sent.  In
the second series, one zone cannot reach the platform but reaches its peers.
Bytes are message bodies, without the framing of TCP and ZeroMQ.
"""

import argparse
import sys
import time
import typing

from standins import launch

_ZONES: typing.Final = ('a', 'b', 'c')
_ENTRY_VMS: typing.Final = 7
_IN_FORCE_TARGET_S: typing.Final = 3.0
_POLL_INTERVAL_S: typing.Final = 0.005


def start(cluster: launch.Cluster) -> list[str]:
    """Start all processes; return the names of the gateways."""
    cluster.start_platform()
    names = []
    for number in range(_ENTRY_VMS):
        zone = _ZONES[number % len(_ZONES)]
        cluster.start_daemon(f'gateway-{number}', 'gateway', zone)
        cluster.start_daemon(f'scheduler-{number}', 'scheduler', zone)
        names.append(f'gateway-{number}')
    return names


def get(cluster: launch.Cluster, gateway: str, path: str) -> typing.Any:
    """Return the decoded JSON of a gateway's response to an operator."""
    address = cluster.addresses_by_name[gateway]
    return launch.call(
        address, 'GET', path, token=launch.OPERATOR_TOKEN
    ).json()


def count_confirmed(
    cluster: launch.Cluster, gateway: str, version: int
) -> int:
    """Return the number of processes that have confirmed ``version``."""
    path = f'/v1/config/confirmations?version={version}'
    answer = get(cluster, gateway, path)
    states = [process['state'] for process in answer['processes']]
    return states.count('confirmed')


def measure_patches(
    cluster: launch.Cluster, gateway: str, patches: int
) -> list[float]:
    """Return the seconds that each patch took to be in force, sorted.

    Raises :class:`RuntimeError` if a patch is refused, or is not in force
    within ten times the target.
    """
    durations_s = []
    version = get(cluster, gateway, '/v1/config')['version']
    for number in range(patches):
        text = f'[zone a]\nracks = {number + 1}\n'
        began = time.monotonic()
        answer = cluster.submit_patch(gateway, text, version)
        if answer.status != 201:
            raise RuntimeError(answer)
        version = answer.json()['version']
        while count_confirmed(cluster, gateway, version) < 2 * _ENTRY_VMS:
            if time.monotonic() - began > 10 * _IN_FORCE_TARGET_S:
                raise RuntimeError(
                    'not every process confirmed the patch in time'
                )
            time.sleep(_POLL_INTERVAL_S)
        durations_s.append(time.monotonic() - began)
    return sorted(durations_s)


def report_patches(name: str, durations_s: list[float]) -> bool:
    """Print percentiles in ms; return whether p99 is within the target.

    ``durations_s`` is sorted.
    """
    median_s = durations_s[len(durations_s) // 2]
    p99_s = durations_s[
        min(len(durations_s) - 1, int(len(durations_s) * 0.99))
    ]
    print(
        f'{name}: {len(durations_s)} patches, p50 {median_s * 1e3:.0f} ms, '
        f'p99 {p99_s * 1e3:.0f} ms, max {durations_s[-1] * 1e3:.0f} ms'
    )
    return p99_s <= _IN_FORCE_TARGET_S


def measure_idle(
    cluster: launch.Cluster, gateways: list[str], seconds: float
) -> None:
    """Print the rates of table operations and mesh bytes without load."""
    before = cluster.platform_call('/admin/counters')
    bytes_before = [mesh_bytes(cluster, name) for name in gateways]
    began = time.monotonic()
    time.sleep(seconds)
    after = cluster.platform_call('/admin/counters')
    bytes_after = [mesh_bytes(cluster, name) for name in gateways]
    elapsed_s = time.monotonic() - began
    for name in ('reads', 'writes'):
        rate = (after[name] - before[name]) / elapsed_s
        print(f'table {name}: {rate:.1f} a second, all processes together')
    for index, direction in enumerate(('sent', 'received')):
        rates = [
            (new[index] - old[index]) / elapsed_s
            for old, new in zip(bytes_before, bytes_after, strict=True)
        ]
        print(
            f'mesh bytes {direction} by a gateway: mean '
            f'{sum(rates) / len(rates):.0f}, max {max(rates):.0f} a second'
        )


def mesh_bytes(cluster: launch.Cluster, gateway: str) -> tuple[int, int]:
    """Return the mesh bytes that a gateway has sent and received."""
    status = get(cluster, gateway, '/v1/status')
    return status['mesh_bytes_sent'], status['mesh_bytes_received']


def main() -> int:
    """Run the measurement; return 1 if the target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--patches', type=int, default=100)
    parser.add_argument('--idle-s', type=float, default=10.0)
    parsed = parser.parse_args()
    with launch.Cluster(_ZONES) as cluster:
        gateways = start(cluster)
        launch.wait_for(
            lambda: count_confirmed(cluster, gateways[0], 0) == 2 * _ENTRY_VMS,
            'every process has confirmed version 0',
        )
        measure_idle(cluster, gateways, parsed.idle_s)
        durations_s = measure_patches(cluster, gateways[0], parsed.patches)
        met = report_patches('all zones reach the platform', durations_s)
        cluster.set_fault('c', 'down')
        durations_s = measure_patches(cluster, gateways[0], parsed.patches)
        met &= report_patches('zone c cannot reach the platform', durations_s)
    return 0 if met else 1


if __name__ == '__main__':
    sys.exit(main())
