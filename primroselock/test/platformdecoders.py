"""The decoders of a node: of the platform, its workers and its callers.

Each decoder is a line of :data:`CASES`, each parser of a text one of
:data:`PARSERS_BY_NAME`.
"""

from collections import abc
import typing

import msgspec
import result
from starlette import requests

from primroselock.decisions import livejobs
from primroselock import decoding
from primroselock import graphrows
from primroselock import intake
from primroselock import jobgraph
from primroselock import jobs
from primroselock import metrics
from primroselock.platform import advice
from primroselock.platform import clientapi
from primroselock.platform import configuration
from primroselock.platform import discovery
from primroselock.platform import rows
from primroselock.platform import settings
from primroselock.platform import workers
from primroselock import refusals
from primroselock import shards
from primroselock.store import table
from primroselock.test import decodercases
from primroselock.test import fleetbuilders
from primroselock.workers import orders


def _read_entry(value: bytes) -> typing.Any:
    row = table.Row('servers/w', value, 1, '')
    return discovery.WorkerRowReader().read_entry(row)


def _row_store(status: int, body: bytes) -> rows.RowStore:
    store = rows.RowStore(decodercases.SETTINGS, 'x', 1, metrics.Metrics())
    calls: typing.Any = decodercases.Calls(status, body)
    store._calls = calls
    return store


def _read_listing(value: bytes) -> typing.Any:
    return decodercases.run_now(_row_store(200, value).scan('t/'))


def _read_feed(value: bytes) -> typing.Any:
    return decodercases.run_now(_row_store(200, value).changes('t', 0, 0.0))


def _read_commit(value: bytes) -> typing.Any:
    return decodercases.run_now(
        _row_store(200, value).transact(decodercases.TRANSACTION)
    )


def _read_conflict(value: bytes) -> typing.Any:
    return decodercases.read_conflict(_row_store(412, value))


def _read_advice(value: bytes) -> typing.Any:
    client = advice.AdviceClient(decodercases.SETTINGS)
    pool: typing.Any = decodercases.Pool(200, value)
    client._pool = pool
    step = livejobs.StepName('j', 0, 1)
    return decodercases.run_now(client.ask(step, ('w1',), 1.0))


def _read_configuration(value: bytes) -> typing.Any:
    reader = configuration.ConfigurationReader()
    row = table.Row('op/config', value, 1, '')
    return reader.current if _apply(reader, row) else None


def _apply(reader: configuration.ConfigurationReader, row: table.Row) -> bool:
    # Raises what the reader would log and leave out.
    reader._apply_row(row)
    return bool(reader.current.version)


def _parse_settings(text: str) -> typing.Any:
    """Return the settings of a file with ``text`` as each of its numbers."""
    lines = [
        f'{name}={text}'
        for name in (
            'port_range',
            'platform.writes_per_s',
            'platform.row_bytes',
            'bounds.hold_max_ms',
            'bounds.far_x',
            'bounds.revoke_ms',
            'bounds.contact_ms',
            'limits.cpu_share',
            'limits.cores',
        )
    ]
    return [
        settings.parse(f'{fleetbuilders.BOOT_TEXT}{line}\n', 'boot')
        for line in lines
    ]


class Intake:
    """Admits callers to the queues of the tests and keeps their last job."""

    max_body_bytes = 10**9

    def __init__(self) -> None:
        self.graph: jobgraph.JobGraph | None = None

    def admit(
        self, host: str, path: str, key: str, now: float
    ) -> result.Result[intake.Access, refusals.Refused]:
        """Return the queue and the account of a call."""
        current = fleetbuilders.QUEUE_CONFIGURATION
        queue = current.find(host, path)
        account = current.find_account(key)
        if queue is None or account is None:
            return result.Err(refusals.Refused(refusals.Reason.UNKNOWN_QUEUE))
        return result.Ok(intake.Access(queue, account.name))

    def qualify_refusal(
        self, job_id: str, refused: refusals.Refused
    ) -> refusals.Refused:
        """Return the refusal: no submission before it is unknown."""
        return refused

    async def submit(
        self, access: intake.Access, graph: jobgraph.JobGraph, deadline: float
    ) -> result.Result[None, refusals.Refused]:
        """Accept a job."""
        self.graph = graph
        return result.Ok(None)


def call_api(
    job_intake: Intake,
    body: bytes = b'',
    path: str = '/bulk/j1',
    headers: abc.Mapping[str, bytes] = {},
) -> int:
    """Submit a job to the interface for callers; return the status."""
    stub: typing.Any = job_intake
    api = clientapi.ClientApi(decodercases.SETTINGS, stub, metrics.Metrics())
    sent: list[dict[str, typing.Any]] = []
    pairs = {'host': b'host', 'authorization': b'Token k1', **headers}
    scope = {
        'type': 'http',
        'method': 'POST',
        'path': path,
        'query_string': b'',
        'scheme': 'http',
        'server': ('127.0.0.1', 1),
        'headers': [(k.encode('latin-1'), v) for k, v in pairs.items()],
    }

    async def receive() -> dict[str, typing.Any]:
        return {'type': 'http.request', 'body': body, 'more_body': False}

    async def send(message: dict[str, typing.Any]) -> None:
        sent.append(message)

    decodercases.run_now(api(scope, receive, send))
    status: int = sent[0]['status']
    return status


def _read_job(value: bytes) -> typing.Any:
    """Return the job in the body of a call; None for a refused call."""
    job_intake = Intake()
    status = call_api(job_intake, value)
    assert status == (400 if job_intake.graph is None else 200), status
    return job_intake.graph


def _parse_deadline(text: str) -> typing.Any:
    """Return the deadline that a header sets, relative to the default."""
    stub: typing.Any = Intake()
    api = clientapi.ClientApi(decodercases.SETTINGS, stub, metrics.Metrics())
    value = text.encode('latin-1', 'ignore')
    scope = {'type': 'http', 'headers': [(b'x-deadline-ms', value)]}
    return api._timeout_s(requests.Request(scope))


def _run_client(status: int, body: bytes) -> workers.HttpRunClient:
    client = workers.HttpRunClient()
    pools: typing.Any = client._pools.pools_by_address
    pools['w:1'] = decodercases.Pool(status, body)
    return client


def _read_poll_answer(value: bytes) -> typing.Any:
    client = _run_client(200, value)
    return decodercases.run_now(
        client.poll_runs('w', 'w:1', 1, 0, None, 0.0, 1.0)
    )


def _read_order_answer(value: bytes) -> typing.Any:
    return decodercases.run_now(
        _run_client(200, value).stop('w', 'w:1', _RUN, 1, 1.0)
    )


def _read_refusal(value: bytes) -> typing.Any:
    """Return the refusal itself; None if it cannot be read."""
    refused = decodercases.run_now(
        _run_client(409, value).stop('w', 'w:1', _RUN, 1, 1.0)
    )
    error = refused.unwrap_err()
    return error if isinstance(error, orders.Refused) else None


_ROWS: typing.Final = {
    'ver': 7,
    'rows': [{'table': 't', 'key': 'k', 'ver': 6, 'value': 'dAF2'}],
    'more_pages': False,
}
_CONFIGURATION: typing.Final = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'path_prefix': '/p/',
            'service': 'svc',
            'priority': 1,
            'max_attempts': 4,
            'stretch': 2.0,
            'target_latency_ms': 500.0,
            'advice': {'decide_ms': 1.0, 'each_ms': 0.5},
        }
    ],
    'tenants': [
        {
            'name': 't',
            'api_keys': ['k'],
            'guaranteed': {'gpus': 8},
            'weight': 2,
            'max_count': {'cpu': 1000, 'mem_mb': 2000, 'gpus': 16},
        }
    ],
    'limits': {'max_body_bytes': 1000},
}
_JOB: typing.Final = {
    'spec': 's',
    'repeat_count': 2,
    'start_at_ms': 1000,
    'period_ms': 500,
    'phases': [
        {
            'count': 4,
            'cpu': 500,
            'mem_mb': 256,
            'gpus': 1,
            'est_runtime_ms': 900,
            'after': [0],
            'gang': True,
            'rack_local': True,
            'checkpointing': True,
            'required_label': 'kind',
            'data_rack': 'r1-3',
            'anti_affinity': 1,
            'speculative': False,
            'long_running': False,
            'fills': False,
            'target_ms': 5,
            'may_miss': 1,
        }
    ],
}
_STORED_JOB: typing.Final = msgspec.json.decode(
    graphrows.encode(
        fleetbuilders.build_graph(
            'j',
            fleetbuilders.build_step(2),
            fleetbuilders.build_step(3, after=(0,), max_unavailable=1),
            queue='advised',
            accepted_ms=5,
            accepted_queue=fleetbuilders.ADVISED,
        )
    )
)
_PROGRESS: typing.Final = msgspec.json.decode(
    graphrows.encode(
        jobgraph.JobProgress(
            jobs.JobState.RUNNING,
            (
                jobgraph.GroupRecord(
                    jobgraph.GroupKey(0, 0, 0),
                    jobgraph.GroupPhase.PLACED,
                    1,
                    places=(jobgraph.Place('w0', 1),),
                ),
            ),
            queue=fleetbuilders.ADVISED,
        )
    )
)
_LEASE: typing.Final = {
    'holder': 'n',
    'renewal': 4,
    'released': False,
    'waiting_by_queue': {'bulk': 3},
    'lease_bounds': {
        'left_s_by_worker_id': {'w0': 1.5},
        'others_left_s': 2.5,
    },
    'is_offered': False,
    'backlogs': {'signs': {'1': 12, '2': 40}},
}
_ADVICE: typing.Final = {'good': [['w1', 't1']], 'valid_ms': 3000}
_RUN: typing.Final = orders.Run(jobgraph.TaskName('j', 0, 0, 0), 1)
_ENTRY: typing.Final = {
    **decodercases.WORKER_ENTRY,
    'state': 'draining',
    'remaining_ms': 5000,
}
_POLL_ANSWER: typing.Final = {
    'clock_ms': 7000,
    'born': 17,
    'running': [['j.0.1.2', 3, 'cp', 41, 900]],
    'ended': [[58, 'j.0.1.9', 1, 'done', '']],
}

CASES: typing.Final[tuple[decodercases.Case, ...]] = (
    decodercases.Case('entry of a worker', _read_entry, _ENTRY),
    decodercases.Case('answer to a poll', _read_poll_answer, _POLL_ANSWER),
    decodercases.Case(
        'answer to an order', _read_order_answer, {'clock_ms': 7000}
    ),
    decodercases.Case('rows of the store', _read_listing, _ROWS),
    decodercases.Case('changes of the store', _read_feed, _ROWS),
    decodercases.Case('answer to a transaction', _read_commit, {'ver': 7}),
    decodercases.Case('conflict of a transaction', _read_conflict, _ROWS),
    decodercases.Case('configuration', _read_configuration, _CONFIGURATION),
    decodercases.Case('job of a caller', _read_job, _JOB),
    decodercases.Case(
        'stored job',
        decodercases.row_reader(graphrows.read_submitted),
        _STORED_JOB,
    ),
    decodercases.Case(
        'tombstone of a job',
        decodercases.row_reader(graphrows.read_submitted),
        {'owners': [{'account': 'signs', 'queue': 'bulk'}]},
    ),
    decodercases.Case(
        'stored progress',
        decodercases.row_reader(graphrows.read_progress),
        _PROGRESS,
    ),
    decodercases.Case(
        'lease of the shard',
        decodercases.row_reader(shards.read_lease_row),
        _LEASE,
    ),
    decodercases.Case(
        'epoch of the shard',
        decodercases.row_reader(shards.read_epoch_row),
        {'epoch': 3, 'holder': 'n'},
    ),
    decodercases.Case('advice', _read_advice, _ADVICE),
    decodercases.Case(
        'refusal', _read_refusal, {'clock_ms': 7000, 'reason': 'room'}
    ),
)
PARSERS_BY_NAME: typing.Final[dict[str, abc.Callable[[str], typing.Any]]] = {
    'whole number': decoding.parse_count,
    'address': decoding.is_address,
    'deadline of a call': _parse_deadline,
    'settings of the platform': _parse_settings,
    'part of a progress': graphrows._parse_part,
    'name of a task': jobgraph.parse_task_name,
}
