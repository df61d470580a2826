"""Tests of the composed node: reload of settings, readiness."""

import dataclasses
import typing
import unittest
from unittest import mock

from structlog import testing

from primroselock import clock
from primroselock import errors
from primroselock import fleetnode
from primroselock import options
from primroselock.platform import adapter
from primroselock.platform import settings
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock.test import fleetbuilders


class NodeTest(unittest.IsolatedAsyncioTestCase):
    """A node with the platform's adapter and no connections."""

    def setUp(self) -> None:
        self.next_settings: options.Settings | errors.CommandError = (
            self.parse(fleetbuilders.BOOT_TEXT)
        )
        parts = dataclasses.replace(adapter.make(), load_settings=self.load)
        self.node = fleetnode.Node(self.load(), parts)

    @staticmethod
    def parse(text: str) -> options.Settings:
        """Return the settings in the text of a boot file."""
        return settings.parse(text, 'boot').unwrap()

    def load(self) -> options.Settings:
        """Return ``next_settings``, in place of reading the settings file."""
        if isinstance(self.next_settings, errors.CommandError):
            raise self.next_settings
        return self.next_settings

    def reload(self) -> typing.Any:
        """Reload; return the only log line."""
        with testing.capture_logs() as lines:
            self.node.reload()
        (line,) = lines
        return line

    def test_reload_without_changes_logs_an_empty_list(self) -> None:
        line = self.reload()
        self.assertEqual('settings read', line['event'])
        self.assertEqual([], line['changed'])

    def test_reload_logs_changed_settings(self) -> None:
        text = fleetbuilders.BOOT_TEXT.replace(
            'hold_max_ms=10000', 'hold_max_ms=9000'
        )
        self.next_settings = self.parse(text)
        line = self.reload()
        self.assertEqual(['fleet.run_lease_s'], line['changed'])

    def test_invalid_settings_change_nothing(self) -> None:
        self.next_settings = errors.CommandError(
            errors.ExitCode.USAGE, 'boot: zone: expected a value'
        )
        line = self.reload()
        self.assertEqual('error', line['log_level'])
        self.assertEqual(('boot: zone: expected a value',), line['problems'])

    def test_node_is_ready_while_operator_rows_are_reachable(self) -> None:
        now = clock.monotonic()
        self.node.intake.set_queue_configuration(
            fleetbuilders.QUEUE_CONFIGURATION, lambda: now
        )
        self.assertFalse(self.node.is_ready(now))
        self.node._shard_follower._apply(table.Changes((), (), 1), now)
        self.assertTrue(self.node.is_ready(now))
        with mock.patch.object(
            tablefollower.TableFollower, 'is_reachable', new=False
        ):
            self.assertFalse(self.node.is_ready(now))


if __name__ == '__main__':
    unittest.main()
