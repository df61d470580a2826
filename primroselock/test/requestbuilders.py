"""Processes and calls of the tests that compare answers with runs.

Real processes are started.  Each body is unique, so that an answer
identifies its request and the upstreams' records show how often the request
ran.
"""

from concurrent import futures
import functools
import hashlib
import itertools
import typing
import unittest

from standins import launch

TOKEN: typing.Final = 'signs-token'
_PATCH: typing.Final = f"""
[account signs]
token_digests = {hashlib.sha256(TOKEN.encode()).hexdigest()}
[account merch]
token_digests = {hashlib.sha256(b'merch-token').hexdigest()}
[service quote-desk]
slots = 8
connections = 64
max_body_bytes = 3000
max_answer_bytes = 2000
"""
PATH: typing.Final = '/v1/services/quote-desk/reprice'
_QUICK_SHUTDOWN: typing.Final = {'gateway': {'leaving_delay_s': '0.5'}}
UPSTREAMS: typing.Final = ('up-a1', 'up-a2', 'up-b')


class RequestsCase(unittest.TestCase):
    """Two upstreams in zone a and one in zone b; tests start gateways."""

    cluster: launch.Cluster
    numbers = itertools.count()

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = launch.Cluster(['a', 'b'])
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start_platform()
        for name in UPSTREAMS:
            zone = name.split('-')[1][0]
            cls.cluster.start_upstream(name, zone, 'quote-desk')
        cls.start_gateway('first')
        launch.wait_for(
            lambda: cls.get('first', '/readyz').status == 200,
            'the first gateway is ready',
        )
        accepted = cls.cluster.submit_patch('first', _PATCH)
        assert accepted.status == 201, accepted
        cls.wait_ready('first')

    @classmethod
    def start_gateway(cls, name: str, zone: str = 'a') -> launch.Process:
        """Start a gateway with a short delay before shutdown."""
        return cls.cluster.start_daemon(name, 'gateway', zone, _QUICK_SHUTDOWN)

    @classmethod
    def get(cls, gateway: str, path: str) -> launch.Answer:
        """Return a gateway's answer to a GET without a token."""
        address = cls.cluster.addresses_by_name[gateway]
        return launch.call(address, 'GET', path)

    @classmethod
    def wait_ready(cls, gateway: str) -> None:
        """Wait until a gateway forwards requests."""

        launch.wait_for(
            lambda: cls.send(gateway, cls.new_body()).status == 200,
            f'{gateway} forwards requests',
        )

    @classmethod
    def new_body(cls) -> bytes:
        """Return a body that no other request uses."""
        return f'body-{next(cls.numbers)}'.encode()

    @classmethod
    def send(
        cls,
        gateway: str,
        body: bytes,
        delay_s: float = 0.0,
        **headers: str,
    ) -> launch.Answer:
        """Send a request; underscores in names of headers become dashes."""
        dashed = {key.replace('_', '-'): headers[key] for key in headers}
        address = cls.cluster.addresses_by_name[gateway]
        path = f'{PATH}?delay_s={delay_s}'
        return launch.call(address, 'POST', path, body, TOKEN, dashed)

    def setUp(self) -> None:
        self.pool = futures.ThreadPoolExecutor(16)
        self.addCleanup(self.pool.shutdown)
        for zone in ('a', 'b'):
            self.addCleanup(self.cluster.set_fault, zone, 'none')

    def begin(
        self, gateway: str, body: bytes, delay_s: float, **headers: str
    ) -> 'futures.Future[launch.Answer]':
        """Send in the background; return once it runs or is answered."""
        sent = self.pool.submit(
            functools.partial(self.send, gateway, body, delay_s, **headers)
        )
        launch.wait_for(
            lambda: self.count_runs(body) or sent.done(),
            'the request runs or is answered',
        )
        return sent

    def count_runs(self, body: bytes) -> int:
        """Return the number of runs of ``body`` on all upstreams."""
        return sum(self.list_runs(name).count(body) for name in UPSTREAMS)

    def list_runs(self, name: str) -> list[bytes]:
        """Return the bodies that an upstream ran."""
        address = self.cluster.addresses_by_name[name]
        shown = launch.call(address, 'GET', '/admin/runs').json()
        return [body.encode() for body in shown['runs']]

    def find_upstream(self, body: bytes) -> str:
        """Return the upstream that ran ``body``."""
        return next(n for n in UPSTREAMS if body in self.list_runs(n))

    def check_outcome(self, answer: launch.Answer, body: bytes) -> str:
        """Check an answer against the runs; return its outcome."""
        outcome = answer.headers['primroselock-outcome']
        runs = self.count_runs(body)
        self.assertLessEqual(runs, 1)
        if outcome == 'done':
            self.assertEqual((body, 1), (answer.body, runs))
        elif outcome == 'not-run':
            self.assertEqual(0, runs)
        return outcome
