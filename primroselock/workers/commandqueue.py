"""Commands that wait for one worker, until its next exchange.

Of one kind for one task only the latest command waits.  A stop or a
forget supersedes whatever else waits for its task.  A command that waited
longer than a bound is dropped: the sender was paused, and what still
holds is decided again.
"""

import asyncio
import dataclasses

from primroselock.decisions import blackboard
from primroselock import options
from primroselock.store import vmlist
from primroselock.workers import protocol

_Kind = tuple[type[protocol.Command], protocol.TaskKey]


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    command: protocol.Command
    decided_at: float


class CommandQueue:
    """The commands for one worker; ``wake`` asks for an exchange at once."""

    def __init__(self, vm: vmlist.Vm) -> None:
        self.vm = vm
        self.wake = asyncio.Event()
        self._waiting: dict[_Kind, _Waiting] = {}
        self._in_flight: frozenset[_Kind] = frozenset()

    def add(self, command: protocol.Command, urgent: bool, now: float) -> None:
        """Queue ``command``, unless its like is on the way already."""
        kind: _Kind = (type(command), command.task)
        if kind in self._in_flight:
            return
        if isinstance(command, (protocol.Stop, protocol.Forget)):
            self._supersede(command.task)
        self._waiting.pop(kind, None)
        self._waiting[kind] = _Waiting(command, now)
        if urgent:
            self.wake.set()

    def _supersede(self, task: protocol.TaskKey) -> None:
        for kind in [kind for kind in self._waiting if kind[1] == task]:
            del self._waiting[kind]

    def take(
        self, now: float, max_age_s: float
    ) -> tuple[protocol.Command, ...]:
        """Return the commands to send now and empty the queue."""
        self.wake.clear()
        taken = tuple(
            waiting.command
            for waiting in self._waiting.values()
            if now - waiting.decided_at <= max_age_s
        )
        self._waiting.clear()
        self._in_flight = frozenset(
            (type(command), command.task) for command in taken
        )
        return taken

    def build_batch(
        self,
        board: blackboard.Blackboard,
        settings: options.Settings,
        sent_at: float,
    ) -> protocol.Batch:
        """Return the batch to send at ``sent_at``.

        No command goes to a worker that was not heard, as its clock is
        not known.
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
        """Note that the exchange is over, however it ended."""
        self._in_flight = frozenset()
