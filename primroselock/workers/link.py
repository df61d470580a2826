"""Client of the workers' exchange protocol over HTTP."""

import dataclasses
import functools
import typing

import msgspec
import result

from primroselock import addresspools
from primroselock import decoding
from primroselock import httpclient
from primroselock.workers import protocol

_EPOCH_REFUSED: typing.Final = 409
_OK: typing.Final = 200
_CONNECTIONS_PER_WORKER: typing.Final = 2


@dataclasses.dataclass(frozen=True, slots=True)
class ReportLost:
    """No valid report was received; the commands may have been executed."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class StaleEpoch:
    """The worker executed nothing, since it has seen a newer ``epoch``."""

    epoch: int


LinkError = ReportLost | StaleEpoch


class Link(typing.Protocol):
    """Sends batches of commands to workers and receives their reports."""

    async def exchange(
        self, address: str, batch: protocol.Batch
    ) -> result.Result[protocol.Report, LinkError]:
        """Send ``batch`` to the worker at ``address``."""


class HttpLink:
    """Implements ``Link`` over HTTP with JSON bodies."""

    def __init__(self, timeout_s: float) -> None:
        self._timeout_s = timeout_s
        self._pools = addresspools.AddressPools(
            functools.partial(
                httpclient.ConnectionPool, limit=_CONNECTIONS_PER_WORKER
            )
        )

    async def exchange(
        self, address: str, batch: protocol.Batch
    ) -> result.Result[protocol.Report, LinkError]:
        """Send ``batch`` to the worker at ``address``."""
        answer = await self._pools.get(address).exchange(
            httpclient.Request(
                'POST', '/v1/exchange', msgspec.json.encode(batch)
            ),
            self._timeout_s,
        )
        if isinstance(answer, result.Err):
            return result.Err(ReportLost(answer.err_value.detail))
        return _decode(answer.ok_value)

    async def drop(self, address: str) -> None:
        """Close the connections to a worker that was removed."""
        await self._pools.drop(address)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pools.aclose()


_decode_report: typing.Final = decoding.json_reader(protocol.Report)
_decode_refusal: typing.Final = decoding.json_reader(protocol.EpochRefused)


def _not_decoded(why: str) -> LinkError:
    return ReportLost(f'worker response cannot be decoded: {why}')


def _decode(
    response: httpclient.Response,
) -> result.Result[protocol.Report, LinkError]:
    if response.status == _OK:
        return _decode_report(response.body).map_err(_not_decoded)
    if response.status == _EPOCH_REFUSED:
        refused = _decode_refusal(response.body)
        if isinstance(refused, result.Err):
            return result.Err(_not_decoded(refused.err_value))
        return result.Err(StaleEpoch(refused.ok_value.epoch))
    return result.Err(
        ReportLost(f'worker responded with status {response.status}')
    )
