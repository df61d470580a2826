"""A submission and its cancellation while the store answers one node late."""

import asyncio
import pathlib
import time

from review import harness3

_JOB = '00000000000000a1'
_WINDOW_S = 4.5
_LATE_S = 5.0
_BEFORE_S = 2.5
"""The store is already late when the client calls."""

_CANCEL_S = 3.0
_CONTACT_S = 3.0


class LateStore(harness3.Store):
    """Gives a node no answers to its writes, and applies them later."""

    def __init__(self) -> None:
        super().__init__()
        self.late_node = -1
        self.late_until = 0.0
        self.last_applied_at = 0.0
        self.lost = self.answered = 0

    async def handle(self, node, request):
        now = time.monotonic()
        if ' /rows-tx ' in request.first_line and now < self.late_until:
            if node == self.late_node:
                self.lost += 1
                await asyncio.sleep(_LATE_S)
                await super().handle(node, request)
                self.last_applied_at = time.monotonic()
                return None
            self.answered += 1
        return await super().handle(node, request)


async def case(deployment):
    store = deployment.store
    await asyncio.sleep(2.0)
    holder = deployment.find_holder()
    if holder is None:
        raise harness3.NotRun('no node holds the shard')
    node = (holder + 1) % 3
    deployment.note(f'node {holder} holds the shard; the client uses {node}')
    if deployment.has_trouble:
        store.late_node = node
        store.late_until = time.monotonic() + _WINDOW_S
        deployment.note(
            f'trouble: for {_WINDOW_S} s the store gives node {node} no '
            f'answers to writes, and does them {_LATE_S} s later'
        )
    await asyncio.sleep(_BEFORE_S)
    body = harness3.job([(1, 4000), (1, 4000), (1, 4000)])
    await deployment.call('POST', _JOB, body, node)
    cancelled_at = None
    for _ in range(20):
        answer = await deployment.call('DELETE', _JOB, b'', node)
        if answer.status == 410 or 200 <= answer.status < 300:
            cancelled_at = time.monotonic()
            break
        await asyncio.sleep(0.3)
    if cancelled_at is None:
        raise harness3.NotRun('the cancellation was not acknowledged')
    await asyncio.sleep(28.0)
    await deployment.call('GET', _JOB, b'', node)
    if deployment.has_trouble:
        deployment.note(
            f'writes to the store in the window: {store.lost} lost, '
            f'{store.answered} answered'
        )
    calm_from = max(
        cancelled_at + _CANCEL_S,
        store.late_until + _CONTACT_S,
        store.last_applied_at + _CONTACT_S,
    )
    late = [
        run for run in deployment.runs_of(_JOB) if run.started_at > calm_from
    ]
    if late:
        after_s = late[-1].started_at - cancelled_at
        return (
            f'UNASKED: a task of the job was started {after_s:.1f} s after '
            'its cancelling was acknowledged, in calm'
        )
    return ''


harness3.play(
    pathlib.Path(__file__).parent,
    lambda folder: harness3.Deployment(folder, 3, 6, LateStore()),
    case,
)
