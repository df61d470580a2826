"""The connection pool under exchanges that end in any order.

Guards against the answer of a cancelled request that is returned for the
next one on the same connection, and against ``NotSent`` for a request that
the peer received.  Each request has a path of its own, and its answer repeats
it.
"""

import asyncio
import typing
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import result

from primroselock import httpclient
from primroselock.test import scriptedpeer

_LIMIT: typing.Final = 3
_SHORT_TIMEOUT_S: typing.Final = 0.01
_LONG_TIMEOUT_S: typing.Final = 20.0
_SETTLE_ROUNDS: typing.Final = 20


class ConnectionPoolMachine(stateful.RuleBasedStateMachine):
    """Exchanges, cancellations, answers and truncations in any order."""

    exchanges = stateful.Bundle('exchanges')

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.peer = scriptedpeer.Peer()
        address = self.loop.run_until_complete(self.peer.start())
        self.pool = httpclient.ConnectionPool(address, _LIMIT)
        self.tasks_by_path: dict[str, asyncio.Task[typing.Any]] = {}
        self.answered: set[str] = set()

    def settle(self) -> None:
        """Run the event loop until sockets and tasks are idle."""

        async def rounds() -> None:
            for _ in range(_SETTLE_ROUNDS):
                await asyncio.sleep(0)
            await asyncio.sleep(0.001)

        self.loop.run_until_complete(rounds())

    @stateful.rule(target=exchanges, has_long_timeout=strategies.booleans())
    def start(self, has_long_timeout: bool) -> str:
        path = f'/{len(self.tasks_by_path)}'
        timeout_s = _LONG_TIMEOUT_S if has_long_timeout else _SHORT_TIMEOUT_S
        request = httpclient.Request('POST', path, b'x' * 10)
        self.tasks_by_path[path] = self.loop.create_task(
            self.pool.exchange(request, timeout_s)
        )
        self.settle()
        return path

    @stateful.rule(path=exchanges)
    def cancel(self, path: str) -> None:
        self.tasks_by_path[path].cancel()
        self.settle()

    @stateful.rule(path=exchanges)
    def answer(self, path: str) -> None:
        """Answer a request; a second time only on an idle connection.

        A surplus answer during another exchange can't be distinguished
        from that exchange's own: HTTP/1.1 answers carry no number.
        """
        writer = self.peer.writers_by_path.get(path)
        if writer is None or writer.is_closing():
            return
        is_busy = any(
            other is writer and other_path not in self.answered
            for other_path, other in self.peer.writers_by_path.items()
        )
        if path in self.answered and is_busy:
            return
        self.peer.answer(path)
        self.answered.add(path)
        self.settle()

    @stateful.rule(path=exchanges)
    def cut_answer(self, path: str) -> None:
        if path in self.peer.writers_by_path:
            data = b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n/'
            self.peer.send_raw(path, data)
            self.settle()

    @stateful.rule()
    def pass_time(self) -> None:
        self.loop.run_until_complete(asyncio.sleep(_SHORT_TIMEOUT_S * 1.5))
        self.settle()

    @stateful.invariant()
    def connections_stay_within_the_limit(self) -> None:
        assert self.pool.connection_count <= _LIMIT

    @stateful.invariant()
    def results_match_what_the_peer_received(self) -> None:
        for path, task in self.tasks_by_path.items():
            if not task.done() or task.cancelled():
                continue
            outcome = task.result()
            if isinstance(outcome, result.Ok):
                assert outcome.ok_value.body == path.encode(), (path, outcome)
            elif isinstance(outcome.err_value, httpclient.NotSent):
                assert path not in self.peer.seen, (path, outcome)

    def teardown(self) -> None:
        self.loop.run_until_complete(self.end())
        self.loop.close()

    async def end(self) -> None:
        """Cancel and close everything; no connection may stay open."""
        for task in self.tasks_by_path.values():
            task.cancel()
        await asyncio.gather(
            *self.tasks_by_path.values(), return_exceptions=True
        )
        await self.pool.aclose()
        await scriptedpeer.wait_until(lambda: self.pool.connection_count == 0)
        await self.peer.stop()
        await scriptedpeer.wait_until(lambda: self.peer.open_connections == 0)


ConnectionPoolMachineTest = ConnectionPoolMachine.TestCase
ConnectionPoolMachineTest.settings = hypothesis.settings(
    max_examples=20, stateful_step_count=25, deadline=None
)


if __name__ == '__main__':
    unittest.main()
