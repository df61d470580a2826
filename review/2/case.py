"""Sound gangs of which each task loses one worker; see claim.txt."""

import asyncio
import pathlib

from review import harness

_MEMBERS = 2
_DOWN_S = 2.0
"""The site's day has its workers down for 4.5 s."""

_RUNS_BEFORE_CRASH_S = 1.5
_WORK_MS = 6000
_LASTING_MS = 600_000


def _job(work_ms: int, **fields: object) -> dict[str, object]:
    phase = {'count': _MEMBERS, 'cpu': 8000, 'mem_mb': 4096, 'gpus': 8}
    phase.update(est_runtime_ms=work_ms, gang=True, **fields)
    return {'spec': f'[[{work_ms},{_MEMBERS}]]', 'phases': [phase]}


async def _crash_under(deployment: harness.Deployment, job_id: str) -> None:
    """Crash the worker of each member once; it is back under its id."""
    for index in range(_MEMBERS):
        members = await deployment.wait_running(job_id, _MEMBERS)
        (number,) = [
            number
            for number, interval in members
            if interval.task.endswith(f'.{index}')
        ]
        await asyncio.sleep(_RUNS_BEFORE_CRASH_S)
        deployment.crash_worker(number)
        # It is back before its entry would be removed for silence.
        await asyncio.sleep(_DOWN_S)
        deployment.restart_worker(number)
        await asyncio.sleep(1.0)


async def _find_state(deployment: harness.Deployment, job_id: str) -> str:
    for node in range(len(deployment.nodes)):
        status, answer = await deployment.call('GET', job_id, node=node)
        if status == 200:
            return str(answer['state'])
    raise harness.CannotRun(f'no state of {job_id}')


async def play(deployment: harness.Deployment) -> bool:
    """Return whether neither job is shown as failed."""
    finite, lasting = '1' * 16, '2' * 16
    await deployment.submit(finite, _job(_WORK_MS))
    await deployment.submit(lasting, _job(_LASTING_MS, long_running=True))
    await deployment.wait_running(finite, _MEMBERS)
    await deployment.wait_running(lasting, _MEMBERS)
    if harness.wants_trouble():
        await _crash_under(deployment, finite)
        await _crash_under(deployment, lasting)
    # Time for a third run of the finite job, from its beginning.
    await asyncio.sleep(_WORK_MS / 1000 + 6)
    states = [await _find_state(deployment, i) for i in (finite, lasting)]
    failed_ends = [
        interval
        for interval in deployment.workers.intervals
        if interval.how == 'failed'
    ]
    deployment.record.write(
        f'states: {states}; ends that workers listed as failed: '
        f'{len(failed_ends)}; lasting runs: {len(deployment.running(lasting))}'
    )
    return 'failed' not in states


if __name__ == '__main__':
    folder = pathlib.Path(__file__).resolve().parent
    harness.main(play, folder, nodes=3, workers=8)
