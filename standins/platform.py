"""Stand-in for the platform: table, object store and delayed VM list.

One process listens on one port per zone, so that faults can be injected for
each zone separately.  ``POST /admin/faults`` sets the fault of a zone:

    {"zone": "a",
     "mode": "none" | "down" | "reads_down" | "slow" | "lose_reply",
     "delay_s": 1.0, "count": 1}

``down`` answers 503, ``reads_down`` does so for all calls but transactions,
``slow`` delays each call, and ``lose_reply`` applies a transaction, then
closes the connection without a response; with ``count``, only that many
times.  ``POST /admin/vms`` adds, replaces or removes VMs; the served VM list
lags behind by ``--lag-s``.
"""

import argparse
import asyncio
import bisect
import dataclasses
import hashlib
import time
import typing

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from primroselock.store import table
from primroselock.store import vmlist
from standins import serving


@dataclasses.dataclass
class Fault:
    """Injected fault of one zone.

    ``delay_s`` applies to ``slow``, ``count`` to ``lose_reply``; a ``count``
    of None means no limit.
    """

    mode: str = 'none'
    delay_s: float = 0.0
    count: int | None = None


class Store:
    """The table's rows, sorted by key, the objects and the VM list."""

    def __init__(self) -> None:
        self.rows: dict[str, table.Row] = {}
        self.sorted_keys: list[str] = []
        self.version = 0
        self.objects: dict[str, bytes] = {}
        self.vms: dict[str, vmlist.Vm] = {}
        self.vm_history: list[tuple[float, list[vmlist.Vm]]] = []
        self.reads = 0
        self.writes = 0

    def transact(self, transaction: table.Transaction) -> list[str]:
        """Apply a transaction; return the keys whose conditions fail.

        Nothing is applied if any condition fails.
        """
        failed = [
            condition.key
            for condition in transaction.conditions
            if self._version_of(condition.key) != condition.version
        ]
        if failed:
            return failed
        self.version += 1
        self.writes += 1
        for put in transaction.puts:
            if put.key not in self.rows:
                bisect.insort(self.sorted_keys, put.key)
            self.rows[put.key] = table.Row(
                put.key, put.value, self.version, transaction.token
            )
        for key in transaction.deletes:
            if self.rows.pop(key, None) is not None:
                index = bisect.bisect_left(self.sorted_keys, key)
                del self.sorted_keys[index]
        return []

    def _version_of(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else table.ABSENT

    def scan(self, prefix: str, after: str, limit: int) -> list[table.Row]:
        """Return rows of ``prefix`` after the key ``after``, sorted by key."""
        start = max(prefix, after)
        index = bisect.bisect_left(self.sorted_keys, start)
        found: list[table.Row] = []
        while index < len(self.sorted_keys) and len(found) < limit:
            key = self.sorted_keys[index]
            if not key.startswith(prefix):
                break
            if key > after:
                found.append(self.rows[key])
            index += 1
        return found

    def list_vms(self, lag_s: float) -> list[vmlist.Vm]:
        """Return the VM list as it was ``lag_s`` ago."""
        moment = time.monotonic() - lag_s
        listed: list[vmlist.Vm] = []
        for at, vms in self.vm_history:
            if at <= moment:
                listed = vms
        return listed


class ConnectionDropped(Exception):
    """Raised to close a connection without a response."""


class ZonePort:
    """The port through which one zone reaches the platform."""

    def __init__(self, zone: str, store: Store, lag_s: float) -> None:
        self.zone = zone
        self.store = store
        self.lag_s = lag_s
        self.fault = Fault()

    def app(self, admin: list[routing.Route]) -> applications.Starlette:
        """Return the HTTP application of this port."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    '/v1/table/{call}', self.table_call, methods=['POST']
                ),
                routing.Route('/v1/vms', self.vms),
                routing.Route(
                    '/v1/objects/{name:path}',
                    self.object_call,
                    methods=['GET', 'PUT'],
                ),
                *admin,
            ]
        )

    async def _apply_fault(self, is_write: bool = False) -> bool:
        """Apply the injected fault; return whether to serve the call."""
        fault = self.fault
        if fault.mode == 'slow':
            await asyncio.sleep(fault.delay_s)
        if fault.mode == 'reads_down':
            return is_write
        return fault.mode != 'down'

    async def table_call(
        self, request: requests.Request
    ) -> responses.Response:
        """Serve a read, a scan or a transaction of the table."""
        body = await request.body()
        call = request.path_params['call']
        if not await self._apply_fault(call == 'transact'):
            return responses.Response(status_code=503)
        if call == 'read':
            self.store.reads += 1
            keys = msgspec.json.decode(body)['keys']
            rows = self.store.rows
            return json_response([rows[key] for key in keys if key in rows])
        if call == 'scan':
            self.store.reads += 1
            query = msgspec.json.decode(body)
            return json_response(self.store.scan(**query))
        transaction = msgspec.json.decode(body, type=table.Transaction)
        failed = self.store.transact(transaction)
        self._lose_reply()
        if failed:
            return json_response({'keys': failed}, 409)
        return json_response(table.Committed(self.store.version))

    def _lose_reply(self) -> None:
        fault = self.fault
        if fault.mode != 'lose_reply':
            return
        if fault.count is not None:
            fault.count -= 1
            if fault.count <= 0:
                self.fault = Fault()
        raise ConnectionDropped

    async def vms(self, request: requests.Request) -> responses.Response:
        """Serve the VM list."""
        if not await self._apply_fault():
            return responses.Response(status_code=503)
        body = msgspec.json.encode(self.store.list_vms(self.lag_s))
        tag = f'"{hashlib.sha256(body).hexdigest()[:16]}"'
        if request.headers.get('if-none-match') == tag:
            return responses.Response(status_code=304)
        return responses.Response(body, headers={'ETag': tag})

    async def object_call(
        self, request: requests.Request
    ) -> responses.Response:
        """Serve the read or write of an object."""
        if not await self._apply_fault():
            return responses.Response(status_code=503)
        name = request.path_params['name']
        if request.method == 'PUT':
            self.store.writes += 1
            self.store.objects[name] = await request.body()
            return responses.Response()
        self.store.reads += 1
        if name not in self.store.objects:
            return responses.Response(status_code=404)
        return responses.Response(self.store.objects[name])


def json_response(body: typing.Any, status: int = 200) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(body), status, media_type='application/json'
    )


class VmChange(msgspec.Struct):
    """VMs to add or replace, and ids to remove."""

    put: list[vmlist.Vm] = []
    remove: list[str] = []


class FaultChange(msgspec.Struct):
    """The fault to set for a zone."""

    zone: str
    mode: str
    delay_s: float = 0.0
    count: int | None = None


class Admin:
    """The stand-in's own admin calls."""

    def __init__(self, store: Store, ports: dict[str, ZonePort]) -> None:
        self.store = store
        self.ports = ports

    def routes(self) -> list[routing.Route]:
        """Return the routes of the admin calls."""
        return [
            routing.Route('/admin/faults', self.faults, methods=['POST']),
            routing.Route('/admin/vms', self.vms, methods=['POST']),
            routing.Route('/admin/counters', self.counters),
        ]

    async def faults(self, request: requests.Request) -> responses.Response:
        """Set the injected fault of one zone."""
        change = msgspec.json.decode(await request.body(), type=FaultChange)
        self.ports[change.zone].fault = Fault(
            change.mode, change.delay_s, change.count
        )
        return json_response({})

    async def vms(self, request: requests.Request) -> responses.Response:
        """Change the VM list; it is served with the change after the lag."""
        change = msgspec.json.decode(await request.body(), type=VmChange)
        for vm in change.put:
            self.store.vms[vm.id] = vm
        for vm_id in change.remove:
            self.store.vms.pop(vm_id, None)
        self.store.vm_history.append(
            (time.monotonic(), list(self.store.vms.values()))
        )
        return json_response({})

    async def counters(self, request: requests.Request) -> responses.Response:
        """Return how many reads and writes the store has served.

        Objects count as well as rows; reads of the VM list and transactions
        with a failed condition do not.
        """
        return json_response(
            {'reads': self.store.reads, 'writes': self.store.writes}
        )


async def run(parsed: argparse.Namespace) -> None:
    """Serve the ports of all zones until the process is terminated."""
    store = Store()
    ports = {
        zone: ZonePort(zone, store, parsed.lag_s) for zone in parsed.zones
    }
    admin = Admin(store, ports).routes()
    listeners = {zone: serving.bind('127.0.0.1:0') for zone in ports}
    serving.announce(
        zones={
            zone: serving.address_of(listener)
            for zone, listener in listeners.items()
        }
    )
    await asyncio.gather(
        *(
            serving.serve(port.app(admin), listeners[zone])
            for zone, port in ports.items()
        )
    )


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--zones', nargs='+', required=True)
    parser.add_argument('--lag-s', type=float, default=0.2)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
