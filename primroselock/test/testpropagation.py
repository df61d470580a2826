"""Propagation of patches and zone states, over real processes.

Guards against a process that misses a patch when its zone is partitioned
from the platform, against lost or repeated submissions, and against tasks that
start in a zone after it was taken out of service.
"""

from concurrent import futures
import functools
import hashlib
import signal
import time
import typing
import unittest

import zmq

from standins import launch

TOKEN: typing.Final = 'signs-token'
PATCH: typing.Final = f"""
[zone a]
racks = 1
[zone b]
racks = 1
[account signs]
token_digests = {hashlib.sha256(TOKEN.encode()).hexdigest()}
guarantee.b = 8:1
"""
IN_FORCE_TARGET_S: typing.Final = 3.0
START_PERMIT_TTL_S: typing.Final = 1.0
"""As set in ``CONFIGURATION``; no start may follow ``out`` by more."""

CONFIGURATION: typing.Final = {
    'start_permit_ttl_s': str(START_PERMIT_TTL_S),
    'poll_interval_s': '0.25',
    'cold_start_wait_s': '1.0',
}
Settings = dict[str, dict[str, str]]


def build_keys() -> Settings:
    """Return settings with a new mesh key pair."""
    public_key, secret_key = zmq.curve_keypair()
    keys = {'public_key': public_key, 'secret_key': secret_key}
    mesh = {name: key.decode() for name, key in keys.items()}
    return {'mesh': mesh}


class ClusterTest(unittest.TestCase):
    """A platform with two zones; subclasses start other processes."""

    def setUp(self) -> None:
        self.cluster = launch.Cluster(['a', 'b'])
        self.addCleanup(self.cluster.close)
        self.cluster.start_platform()

    def get(self, gateway: str, path: str) -> typing.Any:
        """Return the decoded answer of a gateway to an operator's GET."""
        address = self.cluster.addresses_by_name[gateway]
        return launch.call(
            address, 'GET', path, token=launch.OPERATOR_TOKEN
        ).json()

    def is_ready(self, gateway: str) -> bool:
        """Return whether a load balancer may use a gateway."""
        address = self.cluster.addresses_by_name[gateway]
        return launch.call(address, 'GET', '/readyz').status == 200

    def start_gateway(self, name: str, zone: str, **mesh: str) -> None:
        """Start a gateway and wait until it is ready."""
        settings = {'mesh': mesh, 'configuration': CONFIGURATION}
        self.cluster.start_daemon(name, 'gateway', zone, settings)
        launch.wait_for(
            functools.partial(self.is_ready, name), f'{name} is ready'
        )

    def patch(self, gateway: str, text: str) -> int:
        """Submit a patch and return its version."""
        accepted = self.cluster.submit_patch(gateway, text)
        self.assertEqual(201, accepted.status, accepted)
        version: int = accepted.json()['version']
        return version

    def states(self, gateway: str, version: int) -> dict[str, str]:
        """Return the confirmation state of each process, by VM id."""
        path = f'/v1/config/confirmations?version={version}'
        answer = self.get(gateway, path)
        return {p['vm_id']: p['state'] for p in answer['processes']}


class RelayTest(ClusterTest):
    """Peers pass the configuration on while the platform is unreachable.

    Guards against a zone without the platform that misses a patch or
    loses its start permit, and against processes that cannot start there.
    """

    def test_zone_without_platform_and_cold_start(self) -> None:
        self.start_gateway('gateway-a', 'a')
        self.start_gateway('gateway-b', 'b')
        launch.wait_for(
            lambda: (
                self.states('gateway-a', 0).get('gateway-b') == 'confirmed'
            ),
            'the gateways receive beacons from each other',
        )
        self.cluster.set_fault('b', 'down')
        version = self.patch('gateway-a', PATCH)
        launch.wait_for(
            lambda: (
                self.states('gateway-a', version)['gateway-b'] == 'confirmed'
            ),
            'the gateway in zone b has the patch',
            IN_FORCE_TARGET_S,
        )
        # Peers keep its confirmation recent, so its permit is valid.
        time.sleep(2 * START_PERMIT_TTL_S)
        status = self.get('gateway-b', '/v1/status')
        self.assertEqual('peer', status['config_source'])
        self.assertLess(status['config_age_s'], START_PERMIT_TTL_S)
        self.check_cold_starts(version)

    def check_cold_starts(self, version: int) -> None:
        """Start gateways that can query one peer and not the platform."""
        peer = self.cluster.mesh_by_name['gateway-a']
        self.start_gateway('gateway-b2', 'b', peers=peer)
        status = self.get('gateway-b2', '/v1/status')
        self.assertEqual(version, status['config_version'])
        self.assertLess(status['config_age_s'], START_PERMIT_TTL_S)
        self.cluster.set_fault('a', 'down')
        launch.wait_for(
            lambda: (
                self.get('gateway-a', '/v1/status')['config_age_s']
                > START_PERMIT_TTL_S
            ),
            "gateway-a's confirmation is old",
        )
        self.start_gateway('gateway-b3', 'b', peers=peer)
        status = self.get('gateway-b3', '/v1/status')
        self.assertEqual(version, status['config_version'])
        self.assertGreater(status['config_age_s'], START_PERMIT_TTL_S)


class OperatorsTest(ClusterTest):
    """Concurrent patches on two gateways while replies of the table are lost.

    Guards against two accepted patches on one base version and against a
    repeated submission that is applied twice.
    """

    def submit(
        self, gateway: str, base: int, submission_id: str
    ) -> launch.Answer:
        """Submit a patch under a submission id."""
        body = {
            'base_version': base,
            'text': f'[zone {submission_id}]\n',
            'submission_id': submission_id,
        }
        address = self.cluster.addresses_by_name[gateway]
        path = '/v1/config/patches'
        return launch.call(address, 'POST', path, body, launch.OPERATOR_TOKEN)

    def test_races_lost_replies_and_repeats(self) -> None:
        gateways = ('gateway-a', 'gateway-b')
        for gateway in gateways:
            self.start_gateway(gateway, gateway[-1])
        with futures.ThreadPoolExecutor() as pool:
            for base in range(5):
                names = [f'p{base}-{gateway}' for gateway in gateways]
                self.cluster.set_fault('a', 'lose_reply', count=1)
                answers = list(
                    pool.map(self.submit, gateways, [base] * 2, names)
                )
                statuses = sorted(answer.status for answer in answers)
                self.assertEqual([201, 409], statuses, answers)
                winner = names[answers[0].status == 409]
                for gateway in gateways:
                    again = self.submit(gateway, base, winner)
                    self.assertEqual(201, again.status, again)
                    self.assertEqual(base + 1, again.json()['version'])
        log = self.get('gateway-b', '/v1/config/patches')
        self.assertEqual([1, 2, 3, 4, 5], [row['version'] for row in log])


class ZoneOutTest(ClusterTest):
    """No task starts in a zone that is out of service past the permit's end.

    The permit to start tasks is valid for ``START_PERMIT_TTL_S`` after the
    last confirmation of the configuration.
    """

    def test_no_start_after_partition_pause_and_delay(self) -> None:
        self.cluster.start_worker('worker-b', 'b', 'rack-b', 0)
        self.start_gateway('gateway-a', 'a')
        # With a key of its own, no peer can reach the scheduler.
        settings = {
            **build_keys(),
            'configuration': CONFIGURATION,
            'scheduler': {'heartbeat_interval_s': '0.1'},
        }
        scheduler = self.cluster.start_daemon(
            'scheduler-b', 'scheduler', 'b', settings
        )
        self.patch('gateway-a', PATCH)
        launch.wait_for(
            lambda: self.states('gateway-a', 0).get('scheduler-b') == 'silent',
            'no beacon of a process with another key is received',
        )
        for pause_ttls in (0.5, 1.5):
            with self.subTest(pause_ttls=pause_ttls):
                self.check_zone_out(scheduler, pause_ttls * START_PERMIT_TTL_S)

    def check_zone_out(
        self, scheduler: launch.Process, pause_s: float
    ) -> None:
        """Take the zone out of service while its scheduler cannot read that.

        The scheduler's writes succeed, so that only the expiry of its
        permit can end its starts.  Its process is paused for ``pause_s``
        and resumed, and the worker's reports are lost until later.
        """
        self.patch('gateway-a', '[zone b]\nstate = in\n')
        started = len(self.starts())
        for _ in range(40):
            self.submit_job()
        launch.wait_for(
            lambda: len(self.starts()) > started + 2, 'tasks start in b'
        )
        self.cluster.set_fault('b', 'reads_down')
        self.patch('gateway-a', '[zone b]\nstate = out\n')
        out_at = time.monotonic()
        scheduler.send_signal(signal.SIGSTOP)
        self.lose_reports(True)
        time.sleep(pause_s)
        scheduler.send_signal(signal.SIGCONT)
        time.sleep(START_PERMIT_TTL_S / 4)
        self.lose_reports(False)
        time.sleep(2 * START_PERMIT_TTL_S)
        late = [at for at in self.starts() if at > out_at + START_PERMIT_TTL_S]
        self.cluster.set_fault('b', 'none')
        self.assertEqual([], late)

    def submit_job(self) -> None:
        """Submit a job that uses all accelerators for 0.1 s."""
        spec = {
            'name': 'proof',
            'accelerators': 8,
            'command': ['sleep', '0.1'],
        }
        address = self.cluster.addresses_by_name['gateway-a']
        launch.call(address, 'POST', '/v1/jobs', spec, TOKEN)

    def starts(self) -> list[float]:
        """Return when tasks started, in seconds of the monotonic clock."""
        address = self.cluster.addresses_by_name['worker-b']
        history = launch.call(address, 'GET', '/admin/history').json()
        return [e['at'] for e in history if e['state'] == 'running']

    def lose_reports(self, lose: bool) -> None:
        """Set whether the worker's answers are lost."""
        address = self.cluster.addresses_by_name['worker-b']
        launch.call(address, 'POST', '/admin/faults', {'lose_reply': lose})


if __name__ == '__main__':
    unittest.main()
