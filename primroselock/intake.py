"""Accepts jobs, reports their state and cancels them, on every node.

A job is accepted once its row is stored; a repeated submission of its id
finds that row.  A job is refused only if nothing was written to the store,
so that it certainly does not run.  States come from the node's copy of the
shard's rows; a job that the copy does not contain is read from the store.
"""

import asyncio
from collections import abc
import dataclasses
import enum
import typing

import msgspec
import result

from primroselock import clock
from primroselock import graphrows
from primroselock import groupcommit
from primroselock import jobgraph
from primroselock import jobs
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import queues
from primroselock.store import keys
from primroselock.store import table
from primroselock.store import tablefollower

_log: typing.Final = logs.get('intake')
_COMMIT_INTERVAL_S: typing.Final = 0.005
_RETRY_AFTER_S: typing.Final = 1.0
_MIN_COMMIT_TIMEOUT_S: typing.Final = 0.05
"""A commit takes a few milliseconds, so one can succeed near a deadline."""


class RefusalReason(enum.Enum):
    """Reasons to refuse a call; the values go to logs and to callers."""

    STALE = 'the operators\' rows are not confirmed here'
    UNKNOWN_QUEUE = 'no such queue'
    UNKNOWN_KEY = 'unknown key'
    UNKNOWN_JOB = 'no such job'
    INVALID = 'the job cannot be read'
    STORE_UNAVAILABLE = 'the store does not take the job now'
    OUTCOME_UNKNOWN = 'the store did not say whether it took the job'


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A refused call.

    ``retry_after_s`` is set if the call certainly had no effect and may
    succeed later.
    """

    why: RefusalReason
    detail: str = ''
    retry_after_s: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """The queue of a call and the account that makes it."""

    queue: queues.Queue
    account: str


class Intake:
    """Serves callers on one node."""

    def __init__(
        self,
        settings: options.Settings,
        store: table.Table,
        shard_follower: tablefollower.TableFollower,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings.fleet
        self._store = store
        self._follower = shard_follower
        self._committer = groupcommit.GroupCommitter(store, _COMMIT_INTERVAL_S)
        self._metrics = counters
        self._rows = graphrows.JobRows(settings.fleet.shard)
        self._queues = queues.EMPTY
        self._confirmed_at: abc.Callable[[], float] = lambda: float('-inf')
        shard_follower.add_handler(self._apply_changes)

    def _apply_changes(self, changes: table.Changes) -> None:
        self._rows.apply(changes)

    def set_queue_configuration(
        self,
        current: queues.QueueConfiguration,
        confirmed_at: abc.Callable[[], float],
    ) -> None:
        """Use this version of the queues for all later calls.

        ``confirmed_at`` returns when the operators' rows were last known
        to be up to date, on this process's clock.
        """
        self._queues = current
        self._confirmed_at = confirmed_at

    @property
    def max_body_bytes(self) -> int:
        """The largest accepted request body, in bytes."""
        return self._queues.max_body_bytes

    def is_ready(self, now: float) -> bool:
        """Return whether calls can be accepted and answered now."""
        permit_s = self._settings.ready_permit_s
        return (
            now - self._confirmed_at() <= permit_s
            and self._follower.age_s(now) <= self._settings.follow_age_s
        )

    def admit(
        self, host: str, path: str, key: str, now: float
    ) -> result.Result[Access, Refused]:
        """Return the queue and the account of a call.

        Once the operators' rows are older than the permit, every call is
        refused, since a newer version may have removed the key or the
        queue.
        """
        age_s = now - self._confirmed_at()
        if age_s > self._settings.serve_permit_s or not self._queues.version:
            return result.Err(
                Refused(
                    RefusalReason.STALE, f'age {age_s:.3f} s', _RETRY_AFTER_S
                )
            )
        queue = self._queues.find(host, path)
        if queue is None:
            return result.Err(Refused(RefusalReason.UNKNOWN_QUEUE))
        account = self._queues.find_account(key)
        if account is None and not queue.is_public:
            return result.Err(Refused(RefusalReason.UNKNOWN_KEY))
        return result.Ok(Access(queue, account.name if account else ''))

    async def submit(
        self, access: Access, graph: jobgraph.JobGraph, deadline: float
    ) -> result.Result[None, Refused]:
        """Store a job; succeed as well if it is stored already.

        ``deadline`` is on this process's clock.
        """
        problems = jobgraph.check(graph, self._settings.max_tasks)
        if problems:
            return result.Err(
                Refused(RefusalReason.INVALID, '; '.join(problems))
            )
        known = self._rows.stored_by_id.get(graph.id)
        if known is not None and known.graph is not None:
            return _check_same_owner(known.graph, graph)
        age_s = clock.monotonic() - self._confirmed_at()
        if age_s > self._settings.accept_permit_s:
            # The store has not answered of late: refuse, and send nothing.
            return result.Err(
                Refused(
                    RefusalReason.STORE_UNAVAILABLE,
                    f'age {age_s:.3f} s',
                    _RETRY_AFTER_S,
                )
            )
        return await self._insert(graph, deadline)

    async def _insert(
        self, graph: jobgraph.JobGraph, deadline: float
    ) -> result.Result[None, Refused]:
        key = keys.graph(self._settings.shard, graph.id)
        write = groupcommit.Write(key, table.ABSENT, graphrows.encode(graph))
        outcome = await self._commit(write, deadline)
        if isinstance(outcome, result.Ok):
            return result.Ok(None)
        error = outcome.err_value
        if isinstance(error, table.Conflict):
            return await self._check_stored_owner(key, graph)
        if isinstance(error, table.Unavailable):
            return result.Err(
                Refused(
                    RefusalReason.STORE_UNAVAILABLE,
                    error.detail,
                    _RETRY_AFTER_S,
                )
            )
        return result.Err(Refused(RefusalReason.OUTCOME_UNKNOWN, error.detail))

    async def _commit(
        self, write: groupcommit.Write, deadline: float
    ) -> groupcommit.WriteResult:
        timeout_s = min(
            max(_MIN_COMMIT_TIMEOUT_S, deadline - clock.monotonic()),
            self._settings.accept_timeout_s,
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._committer.submit(write)
        except TimeoutError:
            return result.Err(
                table.OutcomeUnknown('store did not answer in time')
            )

    async def _check_stored_owner(
        self, key: str, graph: jobgraph.JobGraph
    ) -> result.Result[None, Refused]:
        """Compare the owner of the stored job with that of ``graph``."""
        read = await self._store.read([key])
        if isinstance(read, result.Err):
            return result.Err(
                Refused(RefusalReason.OUTCOME_UNKNOWN, read.err_value.detail)
            )
        row = read.ok_value.get(key)
        if row is None:
            return result.Err(
                Refused(RefusalReason.OUTCOME_UNKNOWN, 'job row not found')
            )
        try:
            stored = msgspec.json.decode(row.value, type=jobgraph.JobGraph)
        except msgspec.MsgspecError as error:
            _log.error('row cannot be decoded', key=key, error=str(error))
            return result.Err(
                Refused(
                    RefusalReason.OUTCOME_UNKNOWN, 'job row cannot be decoded'
                )
            )
        return _check_same_owner(stored, graph)

    async def cancel(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[None, Refused]:
        """Store a cancellation request; a job that ended does not change.

        Succeeds for a job that has ended or is cancelled already.
        ``deadline`` is on this process's clock.
        """
        found = await self._find(access, job_id)
        if isinstance(found, result.Err):
            return found
        stored = found.ok_value
        if stored.is_cancelled or _state(stored).is_final:
            return result.Ok(None)
        key = keys.cancellation(self._settings.shard, job_id)
        write = groupcommit.Write(key, table.ABSENT, access.account.encode())
        outcome = await self._commit(write, deadline)
        if isinstance(outcome, result.Ok):
            return result.Ok(None)
        error = outcome.err_value
        if isinstance(error, table.Conflict):
            return result.Ok(None)
        if isinstance(error, table.Unavailable):
            return result.Err(
                Refused(
                    RefusalReason.STORE_UNAVAILABLE,
                    error.detail,
                    _RETRY_AFTER_S,
                )
            )
        return result.Err(Refused(RefusalReason.OUTCOME_UNKNOWN, error.detail))

    async def state(
        self, access: Access, job_id: str
    ) -> result.Result[jobs.JobState, Refused]:
        """Return the state of a job.

        The state is read from the store if the node's copy is older than
        ``fresh_state_s``.
        """
        found = await self._find(access, job_id)
        if isinstance(found, result.Err):
            return found
        known = _state(found.ok_value)
        age_s = self._follower.age_s(clock.monotonic())
        if known.is_final or age_s <= self._settings.fresh_state_s:
            return result.Ok(known)
        return result.Ok(await self._read_state(job_id, known))

    async def _read_state(
        self, job_id: str, known: jobs.JobState
    ) -> jobs.JobState:
        """Read a state from the store; fall back to ``known`` on failure."""
        key = keys.progress(self._settings.shard, job_id)
        try:
            async with asyncio.timeout(self._settings.fresh_read_timeout_s):
                read = await self._store.read([key])
        except TimeoutError:
            return known
        if isinstance(read, result.Err) or key not in read.ok_value:
            return known
        stored = graphrows.StoredJob()
        rows = graphrows.JobRows(self._settings.shard)
        rows.stored_by_id[job_id] = stored
        rows.apply(table.Changes((read.ok_value[key],), (), 0))
        return _state(stored)

    async def _find(
        self, access: Access, job_id: str
    ) -> result.Result[graphrows.StoredJob, Refused]:
        stored = self._rows.stored_by_id.get(job_id)
        if stored is None or stored.graph is None:
            looked_up = await self._read_job(job_id)
            if isinstance(looked_up, result.Err):
                return looked_up
            stored = looked_up.ok_value
        if stored is None or stored.graph is None:
            return result.Err(Refused(RefusalReason.UNKNOWN_JOB))
        graph = stored.graph
        # Callers without a key, which a public queue admits, have no account.
        is_own = graph.account == access.account or not access.account
        if not is_own or graph.queue != access.queue.name:
            return result.Err(Refused(RefusalReason.UNKNOWN_JOB))
        return result.Ok(stored)

    async def _read_job(
        self, job_id: str
    ) -> result.Result[graphrows.StoredJob | None, Refused]:
        """Read the rows of a job that the copy does not contain."""
        shard = self._settings.shard
        read = await self._store.read(
            [
                keys.graph(shard, job_id),
                keys.progress(shard, job_id),
                keys.cancellation(shard, job_id),
            ]
        )
        if isinstance(read, result.Err):
            return result.Err(
                Refused(
                    RefusalReason.STORE_UNAVAILABLE,
                    read.err_value.detail,
                    _RETRY_AFTER_S,
                )
            )
        rows = graphrows.JobRows(shard)
        rows.apply(table.Changes(tuple(read.ok_value.values()), (), 0))
        return result.Ok(rows.stored_by_id.get(job_id))

    def count_waiting(self, access: Access) -> int:
        """Return how many accepted jobs of a queue have not started."""
        return sum(
            stored.graph is not None
            and stored.graph.queue == access.queue.name
            and not stored.is_cancelled
            and _state(stored) is jobs.JobState.WAITING
            for stored in self._rows.stored_by_id.values()
        )


def _state(stored: graphrows.StoredJob) -> jobs.JobState:
    if stored.progress is None:
        return jobs.JobState.WAITING
    return stored.progress.state


def _check_same_owner(
    stored: jobgraph.JobGraph, graph: jobgraph.JobGraph
) -> result.Result[None, Refused]:
    """Refuse a submission whose id another account or queue uses."""
    if stored.account != graph.account or stored.queue != graph.queue:
        return result.Err(
            Refused(
                RefusalReason.UNKNOWN_QUEUE,
                'job id used by another account or queue',
            )
        )
    return result.Ok(None)
