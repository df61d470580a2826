"""HTTP API of jobs: submission, status and cancellation."""

import dataclasses
import hashlib
import typing

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import audit
from primroselock import auth
from primroselock import clock
from primroselock import configuration
from primroselock import daemon
from primroselock.decisions import packing
from primroselock import decoding
from primroselock import jobs
from primroselock import jobstore
from primroselock.mesh import messages
from primroselock import options
from primroselock.store import table

_MAX_CANCEL_ATTEMPTS: typing.Final = 5
_decode_spec: typing.Final = decoding.json_reader(jobs.JobSpec)


class JobsApi:
    """Handles ``/v1/jobs``."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared
        self._store = jobstore.JobStore(shared.platform)

    async def submit(self, request: requests.Request) -> responses.Response:
        """Create a job, or return the one created with the same key.

        The key is the ``Idempotency-Key`` header.
        """
        current = self._shared.follower.current
        account = auth.find_account(request, current)
        if account is None:
            return _unauthorized()
        decoded = _decode_spec(await request.body())
        if isinstance(decoded, result.Err):
            return answers.error(400, 'bad-job', decoded.err_value)
        spec = decoded.ok_value
        problems = jobs.check_spec(spec, current.job_rules.max_members)
        problems += find_size_problems(spec, current)
        if problems:
            return answers.error(
                422, 'bad-job', 'expected ' + '; '.join(problems)
            )
        shard = choose_shard(current, account, self._shared.settings)
        if shard is None:
            return answers.error(
                503, 'no-zone', 'no zone is in service', retry_after_s=5.0
            )
        job = jobs.Job(
            jobs.new_job_id(),
            account.name,
            shard,
            spec,
            jobs.JobState.WAITING,
            clock.wall(),
        )
        key_digest = ''
        if 'idempotency-key' in request.headers:
            key_digest = _digest(request.headers['idempotency-key'])
        created = await self._store.submit(job, key_digest)
        if isinstance(created, result.Ok):
            await self._shared.mesh.publish(messages.JobHint(shard, job.id))
            return answers.json_response(describe(job), 201)
        failure = created.err_value
        if isinstance(failure, table.Conflict) and key_digest:
            return await self._answer_duplicate(account.name, key_digest)
        return _answer_store_error(failure)

    async def _answer_duplicate(
        self, account: str, key_digest: str
    ) -> responses.Response:
        found = await self._store.find_by_key(account, key_digest)
        if isinstance(found, result.Err):
            return _answer_store_error(found.err_value)
        assert found.ok_value is not None
        read = await self._store.read(found.ok_value)
        if isinstance(read, result.Err):
            return _answer_store_error(read.err_value)
        assert read.ok_value is not None
        return answers.json_response(describe(read.ok_value.job), 201)

    async def show(self, request: requests.Request) -> responses.Response:
        """Return one job, to its account or an operator."""
        found = await self._find(request)
        if isinstance(found, responses.Response):
            return found
        return answers.json_response(describe(found.job))

    async def list_jobs(self, request: requests.Request) -> responses.Response:
        """Return the jobs of the caller's account."""
        account = auth.find_account(request, self._shared.follower.current)
        if account is None:
            return _unauthorized()
        listed = await self._store.list_account(account.name)
        if isinstance(listed, result.Err):
            return _answer_store_error(listed.err_value)
        return answers.json_response(
            [describe(job) for job in listed.ok_value]
        )

    async def cancel(self, request: requests.Request) -> responses.Response:
        """Request the cancellation of a job.

        A job that has ended is returned unchanged.
        """
        for _ in range(_MAX_CANCEL_ATTEMPTS):
            found = await self._find(request)
            if isinstance(found, responses.Response):
                return found
            if found.job.state.is_final or found.job.cancel_requested:
                return answers.json_response(describe(found.job))
            marked = await self._store.request_cancel(
                found, self._cancel_entry(request, found.job)
            )
            if isinstance(marked, result.Ok):
                await self._shared.mesh.publish(
                    messages.JobHint(found.job.shard, found.job.id)
                )
                job = dataclasses.replace(found.job, cancel_requested=True)
                return answers.json_response(describe(job), 202)
            if not isinstance(marked.err_value, table.Conflict):
                return _answer_store_error(marked.err_value)
        return answers.error(
            503,
            'busy',
            'the job was changed concurrently',
            retry_after_s=1.0,
        )

    def _cancel_entry(
        self, request: requests.Request, job: jobs.Job
    ) -> audit.Entry | None:
        """Return the audit entry of a cancellation by an operator.

        None when the caller is not an operator.
        """
        digests = self._shared.settings.gateway.operator_digests
        if not auth.is_operator(request, digests):
            return None
        return audit.Entry(
            clock.wall(),
            request.headers.get('primroselock-author', 'operator'),
            request.client.host if request.client else '',
            'job cancel',
            'accepted',
            f'job {job.id} of account {job.account}',
        )

    async def _find(
        self, request: requests.Request
    ) -> jobstore.StoredJob | responses.Response:
        account = auth.find_account(request, self._shared.follower.current)
        operator = auth.is_operator(
            request, self._shared.settings.gateway.operator_digests
        )
        if account is None and not operator:
            return _unauthorized()
        read = await self._store.read(request.path_params['job_id'])
        if isinstance(read, result.Err):
            return _answer_store_error(read.err_value)
        stored = read.ok_value
        if stored is not None and operator:
            return stored
        if (
            stored is None
            or account is None
            or stored.job.account != account.name
        ):
            return answers.error(404, 'no-job', 'unknown job id')
        return stored


def find_size_problems(
    spec: jobs.JobSpec, current: configuration.Configuration
) -> list[str]:
    """Return why the job fits in no zone, one line per problem.

    Nothing is checked while no zone has racks.
    """
    racks = [zone.racks for zone in current.zones_by_name.values()]
    wanted = spec.members * spec.accelerators
    largest = max(racks, default=0) * packing.RACK_SIZE
    if wanted <= largest or not largest:
        return []
    return [
        f'members times accelerators: at most {largest}, the size of the '
        f'largest zone; {wanted} can never run'
    ]


def choose_shard(
    current: configuration.Configuration,
    account: configuration.Account,
    settings: options.Settings,
) -> str | None:
    """Return the shard for a new job; None when no zone is in service.

    A shard has the name of its zone.  Prefers zones where the account has
    a guarantee.
    """
    serving = [
        zone for zone in current.zones_by_name.values() if zone.is_in_service
    ]
    guaranteed = [
        zone for zone in serving if zone.name in account.guarantees_by_zone
    ]
    names = sorted(zone.name for zone in guaranteed or serving)
    if settings.process.zone in names:
        return settings.process.zone
    return names[0] if names else None


def describe(job: jobs.Job) -> dict[str, typing.Any]:
    """Return the JSON view of a job."""
    attempt = job.attempt
    return {
        'id': job.id,
        'name': job.spec.name,
        'account': job.account,
        'shard': job.shard,
        'state': job.state.value,
        'reason': job.reason,
        'cancel_requested': job.cancel_requested,
        'attempts': job.attempts,
        'failures': job.failures,
        'members': [
            {
                'worker': placement.worker_id,
                'accelerators': list(placement.accelerators),
            }
            for placement in (attempt.placements if attempt else ())
        ],
    }


def _digest(idempotency_key: str) -> str:
    return hashlib.sha256(idempotency_key.encode()).hexdigest()


def _unauthorized() -> responses.Response:
    return answers.error(
        401, 'unauthorized', 'missing or unknown bearer token'
    )


def _answer_store_error(
    error: table.TransactError | table.Unavailable,
) -> responses.Response:
    if isinstance(error, table.OutcomeUnknown):
        return answers.error(
            504,
            'unknown',
            'the platform did not confirm the write',
            answers.Outcome.UNKNOWN,
        )
    return answers.error(
        503, 'platform', 'the platform is not available', retry_after_s=2.0
    )
