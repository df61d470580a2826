"""Orders that start, stop and extend runs on workers, and their answers.

A run is one attempt of one task.  Every order carries the shard's epoch; a
worker refuses an order whose epoch is older than the newest it has seen.
Times on the worker's clock are in seconds.
"""

import dataclasses
import enum
import typing

import result

from primroselock import jobgraph


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One attempt of one task."""

    task: jobgraph.TaskName
    attempt: int


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """Start ``run``, unless the worker's clock is past ``lease_until``.

    ``checkpoint`` is the saved progress to resume from; ``ticket`` was
    issued by an adviser for running the step on this worker.
    """

    run: Run
    payload: str
    lease_until: float
    epoch: int
    checkpoint: str = ''
    ticket: str = ''


class EndCause(enum.Enum):
    """Cause of the end of a run.

    GANG_BROKEN: another member of its gang ended without being done.
    ALONE counts as a refused start.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LEASE_EXPIRED = 'lapsed'
    GANG_BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run in progress; ``share`` is the fraction of its work done (0 to 1).

    For long-running work ``share`` is the fraction of it that is active.
    ``tail_latency_ms`` is a rough figure for the last half second of a task
    that serves requests, or None where the worker reports none.
    """

    run: Run
    checkpoint: str
    share: float
    tail_latency_ms: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A run that ended.

    ``number`` increases during one incarnation of the worker.
    """

    number: int
    run: Run
    cause: EndCause
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """Runs of a worker and the runs that ended after the confirmed end.

    ``boot`` identifies the worker's incarnation.  ``is_complete`` is False
    when the worker has more ended runs to report.
    """

    clock_s: float
    boot: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    is_complete: bool = True


class Refusal(enum.Enum):
    """Reason for which a worker refused an order."""

    STALE_EPOCH = 'stale epoch'
    SUPERSEDED = 'this or a later attempt was stopped or ended there'
    DEADLINE_PASSED = 'past the deadline'
    NO_CAPACITY = 'no room'
    TICKET_REJECTED = 'ticket not taken'
    BOOT_MISMATCH = 'another incarnation'
    UNHEALTHY = 'not accepting work'
    INVALID = 'order not understood'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The order was executed at ``clock_s`` on the worker's clock."""

    clock_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was refused; ``clock_s`` is None if not reported."""

    why: Refusal
    clock_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No part of the order was sent."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """No answer was received; the order may take effect seconds later."""

    detail: str


OrderError = Refused | NotSent | Unanswered


class RunClient(typing.Protocol):
    """Sends orders to workers."""

    async def start(
        self, worker_id: str, address: str, order: Start, timeout_s: float
    ) -> result.Result[Accepted, OrderError]:
        """Order the start of a run; idempotent."""

    async def stop(
        self,
        worker_id: str,
        address: str,
        run: Run,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[Accepted, OrderError]:
        """Order the stop of a run.

        When the worker does not have the run, it will refuse a later
        start of it.
        """

    async def poll_runs(
        self,
        worker_id: str,
        address: str,
        epoch: int,
        confirmed_end: int,
        lease_until: float | None,
        wait_s: float,
        timeout_s: float,
    ) -> result.Result[RunReport, OrderError]:
        """Extend the lease of all runs and return the worker's report.

        The lease is not extended if ``lease_until`` is None.  The worker
        discards the ended runs up to number ``confirmed_end``.  It delays
        its answer by up to ``wait_s`` until a run ends.
        """

    async def drop(self, address: str) -> None:
        """Close the connections to a worker that was removed."""

    async def aclose(self) -> None:
        """Close every connection."""
