"""Whole nodes beside odd rows: what they follow and take over goes on.

Each odd entry stands in the list of workers when the node takes the shard
over, or arrives between two good ones.
"""

import asyncio
from collections import abc
import itertools
import typing
import unittest
from unittest import mock

import msgspec
import result
from structlog import testing

from primroselock import clock
from primroselock.decisions import fleetworkers
from primroselock.decisions import graphs
from primroselock import graphrows
from primroselock.platform import discovery
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import decodercases
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime
from primroselock.workers import orders

_GOOD_IDS: typing.Final = ('wa', 'wz')
_ODD_ID: typing.Final = 'wm'
"""Sorts between the good ones, as in a listing."""

_DONE_WITHIN_S: typing.Final = 20.0
_WHOLE_WORKER: typing.Final = 8
_LEFT_OUT: typing.Final = 'row left out: not applied'
_FAILURES: typing.Final = frozenset(
    {
        'loop failed; dropping the shard lease',
        'task failed',
        'changes not applied; retrying',
        'poll answer not applied',
    }
)
_ENTRY: typing.Final[dict[str, typing.Any]] = msgspec.json.decode(
    fleetbuilders.encode_entry(fleetbuilders.build_entry(_ODD_ID))
)
_DIGITS: typing.Final = b'9' * 400
_DEEP: typing.Final = b'[' * 100_000 + b']' * 100_000


def distort(field: str, value: bytes) -> bytes:
    """Return the odd worker's entry with raw JSON in one field."""
    mark = 'the odd value'
    encoded = msgspec.json.encode({**_ENTRY, field: mark})
    return encoded.replace(msgspec.json.encode(mark), value)


ODD_ENTRIES: typing.Final[dict[str, bytes]] = {
    'no bytes': b'',
    'not text': b'\x00\xff',
    'not an object': b'[]',
    'fields missing': b'{}',
    'unknown field nested deeply': distort('more', _DEEP),
    'labels nested deeply': distort('labels', _DEEP),
    'remaining time of 400 digits': distort('remaining_ms', _DIGITS),
    'start of 400 digits': distort('born', _DIGITS),
    'start not a number': distort('born', b'NaN'),
    'capacity of 400 digits': distort(
        'capacity', b'{"cpu":%s,"mem_mb":1,"gpus":8}' % _DIGITS
    ),
    'capacity below zero': distort(
        'capacity', b'{"cpu":-5,"mem_mb":1,"gpus":8}'
    ),
    'no capacity': distort('capacity', b'{"cpu":0,"mem_mb":0,"gpus":0}'),
    'state not known': distort('state', b'"odd"'),
    'lone surrogate': distort('zone', b'"\\ud800"'),
    'no host': distort('address', b'":80"'),
    'port 0': distort('address', b'"h:0"'),
    'port too large': distort('address', b'"h:99999"'),
    'port of 30 digits': distort('address', b'"h:%s"' % (b'9' * 30)),
    'port not a number': distort('address', b'"h:abc"'),
}

Scenario = abc.Callable[
    [fleetbuilders.World], abc.Coroutine[typing.Any, typing.Any, None]
]


def run_world(
    scenario: Scenario, worker_ids: tuple[str, ...] = _GOOD_IDS
) -> list[typing.Any]:
    """Run a scenario with the platform's entries; return the log lines.

    Raises :class:`AssertionError` if a loop of a node ended or a fake worker
    recorded a violation.
    """

    async def run_all(virtual: virtualtime.VirtualClock) -> None:
        world = fleetbuilders.World(0, 0, discovery.WorkerRowReader())
        for worker_id in worker_ids:
            world.add_worker(fleetbuilders.build_entry(worker_id))
        await scenario(world)
        for node in world.nodes:
            ended = [task for task in node._tasks if task.done()]
            assert not ended, ended
        await world.close()
        assert not world.fleet.violations, world.fleet.violations

    with testing.capture_logs() as lines:
        virtualtime.run(run_all)
    return lines


def list_workers(world: fleetbuilders.World) -> set[str]:
    """Return the workers that the holder takes as listed."""
    session = world.find_shard_holder().holder._session
    assert session is not None
    workers = session._board.workers_by_id.values()
    return {worker.id for worker in workers if worker.is_listed}


def build_job(job_id: str, tasks: int = 2) -> typing.Any:
    """Return a job of which each task needs a whole worker."""
    step = fleetbuilders.build_step(tasks, _WHOLE_WORKER)
    return fleetbuilders.build_graph(job_id, step)


class OddEntriesTest(unittest.TestCase):
    """An odd entry names no worker; the others hold."""

    def _check_lines(self, lines: list[typing.Any]) -> None:
        events = {line['event'] for line in lines}
        self.assertEqual(set(), _FAILURES & events)
        self.assertNotIn(_LEFT_OUT, events)
        ignored = {
            line['worker']
            for line in lines
            if line['event'] == 'worker entry ignored'
        }
        self.assertEqual({_ODD_ID}, ignored)

    def test_an_odd_entry_between_two_good_ones(self) -> None:
        """Guards against a follower that gets no further than an odd row."""
        for name, value in ODD_ENTRIES.items():

            async def scenario(
                world: fleetbuilders.World, odd: bytes = value
            ) -> None:
                world.add_node('entry-1')
                await asyncio.sleep(2.0)
                world.add_worker(fleetbuilders.build_entry('wa'))
                world.store.put(f'servers/{_ODD_ID}', odd)
                world.add_worker(fleetbuilders.build_entry('wz'))
                await asyncio.sleep(1.0)
                self.assertEqual({'wa', 'wz'}, list_workers(world))
                world.submit(build_job('good'))
                await world.wait_for('good', 'done', _DONE_WITHIN_S)

            with self.subTest(name):
                self._check_lines(run_world(scenario, ()))

    def test_an_odd_entry_that_stands_at_the_takeover(self) -> None:
        """Guards against a takeover that ends at an odd row: nobody decides.

        Each further holder reads the same rows.
        """
        for name, value in ODD_ENTRIES.items():

            async def scenario(
                world: fleetbuilders.World, odd: bytes = value
            ) -> None:
                world.store.put(f'servers/{_ODD_ID}', odd)
                world.add_node('entry-1')
                world.add_node('entry-2')
                await asyncio.sleep(2.0)
                world.submit(build_job('first'))
                await world.wait_for('first', 'done', _DONE_WITHIN_S)
                holder = world.find_shard_holder()
                world.nodes.remove(holder)
                await holder.kill()
                await asyncio.sleep(5.0)
                world.submit(build_job('second'))
                await world.wait_for('second', 'done', _DONE_WITHIN_S)
                self.assertEqual(set(_GOOD_IDS), list_workers(world))

            with self.subTest(name):
                self._check_lines(run_world(scenario))

    def test_an_entry_that_becomes_odd_while_its_worker_runs(self) -> None:
        """The run goes on and is polled; the worker gets no new starts.

        Guards against a worker that is used by an entry that nobody could
        have written, and against a run that is given up for its entry.
        """
        for name, value in ODD_ENTRIES.items():

            async def scenario(
                world: fleetbuilders.World, odd: bytes = value
            ) -> None:
                entry = fleetbuilders.build_entry(_ODD_ID)
                world.add_worker(entry)
                world.add_node('entry-1')
                await asyncio.sleep(2.0)
                world.fleet.work_s_by_job['long'] = 15.0
                world.submit(build_job('long', 1))
                await asyncio.sleep(1.0)
                world.store.put(f'servers/{_ODD_ID}', odd)
                await asyncio.sleep(1.0)
                self.assertEqual(set(), list_workers(world))
                world.submit(build_job('next', 1))
                await world.wait_for('long', 'done', _DONE_WITHIN_S)
                await asyncio.sleep(2.0)
                # Started once, and nothing was started beside or after it.
                self.assertEqual(1, world.fleet.starts)
                world.write_entry(entry)
                await world.wait_for('next', 'done', _DONE_WITHIN_S)
                self.assertEqual(2, world.fleet.starts)

            with self.subTest(name):
                self._check_lines(run_world(scenario, ()))


class LeftOutRowsTest(unittest.TestCase):
    """The second line of defence: whatever a row leads to, others hold."""

    def _run(self, scenario: Scenario) -> None:
        lines = run_world(scenario)
        events = {line['event'] for line in lines}
        self.assertEqual(set(), _FAILURES & events)
        keys = {line['key'] for line in lines if line['event'] == _LEFT_OUT}
        self.assertEqual(1, len(keys), keys)
        self.assertTrue(keys <= {f'servers/{_ODD_ID}', 'bad'}, keys)

    def _run_twice(
        self, scenario_by_turn: abc.Callable[[bool], Scenario]
    ) -> None:
        for is_before in (True, False):
            with self.subTest(is_before=is_before):
                self._run(scenario_by_turn(is_before))

    def test_an_entry_that_the_reader_fails_on(self) -> None:
        """Guards against a fault of a decoder that stops all nodes."""
        read_entry = discovery.WorkerRowReader.read_entry

        def fail(
            reader: discovery.WorkerRowReader, row: table.Row
        ) -> fleetworkers.WorkerEntry | None:
            if row.key.endswith(_ODD_ID):
                raise ZeroDivisionError
            return read_entry(reader, row)

        def build(is_before: bool) -> Scenario:
            async def scenario(world: fleetbuilders.World) -> None:
                with mock.patch.object(
                    discovery.WorkerRowReader, 'read_entry', fail
                ):
                    await self._run_beside(
                        world,
                        is_before,
                        lambda: world.write_entry(
                            fleetbuilders.build_entry(_ODD_ID)
                        ),
                    )
                    self.assertEqual(set(_GOOD_IDS), list_workers(world))

            return scenario

        self._run_twice(build)

    def test_a_job_that_cannot_be_loaded(self) -> None:
        """Guards against one job that ends each takeover or each round."""
        release_due = graphs.release_due

        def fail(
            board: typing.Any, job: typing.Any, *more: typing.Any
        ) -> None:
            release_due(board, job, *more)
            if job.graph.id == 'bad':
                raise ZeroDivisionError

        def build(is_before: bool) -> Scenario:
            async def scenario(world: fleetbuilders.World) -> None:
                with mock.patch.object(graphs, 'release_due', fail):
                    await self._run_beside(
                        world,
                        is_before,
                        lambda: world.submit(build_job('bad')),
                    )
                    self.assertEqual('waiting', world.state('bad'))

            return scenario

        self._run_twice(build)

    async def _run_beside(
        self,
        world: fleetbuilders.World,
        is_before: bool,
        write: abc.Callable[[], None],
    ) -> None:
        """Run a job beside a row that ``write`` writes."""
        if is_before:
            write()
        world.add_node('entry-1')
        await asyncio.sleep(2.0)
        if not is_before:
            write()
        await asyncio.sleep(1.0)
        world.submit(build_job('good'))
        await world.wait_for('good', 'done', _DONE_WITHIN_S)


class OddJobsTest(unittest.TestCase):
    """Stored jobs that nobody could have accepted; the others hold."""

    _ODD: typing.Final = (_DIGITS, b'-' + _DIGITS, b'1e300', _DEEP)

    def _list_rows(self) -> dict[str, bytes]:
        """Return a row of each kind of odd job, by key."""
        graph = fleetbuilders.build_graph('odd', accepted_ms=1)
        valid = msgspec.json.decode(graphrows.encode(graph))
        values = [
            encoded.replace(b'"the odd value"', odd)
            for encoded in (
                msgspec.json.encode(
                    decodercases.replace_at(valid, path, 'the odd value')
                )
                for path in decodercases.list_paths(valid)
            )
            for odd in self._ODD
        ]
        for step in (
            fleetbuilders.build_step(10**12),
            fleetbuilders.build_step(1, -1),
        ):
            values.append(
                graphrows.encode(
                    fleetbuilders.build_graph('odd', step, accepted_ms=1)
                )
            )
        values.append(
            graphrows.encode(
                msgspec.structs.replace(graph, occurrences=10**12)
            )
        )
        return {
            keys.graph('fleet', f'odd{number}'): value
            for number, value in enumerate(values)
        }

    def _check(self, is_before: bool) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            if not is_before:
                world.add_node('entry-1')
                await asyncio.sleep(2.0)
            world.submit(build_job('first'))
            for key, value in self._list_rows().items():
                world.store.put(key, value)
            world.submit(build_job('last'))
            if is_before:
                world.add_node('entry-1')
            for job_id in ('first', 'last'):
                await world.wait_for(job_id, 'done', _DONE_WITHIN_S)
            session = world.find_shard_holder().holder._session
            assert session is not None
            self.assertEqual({}, session._board.jobs_by_id)

        events = {line['event'] for line in run_world(scenario)}
        self.assertEqual(set(), _FAILURES & events)
        self.assertNotIn(_LEFT_OUT, events)

    def test_odd_jobs_between_two_good_ones(self) -> None:
        """Guards against a job that ends the round of each holder in turn."""
        self._check(is_before=False)

    def test_odd_jobs_that_stand_at_the_takeover(self) -> None:
        """Guards against a job that ends each takeover: nobody decides."""
        self._check(is_before=True)


class OddProgressTest(unittest.TestCase):
    """A job whose stored progress cannot be read at a takeover."""

    def _check(self, key: str, parts: int) -> None:
        async def scenario(world: fleetbuilders.World) -> None:
            world.add_node('entry-1')
            await asyncio.sleep(2.0)
            world.fleet.work_s_by_job['j'] = 3.0
            step = fleetbuilders.build_step(2, _WHOLE_WORKER)
            after = fleetbuilders.build_step(1, 1, after=(0,))
            world.submit(fleetbuilders.build_graph('j', step, after))
            await asyncio.sleep(4.0)
            holder = world.find_shard_holder()
            world.nodes.remove(holder)
            await holder.kill()
            starts = world.fleet.starts
            first = world.progress('j')
            assert first is not None
            row = msgspec.structs.replace(first, parts=parts)
            world.store.put(keys.progress('fleet', 'j'), graphrows.encode(row))
            world.store.put(key, _DEEP)
            world.add_node('entry-2')
            world.add_node('entry-3')
            await asyncio.sleep(15.0)
            self.assertEqual(starts, world.fleet.starts)
            world.submit(build_job('good', 1))
            await world.wait_for('good', 'done', _DONE_WITHIN_S)

        lines = run_world(scenario)
        events = {line['event'] for line in lines}
        self.assertEqual(set(), _FAILURES & events)
        self.assertIn('stored job not usable', events)

    def test_a_progress_row_that_cannot_be_read(self) -> None:
        """Guards against a job that begins anew beside what it has done."""
        self._check(keys.progress('fleet', 'j'), 1)

    def test_a_further_progress_row_that_cannot_be_read(self) -> None:
        """The same for a job whose progress is spread over rows."""
        self._check(keys.progress('fleet', 'j') + '/1', 2)


class SilentAddressTest(unittest.TestCase):
    """A worker to whose address no connection is established."""

    def test_it_is_polled_with_growing_pauses(self) -> None:
        """Guards against a holder that spends its time on one odd address."""
        polled_at: list[float] = []

        async def scenario(world: fleetbuilders.World) -> None:
            poll_runs = world.fleet.poll_runs

            async def refuse(
                worker_id: str, *more: typing.Any
            ) -> result.Result[orders.RunReport, orders.OrderError]:
                if worker_id != _GOOD_IDS[0]:
                    return await poll_runs(worker_id, *more)
                polled_at.append(clock.monotonic())
                return result.Err(orders.NotSent('no connection'))

            with mock.patch.object(world.fleet, 'poll_runs', refuse):
                world.add_node('entry-1')
                await asyncio.sleep(2.0)
                world.submit(build_job('good', 1))
                await world.wait_for('good', 'done', _DONE_WITHIN_S)
                await asyncio.sleep(20.0)

        run_world(scenario)
        pauses_s = [
            later - earlier for earlier, later in itertools.pairwise(polled_at)
        ]
        self.assertGreater(len(pauses_s), 10)
        self.assertLess(pauses_s[0], 0.5)
        self.assertTrue(all(0.9 < pause_s < 1.5 for pause_s in pauses_s[4:]))


if __name__ == '__main__':
    unittest.main()
