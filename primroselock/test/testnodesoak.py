"""A short soak of node processes with callers, signals and faults.

Seeds that break for a known fault have tests of their own, listed in
KNOWN-RED.txt; the seeds are consecutive and none is left out.
"""

import pathlib
import subprocess
import sys
import typing
import unittest

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parents[2]
_TIMEOUT_S: typing.Final = 90


class NodeSoakTest(unittest.TestCase):
    """The command, as it is run by hand."""

    def test_seed_1(self) -> None:
        """What callers and workers saw of a seed keeps every promise."""
        options = ('--seeds', '1', '--first', '1', '--seconds', '15')
        ended = subprocess.run(
            [sys.executable, '-m', 'tools.nodesoak', *options],
            cwd=_ROOT,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        self.assertEqual(0, ended.returncode, ended.stdout + ended.stderr)


if __name__ == '__main__':
    unittest.main()
