"""HTTP status port of a scheduler: health, status and metrics.

Beacons cannot carry the status, since their size is bounded; a port has
no cost while it receives no requests.  It is read-only and exposes no secrets.
Explanations of jobs want an operator's token.
"""

from collections import abc
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing as paths

from primroselock import answers
from primroselock import daemon
from primroselock import schedulerexplanations

Describe = abc.Callable[[], dict[str, typing.Any]]
"""Returns the JSON object of ``/v1/status``."""


class StatusPort:
    """Serves the result of ``describe`` and the daemon's metrics."""

    def __init__(
        self,
        shared: daemon.Daemon,
        describe: Describe,
        explanations: schedulerexplanations.SchedulerExplanations,
    ) -> None:
        self._shared = shared
        self._describe = describe
        self._explanations = explanations

    def build_app(self) -> applications.Starlette:
        """Return the application of the port."""
        return applications.Starlette(
            routes=[
                paths.Route('/healthz', self._health),
                paths.Route('/v1/status', self._status),
                paths.Route('/v1/metrics', self._metrics),
                *self._explanations.build_routes(),
            ]
        )

    async def _health(self, request: requests.Request) -> responses.Response:
        return answers.json_response({'state': 'live'})

    async def _status(self, request: requests.Request) -> responses.Response:
        return answers.json_response(self._describe())

    async def _metrics(self, request: requests.Request) -> responses.Response:
        return answers.json_response(self._shared.metrics.snapshot())
