"""Client commands that show accounts, jobs, workers, status and audit."""

import argparse

from primroselock import cli
from primroselock import errors

_STATES = ('waiting', 'running', 'done', 'failed', 'cancelled')


@cli.command(
    'account',
    'list',
    'list client accounts with their guarantees and usage',
    'account list\naccount list --output json',
)
def _list_accounts(parsed: argparse.Namespace) -> errors.ExitCode:
    cli.print_result(parsed, cli.call(parsed, 'GET', '/v1/operators/accounts'))
    return errors.ExitCode.DONE


def _add_list_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--account', help='only of this client account')
    parser.add_argument('--state', choices=_STATES, help='only in this state')


@cli.command(
    'job',
    'list',
    'list jobs of all client accounts, or of one',
    'job list --state waiting\njob list --account signs',
    _add_list_arguments,
)
def _list_jobs(parsed: argparse.Namespace) -> errors.ExitCode:
    path = cli.build_path(
        '/v1/operators/jobs', account=parsed.account, state=parsed.state
    )
    cli.print_result(parsed, cli.call(parsed, 'GET', path))
    return errors.ExitCode.DONE


def _add_job_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('job_id')


@cli.command(
    'job',
    'show',
    'show a job with its state, reason and placement',
    'job show 4f0c1b7a9d2e4c6f8a10',
    _add_job_arguments,
)
def _show_job(parsed: argparse.Namespace) -> errors.ExitCode:
    cli.print_result(parsed, cli.call(parsed, 'GET', _job_path(parsed)))
    return errors.ExitCode.DONE


@cli.command(
    'job',
    'cancel',
    'cancel a job; no effect on a job that has ended',
    'job cancel 4f0c1b7a9d2e4c6f8a10',
    _add_job_arguments,
)
def _cancel_job(parsed: argparse.Namespace) -> errors.ExitCode:
    cli.print_result(parsed, cli.call(parsed, 'DELETE', _job_path(parsed)))
    return errors.ExitCode.DONE


def _job_path(parsed: argparse.Namespace) -> str:
    if not parsed.job_id.isalnum():
        raise errors.CommandError(
            errors.ExitCode.USAGE,
            f'job_id {parsed.job_id!r}: expected letters and digits',
        )
    return f'/v1/jobs/{parsed.job_id}'


def _add_workers_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--zone', help='only of this availability zone')


@cli.command(
    'worker',
    'list',
    'list workers with the tasks placed on them',
    'worker list --zone sapporo-a',
    _add_workers_arguments,
)
def _list_workers(parsed: argparse.Namespace) -> errors.ExitCode:
    path = cli.build_path('/v1/operators/workers', zone=parsed.zone)
    cli.print_result(parsed, cli.call(parsed, 'GET', path))
    return errors.ExitCode.DONE


@cli.command(
    'status',
    '',
    'show the state of a gateway, its peers and its configuration',
    'status --gateway 10.0.0.4:8080',
)
def _status(parsed: argparse.Namespace) -> errors.ExitCode:
    cli.print_result(parsed, cli.call(parsed, 'GET', '/v1/status'))
    return errors.ExitCode.DONE


def _add_audit_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--after',
        metavar='KEY',
        help='id of the last entry of the previous page',
    )
    parser.add_argument('--limit', type=int, metavar='COUNT', default=100)


@cli.command(
    'audit',
    '',
    'show changes with author, time and origin, and refused attempts',
    'audit --limit 20',
    _add_audit_arguments,
)
def _audit(parsed: argparse.Namespace) -> errors.ExitCode:
    path = cli.build_path('/v1/audit', after=parsed.after, limit=parsed.limit)
    rows = cli.call(parsed, 'GET', path)
    if parsed.output == 'table':
        rows = [{**row, 'at': cli.format_time(row['at'])} for row in rows]
    cli.print_result(parsed, rows)
    return errors.ExitCode.DONE
