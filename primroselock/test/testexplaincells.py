"""What a scheduler says of a job, against its next placement; real daemons."""

import hashlib
import json
import os
import pathlib
import random
import tempfile
import typing
import unittest
from unittest import mock

import hypothesis
from hypothesis import strategies

from primroselock.decisions import blackboard
from primroselock.decisions.explaining import cellexplanation
from primroselock.decisions.explaining import records
from primroselock.decisions import placing
from primroselock import errors
from primroselock import jobs
from primroselock.test import explainbuilders
from primroselock.test import testclient
from standins import launch
from tools import replay
from tools import replayworld
from tools import traces

_TICKS: typing.Final = 600
_ACCOUNTS: typing.Final = '[account x]\nguarantee.za = 8:3\n[account y]\n'
_WAIT_S: typing.Final = 30.0
_TOKEN: typing.Final = 'x-token'
_PATCH: typing.Final = f"""
[zone a]
racks = 1
[account x]
token_digests = {hashlib.sha256(_TOKEN.encode()).hexdigest()}
"""


def build_world() -> replayworld.World:
    """Return a settled world of one rack of eight workers."""
    deployment = traces.Deployment(
        'one',
        ('za',),
        {'za': 1},
        f'[zone za]\nracks = 1\n{_ACCOUNTS}',
        64,
        262144,
    )
    world = replayworld.World(
        traces.Trace(deployment, ()), replay.build_settings({})
    )
    world.settle(_TICKS)
    return world


def submit(
    world: replayworld.World, job_id: str, **changes: typing.Any
) -> None:
    """Submit a job of account y of whole workers; nothing is decided yet."""
    fields: dict[str, typing.Any] = {
        'account': 'y',
        'members': 1,
        'accelerators': 8,
        'true_s': 1000.0,
        **changes,
    }
    world.apply(
        traces.Arrival(
            at=world.now,
            id=job_id,
            zone='za',
            name='job',
            cpus=1,
            declared_s=600.0,
            **fields,
        )
    )


def explain(
    world: replayworld.World, job: str | jobs.Job
) -> records.JobExplanation:
    """Return the explanation of a job."""
    explained = cellexplanation.explain(
        world.boards_by_shard['za'], world.settings, job, world.now
    )
    assert explained is not None
    return explained


class CellsTest(unittest.TestCase):
    """One rack; account x has a guarantee of three workers."""

    def setUp(self) -> None:
        self.world = build_world()
        self.board = self.world.boards_by_shard['za']

    def fill(self) -> None:
        """Let borrowed work of account y run on all workers."""
        submit(self.world, 'full', members=8)
        self.world.settle(_TICKS)

    def test_free_cells(self) -> None:
        """A job of two workers goes to two of them."""
        submit(self.world, 'j', members=2)
        (step,) = explain(self.world, 'j').steps
        self.assertIs(records.Outcome.PLACED, step.outcome)
        self.assertEqual(2, len(step.workers))
        self.assertEqual([records.RuleCount('choice', 6)], step.rules)
        self.assertEqual(600.0, step.end.in_s)

    def test_no_room(self) -> None:
        """The reason is the one that callers get."""
        self.fill()
        submit(self.world, 'j')
        (step,) = explain(self.world, 'j').steps
        self.assertIs(records.Outcome.WAITS, step.outcome)
        self.assertEqual([records.RuleCount('room', 8)], step.rules)
        self.assertEqual('cells', step.waits_for.rule)
        self.assertIn('waits for 1 cells of 8', step.waits_for.why)

    def test_a_guarantee_stops_borrowed_work(self) -> None:
        """It names whom, and nothing is stopped."""
        self.fill()
        submit(self.world, 'j', account='x')
        before = explainbuilders.dump(self.board)
        explained = explain(self.world, 'j')
        self.assertEqual(before, explainbuilders.dump(self.board))
        (step,) = explained.steps
        self.assertIs(records.Outcome.STOPS_OTHERS, step.outcome)
        self.assertEqual(['full'], [each.job for each in explained.victims])
        self.assertIs(
            blackboard.Phase.RUNNING,
            self.board.attempts_by_job_id['full'].phase,
        )

    def test_not_sent_running_unknown(self) -> None:
        """Jobs that do not wait here."""
        job = jobs.Job(
            'new',
            'y',
            'za',
            jobs.JobSpec('n', accelerators=9),
            jobs.JobState.WAITING,
            0.0,
        )
        (step,) = explain(self.world, job).steps
        self.assertEqual([records.RuleCount('size', 8)], step.rules)
        self.assertNotIn('new', self.board.jobs_by_id)
        self.fill()
        (step,) = explain(self.world, 'full').steps
        self.assertEqual('running', step.phase)
        self.assertIsNone(
            cellexplanation.explain(
                self.board, self.world.settings, 'none', self.world.now
            )
        )

    @hypothesis.settings(max_examples=40, deadline=None)
    @hypothesis.given(strategies.integers(0, 2**32))
    def test_what_is_said_is_what_is_placed(self, seed: int) -> None:
        """Varied jobs, quarantines and a zone out of service."""
        source = random.Random(seed)
        world = build_world()
        board = world.boards_by_shard['za']
        for number in range(source.randint(1, 10)):
            submit(
                world,
                f'j{number}',
                account=source.choice('xy'),
                members=source.choice((1, 1, 2, 4)),
                accelerators=source.choice((1, 2, 4, 8)),
                priority=source.choice(('normal', 'urgent', 'borrowed')),
                checkpointable=source.random() < 0.5,
            )
            if source.random() < 0.6:
                world.settle(_TICKS)
        if source.random() < 0.3:
            board.quarantined_worker_ids.add(
                source.choice(sorted(board.workers_by_id))
            )
        before = explainbuilders.dump(board)
        waiting = [view.job.id for view in placing.waiting_jobs(board)]
        explained_by_id = {
            job_id: explain(world, job_id) for job_id in waiting
        }
        self.assertEqual(before, explainbuilders.dump(board))
        phases = {
            job_id: view.phase
            for job_id, view in board.attempts_by_job_id.items()
        }
        placing.place_waiting(board, world.settings, world.now)
        stopped = {
            job_id
            for job_id, phase in phases.items()
            if board.attempts_by_job_id[job_id].phase is not phase
        }
        named = set()
        for job_id, explained in explained_by_id.items():
            self._check(board, job_id, explained)
            named |= {victim.job for victim in explained.victims}
        self.assertLessEqual(named, stopped)

    def _check(
        self,
        board: blackboard.Blackboard,
        job_id: str,
        explained: records.JobExplanation,
    ) -> None:
        (step,) = explained.steps
        placements: tuple[jobs.Placement, ...] = ()
        outcome = records.Outcome.WAITS
        if job_id in board.attempts_by_job_id:
            outcome = records.Outcome.PLACED
            placements = board.attempts_by_job_id[job_id].attempt.placements
        elif job_id in board.claims_by_job_id:
            outcome = records.Outcome.STOPS_OTHERS
            placements = board.claims_by_job_id[job_id].placements
        else:
            self.assertEqual(
                board.reasons_by_job_id.get(job_id, ''), step.waits_for.why
            )
        self.assertIs(outcome, step.outcome)
        workers = sorted({placed.worker_id for placed in placements})
        self.assertEqual(workers, step.workers)
        chosen = [each.worker for each in step.verdicts if not each.rule]
        self.assertEqual(workers, chosen)


class DaemonsTest(unittest.TestCase):
    """The command against a gateway; the scheduler of the zone answers."""

    cluster: launch.Cluster

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = launch.Cluster(['a', 'b'])
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start_platform()
        for slot in range(2):
            cls.cluster.start_worker(f'worker-{slot}', 'a', 'rack-a', slot)
        # The gateway of another zone: it asks across zones.
        cls.cluster.start_daemon('gateway-b', 'gateway', 'b')
        cls.cluster.start_daemon('scheduler-a', 'scheduler', 'a')
        launch.wait_for(
            lambda: cls.call('GET', '/readyz').status == 200, 'it is ready'
        )
        accepted = cls.cluster.submit_patch('gateway-b', _PATCH)
        assert accepted.status == 201, accepted

    @classmethod
    def call(
        cls, method: str, path: str, body: object = None
    ) -> launch.Answer:
        """Call the gateway as a client account."""
        address = cls.cluster.addresses_by_name['gateway-b']
        return launch.call(address, method, path, body, _TOKEN)

    def explain(self, *arguments: str, **environment: str) -> typing.Any:
        """Run the command; return exit code, output and errors."""
        known = {
            'PRIMROSELOCK_TOKEN': launch.OPERATOR_TOKEN,
            'PRIMROSELOCK_GATEWAY': self.cluster.addresses_by_name[
                'gateway-b'
            ],
        }
        with mock.patch.dict(os.environ, known | environment):
            return testclient.run_client('explain', *arguments)

    def explain_json(self, *arguments: str) -> typing.Any:
        """Return the answer; ask again while no holder is known."""

        def answered() -> typing.Any:
            code, out, _ = self.explain(*arguments, '--output', 'json')
            return json.loads(out) if code == errors.ExitCode.DONE else None

        return launch.wait_for(answered, 'the scheduler explains', _WAIT_S)

    def submit(self, **spec: typing.Any) -> str:
        """Submit a job of whole workers; return its id."""
        body = {'name': 'j', 'accelerators': 8, 'command': ['sleep', '60']}
        created = launch.wait_for(
            lambda: self._created({**body, **spec}), 'the job is accepted'
        )
        return str(created)

    def _created(self, body: dict[str, typing.Any]) -> str | None:
        answer = self.call('POST', '/v1/jobs', body)
        return answer.json()['id'] if answer.status == 201 else None

    def test_jobs(self) -> None:
        """One that runs, one that waits, and one that is not sent."""
        full = self.submit(members=2)

        def runs() -> bool:
            job = self.explain_json(full)['job']
            return bool(job['steps'][0]['phase'] == 'running')

        launch.wait_for(runs, 'the job runs')
        waits = self.submit()
        answer = self.explain_json(waits)
        (step,) = answer['job']['steps']
        self.assertEqual('waits', step['outcome'])
        self.assertEqual([{'rule': 'room', 'workers': 2}], step['rules'])
        self.assertEqual('scheduler-a', answer['knowledge']['node'])
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'job.json'
            path.write_text('{"name": "n", "accelerators": 8}')
            call = ('--file', str(path), '--account')
            answer = self.explain_json(*call, 'x')
            self.assertFalse(answer['job']['is_sent'])
            code, _, err = self.explain(*call, 'nobody')
            self.assertEqual(errors.ExitCode.USAGE, code, err)
            path.write_text('{"name": "n", "accelerators": 99}')
            code, _, err = self.explain(*call, 'x')
            self.assertEqual(errors.ExitCode.USAGE, code, err)
            self.assertIn('accelerators: 0 to 8', err)
        code, _, err = self.explain('none')
        self.assertEqual(errors.ExitCode.REFUSED, code, err)
        code, _, err = self.explain(waits, PRIMROSELOCK_TOKEN=_TOKEN)
        self.assertEqual(errors.ExitCode.REFUSED, code, err)
        shown = self.call('GET', '/v1/jobs').json()
        self.assertEqual({full, waits}, {job['id'] for job in shown})

    def test_the_scheduler_wants_a_token(self) -> None:
        """Guards against explanations for who reaches the status address."""
        event = self.cluster.processes_by_name['scheduler-a'].find_event(
            'listening'
        )
        assert event is not None
        path = '/v1/operators/explain/jobs/none'
        answer = launch.call(event['status'], 'GET', path)
        self.assertEqual(401, answer.status)


if __name__ == '__main__':
    unittest.main()
