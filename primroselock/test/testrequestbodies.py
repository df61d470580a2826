"""Bodies of requests that are larger than allowed."""

import typing
import unittest
from unittest import mock

import result

from primroselock import intake
from primroselock import metrics
from primroselock.platform import clientapi
from primroselock.test import fleetbuilders

_LIMIT = 1000
_PART = b'x' * 300
_MOST_PARTS = 4
"""So many parts of a body show that it is too large."""


class SubmissionTest(unittest.IsolatedAsyncioTestCase):
    """The body of a job, as its parts arrive."""

    async def asyncSetUp(self) -> None:
        self.parts_read = 0
        job_intake = mock.Mock(spec=intake.Intake)
        job_intake.max_body_bytes = _LIMIT
        access = intake.Access(fleetbuilders.BULK, 'signs')
        job_intake.admit.return_value = result.Ok(access)
        self.api = clientapi.ClientApi(
            fleetbuilders.build_node_settings(), job_intake, metrics.Metrics()
        )

    async def _submit(
        self, *headers: tuple[bytes, bytes]
    ) -> tuple[int, dict[bytes, bytes]]:
        """Send a body without end; return the status and the headers."""
        sent: list[dict[str, typing.Any]] = []

        async def receive() -> dict[str, typing.Any]:
            self.parts_read += 1
            if self.parts_read > 10 * _MOST_PARTS:
                raise AssertionError('it reads on')
            return {'type': 'http.request', 'body': _PART, 'more_body': True}

        async def send(message: dict[str, typing.Any]) -> None:
            sent.append(message)

        scope = {
            'type': 'http',
            'method': 'POST',
            'path': '/bulk/0a',
            'query_string': b'',
            'headers': [(b'host', b'host'), *headers],
            'server': ('host', 80),
            'scheme': 'http',
        }
        await self.api(scope, receive, send)
        return sent[0]['status'], dict(sent[0]['headers'])

    async def test_a_body_without_a_length(self) -> None:
        """Guards against callers that fill a node's memory."""
        status, headers = await self._submit()
        self.assertEqual(413, status)
        self.assertEqual(_MOST_PARTS, self.parts_read)
        self.assertEqual(b'close', headers[b'connection'])

    async def test_a_declared_length(self) -> None:
        """Guards against a body that is read though its length is known."""
        for length in (b'1001', b'1' + b'0' * 40):
            with self.subTest(length=length):
                self.parts_read = 0
                status, headers = await self._submit(
                    (b'content-length', length)
                )
                self.assertEqual((413, 0), (status, self.parts_read))
                self.assertEqual(b'close', headers[b'connection'])


if __name__ == '__main__':
    unittest.main()
