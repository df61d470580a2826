"""A gang of which one member's start gets no answer, and what follows.

The worker of that member hears all it is told and is not heard; its fate, the
end of the gang and the order in which the holder learns of both vary.
"""

import asyncio
import dataclasses
import enum
import typing

from primroselock.decisions import fleetworkers
from primroselock.test import fleetbuilders
from primroselock.test import simulatedworker
from primroselock.test import virtualtime

GANG: typing.Final = 'gang'
LAST: typing.Final = 'last'
RUN_S: typing.Final = 1.0
_WORKERS: typing.Final = 4
_DAY_S: typing.Final = 86_400.0
_CALM_S: typing.Final = 16.0
"""By then a silent worker's leases have expired."""

_LIMIT_S: typing.Final = 8.0
"""A job that fits on idle workers has ended by then."""


class End(enum.Enum):
    """How the gang ends."""

    DONE = 'done'
    FAILED = 'failed'
    CANCELLED = 'cancelled'


class Fate(enum.Enum):
    """What becomes of the worker that is not heard."""

    HEARD_AGAIN = 'is heard again'
    SILENT = 'stays silent until its leases have expired'
    RESTARTED = 'starts again'
    MOVED = 'starts again at another address'
    REPLACED = 'is replaced by another worker'


@dataclasses.dataclass(frozen=True)
class Story:
    """What happens, in seconds after the gang is submitted.

    The fate comes at ``fate_at_s``, and from then on the worker is heard.  Its
    clock is then ``clock_s`` where it has started again.  With
    ``is_end_late`` the holder learns of the end of the gang only
    ``heard_after_s`` later, since no worker is heard meanwhile; it is taken
    over then with ``is_taken_over``.  With ``outlives`` starts that were sent
    to the boot before begin on the next one, ``late_s`` after they were sent.
    """

    fate: Fate
    fate_at_s: float
    end: End = End.DONE
    clock_s: float = 0.0
    is_end_late: bool = False
    heard_after_s: float = 1.0
    is_taken_over: bool = False
    outlives: bool = False
    late_s: float = 0.01


def _silence(worker: simulatedworker.FakeWorker) -> None:
    """Let a worker hear orders and polls, and not be heard."""
    worker.delayed_order_share = 1.0
    worker.unanswered_poll_share = 1.0


def _unsilence(worker: simulatedworker.FakeWorker) -> None:
    worker.delayed_order_share = 0.0
    worker.unanswered_poll_share = 0.0


class _Play:
    """One story in a world of its own."""

    def __init__(self, world: fleetbuilders.World, story: Story) -> None:
        self.world = world
        self.story = story
        workers = list(world.fleet.workers_by_id.values())
        self.worker, self.others = workers[0], workers[1:]

    def prepare(self) -> None:
        """Label the worker; all workers have been up for a day."""
        fleet = self.world.fleet
        fleet.late_s = (self.story.late_s, self.story.late_s)
        fleet.late_starts_outlive = self.story.outlives
        for worker in fleet.workers_by_id.values():
            worker.clock_offset_s = _DAY_S
        entry = self.worker.entry
        labels = (*entry.labels, 'special')
        self.worker.entry = dataclasses.replace(entry, labels=labels)
        self.world.write_entry(self.worker.entry)

    async def run(self) -> None:
        """Play the story; raise an error if the worker stays full."""
        self._submit(GANG, RUN_S, tasks=_WORKERS, gang=True, max_per_worker=1)
        _silence(self.worker)
        if self.story.end is End.FAILED:
            self.world.fleet.failing_job_ids.add(GANG)
        if self.story.end is End.CANCELLED:
            self.world.fleet.spawn(self._cancel())
        await asyncio.sleep(RUN_S * 0.5)
        if self.story.is_end_late:
            for other in self.others:
                _silence(other)
        await asyncio.sleep(self.story.fate_at_s - RUN_S * 0.5)
        await self._bring_about()
        if self.story.is_end_late or self.story.is_taken_over:
            await asyncio.sleep(self.story.heard_after_s)
        for other in self.others:
            _unsilence(other)
        if self.story.is_taken_over:
            await self._take_over()
        await asyncio.sleep(_CALM_S)
        self._submit(LAST, RUN_S, label='special')
        await self.world.wait_for(LAST, 'done', _LIMIT_S)

    def _submit(
        self, job_id: str, run_s: float, tasks: int = 1, **changes: typing.Any
    ) -> None:
        step = fleetbuilders.build_step(tasks, 8, int(run_s * 1000), **changes)
        self.world.submit(fleetbuilders.build_graph(job_id, step))

    async def _cancel(self) -> None:
        await asyncio.sleep(RUN_S * 0.8)
        self.world.cancel(GANG)

    async def _bring_about(self) -> None:
        """Let the worker's fate come true, and let it be heard."""
        world, worker, fate = self.world, self.worker, self.story.fate
        if fate is Fate.SILENT:
            worker.is_partitioned = True
            await asyncio.sleep(_CALM_S)
            worker.is_partitioned = False
        elif fate is not Fate.HEARD_AGAIN:
            world.fleet.crash(worker)
            await asyncio.sleep(0.5)
        if fate is Fate.RESTARTED:
            world.restart_worker(worker, self.story.clock_s)
        elif fate is Fate.MOVED:
            world.restart_worker(
                worker, self.story.clock_s, address='elsewhere:1'
            )
        elif fate is Fate.REPLACED:
            self._replace()
        _unsilence(worker)

    def _replace(self) -> None:
        """Let another worker answer where the worker was."""
        old = self.worker.entry
        self.worker.is_down = False
        self.worker.entry = dataclasses.replace(old, address='')
        self.world.delete_entry(old.id)
        self.world.add_worker(_next_life(old))

    async def _take_over(self) -> None:
        """Kill the holder; another node takes the shard over."""
        holder = self.world.find_shard_holder()
        self.world.nodes.remove(holder)
        await holder.kill()
        self.world.add_node('entry-2')


def _next_life(
    entry: fleetworkers.WorkerEntry,
) -> fleetworkers.WorkerEntry:
    return dataclasses.replace(entry, id=f'{entry.id}x', boot=entry.boot + 1)


def play(story: Story) -> list[str]:
    """Play a story; return the violations that the workers recorded.

    Raises :class:`AssertionError` if a job that needs the whole worker does
    not end once all is calm.
    """

    async def scenario(virtual: virtualtime.VirtualClock) -> list[str]:
        world = fleetbuilders.World(0, _WORKERS)
        told = _Play(world, story)
        told.prepare()
        world.add_node('entry-1')
        await asyncio.sleep(1.0)
        try:
            await told.run()
        finally:
            await world.close()
        return world.fleet.violations

    return virtualtime.run(scenario)
