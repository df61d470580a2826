"""Operators' calls at a gateway that ask where a job would go now.

The gateway finds the job's shard and asks the schedulers of its zone, the one
that publishes the load of the shard first: it holds it.
"""

import urllib.parse

import msgspec
import result
from starlette import requests
from starlette import responses

from primroselock import answers
from primroselock import clock
from primroselock import daemon
from primroselock import forwarding
from primroselock import httpclient
from primroselock import jobs
from primroselock import jobsapi
from primroselock import jobstore
from primroselock.mesh import messages
from primroselock import operatorcalls
from primroselock import schedulerexplanations
from primroselock import sockets


class JobExplanations:
    """Answers ``GET PATH/ID``, and ``POST PATH?account=A`` with a job."""

    def __init__(self, shared: daemon.Daemon) -> None:
        self._shared = shared
        self._store = jobstore.JobStore(shared.platform)

    async def show(self, request: requests.Request) -> responses.Response:
        """Explain a job that was sent."""
        job_id = request.path_params['job_id']
        read = await self._store.read(job_id)
        if isinstance(read, result.Err):
            return answers.error(
                503,
                'platform',
                'the platform is not available',
                retry_after_s=2.0,
            )
        stored = read.ok_value
        if stored is None or stored.job.state.is_final:
            return answers.error(404, 'job', 'no job that has not ended')
        quoted = urllib.parse.quote(job_id, safe='')
        path = f'{schedulerexplanations.PATH}/{quoted}'
        return await self._ask_holder(request, stored.job.shard, 'GET', path)

    async def ask(self, request: requests.Request) -> responses.Response:
        """Explain a job that is not sent; the body is as its caller's."""
        current = self._shared.follower.current
        wanted = request.query_params.get('account', '')
        account = current.accounts_by_name.get(wanted)
        if account is None:
            raise operatorcalls.BadRequest(f'account: unknown {wanted!r}')
        spec = await operatorcalls.decode_body(request, jobs.JobSpec)
        problems = jobs.check_spec(spec, current.job_rules.max_members)
        problems += jobsapi.find_size_problems(spec, current)
        if problems:
            raise operatorcalls.BadRequest('expected ' + '; '.join(problems))
        settings = self._shared.settings
        shard = jobsapi.choose_shard(current, account, settings)
        if shard is None:
            return answers.error(503, 'no-zone', 'no zone is in service')
        job = jobs.Job(
            jobs.new_job_id(),
            account.name,
            shard,
            spec,
            jobs.JobState.WAITING,
            clock.wall(),
        )
        return await self._ask_holder(
            request,
            shard,
            'POST',
            schedulerexplanations.PATH,
            msgspec.json.encode(job),
        )

    async def _ask_holder(
        self,
        request: requests.Request,
        shard: str,
        method: str,
        path: str,
        body: bytes = b'',
    ) -> responses.Response:
        """Ask the schedulers of a shard until one answers as its holder.

        Each may take its share of the time that is left, so that one that is
        silent leaves time for the others.
        """
        why = f'no scheduler of shard {shard} is known'
        headers = (('Authorization', request.headers['authorization']),)
        addresses = self._list_schedulers(shard)
        deadline = clock.monotonic() + forwarding.TIMEOUT_S
        for number, address in enumerate(addresses):
            now = clock.monotonic()
            share_s = (deadline - now) / (len(addresses) - number)
            answered = await forwarding.hand_on(
                address,
                httpclient.Request(method, path, body, headers),
                now + share_s,
            )
            if isinstance(answered, result.Err):
                why = f'scheduler at {address}: {answered.err_value}'
            elif _is_final(answered.ok_value):
                return answered.ok_value
            else:
                why = f'scheduler at {address} does not hold the shard yet'
        return answers.error(503, 'holder', why, retry_after_s=1.0)

    def _list_schedulers(self, shard: str) -> list[str]:
        """Return where schedulers of a shard answer, its holder first.

        The call carries an operator's token, and whoever reaches the mesh may
        send a beacon: one counts only as far as the VM list confirms it.
        """
        hosts_by_vm_id = {
            vm.id: sockets.host_of(vm.mesh)
            for vm in self._shared.vms
            if vm.role == 'scheduler' and vm.zone == shard and vm.mesh
        }
        beacons = [
            peer.beacon
            for peer in self._shared.members.list_live(clock.monotonic())
            if _is_confirmed(peer.beacon, shard, hosts_by_vm_id)
        ]
        beacons.sort(key=lambda beacon: shard not in beacon.loads_by_shard)
        return [beacon.status_address for beacon in beacons]


def _is_confirmed(
    beacon: messages.Beacon, shard: str, hosts_by_vm_id: dict[str, str]
) -> bool:
    """Return whether a beacon's address is on the VM of a scheduler."""
    return (
        beacon.role == 'scheduler'
        and beacon.zone == shard
        and bool(beacon.status_address)
        and hosts_by_vm_id.get(beacon.vm_id)
        == sockets.host_of(beacon.status_address)
    )


def _is_final(answered: responses.Response) -> bool:
    """Return whether no other scheduler need be asked: the holder answered."""
    code = schedulerexplanations.Problem.BUSY.value[0]
    return answered.status_code != 503 or f'"{code}"'.encode() in bytes(
        answered.body
    )
