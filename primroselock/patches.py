"""Numbered patches of the configuration, kept in the platform's table.

A patch is accepted by one transaction that moves the head row from N to
N+1 and writes the patch row and the audit row.  Two operators who start
from the same version conflict on the head row; one is told the present
version.  Every ``SNAPSHOT_INTERVAL`` versions the transaction also
writes the whole content, so that a cold process reads one snapshot and
at most that many patches.
"""

import dataclasses
import typing

import msgspec
import result

from primroselock import configuration
from primroselock import ini
from primroselock.platform import keys
from primroselock.platform import table

SNAPSHOT_INTERVAL: typing.Final = 50


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The present version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The whole content of one version."""

    version: int
    sections: ini.Sections


@dataclasses.dataclass(frozen=True, slots=True)
class Patch:
    """An accepted patch; ``submitted_at`` is in Unix seconds."""

    version: int
    text: str
    comment: str
    author: str
    origin: str
    submitted_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class AuditEntry:
    """One change, or refused try, by whom, from where, and its result."""

    at: float
    author: str
    origin: str
    action: str
    outcome: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """A patch as an operator submits it."""

    base_version: int
    text: str
    comment: str
    author: str
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class Raced:
    """The submission's base is not the present version."""

    present_version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The configuration that would result is not valid."""

    problems: tuple[ini.Problem, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class StoreFailed:
    """The platform failed; ``may_be_accepted`` after a lost reply."""

    detail: str
    may_be_accepted: bool = False


SubmitError = Raced | Invalid | StoreFailed


@dataclasses.dataclass(frozen=True, slots=True)
class Content:
    """The sections of one version, as read back from the table.

    ``head_row_version`` is the version of the head row in the table.
    """

    version: int
    sections: ini.Sections
    head_row_version: int


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


async def load_content(
    store: table.Table, known: Content | None = None
) -> result.Result[Content, table.Unavailable]:
    """Return the present content, reading on from ``known``."""
    head = await read_head(store)
    if isinstance(head, result.Err):
        return head
    target, row_version = head.ok_value
    base = known or Content(0, {}, table.ABSENT)
    if target.version - base.version > SNAPSHOT_INTERVAL:
        snapshot = await _read_snapshot(store)
        if isinstance(snapshot, result.Err):
            return snapshot
        base = snapshot.ok_value
    sections, version = base.sections, base.version
    while version < target.version:
        page = await store.scan(
            keys.CONFIG_PATCHES, after=keys.config_patch(version)
        )
        if isinstance(page, result.Err):
            return page
        for row in page.ok_value:
            patch = msgspec.json.decode(row.value, type=Patch)
            if patch.version > target.version:
                break
            sections = apply_text(sections, patch.text)
            version = patch.version
        if not page.ok_value:
            break
    return result.Ok(Content(version, sections, row_version))


async def _read_snapshot(
    store: table.Table,
) -> result.Result[Content, table.Unavailable]:
    read = await store.read([keys.CONFIG_SNAPSHOT])
    if isinstance(read, result.Err):
        return read
    row = read.ok_value.get(keys.CONFIG_SNAPSHOT)
    if row is None:
        return result.Ok(Content(0, {}, table.ABSENT))
    snapshot = msgspec.json.decode(row.value, type=Snapshot)
    return result.Ok(
        Content(snapshot.version, snapshot.sections, table.ABSENT)
    )


def apply_text(sections: ini.Sections, text: str) -> ini.Sections:
    """Return ``sections`` with an accepted patch applied."""
    parsed = ini.parse(text, 'patch')
    return configuration.merge(sections, parsed.unwrap())


async def submit(
    store: table.Table, submission: Submission, now: float
) -> result.Result[int, SubmitError]:
    """Check ``submission`` whole and accept it, or say why not.

    ``now`` is wall time for the records.  Returns the new version.
    """
    loaded = await load_content(store)
    if isinstance(loaded, result.Err):
        return result.Err(StoreFailed(loaded.err_value.detail))
    content = loaded.ok_value
    if content.version != submission.base_version:
        return result.Err(Raced(content.version))
    version = content.version + 1
    source = f'patch for version {version}'
    parsed = ini.parse(submission.text, source)
    if isinstance(parsed, result.Err):
        return result.Err(Invalid(tuple(parsed.err_value)))
    sections = configuration.merge(content.sections, parsed.ok_value)
    checked = configuration.read(sections, version, source)
    if isinstance(checked, result.Err):
        return result.Err(Invalid(tuple(checked.err_value)))
    transaction = _build_transaction(content, submission, sections, now)
    outcome = await table.transact_settled(store, transaction)
    if isinstance(outcome, result.Ok):
        return result.Ok(version)
    error = outcome.err_value
    if isinstance(error, table.Conflict):
        return result.Err(await _present_version(store, version))
    unsettled = isinstance(error, table.Unsettled)
    return result.Err(StoreFailed(error.detail, unsettled))


async def _present_version(
    store: table.Table, at_least: int
) -> Raced | StoreFailed:
    head = await read_head(store)
    if isinstance(head, result.Err):
        return StoreFailed(head.err_value.detail)
    return Raced(max(head.ok_value[0].version, at_least))


def _build_transaction(
    content: Content,
    submission: Submission,
    sections: ini.Sections,
    now: float,
) -> table.Transaction:
    version = content.version + 1
    patch = Patch(
        version,
        submission.text,
        submission.comment,
        submission.author,
        submission.origin,
        now,
    )
    audit = AuditEntry(
        now,
        submission.author,
        submission.origin,
        'patch submit',
        'accepted',
        f'version {version}: {submission.comment}',
    )
    token = table.new_token()
    puts = [
        table.Put(keys.config_patch(version), msgspec.json.encode(patch)),
        table.Put(keys.CONFIG_HEAD, msgspec.json.encode(Head(version))),
        audit_put(audit, token),
    ]
    if version % SNAPSHOT_INTERVAL == 0:
        snapshot = Snapshot(version, sections)
        puts.append(
            table.Put(keys.CONFIG_SNAPSHOT, msgspec.json.encode(snapshot))
        )
    conditions = (
        table.Condition(keys.CONFIG_HEAD, content.head_row_version),
        table.Condition(keys.config_patch(version), table.ABSENT),
    )
    return table.Transaction(conditions, tuple(puts), token=token)


def audit_put(entry: AuditEntry, token: str) -> table.Put:
    """Return the write of an audit row, keyed by its time."""
    key = f'{keys.AUDIT}{int(entry.at * 1000):015d}-{token}'
    return table.Put(key, msgspec.json.encode(entry))
