"""Orders to workers that start, stop and keep single runs, and answers.

A run is one attempt of one task.  Every order bears the shard's epoch; a
worker obeys none that is older than the newest it has seen.  Times on the
worker's clock are in seconds.
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
    """Begin ``run``, unless the worker's clock is past ``lease_until``.

    ``checkpoint`` is saved progress to go on from; ``ticket`` is what an
    adviser gave for the step on this worker.
    """

    run: Run
    payload: str
    lease_until: float
    epoch: int
    checkpoint: str = ''
    ticket: str = ''


class EndCause(enum.Enum):
    """How a run ended."""

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """A run that goes on; ``share`` of its work is done (0 to 1).

    For work that lasts ``share`` tells how much of it is at work.
    """

    run: Run
    checkpoint: str
    share: float


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """A run that ended; ``number`` rises within the worker's boot."""

    number: int
    run: Run
    cause: EndCause
    checkpoint: str


@dataclasses.dataclass(frozen=True, slots=True)
class RunReport:
    """What a worker runs and what ended there since the confirmed end.

    ``boot`` names the worker's incarnation.  ``is_complete`` is False when
    more ends wait to be told.
    """

    clock_s: float
    boot: int
    running: tuple[Running, ...]
    ended: tuple[Ended, ...]
    is_complete: bool = True


class Refusal(enum.Enum):
    """Why a worker did not obey."""

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
    """The order was obeyed when the worker's clock showed ``clock_s``."""

    clock_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The order was not obeyed; ``clock_s`` where the worker told it."""

    why: Refusal
    clock_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """Nothing of the order left this process."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Unanswered:
    """The order may be obeyed, now or seconds later."""

    detail: str


OrderError = Refused | NotSent | Unanswered


class RunClient(typing.Protocol):
    """Gives orders to workers."""

    async def start(
        self, worker_id: str, address: str, order: Start, timeout_s: float
    ) -> result.Result[Accepted, OrderError]:
        """Order a start; the same start again does no harm."""

    async def stop(
        self,
        worker_id: str,
        address: str,
        run: Run,
        epoch: int,
        timeout_s: float,
    ) -> result.Result[Accepted, OrderError]:
        """Order a stop; a run that is not there will be refused later."""

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
        """Extend the lease of all runs and return what the worker tells.

        Ends up to ``confirmed_end`` are forgotten.  The answer waits up
        to ``wait_s`` for an end.
        """

    async def drop(self, address: str) -> None:
        """Close the connections to a worker that is gone."""

    async def aclose(self) -> None:
        """Close every connection."""
