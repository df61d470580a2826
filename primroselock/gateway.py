"""The gateway daemon: the HTTP API for callers and operators."""

import asyncio
import random
import typing

from starlette import applications
from starlette import exceptions
from starlette import requests
from starlette import responses
from starlette import routing as paths

from primroselock import answers
from primroselock import claims
from primroselock import clock
from primroselock import configapi
from primroselock import daemon
from primroselock import dispatch
from primroselock import groupcommit
from primroselock import httpserver
from primroselock import jobexplanations
from primroselock import jobsapi
from primroselock import keyedrequests
from primroselock import logs
from primroselock import operatorcalls
from primroselock import operatorsapi
from primroselock import options
from primroselock import requestexplanations
from primroselock import routing
from primroselock import servicesapi
from primroselock import sockets
from primroselock.store import keys
from primroselock import waits

_BACKLOG: typing.Final = 2048
"""Connections that may wait in the kernel to be accepted."""

_SWEEP_PAGE_ROWS: typing.Final = 1000
_SWEEP_PAGE_PAUSE_S: typing.Final = 0.5
_log: typing.Final = logs.get('gateway')


class StatusApi:
    """Health, readiness and status."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared

    async def health(self, request: requests.Request) -> responses.Response:
        """Report that the process is alive."""
        return answers.json_response({'state': 'live'})

    async def ready(self, request: requests.Request) -> responses.Response:
        """Report to the load balancer whether to send requests here."""
        if self._shared.stopping.is_set():
            return answers.error(503, 'leaving', 'this VM is shutting down')
        if not self._shared.follower.serving:
            return answers.error(
                503, 'starting', 'no configuration is loaded yet'
            )
        return answers.json_response({'state': 'ready'})

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Return the counters and percentiles of this process."""
        return answers.json_response(self._shared.metrics.snapshot())

    async def status(self, request: requests.Request) -> responses.Response:
        """Return this gateway's configuration, mesh and peer status."""
        now = clock.monotonic()
        follower = self._shared.follower
        version = follower.current.version
        known = self._shared.confirmations(version, now)
        return answers.json_response(
            {
                'vm_id': self._shared.settings.process.vm_id,
                'zone': self._shared.settings.process.zone,
                'config_version': version,
                'config_age_s': round(follower.age_s(now), 3),
                'config_source': follower.source,
                'mesh_bytes_sent': self._shared.mesh.sent_bytes,
                'mesh_bytes_received': self._shared.mesh.received_bytes,
                'zones': known.zones,
                'peers': known.processes,
            }
        )


def build_app(
    shared: daemon.Daemon,
    services: servicesapi.ServicesApi,
    request_explanations: requestexplanations.RequestExplanations,
) -> applications.Starlette:
    """Return the ASGI application with all its routes."""
    jobs_api = jobsapi.JobsApi(shared)
    config_api = configapi.ConfigApi(shared)
    operators_api = operatorsapi.OperatorsApi(shared)
    job_explanations = jobexplanations.JobExplanations(shared)
    status_api = StatusApi(shared)
    routes: list[tuple[str, str, operatorcalls.Handler]] = [
        ('POST', '/v1/services/{service}/{path:path}', services.handle),
        ('POST', '/v1/jobs', jobs_api.submit),
        ('GET', '/v1/jobs', jobs_api.list_jobs),
        ('GET', '/v1/jobs/{job_id}', jobs_api.show),
        ('DELETE', '/v1/jobs/{job_id}', jobs_api.cancel),
        ('GET', '/healthz', status_api.health),
        ('GET', '/readyz', status_api.ready),
        ('GET', '/v1/status', status_api.status),
        ('GET', '/v1/metrics', status_api.metrics),
    ]
    operator_routes: list[tuple[str, str, operatorcalls.Handler]] = [
        ('POST', '/v1/config/patches', config_api.submit),
        ('GET', '/v1/config/patches', config_api.list_patches),
        ('POST', '/v1/config/revert', config_api.revert),
        ('GET', '/v1/config/diff', config_api.show_difference),
        ('GET', '/v1/config/confirmations', config_api.confirmations),
        ('GET', '/v1/config', config_api.show),
        ('GET', '/v1/audit', config_api.list_audit),
        ('GET', '/v1/operators/accounts', operators_api.list_accounts),
        ('GET', '/v1/operators/jobs', operators_api.list_jobs),
        ('GET', '/v1/operators/workers', operators_api.list_workers),
        (
            'GET',
            '/v1/operators/explain/requests',
            request_explanations.explain,
        ),
        (
            'GET',
            '/v1/operators/explain/jobs/{job_id}',
            job_explanations.show,
        ),
        ('POST', '/v1/operators/explain/jobs', job_explanations.ask),
    ]
    for method, path, handler in operator_routes:
        checked = operatorcalls.require_operator(shared.settings, handler)
        routes.append((method, path, checked))
    return applications.Starlette(
        routes=[
            paths.Route(path, handler, methods=[method])
            for method, path, handler in routes
        ],
        exception_handlers={
            exceptions.HTTPException: _answer_http_error,
            Exception: _answer_internal_error,
        },
    )


async def _answer_http_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Return the error response of a request without a route."""
    assert isinstance(error, exceptions.HTTPException)
    return answers.error(error.status_code, 'no-route', error.detail)


async def _answer_internal_error(
    request: requests.Request, error: Exception
) -> responses.Response:
    """Return the error response of an unhandled exception."""
    return answers.error(
        500, 'internal', 'internal error', answers.Outcome.UNKNOWN
    )


class _CloseConnectionHeader:
    """ASGI middleware: closes keep-alive connections during shutdown."""

    def __init__(self, app: typing.Any, stopping: asyncio.Event) -> None:
        self._app = app
        self._stopping = stopping

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Forward one request to the application."""

        async def send_with_header(message: typing.Any) -> None:
            if message['type'] == 'http.response.start':
                if self._stopping.is_set():
                    headers = list(message.get('headers', ()))
                    headers.append((b'connection', b'close'))
                    message = {**message, 'headers': headers}
            await send(message)

        await self._app(scope, receive, send_with_header)


class _ServiceRequests:
    """Router, dispatcher and idempotency claims of the gateway."""

    def __init__(self, shared: daemon.Daemon) -> None:
        settings = shared.settings
        self.router = routing.Router(
            settings,
            random.Random(shared.incarnation),
            shared.slots_by_upstream,
        )
        self.dispatcher = dispatch.Dispatcher(shared, self.router)
        committer = groupcommit.GroupCommitter(
            shared.platform, settings.gateway.claim_interval_s
        )
        self.claims = claims.ClaimStore(
            shared.platform,
            committer,
            settings.gateway.claim_ttl_s,
            settings.gateway.max_kept_answer_bytes,
        )
        self.keyed = keyedrequests.KeyedRequests(self.claims)
        shared.add_vm_handler(self.router.record_vms)

    async def sweep(self, shared: daemon.Daemon) -> None:
        """Delete expired claims, a page at a time, until cancelled.

        Only the live gateway with the lowest VM id does so.  Two at a time
        are harmless, since a row is deleted only at the version that was
        read.
        """
        own_id = shared.settings.process.vm_id
        after = ''
        while True:
            interval_s = shared.settings.gateway.claim_sweep_interval_s
            if after:
                interval_s = min(interval_s, _SWEEP_PAGE_PAUSE_S)
            await asyncio.sleep(interval_s)
            others = [
                peer.beacon.vm_id
                for peer in shared.members.list_live(clock.monotonic())
                if peer.beacon.role == 'gateway' and not peer.beacon.leaving
            ]
            if own_id == min([own_id, *others]):
                after = await self.claims.delete_expired(
                    keys.CLAIMS, after, _SWEEP_PAGE_ROWS, clock.wall()
                )


async def run(settings: options.Settings) -> None:
    """Run the gateway until a signal asks it to shut down.

    After the first signal ``/readyz`` fails while requests are still
    accepted for ``leaving_delay_s`` seconds, so that the load balancer
    stops sending them first.  Then no new request is accepted, and those
    in progress have ``shutdown_grace_s`` seconds to finish.
    """
    listener = sockets.open_listener(settings.gateway.bind)
    # Connections that arrive before the server runs wait in the backlog.
    listener.listen(_BACKLOG)
    shared = daemon.Daemon(settings, 'gateway')
    shared.install_signals()
    service_requests = _ServiceRequests(shared)
    services = servicesapi.ServicesApi(
        shared, service_requests.dispatcher, service_requests.keyed
    )
    explanations = requestexplanations.RequestExplanations(
        shared, service_requests.router, service_requests.dispatcher
    )
    app = _CloseConnectionHeader(
        build_app(shared, services, explanations), shared.stopping
    )
    server = httpserver.build(
        app,
        settings.gateway.shutdown_grace_s,
        httpserver.guard_callers('gateway', settings.http, shared.metrics),
        settings.gateway.tls_certificate,
        settings.gateway.tls_key,
    )
    _log.info(
        'listening',
        role='gateway',
        http=sockets.bound_address(listener),
        mesh=shared.mesh.address,
    )
    async with asyncio.TaskGroup() as group:
        loops = shared.start_loops(group)
        loops.append(group.create_task(service_requests.dispatcher.run()))
        loops.append(group.create_task(service_requests.sweep(shared)))
        serving = group.create_task(server.serve([listener]))
        await shared.stopping.wait()
        await asyncio.sleep(settings.gateway.leaving_delay_s)
        server.should_exit = True
        await serving
        await _drain(service_requests.keyed, settings)
        await waits.cancel_tasks(loops)
    await service_requests.router.aclose()
    await shared.aclose()
    _log.info('stopped')


async def _drain(
    keyed_requests: keyedrequests.KeyedRequests, settings: options.Settings
) -> None:
    """Store the remaining responses within the grace period."""
    try:
        async with asyncio.timeout(settings.gateway.shutdown_grace_s):
            await keyed_requests.drain()
    except TimeoutError:
        _log.warning(
            'grace period ended with responses not stored; '
            'repeats of their requests get an unknown outcome'
        )
