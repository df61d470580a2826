"""Discrete-event simulation of the controllers under a trace.

Every shard has its blackboard; simulated workers execute commands at once.
While work is in progress, rounds follow each other at the scheduler's tick
interval; otherwise the clock advances to the next event.  Job rows are
stored here with their versions, as in the platform's table.
"""

import dataclasses
import heapq
import itertools
import typing

from primroselock import configuration
from primroselock.decisions import blackboard
from primroselock.decisions import commands
from primroselock.decisions import controllers
from primroselock.decisions import registry
from primroselock import ini
from primroselock import jobs
from primroselock import options
from primroselock.store import vmlist
from primroselock.workers import protocol
from tools import fakeworker
from tools import fragmentation
from tools import replayrecord
from tools import traces

assert controllers.__all__

# Interval of rounds while jobs exist but no shard needs a round.
_WAKE_INTERVAL_S: typing.Final = 10.0
# Validity of the permit to start tasks, from the start of each round.
_PERMIT_S: typing.Final = 3.0
_LOSSES: typing.Final = frozenset(
    {
        blackboard.EndReason.MEMBER_FAILED,
        blackboard.EndReason.MEMBER_LOST,
        blackboard.EndReason.NOT_STARTED,
    }
)
_MAX_TIME_S: typing.Final = 72 * traces.HOUR_S


class World:
    """The state of one replay of a trace under the settings.

    Times are simulated seconds.  Only the shards in ``_dirty_shards`` need a
    round.
    ``check_invariant`` makes each round check that it has not reduced the
    guaranteed accelerators that can be reclaimed.
    """

    def __init__(
        self, trace: traces.Trace, settings: options.Settings
    ) -> None:
        self.trace = trace
        self.settings = settings
        self.record = replayrecord.Record()
        self.now = 0.0
        self.arrivals_by_id: dict[str, traces.Arrival] = {}
        self.workers_by_id: dict[str, fakeworker.FakeWorker] = {}
        self.boards_by_shard: dict[str, blackboard.Blackboard] = {}
        self.check_invariant = False
        self._sections = ini.parse(
            trace.deployment.configuration, 'trace'
        ).unwrap()
        self._dirty_shards: set[str] = set()
        self._timers: list[tuple[float, int]] = []
        self._timer_numbers = itertools.count()
        self._runs_by_job_id: dict[str, replayrecord.Run] = {}
        self._fragmentation_by_shard: dict[str, tuple[int, int]] = {}
        self._build()

    def _build(self) -> None:
        deployment = self.trace.deployment
        for zone in deployment.zones:
            board = blackboard.Blackboard(zone, zone, epoch=1)
            self.boards_by_shard[zone] = board
            for rack in range(deployment.racks_by_zone[zone]):
                for slot in range(8):
                    self._add_worker(zone, rack, slot)
        self._configure()

    def _add_worker(self, zone: str, rack: int, slot: int) -> None:
        name = traces.worker_id(zone, rack, slot)
        vm = vmlist.Vm(
            name, 'worker', zone, '127.0.0.1:1', rack=f'{zone}-r{rack}'
        )
        deployment = self.trace.deployment
        self.workers_by_id[name] = fakeworker.FakeWorker(
            vm, slot, deployment.cpus, deployment.memory_mb
        )

    def _configure(self) -> None:
        version = 1
        for board in self.boards_by_shard.values():
            version = board.config.version + 1
        read = configuration.read(self._sections, version, 'trace').unwrap()
        for shard, board in self.boards_by_shard.items():
            board.config = read
            self._dirty_shards.add(shard)

    def run_trace(self) -> replayrecord.Record:
        """Replay the trace to its end and return the record.

        Raises :class:`RuntimeError` if that takes more than 72 simulated
        hours.
        """
        events = list(reversed(self.trace.events))
        while events or self._has_jobs():
            self._advance(events[-1].at if events else None)
            while events and events[-1].at <= self.now:
                self.apply(events.pop())
            self._decide()
            if self.now > _MAX_TIME_S:
                raise RuntimeError('the trace did not end within 72 hours')
        return self.record

    def settle(self, max_ticks: int) -> bool:
        """Run at most ``max_ticks`` rounds, until no shard has work left.

        Returns whether no work was left.
        """
        for _ in range(max_ticks):
            if not self._dirty_shards:
                return True
            self.now += self.settings.scheduler.tick_interval_s
            self._decide()
        return not self._dirty_shards

    def advance_by(self, seconds: float) -> None:
        """Advance the clock, then run one round on each shard."""
        self.now += seconds
        self._dirty_shards.update(self.boards_by_shard)
        self._decide()

    def patch(self, sections: ini.Sections) -> bool:
        """Apply a configuration patch; return False if it is invalid."""
        merged = configuration.merge(self._sections, sections)
        if configuration.read(merged, 1, 'patch').is_err():
            return False
        self._sections = merged
        self._configure()
        return True

    def _decide(self) -> None:
        self._end_tasks()
        for shard in list(self._dirty_shards):
            self._run_round(shard)

    def _has_jobs(self) -> bool:
        return any(
            board.jobs_by_id or board.attempts_by_job_id
            for board in self.boards_by_shard.values()
        )

    def _advance(self, next_event: float | None) -> None:
        """Advance the clock to the next event, timer or round."""
        before = self.now
        tick_s = self.settings.scheduler.tick_interval_s
        times = [] if next_event is None else [next_event]
        if self._timers:
            times.append(self._timers[0][0])
        if self._dirty_shards:
            times.append(before + tick_s)
        elif self._has_jobs():
            times.append(before + _WAKE_INTERVAL_S)
        self.now = max(before, min(times))
        # After a jump, time limits may have passed on any shard.
        if self.now - before > tick_s / 2 and not self._dirty_shards:
            self._dirty_shards.update(self.boards_by_shard)
        while self._timers and self._timers[0][0] <= self.now:
            heapq.heappop(self._timers)
        self._accumulate_fragmentation(self.now - before)

    def _accumulate_fragmentation(self, seconds: float) -> None:
        for total, unusable in self._fragmentation_by_shard.values():
            self.record.free_s += total * seconds
            self.record.unusable_s += unusable * seconds

    def _set_timer(self, at: float) -> None:
        if at < float('inf'):
            heapq.heappush(self._timers, (at, next(self._timer_numbers)))

    def apply(self, event: traces.Event) -> None:
        """Apply one event of a trace now."""
        if isinstance(event, traces.Arrival):
            self._submit(event)
        elif isinstance(event, traces.Cancel):
            self._cancel(event.id)
        elif isinstance(event, traces.WorkerChange):
            self._change_worker(event)
        else:
            section = self._sections[f'zone {event.zone}']
            section['state'] = event.state
            self._configure()

    def _submit(self, event: traces.Arrival) -> None:
        self.arrivals_by_id[event.id] = event
        shard = event.zone
        if self._sections[f'zone {shard}'].get('state') == 'out':
            serving = [
                zone
                for zone in self.trace.deployment.zones
                if self._sections[f'zone {zone}'].get('state') != 'out'
            ]
            shard = serving[0] if serving else shard
        spec = jobs.JobSpec(
            event.name,
            event.members,
            event.accelerators,
            event.cpus,
            1024,
            event.declared_s,
            jobs.Priority(event.priority),
            ('run',),
            event.checkpointable,
        )
        job = jobs.Job(
            event.id,
            event.account,
            shard,
            spec,
            jobs.JobState.WAITING,
            event.at,
        )
        self.boards_by_shard[shard].record_job(job, 1)
        self._dirty_shards.add(shard)

    def _cancel(self, job_id: str) -> None:
        for shard, board in self.boards_by_shard.items():
            view = board.jobs_by_id.get(job_id)
            if view is not None:
                job = dataclasses.replace(view.job, cancel_requested=True)
                board.record_job(job, view.row_version + 1)
                self._dirty_shards.add(shard)

    def _change_worker(self, event: traces.WorkerChange) -> None:
        worker = self.workers_by_id[event.worker]
        if event.state == 'dead':
            worker.die()
        elif event.state == 'back':
            worker.restart()
        else:
            worker.fails_all = True
        self._dirty_shards.add(worker.vm.zone)

    def _end_tasks(self) -> None:
        for worker in self.workers_by_id.values():
            if worker.alive and worker.end_tasks(self.now):
                self._dirty_shards.add(worker.vm.zone)

    def _run_round(self, shard: str) -> None:
        """Run a round of a shard; mark the shard clean if it is settled.

        It is if all attempts run, no command had an effect and no capacity
        claim is left.
        """
        board = self.boards_by_shard[shard]
        board.permit_until = self.now + _PERMIT_S
        for worker in self.workers_by_id.values():
            if worker.vm.zone == board.zone:
                board.workers_by_id[worker.vm.id] = worker.view(self.now)
        self._update_peer_loads(board)
        before = dict(board.attempts_by_job_id)
        earlier = dataclasses.replace(
            board,
            attempts_by_job_id=before,
            claims_by_job_id=dict(board.claims_by_job_id),
            jobs_by_id=dict(board.jobs_by_id),
            soft_state=blackboard.SoftState(),
        )
        decided = registry.run_round(board, self.settings, self.now)
        changed = [self._execute(board, command) for command in decided]
        self._record_round(board, earlier)
        self._fragmentation_by_shard[shard] = fragmentation.measure(
            board, fragmentation.free_by_rack(board, self.workers_by_id)
        )
        all_running = all(
            view.phase is blackboard.Phase.RUNNING
            for view in board.attempts_by_job_id.values()
        )
        if all_running and not any(changed) and not board.claims_by_job_id:
            self._dirty_shards.discard(shard)

    def _update_peer_loads(self, board: blackboard.Blackboard) -> None:
        for shard, other in self.boards_by_shard.items():
            load = other.load
            if other is board or load is None:
                continue
            known = board.peers_by_shard.get(shard)
            if known is None or self.now - known.received_at >= 1.0:
                board.peers_by_shard[shard] = dataclasses.replace(
                    load, received_at=self.now
                )

    def _record_round(
        self,
        board: blackboard.Blackboard,
        earlier: blackboard.Blackboard,
    ) -> None:
        """Record the effects of a round.

        A worker that was quarantined in the round counts as unusable before
        it too, so that only the effect of starts and stops is checked.
        """
        for job_id, view in board.attempts_by_job_id.items():
            old = earlier.attempts_by_job_id.get(job_id)
            if (
                view.end_reason is blackboard.EndReason.PREEMPTED
                and old is not None
                and old.end_reason is None
            ):
                self.record.preemptions += 1
        for claim in board.claims_by_job_id.values():
            self.record.longest_claim_s = max(
                self.record.longest_claim_s, self.now - claim.since
            )
        earlier.quarantined_worker_ids = board.quarantined_worker_ids
        if self.check_invariant:
            self.record.rounds_short += self._is_reduced(board, earlier)

    def _is_reduced(
        self, board: blackboard.Blackboard, earlier: blackboard.Blackboard
    ) -> bool:
        """Return whether starts or ends reduced what can be reclaimed.

        A round places work first, then ends the attempts that have lost a
        member; both are checked, as if each had a round of its own.
        """
        placed = _without_losses(board, earlier)
        allowed = self._allowed_missing(earlier)
        if self._missing(placed) > allowed:
            return True
        return self._missing(board) > max(
            allowed, self._allowed_missing(placed)
        )

    def _missing(self, board: blackboard.Blackboard) -> int:
        return replayrecord.missing_accelerators(
            board, self.settings, self.now, failed_cells_as_unheld=False
        )

    def _allowed_missing(self, board: blackboard.Blackboard) -> int:
        """Return how many may be missing after the next step."""
        as_lost = replayrecord.missing_accelerators(
            board, self.settings, self.now, failed_cells_as_unheld=True
        )
        return max(self._missing(board), as_lost)

    def _execute(
        self, board: blackboard.Blackboard, command: commands.Command
    ) -> bool:
        """Execute a command; return whether it may have had an effect."""
        if isinstance(command, commands.WriteJob):
            return self._write(board, command)
        if isinstance(command, commands.MoveJob):
            return self._move(board, command)
        worker = self.workers_by_id[command.worker_id]
        if isinstance(command.command, protocol.Renew):
            return False
        if worker.alive:
            self._execute_on_worker(worker, command.command)
        return True

    def _execute_on_worker(
        self, worker: fakeworker.FakeWorker, command: protocol.Command
    ) -> None:
        key = command.task
        if isinstance(command, protocol.Reserve):
            worker.reserve(command)
            self.record.doubled += len(worker.double_grants)
            worker.double_grants.clear()
        elif isinstance(command, protocol.Start):
            self._start(worker, command)
        elif isinstance(command, protocol.Checkpoint):
            worker.checkpoint(key, self.now)
        elif isinstance(command, protocol.Stop):
            self._end_run(worker, key)
            worker.stop(key)
        elif isinstance(command, protocol.Forget):
            self._end_run(worker, key)
            worker.forget(key)

    def _start(
        self, worker: fakeworker.FakeWorker, command: protocol.Start
    ) -> None:
        key = command.task
        arrival = self.arrivals_by_id[key.job_id]
        task = worker.start(command, self.now, arrival.true_s)
        if task is None:
            return
        if key.attempt <= arrival.fails:
            task.fails = True
        self._set_timer(task.ends_at)
        state = self._sections[f'zone {worker.vm.zone}'].get('state')
        self.record.starts_in_out_zone += state == 'out'
        if key.member == 0:
            accelerators = arrival.members * arrival.accelerators
            run = replayrecord.Run(
                key.job_id, worker.vm.zone, accelerators, task.started_at
            )
            self._runs_by_job_id[key.job_id] = run
            self.record.runs.append(run)
            self.record.started_by_job_id.setdefault(key.job_id, self.now)

    def _end_run(
        self, worker: fakeworker.FakeWorker, key: protocol.TaskKey
    ) -> None:
        """Record the useful time of an attempt, taken from its first member.

        It is all of the run time if the task is done, else the time up to
        the last checkpoint.
        """
        task = worker.tasks_by_key.get(key)
        run = self._runs_by_job_id.get(key.job_id)
        if task is None or run is None or key.member:
            return
        if task.report.state is protocol.TaskState.DONE:
            run.useful_s = task.ends_at - task.started_at
        elif task.report.checkpoint_s:
            run.useful_s = task.report.checkpoint_s - task.resumed_s
        del self._runs_by_job_id[key.job_id]

    def _write(
        self, board: blackboard.Blackboard, command: commands.WriteJob
    ) -> bool:
        view = board.jobs_by_id.get(command.job.id)
        if view is None or view.row_version != command.row_version:
            return False
        job = command.job
        board.record_job(job, command.row_version + 1)
        if job.state.is_final:
            self.record.ended_by_job_id[job.id] = (self.now, job.state)
            if job.state is jobs.JobState.DONE:
                self._check_members_done(board, job.id)
        return True

    def _check_members_done(
        self, board: blackboard.Blackboard, job_id: str
    ) -> None:
        """Count the members of a job's final attempt that were not done.

        One that was done counts as such after its worker died, too: the
        decision rests on the worker's last report.
        """
        for key, placement in board.attempts_by_job_id[job_id].tasks():
            worker = self.workers_by_id[placement.worker_id]
            self.record.split_gangs += not worker.was_done(key)

    def _move(
        self, board: blackboard.Blackboard, command: commands.MoveJob
    ) -> bool:
        view = board.jobs_by_id.get(command.job.id)
        if view is None or view.row_version != command.row_version:
            return False
        del board.jobs_by_id[command.job.id]
        job = dataclasses.replace(command.job, shard=command.to_shard)
        target = self.boards_by_shard[command.to_shard]
        target.record_job(job, command.row_version + 1)
        self._dirty_shards.add(command.to_shard)
        self.record.moves += 1
        return True


def _without_losses(
    board: blackboard.Blackboard, earlier: blackboard.Blackboard
) -> blackboard.Blackboard:
    """Return the state with the attempts that a round found lost."""
    lost = {
        job_id: earlier.attempts_by_job_id[job_id]
        for job_id, view in board.attempts_by_job_id.items()
        if view.end_reason in _LOSSES
        and job_id in earlier.attempts_by_job_id
        and earlier.attempts_by_job_id[job_id].end_reason is None
    }
    return dataclasses.replace(
        board,
        attempts_by_job_id={**board.attempts_by_job_id, **lost},
        soft_state=blackboard.SoftState(),
    )
