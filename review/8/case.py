"""A job must not be shown as failed because its minion was drained twice."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import harness2

_JOB = '8a00000000000001'
_PATH = f'{harness2.QUEUE.prefix}{_JOB}'
_WORK_S = 9.0
_DRAINS = 2
_LEFT_S = 3.5
_REMAINING_MS = 2000
_LEAVES_S = 2.1
_AWAY_S = 3.0
_FIRST_BEAT_S = 0.8
_PATIENCE_S = 75.0


async def play(case: harness2.Case) -> int:
    """Drain and start again the only minion of a kind, twice."""
    await case.start(['a'] * 7 + ['b'])
    worker = case.fleet.workers['i-94e2984907']
    phase = {
        'count': 1,
        'cpu': 52000,
        'mem_mb': 150000,
        'gpus': 8,
        'est_runtime_ms': 9000,
        'required_label': 'b',
    }
    await case.submit(_PATH, [phase], _WORK_S)
    until = time.monotonic() + _PATIENCE_S
    drains = 0
    while time.monotonic() < until:
        runs = case.fleet.runs_of(_JOB)
        is_due = (
            case.has_trouble
            and drains < _DRAINS
            and worker.running
            and time.monotonic() - runs[-1].began >= _WORK_S - _LEFT_S
        )
        if is_due:
            drains += 1
            await worker.drain(_REMAINING_MS)
            await asyncio.sleep(_LEAVES_S)
            await worker.leave()
            await asyncio.sleep(_AWAY_S)
            await worker.boot(_FIRST_BEAT_S)
        state = await case.state(_PATH)
        if state in ('completed', 'failed', 'cancelled', 'unknown'):
            return judge(case, state)
        await asyncio.sleep(0.2)
    case.record.add('the job did not end in time: slow, which is no break')
    return harness2.HELD


def judge(case: harness2.Case, state: str) -> int:
    """Return whether the state is one that the runs account for."""
    runs = case.fleet.runs_of(_JOB)
    failed = sum(run.how == 'failed' for run in runs)
    case.record.add(f'shown as {state}; runs that ended failed: {failed}')
    if state != 'completed' and failed < harness2.QUEUE.max_attempts:
        case.record.add('LOST: nobody cancelled it, and no run failed')
        return harness2.BROKEN
    return harness2.HELD


harness2.main(play, __file__)
