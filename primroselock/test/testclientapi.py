"""The API that a node offers to clients."""

import typing
import unittest
from unittest import mock

import msgspec
import result
from starlette import requests

from primroselock import intake
from primroselock import metrics
from primroselock.platform import clientapi
from primroselock import refusals
from primroselock.test import builders
from primroselock.test import fleetbuilders


class ClientApiTest(unittest.IsolatedAsyncioTestCase):
    """Calls of clients, and bodies that cannot be decoded."""

    async def asyncSetUp(self) -> None:
        self.intake = mock.Mock(spec=intake.Intake)
        self.intake.max_body_bytes = 1000
        access = intake.Access(fleetbuilders.BULK, 'signs')
        self.intake.admit.return_value = result.Ok(access)
        self.intake.submit = mock.AsyncMock(return_value=result.Ok(None))
        self.api = clientapi.ClientApi(
            fleetbuilders.build_node_settings(), self.intake, metrics.Metrics()
        )

    async def _call(self, method: str, path: str, body: bytes = b'') -> int:
        sent: list[dict[str, typing.Any]] = []

        async def receive() -> dict[str, typing.Any]:
            return {'type': 'http.request', 'body': body, 'more_body': False}

        async def send(message: dict[str, typing.Any]) -> None:
            sent.append(message)

        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'query_string': b'',
            'headers': [
                (b'host', b'host'),
                (b'authorization', b'Token k1'),
                (b'x-deadline-ms', b'2500'),
            ],
            'server': ('host', 80),
            'scheme': 'http',
        }
        await self.api(scope, receive, send)
        self.headers = dict(sent[0].get('headers', ()))
        status: int = sent[0]['status']
        return status

    async def test_a_job_is_built_from_its_body(self) -> None:
        body = msgspec.json.encode(
            {
                'spec': 'text',
                'phases': [
                    {'count': 4, 'cpu': 500, 'gpus': 1, 'est_runtime_ms': 9},
                    {'count': 2, 'gang': True, 'after': [0]},
                ],
            }
        )
        self.assertEqual(200, await self._call('POST', '/bulk/0a', body))
        graph = self.intake.submit.call_args.args[1]
        self.assertEqual('0a', graph.id)
        self.assertEqual((0,), graph.steps[1].after)
        self.assertEqual(1, graph.steps[0].need.accelerators)
        host, path, key, _ = self.intake.admit.call_args.args
        self.assertEqual(('host', '/bulk/0a', 'k1'), (host, path, key))

    async def test_bad_bodies_are_refused(self) -> None:
        bad = (b'', b'\xff', b'{}', b'{"spec": 3, "phases": []}')
        with mock.patch.object(
            clientapi, '_log', spec_set=builders.LOG_METHODS
        ):
            for body in bad:
                status = await self._call('POST', '/bulk/0a', body)
                self.assertEqual(400, status)
            self.assertEqual(400, await self._call('POST', '/bulk/a.b', b''))
            long = b' ' * 1001
            self.assertEqual(413, await self._call('POST', '/bulk/a', long))
        self.intake.submit.assert_not_called()

    async def test_more_steps_than_a_job_may_have_tasks(self) -> None:
        """They are refused before they become objects."""
        settings = fleetbuilders.build_node_settings()
        most = settings.fleet.max_job_tasks
        self.intake.max_body_bytes = 262_144
        braces = '{' * 4000
        with mock.patch.object(
            clientapi, '_log', spec_set=builders.LOG_METHODS
        ):
            for steps, end, expected in (
                (most, ']}', 200),
                (most + 1, ']}', 413),
                (most + 1, ']', 400),
            ):
                phases = ','.join(['{}'] * steps)
                body = f'{{"spec":"{braces}","phases":[{phases}{end}'.encode()
                status = await self._call('POST', '/bulk/0a', body)
                self.assertEqual(expected, status)
        self.intake.submit.assert_called_once()

    async def test_each_refusal_has_its_status(self) -> None:
        expected = {
            refusals.Reason.STALE: 503,
            refusals.Reason.UNKNOWN_QUEUE: 404,
            refusals.Reason.UNKNOWN_KEY: 401,
            refusals.Reason.UNKNOWN_JOB: 410,
            refusals.Reason.TOO_LARGE: 413,
            refusals.Reason.STORE_UNAVAILABLE: 503,
            refusals.Reason.BACKLOG: 429,
            refusals.Reason.OUTCOME_UNKNOWN: 504,
        }
        with mock.patch.object(
            clientapi, '_log', spec_set=builders.LOG_METHODS
        ):
            for reason, status in expected.items():
                refused = result.Err(refusals.Refused(reason, '', 1.0))
                self.intake.admit.return_value = refused
                self.assertEqual(status, await self._call('GET', '/bulk/0a'))
                self.assertEqual(b'1', self.headers[b'retry-after'])

    async def test_a_refused_submission_may_be_stored_already(self) -> None:
        """Guards against a 503 for an id that may be stored from before."""
        reasons = refusals.Reason
        stale = refusals.Refused(reasons.STALE, '', 1.0)
        self.intake.admit.return_value = result.Err(stale)
        self.intake.qualify_refusal.return_value = refusals.Refused(
            reasons.OUTCOME_UNKNOWN
        )
        with mock.patch.object(
            clientapi, '_log', spec_set=builders.LOG_METHODS
        ):
            self.assertEqual(504, await self._call('POST', '/bulk/0a'))
            self.intake.qualify_refusal.assert_called_once_with('0a', stale)
            self.assertEqual(503, await self._call('GET', '/bulk/0a'))

    def test_the_scheme_of_keys_is_checked(self) -> None:
        for value, key in ((b'Token k', 'k'), (b'Bearer k', ''), (b'', '')):
            scope = {'type': 'http', 'headers': [(b'authorization', value)]}
            self.assertEqual(key, clientapi._api_key(requests.Request(scope)))


if __name__ == '__main__':
    unittest.main()
