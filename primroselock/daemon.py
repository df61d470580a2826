"""Common parts of both daemons: platform, configuration, VM list, mesh.

A daemon runs its loops in one task group.  A signal sets ``stopping``;
the daemon then finishes its work in progress and exits.  A second signal
ends it at once.  SIGHUP is logged only.  Each of them leaves a log line, so
that a daemon that ends without one was killed.
"""

import asyncio
from collections import abc
import math
import os
import signal
import typing
import uuid

import result

from primroselock import clock
from primroselock import configsync
from primroselock import confirmations
from primroselock import errors
from primroselock import follower
from primroselock import logs
from primroselock.mesh import membership
from primroselock.mesh import messages
from primroselock.mesh import node
from primroselock import metrics
from primroselock import options
from primroselock import sockets
from primroselock.store import client
from primroselock.store import vmlist
from primroselock import waits

_log: typing.Final = logs.get('daemon')
_INCARNATION_DIGITS: typing.Final = 12
_MAKE_ROOM_INTERVAL_S: typing.Final = 1.0
_LOGGED_CHARACTERS: typing.Final = 64
"""What is logged of the VM id in a beacon that is left out."""

VmHandler = abc.Callable[[list[vmlist.Vm]], None]


class Daemon:
    """The parts that a gateway and a scheduler have in common."""

    def __init__(self, settings: options.Settings, role: str) -> None:
        self.settings = settings
        self.role = role
        self.incarnation = uuid.uuid4().hex[:_INCARNATION_DIGITS]
        self.metrics = metrics.Metrics()
        self.platform = client.PlatformClient(
            settings, 'work', settings.platform.connections
        )
        # Its own connections, so that leases and the configuration never
        # wait for other calls.
        self.control_platform = client.PlatformClient(
            settings, 'control', settings.platform.control_connections
        )
        self.follower = follower.ConfigurationFollower(
            settings, self.control_platform
        )
        self.mesh = node.MeshNode(settings, self.metrics)
        self.stopping = asyncio.Event()
        self.vms: list[vmlist.Vm] = []
        self._daemon_vms: list[vmlist.Vm] = []
        # Monotonic time at which the last successful request for the VM list
        # was sent.
        self.vms_read_at: float | None = None
        self.members = membership.Members(settings)
        self._made_room_at = -math.inf
        self.slots_by_upstream: dict[str, int] = {}
        self.loads_by_shard: dict[str, messages.ShardLoad] = {}
        self.status_address = ''
        self._vm_handlers: list[VmHandler] = []
        self._sequence = 0
        self.mesh.add_handler(self._record_beacon)
        self.config_sync = configsync.ConfigurationSync(
            settings,
            self.follower,
            self.mesh,
            self.members,
            self.incarnation,
        )

    def add_vm_handler(self, handler: VmHandler) -> None:
        """Call ``handler`` after each successful read of the VM list.

        It receives the same object while the list is unchanged.
        """
        self._vm_handlers.append(handler)

    def install_signals(self) -> None:
        """Shut down on SIGTERM or SIGINT; exit at once on the second.

        SIGHUP, which would end the process without a handover, is ignored.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._on_signal, number)
        loop.add_signal_handler(signal.SIGHUP, self._on_hangup)

    def _on_signal(self, number: signal.Signals) -> None:
        if self.stopping.is_set():
            _log.warning('exiting at once', signal=number.name)
            os._exit(errors.ExitCode.REFUSED)
        _log.info('stopping', signal=number.name)
        self.stopping.set()

    def _on_hangup(self) -> None:
        _log.warning(
            'SIGHUP ignored: settings are read at the next start only'
        )

    def start_loops(
        self, group: asyncio.TaskGroup
    ) -> list[asyncio.Task[None]]:
        """Start the shared loops; the caller cancels them at shutdown."""
        return [
            group.create_task(self.config_sync.run_polls()),
            group.create_task(self.config_sync.run_queries()),
            group.create_task(self._follow_vms()),
            group.create_task(self.mesh.run()),
            group.create_task(self._send_beacons()),
        ]

    async def aclose(self) -> None:
        """Close the connections."""
        await self.mesh.aclose()
        await self.platform.aclose()
        await self.control_platform.aclose()

    async def _follow_vms(self) -> None:
        interval_s = self.settings.platform.vm_list_interval_s
        while True:
            sent_at = clock.monotonic()
            listed = await self.control_platform.list_vms()
            if isinstance(listed, result.Ok):
                # An unchanged list is returned as the same object.
                if listed.ok_value is not self.vms:
                    self._set_vms(listed.ok_value)
                self.vms_read_at = sent_at
                self._notify_vms()
            await asyncio.sleep(interval_s)

    def _set_vms(self, vms: list[vmlist.Vm]) -> None:
        """Apply a list that changed."""
        self.vms = vms
        self._daemon_vms = [
            vm for vm in vms if vm.role in confirmations.DAEMON_ROLES
        ]

    def _notify_vms(self) -> None:
        self._choose_peers(clock.monotonic())
        for handler in self._vm_handlers:
            handler(self.vms)

    def _choose_peers(self, now: float) -> None:
        """Choose peers from the settings, the VM list and beacons."""
        zones_by_address = {
            address: '' for address in self.settings.mesh.peers
        }
        for vm in self._daemon_vms:
            if not vm.leaving:
                zones_by_address[vm.mesh] = vm.zone
        for peer in self.members.list_live(now):
            zones_by_address[peer.beacon.address] = peer.beacon.zone
        zones_by_address[self.mesh.address] = self.settings.process.zone
        self.mesh.set_peers(
            membership.choose_peers(
                self.mesh.address,
                zones_by_address,
                self.settings.mesh.max_peers,
            )
        )

    async def _send_beacons(self) -> None:
        """Send a beacon at an interval, and at once after a change."""
        interval_s = self.settings.mesh.beacon_interval_s
        while True:
            now = clock.monotonic()
            self._choose_peers(now)
            await self.mesh.publish(self.build_beacon(now))
            await waits.wait_event(self.follower.changed, interval_s)

    def build_beacon(self, now: float) -> messages.Beacon:
        """Return this process's next beacon.

        Each call uses a new sequence number; ``now`` is on the monotonic
        clock.
        """
        self._sequence += 1
        return messages.Beacon(
            self.settings.process.vm_id,
            self.incarnation,
            self._sequence,
            self.role,
            self.settings.process.zone,
            self.follower.current.version,
            round(self.follower.age_s(now), 3),
            self.stopping.is_set(),
            dict(self.slots_by_upstream),
            self.mesh.advertised_address,
            dict(self.loads_by_shard),
            sockets.find_reachable(
                self.status_address, self.mesh.advertised_address
            ),
        )

    def confirmations(
        self, version: int, now: float
    ) -> confirmations.Confirmations:
        """Return which processes apply ``version``, by their beacons."""
        return confirmations.collect(
            version, self.build_beacon(now), self.members, self.vms, now
        )

    def _record_beacon(self, message: messages.Message) -> None:
        if not isinstance(message, messages.Beacon):
            return
        size = self.mesh.message_bytes
        now = clock.monotonic()
        has_room = self.members.has_room(message, size)
        if not has_room and now - self._made_room_at >= _MAKE_ROOM_INTERVAL_S:
            self._made_room_at = now
            # Removes those that have been silent for long.
            self.members.list_live(now)
        if self.members.has_room(message, size):
            self.members.record(message, now, size)
            return
        self.metrics.count('mesh_beacons_refused')
        vm_id = message.vm_id[:_LOGGED_CHARACTERS]
        _log.warning('beacon left out: no room', vm=vm_id)
