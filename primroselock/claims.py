"""Rows that make a request with an idempotency key run at most once.

A gateway inserts a *claim* row before it sends the request; the insert
succeeds for one gateway only.  The complete response is then stored in
the row.  A request that finds another request's row gets the stored
response, or an unknown outcome while there is none.  The claim of a
request that certainly did not run is deleted, so that the key can be used
again.

A request changes its row only at the version that it wrote; an expired row is
replaced or deleted only at the version that was read.  A late or repeated
transaction therefore has no effect.  Wall time is compared between VMs only
to expire rows, whose lifetime far exceeds the clock differences.
"""

import asyncio
from collections import abc
import dataclasses
import typing
import uuid

import msgspec
import result

from primroselock import backgroundtasks
from primroselock import decoding
from primroselock import groupcommit
from primroselock import httpclient
from primroselock.store import table

_CLAIM_ATTEMPTS: typing.Final = 4
_WRITE_ATTEMPTS: typing.Final = 8
_WRITE_RETRY_DELAY_S: typing.Final = 0.5


_Status = typing.Annotated[int, msgspec.Meta(ge=100, le=599)]


class Row(msgspec.Struct, frozen=True):
    """A claim as stored in the table; ``claimed_at`` is in Unix seconds.

    ``holder`` is a random id of the request that claimed the key.
    ``request_digest`` distinguishes requests that carry the same key.
    ``status``, ``content_type`` and ``body`` are the stored response;
    ``status`` is None until it is stored.
    """

    holder: str
    request_digest: str
    claimed_at: decoding.Amount
    status: _Status | None = None
    content_type: str | None = None
    body: bytes = b''

    def response(self) -> httpclient.Response | None:
        """Return the stored response, if there is one."""
        if self.status is None:
            return None
        headers = {}
        if self.content_type is not None:
            headers['content-type'] = self.content_type
        return httpclient.Response(self.status, self.body, headers)


@dataclasses.dataclass(frozen=True, slots=True)
class OwnClaim:
    """This gateway's claim; its row is at ``version``."""

    key: str
    row: Row
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class ExistingClaim:
    """Another request's claim under the same key."""

    row: Row


ClaimResult = result.Result[
    OwnClaim | ExistingClaim, table.Unavailable | table.OutcomeUnknown
]


class ClaimStore:
    """Claims in the platform's table."""

    def __init__(
        self,
        store: table.Table,
        committer: groupcommit.GroupCommitter,
        ttl_s: float,
        max_stored_bytes: int,
    ) -> None:
        self._store = store
        self._committer = committer
        self._ttl_s = ttl_s
        self._max_stored_bytes = max_stored_bytes
        self._background: set[asyncio.Task[None]] = set()

    async def claim(
        self, key: str, request_digest: str, now_wall: float
    ) -> ClaimResult:
        """Claim ``key``, or return the existing claim.

        ``now_wall`` is in Unix seconds.  After an error this request holds
        no claim: one that was written although its reply was lost is
        deleted in the background.
        """
        row = Row(uuid.uuid4().hex, request_digest, now_wall)
        value = msgspec.msgpack.encode(row)
        version = table.ABSENT
        for _ in range(_CLAIM_ATTEMPTS):
            write = groupcommit.Write(key, version, value)
            committed = await self._committer.submit(write)
            if isinstance(committed, result.Ok):
                return result.Ok(
                    OwnClaim(key, row, committed.ok_value.version)
                )
            error = committed.err_value
            if isinstance(error, table.OutcomeUnknown):
                self._start_background(self._undo(key, row.holder))
                return result.Err(error)
            if isinstance(error, table.Unavailable):
                return result.Err(error)
            read = await self._store.read([key])
            if isinstance(read, result.Err):
                return read
            stored = read.ok_value.get(key)
            if stored is None:
                version = table.ABSENT
                continue
            found = _decode(stored)
            if found is None:
                return result.Err(
                    table.Unavailable('the claim row cannot be decoded')
                )
            if found.holder == row.holder:
                return result.Ok(OwnClaim(key, row, stored.version))
            if found.claimed_at + self._ttl_s > now_wall:
                return result.Ok(ExistingClaim(found))
            version = stored.version
        return result.Err(
            table.Unavailable('the claim row changed at every attempt')
        )

    async def store_response(
        self, own_claim: OwnClaim, response: httpclient.Response
    ) -> None:
        """Store the response for later requests with the same key.

        A response above the size limit is not stored; its claim remains.
        """
        if len(response.body) > self._max_stored_bytes:
            return
        row = msgspec.structs.replace(
            own_claim.row,
            status=response.status,
            content_type=response.headers_by_name.get('content-type'),
            body=response.body,
        )
        value = msgspec.msgpack.encode(row)
        await self._write(
            groupcommit.Write(own_claim.key, own_claim.version, value)
        )

    async def release(self, own_claim: OwnClaim) -> None:
        """Delete the claim of a request that certainly did not run."""
        await self._write(
            groupcommit.Write(own_claim.key, own_claim.version, None)
        )

    def release_later(self, own_claim: OwnClaim) -> None:
        """Delete the claim in the background."""
        self._start_background(self.release(own_claim))

    async def delete_expired(
        self, prefix: str, after: str, limit: int, now_wall: float
    ) -> str:
        """Delete the expired rows of one page.

        Return the key after which the next page starts, or an empty
        string after the last page.  If the page cannot be read, return
        ``after``.
        """
        scanned = await self._store.scan(prefix, after, limit)
        if isinstance(scanned, result.Err):
            return after
        rows = scanned.ok_value
        expired = [
            groupcommit.Write(row.key, row.version, None)
            for row in rows
            if self._is_expired(row, now_wall)
        ]
        await asyncio.gather(
            *(self._committer.submit(write) for write in expired)
        )
        return rows[-1].key if len(rows) == limit else ''

    async def drain(self) -> None:
        """Wait for the background tasks."""
        while self._background:
            await asyncio.wait(self._background)
        await self._committer.drain()

    def _is_expired(self, row: table.Row, now_wall: float) -> bool:
        claim = _decode(row)
        if claim is None:
            return False
        return claim.claimed_at + self._ttl_s <= now_wall

    async def _write(self, write: groupcommit.Write) -> None:
        """Retry the write until it is applied or the row has changed.

        Give up after ``_WRITE_ATTEMPTS`` attempts.
        """
        for _ in range(_WRITE_ATTEMPTS):
            committed = await self._committer.submit(write)
            if isinstance(committed, result.Ok):
                return
            if isinstance(committed.err_value, table.Conflict):
                return
            await asyncio.sleep(_WRITE_RETRY_DELAY_S)

    async def _undo(self, key: str, holder: str) -> None:
        """Delete the row if ``holder`` wrote it.

        Give up after ``_WRITE_ATTEMPTS`` failed reads.
        """
        for _ in range(_WRITE_ATTEMPTS):
            read = await self._store.read([key])
            if isinstance(read, result.Ok):
                stored = read.ok_value.get(key)
                if stored is None:
                    return
                row = _decode(stored)
                if row is None or row.holder != holder:
                    return
                await self._write(groupcommit.Write(key, stored.version, None))
                return
            await asyncio.sleep(_WRITE_RETRY_DELAY_S)

    def _start_background(
        self, coroutine: abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        task = backgroundtasks.start(coroutine, 'write of a claim')
        self._background.add(task)
        task.add_done_callback(self._background.discard)


_decode_row: typing.Final = decoding.msgpack_reader(Row)


def _decode(stored: table.Row) -> Row | None:
    """Return the claim of a row, or None if it cannot be decoded."""
    return _decode_row(stored.value).ok()
