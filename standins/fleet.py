"""Stand-in for many workers: one process with one port per worker.

Workers are named ``PREFIX-0`` and so on, with eight per rack.  Each logs its
own ``listening`` event.
"""

import argparse
import asyncio
import typing

from standins import worker

_WORKERS_PER_RACK: typing.Final = 8


async def run(parsed: argparse.Namespace) -> None:
    """Serve all workers until the process is terminated."""
    workers = [
        _build_arguments(parsed, index) for index in range(parsed.workers)
    ]
    await asyncio.gather(*(worker.run(arguments) for arguments in workers))


def _build_arguments(
    parsed: argparse.Namespace, index: int
) -> argparse.Namespace:
    rack, slot = divmod(index, _WORKERS_PER_RACK)
    return worker.build_parser().parse_args(
        [
            '--id',
            f'{parsed.prefix}-{index}',
            '--rack',
            f'{parsed.prefix}-rack-{rack}',
            '--slot',
            str(slot),
        ]
    )


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--workers', type=int, required=True)
    parser.add_argument('--prefix', default='worker')
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
