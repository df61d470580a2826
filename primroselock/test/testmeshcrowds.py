"""Who reaches the address between the daemons does not end one.

Each test starts one gateway process; the crowds are small, and the limits in
its settings are low.  Without keys whoever reaches the address is a peer.
"""

import asyncio
import unittest

import zmq

from primroselock.test import crowds
from primroselock.test import meshcrowds

_BIG = 3 * 1024 * 1024
_ROUNDS = 600


class MeshCrowdCase(unittest.IsolatedAsyncioTestCase):
    """A gateway process and what must hold after a crowd."""

    keys: dict[str, str] = {}

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.gateway = await asyncio.to_thread(meshcrowds.Gateway, self.keys)
        self.addCleanup(self.gateway.cluster.close)
        self.assertEqual(200, await self.ask_until_served())

    async def ask_until_served(self) -> int:
        """Return the status of an ordinary request."""
        return await crowds.ask_until_served(
            lambda: asyncio.to_thread(self.gateway.ask)
        )

    async def play(self, clients: crowds.Clients) -> list[crowds.Sent]:
        """Let a crowd send; check what must hold."""
        before_kb = self.gateway.peak_kb()
        try:
            sent = await clients.send()
            during = await self.ask_until_served()
            sockets = self.gateway.count_sockets()
        finally:
            clients.close()
        await self.check(before_kb, during, sockets)
        return sent

    async def check(self, before_kb: int, during: int, sockets: int) -> None:
        """Check memory, sockets, and that everybody is still served."""
        after = await self.ask_until_served()
        is_answering = await self.gateway.is_answering_peers()
        if self.gateway.process.find_exit_code() is not None:
            self.fail(f'it has ended: {self.gateway.process.describe()}')
        growth_kb = self.gateway.peak_kb() - before_kb
        rules = (
            (growth_kb <= crowds.GROWTH_KB, f'grew by {growth_kb} KB'),
            (sockets <= meshcrowds.MAX_SOCKETS, f'{sockets} sockets'),
            (during == 200, f'answer beside the crowd: {during}'),
            (after == 200, f'answer after the crowd: {after}'),
            (is_answering, 'no answer to a peer'),
        )
        self.assertEqual([], [what for holds, what in rules if not holds])

    async def play_raw(
        self, start: bytes, more: bytes = b'', clients: int = 12
    ) -> list[crowds.Sent]:
        """Let clients send bytes without a handshake."""
        crowd = crowds.Crowd(start, more, clients)
        address = self.gateway.mesh_address
        return await self.play(crowds.Clients(crowd, address))

    async def play_peers(
        self, start: bytes, more: bytes = b''
    ) -> list[crowds.Sent]:
        """Let clients come through the handshake and send."""
        crowd = crowds.Crowd(start, more)
        address = self.gateway.mesh_address
        return await self.play(meshcrowds.Peers(crowd, address))


class HandshakeCrowdTest(MeshCrowdCase):
    """Connections that nobody has been let in on."""

    async def test_many_that_send_nothing(self) -> None:
        await self.play_raw(b'', clients=300)

    async def test_many_half_handshakes(self) -> None:
        await self.play_raw(meshcrowds.greeting(), clients=300)

    async def test_bytes_of_another_protocol(self) -> None:
        await self.play_raw(crowds.open_head(), b'ab: cd\r\n')

    async def test_a_command_that_does_not_end(self) -> None:
        start = meshcrowds.greeting() + meshcrowds.start_of_command(_BIG)
        await self.play_raw(start + b'x' * (_BIG - 1))

    async def test_commands_without_end(self) -> None:
        command = meshcrowds.ready(b'DEALER')
        await self.play_raw(meshcrowds.greeting(), command)


class KeyCrowdTest(MeshCrowdCase):
    """The same where the deployment has keys."""

    async def asyncSetUp(self) -> None:
        public, secret = (key.decode() for key in zmq.curve_keypair())
        self.keys = {'public_key': public, 'secret_key': secret}
        await super().asyncSetUp()

    async def test_many_half_handshakes(self) -> None:
        await self.play_raw(meshcrowds.greeting(b'CURVE'), clients=300)

    async def test_a_command_that_does_not_end(self) -> None:
        start = meshcrowds.greeting(b'CURVE')
        start += meshcrowds.start_of_command(_BIG)
        await self.play_raw(start + b'x' * (_BIG - 1))

    async def test_a_peer_without_keys(self) -> None:
        await self.play_raw(
            meshcrowds.greeting() + meshcrowds.ready(b'DEALER'),
            meshcrowds.part(b'x' * 8000),
        )


class PeerCrowdTest(MeshCrowdCase):
    """What comes through the handshake, which is all without keys."""

    async def test_parts_without_end(self) -> None:
        await self.play_peers(b'', meshcrowds.part(b'x' * 8000))

    async def test_empty_parts_without_end(self) -> None:
        await self.play_peers(b'', meshcrowds.part(b''))

    async def test_messages_that_do_not_end(self) -> None:
        start = meshcrowds.start_of_frame(_BIG)
        await self.play_peers(start + b'x' * (_BIG - 1))

    async def test_a_message_of_a_size_without_end(self) -> None:
        await self.play_peers(meshcrowds.start_of_frame(2**62), b'x')

    async def test_large_messages_without_end(self) -> None:
        await self.play_peers(b'', meshcrowds.frame(b'\xc1' * 200_000))

    async def test_small_messages_without_end(self) -> None:
        await self.play_peers(b'', meshcrowds.frame(b'\xc1'))

    async def test_connections_that_end_amid_their_messages(self) -> None:
        """Guards against an assertion of the library, which ends a process."""
        crowd = crowds.Crowd(b'', meshcrowds.frame(b'\xc1'), 12, 300_000)
        for _ in range(_ROUNDS):
            clients = meshcrowds.Peers(crowd, self.gateway.mesh_address)
            await clients.send()
            clients.close()
        self.assertIsNone(self.gateway.process.find_exit_code())
        await self.play_peers(b'', meshcrowds.frame(b'\xc1'))

    async def test_beacons_of_one_vm_without_end(self) -> None:
        await self.play_peers(b'', meshcrowds.beacon('vm'))

    async def test_beacons_of_new_vms_without_end(self) -> None:
        crowd = crowds.Crowd(b'')
        address = self.gateway.mesh_address
        await self.play(meshcrowds.NewVms(crowd, address))

    async def test_queries_whose_answers_nobody_reads(self) -> None:
        await asyncio.to_thread(self.gateway.write_a_large_configuration)
        await self.play_peers(b'', meshcrowds.query())

    async def test_a_beacon_with_the_address_of_a_hostile_peer(self) -> None:
        """The daemon connects to what a beacon names."""
        hostile = meshcrowds.HostilePeer()
        await hostile.start()
        self.addAsyncCleanup(hostile.close)
        before_kb = self.gateway.peak_kb()
        crowd = crowds.Crowd(meshcrowds.beacon('vm', hostile.address))
        clients = meshcrowds.Peers(crowd, self.gateway.mesh_address)
        try:
            await clients.send()
            await crowds.wait_until(lambda: hostile.connections > 0)
            during = await self.ask_until_served()
            await asyncio.sleep(1.0)
            sockets = self.gateway.count_sockets()
        finally:
            clients.close()
        await self.check(before_kb, during, sockets)


if __name__ == '__main__':
    unittest.main()
