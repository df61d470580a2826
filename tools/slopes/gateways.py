"""Slopes of a gateway: requests, jobs, patches, upstreams, listed VMs."""

from collections import abc
import concurrent.futures
import http.client
import time
import typing

from standins import launch
from tools.slopes import bench
from tools.slopes import fits
from tools.slopes import registry
from tools.slopes import schedulers

_REQUEST_RATES: typing.Final = (20, 50, 100, 200)
_JOB_RATES: typing.Final = (5, 10, 20, 40)
_PATCH_RATES: typing.Final = (1, 2, 4, 8)
_UPSTREAM_COUNTS: typing.Final = (8, 16, 32, 64)
_LISTED_COUNTS: typing.Final = (100, 400, 800, 1600)
_SENDER_COUNT: typing.Final = 4
_BODY: typing.Final = b'x' * 500
_RATE_NAMES: typing.Final = (
    'cpu',
    'rss_mb',
    'table_bytes',
    'table_reads',
    'table_writes',
)


class Sender:
    """Sends one kind of request at a rate, on a persistent connection."""

    def __init__(
        self, address: str, path: str, make_body: abc.Callable[[], bytes]
    ) -> None:
        host, _, port = address.rpartition(':')
        self._connection = http.client.HTTPConnection(host, int(port))
        self._path = path
        self._make_body = make_body

    def run(self, rate: float, window_s: float) -> int:
        """Send ``rate`` requests per second; return the number accepted."""
        started_at = time.monotonic()
        accepted = 0
        total = int(rate * window_s)
        for index in range(total):
            pause_s = started_at + index / rate - time.monotonic()
            time.sleep(max(0.0, pause_s))
            accepted += self._send()
        time.sleep(max(0.0, started_at + window_s - time.monotonic()))
        return accepted

    def _send(self) -> bool:
        headers = {'Authorization': f'Bearer {bench.ACCOUNT_TOKEN}'}
        self._connection.request(
            'POST', self._path, self._make_body(), headers
        )
        answer = self._connection.getresponse()
        answer.read()
        return answer.status < 300


def build_load(
    run: bench.Bench,
    path: str,
    rate: float,
    make_body: abc.Callable[[], bytes],
) -> bench.Load:
    """Return a load of ``rate`` requests per second from all senders.

    The load raises :class:`RuntimeError` unless every request is accepted.
    """
    address = run.cluster.addresses_by_name['gateway-a']

    def load(window_s: float) -> int:
        senders = [
            Sender(address, path, make_body) for _ in range(_SENDER_COUNT)
        ]
        with concurrent.futures.ThreadPoolExecutor(_SENDER_COUNT) as pool:
            share = rate / _SENDER_COUNT
            runs = [pool.submit(s.run, share, window_s) for s in senders]
            accepted = sum(future.result() for future in runs)
        expected = _SENDER_COUNT * int(rate / _SENDER_COUNT * window_s)
        if accepted < expected:
            raise RuntimeError(f'{path}: {accepted} of {expected} accepted')
        return accepted

    return load


def _wait_for_upstream(run: bench.Bench) -> None:
    path = '/v1/services/quote-desk/reprice'
    launch.wait_for(
        lambda: run.call('POST', path, _BODY).status == 200,
        'an upstream responds',
    )


@registry.part('gateway-requests')
def measure_requests(window_s: float) -> list[fits.Fit]:
    """Send requests of 500 bytes to an upstream at increasing rates."""
    with bench.Bench(window_s) as run:
        run.cluster.start_upstream('up-a', 'a', 'quote-desk', '--slots', '64')
        _wait_for_upstream(run)
        points: list[tuple[float, bench.Rates]] = []
        for rate in _REQUEST_RATES:
            load = build_load(
                run, '/v1/services/quote-desk/reprice', rate, lambda: _BODY
            )
            rates = run.measure('gateway-a', load)
            points.append((rates.load, rates))
    return registry.fit_rates(
        'gateway.request', 'request/s', points, _RATE_NAMES
    )


@registry.part('gateway-jobs')
def measure_jobs(window_s: float) -> list[fits.Fit]:
    """Submit jobs at increasing rates; no scheduler is running."""
    body = b'{"name": "slope", "members": 4, "command": ["sleep", "1"]}'
    with bench.Bench(window_s) as run:
        points: list[tuple[float, bench.Rates]] = []
        for rate in _JOB_RATES:
            load = build_load(run, '/v1/jobs', rate, lambda: body)
            rates = run.measure('gateway-a', load)
            points.append((rates.load, rates))
    return registry.fit_rates('gateway.job', 'job/s', points, _RATE_NAMES)


@registry.part('gateway-patches')
def measure_patches(window_s: float) -> list[fits.Fit]:
    """Submit patches at increasing rates, one after the other."""
    with bench.Bench(window_s) as run:
        points: list[tuple[float, bench.Rates]] = []
        for rate in _PATCH_RATES:
            rates = run.measure('gateway-a', _patch_load(run, rate))
            points.append((rates.load, rates))
    return registry.fit_rates('gateway.patch', 'patch/s', points, _RATE_NAMES)


def _patch_load(run: bench.Bench, rate: float) -> bench.Load:
    def load(window_s: float) -> int:
        started_at = time.monotonic()
        total = int(rate * window_s)
        base = None
        for index in range(total):
            pause_s = started_at + index / rate - time.monotonic()
            time.sleep(max(0.0, pause_s))
            text = f'[service slope]\nqueue = {index + 1}\n'
            answer = run.cluster.submit_patch('gateway-a', text, base)
            if answer.status != 201:
                raise RuntimeError(f'a patch was rejected: {answer}')
            base = answer.json()['version']
        time.sleep(max(0.0, started_at + window_s - time.monotonic()))
        return total

    return load


@registry.part('gateway-upstreams')
def measure_upstreams(window_s: float) -> list[fits.Fit]:
    """Put increasing numbers of upstreams on the VM list; send no request."""
    with bench.Bench(window_s) as run:
        run.cluster.start_upstream('up-a', 'a', 'quote-desk')
        address = run.cluster.addresses_by_name['up-a']
        points: list[tuple[float, bench.Rates]] = []
        for count in _UPSTREAM_COUNTS:
            run.register_vms(
                [
                    {
                        'id': f'up-{index}',
                        'role': 'upstream',
                        'zone': 'a',
                        'address': address,
                        'service': 'quote-desk',
                    }
                    for index in range(count)
                ]
            )
            run.wait_for_propagation()
            points.append((count, run.measure('gateway-a')))
    return registry.fit_rates(
        'gateway.upstream', 'upstream', points, _RATE_NAMES
    )


@registry.part('gateway-listed')
def measure_listed(window_s: float) -> list[fits.Fit]:
    """Extend the VM list by workers of another zone.

    The list is read once per second, so the window is doubled.
    """
    with bench.Bench(window_s * 2) as run:
        points: list[tuple[float, bench.Rates]] = []
        for count in _LISTED_COUNTS:
            run.register_vms(schedulers.build_remote_workers(count))
            run.wait_for_propagation()
            points.append((count, run.measure('gateway-a')))
    return registry.fit_rates(
        'gateway.listed_vm',
        'listed VM',
        points,
        (*_RATE_NAMES, 'vm_list_reads'),
    )
