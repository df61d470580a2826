"""Conversion of the platform's settings file to the product's settings.

The file has one ``name=value`` on each line.  Unknown names are ignored,
since the platform may add new ones.  The values are put into the product's
own sections and checked there, so that an invalid value gives the same
error as in the product's own format.
"""

from collections import abc
import os
import typing

import result

from primroselock import decoding
from primroselock import ini
from primroselock import options

PATH_VARIABLE: typing.Final = 'PRIMROSELOCK_BOOT'
DEFAULT_PATH: typing.Final = '/etc/primroselock/local.conf'
_METRICS_PORT_OFFSET: typing.Final = 0
_MESH_PORT_OFFSET: typing.Final = 1
_MS_PER_S: typing.Final = 1000
_PERMIT_MARGIN_S: typing.Final = 1.0
"""Time for which a stalled change feed may hide a change."""

_ORDER_MARGIN_S: typing.Final = 0.5
"""Time that a start order may take to the worker."""

_MIN_PERMIT_S: typing.Final = 0.5
"""Used if ``bounds.revoke_ms`` or ``bounds.contact_ms`` leaves less."""

_ENTRY_WAIT_SHARE: typing.Final = 0.25
"""The long-poll wait as a share of the permit: without changes, a copy is as
old as two calls, and half of the permit is left for slow answers."""

_MAX_TAKEOVER_DELAY_S: typing.Final = 0.15
_CALL_RATE_SHARE: typing.Final = 0.25
"""Call limit of one connection pool as a share of the platform's writes."""

_BYTES_PER_MB: typing.Final = 1024 * 1024
_RESERVED_DESCRIPTORS: typing.Final = 200
"""Descriptors that the platform keeps for files."""

_CALLER_SOCKETS_SHARE: typing.Final = 2 / 3
"""The rest is for the store, the workers and the load balancer."""

_CONNECTIONS_MEMORY_SHARE: typing.Final = 1 / 4
_CONNECTION_BYTES: typing.Final = 32 * 1024
"""The most that a connection takes beside its request."""

_HELD_MEMORY_SHARE: typing.Final = 1 / 8
_MIN_HELD_BYTES: typing.Final = 8 * _BYTES_PER_MB
_BODY_TIMEOUT_S: typing.Final = 30.0


def load(
    environment: abc.Mapping[str, str] = os.environ,
) -> options.Settings:
    """Read the settings file that the environment names.

    Raises :class:`errors.CommandError` with a line for each problem.
    """
    return options.load(environment.get(PATH_VARIABLE, DEFAULT_PATH), parse)


def parse(
    text: str, source: str
) -> result.Result[options.Settings, list[ini.Problem]]:
    """Return the product's settings for the text of a platform file."""
    values = read_lines(text)
    converted = _Converter(values, source)
    sections = converted.sections()
    if converted.problems:
        return result.Err(converted.problems)
    ini_text = '\n'.join(
        f'[{name}]\n'
        + '\n'.join(f'{key} = {value}' for key, value in section.items())
        for name, section in sections.items()
    )
    return options.parse(ini_text, source)


def read_lines(text: str) -> dict[str, str]:
    """Return the values by name; other lines are ignored."""
    values = {}
    for line in text.splitlines():
        name, separator, value = line.partition('=')
        if separator:
            values[name.strip()] = value.strip()
    return values


class _Converter:
    """Converts values and collects the problems found."""

    def __init__(self, values: dict[str, str], source: str) -> None:
        self._values = values
        self._source = source
        self.problems: list[ini.Problem] = []

    def sections(self) -> dict[str, dict[str, str]]:
        """Return the product's sections.

        ``hold_max_ms`` is the longest lease of a run; ``revoke_ms`` is how
        long an API key may still be accepted after it was revoked, also by
        nodes that are partitioned from the store; ``config_apply_ms`` is how
        long a node that reaches the store may serve by an older version;
        ``contact_ms`` is how long
        a node may still count on capacity that a worker's entry shows no
        more; ``far_x`` is how many times as long a remote task takes.
        ``checkpoint_s``, ``restore_ms`` and ``stop_ms`` are what saving,
        resuming and stopping work take.
        """
        entry_permit_s = self._entry_permit_s()
        writes = self._number('platform.writes_per_s', 600)
        return {
            'process': {
                'vm_id': self._required('node'),
                'zone': self._required('zone'),
            },
            'platform': {
                'address': self._required('platform.address'),
                'timeout_s': '1.0',
                'max_calls_per_s': str(
                    max(20, int(writes * _CALL_RATE_SHARE))
                ),
                'max_row_bytes': str(
                    int(self._number('platform.row_bytes', 65_536))
                ),
            },
            'mesh': {'bind': self._internal_address(_MESH_PORT_OFFSET)},
            'scheduler': {
                'shard_lease_s': '1.5',
                'shard_renew_interval_s': '0.35',
                'takeover_delay_s': f'{self._takeover_delay_s():g}',
            },
            'fleet': {
                'bind': self._required('listen.front'),
                'ready_bind': self._required('listen.ready'),
                'metrics_bind': self._internal_address(_METRICS_PORT_OFFSET),
                'advice': self._values.get('advice', ''),
                'run_lease_s': self._seconds('bounds.hold_max_ms', 10000),
                'far_factor': f'{self._number("bounds.far_x", 3):g}',
                'serve_permit_s': f'{self._serve_permit_s():g}',
                'outdated_permit_s': self._seconds(
                    'bounds.config_apply_ms', 2000
                ),
                'entry_permit_s': f'{entry_permit_s:g}',
                'entry_wait_s': f'{entry_permit_s * _ENTRY_WAIT_SHARE:g}',
                'checkpoint_s': f'{self._number("bounds.checkpoint_s", 1):g}',
                'restore_s': self._seconds('bounds.restore_ms', 300),
                'stop_s': self._seconds('bounds.stop_ms', 500),
            },
            'http': self._http_section(),
        }

    def _http_section(self) -> dict[str, str]:
        """Return what callers may take of the VM's memory and sockets."""
        memory = self._number('limits.memory_mb', 256) * _BYTES_PER_MB
        sockets = self._number('limits.max_fds', 1024) - _RESERVED_DESCRIPTORS
        connections = min(
            sockets * _CALLER_SOCKETS_SHARE,
            memory * _CONNECTIONS_MEMORY_SHARE / _CONNECTION_BYTES,
        )
        held_bytes = max(_MIN_HELD_BYTES, memory * _HELD_MEMORY_SHARE)
        return {
            'max_connections': str(max(1, int(connections))),
            'max_held_bytes': str(int(held_bytes)),
            'body_timeout_s': f'{_BODY_TIMEOUT_S:g}',
        }

    def _required(self, name: str) -> str:
        value = self._values.get(name, '')
        if not value:
            self._add_problem(name, '', 'a value')
        return value

    def _number(self, name: str, default: float) -> float:
        text = self._values.get(name, '')
        if not text:
            return default
        try:
            number = float(text)
        except ValueError:
            number = -1.0
        if not 0 < number <= decoding.MAX_NUMBER:
            self._add_problem(name, text, 'a number above 0, up to 2**53')
            return default
        return number

    def _seconds(self, name: str, default_ms: float) -> str:
        return f'{self._number(name, default_ms) / _MS_PER_S:g}'

    def _serve_permit_s(self) -> float:
        """Return the maximum age of the operators' rows to serve calls."""
        bound_s = self._number('bounds.revoke_ms', 5000) / _MS_PER_S
        return max(_MIN_PERMIT_S, bound_s - _PERMIT_MARGIN_S)

    def _entry_permit_s(self) -> float:
        """Return the maximum age of the workers' entries to start tasks."""
        bound_s = self._number('bounds.contact_ms', 3000) / _MS_PER_S
        return max(_MIN_PERMIT_S, bound_s - _ORDER_MARGIN_S)

    def _takeover_delay_s(self) -> float:
        """Return how long a slow VM leaves a free shard to faster ones.

        ``cpu_share`` is the share of a core and ``cores`` how many times as
        fast as one that core is.
        """
        speed = self._number('limits.cpu_share', 1) * self._number(
            'limits.cores', 1
        )
        return _MAX_TAKEOVER_DELAY_S * max(0.0, 1 - speed)

    def _internal_address(self, offset: int) -> str:
        """Return an address for internal use, on a port of the range."""
        first = self._values.get('port_range', '').partition(',')[0]
        port = decoding.parse_count(first, decoding.MAX_PORT - offset)
        if port is None:
            self._add_problem('port_range', first, 'two port numbers')
            return '127.0.0.1:0'
        return f'{self._required("ip")}:{port + offset}'

    def _add_problem(self, name: str, value: str, expected: str) -> None:
        section, _, key = name.rpartition('.')
        self.problems.append(
            ini.Problem(self._source, section, key, value, expected)
        )
