"""The whole path over real processes and sockets."""

import functools
import hashlib
import os
import subprocess
import sys
import unittest

from standins import launch

TOKEN = 'signs-token'
PATCH = f"""
[zone a]
racks = 1
[zone b]
racks = 1
[account signs]
token_digests = {hashlib.sha256(TOKEN.encode()).hexdigest()}
guarantee.a = 8:2
[service quote-desk]
slots = 8
"""


class WholePathTest(unittest.TestCase):
    """Patch, request and job through two gateways and two schedulers."""

    cluster: launch.Cluster

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = launch.Cluster(['a', 'b'])
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start_platform()
        for zone in cls.cluster.zones:
            for slot in range(2):
                cls.cluster.start_worker(
                    f'worker-{zone}-{slot}', zone, f'rack-{zone}', slot
                )
            cls.cluster.start_upstream(f'up-{zone}', zone, 'quote-desk')
            cls.cluster.start_daemon(f'gateway-{zone}', 'gateway', zone)
            cls.cluster.start_daemon(f'scheduler-{zone}', 'scheduler', zone)
        launch.wait_for(
            lambda: cls.call('gateway-a', 'GET', '/readyz').status == 200,
            'gateway-a is ready',
        )
        accepted = cls.cluster.submit_patch('gateway-a', PATCH)
        assert accepted.status == 201, accepted
        for gateway in ('gateway-a', 'gateway-b'):
            launch.wait_for(
                functools.partial(cls.has_version_1, gateway),
                f'{gateway} has version 1',
            )

    @classmethod
    def call(
        cls,
        gateway: str,
        method: str,
        path: str,
        body: object = None,
        token: str = TOKEN,
    ) -> launch.Answer:
        """Call a gateway as a caller."""
        address = cls.cluster.addresses_by_name[gateway]
        return launch.call(address, method, path, body, token)

    @classmethod
    def has_version_1(cls, gateway: str) -> bool:
        """Whether a gateway has the first version in force."""
        status = cls.call(gateway, 'GET', '/v1/status').json()
        return bool(status['config_version'] == 1)

    def test_request_reaches_upstream_and_comes_back_whole(self) -> None:
        body = os.urandom(100_000).hex().encode()

        def answered() -> launch.Answer | None:
            answer = self.call(
                'gateway-b', 'POST', '/v1/services/quote-desk/reprice', body
            )
            return answer if answer.status != 503 else None

        answer = launch.wait_for(answered, 'an upstream is listed')
        self.assertEqual(200, answer.status)
        self.assertEqual('done', answer.headers['primroselock-outcome'])
        self.assertEqual(body, answer.body)

    def test_gang_runs_and_is_done(self) -> None:
        spec = {
            'name': 'proof',
            'members': 2,
            'accelerators': 4,
            'command': ['sleep', '0.5'],
        }
        created = self.call('gateway-a', 'POST', '/v1/jobs', spec)
        self.assertEqual(201, created.status, created)
        path = f'/v1/jobs/{created.json()["id"]}'

        def ended() -> dict[str, object] | None:
            job: dict[str, object] = self.call('gateway-b', 'GET', path).json()
            return job if job['state'] not in ('waiting', 'running') else None

        job = launch.wait_for(ended, 'the job ends')
        self.assertEqual('done', job['state'])
        self.assertEqual(1, job['attempts'])

    def test_job_of_another_account_is_not_found(self) -> None:
        answer = self.call(
            'gateway-a', 'GET', '/v1/jobs/none', token='someone'
        )
        self.assertEqual(401, answer.status)

    def test_client_prints_status(self) -> None:
        environment = dict(os.environ)
        environment['PRIMROSELOCK_TOKEN'] = launch.OPERATOR_TOKEN
        address = self.cluster.addresses_by_name['gateway-a']
        done = subprocess.run(
            [
                sys.executable,
                '-m',
                'primroselock',
                'patch',
                'show',
                '--gateway',
                address,
            ],
            capture_output=True,
            text=True,
            env=environment,
            check=False,
        )
        self.assertEqual(0, done.returncode, done.stderr)
        self.assertIn('[service quote-desk]', done.stdout)


if __name__ == '__main__':
    unittest.main()
