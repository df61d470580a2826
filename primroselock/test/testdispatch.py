"""The dispatcher: what becomes of a request that is sent more than once."""

import typing
import unittest
from unittest import mock

import result

from primroselock import clock
from primroselock import configuration
from primroselock import dispatch
from primroselock import ejection
from primroselock import httpclient
from primroselock import retrybudget

_RETRIES: typing.Final = 3
_LOST: typing.Final = result.Err(httpclient.ResponseLost('cut'))
_NOT_SENT: typing.Final = result.Err(httpclient.NotSent('no connection'))
_REFUSED: typing.Final = result.Ok(
    httpclient.Response(503, b'', {dispatch.NOT_STARTED_HEADER: 'full'})
)


class RepeatedRequestTest(unittest.IsolatedAsyncioTestCase):
    """A request without an answer is sent again, and then certainly not run.

    The first attempt may have run all the same.
    """

    async def send(self, *answers: typing.Any) -> dispatch.Outcome:
        """Send an idempotent request; each upstream has one answer."""
        upstreams = [
            mock.Mock(
                pool=mock.Mock(exchange=mock.AsyncMock(return_value=answer)),
                health=ejection.HEALTHY,
                vm=mock.Mock(id=f'vm-{number}'),
            )
            for number, answer in enumerate(answers)
        ]
        router = mock.Mock()
        router.choose.side_effect = [*upstreams, None, None, None]
        router.has_available_upstream.return_value = False
        dispatcher = dispatch.Dispatcher(mock.Mock(), router)
        budget = retrybudget.RetryBudget(_RETRIES, _RETRIES)
        dispatcher._state('quotes').budget = budget
        service = mock.Mock(spec=configuration.Service)
        service.name = 'quotes'
        account = mock.Mock(spec=configuration.Account, weight=1)
        account.name = 'signs'
        outcome = await dispatcher.send(
            dispatch.PendingRequest(
                service,
                account,
                httpclient.Request('POST', '/a'),
                True,
                clock.monotonic() + 5.0,
            )
        )
        for upstream in upstreams:
            upstream.pool.exchange.assert_awaited_once()
        return outcome

    async def test_a_lost_answer_stays_unknown(self) -> None:
        """Guards against 'not run' for a request whose first attempt ran."""
        for answers in (
            [_LOST],
            [_LOST, _REFUSED],
            [_LOST, _NOT_SENT],
            [_LOST, _REFUSED, _NOT_SENT],
            [_NOT_SENT, _LOST],
            [_REFUSED, _LOST, _REFUSED],
        ):
            outcome = await self.send(*answers)
            self.assertIsInstance(outcome, dispatch.Unknown, answers)

    async def test_what_never_ran_is_not_run(self) -> None:
        outcome = await self.send(_NOT_SENT, _REFUSED, _NOT_SENT)
        self.assertIsInstance(outcome, dispatch.NotRun)


if __name__ == '__main__':
    unittest.main()
