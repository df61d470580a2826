"""Numbered patches of the configuration, kept by the platform.

A patch is accepted by one transaction that moves the head row from N to
N+1 and writes the patch row and the audit row.  Two operators who start
from the same version conflict on the head row; one is told the present
version.  A patch row is written once and never deleted, so it settles
for good whether a submission was accepted: a client names each of its
submissions by an id, and a submission from base N can only ever be
accepted as version N+1, so the row of N+1 tells, also when later patches
have moved the head on.

Whole contents are kept in the object store, one about every
``SNAPSHOT_INTERVAL`` versions, written before the transaction that makes
the head row name them.  Their names hold a digest of the content, so a
submission that then loses a race leaves an object that no row names.  A
cold process reads the head row, one snapshot and the patches since.
"""

import dataclasses
import hashlib
import typing

import msgspec
import result

from primroselock import audit
from primroselock import configuration
from primroselock import ini
from primroselock import logs
from primroselock.store import keys
from primroselock.store import objects
from primroselock.store import table

SNAPSHOT_INTERVAL: typing.Final = 50
_log: typing.Final = logs.get('patches')


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRef:
    """Which object holds the whole content of ``version``."""

    version: int = 0
    name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The present version and the newest snapshot up to it."""

    version: int
    snapshot: SnapshotRef = SnapshotRef()


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """An accepted patch; ``submitted_at`` is in Unix seconds.

    ``snapshot`` is the newest one up to this version.
    """

    version: int
    text: str
    comment: str
    author: str
    origin: str
    submitted_at: float
    submission_id: str = ''
    action: str = 'patch submit'
    snapshot: SnapshotRef = SnapshotRef()


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A patch as an operator submits it.

    ``id`` is the client's own; it sends the same one when it repeats a
    submission whose answer it did not get.
    """

    base_version: int
    text: str
    comment: str
    author: str
    origin: str
    id: str = ''
    action: str = 'patch submit'


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The submission is version ``version``; ``warnings`` are for people.

    ``repeated`` tells that it had been accepted before.
    """

    version: int
    warnings: tuple[str, ...] = ()
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The submission's base is not the present version."""

    present_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that would result is not valid."""

    problems: tuple[ini.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IdReused:
    """The submission's id was used for another text."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The platform failed; ``may_be_accepted`` after a lost reply."""

    detail: str
    may_be_accepted: bool = False


SubmitError = VersionConflict | Invalid | IdReused | StoreFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """The sections of one version, as read back from the platform."""

    version: int
    sections: ini.Sections


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The present content, its head and the head row's version."""

    content: Content
    head: Head
    head_row_version: int


EMPTY: typing.Final = Content(0, {})


async def read_head(
    store: table.Table,
) -> result.Result[tuple[Head, int], table.Unavailable]:
    """Return the head and its row version; version 0 when none exists."""
    read = await store.read([keys.CONFIG_HEAD])
    if isinstance(read, result.Err):
        return read
    row = read.ok_value.get(keys.CONFIG_HEAD)
    if row is None:
        return result.Ok((Head(0), table.ABSENT))
    return result.Ok((msgspec.json.decode(row.value, type=Head), row.version))


async def read_patch(
    store: table.Table, version: int
) -> result.Result[Patch | None, table.Unavailable]:
    """Return the patch that made ``version``, or None."""
    key = keys.config_patch(version)
    read = await store.read([key])
    if isinstance(read, result.Err):
        return read
    row = read.ok_value.get(key)
    if row is None:
        return result.Ok(None)
    return result.Ok(msgspec.json.decode(row.value, type=Patch))


async def load_current(
    store: objects.Store, known: Content = EMPTY
) -> result.Result[Current, table.Unavailable]:
    """Return the present content, reading on from ``known``."""
    read = await read_head(store)
    if isinstance(read, result.Err):
        return read
    head, row_version = read.ok_value
    loaded = await load_version(store, head.version, head.snapshot, known)
    if isinstance(loaded, result.Err):
        return loaded
    return result.Ok(Current(loaded.ok_value, head, row_version))


async def load_version(
    store: objects.Store,
    version: int,
    snapshot: SnapshotRef,
    known: Content = EMPTY,
) -> result.Result[Content, table.Unavailable]:
    """Return the content of ``version`` from a snapshot up to it.

    It is read on from ``known`` where no snapshot is nearer.
    """
    base = known if known.version <= version else EMPTY
    if snapshot.version > base.version:
        got = await store.get_object(snapshot.name)
        if isinstance(got, result.Err):
            return got
        if got.ok_value is None:
            _log.error('snapshot is missing', name=snapshot.name)
        else:
            sections = msgspec.json.decode(got.ok_value, type=ini.Sections)
            base = Content(snapshot.version, sections)
    return await _apply_patches(store, base, version)


async def _apply_patches(
    store: table.Table, base: Content, target: int
) -> result.Result[Content, table.Unavailable]:
    content = base
    while content.version < target:
        after = keys.config_patch(content.version)
        missing = target - content.version
        page = await store.scan(keys.CONFIG_PATCHES, after, min(missing, 500))
        if isinstance(page, result.Err):
            return page
        if not page.ok_value:
            detail = f'no row of patch {content.version + 1}'
            return result.Err(table.Unavailable(detail))
        for row in page.ok_value:
            patch = msgspec.json.decode(row.value, type=Patch)
            if patch.version != content.version + 1:
                detail = f'no row of patch {content.version + 1}'
                return result.Err(table.Unavailable(detail))
            content = apply_text(content, patch.text)
    return result.Ok(content)


def apply_text(content: Content, text: str) -> Content:
    """Return ``content`` with the accepted patch of the next version."""
    parsed = ini.parse(text, 'patch').unwrap()
    sections = configuration.merge(content.sections, parsed)
    return Content(content.version + 1, sections)


async def submit(
    store: objects.Store, submission: Submission, now: float
) -> result.Result[Accepted, SubmitError]:
    """Check ``submission`` whole and accept it, or say why not.

    ``now`` is wall time for the records.  A refused try is audited too.
    """
    outcome = await _submit(store, submission, now)
    if isinstance(outcome, result.Err):
        error = outcome.err_value
        if not isinstance(error, StoreFailed):
            await audit.write(store, _build_entry(submission, error, now))
    return outcome


async def _submit(
    store: objects.Store, submission: Submission, now: float
) -> result.Result[Accepted, SubmitError]:
    loaded = await load_current(store)
    if isinstance(loaded, result.Err):
        return result.Err(StoreFailed(loaded.err_value.detail))
    present = loaded.ok_value
    if present.head.version != submission.base_version:
        return await _resolve_conflict(store, submission, present.head.version)
    checked = check(present.content, submission.text)
    if isinstance(checked, result.Err):
        return checked
    content, warnings = checked.ok_value
    snapshot = await _write_snapshot_if_due(
        store, present.head.snapshot, content
    )
    transaction = _build_transaction(present, submission, snapshot, now)
    outcome = await table.transact_resolved(
        store, transaction, write_once_key=keys.config_patch(content.version)
    )
    if isinstance(outcome, result.Ok):
        return result.Ok(Accepted(content.version, warnings))
    error = outcome.err_value
    if isinstance(error, table.Conflict):
        return await _resolve_conflict(store, submission, content.version)
    unsettled = isinstance(error, table.OutcomeUnknown)
    return result.Err(StoreFailed(error.detail, unsettled))


def check(
    present: Content, text: str
) -> result.Result[tuple[Content, tuple[str, ...]], Invalid]:
    """Return the content that ``text`` leads to, and its warnings."""
    version = present.version + 1
    source = f'patch for version {version}'
    parsed = ini.parse(text, source)
    if isinstance(parsed, result.Err):
        return result.Err(Invalid(tuple(parsed.err_value)))
    sections = configuration.merge(present.sections, parsed.ok_value)
    checked = configuration.read(sections, version, source)
    if isinstance(checked, result.Err):
        return result.Err(Invalid(tuple(checked.err_value)))
    warnings = configuration.find_warnings(checked.ok_value)
    return result.Ok((Content(version, sections), warnings))


async def _resolve_conflict(
    store: table.Table, submission: Submission, present_version: int
) -> result.Result[Accepted, SubmitError]:
    """Tell a repeated submission from one that lost a race."""
    version = submission.base_version + 1
    read = await read_patch(store, version)
    if isinstance(read, result.Err):
        return result.Err(StoreFailed(read.err_value.detail))
    patch = read.ok_value
    if (
        patch is None
        or submission.id != patch.submission_id
        or (not submission.id)
    ):
        head = await read_head(store)
        if isinstance(head, result.Ok):
            present_version = max(present_version, head.ok_value[0].version)
        return result.Err(VersionConflict(present_version))
    if patch.text != submission.text:
        return result.Err(IdReused(version))
    return result.Ok(Accepted(version, repeated=True))


async def _write_snapshot_if_due(
    store: objects.ObjectStore, known: SnapshotRef, content: Content
) -> SnapshotRef:
    """Write a snapshot when one is due; return the newest that exists.

    When the object store fails, the next patch tries again.
    """
    if content.version - known.version < SNAPSHOT_INTERVAL:
        return known
    body = msgspec.json.encode(content.sections, order='sorted')
    digest = hashlib.sha256(body).hexdigest()[:16]
    name = keys.config_snapshot(content.version, digest)
    written = await store.put_object(name, body)
    if isinstance(written, result.Err):
        _log.warning('snapshot not kept', detail=written.err_value.detail)
        return known
    return SnapshotRef(content.version, name)


def _build_transaction(
    present: Current,
    submission: Submission,
    snapshot: SnapshotRef,
    now: float,
) -> table.Transaction:
    version = present.head.version + 1
    patch = Patch(
        version,
        submission.text,
        submission.comment,
        submission.author,
        submission.origin,
        now,
        submission.id,
        submission.action,
        snapshot,
    )
    token = table.new_token()
    key = keys.config_patch(version)
    head = Head(version, snapshot)
    entry = _build_entry(submission, Accepted(version), now)
    return table.Transaction(
        (
            table.Condition(keys.CONFIG_HEAD, present.head_row_version),
            table.Condition(key, table.ABSENT),
        ),
        (
            table.Put(key, msgspec.json.encode(patch)),
            table.Put(keys.CONFIG_HEAD, msgspec.json.encode(head)),
            audit.build_put(entry, token),
        ),
        token=token,
    )


def _build_entry(
    submission: Submission, outcome: Accepted | SubmitError, now: float
) -> audit.Entry:
    word = 'refused'
    detail = f'base {submission.base_version}: {submission.comment}'
    if isinstance(outcome, Accepted):
        word = 'accepted'
        detail = f'version {outcome.version}: {submission.comment}'
    elif isinstance(outcome, VersionConflict):
        detail += f' (the present version is {outcome.present_version})'
    elif isinstance(outcome, Invalid):
        detail += f' ({"; ".join(str(p) for p in outcome.problems)})'
    elif isinstance(outcome, IdReused):
        detail += f' (id of version {outcome.version} used again)'
    return audit.Entry(
        now,
        submission.author,
        submission.origin,
        submission.action,
        word,
        detail,
    )
