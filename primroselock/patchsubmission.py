"""Accepts patches of the configuration, or tells why one is refused.

A patch is accepted by one transaction that advances the head row from N to
N+1 and writes the patch row and the audit row.  Two submissions with the same
base version conflict on the head row; one of them is refused with the current
version.  A patch row is written once and never deleted, so it is lasting
evidence of whether a submission was accepted: a client gives each submission
an id, and a submission with base N can only be accepted as version N+1, so
the row of N+1 decides, even after later patches have advanced the head.

A snapshot of the complete content is written about every
``SNAPSHOT_INTERVAL`` versions, each before the transaction that makes the
head row refer to it.  Their names contain a digest of the content, so a
submission that then fails with a conflict leaves only an object that no row
refers to.
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
from primroselock import patches
from primroselock.store import keys
from primroselock.store import objects
from primroselock.store import table

SNAPSHOT_INTERVAL: typing.Final = 50
"""Versions between two snapshots; bounds the patches read at a start."""

_log: typing.Final = logs.get('patches')


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
    loaded = await patches.load_current(store)
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
    current: patches.Content, text: str
) -> result.Result[tuple[patches.Content, tuple[str, ...]], Invalid]:
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
    return result.Ok((patches.Content(version, sections), warnings))


async def _resolve_conflict(
    store: table.Table, submission: Submission, present_version: int
) -> result.Result[Accepted, SubmitError]:
    """Distinguish a repeated submission, a reused id and a conflict."""
    version = submission.base_version + 1
    read = await patches.read_patch(store, version)
    if isinstance(read, result.Err):
        return result.Err(StoreFailed(read.err_value.detail))
    patch = read.ok_value
    if (
        patch is None
        or submission.id != patch.submission_id
        or (not submission.id)
    ):
        head = await patches.read_head(store)
        if isinstance(head, result.Ok):
            present_version = max(present_version, head.ok_value[0].version)
        return result.Err(VersionConflict(present_version))
    if patch.text != submission.text:
        return result.Err(IdReused(version))
    return result.Ok(Accepted(version, repeated=True))


async def _write_snapshot_if_due(
    store: objects.ObjectStore,
    newest: patches.SnapshotRef,
    content: patches.Content,
) -> patches.SnapshotRef:
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
    return patches.SnapshotRef(content.version, name)


def _build_transaction(
    current: patches.Current,
    submission: Submission,
    snapshot: patches.SnapshotRef,
    now: float,
) -> table.Transaction:
    version = current.head.version + 1
    patch = patches.Patch(
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
    head = patches.Head(version, snapshot)
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
