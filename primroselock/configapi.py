"""HTTP API for operators: configuration, patches and the audit trail."""

import dataclasses

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import audit
from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock import decoding
from primroselock import history
from primroselock import operatorcalls
from primroselock import patches
from primroselock import patchsubmission


@dataclasses.dataclass(frozen=True, slots=True)
class PatchBody:
    """Body of a patch submission."""

    base_version: decoding.Count
    text: str
    comment: str = ''
    submission_id: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RevertBody:
    """Body of a request to restore the content of ``to_version``."""

    base_version: decoding.Count
    to_version: decoding.Count
    comment: str = ''
    submission_id: str = ''


class ConfigApi:
    """Handles ``/v1/config`` and ``/v1/audit``."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared

    async def submit(self, request: requests.Request) -> responses.Response:
        """Submit a patch; answer 201 with its version, or the refusal."""
        body = await operatorcalls.decode_body(request, PatchBody)
        submission = patchsubmission.Submission(
            body.base_version,
            body.text,
            body.comment,
            operatorcalls.author_of(request),
            operatorcalls.origin_of(request),
            body.submission_id,
        )
        accepted = await patchsubmission.submit(
            self._shared.platform, submission, clock.wall()
        )
        return await self._answer(accepted)

    async def revert(self, request: requests.Request) -> responses.Response:
        """Submit the patch that restores the content of a version."""
        body = await operatorcalls.decode_body(request, RevertBody)
        submission = patchsubmission.Submission(
            body.base_version,
            '',
            body.comment or f'revert to version {body.to_version}',
            operatorcalls.author_of(request),
            operatorcalls.origin_of(request),
            body.submission_id,
        )
        accepted = await history.revert(
            self._shared.platform, submission, body.to_version, clock.wall()
        )
        return await self._answer(accepted)

    async def _answer(
        self,
        accepted: result.Result[
            patchsubmission.Accepted,
            patchsubmission.SubmitError | history.NoVersion,
        ],
    ) -> responses.Response:
        """Answer a submission; first apply an accepted one here."""
        if isinstance(accepted, result.Err):
            return _refusal(accepted.err_value)
        await self._shared.follower.poll()
        return answers.json_response(accepted.ok_value, 201)

    async def show(self, request: requests.Request) -> responses.Response:
        """Return one version of the configuration, by default the current."""
        version = operatorcalls.read_int_parameter(request, 'version', -1)
        loaded: result.Result[patches.Content, history.ReadError]
        if version >= 0:
            loaded = await history.load(self._shared.platform, version)
        else:
            current = await patches.load_current(self._shared.platform)
            loaded = current.map(lambda found: found.content)
        if isinstance(loaded, result.Err):
            return _read_failed(loaded.err_value)
        content = loaded.ok_value
        return answers.json_response(
            {
                'version': content.version,
                'text': configuration.to_text(content.sections),
            }
        )

    async def show_difference(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the patch that turns version ``from`` into ``to``."""
        old = operatorcalls.read_int_parameter(request, 'from')
        new = operatorcalls.read_int_parameter(request, 'to')
        found = await history.find_difference(self._shared.platform, old, new)
        if isinstance(found, result.Err):
            return _read_failed(found.err_value)
        return answers.json_response(
            {'from': old, 'to': new, 'text': found.ok_value}
        )

    async def list_patches(
        self, request: requests.Request
    ) -> responses.Response:
        """Return a page of the accepted patches, oldest first."""
        after = operatorcalls.read_int_parameter(request, 'after', 0)
        limit = operatorcalls.read_page_limit(request)
        page = await history.list_patches(self._shared.platform, after, limit)
        if isinstance(page, result.Err):
            return _read_failed(page.err_value)
        return answers.json_response(page.ok_value)

    async def list_audit(
        self, request: requests.Request
    ) -> responses.Response:
        """Return a page of the audit trail, oldest first."""
        after = request.query_params.get('after', '')
        limit = operatorcalls.read_page_limit(request)
        page = await audit.list_entries(self._shared.platform, after, limit)
        if isinstance(page, result.Err):
            return _read_failed(page.err_value)
        return answers.json_response(page.ok_value)

    async def confirmations(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the processes that have a version in force, by zone.

        By default the version is the current one of this gateway.
        """
        version = operatorcalls.read_int_parameter(
            request, 'version', self._shared.follower.current.version
        )
        now = clock.monotonic()
        return answers.json_response(self._shared.confirmations(version, now))


def _read_failed(error: history.ReadError) -> responses.Response:
    if isinstance(error, history.NoVersion):
        return answers.error(
            404, 'no-version', f'version {error.version} does not exist'
        )
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)


def _refusal(
    error: patchsubmission.SubmitError | history.NoVersion,
) -> responses.Response:
    if isinstance(error, patchsubmission.VersionConflict):
        return answers.error(
            409,
            'raced',
            'the base version is not the current version, which is '
            f'{error.present_version}',
        )
    if isinstance(error, patchsubmission.Invalid):
        lines = tuple(str(problem) for problem in error.problems)
        return answers.error(
            422, 'invalid', 'the patch is invalid', details=lines
        )
    if isinstance(error, patchsubmission.IdReused):
        message = (
            'the submission id was already used for the text of version '
            f'{error.version}'
        )
        return answers.error(409, 'id-used', message)
    if isinstance(error, history.NoVersion):
        return _read_failed(error)
    if error.may_be_accepted:
        return answers.error(
            504, 'unknown', error.detail, answers.Outcome.UNKNOWN
        )
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)
