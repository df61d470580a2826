"""The daemon of a node: the callers' interface and a standby of the shard.

This module only composes the parts.  All that is specific to a platform
comes from an adapter, which is registered by name.
"""

import asyncio
from collections import abc
import dataclasses
import signal
import socket
import typing

from primroselock import advicerequests
from primroselock import backgroundtasks
from primroselock import boardrows
from primroselock import clock
from primroselock import connectionlimits
from primroselock import errors
from primroselock import explaincalls
from primroselock import holderexplanations
from primroselock import httpserver
from primroselock import intake
from primroselock import logs
from primroselock import metrics
from primroselock import nodesignals
from primroselock import operatorviews
from primroselock import options
from primroselock import queues
from primroselock import shardholder
from primroselock import sockets
from primroselock.store import table
from primroselock.store import tablefollower
from primroselock import waits
from primroselock.workers import orders

_log: typing.Final = logs.get('node')
_PAUSE_CHECK_INTERVAL_S: typing.Final = 0.5
_PAUSE_THRESHOLD_S: typing.Final = 0.8
"""A sleep that ends this late shows that the process was paused."""


class QueueReader(typing.Protocol):
    """Builds a record from changes of the operators' rows."""

    current: queues.QueueConfiguration

    def apply(self, changes: table.Changes) -> bool:
        """Apply changes; return whether the record changed."""


class ClosableStore(table.FeedTable, typing.Protocol):
    """A store whose connections can be closed."""

    async def aclose(self) -> None:
        """Close the connections."""


@dataclasses.dataclass(frozen=True, slots=True)
class Adapter:
    """The parts of a node that are specific to a platform.

    ``build_store`` takes a name for its calls, the maximum number of
    connections and where to count bytes; ``build_run_client`` builds the
    client of the workers; ``build_client_api`` builds the ASGI application
    for callers; ``operator_table`` is the name of the table of the
    operators' rows; ``read_job`` reads a job as callers send it.
    """

    load_settings: abc.Callable[[], options.Settings]
    build_store: abc.Callable[
        [options.Settings, str, int, metrics.Metrics], ClosableStore
    ]
    build_run_client: abc.Callable[[], orders.RunClient]
    build_advice_client: abc.Callable[
        [options.Settings], advicerequests.AdviceClient
    ]
    build_reader: abc.Callable[[], QueueReader]
    build_client_api: abc.Callable[
        [options.Settings, intake.Intake, metrics.Metrics], typing.Any
    ]
    worker_rows: boardrows.WorkerRowReader
    operator_table: str
    read_job: holderexplanations.ReadJob


adapters_by_name: typing.Final[dict[str, abc.Callable[[], Adapter]]] = {}


def adapter(
    name: str,
) -> abc.Callable[[abc.Callable[[], Adapter]], abc.Callable[[], Adapter]]:
    """Register the decorated factory of an adapter under ``name``."""

    def register(make: abc.Callable[[], Adapter]) -> abc.Callable[[], Adapter]:
        adapters_by_name[name] = make
        return make

    return register


class Node:
    """One process of the system, with all its parts."""

    def __init__(self, settings: options.Settings, platform: Adapter) -> None:
        self._settings = settings
        self._load_settings = platform.load_settings
        self.metrics = metrics.Metrics()
        # Each with its own connections and rate, so that what callers ask
        # for does not hold up the holder, nor either of them the feeds.
        self._store = platform.build_store(settings, 'work', 12, self.metrics)
        self._caller_store = platform.build_store(
            settings, 'callers', 8, self.metrics
        )
        self._feeds = platform.build_store(settings, 'feeds', 4, self.metrics)
        self._run_client = platform.build_run_client()
        self._advice_client = platform.build_advice_client(settings)
        self._reader = platform.build_reader()
        wait_s = settings.fleet.follow_wait_s
        self._operator_follower = tablefollower.TableFollower(
            self._feeds,
            platform.operator_table,
            settings.fleet.operator_wait_s,
        )
        self._shard_follower = tablefollower.TableFollower(
            self._feeds, 'shard', wait_s
        )
        self.intake = intake.Intake(
            settings, self._caller_store, self._shard_follower, self.metrics
        )
        self._holder = shardholder.ShardHolder(
            settings,
            self._store,
            self._shard_follower,
            platform.worker_rows,
            self._run_client,
            self._advice_client,
            self.metrics,
        )
        self._explain_calls = explaincalls.ExplainCalls(
            settings, self._holder, platform.read_job
        )
        self._client_api = platform.build_client_api(
            settings, self.intake, self.metrics
        )
        self._operator_follower.add_handler(self._apply_operator_rows)
        self._stopping = asyncio.Event()

    def _apply_operator_rows(self, changes: table.Changes) -> None:
        if not self._reader.apply(changes):
            return
        current = self._reader.current
        self.intake.set_queue_configuration(
            current, self._confirmed_at, self._incoming
        )
        self._holder.set_queue_configuration(current, self._confirmed_at)
        _log.info(
            'configuration applied',
            version=current.version,
            zones_out=sorted(current.zones_out_of_service),
        )

    def _confirmed_at(self) -> float:
        return self._operator_follower.confirmed_at

    def _incoming(self) -> tablefollower.Incoming:
        return self._operator_follower.incoming

    @property
    def shards_held(self) -> int:
        """The number of shards whose lease this process holds."""
        return int(self._holder.lease.has_shard)

    def _render_metrics(self) -> str:
        """Return counters and latency percentiles as text."""
        self.metrics.set_gauge('shards_held', self.shards_held)
        return self.metrics.render_text()

    def is_ready(self, now: float) -> bool:
        """Return whether the load balancer should send calls here."""
        return (
            not self._stopping.is_set()
            and self._operator_follower.is_reachable
            and self.intake.is_ready(now)
        )

    async def run(self) -> None:
        """Serve until a signal asks the process to shut down."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        nodesignals.deliver()
        servers = self._build_servers()
        _log.info(
            'listening',
            front=self._settings.fleet.bind,
            ready=self._settings.fleet.ready_bind,
            node=self._settings.process.vm_id,
        )
        loops = [
            asyncio.create_task(coroutine)
            for coroutine in (
                self._operator_follower.run(),
                self._shard_follower.run(),
                self._holder.run(),
                self._watch_for_pauses(),
                *(server.serve(sockets=[sock]) for server, sock in servers),
            )
        ]
        stopping = asyncio.create_task(self._stopping.wait())
        done, _ = await asyncio.wait(
            [*loops, stopping], return_when=asyncio.FIRST_COMPLETED
        )
        for task in done:
            if task is not stopping:
                _log.error(
                    'loop ended unexpectedly; shutting down',
                    exc_info=backgroundtasks.find_failure(task),
                )
        await self._shut_down(servers, loops)

    def _build_servers(
        self,
    ) -> list[tuple[httpserver.Server, socket.socket]]:
        """Return the servers, each with the socket on which it listens."""
        http, fleet = self._settings.http, self._settings.fleet
        front = httpserver.guard_callers('front', http, self.metrics)
        ready = httpserver.guard_probes('ready', http, self.metrics)
        own = httpserver.guard_probes('metrics', http, self.metrics)
        views = operatorviews.OperatorViews(
            self._holder, self._render_metrics, self._explain_calls
        )
        return [
            _build_server(self._client_api, fleet.bind, front),
            _build_server(_ReadyApp(self), fleet.ready_bind, ready, False),
            _build_server(views, fleet.metrics_bind, own, False),
        ]

    def reload(self) -> None:
        """Reread the settings file and log what changed.

        Each part receives its addresses, limits and bounds when the process
        starts, so that a change takes effect only at the next start.
        """
        try:
            reloaded = self._load_settings()
        except errors.CommandError as error:
            _log.error(
                'settings not valid',
                problems=error.lines,
                effect='the current settings remain in effect',
            )
            return
        changed = options.list_changes(self._settings, reloaded)
        _log.info(
            'settings read',
            changed=changed,
            effect='at the next start' if changed else 'none',
        )

    async def _shut_down(
        self,
        servers: list[tuple[httpserver.Server, typing.Any]],
        loops: list[asyncio.Task[None]],
    ) -> None:
        """Hand over the shard; serve until callers use other nodes.

        Both take place at the same time: the platform kills the process
        soon, also if the store does not answer.  Callers that keep a
        connection are told to open another.
        """
        self._stopping.set()
        _log.info('stopping')
        handing_over = asyncio.create_task(self._hand_over())
        for server, _ in servers:
            await server.announce_close()
        await asyncio.sleep(self._settings.fleet.leaving_s)
        for server, _ in servers:
            server.should_exit = True
        serving = loops[-len(servers) :]
        await asyncio.wait(serving, timeout=self._settings.fleet.leaving_s)
        await handing_over
        await waits.cancel_tasks(loops)
        await self._run_client.aclose()
        await self._advice_client.aclose()
        await self._store.aclose()
        await self._caller_store.aclose()
        await self._feeds.aclose()
        _log.info('stopped')

    async def _hand_over(self) -> None:
        try:
            async with asyncio.timeout(self._settings.fleet.leaving_s):
                await self._holder.hand_over()
        except TimeoutError:
            _log.warning('shard lease not released in time; it will expire')
        except Exception as error:
            # Callers are still to be served.
            _log.error(
                'shard lease not released; it will expire', exc_info=error
            )

    async def _watch_for_pauses(self) -> None:
        """Log a warning after each pause of the process."""
        while True:
            before = clock.monotonic()
            await asyncio.sleep(_PAUSE_CHECK_INTERVAL_S)
            gap_s = clock.monotonic() - before
            if gap_s > _PAUSE_CHECK_INTERVAL_S + _PAUSE_THRESHOLD_S:
                _log.warning('process paused', gap_s=round(gap_s, 3))


def _build_server(
    app: typing.Any,
    address: str,
    guard: connectionlimits.Guard,
    date_header: bool = True,
) -> tuple[httpserver.Server, socket.socket]:
    """Return a server of ``app`` and the socket on which it will listen."""
    server = httpserver.build(app, 2.0, guard, date_header=date_header)
    return server, sockets.open_listener(address)


class _ReadyApp:
    """Reports to the load balancer whether to send calls here."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one call."""
        ready = self._node.is_ready(clock.monotonic())
        await _send(send, 200 if ready else 503, b'', b'text/plain')


async def _send(
    send: typing.Any, status: int, body: bytes, content_type: bytes
) -> None:
    headers = [
        (b'content-type', content_type),
        (b'content-length', str(len(body)).encode()),
    ]
    await send(
        {'type': 'http.response.start', 'status': status, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': body})


def load(name: str) -> tuple[options.Settings, Adapter]:
    """Return the settings and the adapter of the platform ``name``.

    Raises :class:`errors.CommandError` with a line for each problem.
    """
    make = adapters_by_name.get(name)
    if make is None:
        known = ', '.join(sorted(adapters_by_name))
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'--platform = {name!r}: expected one of {known}',
        )
    platform = make()
    return platform.load_settings(), platform


async def run(name: str) -> None:
    """Run a node on the platform ``name`` until it is shut down."""
    settings, platform = load(name)
    logs.configure(settings.process.log_format, to_stdout=True)
    await Node(settings, platform).run()
