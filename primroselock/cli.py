"""Command-line client for operators: commands that call a gateway over HTTP.

Each command is registered by a decorator under its group and name.  Results
are printed as a table or as JSON.  The exit code is 0 when the command
succeeded, 1 when it was refused, 2 for wrong usage, and 3 when the gateway
was not reached or the outcome is unknown.
"""

import argparse
import asyncio
from collections import abc
import dataclasses
import datetime
import os
import typing
import urllib.parse

import msgspec
import result

from primroselock import decoding
from primroselock import errors
from primroselock import httpclient
from primroselock import ini

_TIMEOUT_S: typing.Final = 15.0
"""Time limit of one call of the gateway."""

_TOKEN_VARIABLE: typing.Final = 'PRIMROSELOCK_TOKEN'
_GATEWAY_VARIABLE: typing.Final = 'PRIMROSELOCK_GATEWAY'

# argparse has no public type for the result of add_subparsers().
Parsers = typing.Any
_INVALID_INPUT_STATUSES: typing.Final = frozenset({400, 422})
"""HTTP statuses for invalid calls and patches."""

RunCommand = abc.Callable[[argparse.Namespace], errors.ExitCode]
AddArguments = abc.Callable[[argparse.ArgumentParser], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command of the client; ``add_arguments`` extends its parser."""

    group: str
    name: str
    help: str
    examples: str
    add_arguments: AddArguments
    run: RunCommand


commands_by_name: dict[tuple[str, str], Command] = {}
"""The registered commands by group and name."""


def _no_arguments(parser: argparse.ArgumentParser) -> None:
    return


def command(
    group: str,
    name: str,
    help_text: str,
    examples: str,
    add_arguments: AddArguments = _no_arguments,
) -> abc.Callable[[RunCommand], RunCommand]:
    """Register the decorated function as the command ``group name``.

    ``examples`` has one example per line, without the program name.
    """

    def register(run_command: RunCommand) -> RunCommand:
        commands_by_name[(group, name)] = Command(
            group, name, help_text, examples, add_arguments, run_command
        )
        return run_command

    return register


def add_commands(subparsers: Parsers) -> None:
    """Add every registered command to the command line."""
    groups: dict[str, Parsers] = {}
    for entry in commands_by_name.values():
        parent = subparsers
        if entry.name:
            if entry.group not in groups:
                group = subparsers.add_parser(
                    entry.group, help=f'{entry.group} commands'
                )
                groups[entry.group] = group.add_subparsers(
                    dest='action', required=True
                )
            parent = groups[entry.group]
        _add_command(parent, entry)


def _add_command(parent: Parsers, entry: Command) -> None:
    parser = parent.add_parser(
        entry.name or entry.group,
        help=entry.help,
        description=entry.help,
        epilog=format_examples(entry.examples),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(client_command=entry)
    parser.add_argument(
        '--gateway',
        metavar='IP:PORT',
        default=os.environ.get(_GATEWAY_VARIABLE),
        help=f'address of a gateway (default: {_GATEWAY_VARIABLE})',
    )
    parser.add_argument(
        '--output',
        choices=('table', 'json'),
        default='table',
        help='output format (default: table)',
    )
    entry.add_arguments(parser)


def format_examples(examples: str) -> str:
    """Return the examples section of a help text."""
    lines = [f'  primroselock {line}' for line in examples.splitlines()]
    return '\n'.join(['examples:', *lines])


def run(parsed: argparse.Namespace) -> errors.ExitCode:
    """Run the client command that was parsed."""
    entry: Command = parsed.client_command
    address = ini.kinds_by_name['address']
    try:
        address.convert(parsed.gateway or '')
    except ValueError as error:
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'--gateway or {_GATEWAY_VARIABLE} = {parsed.gateway or ""!r}: '
            f'expected {address.expected}',
        ) from error
    return entry.run(parsed)


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorDetail:
    code: str
    message: str
    details: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class _ErrorBody:
    error: _ErrorDetail


def call(
    parsed: argparse.Namespace, method: str, path: str, body: typing.Any = None
) -> typing.Any:
    """Call the gateway and return the decoded JSON answer.

    Raises :class:`errors.CommandError` for a refusal or a failure.
    """
    return asyncio.run(_call(parsed, method, path, body))


async def _call(
    parsed: argparse.Namespace, method: str, path: str, body: typing.Any
) -> typing.Any:
    token = os.environ.get(_TOKEN_VARIABLE, '')
    headers = [('Authorization', f'Bearer {token}')]
    user = os.environ.get('USER', 'operator')
    headers.append(('Primroselock-Author', user))
    payload = b'' if body is None else msgspec.json.encode(body)
    pool = httpclient.ConnectionPool(parsed.gateway, limit=1)
    answer = await pool.exchange(
        httpclient.Request(method, path, payload, tuple(headers)), _TIMEOUT_S
    )
    await pool.aclose()
    if isinstance(answer, result.Err):
        raise errors.CommandError(
            errors.ExitCode.UNREACHABLE,
            f'no response from gateway {parsed.gateway}: '
            f'{answer.err_value.detail}',
        )
    response = answer.ok_value
    if response.status < 300:
        decoded = decoding.attempt(msgspec.json.decode, response.body)
        if isinstance(decoded, result.Err):
            raise errors.CommandError(
                errors.ExitCode.UNREACHABLE,
                'the answer of the gateway cannot be decoded: '
                f'{decoded.err_value}',
            )
        return decoded.ok_value
    raise _to_command_error(response)


def _to_command_error(response: httpclient.Response) -> errors.CommandError:
    """Return the error for a response that is not a success.

    Status 5xx: the call failed or its outcome is unknown; an invalid call
    or patch is wrong usage; any other status is a refusal.
    """
    exit_code = errors.ExitCode.REFUSED
    if response.status >= 500:
        exit_code = errors.ExitCode.UNREACHABLE
    elif response.status in _INVALID_INPUT_STATUSES:
        exit_code = errors.ExitCode.USAGE
    decoded = decoding.read_json(_ErrorBody, response.body)
    if isinstance(decoded, result.Err):
        return errors.CommandError(
            exit_code,
            f'the gateway answered with status {response.status} and no '
            'error message',
        )
    error = decoded.ok_value.error
    return errors.CommandError(
        exit_code,
        f'{error.code}: {error.message}',
        *error.details,
    )


def format_time(unix_s: float) -> str:
    """Return a time as ISO 8601 in UTC."""
    moment = datetime.datetime.fromtimestamp(unix_s, datetime.timezone.utc)
    return moment.isoformat(timespec='seconds')


def build_path(path: str, **values: typing.Any) -> str:
    """Return ``path`` with the ``values`` that are not None as its query."""
    given = {name: item for name, item in values.items() if item is not None}
    return f'{path}?{urllib.parse.urlencode(given)}' if given else path


def print_result(parsed: argparse.Namespace, value: typing.Any) -> None:
    """Print an answer in the format chosen by ``--output``."""
    if parsed.output == 'json':
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        print(text.decode())
    elif isinstance(value, list):
        print(format_table(value))
    else:
        print(format_fields(value))


def format_fields(fields: dict[str, typing.Any]) -> str:
    """Return one line per field, and a table per list of records."""
    lines = []
    for name, item in fields.items():
        if isinstance(item, list) and item and isinstance(item[0], dict):
            lines += [f'{name}:', format_table(item)]
        else:
            lines.append(f'{name}: {format_value(item)}')
    return '\n'.join(lines)


def format_value(value: typing.Any) -> str:
    """Return a value as text for a table or a field."""
    if value is None:
        return '-'
    if isinstance(value, bool):
        return 'yes' if value else 'no'
    if isinstance(value, list):
        return ', '.join(format_value(item) for item in value) or '-'
    if isinstance(value, dict):
        pairs = (f'{k}={format_value(v)}' for k, v in value.items())
        return ' '.join(pairs) or '-'
    return str(value)


def format_table(rows: list[dict[str, typing.Any]]) -> str:
    """Return ``rows`` as aligned columns."""
    if not rows:
        return '(none)'
    names = list(rows[0])
    cells = [names] + [
        [format_value(row.get(name)) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )
