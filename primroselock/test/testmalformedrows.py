"""Rows that nobody could have written end no node.

Every node reads the same rows: one that ends a process ends all, one after
another, as each takes the shard over.
"""

import asyncio
import random
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies
import msgspec
import result
from structlog import testing

from primroselock import graphrows
from primroselock import jobgraph
from primroselock import jobs
from primroselock.platform import configuration
from primroselock.platform import discovery
from primroselock.store import keys
from primroselock.store import table
from primroselock.test import decodercases
from primroselock.test import fleetbuilders
from primroselock.test import virtualtime

_ODD_VALUES: typing.Final[tuple[typing.Any, ...]] = (
    None,
    True,
    0,
    -1,
    10**12,
    -(10**12),
    1e300,
    0.5,
    '',
    'odd',
    [],
    {},
    [None],
)
_FAILURES: typing.Final = frozenset(
    {
        'loop failed; dropping the shard lease',
        'task failed',
        'changes not applied; retrying',
        'poll answer not applied',
    }
)
"""Errors in the log that a row must not lead to."""

_DONE_WITHIN_S: typing.Final = 30.0
_GROUP: typing.Final = jobgraph.GroupRecord(
    jobgraph.GroupKey(0, 0, 0),
    jobgraph.GroupPhase.PLACED,
    1,
    places=(jobgraph.Place('w0', 1),),
)


def replace_one(encoded: bytes, seed: int) -> bytes:
    """Replace one value within a JSON row by an odd one."""
    chosen = random.Random(seed)
    value = msgspec.json.decode(encoded)
    path = chosen.choice(decodercases.list_paths(value))
    odd = chosen.choice(_ODD_VALUES)
    return msgspec.json.encode(decodercases.replace_at(value, path, odd))


def build_rows() -> dict[str, bytes]:
    """Return a valid row of each kind that a holder reads, by key."""
    progress = jobgraph.JobProgress(jobs.JobState.RUNNING, (_GROUP,))
    graph = fleetbuilders.build_graph(
        'odd', fleetbuilders.build_step(2), accepted_ms=1
    )
    return {
        keys.graph('fleet', 'odd'): graphrows.encode(graph),
        keys.progress('fleet', 'odd'): graphrows.encode(progress),
        keys.progress('fleet', 'odd') + '/1': graphrows.encode(progress),
        'servers/odd': msgspec.json.encode(fleetbuilders.build_entry('odd')),
    }


async def run_beside(
    rows_before: dict[str, bytes], rows_later: dict[str, bytes]
) -> list[str]:
    """Run a job beside rows; return what went wrong.

    The first rows are there when the node takes the shard over, the others
    are written while it holds it.
    """
    problems = []
    world = fleetbuilders.World()
    for key, value in rows_before.items():
        world.store.put(key, value)
    graph_key = keys.graph('fleet', 'odd')
    encoded = {**rows_before, **rows_later}.get(graph_key, b'')
    graph = graphrows.read_submitted(table.Row(graph_key, encoded, 1, ''))
    if isinstance(graph, jobgraph.JobGraph):
        # The fake workers know what each job runs.
        world.fleet.graphs_by_id['odd'] = graph
    node = world.add_node('entry-1')
    await asyncio.sleep(2.0)
    for key, value in rows_later.items():
        world.store.put(key, value)
    await asyncio.sleep(1.0)
    world.submit(fleetbuilders.build_graph('good'))
    try:
        await world.wait_for('good', 'done', _DONE_WITHIN_S)
    except AssertionError as error:
        problems.append(str(error))
    problems += [
        f'ended: {task.exception()!r}' for task in node._tasks if task.done()
    ]
    await world.close()
    return problems


def run_logged(
    rows_before: dict[str, bytes], rows_later: dict[str, bytes]
) -> tuple[list[str], list[str]]:
    """Run a job beside rows; return the problems and the logged errors."""

    async def run_all(virtual: virtualtime.VirtualClock) -> list[str]:
        return await run_beside(rows_before, rows_later)

    with testing.capture_logs() as lines:
        problems = virtualtime.run(run_all)
    errors = [line['event'] for line in lines if line['log_level'] == 'error']
    return problems, errors


class HolderRowsTest(unittest.TestCase):
    """A holder goes on beside rows that it cannot use."""

    def check(
        self, key: str, value: bytes, graph: jobgraph.JobGraph | None = None
    ) -> list[str]:
        """Check one row, before and after a takeover; return the errors."""
        rows = {key: value}
        if graph is not None:
            rows[keys.graph('fleet', graph.id)] = graphrows.encode(graph)
        errors = []
        for before, later in ((rows, {}), ({}, rows)):
            problems, logged = run_logged(before, later)
            self.assertEqual([], problems)
            self.assertEqual(set(), _FAILURES.intersection(logged))
            errors += logged
        return errors

    def test_a_progress_row_whose_key_names_no_part(self) -> None:
        """Guards against a takeover that ends each node in turn."""
        progress = graphrows.encode(
            jobgraph.JobProgress(jobs.JobState.RUNNING, (_GROUP,))
        )
        for part in ('x', '-1', '0', '1.5', '9' * 5000, '\u0661\u0662', '1/1'):
            with self.subTest(part[:10]):
                key = f'{keys.progress("fleet", "odd")}/{part}'
                self.check(key, progress)

    def test_progress_of_an_occurrence_that_the_job_does_not_have(
        self,
    ) -> None:
        """Guards against a holder that releases occurrences without end."""
        group = msgspec.structs.replace(
            _GROUP, key=jobgraph.GroupKey(10**12, 0, 0)
        )
        progress = jobgraph.JobProgress(jobs.JobState.RUNNING, (group,))
        errors = self.check(
            keys.progress('fleet', 'odd'),
            graphrows.encode(progress),
            fleetbuilders.build_graph('odd', accepted_ms=1),
        )
        self.assertIn('stored job not usable', errors)

    def test_progress_that_claims_many_rows(self) -> None:
        """Guards against a holder that counts to any number in a row."""
        progress = jobgraph.JobProgress(
            jobs.JobState.RUNNING, (_GROUP,), parts=10**12
        )
        self.check(
            keys.progress('fleet', 'odd'),
            graphrows.encode(progress),
            fleetbuilders.build_graph('odd', accepted_ms=1),
        )

    @hypothesis.settings(max_examples=60)
    @hypothesis.given(
        strategies.sampled_from(sorted(build_rows())),
        strategies.integers(0, 2**32),
        strategies.booleans(),
    )
    def test_rows_with_an_odd_value(
        self, key: str, seed: int, is_before: bool
    ) -> None:
        """One value of one row is replaced by any other."""
        rows = build_rows()
        rows[key] = replace_one(rows[key], seed)
        problems, logged = run_logged(
            rows if is_before else {}, {} if is_before else rows
        )
        self.assertEqual([], problems)
        self.assertEqual(set(), _FAILURES.intersection(logged))


class WorkerAnswersTest(unittest.TestCase):
    """A holder goes on beside a worker whose answers it cannot use."""

    def test_an_answer_that_cannot_be_applied(self) -> None:
        """The worker counts as not answering; the work runs elsewhere.

        Guards against polls that end without a log line and start again at
        once, and against a worker that is used although nothing is known
        of its runs.
        """

        async def run_all(virtual: virtualtime.VirtualClock) -> int:
            world = fleetbuilders.World()
            poll_runs = world.fleet.poll_runs

            async def poll_odd(
                worker_id: str, *more: typing.Any
            ) -> typing.Any:
                if worker_id != 'w0':
                    return await poll_runs(worker_id, *more)
                polls.append(virtual.now)
                await asyncio.sleep(0.001)
                return result.Ok(None)

            polls: list[float] = []
            with mock.patch.object(world.fleet, 'poll_runs', new=poll_odd):
                node = world.add_node('entry-1')
                await asyncio.sleep(2.0)
                world.submit(fleetbuilders.build_graph('good'))
                await world.wait_for('good', 'done', _DONE_WITHIN_S)
                await asyncio.sleep(10.0)
            self.assertFalse(any(task.done() for task in node._tasks))
            await world.close()
            return len(polls)

        with testing.capture_logs() as lines:
            polls = virtualtime.run(run_all)
        self.assertLess(polls, 40)
        failed = [
            line
            for line in lines
            if line['event'] == 'poll answer not applied'
        ]
        self.assertEqual(polls, len(failed))
        self.assertEqual('w0', failed[0]['worker'])


class AdapterRowsTest(unittest.TestCase):
    """The readers of the platform's rows never raise."""

    @hypothesis.given(strategies.integers(0, 2**32))
    def test_operators_rows(self, seed: int) -> None:
        value = replace_one(msgspec.json.encode(_CONFIGURATION), seed)
        reader = configuration.ConfigurationReader()
        row = table.Row('op/config', value, 1, '')
        with testing.capture_logs():
            reader.apply(table.Changes((row,), ('op/evacuate/a',), 1))

    @hypothesis.given(strategies.integers(0, 2**32))
    def test_entries_of_workers(self, seed: int) -> None:
        value = replace_one(msgspec.json.encode(_ENTRY), seed)
        row = table.Row('servers/w', value, 1, '')
        with testing.capture_logs():
            discovery.WorkerRowReader().read_entry(row)


_CONFIGURATION: typing.Final[dict[str, typing.Any]] = {
    'version': 3,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'path_prefix': '/p/',
            'service': 'svc',
            'stretch': 2.0,
            'target_latency_ms': 500.0,
            'advice': {'decide_ms': 1.0, 'each_ms': 0.5},
        }
    ],
    'tenants': [
        {
            'name': 't',
            'api_keys': ['k'],
            'guaranteed': {'gpus': 8},
            'weight': 2,
            'max_count': {'cpu': 1000, 'mem_mb': 2000, 'gpus': 16},
        }
    ],
    'limits': {'max_body_bytes': 1000},
}
_ENTRY: typing.Final = {**decodercases.WORKER_ENTRY, 'seq': 4}


if __name__ == '__main__':
    unittest.main()
