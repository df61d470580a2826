"""Operators' part of the gateway: patches, configuration, audit."""

import dataclasses
import typing

import msgspec
import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import audit
from primroselock import auth
from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock import history
from primroselock import logs
from primroselock import patches

_PAGE: typing.Final = 100
_MAX_PAGE: typing.Final = 500
_log: typing.Final = logs.get('operators')


@dataclasses.dataclass(frozen=True, slots=True)
class PatchBody:
    """Body of a patch submission."""

    base_version: int
    text: str
    comment: str = ''
    submission_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RevertBody:
    """Body of a request to restore the content of ``to_version``."""

    base_version: int
    to_version: int
    comment: str = ''
    submission_id: str = ''


class BadQuery(Exception):
    """A query parameter is not what was expected."""


def author_of(request: requests.Request) -> str:
    """Return who the operator says that he is."""
    return request.headers.get('primroselock-author', 'operator')


def origin_of(request: requests.Request) -> str:
    """Return the IP that a request came from."""
    return request.client.host if request.client else ''


class ConfigApi:
    """Handles ``/v1/config`` and ``/v1/audit``."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared

    def _refuse_stranger(
        self, request: requests.Request
    ) -> responses.Response | None:
        digests = self._shared.settings.gateway.operator_digests
        if auth.is_operator(request, digests):
            return None
        # Kept in the log only: strangers must not fill the table.
        _log.warning(
            'operator call refused',
            path=request.url.path,
            origin=origin_of(request),
        )
        return answers.error(401, 'unauthorized', "not an operator's token")

    async def submit(self, request: requests.Request) -> responses.Response:
        """Accept a patch, or say why not."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        try:
            body = msgspec.json.decode(await request.body(), type=PatchBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return answers.error(400, 'bad-patch', str(error))
        submission = patches.Submission(
            body.base_version,
            body.text,
            body.comment,
            author_of(request),
            origin_of(request),
            body.submission_id,
        )
        accepted = await patches.submit(
            self._shared.platform, submission, clock.wall()
        )
        return await self._answer(accepted)

    async def revert(self, request: requests.Request) -> responses.Response:
        """Restore an older version's content by a new patch."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        try:
            body = msgspec.json.decode(await request.body(), type=RevertBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return answers.error(400, 'bad-revert', str(error))
        submission = patches.Submission(
            body.base_version,
            '',
            body.comment or f'revert to version {body.to_version}',
            author_of(request),
            origin_of(request),
            body.submission_id,
        )
        accepted = await history.revert(
            self._shared.platform, submission, body.to_version, clock.wall()
        )
        return await self._answer(accepted)

    async def _answer(
        self,
        accepted: result.Result[
            patches.Accepted, patches.SubmitError | history.NoVersion
        ],
    ) -> responses.Response:
        if isinstance(accepted, result.Err):
            return _refusal(accepted.err_value)
        await self._shared.follower.poll()
        return answers.json_answer(accepted.ok_value, 201)

    async def show(self, request: requests.Request) -> responses.Response:
        """Return the configuration, of one version or the present one."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        try:
            version = _number(request, 'version', -1)
        except BadQuery as error:
            return answers.error(400, 'bad-query', str(error))
        loaded: result.Result[patches.Content, history.ReadError]
        if version >= 0:
            loaded = await history.load(self._shared.platform, version)
        else:
            present = await patches.load_present(self._shared.platform)
            loaded = present.map(lambda found: found.content)
        if isinstance(loaded, result.Err):
            return _read_failed(loaded.err_value)
        content = loaded.ok_value
        return answers.json_answer(
            {
                'version': content.version,
                'text': configuration.to_text(content.sections),
            }
        )

    async def show_difference(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the patch that turns version ``from`` into ``to``."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        try:
            old = _number(request, 'from')
            new = _number(request, 'to')
        except BadQuery as error:
            return answers.error(400, 'bad-query', str(error))
        found = await history.find_difference(self._shared.platform, old, new)
        if isinstance(found, result.Err):
            return _read_failed(found.err_value)
        return answers.json_answer(
            {'from': old, 'to': new, 'text': found.ok_value}
        )

    async def list_patches(
        self, request: requests.Request
    ) -> responses.Response:
        """Return a page of the accepted patches, oldest first."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        try:
            after = _number(request, 'after', 0)
            limit = _limit(request)
        except BadQuery as error:
            return answers.error(400, 'bad-query', str(error))
        page = await history.list_patches(self._shared.platform, after, limit)
        if isinstance(page, result.Err):
            return _read_failed(page.err_value)
        return answers.json_answer(page.ok_value)

    async def list_audit(
        self, request: requests.Request
    ) -> responses.Response:
        """Return a page of the audit trail, oldest first."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        after = request.query_params.get('after', '')
        try:
            limit = _limit(request)
        except BadQuery as error:
            return answers.error(400, 'bad-query', str(error))
        page = await audit.list_entries(self._shared.platform, after, limit)
        if isinstance(page, result.Err):
            return _read_failed(page.err_value)
        return answers.json_answer(page.ok_value)

    async def confirmations(
        self, request: requests.Request
    ) -> responses.Response:
        """Return who has a version in force, by zone."""
        refusal = self._refuse_stranger(request)
        if refusal is not None:
            return refusal
        try:
            version = _number(
                request, 'version', self._shared.follower.current.version
            )
        except BadQuery as error:
            return answers.error(400, 'bad-query', str(error))
        now = clock.monotonic()
        return answers.json_answer(self._shared.confirmations(version, now))


def _number(
    request: requests.Request, name: str, default: int | None = None
) -> int:
    text = request.query_params.get(name)
    if text is None and default is not None:
        return default
    if text is None or not text.isdecimal():
        raise BadQuery(f'{name}: expected a whole number of at least 0')
    return int(text)


def _limit(request: requests.Request) -> int:
    limit = _number(request, 'limit', _PAGE)
    return max(1, min(limit, _MAX_PAGE))


def _read_failed(error: history.ReadError) -> responses.Response:
    if isinstance(error, history.NoVersion):
        return answers.error(
            404, 'no-version', f'there is no version {error.version}'
        )
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)


def _refusal(
    error: patches.SubmitError | history.NoVersion,
) -> responses.Response:
    if isinstance(error, patches.Raced):
        return answers.error(
            409,
            'raced',
            f'the present version is {error.present_version}',
        )
    if isinstance(error, patches.Invalid):
        lines = tuple(str(problem) for problem in error.problems)
        return answers.error(
            422, 'invalid', 'the patch is refused', details=lines
        )
    if isinstance(error, patches.IdUsed):
        message = f'the id was used for the text of version {error.version}'
        return answers.error(409, 'id-used', message)
    if isinstance(error, history.NoVersion):
        return _read_failed(error)
    if error.may_be_accepted:
        return answers.error(
            504, 'unknown', error.detail, answers.Outcome.UNKNOWN
        )
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)
