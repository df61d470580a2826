"""What a peer may make a daemon keep, log, count or wait for."""

import types
import typing
import unittest
from unittest import mock

from primroselock.decisions import blackboard
from primroselock.mesh import messages
from primroselock import scheduler

_CLOCK: typing.Final = 'primroselock.clock.monotonic'


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


if __name__ == '__main__':
    unittest.main()
