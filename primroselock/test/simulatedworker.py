"""One fake worker of the simulated fleet, with its injected faults.

It holds the state of one worker; ``fakefleet`` executes orders on it.
"""

import asyncio
import dataclasses
import math
import typing

from primroselock import clock
from primroselock.decisions import fleetworkers
from primroselock import jobgraph
from primroselock.test import capacityhistory
from primroselock.workers import orders

NEVER: typing.Final = float('-inf')
_MAX_LEASE_S: typing.Final = 10.0
"""A worker shortens longer leases to this."""


@dataclasses.dataclass
class LiveRun:
    """A run in progress on a worker; it ends at ``ends_at``.

    Its order may have arrived, at ``ordered_at``, long before the start.
    """

    run: orders.Run
    step: jobgraph.Step
    ends_at: float
    started_at: float
    cause: orders.EndCause = orders.EndCause.DONE
    ordered_at: float = math.inf


@dataclasses.dataclass
class FakeWorker:
    """One worker with injected faults.

    While ``is_partitioned`` it cannot be reached but continues its runs; while
    ``is_down`` its process has ended.  ``delayed_order_share`` is the share of
    orders that get no answer; starts among these are executed later, and
    ``unanswered_poll_share`` that of polls.  With
    ``is_stalled`` its runs make no progress and never end; with
    ``fails_all`` each run fails soon after its start.  The share
    ``refused_start_share`` of its starts is refused for ``refusal``.

    ``refused`` is by task the latest attempt that ended or was stopped;
    neither it nor an earlier one may start again.

    ``boot`` is the number of the incarnation, which began at ``booted_at`` and
    ``has_answered`` a poll or a stop; its own clock is ahead of the
    monotonic clock by ``clock_offset_s``, and ``lease_end`` is on its own.
    ``last_number`` numbers the ends of runs within an incarnation; of those up
    to ``lapsed_number`` nobody could know before its lease lapsed.  Run
    times are multiplied by ``slowdown_factor``, which is ``usual_factor``
    while no fault slows the worker down.  Another instance answers at
    an address that the worker has left, after ``misdirected_delay_s``.
    """

    entry: fleetworkers.WorkerEntry
    boot: int = 1
    booted_at: float = NEVER
    has_answered: bool = False
    is_partitioned: bool = False
    is_down: bool = False
    delayed_order_share: float = 0.0
    unanswered_poll_share: float = 0.0
    refused_start_share: float = 0.0
    refusal: orders.Refusal = orders.Refusal.UNHEALTHY
    fails_all: bool = False
    is_stalled: bool = False
    slowdown_factor: float = 1.0
    usual_factor: float = 1.0
    misdirected_delay_s: float = 0.0
    epoch: int = 0
    clock_offset_s: float = 0.0
    lease_end: float = NEVER
    last_number: int = 0
    lapsed_number: int = 0
    runs: dict[orders.Run, LiveRun] = dataclasses.field(default_factory=dict)
    ended: list[orders.Ended] = dataclasses.field(default_factory=list)
    refused: dict[jobgraph.TaskName, int] = dataclasses.field(
        default_factory=dict
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    capacity_history: capacityhistory.CapacityHistory = dataclasses.field(
        default_factory=capacityhistory.CapacityHistory
    )

    @property
    def is_reachable(self) -> bool:
        """Whether calls reach this worker."""
        return not (self.is_partitioned or self.is_down)

    @property
    def is_sound(self) -> bool:
        """Whether no injected fault affects this worker."""
        return self.is_reachable and not (
            self.fails_all
            or self.is_stalled
            or self.delayed_order_share
            or self.refused_start_share
            or self.slowdown_factor != self.usual_factor
        )

    def begin_boot(self) -> None:
        """Begin the next incarnation."""
        self.boot += 1
        self.booted_at = clock.monotonic()
        self.has_answered = False

    def describe_late(self, ordered_at: float) -> str:
        """Return what tells of a start that the boot before was to get.

        Empty for other starts.  Before it has answered, nothing can be known
        of a boot, nor refused by it.
        """
        if ordered_at >= self.booted_at:
            return ''
        answered = 'something' if self.has_answered else 'nothing'
        return f', ordered before boot {self.boot}, which answered {answered}'

    def allows(self, used: jobgraph.Resources, ordered_at: float) -> bool:
        """Return whether a start ordered at ``ordered_at`` may lead to it."""
        current = self.entry.capacity
        return self.capacity_history.allows(used, current, ordered_at)

    def read_clock(self) -> float:
        """Return the time on the worker's own clock, in seconds."""
        return clock.monotonic() + self.clock_offset_s

    def extend_lease(self, until: float) -> None:
        """Extend the lease of all runs, at most to the longest lease."""
        self.note_lapse()
        bounded = min(until, self.read_clock() + _MAX_LEASE_S)
        self.lease_end = max(self.lease_end, bounded)

    def note_lapse(self) -> None:
        """Note the ends so far if the lease has lapsed since it was extended.

        The work may be done again.
        """
        if self.read_clock() > self.lease_end:
            self.lapsed_number = self.last_number

    async def is_left(self, address: str) -> bool:
        """Return, once it answers, whether another instance is there."""
        if address == self.entry.address:
            return False
        await asyncio.sleep(self.misdirected_delay_s)
        return True

    def find_share(self, live: LiveRun, now: float) -> float:
        """Return the share of a run that is done, in steps of 0.01."""
        total_s = live.ends_at - live.started_at
        if self.is_stalled or total_s <= 0:
            return 0.0
        done = (now - live.started_at) / total_s
        return math.floor(min(done, 1.0) * 100) / 100

    def add_end(self, run: orders.Run, cause: orders.EndCause) -> None:
        """Record the end of a run, to be listed in the run reports."""
        self.runs.pop(run, None)
        self.last_number += 1
        self.ended.append(orders.Ended(self.last_number, run, cause, ''))
        known = self.refused.get(run.task, 0)
        self.refused[run.task] = max(known, run.attempt)
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
