"""Plays days on which orders come late, and prints what they cost.

``python -m tools.lateorders --seeds 3 --first 1 --share 0.15`` plays the
simulated fleet in virtual time (see ``latebuilders``): the share of the
orders and polls that get no answer, and are carried out later.  A share of 0
shows the same days without the fault.
"""

import argparse
import os
import sys
import typing

import structlog

from primroselock.test import latebuilders

_HASH_SEED: typing.Final = '0'


def _drop(
    logger: typing.Any, name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    raise structlog.DropEvent


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=3)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--share', type=float, default=0.15)
    parser.add_argument('--demand', type=float, default=0.6)
    parser.add_argument('--workers', type=int, default=24)
    return parser.parse_args()


def main() -> int:
    """Play the seeds; return 1 if a fake worker saw a violation."""
    arguments = _parse_arguments()
    if os.environ.get('PYTHONHASHSEED') != _HASH_SEED:
        # The order of sets must not change the play of a seed.
        environment = {**os.environ, 'PYTHONHASHSEED': _HASH_SEED}
        command = [sys.executable, '-m', 'tools.lateorders', *sys.argv[1:]]
        os.execve(sys.executable, command, environment)
    structlog.configure(processors=[_drop])
    broken = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        outcome = latebuilders.play(
            latebuilders.Day(
                arguments.share,
                seed,
                arguments.workers,
                arguments.demand,
            )
        )
        broken += bool(outcome.violations)
        print(f'seed {seed}: {outcome.describe()}', flush=True)
        for violation in outcome.violations[:3]:
            print(f'  {violation}', flush=True)
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
