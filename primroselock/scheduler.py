"""Scheduler daemon: holds its zone's shard and executes its decisions.

The controllers decide on a blackboard.  This module updates the blackboard
(job rows, worker reports, VM list, configuration) and executes the
commands that a round returns.  It decides only while it holds the shard's
lease; all its writes are conditional on the shard's epoch, and workers refuse
older epochs.  When the lease expires and no other process has taken over the
shard, it starts no tasks but keeps managing the running ones.
"""

import asyncio
import typing

import result

from primroselock import backgroundtasks
from primroselock import clock
from primroselock import daemon
from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import controllers
from primroselock.decisions.explaining import cellexplanation
from primroselock.decisions.explaining import records
from primroselock.decisions import moving
from primroselock.decisions import registry
from primroselock import holderexplanations
from primroselock import httpserver
from primroselock import jobfeed
from primroselock import jobs
from primroselock import jobstore
from primroselock import jobwriter
from primroselock import logs
from primroselock.mesh import messages
from primroselock import options
from primroselock import schedulerexplanations
from primroselock import shards
from primroselock import sockets
from primroselock import statusport
from primroselock.store import vmlist
from primroselock import waits
from primroselock.workers import commandqueue
from primroselock.workers import link
from primroselock.workers import protocol

_log: typing.Final = logs.get('scheduler')
_CONTROLLERS: typing.Final = controllers.__all__
_MIN_ROUND_INTERVAL_S: typing.Final = 0.01
"""Limits the rate of rounds when many events arrive."""

_MAX_PEER_SHARDS: typing.Final = 1_024
_MAX_SHARD_LENGTH: typing.Final = 200
"""What is kept of the shards that beacons name."""

_STATUS_GRACE_S: typing.Final = 1.0
"""How long status requests in progress may take at shutdown."""


class ShardRunner:
    """Runs one shard while this process holds its lease."""

    def __init__(self, shared: daemon.Daemon, shard: str) -> None:
        self.settings: options.Settings = shared.settings
        self.shared = shared
        self.store = jobstore.JobStore(shared.platform)
        self.lease = shards.ShardLease(
            self.settings, shared.control_platform, shard
        )
        self.writer = jobwriter.JobWriter(
            self.store, self.lease, self._record_jobs
        )
        self.feed = jobfeed.JobFeed(
            self.store, self.lease, self._on_epoch_loaded, self._record_jobs
        )
        self.link = link.HttpLink(self.settings.scheduler.worker_timeout_s)
        self.board = self._new_board()
        self.queues_by_worker_id: dict[str, commandqueue.CommandQueue] = {}
        self._heartbeats_by_id: dict[str, asyncio.Task[None]] = {}
        self._jobs_due = asyncio.Event()
        self._round_due = asyncio.Event()
        self._last_tick = clock.monotonic()
        self._explain_at = float('-inf')
        shared.add_vm_handler(self._record_vms)
        shared.mesh.add_handler(self._record_message)

    def _new_board(self) -> blackboard.Blackboard:
        return blackboard.Blackboard(
            self.lease.shard, self.settings.process.zone
        )

    async def run(self) -> None:
        """Run the shard until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follow_lease())
                group.create_task(self._follow_jobs())
                group.create_task(self._decide())
                group.create_task(self.writer.run())
        finally:
            self._end_heartbeats()
            await self.link.aclose()

    def describe(self) -> dict[str, typing.Any]:
        """Return the status of this scheduler, for operators."""
        now = clock.monotonic()
        process = self.settings.process
        follower = self.shared.follower
        workers = self.board.workers_by_id.values()
        reporting = [view for view in workers if view.report is not None]
        attempts = self.board.attempts_by_job_id.keys()
        waiting = self.board.jobs_by_id.keys() - attempts
        return {
            'vm_id': process.vm_id,
            'zone': process.zone,
            'shard': self.lease.shard,
            'holds_shard': self.lease.holds(now),
            'epoch': self.lease.epoch,
            'config_version': follower.current.version,
            'config_age_s': round(follower.age_s(now), 3),
            'may_start_tasks': now < self.board.permit_until,
            'workers': len(workers),
            'workers_heard': len(reporting),
            'attempts': len(attempts),
            'waiting_jobs': len(waiting),
        }

    def explain(
        self, job: str | jobs.Job, now: float
    ) -> result.Result[records.Answer, schedulerexplanations.Problem]:
        """Explain a job, by its id, or one that is not sent."""
        if not self.lease.has_shard:
            return result.Err(schedulerexplanations.Problem.NOT_HOLDER)
        if not self._may_decide():
            return result.Err(schedulerexplanations.Problem.READING)
        if now < self._explain_at:
            return result.Err(schedulerexplanations.Problem.BUSY)
        started = clock.monotonic()
        explained = cellexplanation.explain(
            self.board, self.settings, job, now
        )
        ended = clock.monotonic()
        pause_s = (ended - started) * holderexplanations.PAUSE_PER_EXPLANATION
        self._explain_at = ended + pause_s
        if explained is None:
            return result.Err(schedulerexplanations.Problem.NOT_KNOWN)
        heard_at = [
            view.received_at
            for view in self.board.workers_by_id.values()
            if view.report is not None
        ]
        ages_s = {
            'configuration': round(self.shared.follower.age_s(now), 3),
            'round': round(now - self._last_tick, 3),
        }
        if heard_at:
            ages_s['workers'] = round(now - min(heard_at), 3)
        knowledge = records.Knowledge(
            self.settings.process.vm_id,
            self.lease.epoch,
            self.shared.follower.current.version,
            ages_s,
        )
        return result.Ok(records.Answer(explained, '', knowledge))

    async def hand_over(self) -> None:
        """Release the shard, so that a standby need not await the expiry."""
        await self.lease.release(clock.monotonic())

    async def _follow_lease(self) -> None:
        while not self.shared.stopping.is_set():
            await self.lease.step(clock.monotonic())
            if self.lease.has_shard and not self._may_decide():
                # After a takeover the jobs are loaded at once.
                self._jobs_due.set()
            await asyncio.sleep(self.lease.step_pause_s)

    async def _follow_jobs(self) -> None:
        while True:
            if self.lease.holds(clock.monotonic()):
                await self.feed.read()
            await waits.wait_event(
                self._jobs_due, self.settings.scheduler.job_poll_interval_s
            )

    def _on_epoch_loaded(
        self, epoch: int, stored: list[jobstore.StoredJob]
    ) -> None:
        self._end_heartbeats()
        self.writer.clear()
        self.board = self._new_board()
        self.board.epoch = epoch
        self.board.listening_since = clock.monotonic()
        self.board.record_vms(self.shared.vms)
        self._record_jobs(stored)
        _log.info('shard loaded', epoch=epoch, jobs=len(stored))

    def _may_decide(self) -> bool:
        """Return whether this process may decide for the shard.

        It must hold the shard and have loaded the jobs under the current
        epoch.  Starting tasks also requires that the lease is still valid.
        """
        return (
            self.lease.has_shard and self.feed.loaded_epoch == self.lease.epoch
        )

    async def _decide(self) -> None:
        tick_s = self.settings.scheduler.tick_interval_s
        while True:
            now = clock.monotonic()
            self._detect_pause(now)
            self._reconcile_heartbeats()
            self.shared.loads_by_shard.clear()
            if self._may_decide():
                self._run_round(now)
                self._publish_load()
            await asyncio.sleep(_MIN_ROUND_INTERVAL_S)
            await waits.wait_event(self._round_due, tick_s)

    def _detect_pause(self, now: float) -> None:
        """Detect a pause of this process.

        After one, the configuration counts as not confirmed, and the time
        for which a worker has not answered counts from now on.
        """
        gap_s = now - self._last_tick
        self._last_tick = now
        if gap_s > self.settings.scheduler.freeze_gap_s:
            _log.warning('process was paused', gap_s=round(gap_s, 3))
            self.shared.follower.drop_confirmation()
            self.board.listening_since = now

    def _run_round(self, now: float) -> None:
        self.board.config = self.shared.follower.current
        self.board.permit_until = min(
            self.shared.follower.permit_until(), self.lease.valid_until
        )
        decided = registry.run_round(self.board, self.settings, now)
        duration_s = clock.monotonic() - now
        self.shared.metrics.record('decision_round', duration_s)
        for command in decided:
            if isinstance(command, commands.SendToWorker):
                queue = self.queues_by_worker_id.get(command.worker_id)
                if queue is not None:
                    queue.add(command.command, command.urgent, now)
            else:
                self.writer.add(command)

    def _publish_load(self) -> None:
        load = self.board.load
        if load is not None and self.lease.holds(clock.monotonic()):
            self.shared.loads_by_shard[self.lease.shard] = messages.ShardLoad(
                load.free_accelerators,
                load.waiting_accelerators,
                load.largest_free,
            )

    def _record_beacon(self, beacon: messages.Beacon) -> None:
        """Record the loads that other shards report."""
        peers_by_shard = self.board.peers_by_shard
        now = clock.monotonic()
        if len(peers_by_shard) + len(beacon.loads_by_shard) > _MAX_PEER_SHARDS:
            moving.drop_old_loads(self.board, now)
        for shard, load in beacon.loads_by_shard.items():
            is_known = shard in peers_by_shard
            if not is_known and len(peers_by_shard) >= _MAX_PEER_SHARDS:
                continue
            if shard != self.lease.shard and len(shard) <= _MAX_SHARD_LENGTH:
                peers_by_shard[shard] = blackboard.PeerLoad(
                    load.free_accelerators,
                    load.waiting_accelerators,
                    load.largest_free,
                    now,
                )

    def _record_jobs(self, stored: list[jobstore.StoredJob]) -> None:
        for entry in stored:
            if entry.job.shard == self.lease.shard:
                self.board.record_job(entry.job, entry.row_version)
            else:
                self.board.jobs_by_id.pop(entry.job.id, None)
        self._round_due.set()

    def _record_vms(self, vms: list[vmlist.Vm]) -> None:
        self.board.record_vms(vms)

    def _record_message(self, message: messages.Message) -> None:
        if isinstance(message, messages.JobHint):
            if message.shard == self.lease.shard:
                self._jobs_due.set()
        elif isinstance(message, messages.Beacon):
            self._record_beacon(message)

    def _reconcile_heartbeats(self) -> None:
        """Run a heartbeat loop per worker while this process may decide."""
        if not self._may_decide():
            self._end_heartbeats()
            return
        workers = self.board.workers_by_id
        for worker_id in self.queues_by_worker_id.keys() - workers.keys():
            self._end_heartbeat(worker_id)
        for worker_id, view in workers.items():
            queue = self.queues_by_worker_id.get(worker_id)
            if (
                queue is not None
                and queue.vm.address == view.vm.address
                and not self._heartbeats_by_id[worker_id].done()
            ):
                continue
            if queue is not None:
                self._end_heartbeat(worker_id)
            queue = commandqueue.CommandQueue(view.vm)
            self.queues_by_worker_id[worker_id] = queue
            self._heartbeats_by_id[worker_id] = backgroundtasks.start(
                self._heartbeat(queue), f'heartbeats of {worker_id}'
            )

    def _end_heartbeats(self) -> None:
        for worker_id in list(self.queues_by_worker_id):
            self._end_heartbeat(worker_id)

    def _end_heartbeat(self, worker_id: str) -> None:
        del self.queues_by_worker_id[worker_id]
        self._heartbeats_by_id.pop(worker_id).cancel()

    async def _heartbeat(self, queue: commandqueue.CommandQueue) -> None:
        while True:
            await self._exchange(queue)
            await waits.wait_event(
                queue.wake, self.settings.scheduler.heartbeat_interval_s
            )

    async def _exchange(self, queue: commandqueue.CommandQueue) -> None:
        sent_at = clock.monotonic()
        board = self.board
        if queue.vm.id not in board.workers_by_id or not self._may_decide():
            return
        batch = queue.build_batch(board, self.settings, sent_at)
        try:
            answer = await self.link.exchange(queue.vm.address, batch)
        finally:
            queue.finish_exchange()
        received_at = clock.monotonic()
        self.shared.metrics.record('worker_exchange', received_at - sent_at)
        if isinstance(answer, result.Ok):
            report = answer.ok_value
            board.record_report(report, sent_at, received_at)
            _log_refusals(report)
            if batch.commands:
                self._round_due.set()
        elif isinstance(answer.err_value, link.StaleEpoch):
            self.lease.drop('a worker has seen a newer epoch')
        else:
            self.shared.metrics.count('worker_exchange_lost')
            await self._wait_for_expiry(batch, sent_at)

    async def _wait_for_expiry(
        self, batch: protocol.Batch, sent_at: float
    ) -> None:
        """Wait until the commands of a lost exchange have expired.

        Also limits the rate of exchanges with a failed worker.
        """
        pause_s = self.settings.scheduler.tick_interval_s
        if batch.commands:
            expires_at = sent_at + self.settings.scheduler.worker_timeout_s
            pause_s = max(pause_s, expires_at - clock.monotonic())
        await asyncio.sleep(pause_s)


def _log_refusals(report: protocol.Report) -> None:
    for refusal in report.refusals:
        _log.warning(
            'worker refused a command',
            worker=report.worker_id,
            job=refusal.task.job_id,
            reason=refusal.reason,
        )


async def run(settings: options.Settings) -> None:
    """Run the scheduler until it is asked to shut down."""
    listener = sockets.open_listener(settings.scheduler.status_bind)
    shared = daemon.Daemon(settings, 'scheduler')
    shared.install_signals()
    runner = ShardRunner(shared, settings.process.zone)
    shared.status_address = sockets.bound_address(listener)
    port = statusport.StatusPort(
        shared,
        runner.describe,
        schedulerexplanations.SchedulerExplanations(shared, runner),
    )
    server = httpserver.build(
        port.build_app(),
        _STATUS_GRACE_S,
        httpserver.guard_probes('status', settings.http, shared.metrics),
    )
    _log.info(
        'listening',
        role='scheduler',
        mesh=shared.mesh.address,
        status=sockets.bound_address(listener),
    )
    async with asyncio.TaskGroup() as group:
        loops = shared.start_loops(group)
        loops.append(group.create_task(runner.run()))
        serving = group.create_task(server.serve([listener]))
        await shared.stopping.wait()
        await runner.hand_over()
        server.should_exit = True
        await serving
        await waits.cancel_tasks(loops)
    await shared.aclose()
    _log.info('stopped')
