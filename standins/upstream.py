"""Stand-in for an upstream with a limited number of slots and connections.

The response returns the request's body and the upstream's id after the
``delay_s`` of the query, in addition to those of the command line and the
faults.  ``POST /admin/faults`` replaces all injected faults::

    {"delay_s": 0.5, "leaving": true, "refuse": true, "cut": true}

``leaving``, ``refuse`` and full slots each cause a refusal: status 503 with
the header ``Upstream-Not-Started``, since no work was started; its value is
``leaving`` or ``full``.  ``cut`` truncates the response body.
``GET /admin/runs`` returns the body of each run and the maximum number of
concurrent runs.  A request on a connection beyond ``--connections`` is
answered 503 without that header.
"""

import argparse
import asyncio
import dataclasses
import typing

import msgspec
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from standins import platform
from standins import serving


@dataclasses.dataclass
class Faults:
    """Injected faults of this upstream."""

    delay_s: float = 0.0
    leaving: bool = False
    refuse: bool = False
    cut: bool = False


class Upstream:
    """Handles requests and records each run."""

    def __init__(self, parsed: argparse.Namespace) -> None:
        self.parsed = parsed
        self.faults = Faults()
        self.running = 0
        self.most_running = 0
        self.runs: list[str] = []

    async def handle(self, request: requests.Request) -> responses.Response:
        """Run a request and return its body, or refuse it."""
        body = await request.body()
        faults = self.faults
        full = self.running >= self.parsed.slots
        if faults.leaving or faults.refuse or full:
            reason = 'leaving' if faults.leaving else 'full'
            return responses.Response(
                b'not started', 503, {'Upstream-Not-Started': reason}
            )
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        self.runs.append(body.decode(errors='replace'))
        try:
            requested_s = float(request.query_params.get('delay_s', '0'))
            await asyncio.sleep(
                self.parsed.delay_s + faults.delay_s + requested_s
            )
        finally:
            self.running -= 1
        if faults.cut:
            return responses.StreamingResponse(
                _truncated_body(), headers={'Content-Length': '1000'}
            )
        return responses.Response(
            body,
            headers={'Upstream-Id': self.parsed.id},
            media_type=request.headers.get('content-type'),
        )

    async def set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Replace all injected faults."""
        self.faults = msgspec.json.decode(await request.body(), type=Faults)
        return platform.json_response({})

    async def show_runs(self, request: requests.Request) -> responses.Response:
        """Return the bodies of all runs and the most concurrent runs."""
        return platform.json_response(
            {'runs': self.runs, 'most_running': self.most_running}
        )


async def _truncated_body() -> typing.AsyncIterator[bytes]:
    yield b'only a part'


async def run(parsed: argparse.Namespace) -> None:
    """Serve the upstream until the process is terminated."""
    upstream = Upstream(parsed)
    app = applications.Starlette(
        routes=[
            routing.Route(
                '/admin/faults', upstream.set_faults, methods=['POST']
            ),
            routing.Route('/admin/runs', upstream.show_runs),
            routing.Route(
                '/{path:path}', upstream.handle, methods=['GET', 'POST']
            ),
        ]
    )
    listener = serving.bind(parsed.bind)
    serving.announce(id=parsed.id, address=serving.address_of(listener))
    await serving.serve(app, listener, parsed.connections)


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--id', required=True)
    parser.add_argument('--bind', default='127.0.0.1:0')
    parser.add_argument('--slots', type=int, default=8)
    parser.add_argument('--connections', type=int, default=64)
    parser.add_argument('--delay-s', type=float, default=0.0)
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
