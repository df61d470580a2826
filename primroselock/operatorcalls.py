"""Authorization and input parsing shared by all operator calls.

A handler is wrapped by :func:`require_operator`: it is called only for
requests with an operator's token, and a :class:`BadRequest` that it raises
for an invalid query or body is answered with status 400.
"""

from collections import abc
import typing

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import auth
from primroselock import decoding
from primroselock import logs
from primroselock import options

_DEFAULT_PAGE_ROWS: typing.Final = 100
_MAX_PAGE_ROWS: typing.Final = 500
_log: typing.Final = logs.get('operators')

Handler = abc.Callable[
    [requests.Request],
    abc.Coroutine[typing.Any, typing.Any, responses.Response],
]
_Body = typing.TypeVar('_Body')


class BadRequest(Exception):
    """Invalid query parameter or body of a call."""


def require_operator(settings: options.Settings, handle: Handler) -> Handler:
    """Wrap ``handle`` so that non-operators are answered 401."""
    digests = settings.gateway.operator_digests

    async def checked(request: requests.Request) -> responses.Response:
        if not auth.is_operator(request, digests):
            # Only logged, not audited: callers without a token must not be
            # able to fill the platform's table.
            _log.warning(
                'operator call refused: no valid operator token',
                path=request.url.path,
                origin=origin_of(request),
            )
            message = 'no valid operator token in the request'
            return answers.error(401, 'unauthorized', message)
        try:
            return await handle(request)
        except BadRequest as error:
            return answers.error(400, 'bad-call', str(error))

    return checked


def author_of(request: requests.Request) -> str:
    """Return the author that the request claims; it is not verified."""
    return request.headers.get('primroselock-author', 'operator')


def origin_of(request: requests.Request) -> str:
    """Return the caller's IP address; empty when unknown."""
    return request.client.host if request.client else ''


def read_int_parameter(
    request: requests.Request, name: str, default: int | None = None
) -> int:
    """Return an integer query parameter.

    Raises :class:`BadRequest` unless it is an integer from 0 to 2**53; a
    missing one gives ``default`` if there is one.
    """
    text = request.query_params.get(name)
    if text is None and default is not None:
        return default
    number = decoding.parse_count(text) if text is not None else None
    if number is None:
        raise BadRequest(f'{name}: expected an integer from 0 to 2**53')
    return number


def read_page_limit(request: requests.Request) -> int:
    """Return the ``limit`` parameter: 1 to 500 rows, 100 by default.

    A value outside the bounds is replaced by the nearer bound.
    """
    limit = read_int_parameter(request, 'limit', _DEFAULT_PAGE_ROWS)
    return max(1, min(limit, _MAX_PAGE_ROWS))


async def decode_body(
    request: requests.Request, body_class: type[_Body]
) -> _Body:
    """Decode the JSON body; raise :class:`BadRequest` if it is invalid."""
    decoded = decoding.read_json(body_class, await request.body())
    if isinstance(decoded, result.Err):
        raise BadRequest(decoded.err_value)
    return decoded.ok_value
