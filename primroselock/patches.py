"""Numbered patches of the configuration, stored on the platform.

A patch is accepted by one transaction that advances the head row from N to
N+1 and writes the patch row and the audit row.  Two submissions with the same
base version conflict on the head row; one of them is refused with the current
version.  A patch row is written once and never deleted, so it is lasting
evidence of whether a submission was accepted: a client gives each submission
an id, and a submission with base N can only be accepted as version N+1, so
the row of N+1 decides, even after later patches have advanced the head.

Snapshots of the complete content are stored in the object store, one about
every ``SNAPSHOT_INTERVAL`` versions, each before the transaction that makes
the head row refer to it.  Their names contain a digest of the content, so a
submission that then fails with a conflict leaves only an object that no row
refers to.  A newly started process reads the head row, one snapshot and the
patches since.
"""

import dataclasses
import hashlib
import typing

import msgspec
import result

from primroselock import audit
from primroselock import configuration
from primroselock import decoding
from primroselock import ini
from primroselock import logs
from primroselock.store import keys
from primroselock.store import objects
from primroselock.store import table

SNAPSHOT_INTERVAL: typing.Final = 50
"""Versions between two snapshots; bounds the patches read at a start."""

_log: typing.Final = logs.get('patches')
_Value = typing.TypeVar('_Value')


@dataclasses.dataclass(frozen=True, slots=True)
class SnapshotRef:
    """Name of the object that holds the complete content of ``version``.

    Version 0 stands for no snapshot.
    """

    version: decoding.Count = 0
    name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The current version and the newest snapshot up to it."""

    version: decoding.Count
    snapshot: SnapshotRef = SnapshotRef()


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """An accepted patch; ``submitted_at`` is in Unix seconds.

    ``snapshot`` is the newest snapshot up to this version.
    """

    version: decoding.Count
    text: str
    comment: str
    author: str
    origin: str
    submitted_at: decoding.Number
    submission_id: str = ''
    action: str = 'patch submit'
    snapshot: SnapshotRef = SnapshotRef()


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A patch as an operator submits it.

    ``id`` is chosen by the client, which sends the same id when it repeats
    a submission whose answer it did not receive.
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
    """The submission was accepted as ``version``.

    ``warnings`` are texts for operators.  ``repeated`` is True when the
    submission had already been accepted before.
    """

    version: int
    warnings: tuple[str, ...] = ()
    repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class VersionConflict:
    """The submission's base is not the current version."""

    present_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The resulting configuration would not be valid."""

    problems: tuple[ini.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class IdReused:
    """The submission's id was already used for another text."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The platform was not available.

    ``may_be_accepted`` is True when the outcome of the transaction is
    unknown.
    """

    detail: str
    may_be_accepted: bool = False


SubmitError = VersionConflict | Invalid | IdReused | StoreFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """The sections of one version of the configuration."""

    version: int
    sections: ini.Sections


@dataclasses.dataclass(frozen=True, slots=True)
class Current:
    """The current content, its head and the head row's version."""

    content: Content
    head: Head
    head_row_version: int


EMPTY: typing.Final = Content(0, {})


async def read_head(
    store: table.Table,
) -> result.Result[tuple[Head, int], table.Unavailable]:
    """Return the head and its row version.

    The head has version 0 when no patch was ever accepted.
    """
    read = await store.read([keys.CONFIG_HEAD])
    if isinstance(read, result.Err):
        return read
    row = read.ok_value.get(keys.CONFIG_HEAD)
    if row is None:
        return result.Ok((Head(0), table.ABSENT))
    head = _decode(row.key, row.value, Head)
    if isinstance(head, result.Err):
        return head
    return result.Ok((head.ok_value, row.version))


async def read_patch(
    store: table.Table, version: int
) -> result.Result[Patch | None, table.Unavailable]:
    """Return the patch that created ``version``; None if it does not exist."""
    key = keys.config_patch(version)
    read = await store.read([key])
    if isinstance(read, result.Err):
        return read
    row = read.ok_value.get(key)
    if row is None:
        return result.Ok(None)
    return _decode(row.key, row.value, Patch)


async def load_current(
    store: objects.Store, known: Content = EMPTY
) -> result.Result[Current, table.Unavailable]:
    """Return the current content, starting from ``known`` if possible."""
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
    """Return the content of ``version``.

    The patches are applied to the later of ``snapshot`` and ``known``,
    provided that ``known`` is not past ``version``.  A patch whose row is
    missing gives ``Unavailable``.
    """
    base = known if known.version <= version else EMPTY
    if snapshot.version > base.version:
        got = await store.get_object(snapshot.name)
        if isinstance(got, result.Err):
            return got
        if got.ok_value is None:
            _log.error(
                'configuration snapshot missing; reading the earlier patches',
                name=snapshot.name,
            )
        else:
            sections = _decode(snapshot.name, got.ok_value, ini.Sections)
            if isinstance(sections, result.Err):
                return sections
            base = Content(snapshot.version, sections.ok_value)
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
            detail = f'the row of patch {content.version + 1} is missing'
            return result.Err(table.Unavailable(detail))
        for row in page.ok_value:
            decoded = _decode(row.key, row.value, Patch)
            if isinstance(decoded, result.Err):
                return decoded
            patch = decoded.ok_value
            if patch.version != content.version + 1:
                detail = f'the row of patch {content.version + 1} is missing'
                return result.Err(table.Unavailable(detail))
            applied = apply_text(content, patch.text)
            if isinstance(applied, result.Err):
                _log.error(
                    'patch cannot be applied',
                    key=row.key,
                    problems=[str(each) for each in applied.err_value],
                )
                return result.Err(
                    table.Unavailable(f'{row.key} cannot be applied')
                )
            content = applied.ok_value
    return result.Ok(content)


def _decode(
    name: str, value: bytes, kind: type[_Value]
) -> result.Result[_Value, table.Unavailable]:
    """Decode a row or an object of the configuration."""
    decoded = decoding.read_json(kind, value)
    if isinstance(decoded, result.Err):
        _log.error('row cannot be decoded', key=name, why=decoded.err_value)
        return result.Err(table.Unavailable(f'{name} cannot be decoded'))
    return decoded


def apply_text(
    content: Content, text: str
) -> result.Result[Content, list[ini.Problem]]:
    """Return ``content`` with the patch of the next version applied.

    The text of an accepted patch is always valid INI; a damaged row's text
    gives its problems.
    """
    parsed = ini.parse(text, 'patch')
    if isinstance(parsed, result.Err):
        return parsed
    sections = configuration.merge(content.sections, parsed.ok_value)
    return result.Ok(Content(content.version + 1, sections))


async def submit(
    store: objects.Store, submission: Submission, now: float
) -> result.Result[Accepted, SubmitError]:
    """Validate ``submission`` and accept it, or return the refusal.

    ``now`` is the wall time to record.  Refusals are audited too, failures
    of the platform are not.
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
    current = loaded.ok_value
    if current.head.version != submission.base_version:
        return await _resolve_conflict(store, submission, current.head.version)
    checked = check(current.content, submission.text)
    if isinstance(checked, result.Err):
        return checked
    content, warnings = checked.ok_value
    snapshot = await _write_snapshot_if_due(
        store, current.head.snapshot, content
    )
    transaction = _build_transaction(current, submission, snapshot, now)
    outcome = await table.transact_resolved(
        store, transaction, write_once_key=keys.config_patch(content.version)
    )
    if isinstance(outcome, result.Ok):
        return result.Ok(Accepted(content.version, warnings))
    error = outcome.err_value
    if isinstance(error, table.Conflict):
        return await _resolve_conflict(store, submission, content.version)
    is_outcome_unknown = isinstance(error, table.OutcomeUnknown)
    return result.Err(StoreFailed(error.detail, is_outcome_unknown))


def check(
    current: Content, text: str
) -> result.Result[tuple[Content, tuple[str, ...]], Invalid]:
    """Return the content after the patch ``text``, and its warnings."""
    version = current.version + 1
    source = f'patch for version {version}'
    parsed = ini.parse(text, source)
    if isinstance(parsed, result.Err):
        return result.Err(Invalid(tuple(parsed.err_value)))
    sections = configuration.merge(current.sections, parsed.ok_value)
    checked = configuration.read(sections, version, source)
    if isinstance(checked, result.Err):
        return result.Err(Invalid(tuple(checked.err_value)))
    warnings = configuration.find_warnings(checked.ok_value)
    return result.Ok((Content(version, sections), warnings))


async def _resolve_conflict(
    store: table.Table, submission: Submission, present_version: int
) -> result.Result[Accepted, SubmitError]:
    """Distinguish a repeated submission, a reused id and a conflict."""
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
    store: objects.ObjectStore, newest: SnapshotRef, content: Content
) -> SnapshotRef:
    """Write a snapshot when one is due; return the newest snapshot.

    When the object store fails, the next patch retries.
    """
    if content.version - newest.version < SNAPSHOT_INTERVAL:
        return newest
    body = msgspec.json.encode(content.sections, order='sorted')
    digest = hashlib.sha256(body).hexdigest()[:16]
    name = keys.config_snapshot(content.version, digest)
    written = await store.put_object(name, body)
    if isinstance(written, result.Err):
        _log.warning(
            'configuration snapshot not written; the next patch retries',
            detail=written.err_value.detail,
        )
        return newest
    return SnapshotRef(content.version, name)


def _build_transaction(
    current: Current,
    submission: Submission,
    snapshot: SnapshotRef,
    now: float,
) -> table.Transaction:
    version = current.head.version + 1
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
            table.Condition(keys.CONFIG_HEAD, current.head_row_version),
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
    outcome_name = 'refused'
    detail = f'base {submission.base_version}: {submission.comment}'
    if isinstance(outcome, Accepted):
        outcome_name = 'accepted'
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
        outcome_name,
        detail,
    )
