"""Puts the rows that others wrote on the blackboard of a shard's holder.

The same for a takeover, which reads all rows, and for the change feeds that
the holder follows.  One row that cannot be applied is logged by its key and
left out; it holds up no other.
"""

import typing

from primroselock import clock
from primroselock.decisions import crashes
from primroselock.decisions import fleet
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock import graphrows
from primroselock import jobgraph
from primroselock import logs
from primroselock import rowguard
from primroselock.store import table

_log: typing.Final = logs.get('holder')
_MAX_TASKS: typing.Final = 1_000_000
"""More tasks than any job has whose progress can be stored."""


class WorkerRowReader(typing.Protocol):
    """Reads workers' entries from the rows of the table ``name``."""

    name: str

    def read_entry(self, row: table.Row) -> fleetworkers.WorkerEntry | None:
        """Return the entry of a row, or None if it cannot be decoded."""

    def parse_worker_id(self, key: str) -> str:
        """Return the id of the worker whose row, at ``key``, was deleted."""


def _load_job(
    board: fleet.ShardBoard, stored: graphrows.StoredJob, now: float
) -> None:
    """Add a stored job to the blackboard, or apply its cancellation.

    A graph or a progress that no job can have is logged and left out.
    """
    graph = stored.graph
    if graph is None:
        return
    job = board.jobs_by_id.get(graph.id)
    if stored.progress is not None and stored.progress.state.is_final:
        board.note_ended(graph.id, graph.account, stored.progress.ended_ms)
    elif job is None:
        problems = jobgraph.check(graph, _MAX_TASKS)
        if not problems and graph.task_count > _MAX_TASKS:
            problems = [f'occurrences: expected up to {_MAX_TASKS} tasks']
        if not problems and stored.progress is not None:
            problems = jobgraph.check_progress(graph, stored.progress)
        if stored.is_progress_lost:
            # What is done or runs is not known: nothing may begin anew.
            problems = ['progress: a row cannot be decoded']
        if problems:
            # The intake refuses such a job; only a damaged row has one.
            _log.error('stored job not usable', request=graph.id, why=problems)
            return
        wall_ms = int(clock.wall() * 1000)
        job = graphs.add_job(
            board,
            graph,
            stored.progress,
            stored.progress_version,
            now,
            wall_ms,
        )
        if job is not None:
            job.stored_parts = stored.parts
    if job is not None and stored.is_cancelled:
        job.request_cancel()


def load_job(
    board: fleet.ShardBoard,
    job_id: str,
    stored: graphrows.StoredJob,
    now: float,
) -> None:
    """Load a job; one that cannot be loaded is logged and left out."""
    with rowguard.leave_out(_log, job_id):
        try:
            _load_job(board, stored, now)
        except Exception:
            graphs.drop_job(board, job_id)
            raise


def apply_entry(
    board: fleet.ShardBoard,
    reader: WorkerRowReader,
    row: table.Row,
    now: float,
) -> None:
    """Record the entry in a row.

    A row that names no worker counts as a deleted one: the worker gets no
    starts, and what runs there goes on and is polled at the address that is
    known.
    """
    entry = None
    with rowguard.leave_out(_log, row.key):
        entry = reader.read_entry(row)
    with rowguard.leave_out(_log, row.key):
        if entry is not None:
            crashes.note_entry(board, entry, now)
            board.record_entry(entry, now)
        else:
            board.record_unlisted(reader.parse_worker_id(row.key))


def note_earlier_entry(
    board: fleet.ShardBoard,
    reader: WorkerRowReader,
    row: table.Row,
    now: float,
) -> None:
    """Note whether a worker drained, from a row that may be outdated."""
    with rowguard.leave_out(_log, row.key):
        entry = reader.read_entry(row)
        if entry is not None:
            board.drains.note(entry, now)
