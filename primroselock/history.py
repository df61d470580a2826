"""Earlier versions of the configuration: show, log, diff and revert.

The content of a version is the snapshot that its patch row refers to, with
the later patches up to that version applied.  A revert is an ordinary patch:
the difference between the content of its base version and that of an earlier
version.
"""

import dataclasses
import typing

import result

from primroselock import configuration
from primroselock import decoding
from primroselock import logs
from primroselock import patches
from primroselock import patchsubmission
from primroselock import rowguard
from primroselock.store import keys
from primroselock.store import objects
from primroselock.store import table


@dataclasses.dataclass(frozen=True, slots=True)
class NoVersion:
    """The version does not exist."""

    version: int


_decode_patch: typing.Final = decoding.json_reader(patches.Patch)
_log: typing.Final = logs.get('patches')
ReadError = NoVersion | table.Unavailable


async def load(
    store: objects.Store, version: int
) -> result.Result[patches.Content, ReadError]:
    """Return the content of ``version``; ``NoVersion`` if not accepted."""
    if version == 0:
        return result.Ok(patches.EMPTY)
    read = await patches.read_patch(store, version)
    if isinstance(read, result.Err):
        return read
    if read.ok_value is None:
        return result.Err(NoVersion(version))
    snapshot = read.ok_value.snapshot
    return await patches.load_version(store, version, snapshot)


async def list_patches(
    store: table.Table, after: int, limit: int
) -> result.Result[list[patches.Patch], table.Unavailable]:
    """Return up to ``limit`` patches after version ``after``, in order.

    A row that cannot be decoded is logged and left out.
    """
    page = await store.scan(
        keys.CONFIG_PATCHES, keys.config_patch(after), limit
    )
    if isinstance(page, result.Err):
        return page
    listed = []
    for row in page.ok_value:
        patch = rowguard.decode(_decode_patch, row, _log)
        if patch is not None:
            listed.append(patch)
    return result.Ok(listed)


async def find_difference(
    store: objects.Store, from_version: int, to_version: int
) -> result.Result[str, ReadError]:
    """Return the patch text that turns one version into another.

    The error is ``NoVersion`` if one of them was not accepted.
    """
    old = await load(store, from_version)
    if isinstance(old, result.Err):
        return old
    new = await load(store, to_version)
    if isinstance(new, result.Err):
        return new
    changes = configuration.difference(
        old.ok_value.sections, new.ok_value.sections
    )
    return result.Ok(configuration.to_text(changes))


async def revert(
    store: objects.Store,
    submission: patchsubmission.Submission,
    to_version: int,
    now: float,
) -> result.Result[
    patchsubmission.Accepted, patchsubmission.SubmitError | NoVersion
]:
    """Submit the patch that restores the content of ``to_version``.

    The text is computed from the base version of ``submission``, so a
    repeated submission has the same text.
    """
    found = await find_difference(store, submission.base_version, to_version)
    if isinstance(found, result.Err):
        error = found.err_value
        if isinstance(error, NoVersion):
            return result.Err(error)
        return result.Err(patchsubmission.StoreFailed(error.detail))
    complete = dataclasses.replace(
        submission,
        text=found.ok_value,
        action=f'patch revert to {to_version}',
    )
    outcome = await patchsubmission.submit(store, complete, now)
    if isinstance(outcome, result.Err):
        return result.Err(outcome.err_value)
    return outcome
