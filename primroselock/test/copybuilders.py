"""Nodes' copies of the operators' rows, and configurations of any size."""

import asyncio
from collections import abc
import random
import typing

import msgspec

from primroselock import metrics
from primroselock.platform import configuration
from primroselock.platform import rows
from primroselock.platform import settings
from primroselock import queues
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fleetbuilders
from primroselock.test import slowlinks
from standins import rowstore

SLOW_LINK: typing.Final = 625_000.0
"""Bytes a second of a link of 5 Mbit/s."""

_HOST: typing.Final = 'a-host-of-a-queue.example'


def write_configuration(
    store: rowstore.RowStore, version: int, count: int
) -> int:
    """Write a version with so many queues; return its size in bytes."""
    routes = [
        {
            'name': f'queue-{number}',
            'host': _HOST,
            'path_prefix': f'/queue-{number}/',
            'service': 'a-service',
            'kind': 'unsafe',
            'timeout_ms': 30_000 + number,
            'max_attempts': 4,
            'stretch': 1.5,
            'target_latency_ms': 250,
            'priority': number % 3,
        }
        for number in range(count)
    ]
    tenants = [{'name': 'a-tenant', 'api_keys': [f'key-of-{version}']}]
    config = {'version': version, 'routes': routes, 'tenants': tenants}
    store.put('op', 'config', config)
    return len(str(config))


def write_queues(
    store: rowstore.RowStore,
    current: queues.QueueConfiguration,
    more_queues: int,
    key: str,
) -> int:
    """Write a version as the operator does; return its size in bytes.

    ``more_queues`` are added; each account has ``key`` too, which the first
    one is found by.
    """
    routes = [_encode_queue(queue) for queue in current.queues]
    routes += [
        _encode_queue(
            queues.Queue(f'more-{number}', _HOST, f'/more-{number}/', 'svc')
        )
        for number in range(more_queues)
    ]
    tenants = [
        {
            'name': account.name,
            'api_keys': sorted({*account.keys, key}),
            'guaranteed': {'gpus': account.guaranteed_accelerators},
        }
        for account in current.accounts_by_name.values()
    ]
    config = {'version': current.version, 'routes': routes}
    store.put('op', 'config', {**config, 'tenants': tenants})
    return len(msgspec.json.encode(config)) * 4 // 3


def _encode_queue(queue: queues.Queue) -> dict[str, typing.Any]:
    encoded: dict[str, typing.Any] = {
        'name': queue.name,
        'host': queue.host,
        'path_prefix': queue.prefix,
        'service': queue.service,
        'kind': 'unsafe',
        'priority': queue.priority,
        'max_attempts': queue.max_attempts,
        'stretch': queue.stretch,
        'target_latency_ms': queue.latency_target_s * 1000,
        'public': queue.is_public,
    }
    if queue.advice is not None:
        encoded['advice'] = {
            'decide_ms': queue.advice.base_s * 1000,
            'each_ms': queue.advice.per_worker_s * 1000,
        }
    return encoded


class CopyNode:
    """The copy of the operators' rows of one node, as the node keeps it."""

    def __init__(
        self,
        store: rowstore.RowStore,
        number: int = 0,
        bytes_per_s: float = SLOW_LINK,
    ) -> None:
        read = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()
        self.link = slowlinks.Link(bytes_per_s)
        self.pool = slowlinks.LinkPool(store, number, self.link)
        self.counters = metrics.Metrics()
        self.rows = rows.RowStore(read, 'feeds', 4, self.counters)
        self.rows._calls._pool = self.pool  # type: ignore[assignment]
        self.reader = configuration.ConfigurationReader()
        self.follower = tablefollower.TableFollower(
            self.rows, configuration.TABLE, read.fleet.operator_wait_s
        )
        self.follower.add_handler(self._apply)
        self.use: abc.Callable[[queues.QueueConfiguration], None] | None = None
        """Called with each version that was applied."""

        self.task = asyncio.create_task(self.follower.run())

    def _apply(self, changes: table.Changes) -> None:
        if self.reader.apply(changes) and self.use is not None:
            self.use(self.reader.current)

    @property
    def version(self) -> int:
        """The version of the configuration that the node has."""
        return self.reader.current.version

    def end(self) -> None:
        """End the node at once."""
        self.task.cancel()


def build_store() -> rowstore.RowStore:
    """Return an empty store."""
    return rowstore.RowStore(random.Random(1))
