"""HTTP exchanges over lanes that cannot mix up answers.

The HTTP client library hands the answer of a cancelled request to the
next request on the same client.  A *lane* is therefore one client that
carries one exchange at a time, and a lane whose exchange did not end
whole is closed and never used again.  A :class:`LanePool` keeps the idle
lanes of one address, newest first, and bounds how many exchanges run.
"""

import asyncio
from collections import abc
import dataclasses
import typing

import aiosonic
import aiosonic.timeout
import result

from primroselock import clock

_CONNECT_TIMEOUT_S: typing.Final = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request; ``path`` starts with a slash."""

    method: str
    path: str
    body: bytes = b''
    headers: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One whole HTTP response; header names are in lower case."""

    status: int
    body: bytes
    headers_by_name: abc.Mapping[str, str]


@dataclasses.dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left: the work certainly did not start."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class Broken:
    """The exchange ended short: the work may or may not have run."""

    detail: str


ExchangeError = NotSent | Broken


@dataclasses.dataclass(slots=True)
class _Lane:
    client: aiosonic.HTTPClient
    idle_since: float


class LanePool:
    """Idle lanes to one address, and the limit on running exchanges."""

    def __init__(self, address: str, limit: int, idle_s: float = 10.0) -> None:
        self.address = address
        self._limit = limit
        self._idle_s = idle_s
        self._idle: list[_Lane] = []
        self._slots = asyncio.Semaphore(limit)
        self._closing: set[asyncio.Task[None]] = set()

    async def exchange(
        self, request: Request, timeout_s: float
    ) -> result.Result[Response, ExchangeError]:
        """Send ``request`` and return the whole response.

        The wait for a free lane counts against ``timeout_s``.
        """
        started = clock.monotonic()
        try:
            await asyncio.wait_for(self._slots.acquire(), timeout_s)
        except TimeoutError:
            return result.Err(NotSent('no free connection in time'))
        try:
            left_s = timeout_s - (clock.monotonic() - started)
            return await self._exchange_on_lane(request, max(left_s, 0.001))
        finally:
            self._slots.release()

    async def _exchange_on_lane(
        self, request: Request, timeout_s: float
    ) -> result.Result[Response, ExchangeError]:
        lane = self._take_lane()
        whole = False
        try:
            response = await asyncio.wait_for(
                _send(lane.client, self.address, request, timeout_s),
                timeout_s,
            )
            whole = True
            return result.Ok(response)
        except (ConnectionRefusedError, aiosonic.exceptions.ConnectTimeout):
            return result.Err(NotSent(f'{self.address} does not connect'))
        except TimeoutError:
            return result.Err(Broken(f'no answer in {timeout_s:.3f} s'))
        except Exception as error:
            # The library raises many types for an answer cut short.
            detail = f'{type(error).__name__}: {error}'
            return result.Err(Broken(detail))
        finally:
            if whole:
                lane.idle_since = clock.monotonic()
                self._idle.append(lane)
            else:
                self._discard(lane)

    def _take_lane(self) -> _Lane:
        oldest_s = clock.monotonic() - self._idle_s
        while self._idle:
            lane = self._idle.pop()
            if lane.idle_since >= oldest_s:
                return lane
            self._discard(lane)
        return _Lane(aiosonic.HTTPClient(), 0.0)

    def _discard(self, lane: _Lane) -> None:
        task = asyncio.get_running_loop().create_task(_close(lane.client))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def aclose(self) -> None:
        """Close every idle lane."""
        while self._idle:
            self._discard(self._idle.pop())
        if self._closing:
            await asyncio.gather(*self._closing)


async def _send(
    client: aiosonic.HTTPClient,
    address: str,
    request: Request,
    timeout_s: float,
) -> Response:
    answer = await client.request(
        f'http://{address}{request.path}',
        method=request.method,
        headers=dict(request.headers),
        data=request.body or None,
        timeouts=aiosonic.timeout.Timeouts(
            sock_connect=min(_CONNECT_TIMEOUT_S, timeout_s),
            sock_read=timeout_s,
            request_timeout=timeout_s,
        ),
        follow=False,
    )
    body = await answer.content()
    headers = {name.lower(): value for name, value in answer.headers.items()}
    return Response(answer.status_code, body, headers)


async def _close(client: aiosonic.HTTPClient) -> None:
    try:
        await client.aclose()
    except Exception:
        # The lane is dropped either way; its socket is already broken.
        return
