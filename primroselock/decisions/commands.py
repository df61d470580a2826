"""Typed commands that controllers return and the scheduler executes."""

import dataclasses

from primroselock import jobs
from primroselock.workers import protocol


@dataclasses.dataclass(frozen=True, slots=True)
class SendToWorker:
    """Send ``command`` to a worker.

    At once if it is ``urgent``, otherwise with the next exchange.
    """

    worker_id: str
    command: protocol.Command
    urgent: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class WriteJob:
    """Replace a job's row, if it is still at ``row_version``.

    The write is refused if a newer lease holder of the shard exists.
    """

    job: jobs.Job
    row_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class MoveJob:
    """Move a waiting job's row to another shard.

    The scheduler writes the row with ``shard`` replaced, adds it to the inbox
    of ``to_shard`` and removes it from this shard's active jobs, in one
    transaction that is conditional on ``row_version`` and on the shard's
    epoch.  Then the job is dropped from the blackboard.
    """

    job: jobs.Job
    row_version: int
    to_shard: str


Command = SendToWorker | WriteJob | MoveJob
