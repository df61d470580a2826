"""The HTTP client: what it calls not sent never reaches the peer."""

import asyncio
import gc
import typing
import unittest
from unittest import mock

from primroselock import httpclient
from primroselock import httpconnections
from primroselock.test import scriptedpeer

_LONG_TIMEOUT_S: typing.Final = 60.0
"""Must not pass by itself: each exchange is timed out by the test."""

_MAX_STEPS: typing.Final = 500
_LOST_STEPS: typing.Final = 10
"""Steps after the first at which the request was sent."""


class TimeoutAtEachStepTest(unittest.IsolatedAsyncioTestCase):
    """An exchange times out at each step of the event loop.

    Guards against a request that is written after it was called not sent: a
    start would be counted as impossible and carried out.
    """

    @classmethod
    def tearDownClass(cls) -> None:
        # Tasks of the library are left whose exceptions nobody retrieves.
        # Collected while a later test parses source code, they make CPython
        # 3.11 fail: "AST constructor recursion depth mismatch".
        gc.collect()

    async def asyncSetUp(self) -> None:
        self.peer = scriptedpeer.Peer()
        self.address = await self.peer.start()
        self.addAsyncCleanup(self.peer.stop)

    async def time_out(
        self, pool: httpclient.ConnectionPool, path: str, steps: int
    ) -> httpclient.ExchangeError:
        """Return the error of an exchange that times out after ``steps``."""
        limits: list[asyncio.Timeout] = []
        create = asyncio.timeout

        def limit(delay_s: float | None) -> asyncio.Timeout:
            limits.append(create(delay_s))
            return limits[-1]

        request = httpclient.Request('POST', path, b'body')
        with mock.patch.object(asyncio, 'timeout', limit):
            task = asyncio.create_task(pool.exchange(request, _LONG_TIMEOUT_S))
            # The first bounds the wait for a connection.
            while len(limits) < 2 or limits[1].when() is None:
                await asyncio.sleep(0)
            for _ in range(steps):
                await asyncio.sleep(0)
            limits[1].reschedule(asyncio.get_running_loop().time())
            return (await task).unwrap_err()

    async def count_not_sent(self) -> int:
        """Return how many exchanges were not sent; check that all were not."""
        not_sent = lost = 0
        for steps in range(_MAX_STEPS):
            pool = httpclient.ConnectionPool(self.address, 1)
            path = f'/{steps}'
            error = await self.time_out(pool, path, steps)
            await asyncio.sleep(0.002)
            if isinstance(error, httpclient.NotSent):
                self.assertNotIn(path, self.peer.seen)
                not_sent += 1
            else:
                lost += 1
            await pool.aclose()
            if lost >= _LOST_STEPS:
                return not_sent
        self.fail(f'no exchange was sent within {_MAX_STEPS} steps')

    async def test_a_new_connection(self) -> None:
        with mock.patch.object(httpconnections, '_LIBRARY_MARGIN_S', 0.0):
            self.assertGreater(await self.count_not_sent(), 0)


if __name__ == '__main__':
    unittest.main()
