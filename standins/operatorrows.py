"""The operator's rows: queues and keys that come and go by version."""

import typing

from standins import rowstore
from standins import runworkers

HOST: typing.Final = 'quotes.example'
QUEUES: typing.Final = 4
KEYS: typing.Final = 4
_PRIORITIES: typing.Final = (0, 2, 1, 2)
_GUARANTEED: typing.Final = 8


def prefix(queue: int) -> str:
    """Return the path prefix of a queue."""
    return f'/queue{queue}/'


def key(number: int) -> str:
    """Return a key."""
    return f'key-{number}'


class Operator:
    """Writes versions of the configuration; it begins with all names."""

    def __init__(self, store: rowstore.RowStore) -> None:
        self._store = store
        self._version = 0
        self._removed: set[str] = set()

    def toggle(self, name: str, step: int) -> None:
        """Remove or add back a prefix or a key, in a later version."""
        self._removed ^= {name}
        self.write(step, is_full=False)

    def write(self, step: int = 1, is_full: bool = True) -> None:
        """Write a version; a full one has all that was removed."""
        self._version += step
        if is_full:
            self._removed.clear()
        common: rowstore.Row = {'host': HOST, 'service': runworkers.SERVICE}
        common.update(kind='unsafe', max_attempts=4, stretch=1.5)
        routes = [
            {
                **common,
                'name': f'queue{number}',
                'path_prefix': prefix(number),
                'priority': _PRIORITIES[number],
            }
            for number in range(QUEUES)
            if prefix(number) not in self._removed
        ]
        tenants = [
            {
                'name': f'tenant{number}',
                'api_keys': list({key(number)} - self._removed),
                'guaranteed': {'gpus': _GUARANTEED},
            }
            for number in range(KEYS)
        ]
        config = {'version': self._version, 'routes': routes}
        self._store.put('op', 'config', {**config, 'tenants': tenants})
