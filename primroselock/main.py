"""Command line of the program: the daemons and the command-line client."""

import argparse
import asyncio
from collections import abc
import faulthandler
import sys
import typing

from primroselock import cli
from primroselock import errors
from primroselock import explaincommands
from primroselock import gateway
from primroselock import logs
from primroselock import options
from primroselock import patchcommands
from primroselock import scheduler
from primroselock import viewcommands

_DAEMONS: typing.Final[
    dict[
        str, abc.Callable[[options.Settings], abc.Coroutine[None, None, None]]
    ]
] = {'gateway': gateway.run, 'scheduler': scheduler.run}

_EXAMPLES: typing.Final = (
    'gateway --settings gateway.ini\n'
    'status --gateway 10.0.0.4:8080\n'
    'zone out sapporo-b --comment "power work" --wait'
)
_CLIENT_MODULES: typing.Final = (explaincommands, patchcommands, viewcommands)
"""Imported because they register commands."""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog='primroselock',
        description='Scheduler for multi-accelerator jobs under client '
        'account guarantees.',
        epilog=cli.format_examples(_EXAMPLES),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest='command', required=True)
    for name in _DAEMONS:
        daemon = commands.add_parser(
            name,
            help=f'run the {name} daemon',
            epilog=cli.format_examples(f'{name} --settings {name}.ini'),
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        daemon.add_argument(
            '--settings', required=True, metavar='FILE', help='INI file'
        )
    settings = commands.add_parser('settings', help='work on settings files')
    actions = settings.add_subparsers(dest='action', required=True)
    check = actions.add_parser(
        'check',
        help='check a settings file',
        epilog=cli.format_examples('settings check gateway.ini'),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    check.add_argument('file', metavar='FILE')
    cli.add_commands(commands)
    return parser


def main(arguments: list[str]) -> errors.ExitCode:
    """Run one command and return its exit code."""
    parsed = build_parser().parse_args(arguments)
    try:
        return _run(parsed)
    except errors.CommandError as error:
        for line in error.lines:
            print(f'primroselock: {line}', file=sys.stderr)
        return error.exit_code
    except KeyboardInterrupt:
        print('primroselock: interrupted', file=sys.stderr)
        return errors.ExitCode.UNREACHABLE


def _run(parsed: argparse.Namespace) -> errors.ExitCode:
    if parsed.command in _DAEMONS:
        settings = options.load(parsed.settings)
        logs.configure(settings.process.log_format)
        _run_daemon(_DAEMONS[parsed.command], settings)
        return errors.ExitCode.DONE
    if parsed.command == 'settings':
        options.load(parsed.file)
        print(f'{parsed.file}: valid')
        return errors.ExitCode.DONE
    return cli.run(parsed)


def _run_daemon(
    run: abc.Callable[[options.Settings], abc.Coroutine[None, None, None]],
    settings: options.Settings,
) -> None:
    # Prints a traceback if a native library crashes the process.
    faulthandler.enable()
    try:
        asyncio.run(run(settings))
    except* errors.CommandError as group:
        raise group.exceptions[0] from None


def console_main() -> typing.NoReturn:
    """Run the command line and exit with its exit code."""
    sys.exit(main(sys.argv[1:]))
