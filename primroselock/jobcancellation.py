"""Cancels jobs, and ids of which no job is stored.

A submission whose outcome is unknown may be stored seconds after its caller
has given it up, by any node.  So an answer that no such job exists rests on
what all nodes share: a tombstone is written at the key of the job, where a
write of the job that comes late, or a repeated submission, finds it.

A tombstone names who has cancelled the id.  It keeps no one else from handing
in a job under that id, and is not shown to anyone.  The holder of the shard
deletes it once no write that was under way can come any more; how many a node
writes is limited.
"""

import math
import typing

import result

from primroselock import clock
from primroselock.decisions import tokenbucket
from primroselock import graphrows
from primroselock import groupcommit
from primroselock import jobgraph
from primroselock import knownjobs
from primroselock import logs
from primroselock import options
from primroselock import refusals
from primroselock.store import keys
from primroselock.store import table
from primroselock import storedjobs

_log: typing.Final = logs.get('intake')
_MAX_ATTEMPTS: typing.Final = 3
"""Attempts to write a tombstone where the row changes meanwhile."""

_MAX_OWNERS: typing.Final = 32
"""Owners that one tombstone names."""

_MAX_TOMBSTONES: typing.Final = 500
_MAX_TOMBSTONES_OF_ACCOUNT: typing.Final = 250
"""Tombstones that a node writes at once, and again in the time that they are
kept: what a flood leaves in the store has a bound."""

_RETRY_AFTER_S: typing.Final = 1.0
_MAX_ACCOUNTS: typing.Final = 1000
"""Accounts whose tombstones are counted; more than are configured."""


class TombstoneLimits:
    """Limits how many tombstones one node writes, in all and by account."""

    def __init__(self, keep_s: float) -> None:
        self._keep_s = keep_s
        self._all = self._build(_MAX_TOMBSTONES)
        self._by_account: dict[str, tokenbucket.TokenBucket] = {}

    def _build(self, limit: int) -> tokenbucket.TokenBucket:
        return tokenbucket.TokenBucket(limit / self._keep_s, limit, limit)

    def take(self, account: str, now: float) -> float:
        """Count one of an account; 0, or in how many seconds it may be."""
        own = self._by_account.get(account)
        if own is None:
            if len(self._by_account) >= _MAX_ACCOUNTS:
                self._by_account.clear()
            own = self._build(_MAX_TOMBSTONES_OF_ACCOUNT)
            self._by_account[account] = own
        wait_s = max(own.wait_s(now), self._all.wait_s(now))
        if not wait_s:
            own.spend(now)
            self._all.spend(now)
        return wait_s


class JobCanceller:
    """Stores cancellations on one node."""

    def __init__(
        self, settings: options.Settings, stored: storedjobs.StoredJobs
    ) -> None:
        self._settings = settings.fleet
        self._stored = stored
        self._limits = TombstoneLimits(settings.fleet.keep_tombstones_s)

    async def cancel(
        self, caller: knownjobs.Owner, job_id: str, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Cancel a job, or its id if no such job is stored.

        Succeeds for a job that has ended or is cancelled already.
        ``deadline`` is on this process's clock.
        """
        if not jobgraph.is_valid_id(job_id):
            return _refuse_unknown_job()
        owner = self._stored.known.find_owner(job_id)
        if owner is not None:
            return await self._cancel_stored(caller, owner, job_id, deadline)
        for _ in range(_MAX_ATTEMPTS):
            read = await self._stored.read_submitted(job_id, deadline)
            if isinstance(read, result.Err):
                return read
            content = read.ok_value.content
            if isinstance(content, jobgraph.JobGraph):
                owner = self._stored.known.record_stored(content)
                return await self._cancel_stored(
                    caller, owner, job_id, deadline
                )
            if read.ok_value.is_cancelled_for(caller):
                return _refuse_unknown_job()
            refused = await self._write_tombstone(
                caller, job_id, read.ok_value, deadline
            )
            if refused is not None:
                return result.Err(refused)
        return result.Err(
            storedjobs.refuse_unavailable('job row keeps changing')
        )

    async def _cancel_stored(
        self,
        caller: knownjobs.Owner,
        owner: knownjobs.Owner,
        job_id: str,
        deadline: float,
    ) -> result.Result[None, refusals.Refused]:
        """Store the request to cancel a stored job of ``owner``."""
        if not knownjobs.may_access(caller, owner):
            return _refuse_unknown_job()
        key = keys.cancellation(self._settings.shard, job_id)
        write = groupcommit.Write(key, table.ABSENT, caller.account.encode())
        outcome = await self._stored.commit(write, deadline)
        if isinstance(outcome, result.Ok):
            return result.Ok(None)
        error = outcome.err_value
        if isinstance(error, table.Conflict):
            return result.Ok(None)
        return result.Err(storedjobs.refuse_uncommitted(error))

    async def _write_tombstone(
        self,
        caller: knownjobs.Owner,
        job_id: str,
        submitted: storedjobs.Submitted,
        deadline: float,
    ) -> refusals.Refused | None:
        """Write a tombstone for ``caller`` where no job is stored.

        Returns what to answer; None if the row has changed meanwhile.
        """
        owners: tuple[knownjobs.Owner, ...] = ()
        if isinstance(submitted.content, graphrows.Tombstone):
            owners = submitted.content.owners
        wait_s = self._limits.take(caller.account, clock.monotonic())
        if wait_s or len(owners) >= _MAX_OWNERS:
            return refusals.Refused(
                refusals.Reason.TOO_MANY_CANCELLED,
                retry_after_s=max(_RETRY_AFTER_S, float(math.ceil(wait_s))),
            )
        value = graphrows.encode(graphrows.Tombstone((*owners, caller)))
        key = keys.graph(self._settings.shard, job_id)
        write = groupcommit.Write(key, submitted.version, value)
        outcome = await self._stored.commit(write, deadline)
        if isinstance(outcome, result.Ok):
            _log.info(
                'job cancelled before it was stored',
                request=job_id,
                account=caller.account,
            )
            return refusals.Refused(refusals.Reason.UNKNOWN_JOB)
        error = outcome.err_value
        if isinstance(error, table.Conflict):
            return None
        return storedjobs.refuse_uncommitted(error)


def _refuse_unknown_job() -> result.Err[refusals.Refused]:
    return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_JOB))
