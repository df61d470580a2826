"""Calls that ask a node for an explanation: who answers, and when nobody."""

import asyncio
from collections import abc
import json
import typing
import unittest
from unittest import mock

import result
from starlette import requests

from primroselock import clock
from primroselock.decisions.explaining import explanation
from primroselock.decisions.explaining import records
from primroselock import explaincalls
from primroselock import forwarding
from primroselock import holderexplanations
from primroselock import jobgraph
from primroselock import operatorviews
from primroselock.platform import clientapi
from primroselock.test import boundbuilders
from primroselock.test import fleetbuilders

_OTHER: typing.Final = holderexplanations.NotHolder(
    'entry-9', '127.0.0.1:9', is_reading=False
)


class FixedSource:
    """Answers each call in the same way; it notes what is asked."""

    def __init__(
        self,
        problem: holderexplanations.Unexplained | holderexplanations.NotHolder,
    ) -> None:
        self.problem = problem
        self.busy: holderexplanations.Unexplained | None = None
        self.asked: list[str | jobgraph.JobGraph] = []

    def find_busy(self) -> holderexplanations.Unexplained | None:
        """Return the problem that is set."""
        return self.busy

    async def explain(
        self, job: str | jobgraph.JobGraph
    ) -> result.Result[
        records.Answer,
        holderexplanations.Unexplained | holderexplanations.NotHolder,
    ]:
        """Return the problem."""
        self.asked.append(job)
        return result.Err(self.problem)


def read_nothing(
    body: bytes, account: str, queue: str, max_steps: int
) -> result.Result[jobgraph.JobGraph, str]:
    """Refuse each job."""
    return result.Err('expected something else')


def build_request(
    method: str = 'GET',
    path: str = '/j',
    headers: tuple[tuple[bytes, bytes], ...] = (),
    body: bytes = b'',
) -> requests.Request:
    """Return a request to a path below that of explanations."""

    async def receive() -> typing.Any:
        return {'type': 'http.request', 'body': body, 'more_body': False}

    scope = {
        'type': 'http',
        'method': method,
        'path': f'{explaincalls.PATH}{path}',
        'query_string': b'',
        'headers': list(headers),
        'server': ('127.0.0.1', 1),
        'scheme': 'http',
    }
    return requests.Request(scope, receive)


class CallsTest(unittest.IsolatedAsyncioTestCase):
    """Answers of a node that cannot explain itself."""

    async def ask(
        self,
        problem: holderexplanations.Unexplained | holderexplanations.NotHolder,
        **call: typing.Any,
    ) -> tuple[int, str, str]:
        """Return status, code and message of the answer to a call."""
        calls = explaincalls.ExplainCalls(
            fleetbuilders.build_node_settings(),
            FixedSource(problem),
            read_nothing,
        )
        answer = await calls.answer(build_request(**call))
        error = json.loads(bytes(answer.body))['error']
        return answer.status_code, error['code'], error['message']

    async def test_a_holder_that_is_not_reached_is_named(self) -> None:
        """Guards against an operator who does not know whom to ask."""
        status, code, message = await self.ask(_OTHER)
        self.assertEqual((503, 'holder'), (status, code))
        self.assertIn('entry-9 holds the shard', message)

    async def test_a_call_is_handed_on_once(self) -> None:
        """Guards against two nodes that each take the other for the holder."""
        status, code, message = await self.ask(
            _OTHER, headers=((b'primroselock-forwarded', b'1'),)
        )
        self.assertEqual((503, 'holder'), (status, code))
        self.assertIn('does not hold the shard', message)

    async def test_nobody_is_known(self) -> None:
        """A shard that never had a holder, or one of an earlier build."""
        status, code, message = await self.ask(
            holderexplanations.NotHolder('', '', is_reading=False)
        )
        self.assertEqual((503, 'holder'), (status, code))
        self.assertIn('nobody', message)

    async def test_a_successor_that_reads(self) -> None:
        """Guards against an explanation from half a board."""
        status, code, _ = await self.ask(
            holderexplanations.NotHolder('entry-1', '', is_reading=True)
        )
        self.assertEqual((503, 'reading'), (status, code))

    async def test_problems(self) -> None:
        """Each has its status."""
        for why, status in (
            (holderexplanations.Problem.BUSY, 503),
            (holderexplanations.Problem.INVALID, 400),
            (holderexplanations.Problem.NOT_KNOWN, 404),
            (holderexplanations.Problem.TOO_LARGE, 503),
        ):
            found = await self.ask(holderexplanations.Unexplained(why, 'd'))
            self.assertEqual((status, why.value, 'd'), found)

    async def test_a_job_that_cannot_be_read(self) -> None:
        """It is told why, and nobody is asked."""
        found = await self.ask(_OTHER, method='POST', path='', body=b'{')
        self.assertEqual((400, 'bad-job', 'expected something else'), found)
        found = await self.ask(_OTHER, method='DELETE')
        self.assertEqual(405, found[0])

    async def test_a_large_body(self) -> None:
        """Guards against a body without end."""
        status, _, _ = await self.ask(
            _OTHER, method='POST', path='', body=b' ' * (256 * 1024 + 1)
        )
        self.assertEqual(413, status)


class PathsTest(unittest.IsolatedAsyncioTestCase):
    """Ids with characters that mean something in a URL."""

    def setUp(self) -> None:
        self.source = FixedSource(_OTHER)
        self.calls = explaincalls.ExplainCalls(
            fleetbuilders.build_node_settings(), self.source, read_nothing
        )

    async def test_ids_are_kept(self) -> None:
        """Guards against an id that is asked for in its escaped form."""
        for job_id, target in (
            ('a?b', '/a%3Fb'),
            ('a#b', '/a%23b'),
            ('a b%', '/a%20b%25'),
            ('a/b', '/a%2Fb'),
            ('é', '/%C3%A9'),
        ):
            with (
                self.subTest(job_id),
                mock.patch.object(
                    forwarding,
                    'hand_on',
                    autospec=True,
                    return_value=result.Err('none'),
                ) as hand_on,
            ):
                await self.calls.answer(build_request(path=f'/{job_id}'))
                self.assertEqual(job_id, self.source.asked[-1])
                self.assertEqual(
                    f'{explaincalls.PATH}{target}',
                    hand_on.call_args.args[1].path,
                )

    async def test_what_is_below_the_path(self) -> None:
        """Guards against another path that begins in the same way."""
        views: typing.Any = operatorviews.OperatorViews(
            mock.Mock(), lambda: 'metrics', self.calls
        )
        for path, is_asked in (('/j', True), ('x', False), ('x/j', False)):
            with self.subTest(path):
                self.source.asked.clear()
                request = build_request(path=path)
                send = mock.AsyncMock()
                await views(request.scope, request.receive, send)
                self.assertEqual(is_asked, bool(self.source.asked))


class BodiesTest(unittest.IsolatedAsyncioTestCase):
    """What a body may cost a node that has other work."""

    def setUp(self) -> None:
        self.settings = fleetbuilders.build_node_settings()
        self.source = FixedSource(_OTHER)
        self.read_job = mock.Mock(wraps=clientapi.read_job)

    async def ask(self, body: bytes) -> tuple[int, str, str]:
        """Return status, code and message of the answer to a job."""
        calls = explaincalls.ExplainCalls(
            self.settings, self.source, self.read_job
        )
        request = build_request('POST', '', body=body)
        answer = await calls.answer(request)
        error = json.loads(bytes(answer.body))['error']
        return answer.status_code, error['code'], error['message']

    async def test_more_steps_than_a_job_may_have_tasks(self) -> None:
        """Guards against a small body that becomes many objects."""
        steps = self.settings.fleet.max_job_tasks + 1
        phases = ','.join(['{}'] * steps)
        body = f'{{"spec":"s","phases":[{phases}]}}'.encode()
        with mock.patch.object(
            clientapi, '_decode_body', wraps=clientapi._decode_body
        ) as decode:
            status, code, message = await self.ask(body)
            self.assertEqual((400, 'bad-job'), (status, code))
            self.assertIn(f'{steps} steps', message)
            decode.assert_not_called()
        self.assertEqual([], self.source.asked)

    async def test_a_busy_holder_reads_no_job(self) -> None:
        """Guards against bodies that are read beside an explanation."""
        self.source.busy = holderexplanations.Unexplained(
            holderexplanations.Problem.BUSY, 'd', 2.0
        )
        found = await self.ask(b'{"spec":"s","phases":[{}]}')
        self.assertEqual((503, 'busy', 'd'), found)
        self.read_job.assert_not_called()


class HolderTest(unittest.TestCase):
    """Nodes on fakes: the holder explains, a standby names it."""

    def test_holder_and_standby(self) -> None:
        """The standby knows the holder and its address by the epoch row."""

        async def scenario(world: fleetbuilders.World) -> None:
            standby = world.add_node('entry-2')
            boundbuilders.submit(world, 'j', 2)
            await asyncio.sleep(1.0)
            holder = world.find_shard_holder()
            if standby is holder:
                standby = world.nodes[0]
            explained = await holder.holder.explain('j')
            answer = explained.unwrap()
            self.assertEqual(
                holder.settings.process.vm_id, answer.knowledge.node
            )
            self.assertEqual('running', answer.job.steps[0].phase)
            self.assertLess(max(answer.knowledge.ages_s.values()), 1.5)
            self.assertEqual(1, answer.knowledge.epoch)
            known = (await standby.holder.explain('j')).unwrap_err()
            assert isinstance(known, holderexplanations.NotHolder)
            self.assertEqual(holder.settings.process.vm_id, known.holder)
            self.assertEqual(holder.settings.fleet.metrics_bind, known.address)

        fleetbuilders.run_with_node(scenario)

    def test_explanations_take_their_turn(self) -> None:
        """Guards against operators who keep the holder from deciding."""

        async def scenario(world: fleetbuilders.World) -> None:
            boundbuilders.submit(world, 'j', 40)
            await asyncio.sleep(1.0)
            holder = world.find_shard_holder().holder
            with mock.patch.object(holderexplanations, '_MAX_SLICE_S', -1.0):
                first = asyncio.create_task(holder.explain('j'))
                await asyncio.sleep(0)
                second = (await holder.explain('j')).unwrap_err()
                self.assertTrue((await first).is_ok())
            assert isinstance(second, holderexplanations.Unexplained)
            self.assertIs(holderexplanations.Problem.BUSY, second.why)
            self.assertTrue((await holder.explain('j')).is_ok())

        fleetbuilders.run_with_node(scenario)


class ShareTest(unittest.TestCase):
    """Explanations that take time, on a clock that a slice advances."""

    def test_they_take_a_tenth_of_the_time(self) -> None:
        """Guards against a pause that does not follow from the time taken."""

        async def scenario(world: fleetbuilders.World) -> None:
            boundbuilders.submit(world, 'j', 2)
            await asyncio.sleep(1.0)
            holder = world.find_shard_holder().holder
            taken_s = 0.0
            monotonic = clock.monotonic
            run = explanation.Explainer.run

            def run_slowly(
                explainer: explanation.Explainer,
            ) -> abc.Iterator[None]:
                nonlocal taken_s
                taken_s += 0.5
                yield from run(explainer)

            with (
                mock.patch.object(explanation.Explainer, 'run', run_slowly),
                mock.patch.object(
                    clock, 'monotonic', lambda: monotonic() + taken_s
                ),
            ):
                self.assertTrue((await holder.explain('j')).is_ok())
                busy = (await holder.explain('j')).unwrap_err()
                assert isinstance(busy, holderexplanations.Unexplained)
                self.assertIs(holderexplanations.Problem.BUSY, busy.why)
                self.assertIn('did so just now', busy.detail)
                assert busy.retry_after_s is not None
                self.assertAlmostEqual(4.5, busy.retry_after_s, 2)
                await asyncio.sleep(4.4)
                self.assertTrue((await holder.explain('j')).is_err())
                await asyncio.sleep(0.2)
                self.assertTrue((await holder.explain('j')).is_ok())

        fleetbuilders.run_with_node(scenario)


if __name__ == '__main__':
    unittest.main()
