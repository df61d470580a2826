"""Keeps the configuration confirmed, by the platform or through peers.

In each availability zone one process, the poller, reads the head row at
an interval; the role rotates among the processes known from beacons (see
:func:`membership.choose_poller`).  The others query the poller.  A
process whose confirmation is late reads the platform itself and queries
the peers of any zone with the newest confirmations.  An inaccurate view
of the members therefore costs additional reads only, and a zone that is
disconnected from the platform is confirmed through other zones.

The age in a beacon is never used as a confirmation, because a message may
have waited in a buffer while its receiver was paused.  A process
records the time before it sends a query, and the reply confirms the
configuration as of that time minus the age that the peer reported,
however long either side was paused.  A beacon with a newer version
makes the receiver query its sender at once.

A process that starts while the platform is unavailable queries every
known peer and, after ``cold_start_wait_s``, serves with the newest
version that it received.
"""

import asyncio
import dataclasses
import random
import typing

from primroselock import backgroundtasks
from primroselock import clock
from primroselock import follower
from primroselock import logs
from primroselock.mesh import membership
from primroselock.mesh import messages
from primroselock.mesh import node
from primroselock import options

_QUERY_TTL_S: typing.Final = 10.0
"""Age at which a query without a reply is dropped."""

_FRESHEST_PEER_COUNT: typing.Final = 2
_JITTER: typing.Final = 0.1
"""Relative variation of the poll interval."""

_log: typing.Final = logs.get('relay')


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingQuery:
    address: str
    sent_at: float


class ConfigurationSync:
    """Polls, sends queries and replies for one process's follower."""

    def __init__(
        self,
        settings: options.Settings,
        configuration_follower: follower.ConfigurationFollower,
        mesh: node.MeshNode,
        members: membership.Members,
        incarnation: str,
    ) -> None:
        self._settings = settings.configuration
        self._zone = settings.process.zone
        self._follower = configuration_follower
        self._mesh = mesh
        self._members = members
        self._incarnation = incarnation
        self._queries_by_number: dict[int, _PendingQuery] = {}
        self._last_number = 0
        self._query_tasks: set[asyncio.Task[None]] = set()
        self._generator = random.Random(incarnation)
        mesh.add_handler(self._handle_message)
        mesh.set_responder(self._answer_query)

    async def run_polls(self) -> None:
        """Poll the platform at an interval, until cancelled.

        Only while this process is the poller or its confirmation is late.
        """
        while True:
            if self._should_poll(clock.monotonic()):
                await self._follower.poll()
            await self._pause()

    async def run_queries(self) -> None:
        """Query the poller, and more peers while the confirmation is late."""
        started_at = clock.monotonic()
        while True:
            now = clock.monotonic()
            for address in self._choose_targets(now):
                await self._query(address)
            if now - started_at > self._settings.cold_start_wait_s:
                self._follower.serve_unconfirmed()
            await self._pause()

    async def _pause(self) -> None:
        factor = self._generator.uniform(1 - _JITTER, 1 + _JITTER)
        await asyncio.sleep(self._settings.poll_interval_s * factor)

    def _is_poller(self, now: float) -> bool:
        return self._find_poller(now) is None

    def _find_poller(self, now: float) -> membership.PeerState | None:
        """Return the zone's poller, or None when it is this process."""
        same_zone = {
            peer.beacon.incarnation: peer
            for peer in self._members.list_live(now)
            if peer.beacon.zone == self._zone and not peer.beacon.leaving
        }
        chosen = membership.choose_poller(
            [self._incarnation, *same_zone],
            clock.wall(),
            self._settings.poller_rotation_s,
        )
        return same_zone.get(chosen)

    def _is_confirmation_late(self, now: float) -> bool:
        """Return whether it is missing or older than two poll intervals."""
        age_s = self._follower.age_s(now)
        return age_s < 0 or age_s > 2 * self._settings.poll_interval_s

    def _should_poll(self, now: float) -> bool:
        return self._is_poller(now) or self._is_confirmation_late(now)

    def _choose_targets(self, now: float) -> list[str]:
        """Return the addresses to query now.

        These are all peers until calls are served; afterwards the poller
        and, while the confirmation is late, the freshest peers.
        """
        if not self._follower.serving:
            return list(self._mesh.peers)
        poller = self._find_poller(now)
        targets = [] if poller is None else [poller.beacon.address]
        if self._is_confirmation_late(now):
            targets += self._freshest_peers(now)
        return list(dict.fromkeys(targets))

    def _freshest_peers(self, now: float) -> list[str]:
        """Return the addresses of peers that report the newest confirmation.

        One more is drawn at random, since beacons may be inaccurate.
        """
        confirmed = [
            peer
            for peer in self._members.list_live(now)
            if peer.beacon.config_age_s >= 0
        ]
        if not confirmed:
            return []
        confirmed.sort(key=lambda peer: peer.config_age_s(now))
        drawn = self._generator.choice(confirmed)
        return [
            peer.beacon.address
            for peer in [*confirmed[:_FRESHEST_PEER_COUNT], drawn]
        ]

    async def _query(self, address: str) -> None:
        now = clock.monotonic()
        self._last_number += 1
        number = self._last_number
        self._queries_by_number[number] = _PendingQuery(address, now)
        self._drop_expired_queries(now)
        version = self._follower.current.version
        await self._mesh.send_query(
            address, messages.ConfigQuery(number, version)
        )

    def _drop_expired_queries(self, now: float) -> None:
        # The queries are in the order in which they were sent.
        for number, query in list(self._queries_by_number.items()):
            if now - query.sent_at <= _QUERY_TTL_S:
                return
            del self._queries_by_number[number]

    def _answer_query(
        self, query: messages.ConfigQuery
    ) -> messages.ConfigReply | None:
        return self._follower.answer(query, clock.monotonic())

    def _handle_message(self, message: messages.Message) -> None:
        if isinstance(message, messages.ConfigReply):
            query = self._queries_by_number.pop(message.number, None)
            if query is not None:
                self._follower.apply_reply(
                    message, query.sent_at, clock.monotonic()
                )
        elif isinstance(message, messages.Beacon):
            if message.config_version > self._follower.current.version:
                self._query_soon(message.address)

    def _query_soon(self, address: str) -> None:
        """Query at once, unless a query to the peer is already pending.

        A query older than the poll interval does not count.
        """
        since = clock.monotonic() - self._settings.poll_interval_s
        for query in self._queries_by_number.values():
            if query.address == address and query.sent_at > since:
                return
        task = backgroundtasks.start(self._query(address), 'mesh query')
        self._query_tasks.add(task)
        task.add_done_callback(self._query_tasks.discard)
