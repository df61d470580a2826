"""Runs the soak of whole nodes in virtual time for many seeds.

``python -m tools.soak --seeds 50 --first 1`` prints each violation with its
seed.  ``--wide`` adds kinds of faults and of jobs, so that a seed has another
play.  ``--orders`` adds series of orders that are carried out late beside
refusals of starts, to the same plays, ``--restarts`` series of workers that
start again beside such orders, ``--crashing`` jobs that crash the workers
that start them, ``--bounds`` workers that come back as others, with a
bound on each step, ``--drains`` workers that drain, leave and start again,
``--quotas`` quotas of the accounts that change, ``--accounts`` floods of one
account beside weights that change, ``--uneven`` workers of different speeds
and bursts of urgent gangs, ``--outages`` outages of the store in which
holders are killed, and ``--configurations``
versions of the configuration that are large for the nodes' links, beside
faults of the store and of the links.
``--trace`` adds why the holder did not place the job, and the faults;
``--log DIRECTORY`` writes the nodes' log of each seed with virtual times.
"""

import argparse
import os
import pathlib
import sys
import typing

import structlog

from primroselock import clock
from primroselock.test import idlecapacity
from primroselock.test import idletrace
from primroselock.test import soakbuilders

_HASH_SEED: typing.Final = '0'
_FAULT_LINES: typing.Final = 30
"""Lines about the latest faults that a trace shows."""


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--trace', action='store_true')
    parser.add_argument('--wide', action='store_true')
    parser.add_argument('--orders', action='store_true')
    parser.add_argument('--crashing', action='store_true')
    parser.add_argument('--restarts', action='store_true')
    parser.add_argument('--bounds', action='store_true')
    parser.add_argument('--drains', action='store_true')
    parser.add_argument('--configurations', action='store_true')
    parser.add_argument('--quotas', action='store_true')
    parser.add_argument('--accounts', action='store_true')
    parser.add_argument('--uneven', action='store_true')
    parser.add_argument('--outages', action='store_true')
    parser.add_argument('--log', type=pathlib.Path)
    return parser.parse_args()


def _add_time(
    logger: typing.Any, name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    event['at'] = round(clock.monotonic(), 3)
    return event


def _configure_log(output: typing.TextIO | None) -> None:
    """Log to ``output`` without a rate limit, or not at all."""
    if output is None:
        structlog.configure(processors=[_drop])
        return
    structlog.configure(
        processors=[_add_time, structlog.processors.JSONRenderer()],
        logger_factory=structlog.PrintLoggerFactory(output),
    )


def _drop(
    logger: typing.Any, name: str, event: structlog.typing.EventDict
) -> structlog.typing.EventDict:
    raise structlog.DropEvent


def _trace(soak: soakbuilders.Soak) -> None:
    """Print an explanation at each violation of a run."""

    def explain(violation: idlecapacity.Violation) -> None:
        print(violation)
        for line in idletrace.explain(soak.world, violation):
            print(f'  {line}')
        for line in soak.log.lines[-_FAULT_LINES:]:
            print(f'  {line}')

    soak.check.on_violation = explain


def _run(seed: int, arguments: argparse.Namespace) -> soakbuilders.Outcome:
    examine = _trace if arguments.trace else lambda soak: None
    forms = (
        arguments.wide,
        arguments.orders,
        arguments.crashing,
        arguments.restarts,
        arguments.bounds,
        arguments.drains,
        arguments.configurations,
        arguments.quotas,
        arguments.accounts,
        arguments.uneven,
        arguments.outages,
    )
    if arguments.log is None:
        _configure_log(None)
        return soakbuilders.run(seed, examine, *forms)
    path = arguments.log / f'soak-{seed}.log'
    with path.open('w', encoding='utf-8') as output:
        _configure_log(output)
        return soakbuilders.run(seed, examine, *forms)


def main() -> int:
    """Run the seeds; return 1 if one of them has a problem."""
    arguments = _parse_arguments()
    if os.environ.get('PYTHONHASHSEED') != _HASH_SEED:
        # The order of sets must not change the play of a seed.
        environment = {**os.environ, 'PYTHONHASHSEED': _HASH_SEED}
        command = [sys.executable, '-m', 'tools.soak', *sys.argv[1:]]
        os.execve(sys.executable, command, environment)
    broken = lapsed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        outcome = _run(seed, arguments)
        broken += bool(outcome.problems)
        lapsed += outcome.lapsed
        for problem in outcome.problems:
            print(f'seed {seed}: {problem}', flush=True)
    if arguments.outages:
        print(f'{lapsed} runs lapsed')
    print(f'{arguments.seeds} seeds, {broken} with problems')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
