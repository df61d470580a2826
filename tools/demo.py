"""Runs the system end to end on stand-ins and prints each step.

Starts the platform, workers, upstreams, two gateways and two schedulers
in two availability zones, submits the first configuration patch, sends
a request, runs a gang job and takes a zone out of service.
"""

import argparse
import functools
import hashlib
import pathlib
import signal
import sys
import time
import typing

from standins import launch

_TOKEN: typing.Final = 'demo-caller-token'
_PATCH: typing.Final = f"""
[zone sapporo-a]
racks = 1
[zone sapporo-b]
racks = 1
[account signs]
token_digests = {hashlib.sha256(_TOKEN.encode()).hexdigest()}
guarantee.sapporo-a = 8:2
[service quote-desk]
slots = 8
connections = 64
"""
_ZONES: typing.Final = ('sapporo-a', 'sapporo-b')
_CHILD_FAULTS_FIELD: typing.Final = 8
"""Index of ``cminflt`` in /proc/PID/stat, counted after the process name."""
_GATEWAY: typing.Final = 'gateway-sapporo-a'


def print_line(text: str) -> None:
    """Print a line and flush standard output."""
    print(text, flush=True)


def start(cluster: launch.Cluster) -> None:
    """Start the platform, then the processes of each zone."""
    cluster.start_platform()
    print_line(f'platform (stand-in) listens at {cluster.platform_by_zone}')
    for zone in _ZONES:
        for slot in range(2):
            cluster.start_worker(
                f'worker-{zone}-{slot}', zone, f'rack-{zone}', slot
            )
        cluster.start_upstream(f'upstream-{zone}', zone, 'quote-desk')
        cluster.start_daemon(f'gateway-{zone}', 'gateway', zone)
        cluster.start_daemon(f'scheduler-{zone}', 'scheduler', zone)
        print_line(
            f'zone {zone}: 2 workers of 8 accelerators, 1 upstream, '
            '1 gateway, 1 scheduler'
        )


def call(
    cluster: launch.Cluster, method: str, path: str, body: typing.Any = None
) -> launch.Answer:
    """Call the first gateway as the client account ``signs``."""
    address = cluster.addresses_by_name[_GATEWAY]
    return launch.call(address, method, path, body, _TOKEN)


def submit_first_patch(cluster: launch.Cluster) -> None:
    """Submit the first patch; wait until each gateway has it in force."""
    launch.wait_for(
        lambda: call(cluster, 'GET', '/readyz').status == 200,
        'the gateway is ready',
    )
    began = time.monotonic()
    accepted = cluster.submit_patch(_GATEWAY, _PATCH)
    print_line(
        f'operator: patch accepted as version {accepted.json()["version"]}'
    )
    for zone in _ZONES:
        launch.wait_for(
            functools.partial(has_version, cluster, f'gateway-{zone}', 1),
            f'version 1 in {zone}',
        )
    took_s = time.monotonic() - began
    print_line(f'configuration in force in both zones after {took_s:.2f} s')


def has_version(cluster: launch.Cluster, gateway: str, version: int) -> bool:
    """Return whether a gateway has ``version`` or a later one in force."""
    address = cluster.addresses_by_name[gateway]
    status = launch.call(address, 'GET', '/v1/status').json()
    return bool(status['config_version'] >= version)


def send_request(cluster: launch.Cluster) -> None:
    """Send a request through a gateway, again until it is not refused."""
    path = '/v1/services/quote-desk/reprice'
    answer = launch.wait_for(
        lambda: _unless_refused(call(cluster, 'POST', path, b'banner 2x1 m')),
        'an upstream answers',
    )
    outcome = answer.headers['primroselock-outcome']
    print_line(f'client: reprice answered {answer.body!r}, outcome {outcome}')


def _unless_refused(answer: launch.Answer) -> launch.Answer | None:
    return answer if answer.status != 503 else None


def run_gang(cluster: launch.Cluster) -> None:
    """Run a gang job of 2 members with 4 accelerators each.

    Raises :class:`RuntimeError` if the job does not end as done.
    """
    spec = {
        'name': 'proof-render',
        'members': 2,
        'accelerators': 4,
        'run_time_s': 1,
        'command': ['sleep', '1'],
    }
    created = call(cluster, 'POST', '/v1/jobs', spec).json()
    print_line(
        f'client: job {created["id"]} submitted: 2 members, 4 accelerators'
    )
    last = ''
    while last not in ('done', 'failed', 'cancelled'):
        job = call(cluster, 'GET', f'/v1/jobs/{created["id"]}').json()
        if job['state'] != last:
            last = job['state']
            where = ', '.join(
                f'{member["worker"]}{member["accelerators"]}'
                for member in job['members']
            )
            print_line(
                f'  job is {last} {("on " + where) if where else ""}'.rstrip()
            )
        time.sleep(0.05)
    if last != 'done':
        raise RuntimeError(f'the job ended {last}: {job}')


def take_zone_out_of_service(cluster: launch.Cluster) -> None:
    """Take a zone out of service by a patch."""
    text = '[zone sapporo-b]\nstate = out\n'
    accepted = cluster.submit_patch(_GATEWAY, text)
    version = accepted.json()['version']
    launch.wait_for(
        lambda: has_version(cluster, 'gateway-sapporo-b', version),
        'the zone is out of service',
    )
    print_line(f'operator: sapporo-b is out of service (version {version})')


def check_no_children(cluster: launch.Cluster) -> None:
    """Check in /proc that no daemon has ever started a process.

    Raises :class:`RuntimeError` if one has.
    """
    count = 0
    for name, process in cluster.processes_by_name.items():
        if name.startswith(('gateway', 'scheduler')):
            count += 1
            if list_children(process.pid) or had_children(process.pid):
                raise RuntimeError(f'{name} has started a process')
    print_line(
        f'process table: none of {count} daemons has had a child process'
    )


def list_children(pid: int) -> list[int]:
    """Return the process ids of the children of ``pid``."""
    children: list[int] = []
    for thread in pathlib.Path(f'/proc/{pid}/task').iterdir():
        text = (thread / 'children').read_text(encoding='ascii')
        children += [int(word) for word in text.split()]
    return children


def had_children(pid: int) -> bool:
    """Return whether ``pid`` has waited for a child process.

    The kernel then adds the page faults of the child to ``cminflt``.
    """
    text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    fields = text.rpartition(')')[2].split()
    return int(fields[_CHILD_FAULTS_FIELD]) > 0


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='python -m tools.demo',
        description='Runs the system end to end on stand-ins.',
    )
    parser.add_argument(
        '--binary',
        metavar='FILE',
        help='run the daemons from this zipapp (see make binary)',
    )
    return parser


def main() -> int:
    """Run the demo; return the exit code."""
    parsed = build_parser().parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
    began = time.monotonic()
    try:
        with launch.Cluster(_ZONES, parsed.binary) as cluster:
            start(cluster)
            submit_first_patch(cluster)
            send_request(cluster)
            run_gang(cluster)
            take_zone_out_of_service(cluster)
            check_no_children(cluster)
    except KeyboardInterrupt:
        print_line('interrupted; all processes were stopped')
        return 130
    print_line(
        f'done in {time.monotonic() - began:.1f} s; all processes were stopped'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
