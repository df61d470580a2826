"""The operators' client: commands that call a gateway over HTTP.

Each command is registered by decorator with its place on the command
line.  Results are printed as a table for people or as JSON.
"""

import argparse
import asyncio
from collections import abc
import dataclasses
import os
import pathlib
import sys
import typing

import msgspec
import result

from primroselock import errors
from primroselock import httplane

_TIMEOUT_S: typing.Final = 15.0
_TOKEN_VARIABLE: typing.Final = 'PRIMROSELOCK_TOKEN'
_GATEWAY_VARIABLE: typing.Final = 'PRIMROSELOCK_GATEWAY'

Parsers = typing.Any
Run = abc.Callable[[argparse.Namespace], errors.ExitCode]
Describe = abc.Callable[[argparse.ArgumentParser], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Command:
    """One command of the client."""

    group: str
    name: str
    help: str
    describe: Describe
    run: Run


commands_by_path: dict[tuple[str, str], Command] = {}


def _no_arguments(parser: argparse.ArgumentParser) -> None:
    return


def command(
    group: str, name: str, help_text: str, describe: Describe = _no_arguments
) -> abc.Callable[[Run], Run]:
    """Register the decorated function as the command ``group name``."""

    def register(run_command: Run) -> Run:
        commands_by_path[(group, name)] = Command(
            group, name, help_text, describe, run_command
        )
        return run_command

    return register


def add_commands(subparsers: Parsers) -> None:
    """Add every registered command to the command line."""
    groups: dict[str, Parsers] = {}
    for entry in commands_by_path.values():
        if not entry.name:
            parser = subparsers.add_parser(entry.group, help=entry.help)
        else:
            if entry.group not in groups:
                group = subparsers.add_parser(
                    entry.group, help=f'{entry.group} commands'
                )
                groups[entry.group] = group.add_subparsers(
                    dest='action', required=True
                )
            parser = groups[entry.group].add_parser(
                entry.name, help=entry.help
            )
        parser.set_defaults(client_command=entry)
        parser.add_argument(
            '--gateway',
            default=os.environ.get(_GATEWAY_VARIABLE),
            help=f'IP:PORT of a gateway (or {_GATEWAY_VARIABLE})',
        )
        parser.add_argument(
            '--output', choices=('table', 'json'), default='table'
        )
        entry.describe(parser)


def run(parsed: argparse.Namespace) -> errors.ExitCode:
    """Run the client command that was parsed."""
    entry: Command = parsed.client_command
    if not parsed.gateway:
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'--gateway or {_GATEWAY_VARIABLE}: expected IP:PORT',
        )
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
    pool = httplane.LanePool(parsed.gateway, limit=1)
    answer = await pool.exchange(
        httplane.Request(method, path, payload, tuple(headers)), _TIMEOUT_S
    )
    await pool.aclose()
    if isinstance(answer, result.Err):
        raise errors.CommandError(
            errors.ExitCode.UNREACHABLE,
            f'{parsed.gateway}: {answer.err_value.detail}',
        )
    response = answer.ok_value
    if response.status < 300:
        return msgspec.json.decode(response.body)
    raise _failure(response)


def _failure(response: httplane.Response) -> errors.CommandError:
    try:
        body = msgspec.json.decode(response.body, type=_ErrorBody)
    except msgspec.MsgspecError:
        return errors.CommandError(
            errors.ExitCode.UNREACHABLE, f'status {response.status}'
        )
    exit_code = errors.ExitCode.REFUSED
    if response.status >= 500:
        exit_code = errors.ExitCode.UNREACHABLE
    elif response.status == 422:
        exit_code = errors.ExitCode.USAGE
    return errors.CommandError(
        exit_code,
        f'{body.error.code}: {body.error.message}',
        *body.error.details,
    )


def show(parsed: argparse.Namespace, value: typing.Any) -> None:
    """Print an answer as the operator asked for it."""
    if parsed.output == 'json':
        text = msgspec.json.format(msgspec.json.encode(value), indent=2)
        print(text.decode())
    elif isinstance(value, list):
        print(format_table(value))
    else:
        for name, item in value.items():
            print(f'{name}: {item}')


def format_table(rows: list[dict[str, typing.Any]]) -> str:
    """Return ``rows`` as aligned columns."""
    if not rows:
        return '(none)'
    names = list(rows[0])
    cells = [names] + [
        [str(row.get(name, '')) for name in names] for row in rows
    ]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in cells
    )


def _describe_patch(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', help='INI patch, or - for standard input')
    parser.add_argument('--base', type=int, help='version it starts from')
    parser.add_argument('--comment', default='')


@command('patch', 'submit', 'submit a patch', _describe_patch)
def _submit_patch(parsed: argparse.Namespace) -> errors.ExitCode:
    base = parsed.base
    if base is None:
        base = call(parsed, 'GET', '/v1/config')['version']
    body = {
        'base_version': base,
        'text': _read_text(parsed.file),
        'comment': parsed.comment,
    }
    show(parsed, call(parsed, 'POST', '/v1/config/patches', body))
    return errors.ExitCode.DONE


def _read_text(path: str) -> str:
    if path == '-':
        return sys.stdin.read()
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CommandError(
            errors.ExitCode.USAGE, f'{path}: cannot be read: {error}'
        ) from error


@command('patch', 'show', 'show the present configuration')
def _show_patch(parsed: argparse.Namespace) -> errors.ExitCode:
    answer = call(parsed, 'GET', '/v1/config')
    if parsed.output == 'json':
        show(parsed, answer)
    else:
        print(f'; version {answer["version"]}')
        print(answer['text'])
    return errors.ExitCode.DONE


@command('patch', 'log', 'list the accepted patches')
def _log_patches(parsed: argparse.Namespace) -> errors.ExitCode:
    show(parsed, call(parsed, 'GET', '/v1/config/patches'))
    return errors.ExitCode.DONE


def _describe_zone(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('zone')
    parser.add_argument('--comment', default='')


def _set_zone(parsed: argparse.Namespace, state: str) -> errors.ExitCode:
    body = {
        'base_version': call(parsed, 'GET', '/v1/config')['version'],
        'text': f'[zone {parsed.zone}]\nstate = {state}\n',
        'comment': parsed.comment or f'zone {state} {parsed.zone}',
    }
    show(parsed, call(parsed, 'POST', '/v1/config/patches', body))
    return errors.ExitCode.DONE


@command('zone', 'out', 'take a zone out of service', _describe_zone)
def _zone_out(parsed: argparse.Namespace) -> errors.ExitCode:
    return _set_zone(parsed, 'out')


@command('zone', 'in', 'bring a zone back into service', _describe_zone)
def _zone_in(parsed: argparse.Namespace) -> errors.ExitCode:
    return _set_zone(parsed, 'in')


def _describe_job(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id')


@command('job', 'show', 'show a job', _describe_job)
def _show_job(parsed: argparse.Namespace) -> errors.ExitCode:
    show(parsed, call(parsed, 'GET', f'/v1/jobs/{parsed.job_id}'))
    return errors.ExitCode.DONE


@command('job', 'cancel', 'cancel a job', _describe_job)
def _cancel_job(parsed: argparse.Namespace) -> errors.ExitCode:
    show(parsed, call(parsed, 'DELETE', f'/v1/jobs/{parsed.job_id}'))
    return errors.ExitCode.DONE


@command('status', '', 'show what a gateway knows')
def _status(parsed: argparse.Namespace) -> errors.ExitCode:
    show(parsed, call(parsed, 'GET', '/v1/status'))
    return errors.ExitCode.DONE


@command('audit', '', 'show the audit trail')
def _audit(parsed: argparse.Namespace) -> errors.ExitCode:
    show(parsed, call(parsed, 'GET', '/v1/audit'))
    return errors.ExitCode.DONE
