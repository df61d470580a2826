"""A minion is cut off as a gang starts, crashes behind the cut and is back."""

import asyncio
import json
import pathlib
import time

from review import harness3
from standins import runworkers

_WORKERS = 8
_CUT = 7
"""The minion that is cut off: the only one of the kind ``special``."""

_CUT_S, _CRASH_AFTER_S = 5.5, 4.0
_UPTIME_S = 86_400
_GANG_MS = 1000
_FINISH_S, _WAIT_S = 14.0, 3.0
_FIRST, _GANG, _LAST = (f'{number:016x}' for number in (0xE1, 0xE2, 0xE3))


class Workers(runworkers.Workers):
    """Minions of two kinds; the answers of one may be lost for a while."""

    def __init__(self, store, source):
        super().__init__(store, source)
        self.cut_until = 0.0

    def _put_entry(self, number, worker):
        entry = {
            'service': runworkers.SERVICE,
            'capacity': worker.capacity,
            'address': self._addresses[number],
            'zone': 'a',
            'state': 'ready',
            'labels': [
                'special' if number == _CUT else 'usual',
                f'r{number // 4}',
            ],
            'born': worker.born_ms,
            'seq': 1,
            'version': '1',
            'slots': 8,
        }
        self._store.put('servers', worker.name, entry)

    async def _handle(self, number, request):
        response = await super()._handle(number, request)
        if number == _CUT and time.monotonic() < self.cut_until:
            # What it sends does not arrive; the peer hears nothing.
            await asyncio.sleep(self.cut_until - time.monotonic())
            return None
        return response


def _build(folder):
    deployment = harness3.Deployment(folder, 3, _WORKERS)
    deployment.workers = Workers(deployment.store, harness3.source(2))
    return deployment


def _body(count, gpus, work_ms, gang=False, label=''):
    phase = {
        'count': count,
        'cpu': 2000,
        'mem_mb': 1024,
        'gpus': gpus,
        'est_runtime_ms': work_ms,
    }
    if gang:
        phase.update(gang=True, anti_affinity=1)
    if label:
        phase['required_label'] = label
    spec = json.dumps([[work_ms, count if gang else 0]])
    return json.dumps({'spec': spec, 'phases': [phase]}).encode()


async def _wait_for_end(deployment, job_id, limit_s):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        answer = await deployment.call('GET', job_id, is_noted=False)
        if answer.state in ('completed', 'failed', 'cancelled'):
            return answer.state
        await asyncio.sleep(0.02)
    return answer.state


async def case(deployment):
    workers = deployment.workers
    for worker in workers.by_number.values():
        # They have been up for a day, and their clocks say so.
        worker._started_at -= _UPTIME_S
    await asyncio.sleep(1.0)
    first = _body(1, 1, 1000, label='special')
    if not await deployment.submit(_FIRST, first):
        raise harness3.NotRun('the first job was not accepted')
    if await _wait_for_end(deployment, _FIRST, 10) != 'completed':
        raise harness3.NotRun('the first job did not end')
    name = workers.by_number[_CUT].name
    if deployment.has_trouble:
        workers.cut_until = time.monotonic() + _CUT_S
        deployment.note(
            f'trouble: packets of {name} do not arrive for {_CUT_S} s; it '
            f'crashes after {_CRASH_AFTER_S} s and starts again'
        )
    cut_at = time.monotonic()
    await deployment.submit(_GANG, _body(_WORKERS, 8, _GANG_MS, gang=True))
    await asyncio.sleep(cut_at + _CRASH_AFTER_S - time.monotonic())
    if deployment.has_trouble:
        workers.by_number[_CUT].crash(time.monotonic())
        await asyncio.sleep(cut_at + _CUT_S - 0.5 - time.monotonic())
        workers.boot(_CUT, name)
        deployment.note(f'{name} is up again')
    state = await _wait_for_end(deployment, _GANG, 15)
    deployment.note(f'the gang: {state}')
    await asyncio.sleep(cut_at + 12.0 - time.monotonic())
    if not await deployment.submit(_LAST, _body(1, 4, 1000, label='special')):
        raise harness3.NotRun('the last job was not accepted')
    state = await _wait_for_end(deployment, _LAST, _FINISH_S + _WAIT_S + 8)
    running = [
        run.task
        for worker in workers.by_number.values()
        for run in worker.running.values()
    ]
    deployment.note(
        f'the last job: {state}; minions run {running or "nothing"}; '
        f'{name} is up with 8 free accelerators, the job needs 4'
    )
    if not deployment.runs_of(_LAST) and not running:
        return (
            'LOST: an accepted job has nothing running beside free room '
            f'for over {_FINISH_S + _WAIT_S:.0f} s'
        )
    return ''


harness3.play(pathlib.Path(__file__).parent, _build, case)
