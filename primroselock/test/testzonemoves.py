"""Jobs move off a zone that is taken out of service; real processes."""

import typing
import unittest

from primroselock.test import testpropagation
from standins import launch


class ZoneMoveTest(testpropagation.ClusterTest):
    """A running and a waiting job of a zone that is taken out of service."""

    def setUp(self) -> None:
        super().setUp()
        self.start_gateway('gateway-a', 'a')
        settings = {'configuration': testpropagation.CONFIGURATION}
        for zone in self.cluster.zones:
            worker = f'worker-{zone}'
            self.cluster.start_worker(worker, zone, f'rack-{zone}', 0)
            self.cluster.start_daemon(
                f'scheduler-{zone}', 'scheduler', zone, settings
            )
        guarantee = '[account signs]\nguarantee.a = 8:1\nguarantee.b = unset'
        self.patch('gateway-a', testpropagation.PATCH)
        self.patch('gateway-a', guarantee)

    def call(
        self, method: str, path: str, body: typing.Any = None
    ) -> typing.Any:
        """Call the gateway with the token of an account; return the body."""
        address = self.cluster.addresses_by_name['gateway-a']
        return launch.call(
            address, method, path, body, testpropagation.TOKEN
        ).json()

    def submit(self, name: str, seconds: float) -> str:
        """Submit a job that fills a worker; return the path of its state."""
        job = self.call(
            'POST',
            '/v1/jobs',
            {
                'name': name,
                'accelerators': 8,
                'run_time_s': seconds,
                'command': ['sleep', str(seconds)],
                'checkpointable': True,
            },
        )
        self.assertEqual('a', job['shard'])
        return f'/v1/jobs/{job["id"]}'

    def wait_state(self, path: str, state: str) -> dict[str, typing.Any]:
        """Wait until a job is in ``state``; return its body."""

        def read_in_state() -> dict[str, typing.Any] | None:
            job: dict[str, typing.Any] = self.call('GET', path)
            return job if job['state'] == state else None

        job: dict[str, typing.Any] = launch.wait_for(
            read_in_state, f'{path} is {state}'
        )
        return job

    def test_running_and_waiting_jobs_move_and_end(self) -> None:
        """Guards against jobs that stay in a zone that is out of service.

        Each job must run in the other zone exactly once.
        """
        running = self.submit('first', 4.0)
        self.wait_state(running, 'running')
        waiting = self.submit('second', 0.2)
        launch.wait_for(
            lambda: 'waits' in self.call('GET', waiting)['reason'],
            'the job has a reason for waiting',
        )
        self.patch('gateway-a', '[zone a]\nstate = out\n')
        self.assertEqual('b', self.wait_state(waiting, 'done')['shard'])
        moved = self.wait_state(running, 'done')
        self.assertEqual('b', moved['shard'])
        self.assertEqual(2, moved['attempts'])
        address = self.cluster.addresses_by_name['worker-b']
        history = launch.call(address, 'GET', '/admin/history').json()
        started = [row['job'] for row in history if row['state'] == 'running']
        for path in (running, waiting):
            self.assertEqual(1, started.count(path.rpartition('/')[2]))


if __name__ == '__main__':
    unittest.main()
