"""Numbered patches of the configuration, stored on the platform.

The head row names the current version; the patch row of each version is
written once and never deleted, see :mod:`primroselock.patchsubmission`.

Snapshots of the complete content are stored in the object store.  A newly
started process reads the head row, one snapshot and the patches since.
"""

import dataclasses
import typing

import result

from primroselock import configuration
from primroselock import decoding
from primroselock import ini
from primroselock import logs
from primroselock.store import keys
from primroselock.store import objects
from primroselock.store import table

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
