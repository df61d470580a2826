"""What a peer may make a daemon keep, log, count or wait for."""

import types
import typing
import unittest
from unittest import mock

from structlog import testing

from primroselock import daemon
from primroselock.decisions import blackboard
from primroselock.mesh import links
from primroselock.mesh import membership
from primroselock.mesh import messages
from primroselock.mesh import relay
from primroselock import metrics
from primroselock import scheduler
from primroselock.test import builders
from primroselock.test import meshcrowds

_CLOCK: typing.Final = 'primroselock.clock.monotonic'
_SOUND_ADDRESSES: typing.Final = ('127.0.0.1:1', '[::1]:65535')
_ODD_ADDRESSES: typing.Final = (
    ':1',
    '127.0.0.1:x',
    '127.0.0.1:99999',
    '127.0.0.1:-1',
    f'{"x" * 64}.test:1',
    'localhost:1',
)


def _beacon(
    vm_id: str, loads: dict[str, messages.ShardLoad] | None = None
) -> messages.Beacon:
    return messages.Beacon(
        vm_id, 'i1', 1, 'gateway', 'a', 1, 0.1, loads_by_shard=loads or {}
    )


class PeerLoadsTest(unittest.TestCase):
    """The loads of other shards that a scheduler keeps."""

    def test_invented_shards_make_room_once_they_are_old(self) -> None:
        board = blackboard.Blackboard('a', 'a')
        lease = types.SimpleNamespace(shard='a')
        runner: typing.Any = types.SimpleNamespace(board=board, lease=lease)
        load = messages.ShardLoad(8, 0, 8)
        most = scheduler._MAX_PEER_SHARDS
        invented = {f'x{number}': load for number in range(most + 5)}
        for now, loads in (
            (100.0, invented),
            (105.0, {'early': load}),
            (105.1, {'b': load}),
        ):
            with mock.patch(_CLOCK, autospec=True, return_value=now):
                beacon = _beacon('vm-1', loads)
                scheduler.ShardRunner._record_beacon(runner, beacon)
            self.assertLessEqual(len(board.peers_by_shard), most)
        self.assertEqual({'b'}, board.peers_by_shard.keys())


class RefusedBeaconsTest(unittest.IsolatedAsyncioTestCase):
    """Beacons for which a daemon has no room."""

    async def test_they_cost_little(self) -> None:
        settings = builders.build_settings('[mesh]\nmax_members = 1\n')
        shared = daemon.Daemon(settings, 'gateway')
        shared._record_beacon(_beacon('vm-1'))
        with (
            testing.capture_logs() as lines,
            mock.patch.object(
                shared.members,
                'list_live',
                autospec=True,
                side_effect=shared.members.list_live,
            ) as scan,
            mock.patch(_CLOCK, autospec=True) as clock,
        ):
            for at_ms in range(0, 2_000, 10):
                clock.return_value = 1e6 + at_ms / 1_000
                shared._record_beacon(_beacon(f'{at_ms}' + 'x' * 10_000))
        await shared.aclose()
        self.assertLessEqual(scan.call_count, 2)
        self.assertLessEqual(max(len(line['vm']) for line in lines), 64)
        self.assertNotIn('processes', lines[0]['event'])
        self.assertLessEqual(len(shared.members.peers_by_process), 1)

    async def test_room_of_the_silent_is_used(self) -> None:
        settings = builders.build_settings('[mesh]\nmax_members = 1\n')
        shared = daemon.Daemon(settings, 'gateway')
        retention_s = membership.PEER_RETENTION_S
        with mock.patch(_CLOCK, autospec=True) as clock:
            for at_s, vm_id in (
                (0.0, 'vm-1'),
                (retention_s - 0.5, 'vm-2'),
                (retention_s + 0.6, 'vm-3'),
            ):
                clock.return_value = 1e6 + at_s
                shared._record_beacon(_beacon(vm_id))
        await shared.aclose()
        kept = {vm_id for vm_id, _ in shared.members.peers_by_process}
        self.assertEqual({'vm-3'}, kept)


class HandshakeTest(unittest.IsolatedAsyncioTestCase):
    """A handshake whose two halves come in either order."""

    async def test_it_ends_with_either_half(self) -> None:
        half = meshcrowds.greeting() + meshcrowds.ready(b'DEALER')
        settings = builders.build_settings().mesh
        for is_caller in (False, True):
            for is_arriving_first in (False, True):
                with self.subTest(
                    is_caller=is_caller, is_arriving_first=is_arriving_first
                ):
                    guard = links.build_guard(
                        'mesh', settings, 10, metrics.Metrics()
                    )
                    inbox = relay.Counted(mock.Mock(), relay.Budget(1_000))
                    joined = relay.Relay(guard, inbox, 1_000, is_caller)
                    joined._inner.transport = mock.Mock()
                    joined.outer.transport = mock.Mock()
                    sides = [joined.outer, joined._inner]
                    for side in sides if is_arriving_first else sides[::-1]:
                        self.assertFalse(joined.is_open)
                        joined.take(side, half)
                    self.assertTrue(joined.is_open)


class LinkAddressTest(unittest.TestCase):
    """Addresses that a VM list names."""

    def test_only_ip_addresses_and_ports(self) -> None:
        inbox: typing.Any = None
        guard: typing.Any = None
        for address in _SOUND_ADDRESSES:
            links.Link(address, inbox, guard)
        for address in _ODD_ADDRESSES:
            with self.subTest(address), self.assertRaises(ValueError):
                links.Link(address, inbox, guard)


class UnsentTest(unittest.TestCase):
    """The answers that have not left the library."""

    def test_heartbeats_free_no_room(self) -> None:
        settings = builders.build_settings().mesh
        door = links.Door(settings, mock.Mock(), metrics.Metrics())
        with mock.patch(_CLOCK, autospec=True, return_value=100.0):
            self.assertTrue(door.may_send(settings.max_held_bytes))
            for _ in range(10):
                door._note_sent(links._LEAST_PIECE_BYTES - 1)
            self.assertFalse(door.may_send(2_000))
            door._note_sent(2_000)
            self.assertTrue(door.may_send(2_000))


if __name__ == '__main__':
    unittest.main()
