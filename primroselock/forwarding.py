"""Hands an operator's call on to the process that can answer it."""

import typing

import result
from starlette import responses

from primroselock import answers
from primroselock import clock
from primroselock import httpclient

TIMEOUT_S: typing.Final = 8.0
"""For all that are asked for one call; the client waits for longer."""


async def hand_on(
    address: str, request: httpclient.Request, deadline: float
) -> result.Result[responses.Response, str]:
    """Return the answer at ``address`` as one's own, or why there is none.

    ``deadline`` is on this process's clock.
    """
    pool = httpclient.ConnectionPool(address, limit=1)
    try:
        left_s = max(deadline - clock.monotonic(), 0.0)
        exchanged = await pool.exchange(request, left_s)
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
