"""Nodes' copies of the operators' rows, and configurations of any size."""

import asyncio
import random
import typing

from primroselock import metrics
from primroselock.platform import configuration
from primroselock.platform import rows
from primroselock.platform import settings
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fleetbuilders
from primroselock.test import slowlinks
from standins import rowstore

SLOW_LINK: typing.Final = 625_000.0
"""Bytes a second of a link of 5 Mbit/s."""

_HOST: typing.Final = 'a-host-of-a-queue.example'


def write_configuration(
    store: rowstore.RowStore, version: int, queues: int
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
        for number in range(queues)
    ]
    tenants = [{'name': 'a-tenant', 'api_keys': [f'key-of-{version}']}]
    config = {'version': version, 'routes': routes, 'tenants': tenants}
    store.put('op', 'config', config)
    return len(str(config))


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
        self._task = asyncio.create_task(self.follower.run())

    def _apply(self, changes: table.Changes) -> None:
        self.reader.apply(changes)

    @property
    def version(self) -> int:
        """The version of the configuration that the node has."""
        return self.reader.current.version

    def end(self) -> None:
        """End the node at once."""
        self._task.cancel()


def build_store() -> rowstore.RowStore:
    """Return an empty store."""
    return rowstore.RowStore(random.Random(1))
