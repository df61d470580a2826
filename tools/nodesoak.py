"""Runs the soak of node processes for many seeds.

``python -m tools.nodesoak --seeds 50 --first 1`` prints each problem with its
seed, and the directory with the logs of that seed.  ``--nodes`` sets the
number of node processes, which is otherwise drawn from the seed.  ``--orders``
adds starts that are carried out late beside refusals of starts, ``--crashing``
jobs that crash the workers that start them, ``--drains`` workers that drain,
leave and start again, ``--abandoned`` callers that give up jobs whose
submission has no clear outcome.
"""

import argparse
import pathlib
import shutil
import signal
import sys
import tempfile

from primroselock.test import nodesoak
from primroselock.test import nodesoakchecks
from primroselock.test import nodesoakplans


def _parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seeds', type=int, default=50)
    parser.add_argument('--first', type=int, default=1)
    parser.add_argument('--nodes', type=int)
    parser.add_argument('--orders', action='store_true')
    parser.add_argument('--seconds', type=float, default=25.0)
    parser.add_argument('--crashing', action='store_true')
    parser.add_argument('--drains', action='store_true')
    parser.add_argument('--abandoned', action='store_true')
    parser.add_argument('--log', type=pathlib.Path)
    return parser.parse_args()


def _run(plan: nodesoakplans.Plan, folder: pathlib.Path) -> list[str]:
    record = nodesoak.run(plan, folder)
    attempts = [made for job in record.jobs for made in job.attempts]
    accepted = sum(job.is_accepted for job in record.jobs)
    cut = sum(attempt.how == 'cut' for attempt in attempts)
    print(
        f'seed {plan.seed}: {plan.nodes} nodes, {len(plan.events)} events, '
        f'{len(attempts)} requests, {cut} cut, {accepted} of '
        f'{len(record.jobs)} jobs accepted, {len(record.intervals)} runs',
        flush=True,
    )
    return nodesoakchecks.list_problems(record)


def main() -> int:
    """Run the seeds; return 1 if one of them has a problem."""
    arguments = _parse_arguments()
    # The nodes must not outlive this process.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    root = arguments.log or pathlib.Path(tempfile.mkdtemp(prefix='nodesoak-'))
    broken = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        folder = root / f'seed-{seed}'
        plan = nodesoakplans.draw_plan(
            seed,
            arguments.nodes,
            arguments.seconds,
            arguments.orders,
            arguments.crashing,
            arguments.drains,
            arguments.abandoned,
        )
        problems = _run(plan, folder)
        for problem in problems:
            print(f'seed {seed}: {problem}', flush=True)
        if problems:
            broken += 1
            print(f'seed {seed}: logs kept in {folder}', flush=True)
        elif not arguments.log:
            shutil.rmtree(folder)
    print(f'{arguments.seeds} seeds, {broken} with problems')
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
