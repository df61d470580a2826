"""Hands an operator's call on to the process that can answer it."""

import typing

import result
from starlette import responses

from primroselock import answers
from primroselock import httpclient

_TIMEOUT_S: typing.Final = 8.0
"""The client waits for longer than this."""


async def hand_on(
    address: str, request: httpclient.Request
) -> result.Result[responses.Response, str]:
    """Return the answer at ``address`` as one's own, or why there is none."""
    pool = httpclient.ConnectionPool(address, limit=1)
    try:
        exchanged = await pool.exchange(request, _TIMEOUT_S)
    finally:
        await pool.aclose()
    if isinstance(exchanged, result.Err):
        return result.Err(exchanged.err_value.detail)
    answered = exchanged.ok_value
    kept = {
        name: value
        for name in (answers.OUTCOME_HEADER, 'Retry-After')
        if (value := answered.headers_by_name.get(name.lower())) is not None
    }
    return result.Ok(
        responses.Response(
            answered.body,
            answered.status,
            kept,
            media_type='application/json',
        )
    )
