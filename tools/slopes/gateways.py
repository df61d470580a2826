"""Slopes of a gateway: requests, jobs, upstreams, listed VMs, patches."""

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
_SENDERS: typing.Final = 4
_BODY: typing.Final = b'x' * 500
_RATES: typing.Final = (
    'cpu',
    'rss_mb',
    'table_bytes',
    'table_reads',
    'table_writes',
)


class Sender:
    """Sends one kind of request on a kept connection, at a rate."""

    def __init__(
        self, address: str, path: str, make_body: abc.Callable[[], bytes]
    ) -> None:
        host, _, port = address.rpartition(':')
        self._connection = http.client.HTTPConnection(host, int(port))
        self._path = path
        self._make_body = make_body

    def run(self, rate: float, window_s: float) -> int:
        """Send at ``rate`` a second; return how many were accepted."""
        began = time.monotonic()
        accepted = 0
        total = int(rate * window_s)
        for index in range(total):
            pause_s = began + index / rate - time.monotonic()
            time.sleep(max(0.0, pause_s))
            accepted += self._send()
        time.sleep(max(0.0, began + window_s - time.monotonic()))
        return accepted

    def _send(self) -> bool:
        headers = {'Authorization': f'Bearer {bench.ACCOUNT_TOKEN}'}
        self._connection.request(
            'POST', self._path, self._make_body(), headers
        )
        answer = self._connection.getresponse()
        answer.read()
        return answer.status < 300


def load_at(
    run: bench.Bench,
    path: str,
    rate: float,
    make_body: abc.Callable[[], bytes],
) -> bench.Load:
    """Return a load of ``rate`` requests a second from a few senders.

    It fails where not every request is accepted.
    """
    address = run.cluster.addresses_by_name['gateway-a']

    def load(window_s: float) -> int:
        senders = [Sender(address, path, make_body) for _ in range(_SENDERS)]
        with concurrent.futures.ThreadPoolExecutor(_SENDERS) as pool:
            share = rate / _SENDERS
            ran = [pool.submit(s.run, share, window_s) for s in senders]
            accepted = sum(future.result() for future in ran)
        expected = _SENDERS * int(rate / _SENDERS * window_s)
        if accepted < expected:
            raise RuntimeError(f'{path}: {accepted} of {expected} accepted')
        return accepted

    return load


def _wait_for_upstream(run: bench.Bench) -> None:
    path = '/v1/services/quote-desk/reprice'
    launch.wait_for(
        lambda: run.call('POST', path, _BODY).status == 200,
        'an upstream answers',
    )


@registry.part('gateway-requests')
def measure_requests(window_s: float) -> list[fits.Fit]:
    """Pass requests of 500 bytes to an upstream at growing rates."""
    with bench.Bench(window_s) as run:
        run.cluster.start_upstream('up-a', 'a', 'quote-desk', '--slots', '64')
        _wait_for_upstream(run)
        points: list[tuple[float, bench.Rates]] = []
        for rate in _REQUEST_RATES:
            load = load_at(
                run, '/v1/services/quote-desk/reprice', rate, lambda: _BODY
            )
            rates = run.measure('gateway-a', load)
            points.append((rates.load, rates))
    return registry.fit_rates('gateway.request', 'request/s', points, _RATES)


@registry.part('gateway-jobs')
def measure_jobs(window_s: float) -> list[fits.Fit]:
    """Submit jobs at growing rates; no scheduler takes them up."""
    body = b'{"name": "slope", "members": 4, "command": ["sleep", "1"]}'
    with bench.Bench(window_s) as run:
        points: list[tuple[float, bench.Rates]] = []
        for rate in _JOB_RATES:
            load = load_at(run, '/v1/jobs', rate, lambda: body)
            rates = run.measure('gateway-a', load)
            points.append((rates.load, rates))
    return registry.fit_rates('gateway.job', 'job/s', points, _RATES)


@registry.part('gateway-patches')
def measure_patches(window_s: float) -> list[fits.Fit]:
    """Submit patches at growing rates, one after the other."""
    with bench.Bench(window_s) as run:
        points: list[tuple[float, bench.Rates]] = []
        for rate in _PATCH_RATES:
            rates = run.measure('gateway-a', _patch_load(run, rate))
            points.append((rates.load, rates))
    return registry.fit_rates('gateway.patch', 'patch/s', points, _RATES)


def _patch_load(run: bench.Bench, rate: float) -> bench.Load:
    def load(window_s: float) -> int:
        began = time.monotonic()
        total = int(rate * window_s)
        base = None
        for index in range(total):
            pause_s = began + index / rate - time.monotonic()
            time.sleep(max(0.0, pause_s))
            text = f'[service slope]\nqueue = {index + 1}\n'
            answer = run.cluster.submit_patch('gateway-a', text, base)
            if answer.status != 201:
                raise RuntimeError(f'a patch is refused: {answer}')
            base = answer.json()['version']
        time.sleep(max(0.0, began + window_s - time.monotonic()))
        return total

    return load


@registry.part('gateway-upstreams')
def measure_upstreams(window_s: float) -> list[fits.Fit]:
    """List growing numbers of upstreams; no request is sent."""
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
    return registry.fit_rates('gateway.upstream', 'upstream', points, _RATES)


@registry.part('gateway-listed')
def measure_listed(window_s: float) -> list[fits.Fit]:
    """Grow the VM list by workers of another zone.

    The list is read once a second, so that the window is doubled.
    """
    with bench.Bench(window_s * 2) as run:
        points: list[tuple[float, bench.Rates]] = []
        for count in _LISTED_COUNTS:
            run.register_vms(schedulers.build_remote_workers(count))
            run.wait_for_propagation()
            points.append((count, run.measure('gateway-a')))
    return registry.fit_rates(
        'gateway.listed_vm', 'listed VM', points, (*_RATES, 'vm_list_reads')
    )
