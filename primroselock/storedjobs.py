"""The rows of submitted jobs, as nodes that take calls use them.

It remembers whose the stored jobs are, so that their rows need not be read.
Every call ends by the deadline of its caller, on this process's clock.
"""

import asyncio
import dataclasses
import typing

import result

from primroselock import clock
from primroselock import graphrows
from primroselock import groupcommit
from primroselock import jobgraph
from primroselock import knownjobs
from primroselock import options
from primroselock import refusals
from primroselock.store import keys
from primroselock.store import table

_COMMIT_INTERVAL_S: typing.Final = 0.005
_MAX_WRITES_PER_COMMIT: typing.Final = 50
"""A transaction of the platform has at most 100 entries, two for a write."""

_MIN_COMMIT_TIMEOUT_S: typing.Final = 0.05
"""A commit takes a few milliseconds, so one can succeed near a deadline."""

_MIN_READ_TIMEOUT_S: typing.Final = 0.05
_RETRY_AFTER_S: typing.Final = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Submitted:
    """What stands at the key of a job, with the version of the row.

    ``content`` is None where there is no row.
    """

    version: int
    content: jobgraph.JobGraph | graphrows.Tombstone | None

    def is_cancelled_for(self, owner: knownjobs.Owner) -> bool:
        """Return whether a tombstone stands there for ``owner``."""
        content = self.content
        return (
            isinstance(content, graphrows.Tombstone)
            and owner in content.owners
        )


class StoredJobs:
    """Reads and writes the rows of submitted jobs on one node."""

    def __init__(self, settings: options.Settings, store: table.Table) -> None:
        self._settings = settings.fleet
        self._max_value_bytes = (
            settings.platform.max_row_bytes - table.TOKEN_BYTES
        )
        self._store = store
        self._committer = groupcommit.GroupCommitter(
            store, _COMMIT_INTERVAL_S, _MAX_WRITES_PER_COMMIT
        )
        self.known = knownjobs.KnownJobs()

    @property
    def max_value_bytes(self) -> int:
        """The largest value of a row, in bytes."""
        return self._max_value_bytes

    async def commit(
        self, write: groupcommit.Write, deadline: float
    ) -> groupcommit.WriteResult:
        """Write a row; the write goes on if the caller breaks off."""
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

    async def find_owner(
        self, job_id: str, deadline: float
    ) -> result.Result[knownjobs.Owner | None, refusals.Refused]:
        """Return whose a stored job is; None if no such job is stored."""
        owner = self.known.find_owner(job_id)
        if owner is not None:
            return result.Ok(owner)
        read = await self.read_submitted(job_id, deadline)
        if isinstance(read, result.Err):
            return read
        graph = read.ok_value.content
        if not isinstance(graph, jobgraph.JobGraph):
            return result.Ok(None)
        return result.Ok(self.known.record_stored(graph))

    async def read_submitted(
        self, job_id: str, deadline: float
    ) -> result.Result[Submitted, refusals.Refused]:
        """Read what stands at the key of a job."""
        key = keys.graph(self._settings.shard, job_id)
        read = await self.read_row(key, deadline)
        if isinstance(read, result.Err):
            return read
        row = read.ok_value
        if row is None:
            return result.Ok(Submitted(table.ABSENT, None))
        content = graphrows.read_submitted(row)
        if content is None:
            return result.Err(refuse_unavailable('job row cannot be decoded'))
        return result.Ok(Submitted(row.version, content))

    async def read_row(
        self, key: str, deadline: float
    ) -> result.Result[table.Row | None, refusals.Refused]:
        """Read a row; None if it does not exist."""
        left_s = max(_MIN_READ_TIMEOUT_S, deadline - clock.monotonic())
        try:
            async with asyncio.timeout(left_s):
                read = await self._store.read([key])
        except TimeoutError:
            return result.Err(refuse_unavailable('no answer in time'))
        if isinstance(read, result.Err):
            return result.Err(refuse_unavailable(read.err_value.detail))
        return result.Ok(read.ok_value.get(key))


def refuse_unavailable(detail: str) -> refusals.Refused:
    """Return the refusal of a call that the store certainly did not apply."""
    return refusals.Refused(
        refusals.Reason.STORE_UNAVAILABLE, detail, _RETRY_AFTER_S
    )


def refuse_uncommitted(
    error: table.Rejected | table.Unavailable | table.OutcomeUnknown,
) -> refusals.Refused:
    """Return the refusal of a call whose write was not confirmed."""
    if isinstance(error, table.Unavailable):
        return refuse_unavailable(error.detail)
    return refuse_unknown(error.detail)


def refuse_unknown(detail: str) -> refusals.Refused:
    """Return the refusal of a call that may have been applied."""
    return refusals.Refused(refusals.Reason.OUTCOME_UNKNOWN, detail)
