"""No daemon starts a child process, and the demo ends those it started."""

import ast
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing
import unittest
from unittest import mock

from standins import launch
from tools import binary
from tools import demo

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent.parent
_STARTING_MODULES: typing.Final = frozenset(
    {'subprocess', 'multiprocessing', 'concurrent.futures.process', 'pty'}
)
_STARTING_CALLS: typing.Final = frozenset(
    {
        'ProcessPoolExecutor',
        'create_subprocess_exec',
        'create_subprocess_shell',
        'fork',
        'forkpty',
        'popen',
        'posix_spawn',
        'posix_spawnp',
        'system',
    }
)

_CHILD_SCRIPT: typing.Final = """
import os, subprocess
from tools import demo
print(demo.had_children(os.getpid()), end=" ")
subprocess.run(["true"], check=True)
print(demo.had_children(os.getpid()))
"""


def find_process_starts(source: str) -> set[str]:
    """Return the names in ``source`` that can start a process."""
    found: set[str] = set()
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names} & _STARTING_MODULES
        elif isinstance(node, ast.ImportFrom):
            names = {f'{node.module}.{alias.name}' for alias in node.names}
            found |= (names | {node.module or ''}) & _STARTING_MODULES
        elif isinstance(node, ast.Attribute):
            found |= {node.attr} & _STARTING_CALLS
        elif isinstance(node, ast.Name):
            found |= {node.id} & _STARTING_CALLS
    return found


def is_running(pid: int) -> bool:
    """Return whether a process exists and is no zombie."""
    try:
        text = pathlib.Path(f'/proc/{pid}/stat').read_text(encoding='ascii')
    except OSError:
        return False
    return text.rpartition(')')[2].split()[0] != 'Z'


class NoChildTest(unittest.TestCase):
    """No module of the program can start a process.

    The source is searched for modules and calls that start one.
    """

    def test_process_starts_are_found(self) -> None:
        for source in (
            'import subprocess',
            'from concurrent.futures import process',
            'import os\nos.fork()',
            'asyncio.create_subprocess_exec("ls")',
        ):
            with self.subTest(source):
                self.assertTrue(find_process_starts(source))

    def test_no_module_can_start_a_process(self) -> None:
        modules = [
            path
            for path in (_ROOT / 'primroselock').rglob('*.py')
            if 'test' not in path.relative_to(_ROOT).parts
        ]
        self.assertGreater(len(modules), 10)
        for path in modules:
            with self.subTest(path.name):
                source = path.read_text(encoding='utf-8')
                self.assertEqual(set(), find_process_starts(source))

    def test_ended_child_is_detected(self) -> None:
        """``had_children`` also reports a child that has already ended."""
        done = subprocess.run(
            [sys.executable, '-c', _CHILD_SCRIPT],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual('False True', done.stdout.strip())


class BinaryTest(unittest.TestCase):
    """A daemon started from the zipapp has no child processes."""

    def test_daemon_of_the_binary(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'primroselock'
            binary.build(path)
            unpack = {'PRIMROSELOCK_UNPACK_DIR': f'{folder}/unpacked'}
            with (
                mock.patch.dict(os.environ, unpack),
                launch.Cluster(['a'], str(path)) as cluster,
            ):
                cluster.start_platform()
                started = cluster.start_daemon('gateway-a', 'gateway', 'a')
                self.assertEqual([], demo.list_children(started.pid))
                self.assertFalse(demo.had_children(started.pid))
                started.send_signal(signal.SIGTERM)
                self.assertEqual(0, started.wait())


class DemoTest(unittest.TestCase):
    """An interrupted demo ends all the processes that it started."""

    def run_and_signal(self, number: signal.Signals, children: int) -> int:
        """Send a signal to the demo once it has ``children`` processes.

        Returns the exit code; fails if one of them still runs 5 s later.
        """
        started = subprocess.Popen(
            [sys.executable, '-m', 'tools.demo'],
            cwd=_ROOT,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        self.addCleanup(started.kill)
        pids = launch.wait_for(
            lambda: self.list_if_enough(started.pid, children),
            f'the demo has started {children} processes',
        )
        os.kill(started.pid, number)
        code = started.wait(20.0)
        deadline = time.monotonic() + 5.0
        while any(map(is_running, pids)) and time.monotonic() < deadline:
            time.sleep(0.02)
        left = [pid for pid in pids if is_running(pid)]
        for pid in left:
            os.kill(pid, signal.SIGKILL)
        self.assertEqual([], left)
        return code

    def list_if_enough(self, pid: int, children: int) -> list[int] | None:
        """Return the child processes of the demo if there are enough."""
        found = demo.list_children(pid)
        return found if len(found) >= children else None

    def test_interrupt_leaves_no_process(self) -> None:
        self.assertEqual(130, self.run_and_signal(signal.SIGINT, 1))
        self.assertEqual(130, self.run_and_signal(signal.SIGINT, 9))

    def test_terminate_leaves_no_process(self) -> None:
        self.assertEqual(143, self.run_and_signal(signal.SIGTERM, 4))


if __name__ == '__main__':
    unittest.main()
