"""Operators' calls at a scheduler that ask where a job would go now.

The holder of the shard answers; gateways know its address by its beacon.
"""

import enum
import typing

import result
from starlette import requests
from starlette import responses
from starlette import routing as paths

from primroselock import answers
from primroselock import clock
from primroselock import daemon
from primroselock.decisions.explaining import records
from primroselock import jobs
from primroselock import operatorcalls

PATH: typing.Final = '/v1/operators/explain/jobs'
_RETRY_AFTER_S: typing.Final = 1.0


class Problem(enum.Enum):
    """Why there is no explanation: code and message."""

    NOT_HOLDER = ('holder', 'this scheduler does not hold the shard')
    READING = ('reading', 'this scheduler still reads the jobs of the shard')
    BUSY = ('busy', 'explains another job, or did so just now')
    NOT_KNOWN = ('job', 'no job that has not ended')


class Source(typing.Protocol):
    """The holder of a shard, or a standby."""

    def explain(
        self, job: str | jobs.Job, now: float
    ) -> result.Result[records.Answer, Problem]:
        """Explain a job, by its id, or one that is not sent."""


class SchedulerExplanations:
    """Answers ``GET PATH/ID``, and ``POST PATH`` with a job's record."""

    def __init__(self, shared: daemon.Daemon, source: Source) -> None:
        self._settings = shared.settings
        self._source = source

    def build_routes(self) -> list[paths.Route]:
        """Return the routes; both want an operator's token."""
        return [
            paths.Route(
                path,
                operatorcalls.require_operator(self._settings, handle),
                methods=[method],
            )
            for method, path, handle in (
                ('GET', f'{PATH}/{{job_id}}', self._show),
                ('POST', PATH, self._ask),
            )
        ]

    async def _show(self, request: requests.Request) -> responses.Response:
        return self._answer(request.path_params['job_id'])

    async def _ask(self, request: requests.Request) -> responses.Response:
        return self._answer(await operatorcalls.decode_body(request, jobs.Job))

    def _answer(self, job: str | jobs.Job) -> responses.Response:
        explained = self._source.explain(job, clock.monotonic())
        if isinstance(explained, result.Ok):
            return answers.json_response(explained.ok_value)
        code, message = explained.err_value.value
        if explained.err_value is Problem.NOT_KNOWN:
            return answers.error(404, code, message)
        return answers.error(503, code, message, retry_after_s=_RETRY_AFTER_S)
