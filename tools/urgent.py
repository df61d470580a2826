"""Measures the start latency of urgent work on a full cluster.

The cluster is one zone of 24 workers with 8 accelerators each, filled with
borrowed work.  Each sample submits an urgent gang within its account's
guarantee through a gateway and ends when the history of the workers shows
that the last member runs.  The gang is then cancelled, and the next sample
waits until borrowed work has filled the cluster again::

    python -m tools.urgent --samples 60
"""

import argparse
import hashlib
import statistics
import time
import typing

from standins import launch

WORKERS: typing.Final = 24
TOKENS_BY_ACCOUNT: typing.Final = {'merch': 'merch-token', 'fans': 'fan-token'}
BORROWED_JOBS: typing.Final = 48
"""Borrowed jobs of 4 accelerators, which fill the 192 accelerators."""


GUARANTEES_BY_ACCOUNT: typing.Final = {'merch': '64:1', 'fans': '8:2'}


def _patch() -> str:
    text = '[zone a]\nracks = 3\n'
    for account, token in TOKENS_BY_ACCOUNT.items():
        digest = hashlib.sha256(token.encode()).hexdigest()
        text += f'[account {account}]\ntoken_digests = {digest}\n'
        text += f'guarantee.a = {GUARANTEES_BY_ACCOUNT[account]}\n'
    return text


class Measurement:
    """A running cluster on which samples are taken."""

    def __init__(self, cluster: launch.Cluster) -> None:
        self.cluster = cluster
        self.worker_addresses: list[str] = []

    def start(self) -> None:
        """Start all processes and fill the cluster with borrowed work."""
        cluster = self.cluster
        cluster.start_platform()
        fleet = cluster.start(
            'fleet', ['standins.fleet', '--workers', str(WORKERS)]
        )
        launch.wait_for(
            lambda: len(self.list_listening(fleet)) == WORKERS,
            'all workers listen',
        )
        for index, event in enumerate(self.list_listening(fleet)):
            name = event['id']
            cluster.addresses_by_name[name] = event['address']
            number = int(name.rpartition('-')[2])
            rack = f'worker-rack-{number // 8}'
            cluster.register_vm(name, 'worker', 'a', rack=rack)
            self.worker_addresses.append(event['address'])
        cluster.start_daemon('gateway', 'gateway', 'a')
        cluster.start_daemon('scheduler', 'scheduler', 'a')
        launch.wait_for(self.is_ready, 'the gateway is ready')
        accepted = cluster.submit_patch('gateway', _patch())
        assert accepted.status == 201, accepted
        launch.wait_for(
            lambda: self.call('fans', 'GET', '/v1/jobs').status == 200,
            'the first patch is in force',
        )
        for number in range(BORROWED_JOBS):
            self.submit('fans', 1, 4, 'borrowed', f'fill-{number}')
        launch.wait_for(self.is_full, 'borrowed work fills the cluster', 60.0)

    def set_checkpoint_time(self, seconds: float) -> None:
        """Set the duration of a checkpoint on every worker."""
        for address in self.worker_addresses:
            faults = {'slow_checkpoint_s': seconds}
            answer = launch.call(address, 'POST', '/admin/faults', faults)
            assert answer.status == 200, answer

    @staticmethod
    def list_listening(fleet: launch.Process) -> list[dict[str, typing.Any]]:
        """Return the ``listening`` events of the workers."""
        return [e for e in fleet.events if e['event'] == 'listening']

    def is_ready(self) -> bool:
        """Return whether the gateway is ready."""
        try:
            return self.call('fans', 'GET', '/readyz').status == 200
        except ConnectionRefusedError:
            return False

    def call(
        self, account: str, method: str, path: str, body: object = None
    ) -> launch.Answer:
        """Call the gateway as a client account."""
        address = self.cluster.addresses_by_name['gateway']
        token = TOKENS_BY_ACCOUNT[account]
        return launch.call(address, method, path, body, token)

    def submit(
        self,
        account: str,
        members: int,
        accelerators: int,
        priority: str,
        name: str,
    ) -> str:
        """Submit a job that runs until it is stopped."""
        spec = {
            'name': name,
            'members': members,
            'accelerators': accelerators,
            'priority': priority,
            'checkpointable': priority == 'borrowed',
            'command': ['sleep', '3600'],
        }
        created = self.call(account, 'POST', '/v1/jobs', spec)
        assert created.status == 201, created
        return str(created.json()['id'])

    def list_running(self) -> dict[tuple[str, int], float]:
        """Return the start times of the running tasks by job id and member."""
        entries = [
            entry
            for address in self.worker_addresses
            for entry in launch.call(address, 'GET', '/admin/history').json()
        ]
        entries.sort(key=lambda entry: entry['at'])
        started: dict[tuple[str, int], float] = {}
        for entry in entries:
            key = (entry['job'], entry['member'])
            if entry['state'] == 'running':
                started[key] = entry['at']
            else:
                started.pop(key, None)
        return started

    def is_full(self) -> bool:
        """Return whether as many tasks run as there are borrowed jobs."""
        return len(self.list_running()) == BORROWED_JOBS

    def sample(self, members: int, number: int) -> float:
        """Return the seconds from submission to the last member's start."""
        before = time.monotonic()
        job_id = self.submit('merch', members, 8, 'urgent', f'urgent-{number}')

        def all_run() -> list[float] | None:
            starts = [
                at
                for (job, _), at in self.list_running().items()
                if job == job_id
            ]
            return starts if len(starts) == members else None

        starts = launch.wait_for(all_run, 'the urgent gang runs', 30.0)
        self.call('merch', 'DELETE', f'/v1/jobs/{job_id}')
        launch.wait_for(
            self.is_full, 'borrowed work fills the cluster again', 60.0
        )
        return float(max(starts) - before)


def main() -> None:
    """Take the samples and print their percentiles."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--samples', type=int, default=60)
    parser.add_argument('--members', type=int, default=4)
    parser.add_argument('--checkpoint-s', type=float, default=0.0)
    parsed = parser.parse_args()
    with launch.Cluster(['a']) as cluster:
        measurement = Measurement(cluster)
        measurement.start()
        measurement.set_checkpoint_time(parsed.checkpoint_s)
        samples = sorted(
            measurement.sample(parsed.members, number)
            for number in range(parsed.samples)
        )
    percentiles = statistics.quantiles(samples, n=100, method='inclusive')
    print(
        f'{len(samples)} gangs of {parsed.members}x8, '
        f'checkpoints of {parsed.checkpoint_s:g} s: '
        f'p50 {percentiles[49]:.3f} s, p99 {percentiles[98]:.3f} s, '
        f'max {samples[-1]:.3f} s'
    )


if __name__ == '__main__':
    main()
