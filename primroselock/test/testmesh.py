"""Tests of mesh membership, peers, relayed confirmations and keys."""

import asyncio
import contextlib
import math
import typing
import unittest

import hypothesis
from hypothesis import strategies as st
import msgspec
from structlog import testing
import zmq

from primroselock import follower
from primroselock.mesh import links
from primroselock.mesh import membership
from primroselock.mesh import messages
from primroselock.mesh import node
from primroselock import patchsubmission
from primroselock.test import builders
from primroselock.test import fakestore

PEER_EXPIRY_S: typing.Final = builders.build_settings().mesh.peer_expiry_s


def build_beacon(
    incarnation: str = 'i1', sequence: int = 1, vm_id: str = 'vm-1'
) -> messages.Beacon:
    """Return a beacon of a gateway."""
    return messages.Beacon(
        vm_id, incarnation, sequence, 'gateway', 'a', 1, 0.1
    )


class MembersTest(unittest.TestCase):
    """Membership with lost, duplicated and reordered beacons."""

    @hypothesis.given(st.lists(st.integers(1, 20), min_size=1))
    def test_newest_beacon_counts(self, arrivals: list[int]) -> None:
        members = membership.Members(builders.build_settings())
        for at, sequence in enumerate(arrivals):
            members.record(build_beacon(sequence=sequence), float(at))
        peer = members.peers_by_process[('vm-1', 'gateway')]
        self.assertEqual(max(arrivals), peer.beacon.sequence)
        first = arrivals.index(max(arrivals))
        self.assertEqual(float(first), peer.received_at)

    def test_replaced_vm_is_represented_by_its_new_process(self) -> None:
        members = membership.Members(builders.build_settings())
        members.record(build_beacon('old', 50), 0.0)
        self.assertTrue(members.record(build_beacon('new', 1), 0.1))
        self.assertFalse(members.record(build_beacon('old', 51), 0.2))
        peer = members.peers_by_process[('vm-1', 'gateway')]
        self.assertEqual('new', peer.beacon.incarnation)

    def test_unresponsive_member_is_not_live_and_later_removed(self) -> None:
        members = membership.Members(builders.build_settings())
        members.record(build_beacon(), 0.0)
        self.assertEqual(1, len(members.list_live(PEER_EXPIRY_S)))
        self.assertEqual([], members.list_live(PEER_EXPIRY_S + 0.1))
        self.assertEqual(1, len(members.peers_by_process))
        members.list_live(membership.PEER_RETENTION_S + 0.1)
        self.assertEqual({}, members.peers_by_process)

    def test_members_in_excess_are_left_out(self) -> None:
        """Without keys, whoever reaches a daemon can name ever new VMs."""
        settings = builders.build_settings(
            '[mesh]\nmax_members = 2\nmax_message_bytes = 2000\n'
            'max_held_bytes = 4000\n'
        )
        members = membership.Members(settings)
        for vm_id in ('vm-1', 'vm-2'):
            beacon = build_beacon(vm_id=vm_id)
            self.assertTrue(members.has_room(beacon, 100))
            members.record(beacon, 0.0, 100)
        third = build_beacon(vm_id='vm-3')
        self.assertFalse(members.has_room(third, 100))
        later = build_beacon(sequence=2)
        self.assertTrue(members.has_room(later, 3000))
        self.assertFalse(members.has_room(later, 3400))
        members.record(later, membership.PEER_RETENTION_S, 3000)
        members.list_live(membership.PEER_RETENTION_S + 0.1)
        self.assertFalse(members.has_room(third, 500))
        self.assertTrue(members.has_room(third, 100))


class PeersTest(unittest.TestCase):
    """Each process has at most ``limit`` peers.

    Updates reach all processes in a logarithmic number of steps.
    """

    def test_mesh_is_bounded_and_connected(self) -> None:
        for size in (2, 14, 40, 150, 600):
            zones = {f'10.0.{i}:1': f'z{i % 6}' for i in range(size)}
            limit = 16
            peers = {
                own: membership.choose_peers(own, zones, limit)
                for own in zones
            }
            self.assertLessEqual(max(map(len, peers.values())), limit)
            reached, steps = {'10.0.0:1'}, 0
            while len(reached) < size:
                wider = reached.union(*(peers[own] for own in reached))
                self.assertNotEqual(reached, wider, size)
                reached, steps = wider, steps + 1
            self.assertLessEqual(steps, math.ceil(math.log2(size)))

    def test_poller_role_rotates(self) -> None:
        names = ['i1', 'i2', 'i3']
        pollers = {
            membership.choose_poller(names, 30.0 * rotation, 30.0)
            for rotation in range(60)
        }
        self.assertEqual(set(names), pollers)


class RelayedAgeTest(unittest.IsolatedAsyncioTestCase):
    """A relayed confirmation never appears newer than it is.

    The age is counted from before the query, so that a pause of either
    process or a difference of their clocks can only make it larger.
    """

    @hypothesis.given(
        delays=st.lists(st.floats(0, 100), min_size=4, max_size=4),
        offsets=st.tuples(st.floats(-1e3, 1e3), st.floats(-1e3, 1e3)),
    )
    def test_age_is_never_underestimated(
        self, delays: list[float], offsets: tuple[float, float]
    ) -> None:
        settings = builders.build_settings()
        store = fakestore.FakeStore()
        requester = follower.ConfigurationFollower(settings, store)
        peer = follower.ConfigurationFollower(settings, store)
        confirmed_at = 0.0
        asked_at = delays[0]
        answered_at = asked_at + delays[1]
        arrived_at = answered_at + delays[2] + delays[3]
        peer.confirmed_at = confirmed_at + offsets[0]
        answer = peer.answer(
            messages.ConfigQuery(1, 0), answered_at + offsets[0]
        )
        requester.apply_reply(
            answer, asked_at + offsets[1], arrived_at + offsets[1]
        )
        assert requester.confirmed_at is not None
        recorded_at = requester.confirmed_at - offsets[1]
        self.assertLessEqual(recorded_at, confirmed_at + 1e-6)

    async def test_peer_supplies_content_and_older_reply_changes_nothing(
        self,
    ) -> None:
        settings = builders.build_settings()
        store = fakestore.FakeStore()
        ahead = follower.ConfigurationFollower(settings, store)
        behind = follower.ConfigurationFollower(settings, store)
        cold = follower.ConfigurationFollower(settings, store)
        for base in range(3):
            text = f'[zone a]\nracks = {base}\n'
            submission = patchsubmission.Submission(base, text, '', 'ann', '')
            await patchsubmission.submit(store, submission, 0.0)
            await ahead.poll()
            if base == 0:
                await behind.poll()
        for process, held in ((behind, 1), (cold, 0)):
            now = process.confirmed_at or 0.0
            query = messages.ConfigQuery(1, held)
            process.apply_reply(ahead.answer(query, now), now, now)
            self.assertEqual(ahead.current, process.current)
        before = cold.confirmed_at
        stale = messages.ConfigReply(2, 1, 0.0, sections={})
        cold.apply_reply(stale, 1e9, 1e9)
        self.assertEqual(3, cold.current.version)
        self.assertEqual(before, cold.confirmed_at)


class KeysTest(unittest.IsolatedAsyncioTestCase):
    """Messages without the deployment's key pair are not accepted.

    Senders are one with the key pair, one without encryption and one that
    has only the public key.
    """

    async def test_only_the_key_pair_is_accepted(self) -> None:
        public_key, secret_key = (k.decode() for k in zmq.curve_keypair())
        keys = f'[mesh]\npublic_key = {public_key}\nsecret_key = {secret_key}'
        settings = builders.build_settings(keys)
        receiver = node.MeshNode(settings)
        received: list[str] = []
        receiver.add_handler(lambda m: received.append(getattr(m, 'vm_id')))
        running = asyncio.create_task(receiver.run())
        friend = node.MeshNode(settings)
        plain = node.MeshNode(builders.build_settings())
        context = zmq.Context()
        self.addCleanup(context.destroy, 0)
        stranger = _build_stranger(context, public_key)
        for sender in (friend, plain):
            sender.set_peers([receiver.address])
        stranger.connect(f'tcp://{receiver.address}')
        frame = msgspec.msgpack.encode(build_beacon(vm_id='stranger'))
        async with asyncio.timeout(20):
            while received.count('friend') < 10:
                await plain.publish(build_beacon(vm_id='plain'))
                with contextlib.suppress(zmq.Again):
                    stranger.send(frame, zmq.NOBLOCK)
                await friend.publish(build_beacon(vm_id='friend'))
                await asyncio.sleep(0.02)
        self.assertEqual({'friend'}, set(received))
        running.cancel()
        for each in (receiver, friend, plain):
            await each.aclose()


class SizesTest(unittest.IsolatedAsyncioTestCase):
    """Messages of the largest sizes, and where a peer comes and goes."""

    async def test_the_largest_messages_arrive(self) -> None:
        receiver = node.MeshNode(builders.build_settings())
        sender = node.MeshNode(builders.build_settings())
        sections = {'zone a': {'racks': 'x' * (links.MAX_REPLY_BYTES - 100)}}
        beacon = build_beacon(vm_id='x' * (1024 * 1024 - 100))
        received: list[messages.Message] = []
        replies: list[messages.Message] = []
        receiver.add_handler(received.append)
        receiver.set_responder(
            lambda query: messages.ConfigReply(1, 1, 0.0, sections=sections)
        )
        sender.add_handler(replies.append)
        running = asyncio.create_task(receiver.run())
        sender.set_peers([receiver.address])
        async with asyncio.timeout(20):
            while not received or not replies:
                await sender.publish(beacon)
                query = messages.ConfigQuery(1, 0)
                await sender.send_query(receiver.address, query)
                await asyncio.sleep(0.05)
        self.assertEqual(beacon, received[0])
        self.assertIsInstance(replies[0], messages.ConfigReply)
        running.cancel()
        for each in (receiver, sender):
            await each.aclose()

    async def test_a_peer_that_starts_later_and_again(self) -> None:
        settings = builders.build_settings()
        first = node.MeshNode(settings)
        address = first.address
        await first.aclose()
        sender = node.MeshNode(settings)
        sender.set_peers([address])
        again = builders.build_settings(f'[mesh]\nbind = {address}')
        for _ in range(2):
            receiver = node.MeshNode(again)
            received: list[messages.Message] = []
            receiver.add_handler(received.append)
            running = asyncio.create_task(receiver.run())
            async with asyncio.timeout(20):
                while not received:
                    await sender.publish(build_beacon())
                    await asyncio.sleep(0.02)
            running.cancel()
            await receiver.aclose()
        await sender.aclose()


class HandlersTest(unittest.IsolatedAsyncioTestCase):
    """Messages that a handler fails to apply, or that nobody could send."""

    async def test_an_odd_message_ends_no_loop(self) -> None:
        """Guards against one message that ends what receives the others."""
        receiver = node.MeshNode(builders.build_settings())
        sender = node.MeshNode(builders.build_settings())
        received: list[str] = []

        def fail(message: messages.Message) -> None:
            if getattr(message, 'vm_id') == 'odd':
                raise ZeroDivisionError

        receiver.add_handler(fail)
        receiver.add_handler(lambda m: received.append(getattr(m, 'vm_id')))
        running = asyncio.create_task(receiver.run())
        sender.set_peers([receiver.address])
        deep = b'\x81\xa1x' + b'\x91' * 100_000 + b'\xc0'
        with testing.capture_logs() as lines:
            async with asyncio.timeout(20):
                while received.count('good') < 3:
                    await sender.publish(build_beacon(vm_id='odd'))
                    for dealer in sender._dealers_by_address.values():
                        await sender._send(dealer, [deep])
                    await sender.publish(build_beacon(vm_id='good'))
                    await asyncio.sleep(0.02)
        self.assertFalse(running.done())
        events = {line['event'] for line in lines}
        self.assertIn('mesh message left out: not applied', events)
        self.assertIn('mesh message dropped: cannot be decoded', events)
        running.cancel()
        for each in (receiver, sender):
            await each.aclose()


def _build_stranger(
    context: zmq.Context[zmq.Socket[bytes]], public_key: str
) -> zmq.Socket[bytes]:
    """Return a socket that has only the public key of the deployment."""
    own_public, own_secret = zmq.curve_keypair()
    stranger = context.socket(zmq.DEALER)
    stranger.curve_serverkey = public_key.encode()
    stranger.curve_publickey = own_public
    stranger.curve_secretkey = own_secret
    return stranger


if __name__ == '__main__':
    unittest.main()
