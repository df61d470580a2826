"""Output and exit codes of the operators' command-line client."""

import contextlib
import io
import json
import os
import shlex
import unittest
from unittest import mock

from primroselock import cli
from primroselock import errors
from primroselock import main
from primroselock import patchcommands
from primroselock.test import datacases
from standins import launch

_UNUSED_ADDRESS = '127.0.0.1:9'


def run_client(*arguments: str) -> tuple[int, str, str]:
    """Run a command; return exit code, standard output and error."""
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        try:
            code = int(main.main(list(arguments)))
        except SystemExit as ended:
            code = int(ended.code or 0)
    return code, out.getvalue(), err.getvalue()


class FormatTest(unittest.TestCase):
    """Formats of tables and fields; examples in the help texts."""

    def test_tables(self) -> None:
        for case in datacases.load('client.test'):
            with self.subTest(case.name):
                given = json.loads(case.given)
                if isinstance(given, list):
                    found = cli.format_table(given)
                else:
                    found = cli.format_fields(given)
                self.assertEqual(case.expected, found)

    def test_unconfirmed(self) -> None:
        for case in datacases.load('confirmations.test'):
            with self.subTest(case.name):
                found = patchcommands.find_unconfirmed(json.loads(case.given))
                self.assertEqual(case.expected, '\n'.join(found))

    def test_every_example_parses(self) -> None:
        parser = main.build_parser()
        for entry in cli.commands_by_name.values():
            self.assertTrue(entry.examples, entry)
            for example in entry.examples.splitlines():
                words = shlex.split(example.split('<')[0].split('>')[0])
                with self.subTest(example):
                    parsed = parser.parse_args(words)
                    self.assertIs(entry, parsed.client_command)
                    code, out, _ = run_client(*words, '--help')
                    self.assertEqual(errors.ExitCode.DONE, code)
                    self.assertIn(f'primroselock {example}', out)


class ExitCodeTest(unittest.TestCase):
    """Exit codes: 0 done, 1 refused, 2 usage, 3 unreachable or unknown."""

    cluster: launch.Cluster

    @classmethod
    def setUpClass(cls) -> None:
        cls.cluster = launch.Cluster(['a'])
        cls.addClassCleanup(cls.cluster.close)
        cls.cluster.start_platform()
        cls.cluster.start_daemon('gateway-a', 'gateway', 'a')
        cls.cluster.start_worker('worker-a-0', 'a', 'rack-a', 0)
        environment = {
            'PRIMROSELOCK_TOKEN': launch.OPERATOR_TOKEN,
            'PRIMROSELOCK_GATEWAY': cls.cluster.addresses_by_name['gateway-a'],
        }
        patcher = mock.patch.dict(os.environ, environment)
        patcher.start()
        cls.addClassCleanup(patcher.stop)
        launch.wait_for(
            lambda: run_client('status')[0] == 0, 'the gateway answers'
        )

    def submit(self, text: str, *options: str) -> tuple[int, str, str]:
        """Submit a patch on standard input; return as ``run_client``."""
        with mock.patch('sys.stdin', io.StringIO(text)):
            return run_client(
                'patch', 'submit', '-', *options, '--output', 'json'
            )

    def test_wrong_usage_is_2(self) -> None:
        for arguments in (
            ['patch'],
            ['zone', 'out'],
            ['status', '--output', 'xml'],
            ['status', '--gateway', 'localhost'],
            ['patch', 'submit', '/nowhere/patch.ini'],
            ['job', 'show', '../audit'],
        ):
            with self.subTest(arguments):
                code, _, err = run_client(*arguments)
                self.assertEqual(errors.ExitCode.USAGE, code, err)

    def test_unreachable_gateway_is_3_in_one_line(self) -> None:
        code, out, err = run_client('status', '--gateway', _UNUSED_ADDRESS)
        self.assertEqual(errors.ExitCode.UNREACHABLE, code)
        self.assertEqual('', out)
        self.assertEqual(1, err.count('\n'), err)
        self.assertIn(_UNUSED_ADDRESS, err)

    def test_platform_unavailable_is_3(self) -> None:
        self.cluster.set_fault('a', 'down')
        code, _, err = run_client('patch', 'log')
        self.cluster.set_fault('a', 'none')
        self.assertEqual(errors.ExitCode.UNREACHABLE, code, err)

    def test_faulty_patch_is_2_and_writes_nothing(self) -> None:
        before = run_client('patch', 'show', '--output', 'json')[1]
        text = '[zone a]\nracks = some\ncolour = red\n'
        code, _, err = self.submit(text)
        self.assertEqual(errors.ExitCode.USAGE, code)
        self.assertIn("[zone a] racks = 'some': expected", err)
        self.assertIn("[zone a] colour = 'red': expected", err)
        after = run_client('patch', 'show', '--output', 'json')[1]
        self.assertEqual(before, after)

    def test_refused_is_1(self) -> None:
        code, _, err = self.submit('[zone a]\nracks = 1\n', '--base', '999')
        self.assertEqual(errors.ExitCode.REFUSED, code)
        self.assertIn('current version', err)
        code, _, err = run_client('job', 'show', 'none')
        self.assertEqual(errors.ExitCode.REFUSED, code)
        with mock.patch.dict(os.environ, {'PRIMROSELOCK_TOKEN': 'other'}):
            code, _, err = run_client('worker', 'list')
        self.assertEqual(errors.ExitCode.REFUSED, code)
        self.assertIn('unauthorized', err)

    def test_done_is_0(self) -> None:
        text = '[zone a]\nracks = 1\n[account signs]\nguarantee.a = 8:1\n'
        code, out, err = self.submit(text)
        self.assertEqual(errors.ExitCode.DONE, code, err)
        version = json.loads(out)['version']
        code, out, _ = run_client('zone', 'out', 'a', '--output', 'json')
        self.assertEqual(version + 1, json.loads(out)['version'])
        launch.wait_for(self.lists_worker, 'the worker is listed')
        code, out, _ = run_client('account', 'list', '--output', 'json')
        self.assertEqual({'8': 1}, json.loads(out)[0]['guarantee'])
        for words in (['job', 'list'], ['audit'], ['patch', 'log']):
            with self.subTest(words):
                code, out, err = run_client(*words)
                self.assertEqual(errors.ExitCode.DONE, code, err)

    def test_revert_restores_what_diff_shows(self) -> None:
        before = run_client('patch', 'show')[1].splitlines()
        old = int(before[0].removeprefix('; version '))
        _, out, _ = self.submit('[service desk]\nslots = 3\n')
        new = json.loads(out)['version']
        code, out, err = run_client('patch', 'diff', str(new), str(old))
        self.assertEqual(errors.ExitCode.DONE, code, err)
        self.assertIn('[service desk]\nremove = true', out)
        code, out, err = run_client('patch', 'revert', str(old), '--wait')
        self.assertEqual(errors.ExitCode.DONE, code, err)
        self.assertEqual(
            before[1:], run_client('patch', 'show')[1].splitlines()[1:]
        )

    def test_wait_names_unresponsive_process(self) -> None:
        self.cluster.addresses_by_name['gateway-gone'] = ''
        self.cluster.register_vm('gateway-gone', 'gateway', 'b')
        launch.wait_for(
            lambda: 'gateway-gone' in run_client('status')[1],
            'the unresponsive gateway is listed',
        )
        code, out, err = self.submit('[service desk]\nslots = 4\n', '--wait')
        self.cluster.platform_call('/admin/vms', {'remove': ['gateway-gone']})
        self.assertEqual(errors.ExitCode.UNREACHABLE, code)
        self.assertIn('gateway gateway-gone in b (silent)', err)
        self.assertIn('version', json.loads(out))
        launch.wait_for(
            lambda: 'gateway-gone' not in run_client('status')[1],
            'the unresponsive gateway is no longer listed',
        )

    def lists_worker(self) -> bool:
        """Return whether the one worker is listed as idle."""
        code, out, _ = run_client('worker', 'list', '--output', 'json')
        rows = json.loads(out)
        return code == 0 and [row['tasks'] for row in rows] == [0]


if __name__ == '__main__':
    unittest.main()
