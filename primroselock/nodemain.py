"""Entry point of a node on a platform: ``primroselock.nodemain``.

Separate from ``primroselock.main``, so that a node does not load the other
daemons and the operators' client.  The program is loaded only once signals
are handled: that takes a while on a busy VM.
"""

import argparse
import faulthandler
import os
import sys

from primroselock import errors
from primroselock import nodesignals


def build_parser(default_platform: str) -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='primroselock.nodemain',
        description='Serve callers on one node, as a standby of the shard.',
    )
    parser.add_argument(
        '--platform',
        default=default_platform,
        metavar='NAME',
        help='the adapter to use (default: %(default)s)',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings and exit',
    )
    return parser


def main(arguments: list[str]) -> errors.ExitCode:
    """Run a node; return the exit code."""
    import asyncio

    from primroselock import fleetnode
    from primroselock.platform import adapter

    parsed = build_parser(adapter.NAME).parse_args(arguments)
    try:
        if parsed.check:
            fleetnode.load(parsed.platform)
            print('valid')
        else:
            # Without this, a crash in native code leaves no traceback.
            faulthandler.enable()
            with asyncio.Runner() as runner:
                runner.run(fleetnode.run(parsed.platform))
                # Closing the loop would end its handlers of signals, and
                # join threads, which takes seconds on a busy VM.
                os._exit(errors.ExitCode.DONE)
    except errors.CommandError as error:
        for line in error.lines:
            print(f'primroselock: {line}', file=sys.stderr)
        return error.exit_code
    return errors.ExitCode.DONE


if __name__ == '__main__':
    nodesignals.prepare()
    sys.exit(main(sys.argv[1:]))
