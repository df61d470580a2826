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
from primroselock import jobcancellation
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
from primroselock import storedjobs

_log: typing.Final = logs.get('intake')
_MAX_INSERTS: typing.Final = 3
"""Attempts to write a job where others cancel its id meanwhile."""

_SHOWN_PROBLEMS: typing.Final = 10
"""Problems of a job that a refusal names, of perhaps thousands."""

_RETRY_AFTER_S: typing.Final = 1.0


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
        self._follower = shard_follower
        self._metrics = counters
        self._lease_key = keys.shard_lease(settings.fleet.shard)
        self._jobs = storedjobs.StoredJobs(settings, store)
        self._known = self._jobs.known
        self._canceller = jobcancellation.JobCanceller(settings, self._jobs)
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
            refused = storedjobs.refuse_unavailable(f'age {age_s:.3f} s')
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
        read = await self._jobs.read_submitted(graph.id, deadline)
        if isinstance(read, result.Err):
            return result.Err(self.qualify_refusal(graph.id, read.err_value))
        decided = self._check_submitted(read.ok_value, graph)
        if decided is not None:
            return decided
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
        value = graphrows.encode(
            msgspec.structs.replace(graph, accepted_queue=queue)
        )
        if len(value) > self._jobs.max_value_bytes:
            return result.Err(
                refusals.Refused(
                    refusals.Reason.TOO_LARGE, f'{len(value)} bytes'
                )
            )
        version = table.ABSENT
        for _ in range(_MAX_INSERTS):
            outcome = await self._write_graph(graph, version, value, deadline)
            if outcome is not None:
                return outcome
            read = await self._jobs.read_submitted(graph.id, deadline)
            if isinstance(read, result.Err):
                return result.Err(
                    storedjobs.refuse_unknown(read.err_value.detail)
                )
            decided = self._check_submitted(read.ok_value, graph)
            if decided is not None:
                return decided
            # Only others have cancelled the id.
            version = read.ok_value.version
        return result.Err(storedjobs.refuse_unknown('job row keeps changing'))

    async def _write_graph(
        self,
        graph: jobgraph.JobGraph,
        version: int,
        value: bytes,
        deadline: float,
    ) -> result.Result[None, refusals.Refused] | None:
        """Write the row of a job, which must be at ``version``.

        Returns None if it is at another version.
        """
        key = keys.graph(self._settings.shard, graph.id)
        write = groupcommit.Write(key, version, value)
        is_first = not self._known.may_be_stored(graph.id)
        # Also if the caller breaks off, the write goes on.
        self._known.record_unknown(graph.id)
        outcome = await self._jobs.commit(write, deadline)
        if isinstance(outcome, result.Ok):
            self._known.record_stored(graph)
            return result.Ok(None)
        error = outcome.err_value
        if isinstance(error, table.OutcomeUnknown):
            self._known.record_unknown(graph.id)
        elif is_first:
            self._known.record_not_stored(graph.id)
        if isinstance(error, table.Conflict):
            return None
        if isinstance(error, table.Rejected):
            return result.Err(
                refusals.Refused(refusals.Reason.TOO_LARGE, error.detail)
            )
        refused = storedjobs.refuse_uncommitted(error)
        return result.Err(self.qualify_refusal(graph.id, refused))

    def _check_submitted(
        self, submitted: storedjobs.Submitted, graph: jobgraph.JobGraph
    ) -> result.Result[None, refusals.Refused] | None:
        """Return what a submission gets for what stands at its key.

        None if it may be written there.
        """
        content = submitted.content
        if isinstance(content, jobgraph.JobGraph):
            return _check_same_owner(self._known.record_stored(content), graph)
        owner = knownjobs.Owner(graph.account, graph.queue)
        if submitted.is_cancelled_for(owner):
            return result.Err(refusals.Refused(refusals.Reason.CANCELLED))
        return None

    async def cancel(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Cancel a job; one that has ended does not change.

        Succeeds for a job that has ended or is cancelled already.  That there
        is no such job means that none will be: see ``jobcancellation``.
        ``deadline`` is on this process's clock.
        """
        caller = knownjobs.Owner(access.account, access.queue.name)
        return await self._canceller.cancel(caller, job_id, deadline)

    async def state(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[jobs.JobState, refusals.Refused]:
        """Return the state of a job, as the store has it now.

        ``deadline`` is on this process's clock.
        """
        if not jobgraph.is_valid_id(job_id):
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_JOB))
        owned, read = await asyncio.gather(
            self._check_owner(access, job_id, deadline),
            self._jobs.read_row(
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
                storedjobs.refuse_unavailable('progress row cannot be decoded')
            )
        return result.Ok(progress.state)

    async def _state_without_progress(
        self, job_id: str, deadline: float
    ) -> result.Result[jobs.JobState, refusals.Refused]:
        """Return that a job waits, or refuse one whose rows were deleted."""
        read = await self._jobs.read_submitted(job_id, deadline)
        if isinstance(read, result.Err):
            return read
        if not isinstance(read.ok_value.content, jobgraph.JobGraph):
            self._known.forget_stored(job_id)
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_JOB))
        return result.Ok(jobs.JobState.WAITING)

    async def _check_owner(
        self, access: Access, job_id: str, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Refuse a job that does not exist or that others submitted."""
        found = await self._jobs.find_owner(job_id, deadline)
        if isinstance(found, result.Err):
            return found
        caller = knownjobs.Owner(access.account, access.queue.name)
        owner = found.ok_value
        if owner is None or not knownjobs.may_access(caller, owner):
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_JOB))
        return result.Ok(None)

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
