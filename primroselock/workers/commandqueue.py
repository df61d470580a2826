"""Queue of the commands for one worker until its next exchange.

For each task and kind of command only the latest one stays queued.  A stop
or a forget supersedes every other queued command of its task.  A command
older than ``freeze_gap_s`` is dropped: this process was paused since the
decision, and a later round decides again what still applies.
"""

import asyncio
import dataclasses

from primroselock.decisions import blackboard
from primroselock import options
from primroselock.store import vmlist
from primroselock.workers import protocol

_Kind = tuple[type[protocol.Command], protocol.TaskKey]


@dataclasses.dataclass(frozen=True, slots=True)
class _Queued:
    command: protocol.Command
    decided_at: float


class CommandQueue:
    """Queued commands for one worker.

    ``wake`` is set when the next exchange must not wait for the heartbeat
    interval.
    """

    def __init__(self, vm: vmlist.Vm) -> None:
        self.vm = vm
        self.wake = asyncio.Event()
        self._queued: dict[_Kind, _Queued] = {}
        self._in_flight: frozenset[_Kind] = frozenset()

    def add(self, command: protocol.Command, urgent: bool, now: float) -> None:
        """Queue ``command``, unless one of its kind and task is in flight.

        An ``urgent`` command triggers an exchange at once.
        """
        kind: _Kind = (type(command), command.task)
        if kind in self._in_flight:
            return
        if isinstance(command, (protocol.Stop, protocol.Forget)):
            self._supersede(command.task)
        self._queued.pop(kind, None)
        self._queued[kind] = _Queued(command, now)
        if urgent:
            self.wake.set()

    def _supersede(self, task: protocol.TaskKey) -> None:
        for kind in [kind for kind in self._queued if kind[1] == task]:
            del self._queued[kind]

    def take(
        self, now: float, max_age_s: float
    ) -> tuple[protocol.Command, ...]:
        """Return the commands to send now and empty the queue.

        Commands decided more than ``max_age_s`` ago are dropped.
        """
        self.wake.clear()
        sent = tuple(
            queued.command
            for queued in self._queued.values()
            if now - queued.decided_at <= max_age_s
        )
        self._queued.clear()
        self._in_flight = frozenset(
            (type(command), command.task) for command in sent
        )
        return sent

    def build_batch(
        self,
        board: blackboard.Blackboard,
        settings: options.Settings,
        sent_at: float,
    ) -> protocol.Batch:
        """Return the batch to send at ``sent_at`` and empty the queue.

        It has no commands for a worker that has not reported yet, as the
        worker's clock is unknown; queued commands stay queued.  A renewal
        decided more than ``freeze_gap_s`` before ``sent_at`` is omitted.
        """
        view = board.workers_by_id[self.vm.id]
        if view.report is None:
            return protocol.Batch(board.shard, board.epoch)
        scheduler = settings.scheduler
        renew_until = 0.0
        not_renewed: tuple[str, ...] = ()
        renewal = board.renewals_by_worker_id.get(self.vm.id)
        if renewal is not None:
            if sent_at - renewal.decided_at <= scheduler.freeze_gap_s:
                renew_until = renewal.lease_until
                not_renewed = renewal.excluded
        return protocol.Batch(
            board.shard,
            board.epoch,
            self.take(sent_at, scheduler.freeze_gap_s),
            view.report.boot_id,
            view.clock_at(sent_at + scheduler.worker_timeout_s),
            renew_until,
            not_renewed,
            view.report.number,
        )

    def finish_exchange(self) -> None:
        """Mark the exchange as ended, whether or not it succeeded."""
        self._in_flight = frozenset()
