"""The command ``explain`` against two node processes."""

import asyncio
import json
import pathlib
import signal
import tempfile
import typing
import unittest

from primroselock import errors
from primroselock.test import explainnodes
from standins import launch

_WORK_MS: typing.Final = 120_000
_UNUSED_ADDRESS: typing.Final = '127.0.0.1:9'
_KNOWN_S: typing.Final = 20.0


class NodesTest(unittest.IsolatedAsyncioTestCase):
    """Four workers of eight accelerators; a gang uses all of them."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.site = explainnodes.Site(pathlib.Path(folder.name))
        self.addAsyncCleanup(self.site.close)
        await self.site.start()
        self.holder, self.other = await self.site.find_roles()

    async def fill(self) -> None:
        """Let the gang ``full`` use all workers, and ``waits`` wait."""
        body = explainnodes.build_body(_WORK_MS, tasks=4)
        self.assertEqual(200, await self.site.submit('full', body))
        await self.wait_for_phase('full', 'running')
        body = explainnodes.build_body(_WORK_MS, accelerators=2)
        self.assertEqual(200, await self.site.submit('waits', body))
        await self.wait_for_phase('waits', 'waiting')

    async def wait_for_phase(self, job_id: str, phase: str) -> None:
        """Wait until the holder knows a job in a phase."""
        async with asyncio.timeout(_KNOWN_S):
            while True:
                ended = await self.site.explain(
                    self.holder, job_id, '--output', 'json'
                )
                if ended.code == 0:
                    (step,) = json.loads(ended.out)['job']['steps']
                    if step['phase'] == phase:
                        return
                await asyncio.sleep(0.1)

    async def test_a_job_by_its_id_at_any_node(self) -> None:
        """The node that is not the holder asks the holder."""
        await self.fill()
        for node in (self.holder, self.other):
            answer = await self.site.explain_json(node, 'waits')
            job = answer['job']
            self.assertEqual('waits', job['job'])
            self.assertEqual('tenant0', job['account'])
            (step,) = job['steps']
            self.assertEqual('waits', step['outcome'])
            self.assertEqual('room', step['waits_for']['rule'])
            self.assertEqual([{'rule': 'room', 'workers': 4}], step['rules'])
            self.assertEqual(
                f'front-{self.holder.number}', answer['knowledge']['node']
            )
            for name, age_s in answer['knowledge']['ages_s'].items():
                self.assertLess(age_s, _KNOWN_S, name)

    async def test_a_job_that_is_not_sent(self) -> None:
        """Urgent work would stop the gang; asking stops and sends nothing."""
        await self.fill()
        path = self.site.write_job(explainnodes.build_body(1_000))
        arguments = ('--file', path, '--account', explainnodes.ACCOUNT)
        answer = await self.site.explain_json(
            self.other, *arguments, '--queue', 'queue0'
        )
        (step,) = answer['job']['steps']
        self.assertEqual('stops others', step['outcome'])
        victims = answer['job']['victims']
        self.assertEqual(['full'], [each['job'] for each in victims])
        self.assertEqual('', answer['refused'])
        text = await self.site.explain(
            self.holder, *arguments, '--queue', 'queue1'
        )
        self.assertEqual(errors.ExitCode.DONE, text.code, text.err)
        self.assertIn('a job that is not sent', text.out)
        self.assertIn('looked at 4 workers; fell out by rule: 4 ', text.out)
        for job_id, phase in (('full', 'running'), ('waits', 'waiting')):
            answer = await self.site.explain_json(self.holder, job_id)
            (step,) = answer['job']['steps']
            self.assertEqual(phase, step['phase'])
            self.assertLessEqual(step['attempt'], 1)
        accounts = await self.list_accounts()
        self.assertEqual(32, accounts[0]['accelerators'])

    async def list_accounts(self) -> typing.Any:
        """Return what the holder says of the accounts."""
        answer = await asyncio.to_thread(
            launch.call,
            self.holder.metrics_address,
            'GET',
            '/v1/operators/accounts',
        )
        return answer.json()

    async def test_wrong_calls(self) -> None:
        """Each ends with one line and the exit code of its kind."""
        account = ('--account', explainnodes.ACCOUNT)
        good = self.site.write_job(explainnodes.build_body(1_000))
        bad = str(self.site.folder / 'bad.json')
        pathlib.Path(bad).write_text('{"spec": ', encoding='utf-8')
        odd = str(self.site.folder / 'odd.json')
        pathlib.Path(odd).write_text('{"spec": "x"}', encoding='utf-8')
        usage, refused = errors.ExitCode.USAGE, errors.ExitCode.REFUSED
        queue = ('--queue', explainnodes.QUEUE)
        cases: tuple[tuple[tuple[str, ...], errors.ExitCode, str], ...] = (
            (('unknown',), refused, 'no job that has not ended'),
            (('../accounts',), usage, 'no id of a job'),
            (('--file', bad, *account, *queue), usage, 'no JSON'),
            (('--file', odd, *account, *queue), usage, 'phases'),
            (('--file', '/nowhere', *account, *queue), usage, 'No such file'),
            (('--file', good, *queue), usage, 'expected --account'),
            (('--file', good, *account, '--queue', 'x'), usage, "queue 'x'"),
            (
                ('--file', good, '--account', 'x', *queue),
                usage,
                "account 'x'",
            ),
        )
        for arguments, code, expected in cases:
            with self.subTest(arguments):
                ended = await self.site.explain(self.other, *arguments)
                self.assertEqual(code, ended.code, ended.err)
                self.assertIn(expected, ended.err)
                self.assertEqual(1, ended.err.count('\n'), ended.err)
        ended = await explainnodes.run_client(
            'explain', 'full', '--gateway', _UNUSED_ADDRESS
        )
        self.assertEqual(errors.ExitCode.UNREACHABLE, ended.code)

    async def test_the_holder_is_gone(self) -> None:
        """The other node names it, and explains once it has taken over."""
        await self.fill()
        self.holder.send(signal.SIGKILL)
        async with asyncio.timeout(_KNOWN_S):
            while True:
                ended = await self.site.explain(self.other, 'waits')
                if ended.code == errors.ExitCode.DONE:
                    break
                self.assertEqual(errors.ExitCode.UNREACHABLE, ended.code)
                self.assertRegex(ended.err, r'^primroselock: (holder|reading)')
        answer = await self.site.explain_json(self.other, 'waits')
        self.assertEqual(
            f'front-{self.other.number}', answer['knowledge']['node']
        )

    async def test_callers_cannot_ask(self) -> None:
        """The address of the callers does not know the path."""
        await self.fill()
        answer = await asyncio.to_thread(
            launch.call,
            self.holder.address,
            'GET',
            '/v1/operators/explain/jobs/waits',
        )
        self.assertEqual(404, answer.status)


if __name__ == '__main__':
    unittest.main()
