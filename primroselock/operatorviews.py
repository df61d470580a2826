"""What a node tells operators at its metrics address.

``/v1/operators/accounts`` and ``/v1/jobs/ID`` are answered by the node that
holds the shard, as JSON; the client reads them.  What is below
``/v1/operators/explain/jobs`` is answered by ``explaincalls``.  Any other path
gets the metrics as text.  It is read-only and exposes no secrets.
"""

from collections import abc
import typing

from starlette import requests
from starlette import responses

from primroselock import accountviews
from primroselock import answers
from primroselock import clock
from primroselock import explaincalls

_ACCOUNTS_PATH: typing.Final = '/v1/operators/accounts'
_JOB_PREFIX: typing.Final = '/v1/jobs/'


class Source(typing.Protocol):
    """The holder of the shard, or a standby that knows neither."""

    def list_accounts(
        self, now: float
    ) -> list[accountviews.AccountUsage] | None:
        """Return what may run of the accounts; None if others decide."""

    def find_job(self, job_id: str, now: float) -> accountviews.JobView | None:
        """Return a job that has not ended; None if it is not known here."""


class OperatorViews:
    """The application at the metrics address."""

    def __init__(
        self,
        source: Source,
        render_metrics: abc.Callable[[], str],
        explain_calls: explaincalls.ExplainCalls | None = None,
    ) -> None:
        self._source = source
        self._render_metrics = render_metrics
        self._explain_calls = explain_calls

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one call."""
        path = scope.get('path', '')
        if self._explain_calls and _is_explanation(path):
            request = requests.Request(scope, receive)
            response = await self._explain_calls.answer(request)
        else:
            response = self._respond(path)
        await response(scope, receive, send)

    def _respond(self, path: str) -> responses.Response:
        now = clock.monotonic()
        if path == _ACCOUNTS_PATH:
            accounts = self._source.list_accounts(now)
            if accounts is None:
                return _not_holder()
            return answers.json_response(accounts)
        if path.startswith(_JOB_PREFIX):
            return self._show_job(path.removeprefix(_JOB_PREFIX), now)
        return responses.Response(
            self._render_metrics(), media_type='text/plain'
        )

    def _show_job(self, job_id: str, now: float) -> responses.Response:
        if self._source.list_accounts(now) is None:
            return _not_holder()
        job = self._source.find_job(job_id, now)
        if job is None:
            return answers.error(404, 'job', 'no job that has not ended')
        return answers.json_response(job)


def _is_explanation(path: str) -> bool:
    return path == explaincalls.PATH or path.startswith(
        f'{explaincalls.PATH}/'
    )


def _not_holder() -> responses.Response:
    return answers.error(
        503, 'holder', 'this node does not hold the shard; ask the others'
    )
