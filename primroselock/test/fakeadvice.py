"""A fake of the service that advises on which workers a step may run."""

import asyncio

import result

from primroselock.decisions import livejobs
from primroselock.workers import orders


class FakeAdviceClient:
    """An advice service that lets ``approved_worker_ids`` run any step."""

    def __init__(self) -> None:
        self.approved_worker_ids: set[str] = set()
        self.is_unresponsive = False
        self.request_count = 0

    async def ask(
        self,
        step: livejobs.StepName,
        worker_ids: tuple[str, ...],
        timeout_s: float,
    ) -> result.Result[tuple[dict[str, str], float], orders.Unanswered]:
        """Return tickets by worker id, and their validity in seconds."""
        self.request_count += 1
        await asyncio.sleep(0.1)
        if self.is_unresponsive:
            return result.Err(orders.Unanswered('no answer'))
        tickets = {
            name: f't-{name}'
            for name in worker_ids
            if name in self.approved_worker_ids
        }
        return result.Ok((tickets, 3.0))

    async def aclose(self) -> None:
        """Do nothing: no connection is open."""
