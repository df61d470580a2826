"""Client commands that read and change the configuration."""

import argparse
import pathlib
import sys
import time
import typing
import uuid

from primroselock import cli
from primroselock import errors

_DEFAULT_WAIT_S: typing.Final = 30.0
_POLL_INTERVAL_S: typing.Final = 0.2


def _add_change_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--comment', default='', help='reason, recorded in the audit trail'
    )
    parser.add_argument(
        '--wait',
        action='store_true',
        help='wait until every reachable process has it in force; otherwise '
        'list those that have not and return exit code 3',
    )
    parser.add_argument(
        '--wait-s',
        type=float,
        default=_DEFAULT_WAIT_S,
        metavar='SECONDS',
        help=f'maximum time to wait (default: {_DEFAULT_WAIT_S:g})',
    )


def _add_submit_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('file', help='INI patch, or - for standard input')
    parser.add_argument(
        '--base',
        type=int,
        metavar='VERSION',
        help='version that the patch is based on (default: the current one)',
    )
    _add_change_arguments(parser)


@cli.command(
    'patch',
    'submit',
    'submit a patch against a numbered version',
    'patch submit guarantees.ini --comment "signs gets a rack" --wait\n'
    'patch submit - --base 41 < guarantees.ini',
    _add_submit_arguments,
)
def _submit(parsed: argparse.Namespace) -> errors.ExitCode:
    text = _read_text(parsed.file)
    return _change(
        parsed, '/v1/config/patches', parsed.base, {'text': text}, ''
    )


def _read_text(path: str) -> str:
    try:
        if path == '-':
            return sys.stdin.read()
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CommandError(
            errors.ExitCode.USAGE, f'{path}: cannot be read: {error}'
        ) from error


def _change(
    parsed: argparse.Namespace,
    path: str,
    base: int | None,
    body: dict[str, typing.Any],
    default_comment: str,
) -> errors.ExitCode:
    """Submit a change; with ``--wait``, wait until it is in force.

    Raises :class:`errors.CommandError` with exit code 3 if processes have
    not confirmed it.
    """
    if base is None:
        base = cli.call(parsed, 'GET', '/v1/config')['version']
    sent = {
        'base_version': base,
        'comment': parsed.comment or default_comment,
        'submission_id': uuid.uuid4().hex,
        **body,
    }
    accepted = cli.call(parsed, 'POST', path, sent)
    if not parsed.wait:
        cli.print_result(parsed, accepted)
        return errors.ExitCode.DONE
    confirmations, unconfirmed = _wait_in_force(parsed, accepted['version'])
    cli.print_result(parsed, {**accepted, 'zones': confirmations['zones']})
    if unconfirmed:
        names = ', '.join(unconfirmed)
        line = f'version {accepted["version"]} is accepted, but not confirmed'
        raise errors.CommandError(
            errors.ExitCode.UNREACHABLE, f'{line} by: {names}'
        )
    return errors.ExitCode.DONE


def _wait_in_force(
    parsed: argparse.Namespace, version: int
) -> tuple[dict[str, typing.Any], list[str]]:
    """Return the last confirmations read and the unconfirmed processes.

    Polls until ``version`` is confirmed everywhere or the wait time is
    over.
    """
    deadline = time.monotonic() + parsed.wait_s
    path = cli.build_path('/v1/config/confirmations', version=version)
    while True:
        confirmations = cli.call(parsed, 'GET', path)
        if confirmations['complete'] or time.monotonic() >= deadline:
            return confirmations, find_unconfirmed(confirmations)
        time.sleep(_POLL_INTERVAL_S)


def find_unconfirmed(confirmations: dict[str, typing.Any]) -> list[str]:
    """Return the unconfirmed processes with their zones and reasons.

    A process is ``behind``, or ``silent`` if no recent beacon of it was
    received.
    """
    return [
        f'{name} in {zone["zone"]} ({reason})'
        for zone in confirmations['zones']
        for reason, key in (('behind', 'not_confirmed'), ('silent', 'silent'))
        for name in zone[key]
    ]


def _add_version_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'version', type=int, nargs='?', help='default: the current one'
    )


@cli.command(
    'patch',
    'show',
    'show the configuration of a version',
    'patch show\npatch show 41 > old.ini',
    _add_version_arguments,
)
def _show(parsed: argparse.Namespace) -> errors.ExitCode:
    path = cli.build_path('/v1/config', version=parsed.version)
    answer = cli.call(parsed, 'GET', path)
    if parsed.output == 'json':
        cli.print_result(parsed, answer)
    else:
        print(f'; version {answer["version"]}')
        print(answer['text'])
    return errors.ExitCode.DONE


def _add_log_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--after', type=int, metavar='VERSION', default=0)
    parser.add_argument('--limit', type=int, metavar='COUNT', default=100)


@cli.command(
    'patch',
    'log',
    'list the accepted patches, oldest first',
    'patch log --after 40 --limit 20',
    _add_log_arguments,
)
def _log(parsed: argparse.Namespace) -> errors.ExitCode:
    path = cli.build_path(
        '/v1/config/patches', after=parsed.after, limit=parsed.limit
    )
    rows = cli.call(parsed, 'GET', path)
    if parsed.output == 'table':
        rows = [_summarize(row) for row in rows]
    cli.print_result(parsed, rows)
    return errors.ExitCode.DONE


def _summarize(patch: dict[str, typing.Any]) -> dict[str, typing.Any]:
    names = ('version', 'submitted_at', 'author', 'origin', 'comment')
    summary = {name: patch.get(name) for name in names}
    summary['submitted_at'] = cli.format_time(patch['submitted_at'])
    return summary


def _add_diff_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('old', type=int, help='version to start from')
    parser.add_argument(
        'new', type=int, help='version that the patch leads to'
    )


@cli.command(
    'patch',
    'diff',
    'show the patch that turns one version into another',
    'patch diff 40 41',
    _add_diff_arguments,
)
def _diff(parsed: argparse.Namespace) -> errors.ExitCode:
    path = '/v1/config/diff?' + f'from={parsed.old}&to={parsed.new}'
    answer = cli.call(parsed, 'GET', path)
    if parsed.output == 'json':
        cli.print_result(parsed, answer)
    else:
        print(answer['text'])
    return errors.ExitCode.DONE


def _add_revert_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'version', type=int, help='version whose content is restored'
    )
    parser.add_argument('--base', type=int, metavar='VERSION')
    _add_change_arguments(parser)


@cli.command(
    'patch',
    'revert',
    "restore an earlier version's content by a new patch",
    'patch revert 40 --comment "last year\'s plan" --wait',
    _add_revert_arguments,
)
def _revert(parsed: argparse.Namespace) -> errors.ExitCode:
    body = {'to_version': parsed.version}
    comment = f'revert to version {parsed.version}'
    return _change(parsed, '/v1/config/revert', parsed.base, body, comment)


def _add_zone_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('zone')
    _add_change_arguments(parser)


def _set_zone(parsed: argparse.Namespace, state: str) -> errors.ExitCode:
    text = f'[zone {parsed.zone}]\nstate = {state}\n'
    comment = f'zone {state} {parsed.zone}'
    return _change(parsed, '/v1/config/patches', None, {'text': text}, comment)


@cli.command(
    'zone',
    'out',
    'take an availability zone out of service; no task starts there',
    'zone out sapporo-b --comment "power work" --wait',
    _add_zone_arguments,
)
def _zone_out(parsed: argparse.Namespace) -> errors.ExitCode:
    return _set_zone(parsed, 'out')


@cli.command(
    'zone',
    'in',
    'bring an availability zone back into service',
    'zone in sapporo-b --wait',
    _add_zone_arguments,
)
def _zone_in(parsed: argparse.Namespace) -> errors.ExitCode:
    return _set_zone(parsed, 'in')
