"""The gateway daemon: HTTP for callers and operators."""

import asyncio
from collections import abc
import contextlib
import random
import typing

from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing as paths
import uvicorn

from primroselock import answers
from primroselock import clock
from primroselock import configapi
from primroselock import daemon
from primroselock import jobsapi
from primroselock import logs
from primroselock import operatorsapi
from primroselock import options
from primroselock import routing
from primroselock import servicesapi

_log: typing.Final = logs.get('gateway')


class _Server(uvicorn.Server):
    """A server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self) -> abc.Generator[None, None, None]:
        """Install no signal handler."""
        yield


class StatusApi:
    """Health, readiness and status."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared

    async def health(self, request: requests.Request) -> responses.Response:
        """Say that the process is alive."""
        return answers.json_answer({'state': 'live'})

    async def ready(self, request: requests.Request) -> responses.Response:
        """Tell the balancer whether to send requests here."""
        if self._shared.stopping.is_set():
            return answers.error(503, 'leaving', 'this VM is leaving')
        if self._shared.follower.confirmed_at is None:
            return answers.error(503, 'starting', 'no configuration yet')
        return answers.json_answer({'state': 'ready'})

    async def metrics(self, request: requests.Request) -> responses.Response:
        """Return counters and percentiles."""
        return answers.json_answer(self._shared.metrics.snapshot())

    async def status(self, request: requests.Request) -> responses.Response:
        """Return what this gateway knows."""
        now = clock.monotonic()
        follower = self._shared.follower
        version = follower.current.version
        known = self._shared.confirmations(version, now)
        return answers.json_answer(
            {
                'vm_id': self._shared.settings.process.vm_id,
                'zone': self._shared.settings.process.zone,
                'config_version': version,
                'config_age_s': round(follower.age_s(now), 3),
                'zones': known.zones,
                'peers': known.processes,
            }
        )


def build_app(
    shared: daemon.Daemon, router: routing.Router
) -> applications.Starlette:
    """Return the application with all its routes."""
    services = servicesapi.ServicesApi(shared, router)
    jobs_api = jobsapi.JobsApi(shared)
    config = configapi.ConfigApi(shared)
    operators = operatorsapi.OperatorsApi(shared)
    status = StatusApi(shared)
    table: list[tuple[str, str, typing.Any]] = [
        ('POST', '/v1/services/{service}/{path:path}', services.handle),
        ('POST', '/v1/jobs', jobs_api.submit),
        ('GET', '/v1/jobs', jobs_api.list_jobs),
        ('GET', '/v1/jobs/{job_id}', jobs_api.show),
        ('DELETE', '/v1/jobs/{job_id}', jobs_api.cancel),
        ('POST', '/v1/config/patches', config.submit),
        ('GET', '/v1/config/patches', config.list_patches),
        ('POST', '/v1/config/revert', config.revert),
        ('GET', '/v1/config/diff', config.show_difference),
        ('GET', '/v1/config/confirmations', config.confirmations),
        ('GET', '/v1/config', config.show),
        ('GET', '/v1/audit', config.list_audit),
        ('GET', '/v1/operators/accounts', operators.list_accounts),
        ('GET', '/v1/operators/jobs', operators.list_jobs),
        ('GET', '/v1/operators/workers', operators.list_workers),
        ('GET', '/healthz', status.health),
        ('GET', '/readyz', status.ready),
        ('GET', '/v1/status', status.status),
        ('GET', '/v1/metrics', status.metrics),
    ]
    return applications.Starlette(
        routes=[
            paths.Route(path, handler, methods=[method])
            for method, path, handler in table
        ]
    )


async def run(settings: options.Settings) -> None:
    """Run the gateway until it is told to leave."""
    listener = daemon.bind_socket(settings.gateway.bind)
    shared = daemon.Daemon(settings, 'gateway')
    shared.install_signals()
    router = routing.Router(settings, random.Random(shared.incarnation))
    shared.add_vm_handler(router.record_vms)
    server = _Server(
        uvicorn.Config(
            build_app(shared, router),
            loop='asyncio',
            http='httptools',
            ws='none',
            lifespan='off',
            log_config=None,
            access_log=False,
            timeout_graceful_shutdown=int(settings.gateway.shutdown_grace_s),
        )
    )
    _log.info(
        'listening',
        role='gateway',
        http=daemon.bound_address(listener),
        mesh=shared.mesh.address,
    )
    async with asyncio.TaskGroup() as group:
        loops = shared.start_loops(group)
        serving = group.create_task(server.serve([listener]))
        await shared.stopping.wait()
        server.should_exit = True
        await serving
        for loop in loops:
            loop.cancel()
    await shared.aclose()
    _log.info('stopped')
