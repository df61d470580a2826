"""The platform's HTTP API for callers, as calls of the intake."""

from collections import abc
import typing

import msgspec
import result
from starlette import requests
from starlette import responses

from primroselock import clock
from primroselock import decoding
from primroselock import intake
from primroselock import jobgraph
from primroselock import jobs
from primroselock import logs
from primroselock import metrics
from primroselock import options
from primroselock import refusals
from primroselock import requestbodies

_log: typing.Final = logs.get('front')
_AUTH_SCHEME: typing.Final = 'token'
_MS_PER_S: typing.Final = 1000
_RESPONSE_MARGIN_S: typing.Final = 0.1
"""Time reserved for sending the response before the caller's deadline."""

_STATUS_BY_REASON: typing.Final = {
    refusals.Reason.STALE: 503,
    refusals.Reason.UNKNOWN_QUEUE: 404,
    refusals.Reason.UNKNOWN_KEY: 401,
    refusals.Reason.UNKNOWN_JOB: 410,
    refusals.Reason.CANCELLED: 410,
    refusals.Reason.TOO_MANY_CANCELLED: 429,
    refusals.Reason.INVALID: 400,
    refusals.Reason.TOO_LARGE: 413,
    refusals.Reason.STORE_UNAVAILABLE: 503,
    refusals.Reason.COUNT_UNKNOWN: 503,
    refusals.Reason.BACKLOG: 429,
    refusals.Reason.OUTCOME_UNKNOWN: 504,
}
_STATE_NAMES: typing.Final = {
    jobs.JobState.WAITING: 'queued',
    jobs.JobState.RUNNING: 'running',
    jobs.JobState.DONE: 'completed',
    jobs.JobState.FAILED: 'failed',
    jobs.JobState.CANCELLED: 'cancelled',
}


class _Phase(msgspec.Struct):
    """A step, as :class:`jobgraph.Step` with the names of the API.

    ``cpu`` is in thousandths of a core; ``after`` are the numbers of
    earlier steps; ``anti_affinity`` is the maximum number of tasks of the
    step on one worker; ``target_ms`` bounds the tail of the response times
    of tasks that serve requests; ``may_miss`` is how many tasks of a
    long-running step may be unavailable at the same time.
    """

    count: decoding.Count = 1
    cpu: decoding.Count = 0
    mem_mb: decoding.Count = 0
    gpus: decoding.Count = 0
    est_runtime_ms: decoding.Amount = 0.0
    after: list[decoding.Count] = []
    gang: bool = False
    rack_local: bool = False
    checkpointing: bool = False
    required_label: str = ''
    data_rack: str = ''
    anti_affinity: decoding.Count = 0
    speculative: bool = False
    long_running: bool = False
    fills: bool = False
    target_ms: decoding.Amount = 0.0
    may_miss: decoding.Count | None = None


class _Body(msgspec.Struct):
    """A job; ``spec`` is passed to the workers unchanged.

    With ``repeat_count`` the job runs that many times: first at
    ``start_at_ms`` (Unix milliseconds), then every ``period_ms``.  Without
    it the job runs once, as soon as it is accepted.
    """

    spec: str
    phases: list[_Phase]
    repeat_count: decoding.Count = 0
    start_at_ms: decoding.Count = 0
    period_ms: decoding.Count = 0


class _Outline(msgspec.Struct):
    """A job whose steps are not looked into."""

    phases: list[msgspec.Raw]


_decode_body: typing.Final = decoding.json_reader(_Body)
_decode_outline: typing.Final = decoding.json_reader(_Outline)


class _State(msgspec.Struct):
    state: str


class _Pending(msgspec.Struct):
    pending: int


class _Error(msgspec.Struct):
    error: str


Handler = abc.Callable[
    [requests.Request, intake.Access, str, float],
    abc.Awaitable[responses.Response],
]


class ClientApi:
    """ASGI application that serves callers."""

    def __init__(
        self,
        settings: options.Settings,
        job_intake: intake.Intake,
        counters: metrics.Metrics,
    ) -> None:
        self._settings = settings.fleet
        self._intake = job_intake
        self._metrics = counters
        self._handlers_by_method: dict[str, Handler] = {
            'POST': self._submit,
            'GET': self._get,
            'DELETE': self._cancel,
        }

    async def __call__(
        self, scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        """Serve one call."""
        request = requests.Request(scope, receive)
        started = clock.monotonic()
        response = await self._answer(request, started)
        elapsed_s = clock.monotonic() - started
        self._metrics.record(f'calls_{request.method.lower()}', elapsed_s)
        self._metrics.count(f'answers_{response.status_code}')
        await response(scope, receive, send)

    async def _answer(
        self, request: requests.Request, now: float
    ) -> responses.Response:
        path = request.url.path
        admitted = self._intake.admit(
            request.headers.get('host', ''), path, _api_key(request), now
        )
        if isinstance(admitted, result.Err):
            refused = admitted.err_value
            if request.method == 'POST':
                job_id = path.rpartition('/')[2]
                refused = self._intake.qualify_refusal(job_id, refused)
            return _refuse(request, refused)
        access = admitted.ok_value
        serve = self._handlers_by_method.get(request.method)
        if serve is None:
            return responses.Response(status_code=405)
        job_id = path.removeprefix(access.queue.prefix)
        deadline = now + self._timeout_s(request) - _RESPONSE_MARGIN_S
        return await serve(request, access, job_id, deadline)

    def _timeout_s(self, request: requests.Request) -> float:
        """Return how long the caller waits for a response, in seconds.

        The default if the header is no number that is a time.
        """
        text = request.headers.get('x-deadline-ms', '')
        parsed = decoding.attempt(float, text)
        timeout_ms = parsed.unwrap_or(-1.0)
        if not 0 <= timeout_ms <= decoding.MAX_NUMBER:
            return self._settings.default_deadline_s
        return timeout_ms / _MS_PER_S

    async def _submit(
        self,
        request: requests.Request,
        access: intake.Access,
        job_id: str,
        deadline: float,
    ) -> responses.Response:
        body = await requestbodies.read(request, self._intake.max_body_bytes)
        if isinstance(body, result.Err):
            # The rest of the body is not read.
            return responses.Response(
                status_code=413, headers={'Connection': 'close'}
            )
        decoded = _decode_job(body.ok_value, self._settings.max_job_tasks)
        if isinstance(decoded, result.Err):
            return _refuse(request, decoded.err_value)
        if not jobgraph.is_valid_id(job_id):
            return _refuse(
                request,
                refusals.Refused(refusals.Reason.INVALID, 'invalid job id'),
            )
        graph = _build_graph(
            decoded.ok_value, access.account, access.queue.name, job_id
        )
        outcome = await self._intake.submit(access, graph, deadline)
        if isinstance(outcome, result.Err):
            return _refuse(request, outcome.err_value)
        _log.info(
            'accepted',
            request=job_id,
            queue=access.queue.name,
            account=access.account,
            tasks=[step.tasks for step in graph.steps],
        )
        return _json(_State(_STATE_NAMES[jobs.JobState.WAITING]))

    async def _get(
        self,
        request: requests.Request,
        access: intake.Access,
        job_id: str,
        deadline: float,
    ) -> responses.Response:
        if not job_id:
            counted = self._intake.count_waiting(access, clock.monotonic())
            if isinstance(counted, result.Err):
                return _refuse(request, counted.err_value)
            return _json(_Pending(counted.ok_value))
        found = await self._intake.state(access, job_id, deadline)
        if isinstance(found, result.Err):
            return _refuse(request, found.err_value)
        return _json(_State(_STATE_NAMES[found.ok_value]))

    async def _cancel(
        self,
        request: requests.Request,
        access: intake.Access,
        job_id: str,
        deadline: float,
    ) -> responses.Response:
        outcome = await self._intake.cancel(access, job_id, deadline)
        if isinstance(outcome, result.Err):
            return _refuse(request, outcome.err_value)
        _log.info(
            'cancellation accepted', request=job_id, account=access.account
        )
        return responses.Response(status_code=200)


def _api_key(request: requests.Request) -> str:
    scheme, _, key = request.headers.get('authorization', '').partition(' ')
    return key.strip() if scheme.lower() == _AUTH_SCHEME else ''


def read_job(
    body: bytes, account: str, queue: str, max_steps: int
) -> result.Result[jobgraph.JobGraph, str]:
    """Return the job in a body, without an id, or why it cannot be read."""
    return (
        _decode_job(body, max_steps)
        .map(lambda decoded: _build_graph(decoded, account, queue, ''))
        .map_err(lambda refused: f'{refused.why.value}: {refused.detail}')
    )


def _decode_job(
    body: bytes, max_steps: int
) -> result.Result[_Body, refusals.Refused]:
    """Return the job in a body, or why it is refused.

    Each step has a task or more, so one with more steps than a job may have
    tasks is refused before they become objects, which take many times the
    body and keep the event loop from other callers.
    """
    if body.count(b'{') > max_steps:
        outline = _decode_outline(body)
        if isinstance(outline, result.Err):
            return result.Err(_invalid(outline.err_value))
        steps = len(outline.ok_value.phases)
        if steps > max_steps:
            return result.Err(
                refusals.Refused(refusals.Reason.TOO_LARGE, f'{steps} steps')
            )
    return _decode_body(body).map_err(_invalid)


def _invalid(detail: str) -> refusals.Refused:
    return refusals.Refused(refusals.Reason.INVALID, detail)


def _build_graph(
    body: _Body, account: str, queue: str, job_id: str
) -> jobgraph.JobGraph:
    return jobgraph.JobGraph(
        job_id,
        account,
        queue,
        body.spec,
        tuple(_build_step(phase) for phase in body.phases),
        int(clock.wall() * _MS_PER_S),
        max(1, body.repeat_count),
        body.start_at_ms if body.repeat_count else 0,
        body.period_ms,
    )


def _build_step(phase: _Phase) -> jobgraph.Step:
    return jobgraph.Step(
        phase.count,
        jobgraph.Resources(phase.cpu, phase.mem_mb, phase.gpus),
        int(phase.est_runtime_ms),
        tuple(phase.after),
        phase.gang,
        phase.rack_local,
        phase.checkpointing,
        phase.required_label,
        phase.data_rack,
        phase.anti_affinity,
        phase.speculative,
        phase.long_running,
        phase.fills,
        int(phase.target_ms),
        phase.may_miss,
    )


def _json(body: msgspec.Struct) -> responses.Response:
    return responses.Response(
        msgspec.json.encode(body), media_type='application/json'
    )


def _refuse(
    request: requests.Request, refused: refusals.Refused
) -> responses.Response:
    status = _STATUS_BY_REASON[refused.why]
    _log.info(
        'refused',
        request=request.url.path.rpartition('/')[2],
        method=request.method,
        status=status,
        why=refused.why.value,
        detail=refused.detail,
    )
    headers = {}
    if refused.retry_after_s is not None:
        headers['Retry-After'] = f'{refused.retry_after_s:g}'
    return responses.Response(
        msgspec.json.encode(_Error(refused.why.value)),
        status,
        headers,
        media_type='application/json',
    )
