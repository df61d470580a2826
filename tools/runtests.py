"""Runs the tests: those named as arguments, by default all.

Hypothesis is derandomized, so that two runs try the same examples.  The
tests listed in KNOWN-RED.txt run too; their failures are printed but do
not fail the run.  Any other failure does.
"""

import pathlib
import sys
import typing
import unittest

import hypothesis

_ROOT: typing.Final = pathlib.Path(__file__).resolve().parent.parent
_KNOWN_RED: typing.Final = _ROOT / 'KNOWN-RED.txt'


def read_known_red() -> frozenset[str]:
    """Return the test ids that KNOWN-RED.txt lists as ``test: ID``."""
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def main() -> int:
    """Run the tests; return 1 if an unlisted one fails or none has run."""
    hypothesis.settings.register_profile(
        'ci',
        derandomize=True,
        deadline=None,
        database=None,
        # A slow machine must not fail a test.
        suppress_health_check=[hypothesis.HealthCheck.too_slow],
    )
    hypothesis.settings.load_profile('ci')
    names = sys.argv[1:]
    loader = unittest.TestLoader()
    if names:
        suite = loader.loadTestsFromNames(names)
    else:
        suite = loader.discover(
            str(_ROOT / 'primroselock' / 'test'), 'test*.py', str(_ROOT)
        )
    outcome = unittest.TextTestRunner(verbosity=2).run(suite)
    known_red = read_known_red()
    failed = [test.id() for test, _ in [*outcome.failures, *outcome.errors]]
    known = [name for name in failed if name in known_red]
    unexpected = [name for name in failed if name not in known_red]
    for name in known:
        print(f'known red: {name}')
    skipped = len(outcome.skipped)
    passed = max(0, outcome.testsRun - len(failed) - skipped)
    print(f'{passed} passed, {len(unexpected)} failed, {skipped} skipped')
    return 1 if unexpected or not outcome.testsRun else 0


if __name__ == '__main__':
    sys.exit(main())
