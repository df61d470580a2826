"""The platform adapter: wire names, formats and invalid input."""

import asyncio
import io
import pathlib
import re
import typing
import unittest
from unittest import mock

import msgspec
import result

from primroselock import errors
from primroselock import fleetnode
from primroselock import metrics
from primroselock import nodemain
from primroselock.platform import adapter
from primroselock.platform import configuration
from primroselock.platform import discovery
from primroselock.platform import settings
from primroselock import queues
from primroselock.store import table
from primroselock.test import builders
from primroselock.test import decodercases
from primroselock.test import fleetbuilders

_PACKAGE: typing.Final = pathlib.Path(__file__).resolve().parent.parent

_WIRE_NAMES: typing.Final = (
    'run-start',
    'run-stop',
    'rows-tx',
    'rows-get',
    'rows-feed',
    'if_revision',
    'set_keys',
    'more_pages',
    'last_seen',
    'fencing_token',
    'until_ms',
    'X-Expected-Instance',
    'required_label',
    'data_rack',
    'anti_affinity',
    'est_runtime_ms',
    'api_keys',
    'path_prefix',
    'repeat_count',
    'PRIMROSELOCK_BOOT',
)
_SHARED_NAMES: typing.Final = frozenset({'data_rack'})
"""Wire names that the product uses for the same thing itself."""


class NamesTest(unittest.TestCase):
    """The platform's wire names occur only in the adapter."""

    def test_no_wire_name_stands_outside_the_adapter(self) -> None:
        found = []
        for path in _PACKAGE.rglob('*.py'):
            parts = path.relative_to(_PACKAGE).parts
            if parts[0] in ('platform', 'test'):
                continue
            text = path.read_text(encoding='utf-8')
            for name in _WIRE_NAMES:
                if name in _SHARED_NAMES:
                    continue
                if re.search(rf'\b{re.escape(name)}\b', text):
                    found.append(f'{"/".join(parts)}: {name}')
        self.assertEqual([], found)

    def test_the_adapter_imports_no_decision(self) -> None:
        """Of the decision core the adapter imports only entries and names."""
        allowed = {'fleetworkers', 'livejobs'}
        for path in (_PACKAGE / 'platform').glob('*.py'):
            text = path.read_text(encoding='utf-8')
            pattern = r'from primroselock\.decisions import (\w+)'
            self.assertLessEqual(set(re.findall(pattern, text)), allowed)


class SettingsTest(unittest.TestCase):
    """The platform's settings file is converted to the product's settings."""

    def test_values_reach_their_sections(self) -> None:
        read = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()
        self.assertEqual('front-1', read.process.vm_id)
        self.assertEqual(10.0, read.fleet.run_lease_s)
        self.assertEqual('127.0.0.1:7000', read.fleet.metrics_bind)

    def test_what_a_stop_takes_follows_the_bounds(self) -> None:
        """Costs of stops differ between deployments."""
        bounds = 'bounds.checkpoint_s=2\nbounds.restore_ms=600\n'
        text = f'{fleetbuilders.BOOT_TEXT}{bounds}bounds.stop_ms=900\n'
        read = settings.parse(text, 'boot').unwrap().fleet
        self.assertEqual(
            (2.0, 0.6, 0.9), (read.checkpoint_s, read.restore_s, read.stop_s)
        )
        default = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()
        self.assertEqual(0.3, default.fleet.restore_s)
        wrong = settings.parse(
            f'{fleetbuilders.BOOT_TEXT}bounds.stop_ms=0\n', 'boot'
        )
        self.assertIsInstance(wrong, result.Err)

    def test_serve_permit_follows_the_bound_on_revoked_keys(self) -> None:
        """The permit is 1 s shorter than the bound, and at least 0.5 s."""
        for bound_ms, permit_s in ((5000, 4.0), (2000, 1.0), (100, 0.5)):
            text = f'{fleetbuilders.BOOT_TEXT}bounds.revoke_ms={bound_ms}\n'
            read = settings.parse(text, 'boot').unwrap()
            self.assertEqual(permit_s, read.fleet.serve_permit_s)

    def test_entry_permit_follows_the_contact_time(self) -> None:
        """Guards against starts on entries from before the contact time.

        An order may take 0.5 s; the long-poll wait is a quarter of the rest.
        """
        cases = ((3000, 2.5, 0.625), (4000, 3.5, 0.875), (100, 0.5, 0.125))
        for contact_ms, permit_s, wait_s in cases:
            text = f'{fleetbuilders.BOOT_TEXT}bounds.contact_ms={contact_ms}\n'
            read = settings.parse(text, 'boot').unwrap()
            self.assertEqual(permit_s, read.fleet.entry_permit_s)
            self.assertEqual(wait_s, read.fleet.entry_wait_s)

    def test_limits_of_callers_follow_the_vm(self) -> None:
        """Two thirds of the sockets, or a quarter of the memory."""
        cases = (
            (160, 1638, 958, 20 << 20),
            (300, 4100, 2400, 300 << 17),
            (32, 400, 133, 8 << 20),
        )
        for memory_mb, descriptors, connections, held_bytes in cases:
            text = (
                f'{fleetbuilders.BOOT_TEXT}limits.memory_mb={memory_mb}\n'
                f'limits.max_fds={descriptors}\n'
            )
            http = settings.parse(text, 'boot').unwrap().http
            self.assertEqual(connections, http.max_connections)
            self.assertEqual(held_bytes, http.max_held_bytes)

    def test_a_wrong_value_names_field_value_and_expectation(self) -> None:
        cases = {
            'platform.address=127.0.0.1:8524': 'platform.address=nowhere',
            'bounds.hold_max_ms=10000': 'bounds.hold_max_ms=-4',
            'port_range=7000,7015': 'port_range=x',
            'node=front-1': 'node=',
        }
        for right, wrong in cases.items():
            with self.subTest(wrong=wrong):
                parsed = settings.parse(
                    fleetbuilders.BOOT_TEXT.replace(right, wrong), 'boot'
                )
                assert isinstance(parsed, result.Err)
                line = str(parsed.err_value[0])
                self.assertIn('expected', line)
                value = wrong.partition('=')[2]
                self.assertIn(repr(value), line)

    def test_a_missing_file_ends_with_exit_code_2(self) -> None:
        environment = {settings.PATH_VARIABLE: '/nonexistent/file'}
        with mock.patch.dict('os.environ', environment):
            with mock.patch('sys.stderr', new=io.StringIO()):
                code = nodemain.main(['--check'])
        self.assertIs(errors.ExitCode.USAGE, code)

    def test_an_unknown_platform_ends_with_exit_code_2(self) -> None:
        with self.assertRaises(errors.CommandError) as caught:
            fleetnode.load('elsewhere')
        self.assertIs(errors.ExitCode.USAGE, caught.exception.exit_code)
        self.assertIn("'elsewhere'", caught.exception.lines[0])


class ConfigurationTest(unittest.TestCase):
    """The operators' rows are combined into one record."""

    def setUp(self) -> None:
        self.reader = configuration.ConfigurationReader()

    def _apply(self, key: str, value: typing.Any, version: int = 1) -> bool:
        body = (
            value if isinstance(value, bytes) else msgspec.json.encode(value)
        )
        row = table.Row(key, body, version, '')
        return self.reader.apply(table.Changes((row,), (), version))

    def test_a_version_is_read(self) -> None:
        self._apply('op/config', _config(7))
        current = self.reader.current
        self.assertEqual(7, current.version)
        queue = current.find('Host.example:80', '/p/x/0123')
        assert queue is not None
        self.assertEqual('long', queue.name)
        account = current.find_account('k2')
        assert account is not None
        self.assertEqual(32, account.guaranteed_accelerators)

    def test_an_older_or_unreadable_version_changes_nothing(self) -> None:
        self._apply('op/config', _config(7))
        with mock.patch.object(
            configuration, '_log', spec_set=builders.LOG_METHODS
        ):
            for bad in (_config(6), b'\xff', b'{}', b'[]', {'version': 'x'}):
                self.assertFalse(self._apply('op/config', bad))
        self.assertEqual(7, self.reader.current.version)

    def test_zones_go_out_of_service_and_return(self) -> None:
        self._apply('op/evacuate/a', b'{}')
        self.assertEqual(
            frozenset({'a'}), self.reader.current.zones_out_of_service
        )
        self.reader.apply(table.Changes((), ('op/evacuate/a',), 3))
        self.assertEqual(frozenset(), self.reader.current.zones_out_of_service)


def _config(version: int) -> dict[str, typing.Any]:
    route = {
        'name': 'short',
        'host': 'host.example',
        'path_prefix': '/p/',
        'service': 'svc',
        'kind': 'unsafe',
        'max_attempts': 4,
        'stretch': 1.5,
        'target_latency_ms': 250,
    }
    return {
        'version': version,
        'routes': [route, {**route, 'name': 'long', 'path_prefix': '/p/x/'}],
        'tenants': [
            {'name': 't', 'api_keys': ['k1', 'k2'], 'guaranteed': {'gpus': 32}}
        ],
    }


class AccountTest(unittest.TestCase):
    """What the configuration says of a client account."""

    def test_weight_and_quota_are_read(self) -> None:
        account = _read_account(
            {'weight': 2, 'max_count': {'cpu': 9, 'mem_mb': 8, 'gpus': 7}}
        )
        self.assertEqual(2.0, account.weight)
        self.assertEqual(queues.Quota(9, 8, 7), account.quota)

    def test_what_is_not_given_is_no_limit(self) -> None:
        for limits in ({}, {'max_count': None}, {'max_count': {'cpu': 0}}):
            account = _read_account(limits)
            self.assertTrue(account.quota.is_unlimited)
            self.assertIsNone(account.weight)

    def test_a_quota_may_limit_one_resource(self) -> None:
        account = _read_account({'max_count': {'gpus': 3}})
        self.assertEqual(queues.Quota(accelerators=3), account.quota)
        self.assertFalse(account.quota.is_unlimited)


def _read_account(limits: dict[str, typing.Any]) -> queues.QueueAccount:
    """Return the account of a configuration whose row has ``limits``."""
    body = {**_config(1), 'tenants': [{'name': 't', **limits}]}
    row = table.Row('op/config', msgspec.json.encode(body), 1, '')
    reader = configuration.ConfigurationReader()
    reader.apply(table.Changes((row,), (), 1))
    return reader.current.accounts_by_name['t']


class DiscoveryTest(unittest.TestCase):
    """Worker entries, valid and malformed."""

    def test_an_entry_is_read(self) -> None:
        row = table.Row('servers/i-1', msgspec.json.encode(_ENTRY), 1, '')
        entry = discovery.WorkerRowReader().read_entry(row)
        assert entry is not None
        self.assertEqual('i-1', entry.id)
        self.assertEqual('r1-3', entry.rack)
        self.assertEqual(8, entry.capacity.accelerators)
        self.assertEqual(1700, entry.boot)

    def test_unreadable_entries_name_no_worker(self) -> None:
        bad: tuple[typing.Any, ...] = (
            b'\x00\xff',
            b'',
            {},
            {**_ENTRY, 'state': 'odd'},
            {**_ENTRY, 'capacity': 3},
            {**_ENTRY, 'address': 'nowhere'},
            {**_ENTRY, 'labels': None},
        )
        with mock.patch.object(
            discovery, '_log', spec_set=builders.LOG_METHODS
        ):
            for value in bad:
                if not isinstance(value, bytes):
                    value = msgspec.json.encode(value)
                row = table.Row('servers/i-1', value, 1, '')
                self.assertIsNone(discovery.WorkerRowReader().read_entry(row))


_ENTRY: typing.Final = {
    **decodercases.WORKER_ENTRY,
    'seq': 4,
    'a_new_field': [1],
}


class AdapterTest(unittest.TestCase):
    """The adapter is registered and builds a store."""

    def test_the_adapter_is_registered(self) -> None:
        self.assertEqual('ishikari', adapter.NAME)
        self.assertIn('ishikari', fleetnode.adapters_by_name)
        parts = fleetnode.adapters_by_name['ishikari']()
        read = settings.parse(fleetbuilders.BOOT_TEXT, 'boot').unwrap()

        async def build() -> None:
            store = parts.build_store(read, 'x', 1, metrics.Metrics())
            await store.aclose()

        asyncio.run(build())
