"""Signals to a node process at any time of its life."""

import errno
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing
import unittest

from primroselock.platform import settings
from primroselock.test import fleetbuilders
from standins import launch

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
_TIMEOUT_S: typing.Final = 30.0
_SETTINGS: typing.Final = (
    fleetbuilders.BOOT_TEXT.replace('127.0.0.1:8521', '127.0.0.1:0')
    .replace('127.0.0.1:8523', '127.0.0.1:0')
    .replace('7000,7015', '0,15')
)

_SCRIPT: typing.Final = """
import os, signal, sys
from primroselock import nodesignals

class Object:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)

nodesignals.prepare()
Object()
sys.exit('the signal was lost')
"""


class NodeSignalsTest(unittest.TestCase):
    """A node whose settings file is a pipe: its start waits for them."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings'
        os.mkfifo(self.path)
        self.node = subprocess.Popen(
            [sys.executable, '-m', 'primroselock.nodemain'],
            cwd=_ROOT,
            env={**os.environ, settings.PATH_VARIABLE: str(self.path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self.addCleanup(self.end)
        self.pipe = launch.wait_for(self.open_pipe, 'the node reads settings')
        self.addCleanup(self.pipe.close)

    def end(self) -> None:
        """Kill the node."""
        self.node.kill()
        self.node.wait()
        assert self.node.stdout is not None
        self.node.stdout.close()

    def open_pipe(self) -> typing.TextIO | None:
        """Open the settings file; None while the node does not read it."""
        try:
            flags = os.O_WRONLY | os.O_NONBLOCK
            return os.fdopen(os.open(self.path, flags), 'w')
        except OSError as error:
            if error.errno != errno.ENXIO:
                raise
            return None

    def start(self) -> None:
        """Write the settings; wait until the node listens.

        A reload reads them from a file, not from the pipe.
        """
        file = self.path.with_suffix('.new')
        file.write_text(_SETTINGS, encoding='utf-8')
        file.replace(self.path)
        self.pipe.write(_SETTINGS)
        self.pipe.close()
        assert self.node.stdout is not None
        while line := self.node.stdout.readline():
            if '"listening"' in line:
                return
        self.fail(f'ended with code {self.node.wait()} before it listened')

    def test_hangup_at_the_start_does_not_end_the_node(self) -> None:
        """Found by the soak: SIGHUP ended a node that was starting."""
        self.node.send_signal(signal.SIGHUP)
        self.start()
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.node.wait(_TIMEOUT_S))

    def test_termination_at_the_start_is_a_clean_exit(self) -> None:
        """Found by seed 5 of the soak: the exit code was that of a kill."""
        self.node.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.node.wait(_TIMEOUT_S))

    def test_termination_in_a_callback_is_not_lost(self) -> None:
        """Found by seed 1 of the soak: a node went on after SIGTERM.

        It came in a callback of an import, which loses exceptions.
        """
        ended = subprocess.run(
            [sys.executable, '-c', _SCRIPT], cwd=_ROOT, check=False
        )
        self.assertEqual(0, ended.returncode)

    def test_signals_until_the_end_do_not_change_the_exit(self) -> None:
        """Found by the soak: in its last moments a signal ended the node."""
        self.start()
        self.node.send_signal(signal.SIGTERM)
        until = time.monotonic() + _TIMEOUT_S
        while self.node.poll() is None and time.monotonic() < until:
            self.node.send_signal(signal.SIGHUP)
            self.node.send_signal(signal.SIGTERM)
            time.sleep(0.001)
        self.assertEqual(0, self.node.poll())


if __name__ == '__main__':
    unittest.main()
