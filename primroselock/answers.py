"""HTTP responses of the gateway to its callers.

Every response to a request carries ``Primroselock-Outcome``: done,
not-run or unknown.  Errors have a JSON body with a code and a message.
"""

import dataclasses
import enum
import math
import typing

import msgspec
from starlette import responses

OUTCOME_HEADER: typing.Final = 'Primroselock-Outcome'


class Outcome(enum.Enum):
    """The outcome of a caller's request."""

    DONE = 'done'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class ErrorDetail:
    """The body of an error response.

    ``code`` is for programs, ``message`` and ``details`` for people.
    """

    code: str
    message: str
    details: tuple[str, ...] = ()


def error(
    status: int,
    code: str,
    message: str,
    outcome: Outcome = Outcome.NOT_RUN,
    retry_after_s: float | None = None,
    details: tuple[str, ...] = (),
) -> responses.Response:
    """Return an error response.

    ``retry_after_s`` is rounded up to whole seconds, at least 1.
    """
    headers = {OUTCOME_HEADER: outcome.value}
    if retry_after_s is not None:
        headers['Retry-After'] = str(max(1, math.ceil(retry_after_s)))
    body = {'error': ErrorDetail(code, message, details)}
    return responses.Response(
        msgspec.json.encode(body),
        status,
        headers,
        media_type='application/json',
    )


def json_response(
    body: typing.Any, status: int = 200, **headers: str
) -> responses.Response:
    """Return a JSON response with the outcome done."""
    headers[OUTCOME_HEADER] = Outcome.DONE.value
    return responses.Response(
        msgspec.json.encode(body),
        status,
        headers,
        media_type='application/json',
    )
