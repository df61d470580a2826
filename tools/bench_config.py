"""Measures how soon patches are in force, and what control costs.

Starts today's size, 7 entry VMs in 3 availability zones, each with a
gateway and a scheduler, on the platform's stand-in.  A patch is in force
when each of the 14 processes says so to the gateway that accepted it;
the time counts from before the submission was sent.  The second series
has one zone cut from the platform but not from its peers.  Bytes are
message bodies, without the framing of TCP and ZeroMQ.
"""

import argparse
import sys
import time
import typing

from standins import launch

_ZONES: typing.Final = ('a', 'b', 'c')
_VMS: typing.Final = 7
_IN_FORCE_TARGET_S: typing.Final = 3.0
_POLL_S: typing.Final = 0.005


def start(cluster: launch.Cluster) -> list[str]:
    """Start the processes; return the names of the gateways."""
    cluster.start_platform()
    names = []
    for number in range(_VMS):
        zone = _ZONES[number % len(_ZONES)]
        cluster.start_daemon(f'gateway-{number}', 'gateway', zone)
        cluster.start_daemon(f'scheduler-{number}', 'scheduler', zone)
        names.append(f'gateway-{number}')
    return names


def get(cluster: launch.Cluster, gateway: str, path: str) -> typing.Any:
    """Return a gateway's answer to an operator."""
    address = cluster.addresses_by_name[gateway]
    return launch.call(
        address, 'GET', path, token=launch.OPERATOR_TOKEN
    ).json()


def count_confirmed(
    cluster: launch.Cluster, gateway: str, version: int
) -> int:
    """Return how many processes have ``version`` in force."""
    path = f'/v1/config/confirmations?version={version}'
    answer = get(cluster, gateway, path)
    states = [process['state'] for process in answer['processes']]
    return states.count('confirmed')


def measure_patches(
    cluster: launch.Cluster, gateway: str, patches: int
) -> list[float]:
    """Return the seconds that each patch took to be in force."""
    taken = []
    version = get(cluster, gateway, '/v1/config')['version']
    for number in range(patches):
        text = f'[zone a]\nracks = {number + 1}\n'
        began = time.monotonic()
        answer = cluster.submit_patch(gateway, text, version)
        if answer.status != 201:
            raise RuntimeError(answer)
        version = answer.json()['version']
        while count_confirmed(cluster, gateway, version) < 2 * _VMS:
            if time.monotonic() - began > 10 * _IN_FORCE_TARGET_S:
                raise RuntimeError('a patch does not come into force')
            time.sleep(_POLL_S)
        taken.append(time.monotonic() - began)
    return sorted(taken)


def report_patches(name: str, taken: list[float]) -> bool:
    """Print percentiles; return whether the target is met."""
    middle = taken[len(taken) // 2]
    high = taken[min(len(taken) - 1, int(len(taken) * 0.99))]
    print(
        f'{name}: {len(taken)} patches, p50 {middle * 1e3:.0f} ms, '
        f'p99 {high * 1e3:.0f} ms, most {taken[-1] * 1e3:.0f} ms'
    )
    return high <= _IN_FORCE_TARGET_S


def measure_idle(
    cluster: launch.Cluster, gateways: list[str], seconds: float
) -> None:
    """Print table operations and message bytes of an idle system."""
    before = cluster.platform_call('/admin/counters')
    bytes_before = [mesh_bytes(cluster, name) for name in gateways]
    began = time.monotonic()
    time.sleep(seconds)
    after = cluster.platform_call('/admin/counters')
    bytes_after = [mesh_bytes(cluster, name) for name in gateways]
    passed_s = time.monotonic() - began
    for name in ('reads', 'writes'):
        rate = (after[name] - before[name]) / passed_s
        print(f'table {name}: {rate:.1f} a second, all processes together')
    for place, word in enumerate(('sent', 'received')):
        rates = [
            (new[place] - old[place]) / passed_s
            for old, new in zip(bytes_before, bytes_after, strict=True)
        ]
        print(
            f'mesh bytes {word} by a gateway: mean '
            f'{sum(rates) / len(rates):.0f}, most {max(rates):.0f} a second'
        )


def mesh_bytes(cluster: launch.Cluster, gateway: str) -> tuple[int, int]:
    """Return the bytes that a gateway sent and received on the mesh."""
    status = get(cluster, gateway, '/v1/status')
    return status['mesh_bytes_sent'], status['mesh_bytes_received']


def main() -> int:
    """Run the measurement; return 1 where a target is missed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--patches', type=int, default=100)
    parser.add_argument('--idle-s', type=float, default=10.0)
    parsed = parser.parse_args()
    with launch.Cluster(_ZONES) as cluster:
        gateways = start(cluster)
        launch.wait_for(
            lambda: count_confirmed(cluster, gateways[0], 0) == 2 * _VMS,
            'every process is heard',
        )
        measure_idle(cluster, gateways, parsed.idle_s)
        taken = measure_patches(cluster, gateways[0], parsed.patches)
        met = report_patches('all zones reach the platform', taken)
        cluster.set_fault('c', 'down')
        taken = measure_patches(cluster, gateways[0], parsed.patches)
        met &= report_patches('zone c is cut from the platform', taken)
    return 0 if met else 1


if __name__ == '__main__':
    sys.exit(main())
