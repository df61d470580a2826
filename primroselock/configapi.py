"""Operators' part of the gateway: patches, configuration, audit."""

import dataclasses
import typing

import msgspec
import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import auth
from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock import patches
from primroselock.platform import keys
from primroselock.platform import table


@dataclasses.dataclass(frozen=True, slots=True)
class PatchBody:
    """Body of a patch submission."""

    base_version: int
    text: str
    comment: str = ''


class ConfigApi:
    """Handles ``/v1/config`` and ``/v1/audit``."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared

    def _is_operator(self, request: requests.Request) -> bool:
        return auth.is_operator(
            request, self._shared.settings.gateway.operator_digests
        )

    async def submit(self, request: requests.Request) -> responses.Response:
        """Accept a patch, or say why not."""
        if not self._is_operator(request):
            return _unauthorized()
        try:
            body = msgspec.json.decode(await request.body(), type=PatchBody)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return answers.error(400, 'bad-patch', str(error))
        origin = request.client.host if request.client else ''
        submission = patches.Submission(
            body.base_version,
            body.text,
            body.comment,
            request.headers.get('primroselock-author', 'operator'),
            origin,
        )
        accepted = await patches.submit(
            self._shared.platform, submission, clock.wall()
        )
        if isinstance(accepted, result.Err):
            return _refusal(accepted.err_value)
        await self._shared.follower.poll()
        return answers.json_answer({'version': accepted.ok_value}, 201)

    async def show(self, request: requests.Request) -> responses.Response:
        """Return the present configuration."""
        if not self._is_operator(request):
            return _unauthorized()
        loaded = await patches.load_content(self._shared.platform)
        if isinstance(loaded, result.Err):
            return _platform_failed(loaded.err_value)
        content = loaded.ok_value
        return answers.json_answer(
            {
                'version': content.version,
                'text': configuration.to_text(content.sections),
            }
        )

    async def list_patches(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the accepted patches, oldest first."""
        return await self._list(request, keys.CONFIG_PATCHES)

    async def list_audit(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the audit trail, oldest first."""
        return await self._list(request, keys.AUDIT)

    async def _list(
        self, request: requests.Request, prefix: str
    ) -> responses.Response:
        if not self._is_operator(request):
            return _unauthorized()
        page = await self._shared.platform.scan(prefix)
        if isinstance(page, result.Err):
            return _platform_failed(page.err_value)
        rows: list[typing.Any] = [
            msgspec.json.decode(row.value) for row in page.ok_value
        ]
        return answers.json_answer(rows)


def _unauthorized() -> responses.Response:
    return answers.error(401, 'unauthorized', "not an operator's token")


def _platform_failed(error: table.Unavailable) -> responses.Response:
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)


def _refusal(error: patches.SubmitError) -> responses.Response:
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
    if error.may_be_accepted:
        return answers.error(
            504, 'unknown', error.detail, answers.Outcome.UNKNOWN
        )
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)
