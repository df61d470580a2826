"""HTTP API for operators: accounts, jobs and workers.

Accounts and workers come from this gateway's copies of the configuration and
the VM list, the counts of placed tasks from the rows of active jobs.  While
the platform is unavailable, these counts are null; the rest is still
returned.
"""

import dataclasses
import typing

import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import daemon
from primroselock import jobs
from primroselock import jobsapi
from primroselock import jobstore
from primroselock.store import table


@dataclasses.dataclass(frozen=True, slots=True)
class AccountView:
    """A client account in one zone.

    ``zone`` is empty for an account without guarantees and tasks.
    ``guarantee`` maps cell sizes to counts; ``accelerators`` and ``tasks``
    count what its committed jobs use, None when unknown.
    """

    account: str
    zone: str
    weight: int
    guarantee: dict[int, int]
    tasks: int | None
    accelerators: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class WorkerView:
    """A worker of the VM list and what committed jobs use on it."""

    worker: str
    zone: str
    rack: str
    address: str
    leaving: bool
    tasks: int | None
    accelerators: int | None


class OperatorsApi:
    """Handles ``/v1/operators``."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared
        self._store = jobstore.JobStore(shared.platform)

    async def list_accounts(
        self, request: requests.Request
    ) -> responses.Response:
        """Return each account, per zone where it has guarantees or tasks."""
        active = await self._load_active()
        views = []
        for account in self._shared.follower.current.accounts_by_name.values():
            zones = account.guarantees_by_zone.keys() | _zones_of(
                active, account.name
            )
            for zone in sorted(zones) or ['']:
                placements = _list_placements(active, account.name, zone)
                views.append(
                    AccountView(
                        account.name,
                        zone,
                        account.weight,
                        dict(account.guarantees_by_zone.get(zone, {})),
                        None if placements is None else len(placements),
                        _count_accelerators(placements),
                    )
                )
        return answers.json_response(views)

    async def list_workers(
        self, request: requests.Request
    ) -> responses.Response:
        """Return the workers of the VM list, optionally of one zone."""
        zone = request.query_params.get('zone')
        placements = _list_placements(await self._load_active())
        views = []
        for vm in self._shared.vms:
            if vm.role != 'worker' or zone not in (None, vm.zone):
                continue
            on_worker = None
            if placements is not None:
                on_worker = [p for p in placements if p.worker_id == vm.id]
            views.append(
                WorkerView(
                    vm.id,
                    vm.zone,
                    vm.rack,
                    vm.address,
                    vm.leaving,
                    None if on_worker is None else len(on_worker),
                    _count_accelerators(on_worker),
                )
            )
        return answers.json_response(views)

    async def list_jobs(self, request: requests.Request) -> responses.Response:
        """Return jobs, optionally of one account or in one state."""
        wanted = request.query_params.get('account')
        state = request.query_params.get('state')
        names = sorted(self._shared.follower.current.accounts_by_name)
        if wanted is not None:
            names = [wanted]
        rows: list[dict[str, typing.Any]] = []
        for name in names:
            listed = await self._store.list_account(name)
            if isinstance(listed, result.Err):
                return _platform_failed(listed.err_value)
            rows += [
                _summarize(job)
                for job in listed.ok_value
                if state in (None, job.state.value)
            ]
        return answers.json_response(rows)

    async def _load_active(self) -> list[jobs.Job] | None:
        """Return the active jobs; None if those of a zone cannot be read."""
        found = []
        for zone in self._shared.follower.current.zones_by_name:
            loaded = await self._store.load_active(zone)
            if isinstance(loaded, result.Err):
                return None
            found += [stored.job for stored in loaded.ok_value]
        return found


def _zones_of(active: list[jobs.Job] | None, account: str) -> set[str]:
    # Each zone is one shard, which has the zone's name.
    return {
        job.shard
        for job in active or ()
        if job.account == account and job.attempt is not None
    }


def _list_placements(
    active: list[jobs.Job] | None,
    account: str | None = None,
    zone: str | None = None,
) -> list[jobs.Placement] | None:
    if active is None:
        return None
    return [
        placement
        for job in active
        if job.attempt is not None
        and account in (None, job.account)
        and zone in (None, job.shard)
        for placement in job.attempt.placements
    ]


def _count_accelerators(
    placements: list[jobs.Placement] | None,
) -> int | None:
    if placements is None:
        return None
    return sum(len(placement.accelerators) for placement in placements)


def _summarize(job: jobs.Job) -> dict[str, typing.Any]:
    described = jobsapi.describe(job)
    described['members'] = job.spec.members
    return described


def _platform_failed(error: table.Unavailable) -> responses.Response:
    return answers.error(503, 'platform', error.detail, retry_after_s=2.0)
