"""Measures requests: added latency, rate, overload, retries, keyed writes.

Both sides of a comparison are measured in the same run: direct calls to the
upstreams against calls through a gateway, and the default balancing policy
against random choice.  This process generates the load over persistent
connections; the gateway, the upstreams and the platform are separate
processes.

    python -m tools.bench_requests [PART ...]
"""

import argparse
import asyncio
import collections
from collections import abc
import dataclasses
import hashlib
import itertools
import os
import random
import time
import typing

from standins import launch

_TOKEN: typing.Final = 'bench-token'
_SERVICE_PATH: typing.Final = '/v1/services/quote-desk/reprice'
_PATCH: typing.Final = f"""
[account signs]
token_digests = {hashlib.sha256(_TOKEN.encode()).hexdigest()}
[service quote-desk]
queue = 256
"""
_UPSTREAMS: typing.Final = 3
_CONNECTIONS_PER_UPSTREAM: typing.Final = 4
"""Limit of one gateway: the default of 64, divided among 16 gateways."""
_SERVICE_TIME_S: typing.Final = 0.02
_SLOW_SERVICE_TIME_S: typing.Final = 0.2
_DURATION_S: typing.Final = 5.0
_DEADLINE_S: typing.Final = 1.0
_BODY: typing.Final = b'x' * 1000
_CLOCK_TICKS_PER_S: typing.Final = os.sysconf('SC_CLK_TCK')


@dataclasses.dataclass(slots=True)
class LoadStats:
    """Outcomes and latencies of the requests of one measurement.

    ``latencies_s`` are those of requests with the outcome ``done``.  The
    outcome ``cut`` counts requests whose connection failed or was closed
    before a complete response.
    """

    elapsed_s: float = 0.0
    counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    latencies_s: list[float] = dataclasses.field(default_factory=list)

    def percentile_ms(self, fraction: float) -> float:
        """Return a percentile of the latencies, in milliseconds."""
        ordered = sorted(self.latencies_s) or [0.0]
        return ordered[int((len(ordered) - 1) * fraction)] * 1e3

    def done_rate(self) -> float:
        """Return complete responses per second."""
        return self.counts['done'] / self.elapsed_s


class ConnectionPool:
    """Persistent HTTP connections to one address."""

    def __init__(self, address: str) -> None:
        self._host, _, port = address.rpartition(':')
        self._port = int(port)
        self._idle: list[
            tuple[asyncio.StreamReader, asyncio.StreamWriter]
        ] = []

    async def post(self, path: str, headers: str) -> tuple[str, bytes]:
        """POST ``_BODY``; return the head, in lower case, and the body."""
        if self._idle:
            reader, writer = self._idle.pop()
        else:
            reader, writer = await asyncio.open_connection(
                self._host, self._port
            )
        head = f'POST {path} HTTP/1.1\r\nHost: x\r\n{headers}'
        head += f'Content-Length: {len(_BODY)}\r\n\r\n'
        writer.write(head.encode() + _BODY)
        answer = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
        length = answer.partition('content-length: ')[2].partition('\r')[0]
        body = await reader.readexactly(int(length))
        self._idle.append((reader, writer))
        return answer, body

    def close(self) -> None:
        """Close the connections."""
        for _, writer in self._idle:
            writer.close()


def read_outcome(head: str) -> str:
    """Return the outcome in a response head.

    Upstreams send no outcome header: their status 200 counts as ``done``.
    """
    marker = 'primroselock-outcome: '
    if marker in head:
        return head.partition(marker)[2].partition('\r')[0]
    return 'done' if ' 200 ' in head else 'not-run'


async def post_once(
    pool: ConnectionPool, path: str, headers: str, stats: LoadStats
) -> None:
    """Send one request and count its outcome."""
    began = time.perf_counter()
    try:
        head, _ = await pool.post(path, headers)
    except (OSError, asyncio.IncompleteReadError):
        stats.counts['cut'] += 1
        return
    outcome = read_outcome(head)
    stats.counts[outcome] += 1
    if outcome == 'done':
        stats.latencies_s.append(time.perf_counter() - began)


async def offer_load(
    addresses: abc.Sequence[str],
    rate: float,
    duration_s: float,
    headers: abc.Callable[[], str],
) -> LoadStats:
    """Send requests at ``rate`` per second to the addresses in turn.

    The intervals are exponentially distributed.  Requests are sent on
    schedule, whether or not earlier ones have been answered.
    """
    generator = random.Random(1)
    stats = LoadStats()
    pools = [ConnectionPool(address) for address in addresses]
    pool_cycle = itertools.cycle(pools)
    tasks = []
    began = time.perf_counter()
    due_s = generator.expovariate(rate)
    while due_s < duration_s:
        wait_s = began + due_s - time.perf_counter()
        if wait_s > 0:
            await asyncio.sleep(wait_s)
        sent = post_once(next(pool_cycle), _SERVICE_PATH, headers(), stats)
        tasks.append(asyncio.create_task(sent))
        due_s += generator.expovariate(rate)
    await asyncio.gather(*tasks)
    stats.elapsed_s = max(duration_s, time.perf_counter() - began)
    for pool in pools:
        pool.close()
    return stats


class Bench:
    """A cluster of one zone, with the calls that measurements need."""

    def __init__(self, cluster: launch.Cluster) -> None:
        self.cluster = cluster
        self.upstreams = [f'up-{number}' for number in range(_UPSTREAMS)]

    def start(self) -> None:
        """Start the platform, the upstreams and the first gateway."""
        self.cluster.start_platform()
        for name in self.upstreams:
            self.cluster.start_upstream(name, 'a', 'quote-desk')
        self.start_gateway('least_of_two')
        self.wait(lambda: self.is_ready('least_of_two'))
        accepted = self.cluster.submit_patch('least_of_two', _PATCH)
        assert accepted.status == 201, accepted
        self.wait(lambda: self.forwards_requests('least_of_two'))

    def start_gateway(self, choice: str, name: str = '') -> launch.Process:
        """Start a gateway with the balancing policy ``choice``."""
        settings = {'gateway': {'upstream_choice': choice}}
        return self.cluster.start_daemon(
            name or choice, 'gateway', 'a', settings
        )

    def wait(self, condition: abc.Callable[[], bool]) -> None:
        """Wait until ``condition`` is true."""
        launch.wait_for(
            condition, 'the gateway is ready and forwards requests'
        )

    def is_ready(self, name: str) -> bool:
        """Return whether a gateway is ready."""
        address = self.cluster.addresses_by_name[name]
        return launch.call(address, 'GET', '/readyz').status == 200

    def forwards_requests(self, name: str) -> bool:
        """Return whether a gateway forwards requests to an upstream."""
        address = self.cluster.addresses_by_name[name]
        answer = launch.call(address, 'POST', _SERVICE_PATH, b'x', _TOKEN)
        return answer.status == 200

    def set_faults(self, name: str, **faults: typing.Any) -> None:
        """Replace all injected faults of an upstream."""
        address = self.cluster.addresses_by_name[name]
        launch.call(address, 'POST', '/admin/faults', faults)

    def set_service_time(self, seconds: float) -> None:
        """Set the service time of a request on every upstream."""
        for name in self.upstreams:
            self.set_faults(name, delay_s=seconds)

    def offer_load(
        self,
        names: abc.Sequence[str],
        rate: float,
        headers: str | abc.Callable[[], str] | None = None,
    ) -> LoadStats:
        """Send requests at ``rate`` to the named processes for 5 s."""
        addresses = [self.cluster.addresses_by_name[name] for name in names]
        given = headers if headers is not None else build_headers()
        generate_headers = given if callable(given) else lambda: given
        return asyncio.run(
            offer_load(addresses, rate, _DURATION_S, generate_headers)
        )

    async def send_back_to_back(
        self, name: str, connections: int, duration_s: float
    ) -> LoadStats:
        """Send requests back to back on several connections (closed loop)."""
        pool = ConnectionPool(self.cluster.addresses_by_name[name])
        headers = build_headers()
        stats = LoadStats()
        began = time.perf_counter()

        async def send_repeatedly() -> None:
            while time.perf_counter() - began < duration_s:
                await post_once(pool, _SERVICE_PATH, headers, stats)

        await asyncio.gather(*(send_repeatedly() for _ in range(connections)))
        stats.elapsed_s = time.perf_counter() - began
        pool.close()
        return stats

    def count_runs(self) -> int:
        """Return the number of runs that all upstreams have recorded."""
        return sum(
            len(self._get_json(name, '/admin/runs')['runs'])
            for name in self.upstreams
        )

    def count_writes(self) -> int:
        """Return the number of writes that the platform has applied."""
        writes: int = self.cluster.platform_call('/admin/counters')['writes']
        return writes

    def _get_json(self, name: str, path: str) -> typing.Any:
        address = self.cluster.addresses_by_name[name]
        return launch.call(address, 'GET', path).json()

    def cpu_s(self, name: str) -> float:
        """Return the processor time that a process has used, in seconds."""
        pid = self.cluster.processes_by_name[name].pid
        with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
            fields = stat.read().rpartition(')')[2].split()
        # utime and stime, counted after the process name.
        return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S


_Part = abc.Callable[[Bench], None]
_parts_by_name: dict[str, _Part] = {}


def part(name: str) -> abc.Callable[[_Part], _Part]:
    """Register a measurement under ``name``."""

    def register(measure: _Part) -> _Part:
        _parts_by_name[name] = measure
        return measure

    return register


def build_headers(**extra_headers: str) -> str:
    """Return the header lines of a request; ``_`` in names becomes ``-``."""
    headers_by_name = {'authorization': f'Bearer {_TOKEN}'}
    headers_by_name.update(
        {key.replace('_', '-'): extra_headers[key] for key in extra_headers}
    )
    return ''.join(
        f'{key}: {value}\r\n' for key, value in headers_by_name.items()
    )


def capacity() -> float:
    """Return the requests/s that one gateway's connections can carry."""
    return _UPSTREAMS * _CONNECTIONS_PER_UPSTREAM / _SERVICE_TIME_S


@part('latency')
def measure_latency(bench: Bench) -> None:
    """Compare direct and forwarded requests at half of the capacity."""
    bench.set_service_time(_SERVICE_TIME_S)
    rate = capacity() / 2
    for number in range(3):
        direct = bench.offer_load(bench.upstreams, rate)
        forwarded = bench.offer_load(['least_of_two'], rate)
        for fraction in (0.5, 0.99):
            direct_ms = direct.percentile_ms(fraction)
            forwarded_ms = forwarded.percentile_ms(fraction)
            print(
                f'latency run {number} at {rate:.0f}/s p{fraction * 100:g}: '
                f'direct {direct_ms:.2f} ms, gateway {forwarded_ms:.2f} ms, '
                f'added {forwarded_ms - direct_ms:.2f} ms'
            )
        print(f'latency run {number} outcomes: {dict(forwarded.counts)}')


@part('rate')
def measure_rate(bench: Bench) -> None:
    """Measure the requests/s of one gateway with immediate responses."""
    bench.set_service_time(0.0)
    for number in range(3):
        before_s = bench.cpu_s('least_of_two')
        stats = asyncio.run(bench.send_back_to_back('least_of_two', 12, 5.0))
        used_s = bench.cpu_s('least_of_two') - before_s
        print(
            f'rate run {number}: {stats.done_rate():.0f} done/s, '
            f'{used_s / stats.elapsed_s:.2f} cores, '
            f'{stats.counts["done"] / used_s:.0f} done per core second, '
            f'p99 {stats.percentile_ms(0.99):.1f} ms, '
            f'{dict(stats.counts)}'
        )


@part('overload')
def measure_overload(bench: Bench) -> None:
    """Compare goodput at capacity and at twice capacity, by balancing policy.

    The ratio is that of the goodput at twice capacity to the one at
    capacity.  In the second half of the loads, one upstream is slow.
    """
    bench.set_service_time(_SERVICE_TIME_S)
    bench.start_gateway('random')
    bench.wait(lambda: bench.forwards_requests('random'))
    headers_with_timeout = build_headers(primroselock_timeout=str(_DEADLINE_S))
    for is_slow in (False, True):
        if is_slow:
            bench.set_faults(bench.upstreams[0], delay_s=_SLOW_SERVICE_TIME_S)
        for choice in ('least_of_two', 'random'):
            goodput = {}
            for load in (1.0, 2.0):
                rate = capacity() * load
                stats = bench.offer_load([choice], rate, headers_with_timeout)
                goodput[load] = stats.done_rate()
                print(
                    f'overload {choice} slow={is_slow} load {load:g}: '
                    f'{stats.done_rate():.0f} done/s of {rate:.0f}, '
                    f'p50 {stats.percentile_ms(0.5):.0f} ms, '
                    f'p99 {stats.percentile_ms(0.99):.0f} ms, '
                    f'{dict(stats.counts)}'
                )
            ratio = goodput[2.0] / goodput[1.0]
            print(f'overload {choice} slow={is_slow}: ratio {ratio:.2f}')
    bench.cluster.processes_by_name['random'].kill()


@part('failure')
def measure_failure(bench: Bench) -> None:
    """Count the runs that retries add when every response is truncated."""
    for name in bench.upstreams:
        bench.set_faults(name, cut=True)
    before = bench.count_runs()
    idempotent = build_headers(primroselock_idempotent='true')
    stats = bench.offer_load(['least_of_two'], 200.0, idempotent)
    runs = bench.count_runs() - before
    sent = sum(stats.counts.values())
    print(
        f'failure: {sent} requests, {runs} runs, {runs / sent:.3f} runs per '
        f'request, {dict(stats.counts)}'
    )
    # Setting faults replaces all of them, so this ends the truncation too.
    bench.set_service_time(0.0)
    bench.wait(lambda: bench.forwards_requests('least_of_two'))


@part('keyed')
def measure_keyed(bench: Bench) -> None:
    """Count writes under 500 requests/s with distinct idempotency keys."""
    bench.set_service_time(0.0)
    bench.start_gateway('least_of_two', 'second')
    bench.wait(lambda: bench.forwards_requests('second'))
    gateways = ['least_of_two', 'second']
    bench.offer_load(gateways, 100.0)
    before = bench.count_writes()
    numbers = itertools.count()
    stats = bench.offer_load(
        gateways,
        500.0,
        lambda: build_headers(idempotency_key=str(next(numbers))),
    )
    writes = bench.count_writes() - before
    print(
        f'keyed: {stats.done_rate():.0f} done/s by 2 gateways, '
        f'{writes / stats.elapsed_s:.0f} writes/s, '
        f'p50 {stats.percentile_ms(0.5):.1f} ms, '
        f'p99 {stats.percentile_ms(0.99):.1f} ms, {dict(stats.counts)}'
    )
    bench.cluster.processes_by_name['second'].kill()


def main() -> None:
    """Run the named measurements, by default all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('parts', nargs='*', metavar='PART')
    names = parser.parse_args().parts or list(_parts_by_name)
    with launch.Cluster(['a']) as cluster:
        bench = Bench(cluster)
        bench.start()
        for name in names:
            _parts_by_name[name](bench)


if __name__ == '__main__':
    main()
