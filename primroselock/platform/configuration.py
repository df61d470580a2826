"""Conversion of the operators' rows to a :class:`queues.QueueConfiguration`.

A row that cannot be decoded changes nothing: the last valid configuration
stays in force, and the error is logged.
"""

import dataclasses
import typing

import msgspec
import result

from primroselock import decoding
from primroselock import logs
from primroselock import queues
from primroselock import rowguard
from primroselock.store import table

TABLE: typing.Final = 'op'
_CONFIG_KEY: typing.Final = 'op/config'
_EVACUATION_PREFIX: typing.Final = 'op/evacuate/'
"""A row takes the zone in its key out of service until it is deleted."""

_log: typing.Final = logs.get('configuration')


class _Advice(msgspec.Struct):
    """Latency of the advice service.

    It takes ``decide_ms``, and ``each_ms`` more for each worker in the
    request.
    """

    decide_ms: decoding.Amount = 0.0
    each_ms: decoding.Amount = 0.0


class _Route(msgspec.Struct):
    """A queue, which the configuration row calls a route.

    A job is due after ``stretch`` times its shortest run time plus
    ``target_latency_ms``.  ``max_attempts`` bounds the failed runs of one
    task; ``public`` routes need no API key.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: decoding.Integer = 0
    max_attempts: decoding.Count = 1
    stretch: decoding.Amount = 1.0
    target_latency_ms: decoding.Amount = 1000.0
    public: bool = False
    advice: _Advice | None = None


class _Guaranteed(msgspec.Struct):
    gpus: decoding.Count = 0


class _MaxCount(msgspec.Struct):
    """What a tenant may have running; 0 means no limit."""

    cpu: decoding.Count = 0
    mem_mb: decoding.Count = 0
    gpus: decoding.Count = 0


class _Tenant(msgspec.Struct):
    """A client account."""

    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed | None = None
    weight: decoding.Amount | None = None
    max_count: _MaxCount | None = None


class _Limits(msgspec.Struct):
    max_body_bytes: decoding.Count = 262144


class _Config(msgspec.Struct):
    version: decoding.Count
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    limits: _Limits | None = None


_decode_config: typing.Final = decoding.json_reader(_Config)


class ConfigurationReader:
    """Builds the newest configuration from changes of the operators' rows."""

    def __init__(self) -> None:
        self.current = queues.EMPTY

    def apply(self, changes: table.Changes) -> bool:
        """Apply changes; return whether the configuration changed."""
        before = self.current
        for row in changes.rows:
            with rowguard.leave_out(_log, row.key):
                self._apply_row(row)
        for key in changes.removed:
            if key.startswith(_EVACUATION_PREFIX):
                self._set_zone(key, is_out=False)
        return self.current is not before

    def _apply_row(self, row: table.Row) -> None:
        if row.key.startswith(_EVACUATION_PREFIX):
            self._set_zone(row.key, is_out=True)
            return
        if row.key != _CONFIG_KEY:
            return
        decoded = _decode_config(row.value)
        if isinstance(decoded, result.Err):
            _log.error(
                'configuration row ignored: cannot be decoded',
                error=decoded.err_value,
            )
            return
        config = decoded.ok_value
        if config.version < self.current.version:
            return
        self.current = _build(config, self.current.zones_out_of_service)

    def _set_zone(self, key: str, is_out: bool) -> None:
        zone = key.removeprefix(_EVACUATION_PREFIX)
        zones = self.current.zones_out_of_service - {zone}
        if is_out:
            zones = zones | {zone}
        self.current = dataclasses.replace(
            self.current, zones_out_of_service=zones
        )


def _build(
    config: _Config, zones_out_of_service: frozenset[str]
) -> queues.QueueConfiguration:
    limits = config.limits or _Limits()
    return queues.QueueConfiguration(
        config.version,
        tuple(_queue(route) for route in config.routes),
        {tenant.name: _account(tenant) for tenant in config.tenants},
        zones_out_of_service,
        limits.max_body_bytes,
    )


def _queue(route: _Route) -> queues.Queue:
    return queues.Queue(
        route.name,
        route.host.lower(),
        route.path_prefix,
        route.service,
        route.priority,
        route.max_attempts,
        route.stretch,
        route.target_latency_ms / 1000,
        route.public,
        _advice_latency(route.advice),
    )


def _advice_latency(advice: _Advice | None) -> queues.AdviceLatency | None:
    if advice is None:
        return None
    return queues.AdviceLatency(advice.decide_ms / 1000, advice.each_ms / 1000)


def _account(tenant: _Tenant) -> queues.QueueAccount:
    guaranteed = tenant.guaranteed.gpus if tenant.guaranteed else 0
    return queues.QueueAccount(
        tenant.name,
        frozenset(tenant.api_keys),
        guaranteed,
        _quota(tenant.max_count),
        tenant.weight or None,
    )


def _quota(most: _MaxCount | None) -> queues.Quota:
    if most is None:
        return queues.UNLIMITED
    return queues.Quota(most.cpu, most.mem_mb, most.gpus)
