"""Accepts jobs, reports their state and cancels them, on every node.

A job is accepted once its row is stored; a repeated submission of its id
finds that row.  A job is refused only if nothing was written to the store,
so that it certainly does not run.  What is known of one submission does not
tell what became of an earlier one: as long as that may still be stored, this
node answers that the outcome is unknown.

A state is read from the store when a caller asks for it: what a node reads
grows with its callers, not with the jobs of the shard.  The number of waiting
jobs is published by the shard's holder with its lease; once that is too old,
the count is refused.
"""

import asyncio
from collections import abc
import dataclasses
import math
import typing

import msgspec
import result

from primroselock import clock
from primroselock import graphrows
from primroselock import groupcommit
from primroselock import jobgraph
from primroselock import jobs
from primroselock import knownjobs
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import publishedcounts
from primroselock import queues
from primroselock import refusals
from primroselock import shards
from primroselock.store import keys
from primroselock.store import table
from primroselock.store import tablefollower

_log: typing.Final = logs.get('intake')
_COMMIT_INTERVAL_S: typing.Final = 0.005
_SHOWN_PROBLEMS: typing.Final = 10
"""Problems of a job that a refusal names, of perhaps thousands."""

_MAX_WRITES_PER_COMMIT: typing.Final = 50
"""A transaction of the platform has at most 100 entries, two for a write."""

_RETRY_AFTER_S: typing.Final = 1.0
_MIN_COMMIT_TIMEOUT_S: typing.Final = 0.05
"""A commit takes a few milliseconds, so one can succeed near a deadline."""

_MIN_READ_TIMEOUT_S: typing.Final = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """The queue of a call and the account that makes it."""

    queue: queues.Queue
    account: str


def _nothing_incoming() -> tablefollower.Incoming:
    """Return that no newer version is known."""
    return tablefollower.Incoming.NONE


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
        self._max_value_bytes = (
            settings.platform.max_row_bytes - table.TOKEN_BYTES
        )
        self._store = store
        self._follower = shard_follower
        self._committer = groupcommit.GroupCommitter(
            store, _COMMIT_INTERVAL_S, _MAX_WRITES_PER_COMMIT
        )
        self._metrics = counters
        self._lease_key = keys.shard_lease(settings.fleet.shard)
        self._known = knownjobs.KnownJobs()
        self._counts = publishedcounts.PublishedCounts()
        self._queues = queues.EMPTY
        self._confirmed_at: abc.Callable[[], float] = lambda: float('-inf')
        self._incoming = _nothing_incoming
        shard_follower.add_handler(self._apply_changes)

    def _apply_changes(self, changes: table.Changes) -> None:
        for row in changes.rows:
            if row.key == self._lease_key:
                lease = shards.read_lease_row(row)
                self._counts = publishedcounts.read(lease, clock.monotonic())

    def set_queue_configuration(
        self,
        current: queues.QueueConfiguration,
        confirmed_at: abc.Callable[[], float],
        incoming: abc.Callable[[], tablefollower.Incoming] = _nothing_incoming,
    ) -> None:
        """Use this version of the queues for all later calls.

        ``confirmed_at`` returns when the operators' rows were last known
        to be up to date, on this process's clock; ``incoming`` whether
        a newer version of them is on its way.
        """
        self._queues = current
        self._confirmed_at = confirmed_at
        self._incoming = incoming

    @property
    def max_body_bytes(self) -> int:
        """The largest accepted request body, in bytes."""
        return self._queues.max_body_bytes

    def is_ready(self, now: float) -> bool:
        """Return whether calls can be accepted and answered now."""
        permit_s = self._extend(self._settings.ready_permit_s)
        return (
            now - self._confirmed_at() <= permit_s
            and self._follower.age_s(now) <= self._settings.follow_age_s
        )

    def admit(
        self, host: str, path: str, key: str, now: float
    ) -> result.Result[Access, refusals.Refused]:
        """Return the queue and the account of a call.

        Once the operators' rows are older than the permit, every call is
        refused, since a newer version may have removed the key or the
        queue; sooner if such a version is known to be on its way.
        """
        age_s = now - self._confirmed_at()
        permit_s = self._settings.serve_permit_s
        detail = f'age {age_s:.3f} s'
        if self._incoming() is not tablefollower.Incoming.NONE:
            permit_s = min(permit_s, self._settings.outdated_permit_s)
            detail += '; a newer version is on its way'
        if age_s > permit_s or not self._queues.version:
            return result.Err(
                refusals.Refused(refusals.Reason.STALE, detail, _RETRY_AFTER_S)
            )
        queue = self._queues.find(host, path)
        if queue is None:
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_QUEUE))
        account = self._queues.find_account(key)
        if account is None and not queue.is_public:
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_KEY))
        return result.Ok(Access(queue, account.name if account else ''))

    async def submit(
        self, access: Access, graph: jobgraph.JobGraph, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Store a job; succeed as well if it is stored already.

        ``deadline`` is on this process's clock.
        """
        if (refused := check_graph(graph, self._settings)) is not None:
            return result.Err(refused)
        known = self._known.find_owner(graph.id)
        if known is not None:
            return _check_same_owner(known, graph)
        age_s = clock.monotonic() - self._confirmed_at()
        if age_s > self._extend(self._settings.accept_permit_s):
            # The store has not answered of late: refuse, and send nothing.
            refused = _store_unavailable(f'age {age_s:.3f} s')
            return result.Err(self.qualify_refusal(graph.id, refused))
        excess_s = self._counts.excess_s(
            graph,
            access.queue,
            self._queues.accounts_by_name.get(access.account),
        )
        age_s = clock.monotonic() - self._counts.seen_at
        is_known = age_s <= self._settings.count_age_s
        if is_known and excess_s > 0.0:
            return await self._refuse_beyond_share(graph, excess_s, deadline)
        return await self._insert(graph, access.queue, deadline)

    def _extend(self, permit_s: float) -> float:
        """Return a permit that is short since the store may not answer.

        It answers while a newer version arrives, so that the permit for
        copies that are known to be outdated applies.
        """
        if self._incoming() is not tablefollower.Incoming.RECEIVING:
            return permit_s
        return max(permit_s, self._settings.outdated_permit_s)

    async def _refuse_beyond_share(
        self, graph: jobgraph.JobGraph, excess_s: float, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Refuse a job that would only wait, unless it is stored already.

        Another node may have accepted it, and the caller not have heard so.
        """
        key = keys.graph(self._settings.shard, graph.id)
        read = await self._read_row(key, deadline)
        if isinstance(read, result.Err):
            return result.Err(self.qualify_refusal(graph.id, read.err_value))
        if read.ok_value is not None:
            return await self._check_stored_owner(key, graph, deadline)
        refused = refusals.Refused(
            refusals.Reason.BACKLOG,
            f'{excess_s:.1f} s too late',
            max(_RETRY_AFTER_S, float(math.ceil(excess_s))),
        )
        return result.Err(self.qualify_refusal(graph.id, refused))

    def qualify_refusal(
        self, job_id: str, refused: refusals.Refused
    ) -> refusals.Refused:
        """Return the refusal of a submission, given those before it.

        It becomes an unknown outcome if it would say that the job certainly
        never runs, while an earlier submission here may still be stored.
        """
        if refused.retry_after_s is None or not (
            self._known.may_be_stored(job_id)
        ):
            return refused
        return refusals.Refused(
            refusals.Reason.OUTCOME_UNKNOWN, refused.detail
        )

    async def _insert(
        self, graph: jobgraph.JobGraph, queue: queues.Queue, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        key = keys.graph(self._settings.shard, graph.id)
        value = graphrows.encode(
            msgspec.structs.replace(graph, accepted_queue=queue)
        )
        if len(value) > self._max_value_bytes:
            return result.Err(
                refusals.Refused(
                    refusals.Reason.TOO_LARGE, f'{len(value)} bytes'
                )
            )
        write = groupcommit.Write(key, table.ABSENT, value)
        is_first = not self._known.may_be_stored(graph.id)
        # Also if the caller breaks off, the write goes on.
        self._known.record_unknown(graph.id)
        outcome = await self._commit(write, deadline)
        if isinstance(outcome, result.Ok):
            self._known.record_stored(graph)
            return result.Ok(None)
        error = outcome.err_value
        if isinstance(error, table.Conflict):
            return await self._check_stored_owner(key, graph, deadline)
        if isinstance(error, table.OutcomeUnknown):
            self._known.record_unknown(graph.id)
        elif is_first:
            self._known.record_not_stored(graph.id)
        if isinstance(error, table.Rejected):
            return result.Err(
                refusals.Refused(refusals.Reason.TOO_LARGE, error.detail)
            )
        refused = _refuse_uncommitted(error)
        return result.Err(self.qualify_refusal(graph.id, refused))

    async def _commit(
        self, write: groupcommit.Write, deadline: float
    ) -> groupcommit.WriteResult:
        timeout_s = min(
            max(_MIN_COMMIT_TIMEOUT_S, deadline - clock.monotonic()),
            self._settings.accept_timeout_s,
        )
        expected_s = self._committer.expected_wait_s(write.key)
        if expected_s > timeout_s:
            # It would be stored after its caller has given up, and so would
            # all that follow.
            return result.Err(
                table.Unavailable(f'expected wait {expected_s:.3f} s')
            )
        try:
            async with asyncio.timeout(timeout_s):
                return await self._committer.submit(write)
        except TimeoutError:
            return result.Err(
                table.OutcomeUnknown('store did not answer in time')
            )

    async def _check_stored_owner(
        self, key: str, graph: jobgraph.JobGraph, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Compare the owner of the stored job with that of ``graph``."""
        read = await self._read_until(key, deadline)
        if isinstance(read, result.Err):
            return result.Err(
                refusals.Refused(
                    refusals.Reason.OUTCOME_UNKNOWN,
                    read.err_value.detail,
                )
            )
        row = read.ok_value
        if row is None:
            return result.Err(
                refusals.Refused(
                    refusals.Reason.OUTCOME_UNKNOWN, 'job row not found'
                )
            )
        stored = graphrows.read_graph(row)
        if stored is None:
            return result.Err(
                refusals.Refused(
                    refusals.Reason.OUTCOME_UNKNOWN,
                    'job row cannot be decoded',
                )
            )
        return _check_same_owner(self._known.record_stored(stored), graph)

    async def cancel(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Store a cancellation request; a job that ended does not change.

        Succeeds for a job that has ended or is cancelled already.
        ``deadline`` is on this process's clock.
        """
        owned = await self._check_owner(access, job_id, deadline)
        if isinstance(owned, result.Err):
            return owned
        key = keys.cancellation(self._settings.shard, job_id)
        write = groupcommit.Write(key, table.ABSENT, access.account.encode())
        outcome = await self._commit(write, deadline)
        if isinstance(outcome, result.Ok):
            return result.Ok(None)
        error = outcome.err_value
        if isinstance(error, table.Conflict):
            return result.Ok(None)
        return result.Err(_refuse_uncommitted(error))

    async def state(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[jobs.JobState, refusals.Refused]:
        """Return the state of a job, as the store has it now.

        ``deadline`` is on this process's clock.
        """
        owned, read = await asyncio.gather(
            self._check_owner(access, job_id, deadline),
            self._read_row(
                keys.progress(self._settings.shard, job_id), deadline
            ),
        )
        if isinstance(owned, result.Err):
            return owned
        if isinstance(read, result.Err):
            return read
        row = read.ok_value
        if row is None:
            return await self._state_without_progress(job_id, deadline)
        progress = graphrows.read_progress(row)
        if progress is None:
            return result.Err(
                _store_unavailable('progress row cannot be decoded')
            )
        return result.Ok(progress.state)

    async def _state_without_progress(
        self, job_id: str, deadline: float
    ) -> result.Result[jobs.JobState, refusals.Refused]:
        """Return that a job waits, or refuse one whose rows were deleted."""
        read = await self._read_row(
            keys.graph(self._settings.shard, job_id), deadline
        )
        if isinstance(read, result.Err):
            return read
        if read.ok_value is None:
            self._known.forget_stored(job_id)
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_JOB))
        return result.Ok(jobs.JobState.WAITING)

    async def _check_owner(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Refuse a job that does not exist or that others submitted."""
        owner = self._known.find_owner(job_id)
        if owner is None:
            read = await self._read_row(
                keys.graph(self._settings.shard, job_id), deadline
            )
            if isinstance(read, result.Err):
                return read
            if read.ok_value is None:
                return result.Err(
                    refusals.Refused(refusals.Reason.UNKNOWN_JOB)
                )
            graph = graphrows.read_graph(read.ok_value)
            if graph is None:
                return result.Err(
                    _store_unavailable('job row cannot be decoded')
                )
            owner = self._known.record_stored(graph)
        # Callers without a key, which a public queue admits, have no account.
        is_own = owner.account == access.account or not access.account
        if not is_own or owner.queue != access.queue.name:
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_JOB))
        return result.Ok(None)

    async def _read_row(
        self, key: str, deadline: float
    ) -> result.Result[table.Row | None, refusals.Refused]:
        """Read a row, until ``deadline``; refuse the call without it."""
        read = await self._read_until(key, deadline)
        if isinstance(read, result.Err):
            return result.Err(_store_unavailable(read.err_value.detail))
        return result.Ok(read.ok_value)

    async def _read_until(
        self, key: str, deadline: float
    ) -> result.Result[table.Row | None, table.Unavailable]:
        """Read a row, until ``deadline``; None if it does not exist."""
        left_s = max(_MIN_READ_TIMEOUT_S, deadline - clock.monotonic())
        try:
            async with asyncio.timeout(left_s):
                read = await self._store.read([key])
        except TimeoutError:
            return result.Err(table.Unavailable('no answer in time'))
        if isinstance(read, result.Err):
            return read
        return result.Ok(read.ok_value.get(key))

    def count_waiting(
        self, access: Access, now: float
    ) -> result.Result[int, refusals.Refused]:
        """Return how many accepted jobs of a queue have not started.

        Refused if the shard's holder has published no count of late: a
        count of unknown age is no answer.
        """
        counts = self._counts
        age_s = now - counts.seen_at
        is_old = age_s > self._settings.count_age_s
        if counts.waiting_by_queue is None or is_old:
            return result.Err(
                refusals.Refused(
                    refusals.Reason.COUNT_UNKNOWN,
                    f'last count {age_s:.3f} s old',
                    _RETRY_AFTER_S,
                )
            )
        return result.Ok(counts.waiting_by_queue.get(access.queue.name, 0))


def check_graph(
    graph: jobgraph.JobGraph, settings: options.FleetSettings
) -> refusals.Refused | None:
    """Return why a job is refused whatever its queue, or None."""
    problems = jobgraph.check(graph, settings.max_tasks)
    if problems:
        shown = '; '.join(problems[:_SHOWN_PROBLEMS])
        return refusals.Refused(refusals.Reason.INVALID, shown)
    if graph.task_count > settings.max_job_tasks:
        return refusals.Refused(
            refusals.Reason.TOO_LARGE, f'{graph.task_count} tasks'
        )
    return None


def _store_unavailable(detail: str) -> refusals.Refused:
    """Return the refusal of a call that the store certainly did not apply."""
    return refusals.Refused(
        refusals.Reason.STORE_UNAVAILABLE, detail, _RETRY_AFTER_S
    )


def _refuse_uncommitted(
    error: table.Rejected | table.Unavailable | table.OutcomeUnknown,
) -> refusals.Refused:
    """Return the refusal of a call whose write was not confirmed."""
    if isinstance(error, table.Unavailable):
        return _store_unavailable(error.detail)
    return refusals.Refused(refusals.Reason.OUTCOME_UNKNOWN, error.detail)


def _check_same_owner(
    stored: knownjobs.Owner, graph: jobgraph.JobGraph
) -> result.Result[None, refusals.Refused]:
    """Refuse a submission whose id another account or queue uses."""
    if stored.account != graph.account or stored.queue != graph.queue:
        return result.Err(
            refusals.Refused(
                refusals.Reason.UNKNOWN_QUEUE,
                'job id used by another account or queue',
            )
        )
    return result.Ok(None)
